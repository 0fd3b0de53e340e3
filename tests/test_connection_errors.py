"""Unexpected errors on a client's connection: a request that the node has taken is answered all the same."""

from __future__ import annotations

import errno
import socket
from typing import Any

import pytest
from harness import LoopbackCluster, ReceivedMessage, reply, wait_until
from test_shutdown import request_bytes

from thornladder.node.clients.connection import ClientConnection
from thornladder.node.clients.front import Front
from thornladder.rig.soak.client import RawConnection

pytestmark = pytest.mark.anyio


def hang_on_pay(message: ReceivedMessage) -> bytes | None:
    return None if message.target == "/pay" else reply(200)


def fail_once(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, error: Exception) -> None:
    """Makes the next call of a method raise an error."""
    original = getattr(owner, name)

    def call(*args: Any, **kwargs: Any) -> Any:
        monkeypatch.setattr(owner, name, original)
        raise error

    monkeypatch.setattr(owner, name, call)


# Found by reading: an error in a sweep ended the connection that it concerned, with its request unanswered.
async def test_an_error_in_a_sweep_leaves_no_request_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    async with LoopbackCluster(hang_on_pay) as cluster:
        client = await cluster.client()
        await client.send("a", "pay", 900, b"x")
        await wait_until(lambda: cluster.backends[0].received)
        fail_once(monkeypatch, ClientConnection, "enforce_timeouts", AttributeError("unexpected"))
        answer = await client.answer()
        assert (answer.target, answer.headers["connection"]) == ("502", "close")


# Found by reading: an error while a request was handled ended its connection without an answer.
@pytest.mark.parametrize("step", ["_process_events", "_handle_message"])
async def test_an_error_while_a_request_is_handled_leaves_it_not_unanswered(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with LoopbackCluster(lambda _: reply(200)) as cluster:
        client = await cluster.client()
        assert (await client.ask("a0", "look")).target == "200"
        fail_once(monkeypatch, ClientConnection, step, AttributeError("unexpected"))
        assert (await client.ask("a1", "pay", 900, b"x")).target == "502"
        assert [message.headers["x-call-id"] for message in cluster.backends[0].received] == ["a0"]


def connect_and_send(port: int) -> RawConnection:
    """Connects and sends a request in one step: the node finds it when it accepts the connection."""
    connection = socket.create_connection(("127.0.0.1", port))
    connection.sendall(request_bytes("a", "look", 0.9))
    connection.setblocking(False)
    return RawConnection(connection)


# Found by reading: a request that had been read was dropped where its connection could not be set up.
@pytest.mark.parametrize(
    "error", [OSError(errno.ENOBUFS, "No buffer space available"), ValueError("bad"), AttributeError("x")]
)
async def test_a_request_on_a_connection_that_cannot_be_set_up_is_refused(
    error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with LoopbackCluster(lambda _: reply(200)) as cluster:
        with monkeypatch.context() as patch:
            # In the accepting module alone: the node's own connections are opened by the same function.
            patch.setattr("thornladder.node.clients.front.open_stream", raising(error))
            client = connect_and_send(cluster.port)
            await client.receive()
        assert client.buffer.startswith(b"HTTP/1.1 503")
        client.close()
        assert not cluster.backends[0].received


def raising(error: Exception) -> Any:
    async def open_stream(_: Any) -> Any:
        raise error

    return open_stream


# Found by reading: a new connection was closed, unread or with its request, where a read failed for a moment.
@pytest.mark.parametrize("failing_call", [1, 2])
async def test_a_lack_of_memory_while_a_new_connection_is_read_loses_no_request(
    failing_call: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = []

    class FailingSocket:
        """A socket of which one call of `recv` fails for want of memory."""

        def __init__(self, inner: socket.socket) -> None:
            self.inner, self.setblocking = inner, inner.setblocking

        def recv(self, *args: int) -> bytes:
            calls.append(args)
            if len(calls) == failing_call:
                raise OSError(errno.ENOMEM, "Cannot allocate memory")
            return self.inner.recv(*args)

    read_initial = Front._read_initial
    monkeypatch.setattr(
        Front, "_read_initial", lambda front, client: read_initial(front, FailingSocket(client))
    )
    async with LoopbackCluster(lambda _: reply(200)) as cluster:
        client = connect_and_send(cluster.port)
        await client.receive()
        assert client.buffer.startswith(b"HTTP/1.1 200")
        client.close()
