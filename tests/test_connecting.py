"""Connections that a node opens, to backends and to the list service, and the limit on their time."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import anyio
import anyio.abc
import pytest

from thornladder.node import http1
from thornladder.node.http1 import Cause, Failure, Stage, UpstreamConnection

pytestmark = pytest.mark.anyio
TIMEOUT_SECONDS = 0.12
NO_CONNECTION = Failure(Stage.CONNECTING, Cause.NO_CONNECTION)


# A node that got no CPU while it connected took sound backends for unreachable and refused the request: its
# timer was due before it had looked at the connection, which was there.
async def test_a_connection_made_while_the_process_got_no_cpu_is_used() -> None:
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        asyncio.get_running_loop().call_soon(time.sleep, 2.0 * TIMEOUT_SECONDS)
        connection = await http1.connect(address, TIMEOUT_SECONDS)
        assert isinstance(connection, UpstreamConnection)
        await connection.close()


async def test_a_connection_that_is_not_made_times_out_and_leaves_no_descriptor() -> None:
    with _full_listener() as address:
        next_descriptor = _next_descriptor()
        started_at = time.monotonic()
        assert await http1.connect(address, TIMEOUT_SECONDS) == NO_CONNECTION
        assert time.monotonic() - started_at >= TIMEOUT_SECONDS
        assert _next_descriptor() == next_descriptor


# The event loop's clock stands still within a turn and counts whole milliseconds: a connect that began late
# in a turn was given up before its time.
@pytest.mark.parametrize("busy_seconds", [0.0, 0.0004, 0.0007, 0.0009, 0.02])
async def test_a_connect_has_its_whole_time_whatever_its_turn_did_before(busy_seconds: float) -> None:
    with _full_listener() as address:
        for _ in range(5):
            await anyio.sleep(0.002)
            busy_until = time.monotonic() + busy_seconds
            while time.monotonic() < busy_until:
                pass
            started_at = time.monotonic()
            assert await http1.connect(address, 0.02) == NO_CONNECTION
            assert time.monotonic() - started_at >= 0.02


async def test_a_cancelled_connect_leaves_no_descriptor() -> None:
    with _full_listener() as address:
        next_descriptor = _next_descriptor()
        with anyio.move_on_after(0.05) as scope:
            await http1.connect(address, 10.0)
        assert scope.cancelled_caught and _next_descriptor() == next_descriptor


async def test_an_address_that_refuses_is_no_connection() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
    assert await http1.connect(address, TIMEOUT_SECONDS) == NO_CONNECTION


async def test_a_connection_that_is_reset_before_it_is_seen_is_no_connection() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:

        def accept_and_reset() -> None:
            accepted, _ = server.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()

        asyncio.get_running_loop().call_soon(accept_and_reset)
        assert await http1.connect(server.getsockname(), TIMEOUT_SECONDS) == NO_CONNECTION


async def test_a_host_by_name_is_looked_up() -> None:
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        connection = await http1.connect(("localhost", port), 5.0)
        assert isinstance(connection, UpstreamConnection)
        await connection.close()


@contextmanager
def _full_listener() -> Iterator[tuple[str, int]]:
    """The address of a listener whose queue is full: connections to it are never made."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server, ExitStack() as queued:
        for _ in range(4):
            client_socket = queued.enter_context(socket.socket())
            client_socket.setblocking(False)
            client_socket.connect_ex(server.getsockname())
        yield server.getsockname()


def _next_descriptor() -> int:
    """The lowest free descriptor, which a leak would have taken."""
    with socket.socket() as probe:
        return probe.fileno()
