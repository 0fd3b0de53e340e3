"""Opens TCP connections within a time limit that a process without its core does not misjudge."""

from __future__ import annotations

import os
import select
import socket
import time
from contextlib import suppress

import anyio
from anyio.abc import SocketStream

from thornladder.node import kernel_buffers, streams
from thornladder.settings import Address


async def connect(address: Address, timeout: float) -> SocketStream:
    """Connects to the first socket address of a host that accepts, within `timeout` seconds in all.

    Raises OSError if none does; TimeoutError is one.
    """
    deadline = time.monotonic() + timeout
    error = OSError(f"no address for {address[0]}")
    for family, target in await _resolve(address):
        connecting = socket.socket(family, socket.SOCK_STREAM)
        kernel_buffers.limit_backend(connecting)
        try:
            await _connect_socket(connecting, target, deadline)
            return await _to_stream(connecting)
        except OSError as connect_error:
            connecting.close()
            error = connect_error
        except BaseException:
            connecting.close()
            raise
    raise error


async def _resolve(address: Address) -> list[tuple[socket.AddressFamily, tuple]]:
    """The socket addresses of a host and port; only a host given by name needs a look-up."""
    try:
        found = socket.getaddrinfo(*address, type=socket.SOCK_STREAM, flags=socket.AI_NUMERICHOST)
    except socket.gaierror:
        found = await anyio.getaddrinfo(*address, type=socket.SOCK_STREAM)
    return [(family, target) for family, _, _, _, target in found]


async def _connect_socket(connecting: socket.socket, target: tuple, deadline: float) -> None:
    """Connects a socket by `deadline`, on the monotonic clock. Raises OSError if that fails.

    A process that got no CPU sees the deadline before the connection: the socket tells whether it is made.
    """
    connecting.setblocking(False)
    with suppress(BlockingIOError, InterruptedError):  # the connection is made meanwhile
        connecting.connect(target)
    await anyio.sleep(0.0)  # a connection that is refused or reset at once shows by now
    poller = select.poll()
    poller.register(connecting, select.POLLOUT)
    # The event loop's clock counts whole milliseconds from the start of its turn, so its timers may be early.
    while not poller.poll(0):
        if (time_left := deadline - time.monotonic()) <= 0.0:
            raise TimeoutError("the connection is not made in time")
        with anyio.move_on_after(time_left):
            await anyio.wait_writable(connecting)
    if error := connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(error, os.strerror(error))


async def _to_stream(connected: socket.socket) -> SocketStream:
    """Hands a connected socket to the event loop. Raises OSError if the other side has reset it."""
    with anyio.CancelScope(shield=True):
        return await streams.open_stream(connected)
