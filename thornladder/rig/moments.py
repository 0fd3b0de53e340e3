"""An event loop whose clock a play moves: nobody waits, and the same seed gives the same play.

The node's own parts run on it unchanged. All that they talk to is in memory, so that whenever nothing is
ready the next timer is what happens next.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import anyio


class _Jump:
    """Moves the clock where a selector would wait."""

    def __init__(self, inner: Any, loop: MomentLoop) -> None:
        self.inner, self.loop = inner, loop

    def select(self, timeout: float | None = None) -> list:
        ready = self.inner.select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is left to wait for")
            self.loop.moment += max(timeout, 0.0)
        return ready

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class MomentLoop(asyncio.SelectorEventLoop):
    """Its time is `moment`, seconds since the play began; `stall` lets it pass with nothing done."""

    def __init__(self) -> None:
        self.moment = 0.0
        super().__init__()
        self._selector = _Jump(self._selector, self)

    def time(self) -> float:
        return self.moment

    def stall(self, span: float) -> None:
        """For as many seconds the whole loop does nothing, as a process that gets no core."""
        self.moment += span


def play(main: Callable[[], Awaitable[Any]]) -> Any:
    """Runs `main` on a clock of its own and returns what it returns."""
    return anyio.run(main, backend="asyncio", backend_options={"loop_factory": MomentLoop})


class Peer:
    """The far side of a connection in memory."""

    def came(self, data: bytes) -> None:
        """Bytes that the near side wrote."""

    def left(self) -> None:
        """The near side ended it."""


class Wire:
    """The near side of a connection in memory, in the form that `http1.UpstreamConnection` takes."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.parts: list[bytes] = []
        self.ended = self.closed = False
        self.more = anyio.Event()

    def feed(self, data: bytes) -> None:
        """The far side writes."""
        self.parts.append(data)
        self._wake()

    def end(self) -> None:
        """The far side resets it."""
        self.ended = True
        self._wake()

    def _wake(self) -> None:
        self.more.set()
        self.more = anyio.Event()

    async def send(self, data: bytes) -> None:
        if self.ended or self.closed:
            raise anyio.BrokenResourceError
        self.peer.came(bytes(data))

    async def receive(self, max_bytes: int = 65536) -> bytes:
        while not self.parts:
            if self.ended or self.closed:
                raise anyio.EndOfStream
            await self.more.wait()
        return self.parts.pop(0)

    async def aclose(self) -> None:
        if not self.closed:
            self.closed = True
            self.peer.left()

    def extra(self, _: object) -> Wire:
        return self

    def fileno(self) -> int:
        return -1  # there is no socket
