"""SIGTERM at any point of a request: the request still gets one complete answer."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import pytest
from harness import READY_REQUEST, Client, FakeServer, ReceivedMessage, reply, wait_until
from test_process import connect, running_node

from thornladder.node.messages import MAX_BUFFERED_BYTES

pytestmark = pytest.mark.anyio
LARGE_BYTES = 3 * MAX_BUFFERED_BYTES


class GatedBackend(FakeServer):
    """A backend that reads and answers nothing until its gate is set."""

    def __init__(self, answer: Callable[[ReceivedMessage], bytes]) -> None:
        super().__init__(answer)
        self.gate, self.connections = anyio.Event(), 0

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        await self.gate.wait()
        await super()._serve_connection(stream)


async def start_shutdown(process: Any, port: int) -> None:
    """Sends SIGTERM and waits until the node reports that it is not ready."""
    process.send_signal(signal.SIGTERM)
    with anyio.fail_after(5.0):
        while (await (await connect(port)).raw(READY_REQUEST)).target == "200":
            await anyio.sleep(0.005)


def head(id: str, path: str, length: int) -> bytes:
    return (
        f"POST /{path} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 900\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def _during_head(
    shut_down: Callable[[], Awaitable[None]], client: Client, backend: GatedBackend
) -> ReceivedMessage:
    data = head("a", "pay", 1) + b"x"
    await client.stream.send(data[:40])
    await shut_down()
    await client.stream.send(data[40:])
    backend.gate.set()
    return await client.answer_to("a")


async def _during_body(
    shut_down: Callable[[], Awaitable[None]], client: Client, backend: GatedBackend
) -> ReceivedMessage:
    await client.stream.send(head("a", "pay", 10) + b"12345")
    await shut_down()
    await client.stream.send(b"67890")
    backend.gate.set()
    return await client.answer_to("a")


async def _after_push(
    shut_down: Callable[[], Awaitable[None]], client: Client, backend: GatedBackend
) -> ReceivedMessage:
    await client.stream.send(head("a", "pay", 1) + b"x")
    await wait_until(lambda: backend.connections)
    await shut_down()
    backend.gate.set()
    return await client.answer_to("a")


async def _during_large_body(
    shut_down: Callable[[], Awaitable[None]], client: Client, backend: GatedBackend
) -> ReceivedMessage:
    await client.stream.send(head("a", "pay", LARGE_BYTES) + b"x" * (MAX_BUFFERED_BYTES + 1))
    await wait_until(lambda: backend.connections)
    await shut_down()
    backend.gate.set()
    await client.stream.send(b"x" * (LARGE_BYTES - MAX_BUFFERED_BYTES - 1))
    return await client.answer_to("a")


async def _on_idle_connection(
    shut_down: Callable[[], Awaitable[None]], client: Client, backend: GatedBackend
) -> ReceivedMessage:
    """The next request on a kept connection arrives as the node is about to close it."""
    backend.gate.set()
    assert (await client.ask("before", "pay", body=b"x")).target == "200"
    await shut_down()
    return await client.ask("a", "pay", body=b"x")


SHUTDOWN_MOMENTS = {
    "during the head": _during_head,
    "during the body": _during_body,
    "after the push": _after_push,
    "during a large body": _during_large_body,
    "on an idle connection": _on_idle_connection,
}


@pytest.mark.parametrize("moment", SHUTDOWN_MOMENTS)
@pytest.mark.parametrize(
    "further_signals", [(), (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)], ids=["once", "more"]
)
async def test_a_request_in_flight_at_sigterm_is_answered(
    moment: str, further_signals: tuple[int, ...], tmp_path: Path
) -> None:
    backend = GatedBackend(
        lambda message: reply(200, f"{message.headers['x-call-id']} {len(message.body)}".encode())
    )
    async with running_node(tmp_path, backend) as (process, port):

        async def shut_down() -> None:
            await start_shutdown(process, port)
            for signal_number in further_signals:
                process.send_signal(signal_number)

        client = await connect(port)
        answer = await SHUTDOWN_MOMENTS[moment](shut_down, client, backend)
        size = {"during the body": 10, "during a large body": LARGE_BYTES}.get(moment, 1)
        assert (answer.target, answer.body) == ("200", f"a {size}".encode())
        assert answer.headers["connection"] == "close"
        with pytest.raises(anyio.EndOfStream):
            await client.stream.receive()  # an orderly close: no reset overtook the answer
        with anyio.fail_after(10.0):
            assert await process.wait() == 0
        assert [message.headers["x-call-id"] for message in backend.received].count("a") == 1


async def test_a_retry_at_sigterm_is_answered(tmp_path: Path) -> None:
    pushed: list[str] = []

    def answer(message: ReceivedMessage) -> bytes:
        pushed.append(message.headers["x-call-id"])
        return reply(503, X_Rejected="1") if len(pushed) == 1 else reply(200, b"second")

    backends = [GatedBackend(answer), GatedBackend(answer)]
    async with running_node(tmp_path, *backends) as (process, port):
        client = await connect(port)
        await client.send("a", "pay", 900, b"x")
        await wait_until(lambda: any(backend.connections for backend in backends))
        await start_shutdown(process, port)
        for backend in backends:
            backend.gate.set()
        assert (await client.answer()).body == b"second" and pushed == ["a", "a"]
        assert await process.wait() == 0


async def test_a_large_response_in_transit_at_sigterm_is_completed(tmp_path: Path) -> None:
    backend = FakeServer(lambda message: reply(200, b"y" * LARGE_BYTES))
    async with running_node(tmp_path, backend) as (process, port):
        client = await connect(port)
        await client.send("a", "look", 900)
        # The client reads nothing yet: what does not fit the kernels' buffers waits in the node.
        await wait_until(lambda: backend.received)
        await start_shutdown(process, port)
        answer = await client.answer()
        assert (answer.target, len(answer.body)) == ("200", LARGE_BYTES)
        assert await process.wait() == 0
