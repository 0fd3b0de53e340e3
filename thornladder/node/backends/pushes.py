"""Pushes and probes: each one asking on one connection, whose end is told as an outcome."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Protocol

import anyio

from thornladder.interface import NO_REPORT, ListKind, LoadReport, Outcome, State
from thornladder.node import messages
from thornladder.node.backends.pool import Pool
from thornladder.node.exchange import Exchange
from thornladder.node.http1 import Cause, Failure, Stage, UpstreamConnection
from thornladder.node.messages import (
    ClientResponse,
    DiscoveryResponse,
    FinalOutcome,
    UpstreamRequest,
    UpstreamResponse,
)
from thornladder.node.streams import BodyBudget
from thornladder.node.tasks import Tasks
from thornladder.settings import Address


class PushListener(Protocol):
    """Who hears of the ends."""

    def push_ended(
        self, exchange: Exchange, number: int, outcome: Outcome, sent: float, answer: ClientResponse | None
    ) -> None: ...

    def probe_ended(self, backend: str, outcome: Outcome, report: LoadReport) -> None: ...

    def client_disconnected(self, exchange: Exchange) -> None: ...

    async def wait_until_caught_up(self) -> None: ...

    @property
    def list_stale_at(self) -> float: ...


def outcome_of(result: UpstreamResponse | Failure) -> Outcome:
    """What is known of a push by how far it had come. Only what surely never ran is called so."""
    if isinstance(result, UpstreamResponse):
        return messages.outcome_of(result)
    begun = result.stage in (Stage.SENT, Stage.ANSWERING)
    if result.cause is Cause.TIMEOUT:
        return Outcome.TIMED_OUT if begun else Outcome.NOT_SENT
    if result.cause is Cause.CANCELLED:
        return Outcome.CANCELLED if begun else Outcome.NOT_SENT
    if result.cause is Cause.ABANDONED:
        return Outcome.NOT_SENT
    if result.cause is Cause.STALE:
        # Guards against sound backends taken for dead: what broke is a connection that stood idle.
        return Outcome.NOT_SENT
    if result.cause is Cause.MALFORMED:
        # Guards against sound backends taken for dead: one that answers nonsense lives.
        return Outcome.ERROR
    return Outcome.CONNECTION_LOST if begun else Outcome.UNREACHABLE


class PushDispatcher:
    PROBE_TIME_OUT = 0.25  # seconds: longer than a busy backend takes for a probe, shorter than a sentence
    DRAIN_MARGIN = 0.05  # seconds kept of the drain's grace for the way to the backend
    FORGET = 60.0  # seconds: far longer than any push is out
    FORGET_SOFT = 3600.0  # seconds that one stays known that was called gone where that does not bind

    def __init__(
        self,
        pool: Pool,
        drain_grace: float,
        soft_removal: bool,
        held: BodyBudget,
        tasks: Tasks,
        told: PushListener,
        clock: Callable[[], float],
        log: Any,
        reports: bool = False,
    ) -> None:
        """`soft_removal`: only a listed drain binds. `reports`: whether a probe also asks for the load."""
        self.pool, self.drain_grace, self.held, self.tasks = pool, drain_grace, held, tasks
        self.soft_removal = soft_removal
        self.told, self.clock, self.log = told, clock, log
        self.asking = messages.LOAD_PROBE if reports else messages.HEALTH_PROBE
        self.addresses: dict[str, Address] = {}
        self.leaving: dict[str, float] = {}  # since when each backend has been known to drain or be gone
        self.drained: set[str] = set()  # those of them that were listed as draining

    @property
    def send_grace(self) -> float:
        """Seconds from when a change is told until it binds, less the way to the backend."""
        return max(self.drain_grace - self.DRAIN_MARGIN, 0.0)

    def on_list(self, answer: DiscoveryResponse) -> None:
        """Where the backends are, and to which of them nothing new goes."""
        now = self.clock()
        running = {entry.backend for entry in answer.entries if entry.state is State.RUNNING}
        left = {entry.backend for entry in answer.entries} - running
        if answer.kind is not ListKind.DELTA:
            left |= self.addresses.keys() - running
        for backend, address in answer.addresses.items():
            if self.addresses.get(backend, address) != address:
                self.pool.discard_idle(backend)
            self.addresses[backend] = address
        for backend in running:
            self.leaving.pop(backend, None)
        self.drained -= running
        self.drained |= {entry.backend for entry in answer.entries if entry.state is State.DRAINING}
        for backend in left:
            self.leaving.setdefault(backend, now)
            self.pool.discard_idle(backend)

    def forget_departed(self) -> None:
        """What left long ago cannot be pushed to any more."""
        for backend, since in list(self.leaving.items()):
            if self.clock() - since > (self.FORGET if self._binds(backend) else self.FORGET_SOFT):
                del self.leaving[backend]
                self.drained.discard(backend)
                self.addresses.pop(backend, None)

    def start_push(
        self, exchange: Exchange, backend: str, time_out: float, begin_in: float = math.inf
    ) -> None:
        number, scope = exchange.open_push()
        scope.deadline = anyio.current_time() + time_out
        by = self.clock() + begin_in
        self.tasks.start("a push", self._push, exchange, number, backend, time_out, by)

    async def _push(
        self, exchange: Exchange, number: int, backend: str, time_out: float, begin_by: float
    ) -> None:
        sent = self.clock()
        # Nothing unforeseen keeps an end from being told: the invocation would be left without an answer.
        outcome, answer, scope, begun = Outcome.CONNECTION_LOST, None, exchange.push_scopes[number], False

        def begin(reply: UpstreamResponse) -> None:
            """A large answer is its client's from its first bytes on: there the push has ended."""
            nonlocal begun
            begun, scope.deadline = True, math.inf
            assert reply.body_pipe is not None
            reply.body_pipe.producer_scope = scope
            self.told.push_ended(
                exchange, number, Outcome.COMPLETED, sent, messages.completed_response(reply)
            )
            if exchange.answer is None or exchange.answer.body_pipe is not reply.body_pipe:
                reply.body_pipe.abort()  # nobody waits for it

        try:
            left = exchange.time_budget if exchange.body_incoming else time_out
            result = await self._send(backend, exchange.message, left, scope, begin, exchange, begin_by)
            ended = outcome_of(result)
            answer = messages.completed_response(result) if ended is Outcome.COMPLETED else None
            outcome = ended
        except Exception:
            self.log.exception("a push failed")
        if begun:
            return
        try:
            self.told.push_ended(exchange, number, outcome, sent, answer)
        except Exception:
            self.log.exception("a push's end could not be told")
            exchange.finish(ClientResponse(FinalOutcome.TERMINATED))  # nobody else will

    def start_probe(self, backend: str) -> None:
        self.tasks.start("a probe", self._probe, backend)

    async def _probe(self, backend: str) -> None:
        scope = anyio.CancelScope(deadline=anyio.current_time() + self.PROBE_TIME_OUT)
        outcome, report = Outcome.CONNECTION_LOST, NO_REPORT
        try:
            result = await self._send(backend, self.asking, self.PROBE_TIME_OUT, scope)
            outcome = outcome_of(result)
            if self.asking is messages.LOAD_PROBE and outcome is Outcome.COMPLETED:
                report = messages.decode_load_report(result.body)
        except Exception:
            self.log.exception("a probe failed")
        self.told.probe_ended(backend, outcome, report)

    async def _send(
        self, backend: str, message: UpstreamRequest, time_left: float, scope: anyio.CancelScope,
        begin: Callable[[UpstreamResponse], None] | None = None, exchange: Exchange | None = None,
        begin_by: float = math.inf,
    ) -> UpstreamResponse | Failure:  # fmt: skip
        """Asks once, for a client unless `exchange` is None.

        The connection is closed before a time-out or a cancel is told of.
        """
        address = self.addresses.get(backend)
        if address is None:
            return Failure(Stage.CONNECTING, Cause.NO_CONNECTION if self.soft_removal else Cause.ABANDONED)
        line: UpstreamConnection | Failure | None = None
        result: UpstreamResponse | Failure | None = None
        try:
            with scope:
                line = await self.pool.acquire(backend, address)
                await self.told.wait_until_caught_up()
                if isinstance(line, Failure):
                    result = line
                elif scope.cancel_called:
                    # Guards against one that was cancelled before it had its turn: nothing below waits before
                    # the first byte, and only what waits hears of a cancel.
                    result = Failure(Stage.CONNECTING, Cause.CANCELLED)
                elif self._is_expired(backend, begin_by) or (
                    exchange is not None and self._unwanted(exchange)
                ):
                    result = Failure(Stage.CONNECTING, Cause.ABANDONED)
                else:
                    request = messages.encode_push(message, time_left, address[0])
                    most = messages.MAX_BODY_BYTES if begin is not None else messages.MAX_BUFFERED_BYTES
                    result = await line.round_trip(request, message, most, begin, self.held)
        except Exception:
            # Nothing is foreseen here; it ends one push, which may have run, and not the node.
            self.log.exception("a push failed")
            result = Failure(Stage.SENT, Cause.BROKEN)
        if result is None:
            cause = Cause.CANCELLED if anyio.current_time() < scope.deadline else Cause.TIMEOUT
            result = Failure(line.stage if isinstance(line, UpstreamConnection) else Stage.CONNECTING, cause)
        if isinstance(line, UpstreamConnection):
            if backend in self.leaving and self._binds(backend):
                line.reusable = False
            try:
                await self.pool.release(backend, line)
            except Exception:
                self.log.exception("a connection could not be put back")  # its answer stands all the same
        return result

    def _is_expired(self, backend: str, begin_by: float) -> bool:
        """Whether what was decided while the backend ran is not to be begun any more.

        Guards against pushes that waited for a connection: a drain or a silent watch may have overtaken them,
        and how late the news was taken in is not known here, so that none of the grace is used up; or the
        window in which a repeat of what may have run is discarded is over.
        """
        if backend in self.leaving and self._binds(backend):
            return True
        return self.clock() >= min(self.told.list_stale_at, begin_by)

    def _unwanted(self, exchange: Exchange) -> bool:
        """Whether nobody waits for this any more, looked at just before the first byte.

        Guards against attempts begun for a client that has closed: its end may lie unread behind bytes that
        back-pressure holds up, or have come while this attempt waited for its connection or this node for
        its core; and where nothing may be cancelled, a first or further attempt still on its way out.
        """
        if not exchange.finished and exchange.client_closed:
            self.told.client_disconnected(exchange)
        return exchange.finished

    def _binds(self, backend: str) -> bool:
        """Whether nothing new may go to one that has left."""
        return not self.soft_removal or backend in self.drained
