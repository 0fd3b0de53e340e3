"""A push that repeats one that may have run is sent within the offering's window, or not at all."""

from __future__ import annotations

import copy

import anyio
import pytest
from harness import SETTINGS, FakeHost, FakeServer, LoopbackCluster, ReceivedMessage, entry, reply, wait_until

from thornladder.interface import Outcome, State
from thornladder.node.backends.pool import Pool
from thornladder.node.http1 import Failure, UpstreamConnection

pytestmark = pytest.mark.anyio
WINDOW_SECONDS = 0.2


@pytest.mark.parametrize("late", [True, False])
async def test_repeat_is_not_sent_if_the_window_ends_while_its_connection_is_set_up(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Regression: with short windows and connections that took up to 1.5 s, a repeat that was decided within
    # the window was sent after it.
    window_settings = copy.deepcopy(SETTINGS)
    window_settings["Classes"][2] |= {
        "Window": round(WINDOW_SECONDS * 1e6),
        "HardLimit": 3000000,
        "Aim": 900000,
        "Group": "all",
    }
    push_times: list[float] = []
    acquire, connection_ready, gate = Pool.acquire, anyio.Event(), anyio.Event()

    async def acquire_behind_gate(
        pool: Pool, backend: str, address: tuple[str, int]
    ) -> UpstreamConnection | Failure:
        connection = await acquire(pool, backend, address)
        if push_times:
            connection_ready.set()
            await gate.wait()
        return connection

    monkeypatch.setattr(Pool, "acquire", acquire_behind_gate)

    def break_off(got: ReceivedMessage) -> bytes:
        if got.headers.get("x-call-id") != "aa":
            return reply(200)
        push_times.append(anyio.current_time())
        return b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" + FakeServer.CUT

    async with LoopbackCluster(break_off, break_off, info=window_settings) as cluster:
        client = await cluster.client()
        await client.send("aa", "book", 2900, b"x")
        await connection_ready.wait()
        if late:
            await wait_until(lambda: anyio.current_time() > push_times[0] + WINDOW_SECONDS)
        gate.set()
        answer = await client.answer()
        # On a machine of any speed the repeat is sent within the window, or there is none.
        assert all(at - push_times[0] < WINDOW_SECONDS for at in push_times[1:])
        if late:
            assert len(push_times) == 1 and answer.target in ("502", "503")


def test_repeat_is_given_the_rest_of_its_window_to_be_sent() -> None:
    host = FakeHost(3)
    send_within: list[float] = []
    push = host.push
    host.push = lambda id, backend, timeout, within: (  # type: ignore
        send_within.append(within),
        push(id, backend, timeout, within),
    )
    host.send_list([entry(n, State.RUNNING) for n in range(6)])
    host.submit("a", "mark")
    host.advance(0.1)
    host.end_push("a", 0, Outcome.CONNECTION_LOST)
    assert send_within[0] == float("inf") and 0.0 < send_within[1] <= 0.4 - 0.1
    host.submit("b", "look")
    host.end_push("b", 0, Outcome.CONNECTION_LOST)
    assert send_within[2:] == [float("inf")] * 2
