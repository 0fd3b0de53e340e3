"""Chooses which clients' connections give way when memory, or room for another connection, runs short."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any

from thornladder.node.clients.closures import CloseReason
from thornladder.node.clients.server_state import ServerState
from thornladder.node.memory.monitor import MemoryLevel

if TYPE_CHECKING:
    from thornladder.node.clients.connection import ClientConnection

# Runs an action on a connection, and confines its errors to it.
RunIsolated = Callable[..., None]


class MemoryRelief:
    """Ends what stands still, those that hold most first; what moves on is left alone.

    A request that has not come whole is refused: nothing of it has run.
    """

    # Requests and answers that do not move on for so long give way once others have waited for memory.
    MEMORY_WAIT_SECONDS = 0.1
    REQUEST_STALL_SECONDS = 0.5
    ANSWER_STALL_SECONDS = 3.0
    REPLACED_STALL_SECONDS = 0.2  # the same of a request whose place a new connection needs
    EXHAUSTED_STALL_SECONDS = 0.05  # and of one that gives way where memory is exhausted
    LIST_SECONDS = 0.05  # between searches for such requests
    IDLE_SECONDS = 2.0  # at rest, after which a connection is closed while memory is low

    def __init__(
        self, connections: Collection[ClientConnection], server_state: ServerState, run_isolated: RunIsolated
    ) -> None:
        """`connections`: the present ones at each call."""
        self.connections, self.server_state, self.run_isolated = connections, server_state, run_isolated
        self._stalled: list[ClientConnection] = []  # found at the last search, longest last
        self._listed_at = -math.inf

    def reclaim_for_waiters(self, now: float) -> None:
        """Ends stalled requests and answers whose reserved memory others wait for."""
        budget = self.server_state.memory_budget
        if budget.longest_wait_seconds < self.MEMORY_WAIT_SECONDS:
            return
        stalls = self.REQUEST_STALL_SECONDS, self.ANSWER_STALL_SECONDS
        held = [(connection.reclaimable_bytes(now, *stalls), connection) for connection in self.connections]
        count = self._give_up(held, budget.wanted)
        if count:
            self.server_state.memory_refusals += count
            self.server_state.log.info("stalled messages given up for memory", count=count, used=budget.used)

    def relieve(self, level: MemoryLevel, missing: int) -> int:
        """Frees some `missing` bytes, as far as the level allows; returns how many connections it ended."""
        now = self.server_state.clock()
        count = self._close_idle(now)
        if level < MemoryLevel.SCARCE:
            return count
        stall = self.REQUEST_STALL_SECONDS if level is MemoryLevel.SCARCE else self.EXHAUSTED_STALL_SECONDS
        held = [
            (connection.held_bytes(), connection)
            for connection in self.connections
            if self._stands_still(connection, now, stall)
        ]
        refused = self._give_up(held, missing)
        self.server_state.memory_refusals += refused
        return count + refused

    def give_place(self) -> bool:
        """Ends the request that has stood still longest, for a new connection; returns whether one did."""
        now = self.server_state.clock()
        if not self._stalled and now - self._listed_at >= self.LIST_SECONDS:
            self._list_stalled(now)
        while self._stalled:
            connection = self._stalled.pop()
            if self._may_be_replaced(connection, now):
                self.run_isolated(connection, connection.give_up)
                self.server_state.replaced_connections += 1
                return True
        return False

    def _list_stalled(self, now: float) -> None:
        self._listed_at = now
        stalled = [connection for connection in self.connections if self._may_be_replaced(connection, now)]
        self._stalled = sorted(stalled, key=lambda connection: connection.stalled_seconds(now))

    def _may_be_replaced(self, connection: ClientConnection, now: float) -> bool:
        is_open = connection in self.connections  # it may have ended since it was listed
        return (
            is_open
            and connection.is_incomplete
            and connection.stalled_seconds(now) > self.REPLACED_STALL_SECONDS
        )

    def _stands_still(self, connection: ClientConnection, now: float, request_stall: float) -> bool:
        stall = request_stall if connection.is_incomplete else self.ANSWER_STALL_SECONDS
        return connection.stalled_seconds(now) > stall

    def _close_idle(self, now: float) -> int:
        count = 0
        for connection in list(self.connections):
            if (
                connection.idle
                and not connection.closing
                and now - connection.last_activity > self.IDLE_SECONDS
            ):
                self.run_isolated(connection, connection.close_if_idle, CloseReason.MEMORY)
                count += connection.closing
        return count

    def _give_up(self, held: list[tuple[int, Any]], missing: int) -> int:
        """Ends connections, those that hold most first, until they held `missing` bytes; returns how many."""
        count = 0
        for size, connection in sorted(held, key=lambda pair: pair[0], reverse=True):
            if size <= 0 or missing <= 0:
                break
            self.run_isolated(connection, connection.give_up)
            missing -= size
            count += 1
        return count
