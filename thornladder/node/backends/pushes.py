"""Pushes and probes: each is one request on one backend connection, and its end is reported as an outcome.

Whether a push may have run at the backend follows from how far its request had come when it ended.
"""

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
from thornladder.node.memory.budget import MemoryBudget
from thornladder.node.messages import (
    ClientResponse,
    DiscoveryResponse,
    FinalOutcome,
    UpstreamRequest,
    UpstreamResponse,
)
from thornladder.node.tasks import Tasks
from thornladder.settings import Address


class PushListener(Protocol):
    """Receives the ends of pushes and probes, and says whether the node may send now."""

    def push_ended(
        self,
        exchange: Exchange,
        number: int,
        outcome: Outcome,
        started_at: float,
        answer: ClientResponse | None,
    ) -> None:
        """Push `number` of the exchange, begun at `started_at`, ended; `answer` only if it completed."""
        ...

    def answer_held(self, exchange: Exchange, number: int, started_at: float) -> None:
        """The backend has begun its answer to push `number`, and the node has no room yet to pass it on."""
        ...

    def probe_ended(self, backend: str, outcome: Outcome, report: LoadReport) -> None:
        """The probe of `backend` ended; `report` is `NO_REPORT` unless a load report came with it."""
        ...

    def client_disconnected(self, exchange: Exchange) -> None:
        """The client of `exchange` has closed its connection."""
        ...

    async def wait_until_caught_up(self) -> None:
        """Returns once the node has read what arrived while its event loop was stalled."""
        ...

    @property
    def list_stale_at(self) -> float:
        """Clock time from which the backend list is too stale to push by; inf while it is fresh."""
        ...


def outcome_of(result: UpstreamResponse | Failure) -> Outcome:
    """Maps the result of a request to an outcome, by how far the request had come.

    Outcomes that say that the push never ran are used only where that is certain.
    """
    if isinstance(result, UpstreamResponse):
        return messages.outcome_of(result)
    may_have_run = result.stage in (Stage.SENT, Stage.RECEIVING)
    if result.cause is Cause.TIMEOUT:
        return Outcome.TIMED_OUT if may_have_run else Outcome.NOT_SENT
    if result.cause is Cause.CANCELLED:
        return Outcome.CANCELLED if may_have_run else Outcome.NOT_SENT
    if result.cause is Cause.ABANDONED:
        return Outcome.NOT_SENT
    if result.cause is Cause.STALE:
        # Says nothing about the backend's health: a connection was closed while it stood idle.
        return Outcome.NOT_SENT
    if result.cause is Cause.MALFORMED:
        # The backend sent an unreadable response, so its process is alive: do not count it as dead.
        return Outcome.ERROR
    return Outcome.CONNECTION_LOST if may_have_run else Outcome.UNREACHABLE


