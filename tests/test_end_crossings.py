"""SIGTERM in the middle of whatever a node has in hand: each request gets its one answer, whole."""

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
LARGE = 3 * MAX_BUFFERED_BYTES


class Gated(FakeServer):
    """A backend that answers when its gate is open."""

    def __init__(self, answers: Callable[[ReceivedMessage], bytes]) -> None:
        super().__init__(answers)
        self.gate, self.asked = anyio.Event(), 0

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        self.asked += 1
        await self.gate.wait()
        await super()._serve_connection(stream)


async def leaving(process: Any, port: int) -> None:
    """SIGTERM, and the node has taken it in."""
    process.send_signal(signal.SIGTERM)
    with anyio.fail_after(5.0):
        while (await (await connect(port)).raw(READY_REQUEST)).target == "200":
            await anyio.sleep(0.005)


def head(id: str, path: str, length: int) -> bytes:
    return (
        f"POST /{path} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 900\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def _half_a_head(end: Callable[[], Awaitable[None]], client: Client, backend: Gated) -> ReceivedMessage:
    data = head("a", "pay", 1) + b"x"
    await client.stream.send(data[:40])
    await end()
    await client.stream.send(data[40:])
    backend.gate.set()
    return await client.answer_to("a")


async def _half_a_body(end: Callable[[], Awaitable[None]], client: Client, backend: Gated) -> ReceivedMessage:
    await client.stream.send(head("a", "pay", 10) + b"12345")
    await end()
    await client.stream.send(b"67890")
    backend.gate.set()
    return await client.answer_to("a")


async def _begun(end: Callable[[], Awaitable[None]], client: Client, backend: Gated) -> ReceivedMessage:
    await client.stream.send(head("a", "pay", 1) + b"x")
    await wait_until(lambda: backend.asked)
    await end()
    backend.gate.set()
    return await client.answer_to("a")


async def _large_body(end: Callable[[], Awaitable[None]], client: Client, backend: Gated) -> ReceivedMessage:
    await client.stream.send(head("a", "pay", LARGE) + b"x" * (MAX_BUFFERED_BYTES + 1))
    await wait_until(lambda: backend.asked)
    await end()
    backend.gate.set()
    await client.stream.send(b"x" * (LARGE - MAX_BUFFERED_BYTES - 1))
    return await client.answer_to("a")


async def _rests(end: Callable[[], Awaitable[None]], client: Client, backend: Gated) -> ReceivedMessage:
    """A kept connection on which the next request comes as the node is about to close it."""
    backend.gate.set()
    assert (await client.ask("before", "pay", body=b"x")).target == "200"
    await end()
    return await client.ask("a", "pay", body=b"x")


MOMENTS = {"half a head": _half_a_head, "half a body": _half_a_body, "begun": _begun,
           "a large body": _large_body, "a resting connection": _rests}  # fmt: skip


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("more", [(), (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)], ids=["once", "more"])
async def test_what_is_in_hand_at_the_end_is_answered_whole(
    moment: str, more: tuple[int, ...], tmp_path: Path
) -> None:
    backend = Gated(lambda got: reply(200, f"{got.headers['x-call-id']} {len(got.body)}".encode()))
    async with running_node(tmp_path, backend) as (process, port):

        async def end() -> None:
            await leaving(process, port)
            for number in more:
                process.send_signal(number)

        client = await connect(port)
        answer = await MOMENTS[moment](end, client, backend)
        size = {"half a body": 10, "a large body": LARGE}.get(moment, 1)
        assert (answer.target, answer.body) == ("200", f"a {size}".encode())
        assert answer.headers["connection"] == "close"
        with pytest.raises(anyio.EndOfStream):
            await client.stream.receive()  # a plain end: no reset overtook the answer
        with anyio.fail_after(10.0):
            assert await process.wait() == 0
        assert [got.headers["x-call-id"] for got in backend.received].count("a") == 1


async def test_a_retry_at_the_end_goes_on_to_its_answer(tmp_path: Path) -> None:
    turned: list[str] = []

    def answer(got: ReceivedMessage) -> bytes:
        turned.append(got.headers["x-call-id"])
        return reply(503, X_Rejected="1") if len(turned) == 1 else reply(200, b"second")

    backends = [Gated(answer), Gated(answer)]
    async with running_node(tmp_path, *backends) as (process, port):
        client = await connect(port)
        await client.send("a", "pay", 900, b"x")
        await wait_until(lambda: any(backend.asked for backend in backends))
        await leaving(process, port)
        for backend in backends:
            backend.gate.set()
        assert (await client.answer()).body == b"second" and turned == ["a", "a"]
        assert await process.wait() == 0


async def test_a_large_answer_that_goes_out_at_the_end_comes_whole(tmp_path: Path) -> None:
    backend = FakeServer(lambda got: reply(200, b"y" * LARGE))
    async with running_node(tmp_path, backend) as (process, port):
        client = await connect(port)
        await client.send("a", "look", 900)
        # Nothing is read yet: what the kernels do not hold waits in the node.
        await wait_until(lambda: backend.received)
        await leaving(process, port)
        answer = await client.answer()
        assert (answer.target, len(answer.body)) == ("200", LARGE)
        assert await process.wait() == 0
