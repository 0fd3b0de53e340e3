"""Sizes of the kernel's buffers of TCP sockets: their memory is the node's, too.

An accepted connection has those of the listening socket from its first byte on. Where a message is large and
has its memory, its connection gets larger ones. The kernel allows twice of what is set, for its own needs.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from weakref import WeakSet

from anyio.abc import SocketStream

from thornladder.node import streams

KIBIBYTE = 1024
# Of a connection that has no large message: from a client, and to a backend.
CLIENT_RECEIVE_BYTES, CLIENT_SEND_BYTES = 16 * KIBIBYTE, 16 * KIBIBYTE
BACKEND_RECEIVE_BYTES, BACKEND_SEND_BYTES = 16 * KIBIBYTE, 16 * KIBIBYTE
LARGE_BYTES = 128 * KIBIBYTE  # in each direction of a connection with an allowance for large messages
# What a connection with an allowance may take: buffers in both directions, and parts of that size here.
ALLOWANCE_BYTES = 1024 * KIBIBYTE


def limit_listener(listener: socket.socket) -> None:
    """Limits the buffers of the connections that a listening socket will accept."""
    set_buffers(listener, CLIENT_RECEIVE_BYTES, CLIENT_SEND_BYTES)


def limit_backend(connecting: socket.socket) -> None:
    """Limits the buffers of a socket that is about to be connected to a backend."""
    set_buffers(connecting, BACKEND_RECEIVE_BYTES, BACKEND_SEND_BYTES)


class LargeMessageBuffers:
    """Gives some connections with large messages larger buffers, while memory is plentiful.

    What all of those could take at once is within a bound, whether they take it or not. A buffer is never
    made smaller: the kernel drops what is on its way to it then.
    """

    def __init__(self) -> None:
        self._large: WeakSet[SocketStream] = WeakSet()  # those with an allowance
        self._max_large = 0

    def set_room(self, size: int) -> None:
        """Sets how many bytes all allowances together may take."""
        self._max_large = size // ALLOWANCE_BYTES

    def is_large(self, stream: SocketStream) -> bool:
        """Whether a connection may read large parts."""
        return stream in self._large

    def allow(self, stream: SocketStream) -> None:
        """Gives a connection the buffers of a large message, if there is an allowance for it."""
        if stream in self._large:
            return
        if len(self._large) >= self._max_large:
            self._large = WeakSet(each for each in self._large if not streams.is_closing(each))
        if len(self._large) < self._max_large:
            self._large.add(stream)
            with suppress(Exception):  # a socket that is being closed
                set_buffers(streams.raw_socket(stream), LARGE_BYTES, LARGE_BYTES)


def set_buffers(connected: socket.socket, receive: int, send: int) -> None:
    """Sets both sizes, in bytes; a socket that refuses keeps its own."""
    with suppress(OSError):
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send)
