"""The second address: operators' calls, maintenance of backends by hand, clients sent away."""

from __future__ import annotations

import json
import os
import random
from pathlib import Path

import anyio
import pytest
from harness import (
    READY_REQUEST,
    LoopbackCluster,
    ReceivedMessage,
    config,
    list_line,
    list_reply,
    read_reply,
    reply,
    wait_until,
)
from test_process import NODE_COMMAND

from thornladder.interface import Entry, ListKind, State
from thornladder.node.admin.calls import MAX_BODY_BYTES
from thornladder.node.admin.server import AdminServer
from thornladder.node.clients.front import Front
from thornladder.node.handover import MaintenanceStore, StateFile
from thornladder.node.maintenance import Maintenance, MaintenanceMark
from thornladder.node.messages import DiscoveryResponse

pytestmark = pytest.mark.anyio


def done(_: ReceivedMessage) -> bytes:
    return reply(200)


def body(id: object) -> bytes:
    return json.dumps({"host": id}).encode()


async def test_status_says_yes_once_the_list_is_known_and_no_before() -> None:
    async with LoopbackCluster(done, list_answer=lambda _: None) as bank:
        status, facts = await bank.call("GET", "/status")
        assert (status, facts["ready"]) == (503, False)
        bank.discovery.answer = lambda got: list_reply(1) if got.target.endswith("=0") else None
        await bank.discovery.streams[0].aclose()
        await wait_until(lambda: len(bank.discovery.received) >= 3)
        status, facts = await bank.call("GET", "/status")
        assert (status, facts["ready"], facts["backends"]) == (200, True, 1)


