"""Ids of requests: one that is open, or that may have run, is not taken again."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest
from harness import LoopbackCluster, ReceivedMessage, RecordingLog, reply, wait_until

from thornladder.node.request_ids import MAX_REMEMBERED, REMEMBERED_SECONDS, RequestIds, SharedIds

pytestmark = pytest.mark.anyio


def hang_on_pay(message: ReceivedMessage) -> bytes | None:
    return None if message.target == "/pay" else reply(200)


# Report 98e2ab (d): the id of a once-only request came again after its client had left, and ran twice.
async def test_an_id_whose_client_has_left_does_not_run_again() -> None:
    async with LoopbackCluster(hang_on_pay, hang_on_pay) as cluster:
        client = await cluster.client()
        await client.send("a", "pay", 900, b"x")
        await wait_until(lambda: sum(len(backend.received) for backend in cluster.backends) == 1)
        await client.stream.aclose()
        await anyio.sleep(0.1)
        assert (await cluster.ask("a", "pay", 900, b"x")).target == "400"
        assert sum(len(backend.received) for backend in cluster.backends) == 1


# Issue 62, item 2: an id counted as free while its large answer was on its way, and ran twice.
async def test_an_id_is_open_until_its_answer_has_been_written() -> None:
    def answer(message: ReceivedMessage) -> bytes:
        return reply(200, bytes(3_000_000) if message.target == "/look" else b"done")

    async with LoopbackCluster(answer) as cluster:
        client = await cluster.client()
        await client.send("a", "look", 900)
        await client.stream.receive(100)
        for offering in ("look", "pay"):
            assert (await cluster.ask("a", offering, 900, b"x")).target == "400"
        received = 0
        while received < 3_000_000:
            received += len(await client.stream.receive())
        await wait_until(lambda: cluster.backends[0].received)
        assert (await cluster.ask("a", "look", 900)).target == "200"
        assert [message.target for message in cluster.backends[0].received] == ["/look", "/look"]


async def test_an_id_that_cannot_have_run_may_come_again() -> None:
    def reject_first(_: ReceivedMessage) -> bytes:
        has_answered = len(cluster.backends[0].received) > 3
        return reply(200) if has_answered else reply(503, X_Rejected="1")

    async with LoopbackCluster(reject_first) as cluster:
        statuses = [(await cluster.ask("a", "pay", 900, b"x")).target for _ in range(6)]
        assert statuses[0] == "503" and "400" not in statuses[: statuses.index("200")]


def test_what_may_have_run_is_remembered_for_a_while_and_not_without_bound() -> None:
    now = [100.0]
    ids = RequestIds(lambda: now[0])
    assert ids.open("a") and not ids.open("a")
    ids.hold("a")
    ids.release("a", may_have_run=True)
    assert not ids.open("a")  # its answer is being written
    ids.release("a")
    assert not ids.open("a")
    assert ids.open("b")
    ids.release("b")
    assert ids.open("b")
    now[0] += REMEMBERED_SECONDS + 0.1
    assert ids.open("a")
    for number in range(MAX_REMEMBERED + 10):
        assert ids.open(f"c{number}")
        ids.release(f"c{number}", may_have_run=True)
    assert ids.open("c0") and not ids.open(f"c{MAX_REMEMBERED}")


# Report 98e2ab (d): an id ran again at the other process of an upgrade.
def test_an_id_that_is_open_in_one_process_of_a_node_is_not_taken_by_another(tmp_path: Path) -> None:
    log = RecordingLog()
    processes = [RequestIds(lambda: 100.0) for _ in range(2)]
    for ids in processes:
        ids.shared = SharedIds(tmp_path / "ids", log)
    first, second = processes
    assert first.open("a") and not second.open("a") and second.open("b")
    first.release("a")
    assert second.open("a") and not first.open("a")
    second.release("a", may_have_run=True)
    assert not first.open("a")
    assert not log.lines
