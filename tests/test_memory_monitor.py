"""What a process has against its limit: levels, grants, and what is given up at each."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

import anyio
import pytest
from harness import Client, FakeServer, LoopbackCluster, RecordingLog, reply
from test_process import connect, running_node

from thornladder.node.clients.front import Front
from thornladder.node.clients.memory_relief import MemoryRelief
from thornladder.node.clients.server_state import ServerState
from thornladder.node.memory import usage
from thornladder.node.memory.budget import MemoryBudget
from thornladder.node.memory.monitor import MemoryLevel, MemoryLimits, MemoryMonitor
from thornladder.node.memory.plan import MemoryPlan
from thornladder.node.streams import STREAM_CLOSED_ERRORS
from thornladder.rig.process_memory import MemorySampler

pytestmark = pytest.mark.anyio
MEBIBYTE = 2**20
LIMITS = MemoryLimits(limit=100 * MEBIBYTE, at_rest=40 * MEBIBYTE)
HALF_REQUEST = b"POST /pay HTTP/1.1\r\nHost: a\r\nX-Call-Id: half%d\r\nContent-Length: 5000\r\n\r\nx"


class StalledConnection:
    """Stands in for a client's connection whose request stands still."""

    is_incomplete, was_given_up = True, False

    def stalled_seconds(self, now: float) -> float:
        return 1.0

    def give_up(self) -> None:
        self.was_given_up = True


def monitor(log: RecordingLog, sockets: int = 100) -> MemoryMonitor:
    made = MemoryMonitor(LIMITS, MemoryBudget(2**30), tuple, anyio.current_time, log)
    made.socket_count = lambda: sockets
    return made


def set_resident(monkeypatch: pytest.MonkeyPatch, mebibytes: int) -> None:
    monkeypatch.setattr(usage, "resident_bytes", lambda: mebibytes * MEBIBYTE)


@pytest.mark.parametrize(
    ("free", "level"),
    [
        (40, MemoryLevel.PLENTIFUL),
        (30, MemoryLevel.MODERATE),
        (29, MemoryLevel.LOW),
        (19, MemoryLevel.SCARCE),
        (9, MemoryLevel.EXHAUSTED),
        (-1, MemoryLevel.EXHAUSTED),
    ],
)
def test_the_level_follows_from_what_is_free(free: int, level: MemoryLevel) -> None:
    assert LIMITS.reserve == 10 * MEBIBYTE
    assert LIMITS.level(free * MEBIBYTE) is level


def test_a_limit_below_rest_leaves_some_room_all_the_same() -> None:
    assert MemoryLimits(limit=32 * MEBIBYTE, at_rest=40 * MEBIBYTE).room == 8 * MEBIBYTE


# Report 73ddd4: what waits unaccepted is in memory, and a request in a long queue is answered late.
@pytest.mark.parametrize(("limit", "queued"), [(192, 256), (96, 256), (64, 238), (32, 128)])
def test_the_queue_of_the_listening_socket_is_as_long_as_memory_allows(limit: int, queued: int) -> None:
    plan = MemoryPlan(limit * MEBIBYTE, 29 * MEBIBYTE)
    assert plan.queued_connections(Front.BACKLOG) == queued


# Report 73ddd4: charges were granted up to their limit whatever the process really had.
async def test_nothing_is_granted_that_the_measure_has_no_room_for(monkeypatch: pytest.MonkeyPatch) -> None:
    set_resident(monkeypatch, 85)
    memory = monitor(RecordingLog())
    memory.sample()
    memory.budget.overdraft_holder = object()
    assert memory.level is MemoryLevel.SCARCE
    assert not memory.budget.has_room(1, object())
    set_resident(monkeypatch, 50)
    memory.sample()
    assert memory.budget.has_room(MEBIBYTE, object())


async def test_few_connections_are_served_though_the_allocator_keeps_what_was_freed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    set_resident(monkeypatch, 99)
    memory = monitor(RecordingLog(), sockets=MemoryMonitor.FEW_SOCKETS)
    memory.sample()
    assert memory.level is MemoryLevel.MODERATE
    assert memory.budget.has_room(64 * 1024, object())


async def test_what_is_short_is_logged_and_relieved(monkeypatch: pytest.MonkeyPatch) -> None:
    set_resident(monkeypatch, 97)
    asked: list[tuple[MemoryLevel, int]] = []
    log = RecordingLog()
    memory = monitor(log)
    memory.relieve = lambda level, missing: asked.append((level, missing)) or 2
    memory.sample()
    assert asked == [(MemoryLevel.EXHAUSTED, 27 * MEBIBYTE)]
    assert memory.relieved_count == 2
    assert any("memory is short" in str(line) for line in log.lines)


async def test_without_a_measure_the_charges_go_on_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    set_resident(monkeypatch, 0)
    log = RecordingLog()
    memory = monitor(log)
    memory.refresh()
    assert memory.level is MemoryLevel.MODERATE
    assert memory.budget.has_room(2**29, object())
    assert len(log.lines) == 1


# Report 73ddd4: crowds sat on all connections, and sound requests were refused for as long as they did.
async def test_a_request_that_stands_still_gives_its_place_to_a_new_one() -> None:
    async with LoopbackCluster(lambda _: reply(200), sockets=64) as cluster:
        stalled = [await cluster.client() for _ in range(60)]  # more than it takes
        for number, client in enumerate(stalled):
            with suppress(*STREAM_CLOSED_ERRORS):
                await client.stream.send(HALF_REQUEST % number)
        await anyio.sleep(0.3)
        answers = [await (await cluster.client()).ask(f"new{number}", "look") for number in range(5)]
        assert [answer.target for answer in answers] == ["200"] * 5
        for client in stalled:
            await client.stream.aclose()


# A connection that had ended since the search counted as one that gave its place.
async def test_a_connection_that_has_ended_gives_no_place() -> None:
    state = ServerState(
        None, {}, lambda: 100.0, MemoryBudget(2**20), lambda: False, lambda *_: None, RecordingLog()
    )
    ended = StalledConnection()
    connections = {ended}
    relief = MemoryRelief(connections, state, lambda connection, action: action())
    relief._list_stalled(100.0)
    connections.clear()
    assert not relief.give_place()
    assert not ended.was_given_up


async def test_the_sampler_reads_the_memory_of_a_process(tmp_path: Path) -> None:
    async with running_node(tmp_path, FakeServer(lambda _: reply(200))) as (process, port):
        client: Client = await connect(port)
        assert (await client.ask("a", "look")).target == "200"
        sampler = MemorySampler(process.pid, port)
        sampler.sample_kernel()
        sampler.sample()
        assert 10.0 < sampler.resident_and_kernel < 100.0
