"""What a node pays for the size of its fleet: lists taken in, a quarter drained, invocations decided on.

Ratios to the smallest, measured in one run on one core: `python -m thornladder.measures.sizes`.
"""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
from typing import Any, NamedTuple

from thornladder.decide import Node
from thornladder.interface import Invocation, ListKind, Outcome
from thornladder.measures.points import Points
from thornladder.node.messages import decode_list
from thornladder.rig.told import decision_settings, list_entry

SIZES = (16, 128, 1024)
RATE, SPAN = 50, 20  # invocations a second at the node, as in a bank of many; seconds
STALL = 0.45  # seconds: the shortest grace of a drain less the way to the backend


class _Host:
    """Takes what the node asks for; pushes are completed by the play."""

    def __init__(self) -> None:
        self.pushed: list[tuple[str, str]] = []
        self.nacked = 0

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        self.pushed.append((invocation, backend))

    def nack(self, invocation: str, retry_after: float) -> None:
        self.nacked += 1

    def _pass(self, *_: Any) -> None:
        pass

    cancel = terminate = probe = set_timer = watch_list = log = _pass


class Cost(NamedTuple):
    list_s: float  # to take in the whole list: decoded, told, rotation built
    drain_s: float  # a quarter of it at once
    invocation_us: float  # of the core for one invocation, decided on and completed
    memory_kb: float  # of what is kept
    to_leaving: int  # pushes to what drains


def cost(size: int) -> Cost:
    lines = [list_entry(f"s{number}", "in_service") for number in range(size)]
    body = json.dumps({"generation": 2, "reset": True, "instances": lines}, indent=2).encode()
    host = _Host()
    tracemalloc.start()
    node = Node(host, seed=1, now=0.0, **decision_settings(200, False))
    node.on_list(0.0, ListKind.SNAPSHOT, decode_list(body).entries)
    memory = tracemalloc.get_traced_memory()[0] / 1024.0
    tracemalloc.stop()
    began = time.perf_counter()
    node.on_list(0.0, ListKind.SNAPSHOT, decode_list(body).entries)
    whole = time.perf_counter() - began
    now, spent, leaving, wrong = 0.0, 0.0, set[str](), 0
    for number in range(RATE * SPAN):
        now = number / RATE
        began = time.perf_counter()
        if number % RATE == 0:
            node.on_timer(now, "interval")
        node.on_invocation(now, Invocation(f"i{number}", "look", "t", 1.5, None, False))
        for id, backend in host.pushed:
            wrong += backend in leaving
            node.on_push_ended(now + 0.01, id, 0, Outcome.COMPLETED, 0.01, True)
        spent += time.perf_counter() - began
        host.pushed.clear()
        if number == RATE * SPAN // 2:
            part = [list_entry(f"s{each}", "terminating") for each in range(0, size, 4)]
            text = json.dumps({"generation": 3, "reset": False, "instances": part}, indent=2).encode()
            began = time.perf_counter()
            node.on_list(now, ListKind.DELTA, decode_list(text).entries)
            drain = time.perf_counter() - began
            leaving = {line["instanceId"] for line in part}
    return Cost(whole, drain, 1e6 * spent / (RATE * SPAN), memory, wrong)


def main() -> int:
    points = Points("sizes")
    costs = {size: cost(size) for size in SIZES}
    least = costs[SIZES[0]]
    for size, each in costs.items():
        points.record(f"{size}: invocation, times {SIZES[0]}", each.invocation_us / least.invocation_us, 1,
                    microseconds=round(each.invocation_us, 1))  # fmt: skip
        points.record(f"{size}: memory, kB", each.memory_kb, 1)
        # With a tenth of a core, as the issue has it; a drain is taken in well before it binds.
        points.at_most(f"{size}: whole list with a tenth of a core, s", 10.0 * each.list_s, STALL, 1)
        points.at_most(f"{size}: a quarter drained with a tenth of a core, s", 10.0 * each.drain_s, STALL, 1)
        points.at_most(f"{size}: pushes to what drains", each.to_leaving, 0, 1)
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
