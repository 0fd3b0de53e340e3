"""Bounded model checking of the division: three processes, all orders of the events that may affect them.

It runs the core itself, not a model of it. The search begins with an elected leader and every leasable unit
allocated. Time passes when a core wakes, and in jumps during which no process runs. Every node spends all
that it can after each step.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from thornladder.exploration import Result, breadth_first, inject_fault
from thornladder.shares.core import Budget, Core, Timing
from thornladder.shares.wire import Message

NAMES = ("a", "b", "c")
BUDGET = Budget("x", 12, 0.5, 0.25)
# Short times, so that promises and leases expire within the depth that can be searched.
SHORT_TIMING = Timing(request_interval=0.25, promise_duration=0.5, lease_margin=1.0, report_timeout=0.6)
JUMP_SECONDS = (0.3, 2.0)  # past a promise; past every lease
MAX_IN_FLIGHT = 4  # beyond that the oldest messages are lost, as in a full queue
DELIVERY_CHOICES = 3  # oldest messages in flight that may come next
MAX_SETUP_WAKES = 400  # until the initial state is reached
HIGH_DEMAND_RATE = 50.0  # units per second, more than the budget's limit allows
FAULTS_PER_WALK = 20  # of each kind

CoreFactory = Callable[..., Core]


class InFlight(NamedTuple):
    """A message that is sent and not delivered yet."""

    target: str
    incarnation: int  # process that ran at the target when it was sent; a new one has another address
    message: Message


@dataclass
class FleetState:
    """State of the three processes, of the messages in flight and of the faults that are still allowed."""

    now: float = 0.0
    cores: dict[str, Any] = field(default_factory=dict)  # None: not running
    in_flight: list[InFlight] = field(default_factory=list)
    # By killed process: end of the window, units in use in it.
    dead_usage: list[tuple[float, int]] = field(default_factory=list)
    stopped: str = ""  # name of the paused process
    duplicates_left: int = 1
    pauses_left: int = 1
    kills_left: int = 1
    jumps_left: int = 2
    demand_changes_left: int = 2

    def key(self) -> str:
        """Identity of a state, with times relative to now."""
        parts = []
        for name, core in self.cores.items():
            if core is None:
                parts.append((name, None))
                continue
            leadership = core.leadership
            leader_key = leadership and (
                leadership.term, leadership.elected_at is not None,
                sorted((n, round(at - self.now, 2)) for n, at in leadership.acks.items()),
                sorted((key, [(g.seq, g.units, round(g.expires_at - self.now, 2)) for g in record.grants])
                       for key, record in leadership.processes.items()), leadership.unreported,
            )  # fmt: skip
            parts.append(
                (
                    name,
                    core.incarnation,
                    core.promise,
                    core.applied_grant,
                    core.local_budgets[0].allocation,
                    core.local_budgets[0].leased_usage.read(self.now),
                    round(core.lease_expires_at - self.now, 2),
                    round(core.promise_expires_at - self.now, 2),
                    round(core.next_wake_at - self.now, 2),
                    leader_key,
                )
            )
        in_flight = [(sent.target, sent.incarnation, sent.message.kind, sent.message.term, sent.message.seq,
                      sent.message.parts, sent.message.cans, round(sent.message.echo - self.now, 2))
                     for sent in self.in_flight]  # fmt: skip
        dead_usage = [(round(until - self.now, 2), in_use) for until, in_use in self.dead_usage]
        return repr((parts, in_flight, dead_usage, self.stopped, self.duplicates_left, self.pauses_left,
                     self.kills_left, self.jumps_left, self.demand_changes_left))  # fmt: skip


def _start_process(state: FleetState, name: str, make: CoreFactory) -> None:
    rng = Random(f"{name} {state.now:.3f}")
    state.cores[name] = make(name, NAMES, [BUDGET], rng, state.now, timing=SHORT_TIMING)


def initial_state(make: CoreFactory = Core) -> FleetState:
    """A fleet with an elected leader that has allocated all leasable units.

    Raises AssertionError if no leader gets there.
    """
    state = FleetState()
    for name in NAMES:
        _start_process(state, name, make)
    for _ in range(MAX_SETUP_WAKES):
        apply_step(state, "wake " + min(NAMES, key=lambda name: state.cores[name].next_wake_at), make)
        while state.in_flight:
            apply_step(state, "deliver 0", make)
        if (
            sum(core.local_budgets[0].allocation for core in state.cores.values())
            == state.cores["a"].leasable[0]
        ):
            return state
    raise AssertionError("no leader was elected that allocated all units")


def choices(state: FleetState) -> list[str]:
    """The steps that are possible in this state."""
    steps = []
    for name, core in state.cores.items():
        if core is None:
            steps.append(f"start {name}")
        elif name != state.stopped:
            steps.append(f"wake {name}")
            if state.demand_changes_left:
                steps.append(f"want {name}")
            if state.kills_left:
                steps.append(f"kill {name}")
            if state.pauses_left and not state.stopped:
                steps.append(f"stop {name}")
    if state.stopped:
        steps.append("go")
    for index in range(min(len(state.in_flight), DELIVERY_CHOICES)):
        steps += [f"deliver {index}", f"lose {index}"]
        if state.duplicates_left:
            steps.append(f"copy {index}")
    if state.jumps_left:
        steps += [f"jump {seconds}" for seconds in JUMP_SECONDS]
    return steps


def apply_step(state: FleetState, step: str, make: CoreFactory = Core) -> str:
    """Carries out a step in place. Returns the invariant that is broken after it, or ""."""
    kind, _, argument = step.partition(" ")
    if kind == "wake":
        core = state.cores[argument]
        state.now = max(state.now, core.next_wake_at)
        core.wake(state.now)
        _send_messages(state, core)
    elif kind == "deliver":
        sent = state.in_flight.pop(int(argument))
        core = state.cores[sent.target]
        if core is not None and core.incarnation == sent.incarnation:
            if sent.target == state.stopped:
                state.in_flight.append(sent)
                return ""
            core.on_message(state.now, sent.message)
            _send_messages(state, core)
    elif inject_fault(state, kind, argument):
        pass
    elif kind == "go":
        state.stopped = ""
    elif kind == "want":
        state.demand_changes_left -= 1
        for name, core in state.cores.items():
            if core is not None:
                core.local_budgets[0].demand_rate, core.local_budgets[0].demand_updated_at = (
                    HIGH_DEMAND_RATE * (name == argument),
                    state.now,
                )
                core.local_budgets[0].recent_requests = 0
    elif kind == "kill":
        state.kills_left -= 1
        in_use = state.cores[argument].local_budgets[0].leased_usage.read(state.now)
        state.dead_usage.append((state.now + BUDGET.window, in_use))
        state.cores[argument] = None
        state.stopped = "" if state.stopped == argument else state.stopped
    elif kind == "start":
        _start_process(state, argument, make)
    else:
        state.jumps_left -= 1
        state.now += float(argument)
    _spend_all(state)
    return broken_invariant(state)


def _send_messages(state: FleetState, core: Core) -> None:
    actions = core.take_actions()
    while actions:
        action = actions.pop(0)
        target = state.cores.get(action.target)
        if target is core:
            core.on_message(state.now, action.message)
            actions += core.take_actions()
        elif target is not None:
            state.in_flight.append(InFlight(action.target, target.incarnation, action.message))
    del state.in_flight[: max(len(state.in_flight) - MAX_IN_FLIGHT, 0)]


def _spend_all(state: FleetState) -> None:
    """Every running process spends all its leased units."""
    for name, core in state.cores.items():
        if core is not None and name != state.stopped:
            local = core.local_budgets[0]
            while local.leased_usage.read(state.now) < local.allocation and core.try_spend(0, state.now):
                if local.floor_usage.sum:  # the floor belongs to the node in any case and is not checked here
                    break


def broken_invariant(state: FleetState) -> str:
    """Describes the breach if more leased units may be in use than are leasable; otherwise ""."""
    in_use = sum(units for until, units in state.dead_usage if until > state.now)
    running = [core for core in state.cores.values() if core is not None]
    leased = in_use + sum(core.max_leased_units(0, state.now) for core in running)
    if running and leased > running[0].leasable[0]:
        return f"{leased} of {running[0].leasable[0]} leased units may be in use"
    return ""


def explore(depth: int, max_states: int, make: CoreFactory = Core) -> Result:
    """Searches all states within `depth` steps, but not more than about `max_states`."""
    return breadth_first(
        initial_state(make), choices, lambda state, step: apply_step(state, step, make), depth, max_states
    )


# Weights that leave a leader in office most of the time and inject a fault now and then.
STEP_WEIGHTS = {"wake": 2.0, "deliver": 8.0, "lose": 0.5, "copy": 0.3, "stop": 0.06, "go": 0.1, "kill": 0.04,
                "start": 0.3, "jump": 0.03, "want": 0.15}  # fmt: skip


def random_walk(seed: int, steps: int = 400, make: CoreFactory = Core) -> str:
    """One random run, far deeper than the exhaustive search goes. Returns the invariant that broke, or ""."""
    rng, state = Random(seed), initial_state(make)
    state.duplicates_left = state.pauses_left = state.kills_left = state.jumps_left = (
        state.demand_changes_left
    ) = FAULTS_PER_WALK
    for _ in range(steps):
        possible = choices(state)
        weights = [STEP_WEIGHTS[step.partition(" ")[0]] for step in possible]
        if breach := apply_step(state, rng.choices(possible, weights)[0], make):
            return breach
    return ""


# Cores with a planted fault. The checks above have to detect each of them. Results are stored under the names
# of these classes.


class RaisesEarly(Core):
    """Allocates units that other processes were told to give up before they have reported so."""

    def unallocated(self, index: int) -> int:
        leadership = self.leadership
        outstanding = sum(
            record.grants[-1].units[index] for record in leadership.processes.values() if record.grants
        )
        return (
            self.leasable[index]
            - outstanding
            - (leadership.unreported[index] if self.now < leadership.earlier_leases_end else 0)
        )


class ForgetsLimbo(Core):
    """As a new leader, forgets the units in limbo: those that processes without a report may still hold."""

    def _on_elected(self) -> None:
        super()._on_elected()
        self.leadership.unreported = [0 for _ in self.leasable]


class SpendsAfterPause(Core):
    """Spends without checking that the lease outlasts the window in which the unit counts as used."""

    def try_spend(self, index: int, now: float) -> bool:
        local = self.local_budgets[index]
        if local.leased_usage.read(now) < local.allocation:
            local.leased_usage.add(now)
            return True
        return super().try_spend(index, now)


class KeepsItsPart(Core):
    """Continues with the allocation of the previous process after a restart, under a fresh lease."""

    last_allocation: dict[str, int] = {}

    def _on_grant(self, message: Message) -> None:
        super()._on_grant(message)
        self.last_allocation[self.name] = self.local_budgets[0].allocation

    def __init__(self, name: str, names: Any, budgets: Any, rng: Random, now: float, **options: Any) -> None:
        super().__init__(name, names, budgets, rng, now, **options)
        if now > 0.0 and name in self.last_allocation:
            self.local_budgets[0].allocation, self.lease_expires_at = (
                self.last_allocation[name],
                now + self.lease_seconds,
            )


class AnyMajority(Core):
    """Leads on the promise of any node, however old, instead of valid promises of more than half."""

    def _quorum_expires_at(self) -> float:
        return max(self.leadership.acks.values(), default=0.0) + 100.0


class OldGrants(Core):
    """Applies grants that arrive late or twice instead of ignoring them."""

    def _on_grant(self, message: Message) -> None:
        if message.term == self.applied_grant[0] and message.seq <= self.applied_grant[1]:
            self.applied_grant = (message.term, message.seq - 1)
        super()._on_grant(message)


PLANTED_FAULTS = (RaisesEarly, ForgetsLimbo, SpendsAfterPause, KeepsItsPart, AnyMajority, OldGrants)
