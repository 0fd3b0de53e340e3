"""A watch on the list over HTTP: one call after the other for as long as they are answered."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import anyio

from thornladder.fields import MalformedError
from thornladder.interface import ListKind
from thornladder.node import http1, messages
from thornladder.node.http1 import Cause, Connect, Failure, UpstreamConnection
from thornladder.node.messages import ListAnswer, Reply
from thornladder.node.tasks import Tasks
from thornladder.settings import Address


class Watch:
    # The operators' terms: a change counts as told so long after discovery had it, whatever became of the
    # calls meanwhile, and what a new place has to tell so long after the node was sent there.
    TOLD, MOVED = 6.0, 4.0  # seconds
    # A change may be made as soon as an answer is written, which is known only to be after its call was
    # made. From there, at worst: HOLD to the answer, PACE to the next call, HOLD and PATIENCE until that is
    # given up, 0.4 until a new watch is begun, PATIENCE for its turn: 5.95 of the six seconds.
    HOLD = 0.75  # seconds that a call may wait for news: a watch that goes on costs nothing, silence shows
    PATIENCE = 2.0  # seconds beyond a call's wait, after which the list service itself has given up on it
    FIRST = PATIENCE + 0.25  # seconds for the first call, which waits its turn: its refusal comes before
    PACE = 0.05  # seconds from one call to the next at least; a watch goes on if it is under 0.2
    OVERDUE = 1.0  # seconds beyond a call's wait: what breaks off later has been silent before
    ON_ITS_WAY = 0.1  # seconds: longer than an answer that is written takes, far less than a move may
    CONNECT = 1.0  # seconds for a connection; the list service works through its callers in turn
    MOST_LIST = 16 * 1024 * 1024  # bytes: far more than the lines of any fleet that fits the memory

    def __init__(
        self,
        address: Address,
        version: int | None,
        tasks: Tasks,
        tell: Callable[[ListAnswer | None], None],
        log: Any,
        connect: Connect = http1.connect,
        pushed: bool = False,
    ) -> None:
        """`pushed`: whether the settings say that the list is told unasked."""
        self.address, self.version, self.connect, self.pushed = address, version, connect, pushed
        self.tasks, self.tell, self.log = tasks, tell, log
        self.running = False
        # When the last call was made whose answer was taken in: what discovery had by then is known. A new
        # process counts from its start.
        self.heard = self.asked = anyio.current_time()  # asked: when the call that is out was made
        self.deaf_at = math.inf  # when what a move or a silence kept back counts as told, until an answer
        # Where lists are pushed, all that is new counts as told at once while no watch stands: since the last
        # one broke off, or a call was refused, which shows that the service learned nothing until then.
        # What it had when this process began counts until an answer, whatever is refused before.
        self.off_since = anyio.current_time() if pushed else math.inf
        self.answered = False  # whether a call has been, since this process began
        self.line: UpstreamConnection | None = None
        self.at = address  # where that connection leads
        self.scope = anyio.CancelScope()  # of the call that is out

    def move(self, address: Address) -> None:
        """Follows the list at another place from now on. What is known of it stays."""
        if address != self.address:
            self.address = address
            self.deaf_at = min(self.told_by, anyio.current_time() + self.MOVED)
            self.off_since = math.inf
            if self.running:
                self.tasks.start("leaving a list service", self._leave, self.scope)
            self.start()

    async def _leave(self, call: anyio.CancelScope) -> None:
        """Guards against news that was written, and so counts as told, as the node turned away from it."""
        await anyio.sleep(self.ON_ITS_WAY)
        call.cancel()

    @property
    def told_by(self) -> float:
        """When the first change that may not be known counts as told, on the event loop's clock.

        Guards against attempts to backends that began to drain while no call was answered: what failed, was
        refused, reset or given up in whatever row moves it no later, nor does a new place. A connection that
        could not be made shows that discovery was out of reach at that moment alone, and moves nothing.
        """
        return min(self.deaf_at, self.off_since, self.heard + self.TOLD)

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
                due = anyio.current_time() + self.PACE
                if self.at != self.address:
                    wait = 0.0  # moved: what has changed comes first there too
                answer = await self._call(wait)
            except Exception:
                # Nothing is foreseen here; it ends this watch, and not the node.
                self.log.exception("a watch failed")
                answer = None
            if answer is None and self.at != self.address:
                continue  # moved meanwhile; the old place is left alone
            if answer is None:
                break
            if self._astray(answer):
                # Guards against changes that count from another list than the one that is known.
                self.version, wait = None, 0.0
                continue
            if not wait or answer.entries or answer.kind is ListKind.WHOLE:
                try:
                    self.tell(answer)
                except Exception:
                    self.log.exception("news of the list could not be taken in")
                    self.version = None  # what was missed comes with the whole list
                    break
            if self.at == self.address:  # else: what a place says that was left ends no silence
                self.heard, self.deaf_at, self.off_since = self.asked, math.inf, math.inf
                self.answered = True
            self.version, wait = answer.version, self.HOLD
        self.running = False
        self.tell(None)

    def _astray(self, answer: ListAnswer) -> bool:
        """Whether these changes lead to a version before the one that is known."""
        if answer.kind is ListKind.WHOLE or self.version is None:
            return False
        return answer.version is None or answer.version < self.version

    async def _call(self, wait: float) -> ListAnswer | None:
        """One call; a failed one closes its connection."""
        answer: ListAnswer | None = None
        reply: Reply | Failure | None = None
        began = self.asked = anyio.current_time()
        with anyio.move_on_after(wait + self.PATIENCE if wait else self.FIRST) as self.scope:
            if self.line is not None and (self.at != self.address or self.line.stale()):
                await self._close()
            self.at = self.address
            if self.line is None:
                line = await self.connect(self.at, self.CONNECT)
                self.line = line if isinstance(line, UpstreamConnection) else None
            if self.line is not None:
                request = messages.encode_watch(f"{self.at[0]}:{self.at[1]}", self.version, wait)
                reply = await self.line.round_trip(request, most=self.MOST_LIST)
            if isinstance(reply, Reply) and reply.status == 200:
                try:
                    answer = messages.decode_list(reply.body)
                except MalformedError:
                    answer = None
            elif isinstance(reply, Reply) and 400 <= reply.status < 500:
                self.version = None  # it does not know the version: the next call is for the whole list
        if answer is None and self.pushed and self.at == self.address:
            self._missed(began, wait, reply)
        if answer is None or (self.line is not None and not self.line.reusable):
            await self._close()
        return answer

    def _missed(self, began: float, wait: float, reply: Reply | Failure | None) -> None:
        """Reckons when what a failed call kept back counts as told, where that is at once while no watch
        stands; `reply` is None for a time-out."""
        now = anyio.current_time()
        late = now - began > wait + self.OVERDUE
        if late and not isinstance(reply, Reply) and (wait or reply is None):
            # It said nothing for too long. A call that is refused, or broken off in its time, missed nothing;
            # nor is it silence when the first call waits for its turn in vain, and that is said by an answer
            # or a reset. One to which no connection came up was no watch.
            if self.line is not None:
                self.deaf_at = self.told_by
        elif self.deaf_at == math.inf:
            if wait and now - began < self.ON_ITS_WAY:
                # It did not stand for long enough to say what was new since the last answer, if anything was.
                self.deaf_at = began - self.PACE
            else:
                self.off_since = min(self.off_since, now) if _odd(reply) or not self.answered else now

    async def _close(self) -> None:
        line, self.line = self.line, None
        if line is not None:
            await line.close()


def _odd(reply: Reply | Failure | None) -> bool:
    """Whether a call failed by what came: no news, and no sign that there is none."""
    if isinstance(reply, Failure):
        return reply.cause is Cause.MALFORMED
    return reply is not None and reply.status == 200
