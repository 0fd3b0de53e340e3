"""Large answers that begin before their large request has come whole: they reach their client whole."""

from __future__ import annotations

import random

import anyio
import anyio.abc
import pytest
from harness import Client, LoopbackCluster, list_line, list_reply, reply, wait_until

from thornladder.node import streams
from thornladder.node.clients.connection import ClientConnection

pytestmark = pytest.mark.anyio
REQUEST_BODY = random.Random(3).randbytes(600_000)
ANSWER_BODY = random.Random(4).randbytes(3_000_000)  # more than all buffers on its way hold
FRAMINGS = pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])


class EarlyBackend:
    """Answers each request as soon as its head has come, and goes on reading it."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []

    async def serve(self, *, task_status: anyio.abc.TaskStatus) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
        async with listener:
            await listener.serve(self._answer)

    async def _answer(self, stream: anyio.abc.SocketStream) -> None:
        async with stream, anyio.create_task_group() as tasks:
            self.heads.append(await stream.receive())
            tasks.start_soon(self._read, stream)
            await stream.send(reply(200, ANSWER_BODY))

    async def _read(self, stream: anyio.abc.SocketStream) -> None:
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass


async def client_of_early_backend(cluster: LoopbackCluster) -> Client:
    """A client of a node whose only backend is an `EarlyBackend`."""
    port = await cluster.tasks.start(EarlyBackend().serve)
    update = list_reply(2, list_line(0, port))
    cluster.discovery.answer = lambda message: update if "from=1" in message.target else None
    for stream in list(cluster.discovery.streams):
        await stream.aclose()
    await wait_until(lambda: any("from=2" in message.target for message in cluster.discovery.received))
    return await cluster.client()


def encode(data: bytes, chunked: bool) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if chunked else data


def head(chunked: bool) -> bytes:
    framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(REQUEST_BODY)
    return b"POST /pay HTTP/1.1\r\nHost: a\r\nX-Call-Id: a\r\nX-Budget-Ms: 900\r\n" + framing + b"\r\n\r\n"


# The connection was closed amid the answer once 64 KiB of the request had come behind its beginning.
@FRAMINGS
async def test_a_request_that_goes_on_beside_its_answer_does_not_cut_it(chunked: bool) -> None:
    async with LoopbackCluster() as cluster:
        client = await client_of_early_backend(cluster)
        await client.stream.send(head(chunked) + encode(REQUEST_BODY[:100_000], chunked))
        await anyio.sleep(0.2)  # the answer is under way, held up by this client
        await client.stream.send(encode(REQUEST_BODY[100_000:], chunked) + (b"0\r\n\r\n" if chunked else b""))
        answer = await client.answer_to("a")
        assert (answer.target, answer.body) == ("200", ANSWER_BODY)
        assert (await client.ask("b", "odd")).target == "404"  # the connection goes on


# The connection was closed amid the answer 2.6 s after its client had paused in its request.
@FRAMINGS
async def test_a_client_that_pauses_in_its_request_gets_its_answer_whole(
    chunked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ClientConnection, "RECEIVE_TIMEOUT_SECONDS", 0.3)
    monkeypatch.setattr(ClientConnection, "MIN_BODY_BYTES_PER_SECOND", 1e6)
    async with LoopbackCluster() as cluster:
        client = await client_of_early_backend(cluster)
        await client.stream.send(head(chunked) + encode(REQUEST_BODY[:100_000], chunked))
        await anyio.sleep(1.0)
        answer = await client.answer_to("a")
        assert (answer.target, answer.body) == ("200", ANSWER_BODY)
        # Then the rest of the request has the usual time.
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(2.0):
            await client.stream.receive()


# Found by the soak under pressure: the rest of a refused large request was read in small parts, each a turn
# of the event loop, and the next request waited behind it; a body of many lines passed for a head.
@pytest.mark.parametrize("content", [b"x", b"\n"], ids=["plain", "lines"])
async def test_the_rest_of_a_refused_request_is_dropped_in_few_reads(
    content: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    reads, forward = [], streams.SingleReadProtocol.data_received

    def count(protocol: streams.SingleReadProtocol, data: bytes) -> None:
        reads.append(len(data))
        forward(protocol, data)

    monkeypatch.setattr(streams.SingleReadProtocol, "data_received", count)
    async with LoopbackCluster() as cluster:  # without backends: large requests are refused at their head
        client = await cluster.client()
        lines = "POST /pay HTTP/1.1\r\nHost: a\r\nX-Call-Id: a\r\nX-Budget-Ms: 900\r\nContent-Length: 1000000"
        await client.stream.send(lines.encode() + b"\r\n\r\n" + content * 1_000_000)
        assert (await client.answer_to("a")).target == "503"
        assert (await client.ask("b", "look", 900)).target == "503"
    assert len(reads) < 60
