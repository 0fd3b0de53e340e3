"""From the start of a process until it is ready: no step waits for the timeout of another service."""

from __future__ import annotations

import errno
import socket
import subprocess
from collections.abc import Callable
from pathlib import Path

import anyio
import pytest
from harness import (
    READY_REQUEST,
    Client,
    FakeServer,
    ReceivedMessage,
    RecordingLog,
    config,
    list_line,
    node_process,
    reply,
)

from thornladder import settings
from thornladder.node import messages, service

pytestmark = pytest.mark.anyio


async def wait_until_ready(port: int) -> None:
    with anyio.fail_after(30.0):  # the deployment's limit; the tests check that nothing is waited for
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


def free_port() -> int:
    with socket.socket() as probe_socket:
        probe_socket.bind(("127.0.0.1", 0))
        return probe_socket.getsockname()[1]


def silent(_: ReceivedMessage) -> bytes | None:
    return None


def refusing(_: ReceivedMessage) -> bytes:
    return reply(503)


@pytest.mark.parametrize("discovery_reply", [silent, refusing, None], ids=["silent", "refusing", "down"])
async def test_process_is_ready_and_serves_before_discovery_answers(
    discovery_reply: Callable[[ReceivedMessage], bytes | None] | None, tmp_path: Path
) -> None:
    # Readiness must not depend on discovery, which may be overloaded or down.
    backend, discovery = FakeServer(lambda _: reply(200)), FakeServer(discovery_reply or silent)
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        await tasks.start(discovery.serve)
        file = config([list_line(0, backend.port)], discovery.port if discovery_reply else free_port())
        file["listen"] = f"127.0.0.1:{free_port()}"
        async with node_process(tmp_path, file, stderr=subprocess.DEVNULL) as child:
            port = int(file["listen"].rpartition(":")[2])
            await wait_until_ready(port)
            client = Client(await anyio.connect_tcp("127.0.0.1", port))
            async with client.stream:
                assert (await client.ask("a", "look")).target == "200"
            # No request was answered, and the first one has not been given up: no timeout was waited for.
            assert discovery.closed == 0 or discovery_reply is refusing
            assert child.returncode is None
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("damage", ["truncated", "locked", "foreign"])
async def test_damaged_state_files_do_not_delay_the_start(damage: str, tmp_path: Path) -> None:
    backend, discovery = FakeServer(lambda _: reply(200)), FakeServer(silent)
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        await tasks.start(discovery.serve)
        file = config([list_line(0, backend.port)], discovery.port) | {"listen": f"127.0.0.1:{free_port()}"}
        port = int(file["listen"].rpartition(":")[2])
        async with node_process(tmp_path, file, stderr=subprocess.DEVNULL):
            await wait_until_ready(port)
        written = [path for path in tmp_path.iterdir() if path.name.startswith("thornladder-")]
        assert written
        for path in written:
            if damage == "truncated":
                path.write_bytes(path.read_bytes()[:7] + b"\xff\x00")
            elif damage == "locked":
                path.unlink()
                path.mkdir()  # can be neither read nor written
            else:
                path.write_bytes(b'1 00000000\n{"node":"x"}')
        async with node_process(tmp_path, file, stderr=subprocess.DEVNULL):
            await wait_until_ready(port)
            assert (await ask(port)).target == "200"
        tasks.cancel_scope.cancel()


async def ask(port: int) -> ReceivedMessage:
    client = Client(await anyio.connect_tcp("127.0.0.1", port))
    async with client.stream:
        return await client.ask("b", "look")


# Found by reading: a start that failed at the admin address had opened the address of clients before, and
# reset what the kernel had accepted there.
async def test_a_start_that_fails_takes_no_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    opened: list[settings.Address] = []

    def create_listener(address: settings.Address) -> socket.socket:
        opened.append(address)
        raise OSError(errno.EADDRINUSE, "Address already in use")

    monkeypatch.setattr(service, "_create_listener", create_listener)
    document = config([], free_port()) | {"admin_addr": f"127.0.0.1:{free_port()}"}
    node_config = settings.decode(document, {})
    with pytest.raises(OSError, match="in use"):
        await service.run(node_config, messages.EMPTY_LIST, RecordingLog())
    assert opened == [node_config.admin]
