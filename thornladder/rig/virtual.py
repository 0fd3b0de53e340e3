"""Simulation of membership in virtual time: unmodified cores and the rig's faults on one queue of events.

The simulation knows which members really run and sees nothing of the cores' reasons. The same seed gives the
same run.
"""

from __future__ import annotations

import heapq
import itertools
import math
import time
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, NamedTuple, Protocol

from thornladder.membership.core import Action, ConnectionOutcome, ConnectionProbe, Core, Send, Sync
from thornladder.membership.wire import Message, decode, encode
from thornladder.rig.faults import Fault, LinkConditions, NodeAction, VirtualProcess, node_actions

DATAGRAM_HEADER_BYTES = 28  # UDP and IP
CONNECTION_OVERHEAD_BYTES = 240  # to open and close a connection, approximately
PROBE_TIMEOUT_SECONDS = 0.5  # of a connection probe
SYNC_TIMEOUT_SECONDS = 3.0  # of an exchange of whole views


class MemberCore(Protocol):
    """What the simulation needs of a membership core: ours or a baseline."""

    actions: list[Action]

    @property
    def next_wake_at(self) -> float: ...
    @property
    def members(self) -> list[str]: ...
    def wake(self, now: float) -> None: ...
    def on_message(self, now: float, source: str, message: Message, by_connection: bool = False) -> None: ...
    def take_actions(self) -> list[Action]: ...
    def take_changes(self) -> list[Any]: ...


class MemberChange(NamedTuple):
    """A change of the state that `observer` holds `subject` to have."""

    at: float
    observer: str
    subject: str
    state: str
    view_changed: bool


class SimulatedMember(VirtualProcess):
    """A member by its name, over all processes that run under it, and what they have cost."""

    def __init__(self, name: str, address: str) -> None:
        super().__init__()
        self.name, self.address = name, address
        self.start_count = 0
        self.wake_number = 0  # of the pending wake-up; one with a lower number was superseded
        self.bytes_sent = self.messages_sent = 0
        self.cpu_seconds = 0.0


CoreFactory = Callable[[str, str, Sequence[str], Random, float], Any]


def ours(name: str, address: str, seeds: Sequence[str], rng: Random, now: float) -> Core:
    """The `CoreFactory` of the real core."""
    return Core(name, address, "fleet", seeds, rng, now)


