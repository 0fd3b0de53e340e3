"""A client that closes has gone: no attempt for it begins afterwards, wherever its end lies unread."""

from __future__ import annotations

import copy
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from harness import SETTINGS, FakeServer, LoopbackCluster, ReceivedMessage, reply, wait_until

from thornladder.node import streams
from thornladder.node.backends.pool import Pool
from thornladder.node.clients.connection import ClientConnection
from thornladder.node.http1 import Failure, UpstreamConnection
from thornladder.node.messages import MAX_BUFFERED_BYTES

pytestmark = pytest.mark.anyio
RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: close sends a reset


def done(_: ReceivedMessage) -> bytes:
    return reply(200)


def info(**limits: Any) -> dict:
    changed = copy.deepcopy(SETTINGS)
    changed["PolicyLimits"] |= limits
    return changed


class Gate:
    """Holds every new connection to a backend until it is opened, as one that comes up late."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.waiting, self.passed, self.open = 0, 0, anyio.Event()
        get = Pool.acquire

        async def late(pool: Pool, backend: str, address: tuple[str, int]) -> UpstreamConnection | Failure:
            line = await get(pool, backend, address)
            self.waiting += 1
            with anyio.CancelScope(shield=True):
                await self.open.wait()
            self.passed += 1
            return line

        monkeypatch.setattr(Pool, "acquire", late)


def client(port: int) -> socket.socket:
    """A bare socket: what it does is done before the event loop has another turn."""
    raw = socket.create_connection(("127.0.0.1", port))
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return raw


def asks(id: str, name: str = "look", body: bytes = b"", length: int | None = None) -> bytes:
    method = "POST" if body or length else "GET"
    head = f"{method} /{name} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 900\r\n"
    return f"{head}Content-Length: {len(body) if length is None else length}\r\n\r\n".encode() + body


def unsent(raw: socket.socket) -> int:
    """Bytes that the other side's kernel has not taken yet."""
    return struct.unpack("i", fcntl.ioctl(raw, termios.TIOCOUTQ, bytes(4)))[0]


def close(raw: socket.socket) -> None:
    raw.close()


def reset(raw: socket.socket) -> None:
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    raw.close()


def half_close(raw: socket.socket) -> None:
    raw.shutdown(socket.SHUT_WR)


ENDS = pytest.mark.parametrize("end", [close, reset, half_close])


async def settled(bank: LoopbackCluster, peer: FakeServer) -> None:
    """Returns when the node has served another client since: what was to come of the first has come."""
    before = len(peer.received)
    assert (await bank.ask("later", "look")).target == "200"
    assert len(peer.received) == before + 1


@ENDS
@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("name", ["look", "pay"])
async def test_no_attempt_begins_on_a_connection_that_came_up_after_the_client_had_gone(
    end: Callable[[socket.socket], None], cancelling: bool, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Where nothing may be cancelled the attempt went out all the same, up to 1.5 s after its client had gone.
    gate = Gate(monkeypatch)
    async with LoopbackCluster(done, info=info(Cancelling=cancelling)) as bank:
        raw = client(bank.port)
        raw.sendall(asks("aa", name))
        await wait_until(lambda: gate.waiting == 1)
        end(raw)
        gate.open.set()
        await wait_until(lambda: gate.passed == 1)
        await settled(bank, bank.backends[0])
        assert [got.headers["x-call-id"] for got in bank.backends[0].received] == ["later"]
        raw.close()


@ENDS
async def test_a_request_and_its_clients_end_that_come_together_begin_nothing(
    end: Callable[[socket.socket], None],
) -> None:
    # A node that is late reads the request first: its reading task hears of the end a turn after the attempt.
    async with LoopbackCluster(done) as bank:
        raw = client(bank.port)
        raw.sendall(asks("a0"))
        await wait_until(lambda: bank.backends[0].received)
        assert (await anyio.to_thread.run_sync(raw.recv, 65536)).startswith(b"HTTP/1.1 200")
        raw.sendall(asks("a1"))
        end(raw)
        await settled(bank, bank.backends[0])
        assert "a1" not in [got.headers["x-call-id"] for got in bank.backends[0].received]
        raw.close()


@ENDS
async def test_an_end_behind_a_large_body_that_is_held_up_is_seen(
    end: Callable[[socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Back-pressure keeps the body's rest, and the end behind it, in the kernel, where no reading task looks.
    gate = Gate(monkeypatch)
    async with LoopbackCluster(done) as bank:
        raw = client(bank.port)
        raw.sendall(asks("aa", "pay", length=6 * MAX_BUFFERED_BYTES) + b"x" * (MAX_BUFFERED_BYTES + 1))
        await wait_until(lambda: gate.waiting == 1)
        raw.sendall(b"x" * 20_000)
        raw.sendall(b"x" * 20_000)
        # What the client's own kernel still holds keeps its end back as well: nobody can see that one.
        await wait_until(lambda: unsent(raw) == 0)
        end(raw)
        gate.open.set()
        await wait_until(lambda: gate.passed == 1)
        await settled(bank, bank.backends[0])
        assert [got.headers["x-call-id"] for got in bank.backends[0].received] == ["later"]
        assert bank.backends[0].head_ids == ["later"]
        raw.close()


@ENDS
@pytest.mark.parametrize("cancelling", [True, False])
async def test_nothing_is_sent_again_for_a_client_that_left_between_two_attempts(
    end: Callable[[socket.socket], None], cancelling: bool
) -> None:
    ended: list[str] = []

    def full(got: ReceivedMessage) -> bytes:
        if got.headers["x-call-id"] == "aa" and not ended:
            end(raw)
            ended.append(got.headers["x-call-id"])
            return reply(503, X_Rejected="1")
        return reply(200)

    async with LoopbackCluster(full, full, full, info=info(Cancelling=cancelling)) as bank:
        raw = client(bank.port)
        raw.sendall(asks("aa"))
        await wait_until(lambda: ended)
        for number in range(6):
            assert (await bank.ask(f"b{number}", "look")).target == "200"
        ids = [got.headers["x-call-id"] for peer in bank.backends for got in peer.received]
        assert ids.count("aa") == 1
        raw.close()


@pytest.mark.parametrize("broken", ["dup", "poll"])
async def test_a_look_that_fails_takes_nobody_for_gone(broken: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # A client that was there was left without an answer, since looking at its socket failed.
    def fails(*_: object) -> None:
        raise OSError(24, "Too many open files")

    async with LoopbackCluster(done) as bank:
        found: list[ClientConnection] = []
        left = ClientConnection._client_left

        def looked(connection: ClientConnection) -> bool:
            found.append(connection)
            with monkeypatch.context() as patch:
                if broken == "dup":
                    patch.setattr(streams.os, "dup", fails)
                else:
                    patch.setattr(streams, "raw_socket", fails)
                return left(connection)

        monkeypatch.setattr(ClientConnection, "_client_left", looked)
        assert (await bank.ask("aa", "look")).target == "200" and found
