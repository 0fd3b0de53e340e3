"""Races between data, closes and resets, forced by a scripted backend rather than by sleeps."""

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


def complete(message: ReceivedMessage) -> bytes:
    return reply(200, f"{message.headers.get('x-call-id')} done".encode())


class ScriptedBackend(FakeServer):
    """A backend to whose open connections the test writes, and which it closes, after each response."""

    def __init__(self, answer: Callable[[ReceivedMessage], bytes | None] = complete) -> None:
        super().__init__(answer)

    async def _for_each_stream(self, action: Callable[[Any], Awaitable[None]]) -> None:
        for stream in self.streams:
            # The node may have closed it already.
            with suppress(OSError, RuntimeError, AttributeError, ValueError, anyio.BrokenResourceError,
                          anyio.ClosedResourceError):  # fmt: skip
                await action(stream)

    async def write(self, data: bytes) -> None:
        await self._for_each_stream(lambda stream: stream.send(data))

    async def close(self) -> None:
        await self._for_each_stream(lambda stream: stream.aclose())

    async def half_close(self) -> None:
        await self._for_each_stream(lambda stream: stream.send_eof())

    async def reset(self) -> None:
        async def reset(stream: Any) -> None:
            raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await stream.aclose()

        await self._for_each_stream(reset)


OTHER_RESPONSE = reply(200, b"another's")
DISTURBANCES: dict[str, Callable[[ScriptedBackend], Awaitable[None]]] = {
    "a second response": lambda backend: backend.write(OTHER_RESPONSE),
    "half a status line": lambda backend: backend.write(b"HTTP/1.1 2"),
    "a close": lambda backend: backend.close(),
    "a half-close": lambda backend: backend.half_close(),
    "a reset": lambda backend: backend.reset(),
    "a response and a close": lambda backend: _write_and_close(backend),
}


async def _write_and_close(backend: ScriptedBackend) -> None:
    await backend.write(OTHER_RESPONSE)
    await backend.close()


