"""A repeat of what may have run begins within the window of its class, or not at all."""

from __future__ import annotations

import copy

import anyio
import pytest
from harness import SETTINGS, FakeHost, FakeServer, LoopbackCluster, ReceivedMessage, entry, reply, wait_until

from thornladder.interface import Outcome, State
from thornladder.node.backends.pool import Pool
from thornladder.node.http1 import Failure, UpstreamConnection

pytestmark = pytest.mark.anyio
WINDOW = 0.2  # seconds


@pytest.mark.parametrize("late", [True, False])
async def test_a_window_that_ends_while_a_connection_comes_up_ends_the_repeat(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Short windows, connections up to 1.5 s late: what was decided within the window went out after it.
    info = copy.deepcopy(SETTINGS)
    info["Classes"][2] |= {"Window": round(WINDOW * 1e6), "HardLimit": 3000000, "Aim": 900000, "Group": "all"}
    begun: list[float] = []
    get, waiting, gate = Pool.acquire, anyio.Event(), anyio.Event()

    async def held(pool: Pool, backend: str, address: tuple[str, int]) -> UpstreamConnection | Failure:
        line = await get(pool, backend, address)
        if begun:
            waiting.set()
            await gate.wait()
        return line

    monkeypatch.setattr(Pool, "acquire", held)

    def breaks(got: ReceivedMessage) -> bytes:
        if got.headers.get("x-call-id") != "aa":
            return reply(200)
        begun.append(anyio.current_time())
        return b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" + FakeServer.CUT

    async with LoopbackCluster(breaks, breaks, info=info) as bank:
        client = await bank.client()
        await client.send("aa", "book", 2900, b"x")
        await waiting.wait()
        if late:
            await wait_until(lambda: anyio.current_time() > begun[0] + WINDOW)
        gate.set()
        answer = await client.answer()
        # Any machine: a repeat was begun within the window, or there was none and the answer came at once.
        assert all(at - begun[0] < WINDOW for at in begun[1:])
        if late:
            assert len(begun) == 1 and answer.target in ("502", "503")


def test_a_repeat_that_may_not_wait_past_its_window_is_told_so() -> None:
    bench = FakeHost(3)
    by: list[float] = []
    push = bench.push
    bench.push = lambda id, to, out, begin: (by.append(begin), push(id, to, out, begin))  # type: ignore
    bench.send_list([entry(n, State.RUNNING) for n in range(6)])
    bench.submit("a", "mark")
    bench.advance(0.1)
    bench.end_push("a", 0, Outcome.CONNECTION_LOST)
    assert by[0] == float("inf") and 0.0 < by[1] <= 0.4 - 0.1
    bench.submit("b", "look")
    bench.end_push("b", 0, Outcome.CONNECTION_LOST)
    assert by[2:] == [float("inf")] * 2
