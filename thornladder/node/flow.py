"""A large body on its way through this node: one side gives parts, the other takes them, nothing piles up."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import suppress

import anyio
from anyio.abc import SocketStream

from thornladder.node import streams

BODY_PIPE_BYTES = (
    256 * 1024
)  # bytes that a flow is counted with: a part here, one in each transport, as much in h11
KERNEL_BUFFER_BYTES = 64 * 1024  # bytes that the kernel may hold of a flow on each side


class BodyPipe:
    """Holds one part. Whoever gives says at the end whether that was all; either side may leave."""

    def __init__(self) -> None:
        self._sender, self._receiver = anyio.create_memory_object_stream[bytes](0)
        self.complete = False
        self.producer_scope: anyio.CancelScope | None = None  # of the task that gives, ended with the taker

    async def send(self, part: bytes) -> bool:
        """Waits until the part is taken; False if nobody takes any more."""
        try:
            await self._sender.send(part)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True

    def finish(self, whole: bool) -> None:
        self.complete = self.complete or whole
        self._sender.close()

    async def parts(self) -> AsyncIterator[bytes]:
        with suppress(anyio.EndOfStream, anyio.ClosedResourceError):
            while True:
                yield await self._receiver.receive()

    def abort(self) -> None:
        """Takes nothing more."""
        self._receiver.close()
        self._sender.close()
        if self.producer_scope is not None:
            self.producer_scope.cancel()


def limit_kernel_buffers(stream: SocketStream) -> None:
    """Little of a flow waits in the kernel: it counts as this node's memory there, too."""
    with suppress(Exception):
        raw = streams.raw_socket(stream)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
