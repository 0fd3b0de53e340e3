"""Bounded model checking of three members: all orders of delivery, loss, duplicates, pauses and a restart.

It runs the core itself, not a model of it. The search is breadth-first, so that every interleaving up to a
finished depth has been covered. A breach of an invariant comes with the steps that lead to it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from thornladder.exploration import Result, breadth_first, inject_fault
from thornladder.membership.core import ConnectionOutcome, ConnectionProbe, Core, Send, Sync, Timing
from thornladder.membership.wire import Message, State

# Short timeouts, so that changes of state lie within the depth that steps be searched.
SHORT_TIMING = Timing(
    probe_interval=0.25, ack_timeout=0.1, probe_timeout=0.2, suspicion_timeout=0.4, two_witness_delay=0.1,
    isolation_timeout=0.3, rejoin_interval=0.5, sync_interval=0.3,
)  # fmt: skip
NAMES = ("a", "b", "c")
DELIVERY_CHOICES = 2  # oldest messages in flight that may come next; more reordering takes several steps
MAX_IN_FLIGHT = 6  # further messages are dropped, as by a full queue


class InFlight(NamedTuple):
    """A message that is sent and not delivered yet."""

    target: str
    source: str
    message: Message


@dataclass
class FleetState:
    """State of the three members, of the messages in flight and of the faults still allowed.

    Has the attributes of `exploration.FaultableState`, which `inject_fault` changes.
    """

    now: float = 0.0
    cores: dict[str, Any] = field(default_factory=dict)  # None: not running
    stopped: str = ""
    in_flight: list[InFlight] = field(default_factory=list)
    duplicates_left: int = 1  # still allowed, like the next two
    pauses_left: int = 1
    kills: int = 1
    starts: int = 0  # so far
    # Newest process that one member (first name) has known of another.
    highest_seen: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)

    def key(self) -> Any:
        """Identity of a state: everything but counters, with times relative to now."""
        parts = []
        for name, core in self.cores.items():
            if core is None:
                parts.append((name, None))
                continue
            peers = tuple(
                (peer.item.order, peer.reachability.value, tuple(sorted(peer.reports.items())),
                 round(core.now - peer.last_evidence_at, 2))
                for _, peer in sorted(core.peers.items())
            )  # fmt: skip
            probes = tuple(
                (probe.name, round(probe.deadline - core.now, 2), probe.target_heard_us_ago)
                for probe in core.probes.values()
            )
            no_reports_for = round(max(core.no_reports_until - core.now, 0.0), 2)
            parts.append((name, core.own_item.order, peers, probes, no_reports_for,
                          round(core.next_wake_at - self.now, 2)))  # fmt: skip
        in_flight = tuple(
            (sent.target, sent.message.kind, sent.message.name, sent.message.number, sent.message.items)
            for sent in self.in_flight
        )
        return repr(
            (parts, self.stopped, in_flight, self.duplicates_left, self.pauses_left, self.kills, self.starts)
        )


def address(name: str) -> str:
    """Address of the member called `name`."""
    return f"{name}:1"


def initial_state(make: type[Core] = Core) -> FleetState:
    """Three running members that know each other."""
    fleet = FleetState()
    for name in NAMES:
        fleet.cores[name] = make(
            name, address(name), "f", [address("a")], Random(name), 0.0, timing=SHORT_TIMING
        )
    items = [core.own_item for core in fleet.cores.values()]
    for core in fleet.cores.values():
        core.bootstrap(items)
    return fleet


def choices(fleet: FleetState) -> list[str]:
    """The steps that are possible in this state."""
    steps = ["wake"]
    for index in range(min(len(fleet.in_flight), DELIVERY_CHOICES)):
        steps += [f"deliver {index}", f"lose {index}"]
        if fleet.duplicates_left:
            steps.append(f"copy {index}")
    if fleet.stopped:
        steps.append("go")
    elif fleet.pauses_left:
        steps += [f"stop {name}" for name in NAMES[1:] if fleet.cores[name] is not None]
    if fleet.kills:
        steps += [f"kill {name}" for name in NAMES[1:] if fleet.cores[name] is not None]
    steps += [f"start {name}" for name in NAMES if fleet.cores[name] is None]
    return steps


def apply_step(fleet: FleetState, step: str, make: type[Core] = Core) -> str:
    """Carries out a step in place. Returns the invariant that is broken after it, or ""."""
    kind, _, argument = step.partition(" ")
    if kind == "wake":
        running = [core for name, core in fleet.cores.items() if core is not None and name != fleet.stopped]
        next_core = min(running, key=lambda core: core.next_wake_at)
        fleet.now = max(fleet.now, next_core.next_wake_at)
        return _run_core(fleet, next_core, next_core.wake, fleet.now)
    if kind == "deliver":
        sent = fleet.in_flight[int(argument)]
        core = fleet.cores[sent.target]
        if sent.target == fleet.stopped:
            fleet.in_flight.append(fleet.in_flight.pop(int(argument)))  # waits until the process goes on
            return ""
        del fleet.in_flight[int(argument)]
        return _run_core(fleet, core, core.on_message, fleet.now, sent.source, sent.message) if core else ""
    if inject_fault(fleet, kind, argument):
        return ""
    if kind == "go":
        fleet.now += 1.0  # a pause outlasts all timeouts
        fleet.stopped = ""
    elif kind == "kill":
        fleet.kills -= 1
        fleet.cores[argument] = None
        fleet.stopped = "" if fleet.stopped == argument else fleet.stopped
    elif kind == "start":
        fleet.starts += 1
        rng = Random(f"{argument} again {fleet.starts}")
        fleet.cores[argument] = make(
            argument, address(argument), "f", [address(name) for name in NAMES], rng, fleet.now,
            timing=SHORT_TIMING,
        )  # fmt: skip
    return ""


def _run_core(fleet: FleetState, core: Core, handler: Any, *args: Any) -> str:
    reports_before = core.counters.reports_made
    handler(*args)
    for action in core.take_actions():
        _perform(fleet, core, action)
    core.take_changes()
    if (
        core.counters.reports_made > reports_before
        and core.now < core.no_reports_until
        and not _saw_refusal(core)
    ):
        return f"{core.name} reported another member before it had caught up"
    return broken_invariant(fleet)


def _saw_refusal(core: Core) -> bool:
    return any(State.REFUSED in peer.reports.values() or peer.item.state == State.ENDED
               for peer in core.peers.values())  # fmt: skip


def _perform(fleet: FleetState, core: Core, action: Any) -> None:
    target = action.address.split(":")[0]
    other = fleet.cores.get(target)
    if isinstance(action, Send):
        if len(fleet.in_flight) < MAX_IN_FLIGHT:
            fleet.in_flight.append(InFlight(target, address(core.name), action.message))
    elif isinstance(action, ConnectionProbe):
        if other is None:
            core.on_connection_outcome(fleet.now, action.message.number, ConnectionOutcome.REFUSED)
            for follow_up in core.take_actions():
                if isinstance(follow_up, Send):
                    _perform(fleet, core, follow_up)
    elif isinstance(action, Sync) and other is not None and target != fleet.stopped and other is not core:
        view = core.view_message()
        reply = other.reply_to(view)
        if len(fleet.in_flight) < MAX_IN_FLIGHT - 1:
            fleet.in_flight.append(InFlight(target, address(core.name), view))
            fleet.in_flight.append(InFlight(core.name, address(target), reply))


def broken_invariant(fleet: FleetState) -> str:
    """The first invariant that does not hold, as a sentence, or ""."""
    running = {name: core.own_item.process for name, core in fleet.cores.items() if core is not None}
    for name, core in fleet.cores.items():
        for subject, peer in core.peers.items() if core is not None else ():
            item = peer.item
            if subject == name:
                return f"{name} holds a record of itself"
            if item.state == State.ENDED and running.get(subject) == item.process:
                return f"{name} holds {subject} ENDED, but it is running"
            if item.state == State.LOST and len(set(item.by.split(","))) < 2:
                return f"{name} holds {subject} LOST by one witness only"
            newest = fleet.highest_seen.get((name, subject), (0, 0))
            if item.process < newest and fleet.starts == 0:
                return f"{name} fell back to an earlier process of {subject}"
            fleet.highest_seen[(name, subject)] = max(newest, item.process)
    return ""


def explore(depth: int, max_states: int, make: type[Core] = Core) -> Result:
    """Searches all states within `depth` steps, but not more than about `max_states`."""
    return breadth_first(
        initial_state(make), choices, lambda fleet, step: apply_step(fleet, step, make), depth, max_states
    )
