"""A new configuration that lacks a key: is it turned down whole, or does a tagged request run twice?"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import bench2

RATE, SECONDS = 60.0, 15.0
RESET_SHARE = 0.1  # of the requests of the new class, whose connection is reset once they have run
WINDOW = 5.0  # seconds for which the backends of a zone drop a repeat


class ZoneBackend(bench2.BackendServer):
    """Drops a repeat that any backend of its zone has met, and notes what it applies."""

    applied: dict[str, list[str]] = {}  # by id: the zones in which it has been applied
    zone = ""

    async def handle(self, connection, method, target, headers, body):
        id = headers.get("x-call-id", "")
        if not target.startswith("/book-pay"):
            return await super().handle(connection, method, target, headers, body)
        zones = self.applied.setdefault(id, [])
        if self.zone not in zones:
            zones.append(self.zone)
            self.case.record.write("applied", self.id, self.zone, id)
        data = await super().handle(connection, method, target, headers, body)
        if random.random() < RESET_SHARE:
            self.case.record.write("reset", self.id, id)
            connection.transport.abort()
            return None
        return data


async def course(case: bench2.Case) -> str:
    await case.discovery.start()
    for number, zone in enumerate(("nimman", "san-kamphaeng", "san-kamphaeng")):
        server = ZoneBackend(case, f"s-{number:02d}", work=0.01, slots=4)
        server.zone = zone
        await server.start()
        case.backends.append(server)
        case.discovery.set(server, zone=server.zone)
    node = bench2.Node(case)
    node.write_config()
    node.start()
    await node.wait_ready()
    clients = bench2.Clients(case, node.port)
    await case.open_loop(RATE, 2.0, clients.ask)
    settings = bench2.garden_settings()
    new = bench2.offering("book-pay", "guarded", 0.25, 0.9, 8.0)
    new["Window"], new["Group"] = round(WINDOW * 1e6), "zone"
    if bench2.TROUBLE:
        del new["Group"]
    settings["Classes"].append(new)
    node.write_config(known=node.document["known"], settings=settings)
    await asyncio.sleep(1.0)
    node.signal(signal.SIGHUP)
    await asyncio.sleep(1.5)
    ids: list[str] = []

    async def send() -> int:
        if random.random() < 0.5:
            return (await clients.ask()).status
        answer = await clients.ask("book-pay", "POST", budget=0.8)
        ids.append(answer.id)
        return answer.status

    statuses = await case.open_loop(RATE, SECONDS, send)
    await asyncio.sleep(0.5)
    for id in ids:
        zones = ZoneBackend.applied.get(id, [])
        if len(zones) > 1:
            case.record.broken(f"{id} was applied in {' and '.join(zones)}")
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    return f"statuses={counts} of the new class={len(ids)} applied={len(ZoneBackend.applied)}"


bench2.play(__file__, course)
