"""The admin server: operators' requests, maintenance of backends, standby."""

from __future__ import annotations

import json
import os
import random
import socket
from contextlib import ExitStack
from pathlib import Path

import anyio
import pytest
from harness import (
    NODE_COMMAND,
    READY_REQUEST,
    SETTINGS,
    LoopbackCluster,
    ReceivedMessage,
    config,
    list_line,
    list_reply,
    read_reply,
    reply,
    wait_until,
)

from thornladder.interface import Entry, ListKind, State
from thornladder.node.admin.calls import MAX_BODY_BYTES, AdminResponse
from thornladder.node.admin.server import AdminConnection, AdminServer
from thornladder.node.clients.front import Front
from thornladder.node.handover import MaintenanceStore, StateFile
from thornladder.node.maintenance import Maintenance, MaintenanceMark
from thornladder.node.messages import DiscoveryResponse

pytestmark = pytest.mark.anyio


def done(_: ReceivedMessage) -> bytes:
    return reply(200)


def body(id: object) -> bytes:
    return json.dumps({"host": id}).encode()


async def test_status_is_503_until_the_list_is_known() -> None:
    async with LoopbackCluster(done, list_answer=lambda _: None) as cluster:
        status, payload = await cluster.call("GET", "/status")
        assert (status, payload["ready"]) == (503, False)
        cluster.discovery.answer = lambda got: list_reply(1) if got.target.endswith("=0") else None
        await cluster.discovery.streams[0].aclose()
        await wait_until(lambda: len(cluster.discovery.received) >= 3)
        status, payload = await cluster.call("GET", "/status")
        assert (status, payload["ready"], payload["backends"]) == (200, True, 1)


