"""A node told to end answers each request that it has read, and ends before the platform kills it."""

from __future__ import annotations

import copy
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute
from harness import (
    OFFERINGS,
    SETTINGS,
    FakeServer,
    LoopbackCluster,
    ReceivedMessage,
    RecordingLog,
    config,
    list_line,
    node_process,
    reply,
    script_command,
    wait_until,
)
from test_end_crossings import GatedBackend
from test_process import connect, running_node
from test_start import free_port, wait_until_ready

from thornladder.interface import Offering
from thornladder.node.clients.connection import ClientConnection
from thornladder.node.clients.front import Front
from thornladder.node.clients.server_state import ServerState
from thornladder.node.host import NodeHost
from thornladder.node.memory.budget import MemoryBudget
from thornladder.node.shutdown import ACCEPT_SECONDS, ShutdownSchedule
from thornladder.node.tasks import Tasks
from thornladder.node.termination import Termination
from thornladder.rig.soak.client import ConnectionLost, RawConnection

pytestmark = pytest.mark.anyio
KILL_SECONDS = 0.7  # after SIGTERM and the longest deadline: the platform's earliest SIGKILL


def settings_with_deadline(seconds: float) -> dict[str, Any]:
    """Settings in which clients of every class wait for at most this long."""
    settings = copy.deepcopy(SETTINGS)
    for offering in settings["Classes"]:
        offering["HardLimit"] = round(seconds * 1e6)
        offering["Aim"] = min(offering["Aim"], offering["HardLimit"])
    return settings


def hang_on_pay(message: ReceivedMessage) -> bytes | None:
    return None if message.target == "/pay" else reply(200)


