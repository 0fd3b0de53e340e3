"""What both sides need of a TCP stream."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import struct
from contextlib import suppress
from typing import cast

import anyio
from anyio.abc import SocketAttribute, SocketStream

MAX_READ_BYTES = 256_000  # bytes that the event loop reads at most in one go
# The other side has ended the stream, or this one has.
STREAM_CLOSED_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


async def close(stream: SocketStream) -> None:
    """Ends both directions; when this returns nothing more goes out. An error on the way is nobody's."""
    with anyio.CancelScope(shield=True):
        try:
            await stream.aclose()
        except Exception:
            # Most likely the socket is gone already.
            with suppress(Exception), socket.socket(fileno=os.dup(_descriptor(stream))) as same:
                same.shutdown(socket.SHUT_RDWR)


def _descriptor(stream: SocketStream) -> int:
    return raw_socket(stream).fileno()


class BodyBudget:
    """Bytes of large bodies on their way through this node's memory.

    Guards against a crowd of them, or of sides that take them slowly, that outgrows the memory.
    """

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0
        self.over: object | None = None  # who goes past the most: one at a time, so that no two wait for ever
        self.freed = anyio.Event()

    async def acquire(self, size: int, holder: object) -> None:
        """Waits until `size` bytes more are bearable, or nobody else goes past that; and counts them.

        Guards against several that hold a part each, none of which can be had whole.
        """
        while self.used + size > self.limit and self.over not in (None, holder):
            await self.freed.wait()
        if self.used + size > self.limit:
            self.over = holder
        self.used += size

    def release(self, size: int, holder: object = None) -> None:
        if self.over is holder:
            self.over = None
        if size:
            self.used -= size
            self.freed.set()
            self.freed = anyio.Event()


class SingleReadProtocol(asyncio.Protocol):
    """Hands one read of a transport on, then reads no more until that is asked for.

    Guards against bodies that pile up in the library's queue: the event loop reads up to 32 times in one go,
    and a connection that was taken over reads on and on as long as its reader never has to wait.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport, self.inner = transport, cast(asyncio.Protocol, transport.get_protocol())
        self.eof_received, self.connection_lost = self.inner.eof_received, self.inner.connection_lost
        self.pause_writing, self.resume_writing = self.inner.pause_writing, self.inner.resume_writing

    def data_received(self, data: bytes) -> None:
        self.inner.data_received(data)
        self.transport.pause_reading()


def limit_reads(stream: SocketStream) -> SocketStream:
    """The same stream, that holds what one read of at most `READ` bytes brought, whoever sends how fast."""
    transport = getattr(stream, "_transport", None)
    if transport is not None and not transport.is_closing():
        transport.set_protocol(SingleReadProtocol(transport))
        transport.pause_reading()
    return stream


def try_write(stream: SocketStream, data: bytes) -> bool:
    """Hands over a few bytes without waiting; False if that cannot be done here, and nothing was.

    The library's own way costs a turn of the event loop for each. It is what that does, less the turn: the
    transport takes what is given to it, and keeps what the kernel does not take at once.
    """
    transport = getattr(stream, "_transport", None)
    if transport is None or transport.is_closing() or transport.get_write_buffer_size():
        return False
    transport.write(data)
    return True


# Where the kernel's record of a connection tells how many milliseconds ago data came last.
_LAST_DATA = struct.Struct("52xI")


def seconds_since_last_data(connection: socket.socket) -> float:
    """Seconds since bytes last came on a TCP connection; 0 where the kernel does not tell.

    For a message that is read only now this is how long it has waited: no clock of the node's own sees that.
    """
    try:
        record = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA.size)
        return _LAST_DATA.unpack(record)[0] / 1000.0
    except (OSError, AttributeError, struct.error, TypeError):
        return 0.0


def raw_socket(stream: SocketStream) -> socket.socket:
    return stream.extra(SocketAttribute.raw_socket)


def peer_closed(stream: SocketStream) -> bool:
    """Whether the other side has closed, reset or half closed it, whatever lies unread before that.

    What cannot be looked at counts as there: its end is read as ever.
    """
    events = _events(stream, select.POLLIN | select.POLLRDHUP)
    if not events:
        return False
    if events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL):
        return True
    # Where the end itself is not told apart from bytes it shows as nothing to read.
    try:
        same = socket.socket(fileno=os.dup(_descriptor(stream)))
    except OSError:
        return False  # no descriptor to spare
    with same:
        try:
            return not same.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


def has_unread_data(stream: SocketStream) -> bool:
    """Whether the kernel holds bytes, or the end, that nobody has read yet; also where it cannot be asked."""
    return _events(stream, select.POLLIN) != 0


def _events(stream: SocketStream, asked: int) -> int | None:
    """What the kernel has to say of a stream's socket as of now; 0: nothing, None: it cannot be asked."""
    try:
        descriptor = _descriptor(stream)
    except Exception:
        # Guards against the end of the node: the event loop has let go of a socket that is being closed, and
        # asking for it fails in ways that are the event loop's own (incident: AttributeError in accepting).
        return None
    if descriptor < 0:
        return 0
    watch = select.poll()
    watch.register(descriptor, asked)
    return sum(events for _, events in watch.poll(0))
