"""What a node is held to, and when: the operators' terms as a model, and a node played against it.

`Reference` knows the true changes of the list, what the list service wrote, and the terms; of the node it
sees the first byte of each push. Nothing in it comes from the node's own reckoning. `play` runs the real
watch, host, module and pushes in virtual time beside a scripted list service and backends in memory.
Terms: docs/assumptions.md, 'When a change counts as told'.
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
from thornladder.node.messages import ClientResponse, FinalOutcome, UpstreamRequest
from thornladder.node.streams import BodyBudget
from thornladder.node.tasks import Tasks
from thornladder.rig import moments
from thornladder.rig.moments import Peer, Wire
from thornladder.rig.standins import instance_entry

SILENCE, MOVED, AFTER_WAIT = 6.0, 4.0, 2.0  # seconds, of the terms
REACHED = 6.0  # seconds after discovery had a change and could be reached, whatever is allowed besides
SLACK = 0.05  # seconds that each limit is longer on sockets
AGAIN = 0.2  # seconds in which a watch goes on
TURN = 2.0  # seconds that the service lets a call wait for its turn
MUST_ASK_SECONDS, FAILED = 10.0, 4.0  # seconds of the settings; times as long after a failed call


class Change(NamedTuple):
    """One true change: from `at` on, seconds, the list says so."""

    at: float
    backend: str
    state: str


class Silence(NamedTuple):
    """A watch that fell silent at `at`, its call's wait over at `wait_over`."""

    at: float
    wait_over: float


@dataclass
class Reference:
    """The terms. Events come in as they happen; `told` and `breaches` look at them all afterwards."""

    list_pushed: bool  # whether lists are pushed
    drain_grace: float  # seconds, of the settings
    must_ask_seconds: float = MUST_ASK_SECONDS
    changes: list[Change] = field(default_factory=list)  # by version: the first is version 2
    written: list[tuple[float, int]] = field(default_factory=list)  # when, up to which version
    silences: list[Silence] = field(default_factory=list)
    moves: list[float] = field(default_factory=list)
    away: list[tuple[float, float]] = field(default_factory=list)  # when discovery was down
    ended: list[float] = field(default_factory=list)  # when a watch was reset
    refused: list[float] = field(default_factory=list)  # when a call failed
    pushes: list[tuple[float, str]] = field(default_factory=list)  # first bytes

    def arrived(self, version: int) -> float:
        """When an answer with this change was written to the node."""
        return min((at for at, upto in self.written if upto >= version), default=math.inf)

    def told(self, number: int) -> float:
        """When the change counts as told: written, or by the first of the terms that applies before."""
        at, version = self.changes[number].at, number + 2
        by = [self.arrived(version), self._reached(max(at, 0.0)) + REACHED]
        # What a watch kept back in its silence, and what was new in the moment between two of its calls.
        kept = [silence for silence in self.silences if silence.at - AGAIN <= at < self._heard(silence.at)]
        by += [max(at, silence.at + SILENCE, silence.wait_over + AFTER_WAIT) for silence in kept]
        moved = [move for move in self.moves if move - AGAIN <= at < self._heard(move)]
        by += [max(at, move + MOVED) for move in moved]
        if not self.list_pushed:
            by += [max(at, self._must_ask(end)) for end in self.ended if at < self._heard(end)]
        elif not kept and not any(move <= at for move in moved):
            # What the agent has counts; while it is down it learns nothing.
            by.append(max(self._reached(at), 0.0))
        return min(by)

    def _reached(self, since: float) -> float:
        """From when on discovery could be reached, at the earliest then; the process began at 0."""
        for start, end in sorted(self.away):
            if start <= since < end:
                since = end
        return since

    def _must_ask(self, since: float) -> float:
        """When a node whose watch ended then and that gets no answer is held to what it does not have."""
        limit = since + self.must_ask_seconds
        for at in sorted(self.refused):
            if since <= at < min(limit, self._heard(since)):
                limit = at + FAILED * self.must_ask_seconds
        back = [end + self.must_ask_seconds for start, end in self.away if start <= limit and end >= since]
        return max([limit, *back])

    def _heard(self, since: float) -> float:
        """When the next answer was written after some moment."""
        return min((at for at, _ in self.written if at > since), default=math.inf)

    def breaches(self) -> list[tuple[float, str, float]]:
        """Pushes that went to a backend told as leaving: when, to which, how long after it was told."""
        leaving: dict[str, list[tuple[float, float]]] = {}  # told, undone
        for number, change in enumerate(self.changes):
            if change.state == "in_service":
                continue
            later = (c.at for c in self.changes[number + 1 :] if c.backend == change.backend)
            leaving.setdefault(change.backend, []).append((self.told(number), min(later, default=math.inf)))
        return [
            (at, to, at - told) for at, to in self.pushes for told, undone in leaving.get(to, ())
            if told + self.drain_grace + SLACK < at < undone
        ]  # fmt: skip


