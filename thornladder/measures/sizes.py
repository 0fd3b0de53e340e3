"""Measures what a node pays for the size of its fleet.

Measures a full list, the drain of a quarter of the fleet, and an invocation. The cost of an invocation is
given as a ratio to the smallest fleet, from the same run on one core.

Run it with `python -m thornladder.measures.sizes`.
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

FLEET_SIZES = (16, 128, 1024)
INVOCATIONS_PER_SECOND, DURATION_SECONDS = 50, 20  # load of one node among many
MAX_LIST_STALL_SECONDS = 0.45  # the shortest drain grace minus the transit to the backend


class _Host:
    """Host that records pushes, which the caller completes, and ignores the other requests of the node."""

    def __init__(self) -> None:
        self.pushes: list[tuple[str, str]] = []
        self.nack_count = 0

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        self.pushes.append((invocation, backend))

    def nack(self, invocation: str, retry_after: float) -> None:
        self.nack_count += 1

    def _ignore(self, *_: Any) -> None:
        pass

    cancel = terminate = probe = set_timer = watch_list = log = _ignore


class Cost(NamedTuple):
    """Costs of a fleet of one size. Times are wall-clock times."""

    list_seconds: float  # to decode and apply the full list and rebuild the rotation
    drain_seconds: float  # the same for a delta that drains a quarter of the fleet
    invocation_us: float  # from the decision to the completion
    memory_kb: float  # retained by the node
    draining_pushes: int  # pushes to backends that drain


def measure_cost(size: int) -> Cost:
    """Runs one node with a list of `size` backends, a quarter of which drains halfway."""
    entries = [list_entry(f"s{number}", "in_service") for number in range(size)]
    body = json.dumps({"generation": 2, "reset": True, "instances": entries}, indent=2).encode()
    host = _Host()
    tracemalloc.start()
    node = Node(host, seed=1, now=0.0, **decision_settings(200, False))
    node.on_list(0.0, ListKind.SNAPSHOT, decode_list(body).entries)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024.0
    tracemalloc.stop()
    started_at = time.perf_counter()
    node.on_list(0.0, ListKind.SNAPSHOT, decode_list(body).entries)
    list_seconds = time.perf_counter() - started_at
    now, invocation_seconds, draining, draining_pushes = 0.0, 0.0, set[str](), 0
    for number in range(INVOCATIONS_PER_SECOND * DURATION_SECONDS):
        now = number / INVOCATIONS_PER_SECOND
        started_at = time.perf_counter()
        if number % INVOCATIONS_PER_SECOND == 0:
            node.on_timer(now, "interval")
        node.on_invocation(now, Invocation(f"i{number}", "look", "t", 1.5, None, False))
        for invocation_id, backend in host.pushes:
            draining_pushes += backend in draining
            node.on_push_ended(now + 0.01, invocation_id, 0, Outcome.COMPLETED, 0.01, True)
        invocation_seconds += time.perf_counter() - started_at
        host.pushes.clear()
        if number == INVOCATIONS_PER_SECOND * DURATION_SECONDS // 2:
            draining_entries = [list_entry(f"s{index}", "terminating") for index in range(0, size, 4)]
            delta_body = json.dumps(
                {"generation": 3, "reset": False, "instances": draining_entries}, indent=2
            ).encode()
            started_at = time.perf_counter()
            node.on_list(now, ListKind.DELTA, decode_list(delta_body).entries)
            drain_seconds = time.perf_counter() - started_at
            draining = {entry["instanceId"] for entry in draining_entries}
    return Cost(
        list_seconds,
        drain_seconds,
        1e6 * invocation_seconds / (INVOCATIONS_PER_SECOND * DURATION_SECONDS),
        memory_kb,
        draining_pushes,
    )


def main() -> int:
    """Prints the points for all fleet sizes; returns the exit code."""
    points = Points("sizes")
    costs = {size: measure_cost(size) for size in FLEET_SIZES}
    smallest = costs[FLEET_SIZES[0]]
    for size, cost in costs.items():
        points.record(
            f"{size}: invocation, times {FLEET_SIZES[0]}",
            cost.invocation_us / smallest.invocation_us,
            1,
            microseconds=round(cost.invocation_us, 1),
        )
        points.record(f"{size}: memory, kB", cost.memory_kb, 1)
        # With a tenth of a core a drain must still be applied well before it takes effect.
        points.at_most(
            f"{size}: whole list with a tenth of a core, s",
            10.0 * cost.list_seconds,
            MAX_LIST_STALL_SECONDS,
            1,
        )
        points.at_most(
            f"{size}: a quarter drained with a tenth of a core, s",
            10.0 * cost.drain_seconds,
            MAX_LIST_STALL_SECONDS,
            1,
        )
        points.at_most(f"{size}: pushes to what drains", cost.draining_pushes, 0, 1)
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
