"""What all client connections of a node share, and the handler to which they give their invocations."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from thornladder.interface import Offering
from thornladder.node.clients.client_pool import ClientPool
from thornladder.node.clients.closures import ClosureLog
from thornladder.node.clients.early import EarlyShedder, ShedPolicy
from thornladder.node.clients.parse_pace import ParsePace
from thornladder.node.exchange import Exchange
from thornladder.node.memory.budget import MemoryBudget
from thornladder.node.memory.monitor import MemoryLevel
from thornladder.node.shutdown import ShutdownSchedule


class InvocationHandler(Protocol):
    """Receives the invocations that clients send and the events that concern them."""

    def start_invocation(self, exchange: Exchange) -> bool:
        """Starts an invocation; returns False if one with the same id is in flight."""
        ...

    def body_time_left(self, exchange: Exchange, unread_seconds: float) -> float:
        """Seconds until a streamed request has to be answered, if it was received so long ago."""
        ...

    def body_received(self, exchange: Exchange, unread_seconds: float) -> None:
        """A streamed request body, received whole `unread_seconds` ago, has been passed on."""
        ...

    def body_stalled(self, exchange: Exchange) -> None:
        """The streamed request body cannot be passed on in time."""
        ...

    def client_disconnected(self, exchange: Exchange) -> None:
        """The client has disconnected before its invocation was answered."""
        ...


class ServerState:
    """State shared by all client connections: invocation handler, settings, and drain and standby status."""

    SIGNAL_ORDER_SECONDS = 1.0  # longer than any process waits for its core

    def __init__(
        self,
        handler: InvocationHandler,
        offerings: Mapping[str, Offering],
        clock: Callable[[], float],
        memory_budget: MemoryBudget,
        is_lagging: Callable[[], bool],
        shed_policy: ShedPolicy,
        log: Any,
        client_pool_limit: int = sys.maxsize,
    ) -> None:
        """`client_pool_limit`: how many connections clients have at most for their requests."""
        self.handler, self.clock, self.memory_budget, self.log = handler, clock, memory_budget, log
        self.is_overloaded: Callable[[], bool] = lambda: False  # whether costly requests are not begun
        self.memory_level: Callable[[], MemoryLevel] = lambda: MemoryLevel.MODERATE
        self.refresh_memory: Callable[[], None] = lambda: None  # measures anew, where that is due
        self.is_lagging = is_lagging  # whether this node is late in reading what it has received
        self.shed_policy = shed_policy
        self.closures, self.client_pool = ClosureLog(clock, log), ClientPool(client_pool_limit, log)
        self.offerings: Mapping[str, Offering] = {}
        self.replaced_deadline, self.replaced_at = math.inf, -math.inf  # of the settings before the present
        self.set_offerings(offerings)
        self.shutdown: ShutdownSchedule | None = None  # set once this process has been told to end
        self.standby = False
        self.parse_pace = ParsePace()
        self.memory_refusals = 0  # requests refused, and given up, for want of memory
        self.replaced_connections = 0  # that gave their place to a new one
        self.has_successor = False  # another process of this node accepts on the same listening socket

    @property
    def ready(self) -> bool:
        """Whether this node accepts invocations, possibly through another of its processes.

        A process that drains with a successor reports ready: otherwise a front would take the whole node out
        of rotation.
        """
        return not self.closes_connections or (self.draining and self.has_successor and not self.standby)

    def set_offerings(self, offerings: Mapping[str, Offering]) -> None:
        """Replaces the offerings for new invocations; those in flight keep theirs."""
        self.replaced_deadline, self.replaced_at = self.shutdown_deadline, self.clock()
        self.offerings, self.early_shedder = offerings, EarlyShedder(offerings, self.shed_policy)

    @property
    def longest_deadline(self) -> float:
        """The longest time, in seconds, that the present settings let any client wait."""
        return max((offering.cut_off for offering in self.offerings.values()), default=math.inf)

    @property
    def shutdown_deadline(self) -> float:
        """The longest deadline, in seconds, by which the platform counts a shutdown that begins now.

        Signals that wait together are taken in by number, SIGHUP before SIGTERM: settings that replaced
        others just now may have been sent after the process was told to end.
        """
        if self.clock() - self.replaced_at > self.SIGNAL_ORDER_SECONDS:
            return self.longest_deadline
        return min(self.longest_deadline, self.replaced_deadline)

    @property
    def draining(self) -> bool:
        """Whether this process has been told to end."""
        return self.shutdown is not None

    @property
    def closes_connections(self) -> bool:
        """Whether each response is the last on its connection."""
        return self.draining or self.standby
