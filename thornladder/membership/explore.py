"""Bounded exhaustive exploration: three members, every order of delivery, loss, copies, pauses, a restart.

The core's own code runs, not a copy. Breadth first, so that a depth that was finished was finished for every
order of what can happen; a breach names the steps that led to it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from thornladder.exploration import Result, breadth_first, disturb
from thornladder.membership.core import ConnectionOutcome, ConnectionProbe, Core, Send, Sync, Timing
from thornladder.membership.wire import Message, State

# Short waits, so that a verdict lies within the depth that can be gone through.
SHORT_TIMING = Timing(
    probe_interval=0.25, ack_timeout=0.1, probe_timeout=0.2, suspicion_timeout=0.4, two_witness_delay=0.1,
    isolation_timeout=0.3, rejoin_interval=0.5, sync_interval=0.3,
)  # fmt: skip
NAMES = ("a", "b", "c")
CHOICE = 2  # messages in flight that may come next: the order of more is reached step by step
MOST_FLYING = 6  # more are dropped, as a full queue would


class Flying(NamedTuple):
    target: str
    source: str
    message: Message


@dataclass
class Spot:
    """One state of the three."""

    now: float = 0.0
    cores: dict[str, Any] = field(default_factory=dict)  # None: no process
    stopped: str = ""
    flying: list[Flying] = field(default_factory=list)
    copies: int = 1  # left
    pauses: int = 1
    kills: int = 1
    starts: int = 0
    highest: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)

    def key(self) -> Any:
        """What tells states apart: all but counters, with times as they lie to now."""
        parts = []
        for name, core in self.cores.items():
            if core is None:
                parts.append((name, None))
                continue
            peers = tuple(
                (
                    p.item.order,
                    p.reachability.value,
                    tuple(sorted(p.reports.items())),
                    round(core.now - p.last_evidence_at, 2),
                )
                for _, p in sorted(core.peers.items())
            )
            probes = tuple(
                (p.name, round(p.deadline - core.now, 2), p.target_heard_us_ago) for p in core.probes.values()
            )
            quiet = round(max(core.no_reports_until - core.now, 0.0), 2)
            parts.append(
                (name, core.own_item.order, peers, probes, quiet, round(core.next_wake_at - self.now, 2))
            )
        flying = tuple((f.target, f.message.kind, f.message.name, f.message.number, f.message.items)
                       for f in self.flying)  # fmt: skip
        return repr((parts, self.stopped, flying, self.copies, self.pauses, self.kills, self.starts))


def address(name: str) -> str:
    return f"{name}:1"


def begin(make: type[Core] = Core) -> Spot:
    spot = Spot()
    for name in NAMES:
        spot.cores[name] = make(
            name, address(name), "f", [address("a")], Random(name), 0.0, timing=SHORT_TIMING
        )
    items = [core.own_item for core in spot.cores.values()]
    for core in spot.cores.values():
        core.bootstrap(items)
    return spot


def choices(spot: Spot) -> list[str]:
    can = ["wake"]
    for k in range(min(len(spot.flying), CHOICE)):
        can += [f"deliver {k}", f"lose {k}"]
        if spot.copies:
            can.append(f"copy {k}")
    if spot.stopped:
        can.append("go")
    elif spot.pauses:
        can += [f"stop {name}" for name in NAMES[1:] if spot.cores[name] is not None]
    if spot.kills:
        can += [f"kill {name}" for name in NAMES[1:] if spot.cores[name] is not None]
    can += [f"start {name}" for name in NAMES if spot.cores[name] is None]
    return can


def take(spot: Spot, choice: str, make: type[Core] = Core) -> str:
    """Does it, in place; what is broken after it, if anything is."""
    what, _, which = choice.partition(" ")
    if what == "wake":
        running = [core for name, core in spot.cores.items() if core is not None and name != spot.stopped]
        first = min(running, key=lambda core: core.next_wake_at)
        spot.now = max(spot.now, first.next_wake_at)
        return _step(spot, first, first.wake, spot.now)
    if what == "deliver":
        each = spot.flying[int(which)]
        core = spot.cores[each.target]
        if each.target == spot.stopped:
            spot.flying.append(spot.flying.pop(int(which)))  # it waits
            return ""
        del spot.flying[int(which)]
        return _step(spot, core, core.on_message, spot.now, each.source, each.message) if core else ""
    if disturb(spot, what, which):
        return ""
    if what == "go":
        spot.now += 1.0  # a pause is longer than any wait here
        spot.stopped = ""
    elif what == "kill":
        spot.kills -= 1
        spot.cores[which] = None
        spot.stopped = "" if spot.stopped == which else spot.stopped
    elif what == "start":
        spot.starts += 1
        chance = Random(f"{which} again {spot.starts}")
        spot.cores[which] = make(which, address(which), "f", [address(n) for n in NAMES], chance, spot.now,
                                 timing=SHORT_TIMING)  # fmt: skip
    return ""


def _step(spot: Spot, core: Core, what: Any, *given: Any) -> str:
    said = core.counters.reports_made
    what(*given)
    for act in core.take_actions():
        _act(spot, core, act)
    core.take_changes()
    if core.counters.reports_made > said and core.now < core.no_reports_until and not _refusals(core):
        return f"{core.name} accused another before it had caught up"
    return broken(spot)


def _refusals(core: Core) -> bool:
    return any(State.REFUSED in peer.reports.values() or peer.item.state == State.ENDED
               for peer in core.peers.values())  # fmt: skip


def _act(spot: Spot, core: Core, act: Any) -> None:
    target = act.address.split(":")[0]
    other = spot.cores.get(target)
    if isinstance(act, Send):
        if len(spot.flying) < MOST_FLYING:
            spot.flying.append(Flying(target, address(core.name), act.message))
    elif isinstance(act, ConnectionProbe):
        if other is None:
            core.on_connection_outcome(spot.now, act.message.number, ConnectionOutcome.REFUSED)
            for more in core.take_actions():
                if isinstance(more, Send):
                    _act(spot, core, more)
    elif isinstance(act, Sync) and other is not None and target != spot.stopped and other is not core:
        view = core.view_message()
        back = other.reply_to(view)
        if len(spot.flying) < MOST_FLYING - 1:
            spot.flying.append(Flying(target, address(core.name), view))
            spot.flying.append(Flying(core.name, address(target), back))


def broken(spot: Spot) -> str:
    running = {name: core.own_item.process for name, core in spot.cores.items() if core is not None}
    for name, core in spot.cores.items():
        for of, peer in core.peers.items() if core is not None else ():
            item = peer.item
            if of == name:
                return f"{name} holds a record of itself"
            if item.state == State.ENDED and running.get(of) == item.process:
                return f"{name} holds {of} to be ended, and it runs"
            if item.state == State.LOST and len(set(item.by.split(","))) < 2:
                return f"{name} holds {of} to be lost on one witness"
            seen = spot.highest.get((name, of), (0, 0))
            if item.process < seen and spot.starts == 0:
                return f"{name} went back to an earlier process of {of}"
            spot.highest[(name, of)] = max(seen, item.process)
    return ""


def explore(depth: int, most: int, make: type[Core] = Core) -> Result:
    """All states that `depth` steps lead to, or the first `most` of them."""
    return breadth_first(begin(make), choices, lambda spot, choice: take(spot, choice, make), depth, most)
