"""Connections that the kernel has accepted and the node has not: their requests are answered all the same."""

from __future__ import annotations

import copy
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import Process
from harness import OFFERINGS, SETTINGS, Client, FakeServer, RecordingLog, reply
from test_process import connect, running_node

from thornladder.node.clients.front import Front
from thornladder.node.clients.server_state import ServerState
from thornladder.node.memory.budget import MemoryBudget
from thornladder.node.shutdown import ShutdownSchedule
from thornladder.node.tasks import Tasks

pytestmark = pytest.mark.anyio
DESCRIPTORS = 40  # of a node that holds at most MAX_CLIENTS connections of clients
MAX_CLIENTS = 10
HALF_HEAD = b"GET /look HTTP/1.1\r\nHost: a\r\nX-Ca"
DEADLINE_SECONDS = 2.0
# After a request's time, in which a final answer still counts.
ANSWER_GRACE_SECONDS = 0.5
LONG_BODY = bytes(62 * 1024)  # more than the buffers of a connection hold whose client does not read


@asynccontextmanager
async def node_with_busy_connections(
    folder: Path, descriptors: int = DESCRIPTORS, count: int = MAX_CLIENTS
) -> AsyncIterator[tuple[Process, int]]:
    """A node with `count` connections, each with half a request; by default all that it may have."""
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    for offering in settings["Classes"]:
        offering["HardLimit"] = round(DEADLINE_SECONDS * 1e6)
    backend = FakeServer(lambda message: reply(200, LONG_BODY if message.target == "/pay" else b""))
    async with running_node(folder, backend, info=settings, sockets=descriptors) as (process, port):
        busy: list[Client] = []
        for number in range(count):
            busy.append(await connect(port))
            assert (await busy[-1].ask(f"busy{number}", "look")).target == "200"
            await busy[-1].stream.send(HALF_HEAD)
        yield process, port


async def connect_and_send(port: int, id: str, budget: int = round(DEADLINE_SECONDS * 1000)) -> Client:
    client = await connect(port)
    await client.send(id, "look", budget)
    return client


# Found by the operators: at the end of accepting the listening socket was closed over its queue, and all that
# the machine had accepted beyond the limit of connections was reset.
async def test_requests_queued_beyond_the_limit_at_a_shutdown_are_answered(tmp_path: Path) -> None:
    async with node_with_busy_connections(tmp_path) as (process, port):
        process.send_signal(signal.SIGTERM)
        queued = [await connect_and_send(port, f"queued{number}") for number in range(30)]
        answers = [await client.answer() for client in queued]
        assert {answer.target for answer in answers} <= {"200", "502", "503"}
        assert await process.wait() == 0


@asynccontextmanager
async def front_with_queue(
    monkeypatch: pytest.MonkeyPatch, log: RecordingLog
) -> AsyncIterator[tuple[Front, socket.socket, list[Client]]]:
    """A front without room, in a shutdown whose time is up, with three requests in the kernel's queue."""
    monkeypatch.setattr(Front, "MAX_EXTRA_CONNECTIONS", 0)
    now = 100.0
    state = ServerState(
        None, {"look": OFFERINGS[0]}, lambda: now, MemoryBudget(2**20), lambda: False, lambda *_: None, log
    )
    state.shutdown = ShutdownSchedule(now - DEADLINE_SECONDS, 1.0)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        clients = [await connect_and_send(listener.getsockname()[1], f"a{number}") for number in range(3)]
        yield Front(state, 0, None), listener, clients


# The same where no room was made until every request has to have its answer.
async def test_requests_still_queued_when_the_time_of_a_shutdown_is_up_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = RecordingLog()
    async with front_with_queue(monkeypatch, log) as (front, listener, clients):
        await front._empty_queue(listener)
        assert [(await client.answer()).target for client in clients] == ["503"] * 3
    assert log.find("refusing the connections still queued") is not None


# Seen in a log of the soak: a process short of its core ended its shutdown while it still accepted.
async def test_requests_still_queued_when_a_process_ends_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = RecordingLog()
    async with front_with_queue(monkeypatch, log) as (front, listener, clients):
        front.accepting, front.listener = True, listener
        await front.end_all(lambda: None)
        assert [(await client.answer()).target for client in clients] == ["503"] * 3
    assert log.find("refusing the connections still queued") is not None


