"""Bytes, closes and signals that cross at one instant, forced by a scripted peer and never by a sleep."""

from __future__ import annotations

import random
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio
import pytest
from harness import FakeServer, LoopbackCluster, ReceivedMessage, reply, wait_until

from thornladder.node import streams
from thornladder.node.backends.pool import Pool
from thornladder.node.clients.connection import ClientConnection
from thornladder.node.http1 import Failure, UpstreamConnection

pytestmark = pytest.mark.anyio
RESET = struct.pack("ii", 1, 0)


def done(got: ReceivedMessage) -> bytes:
    return reply(200, f"{got.headers.get('x-call-id')} done".encode())


class Script(FakeServer):
    """A backend whose connections the test writes to and ends itself, after the answer to each request."""

    def __init__(self, answer: Callable[[ReceivedMessage], bytes | None] = done) -> None:
        super().__init__(answer)

    async def _each(self, act: Callable[[Any], Awaitable[None]]) -> None:
        for stream in self.streams:
            # The node may have ended it before.
            with suppress(OSError, RuntimeError, AttributeError, ValueError, anyio.BrokenResourceError,
                          anyio.ClosedResourceError):  # fmt: skip
                await act(stream)

    async def write(self, data: bytes) -> None:
        await self._each(lambda stream: stream.send(data))

    async def close(self) -> None:
        await self._each(lambda stream: stream.aclose())

    async def half_close(self) -> None:
        await self._each(lambda stream: stream.send_eof())

    async def reset(self) -> None:
        async def reset(stream: Any) -> None:
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await stream.aclose()

        await self._each(reset)


ANSWER = reply(200, b"another's")
BETWEEN: dict[str, Callable[[Script], Awaitable[None]]] = {
    "a second answer": lambda peer: peer.write(ANSWER),
    "half a line": lambda peer: peer.write(b"HTTP/1.1 2"),
    "a close": lambda peer: peer.close(),
    "a half close": lambda peer: peer.half_close(),
    "a reset": lambda peer: peer.reset(),
    "an answer and a close": lambda peer: _both(peer),
}


async def _both(peer: Script) -> None:
    await peer.write(ANSWER)
    await peer.close()


class Scripted(LoopbackCluster):
    def __init__(self, peer: Script, **given: Any) -> None:
        super().__init__(**given)
        self.backends = [peer]


