"""A bad client sends the id of a request whose large answer is on its way: is it served, and run again?"""

from __future__ import annotations

import asyncio
import random
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

BACKENDS, CLIENTS, REQUESTS = 3, 4, 3
# An answer of more than 64 KiB, written at 64 kB a second: it takes 3 s.
PIECE_BYTES, PIECES, PIECE_SECONDS = 16_000, 12, 0.25
BAD_AFTER_SECONDS = 1.0  # the bad client sends its copy of the id this long after the answer has begun
BAD_OWED_SECONDS = 3.0  # an error or a close
OFFERINGS = [
    lab.offering("view", "free", 1000, 2.0),
    lab.offering("pay", "single_shot", 1500, 8.0),
]


class Backend(lab.Server):
    """Runs each request, and answers with a large receipt, slowly."""

    def __init__(self, name: str, record: lab.Record, ran: dict[str, int]) -> None:
        super().__init__(self._run)
        self.name, self.record, self.ran = name, record, ran

    async def _run(self, request: lab.Message, writer: asyncio.StreamWriter) -> None:
        if request.path == "/health/live":
            writer.write(lab.encode("HTTP/1.1 200 OK", {}))
            return
        self.ran[request.id] = self.ran.get(request.id, 0) + 1
        self.record(self.name, "ran", id=request.id, path=request.path, body=request.body.decode())
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {PIECE_BYTES * PIECES}\r\n\r\n".encode())
        for number in range(PIECES):
            if number:
                await asyncio.sleep(PIECE_SECONDS)
            writer.write(f"{request.id} {number} ".encode().ljust(PIECE_BYTES, b"."))
            await writer.drain()


class Case:
    """Sound clients, each with one request at a time, and a bad client beside each of them."""

    def __init__(self, port: int, record: lab.Record) -> None:
        self.port, self.record = port, record
        self.served_bad: list[str] = []
        self.served = 0
        self.rng = random.Random(3)

    async def client(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=2**20)
        for number in range(REQUESTS):
            id = f"{name}-{number}"
            writer.write(lab.request("POST", "/pay", id, 1500, b"amount=1"))
            self.record(name, "sent", id=id)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            self.record(name, "answer begins", id=id, status=head.split()[1].decode())
            bad = asyncio.create_task(self.bad_client(f"bad-{name}", id)) if lab.TROUBLE else None
            await asyncio.wait_for(reader.readexactly(PIECE_BYTES * PIECES), 15.0)
            self.served += 1
            self.record(name, "answer ends", id=id)
            if bad is not None:
                await bad
        await lab.close(writer)

    async def bad_client(self, name: str, id: str) -> None:
        await asyncio.sleep(BAD_AFTER_SECONDS)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=2**20)
        writer.write(lab.request("POST", "/pay", id, 1500, b"amount=1"))
        self.record(name, "sent the id of an open request", id=id)
        head = b""
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), BAD_OWED_SECONDS)
        status = int(head.split()[1]) if head else 0
        self.record(name, "answered" if head else "closed or nothing", id=id, status=status)
        if status == 200:
            self.served_bad.append(id)
        await lab.close(writer)


async def play(record: lab.Record, folder: Path, nodes: list[lab.Node]) -> str | None:
    discovery = lab.Discovery()
    await discovery.start()
    ran: dict[str, int] = {}
    for number in range(BACKENDS):
        backend = Backend(f"backend{number}", record, ran)
        await backend.start()
        discovery.set(backend.name, backend.port)
    node = lab.Node(folder, record, "node", lab.configuration("n1", lab.free_port(), discovery, OFFERINGS))
    nodes.append(node)
    node.start()
    await node.ready()
    case = Case(node.port, record)
    await asyncio.gather(*(case.client(f"c{number}") for number in range(CLIENTS)))
    twice = [id for id, times in ran.items() if times > 1]
    record("all", "counts", served=case.served, bad_served=len(case.served_bad), ran_twice=len(twice))
    print(f"{case.served} sound requests served, {len(twice)} once-only ids ran twice")
    if case.served_bad or twice:
        return (
            f"{len(case.served_bad)} of {CLIENTS * REQUESTS} bad requests were served with a 200, "
            f"{len(twice)} once-only ids ran twice"
        )
    return None


lab.main(FOLDER, play)