def request_bytes(id: str, name: str, deadline: float, body: bytes = b"x") -> bytes:
    return (
        f"POST /{name} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Budget-Ms: {round(deadline * 1000)}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


# Report 4cc182: a request read late in a shutdown outlived the process and got no answer.
@pytest.mark.parametrize("deadline", [0.4, 0.7, 1.5])
async def test_a_request_read_late_in_a_shutdown_is_answered_before_the_process_ends(
    deadline: float, tmp_path: Path
) -> None:
    backend = FakeServer(hang_on_pay)
    async with running_node(tmp_path, backend, info=settings_with_deadline(deadline)) as (process, port):
        client = await connect(port)
        data = request_bytes("late", "pay", deadline)
        await client.stream.send(data[:-1])
        # Served after the half of a request, so the node has read that too.
        assert (await (await connect(port)).ask("before", "look")).target == "200"
        process.send_signal(signal.SIGTERM)
        await anyio.sleep(deadline + 0.25)  # the request's time ends after the platform's earliest SIGKILL
        await client.stream.send(data[-1:])
        assert (await client.answer_to("late")).target in ("502", "503")
        assert await process.wait() == 0


class SlowBackend(FakeServer):
    """A backend that takes some time for each answer, and one request on each connection."""

    ANSWER_SECONDS = 0.15

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with stream:
                received = b""
                while not received.endswith(b"\r\n\r\n"):
                    received += await stream.receive()
                await anyio.sleep(self.ANSWER_SECONDS)
                await stream.send(reply(200))


# Found by the soak: a process ended while it still accepted, and cut off the connections accepted last.
async def test_connections_accepted_at_the_end_of_a_shutdown_are_answered(tmp_path: Path) -> None:
    refused, answers = [], []

    async def connect_and_ask(port: int, number: int) -> None:
        try:
            client = await connect(port)
        except OSError:
            refused.append(number)
            return
        answers.append((await client.ask(f"a{number}", "look", 500)).target)

    backend = SlowBackend(lambda _: None)
    async with running_node(tmp_path, backend, info=settings_with_deadline(0.5)) as (process, port):
        process.send_signal(signal.SIGTERM)
        await anyio.sleep(0.45)
        async with anyio.create_task_group() as tasks:
            for number in range(16):
                tasks.start_soon(connect_and_ask, port, number)
                await anyio.sleep(0.02)
        assert await process.wait() == 0
        assert len(refused) + len(answers) == 16 and set(answers) <= {"200", "502", "503"}


@pytest.fixture
def connections(monkeypatch: pytest.MonkeyPatch) -> list[ClientConnection]:
    """The client connections of nodes in this process, in the order in which they were accepted."""
    created: list[ClientConnection] = []
    serve = ClientConnection.serve

    async def record_and_serve(connection: ClientConnection) -> None:
        created.append(connection)
        await serve(connection)

    monkeypatch.setattr(ClientConnection, "serve", record_and_serve)
    return created


# Found by the soak: a request that crossed the end of its idle connection was read and dropped.
async def test_a_request_that_crosses_an_idle_close_is_left_unread(
    connections: list[ClientConnection],
) -> None:
    async with LoopbackCluster(lambda _: reply(200)) as cluster:
        client = await RawConnection.open(("127.0.0.1", cluster.port))
        await client.send(request_bytes("a0", "look", 0.9))
        await client.receive()
        assert client.buffer.startswith(b"HTTP/1.1 200")
        await wait_until(lambda: connections[0].idle)
        connections[0].close_if_idle()
        await wait_until(client.ended)
        await client.send(request_bytes("a1", "look", 0.9))
        with pytest.raises(ConnectionLost) as lost:
            await client.receive()
        assert lost.value.was_reset
        assert [message.headers["x-call-id"] for message in cluster.backends[0].received] == ["a0"]
        client.close()


# Runs a node that says when it listens, and goes on once told to, with a signal pending.
LISTEN_THEN_SIGNAL = """
import os, signal, sys
from thornladder.__main__ import main
from thornladder.node import service
create_listener = service._create_listener

def create_listener_and_signal(address):
    listener = create_listener(address)
    print("listening", flush=True)
    sys.stdin.readline()
    os.kill(os.getpid(), signal.SIGTERM)
    return listener

service._create_listener = create_listener_and_signal
sys.exit(main())
"""


# Found by reading: SIGTERM between listening and handling signals cut off what the kernel had accepted.
async def test_a_request_queued_before_sigterm_amid_the_start_is_answered(tmp_path: Path) -> None:
    backend = FakeServer(lambda _: reply(200))
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        document = config([list_line(0, backend.port)], free_port())
        document["listen"] = f"127.0.0.1:{free_port()}"
        async with node_process(tmp_path, document, script_command(LISTEN_THEN_SIGNAL)) as process:
            assert (await process.stdout.receive()).strip() == b"listening"
            client = await connect(int(document["listen"].rpartition(":")[2]))
            await client.send("early", "look", 900)
            await process.stdin.send(b"\n")
            assert (await client.answer()).target == "200"
            assert await process.wait() == 0
        tasks.cancel_scope.cancel()


# Runs a node that gets this signal again after its last task has ended.
SIGNAL_AT_EXIT = """
import os, signal, sys, anyio
from thornladder.__main__ import main
run = anyio.run

def run_and_signal(*args, **kwargs):
    run(*args, **kwargs)
    os.kill(os.getpid(), signal.{name})

anyio.run = run_and_signal
sys.exit(main())
"""


# Found by the soak: SIGHUP as a drained process exits killed it, and a restart was taken for a crash.
@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM", "SIGINT"])
async def test_a_signal_amid_the_exit_does_not_change_the_exit_code(name: str, tmp_path: Path) -> None:
    document = config([], free_port())
    document["listen"] = f"127.0.0.1:{free_port()}"
    async with node_process(tmp_path, document, script_command(SIGNAL_AT_EXIT.format(name=name))) as process:
        assert b'"serving"' in await process.stderr.receive()
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


# Found by the soak: a request that the event loop had read was dropped by a close. A close is one step with
# its decision (test_idle_close.py), so all that can be there is what the event loop has read before.
async def test_a_request_read_between_the_decision_to_close_and_the_close_is_answered(
    connections: list[ClientConnection],
) -> None:
    async with LoopbackCluster(lambda _: reply(200)) as cluster:
        client = await cluster.client()
        assert (await client.ask("a0", "look")).target == "200"
        await wait_until(lambda: connections[0].idle)
        # What the event loop does if the request arrives now. The reading task has its turn after the close.
        transport = connections[0].stream._transport
        transport.get_protocol().data_received(request_bytes("a1", "look", 0.9))
        assert not connections[0].close_if_idle()
        assert (await client.answer_to("a1")).target == "200"


# Runs a node in which one step of the shutdown fails.
FAILING_STEP = """
import sys
from thornladder.__main__ import main
from thornladder.node import service
from thornladder.node.clients.front import Front

def fail(*args):
    raise OSError(5, "Input/output error")

{step} = fail
sys.exit(main())
"""


# Found by reading: an error in a step of the shutdown ended the node with its requests unanswered.
@pytest.mark.parametrize(
    "step", ["service.Handover.announce_leaving", "Front._log_connections", "Front._close_oldest_idle"]
)
async def test_an_error_amid_a_shutdown_leaves_no_request_unanswered(step: str, tmp_path: Path) -> None:
    backend = GatedBackend(lambda _: reply(200))
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        document = config([list_line(0, backend.port)], free_port())
        document["listen"] = f"127.0.0.1:{free_port()}"
        async with node_process(
            tmp_path, document, script_command(FAILING_STEP.format(step=step))
        ) as process:
            assert b'"serving"' in await process.stderr.receive()
            client = await connect(int(document["listen"].rpartition(":")[2]))
            await client.send("a", "pay", 900, b"x")
            await wait_until(lambda: backend.connections)
            process.send_signal(signal.SIGTERM)
            await anyio.sleep(0.75)  # past the closing of idle connections
            backend.gate.set()
            assert (await client.answer()).target == "200"
            assert await process.wait() == 0
        tasks.cancel_scope.cancel()


class FrontStub:
    """Takes the place of a front and records the schedules of its drains."""

    def __init__(self) -> None:
        self.server_state = SimpleNamespace(shutdown_deadline=0.7, has_successor=False)
        self.schedules: list[ShutdownSchedule] = []

    async def drain(self, schedule: ShutdownSchedule, _: Callable[[], None]) -> None:
        self.schedules.append(schedule)

    async def end_all(self, _: Callable[[], None]) -> None:
        """Has no connections."""


# Found by the soak: a process that took in SIGTERM late ended after the platform's kill.
@pytest.mark.parametrize("before_start", [False, True])
async def test_a_shutdown_counts_from_when_the_signal_may_have_been_sent(before_start: bool) -> None:
    now, log, front = [100.0], RecordingLog(), FrontStub()
    async with anyio.create_task_group() as group:
        tasks = Tasks(group, log)
        host = NodeHost(lambda: now[0], tasks, log)
        now[0] += 0.1
        assert host.last_live_at == 100.1  # the event loop is not late
        now[0] += 0.4  # no heartbeat in this time
        assert host.last_live_at == 100.0 + NodeHost.HEARTBEAT_SECONDS
        Termination(front, host, lambda: None, tasks, log, ()).begin("SIGTERM", before_start)
    (schedule,) = front.schedules
    expected = 100.0 + NodeHost.HEARTBEAT_SECONDS - (ACCEPT_SECONDS if before_start else 0.0)
    assert schedule.signalled_at == expected
    assert expected + 0.7 < schedule.answer_by < schedule.exit_by < expected + 0.7 + KILL_SECONDS - 0.15


# Found by reading: the end of a last answer that the client had not read after 0.3 s was thrown away.
async def test_a_last_answer_is_sent_whole_to_a_client_that_reads_late(
    connections: list[ClientConnection],
) -> None:
    body = b"y" * 60_000
    async with LoopbackCluster(lambda _: reply(200, body)) as cluster:
        with socket.socket() as client_socket:
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            client_socket.connect(("127.0.0.1", cluster.port))
            await wait_until(lambda: connections)
            kernel_buffer = (socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            connections[0].stream.extra(SocketAttribute.raw_socket).setsockopt(*kernel_buffer)
            request = request_bytes("a", "look", 0.9).replace(
                b"\r\nHost", b"\r\nConnection: close\r\nHost", 1
            )
            client_socket.sendall(request)
            await wait_until(lambda: connections[0].closing)
            assert not connections[0].last_response_sent
            await anyio.sleep(2.0 * ClientConnection.LINGER_SECONDS)
            received = b""
            while data := await anyio.to_thread.run_sync(client_socket.recv, 65536):
                received += data
            assert received.endswith(body)


# Found by reading: a log line that could not be written ended the node with its requests unanswered.
async def test_a_full_disk_under_the_log_leaves_no_request_unanswered(tmp_path: Path) -> None:
    backend = GatedBackend(lambda _: reply(200))
    port = free_port()
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        document = config([list_line(0, backend.port)], free_port()) | {"listen": f"127.0.0.1:{port}"}
        with Path("/dev/full").open("wb") as full_disk:
            async with node_process(tmp_path, document, stderr=full_disk) as process:
                await wait_until_ready(port)
                client = await connect(port)
                await client.send("a", "pay", 900, b"x")
                await wait_until(lambda: backend.connections)
                process.send_signal(signal.SIGTERM)
                await anyio.sleep(0.1)
                backend.gate.set()
                assert (await client.answer()).target == "200"
                assert await process.wait() == 0
        tasks.cancel_scope.cancel()


# Found by the soak: SIGHUP with longer deadlines, sent after SIGTERM to a process without a core, came first.
def test_settings_that_came_with_sigterm_do_not_lengthen_the_shutdown() -> None:
    now = [100.0]

    def offerings(cut_off: float) -> dict[str, Offering]:
        return {"look": replace(OFFERINGS[0], cut_off=cut_off)}

    state = ServerState(
        None, offerings(0.7), lambda: now[0], MemoryBudget(2**20), lambda: False, lambda *_: None, None
    )
    assert state.shutdown_deadline == 0.7
    now[0] += 5.0
    for cut_off in (2.0, 3.0):
        state.set_offerings(offerings(cut_off))
    assert (state.longest_deadline, state.shutdown_deadline) == (3.0, 0.7)
    now[0] += ServerState.SIGNAL_ORDER_SECONDS + 0.1
    assert state.shutdown_deadline == 3.0
    state.set_offerings(offerings(0.4))
    assert state.shutdown_deadline == 0.4


class ConnectionStub:
    """A connection with half a request."""

    idle = at_rest = closing = last_response_sent = False
    exchange = None

    def __init__(self, calls: list[str]) -> None:
        self.calls = calls

    def refuse_incomplete(self) -> None:
        self.calls.append("incomplete")


# Found by the soak: a process held up until its time was over skipped the last answers.
async def test_a_drain_whose_time_is_over_still_ends_what_is_unanswered() -> None:
    calls: list[str] = []
    connection = ConnectionStub(calls)
    state = ServerState(
        None, {}, lambda: 100.0, MemoryBudget(2**20), lambda: False, lambda *_: None, RecordingLog()
    )
    front = Front(state, 10, None)
    front.connections.add(connection)
    await front.drain(ShutdownSchedule(90.0, 0.7), lambda: calls.append("in flight"))
    assert calls == ["in flight", "incomplete"]
