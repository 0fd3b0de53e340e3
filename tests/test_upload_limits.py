"""Large requests that the node holds back: each gets its answer in its client's time."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

import anyio
import pytest
from harness import Client, LoopbackCluster, ReceivedMessage, list_line, list_reply, reply, wait_until

from thornladder.node import service, streams
from thornladder.node.clients.upload import FULL_WINDOW_BYTES, Upload
from thornladder.node.flow import BodyPipe
from thornladder.node.memory.budget import MemoryBudget, Reservation
from thornladder.node.memory.charges import BODY_PIPE_BYTES

pytestmark = pytest.mark.anyio
BODY = random.Random(7).randbytes(300_000)
# A final answer counts up to 0.5 s after the client's time, and each limit is 0.05 s longer on sockets.
GRACE_SECONDS = 0.55
FRAMINGS = pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])


class ObservedBudget(MemoryBudget):
    """The budget of the node that was started last; a test can take all of it."""

    latest: ObservedBudget

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        ObservedBudget.latest = self

    async def fill(self) -> int:
        """Takes all the room that there is, for a holder of the test; returns how many bytes that is."""
        taken = 0
        while self.used < self.limit or self.overdraft_holder is None:
            await self.acquire(BODY_PIPE_BYTES, self)
            taken += BODY_PIPE_BYTES
        return taken


@pytest.fixture(autouse=True)
def observed_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "MemoryBudget", ObservedBudget)


def done(_: ReceivedMessage) -> bytes:
    return reply(200)


def encode_head(id: str, budget_ms: int, length: int | None) -> bytes:
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return (
        f"POST /pay HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: {budget_ms}\r\n{framing}\r\n\r\n"
    ).encode()


def encode_request(id: str, budget_ms: int, body: bytes, chunked: bool) -> bytes:
    if not chunked:
        return encode_head(id, budget_ms, len(body)) + body
    parts = [body[offset : offset + 50_000] for offset in range(0, len(body), 50_000)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (*parts, b""))
    return encode_head(id, budget_ms, None) + chunks


def loopback_pair() -> tuple[socket.socket, socket.socket]:
    """Two ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        first = socket.create_connection(listener.getsockname())
        return first, listener.accept()[0]


async def answer_within(client: Client, seconds: float) -> ReceivedMessage:
    with anyio.fail_after(seconds):
        return await client.answer_to("a")


async def move_to_unreading_backend(cluster: LoopbackCluster, port: int) -> None:
    """Replaces the backends by one at `port`, to which the kernel connects and that nobody reads from."""
    update = list_reply(2, list_line(0, port))
    cluster.discovery.answer = lambda message: update if "from=1" in message.target else None
    for stream in list(cluster.discovery.streams):
        await stream.aclose()
    await wait_until(lambda: any("from=2" in message.target for message in cluster.discovery.received))


@FRAMINGS
async def test_a_request_that_finds_no_room_is_answered_in_its_time(chunked: bool) -> None:
    """Guards against a wait for the body budget without a limit: the answer came once others had ended."""
    async with LoopbackCluster(done) as cluster:
        await ObservedBudget.latest.fill()
        client = await cluster.client()
        await client.stream.send(encode_request("a", 600, BODY[:200_000], chunked))
        assert (await answer_within(client, 0.6 + GRACE_SECONDS)).target == "503"
        assert not cluster.backends[0].received


async def test_a_request_whose_backend_reads_nothing_is_answered_in_its_time() -> None:
    """Guards against a stall limit that is longer than the client's time: the answer came after 5 s."""
    async with LoopbackCluster(done) as cluster, anyio.create_task_group() as tasks:
        with socket.create_server(("127.0.0.1", 0)) as unreading:
            unreading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await move_to_unreading_backend(cluster, unreading.getsockname()[1])
            client = await cluster.client()
            # With what the buffers on its way hold, all of it soon is on the node's side.
            tasks.start_soon(client.stream.send, encode_request("a", 600, BODY, False))
            assert (await answer_within(client, 0.6 + GRACE_SECONDS)).target == "503"
            tasks.cancel_scope.cancel()


