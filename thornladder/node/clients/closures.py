"""Counts the idle connections that a node closes, by reason, and logs them in sums."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any


class CloseReason(Enum):
    """Why a node closes an idle connection of a client."""

    IDLE_TIMEOUT = "idle_timeout"
    FIRST_REQUEST_TIMEOUT = "first_request_timeout"
    CLIENT_POOL = "client_pool"  # clients use more connections than leaves room for others
    CONNECTION_LIMIT = "connection_limit"
    MEMORY = "memory"  # little of it is left
    STANDBY = "standby"
    SHUTDOWN = "shutdown"


class ClosureLog:
    """Closes of idle connections since the start, and a log line for those of each interval."""

    LOG_INTERVAL_SECONDS = 1.0  # one line in this time at most, however many connections are closed

    def __init__(self, clock: Callable[[], float], log: Any) -> None:
        self.clock, self.log = clock, log
        self.counts: Counter[CloseReason] = Counter()
        self.crossed_count = 0  # closes that a request crossed, as far as this node can tell
        self._unlogged: Counter[CloseReason] = Counter()
        self._shortest_idle_seconds = math.inf  # of the unlogged ones
        self._logged_at = -math.inf

    def record(self, reason: CloseReason, idle_seconds: float, crossed: bool) -> None:
        """Counts a close; `crossed`: data arrived between the last look and the close, and stays unread."""
        self.counts[reason] += 1
        self._unlogged[reason] += 1
        self._shortest_idle_seconds = min(self._shortest_idle_seconds, idle_seconds)
        if crossed:
            self.crossed_count += 1
            self.log.warning(
                "a request crossed the close of its connection",
                reason=reason.value,
                idle_seconds=round(idle_seconds, 3),
            )

    def flush(self) -> None:
        """Logs what has not been logged, unless the last line is too recent."""
        if not self._unlogged or self.clock() - self._logged_at < self.LOG_INTERVAL_SECONDS:
            return
        self.log.info(
            "idle connections closed",
            shortest_idle_seconds=round(self._shortest_idle_seconds, 3),
            **{reason.value: count for reason, count in self._unlogged.items()},
        )
        self._unlogged.clear()
        self._shortest_idle_seconds, self._logged_at = math.inf, self.clock()
