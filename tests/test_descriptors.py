"""Clients that rest or say half a word may fill the descriptors while discovery is down."""

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
DESCRIPTORS = 72  # of the process, and as its settings say
HALF = b"GET /look HTTP/1.1\r\nHost: a\r\nX-Ca"


def spent(process: int) -> float:
    """Seconds of a core that a process has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def asked(port: int, id: str) -> ReceivedMessage:
    client = Client(await anyio.connect_tcp("127.0.0.1", port))
    async with client.stream:
        return await client.ask(id, "look")


async def served(port: int, id: str, ends: tuple[str, ...] = ("200",)) -> None:
    """A sound client gets its answer; it may have to come again while the table is full."""
    with anyio.fail_after(20.0):
        for number in range(1000):
            try:
                with anyio.fail_after(5.0):
                    if (await asked(port, f"{id}-{number}")).target in ends:
                        return
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, AssertionError):
                pass
            await anyio.sleep(0.02)


@pytest.mark.parametrize("words", [b"", HALF], ids=["idle", "half a head"])
async def test_a_full_table_serves_sound_clients_and_finds_discovery_again(
    words: bytes, tmp_path: Path
) -> None:
    backend = FakeServer(lambda _: reply(200))
    crowd: list[socket.socket] = []
    with socket.socket() as place:
        place.bind(("127.0.0.1", 0))  # and does not listen: discovery is down
        port = place.getsockname()[1]
        async with anyio.create_task_group() as tasks:
            await tasks.start(backend.serve)
            file = config([list_line(0, backend.port)], port, DESCRIPTORS) | {"admin_addr": "127.0.0.1:0"}
            path = tmp_path / "config.json"
            path.write_text(json.dumps(file))
            process = await anyio.open_process(
                ["/bin/sh", "-c", f"ulimit -n {DESCRIPTORS}; exec {sys.executable} -B -m thornladder"],
                stderr=subprocess.PIPE, env={**os.environ, "TMPDIR": str(tmp_path), "EDGE_CONFIG": str(path)},
            )  # fmt: skip
            log = bytearray()

            async def read() -> None:
                async for part in process.stderr:
                    log.extend(part)

            tasks.start_soon(read)
            try:
                await wait_until(lambda: b'"serving"' in log and b"\n" in log, 20.0)
                line = next(json.loads(line) for line in bytes(log).splitlines() if b'"serving"' in line)
                door, admin = line["listen"][1], line["admin"][1]
                for _ in range(32 if words else 3 * DESCRIPTORS):  # clients have 18 of them
                    raw = socket.socket()
                    raw.setblocking(False)
                    raw.connect_ex(("127.0.0.1", door))
                    crowd.append(raw)
                for raw in crowd if words else ():
                    with anyio.move_on_after(0.01):
                        await anyio.wait_writable(raw)
                        raw.send(words)
                # Each has a descriptor kept: a sound client, its attempt's backend, the operators' port.
                # Without a list for over six seconds the node rejects, which is an answer as well.
                await served(door, "a", ("200", "503"))
                assert (await call(admin, "GET", "/status"))[0] in (200, 503)
                # A full table neither spins nor ends what accepts.
                before = spent(process.pid)
                await anyio.sleep(1.0)
                assert spent(process.pid) - before < 0.6
                # On its return discovery is asked again, though the crowd is still there.
                discovery = FakeServer(lambda got: list_reply(1) if got.target.endswith("=0") else None)
                place.listen(16)
                tasks.start_soon(_serve_at, place, discovery, tasks)
                await wait_until(lambda: discovery.received, 10.0)
                await served(door, "b")
                text = bytes(log)
                assert b"Traceback" not in text and b"could not be accepted" not in text
            finally:
                for raw in crowd:
                    raw.close()
                process.send_signal(signal.SIGTERM)
                with anyio.move_on_after(10.0, shield=True):
                    await process.wait()
                if process.returncode is None:
                    process.kill()
                tasks.cancel_scope.cancel()
        assert process.returncode == 0


async def _serve_at(place: socket.socket, peer: FakeServer, tasks: anyio.abc.TaskGroup) -> None:
    place.setblocking(False)
    while True:
        await anyio.wait_readable(place)
        raw, _ = place.accept()
        stream = await anyio.abc.SocketStream.from_socket(raw)
        tasks.start_soon(peer._serve_connection, stream)
