"""The program: how it starts and how it ends."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest
from harness import READY, SETTINGS, Bank, Client, Got, Peer, config, listed, news, reply, until

pytestmark = pytest.mark.anyio
NODE_COMMAND = [sys.executable, "-B", "-m", "thornladder"]


@asynccontextmanager
async def running_node(folder: Path, *backends: Peer, info: dict | None = None):
    """A node as a process of its own; yields it and its port."""
    discovery = Peer(lambda got: news(1) if got.target.endswith("=0") else None)
    async with anyio.create_task_group() as tasks:
        for peer in (*backends, discovery):
            await tasks.start(peer.serve)
        lines = [listed(number, peer.port) for number, peer in enumerate(backends)]
        path = folder / "config.json"
        path.write_text(json.dumps(config(lines, discovery.port, info=info)))
        environment = {**os.environ, "TMPDIR": str(path.parent), "EDGE_CONFIG": str(path)}
        process = await anyio.open_process(NODE_COMMAND, env=environment, stderr=subprocess.PIPE)
        try:
            text = b""
            while b"\n" not in text:
                text += await process.stderr.receive()
            yield process, json.loads(text.split(b"\n")[0])["listen"][1]
        finally:
            # Guards against a failed check that is lost in a cancelled scope.
            with anyio.CancelScope(shield=True):
                if process.returncode is None:
                    process.kill()
                await process.aclose()
            tasks.cancel_scope.cancel()


async def connect(port: int) -> Client:
    return Client(await anyio.connect_tcp("127.0.0.1", port))


async def test_a_planned_end_answers_all_that_came(tmp_path: Path) -> None:
    backend = Peer(lambda got: None if got.target == "/look" else reply(200))
    async with running_node(tmp_path, backend) as (process, port):
        idle, busy, later = await connect(port), await connect(port), await connect(port)
        assert (await idle.ask("a0", "pay", body=b"x")).target == "200"
        await busy.send("a1", "look", 800)
        await until(lambda: len(backend.got) == 2)
        process.send_signal(signal.SIGTERM)
        began = anyio.current_time()
        while (await (await connect(port)).raw(READY)).target == "200":
            assert anyio.current_time() - began < 0.3
        late = await (await connect(port)).ask("a2", "pay", body=b"x")
        kept = await later.ask("a3", "pay", body=b"x")
        assert (late.target, late.headers["connection"]) == (kept.target, kept.headers["connection"])
        assert (late.target, late.headers["connection"]) == ("200", "close")
        assert (await busy.answer()).target == "503"
        with pytest.raises(anyio.EndOfStream):
            await idle.stream.receive()
        assert await process.wait() == 0
        assert anyio.current_time() - began < 1.7


async def test_a_planned_end_under_load_loses_nothing(tmp_path: Path) -> None:
    asked, answered = set(), {}
    leaving = anyio.Event()

    async def play(port: int, caller: int) -> None:
        client = await connect(port)
        for number in range(1000):
            if leaving.is_set() and number % 2:
                return
            id = f"{caller}-{number}"
            asked.add(id)
            answer = answered[id] = await client.ask(id, "look" if caller % 2 else "pay", 900, b"x")
            assert answer.target in ("200", "502", "503")
            if answer.headers.get("connection") == "close":
                client = await connect(port)  # comes as long as the front has not noticed

    async with running_node(tmp_path, *(Peer(lambda _: reply(200)) for _ in range(3))) as (process, port):
        async with anyio.create_task_group() as tasks:
            for caller in range(16):
                tasks.start_soon(play, port, caller)
            await until(lambda: len(answered) > 300)
            process.send_signal(signal.SIGTERM)
            closing = len(answered)
            await until(lambda: len(answered) > closing + 16)
            leaving.set()
        assert await process.wait() == 0
        assert asked == answered.keys()


async def test_a_new_configuration_moves_the_watch_and_nothing_else(tmp_path: Path) -> None:
    # SIGHUP ended the node.
    path = tmp_path / "config.json"
    backend = Peer(lambda got: None if got.target == "/look" else reply(200))

    def elsewhere(got: Got) -> bytes | None:
        return news(3) if got.target.endswith("=0") else None

    def behind(got: Got) -> bytes | None:
        if "from" not in got.target:
            return news(1, listed(0, backend.port), whole=True)
        return news(0) if got.target.endswith("=0") else None

    async with running_node(tmp_path, backend) as (process, port), anyio.create_task_group() as tasks:
        old = json.loads(path.read_text())
        places = [Peer(elsewhere), Peer(behind)]
        for place in places:
            await tasks.start(place.serve)
        busy = await connect(port)
        await busy.send("a0", "look", 900)
        await until(lambda: backend.got)
        for place, first in zip(places, ("from=1&", "from=3&"), strict=True):
            # Twice in a row; with a bad file in between the one before it stays.
            for text in (json.dumps({**old, "discovery": f"127.0.0.1:{place.port}"}), "nonsense"):
                path.write_text(text)
                process.send_signal(signal.SIGHUP)
                await until(lambda: place.got)  # noqa: B023
            assert first in place.got[0].target
            await until(lambda: any("hold_ms=750" in got.target for got in place.got))  # noqa: B023
        assert "from" not in places[1].got[1].target  # it could not follow
        assert (await busy.answer()).target == "503"  # what was in hand went its way
        assert (await (await connect(port)).ask("a1", "pay", body=b"x")).target == "200"
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        assert await process.wait() == 0
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "text", [None, "nonsense", "{}", '{"settings": {"Classes": []}}', "[1]"],
    ids=["no file", "nonsense", "empty", "no offerings", "no object"],
)  # fmt: skip
def test_a_bad_config_ends_it_with_one_line(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    refused(path)


def refused(path: Path) -> str:
    """Starts the program on a file that it is to refuse; the one line that it says."""
    environment = {**os.environ, "TMPDIR": str(path.parent), "EDGE_CONFIG": str(path)}
    ended = subprocess.run(NODE_COMMAND, env=environment, capture_output=True, check=False)
    assert ended.returncode == 2 and ended.stderr.count(b"\n") == 1 and not ended.stdout
    return ended.stderr.decode()


def test_settings_of_two_shapes_end_it_with_the_key(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    own_node = {"Report": {"Source": "pull", "Fields": ["rif"]}, "Tenants": [{"Name": "t", "Share": 1.0}]}
    path.write_text(json.dumps(config([], 1, info={**SETTINGS, **own_node})))
    words = "Tenants must be empty where Report.Source is 'pull'"
    assert refused(path) == f"thornladder: {path}: {words}\n"


async def test_an_address_in_use_ends_it_with_one_line(tmp_path: Path) -> None:
    async with Bank() as bank:
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**config([], 1), "listen": f"127.0.0.1:{bank.port}"}))
        environment = {**os.environ, "TMPDIR": str(path.parent), "EDGE_CONFIG": str(path)}
        ended = await anyio.run_process(NODE_COMMAND, env=environment, check=False)
        assert ended.returncode == 1 and ended.stderr.count(b"\n") == 1
