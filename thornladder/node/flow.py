"""A large body on its way through this node: one side gives parts, the other takes them, nothing piles up."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import suppress

import anyio
from anyio.abc import SocketStream

from thornladder.node import streams

COST = 256 * 1024  # bytes that a flow is counted with: a part here, one in each transport, as much in h11
KERNEL = 64 * 1024  # bytes that the kernel may hold of a flow on each side


class Flow:
    """Holds one part. Whoever gives says at the end whether that was all; either side may leave."""

    def __init__(self) -> None:
        self._in, self._out = anyio.create_memory_object_stream[bytes](0)
        self.whole = False
        self.given_by: anyio.CancelScope | None = None  # of the task that gives, ended with the taker

    async def give(self, part: bytes) -> bool:
        """Waits until the part is taken; False if nobody takes any more."""
        try:
            await self._in.send(part)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True

    def end(self, whole: bool) -> None:
        self.whole = self.whole or whole
        self._in.close()

    async def parts(self) -> AsyncIterator[bytes]:
        with suppress(anyio.EndOfStream, anyio.ClosedResourceError):
            while True:
                yield await self._out.receive()

    def drop(self) -> None:
        """Takes nothing more."""
        self._out.close()
        self._in.close()
        if self.given_by is not None:
            self.given_by.cancel()


def narrow(stream: SocketStream) -> None:
    """Little of a flow waits in the kernel: it counts as this node's memory there, too."""
    with suppress(Exception):
        raw = streams.raw(stream)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL)
