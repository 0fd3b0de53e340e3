"""A node told to end answers each request that it has read, and ends before the platform kills it."""

from __future__ import annotations

import copy
import signal
from pathlib import Path
from typing import Any

import anyio
import pytest
from harness import SETTINGS, FakeServer, ReceivedMessage, reply
from test_process import connect, running_node

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
