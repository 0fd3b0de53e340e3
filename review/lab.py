"""What the cases share: a node started by the deploy file, discovery, raw HTTP clients and backends.

Only the standard library and loopback addresses. Every stand-in runs in the process of the case's script.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_SECONDS = 30.0


class CouldNotRun(Exception):
    """The case could not be played; says nothing of the rule."""


class Record:
    """The file record.txt of a case: one line for whatever was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, who: str, event: str, **fields: Any) -> None:
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.started:9.4f} {who:<12} {event} {words}".rstrip() + "\n")

    def close(self) -> None:
        self.file.close()


class Message:
    """One HTTP message: its first line, its headers with names in lower case, and its body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def id(self) -> str:
        return self.headers.get("x-call-id", "")

    @property
    def path(self) -> str:
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a whole message by its own framing; None if the connection ends before its first byte.

    Raises IncompleteReadError or OSError if the connection ends amid it.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while (await reader.readuntil(b"\r\n")) != b"\r\n":
            pass
        return Message(first, headers, body)
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def encode(first: str, headers: dict[str, Any], body: bytes = b"") -> bytes:
    """A message with a Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def close(writer: asyncio.StreamWriter) -> None:
    """Closes a connection; errors do not matter any more."""
    writer.close()
    with suppress(OSError, asyncio.CancelledError):
        await writer.wait_closed()


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """Reads requests on each connection, one after the other, and hands them to `handle`."""

    def __init__(self, handle: Handler) -> None:
        self.handle, self.port = handle, 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(asyncio.IncompleteReadError, OSError, ValueError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                await self.handle(request, writer)
        self.tasks.discard(task)
        await close(writer)

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Discovery(Server):
    """The list service: the whole list, or a watch that waits for something newer than a version."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.version, self.entries = 1, {}
        self.changed: dict[str, int] = {}
        self.news = asyncio.Event()

    def set(self, id: str, port: int, lifecycle: str = "in_service") -> None:
        """Lists a backend, or changes its entry."""
        self.version += 1
        self.entries[id] = {
            "instanceId": id, "hostPort": f"127.0.0.1:{port}", "zone": "a", "machineType": "m", "cell": 1,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip
        self.changed[id] = self.version
        self.news.set()
        self.news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        query = dict(part.split("=") for part in request.path.partition("?")[2].split("&") if part)
        answer = self.whole()
        if "from" in query:
            since = int(query["from"])
            if since >= self.version:
                with suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.news.wait(), int(query.get("hold_ms", "0")) / 1000.0)
            news = [self.entries[id] for id, version in self.changed.items() if version > since]
            answer = {"generation": self.version, "reset": False, "instances": news}
        writer.write(encode("HTTP/1.1 200 OK", {}, json.dumps(answer).encode()))
        await writer.drain()


def offering(name: str, effect: str, deadline_ms: int, worth: float) -> dict[str, Any]:
    """A class of requests as the settings have it."""
    return {
        "Name": name, "Effect": effect, "Group": "all", "Window": 2_000_000, "Aim": 400_000,
        "HardLimit": deadline_ms * 1000, "Worth": worth, "LateWorth": 0.2, "Stream": False,
    }  # fmt: skip


def settings(offerings: list[dict[str, Any]]) -> dict[str, Any]:
    """Settings of a small deployment: one node, no second copies, three attempts at most."""
    return {
        "Az": "a", "Rank": 0, "ReplicasOfMe": 1, "Discovery": "on_request", "Classes": offerings,
        "PolicyLimits": {
            "MaxAttempts": 3, "Cancelling": True, "Probes": True, "SecondCopies": False,
            "ConnectTimeout": 120_000, "IdleClose": 60_000_000, "RetryAfter": True, "MaxRetryAfter": 750_000,
        },
        "Report": {"Source": "silent", "Fields": []},
        "Rules": {
            "ColdShare": 0.13, "WarmUp": 24_000_000, "FallMultiple": 3.0, "Fall": 1_000_000,
            "DrainGrace": 750_000, "MustAskIn": 10_000_000,
        },
    }  # fmt: skip


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    """A node's process, started with `run` of deploy/balancer.toml."""

    def __init__(self, folder: Path, record: Record, name: str, config: dict[str, Any]) -> None:
        """`folder`: temporary, for the configuration and $TMPDIR."""
        self.folder, self.record, self.name, self.config = folder, record, name, config
        self.port = int(config["listen"].rpartition(":")[2])
        self.admin_port = free_port()
        self.process: subprocess.Popen | None = None

    @property
    def config_path(self) -> Path:
        return self.folder / f"{self.config['name']}.json"

    def write_config(self, config: dict[str, Any]) -> None:
        """Puts a configuration file in the place of the present one."""
        self.config = config
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.config_path)

    def start(self, inherited: socket.socket | None = None) -> None:
        """Starts the process; `inherited` is the listening socket that the platform holds."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        private = self.folder / "private"
        private.mkdir(exist_ok=True)
        self.write_config(self.config)
        environment = {
            **os.environ, "EDGE_NAME": self.config["name"], "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"], "EDGE_CONFIG": str(self.config_path),
            "EDGE_ADMIN_ADDR": f"127.0.0.1:{self.admin_port}", "TMPDIR": str(private),
        }  # fmt: skip
        descriptors: tuple[int, ...] = ()
        if inherited is not None:
            descriptors = (inherited.fileno(),)
            environment["EDGE_INHERITED_FD"] = str(inherited.fileno())
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, pass_fds=descriptors,
            )  # fmt: skip
        self.record(self.name, "started", pid=self.process.pid)

    async def ready(self) -> None:
        """Waits until the node says at its second address that it serves."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.process is None or self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended at its start")
            with suppress(OSError, asyncio.IncompleteReadError, AttributeError):
                if (await self.operator("GET", "/status")).status == 200:
                    self.record(self.name, "ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} is not ready")

    async def operator(self, method: str, path: str, body: dict[str, Any] | None = None) -> Message:
        """One call at the second address."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": "a"}, data))
            answer = await asyncio.wait_for(read_message(reader), 3.0)
            if answer is None:
                raise CouldNotRun(f"{self.name} did not answer {path}")
            return answer
        finally:
            await close(writer)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.record(self.name, "signal", name=number.name)
            self.process.send_signal(number)

    async def end(self, seconds: float) -> int | None:
        """Waits for the process to end; None if it has not by then."""
        deadline = time.monotonic() + seconds
        while self.process is not None and self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        return self.process.poll() if self.process is not None else None

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def configuration(name: str, port: int, discovery: Discovery, offerings: list[dict[str, Any]]) -> dict:
    """A node's configuration file."""
    return {
        "name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": discovery.whole(), "settings": settings(offerings),
    }  # fmt: skip


