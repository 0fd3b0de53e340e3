"""A large request body on its way from a client's connection to the push that sends it on."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from contextlib import suppress

import anyio
from anyio.abc import SocketStream

from thornladder.node import kernel_buffers, streams
from thornladder.node.flow import BodyPipe
from thornladder.node.memory import charges
from thornladder.node.memory.budget import Reservation

# Unread data from which on the kernel may let the client send no more.
FULL_WINDOW_BYTES = kernel_buffers.CLIENT_RECEIVE_BYTES // 4
# The most of a body that may be in the kernels of both sides: unread here, and written but not sent there.
MAX_UNREAD_BYTES = streams.MAX_PEEK_BYTES + 4 * 2**20


def may_be_unread(stream: SocketStream, missing: int | None) -> bool:
    """Whether its client may have written the rest of a body, of `missing` bytes or, if None, in chunks."""
    if missing is not None and missing > MAX_UNREAD_BYTES:
        return False
    unread = streams.peek_unread(stream)
    if unread is None or len(unread) >= FULL_WINDOW_BYTES:
        return True  # what its machine cannot send yet is not here
    if missing is not None:
        return len(unread) >= missing
    return unread.endswith(b"\n")  # as a last chunk and its trailers do


class Upload:
    """A streamed request body: what has been read and is not passed on yet, and how long that takes.

    Room in the memory budget is reserved before more than a small part is read, and only while parts of the
    body wait for the backend, not while the node waits for the client. The body is held back while it waits
    for room, or for its backend. The node reads no more of it meanwhile, so its last byte, from which on the
    client's time counts, may have been received without having been read.
    """

    def __init__(
        self,
        pipe: BodyPipe,
        length: int | None,
        stream: SocketStream,
        room: Reservation,
        clock: Callable[[], float],
        unread_seconds: float,
    ) -> None:
        """`length`: by Content-Length, None if chunked. `unread_seconds`: how long its start lay unread.

        `room`: what is reserved for the request.
        """
        self.pipe, self.length, self.stream = pipe, length, stream
        self.room, self.clock = room, clock
        self.pending_parts: deque[bytes] = deque()  # read, but not yet passed to `pipe`
        self.read_whole = False  # whether the last byte has been read
        self.finished = False
        self.unconsumed_parts = 0  # passed to `pipe`, and not yet taken by the backend
        self.held_since: float | None = None  # since when the present part waits to be passed on
        self.awaiting_client = False  # whether all that was received has been read and passed on
        # The last byte was not received before this time, nor read whole if that is later.
        self.received_after = clock() - unread_seconds
        self.forward_scope = anyio.CancelScope()  # of the present call of `wait_for_room` or `forward`
        self.watch_scope = anyio.CancelScope()  # of whatever watches over this upload
        pipe.on_consumed = self._on_consumed

    @property
    def unread_seconds(self) -> float:
        """For how long at most the last byte has been received, in seconds."""
        return 0.0 if self.awaiting_client else max(self.clock() - self.received_after, 0.0)

    @property
    def held_seconds(self) -> float:
        """For how long the present part has waited for room or for the backend, in seconds."""
        return 0.0 if self.held_since is None else self.clock() - self.held_since

    def before_read(self, read_bytes: int) -> None:
        """The node has passed on the `read_bytes` of the body that it has read, and is about to read on."""
        self.awaiting_client = not streams.has_unread_data(self.stream)
        if not self.awaiting_client:
            self.may_be_received(read_bytes)

    def after_read(self) -> None:
        """The node has read something."""
        if self.awaiting_client:
            self.awaiting_client, self.received_after = False, self.clock()

    def on_read_whole(self) -> None:
        """The last byte has been read; finds out when it was received."""
        self.read_whole = True
        with suppress(Exception):  # a socket that is being closed
            if since_received := streams.seconds_since_last_data(streams.raw_socket(self.stream)):
                self.received_after = max(self.received_after, self.clock() - since_received)

    def may_be_received(self, read_bytes: int) -> bool:
        """Whether the last byte may have been received by now, of a body of which `read_bytes` were read.

        If it cannot have been, the client's time has not begun.
        """
        missing = None if self.length is None else self.length - read_bytes
        if self.read_whole or may_be_unread(self.stream, missing):
            return True
        self.received_after = self.clock()
        return False

    async def wait_for_room(self) -> bool:
        """Waits for room for what is read next, unless the upload ends; returns whether it had to."""
        if self.finished:
            return False
        must_wait = self.room.must_wait_for(charges.BODY_PIPE_BYTES)
        self.held_since = self.clock()
        with anyio.CancelScope() as self.forward_scope:
            await self.room.grow_to(charges.BODY_PIPE_BYTES)
            if self.finished:
                self.room.release()
        self.held_since = None
        return must_wait

    async def forward(self) -> None:
        """Passes on what has been read, until the upload is finished."""
        with anyio.CancelScope() as self.forward_scope:
            while self.pending_parts:
                self.held_since = self.clock()
                part = b"".join(self.pending_parts)
                self.pending_parts.clear()
                self.unconsumed_parts += 1
                await self.pipe.send(part)
        self.held_since = None

    def finish(self, complete: bool) -> None:
        """Ends the body; `complete` is False if the rest of it will not be passed on."""
        self.finished = True
        self.pipe.finish(complete)
        self.pending_parts.clear()
        self.forward_scope.cancel()
        self.watch_scope.cancel()
        self.room.release()

    def _on_consumed(self) -> None:
        self.unconsumed_parts -= 1
        if not self.unconsumed_parts and not self.pending_parts:
            self.room.release()
