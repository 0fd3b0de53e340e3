"""Disks that are full, broken or slow, under a node's state files and under its log: it serves on."""

from __future__ import annotations

import errno
import fcntl
import json
import os
import select
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import anyio
import pytest
from harness import FakeServer, config, list_line, node_process, reply, script_command
from test_process import connect
from test_start import ask, free_port, wait_until_ready

from thornladder.node.log_output import LogOutput

pytestmark = pytest.mark.anyio

# A node whose writes to files of state fail from the beginning.
NODE_WITH_FAILING_WRITES = """
import os, sys
from pathlib import Path
from thornladder.__main__ import main

def fail(*_):
    raise OSError({number}, os.strerror({number}))

os.pwrite = Path.write_bytes = Path.replace = fail
sys.exit(main())
"""


# Found by reading: where the first write to the folder failed a node did not start, or started and never
# accepted, with its clients' connections waiting in the kernel.
@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
async def test_a_node_starts_and_serves_though_nothing_can_be_written(error: str, tmp_path: Path) -> None:
    backend, port = FakeServer(lambda _: reply(200)), free_port()
    script = NODE_WITH_FAILING_WRITES.format(number=getattr(errno, error))
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        document = config([list_line(0, backend.port)], free_port()) | {"listen": f"127.0.0.1:{port}"}
        async with node_process(tmp_path, document, script_command(script)) as process:
            await wait_until_ready(port)
            assert (await ask(port)).target == "200"
            process.terminate()
            assert await process.wait() == 0
        tasks.cancel_scope.cancel()


@contextmanager
def full_pipe() -> Iterator[tuple[int, int]]:
    """A pipe that takes no more bytes: its reading and its writing end."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writing, True)
    try:
        yield reading, writing
    finally:
        os.close(reading)
        os.close(writing)


# Found by reading: a reader of the log that does not read stopped the node in the middle of a log line.
async def test_a_log_that_nobody_reads_holds_up_no_request(tmp_path: Path) -> None:
    backend, port = FakeServer(lambda _: reply(200)), free_port()
    async with anyio.create_task_group() as tasks:
        await tasks.start(backend.serve)
        document = config([list_line(0, backend.port)], free_port()) | {"listen": f"127.0.0.1:{port}"}
        with full_pipe() as (_, writing):
            async with node_process(tmp_path, document, stderr=writing) as process:
                await wait_until_ready(port)
                client = await connect(port)
                assert (await client.ask("a", "look")).target == "200"
                process.terminate()
                assert await process.wait() == 0
        tasks.cancel_scope.cancel()


def test_lines_that_find_no_room_in_the_log_are_counted_there_later() -> None:
    with full_pipe() as (reading, writing):
        output = LogOutput(writing)
        for number in range(3):
            output.write(f"lost {number}\n")
        while select.select([reading], [], [], 0.0)[0]:
            os.read(reading, 65536)
        output.write("written\n")
        lost, written = os.read(reading, 65536).decode().splitlines()
    assert json.loads(lost)["lines"] == 3 and written == "written"


def test_a_line_that_is_longer_than_the_room_in_the_log_ends_there() -> None:
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, 4 * select.PIPE_BUF)
    output = LogOutput(writing)
    output.write("y" * 40 * select.PIPE_BUF + "\n")
    received = os.read(reading, 64 * select.PIPE_BUF)
    output.write("written\n")
    following = os.read(reading, 64 * select.PIPE_BUF).decode().splitlines()
    assert set(received) == {ord("y")} and following[0] == "" and following[-1] == "written"
    assert json.loads(following[1])["lines"] == 1
    os.close(reading)
    os.close(writing)
