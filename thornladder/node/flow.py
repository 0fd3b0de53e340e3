"""Streaming of large bodies through the node, with backpressure from the reader to the sender."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import suppress

import anyio


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