class Simulation:
    """Members on a network with faults. All times are in seconds of virtual time."""

    SOCKET_BUFFER_DATAGRAMS = 2000  # that the kernel keeps for a stopped process

    def __init__(
        self, names: Sequence[str], faults: Sequence[Fault], seed: int, make: CoreFactory = ours,
        seeds: int = 3, joined: bool = True, skew: dict[str, float] | None = None,
    ) -> None:  # fmt: skip
        """Starts all members.

        `make` creates the core of a process. `seeds`: how many members are seeds. `joined`: all members know
        each other from the start. `skew`: by how many seconds a member's clock is ahead, by its name.
        """
        self.rng = Random(seed)
        self.now = 0.0
        self.make, self.skew = make, skew or {}
        self.network = LinkConditions(faults)
        self.members = {
            name: SimulatedMember(name, f"10.0.{k // 250}.{k % 250}:7946") for k, name in enumerate(names)
        }
        self.by_address = {member.address: member for member in self.members.values()}
        self.seeds = [member.address for member in self.members.values()][:seeds]
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.event_numbers = itertools.count()
        self.changes: list[MemberChange] = []  # of all members, in order of time
        self.step_hooks: list[Callable[[Simulation, SimulatedMember], None]] = []  # called after each step
        for name in names:
            self.start(name)
        if joined:
            self.introduce()
        for node_action in node_actions(faults, self.rng):
            self.schedule(node_action.at, self._apply_node_action, node_action)

    def introduce(self) -> None:
        """Gives every member the whole view, as after a long time without changes."""
        items = [member.core.own_item for member in self.members.values()]
        for member in self.members.values():
            member.core.bootstrap(items)
            member.core.take_changes()

    # Events.

    def schedule(self, at: float, callback: Callable[..., None], *args: Any) -> None:
        """Calls `callback` at the time `at`."""
        heapq.heappush(self.events, (at, next(self.event_numbers), callback, args))

    def run(self, until: float) -> None:
        """Runs the events up to the time `until`."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.now = until

    def _local_time(self, member: SimulatedMember) -> float:
        return self.now + self.skew.get(member.name, 0.0)

    def start(self, name: str) -> None:
        """Starts a process of the member unless one runs."""
        member = self.members[name]
        if member.core is not None:
            return
        member.start_count += 1
        rng = Random(f"{name} {member.start_count} {self.rng.random()}")
        member.core = self.make(name, member.address, self.seeds, rng, self._local_time(member))
        member.stopped, member.pending_calls = False, []
        self._schedule_wake(member)

    def _schedule_wake(self, member: SimulatedMember) -> None:
        wake_at = member.core.next_wake_at - self.skew.get(member.name, 0.0)
        member.wake_number += 1
        self.schedule(max(wake_at, self.now), self._wake, member, member.core, member.wake_number)

    def _wake(self, member: SimulatedMember, core: Any, number: int) -> None:
        # A superseded wake-up must not schedule another one, or wake-ups would multiply.
        if member.core is not core or number != member.wake_number:
            return
        if member.stopped:
            member.pending_calls.append((self._wake, (member, core, number)))
            return
        if core.next_wake_at - self.skew.get(member.name, 0.0) <= self.now + 1e-9:
            self._step(member, core.wake, self._local_time(member))
        self._schedule_wake(member)

    def _step(self, member: SimulatedMember, callback: Callable[..., None], *args: Any) -> None:
        """Calls into the member's core, and carries out the actions and records the changes that result."""
        started_at = time.perf_counter()
        callback(*args)
        member.cpu_seconds += time.perf_counter() - started_at
        core = member.core
        for action in core.take_actions():
            self._perform_action(member, action)
        for change in core.take_changes():
            self.changes.append(
                MemberChange(self.now, member.name, change.name, change.state, change.view_changed)
            )
        for hook in self.step_hooks:
            hook(self, member)

    def _deliver(
        self, member: SimulatedMember, source: str, data: bytes, by_connection: bool = False
    ) -> None:
        if member.core is None:
            return
        if member.stopped:
            if len(member.pending_calls) < self.SOCKET_BUFFER_DATAGRAMS:
                member.pending_calls.append((self._deliver, (member, source, data, by_connection)))
            return
        message = decode(data)
        if message is not None:
            wake_at = member.core.next_wake_at
            self._step(
                member, member.core.on_message, self._local_time(member), source, message, by_connection
            )
            if member.core.next_wake_at < wake_at - 1e-9:
                self._schedule_wake(member)

    # Actions of members.

    def _perform_action(self, member: SimulatedMember, action: Action) -> None:
        target = self.by_address.get(action.address)
        if isinstance(action, Send):
            data = encode(action.message)
            member.bytes_sent += len(data) + DATAGRAM_HEADER_BYTES
            member.messages_sent += 1
            if target is not None:
                self._send(member, target, data)
        elif isinstance(action, ConnectionProbe):
            self._probe(member, target, action)
        elif isinstance(action, Sync) and target is not None:
            self._sync(member, target)

    def _send(self, member: SimulatedMember, target: SimulatedMember, data: bytes) -> None:
        for delay in self.network.datagram_delays(self.now, member.name, target.name, len(data), self.rng):
            self.schedule(self.now + delay, self._deliver, target, member.address, data)

    def _round_trip_time(self, a: SimulatedMember, b: SimulatedMember, size: int) -> float | None:
        """Seconds to b and back over a connection; None if either direction is cut."""
        outbound = self.network.stream_delay(self.now, a.name, b.name, size, self.rng)
        inbound = self.network.stream_delay(self.now, b.name, a.name, size, self.rng)
        return None if outbound is None or inbound is None else outbound + inbound

    def _probe(
        self, member: SimulatedMember, target: SimulatedMember | None, action: ConnectionProbe
    ) -> None:
        member.bytes_sent += CONNECTION_OVERHEAD_BYTES
        number = action.message.number
        round_trip_time = self._round_trip_time(member, target, 100) if target else None
        if round_trip_time is None or round_trip_time > PROBE_TIMEOUT_SECONDS:
            return
        if target.core is None:
            self.schedule(self.now + round_trip_time, self._on_probe_refused, member, member.core, number)
        elif not target.stopped:
            reply = encode(target.core.reply_to(action.message))
            self.schedule(self.now + round_trip_time, self._deliver, member, target.address, reply, True)

    def _on_probe_refused(self, member: SimulatedMember, core: Any, number: int) -> None:
        if member.core is core and not member.stopped:
            self._step(
                member,
                core.on_connection_outcome,
                self._local_time(member),
                number,
                ConnectionOutcome.REFUSED,
            )

    def _sync(self, member: SimulatedMember, target: SimulatedMember) -> None:
        view = member.core.view_message()
        data = encode(view)
        round_trip_time = self._round_trip_time(member, target, min(len(data), 1400))
        if (
            round_trip_time is None
            or round_trip_time > SYNC_TIMEOUT_SECONDS
            or target.core is None
            or target.stopped
        ):
            return
        reply = encode(target.core.reply_to(view))
        member.bytes_sent += len(data) + CONNECTION_OVERHEAD_BYTES
        target.bytes_sent += len(reply) + CONNECTION_OVERHEAD_BYTES
        self.schedule(self.now + round_trip_time / 2.0, self._deliver, target, member.address, data, True)
        self.schedule(self.now + round_trip_time, self._deliver, member, target.address, reply, True)

    # Faults of processes.

    def _apply_node_action(self, node_action: NodeAction) -> None:
        member = self.members[node_action.node]
        if node_action.kind == "start":
            self.start(node_action.node)
        elif member.core is None:
            return
        elif node_action.kind == "stop":
            member.stopped = True
        elif node_action.kind == "go" and member.stopped:
            member.resume()
        elif node_action.kind in ("kill", "end"):
            if node_action.kind == "end" and not member.stopped:
                member.core.leave(self._local_time(member))
                for action in member.core.take_actions():
                    self._perform_action(member, action)
            member.terminate()

    # The true state.

    @property
    def running(self) -> list[str]:
        """Names of the members that run, in order."""
        return sorted(name for name, member in self.members.items() if member.core is not None)

    def has_converged(self, names: Iterable[str] | None = None) -> bool:
        """Whether every member of `names` holds exactly these to be alive; all running ones by default."""
        expected = self.running if names is None else sorted(names)
        return all(self.members[name].core.members == expected for name in expected)

    def run_until_converged(self, limit: float, step: float = 0.1) -> float:
        """Runs until all views are the true one; returns the seconds taken, infinity past `limit`."""
        started_at = self.now
        while not self.has_converged():
            if self.now - started_at >= limit:
                return math.inf
            self.run(self.now + step)
        return self.now - started_at
