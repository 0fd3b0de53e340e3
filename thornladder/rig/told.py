"""The node against a reference model of when a change of the backend list takes effect, in virtual time.

`ReferenceModel` implements the operators' terms (docs/assumptions.md, 'When a change counts as told'). It
knows the true changes of the list, what the list service wrote and which faults there were. Of the node it
sees only the first byte of each push, and it uses no value that the node computes. `run_schedule` runs the
real watch, host, decisions and pushes against a scripted list service and in-memory backends.
"""

from __future__ import annotations

import asyncio
import json
import math
import traceback
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import anyio

from thornladder import interface as api
from thornladder.interface import Idempotency, Limits, Offering
from thornladder.node import messages
from thornladder.node.backends.pool import Pool
from thornladder.node.backends.pushes import PushDispatcher
from thornladder.node.discovery.watch import Watch
from thornladder.node.exchange import Exchange
from thornladder.node.host import NodeHost
from thornladder.node.http1 import Cause, Failure, Stage, UpstreamConnection
from thornladder.node.memory.budget import MemoryBudget
from thornladder.node.messages import ClientResponse, FinalOutcome, PackedHeaders, UpstreamRequest
from thornladder.node.tasks import Tasks
from thornladder.rig import moments
from thornladder.rig.moments import MemoryStream, Peer
from thornladder.rig.standins import instance_entry

# The operators' terms: when a change that a watch missed takes effect at the latest. The times count from the
# silence of the watch, from the move to another address, and from the end of the hold time of a silent poll;
# for a silence, the later of its two times holds.
SILENCE_LIMIT_SECONDS, MOVE_LIMIT_SECONDS, HOLD_LIMIT_SECONDS = 6.0, 4.0, 2.0
REACHABLE_LIMIT_SECONDS = 6.0  # after the list service had the change and was reachable, whatever else holds
SOCKET_SLACK_SECONDS = 0.05  # added to each limit on sockets
SAME_WATCH_SECONDS = 0.2  # a poll within this time of the last answer continues the same watch
QUEUE_TIMEOUT_SECONDS = 2.0  # the list service refuses a poll that would wait longer than this in its queue
# The setting MustAskIn, and the multiple of it that a node has after a failed poll.
MUST_ASK_SECONDS, FAILED_POLL_FACTOR = 10.0, 4.0


class Change(NamedTuple):
    """A true change of the list: from `at` on, in seconds, `backend` is listed with `state`."""

    at: float
    backend: str
    state: str


class Silence(NamedTuple):
    """A watch fell silent at `at`, with a poll in flight whose hold time ends at `hold_ends_at`."""

    at: float
    hold_ends_at: float