def request(method: str, path: str, id: str, budget_ms: int, body: bytes = b"") -> bytes:
    """A client's request."""
    headers = {"Host": "backend.local", "X-Call-Id": id, "X-Caller": "acme", "X-Budget-Ms": budget_ms}
    return encode(f"{method} {path} HTTP/1.1", headers, body)


def main(
    folder: Path,
    play: Callable[[Record, Path, list[Node]], Awaitable[str | None]],
    fine_timers: bool = False,
) -> None:
    """Plays a case and exits: `play` returns what broke the rule, or None if it held.

    Every node that `play` puts into its list is ended in any case. `fine_timers`: the stand-ins wait in
    microseconds, by select(), and not in whole milliseconds.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # ends the nodes too
    gc.disable()  # no pauses, and no finalizers amid select(); a run is short
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    selector = selectors.SelectSelector if fine_timers else selectors.DefaultSelector
    runner = asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector()))
    nodes: list[Node] = []
    code = COULD_NOT_RUN
    try:
        broken = runner.run(asyncio.wait_for(play(record, temporary, nodes), 110.0))
        code = BROKEN if broken else HELD
        verdict = f"BROKEN: {broken}" if broken else "the rule held"
    except Exception as error:
        verdict = f"could not run: {type(error).__name__}: {error}"
    finally:
        for node in nodes:
            node.kill()
        shutil.rmtree(temporary, ignore_errors=True)
        with suppress(Exception):
            runner.close()
    record("verdict", verdict, trouble=int(TROUBLE))
    record.close()
    print(verdict)
    sys.exit(code)
