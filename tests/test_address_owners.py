"""A new process at the address of one that has gone is not taken for it."""

from __future__ import annotations

import anyio
import pytest
from harness import FakeServer, LoopbackCluster, ReceivedMessage, list_line, list_reply, reply, wait_until

from thornladder.interface import Entry, ListKind, State
from thornladder.node.address_owners import AddressOwners
from thornladder.node.messages import DiscoveryResponse

pytestmark = pytest.mark.anyio
HERE, THERE = ("127.0.0.1", 1), ("127.0.0.1", 2)


def listed(id: str, started_at: float | None = None, state: State = State.RUNNING) -> Entry:
    return Entry(id, state, "x", 0, 1.0, started_at, "plain")


def resolve(
    owners: AddressOwners, kind: ListKind, *entries: tuple[Entry, tuple[str, int] | None]
) -> dict[str, State]:
    addresses = {entry.backend: address for entry, address in entries if address is not None}
    answer = owners.resolve(DiscoveryResponse(1, kind, [entry for entry, _ in entries], addresses))
    assert {entry.backend for entry in answer.entries if entry.state is not State.GONE} == set(
        answer.addresses
    )
    return {entry.backend: entry.state for entry in answer.entries}


def test_the_backend_listed_later_at_an_address_owns_it() -> None:
    owners = AddressOwners()
    resolve(owners, ListKind.SNAPSHOT, (listed("old"), HERE), (listed("other"), THERE))
    assert resolve(owners, ListKind.DELTA, (listed("new"), HERE)) == {"new": State.RUNNING, "old": State.GONE}
    # News of the old one come late.
    late_drain = (listed("old", state=State.DRAINING), HERE)
    assert resolve(owners, ListKind.DELTA, late_drain) == {"old": State.GONE}
    assert resolve(owners, ListKind.DELTA, (listed("old", state=State.GONE), None)) == {"old": State.GONE}
    assert resolve(owners, ListKind.DELTA, (listed("other"), THERE)) == {"other": State.RUNNING}


def test_of_two_at_an_address_the_one_that_started_later_owns_it_in_any_order() -> None:
    for entries in ([listed("new", 50.0), listed("old", 10.0)], [listed("old", 10.0), listed("new", 50.0)]):
        owners = AddressOwners()
        states = resolve(owners, ListKind.SNAPSHOT, *((entry, HERE) for entry in entries))
        assert states == {"new": State.RUNNING, "old": State.GONE}
        assert resolve(owners, ListKind.DELTA, (listed("old", 10.0), HERE)) == {"old": State.GONE}
        assert resolve(owners, ListKind.DELTA, (listed("old", 10.0), THERE)) == {"old": State.RUNNING}


def changed_list(cluster: LoopbackCluster, *lines: dict) -> None:
    """Makes discovery tell these changes."""
    update = list_reply(2, *lines)
    cluster.discovery.answer = lambda message: update if "from=1" in message.target else None


# Report 98e2ab (e): the new process at an address got the traffic of the one before, beside its own.
async def test_a_backend_whose_address_another_one_has_gets_nothing_more() -> None:
    async with LoopbackCluster(lambda _: reply(200), lambda _: reply(200)) as cluster:
        new = {**list_line(7, cluster.backends[0].port), "zone": "y"}
        changed_list(cluster, new)
        for stream in list(cluster.discovery.streams):
            await stream.aclose()
        await wait_until(lambda: any("from=2" in message.target for message in cluster.discovery.received))
        status = (await cluster.call("GET", "/status"))[1]
        assert status["backends"] == 2


# A backend that has started anew forgets the connections to the process before; its machine had vanished, so
# that nothing has told this node.
async def test_connections_to_the_process_before_are_not_used() -> None:
    def answer(message: ReceivedMessage) -> bytes | None:
        return reply(200) if not restarted or new_connection() else FakeServer.RESET

    def new_connection() -> bool:
        return cluster.backends[0].opened > 1

    restarted: list[bool] = []
    async with LoopbackCluster(answer) as cluster:
        assert (await cluster.ask("a", "pay", 900, b"x")).target == "200"
        restarted.append(True)
        changed_list(cluster, {**list_line(0, cluster.backends[0].port), "startedAtMs": 5})
        for stream in list(cluster.discovery.streams):
            await stream.aclose()
        await wait_until(lambda: any("from=2" in message.target for message in cluster.discovery.received))
        await anyio.sleep(0.05)
        assert (await cluster.ask("b", "pay", 900, b"x")).target == "200"
