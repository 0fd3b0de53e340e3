"""Stand-ins on loopback that follow the published protocol: backends of limited capacity, and discovery."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import h11
from anyio.abc import SocketStream, TaskStatus

REJECTED_HEADERS = [("X-Rejected", "1")]
MAX_WAITING = 200  # invocations waiting or running at a backend; further ones are rejected
OVERLOAD_SECONDS = 3.0  # for which an overloaded backend rejects everything


@dataclass(frozen=True)
class SlowStartModel:
    """The capacity of a backend after its start, as the nodes' settings describe it."""

    initial_capacity: float = 0.2  # as a share of full capacity
    warm_up: float = 20.0  # seconds until full capacity
    overload_multiple: float = 3.0  # of its capacity: work beyond which it is overloaded
    overload_window: float = 1.0  # seconds over which the work is summed


@dataclass
class EffectLog:
    """The effects of each invocation, as recorded by the backends in the process of the rig, not by nodes."""

    effects: dict[str, list[tuple[float, str, str]]] = field(default_factory=dict)  # at, offering, backend

    def record(self, id: str, at: float, offering: str, backend: str) -> None:
        """Adds an effect of the invocation `id`; `at` is in seconds of the scenario."""
        self.effects.setdefault(id, []).append((at, offering, backend))

    def repeated(self, offerings: set[str]) -> list[str]:
        """Ids of the invocations of these offerings that had more than one effect."""
        return [id for id, done in self.effects.items() if len(done) > 1 and done[0][1] in offerings]


class HttpConnection:
    """One side of an HTTP/1.1 connection that sends and receives whole messages."""

    def __init__(self, stream: SocketStream, role: type[h11.Sentinel]) -> None:
        """`role`: `h11.CLIENT` or `h11.SERVER`."""
        self.stream, self.role = stream, role
        self.protocol = h11.Connection(role)

    async def receive(self) -> tuple[Any, bytes]:
        """Receives the head and the body of a message.

        Raises EndOfStream if the peer has closed between messages, and h11's errors for a malformed message.
        """
        head = await self.receive_head()
        return head, await self.receive_body()

    async def receive_head(self) -> Any:
        """Receives the head of a message. Raises the same as `receive`."""
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.stream.receive())
            elif isinstance(event, (h11.Request, h11.Response)):
                return event
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def receive_body(self) -> bytes:
        """Receives the body of the message whose head was received. Raises the same as `receive`."""
        body = b""
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.protocol.receive_data(await self.stream.receive())
                except anyio.EndOfStream:
                    self.protocol.receive_data(b"")
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return body
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def send(self, head: Any, body: bytes = b"") -> None:
        """Sends a whole message."""
        data = self.protocol.send(head)
        if body:
            data += self.protocol.send(h11.Data(data=body))
        await self.stream.send(data + self.protocol.send(h11.EndOfMessage()))

    def start_next_cycle(self) -> bool:
        """Prepares for the next message; returns whether the connection can be reused."""
        if self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE:
            self.protocol.start_next_cycle()
            return True
        return False


