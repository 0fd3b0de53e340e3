"""Helpers for TCP streams, used by the clients' and the backends' side of a node."""

from __future__ import annotations

import asyncio
import fcntl
import os
import select
import socket
import struct
import sys
import termios
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from enum import Enum
from typing import Any, cast

import anyio
from anyio._backends._asyncio import SocketStream as _AsyncioStream  # its public makers read without a limit
from anyio._backends._asyncio import StreamProtocol
from anyio.abc import SocketAttribute, SocketStream

# The most that is read at once: at any time, where the reader has reserved memory for it, and where it has
# an allowance for more.
SMALL_READ_BYTES, MAX_READ_BYTES, LARGE_READ_BYTES = 4 * 1024, 32 * 1024, 128 * 1024
MAX_PEEK_BYTES = 2**20  # more than the kernel holds of a connection whose buffers are limited
MAX_DISCARDED_READS = 64  # of a request that is refused unread; a sender may be faster than this process
_LINGER_ZERO = struct.pack("ii", 1, 0)  # a close drops what is unsent and resets the connection
# Raised where either side has closed the stream.
STREAM_CLOSED_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class EndResult(Enum):
    """What `end_if_nothing_unread` has done."""

    DATA_UNREAD = "data unread"  # the connection goes on
    ENDED = "ended"
    CROSSED = "crossed"  # ended, and data arrived after the look, which stays unread


async def close(stream: SocketStream) -> None:
    """Closes both directions; nothing more is sent once this returns. Errors are ignored."""
    with anyio.CancelScope(shield=True):
        try:
            await stream.aclose()
        except Exception:
            # Most likely the socket is closed already; if not, this ends the connection.
            with suppress(Exception), socket.socket(fileno=os.dup(_fileno(stream))) as duplicate:
                duplicate.shutdown(socket.SHUT_RDWR)


def _fileno(stream: SocketStream) -> int:
    return raw_socket(stream).fileno()


