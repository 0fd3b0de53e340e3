"""Idle clients, or ones with half a request, use up the file descriptors while the list service is down."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import anyio
import pytest
from harness import (
    Client,
    FakeServer,
    ReceivedMessage,
    call,
    config,
    list_line,
    list_reply,
    reply,
    wait_until,
)

pytestmark = pytest.mark.anyio
DESCRIPTOR_LIMIT = 72  # of the process, and in its settings
HALF_HEAD = b"GET /look HTTP/1.1\r\nHost: a\r\nX-Ca"


def cpu_seconds(pid: int) -> float:
    """Processor time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def ask_once(port: int, id: str) -> ReceivedMessage:
    client = Client(await anyio.connect_tcp("127.0.0.1", port))
    async with client.stream:
        return await client.ask(id, "look")


async def wait_until_served(port: int, id: str, statuses: tuple[str, ...] = ("200",)) -> None:
    """A well-behaved client gets an answer; it may have to reconnect while the descriptor table is full."""
    with anyio.fail_after(20.0):
        for attempt in range(1000):
            try:
                with anyio.fail_after(5.0):
                    if (await ask_once(port, f"{id}-{attempt}")).target in statuses:
                        return
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, AssertionError):
                pass
            await anyio.sleep(0.02)


@pytest.mark.parametrize("sent", [b"", HALF_HEAD], ids=["idle", "half a head"])
async def test_full_descriptor_table_still_serves_clients_and_reconnects_to_the_list_service(
    sent: bytes, tmp_path: Path
) -> None:
    backend = FakeServer(lambda _: reply(200))
    idle_sockets: list[socket.socket] = []
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))  # does not listen: the list service is down
        port = listener.getsockname()[1]
        async with anyio.create_task_group() as tasks:
            await tasks.start(backend.serve)
            settings = config([list_line(0, backend.port)], port, DESCRIPTOR_LIMIT) | {
                "admin_addr": "127.0.0.1:0"
            }
            path = tmp_path / "config.json"
            path.write_text(json.dumps(settings))
            process = await anyio.open_process(
                ["/bin/sh", "-c", f"ulimit -n {DESCRIPTOR_LIMIT}; exec {sys.executable} -B -m thornladder"],
                stderr=subprocess.PIPE, env={**os.environ, "TMPDIR": str(tmp_path), "EDGE_CONFIG": str(path)},
            )  # fmt: skip
            log = bytearray()

            async def read_log() -> None:
                async for part in process.stderr:
                    log.extend(part)

            tasks.start_soon(read_log)
            try:
                await wait_until(lambda: b'"serving"' in log and b"\n" in log, 20.0)
                line = next(json.loads(line) for line in bytes(log).splitlines() if b'"serving"' in line)
                node_port, admin = line["listen"][1], line["admin"][1]
                for _ in range(32 if sent else 3 * DESCRIPTOR_LIMIT):  # clients may use 18 descriptors
                    raw = socket.socket()
                    raw.setblocking(False)
                    raw.connect_ex(("127.0.0.1", node_port))
                    idle_sockets.append(raw)
                for raw in idle_sockets if sent else ():
                    with anyio.move_on_after(0.01):
                        await anyio.wait_writable(raw)
                        raw.send(sent)
                # Descriptors are reserved for a client, its connection to a backend and the admin port.
                # After six seconds without a list the node rejects invocations, which is an answer too.
                await wait_until_served(node_port, "a", ("200", "503"))
                assert (await call(admin, "GET", "/status"))[0] in (200, 503)
                # With a full table the accepting task neither spins nor ends.
                before = cpu_seconds(process.pid)
                await anyio.sleep(1.0)
                assert cpu_seconds(process.pid) - before < 0.6
                # The list service is polled again when it is back, though the idle sockets are still open.
                discovery = FakeServer(lambda got: list_reply(1) if got.target.endswith("=0") else None)
                listener.listen(16)
                tasks.start_soon(_serve_at, listener, discovery, tasks)
                await wait_until(lambda: discovery.received, 10.0)
                await wait_until_served(node_port, "b")
                text = bytes(log)
                assert b"Traceback" not in text and b"could not be accepted" not in text
            finally:
                for raw in idle_sockets:
                    raw.close()
                process.send_signal(signal.SIGTERM)
                with anyio.move_on_after(10.0, shield=True):
                    await process.wait()
                if process.returncode is None:
                    process.kill()
                tasks.cancel_scope.cancel()
        assert process.returncode == 0


async def _serve_at(listener: socket.socket, server: FakeServer, tasks: anyio.abc.TaskGroup) -> None:
    listener.setblocking(False)
    while True:
        await anyio.wait_readable(listener)
        raw, _ = listener.accept()
        stream = await anyio.abc.SocketStream.from_socket(raw)
        tasks.start_soon(server._serve_connection, stream)