# Found by reading: a connection that was accepted in the last turns of a process was cancelled before it was
# served, with a request that had been read, and ended without an answer.
async def test_a_request_read_from_a_connection_that_is_never_served_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def wait_forever(_: socket.socket) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr("thornladder.node.clients.front.open_stream", wait_forever)
    log = RecordingLog()
    async with front_with_queue(monkeypatch, log) as (front, listener, clients):
        front.max_connections = len(clients) + 1
        async with anyio.create_task_group() as group:
            front.tasks = Tasks(group, log)
            assert await front._accept_queued(listener)
            await anyio.sleep(0.0)
            group.cancel_scope.cancel()
        assert [(await client.answer()).target for client in clients] == ["503"] * 3
        assert front.connection_count == 0


# Found by reading: a request waited in the kernel's queue for as long as all connections were busy.
async def test_a_request_queued_beyond_the_limit_is_answered_in_its_time(tmp_path: Path) -> None:
    async with node_with_busy_connections(tmp_path) as (_, port):
        with anyio.fail_after(0.3 + ANSWER_GRACE_SECONDS):
            queued = [await connect_and_send(port, f"queued{number}", 300) for number in range(5)]
            answers = [await client.answer() for client in queued]
        assert {answer.target for answer in answers} <= {"200", "503"}


# Found by the operators: near the limit the queue in the kernel was cut to one connection. Of clients that
# connected at the same time some found no way in, and tried again only after a second.
async def test_clients_that_connect_at_once_near_the_limit_are_queued(tmp_path: Path) -> None:
    async with node_with_busy_connections(tmp_path, descriptors=74, count=28) as (process, port):
        process.send_signal(signal.SIGSTOP)
        clients = []
        for number in range(12):
            with anyio.fail_after(0.5):
                clients.append(await connect_and_send(port, f"queued{number}", 900))
        process.send_signal(signal.SIGCONT)
        assert {(await client.answer()).target for client in clients} <= {"200", "503"}


@asynccontextmanager
async def client_that_does_not_read(port: int) -> AsyncIterator[None]:
    """A client with a long answer that it does not take, on a connection that is at rest otherwise."""
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", port))
        client.sendall(b"POST /pay HTTP/1.1\r\nHost: a\r\nX-Call-Id: slow\r\nContent-Length: 1\r\n\r\nx")
        client.setblocking(False)
        with anyio.fail_after(DEADLINE_SECONDS):
            await anyio.wait_readable(client)
        assert b"close" not in client.recv(200, socket.MSG_PEEK)
        yield


# review/6: a node whose connections were nearly all in use accepted nothing for as long as one of its clients
# had not taken all of its answer.
async def test_a_client_that_does_not_take_its_answer_keeps_no_other_from_being_accepted(
    tmp_path: Path,
) -> None:
    async with (
        node_with_busy_connections(tmp_path, count=0) as (_, port),
        client_that_does_not_read(port),
    ):
        halves = [await connect(port) for _ in range(MAX_CLIENTS - 1)]
        for client in halves:
            await client.stream.send(HALF_HEAD)
        for number in range(3):
            with anyio.fail_after(0.3 + ANSWER_GRACE_SECONDS):
                client = await connect_and_send(port, f"queued{number}", 300)
                assert (await client.answer()).target in ("200", "503")


# The same cause: the oldest connections at rest were looked at, and those among them that could not be closed
# kept younger ones from giving their place.
async def test_connections_that_cannot_be_closed_keep_no_other_from_giving_its_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    closed: list[int] = []

    class RestingConnection:
        silent, closing = False, False

        def __init__(self, number: int, has_taken_its_answer: bool) -> None:
            self.last_activity, self.has_taken_its_answer = float(number), has_taken_its_answer

        @property
        def at_rest(self) -> bool:
            return self.has_taken_its_answer and not self.closing

        def close_if_idle(self, _: object) -> bool:
            if self.at_rest:
                self.closing = True
                closed.append(int(self.last_activity))
            return self.closing

    state = ServerState(
        None, {}, lambda: 100.0, MemoryBudget(2**20), lambda: False, lambda *_: None, RecordingLog()
    )
    front = Front(state, 10, None)
    front.connections = {RestingConnection(number, number > 4) for number in range(8)}
    assert front._make_room() and closed == [5, 6]  # a tenth of the limit and one
    assert front._make_room() and closed == [5, 6, 7]
    assert not front._make_room()
