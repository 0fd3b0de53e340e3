"""A watch on the list over HTTP: one call after the other for as long as they are answered."""

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
    # The list is at most this stale before changes the node may have missed bind it, counted from the last
    # answered poll whatever became of later polls, and from the moment the node was sent to a new address.
    MAX_STALENESS_SECONDS, MAX_STALENESS_AFTER_MOVE_SECONDS = 6.0, 4.0
    # A change may be made as soon as an answer is written, and all that is known of that moment is that it
    # follows the start of the poll. Worst case from there: LONG_POLL_SECONDS to the answer,
    # MIN_POLL_INTERVAL_SECONDS to the next poll, LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS until that one
    # is given up, 0.4 s until a new watch starts, FIRST_POLL_TIMEOUT_SECONDS less 0.25 s of slack for its
    # place in the service's queue: 5.95 s of MAX_STALENESS_SECONDS.
    LONG_POLL_SECONDS = 0.75  # hold time requested from the service; continuing a watch costs it nothing
    RESPONSE_TIMEOUT_SECONDS = 2.0  # beyond the hold time; the service itself gives a poll up after this
    # The first poll waits in the service's queue; its refusal arrives after RESPONSE_TIMEOUT_SECONDS.
    FIRST_POLL_TIMEOUT_SECONDS = RESPONSE_TIMEOUT_SECONDS + 0.25
    MIN_POLL_INTERVAL_SECONDS = 0.05  # the service treats a poll within 0.2 s as the same watch
    SILENCE_THRESHOLD_SECONDS = 1.0  # beyond the hold time; a poll that fails later was silent before
    RESPONSE_TRANSIT_SECONDS = 0.1  # longer than a written response takes, far shorter than a move may take
    CONNECT_TIMEOUT_SECONDS = 1.0  # the service accepts its callers one after the other
    MAX_LIST_BYTES = 16 * 1024 * 1024  # far more than the lines of any fleet that fits in memory

    def __init__(
        self,
        address: Address,
        version: int | None,
        tasks: Tasks,
        tell: Callable[[DiscoveryResponse | None], None],
        log: Any,
        connect: Connector = http1.connect,
        list_pushed: bool = False,
    ) -> None:
        """`list_pushed`: whether the settings say that the list is told unasked."""
        self.address, self.version, self.connect, self.list_pushed = address, version, connect, list_pushed
        self.tasks, self.tell, self.log = tasks, tell, log
        self.running = False
        # When the last call was made whose answer was taken in: what discovery had by then is known. A new
        # process counts from its start.
        self.fresh_as_of = self.poll_started_at = (
            anyio.current_time()
        )  # asked: when the call that is out was made
        self.stale_deadline = (
            math.inf
        )  # when what a move or a silence kept back counts as told, until an answer
        # Where lists are pushed, all that is new counts as told at once while no watch stands: since the last
        # one broke off, or a call was refused, which shows that the service learned nothing until then.
        # What it had when this process began counts until an answer, whatever is refused before.
        self.unwatched_since = anyio.current_time() if list_pushed else math.inf
        self.ever_answered = False  # whether a call has been, since this process began
        self.line: UpstreamConnection | None = None
        self.at = address  # where that connection leads
        self.scope = anyio.CancelScope()  # of the call that is out

    def move(self, address: Address) -> None:
        """Follows the list at another place from now on. What is known of it stays."""
        if address != self.address:
            self.address = address
            self.stale_deadline = min(
                self.stale_at, anyio.current_time() + self.MAX_STALENESS_AFTER_MOVE_SECONDS
            )
            self.unwatched_since = math.inf
            if self.running:
                self.tasks.start("leaving a list service", self._leave, self.scope)
            self.start()

    async def _leave(self, call: anyio.CancelScope) -> None:
        """Guards against news that was written, and so counts as told, as the node turned away from it."""
        await anyio.sleep(self.RESPONSE_TRANSIT_SECONDS)
        call.cancel()

    @property
    def stale_at(self) -> float:
        """When the first change that may not be known counts as told, on the event loop's clock.

        Guards against attempts to backends that began to drain while no call was answered: what failed, was
        refused, reset or given up in whatever row moves it no later, nor does a new place. A connection that
        could not be made shows that discovery was out of reach at that moment alone, and moves nothing.
        """
        return min(self.stale_deadline, self.unwatched_since, self.fresh_as_of + self.MAX_STALENESS_SECONDS)

    def start(self) -> None:
        """Begins a watch unless one stands. What changed meanwhile comes first; a failure ends it."""
        if not self.running:
            self.running = True
            self.tasks.start("a watch", self._run)

    async def _run(self) -> None:
        wait = due = 0.0
        while True:
            try:
                # Guards against a service that answers at once whatever the wait: calls without end.
                await anyio.sleep_until(due)
                due = anyio.current_time() + self.MIN_POLL_INTERVAL_SECONDS
                if self.at != self.address:
                    wait = 0.0  # moved: what has changed comes first there too
                answer = await self._poll(wait)
            except Exception:
                # Nothing is foreseen here; it ends this watch, and not the node.
                self.log.exception("a watch failed")
                answer = None
            if answer is None and self.at != self.address:
                continue  # moved meanwhile; the old place is left alone
            if answer is None:
                break
            if self._is_version_regression(answer):
                # Guards against changes that count from another list than the one that is known.
                self.version, wait = None, 0.0
                continue
            if not wait or answer.entries or answer.kind is ListKind.SNAPSHOT:
                try:
                    self.tell(answer)
                except Exception:
                    self.log.exception("news of the list could not be taken in")
                    self.version = None  # what was missed comes with the whole list
                    break
            if self.at == self.address:  # else: what a place says that was left ends no silence
                self.fresh_as_of, self.stale_deadline, self.unwatched_since = (
                    self.poll_started_at,
                    math.inf,
                    math.inf,
                )
                self.ever_answered = True
            self.version, wait = answer.version, self.LONG_POLL_SECONDS
        self.running = False
        self.tell(None)

    def _is_version_regression(self, answer: DiscoveryResponse) -> bool:
        """Whether these changes lead to a version before the one that is known."""
        if answer.kind is ListKind.SNAPSHOT or self.version is None:
            return False
        return answer.version is None or answer.version < self.version

    async def _poll(self, wait: float) -> DiscoveryResponse | None:
        """One call; a failed one closes its connection."""
        answer: DiscoveryResponse | None = None
        reply: UpstreamResponse | Failure | None = None
        began = self.poll_started_at = anyio.current_time()
        with anyio.move_on_after(
            wait + self.RESPONSE_TIMEOUT_SECONDS if wait else self.FIRST_POLL_TIMEOUT_SECONDS
        ) as self.scope:
            if self.line is not None and (self.at != self.address or self.line.is_stale()):
                await self._close()
            self.at = self.address
            if self.line is None:
                line = await self.connect(self.at, self.CONNECT_TIMEOUT_SECONDS)
                self.line = line if isinstance(line, UpstreamConnection) else None
            if self.line is not None:
                request = messages.encode_list_request(f"{self.at[0]}:{self.at[1]}", self.version, wait)
                reply = await self.line.round_trip(request, max_body_bytes=self.MAX_LIST_BYTES)
            if isinstance(reply, UpstreamResponse) and reply.status == 200:
                try:
                    answer = messages.decode_list(reply.body)
                except MalformedError:
                    answer = None
            elif isinstance(reply, UpstreamResponse) and 400 <= reply.status < 500:
                self.version = None  # it does not know the version: the next call is for the whole list
        if answer is None and self.list_pushed and self.at == self.address:
            self._record_failed_poll(began, wait, reply)
        if answer is None or (self.line is not None and not self.line.reusable):
            await self._close()
        return answer

    def _record_failed_poll(
        self, began: float, wait: float, reply: UpstreamResponse | Failure | None
    ) -> None:
        """Reckons when what a failed call kept back counts as told, where that is at once while no watch
        stands; `reply` is None for a time-out."""
        now = anyio.current_time()
        late = now - began > wait + self.SILENCE_THRESHOLD_SECONDS
        if late and not isinstance(reply, UpstreamResponse) and (wait or reply is None):
            # It said nothing for too long. A call that is refused, or broken off in its time, missed nothing;
            # nor is it silence when the first call waits for its turn in vain, and that is said by an answer
            # or a reset. One to which no connection came up was no watch.
            if self.line is not None:
                self.stale_deadline = self.stale_at
        elif self.stale_deadline == math.inf:
            if wait and now - began < self.RESPONSE_TRANSIT_SECONDS:
                # It did not stand for long enough to say what was new since the last answer, if anything was.
                self.stale_deadline = began - self.MIN_POLL_INTERVAL_SECONDS
            else:
                self.unwatched_since = (
                    min(self.unwatched_since, now) if _is_unreadable(reply) or not self.ever_answered else now
                )

    async def _close(self) -> None:
        line, self.line = self.line, None
        if line is not None:
            await line.close()


def _is_unreadable(reply: UpstreamResponse | Failure | None) -> bool:
    """Whether a call failed by what came: no news, and no sign that there is none."""
    if isinstance(reply, Failure):
        return reply.cause is Cause.MALFORMED
    return reply is not None and reply.status == 200
