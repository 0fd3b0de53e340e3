"""An upgrade while discovery is down: does the new process send to a backend that the node knows to drain?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import bench2

PORT = bench2.open_inherited()
GRACE, SLACK, NEWS_BINDS = 0.75, 0.05, 2.0  # seconds
DOWN_SECONDS = 8.0
RATE = 60.0


async def course(case: bench2.Case) -> str:
    await case.discovery.start()
    await case.add_backends(4, work=0.01, slots=4)
    old = bench2.Node(case, listen=PORT)
    old.write_config()
    known = old.document["known"]
    old.start(inherited=True)
    await old.wait_ready()
    clients = bench2.Clients(case, PORT)

    async def send() -> int:
        return (await clients.ask()).status

    await case.open_loop(RATE, 2.0, send)
    drained = case.backends[0]
    case.discovery.set(drained, "terminating")
    told_at = case.record.now
    await case.open_loop(RATE, 3.0, send)
    late = [run for run in drained.runs if run[0] > told_at + GRACE + SLACK]
    if late:
        raise bench2.CannotRunError(f"the old process sent {len(late)} to it already")
    if bench2.TROUBLE:
        case.discovery.stop()
        case.record.write("discovery is down")
    down_at = time.monotonic()
    new = bench2.Node(case, listen=PORT, tmp=old.tmp)
    new.write_config(known=known)
    load = asyncio.ensure_future(case.open_loop(RATE, DOWN_SECONDS + 2.0, send))
    new.start(inherited=True)
    yes_at = await new.wait_ready(6.0)
    old.signal(signal.SIGTERM)
    await asyncio.sleep(max(down_at + DOWN_SECONDS - time.monotonic(), 0.0))
    if bench2.TROUBLE:
        await case.discovery.start()
        case.record.write("discovery is back")
    statuses = await load
    binds_at = yes_at + NEWS_BINDS + GRACE + SLACK
    for at, id, _ in drained.runs:
        if at > binds_at:
            case.record.broken(f"{drained.id} got {id}", f"{at - yes_at:.3f} s after the yes")
    early = sum(yes_at < at <= binds_at for at, _, _ in drained.runs)
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    return f"statuses={counts} in the time that is allowed={early}"


bench2.play(__file__, course)
