"""Upgrades without downtime: a second process of a node takes over at an inherited listening socket."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import pytest
from harness import (
    NODE_COMMAND,
    READY_REQUEST,
    SETTINGS,
    Client,
    FakeHost,
    FakeServer,
    LoopbackCluster,
    ReceivedMessage,
    call,
    config,
    entry,
    list_line,
    list_reply,
    reply,
    wait_until,
)

from thornladder import decide, settings
from thornladder.interface import ListKind, State
from thornladder.node import service
from thornladder.node.handover import LearnedState, LearnedStateStore, Phase, ProcessRegistry, ProcessStatus
from thornladder.node.maintenance import Maintenance, MaintenanceMark
from thornladder.node.messages import decode_list

pytestmark = pytest.mark.anyio


class NodeProcesses:
    """Holds the listening socket and the peers of one node, and starts and kills its processes."""

    def __init__(self, folder: Path, *answers) -> None:
        self.folder = folder
        self.backends = [FakeServer(answer) for answer in answers]
        self.discovery = FakeServer(lambda request: list_reply(1) if request.target.endswith("=0") else None)
        self.stack = AsyncExitStack()
        self.command = NODE_COMMAND

    async def __aenter__(self) -> NodeProcesses:
        self.tasks = await self.stack.enter_async_context(anyio.create_task_group())
        self.socket = self.stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=256))
        self.port = self.socket.getsockname()[1]
        for peer in (*self.backends, self.discovery):
            await self.tasks.start(peer.serve)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.tasks.cancel_scope.cancel()
        await self.stack.__aexit__(*error)

    def write_config(self, info: dict | None = None) -> Path:
        """Writes the configuration file of all processes, with these settings, and returns its path."""
        lines = [list_line(number, peer.port) for number, peer in enumerate(self.backends)]
        file = config(lines, self.discovery.port, info=info)
        path = self.folder / "config.json"
        path.write_text(json.dumps({**file, "listen": f"127.0.0.1:{self.port}"}))
        return path

    async def run(self, info: dict | None = None) -> tuple[anyio.abc.Process, int]:
        """Starts one more process of the node and returns it with its admin port."""
        with socket.create_server(("127.0.0.1", 0)) as free_socket:
            admin = free_socket.getsockname()[1]
        path = self.write_config(info)
        process = await anyio.open_process(
            self.command,
            env={
                **os.environ,
                "TMPDIR": str(self.folder),
                "EDGE_CONFIG": str(path),
                "EDGE_ADMIN_ADDR": f"127.0.0.1:{admin}",
                "EDGE_INHERITED_FD": str(self.socket.fileno()),
            },  # fmt: skip
            pass_fds=[self.socket.fileno()],
            stderr=subprocess.DEVNULL,
        )
        self.stack.push_async_callback(self._kill, process)
        return process, admin

    async def _kill(self, process: anyio.abc.Process) -> None:
        with anyio.CancelScope(shield=True):
            if process.returncode is None:
                process.kill()
            await process.aclose()

    async def wait_ready(self, admin: int) -> None:
        with anyio.fail_after(6.0):
            while True:
                try:
                    if (await call(admin, "GET", "/status"))[0] == 200:
                        return
                except OSError:
                    pass
                await anyio.sleep(0.02)

    async def wait_started(self, admin: int) -> None:
        """Waits until a process says that it is not ready yet."""
        with anyio.fail_after(6.0):
            while True:
                try:
                    assert (await call(admin, "GET", "/status"))[0] == 503
                    return
                except OSError:
                    await anyio.sleep(0.02)

    async def client(self) -> Client:
        return Client(await anyio.connect_tcp("127.0.0.1", self.port))


def done(request: ReceivedMessage) -> bytes:
    return reply(200, request.headers.get("x-call-id", "").encode())


async def answers_to_late_clients(processes: NodeProcesses) -> list[str]:
    """The answers to eight clients that connect after SIGTERM, as they do for 0.2 to 0.4 s."""
    answers = []
    for number in range(8):
        client = await processes.client()
        answers.append((await client.ask(f"late{number}", "look")).target)
        await anyio.sleep(0.03)
    return answers


# Found by reading: a process with an inherited socket left its queue to a successor that was not there.
async def test_the_last_process_at_an_inherited_socket_answers_what_is_queued(tmp_path: Path) -> None:
    async with NodeProcesses(tmp_path, done) as processes:
        process, admin = await processes.run()
        await processes.wait_ready(admin)
        process.send_signal(signal.SIGTERM)
        assert await answers_to_late_clients(processes) == ["200"] * 8
        assert await process.wait() == 0


# Found by reading: two processes that were told to end within the same moment each took the other for the one
# that stays, and left the queue of their socket to it.
async def test_two_processes_that_end_together_leave_no_request_queued(tmp_path: Path) -> None:
    async with NodeProcesses(tmp_path, done) as processes:
        running = []
        for _ in range(2):
            process, admin = await processes.run()
            await processes.wait_ready(admin)
            running.append(process)
        for process in running:
            process.send_signal(signal.SIGTERM)
        assert await answers_to_late_clients(processes) == ["200"] * 8
        assert [await process.wait() for process in running] == [0, 0]


def paid(processes: NodeProcesses) -> list[str]:
    """The ids of the requests to pay that the backends received."""
    received = [message for backend in processes.backends for message in backend.received]
    return [message.headers["x-call-id"] for message in received if message.target == "/pay"]


# Report 98e2ab (d): an id that was open in one process of an upgrade ran again at the other one.
@pytest.mark.parametrize("leaves", [False, True], ids=["open", "left"])
async def test_an_id_that_is_open_at_the_old_process_does_not_run_at_the_new_one(
    leaves: bool, tmp_path: Path
) -> None:
    def hang_on_pay(request: ReceivedMessage) -> bytes | None:
        return None if request.target == "/pay" else reply(200)

    async with NodeProcesses(tmp_path, hang_on_pay, hang_on_pay) as processes:
        old, admin = await processes.run()
        await processes.wait_ready(admin)
        client = await processes.client()
        await client.send("a0", "look")
        assert (await client.answer()).target == "200"
        _, admin = await processes.run()
        await processes.wait_ready(admin)
        await client.send("a", "pay", 900, b"x")
        await wait_until(
            lambda: any(m.target == "/pay" for peer in processes.backends for m in peer.received)
        )
        old.send_signal(signal.SIGTERM)
        if leaves:
            await client.stream.aclose()
        await anyio.sleep(0.1)
        assert (await (await processes.client()).ask("a", "pay", 900, b"x")).target == "400"
        assert paid(processes) == ["a"]


async def test_three_consecutive_upgrades_under_load_lose_no_invocation(tmp_path: Path) -> None:
    answered: Counter[str] = Counter()
    stopped = anyio.Event()

    async def run_client(processes: NodeProcesses, client_number: int) -> None:
        client, number = await processes.client(), 0
        while not stopped.is_set():
            number += 1
            id = f"{client_number}-{number}"
            answer = await client.ask(id, "look" if client_number % 2 else "pay", 900, b"x")
            assert answer.target in ("200", "502", "503") and answer.body in (id.encode(), b"nacked\n")
            answered[answer.target] += 1
            if answer.headers.get("connection") == "close":
                client = await processes.client()
            await anyio.sleep(0.01 * random.Random(id).random())

    async with NodeProcesses(tmp_path, done, done, done) as processes:
        old, admin = await processes.run()
        await processes.wait_ready(admin)
        async with anyio.create_task_group() as tasks:
            for client_number in range(12):
                tasks.start_soon(run_client, processes, client_number)
            for _ in range(3):
                new, admin = await processes.run()
                await processes.wait_ready(admin)
                count = sum(answered.values())
                old.send_signal(signal.SIGTERM)
                with anyio.fail_after(2.2):
                    assert await old.wait() == 0
                await wait_until(lambda: sum(answered.values()) > count + 50)  # noqa: B023
                old = new
            stopped.set()
        assert answered["200"] > 0.9 * sum(answered.values())


async def test_maintenance_persists_over_an_upgrade_and_is_shared_by_both_processes(tmp_path: Path) -> None:
    async with NodeProcesses(tmp_path, done, done, done) as processes:
        old, first_admin = await processes.run()
        await processes.wait_ready(first_admin)
        assert (await call(first_admin, "POST", "/maintenance/enter", b'{"host": "s0"}'))[0] == 200
        new, second_admin = await processes.run()
        await processes.wait_ready(second_admin)
        assert (await call(second_admin, "GET", "/status"))[1]["maintenance"] == ["s0"]
        assert (await call(second_admin, "POST", "/maintenance/enter", b'{"host": "s1"}'))[0] == 200
        assert (await call(first_admin, "POST", "/maintenance/exit", b'{"host": "s0"}'))[0] == 200
        with anyio.fail_after(1.0):
            for admin in (first_admin, second_admin):
                while (await call(admin, "GET", "/status"))[1]["maintenance"] != ["s1"]:
                    await anyio.sleep(0.02)
        old.kill()
        count = len(processes.backends[1].received)
        for number in range(8):
            answer = await (await processes.client()).ask(f"a{number}", "look")
            assert answer.target == "200"
        assert len(processes.backends[1].received) == count


async def test_node_stays_ready_while_one_process_leaves_and_another_serves(tmp_path: Path) -> None:
    # Guards against a front that turns from the node because the leaving process reports it as not ready.
    async with NodeProcesses(tmp_path, done) as processes:
        old, first_admin = await processes.run()
        await processes.wait_ready(first_admin)
        old_clients = [await processes.client() for _ in range(2)]
        for client in old_clients:
            assert (await client.raw(READY_REQUEST)).target == "200"
        new, second_admin = await processes.run()
        await processes.wait_ready(second_admin)
        old.send_signal(signal.SIGTERM)
        await anyio.sleep(0.1)
        response = await old_clients[0].raw(READY_REQUEST)
        assert (response.target, response.headers["connection"]) == ("200", "close")
        last_client = await processes.client()
        assert (await last_client.raw(READY_REQUEST)).target == "200"
        with anyio.fail_after(2.2):
            assert await old.wait() == 0
        new.send_signal(signal.SIGTERM)  # no other process takes over
        await anyio.sleep(0.1)
        assert (await last_client.raw(READY_REQUEST)).target == "503"


# A node that closes connections for want of descriptors alone: neither because clients use many, nor because
# they are at rest for as long as the test takes on a busy machine.
PATIENT_NODE = """
import sys
from thornladder.__main__ import main
from thornladder.node.clients.client_pool import ClientPool
from thornladder.node.clients.front import Front

