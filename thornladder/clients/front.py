"""Accepts clients' connections, within the node's sockets, and sees them out at a planned end."""

from __future__ import annotations

import socket

import anyio
from anyio.abc import SocketStream, TaskGroup

from thornladder.clients.connection import ClientConnection, Desk


class Front:
    ACCEPT_FOR = 0.5  # seconds: how long connections still come after a planned end is told, and some more
    QUIET = 0.05  # seconds without a connection: what the kernel had accepted is taken
    SETTLE = 0.1  # seconds for the first bytes on what was accepted last
    NEARLY = 0.9  # of the most connections: from here on idle ones are closed and few may queue
    BACKLOG = 1024  # connections that the kernel may accept before this node does
    STALE = 120.0  # seconds without a byte: longer than clients keep connections that they will use again
    HALF_SENT = 15.0  # seconds for an invocation to come whole; its client has long given up

    def __init__(self, desk: Desk, most: int, tasks: TaskGroup) -> None:
        self.desk, self.most, self.tasks = desk, most, tasks
        self.connections: set[ClientConnection] = set()
        self.held = 0  # those, and the accepted ones that are not among them yet
        self.nearly = False  # out of connections to give

    async def run(self, listener: socket.socket) -> None:
        """Accepts until the node leaves; then takes what the kernel has accepted, and closes the socket."""
        with anyio.CancelScope() as self.accepting:
            while True:
                await self._accept(listener)
        quiet = False
        while not quiet:
            with anyio.move_on_after(self.QUIET) as waiting:
                await self._accept(listener)
            quiet = waiting.cancelled_caught
        listener.close()

    async def _accept(self, listener: socket.socket) -> None:
        """Waits for connections and takes all there are; a cancel comes only while there are none."""
        while self.held >= self.most:
            self._close_idle(self.most // 10 + 1)
            await anyio.sleep(0.02)
        nearly = self.held > self.NEARLY * self.most
        if nearly != self.nearly:
            # What the kernel has accepted counts as taken: none may wait there that there is no room for.
            self.nearly = nearly
            listener.listen(1 if nearly else self.BACKLOG)
        await anyio.wait_readable(listener)
        while self.held < self.most:
            try:
                raw, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self.desk.log.warning("a connection could not be accepted", error=repr(error))
                await anyio.sleep(0.05)
                return
            self.held += 1
            self.tasks.start_soon(self._serve, raw)

    async def _serve(self, raw: socket.socket) -> None:
        try:
            raw.setblocking(False)
            connection = ClientConnection(await SocketStream.from_socket(raw), self.desk)
            self.connections.add(connection)
            try:
                await connection.serve()
            finally:
                self.connections.discard(connection)
        except (OSError, ValueError):
            raw.close()  # it was gone before anything came
        finally:
            self.held -= 1

    async def leave(self) -> None:
        """Sees everybody out: takes what still comes, answers what is at hand, closes the rest.

        What is at hand is answered by the longest cut-off; what has not come whole by then never was taken.
        """
        self.desk.leaving = True
        longest = max(offering.cut_off for offering in self.desk.offerings.values())
        with anyio.move_on_after(self.ACCEPT_FOR + longest):
            await anyio.sleep(self.ACCEPT_FOR)
            self.accepting.cancel()
            await anyio.sleep(self.QUIET + self.SETTLE)
            while not all(connection.done for connection in self.connections):
                self._close_idle(len(self.connections))
                await anyio.sleep(0.02)
        await anyio.sleep(self.SETTLE)

    def sweep(self) -> None:
        """Closes what has long been silent, and idle connections when few are left to give."""
        now = self.desk.clock()
        for connection in list(self.connections):
            silent = now - connection.since
            if silent > self.STALE:
                connection.close_idle()
            if silent > self.HALF_SENT and connection.exchange is None and not connection.idle:
                connection.scope.cancel()
        if self.held > self.NEARLY * self.most:
            self._close_idle(self.most // 10 + 1)

    def _close_idle(self, count: int) -> None:
        idle = [each for each in self.connections if each.idle and not each.closing]
        for connection in sorted(idle, key=lambda each: each.since)[:count]:
            connection.close_idle()
