"""A deterministic asyncio event loop in virtual time, and in-memory connections that run on it.

Nothing waits for real time, and the same seed gives the same run. The node's own parts run on it unchanged;
everything they talk to has to be in memory, so that the next timer is due as soon as no callback is ready.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from typing import Any

import anyio


class _TimeSkippingSelector:
    """A selector that advances the loop's clock where it would block."""

    def __init__(self, selector: Any, loop: VirtualTimeLoop) -> None:
        self.selector, self.loop = selector, loop

    def select(self, timeout: float | None = None) -> list:
        ready = self.selector.select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("deadlock: no callback is ready and no timer is set")
            self.loop.virtual_now += max(timeout, 0.0)
        return ready

    def __getattr__(self, name: str) -> Any:
        return getattr(self.selector, name)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is `virtual_now`, seconds since the start of the run."""

    def __init__(self) -> None:
        self.virtual_now = 0.0
        super().__init__()
        self._selector = _TimeSkippingSelector(self._selector, self)

    def time(self) -> float:
        return self.virtual_now

    def stall(self, seconds: float) -> None:
        """Lets time pass with no callback run, as in a process that gets no CPU."""
        self.virtual_now += seconds


def run(main: Callable[[], Awaitable[Any]]) -> Any:
    """Runs `main` on a new loop in virtual time and returns its result.

    Raises RuntimeError on a deadlock, that is when nothing is ready and no timer is set.
    """
    return anyio.run(main, backend="asyncio", backend_options={"loop_factory": VirtualTimeLoop})


class Peer:
    """The far side of an in-memory connection."""

    def data_received(self, data: bytes) -> None:
        """Called with the bytes of each write of the near side."""

    def connection_closed(self) -> None:
        """Called when the near side closes the connection."""


# Descriptors that stand for the socket of an open in-memory connection where the node polls it.
_NOTHING_UNREAD_DESCRIPTOR = os.eventfd(0)
_DATA_UNREAD_DESCRIPTOR = os.eventfd(1)


class MemoryStream:
    """The near side of an in-memory connection, with the interface that `http1.UpstreamConnection` needs.

    `send` and `receive` raise anyio's errors, as on a socket, once either side has ended the connection.
    """

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.chunks: list[bytes] = []
        self.reset_by_peer = self.closed = False
        self.changed = anyio.Event()

    def feed(self, data: bytes) -> None:
        """Delivers bytes that the far side writes."""
        self.chunks.append(data)
        self._wake()

    def reset(self) -> None:
        """Resets the connection from the far side."""
        self.reset_by_peer = True
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def send(self, data: bytes) -> None:
        if self.reset_by_peer or self.closed:
            raise anyio.BrokenResourceError
        self.peer.data_received(bytes(data))

    async def receive(self, max_bytes: int = 65536) -> bytes:
        while not self.chunks:
            if self.reset_by_peer or self.closed:
                raise anyio.EndOfStream
            await self.changed.wait()
        return self.chunks.pop(0)

    async def aclose(self) -> None:
        if not self.closed:
            self.closed = True
            self.peer.connection_closed()

    def extra(self, _: object) -> MemoryStream:
        return self

    def fileno(self) -> int:
        """A descriptor that polls as the connection's socket would: -1 once it has ended."""
        if self.closed or self.reset_by_peer:
            return -1
        return _DATA_UNREAD_DESCRIPTOR if self.chunks else _NOTHING_UNREAD_DESCRIPTOR