class PushDispatcher:
    """Sends pushes and probes, and keeps the addresses of the listed backends."""

    PROBE_TIMEOUT_SECONDS = 0.25  # longer than a busy backend takes to answer, shorter than any ejection
    DRAIN_MARGIN_SECONDS = 0.05  # part of the drain grace that is reserved for the way to the backend
    FORGET_AFTER_SECONDS = 60.0  # far longer than any push is in flight
    # With soft removal a backend that left the list may still be pushed to, so it is remembered for longer.
    SOFT_FORGET_AFTER_SECONDS = 3600.0

    def __init__(
        self,
        pool: Pool,
        drain_grace: float,
        soft_removal: bool,
        memory_budget: MemoryBudget,
        tasks: Tasks,
        listener: PushListener,
        clock: Callable[[], float],
        log: Any,
        request_load_reports: bool = False,
    ) -> None:
        """Creates a dispatcher that knows no backends yet; `on_list` gives it their addresses.

        `drain_grace`: seconds for which pushes may still go to a backend after its drain is announced.
        `soft_removal`: only a listed drain stops pushes, not the absence of a backend from the list.
        `request_load_reports`: whether probes ask for the backend's load report.
        """
        self.pool, self.drain_grace, self.memory_budget, self.tasks = pool, drain_grace, memory_budget, tasks
        self.soft_removal = soft_removal
        self.listener, self.clock, self.log = listener, clock, log
        self.probe_request = messages.LOAD_PROBE if request_load_reports else messages.HEALTH_PROBE
        self.addresses: dict[str, Address] = {}
        self.started_at: dict[str, float] = {}  # as listed last
        self.leaving_since: dict[str, float] = {}  # clock time at which each was first seen to leave
        self.draining: set[str] = set()  # those of them that were listed as draining

    @property
    def send_grace(self) -> float:
        """Seconds after a drain is announced in which a push may still be sent."""
        return max(self.drain_grace - self.DRAIN_MARGIN_SECONDS, 0.0)

    def on_list(self, answer: DiscoveryResponse) -> None:
        """Takes in addresses, and which backends have left, from an answer of the list service."""
        now = self.clock()
        running = {entry.backend for entry in answer.entries if entry.state is State.RUNNING}
        departed = {entry.backend for entry in answer.entries} - running
        if answer.kind is not ListKind.DELTA:
            departed |= self.addresses.keys() - running
        for backend, address in answer.addresses.items():
            if self.addresses.get(backend, address) != address:
                self.pool.discard_idle(backend)
            self.addresses[backend] = address
        self._discard_connections_to_earlier_processes(answer)
        for backend in running:
            self.leaving_since.pop(backend, None)
        self.draining -= running
        self.draining |= {entry.backend for entry in answer.entries if entry.state is State.DRAINING}
        for backend in departed:
            self.leaving_since.setdefault(backend, now)
            self.pool.discard_idle(backend)

    def _discard_connections_to_earlier_processes(self, answer: DiscoveryResponse) -> None:
        """Discards connections to backends that have started anew, and addresses that others have taken over.

        What is written on such a connection is lost, and counts as a push that may have run.
        """
        for entry in answer.entries:
            if entry.state is State.GONE and entry.backend not in answer.addresses:
                self._forget_shared_address(entry.backend)
            started_at = entry.started_at or 0.0
            if started_at > self.started_at.get(entry.backend, started_at):
                self.pool.discard_idle(entry.backend)
            self.started_at[entry.backend] = started_at

    def _forget_shared_address(self, backend: str) -> None:
        """Forgets the address of a backend that is gone if another one is reached there."""
        address = self.addresses.get(backend)
        shares = any(other != backend and taken == address for other, taken in self.addresses.items())
        if address is not None and shares:
            del self.addresses[backend]

    def forget_departed(self) -> None:
        """Drops backends that left so long ago that no push to them can be in flight."""
        for backend, since in list(self.leaving_since.items()):
            if self.clock() - since > (
                self.FORGET_AFTER_SECONDS if self._is_excluded(backend) else self.SOFT_FORGET_AFTER_SECONDS
            ):
                del self.leaving_since[backend]
                self.draining.discard(backend)
                self.addresses.pop(backend, None)
                self.started_at.pop(backend, None)

    def start_push(
        self, exchange: Exchange, backend: str, timeout: float, send_within: float = math.inf
    ) -> None:
        """Starts a push with a `timeout`, to be sent within `send_within` or not at all (both in seconds)."""
        number, scope = exchange.open_push()
        scope.deadline = anyio.current_time() + timeout
        send_by = self.clock() + send_within
        self.tasks.start("a push", self._push, exchange, number, backend, send_by)

    async def _push(self, exchange: Exchange, number: int, backend: str, send_by: float) -> None:
        started_at = self.clock()
        # The end is reported even after an unexpected error: without it the invocation would get no answer.
        outcome, answer, scope, streaming = Outcome.CONNECTION_LOST, None, exchange.push_scopes[number], False

        def on_streaming(response: UpstreamResponse) -> None:
            """Ends the push as completed where a large body starts, which is streamed to the client."""
            nonlocal streaming
            streaming, scope.deadline = True, math.inf
            assert response.body_pipe is not None
            response.body_pipe.producer_scope = scope
            self.listener.push_ended(
                exchange, number, Outcome.COMPLETED, started_at, messages.completed_response(response)
            )
            if exchange.answer is None or exchange.answer.body_pipe is not response.body_pipe:
                response.body_pipe.abort()  # no client waits for it

        def on_held() -> None:
            """Reports that the backend is not what the client waits for."""
            self.listener.answer_held(exchange, number, started_at)

        try:
            result = await self._send(
                backend, exchange.request, scope, on_streaming, exchange, send_by, on_held
            )
            result_outcome = outcome_of(result)
            answer = messages.completed_response(result) if result_outcome is Outcome.COMPLETED else None
            outcome = result_outcome
        except Exception:
            self.log.exception("a push failed")
        if streaming:
            return
        try:
            self.listener.push_ended(exchange, number, outcome, started_at, answer)
        except Exception:
            self.log.exception("the end of a push could not be reported")
            exchange.finish(ClientResponse(FinalOutcome.TERMINATED))  # nothing else will answer it
        if answer is not None and answer.reservation is not None and exchange.answer is not answer:
            answer.reservation.release()  # nobody waits for this answer

    def start_probe(self, backend: str) -> None:
        """Starts a probe of a backend; its end is reported to the listener."""
        self.tasks.start("a probe", self._probe, backend)

    async def _probe(self, backend: str) -> None:
        scope = anyio.CancelScope(deadline=anyio.current_time() + self.PROBE_TIMEOUT_SECONDS)
        outcome, report = Outcome.CONNECTION_LOST, NO_REPORT
        try:
            result = await self._send(backend, self.probe_request, scope)
            outcome = outcome_of(result)
            if self.probe_request is messages.LOAD_PROBE and outcome is Outcome.COMPLETED:
                report = messages.decode_load_report(result.body)
        except Exception:
            self.log.exception("a probe failed")
        self.listener.probe_ended(backend, outcome, report)

    async def _send(
        self, backend: str, message: UpstreamRequest, scope: anyio.CancelScope,
        on_streaming: Callable[[UpstreamResponse], None] | None = None, exchange: Exchange | None = None,
        send_by: float = math.inf, on_held: Callable[[], None] | None = None,
    ) -> UpstreamResponse | Failure:  # fmt: skip
        """Sends one request; for a push, `exchange` is the invocation that it serves.

        After a timeout or a cancellation the connection is closed before this returns.
        """
        address = self.addresses.get(backend)
        if address is None:
            return Failure(Stage.CONNECTING, Cause.NO_CONNECTION if self.soft_removal else Cause.ABANDONED)
        connection: UpstreamConnection | Failure | None = None
        result: UpstreamResponse | Failure | None = None
        try:
            with scope:
                connection = await self.pool.acquire(backend, address)
                await self.listener.wait_until_caught_up()
                if isinstance(connection, Failure):
                    result = connection
                elif scope.cancel_called:
                    # A cancellation is only delivered where a task waits, and nothing below waits before the
                    # first byte is written, so a scope cancelled earlier has to be checked for here.
                    result = Failure(Stage.CONNECTING, Cause.CANCELLED)
                elif self._is_expired(backend, send_by) or (
                    exchange is not None and self._client_has_left(exchange)
                ):
                    result = Failure(Stage.CONNECTING, Cause.ABANDONED)
                else:
                    # What is left now: waiting for the connection may have taken some of it.
                    time_left = scope.deadline - anyio.current_time()
                    if exchange is not None and exchange.body_incoming:
                        time_left = exchange.time_budget  # counts from the body's last byte
                    request = messages.encode_push(message, time_left, address[0])
                    max_body_bytes = (
                        messages.MAX_BODY_BYTES if on_streaming is not None else messages.MAX_BUFFERED_BYTES
                    )
                    result = await connection.round_trip(
                        request, message, max_body_bytes, on_streaming, self.memory_budget, on_held
                    )
        except Exception:
            # An unexpected error ends this push, which may have run, and not the node.
            self.log.exception("a push failed")
            result = Failure(Stage.SENT, Cause.BROKEN)
        if result is None:
            cause = Cause.CANCELLED if anyio.current_time() < scope.deadline else Cause.TIMEOUT
            result = Failure(
                connection.stage if isinstance(connection, UpstreamConnection) else Stage.CONNECTING, cause
            )
        if isinstance(connection, UpstreamConnection):
            if backend in self.leaving_since and self._is_excluded(backend):
                connection.reusable = False
            try:
                await self.pool.release(backend, connection)
            except Exception:
                self.log.exception("a connection could not be returned to the pool")  # the result stands
        return result

    def _is_expired(self, backend: str, send_by: float) -> bool:
        """Whether a push that was decided earlier must not be sent any more.

        It may have waited for a connection. Meanwhile a drain may have been listed or the list may have gone
        stale; none of the drain grace is used then, since it is not known here how late that news was taken
        in. Or the window may have ended in which the backends discard a repeat of what may have run.
        """
        if backend in self.leaving_since and self._is_excluded(backend):
            return True
        return self.clock() >= min(self.listener.list_stale_at, send_by)

    def _client_has_left(self, exchange: Exchange) -> bool:
        """Whether no client waits for this push any more; checked just before its first byte.

        The client's close may be unread, behind bytes that backpressure holds up, or it may have come while
        the push waited for its connection or the node for its core. Where pushes may not be cancelled, this
        also stops one that is still waiting to be sent.
        """
        if not exchange.finished and exchange.client_closed:
            self.listener.client_disconnected(exchange)
        return exchange.finished

    def _is_excluded(self, backend: str) -> bool:
        """Whether a backend that has left may get no new pushes."""
        return not self.soft_removal or backend in self.draining
