"""Stand-ins for the cases of the second review: a node's process, backends, discovery and clients.

Only the standard library is used. All sockets are on 127.0.0.1, all ports are free ones, and every process
that is started here is ended again.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played, which says nothing of the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()
        self.breaks: list[str] = []

    @property
    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, *words: Any) -> None:
        print(f"{self.now:9.4f}", *words, file=self.file)

    def broken(self, *words: Any) -> None:
        """Notes one break of the rule."""
        self.breaks.append(" ".join(str(word) for word in words))
        self.write("BREAK", *words)

    def close(self, verdict: int, why: str) -> None:
        line = f"verdict {verdict} trouble={int(TROUBLE)} breaks={len(self.breaks)} {why}"
        self.write(line)
        self.file.close()
        print(line)
        for text in self.breaks[:5]:
            print("  ", text)


INHERITED_FD = 5


def open_inherited() -> int:
    """Opens the clients' listening socket that the platform holds, as descriptor 5; returns its port.

    To be called before anything else opens descriptors.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(256)
    port = listener.getsockname()[1]
    os.dup2(listener.fileno(), INHERITED_FD)
    listener.close()
    return port


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def offering(name: str, effect: str, aim: float, limit: float, worth: float) -> dict[str, Any]:
    return {
        "Name": name, "Effect": effect, "Group": "all", "Window": 5_000_000, "Stream": False,
        "Aim": round(aim * 1e6), "HardLimit": round(limit * 1e6), "Worth": worth, "LateWorth": 0.2,
    }  # fmt: skip


