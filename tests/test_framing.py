"""Answers of backends whose framing is ambiguous: what reaches a client as whole is what the backend made."""

from __future__ import annotations

import anyio
import h11
import pytest
from harness import FakeServer, LoopbackCluster, ReceivedMessage, reply, wait_until

pytestmark = pytest.mark.anyio
CHUNK_BYTES = 50_000
# Raised where a client sees that an answer is not whole.
INCOMPLETE_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, h11.RemoteProtocolError)


def chunked_answer(chunks: list[int], declared_length: int | None = None, last_chunk: bool = True) -> bytes:
    """An answer with chunks of these sizes; with `declared_length` it has a Content-Length as well."""
    length_line = b"" if declared_length is None else b"Content-Length: %d\r\n" % declared_length
    head = b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n" % length_line
    body = b"".join(b"%x\r\n%s\r\n" % (size, bytes(size)) for size in chunks)
    return head + body + (b"0\r\n\r\n" if last_chunk else b"")


@pytest.mark.parametrize("declared_length", [2 * CHUNK_BYTES, CHUNK_BYTES + 7, 4 * CHUNK_BYTES, 10], ids=str)
async def test_a_large_answer_whose_lengths_disagree_is_not_served_as_whole(declared_length: int) -> None:
    """Guards against a Content-Length beside chunks that lets a client take an answer cut off for whole."""
    answer = chunked_answer([CHUNK_BYTES] * 3, declared_length)
    async with LoopbackCluster(lambda _: answer) as cluster:
        client = await cluster.client()
        with pytest.raises(INCOMPLETE_ERRORS):
            await client.ask("a", "pay", body=b"x")
        await wait_until(lambda: cluster.backends[0].closed == 1)


@pytest.mark.parametrize("declared_length", [3, 30, 100_000], ids=str)
async def test_a_small_answer_whose_lengths_disagree_has_failed(declared_length: int) -> None:
    """Guards against a body being served although one of its two lengths says that it is another one."""
    async with LoopbackCluster(lambda _: chunked_answer([8, 8], declared_length)) as cluster:
        assert (await cluster.ask("a", "pay", body=b"x")).target == "502"
        await wait_until(lambda: cluster.backends[0].closed == 1)


@pytest.mark.parametrize("chunks", [[8, 8], [CHUNK_BYTES] * 3], ids=["small", "large"])
async def test_an_answer_whose_lengths_agree_is_served_whole(chunks: list[int]) -> None:
    """Guards against a failure of answers that have both framings and are sound."""
    async with LoopbackCluster(lambda _: chunked_answer(chunks, sum(chunks))) as cluster:
        client = await cluster.client()
        for number in range(2):
            answer = await client.ask(f"a{number}", "pay", body=b"x")
            assert (answer.target, answer.body) == ("200", bytes(sum(chunks)))


async def test_a_rejection_whose_lengths_disagree_proves_nothing() -> None:
    """Guards against a refusal, which a client may repeat, by an answer that cannot be trusted."""

    def reject(_: ReceivedMessage) -> bytes:
        head = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
        return head + b"4\r\nfull\r\n0\r\n\r\n"

    async with LoopbackCluster(reject) as cluster:
        assert (await cluster.ask("a", "pay", body=b"x")).target == "502"


@pytest.mark.parametrize("whole", [False, True], ids=["cut", "whole"])
async def test_a_cut_answer_to_a_client_of_http_1_0_ends_with_a_reset(whole: bool) -> None:
    """Guards against the end of the connection passing for the end of an answer that is not whole."""
    answer = chunked_answer([CHUNK_BYTES] * 3, last_chunk=whole) + (b"" if whole else FakeServer.CUT)
    request = b"POST /pay HTTP/1.0\r\nX-Call-Id: a\r\nContent-Length: 1\r\n\r\nx"
    async with LoopbackCluster(lambda _: answer) as cluster:
        stream = (await cluster.client()).stream
        await stream.send(request)
        received = b""
        try:
            with anyio.fail_after(5.0):
                while True:
                    received += await stream.receive()
        except anyio.EndOfStream:
            assert whole and received.endswith(b"\r\n\r\n" + bytes(3 * CHUNK_BYTES))
        except anyio.BrokenResourceError:
            assert not whole


def streamed_request(id: str, length: int, body: bytes) -> bytes:
    head = f"POST /pay HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 900\r\n"
    return f"{head}Content-Length: {length}\r\n\r\n".encode() + body


HIDDEN_REQUEST = b"POST /pay HTTP/1.1\r\nHost: a\r\nX-Call-Id: hidden\r\nContent-Length: 1\r\n\r\nx"


# Issue 62, item 1: what came behind a streamed body was run as a request of its own, and the cut body served.
@pytest.mark.parametrize("piece_bytes", [1_000_000, 50_000, 7_001], ids=str)
@pytest.mark.parametrize(
    "surplus", [HIDDEN_REQUEST, b"\r\n" * 50, bytes(1000)], ids=["request", "lines", "noise"]
)
async def test_bytes_behind_a_streamed_body_reject_the_request(surplus: bytes, piece_bytes: int) -> None:
    data = streamed_request("a", 100_000, bytes(100_000)) + surplus
    async with LoopbackCluster(lambda _: reply(200)) as cluster:
        client = await cluster.client()
        for offset in range(0, len(data), piece_bytes):
            await client.stream.send(data[offset : offset + piece_bytes])
        answer = await client.answer_to("a")
        assert (answer.target, answer.headers["connection"]) == ("400", "close")
        assert "hidden" not in cluster.backends[0].head_ids
        assert piece_bytes < len(data) or not cluster.backends[0].received