@FRAMINGS
async def test_slow_clients_leave_room_for_others(chunked: bool) -> None:
    """Guards against room that is held for bodies of which nothing is here: others were refused for it."""
    async with LoopbackCluster(done, memory=4) as cluster:
        slow_requests = [encode_request(f"slow{number}", 900, BODY, chunked) for number in range(12)]
        slow_clients = [await cluster.client() for _ in slow_requests]
        for client, data in zip(slow_clients, slow_requests, strict=True):
            await client.stream.send(data[:150_000])
        await wait_until(lambda: len(cluster.backends[0].head_ids) == len(slow_clients))
        await wait_until(lambda: ObservedBudget.latest.used == 0)
        client = await cluster.client()
        await client.stream.send(encode_request("a", 900, BODY[:100_000], chunked))
        assert (await answer_within(client, 0.9 + GRACE_SECONDS)).target == "200"
        for slow_client, data in zip(slow_clients, slow_requests, strict=True):
            await slow_client.stream.send(data[150_000:])
            assert (await answer_within(slow_client, 0.9 + GRACE_SECONDS)).target == "200"
        assert all(message.body in (BODY, BODY[:100_000]) for message in cluster.backends[0].received)
        assert ObservedBudget.latest.used == 0


async def test_a_part_that_its_backend_has_not_taken_keeps_its_room() -> None:
    """Guards against memory that is in use and not counted."""
    async with LoopbackCluster(done) as cluster, anyio.create_task_group() as tasks:
        with socket.create_server(("127.0.0.1", 0)) as unreading:
            await move_to_unreading_backend(cluster, unreading.getsockname()[1])
            client = await cluster.client()

            async def send() -> None:
                with suppress(anyio.ClosedResourceError):
                    await client.stream.send(encode_request("a", 900, 100 * BODY, False))

            tasks.start_soon(send)
            await wait_until(lambda: ObservedBudget.latest.used == BODY_PIPE_BYTES)
            await anyio.sleep(0.3)
            assert ObservedBudget.latest.used == BODY_PIPE_BYTES
            await client.stream.aclose()
            await wait_until(lambda: ObservedBudget.latest.used == 0, 10.0)
            tasks.cancel_scope.cancel()


async def test_room_is_given_in_the_order_of_asking_and_back_when_a_wait_is_cancelled() -> None:
    """Guards against a wait that others overtake, and against room that a cancelled wait keeps."""
    budget, order = MemoryBudget(10), []

    async def hold(name: str, scope: anyio.CancelScope) -> None:
        with scope:
            await budget.acquire(10, name)
            order.append(name)

    await budget.acquire(10, "first")
    await budget.acquire(10, "overdraft")
    scopes = [anyio.CancelScope() for _ in range(4)]
    async with anyio.create_task_group() as tasks:
        for number, scope in enumerate(scopes):
            tasks.start_soon(hold, str(number), scope)
            await anyio.wait_all_tasks_blocked()
        assert not budget.has_room(10, "late") and not order
        scopes[1].cancel()
        await anyio.wait_all_tasks_blocked()
        scopes[0].cancel()  # in the moment in which it gets its room
        budget.release(10, "overdraft")
        await anyio.wait_all_tasks_blocked()
        assert order == ["2"] and budget.used == 20
        budget.release(10, "first")
        budget.release(10, "2")
    assert order == ["2", "3"] and budget.used == 10
    budget.release(10, "3")
    assert budget.used == 0 and budget.has_room(10, "late")


async def test_a_higher_limit_lets_those_in_that_wait() -> None:
    """Guards against a wait that goes on although another process has left its share of the memory."""
    budget = MemoryBudget(10)
    await budget.acquire(10, "first")
    await budget.acquire(10, "overdraft")
    with anyio.fail_after(5.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(budget.acquire, 10, "late")
            await anyio.wait_all_tasks_blocked()
            assert budget.used == 20
            budget.limit = 30
    assert budget.used == 30


# Report 98e2ab (b): the client had written all of a large request, most of it was not sent yet since its
# backend read slowly, and the final answer came seconds after the client's time.
async def test_a_request_that_waits_on_its_clients_machine_is_answered_in_its_time() -> None:
    async with LoopbackCluster(done) as cluster, anyio.create_task_group() as tasks:
        with socket.create_server(("127.0.0.1", 0)) as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await move_to_unreading_backend(cluster, slow.getsockname()[1])
            tasks.start_soon(read_slowly, slow, 20_000)
            client = await cluster.client()
            client_socket = client.stream.extra(anyio.abc.SocketAttribute.raw_socket)
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * 2**20)
            await client.stream.send(encode_request("a", 600, 5 * BODY, False))
            assert (await answer_within(client, 0.6 + GRACE_SECONDS)).target == "503"
            tasks.cancel_scope.cancel()


