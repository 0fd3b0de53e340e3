"""Maintenance over new configurations and an upgrade: does the backend that is out stay out?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import bench2

PORT = bench2.open_inherited()
GRACE, SLACK = 0.75, 0.05  # seconds
RATE = 60.0
OLD = [bench2.offering("meter-view", "free", 0.25, 1.0, 2.0)]
NEW = [bench2.offering("meter-read", "free", 0.25, 1.0, 2.0)]


async def course(case: bench2.Case) -> str:
    await case.discovery.start()
    await case.add_backends(4, work=0.01, slots=4)
    out = case.backends[0]
    old = bench2.Node(case, listen=PORT)
    old.write_config(settings=bench2.garden_settings(Classes=OLD))
    old.start(inherited=True)
    await old.wait_ready()
    clients = bench2.Clients(case, PORT)
    name = "meter-view"

    async def send() -> int:
        return (await clients.ask(name)).status

    await case.open_loop(RATE, 2.0, send)
    if await old.call("POST", "/maintenance/enter", {"host": out.id}) != 200:
        raise bench2.CannotRunError("the call for maintenance was answered with no")
    yes_at = case.record.now
    case.record.write("out for maintenance", out.id)
    await case.open_loop(RATE, 2.0, send)
    settings = old.document["settings"]
    if bench2.TROUBLE:
        # New configurations in a row: the new class appears beside the old one, which then vanishes.
        for classes in (OLD + NEW, NEW):
            settings = bench2.garden_settings(Classes=classes)
            old.write_config(known=old.document["known"], settings=settings)
            old.signal(signal.SIGHUP)
            await asyncio.sleep(1.5)
            name = "meter-read"
            await case.open_loop(RATE, 2.0, send)
    new = bench2.Node(case, listen=PORT, tmp=old.tmp)
    new.write_config(settings=settings)
    load = asyncio.ensure_future(case.open_loop(RATE, 8.0, send))
    new.start(inherited=True)
    await new.wait_ready(6.0)
    old.signal(signal.SIGTERM)
    statuses = await load
    for at, id, _ in out.runs:
        if at > yes_at + GRACE + SLACK:
            case.record.broken(f"{out.id} got {id}", f"{at - yes_at:.3f} s after the yes")
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    if counts.get(200, 0) < 0.5 * len(statuses):
        raise bench2.CannotRunError(f"too little was served: {counts}")
    return f"statuses={counts}"


bench2.play(__file__, course)
