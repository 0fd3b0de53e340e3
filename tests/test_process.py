"""A node as a process: start, graceful shutdown, reload on SIGHUP, exit codes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
from collections.abc import Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest
from harness import (
    NODE_COMMAND,
    READY_REQUEST,
    SETTINGS,
    Client,
    FakeServer,
    LoopbackCluster,
    ReceivedMessage,
    config,
    list_line,
    list_reply,
    node_process,
    reply,
    wait_until,
)

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def running_node(
    folder: Path,
    *backends: FakeServer,
    info: dict | None = None,
    sockets: int = 1024,
    memory: int = 192,
    command: Sequence[str] = NODE_COMMAND,
):
    """Runs a node with these backends in its own process; yields the process and the node's port."""
    discovery = FakeServer(lambda got: list_reply(1) if got.target.endswith("=0") else None)
    async with anyio.create_task_group() as tasks:
        for peer in (*backends, discovery):
            await tasks.start(peer.serve)
        instances = [list_line(number, peer.port) for number, peer in enumerate(backends)]
        document = config(instances, discovery.port, sockets, memory, info)
        async with node_process(folder, document, command) as process:
            output = b""
            while b"\n" not in output:
                output += await process.stderr.receive()
            yield process, json.loads(output.split(b"\n")[0])["listen"][1]
        tasks.cancel_scope.cancel()


async def connect(port: int) -> Client:
    """Opens a client connection to a node on this port of the local host."""
    return Client(await anyio.connect_tcp("127.0.0.1", port))


async def test_graceful_shutdown_answers_every_invocation(tmp_path: Path) -> None:
    backend = FakeServer(lambda got: None if got.target == "/look" else reply(200))
    async with running_node(tmp_path, backend) as (process, port):
        idle, busy, old = await connect(port), await connect(port), await connect(port)
        assert (await idle.ask("a0", "pay", body=b"x")).target == "200"
        await busy.send("a1", "look", 800)
        await wait_until(lambda: len(backend.received) == 2)
        process.send_signal(signal.SIGTERM)
        signalled_at = anyio.current_time()
        while (await (await connect(port)).raw(READY_REQUEST)).target == "200":
            assert anyio.current_time() - signalled_at < 0.3
        on_new = await (await connect(port)).ask("a2", "pay", body=b"x")
        on_old = await old.ask("a3", "pay", body=b"x")
        assert (on_new.target, on_new.headers["connection"]) == (on_old.target, on_old.headers["connection"])
        assert (on_new.target, on_new.headers["connection"]) == ("200", "close")
        assert (await busy.answer()).target == "503"
        with pytest.raises(anyio.EndOfStream):
            await idle.stream.receive()
        assert await process.wait() == 0
        assert anyio.current_time() - signalled_at < 1.7


async def test_graceful_shutdown_under_load_loses_no_invocation(tmp_path: Path) -> None:
    sent_ids, answers = set(), {}
    front_noticed = anyio.Event()

    async def run_client(port: int, client_number: int) -> None:
        client = await connect(port)
        for number in range(1000):
            if front_noticed.is_set() and number % 2:
                return
            id = f"{client_number}-{number}"
            sent_ids.add(id)
            answer = answers[id] = await client.ask(id, "look" if client_number % 2 else "pay", 900, b"x")
            assert answer.target in ("200", "502", "503")
            if answer.headers.get("connection") == "close":
                client = await connect(port)  # possible until the front notices the shutdown

    async with running_node(tmp_path, *(FakeServer(lambda _: reply(200)) for _ in range(3))) as (
        process,
        port,
    ):
        async with anyio.create_task_group() as tasks:
            for client_number in range(16):
                tasks.start_soon(run_client, port, client_number)
            await wait_until(lambda: len(answers) > 300)
            process.send_signal(signal.SIGTERM)
            answers_at_signal = len(answers)
            await wait_until(lambda: len(answers) > answers_at_signal + 16)
            front_noticed.set()
        assert await process.wait() == 0
        assert sent_ids == answers.keys()


async def test_new_configuration_moves_the_watch_and_nothing_else(tmp_path: Path) -> None:
    # Guards against a node that SIGHUP terminates, as it does by default.
    path = tmp_path / "config.json"
    backend = FakeServer(lambda got: None if got.target == "/look" else reply(200))

    def ahead(got: ReceivedMessage) -> bytes | None:
        return list_reply(3) if got.target.endswith("=0") else None

    def behind(got: ReceivedMessage) -> bytes | None:
        if "from" not in got.target:
            return list_reply(1, list_line(0, backend.port), snapshot=True)
        return list_reply(0) if got.target.endswith("=0") else None

    async with running_node(tmp_path, backend) as (process, port), anyio.create_task_group() as tasks:
        old = json.loads(path.read_text())
        discoveries = [FakeServer(ahead), FakeServer(behind)]
        for discovery in discoveries:
            await tasks.start(discovery.serve)
        busy = await connect(port)
        await busy.send("a0", "look", 900)
        await wait_until(lambda: backend.received)
        for discovery, first_query in zip(discoveries, ("from=1&", "from=3&"), strict=True):
            # The second file is malformed: the address from the first one stays in force.
            for text in (json.dumps({**old, "discovery": f"127.0.0.1:{discovery.port}"}), "nonsense"):
                path.write_text(text)
                process.send_signal(signal.SIGHUP)
                await wait_until(lambda: discovery.received)  # noqa: B023
            assert first_query in discovery.received[0].target
            await wait_until(lambda: any("hold_ms=750" in got.target for got in discovery.received))  # noqa: B023
        # This discovery service is behind and cannot continue from 3, so the node asks it for a snapshot.
        assert "from" not in discoveries[1].received[1].target
        assert (await busy.answer()).target == "503"  # invocations in flight are not affected
        assert (await (await connect(port)).ask("a1", "pay", body=b"x")).target == "200"
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        assert await process.wait() == 0
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "text", [None, "nonsense", "{}", '{"settings": {"Classes": []}}', "[1]"],
    ids=["no file", "nonsense", "empty", "no offerings", "no object"],
)  # fmt: skip
def test_malformed_configuration_ends_it_with_one_line(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    run_rejected(path)


def run_rejected(path: Path) -> str:
    """Runs the program with a configuration that it must reject; returns its one line of output."""
    environment = {**os.environ, "TMPDIR": str(path.parent), "EDGE_CONFIG": str(path)}
    result = subprocess.run(NODE_COMMAND, env=environment, capture_output=True, check=False)
    assert result.returncode == 2 and result.stderr.count(b"\n") == 1 and not result.stdout
    return result.stderr.decode()


def test_settings_for_two_kinds_of_deployment_end_it_with_the_key(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    sidecar = {"Report": {"Source": "pull", "Fields": ["rif"]}, "Tenants": [{"Name": "t", "Share": 1.0}]}
    path.write_text(json.dumps(config([], 1, info={**SETTINGS, **sidecar})))
    error = "settings.Tenants must be empty where Report.Source is 'pull'"
    assert run_rejected(path) == f"thornladder: {path}: {error}\n"


async def test_address_in_use_ends_it_with_one_line(tmp_path: Path) -> None:
    async with LoopbackCluster() as bank:
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**config([], 1), "listen": f"127.0.0.1:{bank.port}"}))
        environment = {**os.environ, "TMPDIR": str(path.parent), "EDGE_CONFIG": str(path)}
        result = await anyio.run_process(NODE_COMMAND, env=environment, check=False)
        assert result.returncode == 1 and result.stderr.count(b"\n") == 1