async def read_slowly(listener: socket.socket, bytes_per_second: int) -> None:
    """Reads from each connection at this rate, in ten pieces a second."""
    listener.setblocking(False)
    await anyio.wait_readable(listener)
    accepted, _ = listener.accept()
    accepted.setblocking(False)
    with accepted:
        while True:
            with suppress(BlockingIOError):
                accepted.recv(bytes_per_second // 10)
            await anyio.sleep(0.1)


@FRAMINGS
async def test_a_request_that_is_still_being_sent_may_be_held_back_for_longer(chunked: bool) -> None:
    """Guards against a client's time that begins before its last byte has been received."""
    async with LoopbackCluster(done) as cluster:
        taken = await ObservedBudget.latest.fill()
        client = await cluster.client()
        data = encode_request("a", 300, BODY, chunked)
        # So little that the node's machine takes all of it: the client can have written no more.
        await client.stream.send(data[: FULL_WINDOW_BYTES - 1000])
        await anyio.sleep(1.0)
        ObservedBudget.latest.release(taken, ObservedBudget.latest)
        await client.stream.send(data[FULL_WINDOW_BYTES - 1000 :])
        assert (await answer_within(client, 2.0)).target == "200"
        assert cluster.backends[0].received[0].body == BODY


@pytest.mark.parametrize(
    ("length", "first", "last"), [(10, b"abc", b"defgh"), (None, b"3\r\nabc", b"\r\n0\r\n\r\n")],
    ids=["length", "chunks"],
)  # fmt: skip
async def test_the_last_byte_is_not_taken_for_received_before_it_can_have_been(
    length: int | None, first: bytes, last: bytes
) -> None:
    """Guards against a client's time that began long before the end of a fast upload to a slow backend."""
    now = [100.0]
    client_socket, node_socket = loopback_pair()
    with client_socket:
        node_socket.setblocking(False)
        async with await streams.open_stream(node_socket) as stream:
            upload = Upload(BodyPipe(), length, stream, Reservation(MemoryBudget(2**20)), lambda: now[0], 0.0)
            client_socket.sendall(first)
            await wait_until(lambda: streams.peek_unread(stream) == first)
            now[0] += 5.0
            upload.before_read(2)
            assert not upload.awaiting_client and upload.unread_seconds == 0.0
            client_socket.sendall(last)
            await wait_until(lambda: streams.peek_unread(stream) == first + last)
            now[0] += 2.0
            upload.before_read(2)
            assert upload.unread_seconds == 2.0
            received = b""
            while received != first + last:
                received += await stream.receive()
            upload.before_read(10)
            assert upload.awaiting_client and upload.unread_seconds == 0.0


async def test_the_time_of_a_request_counts_while_it_is_held_back() -> None:
    """Guards against a client's time that begins only when its body has been passed on."""
    async with LoopbackCluster(lambda _: None) as cluster:
        taken = await ObservedBudget.latest.fill()
        client = await cluster.client()
        await client.stream.send(encode_request("a", 900, BODY[:100_000], False))
        sent_at = anyio.current_time()
        await anyio.sleep(0.8)
        ObservedBudget.latest.release(taken, ObservedBudget.latest)
        answer = await answer_within(client, sent_at + 0.9 + GRACE_SECONDS - anyio.current_time())
        assert answer.target in (
            "502",
            "503",
        )  # 503: there was no room in time


async def test_a_connection_is_read_on_after_an_early_answer_to_a_request_without_room() -> None:
    """Guards against a reading task that waits for room for a request that has been answered."""
    async with LoopbackCluster(done) as cluster:
        await ObservedBudget.latest.fill()
        client = await cluster.client()
        await client.stream.send(encode_request("a", 900, BODY[:100_000], False))
        await wait_until(lambda: cluster.backends[0].head_ids)
        await cluster.backends[0].streams[0].aclose()
        assert (await answer_within(client, 0.9 + GRACE_SECONDS)).target == "503"
        await client.stream.send(encode_request("b", 900, b"x", False))
        assert (await answer_within(client, 0.9 + GRACE_SECONDS)).target == "200"


async def test_the_body_of_a_client_that_left_while_it_had_no_room_is_not_passed_on() -> None:
    """Guards against a request that runs although its client had left before there was room for it."""
    async with LoopbackCluster(done) as cluster:
        taken = await ObservedBudget.latest.fill()
        client = await cluster.client()
        await client.stream.send(encode_request("a", 900, BODY[:100_000], False))
        await wait_until(lambda: cluster.backends[0].head_ids)
        await client.stream.aclose()
        await anyio.sleep(0.2)
        ObservedBudget.latest.release(taken, ObservedBudget.latest)
        await wait_until(lambda: cluster.backends[0].closed == 1)
        assert not cluster.backends[0].received
        await wait_until(lambda: ObservedBudget.latest.used == 0)


async def test_backends_whose_answers_find_no_room_are_not_ejected() -> None:
    """Guards against backends that look silent, and refusals of all requests, since the node has no room."""

    def answer(message: ReceivedMessage) -> bytes:
        return reply(200, BODY if message.target == "/pay" else b"done")

    async with LoopbackCluster(answer, answer) as cluster, anyio.create_task_group() as tasks:
        taken = await ObservedBudget.latest.fill()
        answers = []

        async def ask(number: int) -> None:
            answers.append(await cluster.ask(f"large{number}", "pay", 900, b"x"))

        for number in range(12):
            tasks.start_soon(ask, number)
            await anyio.sleep(0.1)
        assert [(await cluster.ask(f"small{n}", "look")).target for n in range(10)] == ["200"] * 10
        assert not any("ejected" in line for line, _ in cluster.log.lines)
        await wait_until(lambda: answers)
        ObservedBudget.latest.release(taken, ObservedBudget.latest)
        await wait_until(lambda: len(answers) == 12)
        assert {message.target for message in answers} == {"200", "502"}
        assert all(message.body == BODY for message in answers if message.target == "200")


async def test_a_client_that_leaves_while_its_answer_has_no_room_ends_it() -> None:
    """Guards against a connection to a backend that is kept for an answer that nobody waits for."""
    async with LoopbackCluster(lambda _: reply(200, BODY)) as cluster:
        await ObservedBudget.latest.fill()
        client = await cluster.client()
        await client.stream.send(encode_request("a", 60_000, b"x", False))
        await wait_until(lambda: cluster.backends[0].received)
        await anyio.sleep(0.05)
        await client.stream.aclose()
        await wait_until(lambda: cluster.backends[0].closed == 1, 0.5)


async def test_an_answer_that_finds_no_room_ends_in_its_clients_time() -> None:
    """Guards against a wait for the body budget without a limit in the other direction."""
    async with LoopbackCluster(lambda _: reply(200, BODY)) as cluster:
        await ObservedBudget.latest.fill()
        client = await cluster.client()
        await client.stream.send(encode_request("a", 600, b"x", False))
        assert (await answer_within(client, 0.6 + GRACE_SECONDS)).target == "502"


async def test_a_client_that_asks_on_and_never_reads_has_one_answer_here(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against answers that pile up, uncounted, for a client that asks again before it has read."""
    create_listener = service._create_listener

    def create_with_small_buffers(address: tuple[str, int]) -> socket.socket:
        listener = create_listener(address)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return listener

    monkeypatch.setattr(service, "_create_listener", create_with_small_buffers)
    async with LoopbackCluster(lambda _: reply(200, BODY[:60_000])) as cluster:
        with socket.socket() as client_socket:
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client_socket.connect(("127.0.0.1", cluster.port))
            for number in range(20):
                client_socket.sendall(encode_request(f"a{number}", 900, b"x", False))
                await anyio.sleep(0.01)
            await wait_until(lambda: cluster.backends[0].received)
            await anyio.sleep(0.2)
            assert len(cluster.backends[0].received) == 1
        await wait_until(lambda: ObservedBudget.latest.used == 0)
        assert not [line for line, _ in cluster.log.lines if "failed" in line]
