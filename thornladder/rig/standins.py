"""Stand-ins on loopback by the published protocol: backends that bear only so much, and the list service."""

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

REJECTED = [("X-Rejected", "1")]
QUEUE = 200  # invocations that wait at a backend at most; one more is turned away


@dataclass(frozen=True)
class Cold:
    """What a backend bears after its start, as the settings tell the nodes."""

    share: float = 0.2
    warm_up: float = 20.0
    multiple: float = 3.0
    span: float = 1.0


@dataclass
class Ledger:
    """Each effect, by what it was done for: the rig's own account, which no node can touch."""

    effects: dict[str, list[tuple[float, str, str]]] = field(default_factory=dict)  # at, offering, backend

    def note(self, id: str, at: float, offering: str, backend: str) -> None:
        self.effects.setdefault(id, []).append((at, offering, backend))

    def doubled(self, offerings: set[str]) -> list[str]:
        """Invocations of these offerings that had more than one effect."""
        return [id for id, done in self.effects.items() if len(done) > 1 and done[0][1] in offerings]


class Http:
    """One side of a connection, whole messages at a time."""

    def __init__(self, stream: SocketStream, role: type[h11.Sentinel]) -> None:
        self.stream, self.role = stream, role
        self.wire = h11.Connection(role)

    async def message(self) -> tuple[Any, bytes]:
        """Its head and body; raises EndOfStream at an orderly end, or what h11 finds wrong."""
        head, body = None, b""
        while True:
            event = self.wire.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.wire.receive_data(await self.stream.receive())
                except anyio.EndOfStream:
                    if head is None:
                        raise
                    self.wire.receive_data(b"")
            elif isinstance(event, (h11.Request, h11.Response)):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return head, body
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def send(self, head: Any, body: bytes = b"") -> None:
        data = self.wire.send(head)
        if body:
            data += self.wire.send(h11.Data(data=body))
        await self.stream.send(data + self.wire.send(h11.EndOfMessage()))

    def again(self) -> bool:
        """Ready for the next message on this connection, if it has one."""
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
            return True
        return False


class Server:
    """Listens on an address of its own and answers each message by `answer`."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host, self.port = host, 0
        self.scope: anyio.CancelScope | None = None

    async def serve(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        with anyio.CancelScope() as self.scope:
            listener = await anyio.create_tcp_listener(local_host=self.host, local_port=self.port)
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started()
            async with listener:
                await listener.serve(self._talk)

    async def _talk(self, stream: SocketStream) -> None:
        http = Http(stream, h11.SERVER)
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError,
                      h11.ProtocolError, OSError):  # fmt: skip
            async with stream:
                while True:
                    head, body = await http.message()
                    status, more, content = await self.answer(head, body)
                    headers = [("Content-Length", str(len(content))), *more]
                    await http.send(h11.Response(status_code=status, headers=headers), content)
                    if not http.again():
                        return

    async def answer(self, head: h11.Request, body: bytes) -> tuple[int, list[tuple[str, str]], bytes]:
        raise NotImplementedError


class Backend(Server):
    """Cores, a queue, a cost by offering; cold at its start, and it falls over when sent too much then."""

    def __init__(
        self, id: str, zone: str, cores: int, costs: dict[str, float], cold: Cold, ledger: Ledger,
        now: Callable[[], float], started: float,
    ) -> None:  # fmt: skip
        """`started`: seconds of the play; far in the past for a warm one."""
        super().__init__()
        self.id, self.zone, self.cores, self.costs, self.cold = id, zone, cores, costs, cold
        self.ledger, self.now, self.started = ledger, now, started
        self.room = anyio.Semaphore(cores)
        self.waiting = 0
        self.lately: deque[float] = deque()  # pushes of the last span
        self.peak = 0.0  # of them, as a share of what it bears, while cold
        self.fallen_until = -1.0
        self.falls = 0

    def speed(self) -> float:
        age = (self.now() - self.started) / self.cold.warm_up
        return self.cold.share + (1.0 - self.cold.share) * min(max(age, 0.0), 1.0)

    def bears(self) -> float:
        """Pushes in one span."""
        cost = sum(self.costs.values()) / len(self.costs)
        return self.cold.multiple * self.cold.span * self.speed() * self.cores / cost

    async def answer(self, head: h11.Request, body: bytes) -> tuple[int, list[tuple[str, str]], bytes]:
        now = self.now()
        if head.target.startswith(b"/health"):
            return (200 if now > self.fallen_until else 503), [], b""
        if now < self.fallen_until or self.waiting >= QUEUE:
            return 503, REJECTED, b""
        self.lately.append(now)
        while self.lately[0] < now - self.cold.span:
            self.lately.popleft()
        if self.speed() < 1.0:
            self.peak = max(self.peak, len(self.lately) / self.bears())
            if self.peak > 1.0:
                self.falls += 1
                self.fallen_until = now + 3.0
                self.started, self.peak = self.fallen_until, 0.0
                return 503, REJECTED, b""
        headers = dict(head.headers)
        offering = head.target.decode().strip("/").split("/")[0]
        id = headers.get(b"x-call-id", b"").decode()
        self.waiting += 1
        try:
            async with self.room:
                self.ledger.note(id, now, offering, self.id)
                await anyio.sleep(self.costs.get(offering, 0.005) / self.speed())
        finally:
            self.waiting -= 1
        return 200, [], f"{id} {offering}".encode()


def instance_entry(id: str, port: int, zone: str, started: float, lifecycle: str) -> dict[str, Any]:
    """One backend as the list service tells of it."""
    return {
        "instanceId": id, "hostPort": f"127.0.0.1:{port}", "zone": zone, "cell": 0, "weight": 1.0,
        "lifecycle": lifecycle, "startedAtMs": round(started * 1000), "machineType": "plain",
    }  # fmt: skip


class Listing(Server):
    """The list service: the whole list, and a watch on it that waits."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: dict[str, dict[str, Any]] = {}
        self.changed: list[tuple[int, str]] = []
        self.version = 1
        self.news = anyio.Event()

    def put(self, id: str, port: int, zone: str, started: float, lifecycle: str = "in_service") -> None:
        """`started`: Unix time; 0 for long ago."""
        self.version += 1
        self.lines[id] = instance_entry(id, port, zone, started, lifecycle)
        self.changed.append((self.version, id))
        self.news.set()
        self.news = anyio.Event()

    def whole(self) -> dict[str, Any]:
        lines = [line for line in self.lines.values() if line["lifecycle"] != "terminated"]
        return {"generation": self.version, "reset": True, "instances": lines}

    async def answer(self, head: h11.Request, body: bytes) -> tuple[int, list[tuple[str, str]], bytes]:
        asked = parse_qs(urlsplit(head.target.decode()).query)
        if "from" not in asked:
            return 200, [], json.dumps(self.whole()).encode()
        since = int(asked["from"][0])
        if since >= self.version:
            with anyio.move_on_after(int(asked.get("hold_ms", ["0"])[0]) / 1000.0):
                await self.news.wait()
        ids = dict.fromkeys(id for version, id in self.changed if version > since)
        told = {"generation": self.version, "reset": False, "instances": [self.lines[id] for id in ids]}
        return 200, [], json.dumps(told).encode()
