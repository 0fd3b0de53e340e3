"""How a process divides its memory limit: rest, connections, and messages beyond small ones."""

from __future__ import annotations

from dataclasses import dataclass

from thornladder.node.memory import charges

CONNECTIONS_SHARE = 0.5  # of what is left of the limit; messages get the rest
# Of what is left of the limit; the allocator's fragments take the rest.
USABLE_SHARE = 0.85
# Of the limit that is divided in any case, where a process at rest needs nearly all of it.
MIN_ROOM_SHARE = 0.25
MIN_CONNECTIONS = 64
QUEUE_SHARE, MIN_QUEUED_CONNECTIONS = 1.0 / 8.0, 128
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
        list_growth = max(backends - self.backends_at_rest, 0) * charges.BACKEND_BYTES
        left = share - self.at_rest - list_growth
        return round(USABLE_SHARE * max(left, MIN_ROOM_SHARE * share))

    def max_connections(self, wanted: int) -> int:
        """How many of the `wanted` connections, to clients and backends together, there is memory for."""
        affordable = round(CONNECTIONS_SHARE * self.room() / charges.CONNECTION_BYTES)
        return min(wanted, max(affordable, MIN_CONNECTIONS))

    def queued_connections(self, wanted: int) -> int:
        """How many of the `wanted` connections may wait at the listening socket to be accepted."""
        affordable = round(QUEUE_SHARE * self.room() / charges.QUEUED_BYTES)
        return min(wanted, max(affordable, MIN_QUEUED_CONNECTIONS))

    def message_bytes(self, connections: int, processes: int = 1, backends: int = 0) -> int:
        """What is left for messages beside so many `connections` of the node."""
        room = self.room(processes, backends)
        taken = connections * charges.CONNECTION_BYTES // processes
        return max(room - taken, round((1.0 - CONNECTIONS_SHARE) * room), MIN_MESSAGE_BYTES)
