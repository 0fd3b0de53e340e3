"""Unexpected errors on a client's connection: a request that the node has taken is answered all the same."""

from __future__ import annotations

from typing import Any

import pytest
from harness import LoopbackCluster, ReceivedMessage, reply, wait_until

from thornladder.node.clients.connection import ClientConnection

pytestmark = pytest.mark.anyio


def hang_on_pay(message: ReceivedMessage) -> bytes | None:
    return None if message.target == "/pay" else reply(200)


def fail_once(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, error: Exception) -> None:
    """Makes the next call of a method raise an error."""
    original = getattr(owner, name)

    def call(*args: Any, **kwargs: Any) -> Any:
        monkeypatch.setattr(owner, name, original)
        raise error

    monkeypatch.setattr(owner, name, call)


# Found by reading: an error in a sweep ended the connection that it concerned, with its request unanswered.
async def test_an_error_in_a_sweep_leaves_no_request_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    async with LoopbackCluster(hang_on_pay) as cluster:
        client = await cluster.client()
        await client.send("a", "pay", 900, b"x")
        await wait_until(lambda: cluster.backends[0].received)
        fail_once(monkeypatch, ClientConnection, "enforce_timeouts", AttributeError("unexpected"))
        answer = await client.answer()
        assert (answer.target, answer.headers["connection"]) == ("502", "close")


# Found by reading: an error while a request was handled ended its connection without an answer.
@pytest.mark.parametrize("step", ["_process_events", "_handle_message"])
async def test_an_error_while_a_request_is_handled_leaves_it_not_unanswered(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with LoopbackCluster(lambda _: reply(200)) as cluster:
        client = await cluster.client()
        assert (await client.ask("a0", "look")).target == "200"
        fail_once(monkeypatch, ClientConnection, step, AttributeError("unexpected"))
        assert (await client.ask("a1", "pay", 900, b"x")).target == "502"
        assert [message.headers["x-call-id"] for message in cluster.backends[0].received] == ["a0"]
