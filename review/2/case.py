"""Many clients write large bodies slowly: does a client with a large body get its final answer?"""

from __future__ import annotations

import asyncio
import fcntl
import random
import struct
import sys
import termios
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

MEMORY_MB, SOCKETS = 80, 672
BACKENDS = 6
# Bodies of 2.5 MB, written at 64 kB a second; together they are far over the memory limit with TROUBLE.
SLOW_CLIENTS = 120 if lab.TROUBLE else 12
SLOW_BYTES, PIECE_BYTES, BYTES_PER_SECOND = 2_500_000, 8_000, 64_000.0
SLOW_SECONDS = SLOW_BYTES / BYTES_PER_SECOND
# Each second a further client writes a body over 64 KiB at once.
QUICK_CLIENTS, QUICK_BYTES = 10, 100_000
DEADLINE_SECONDS = 1.5
# After its time a request may still get its answer for 0.5 s; each limit is 50 ms longer on sockets.
GRACE_SECONDS = 0.55
OFFERINGS = [
    lab.offering("view", "free", 1000, 2.0),
    lab.offering("pay", "single_shot", 1500, 8.0),
]


class Backend(lab.Server):
    """Reads each request as it comes, and answers with its id and the length of its body."""

    def __init__(self, name: str, record: lab.Record) -> None:
        super().__init__(self._run)
        self.name, self.record = name, record

    async def _run(self, request: lab.Message, writer: asyncio.StreamWriter) -> None:
        if request.id:
            self.record(self.name, "ran", id=request.id, bytes=len(request.body))
        writer.write(lab.encode("HTTP/1.1 200 OK", {}, request.id.encode()))


class Case:
    def __init__(self, port: int, record: lab.Record) -> None:
        self.port, self.record = port, record
        self.rng = random.Random(6)
        self.slow: dict[str, int] = {}  # how the slow requests ended
        self.lost: list[str] = []
        self.answered: list[str] = []

    async def slow_client(self, number: int) -> None:
        id = f"slow-{number:03}"
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        end = "no answer"
        try:
            head, _, _ = lab.request("POST", "/pay", id, 1500, b"").partition(b"Content-Length")
            writer.write(head + f"Content-Length: {SLOW_BYTES}\r\n\r\n".encode())
            self.record(id, "sends", bytes=SLOW_BYTES)
            started = time.monotonic()
            answer = asyncio.create_task(lab.read_message(reader))
            for sent in range(0, SLOW_BYTES, PIECE_BYTES):
                if answer.done():
                    break
                await asyncio.sleep(max(started + sent / BYTES_PER_SECOND - time.monotonic(), 0.0))
                writer.write(b"s" * min(PIECE_BYTES, SLOW_BYTES - sent))
                await writer.drain()
            got = await asyncio.wait_for(answer, 30.0)
            end = "closed" if got is None else str(got.status)
        except (OSError, asyncio.IncompleteReadError) as error:
            end = type(error).__name__
        self.record(id, "ended", how=end)
        self.slow[end] = self.slow.get(end, 0) + 1
        await lab.close(writer)

    async def quick_client(self, number: int) -> None:
        id = f"quick-{number}"
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(lab.request("POST", "/pay", id, round(DEADLINE_SECONDS * 1000), b"q" * QUICK_BYTES))
        await self._taken(writer)
        taken = time.monotonic()
        self.record(id, "last byte taken by the node's machine", bytes=QUICK_BYTES)
        answer = None
        status = "no answer"
        with suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            answer = await asyncio.wait_for(lab.read_message(reader), SLOW_SECONDS + 10.0)
            status = "closed" if answer is None else str(answer.status)
        waited = time.monotonic() - taken
        self.record(id, "ended", how=status, after=round(waited, 3))
        text = f"{id}: {status} after {waited:.2f} s"
        late = answer is None or waited > DEADLINE_SECONDS + GRACE_SECONDS
        (self.lost if late else self.answered).append(text)
        await lab.close(writer)

    async def _taken(self, writer: asyncio.StreamWriter) -> None:
        """Waits until the node's kernel has acknowledged every byte."""
        descriptor = writer.get_extra_info("socket").fileno()
        while writer.transport.get_write_buffer_size() or self._unacknowledged(descriptor):
            await asyncio.sleep(0.005)

    @staticmethod
    def _unacknowledged(descriptor: int) -> int:
        return struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, b"\0\0\0\0"))[0]


async def play(record: lab.Record, folder: Path, nodes: list[lab.Node]) -> str | None:
    discovery = lab.Discovery()
    await discovery.start()
    for number in range(BACKENDS):
        backend = Backend(f"backend{number}", record)
        await backend.start()
        discovery.set(backend.name, backend.port)
    config = lab.configuration("n1", lab.free_port(), discovery, OFFERINGS)
    config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    node = lab.Node(folder, record, "node", config)
    nodes.append(node)
    node.start()
    await node.ready()
    case = Case(node.port, record)
    slow = [asyncio.create_task(case.slow_client(number)) for number in range(SLOW_CLIENTS)]
    await asyncio.sleep(6.0)
    quick = []
    for number in range(QUICK_CLIENTS):
        quick.append(asyncio.create_task(case.quick_client(number)))
        await asyncio.sleep(1.0)
    await asyncio.gather(*quick)
    record("all", "counts", answered=len(case.answered), lost=len(case.lost))
    for task in slow:
        task.cancel()
    await asyncio.gather(*slow, return_exceptions=True)
    print(f"in time: {case.answered}; late or never: {case.lost}; slow requests that ended: {case.slow}")
    return f"{len(case.lost)} of {QUICK_CLIENTS} got no final answer in time" if case.lost else None


lab.main(FOLDER, play)