class SingleReadProtocol(asyncio.BufferedProtocol):
    """Wraps anyio's protocol and pauses reading after each read, until the reader asks for more.

    Keeps data from piling up in anyio's queue: the event loop would read up to 32 times 256,000 bytes in a
    row, also before the connection's reader has begun, and would never pause one whose reader need not wait.
    """

    # Shared by all connections: each read is copied from it before the next one begins.
    _buffer = memoryview(bytearray(LARGE_READ_BYTES))

    def __init__(self) -> None:
        self.inner = StreamProtocol()
        self.max_read_bytes = SMALL_READ_BYTES
        self.transport: asyncio.Transport
        self.eof_received, self.connection_lost = self.inner.eof_received, self.inner.connection_lost
        self.pause_writing, self.resume_writing = self.inner.pause_writing, self.inner.resume_writing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.inner.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer[: self.max_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        self.inner.data_received(data)
        self.transport.pause_reading()


async def open_stream(connected: socket.socket) -> SocketStream:
    """Hands a connected socket to the event loop, with `SingleReadProtocol`.

    Raises OSError if the other side has reset it.
    """
    connected.getpeername()
    transport, protocol = await asyncio.get_running_loop().connect_accepted_socket(
        SingleReadProtocol, connected
    )
    transport.pause_reading()
    return _AsyncioStream(transport, protocol.inner)


def limit_reads(stream: SocketStream, max_bytes: int) -> None:
    """Sets how many bytes the next reads take at most, of a stream made by `open_stream`."""
    transport = getattr(stream, "_transport", None)
    protocol = None if transport is None or transport.is_closing() else transport.get_protocol()
    if isinstance(protocol, SingleReadProtocol):
        protocol.max_read_bytes = max_bytes


def read_at_once(stream: SocketStream, max_bytes: int) -> bytes:
    """Reads what the kernel has received, without waiting, past a stream that nobody reads from meanwhile.

    For data that is used up in this step. Returns b"" where there is none; errors are left to the next read.
    """
    with suppress(Exception), _socket_view(stream) as view:
        return view.recv(max_bytes, socket.MSG_DONTWAIT)
    return b""


def reset(stream: SocketStream) -> None:
    """Ends a connection by a reset, so that nobody can take the end of its bytes for the end of a message.

    What is not sent yet is dropped. Errors are ignored: then a plain close follows.
    """
    with suppress(Exception):
        raw_socket(stream).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        stream._transport.abort()  # a close by anyio would end the sending in order first


def end_if_nothing_unread(stream: SocketStream) -> EndResult:
    """Ends the connection, in both directions, unless data has arrived that nobody has read.

    The look and the end are two system calls in a row, since a request that arrives between them is lost.
    From the end on the kernel answers data with a reset, which tells its sender that it was not read; what
    was written before is still delivered. Nothing can be sent or received on the stream after it.
    """
    if bool(getattr(getattr(stream, "_protocol", None), "read_queue", None)):
        return EndResult.DATA_UNREAD
    try:
        descriptor = _fileno(stream)
    except Exception:
        return EndResult.DATA_UNREAD  # being closed already, and not this function's to end
    if descriptor < 0:
        return EndResult.ENDED
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    try:
        with _socket_view(stream) as view:
            if poller.poll(0):
                return EndResult.DATA_UNREAD
            view.shutdown(socket.SHUT_RDWR)
            is_crossed = bool(view.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return EndResult.ENDED  # the other side has reset the connection
    return EndResult.CROSSED if is_crossed else EndResult.ENDED


@contextmanager
def _socket_view(stream: SocketStream) -> Iterator[socket.socket]:
    """The stream's socket with all of its calls, which the event loop's own lacks; it needs no descriptor.

    Raises OSError if the socket is closed.
    """
    transport_socket = raw_socket(stream)
    view = socket.socket(transport_socket.family, socket.SOCK_STREAM, fileno=transport_socket.fileno())
    try:
        yield view
    finally:
        view.detach()  # the descriptor stays the transport's


def answer_and_end(stream: SocketStream, answer: bytes) -> None:
    """Drops what has arrived, writes a last answer and ends the connection, all in one step.

    For a request that is not going to be read. What was written before must have been sent. Errors are
    ignored: then the connection has ended.
    """
    with suppress(Exception), _socket_view(stream) as view:
        _answer_and_shut_down(view, answer)


def answer_and_close(connected: socket.socket, answer: bytes) -> None:
    """The same for a socket that no stream has been made of, and closes it."""
    with suppress(OSError):
        _answer_and_shut_down(connected, answer)
    connected.close()


def _answer_and_shut_down(connected: socket.socket, answer: bytes) -> None:
    # Unread bytes would turn the end into a reset, which may overtake the answer.
    with suppress(BlockingIOError):
        for _ in range(MAX_DISCARDED_READS):
            if not connected.recv(MAX_READ_BYTES, socket.MSG_DONTWAIT):
                break
    connected.send(answer)  # fits an empty send buffer
    connected.shutdown(socket.SHUT_RDWR)


def try_write(stream: SocketStream, data: bytes) -> bool:
    """Writes a few bytes without waiting; returns False, with nothing written, if that is not possible.

    Does what anyio's `send` does without its turn of the event loop: the transport buffers what the kernel
    does not take at once.
    """
    transport = getattr(stream, "_transport", None)
    if transport is None or transport.is_closing() or transport.get_write_buffer_size():
        return False
    transport.write(data)
    return True


def is_closing(stream: SocketStream) -> bool:
    """Whether this side has closed the stream, or begun to."""
    transport = getattr(stream, "_transport", None)
    return transport is None or transport.is_closing()


def unsent_bytes(stream: SocketStream) -> int:
    """Returns how many written bytes the kernel has not taken yet, because the other side reads slowly."""
    transport = getattr(stream, "_transport", None)
    return 0 if transport is None or transport.is_closing() else transport.get_write_buffer_size()


def undelivered_bytes(stream: SocketStream) -> int:
    """Returns how many written bytes the other side has not acknowledged, those in the kernel included.

    It shrinks as the other side reads. What the kernel does not tell counts as none.
    """
    unsent = unsent_bytes(stream)
    with suppress(Exception):
        queued = fcntl.ioctl(_fileno(stream), termios.TIOCOUTQ, bytes(4))
        return unsent + int.from_bytes(queued, sys.byteorder)
    return unsent


# `tcpi_last_data_recv` in Linux's `struct tcp_info`: milliseconds since data was last received.
_LAST_DATA_RECEIVED = struct.Struct("52xI")


def seconds_since_last_data(connection: socket.socket) -> float:
    """Returns the seconds since a TCP connection last received data; 0 where the kernel does not say.

    For a message that is only now being read this is its queueing time, which the node cannot measure itself.
    """
    try:
        tcp_info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
        return _LAST_DATA_RECEIVED.unpack(tcp_info)[0] / 1000.0
    except (OSError, AttributeError, struct.error, TypeError):
        return 0.0


# `tcpi_unacked` in the same: of a listening socket, the connections that are queued.
_QUEUED_CONNECTIONS = struct.Struct("24xI")


def queued_connections(listener: socket.socket) -> int:
    """Returns how many connections the kernel holds that are not accepted; 0 where it does not say."""
    try:
        tcp_info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _QUEUED_CONNECTIONS.size)
        return _QUEUED_CONNECTIONS.unpack(tcp_info)[0]
    except (OSError, AttributeError, struct.error, TypeError):
        return 0


def raw_socket(stream: SocketStream) -> socket.socket:
    """Returns the socket below `stream`."""
    return stream.extra(SocketAttribute.raw_socket)


def transport_socket(stream: SocketStream) -> socket.socket:
    """The same without the table that `extra` makes at each call, for a look at hundreds of streams.

    Raises AttributeError or another error of the event loop if the stream is closed.
    """
    return cast(Any, stream)._transport.get_extra_info("socket")


def peer_closed(stream: SocketStream) -> bool:
    """Whether the other side has closed, half-closed or reset the stream, even behind unread data.

    A socket that this side has closed counts as well: the event loop closes it once it has read a reset, a
    turn before the reader learns of it. False if the socket cannot be inspected: reading will show the end.
    """
    events = _poll_events(stream, select.POLLIN | select.POLLRDHUP)
    if not events:
        return False
    if events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL):
        return True
    # Where poll does not distinguish the end of the stream from data, peeking reads nothing.
    try:
        return not _peek(stream, 1)
    except BlockingIOError:
        return False
    except _DescriptorError:
        return False
    except OSError:
        return True


