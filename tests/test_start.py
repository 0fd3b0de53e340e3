"""From the start of a process to its first yes: nothing on the way waits for the time-out of another."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import Callable
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest
from harness import READY_REQUEST, Client, FakeServer, ReceivedMessage, config, list_line, reply

pytestmark = pytest.mark.anyio


async def first_yes(port: int) -> None:
    with anyio.fail_after(30.0):  # the operators' own limit; what is tested is that nothing else came first
        while True:
            try:
                client = Client(await anyio.connect_tcp("127.0.0.1", port))
            except OSError:
                await anyio.sleep(0.01)
                continue
            async with client.stream:
                if (await client.raw(READY_REQUEST)).target == "200":
                    return
            await anyio.sleep(0.01)


@asynccontextmanager
async def process(folder: Path, file: dict):
    path = folder / "config.json"
    path.write_text(json.dumps(file))
    node = await anyio.open_process(
        [sys.executable, "-B", "-m", "thornladder"], stderr=subprocess.DEVNULL,
        env={**os.environ, "TMPDIR": str(folder), "EDGE_CONFIG": str(path)},
    )  # fmt: skip
    try:
        yield node
    finally:
        with anyio.CancelScope(shield=True):
            if node.returncode is None:
                node.kill()
            await node.aclose()


def free_port() -> int:
    with socket.socket() as place:
        place.bind(("127.0.0.1", 0))
        return place.getsockname()[1]


def silent(_: ReceivedMessage) -> bytes | None:
    return None


def refusing(_: ReceivedMessage) -> bytes:
    return reply(503)


@pytest.mark.parametrize("tells", [silent, refusing, None], ids=["silent", "refusing", "down"])
async def test_a_process_is_ready_and_serves_before_discovery_has_said_a_word(
    tells: Callable[[ReceivedMessage], bytes | None] | None, tmp_path: Path
) -> None:
    # A queue at discovery, or none to be had, is no part of the way to ready.
    backend, discovery = FakeServer(lambda _: reply(200)), FakeServer(tells or silent)
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        await tasks.start(discovery.serve)
        file = config([list_line(0, backend.port)], discovery.port if tells else free_port())
        file["listen"] = f"127.0.0.1:{free_port()}"
        async with process(tmp_path, file) as node:
            port = int(file["listen"].rpartition(":")[2])
            await first_yes(port)
            client = Client(await anyio.connect_tcp("127.0.0.1", port))
            async with client.stream:
                assert (await client.ask("a", "look")).target == "200"
            # Not one call was answered, and the first was not given up either: no time-out was waited for.
            assert discovery.closed == 0 or tells is refusing
            assert node.returncode is None
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("spoil", ["torn", "locked", "another's"])
async def test_what_lies_in_the_folder_holds_up_no_start(spoil: str, tmp_path: Path) -> None:
    backend, discovery = FakeServer(lambda _: reply(200)), FakeServer(silent)
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        await tasks.start(discovery.serve)
        file = config([list_line(0, backend.port)], discovery.port) | {"listen": f"127.0.0.1:{free_port()}"}
        port = int(file["listen"].rpartition(":")[2])
        async with process(tmp_path, file):
            await first_yes(port)
        written = [path for path in tmp_path.iterdir() if path.name.startswith("thornladder-")]
        assert written
        for path in written:
            if spoil == "torn":
                path.write_bytes(path.read_bytes()[:7] + b"\xff\x00")
            elif spoil == "locked":
                path.unlink()
                path.mkdir()  # neither read nor written
            else:
                path.write_bytes(b'1 00000000\n{"node":"x"}')
        async with process(tmp_path, file):
            await first_yes(port)
            assert (await ask(port)).target == "200"
        tasks.cancel_scope.cancel()


async def ask(port: int) -> ReceivedMessage:
    client = Client(await anyio.connect_tcp("127.0.0.1", port))
    async with client.stream:
        return await client.ask("b", "look")