def garden_settings(**changes: Any) -> dict[str, Any]:
    """The settings of the example in the wire's page (cm-garden-water), with some keys changed."""
    settings = {
        "Az": "nimman",
        "Blend": {"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.1},
        "Classes": [
            offering("meter-view", "free", 0.25, 1.0, 2.0),
            offering("plant-list", "free", 0.25, 1.0, 1.0),
            offering("delivery-book", "single_shot", 0.4, 1.0, 5.0),
            offering("bill-pay", "single_shot", 0.3, 1.5, 8.0),
        ],
        "Clients": {"MarksRetry": True},
        "Discovery": "on_request",
        "Domain": {"WarmKeys": False},
        "Family": "proxy",
        "Kinds": ["big", "medium", "small"],
        "Localities": ["nimman", "san-kamphaeng"],
        "OverShareWorth": 0.05,
        "PolicyLimits": {
            "Cancelling": True, "ConnectTimeout": 120_000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400_000,
            "IdleClose": 60_000_000, "MaxAttempts": 3, "MaxOpen": 20_000, "MaxRetryAfter": 750_000,
            "Peers": False, "Probes": True, "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 1,
        },
        "Prices": {"CrossZone": 0.03, "Handshake": 0.052, "LateFail": 0.066, "Probe": 0.013},
        "Rank": 0,
        "ReplicasOfMe": 2,
        "Report": {"Fields": [], "Source": "silent"},
        "Rules": {
            "AnswerSlack": 20_000, "ColdShare": 0.13, "DrainGrace": 750_000, "Fall": 1_000_000,
            "FallMultiple": 3.0, "MustAskIn": 10_000_000, "WarmUp": 24_000_000,
        },
        "Tenants": [
            {"AllowancePerS": 178.0, "Name": "mueang", "Share": 0.4},
            {"AllowancePerS": 143.0, "Name": "san-sai", "Share": 0.32},
            {"AllowancePerS": 125.0, "Name": "hang-dong", "Share": 0.28},
        ],
        "Tick": 5000, "Tier": 0, "Tiers": ["garden-web"], "ValueBy": "work", "WeightSource": "nominal",
    }  # fmt: skip
    settings.update(changes)
    return settings


class Node:
    """One process of the node, started by the `run` command of the deploy file."""

    def __init__(self, case: Case, name: str = "n1", tmp: Path | None = None, listen: int = 0) -> None:
        self.case, self.name = case, name
        self.folder = case.folder / f"{name}-{len(case.nodes)}"
        self.folder.mkdir()
        self.tmp = tmp or self.folder / "tmp"
        self.tmp.mkdir(exist_ok=True)
        self.port, self.admin = listen or free_port(), free_port()
        self.process: subprocess.Popen | None = None
        case.nodes.append(self)

    def write_config(self, **changes: Any) -> None:
        """Writes the configuration file; puts it in the place of the one before in one step."""
        document = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.case.discovery.port}", "seed": f"{random.getrandbits(64):016x}",
            "admin_addr": f"127.0.0.1:{self.admin}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.case.discovery.whole(), "settings": garden_settings(),
        }  # fmt: skip
        document.update(changes)
        self.document = document
        part = self.folder / "config.part"
        part.write_text(json.dumps(document))
        part.replace(self.folder / "config.json")

    def start(self, inherited: bool = False) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {
            **os.environ, "EDGE_NAME": self.name, "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_DISCOVERY": self.document["discovery"], "EDGE_ADMIN_ADDR": f"127.0.0.1:{self.admin}",
            "EDGE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.tmp),
        }  # fmt: skip
        passed: tuple[int, ...] = ()
        if inherited:
            passed, environment["EDGE_INHERITED_FD"] = (INHERITED_FD,), str(INHERITED_FD)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, pass_fds=passed, start_new_session=True,
            )  # fmt: skip
        self.case.record.write("start", self.name, "process", self.process.pid)

    def signal(self, number: int) -> None:
        self.case.record.write("signal", signal.Signals(number).name, "to", self.process.pid)
        self.process.send_signal(number)

    async def call(self, method: str, path: str, document: Any = None) -> int:
        """A call at the second address; its status, or 0 without an answer."""
        body = b"" if document is None else json.dumps(document).encode()
        status, _ = await ask_once(self.admin, request(method, path, body=body), 2.0)
        return status

    async def wait_ready(self, seconds: float = 30.0) -> float:
        """Waits for the first yes of the second address; returns when it came, on the record's clock."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {self.process.returncode}")
            if await self.call("GET", "/status") == 200:
                self.case.record.write("ready", self.name, "process", self.process.pid)
                return self.case.record.now
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready in {seconds} s")

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def request(method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[str, str], bytes]:
    """First line, headers in lower case, and the body, by Content-Length, chunks or the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head[:-4].split(b"\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return first, headers, body
    if "content-length" in headers:
        return first, headers, await reader.readexactly(int(headers["content-length"]))
    return first, headers, b""


async def ask_once(port: int, data: bytes, seconds: float) -> tuple[int, bytes]:
    """One request on a connection of its own: status and body; status 0 without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            first, _, body = await read_message(reader)
            return int(first.split()[1]), body
    except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Backend(asyncio.Protocol):
    """One connection of a backend; `BackendServer` makes them."""

    def __init__(self, server: BackendServer) -> None:
        self.server, self.buffer, self.busy, self.open = server, b"", False, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = transport, True
        self.server.connections.add(self)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        # `wire` is the time that bytes are on their way, in each direction.
        if not self.server.wire:
            self.arrive(data)
            return
        received = time.monotonic()

        def arrive() -> None:
            self.server.wire_delays.append(time.monotonic() - received)
            self.arrive(data)

        asyncio.get_running_loop().call_later(self.server.wire, arrive)

    def send(self, data: bytes) -> None:
        def write() -> None:
            if self.open:
                self.transport.write(data)

        if self.server.wire:
            asyncio.get_running_loop().call_later(self.server.wire, write)
        else:
            write()

    def arrive(self, data: bytes) -> None:
        self.buffer += data
        if not self.busy:
            self.next_request()

    def next_request(self) -> None:
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        self.buffer, self.busy = rest[length:], True
        method, target, _ = first.split(" ")
        task = asyncio.ensure_future(self.serve(method, target, headers, rest[:length]))
        self.server.tasks.add(task)
        task.add_done_callback(self.server.tasks.discard)

    async def serve(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        answer = await self.server.handle(self, method, target, headers, body)
        if answer is not None:
            self.send(answer)
        self.busy = False
        if self.open and self.buffer:
            self.next_request()


def answer(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class BackendServer:
    """A backend of a few slots: runs each request for `work` seconds and answers with the request's id."""

    def __init__(self, case: Case, id: str, work: float = 0.01, slots: int = 2, wire: float = 0.0) -> None:
        self.case, self.id, self.work, self.wire = case, id, work, wire
        self.slots = asyncio.Semaphore(slots)
        self.connections: set[Backend] = set()
        self.tasks: set[asyncio.Future] = set()
        self.runs: list[tuple[float, str, str]] = []  # when, request's id, class
        self.server: asyncio.Server | None = None
        self.port = 0
        self.wire_delays: list[float] = []
        # Called once an answer is on its way.
        self.after_answer: Callable[[Backend, str, bytes], None] | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Backend(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def body_for(self, id: str) -> bytes:
        return f"answer to {id}".encode()

    async def handle(
        self, connection: Backend, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bytes | None:
        if target.startswith("/health/live"):
            return answer(200, b"")
        id = headers.get("x-call-id", "")
        self.runs.append((self.case.record.now, id, target))
        self.case.record.write("run", self.id, id, target)
        async with self.slots:
            await asyncio.sleep(self.work)
        data = answer(200, self.body_for(id))
        if self.after_answer is not None:
            self.after_answer(connection, id, data)
        return data

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class Discovery:
    """The list service: the whole list, or a long poll for what changed."""

    def __init__(self, case: Case) -> None:
        self.case, self.generation, self.port = case, 1, 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, str]] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def set(
        self, server: BackendServer, lifecycle: str = "in_service", started_at: float = 0.0, zone: str = ""
    ) -> None:  # fmt: skip
        """Lists a backend, or a change of one. Those at a distance stand in the other building."""
        zone = zone or ("nimman" if not server.wire else "san-kamphaeng")
        self.generation += 1
        self.entries[server.id] = {
            "instanceId": server.id, "hostPort": f"127.0.0.1:{server.port}", "zone": zone,
            "machineType": "medium", "cell": 0, "lifecycle": lifecycle, "weight": 1.0,
            "startedAtMs": round(started_at * 1000),
        }  # fmt: skip
        self.changes.append((self.generation, server.id))
        self.case.record.write("list", self.generation, server.id, lifecycle)
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        listed = [entry for entry in self.entries.values() if entry["lifecycle"] != "terminated"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Goes down: calls end with a reset, and new connections are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, _, _ = await read_message(reader)
                query = first.decode().split()[1].partition("?")[2]
                values = dict(pair.split("=") for pair in query.split("&") if pair)
                document = self.whole()
                if "from" in values:
                    since = int(values["from"])
                    if since >= self.generation:
                        try:
                            async with asyncio.timeout(int(values.get("hold_ms", "0")) / 1000.0):
                                await self.changed.wait()
                        except TimeoutError:
                            pass
                    ids = dict.fromkeys(id for at, id in self.changes if at > since)
                    entries = [self.entries[id] for id in ids]
                    document = {"generation": self.generation, "reset": False, "instances": entries}
                writer.write(answer(200, json.dumps(document).encode()))
                await writer.drain()
                if document["instances"]:
                    told = [(entry["instanceId"], entry["lifecycle"]) for entry in document["instances"]]
                    self.case.record.write("told", document["generation"], told)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Answer:
    """How a request ended for its client: status 0 without a whole answer."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status, self.body, self.seconds, self.id = status, body, 0.0, ""


class Clients:
    """Usual clients of one node: one request at a time on a connection, which is kept."""

    def __init__(self, case: Case, port: int) -> None:
        self.case, self.port = case, port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.count = 0

    async def ask(
        self, name: str = "meter-view", method: str = "GET", budget: float = 0.8, body: bytes = b"",
        patience: float = 0.6, fresh: bool = False,
    ) -> Answer:  # fmt: skip
        """Sends one request; waits for its time and `patience` more, so that late answers are seen."""
        id = f"{random.getrandbits(64):016x}"
        headers = {"X-Call-Id": id, "X-Caller": "mueang", "X-Budget-Ms": str(round(budget * 1000))}
        data = request(method, f"/{name}", headers, body)
        self.count += 1
        started = time.monotonic()
        self.case.record.write("sent", id, name)
        result = Answer(0, b"")
        try:
            async with asyncio.timeout(budget + patience):
                result = await self._ask(data, fresh)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        result.seconds = time.monotonic() - started
        self.case.record.write("answered", id, result.status, result.body[:40], f"{result.seconds:.4f}")
        result.id = id
        return result

    async def _ask(self, data: bytes, fresh: bool) -> Answer:
        while True:
            kept = not fresh and bool(self.idle)
            if kept:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            whole = False
            try:
                writer.write(data)
                first, headers, body = await read_message(reader)
                whole = True
            except (OSError, asyncio.IncompleteReadError) as error:
                # The end of a resting connection that crossed the request: once more on a new one.
                nothing_came = not isinstance(error, asyncio.IncompleteReadError) or not error.partial
                if kept and nothing_came:
                    fresh = True
                    continue
                raise
            finally:
                if not whole:
                    writer.close()
            if headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return Answer(int(first.split()[1]), body)


class Case:
    """One play: a folder for its files, its record, its node processes and stand-ins."""

    def __init__(self, script: str) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(script).resolve().parent)
        self.nodes: list[Node] = []
        self.backends: list[BackendServer] = []
        self.discovery = Discovery(self)

    async def add_backends(self, count: int, **options: Any) -> None:
        for _ in range(count):
            server = BackendServer(self, f"s-{len(self.backends):02d}", **options)
            await server.start()
            self.backends.append(server)
            self.discovery.set(server)

    async def open_loop(self, rate: float, seconds: float, send: Callable[[], Any]) -> list[Any]:
        """Starts `send()` at random moments, `rate` times a second; returns all results."""
        tasks, end = [], time.monotonic() + seconds
        due = time.monotonic()
        while (now := time.monotonic()) < end:
            while due <= now:
                tasks.append(asyncio.ensure_future(send()))
                due += random.expovariate(rate)
            await asyncio.sleep(max(min(due, end) - time.monotonic(), 0.0))
        return await asyncio.gather(*tasks)

    def end(self) -> None:
        for node in self.nodes:
            node.end()
        for server in self.backends:
            server.stop()
        self.discovery.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(script: str, course: Callable[[Case], Any], limit: float = 110.0) -> None:
    """Plays `course`, which returns a line on what was seen, and exits with the verdict."""

    async def run() -> tuple[int, str]:
        case = Case(script)
        verdict, why = COULD_NOT_RUN, "ended early"
        try:
            async with asyncio.timeout(limit):
                why = await course(case)
            verdict = BROKEN if case.record.breaks else HELD
        except TimeoutError:
            why = "took too long"
        except (CannotRunError, OSError) as error:
            why = repr(error)
        finally:
            case.end()
            case.record.close(verdict, why)
        return verdict, why

    verdict, _ = asyncio.run(run())
    sys.exit(verdict)