@dataclass(frozen=True)
class Schedule:
    """A day in data: moments in seconds."""

    seed: int
    list_pushed: bool = False
    drain_grace: float = 0.75
    backends: int = 12
    rate: float = 40.0  # invocations a second
    duration: float = 24.0
    watch_open_seconds: float = 0.05  # seconds of the service for each call that opens a watch
    indented_json: bool = False
    changes: tuple[Change, ...] = ()
    silent: tuple[tuple[float, int], ...] = ()  # when open watches fall silent, after how many bytes more
    mute_new: tuple[tuple[float, int], ...] = ()  # from when on, how many new connections never say a word
    spoilt: tuple[tuple[float, bytes], ...] = ()  # from when on an answer is this instead
    resets: tuple[float, ...] = ()
    away: tuple[tuple[float, float], ...] = ()
    callers: tuple[tuple[float, float], ...] = ()  # when others come, seconds of turns that they take
    refusing: tuple[tuple[float, float, str], ...] = ()  # from, until, how: "503", "late 503" or "reset"
    moves: tuple[float, ...] = ()  # SIGHUP: the service is at another address from then on
    stalls: tuple[tuple[float, float], ...] = ()  # the node gets no core
    late_connect_share: float = 0.0  # of the connections to backends come up late, up to a second


class Connection(Peer):
    """One connection of the node to the list service."""

    def __init__(self, service: ListService, mute: bool) -> None:
        self.service = service
        self.wire = Wire(self)
        self.mute_after = 0 if mute else math.inf  # bytes that still come out
        self.answered = -math.inf
        self.wait_over = 0.0
        self.out = False

    def came(self, data: bytes) -> None:
        target = data.split(b" ", 2)[1].decode()
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        self.service.group.start_soon(
            self.service.call, self, int(query["from"]) if "from" in query else None,
            int(query.get("hold_ms", 0)) / 1000.0,
        )  # fmt: skip

    def left(self) -> None:
        self.service.open.discard(self)

    @property
    def mute(self) -> bool:
        return self.mute_after <= 0