@dataclass
class ReferenceModel:
    """The operators' terms, over a record of events. All times are in seconds.

    Events are recorded as they happen; `effective_at` and `breaches` evaluate the whole record afterwards.
    """

    list_pushed: bool  # whether the list is pushed to the nodes
    drain_grace: float  # the setting Grace
    must_ask_seconds: float = MUST_ASK_SECONDS
    changes: list[Change] = field(default_factory=list)  # in order of versions; the first is version 2
    written: list[tuple[float, int]] = field(default_factory=list)  # responses: time, latest version included
    silences: list[Silence] = field(default_factory=list)
    moves: list[float] = field(default_factory=list)  # when the node was sent to another address
    away: list[tuple[float, float]] = field(default_factory=list)  # outages of discovery: start, end
    ended: list[float] = field(default_factory=list)  # when a watch was reset
    refused: list[float] = field(default_factory=list)  # when a poll failed
    pushes: list[tuple[float, str]] = field(default_factory=list)  # first bytes: time, backend

    def delivered_at(self, version: int) -> float:
        """When a response with this version was first written to the node; infinity for never."""
        return min((at for at, latest in self.written if latest >= version), default=math.inf)

    def effective_at(self, index: int) -> float:
        """When a change takes effect: on its delivery, or by the first term that applies before."""
        at, version = self.changes[index].at, index + 2
        candidates = [
            self.delivered_at(version),
            self._reachable_from(max(at, 0.0)) + REACHABLE_LIMIT_SECONDS,
        ]
        # Changes that a watch missed in its silence, or that were made between two of its polls.
        silences = [
            silence
            for silence in self.silences
            if silence.at - SAME_WATCH_SECONDS <= at < self._next_response_after(silence.at)
        ]
        candidates += [
            max(at, silence.at + SILENCE_LIMIT_SECONDS, silence.hold_ends_at + HOLD_LIMIT_SECONDS)
            for silence in silences
        ]
        moves = [
            move for move in self.moves if move - SAME_WATCH_SECONDS <= at < self._next_response_after(move)
        ]
        candidates += [max(at, move + MOVE_LIMIT_SECONDS) for move in moves]
        if not self.list_pushed:
            candidates += [
                max(at, self._must_ask_deadline(end))
                for end in self.ended
                if at < self._next_response_after(end)
            ]
        elif not silences and not any(move <= at for move in moves):
            # A pushed list takes effect as soon as discovery has it; an unreachable discovery learns nothing.
            candidates.append(max(self._reachable_from(at), 0.0))
        return min(candidates)

    def _reachable_from(self, since: float) -> float:
        """When discovery was reachable, at or after `since`; the process started at 0."""
        for start, end in sorted(self.away):
            if start <= since < end:
                since = end
        return since

    def _must_ask_deadline(self, since: float) -> float:
        """When changes take effect that a node without an answer missed after its watch ended at `since`."""
        deadline = since + self.must_ask_seconds
        for at in sorted(self.refused):
            if since <= at < min(deadline, self._next_response_after(since)):
                deadline = at + FAILED_POLL_FACTOR * self.must_ask_seconds
        after_outages = [
            end + self.must_ask_seconds for start, end in self.away if start <= deadline and end >= since
        ]
        return max([deadline, *after_outages])

    def _next_response_after(self, since: float) -> float:
        """When the first response after `since` was written; infinity for never."""
        return min((at for at, _ in self.written if at > since), default=math.inf)

    def breaches(self) -> list[tuple[float, str, float]]:
        """Pushes to a leaving backend after its change took effect and the grace passed.

        Each is the time of the push, the backend, and the seconds since the change took effect.
        """
        leaving: dict[str, list[tuple[float, float]]] = {}  # by backend: change effective, change reverted
        for index, change in enumerate(self.changes):
            if change.state == "in_service":
                continue
            later = (c.at for c in self.changes[index + 1 :] if c.backend == change.backend)
            leaving.setdefault(change.backend, []).append(
                (self.effective_at(index), min(later, default=math.inf))
            )
        return [
            (at, backend, at - effective_at)
            for at, backend in self.pushes for effective_at, reverted_at in leaving.get(backend, ())
            if effective_at + self.drain_grace + SOCKET_SLACK_SECONDS < at < reverted_at
        ]  # fmt: skip


@dataclass(frozen=True)
class Schedule:
    """A scenario: the configuration, the changes of the list and the faults. All times are in seconds."""

    seed: int
    list_pushed: bool = False
    drain_grace: float = 0.75
    backends: int = 12
    rate: float = 40.0  # invocations per second
    duration: float = 24.0
    watch_open_seconds: float = 0.05  # that the list service spends on each poll that opens a watch
    indented_json: bool = False  # whether the list service indents its JSON
    changes: tuple[Change, ...] = ()
    silent: tuple[tuple[float, int], ...] = ()  # open watches fall silent: when, after how many more bytes
    mute_new: tuple[tuple[float, int], ...] = ()  # new connections never answer: from when on, how many
    spoilt: tuple[tuple[float, bytes], ...] = ()  # one response is replaced: from when on, by which body
    resets: tuple[float, ...] = ()  # when all connections to the list service are reset
    away: tuple[tuple[float, float], ...] = ()  # outages of the list service: start, end
    callers: tuple[tuple[float, float], ...] = ()  # other callers queue up: when, seconds that they take
    # Polls fail: start, end, how: "503", "late 503" (after the queue timeout) or "reset".
    refusing: tuple[tuple[float, float, str], ...] = ()
    moves: tuple[float, ...] = ()  # when the list service moves and SIGHUP sends the node to the new address
    stalls: tuple[tuple[float, float], ...] = ()  # the node gets no CPU: when, for how long
    late_connect_share: float = 0.0  # of connections to backends that take up to a second to open


