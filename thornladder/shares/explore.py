"""Bounded exhaustive exploration of the division: three processes, every order of what can happen to them.

The cores' own code runs, not a copy. It begins where a giver rules and all hold a part. Time passes in wakes,
and in jumps during which nobody runs; each node spends all it can at any moment.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from thornladder.exploration import Result, breadth_first, inject_fault
from thornladder.shares.core import Budget, Core, Times
from thornladder.shares.wire import Message

NAMES = ("a", "b", "c")
BUDGET = Budget("x", 12, 0.5, 0.25)
SHORT = Times(period=0.25, term=0.5, slack=1.0, heard=0.6)
JUMPS = (0.3, 2.0)  # past a promise; past every lease
MOST_FLYING = 4  # the oldest are lost beyond that, as in a full queue
NEXT = 3  # messages in flight that may come next

Make = Callable[..., Core]


class Flying(NamedTuple):
    target: str
    birth: int  # the process that ran there then: a new one has another address
    message: Message


@dataclass
class Spot:
    now: float = 0.0
    cores: dict[str, Any] = field(default_factory=dict)  # None: no process
    in_flight: list[Flying] = field(default_factory=list)
    dead: list[tuple[float, int]] = field(default_factory=list)  # until when, units in use
    stopped: str = ""
    duplicates_left: int = 1
    pauses_left: int = 1
    kills: int = 1
    jumps: int = 2
    wishes: int = 2

    def key(self) -> str:
        """What tells states apart, with times as they lie to now."""
        parts = []
        for name, core in self.cores.items():
            if core is None:
                parts.append((name, None))
                continue
            reign = core.reign
            rule = reign and (
                reign.term, reign.began is not None, sorted((n, round(at - self.now, 2))
                                                            for n, at in reign.acks.items()),
                sorted((key, [(e.seq, e.parts, round(e.ends - self.now, 2)) for e in each.entries])
                       for key, each in reign.accounts.items()), reign.limbo,
            )  # fmt: skip
            parts.append(
                (
                    name,
                    core.birth,
                    core.promised,
                    core.held,
                    core.holdings[0].part,
                    core.holdings[0].leased.look(self.now),
                    round(core.lease_end - self.now, 2),
                    round(core.promise_until - self.now, 2),
                    round(core.due - self.now, 2),
                    rule,
                )
            )
        flying = [(f.target, f.birth, f.message.kind, f.message.term, f.message.seq, f.message.parts,
                   f.message.cans, round(f.message.echo - self.now, 2)) for f in self.in_flight]  # fmt: skip
        dead = [(round(until - self.now, 2), used) for until, used in self.dead]
        return repr((parts, flying, dead, self.stopped, self.duplicates_left, self.pauses_left, self.kills,
                     self.jumps, self.wishes))  # fmt: skip


def _start(spot: Spot, name: str, make: Make) -> None:
    chance = Random(f"{name} {spot.now:.3f}")
    spot.cores[name] = make(name, NAMES, [BUDGET], chance, spot.now, times=SHORT)


def begin(make: Make = Core) -> Spot:
    """A giver rules, and all that is leased is held."""
    spot = Spot()
    for name in NAMES:
        _start(spot, name, make)
    for _ in range(400):
        take(spot, "wake " + min(NAMES, key=lambda name: spot.cores[name].due), make)
        while spot.in_flight:
            take(spot, "deliver 0", make)
        if sum(core.holdings[0].part for core in spot.cores.values()) == spot.cores["a"].rest[0]:
            return spot
    raise AssertionError("no giver came to rule")


def choices(spot: Spot) -> list[str]:
    can = []
    for name, core in spot.cores.items():
        if core is None:
            can.append(f"start {name}")
        elif name != spot.stopped:
            can.append(f"wake {name}")
            if spot.wishes:
                can.append(f"want {name}")
            if spot.kills:
                can.append(f"kill {name}")
            if spot.pauses_left and not spot.stopped:
                can.append(f"stop {name}")
    if spot.stopped:
        can.append("go")
    for k in range(min(len(spot.in_flight), NEXT)):
        can += [f"deliver {k}", f"lose {k}"]
        if spot.duplicates_left:
            can.append(f"copy {k}")
    if spot.jumps:
        can += [f"jump {seconds}" for seconds in JUMPS]
    return can


def take(spot: Spot, choice: str, make: Make = Core) -> str:
    """Does it, in place; what is broken after it, if anything is."""
    what, _, which = choice.partition(" ")
    if what == "wake":
        core = spot.cores[which]
        spot.now = max(spot.now, core.due)
        core.wake(spot.now)
        _send(spot, core)
    elif what == "deliver":
        each = spot.in_flight.pop(int(which))
        core = spot.cores[each.target]
        if core is not None and core.birth == each.birth:
            if each.target == spot.stopped:
                spot.in_flight.append(each)
                return ""
            core.on_message(spot.now, each.message)
            _send(spot, core)
    elif inject_fault(spot, what, which):
        pass
    elif what == "go":
        spot.stopped = ""
    elif what == "want":
        spot.wishes -= 1
        for name, core in spot.cores.items():
            if core is not None:
                core.holdings[0].asked, core.holdings[0].since = 50.0 * (name == which), spot.now
                core.holdings[0].count = 0
    elif what == "kill":
        spot.kills -= 1
        used = spot.cores[which].holdings[0].leased.look(spot.now)
        spot.dead.append((spot.now + BUDGET.hold, used))
        spot.cores[which] = None
        spot.stopped = "" if spot.stopped == which else spot.stopped
    elif what == "start":
        _start(spot, which, make)
    else:
        spot.jumps -= 1
        spot.now += float(which)
    _spend(spot)
    return broken(spot)


def _send(spot: Spot, core: Core) -> None:
    acts = core.take_acts()
    while acts:
        act = acts.pop(0)
        target = spot.cores.get(act.name)
        if target is core:
            core.on_message(spot.now, act.message)
            acts += core.take_acts()
        elif target is not None:
            spot.in_flight.append(Flying(act.name, target.birth, act.message))
    del spot.in_flight[: max(len(spot.in_flight) - MOST_FLYING, 0)]


def _spend(spot: Spot) -> None:
    """All that run spend what they have, the floor apart."""
    for name, core in spot.cores.items():
        if core is not None and name != spot.stopped:
            holding = core.holdings[0]
            while holding.leased.look(spot.now) < holding.part and core.may_spend(0, spot.now):
                if holding.own.whole:  # the floor is the node's own whatever comes: not what is looked at
                    break


def broken(spot: Spot) -> str:
    used = sum(count for until, count in spot.dead if until > spot.now)
    running = [core for core in spot.cores.values() if core is not None]
    can = used + sum(core.can(0, spot.now) for core in running)
    if running and can > running[0].rest[0]:
        return f"{can} of {running[0].rest[0]} leased units may be in use"
    return ""


def explore(depth: int, most: int, make: Make = Core) -> Result:
    """All states that `depth` steps lead to, or the first `most` of them."""
    return breadth_first(begin(make), choices, lambda spot, choice: take(spot, choice, make), depth, most)


# So that a giver rules most of the time, and something happens to it now and then.
LIKELY = {"wake": 2.0, "deliver": 8.0, "lose": 0.5, "copy": 0.3, "stop": 0.06, "go": 0.1, "kill": 0.04,
          "start": 0.3, "jump": 0.03, "want": 0.15}  # fmt: skip


def walk(seed: int, steps: int = 400, make: Make = Core) -> str:
    """One drawn course, far deeper than can be gone through: what broke."""
    chance, spot = Random(seed), begin(make)
    spot.duplicates_left = spot.pauses_left = spot.kills = spot.jumps = spot.wishes = 20
    for _ in range(steps):
        can = choices(spot)
        weights = [LIKELY[each.partition(" ")[0]] for each in can]
        if breach := take(spot, chance.choices(can, weights)[0], make):
            return breach
    return ""


# Planted faults, each of which has to be caught.


class RaisesEarly(Core):
    """Gives what others were told to give up before they have."""

    def free(self, place: int) -> int:
        reign = self.reign
        owed = sum(account.entries[-1].parts[place] for account in reign.accounts.values() if account.entries)
        return self.rest[place] - owed - (reign.limbo[place] if self.now < reign.settled else 0)


class ForgetsLimbo(Core):
    """A new giver takes those that it has not heard to hold nothing."""

    def _begin(self) -> None:
        super()._begin()
        self.reign.limbo = [0 for _ in self.rest]


class SpendsAfterPause(Core):
    """Does not look whether its lease will last."""

    def may_spend(self, place: int, now: float) -> bool:
        holding = self.holdings[place]
        if holding.leased.look(now) < holding.part:
            holding.leased.add(now)
            return True
        return super().may_spend(place, now)


class KeepsItsPart(Core):
    """A process that has just come goes on with what the one before it held."""

    kept: dict[str, int] = {}

    def _granted(self, message: Message) -> None:
        super()._granted(message)
        self.kept[self.name] = self.holdings[0].part

    def __init__(self, name: str, names: Any, budgets: Any, chance: Random, now: float, **more: Any) -> None:
        super().__init__(name, names, budgets, chance, now, **more)
        if now > 0.0 and name in self.kept:
            self.holdings[0].part, self.lease_end = self.kept[name], now + self.lease


class AnyMajority(Core):
    """Rules on the promise of two at any time, and not of more than half."""

    def _authority(self) -> float:
        return max(self.reign.acks.values(), default=0.0) + 100.0


class OldGrants(Core):
    """Takes a late or doubled grant."""

    def _granted(self, message: Message) -> None:
        if message.term == self.held[0] and message.seq <= self.held[1]:
            self.held = (message.term, message.seq - 1)
        super()._granted(message)


PLANTED = (RaisesEarly, ForgetsLimbo, SpendsAfterPause, KeepsItsPart, AnyMajority, OldGrants)
