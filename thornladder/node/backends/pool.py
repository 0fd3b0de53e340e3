"""Pool of keep-alive connections to backends, with a limit on the number of open connections."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import anyio

from thornladder.node import http1
from thornladder.node.http1 import Cause, Connector, Failure, Stage, UpstreamConnection
from thornladder.settings import Address


class Pool:
    """Idle connections by backend, reused most recently used first, and a count of all open ones."""

    # An idle connection is given up this long before the backend would close it; more than a response needs
    # to arrive.
    IDLE_CLOSE_MARGIN_SECONDS = 1.0
    # How long a connection rests between two requests: a surplus second answer from the backend may arrive
    # some milliseconds late, and once the next request is out it would be read as the answer to that one.
    # Kept short, since a client that sends one request after the other waits for it each time.
    REUSE_DELAY_SECONDS = 0.002

    def __init__(
        self, max_connections: int, idle_close: float, connect_timeout: float, clock: Callable[[], float],
        connect: Connector = http1.connect,
    ) -> None:  # fmt: skip
        """`idle_close`: seconds after which backends close an idle connection."""
        self.max_connections, self.clock, self.connect = max_connections, clock, connect
        self.set_timeouts(idle_close, connect_timeout)
        self.idle: defaultdict[str, list[UpstreamConnection]] = defaultdict(list)  # least recently used first
        self.connections: set[UpstreamConnection] = set()  # open ones, in use or not
        self.open_connections = 0  # including connection attempts and discarded connections not yet closed
        self.discarded: list[UpstreamConnection] = []  # to be closed

    def set_timeouts(self, idle_close: float, connect_timeout: float) -> None:
        """Changes both timeouts, in seconds, for connections that are already open too."""
        self.connect_timeout = connect_timeout
        self.max_idle_seconds = max(idle_close - self.IDLE_CLOSE_MARGIN_SECONDS, 0.5 * idle_close)

    async def acquire(self, backend: str, address: Address) -> UpstreamConnection | Failure:
        """Returns a connection with no request in flight: a usable idle one, or a new one.

        Fails with `Cause.ABANDONED` when all allowed connections are open and none is idle.
        """
        # Looked up again after each wait: a sweep or a drain may have taken the idle connections meanwhile.
        while connections := self.idle.get(backend):
            connection = await self._take_rested(connections)
            if self._is_usable(connection):
                return connection
            self.discarded.append(connection)
        if self.open_connections >= self.max_connections:
            self._discard_oldest_idle()
            await self._close_discarded()
            if self.open_connections >= self.max_connections:
                return Failure(Stage.CONNECTING, Cause.ABANDONED)
        self.open_connections += 1
        connection: UpstreamConnection | Failure | None = None
        try:
            connection = await self.connect(address, self.connect_timeout)
        finally:
            if isinstance(connection, UpstreamConnection):
                self.connections.add(connection)
            else:
                self.open_connections -= 1
        return connection

    async def _take_rested(self, connections: list[UpstreamConnection]) -> UpstreamConnection:
        """Takes the most recently used connection past its reuse delay, or waits for the oldest one."""
        now = self.clock()
        rested = (
            index
            for index in range(len(connections) - 1, -1, -1)
            if now - connections[index].idle_since >= self.REUSE_DELAY_SECONDS
        )
        connection = connections.pop(next(rested, 0))
        try:
            while (wait := connection.idle_since + self.REUSE_DELAY_SECONDS - self.clock()) > 0.0:
                await anyio.sleep(wait)
        except BaseException:
            self.discarded.append(connection)  # the caller was cancelled and will not return it
            raise
        return connection

    async def release(self, backend: str, connection: UpstreamConnection) -> None:
        """Takes a connection back: keeps it if it can be reused, closes it otherwise."""
        if connection.reusable:
            connection.idle_since = self.clock()
            self.idle[backend].append(connection)
            return
        self.discarded.append(connection)
        await self._close_discarded()

    def discard_idle(self, backend: str) -> None:
        """Discards the idle connections of a backend that gets no new requests."""
        self.discarded += self.idle.pop(backend, ())

    async def close_expired(self) -> None:
        """Closes connections that were idle for too long or that the backend has closed."""
        for backend in list(self.idle):
            for connection in self.idle.pop(backend):
                if self._is_usable(connection):
                    self.idle[backend].append(connection)
                else:
                    self.discarded.append(connection)
        await self._close_discarded()

    def _is_usable(self, connection: UpstreamConnection) -> bool:
        return self.clock() - connection.idle_since < self.max_idle_seconds and not connection.is_stale()

    async def _close_discarded(self) -> None:
        while self.discarded:
            connection = self.discarded.pop()
            try:
                await connection.close()
            finally:
                self.connections.discard(connection)
                self.open_connections -= 1

    def _discard_oldest_idle(self) -> None:
        """Discards the connection that has been idle longest, so that another backend can have one."""
        idle_lists = [connections for connections in self.idle.values() if connections]
        if idle_lists:
            self.discarded.append(min(idle_lists, key=lambda connections: connections[0].idle_since).pop(0))