def ended_in_order(stream: SocketStream) -> bool:
    """Whether the other side has ended its sending, and not reset the connection."""
    protocol = getattr(stream, "_protocol", None)
    return bool(getattr(protocol, "is_at_eof", False)) and getattr(protocol, "exception", None) is None


def peek_unread(stream: SocketStream) -> bytes | None:
    """Returns what has been received and not yet read, without reading it, but at most `MAX_PEEK_BYTES`.

    None if the socket cannot be inspected.
    """
    queue = getattr(getattr(stream, "_protocol", None), "read_queue", ())
    queued = b"".join(queue)
    try:
        return queued + _peek(stream, MAX_PEEK_BYTES)
    except BlockingIOError:
        return queued
    except Exception:
        return None


class _DescriptorError(OSError):
    """A socket could not be duplicated: it is closed, or the process is out of file descriptors."""


def _peek(stream: SocketStream, size: int) -> bytes:
    """Returns up to `size` bytes that the kernel has received, b"" at the end of the stream."""
    try:
        duplicate = socket.socket(fileno=os.dup(_fileno(stream)))
    except OSError as error:
        raise _DescriptorError from error
    with duplicate:
        return duplicate.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)


def has_unread_data(stream: SocketStream) -> bool:
    """Whether data or the end of the stream has arrived that nobody has received yet.

    It may be in the kernel, or read by the event loop already. True if the kernel cannot be asked.
    """
    received = getattr(getattr(stream, "_protocol", None), "read_queue", None)
    return bool(received) or _poll_events(stream, select.POLLIN) != 0


def _poll_events(stream: SocketStream, event_mask: int) -> int | None:
    """Polls the stream's socket without waiting; returns 0 for no events, None if it cannot be inspected."""
    try:
        descriptor = _fileno(stream)
    except Exception:
        # The event loop drops a socket that is being closed, and looking it up then fails with errors of the
        # loop's own (incident: an AttributeError ended the accepting task, and with it the node).
        return None
    if descriptor < 0:
        return select.POLLNVAL  # closed by this side
    poller = select.poll()
    poller.register(descriptor, event_mask)
    return sum(events for _, events in poller.poll(0))
