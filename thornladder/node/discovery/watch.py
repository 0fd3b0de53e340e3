"""Watches the backend list over HTTP by long polling: one poll after the other while they are answered.

Besides the list itself, the watch knows how fresh it is: `Watch.stale_at` is when a change that the node may
have missed takes effect at the latest, after which the node must not go by the list that it has.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import anyio

from thornladder.fields import MalformedError
from thornladder.interface import ListKind
from thornladder.node import http1, messages
from thornladder.node.http1 import Cause, Connector, Failure, UpstreamConnection
from thornladder.node.messages import DiscoveryResponse, UpstreamResponse
from thornladder.node.tasks import Tasks
from thornladder.settings import Address


class Watch:
    """Long-polls the list service and hands each answer to `on_answer`, or None when the watch fails."""

    # The operators count a change as announced this long after the list service had it, whatever became of
    # the polls meanwhile, and what a new address has to say this long after the node was sent there.
    MAX_STALENESS_SECONDS, MAX_STALENESS_AFTER_MOVE_SECONDS = 6.0, 4.0
    # The service may make a change right after it has written an answer. The node only knows that this is
    # after the start of that poll. Worst case from there: LONG_POLL_SECONDS to the answer,
    # MIN_POLL_INTERVAL_SECONDS to the next poll, LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS until that one
    # times out, 0.4 s until a new watch starts, and RESPONSE_TIMEOUT_SECONDS in the service's queue: 5.95 s,
    # below MAX_STALENESS_SECONDS.
    LONG_POLL_SECONDS = 0.75  # hold time of a poll; a running watch is cheap, and silence shows early
    RESPONSE_TIMEOUT_SECONDS = 2.0  # beyond the hold time; by then the service itself has given the poll up
    # The first poll waits in the service's queue; a refusal arrives before this.
    FIRST_POLL_TIMEOUT_SECONDS = RESPONSE_TIMEOUT_SECONDS + 0.25
    MIN_POLL_INTERVAL_SECONDS = 0.05  # the service treats a poll within 0.2 s as the same watch
    SILENCE_THRESHOLD_SECONDS = 1.0  # beyond the hold time; a poll that breaks off later was silent before
    RESPONSE_TRANSIT_SECONDS = 0.1  # longer than a written response takes, far shorter than a move may take
    CONNECT_TIMEOUT_SECONDS = 1.0  # the service handles its callers one after the other
    MAX_LIST_BYTES = 16 * 1024 * 1024  # far more than the lines of any fleet that fits in memory

    def __init__(
        self,
        address: Address,
        version: int | None,
        tasks: Tasks,
        on_answer: Callable[[DiscoveryResponse | None], None],
        log: Any,
        connect: Connector = http1.connect,
        list_pushed: bool = False,
    ) -> None:
        """Creates a watch that does not poll before `start`.

        `version`: of the list that the node already has, None for none. `list_pushed`: whether the settings
        say that the service pushes the list to the nodes, in which case a change takes effect as soon as it
        is made.
        """
        self.address, self.version, self.connect, self.list_pushed = address, version, connect, list_pushed
        self.tasks, self.on_answer, self.log = tasks, on_answer, log
        self.running = False
        # `fresh_as_of` is when the last answered poll was sent: the node knows all changes made up to then. A
        # new process counts from its start. `poll_started_at` is when the poll in flight was sent.
        self.fresh_as_of = self.poll_started_at = anyio.current_time()
        self.stale_deadline = math.inf  # set by a move or a silence until the next answer
        # With a pushed list, a change takes effect at once while no watch stands: from when the last watch
        # broke off or a poll was refused, since a refusal shows that the service learned nothing before it.
        # What the service had when this process began counts until an answer, whatever is refused before.
        self.unwatched_since = anyio.current_time() if list_pushed else math.inf
        self.ever_answered = False  # since this process began
        self.connection: UpstreamConnection | None = None
        self.connected_address = address  # of `connection`
        self.poll_scope = anyio.CancelScope()  # of the poll in flight

    def move(self, address: Address) -> None:
        """Watches the list at another address from now on; the list that is known stays."""
        if address != self.address:
            self.address = address
            self.stale_deadline = min(
                self.stale_at, anyio.current_time() + self.MAX_STALENESS_AFTER_MOVE_SECONDS
            )
            self.unwatched_since = math.inf
            if self.running:
                self.tasks.start("leaving a list service", self._cancel_soon, self.poll_scope)
            self.start()

    async def _cancel_soon(self, poll_scope: anyio.CancelScope) -> None:
        """Cancels the poll at the old address once an answer already written, which counts, has arrived."""
        await anyio.sleep(self.RESPONSE_TRANSIT_SECONDS)
        poll_scope.cancel()

    @property
    def stale_at(self) -> float:
        """When the first change that the node may have missed takes effect, on the event loop's clock.

        Without this bound, pushes would go to backends that began to drain while no poll was answered.
        Failed, refused, reset or timed-out polls do not postpone it, in whatever sequence they come, nor does
        a move to another address. A failed connection attempt only shows that the service was unreachable at
        that moment, and changes nothing.
        """
        return min(self.stale_deadline, self.unwatched_since, self.fresh_as_of + self.MAX_STALENESS_SECONDS)

    def start(self) -> None:
        """Starts the watch unless it is running; a failed poll ends it.

        The first poll asks for the changes since the known version without waiting.
        """
        if not self.running:
            self.running = True
            self.tasks.start("a watch", self._run)

    async def _run(self) -> None:
        hold_seconds = next_poll_at = 0.0
        while True:
            try:
                # Limits the rate of polls to a service that answers at once whatever the hold time.
                await anyio.sleep_until(next_poll_at)
                next_poll_at = anyio.current_time() + self.MIN_POLL_INTERVAL_SECONDS
                if self.connected_address != self.address:
                    hold_seconds = 0.0  # moved: ask the new address for past changes without waiting
                answer = await self._poll(hold_seconds)
            except Exception:
                # An unexpected error ends this watch, and not the node.
                self.log.exception("a watch failed")
                answer = None
            if answer is None and self.connected_address != self.address:
                continue  # moved meanwhile; a failure at the old address does not matter
            if answer is None:
                break
            if self._is_version_regression(answer):
                # The changes belong to another list than the known one: fetch the whole list.
                self.version, hold_seconds = None, 0.0
                continue
            if not hold_seconds or answer.entries or answer.kind is ListKind.SNAPSHOT:
                try:
                    self.on_answer(answer)
                except Exception:
                    self.log.exception("a list update could not be applied")
                    self.version = None  # fetch the whole list next
                    break
            if self.connected_address == self.address:  # an answer from the old address proves nothing
                self.fresh_as_of, self.stale_deadline, self.unwatched_since = (
                    self.poll_started_at, math.inf, math.inf
                )  # fmt: skip
                self.ever_answered = True
            self.version, hold_seconds = answer.version, self.LONG_POLL_SECONDS
        self.running = False
        self.on_answer(None)

    def _is_version_regression(self, answer: DiscoveryResponse) -> bool:
        """Whether an answer with changes leads to an older version than the known one."""
        if answer.kind is ListKind.SNAPSHOT or self.version is None:
            return False
        return answer.version is None or answer.version < self.version

    async def _poll(self, hold_seconds: float) -> DiscoveryResponse | None:
        """Sends one poll that the service may hold open for `hold_seconds`; None if it failed.

        A failed poll closes the connection.
        """
        answer: DiscoveryResponse | None = None
        response: UpstreamResponse | Failure | None = None
        started_at = self.poll_started_at = anyio.current_time()
        with anyio.move_on_after(
            hold_seconds + self.RESPONSE_TIMEOUT_SECONDS if hold_seconds else self.FIRST_POLL_TIMEOUT_SECONDS
        ) as self.poll_scope:
            if self.connection is not None and (
                self.connected_address != self.address or self.connection.is_stale()
            ):
                await self._close()
            self.connected_address = self.address
            if self.connection is None:
                connection = await self.connect(self.connected_address, self.CONNECT_TIMEOUT_SECONDS)
                self.connection = connection if isinstance(connection, UpstreamConnection) else None
            if self.connection is not None:
                request = messages.encode_list_request(
                    f"{self.connected_address[0]}:{self.connected_address[1]}", self.version, hold_seconds
                )
                response = await self.connection.round_trip(request, max_body_bytes=self.MAX_LIST_BYTES)
            if isinstance(response, UpstreamResponse) and response.status == 200:
                try:
                    answer = messages.decode_list(response.body)
                except MalformedError:
                    answer = None
            elif isinstance(response, UpstreamResponse) and 400 <= response.status < 500:
                self.version = None  # the version is unknown there: fetch the whole list next
        if answer is None and self.list_pushed and self.connected_address == self.address:
            self._record_failed_poll(started_at, hold_seconds, response)
        if answer is None or (self.connection is not None and not self.connection.reusable):
            await self._close()
        return answer

    def _record_failed_poll(
        self, started_at: float, hold_seconds: float, response: UpstreamResponse | Failure | None
    ) -> None:
        """Notes from when a pushed list is stale after a failed poll; `response` is None for a timeout."""
        now = anyio.current_time()
        was_silent = now - started_at > hold_seconds + self.SILENCE_THRESHOLD_SECONDS
        if was_silent and not isinstance(response, UpstreamResponse) and (hold_seconds or response is None):
            # The service was silent for too long. A poll that was refused or broke off in time missed
            # nothing. Nor is it silence when the first poll waits in the queue in vain, which an answer or a
            # reset says. Without a connection there was no watch.
            if self.connection is not None:
                self.stale_deadline = self.stale_at
        elif self.stale_deadline == math.inf:
            if hold_seconds and now - started_at < self.RESPONSE_TRANSIT_SECONDS:
                # It broke off too soon to have brought a change that was made since the last answer.
                self.stale_deadline = started_at - self.MIN_POLL_INTERVAL_SECONDS
            else:
                self.unwatched_since = (
                    min(self.unwatched_since, now)
                    if _is_unreadable(response) or not self.ever_answered
                    else now
                )

    async def _close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            await connection.close()


def _is_unreadable(response: UpstreamResponse | Failure | None) -> bool:
    """Whether a poll failed by its content, which shows neither a change nor the absence of one."""
    if isinstance(response, Failure):
        return response.cause is Cause.MALFORMED
    return response is not None and response.status == 200
