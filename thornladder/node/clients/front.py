"""Accepts clients' connections, within the node's sockets, and sees them out at a planned end."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import SocketStream

from thornladder.node import streams
from thornladder.node.clients.connection import ClientConnection, ServerState
from thornladder.node.tasks import Tasks


class Front:
    ACCEPT_FOR = 0.5  # seconds: how long connections still come after a planned end is told, and some more
    QUIET = 0.05  # seconds without a connection: what the kernel had accepted is taken
    SETTLE = 0.1  # seconds for the first bytes on what was accepted last
    NEARLY = 0.9  # of the most connections: from here on room is made, and few may queue if there is none
    BACKLOG = 1024  # connections that the kernel may accept before this node does
    KEEP = 10.0  # seconds that an idle connection is kept; clients that ask now and then use it again
    LEAST_KEEP = 2.0  # seconds, once half of the connections are held: as soon as clients are ready for it
    AT_FIRST = 65536  # bytes: as many as are read in one go later
    QUIET_FIRST = 0.6  # seconds of standby after which what has been idle for as long is closed …
    AWAY = 2.0  # … and after which all that is idle is: clients in use have seen their last answers by then
    GREETED = 0.1  # seconds in which a client says something that connects to say it

    FREE = 0.5  # of the connections that clients have for asking: more than those are not kept without need …
    UNUSED = 0.2  # … once they were idle for these seconds; clients that go on asking use theirs sooner

    def __init__(
        self,
        server_state: ServerState,
        max_connections: int,
        tasks: Tasks,
        listener_is_shared: bool = False,
        client_pool_limit: int | None = None,
    ) -> None:
        """`shared`: the listening socket is others' too, so that nothing is done to it but accepting.

        `asking`: how many connections clients have at most to ask on.
        """
        self.client_pool_limit = max_connections if client_pool_limit is None else client_pool_limit
        self.server_state, self.max_connections, self.tasks, self.listener_is_shared = (
            server_state,
            max_connections,
            tasks,
            listener_is_shared,
        )
        self.connections: set[ClientConnection] = set()
        self.connection_count = 0  # those, and the accepted ones that are not among them yet
        self.nearly = False  # out of connections to give
        self.is_open = False  # whether connections are accepted
        self.accepting: anyio.CancelScope | None = None  # before it is
        self.away_since = 0.0  # when standby began

    async def run(self, listener: socket.socket) -> None:
        """Accepts until the node leaves; then takes what the kernel has accepted, and closes the socket.

        What waits at a shared one is for the process that stays.
        """
        self.is_open = True
        with anyio.CancelScope() as self.accepting:
            while True:
                await self._accept(listener)
        quiet = self.listener_is_shared
        while not quiet:
            with anyio.move_on_after(self.QUIET) as waiting:
                await self._accept(listener)
            quiet = waiting.cancelled_caught
        listener.close()

    async def _accept(self, listener: socket.socket) -> None:
        """Waits for connections and takes all there are; a cancel comes only while there are none."""
        while self.connection_count > self.NEARLY * self.max_connections and self._make_room():
            await anyio.sleep(0.002)
        while self.connection_count >= self.max_connections:
            await anyio.sleep(0.02)
            self._make_room()
        nearly = self.connection_count > self.NEARLY * self.max_connections
        if nearly != self.nearly and not self.listener_is_shared:
            # What the kernel has accepted counts as taken: none may wait there that there is no room for.
            self.nearly = nearly
            listener.listen(1 if nearly else self.BACKLOG)
        await anyio.wait_readable(listener)
        while self.connection_count < self.max_connections:
            try:
                raw, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self.server_state.log.warning("a connection could not be accepted", error=repr(error))
                await anyio.sleep(0.05)
                return
            first = self._first(raw)
            if first is None:
                raw.close()
                continue
            late = bool(first) and self.server_state.late()
            waited = streams.seconds_since_last_data(raw) if late else 0.0
            if late and (nack := self.server_state.early_shedder.nack(first, waited, True)):
                with suppress(OSError):
                    raw.send(nack)  # a kernel takes it whole on a connection with nothing under way
                raw.close()
                continue
            self.connection_count += 1
            self.tasks.start("a client's connection", self._serve, raw, first, waited)

    def _first(self, raw: socket.socket) -> bytes | None:
        """What has come already; None if its client has left.

        Guards against a node short of its core that spends it on clients that have given up: while it was
        behind they left and came anew, and each of these connections costs more than an invocation.
        """
        raw.setblocking(False)
        first = b""
        try:
            first = raw.recv(self.AT_FIRST)
            return first if first and raw.recv(1, socket.MSG_PEEK) else None
        except (BlockingIOError, InterruptedError):
            return first
        except OSError:
            return None

    async def _serve(self, raw: socket.socket, first: bytes, waited: float) -> None:
        try:
            stream = streams.limit_reads(await SocketStream.from_socket(raw))
            connection = ClientConnection(stream, self.server_state, first, waited)
            self.connections.add(connection)
            try:
                await connection.serve()
            finally:
                self.connections.discard(connection)
        except (OSError, ValueError):
            raw.close()  # it was gone before anything came
        except Exception:
            raw.close()
            raise
        finally:
            self.connection_count -= 1

    async def drain(self) -> None:
        """Sees everybody out: takes what still comes, answers what is at hand, closes the rest.

        What is at hand is answered by the longest cut-off; what has not come whole by then never was taken.
        """
        self.server_state.draining, self.is_open = True, False
        with anyio.move_on_after(self.ACCEPT_FOR + self.server_state.longest):
            if not self.listener_is_shared:
                await anyio.sleep(self.ACCEPT_FOR)
            if self.accepting is not None:
                self.accepting.cancel()
            if self.listener_is_shared:
                # Guards against closing on what is under way on kept connections: first they are seen out.
                await anyio.sleep(self.ACCEPT_FOR)
            await anyio.sleep(self.QUIET + self.SETTLE)
            while not all(connection.done for connection in self.connections):
                self._close_idle(len(self.connections))
                await anyio.sleep(0.02)
        await anyio.sleep(self.SETTLE)

    def set_standby(self, standby: bool) -> None:
        """Sends clients away, or takes them back. The door stays open: readiness tells the front."""
        self.server_state.standby, self.away_since = standby, self.server_state.clock()

    def _send_away(self, now: float) -> None:
        """Closes what nobody is using. What is used ends with its next answer, which says so.

        Guards against closing on invocations under way: first what has been idle for long, then the rest.
        """
        since = now - self.away_since
        for connection in list(self.connections):
            if connection.idle and (since > self.AWAY or now - connection.since > self.QUIET_FIRST < since):
                self._alone(connection, connection.close_idle)

    def sweep(self) -> None:
        """Closes what has long been silent; sooner when many connections are held."""
        now = self.server_state.clock()
        if self.server_state.standby:
            self._send_away(now)
        self._free(now)
        keep = self.LEAST_KEEP if self.connection_count > 0.5 * self.max_connections else self.KEEP
        for connection in list(self.connections):
            self._alone(connection, connection.look, now, keep)
        if self.connection_count > self.NEARLY * self.max_connections:
            self._make_room()

    def _free(self, now: float) -> None:
        """Ends what nobody uses, the longest unused first, while clients have few connections left to ask on.

        Guards against clients that ask once and keep their connection for good: they held all that clients
        may have, and a node with nothing to do was not asked (incident r936087).
        """
        spoken = [each for each in self.connections if each.spoken and not each.closing]
        count = len(spoken) - round(self.FREE * self.client_pool_limit)
        if count > 0:
            unused = [each for each in spoken if each.idle and now - each.since > self.UNUSED]
            for connection in sorted(unused, key=lambda each: each.since)[:count]:
                self._alone(connection, connection.close_idle)

    def _make_room(self) -> bool:
        """Closes some of those that say nothing, or else of the idle ones, oldest first; whether it did.

        Guards against a crowd that connects and says nothing: it must not shut the door on usual clients.
        """
        now, count = self.server_state.clock(), self.max_connections // 10 + 1
        silent = [each for each in self.connections if each.silent and now - each.began > self.GREETED]
        for connection in sorted(silent, key=lambda each: each.began)[:count]:
            self._alone(connection, connection.close_idle)
        return bool(silent) or self._close_idle(count)

    def _close_idle(self, count: int) -> bool:
        idle = [each for each in self.connections if each.idle and not each.closing]
        for connection in sorted(idle, key=lambda each: each.since)[:count]:
            self._alone(connection, connection.close_idle)
        return bool(idle)

    def _alone(self, connection: ClientConnection, act: Callable[..., None], *given: Any) -> None:
        """Guards against one connection's error that ends the looking after all others, or the node."""
        try:
            act(*given)
        except Exception:
            self.server_state.log.exception("a look at a client's connection failed")
            connection.scope.cancel()