ClientPool.TARGET_SHARE = 1.0
Front.EXPECTED_IDLE_SECONDS = Front.IDLE_TIMEOUT_SECONDS = 60.0
sys.exit(main())
"""


async def test_starting_process_takes_no_descriptors_from_the_serving_one(
    tmp_path: Path,
) -> None:
    # Guards against dividing all descriptors evenly: the serving process would close connections and leave
    # others unread.
    async with NodeProcesses(tmp_path, done) as processes:
        processes.command = [sys.executable, "-B", "-c", PATIENT_NODE]
        _, first_admin = await processes.run()
        await processes.wait_ready(first_admin)
        clients = []
        for number in range(270):  # of 564 for clients
            clients.append(await processes.client())
            assert (await clients[-1].ask(f"a{number}", "look")).target in ("200", "503")
        processes.discovery.answer = lambda _: None
        new, second_admin = await processes.run()
        await processes.wait_started(second_admin)
        await anyio.sleep(2.0 * service.Handover.SYNC_SECONDS)  # by then the serving process has divided
        for number, client in enumerate(clients):
            answer = await client.ask(f"b{number}", "look")
            assert answer.target in ("200", "503") and "connection" not in answer.headers
        new.kill()


async def test_new_process_that_dies_before_it_is_ready_changes_nothing(tmp_path: Path) -> None:
    async with NodeProcesses(tmp_path, done) as processes:
        old, first_admin = await processes.run()
        await processes.wait_ready(first_admin)
        processes.discovery.answer = lambda _: None  # the new process waits for the list
        new, second_admin = await processes.run()
        await processes.wait_started(second_admin)
        for number in range(20):  # all reach the serving process
            assert (await (await processes.client()).ask(f"a{number}", "look")).target == "200"
        assert (await call(second_admin, "GET", "/status"))[1]["connections"] == 0
        new.kill()
        assert (await (await processes.client()).ask("b", "look")).target == "200"


async def test_old_process_serves_on_after_the_new_one_is_killed_when_ready(tmp_path: Path) -> None:
    async with NodeProcesses(tmp_path, done) as processes:
        old, first_admin = await processes.run()
        await processes.wait_ready(first_admin)
        new, second_admin = await processes.run()
        await processes.wait_ready(second_admin)
        new.kill()
        await new.wait()
        for number in range(20):
            client = await processes.client()
            assert (await client.raw(READY_REQUEST)).target == "200"
            assert (await client.ask(f"a{number}", "pay", body=b"x")).target == "200"
        assert (await call(first_admin, "GET", "/status"))[0] == 200
        old.send_signal(signal.SIGTERM)
        with anyio.fail_after(2.2):
            assert await old.wait() == 0


# Unit tests of the state files.


def test_registry_slot_is_free_as_soon_as_its_process_is_dead(tmp_path: Path) -> None:
    first_registry, second_registry = ProcessRegistry(str(tmp_path), "n"), ProcessRegistry(str(tmp_path), "n")
    first_registry.announce(Phase.SERVING, 7)
    assert second_registry.others() == [ProcessStatus(Phase.SERVING, 7)] and first_registry.others() == []
    second_registry.announce(Phase.STARTING, 0)
    assert first_registry.others() == [ProcessStatus(Phase.STARTING, 0)] and second_registry.others() == [
        ProcessStatus(Phase.SERVING, 7)
    ]
    first_registry.announce(Phase.LEAVING, 123)
    assert (
        second_registry.others() == [ProcessStatus(Phase.LEAVING, 123)]
        and ProcessRegistry(str(tmp_path), "m").others() == []
    )
    os.close(first_registry.own_slot[1])  # the kernel does so at any death
    assert second_registry.others() == []
    for path in tmp_path.iterdir():
        path.write_bytes(b"\xff" * 40)
    assert ProcessRegistry(str(tmp_path), "n").others() == [ProcessStatus(Phase.STARTING, 0)]
    assert ProcessRegistry(str(tmp_path / "none"), "n").others() == []


def test_slow_start_continues_in_the_process_that_takes_over(tmp_path: Path) -> None:
    store = LearnedStateStore(str(tmp_path), "n")
    store.save(LearnedState({"s0": 100.0, "s1": 200.0, "s2": 90.0, "s3": -1e9}, 4.5), 104.0)
    learned = LearnedStateStore(str(tmp_path), "n").load(105.0)
    # At 204 seconds the limit is out of date.
    assert (
        learned.limit_per_backend == 4.5
        and LearnedStateStore(str(tmp_path), "n").load(204.0).limit_per_backend == 0.0
    )
    maintenance = Maintenance({"s2": MaintenanceMark(True, 95.0)})
    maintenance.restore_ramp_starts(learned.ramp_starts, 105.0)
    known = {"generation": 1, "reset": True, "instances": [list_line(number, 1) for number in range(4)]}
    applied = maintenance.apply(decode_list(known), 105.0)
    assert applied.kind is ListKind.SNAPSHOT
    # A start time in the future, as of s1, is not used.
    assert [entry.started_at for entry in applied.entries] == [100.0, None, None, None]
    assert applied.entries[2].state is State.DRAINING


def test_process_that_takes_over_starts_with_the_learned_limit() -> None:
    # Without the learned limit a new process starts at one push per backend, and nacks most invocations for
    # ten seconds after an upgrade.
    limits = {}
    for learned_limit in (0.0, 4.5, 99.0):
        host = FakeHost()
        host.node = decide.Node(
            host,
            seed=1,
            now=host.now,
            limit_per_backend=learned_limit,
            **{**settings.policy_arguments(SETTINGS), "nodes": 2},
        )
        host.send_list([entry(number) for number in range(8)])
        limits[learned_limit] = host.node.admission.concurrency_limit
    assert limits == {0.0: 4 * decide.AdmissionControl.INITIAL_LIMIT_PER_BACKEND, 4.5: 18.0, 99.0: 24.0}


async def test_maintenance_is_refused_but_requests_are_served_without_a_writable_folder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with LoopbackCluster(done) as cluster:
        for path in Path(cluster.folder.name).iterdir():
            path.unlink()
        Path(cluster.folder.name).rmdir()
        assert (await call(cluster.admin, "POST", "/maintenance/enter", b'{"host": "s0"}'))[0] == 503
        assert (await cluster.ask("a", "look")).target == "200"
        Path(cluster.folder.name).mkdir()