class ListConnection(Peer):
    """One connection of the node to the list service."""

    def __init__(self, service: ListService, mute: bool) -> None:
        self.service = service
        self.stream = MemoryStream(self)
        self.bytes_until_mute = 0 if mute else math.inf
        self.answered_at = -math.inf
        self.hold_ends_at = 0.0
        self.poll_in_flight = False

    def data_received(self, data: bytes) -> None:
        """Starts to handle a poll; each arrives as one write."""
        target = data.split(b" ", 2)[1].decode()
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        self.service.task_group.start_soon(
            self.service.handle_poll, self, int(query["from"]) if "from" in query else None,
            int(query.get("hold_ms", 0)) / 1000.0,
        )  # fmt: skip

    def connection_closed(self) -> None:
        self.service.connections.discard(self)

    @property
    def mute(self) -> bool:
        """Whether the service writes nothing more on this connection."""
        return self.bytes_until_mute <= 0


class ListService:
    """The discovery service, with the faults of a schedule; records what the reference model needs."""

    def __init__(self, schedule: Schedule, reference: ReferenceModel, task_group: Any) -> None:
        self.schedule, self.reference, self.task_group = schedule, reference, task_group
        self.connections: set[ListConnection] = set()
        self.version, self.port = 1, 0
        self.changed = anyio.Event()
        self.queue_free_at = 0.0  # when all polls in the queue have been handled
        self.muted_counts = [0] * len(schedule.mute_new)
        self.spoilt_count = 0

    @property
    def now(self) -> float:
        return anyio.current_time()

    def is_down(self) -> bool:
        """Whether the schedule has an outage now."""
        return any(start <= self.now < end for start, end in self.schedule.away)

    async def connect(self, address: tuple[str, int], _: float) -> UpstreamConnection | Failure:
        """Opens a connection; fails in an outage and at an address that the service has left."""
        await anyio.sleep(0.001)
        if self.is_down() or address[1] != self.port:
            self.reference.refused.append(self.now)
            return Failure(Stage.CONNECTING, Cause.NO_CONNECTION)
        mute = False
        for index, (since, limit) in enumerate(self.schedule.mute_new):
            if self.now >= since and self.muted_counts[index] < limit:
                self.muted_counts[index] += 1
                mute = True
        connection = ListConnection(self, mute)
        self.connections.add(connection)
        return UpstreamConnection(connection.stream)  # type: ignore[arg-type]

    async def handle_poll(
        self, connection: ListConnection, known_version: int | None, hold_seconds: float
    ) -> None:
        """Answers a poll once there are changes after `known_version` or the hold time is over."""
        received_at = ready_at = self.now
        connection.poll_in_flight, connection.hold_ends_at = True, received_at + hold_seconds
        if connection.mute:
            self._record_silence(connection)
        for start, end, how in self.schedule.refusing:
            if start <= received_at < end:
                await self._refuse(connection, how)
                return
        if received_at - connection.answered_at > SAME_WATCH_SECONDS and not self.schedule.list_pushed:
            turn_at = max(received_at, self.queue_free_at)
            if turn_at + self.schedule.watch_open_seconds - received_at > QUEUE_TIMEOUT_SECONDS:
                await self._refuse(connection, "late 503")
                return
            self.queue_free_at = ready_at = turn_at + self.schedule.watch_open_seconds
            await anyio.sleep_until(ready_at)
            connection.hold_ends_at = ready_at + hold_seconds
        with anyio.move_on_after(hold_seconds):
            while known_version is not None and known_version >= self.version:
                await self.changed.wait()
        entries = [
            list_entry(backend, change.state if change else "in_service")
            for backend, change in self._changes_since(known_version).items()
        ]
        body = json.dumps(
            {"generation": self.version, "reset": known_version is None, "instances": entries},
            indent=2 if self.schedule.indented_json else None,
        ).encode()  # fmt: skip
        next_spoilt = self.schedule.spoilt[self.spoilt_count : self.spoilt_count + 1]
        if due := [spoilt_body for since, spoilt_body in next_spoilt if self.now >= since]:
            self.spoilt_count += 1
            self._write(connection, _ok_response(due[0]))
            return
        if self._write(connection, _ok_response(body)):
            # Recorded as written when the service was ready: the node's own stalls are not the service's.
            last = max([change.at for change in self.reference.changes[: self.version - 1]], default=0.0)
            self.reference.written.append((min(max(ready_at, last), self.now), self.version))
        connection.answered_at = self.now

    async def _refuse(self, connection: ListConnection, how: str) -> None:
        """Fails a poll although the service is reachable; `how` is one of `Schedule.refusing`."""
        if how == "late 503":
            await anyio.sleep(QUEUE_TIMEOUT_SECONDS)
        self.reference.refused.append(self.now)
        if how == "reset":
            connection.stream.reset()
        else:
            self._write(connection, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")

    def _changes_since(self, known_version: int | None) -> dict[str, Change | None]:
        """The latest change after a version, by backend.

        Without a version: all backends, with None for those that never changed.
        """
        changes = self.reference.changes[: self.version - 1]
        latest: dict[str, Change | None] = {}
        if known_version is None:
            latest = {f"s{number}": None for number in range(self.schedule.backends)}
        latest |= {change.backend: change for change in changes[max((known_version or 1) - 1, 0) :]}
        return latest

    def _write(self, connection: ListConnection, data: bytes) -> bool:
        """Writes a response as far as the connection is not mute; returns whether all of it was written."""
        connection.poll_in_flight = False
        if connection.stream.reset_by_peer or connection.stream.closed:
            return False
        if connection.bytes_until_mute < len(data):
            written, connection.bytes_until_mute = int(connection.bytes_until_mute), 0
            if written:
                self._record_silence(connection)
                connection.stream.feed(data[:written])
            return False
        connection.bytes_until_mute -= len(data)
        connection.stream.feed(data)
        return True

    def _record_silence(self, connection: ListConnection) -> None:
        self.reference.silences.append(Silence(self.now, connection.hold_ends_at))

    # Events of the schedule.

    def apply_change(self, change: Change) -> None:
        """Makes a change the next version of the list, which ends the hold of open polls."""
        self.reference.changes.append(change)
        self.version += 1
        self.changed.set()
        self.changed = anyio.Event()

    def silence_watches(self, after_bytes: int) -> None:
        """Mutes the open connections: at once, or after so many more bytes if a poll is in flight."""
        for connection in self.connections:
            if not connection.mute:
                connection.bytes_until_mute = after_bytes if connection.poll_in_flight else 0
                if connection.mute:
                    self._record_silence(connection)

    def reset_connections(self) -> None:
        """Resets all connections; for the reference model, a mute one had no watch left to end."""
        for connection in list(self.connections):
            connection.stream.reset()
            if not connection.mute:
                self.reference.ended.append(self.now)
        self.connections.clear()

    def occupy_queue(self, seconds: float) -> None:
        """Queues other callers ahead of the node's next poll, which take `seconds` to handle."""
        self.queue_free_at = max(self.queue_free_at, self.now) + seconds

    def move(self) -> int:
        """Moves the service to the next port, which it returns."""
        self.port += 1
        self.reference.moves.append(self.now)
        return self.port


def _ok_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


LOOK_OFFERING = Offering("look", Idempotency.REPEATABLE, "all", 0.0, 0.4, 1.5, 1.0, 0.0)


def decision_settings(nodes: int, list_pushed: bool) -> dict[str, Any]:
    """Keyword arguments of `decide.Node`, under which only the list and the traffic matter."""
    return {
        "zone": "x", "rank": 0, "nodes": nodes, "offerings": [LOOK_OFFERING], "tenants": [],
        "over_share_worth": 0.1, "utility_by_work": False, "limits": Limits(3, False, True, True, 0.5),
        "cold": api.SlowStartRule(
            initial_capacity=1.0, warm_up=1.0, overload_multiple=100.0, overload_window=1.0
        ),
        "must_ask_in": 0.0 if list_pushed else MUST_ASK_SECONDS,
    }  # fmt: skip


def list_entry(backend: str, state: str) -> dict[str, Any]:
    """A backend as the list service's JSON has it. `backend` is "s" and a number, which sets its port."""
    return instance_entry(backend, int(backend[1:]) + 1, "x", 0.0, state)


class BackendConnection(Peer):
    """One connection to a backend, which records the first byte of each push and answers it."""

    RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

    def __init__(self, simulation: NodeSimulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.stream = MemoryStream(self)

    def data_received(self, data: bytes) -> None:
        if not data.startswith(b"GET /health"):
            self.simulation.reference.pushes.append((anyio.current_time(), self.name))
        self.simulation.task_group.start_soon(self._respond)

    async def _respond(self) -> None:
        await anyio.sleep(0.02 + 0.1 * self.simulation.rng.random())
        self.stream.feed(self.RESPONSE)


class NodeSimulation:
    """One node with its list service and its backends, for the duration of a schedule."""

    def __init__(self, schedule: Schedule, log: Any) -> None:
        self.schedule, self.log = schedule, log
        self.rng = Random(schedule.seed)
        self.reference = ReferenceModel(schedule.list_pushed, schedule.drain_grace)
        self.reference.away = list(schedule.away)
        self.outcomes = dict.fromkeys(FinalOutcome, 0)
        self.task_group: Any

    async def run(self) -> NodeSimulation:
        """Runs the schedule to its end and returns the simulation."""
        async with anyio.create_task_group() as self.task_group:
            self.service = ListService(self.schedule, self.reference, self.task_group)
            tasks = Tasks(self.task_group, self.log)
            clock = anyio.current_time
            host = NodeHost(clock, tasks, self.log)  # type: ignore[arg-type]
            pool = Pool(4096, 60.0, 1.0, clock, connect=self._connect)
            pushes = PushDispatcher(
                pool, self.schedule.drain_grace, False, MemoryBudget(2**20), tasks, host, clock, self.log
            )
            entries = [list_entry(f"s{number}", "in_service") for number in range(self.schedule.backends)]
            initial_list = messages.decode_list({"generation": 1, "reset": True, "instances": entries})
            watch = Watch(("list", 0), 1, tasks, host.on_list_answer, self.log, connect=self.service.connect,
                          list_pushed=self.schedule.list_pushed)  # fmt: skip
            list_pushed = self.schedule.list_pushed
            host.start(
                pushes,
                watch,
                initial_list,
                self.schedule.seed,
                list_pushed,
                decision_settings(1, list_pushed),
            )
            self.task_group.start_soon(self._run_events, watch)
            await self._run_clients(host)
            self.task_group.cancel_scope.cancel()
        return self

    async def _connect(self, address: tuple[str, int], timeout: float) -> UpstreamConnection | Failure:
        delay = self.rng.random() if self.rng.random() < self.schedule.late_connect_share else 0.001
        await anyio.sleep(min(delay, timeout))
        if delay > timeout:
            return Failure(Stage.CONNECTING, Cause.NO_CONNECTION)
        return UpstreamConnection(BackendConnection(self, f"s{address[1] - 1}").stream)  # type: ignore[arg-type]

    async def _run_clients(self, host: NodeHost) -> None:
        """Starts invocations as a Poisson process until the schedule ends."""
        number = 0
        while anyio.current_time() < self.schedule.duration:
            await anyio.sleep(self.rng.expovariate(self.schedule.rate))
            number += 1
            invocation = api.Invocation(f"i{number}", "look", "t", LOOK_OFFERING.cut_off, None, False)
            message = UpstreamRequest(
                b"GET", b"/look", PackedHeaders(b"x-call-id:" + invocation.id.encode()), b""
            )
            host.start_invocation(Exchange(invocation, message, self._on_response))

    def _on_response(self, response: ClientResponse) -> None:
        self.outcomes[response.outcome] += 1

    async def _run_events(self, watch: Watch) -> None:
        """Carries out the changes and faults of the schedule at their times."""
        schedule, service = self.schedule, self.service
        events = [(change.at, service.apply_change, (change,)) for change in schedule.changes]
        events += [(at, service.silence_watches, (after_bytes,)) for at, after_bytes in schedule.silent]
        events += [
            (at, service.reset_connections, ())
            for at in (*schedule.resets, *(start for start, _ in schedule.away))
        ]
        events += [(at, service.occupy_queue, (seconds,)) for at, seconds in schedule.callers]
        events += [(at, lambda: watch.move(("list", service.move())), ()) for at in schedule.moves]
        loop: Any = asyncio.get_running_loop()
        events += [(at, loop.stall, (seconds,)) for at, seconds in schedule.stalls]
        for at, action, arguments in sorted(events, key=lambda event: event[0]):
            await anyio.sleep_until(at)
            action(*arguments)


class _RecordingLog:
    """A log that keeps the names of events, and the tracebacks of exceptions that nothing handled."""

    def __init__(self) -> None:
        self.errors: list[str] = []
        self.events: list[str] = []

    def exception(self, event: str, **_: Any) -> None:
        self.errors.append(f"{event}: {traceback.format_exc(limit=-3)}")

    def __getattr__(self, _: str) -> Any:
        return lambda event, **fields: self.events.append(event)


def run_schedule(schedule: Schedule) -> NodeSimulation:
    """Runs a schedule in virtual time; `reference.breaches()` of the result is the verdict.

    Raises AssertionError if the node logged an exception.
    """
    log = _RecordingLog()
    simulation = moments.run(NodeSimulation(schedule, log).run)
    assert not log.errors, log.errors[0]
    return simulation