BAD = [
    (b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404), (b"GET /standby HTTP/1.1\r\nHost: a\r\n\r\n", 405),
    (b"POST /status HTTP/1.1\r\nHost: a\r\n\r\n", 405), (b"nonsense\r\n\r\n", 400),
    (b"\x16\x03\x01\x02\r\n", 400),
    (b"POST /standby HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
    (b"POST /standby HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n", 413),
    (b"POST /standby HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    (b"POST /standby HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000, 431),
]  # fmt: skip


@pytest.mark.parametrize("raw, status", BAD, ids=[str(number) for number in range(len(BAD))])
async def test_what_is_no_call_is_told_so_and_changes_nothing(raw: bytes, status: int) -> None:
    async with LoopbackCluster(done) as bank:
        async with await anyio.connect_tcp("127.0.0.1", bank.admin) as stream:
            await stream.send(raw)
            with anyio.fail_after(1.0):
                assert (await read_reply(stream))[0] == status
        assert (await bank.call("GET", "/status"))[1]["standby"] is False


@pytest.mark.parametrize(
    "text, status",
    [(b"", 400), (b"{", 400), (b"[]", 400), (b"{}", 400), (body(3), 400), (body(""), 400), (body(None), 400),
     (b'{"host": "s0"', 400), (b"\xff\xfe", 400), (body("x" * 300), 400), (body("nobody"), 404),
     (b" " * (MAX_BODY_BYTES + 1), 413)],
    ids=[str(number) for number in range(12)],
)  # fmt: skip
async def test_maintenance_of_what_is_no_backend_is_a_no(text: bytes, status: int) -> None:
    async with LoopbackCluster(done) as bank:
        for path in ("/maintenance/enter", "/maintenance/exit"):
            assert (await bank.call("POST", path, text))[0] == status
        assert (await bank.call("GET", "/status"))[1]["maintenance"] == []


async def test_a_call_cut_anywhere_is_heard_beside_a_crowd_that_says_nothing() -> None:
    # A caller that holds its connection must not keep the next one out, nor take clients' descriptors.
    chance = random.Random(11)
    text = body("s0")
    raw = b"POST /maintenance/enter HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)
    async with LoopbackCluster(done, done, sockets=80) as bank:
        crowd = [
            await anyio.connect_tcp("127.0.0.1", bank.admin) for _ in range(3 * AdminServer.MAX_CONNECTIONS)
        ]
        for each in crowd[::2]:
            await each.send(b"POST /sta")
        async with await anyio.connect_tcp("127.0.0.1", bank.admin) as stream:
            with anyio.fail_after(1.0):
                at = 0
                while at < len(raw):
                    size = chance.randrange(1, 9)
                    await stream.send(raw[at : at + size])
                    at += size
                assert (await read_reply(stream))[0] == 200
        assert (await bank.call("GET", "/status"))[1]["maintenance"] == ["s0"]
        assert (await bank.ask("a0", "look")).target == "200"
        for each in crowd:
            await each.aclose()


async def test_a_call_that_does_not_come_whole_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(AdminServer, "REQUEST_TIMEOUT_SECONDS", 0.1)
    async with LoopbackCluster(done) as bank, await anyio.connect_tcp("127.0.0.1", bank.admin) as stream:
        await stream.send(
            b"POST /standby HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        with anyio.fail_after(1.0):
            assert (await stream.receive()).startswith(b"HTTP/1.1 100 ")
            assert (await read_reply(stream))[0] == 408


async def test_what_is_out_by_hand_gets_nothing_and_comes_back_cold_and_in_use() -> None:
    async with LoopbackCluster(done, done) as bank:
        for number in range(8):
            await bank.ask(f"a{number}", "look")
        first = bank.backends[0]
        assert first.received
        for _ in range(2):  # out twice, back once
            assert await bank.call("POST", "/maintenance/enter", body("s0")) == (
                200,
                {"host": "s0", "maintenance": True},
            )
        await wait_until(lambda: first.closed == first.opened)  # what stood idle went
        count = len(first.received)
        # Discovery lists it as running, and as started anew, all the while.
        again = {**list_line(0, first.port), "startedAtMs": 1}
        bank.discovery.answer = lambda got: list_reply(2, again) if "from=1&" in got.target else None
        await bank.discovery.streams[-1].aclose()
        await wait_until(lambda: any("from=2&" in got.target for got in bank.discovery.received))
        for number in range(8):
            assert (await bank.ask(f"b{number}", "look")).target == "200"
        assert len(first.received) == count
        assert (await bank.call("POST", "/maintenance/exit", body("s0")))[0] == 200

        async def used() -> None:
            number = 0
            while not any(got.target == "/look" for got in first.received[count:]):
                number += 1
                await bank.ask(f"c{number}", "look")
                await anyio.sleep(0.01)

        with anyio.fail_after(5.0):
            await used()


async def test_an_old_ejection_does_not_outlast_a_return_by_hand() -> None:
    dead = True
    async with LoopbackCluster(lambda _: None if dead else reply(200)) as bank:
        clients = [await bank.client() for _ in range(2)]
        for number, client in enumerate(clients):
            await client.send(f"a{number}", "pay", body=b"x")
        await wait_until(lambda: any("ejected s0: hung" in line for line, _ in bank.log.lines))
        await bank.call("POST", "/maintenance/enter", body("s0"))
        dead = False
        await bank.call("POST", "/maintenance/exit", body("s0"))
        await wait_until(lambda: any("readmitted s0" in line for line, _ in bank.log.lines), 0.5)


async def test_standby_sends_clients_away_and_active_takes_them_back(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Front, "STANDBY_GRACE_SECONDS", 0.4)
    monkeypatch.setattr(Front, "STANDBY_IDLE_SECONDS", 0.1)
    async with LoopbackCluster(lambda got: None if got.target == "/look" else reply(200)) as bank:
        idle, used, busy = [await bank.client() for _ in range(3)]
        assert (await idle.ask("a0", "pay", body=b"x")).headers.get("connection") is None
        await busy.send("a1", "look", 800)
        for _ in range(2):
            assert await bank.call("POST", "/standby") == (200, {"standby": True})
        assert (await used.ask("a2", "pay", body=b"x")).headers["connection"] == "close"
        other = await bank.client()  # the door stays open
        ready = await other.raw(READY_REQUEST)
        assert (ready.target, ready.headers["connection"]) == ("503", "close")
        late = await bank.ask("a3", "pay", body=b"x")
        assert (late.target, late.headers["connection"]) == ("200", "close")
        with pytest.raises(anyio.EndOfStream), anyio.fail_after(2.0):
            await idle.stream.receive()
        assert (await busy.answer()).headers["connection"] == "close"
        assert (await bank.call("GET", "/status"))[1]["standby"] is True
        for _ in range(2):
            assert await bank.call("POST", "/active") == (200, {"standby": False})
        back = await bank.client()
        assert (await back.raw(READY_REQUEST)).target == "200"
        assert (await back.ask("a4", "pay", body=b"x")).headers.get("connection") is None


# The marks by themselves.


def entry(id: str, state: State = State.RUNNING, started: float | None = None) -> Entry:
    return Entry(id, state, "x", 0, 1.0, started, "")


def answer(*entries: Entry, kind: ListKind = ListKind.SNAPSHOT) -> DiscoveryResponse:
    return DiscoveryResponse(1, kind, list(entries), {each.backend: ("127.0.0.1", 1) for each in entries})


def test_marks_outlast_all_that_discovery_tells() -> None:
    it = Maintenance({"a": MaintenanceMark(True, 50.0)})
    assert [each.state for each in it.apply(answer(entry("a"), entry("b")), 60.0).entries] == [
        State.DRAINING, State.RUNNING,
    ]  # fmt: skip
    assert it.apply(answer(entry("b")), 61.0).entries == [entry("b")]  # it left the list while out
    assert it.knows("a") and not it.knows("c")
    [back] = it.apply(answer(entry("a", started=59.0), kind=ListKind.DELTA), 62.0).entries
    assert back.state is State.DRAINING
    assert it.update({"a": MaintenanceMark(False, 49.0)}) is None  # an older call
    news = it.update({"a": MaintenanceMark(False, 70.0)})
    assert [(each.state, each.started_at) for each in news.entries] == [(State.RUNNING, 70.0)]
    [later] = it.apply(answer(entry("a", started=80.0), kind=ListKind.DELTA), 81.0).entries
    assert later.started_at == 80.0
    [older] = it.apply(answer(entry("a", started=59.0), kind=ListKind.DELTA), 82.0).entries
    assert older.started_at == 70.0
    assert it.update({"b": MaintenanceMark(False, 90.0)}) is None  # was never out
    it.update({"b": MaintenanceMark(True, 91.0)})
    [gone] = it.apply(answer(entry("b", State.DRAINING), kind=ListKind.DELTA), 92.0).entries
    assert gone.state is State.DRAINING
    assert (
        it.update({"b": MaintenanceMark(False, 93.0)}).entries[0].state is State.DRAINING
    )  # by discovery's word


def test_marks_are_written_whole_and_two_writers_lose_nothing(tmp_path: Path) -> None:
    one, two = MaintenanceStore(str(tmp_path), "n/1"), MaintenanceStore(str(tmp_path), "n/1")
    other = MaintenanceStore(str(tmp_path), "n_1")
    one.merge({"a": MaintenanceMark(True, 5.0)})
    two.merge({"b": MaintenanceMark(True, 6.0), "a": MaintenanceMark(False, 4.0)})
    assert (
        one.load_if_changed() == {"a": MaintenanceMark(True, 5.0), "b": MaintenanceMark(True, 6.0)}
        and one.load_if_changed() == {}
    )
    assert other.load() == {}
    [path] = tmp_path.glob("*.maintenance")
    whole = path.read_bytes()
    for at in range(len(whole)):
        path.write_bytes(whole[:at])
        assert MaintenanceStore(str(tmp_path), "n/1").load() == {}
    path.write_bytes(whole.replace(b"1 ", b"2 ", 1))  # of another version
    assert one.load() == {}
    path.write_bytes(whole.replace(b"true", b"trve", 1))
    assert one.load() == {}
    StateFile(str(tmp_path), "n/1", "maintenance").write({"marks": [{"id": "a", "out": 3}, 4]})
    assert one.load() == {}
    assert not [each for each in tmp_path.iterdir() if each.suffix.isdigit()]


@pytest.mark.parametrize(
    "given, code, words",
    [({"EDGE_ADMIN_ADDR": "nowhere"}, 2, "admin_addr"),
     ({"EDGE_ADMIN_ADDR": "127.0.0.1:99999"}, 2, "admin_addr"),
     ({"EDGE_INHERITED_FD": "five"}, 2, "EDGE_INHERITED_FD"), ({"EDGE_INHERITED_FD": "77"}, 1, "descriptor")],
    ids=["no address", "no port", "no number", "not open"],
)  # fmt: skip
async def test_a_bad_environment_ends_the_start_with_one_line(tmp_path: Path, given, code, words) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config([], 1)))
    environment = {**os.environ, "TMPDIR": str(tmp_path), "EDGE_CONFIG": str(path), **given}
    ended = await anyio.run_process(NODE_COMMAND, env=environment, check=False)
    assert ended.returncode == code and ended.stderr.count(b"\n") == 1
    assert words in ended.stderr.decode()


async def test_a_second_address_in_use_ends_the_start(tmp_path: Path) -> None:
    async with LoopbackCluster(done) as bank:
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**config([], 1), "admin_addr": f"127.0.0.1:{bank.admin}"}))
        environment = {**os.environ, "TMPDIR": str(tmp_path), "EDGE_CONFIG": str(path)}
        ended = await anyio.run_process(NODE_COMMAND, env=environment, check=False)
        assert ended.returncode == 1 and ended.stderr.count(b"\n") == 1