class HttpServer:
    """Listens on a port of its own and answers each request with what `handle_request` returns."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host, self.port = host, 0
        self.cancel_scope: anyio.CancelScope | None = None  # of `serve`
        self.stopped = anyio.Event()  # set once `serve` has closed its socket; replaced when it is called

    async def serve(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until `cancel_scope` is cancelled. Keeps its port when it is called again."""
        self.stopped = anyio.Event()
        with anyio.CancelScope() as self.cancel_scope:
            listener = await anyio.create_tcp_listener(local_host=self.host, local_port=self.port)
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started()
            async with listener:
                await listener.serve(self._serve_connection)
        self.stopped.set()

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = HttpConnection(stream, h11.SERVER)
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError,
                      h11.ProtocolError, OSError):  # fmt: skip
            async with stream:
                while True:
                    head, body = await connection.receive()
                    status, extra_headers, content = await self.handle_request(head, body)
                    headers = [("Content-Length", str(len(content))), *extra_headers]
                    await connection.send(h11.Response(status_code=status, headers=headers), content)
                    if not connection.start_next_cycle():
                        return

    async def handle_request(
        self, head: h11.Request, body: bytes
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Returns the status, the headers besides Content-Length, and the body of the response."""
        raise NotImplementedError


class Backend(HttpServer):
    """A backend with a number of cores, a queue and a cost per offering.

    It is in slow start after its start. If it receives too much work then, it is overloaded: it fails health
    probes and rejects invocations for OVERLOAD_SECONDS, and goes through slow start again.
    """

    def __init__(
        self, id: str, zone: str, cores: int, costs: dict[str, float], slow_start: SlowStartModel,
        effects: EffectLog, now: Callable[[], float], started_at: float,
    ) -> None:  # fmt: skip
        """`costs`: seconds of a core by offering. `started_at`: time on `now`; far in the past if warm."""
        super().__init__()
        self.id, self.zone, self.cores, self.costs, self.slow_start = id, zone, cores, costs, slow_start
        self.effects, self.now, self.started_at = effects, now, started_at
        self.free_cores = anyio.Semaphore(cores)
        self.waiting = 0  # invocations, including those that run
        self.recent_pushes: deque[float] = deque()  # times of the pushes within the overload window
        self.peak_load = 0.0  # maximum of recent pushes / overload threshold during slow start
        self.overloaded_until = -1.0
        self.overloads = 0

    def capacity(self) -> float:
        """Present capacity as a share of full capacity."""
        warmed_up = (self.now() - self.started_at) / self.slow_start.warm_up
        return self.slow_start.initial_capacity + (1.0 - self.slow_start.initial_capacity) * min(
            max(warmed_up, 0.0), 1.0
        )

    def overload_threshold(self) -> float:
        """Number of pushes within the overload window beyond which the backend is overloaded."""
        mean_cost = sum(self.costs.values()) / len(self.costs)
        return (
            self.slow_start.overload_multiple
            * self.slow_start.overload_window
            * self.capacity()
            * self.cores
            / mean_cost
        )

    async def handle_request(
        self, head: h11.Request, body: bytes
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Responds to health probes, and runs or rejects invocations."""
        now = self.now()
        if head.target.startswith(b"/health"):
            return (200 if now > self.overloaded_until else 503), [], b""
        if now < self.overloaded_until or self.waiting >= MAX_WAITING:
            return 503, REJECTED_HEADERS, b""
        self.recent_pushes.append(now)
        while self.recent_pushes[0] < now - self.slow_start.overload_window:
            self.recent_pushes.popleft()
        if self.capacity() < 1.0:
            self.peak_load = max(self.peak_load, len(self.recent_pushes) / self.overload_threshold())
            if self.peak_load > 1.0:
                self.overloads += 1
                self.overloaded_until = now + OVERLOAD_SECONDS
                self.started_at, self.peak_load = self.overloaded_until, 0.0
                return 503, REJECTED_HEADERS, b""
        headers = dict(head.headers)
        offering = head.target.decode().strip("/").split("/")[0]
        id = headers.get(b"x-call-id", b"").decode()
        self.waiting += 1
        try:
            async with self.free_cores:
                self.effects.record(id, now, offering, self.id)
                await anyio.sleep(self.costs.get(offering, 0.005) / self.capacity())
        finally:
            self.waiting -= 1
        return 200, [], f"{id} {offering}".encode()


def instance_entry(
    id: str, port: int, zone: str, started_at: float, lifecycle: str, host: str = "127.0.0.1"
) -> dict[str, Any]:
    """A backend's entry in discovery's list. `started_at`: Unix time in seconds."""
    return {
        "instanceId": id, "hostPort": f"{host}:{port}", "zone": zone, "cell": 0, "weight": 1.0,
        "lifecycle": lifecycle, "startedAtMs": round(started_at * 1000), "machineType": "plain",
    }  # fmt: skip


class DiscoveryServer(HttpServer):
    """Discovery: answers with the full list, or holds a request until the list has changed (long poll)."""

    def __init__(self) -> None:
        super().__init__()
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, str]] = []  # version, id of the changed instance
        self.version = 1
        self.change_event = anyio.Event()  # replaced at each change

    def update(
        self, id: str, port: int, zone: str, started_at: float, lifecycle: str = "in_service",
        host: str = "127.0.0.1",
    ) -> None:  # fmt: skip
        """Adds or replaces an entry and wakes waiting requests. `started_at`: Unix time; 0 if long ago."""
        self.version += 1
        self.entries[id] = instance_entry(id, port, zone, started_at, lifecycle, host)
        self.changes.append((self.version, id))
        self.change_event.set()
        self.change_event = anyio.Event()

    def full_list(self) -> dict[str, Any]:
        """The list of all instances that have not terminated."""
        entries = [entry for entry in self.entries.values() if entry["lifecycle"] != "terminated"]
        return {"generation": self.version, "reset": True, "instances": entries}

    async def handle_request(
        self, head: h11.Request, body: bytes
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Returns the full list, or with `from` the changes since that version, after at most `hold_ms`."""
        query = parse_qs(urlsplit(head.target.decode()).query)
        if "from" not in query:
            return 200, [], json.dumps(self.full_list()).encode()
        since = int(query["from"][0])
        if since >= self.version:
            with anyio.move_on_after(int(query.get("hold_ms", ["0"])[0]) / 1000.0):
                await self.change_event.wait()
        ids = dict.fromkeys(id for version, id in self.changes if version > since)
        update = {
            "generation": self.version, "reset": False, "instances": [self.entries[id] for id in ids]
        }  # fmt: skip
        return 200, [], json.dumps(update).encode()