@pytest.mark.parametrize("name", BETWEEN)
@pytest.mark.parametrize("path", ["look", "pay"])
async def test_what_comes_on_a_resting_connection_is_no_answer_to_the_next_request(
    name: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It came before the connection was taken up again.
    monkeypatch.setattr(Pool, "REUSE_DELAY_SECONDS", 0.0)
    peer = Script()
    async with Scripted(peer) as bank:
        client = await bank.client()
        assert (await client.ask("a0", path, body=b"x")).body == b"a0 done"
        await BETWEEN[name](peer)
        line: list[Any] = []
        await wait_until(lambda: line or _idle(bank, line))
        await wait_until(lambda: not line[0].stream or streams.has_unread_data(line[0].stream))
        answer = await client.ask("a1", path, body=b"x")
        assert (answer.target, answer.body) == ("200", b"a1 done")
        assert peer.opened == 2


def _idle(bank: LoopbackCluster, found: list[Any]) -> bool:
    found += [line for pool in POOLS for lines in pool.idle.values() for line in lines]
    return bool(found)


POOLS: list[Pool] = []


@pytest.fixture(autouse=True)
def pools(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pools that nodes make in a test."""
    POOLS.clear()
    make = Pool.__init__

    def made(pool: Pool, *given: Any, **named: Any) -> None:
        make(pool, *given, **named)
        POOLS.append(pool)

    monkeypatch.setattr(Pool, "__init__", made)


async def test_a_second_answer_that_comes_late_is_not_the_next_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It came some milliseconds after the first, when the connection had been taken up again: another client's
    # answer went out. The rest is made long here, so that on any machine the second answer comes within it.
    monkeypatch.setattr(Pool, "REUSE_DELAY_SECONDS", 0.5)
    peer = Script()
    async with Scripted(peer) as bank:
        first, second = await bank.client(), await bank.client()
        assert (await first.ask("a0", "look")).body == b"a0 done"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(second.send, "a1", "pay")  # not moved elsewhere meanwhile
            await wait_until(lambda: POOLS and not any(POOLS[0].idle.values()))  # it is taken up
            await peer.write(ANSWER)
        assert (await second.answer()).body == b"a1 done"
        assert peer.opened == 2


async def test_a_client_that_leaves_while_a_connection_rests_takes_it_from_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Pool, "REUSE_DELAY_SECONDS", 0.3)
    async with LoopbackCluster(done) as bank:
        client = await bank.client()
        assert (await client.ask("a0", "look")).target == "200"
        await client.send("a1", "look")
        await wait_until(lambda: not any(POOLS[0].idle.values()))
        await client.stream.aclose()
        await wait_until(lambda: POOLS[0].open_connections == 0)  # closed, and its place is free
        assert (await bank.ask("a2", "look")).body == b"a2 done"
        assert [got.headers["x-call-id"] for got in bank.backends[0].received] == ["a0", "a2"]


async def test_a_sweep_while_a_connection_rests_gives_no_connection_to_two(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The sweep makes the list of idle ones anew: who waited went on with the old one.
    monkeypatch.setattr(Pool, "REUSE_DELAY_SECONDS", 0.4)
    async with LoopbackCluster(done) as bank:
        clients = [await bank.client() for _ in range(3)]
        async with anyio.create_task_group() as tasks:
            for number, client in enumerate(clients):
                tasks.start_soon(client.ask, f"a{number}", "pay", 900, b"x")
        async with anyio.create_task_group() as tasks:
            for number, client in enumerate(clients):
                tasks.start_soon(client.send, f"b{number}", "pay", 900, b"x")
            await wait_until(lambda: not any(POOLS[0].idle.values()))
            await POOLS[0].close_expired()
        answers = [await client.answer() for client in clients]
        assert [answer.body for answer in answers] == [f"b{number} done".encode() for number in range(3)]
        assert POOLS[0].open_connections == sum(len(lines) for lines in POOLS[0].idle.values()) <= 6


async def test_small_writes_wait_for_nothing_on_either_side(monkeypatch: pytest.MonkeyPatch) -> None:
    # What the system held back went with a close, and a reset overtook it.
    seen: dict[str, set[int]] = {"client": set(), "backend": set()}

    def noted(side: str, stream: Any) -> None:
        raw = streams.raw_socket(stream)
        seen[side].add(raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    get, answer = Pool.acquire, ClientConnection._deliver

    async def got(pool: Pool, *given: Any) -> UpstreamConnection | Failure:
        line = await get(pool, *given)
        noted("backend", line.stream)
        return line

    def delivered(connection: ClientConnection, *given: Any) -> None:
        noted("client", connection.stream)
        answer(connection, *given)

    monkeypatch.setattr(Pool, "acquire", got)
    monkeypatch.setattr(ClientConnection, "_deliver", delivered)
    async with LoopbackCluster(done) as bank:
        client = await bank.client()
        for number in range(2):
            assert (await client.ask(f"a{number}", "look")).target == "200"
    assert seen == {"client": {1}, "backend": {1}}


@pytest.mark.parametrize("seed", range(6))
async def test_seeded_crossings_give_each_client_its_own_answer_or_a_sound_no(seed: int) -> None:
    """Second answers, half lines, closes and resets between and amid requests of several clients."""
    rng = random.Random(seed)
    peer = Script()
    async with Scripted(peer) as bank:
        ran: list[str] = []

        async def ask(number: int) -> None:
            client = await bank.client()
            for turn in range(6):
                id = f"{number}-{turn}"
                try:
                    answer = await client.ask(id, rng.choice(("look", "pay")), body=b"x")
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    client = await bank.client()
                    continue
                assert answer.target in ("200", "502", "503"), answer
                if answer.target == "200":
                    assert answer.body == f"{id} done".encode()
                    ran.append(id)
                if answer.headers.get("connection") == "close":
                    client = await bank.client()

        async def disturb() -> None:
            for _ in range(12):
                count = len(peer.received)
                with anyio.move_on_after(1.0):
                    await wait_until(lambda: len(peer.received) > count)  # noqa: B023
                # Never an answer amid a request that is out: no node could tell that from its own.
                name = rng.choice(["a close", "a reset"])
                await BETWEEN[name](peer)

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(ask, number)
            tasks.start_soon(disturb)
        once = [got.headers["x-call-id"] for got in peer.received if got.target == "/pay"]
        assert len(once) == len(set(once)), "run twice"
        assert ran