class ListService:
    """Discovery as the protocol page has it, with a schedule's faults."""

    def __init__(self, schedule: Schedule, reference: Reference, group: Any) -> None:
        self.schedule, self.reference, self.group = schedule, reference, group
        self.open: set[Connection] = set()
        self.version, self.place = 1, 0
        self.changed = anyio.Event()
        self.free_at = 0.0  # when all turns that were asked for are over
        self.muted = [0] * len(schedule.mute_new)
        self.spoilt = 0

    @property
    def now(self) -> float:
        return anyio.current_time()

    def down(self) -> bool:
        return any(start <= self.now < end for start, end in self.schedule.away)

    async def connect(self, address: tuple[str, int], _: float) -> UpstreamConnection | Failure:
        await anyio.sleep(0.001)
        if self.down() or address[1] != self.place:
            self.reference.refused.append(self.now)
            return Failure(Stage.CONNECTING, Cause.NO_CONNECTION)
        mute = False
        for each, (since, count) in enumerate(self.schedule.mute_new):
            if self.now >= since and self.muted[each] < count:
                self.muted[each] += 1
                mute = True
        connection = Connection(self, mute)
        self.open.add(connection)
        return UpstreamConnection(connection.wire)  # type: ignore[arg-type]

    async def call(self, connection: Connection, known: int | None, hold: float) -> None:
        came = ready = self.now
        connection.out, connection.wait_over = True, came + hold
        if connection.mute:
            self._silent(connection)
        for start, end, how in self.schedule.refusing:
            if start <= came < end:
                await self._refuse(connection, how)
                return
        if came - connection.answered > AGAIN and not self.schedule.list_pushed:
            begin = max(came, self.free_at)
            if begin + self.schedule.watch_open_seconds - came > TURN:
                await self._refuse(connection, "late 503")
                return
            self.free_at = ready = begin + self.schedule.watch_open_seconds
            await anyio.sleep_until(ready)
            connection.wait_over = ready + hold
        with anyio.move_on_after(hold):
            while known is not None and known >= self.version:
                await self.changed.wait()
        entries = [
            list_entry(each, change.state if change else "in_service")
            for each, change in self._since(known).items()
        ]
        body = json.dumps(
            {"generation": self.version, "reset": known is None, "instances": entries},
            indent=2 if self.schedule.indented_json else None,
        ).encode()  # fmt: skip
        spoilt = self.schedule.spoilt[self.spoilt : self.spoilt + 1]
        if odd := [instead for since, instead in spoilt if self.now >= since]:
            self.spoilt += 1
            self._write(connection, _good(odd[0]))
            return
        if self._write(connection, _good(body)):
            # As it would have been written: the node's own stalls are not the service's.
            last = max([change.at for change in self.reference.changes[: self.version - 1]], default=0.0)
            self.reference.written.append((min(max(ready, last), self.now), self.version))
        connection.answered = self.now

    async def _refuse(self, connection: Connection, how: str) -> None:
        """Ends a call though discovery is there and could be asked."""
        if how == "late 503":
            await anyio.sleep(TURN)
        self.reference.refused.append(self.now)
        if how == "reset":
            connection.wire.end()
        else:
            self._write(connection, b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")

    def _since(self, known: int | None) -> dict[str, Change | None]:
        told = self.reference.changes[: self.version - 1]
        news: dict[str, Change | None] = {}
        if known is None:
            news = {f"s{number}": None for number in range(self.schedule.backends)}
        news |= {change.backend: change for change in told[max((known or 1) - 1, 0) :]}
        return news

    def _write(self, connection: Connection, data: bytes) -> bool:
        """Whether all of it came out."""
        connection.out = False
        if connection.wire.ended or connection.wire.closed:
            return False
        if connection.mute_after < len(data):
            part, connection.mute_after = int(connection.mute_after), 0
            if part:
                self._silent(connection)
                connection.wire.feed(data[:part])
            return False
        connection.mute_after -= len(data)
        connection.wire.feed(data)
        return True

    def _silent(self, connection: Connection) -> None:
        self.reference.silences.append(Silence(self.now, connection.wait_over))

    # What the schedule brings.

    def change(self, change: Change) -> None:
        self.reference.changes.append(change)
        self.version += 1
        self.changed.set()
        self.changed = anyio.Event()

    def silence(self, after: int) -> None:
        for connection in self.open:
            if not connection.mute:
                connection.mute_after = after if connection.out else 0
                if connection.mute:
                    self._silent(connection)

    def reset(self) -> None:
        for connection in list(self.open):
            connection.wire.end()
            if not connection.mute:
                self.reference.ended.append(self.now)
        self.open.clear()

    def others(self, span: float) -> None:
        self.free_at = max(self.free_at, self.now) + span

    def move(self) -> int:
        self.place += 1
        self.reference.moves.append(self.now)
        return self.place


def _good(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


LOOK = Offering("look", Idempotency.REPEATABLE, "all", 0.0, 0.4, 1.5, 1.0, 0.0)


def decision_settings(nodes: int, pushed: bool) -> dict[str, Any]:
    """Settings of the module under which nothing but the list and the traffic matters."""
    return {
        "zone": "x", "rank": 0, "nodes": nodes, "offerings": [LOOK], "tenants": [],
        "over_share_worth": 0.1, "utility_by_work": False, "limits": Limits(3, False, True, True, 0.5),
        "cold": api.SlowStartRule(
            initial_capacity=1.0, warm_up=1.0, overload_multiple=100.0, overload_window=1.0
        ),
        "must_ask_in": 0.0 if pushed else MUST_ASK_SECONDS,
    }  # fmt: skip


def list_entry(backend: str, state: str) -> dict[str, Any]:
    return instance_entry(backend, int(backend[1:]) + 1, "x", 0.0, state)


class Backend(Peer):
    """One connection to a backend: the first byte of what comes is what counts."""

    ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

    def __init__(self, world: NodeSimulation, name: str) -> None:
        self.world, self.name = world, name
        self.wire = Wire(self)

    def came(self, data: bytes) -> None:
        if not data.startswith(b"GET /health"):
            self.world.reference.pushes.append((anyio.current_time(), self.name))
        self.world.group.start_soon(self._answer)

    async def _answer(self) -> None:
        await anyio.sleep(0.02 + 0.1 * self.world.chance.random())
        self.wire.feed(self.ANSWER)


class NodeSimulation:
    """One node, its list service and its backends, for the length of a schedule."""

    def __init__(self, schedule: Schedule, log: Any) -> None:
        self.schedule, self.log = schedule, log
        self.chance = Random(schedule.seed)
        self.reference = Reference(schedule.list_pushed, schedule.drain_grace)
        self.reference.away = list(schedule.away)
        self.outcomes = dict.fromkeys(FinalOutcome, 0)
        self.group: Any

    async def run(self) -> NodeSimulation:
        async with anyio.create_task_group() as self.group:
            self.service = ListService(self.schedule, self.reference, self.group)
            tasks = Tasks(self.group, self.log)
            clock = anyio.current_time
            host = NodeHost(clock, tasks, self.log)  # type: ignore[arg-type]
            pool = Pool(4096, 60.0, 1.0, clock, connect=self._connect)
            pushes = PushDispatcher(
                pool, self.schedule.drain_grace, False, BodyBudget(2**20), tasks, host, clock, self.log
            )
            lines = [list_entry(f"s{number}", "in_service") for number in range(self.schedule.backends)]
            known = messages.decode_list({"generation": 1, "reset": True, "instances": lines})
            watch = Watch(("list", 0), 1, tasks, host.on_list_answer, self.log, connect=self.service.connect,
                          list_pushed=self.schedule.list_pushed)  # fmt: skip
            pushed = self.schedule.list_pushed
            host.start(pushes, watch, known, self.schedule.seed, pushed, decision_settings(1, pushed))
            self.group.start_soon(self._faults, watch)
            await self._clients(host)
            self.group.cancel_scope.cancel()
        return self

    async def _connect(self, address: tuple[str, int], time_out: float) -> UpstreamConnection | Failure:
        late = self.chance.random() if self.chance.random() < self.schedule.late_connect_share else 0.001
        await anyio.sleep(min(late, time_out))
        if late > time_out:
            return Failure(Stage.CONNECTING, Cause.NO_CONNECTION)
        return UpstreamConnection(Backend(self, f"s{address[1] - 1}").wire)  # type: ignore[arg-type]

    async def _clients(self, host: NodeHost) -> None:
        number = 0
        while anyio.current_time() < self.schedule.duration:
            await anyio.sleep(self.chance.expovariate(self.schedule.rate))
            number += 1
            invocation = api.Invocation(f"i{number}", "look", "t", LOOK.cut_off, None, False)
            message = UpstreamRequest(b"GET", b"/look", [(b"x-call-id", invocation.id.encode())], b"")
            host.start_invocation(Exchange(invocation, message, self._answered))

    def _answered(self, answer: ClientResponse) -> None:
        self.outcomes[answer.outcome] += 1

    async def _faults(self, watch: Watch) -> None:
        day, service = self.schedule, self.service
        happens = [(change.at, service.change, (change,)) for change in day.changes]
        happens += [(at, service.silence, (after,)) for at, after in day.silent]
        happens += [(at, service.reset, ()) for at in (*day.resets, *(start for start, _ in day.away))]
        happens += [(at, service.others, (span,)) for at, span in day.callers]
        happens += [(at, lambda: watch.move(("list", service.move())), ()) for at in day.moves]
        loop: Any = asyncio.get_running_loop()
        happens += [(at, loop.stall, (span,)) for at, span in day.stalls]
        for at, what, given in sorted(happens, key=lambda each: each[0]):
            await anyio.sleep_until(at)
            what(*given)


class _Quiet:
    """A log that keeps what nobody foresaw."""

    def __init__(self) -> None:
        self.errors: list[str] = []
        self.lines: list[str] = []

    def exception(self, event: str, **_: Any) -> None:
        self.errors.append(f"{event}: {traceback.format_exc(limit=-3)}")

    def __getattr__(self, _: str) -> Any:
        return lambda event, **named: self.lines.append(event)


def run_schedule(schedule: Schedule) -> NodeSimulation:
    """Plays a schedule in virtual time. `reference.breaches()` of what comes back is the verdict."""
    log = _Quiet()
    world = moments.play(NodeSimulation(schedule, log).run)
    assert not log.errors, log.errors[0]
    return world
