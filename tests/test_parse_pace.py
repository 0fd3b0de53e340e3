"""Clients whose bytes cost much time for what they carry leave time for others."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import anyio
import pytest
from harness import LoopbackCluster, reply
from test_memory_limits import DEADLINE_SECONDS, GRACE_SECONDS, Outcome, ask, loaded_node

from thornladder.rig.crowd import CrowdKind

pytestmark = pytest.mark.anyio
PLAY_SECONDS = 3.0


# Report 98e2ab (c), issue 62 item 6: one client that sent a body in chunks of one byte took most of a core.
@pytest.mark.parametrize("size", [1, 5, 20], ids=str)
async def test_bodies_in_chunks_of_one_byte_leave_time_for_others(size: int, tmp_path: Path) -> None:
    outcome = Outcome()
    async with loaded_node(tmp_path, CrowdKind.TINY_CHUNKS, 96, size=size) as (_, port):
        await anyio.sleep(0.5)
        until, number = anyio.current_time() + PLAY_SECONDS, 0
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                tasks.start_soon(ask, port, f"sound{number}", outcome)
                number += 1
                await anyio.sleep(0.05)
    assert max(outcome.seconds) <= DEADLINE_SECONDS + GRACE_SECONDS
    counts = Counter(outcome.statuses)
    assert set(counts) <= {"200", "503"} and counts["200"] >= 0.9 * number


# A sound client may send small chunks too.
@pytest.mark.parametrize("chunk_bytes", [1, 16], ids=str)
async def test_a_sound_body_in_small_chunks_is_served(chunk_bytes: int) -> None:
    body = bytes(range(256)) * 4
    parts = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (*parts, b""))
    async with LoopbackCluster(lambda _: reply(200)) as cluster:
        client = await cluster.client()
        head = b"POST /pay HTTP/1.1\r\nHost: a\r\nX-Call-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        await client.stream.send(head + chunks)
        assert (await client.answer_to("a")).target == "200"
        assert cluster.backends[0].received[0].body == body
