"""A watch on the list over HTTP: one call after the other for as long as they are answered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from thornladder.fields import Malformed
from thornladder.interface import ListKind
from thornladder.node import http1, messages
from thornladder.node.http1 import Failure, Line
from thornladder.node.messages import ListAnswer, Reply
from thornladder.node.tasks import Tasks
from thornladder.settings import Address


class Watch:
    HOLD = 5.0  # seconds that a call may wait for news: a watch that goes on costs nothing, a cut shows
    FIRST = 3.0  # seconds for the first call, which waits its turn; told or not, its news counts after six
    PATIENCE = 1.5  # seconds beyond a call's wait: half a second before its news counts as told
    PACE = 0.05  # seconds from one call to the next at least; a watch goes on if it is under 0.2
    CONNECT = 1.0  # seconds for a connection; the list service works through its callers in turn
    MOST_LIST = 16 * 1024 * 1024  # bytes: far more than the lines of any fleet that fits the memory

    def __init__(
        self,
        address: Address,
        version: int | None,
        tasks: Tasks,
        tell: Callable[[ListAnswer | None], None],
        log: Any,
    ) -> None:
        self.address, self.version = address, version
        self.tasks, self.tell, self.log = tasks, tell, log
        self.running = False
        self.line: Line | None = None
        self.at = address  # where that connection leads
        self.scope = anyio.CancelScope()  # of the call that is out

    def move(self, address: Address) -> None:
        """Follows the list at another place from now on. What is known of it stays."""
        if address != self.address:
            self.address = address
            self.scope.cancel()
            self.start()

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
        with anyio.move_on_after(wait + self.PATIENCE if wait else self.FIRST) as self.scope:
            if self.line is not None and (self.at != self.address or self.line.stale()):
                await self._close()
            self.at = self.address
            host = f"{self.at[0]}:{self.at[1]}"
            if self.line is None:
                line = await http1.connect(self.at, self.CONNECT)
                if isinstance(line, Failure):
                    return None
                self.line = line
            request = messages.encode_watch(host, self.version, wait)
            reply = await self.line.ask(request, most=self.MOST_LIST)
            if not isinstance(reply, Failure) and reply.status == 200:
                try:
                    answer = messages.decode_list(reply.body)
                except Malformed:
                    answer = None
            elif isinstance(reply, Reply) and 400 <= reply.status < 500:
                self.version = None  # it does not know the version: the next call is for the whole list
        if answer is None or (self.line is not None and not self.line.reusable):
            await self._close()
        return answer

    async def _close(self) -> None:
        line, self.line = self.line, None
        if line is not None:
            await line.close()
