"""Accepts clients' connections, within the node's sockets, and sees them out at a planned end."""

from __future__ import annotations

import anyio
from anyio.abc import SocketListener, TaskGroup

from thornladder.clients.connection import ClientConnection, Desk


class Front:
    ACCEPT_FOR = 0.5  # seconds: how long connections still come after a planned end is told, and some more
    BACKLOG = 0.05  # seconds without a connection: what the kernel had accepted is taken
    SETTLE = 0.1  # seconds for the first bytes on what was accepted last
    NEARLY = 0.9  # of the most connections: from here on idle ones are closed
    STALE = 120.0  # seconds without a byte: longer than clients keep connections that they will use again
    HALF_SENT = 15.0  # seconds for an invocation to come whole; its client has long given up

    def __init__(self, desk: Desk, most: int, tasks: TaskGroup) -> None:
        self.desk, self.most, self.tasks = desk, most, tasks
        self.connections: set[ClientConnection] = set()
        self.room = anyio.Event()

    async def run(self, listener: SocketListener) -> None:
        """Accepts until the node leaves; then takes what the kernel has accepted, and closes the socket."""
        with anyio.CancelScope() as self.accepting:
            while True:
                await self._accept(listener)
        while True:
            with anyio.move_on_after(self.BACKLOG) as waiting:
                await self._accept(listener)
            if waiting.cancelled_caught:
                break
        await listener.aclose()

    async def _accept(self, listener: SocketListener) -> None:
        while len(self.connections) >= self.most:
            self._close_idle(self.most // 10 + 1)
            self.room = anyio.Event()
            with anyio.move_on_after(0.05):
                await self.room.wait()
        try:
            stream = await listener.accept()
        except OSError as error:
            self.desk.log.warning("a connection could not be accepted", error=repr(error))
            await anyio.sleep(0.05)
            return
        connection = ClientConnection(stream, self.desk)
        self.connections.add(connection)
        self.tasks.start_soon(self._serve, connection)

    async def _serve(self, connection: ClientConnection) -> None:
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)
            self.room.set()

    async def leave(self) -> None:
        """Sees everybody out: takes what still comes, answers what is at hand, closes the rest."""
        self.desk.leaving = True
        await anyio.sleep(self.ACCEPT_FOR)
        self.accepting.cancel()
        await anyio.sleep(self.BACKLOG + self.SETTLE)
        while self.connections:
            self._close_idle(len(self.connections))
            await anyio.sleep(0.02)

    def sweep(self) -> None:
        """Closes what has long been silent, and idle connections when few are left to give."""
        now = self.desk.clock()
        for connection in list(self.connections):
            silent = now - connection.since
            if silent > self.STALE:
                connection.close_idle()
            if silent > self.HALF_SENT and connection.exchange is None and not connection.idle:
                connection.scope.cancel()
        if len(self.connections) > self.NEARLY * self.most:
            self._close_idle(self.most // 10 + 1)

    def _close_idle(self, count: int) -> None:
        idle = [each for each in self.connections if each.idle and not each.closing]
        for connection in sorted(idle, key=lambda each: each.since)[:count]:
            connection.close_idle()
