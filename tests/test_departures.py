"""Backends of which a process of a node was told that they leave, and the process that takes over from it."""

from __future__ import annotations

import dataclasses
import errno
import os
import signal
from pathlib import Path

import anyio
import pytest
from harness import ReceivedMessage, list_line, list_reply
from test_operations import answer, entry
from test_state_ownership import GRACE_SECONDS, FakeProcess, settings_of
from test_upgrade import NodeProcesses, done

from thornladder.interface import Entry, ListKind, State
from thornladder.node.handover import DepartureStore
from thornladder.node.maintenance import NO_DEPARTURES, Departures, Maintenance
from thornladder.node.messages import DiscoveryResponse
from thornladder.node.state_files import StateFile


def listed(*entries: Entry, version: int = 1, kind: ListKind = ListKind.SNAPSHOT) -> DiscoveryResponse:
    """A list of this version."""
    return dataclasses.replace(answer(*entries, kind=kind), version=version)


# review/10: a process that started while discovery was down used the list of its configuration, and sent
# requests to a backend that the process before it had been told to drain.
@pytest.mark.anyio
@pytest.mark.parametrize("lifecycle", ["terminating", "terminated"])
async def test_a_backend_that_left_stays_out_over_an_upgrade_without_discovery(
    lifecycle: str, tmp_path: Path
) -> None:
    async with NodeProcesses(tmp_path, done, done, done) as processes:
        leaving = processes.backends[0]

        def tell(message: ReceivedMessage) -> bytes | None:
            if message.target.endswith("from=1&hold_ms=0"):
                return list_reply(2, list_line(0, leaving.port, lifecycle))
            return None

        processes.discovery.answer = tell
        old, admin = await processes.run(settings_of("look"))
        await processes.wait_ready(admin)
        await anyio.sleep(GRACE_SECONDS)
        count = len(leaving.received)
        processes.discovery.answer = lambda _: b""  # closes the connection of each call
        new, admin = await processes.run(settings_of("look", "read"))
        await processes.wait_ready(admin)
        old.send_signal(signal.SIGTERM)
        for batch in range(3):
            clients = [await processes.client() for _ in range(20)]
            for number, client in enumerate(clients):
                await client.send(f"a{batch}-{number}", "look")
            # Nothing is pushed once the list is too old.
            assert {(await client.answer()).target for client in clients} <= {"200", "503"}
        assert len(leaving.received) == count
        new.kill()


def test_only_what_was_told_later_than_a_process_knows_is_taken() -> None:
    told = Maintenance()
    told.apply(listed(entry("a"), entry("b"), entry("c"), entry("d")), 60.0)
    told.apply(listed(entry("b", State.DRAINING), kind=ListKind.DELTA), 61.0)
    told.apply(listed(entry("a"), entry("c"), entry("d"), version=2), 62.0)  # b drained, then left
    told.apply(listed(entry("c", State.GONE), kind=ListKind.DELTA, version=3), 63.0)
    told.apply(listed(entry("d", State.DRAINING), kind=ListKind.DELTA, version=4), 64.0)
    assert told.departures == Departures(4, {"b": State.DRAINING, "c": State.GONE, "d": State.DRAINING})
    for version, expected in ((3, ["b", "d"]), (4, None), (5, None)):
        starting = Maintenance()
        starting.apply(listed(entry("a"), entry("b"), entry("d"), version=version), 65.0)
        changes = starting.take_departures(told.departures, 66.0)
        if expected is None:
            assert changes is None
        else:
            assert [(line.backend, line.state) for line in changes.entries] == [
                (id, State.DRAINING) for id in expected
            ]
            assert changes.kind is ListKind.DELTA and starting.version == version
            assert starting.take_departures(told.departures, 67.0) is None
    assert Maintenance().take_departures(told.departures, 68.0) is None  # it has no list yet
    [back] = told.apply(listed(entry("d"), kind=ListKind.DELTA, version=6), 69.0).entries
    assert back.state is State.RUNNING and "d" not in told.departures.states


def test_departures_are_written_when_they_change_and_survive_torn_files(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    departures = Departures(7, {"a": State.DRAINING, "b": State.GONE})
    writer, reader = DepartureStore(str(tmp_path), "n"), DepartureStore(str(tmp_path), "n")
    assert reader.load_if_changed() == NO_DEPARTURES
    writer.save(departures, 100.0)
    assert reader.load_if_changed() == departures and reader.load_if_changed() == NO_DEPARTURES
    fingerprint = writer.file.fingerprint()
    writer.save(departures, 102.0)
    writer.save(departures._replace(version=8), 100.5)  # too soon
    assert writer.file.fingerprint() == fingerprint
    for now in (101.5, 50.0):  # in time, and after a step of the clock
        changed = departures._replace(version=round(now))
        writer.save(changed, now)
        assert reader.load_if_changed() == changed
    StateFile(str(tmp_path), "n", "departures").write(
        {"version": 8, "backends": [{"id": "a", "state": "odd"}]}
    )
    assert reader.load_if_changed() == NO_DEPARTURES
    writer.file.path.write_bytes(b"torn")
    assert reader.load_if_changed() == NO_DEPARTURES


def test_a_full_disk_is_logged_once_and_departures_are_written_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    process = FakeProcess(tmp_path, settings_of("look"), lambda: 1000.0)
    process.host.clock = lambda: 1002.0  # later than the first write
    process.host.maintenance.apply(listed(entry("s1"), entry("s2"), version=2), 1001.0)

    def fail(*_: object) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as context:
        context.setattr(Path, "write_bytes", fail)
        for _ in range(3):
            process.sync()
    events = [event for event, _ in process.log.lines]
    assert events.count("the backends that leave could not be written") == 1
    process.sync()
    reader = DepartureStore(str(tmp_path), "n")
    reader.file.adopt(process.handover.registry.owner)
    assert reader.load_if_changed() == Departures(2, {"s0": State.GONE})
    process.kill()