BAD_REQUESTS = [
    (b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404), (b"GET /standby HTTP/1.1\r\nHost: a\r\n\r\n", 405),
    (b"POST /status HTTP/1.1\r\nHost: a\r\n\r\n", 405), (b"nonsense\r\n\r\n", 400),
    (b"\x16\x03\x01\x02\r\n", 400),
    (b"POST /standby HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
    (b"POST /standby HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n", 413),
    (b"POST /standby HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    (b"POST /standby HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000, 431),
]  # fmt: skip


@pytest.mark.parametrize(
    "raw, status", BAD_REQUESTS, ids=[str(number) for number in range(len(BAD_REQUESTS))]
)
async def test_malformed_or_unknown_request_gets_an_error_and_changes_nothing(
    raw: bytes, status: int
) -> None:
    async with LoopbackCluster(done) as cluster:
        async with await anyio.connect_tcp("127.0.0.1", cluster.admin) as stream:
            await stream.send(raw)
            with anyio.fail_after(1.0):
                assert (await read_reply(stream))[0] == status
        assert (await cluster.call("GET", "/status"))[1]["standby"] is False


@pytest.mark.parametrize(
    "json_body, status",
    [(b"", 400), (b"{", 400), (b"[]", 400), (b"{}", 400), (body(3), 400), (body(""), 400), (body(None), 400),
     (b'{"host": "s0"', 400), (b"\xff\xfe", 400), (body("x" * 300), 400), (body("nobody"), 404),
     (b" " * (MAX_BODY_BYTES + 1), 413)],
    ids=[str(number) for number in range(12)],
)  # fmt: skip
async def test_maintenance_of_an_unknown_or_malformed_id_is_refused(json_body: bytes, status: int) -> None:
    async with LoopbackCluster(done) as cluster:
        for path in ("/maintenance/enter", "/maintenance/exit"):
            assert (await cluster.call("POST", path, json_body))[0] == status
        assert (await cluster.call("GET", "/status"))[1]["maintenance"] == []


async def test_request_in_small_pieces_is_served_beside_many_silent_connections() -> None:
    # Silent connections must not keep others out, nor use up the descriptors of clients.
    rng = random.Random(11)
    json_body = body("s0")
    raw = b"POST /maintenance/enter HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s" % (
        len(json_body),
        json_body,
    )
    async with LoopbackCluster(done, done, sockets=80) as cluster:
        silent_connections = [
            await anyio.connect_tcp("127.0.0.1", cluster.admin)
            for _ in range(3 * AdminServer.MAX_CONNECTIONS)
        ]
        for connection in silent_connections[::2]:
            await connection.send(b"POST /sta")
        async with await anyio.connect_tcp("127.0.0.1", cluster.admin) as stream:
            with anyio.fail_after(1.0):
                offset = 0
                while offset < len(raw):
                    size = rng.randrange(1, 9)
                    await stream.send(raw[offset : offset + size])
                    offset += size
                assert (await read_reply(stream))[0] == 200
        assert (await cluster.call("GET", "/status"))[1]["maintenance"] == ["s0"]
        assert (await cluster.ask("a0", "look")).target == "200"
        for connection in silent_connections:
            await connection.aclose()


async def test_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(AdminServer, "REQUEST_TIMEOUT_SECONDS", 0.1)
    async with (
        LoopbackCluster(done) as cluster,
        await anyio.connect_tcp("127.0.0.1", cluster.admin) as stream,
    ):
        await stream.send(
            b"POST /standby HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        with anyio.fail_after(1.0):
            assert (await stream.receive()).startswith(b"HTTP/1.1 100 ")
            assert (await read_reply(stream))[0] == 408


async def test_backend_in_maintenance_gets_no_requests_and_is_used_again_afterwards() -> None:
    async with LoopbackCluster(done, done) as cluster:
        for number in range(8):
            await cluster.ask(f"a{number}", "look")
        backend = cluster.backends[0]
        assert backend.received
        for _ in range(2):  # entered twice, left once
            assert await cluster.call("POST", "/maintenance/enter", body("s0")) == (
                200,
                {"host": "s0", "maintenance": True},
            )
        await wait_until(lambda: backend.closed == backend.opened)  # idle connections were closed
        count = len(backend.received)
        # Discovery lists it as running and restarted meanwhile.
        relisted = {**list_line(0, backend.port), "startedAtMs": 1}
        cluster.discovery.answer = lambda got: list_reply(2, relisted) if "from=1&" in got.target else None
        await cluster.discovery.streams[-1].aclose()
        await wait_until(lambda: any("from=2&" in got.target for got in cluster.discovery.received))
        for number in range(8):
            assert (await cluster.ask(f"b{number}", "look")).target == "200"
        assert len(backend.received) == count
        assert (await cluster.call("POST", "/maintenance/exit", body("s0")))[0] == 200

        async def wait_until_used() -> None:
            number = 0
            while not any(got.target == "/look" for got in backend.received[count:]):
                number += 1
                await cluster.ask(f"c{number}", "look")
                await anyio.sleep(0.01)

        with anyio.fail_after(5.0):
            await wait_until_used()


def soft_removal_settings() -> dict:
    """Settings under which only a listed drain binds."""
    return {**SETTINGS, "Rules": {**SETTINGS["Rules"], "SoftRemoval": True}}


# review/8: under SoftRemoval a backend that the list had left out is used on, and a call that took it out was
# answered with yes and had no effect.
@pytest.mark.parametrize("whole_list", [False, True], ids=["terminated", "left out"])
async def test_backend_that_has_left_the_list_gets_no_requests_once_it_is_in_maintenance(
    whole_list: bool,
) -> None:
    async with LoopbackCluster(done, done, info=soft_removal_settings()) as cluster:
        first, second = cluster.backends
        await wait_until(lambda: any("from=1&" in got.target for got in cluster.discovery.received))
        lines = [list_line(1, second.port)] if whole_list else [list_line(0, first.port, "terminated")]
        cluster.discovery.answer = lambda got: (
            list_reply(2, *lines, snapshot=whole_list) if "from=1&" in got.target else None
        )
        await cluster.discovery.streams[-1].aclose()
        await wait_until(lambda: any("from=2&" in got.target for got in cluster.discovery.received))
        count = len(first.received)
        for number in range(12):
            assert (await cluster.ask(f"a{number}", "look")).target == "200"
        assert len(first.received) > count  # it is still in use
        assert (await cluster.call("POST", "/maintenance/enter", body("s0")))[0] == 200
        count = len(first.received)
        for number in range(12):
            assert (await cluster.ask(f"b{number}", "look")).target == "200"
        assert len(first.received) == count


async def test_earlier_ejection_ends_when_a_backend_is_put_back() -> None:
    hung = True
    async with LoopbackCluster(lambda _: None if hung else reply(200)) as cluster:
        clients = [await cluster.client() for _ in range(2)]
        for number, client in enumerate(clients):
            await client.send(f"a{number}", "pay", body=b"x")
        await wait_until(lambda: any("ejected s0: hung" in line for line, _ in cluster.log.lines))
        await cluster.call("POST", "/maintenance/enter", body("s0"))
        hung = False
        await cluster.call("POST", "/maintenance/exit", body("s0"))
        await wait_until(lambda: any("readmitted s0" in line for line, _ in cluster.log.lines), 0.5)


async def test_standby_closes_client_connections_and_active_accepts_them_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Front, "EXPECTED_IDLE_SECONDS", 0.4)
    async with LoopbackCluster(lambda got: None if got.target == "/look" else reply(200)) as cluster:
        idle, active, busy = [await cluster.client() for _ in range(3)]
        assert (await idle.ask("a0", "pay", body=b"x")).headers.get("connection") is None
        await busy.send("a1", "look", 800)
        for _ in range(2):
            assert await cluster.call("POST", "/standby") == (200, {"standby": True})
        assert (await active.ask("a2", "pay", body=b"x")).headers["connection"] == "close"
        new = await cluster.client()  # new connections are still accepted
        ready = await new.raw(READY_REQUEST)
        assert (ready.target, ready.headers["connection"]) == ("503", "close")
        late = await cluster.ask("a3", "pay", body=b"x")
        assert (late.target, late.headers["connection"]) == ("200", "close")
        with pytest.raises(anyio.EndOfStream), anyio.fail_after(2.0):
            await idle.stream.receive()
        assert (await busy.answer()).headers["connection"] == "close"
        assert (await cluster.call("GET", "/status"))[1]["standby"] is True
        for _ in range(2):
            assert await cluster.call("POST", "/active") == (200, {"standby": False})
        returned = await cluster.client()
        assert (await returned.raw(READY_REQUEST)).target == "200"
        assert (await returned.ask("a4", "pay", body=b"x")).headers.get("connection") is None


# Found by reading: the oldest connection gave way though its request had arrived, unread.
async def test_a_call_that_has_arrived_does_not_give_way_to_another() -> None:
    server = AdminServer(lambda _: AdminResponse(200, {}), None, None)
    with ExitStack() as sockets:
        callers = []
        for _ in range(3):
            caller, accepted = socket.socketpair()
            callers.append(sockets.enter_context(caller))
            sockets.enter_context(accepted)
            server.connections[AdminConnection(accepted, {}, 4096)] = None
        first, second, third = server.connections
        callers[0].sendall(b"GET /status HTTP/1.1\r\n")
        server._make_room()
        assert list(server.connections) == [first, third]
        assert callers[1].recv(1) == b""  # ended in the same step
        callers[2].sendall(b"GET /status HTTP/1.1\r\n")
        assert not server._make_room() and list(server.connections) == [first, third]


# Unit tests of the maintenance marks.


def entry(id: str, state: State = State.RUNNING, started: float | None = None) -> Entry:
    return Entry(id, state, "x", 0, 1.0, started, "")


def answer(*entries: Entry, kind: ListKind = ListKind.SNAPSHOT) -> DiscoveryResponse:
    return DiscoveryResponse(1, kind, list(entries), {line.backend: ("127.0.0.1", 1) for line in entries})


def test_maintenance_marks_take_precedence_over_discovery() -> None:
    maintenance = Maintenance({"a": MaintenanceMark(True, 50.0)})
    assert [line.state for line in maintenance.apply(answer(entry("a"), entry("b")), 60.0).entries] == [
        State.DRAINING, State.RUNNING,
    ]  # fmt: skip
    assert maintenance.apply(answer(entry("b")), 61.0).entries == [entry("b")]  # it left the list while out
    assert maintenance.knows("a") and not maintenance.knows("c")
    [entered] = maintenance.apply(answer(entry("a", started=59.0), kind=ListKind.DELTA), 62.0).entries
    assert entered.state is State.DRAINING
    assert maintenance.update({"a": MaintenanceMark(False, 49.0)}) is None  # an older call
    changes = maintenance.update({"a": MaintenanceMark(False, 70.0)})
    assert [(line.state, line.started_at) for line in changes.entries] == [(State.RUNNING, 70.0)]
    [later] = maintenance.apply(answer(entry("a", started=80.0), kind=ListKind.DELTA), 81.0).entries
    assert later.started_at == 80.0
    [older] = maintenance.apply(answer(entry("a", started=59.0), kind=ListKind.DELTA), 82.0).entries
    assert older.started_at == 70.0
    assert maintenance.update({"b": MaintenanceMark(False, 90.0)}) is None  # was never out
    maintenance.update({"b": MaintenanceMark(True, 91.0)})
    [gone] = maintenance.apply(answer(entry("b", State.DRAINING), kind=ListKind.DELTA), 92.0).entries
    assert gone.state is State.DRAINING
    assert (
        maintenance.update({"b": MaintenanceMark(False, 93.0)}).entries[0].state is State.DRAINING
    )  # by discovery's word


def test_a_mark_on_a_backend_that_has_left_the_list_drains_it_and_lists_it_no_more() -> None:
    maintenance = Maintenance()
    maintenance.apply(answer(entry("a"), entry("b")), 60.0)
    maintenance.apply(answer(entry("b")), 61.0)
    changes = maintenance.update({"a": MaintenanceMark(True, 62.0)})
    assert changes.entries == [entry("a", State.DRAINING)] and changes.addresses == {}
    assert maintenance.update({"a": MaintenanceMark(False, 63.0)}) is None  # until it is listed again
    [relisted] = maintenance.apply(answer(entry("a"), kind=ListKind.DELTA), 64.0).entries
    assert (relisted.state, relisted.started_at) == (State.RUNNING, 63.0)
    assert maintenance.update({"c": MaintenanceMark(True, 65.0)}) is None


def test_marks_are_written_atomically_and_two_writers_lose_none(tmp_path: Path) -> None:
    first_store, second_store = MaintenanceStore(str(tmp_path), "n/1"), MaintenanceStore(str(tmp_path), "n/1")
    other_node_store = MaintenanceStore(str(tmp_path), "n_1")
    first_store.merge({"a": MaintenanceMark(True, 5.0)})
    second_store.merge({"b": MaintenanceMark(True, 6.0), "a": MaintenanceMark(False, 4.0)})
    assert (
        first_store.load_if_changed() == {"a": MaintenanceMark(True, 5.0), "b": MaintenanceMark(True, 6.0)}
        and first_store.load_if_changed() == {}
    )
    assert other_node_store.load() == {}
    [path] = tmp_path.glob("*.maintenance")
    content = path.read_bytes()
    for length in range(len(content)):
        path.write_bytes(content[:length])
        assert MaintenanceStore(str(tmp_path), "n/1").load() == {}
    path.write_bytes(content.replace(b"1 ", b"2 ", 1))  # another format version
    assert first_store.load() == {}
    path.write_bytes(content.replace(b"true", b"trve", 1))
    assert first_store.load() == {}
    StateFile(str(tmp_path), "n/1", "maintenance").write({"marks": [{"id": "a", "out": 3}, 4]})
    assert first_store.load() == {}
    assert not [path for path in tmp_path.iterdir() if path.suffix.isdigit()]


@pytest.mark.parametrize(
    "given, code, message",
    [({"EDGE_ADMIN_ADDR": "nowhere"}, 2, "admin_addr"),
     ({"EDGE_ADMIN_ADDR": "127.0.0.1:99999"}, 2, "admin_addr"),
     ({"EDGE_INHERITED_FD": "five"}, 2, "EDGE_INHERITED_FD"), ({"EDGE_INHERITED_FD": "77"}, 1, "descriptor")],
    ids=["no address", "no port", "no number", "not open"],
)  # fmt: skip
async def test_malformed_environment_prevents_the_start_with_one_line(
    tmp_path: Path, given, code, message
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config([], 1)))
    environment = {**os.environ, "TMPDIR": str(tmp_path), "EDGE_CONFIG": str(path), **given}
    ended = await anyio.run_process(NODE_COMMAND, env=environment, check=False)
    assert ended.returncode == code and ended.stderr.count(b"\n") == 1
    assert message in ended.stderr.decode()


async def test_admin_address_in_use_prevents_the_start(tmp_path: Path) -> None:
    async with LoopbackCluster(done) as cluster:
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**config([], 1), "admin_addr": f"127.0.0.1:{cluster.admin}"}))
        environment = {**os.environ, "TMPDIR": str(tmp_path), "EDGE_CONFIG": str(path)}
        ended = await anyio.run_process(NODE_COMMAND, env=environment, check=False)
        assert ended.returncode == 1 and ended.stderr.count(b"\n") == 1
