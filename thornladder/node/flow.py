"""Streaming of large bodies through the node, with backpressure from the reader to the sender."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import suppress

import anyio
from anyio.abc import SocketStream

from thornladder.node import streams

# Memory counted for one streamed body: a part here, one in each transport, and as much again in h11.
BODY_PIPE_BYTES = 4 * streams.MAX_READ_BYTES
# Memory counted for a body without a length until it is streamed: it is here twice, with one read beyond it.
CHUNKED_BODY_BYTES = 2 * 64 * 1024 + streams.MAX_READ_BYTES
KERNEL_BUFFER_BYTES = 64 * 1024  # for a streamed body, in each direction of each of its sockets


class BodyPipe:
    """Passes a body from a producer to a consumer, one part at a time; either side may leave early."""

    def __init__(self) -> None:
        self.on_consumed: Callable[[], None] | None = None  # called when the consumer has used up a part
        # Whether the one from whom the body comes has left, even if the body has been received whole.
        self.producer_left: Callable[[], bool] = lambda: False
        self._sender, self._receiver = anyio.create_memory_object_stream[bytes](0)
        self.complete = False  # whether the producer has sent the whole body
        self.producer_scope: anyio.CancelScope | None = None  # cancelled when the consumer leaves

    async def send(self, part: bytes) -> bool:
        """Waits until the consumer takes the part; returns False if it has left."""
        try:
            await self._sender.send(part)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True

    def finish(self, complete: bool) -> None:
        """Ends the body on the producer's side; `complete` is False for a truncated one."""
        self.complete = self.complete or complete
        self._sender.close()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the parts until the producer finishes or the pipe is aborted."""
        with suppress(anyio.EndOfStream, anyio.ClosedResourceError):
            while True:
                yield await self._receiver.receive()
                if self.on_consumed is not None:
                    self.on_consumed()

    def abort(self) -> None:
        """Ends the pipe on the consumer's side and cancels the producer."""
        self._receiver.close()
        self._sender.close()
        if self.producer_scope is not None:
            self.producer_scope.cancel()


def limit_kernel_buffers(stream: SocketStream) -> None:
    """Shrinks the kernel's buffers of a streamed body: the node is charged for their memory, too."""
    with suppress(Exception):
        raw_socket = streams.raw_socket(stream)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
