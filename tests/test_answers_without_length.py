"""Answers of backends that have no length and end with their connection (RFC 9112, 6.3)."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import h11
import pytest
from harness import FakeServer, LoopbackCluster, ReceivedMessage, reply

from thornladder.node import http1, streams
from thornladder.node.messages import LIVE_PATH

pytestmark = pytest.mark.anyio
# Raised where a client sees that an answer is not whole.
INCOMPLETE_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, h11.RemoteProtocolError)
Answer = Callable[[ReceivedMessage], bytes]


def unframed_answer(length: int, end: bytes) -> Answer:
    """A backend that answers with this many bytes after a head that tells no length; probes are answered."""

    def answer(message: ReceivedMessage) -> bytes:
        if message.target == LIVE_PATH.decode():
            return reply(200)
        return b"HTTP/1.1 200 OK\r\n\r\n" + body_of(length) + end

    return answer


def body_of(length: int) -> bytes:
    return (b"%08d" % length * (length // 8 + 1))[:length]


# Report 98e2ab: each whole answer that ended with its connection was closed at its head and failed.
@pytest.mark.parametrize("length", [0, 500, 60_000, 70_000, 170_000, 900_000])
async def test_an_answer_that_ends_with_its_connection_is_served_whole(length: int) -> None:
    async with LoopbackCluster(unframed_answer(length, FakeServer.CUT)) as cluster:
        client = await cluster.client()
        for number in range(2):
            answer = await client.ask(f"a{number}", "pay", body=b"x")
            assert (answer.target, answer.body) == ("200", body_of(length))


# A reset is no end: what came before it must not pass for the whole answer.
@pytest.mark.parametrize("length", [500, 60_000])
async def test_a_small_answer_without_length_that_is_reset_has_failed(length: int) -> None:
    async with LoopbackCluster(unframed_answer(length, FakeServer.RESET)) as cluster:
        assert (await cluster.ask("a", "pay", body=b"x")).target == "502"


@pytest.mark.parametrize("length", [70_000, 900_000])
async def test_a_large_answer_without_length_that_is_reset_is_not_served_as_whole(length: int) -> None:
    async with LoopbackCluster(unframed_answer(length, FakeServer.RESET)) as cluster:
        client = await cluster.client()
        with pytest.raises(INCOMPLETE_ERRORS):
            await client.ask("a", "pay", body=b"x")


@pytest.mark.parametrize("whole", [False, True], ids=["cut", "whole"])
async def test_a_client_of_http_1_0_can_tell_whether_an_answer_without_length_is_whole(whole: bool) -> None:
    end = FakeServer.CUT if whole else FakeServer.RESET
    async with LoopbackCluster(unframed_answer(150_000, end)) as cluster:
        stream = (await cluster.client()).stream
        await stream.send(b"POST /pay HTTP/1.0\r\nX-Call-Id: a\r\nContent-Length: 1\r\n\r\nx")
        received = b""
        with pytest.raises(anyio.EndOfStream if whole else anyio.BrokenResourceError), anyio.fail_after(5.0):
            while True:
                received += await stream.receive()
        assert not whole or received.endswith(b"\r\n\r\n" + body_of(150_000))


# An answer that neither goes on nor ends, such as a spoilt one, has failed in its client's time.
async def test_an_answer_without_length_that_stands_still_has_failed_in_its_clients_time() -> None:
    def answer(message: ReceivedMessage) -> bytes | None:
        return None if message.target == "/pay" else reply(200)

    async def begin(stream: anyio.abc.SocketStream) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\nbegin")
        await FakeServer._stay_silent(cluster.backends[0], stream)

    cluster = LoopbackCluster(answer)
    cluster.backends[0]._stay_silent = begin
    async with cluster:
        sent_at = anyio.current_time()
        assert (await cluster.ask("a", "pay", 900, b"x")).target == "502"
        assert anyio.current_time() - sent_at < 0.9 + 0.5
        assert not any("dead" in line for line, _ in cluster.log.lines)


# A slow answer is begun before it is whole: only its first bytes are owed in the client's time.
async def test_an_answer_without_length_that_goes_on_slowly_is_begun_in_time() -> None:
    async def answer_slowly(stream: anyio.abc.SocketStream) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(15):
            await stream.send(bytes(5_000))
            await anyio.sleep(0.1)

    cluster = LoopbackCluster(lambda message: None if message.target == "/pay" else reply(200))
    cluster.backends[0]._stay_silent = answer_slowly
    async with cluster:
        answer = await cluster.ask("a", "pay", 900, b"x")
        assert (answer.target, answer.body) == ("200", bytes(75_000))


# A small answer has to be whole in its client's time: begun, it could only come late.
async def test_a_small_answer_without_length_that_is_too_slow_has_failed_in_its_clients_time() -> None:
    async def answer_slowly(stream: anyio.abc.SocketStream) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(20):
            await stream.send(bytes(500))
            await anyio.sleep(0.1)

    cluster = LoopbackCluster(lambda message: None if message.target == "/pay" else reply(200))
    cluster.backends[0]._stay_silent = answer_slowly
    async with cluster:
        sent_at = anyio.current_time()
        assert (await cluster.ask("a", "pay", 700, b"x")).target == "502"
        assert anyio.current_time() - sent_at < 0.7 + 0.5


# Report 73ddd4, beside crowds: an answer that became large as its time ran out was begun, and then cut.
async def test_an_answer_is_not_begun_whose_time_ran_out_while_it_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    deadline, hold = 0.5, 0.2
    forward = streams.SingleReadProtocol.data_received

    def hold_event_loop(self: streams.SingleReadProtocol, data: bytes) -> None:
        forward(self, data)
        if b"late" in data:
            time.sleep(hold)  # the next turn finds both the bytes and the end of the time

    async def answer_late(stream: anyio.abc.SocketStream) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(1_000))
        await anyio.sleep(deadline - 0.5 * hold)
        await stream.send(b"late" + bytes(200_000))

    monkeypatch.setattr(streams.SingleReadProtocol, "data_received", hold_event_loop)
    monkeypatch.setattr(http1, "MAX_BUFFERED_BYTES", 3_000)  # the next read makes it a large one
    cluster = LoopbackCluster(lambda message: None if message.target == "/pay" else reply(200))
    cluster.backends[0]._stay_silent = answer_late
    async with cluster:
        assert (await cluster.ask("a", "pay", round(1000 * deadline), b"x")).target == "502"
