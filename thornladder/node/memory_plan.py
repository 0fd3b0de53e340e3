"""How a process divides its memory limit: rest, connections, and messages beyond small ones."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

# One connection with its tasks, its parser, one small read and a small message in each direction.
CONNECTION_BYTES = 32 * 1024
BACKEND_BYTES = 4 * 1024  # what a listed backend costs: its entry and what is known of it
CONNECTIONS_SHARE = 0.5  # of what is left of the limit; messages get the rest
# Of what is left of the limit; the allocator's fragments take the rest.
USABLE_SHARE = 0.85
# Of the limit that is divided in any case, where a process at rest needs nearly all of it.
MIN_ROOM_SHARE = 0.25
MIN_CONNECTIONS = 64
MIN_MESSAGE_BYTES = 2**20


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Division of a node's memory limit; all figures are in bytes."""

    limit: int  # of all processes of the node together
    at_rest: int  # what one process takes with no connection and the list that it was started with
    backends_at_rest: int = 0  # in that list

    def room(self, processes: int = 1, backends: int = 0) -> int:
        """What each of these `processes` may use beyond rest, with so many `backends` listed."""
        share = self.limit // processes
        list_growth = max(backends - self.backends_at_rest, 0) * BACKEND_BYTES
        left = share - self.at_rest - list_growth
        return round(USABLE_SHARE * max(left, MIN_ROOM_SHARE * share))

    def max_connections(self, wanted: int) -> int:
        """How many of the `wanted` connections, to clients and backends together, there is memory for."""
        affordable = round(CONNECTIONS_SHARE * self.room() / CONNECTION_BYTES)
        return min(wanted, max(affordable, MIN_CONNECTIONS))

    def message_bytes(self, connections: int, processes: int = 1, backends: int = 0) -> int:
        """What is left for messages beside so many `connections` of the node."""
        room = self.room(processes, backends)
        taken = connections * CONNECTION_BYTES // processes
        return max(room - taken, round((1.0 - CONNECTIONS_SHARE) * room), MIN_MESSAGE_BYTES)


def resident_bytes() -> int:
    """The memory that this process has now; 0 where the kernel does not tell."""
    try:
        resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return resident_pages * os.sysconf("SC_PAGE_SIZE")
