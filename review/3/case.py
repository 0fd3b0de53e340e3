"""Bad clients tell too short a length for a large body: are they served, and is what lies behind it run?"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

BACKENDS, SOUND_CLIENTS, BAD_REQUESTS = 3, 4, 20
SECONDS = 12.0
BAD_OWED_SECONDS = 3.0  # an error or a close
LARGE_BYTES = (70_000, 300_000)  # over 64 KiB, and far under 32 MB
SURPLUS_BYTES = (200, 2_000)  # by which the body is longer than its client tells
OFFERINGS = [
    lab.offering("view", "free", 1000, 2.0),
    lab.offering("pay", "single_shot", 1500, 8.0),
]


class Backend(lab.Server):
    """Runs each request, and answers with its id."""

    def __init__(self, name: str, record: lab.Record, ran: dict[str, int]) -> None:
        super().__init__(self._run)
        self.name, self.record, self.ran = name, record, ran

    async def _run(self, request: lab.Message, writer: asyncio.StreamWriter) -> None:
        if request.path == "/health/live":
            writer.write(lab.encode("HTTP/1.1 200 OK", {}))
            return
        await asyncio.sleep(0.02)
        self.ran[request.id] = self.ran.get(request.id, 0) + 1
        self.record(self.name, "ran", id=request.id, path=request.path, bytes=len(request.body))
        writer.write(lab.encode("HTTP/1.1 200 OK", {}, request.id.encode()))


class Case:
    def __init__(self, port: int, record: lab.Record) -> None:
        self.port, self.record, self.rng = port, record, random.Random(5)
        self.sound: dict[int, int] = {}  # answers to sound clients, by status
        self.bad: dict[str, int] = {}  # what bad clients got first
        self.hidden: list[str] = []  # ids that stand only inside the body of another request

    async def sound_client(self, name: str, until: float) -> None:
        number = 0
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
            number += 1
            id, body = f"{name}-{number}", b"x" * self.rng.randint(*LARGE_BYTES)
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(lab.request("POST", "/pay", id, 1500, body))
            self.record(name, "sent", id=id, bytes=len(body))
            answer = await asyncio.wait_for(lab.read_message(reader), 3.0)
            status = answer.status if answer is not None else 0
            self.record(name, "answered", id=id, status=status)
            self.sound[status] = self.sound.get(status, 0) + 1
            await lab.close(writer)

    async def bad_client(self, number: int) -> None:
        name, id = f"bad{number:02}", f"bad-{number:02}"
        body = b"y" * self.rng.randint(*LARGE_BYTES)
        data = lab.request("POST", "/pay", id, 1500, body)  # its length is that of `body`
        if lab.TROUBLE and number % 2:
            # The rest of the body is the text of a request, as in an uploaded log or mail.
            self.hidden.append(f"hidden-{number:02}")
            data += lab.request("POST", "/pay", self.hidden[-1], 1500, b"amount=1000")
        elif lab.TROUBLE:
            data += b"y" * self.rng.randint(*SURPLUS_BYTES)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        self.record(name, "sent", id=id, length=len(body), more=len(data) - data.index(b"\r\n\r\n") - 4)
        got = "nothing"
        with suppress(OSError, asyncio.IncompleteReadError):
            answer = await asyncio.wait_for(lab.read_message(reader), BAD_OWED_SECONDS)
            got = "closed" if answer is None else str(answer.status)
            self.record(name, "got", id=id, what=got)
            self.bad[got] = self.bad.get(got, 0) + 1
            while answer is not None:
                answer = await asyncio.wait_for(lab.read_message(reader), 0.5)
                if answer is not None:
                    self.record(name, "got more", status=answer.status, body=answer.body.decode().strip())
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
    until = time.monotonic() + SECONDS
    sound = [asyncio.create_task(case.sound_client(f"c{n}", until)) for n in range(SOUND_CLIENTS)]
    for number in range(BAD_REQUESTS):
        await asyncio.sleep(0.2)
        await case.bad_client(number)
    await asyncio.gather(*sound)
    hidden_ran = [id for id in case.hidden if ran.get(id)]
    record("all", "counts", sound=case.sound, bad=case.bad, hidden_ran=len(hidden_ran))
    print(f"sound clients: {case.sound}; bad clients: {case.bad}; hidden requests run: {len(hidden_ran)}")
    if case.sound.get(200, 0) < 20:
        raise lab.CouldNotRun("hardly anything was served")
    served = case.bad.get("200", 0) if lab.TROUBLE else 0
    if served or hidden_ran:
        return (
            f"{served} of {BAD_REQUESTS} requests with a wrong length were served with a 200, "
            f"{len(hidden_ran)} of {len(case.hidden)} requests hidden in a body were run"
        )
    return None


lab.main(FOLDER, play)