class ScriptedCluster(LoopbackCluster):
    """A cluster with a scripted backend as its only one."""

    def __init__(self, backend: ScriptedBackend, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.backends = [backend]


@pytest.mark.parametrize("disturbance", DISTURBANCES)
@pytest.mark.parametrize("path", ["look", "pay"])
async def test_unsolicited_data_on_an_idle_connection_does_not_answer_the_next_request(
    disturbance: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The data arrives before the connection is reused.
    monkeypatch.setattr(Pool, "REUSE_DELAY_SECONDS", 0.0)
    backend = ScriptedBackend()
    async with ScriptedCluster(backend) as cluster:
        client = await cluster.client()
        assert (await client.ask("a0", path, body=b"x")).body == b"a0 done"
        await DISTURBANCES[disturbance](backend)
        idle: list[Any] = []
        await wait_until(lambda: idle or _collect_idle(cluster, idle))
        await wait_until(lambda: not idle[0].stream or streams.has_unread_data(idle[0].stream))
        answer = await client.ask("a1", path, body=b"x")
        assert (answer.target, answer.body) == ("200", b"a1 done")
        assert backend.opened == 2


def _collect_idle(cluster: LoopbackCluster, idle: list[Any]) -> bool:
    idle += [connection for pool in POOLS for connections in pool.idle.values() for connection in connections]
    return bool(idle)


POOLS: list[Pool] = []


@pytest.fixture(autouse=True)
def record_pools(monkeypatch: pytest.MonkeyPatch) -> None:
    """Records the connection pools created during a test."""
    POOLS.clear()
    original_init = Pool.__init__

    def record_init(pool: Pool, *args: Any, **kwargs: Any) -> None:
        original_init(pool, *args, **kwargs)
        POOLS.append(pool)

    monkeypatch.setattr(Pool, "__init__", record_init)


async def test_a_late_second_response_does_not_answer_the_next_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A second response came milliseconds after the first, when the connection had already been reused, and
    # went to another client. The long reuse delay makes it arrive within the delay on any machine.
    monkeypatch.setattr(Pool, "REUSE_DELAY_SECONDS", 0.5)
    backend = ScriptedBackend()
    async with ScriptedCluster(backend) as cluster:
        first, second = await cluster.client(), await cluster.client()
        assert (await first.ask("a0", "look")).body == b"a0 done"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(second.send, "a1", "pay")  # once-only: not retried elsewhere meanwhile
            # Until the connection is being reused.
            await wait_until(lambda: POOLS and not any(POOLS[0].idle.values()))
            await backend.write(OTHER_RESPONSE)
        assert (await second.answer()).body == b"a1 done"
        assert backend.opened == 2


async def test_a_client_leaving_during_the_reuse_delay_frees_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Pool, "REUSE_DELAY_SECONDS", 0.3)
    async with LoopbackCluster(complete) as cluster:
        client = await cluster.client()
        assert (await client.ask("a0", "look")).target == "200"
        await client.send("a1", "look")
        await wait_until(lambda: not any(POOLS[0].idle.values()))
        await client.stream.aclose()
        await wait_until(lambda: POOLS[0].open_connections == 0)  # closed, and no longer counted
        assert (await cluster.ask("a2", "look")).body == b"a2 done"
        assert [message.headers["x-call-id"] for message in cluster.backends[0].received] == ["a0", "a2"]


async def test_a_sweep_during_the_reuse_delay_gives_no_connection_to_two_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The sweep replaces the list of idle connections; a waiting request went on with the old list.
    monkeypatch.setattr(Pool, "REUSE_DELAY_SECONDS", 0.4)
    async with LoopbackCluster(complete) as cluster:
        clients = [await cluster.client() for _ in range(3)]
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
        assert (
            POOLS[0].open_connections == sum(len(connections) for connections in POOLS[0].idle.values()) <= 6
        )


async def test_nagles_algorithm_is_off_on_both_sides(monkeypatch: pytest.MonkeyPatch) -> None:
    # Data delayed by Nagle's algorithm was sent with the close, and a reset overtook it.
    no_delay_values: dict[str, set[int]] = {"client": set(), "backend": set()}

    def record_no_delay(side: str, stream: Any) -> None:
        raw_socket = streams.raw_socket(stream)
        no_delay_values[side].add(raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    acquire, deliver = Pool.acquire, ClientConnection._deliver

    async def record_acquire(pool: Pool, *args: Any) -> UpstreamConnection | Failure:
        connection = await acquire(pool, *args)
        record_no_delay("backend", connection.stream)
        return connection

    def record_delivery(connection: ClientConnection, *args: Any) -> None:
        record_no_delay("client", connection.stream)
        deliver(connection, *args)

    monkeypatch.setattr(Pool, "acquire", record_acquire)
    monkeypatch.setattr(ClientConnection, "_deliver", record_delivery)
    async with LoopbackCluster(complete) as cluster:
        client = await cluster.client()
        for number in range(2):
            assert (await client.ask(f"a{number}", "look")).target == "200"
    assert no_delay_values == {"client": {1}, "backend": {1}}


@pytest.mark.parametrize("seed", range(6))
async def test_random_closes_and_resets_give_each_client_its_own_answer_or_an_error(seed: int) -> None:
    """Closes and resets between and during the requests of several clients, in a seeded order."""
    rng = random.Random(seed)
    backend = ScriptedBackend()
    async with ScriptedCluster(backend) as cluster:
        completed: list[str] = []

        async def ask(number: int) -> None:
            client = await cluster.client()
            for attempt in range(6):
                id = f"{number}-{attempt}"
                try:
                    answer = await client.ask(id, rng.choice(("look", "pay")), body=b"x")
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    client = await cluster.client()
                    continue
                assert answer.target in ("200", "502", "503"), answer
                if answer.target == "200":
                    assert answer.body == f"{id} done".encode()
                    completed.append(id)
                if answer.headers.get("connection") == "close":
                    client = await cluster.client()

        async def disturb() -> None:
            for _ in range(12):
                count = len(backend.received)
                with anyio.move_on_after(1.0):
                    await wait_until(lambda: len(backend.received) > count)  # noqa: B023
                # No unsolicited response during a request: a node cannot tell it from the real one.
                disturbance = rng.choice(["a close", "a reset"])
                await DISTURBANCES[disturbance](backend)

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(ask, number)
            tasks.start_soon(disturb)
        pay_ids = [message.headers["x-call-id"] for message in backend.received if message.target == "/pay"]
        assert len(pay_ids) == len(set(pay_ids)), "run twice"
        assert completed
