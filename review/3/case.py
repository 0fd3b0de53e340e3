"""Backends send some answers whose lengths do not fit: is one served as if it were whole?"""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

SECONDS = 15.0
BACKENDS, CLIENTS = 3, 6
THINK_SECONDS = 0.2
SPOILT_SHARE = 0.05
# Answers of more than 64 KiB and at most 32 MB occur; these have 100 to 300 KB, in chunks of 50 KB.
CHUNK_BYTES, CHUNKS = 50_000, (2, 6)
OFFERINGS = [
    lab.offering("view", "free", 1000, 2.0),
    lab.offering("pay", "single_shot", 1500, 8.0),
]


def body_of(id: str, chunks: int) -> bytes:
    """The body that a backend makes for a request."""
    return b"".join(f"{id} {number} ".encode().ljust(CHUNK_BYTES, b"x") for number in range(chunks))


class Backend(lab.Server):
    """Answers with a large body in chunks; a spoilt answer tells a Content-Length that does not fit."""

    def __init__(self, name: str, record: lab.Record, rng: random.Random) -> None:
        super().__init__(self._run)
        self.name, self.record, self.rng = name, record, rng
        self.made: dict[str, bytes] = {}  # the digest of the body made for each request
        self.spoilt = 0

    async def _run(self, request: lab.Message, writer: asyncio.StreamWriter) -> None:
        if request.path == "/health/live":
            writer.write(lab.encode("HTTP/1.1 200 OK", {}))
            return
        await asyncio.sleep(self.rng.uniform(0.003, 0.012))
        chunks = self.rng.randint(*CHUNKS)
        body = body_of(request.id, chunks)
        self.made[request.id] = hashlib.sha256(body).digest()
        spoilt = lab.TROUBLE and self.rng.random() < SPOILT_SHARE
        self.record(self.name, "ran", id=request.id, bytes=len(body), spoilt=spoilt)
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        if spoilt:
            self.spoilt += 1
            head += f"Content-Length: {(chunks - 1) * CHUNK_BYTES}\r\n"
        writer.write(head.encode() + b"\r\n")
        for start in range(0, len(body), CHUNK_BYTES):
            writer.write(b"%x\r\n%s\r\n" % (CHUNK_BYTES, body[start : start + CHUNK_BYTES]))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Client:
    """Sends one request after the other; reads each answer by the framing that the node gives it."""

    def __init__(self, name: str, port: int, record: lab.Record, rng: random.Random) -> None:
        self.name, self.port, self.record, self.rng = name, port, record, rng
        self.answers: dict[str, tuple[int, bytes]] = {}  # status and body's digest, of whole answers

    async def run(self, until: float) -> None:
        number, connection = 0, None
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1.0 / THINK_SECONDS))
            connection = connection or await asyncio.open_connection("127.0.0.1", self.port, limit=2**20)
            number += 1
            if not await self._ask(f"{self.name}-{number}", *connection):
                await lab.close(connection[1])
                connection = None
        if connection is not None:
            await lab.close(connection[1])

    async def _ask(self, id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Sends one request; returns whether the connection can be used again."""
        pays = self.rng.random() < 0.3
        method, path, budget = ("POST", "/pay", 1500) if pays else ("GET", "/view", 1000)
        try:
            writer.write(lab.request(method, path, id, budget, b"amount=1" if pays else b""))
            self.record(self.name, "sent", id=id, path=path)
            answer = await asyncio.wait_for(lab.read_message(reader), 5.0)
        except (OSError, asyncio.IncompleteReadError) as error:
            # Not whole, and the client can tell: failed, which breaks no rule.
            self.record(self.name, "not whole", id=id, error=type(error).__name__)
            return False
        if answer is None:
            self.record(self.name, "closed", id=id)
            return False
        self.answers[id] = answer.status, hashlib.sha256(answer.body).digest()
        framing = answer.headers.get("content-length", "chunked")
        self.record(self.name, "whole", id=id, status=answer.status, framing=framing, bytes=len(answer.body))
        return answer.headers.get("connection", "").lower() != "close"


async def play(record: lab.Record, folder: Path, nodes: list[lab.Node]) -> str | None:
    rng = random.Random(2)
    discovery = lab.Discovery()
    await discovery.start()
    backends = [Backend(f"backend{number}", record, rng) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
        discovery.set(backend.name, backend.port)
    node = lab.Node(folder, record, "node", lab.configuration("n1", lab.free_port(), discovery, OFFERINGS))
    nodes.append(node)
    node.start()
    await node.ready()
    clients = [Client(f"c{number:02}", node.port, record, rng) for number in range(CLIENTS)]
    until = time.monotonic() + SECONDS
    await asyncio.gather(*(client.run(until) for client in clients))
    made = {}
    for backend in backends:
        made.setdefault("", set())
        for id, digest in backend.made.items():
            made.setdefault(id, set()).add(digest)
    wrong, served = [], 0
    for client in clients:
        for id, (status, digest) in client.answers.items():
            served += status == 200
            if status == 200 and digest not in made[id]:
                wrong.append(id)
                record(client.name, "WRONG BODY", id=id)
    spoilt = sum(backend.spoilt for backend in backends)
    record("all", "counts", served=served, spoilt=spoilt, wrong=len(wrong))
    print(f"{served} whole answers of 200, {spoilt} spoilt answers of backends")
    if served < 100:
        raise lab.CouldNotRun("hardly anything was served")
    return f"{len(wrong)} answers served whole that no backend made, the first: {wrong[0]}" if wrong else None


lab.main(FOLDER, play)
