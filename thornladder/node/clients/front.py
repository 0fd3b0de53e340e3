"""Accepts client connections within the node's limit, and closes them on overload, standby or drain."""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import SocketStream

from thornladder.node import messages, streams
from thornladder.node.clients.closures import CloseReason
from thornladder.node.clients.connection import ClientConnection
from thornladder.node.clients.memory_relief import MemoryRelief
from thornladder.node.clients.server_state import ServerState
from thornladder.node.memory.monitor import MemoryLevel
from thornladder.node.shutdown import ShutdownSchedule
from thornladder.node.streams import open_stream
from thornladder.node.tasks import Tasks


class Front:
    """The accepting side of a node: its client connections, their number, and their orderly end."""

    ACCEPT_QUIET_SECONDS = 0.05  # without a new connection: no client connects any more
    EMPTY_QUEUE_SECONDS = 0.15  # for which clients that go on connecting are accepted at most
    SETTLE_SECONDS = 0.1  # for the first bytes on the connections accepted last, and for the last answers
    DELIVERY_SECONDS = 0.05  # left for the last answers where the time of the shutdown is up
    DRAIN_POLL_SECONDS = 0.02  # between looks at what is still open
    # Share of the connection limit from which idle connections are closed.
    NEAR_LIMIT_SHARE = 0.9
    MAX_ACCEPTS_PER_TURN = 32  # before those accepted earlier have their turn
    # Connections that the kernel may queue before this node accepts them, while there is memory for them: as
    # many as are answered in time beside a crowd that comes back at once.
    BACKLOG = 256
    IDLE_TIMEOUT_SECONDS = 10.0  # lets clients with occasional requests reuse their connections
    # Beyond the limit a request is refused at once: it would wait unread in the kernel's queue for as long as
    # all connections are busy. So many that have sent nothing yet are waited for, on spare descriptors.
    MAX_EXTRA_CONNECTIONS = 8
    MAX_REPLACED_CONNECTIONS = 4  # that have given their place to another, and still have their descriptor
    MAX_QUEUE_SECONDS = 0.1  # for which the queue waits for room to be made
    FIRST_BYTE_GRACE_SECONDS = 0.1  # for a client that connects in order to send a request at once
    # At rest, after which clients expect that a connection is closed: an earlier close crosses more requests.
    # It holds in standby, while clients use too many connections, and while over half of the limit is in use.
    EXPECTED_IDLE_SECONDS = 2.0

    def __init__(
        self,
        server_state: ServerState,
        max_connections: int,
        tasks: Tasks,
        listener_is_shared: bool = False,
    ) -> None:
        """Creates a front that holds at most `max_connections`.

        `listener_is_shared`: other processes may accept on the socket too.
        """
        self.server_state, self.max_connections, self.tasks, self.listener_is_shared = (
            server_state,
            max_connections,
            tasks,
            listener_is_shared,
        )
        self.connections: set[ClientConnection] = set()
        self.memory_relief = MemoryRelief(self.connections, server_state, self._run_isolated)
        self.connection_count = 0  # `connections`, and accepted sockets not yet among them
        self.full_since = 0.0  # when there was last room for another connection
        self.is_open = False  # whether new connections are accepted
        self.accepting = False  # whether `run` accepts connections, or those that are still queued
        self.listener: socket.socket | None = None  # None until `run` is called
        self.accept_scope: anyio.CancelScope | None = None  # the same
        self.accept_deadline = math.inf  # of `accept_scope`, on the event loop's clock

    async def run(self, listener: socket.socket) -> None:
        """Accepts connections until the node drains, then those still queued; closes the socket.

        The queue of a shared socket is left to the process that stays, if there is one.
        """
        self.accepting, self.is_open = True, not self.server_state.draining
        self.listener = listener
        with anyio.CancelScope(deadline=self.accept_deadline) as self.accept_scope:
            while True:
                await self._wait_for_room()
                await anyio.wait_readable(listener)
                await self._accept_queued(listener)
        if not self._leaves_queue:
            with anyio.move_on_after(self.EMPTY_QUEUE_SECONDS):
                await self._accept_until_quiet(listener)
            await self._empty_queue(listener)
        listener.close()
        self.accepting = False
        self.server_state.log.info("stopped accepting")

    @property
    def _leaves_queue(self) -> bool:
        """Whether another process accepts what is queued at the listening socket."""
        return self.listener_is_shared and self.server_state.has_successor

    async def _empty_queue(self, listener: socket.socket) -> None:
        """Accepts what is still queued: closing the socket over it would reset requests that were taken.

        Waits for room, until every request has to have its answer; then what is left is refused.
        """
        schedule = self.server_state.shutdown
        assert schedule is not None  # `run` gets here once the node drains
        while not await self._accept_queued(listener):
            if self.server_state.clock() >= schedule.answer_by:
                self.server_state.log.warning("refusing the connections still queued")
                await self._accept_queued(listener, refuse_all=True)
                return
            self._make_room()
            await anyio.sleep(self.DRAIN_POLL_SECONDS)

    async def _wait_for_room(self) -> None:
        """Waits until another connection may be accepted; closes silent or idle ones near the limit."""
        while self.connection_count > self.NEAR_LIMIT_SHARE * self.max_connections and self._make_room():
            await anyio.sleep(0.002)
        while not self._may_accept:
            await anyio.sleep(0.02)
            self._make_room()

    @property
    def _may_accept(self) -> bool:
        """Whether another connection may be accepted, if only to refuse its request.

        Beyond the limit the queue waits for a moment while room can be made: idle connections are closed for
        it, silent ones once they are `FIRST_BYTE_GRACE_SECONDS` old. It does not wait for longer, as requests
        in it would be answered late.
        """
        now = self.server_state.clock()
        if self.connection_count < self.max_connections:
            self.full_since = now
            return True
        if self.server_state.draining:
            return self.connection_count < self.max_connections + self.MAX_EXTRA_CONNECTIONS
        if now - self.full_since > self.MAX_QUEUE_SECONDS:
            return True
        return not any(connection.at_rest for connection in self.connections)

    async def _accept_until_quiet(self, listener: socket.socket) -> None:
        """Accepts connections until none has come for ACCEPT_QUIET_SECONDS."""
        quiet = False
        while not quiet:
            await self._wait_for_room()
            with anyio.move_on_after(self.ACCEPT_QUIET_SECONDS) as quiet_scope:
                await anyio.wait_readable(listener)
            # A process that got no CPU sees its timers before its sockets: the queue says what has come.
            count = self.connection_count
            queue_empty = await self._accept_queued(listener)
            quiet = quiet_scope.cancelled_caught and queue_empty and self.connection_count == count

    async def _accept_queued(self, listener: socket.socket, refuse_all: bool = False) -> bool:
        """Accepts what the kernel has queued, as far as there is room; returns whether the queue is empty.

        With `refuse_all` nothing needs room: requests are refused, and connections without one are closed.
        """
        accepted = 0
        while refuse_all or self._may_accept:
            try:
                client_socket, _ = listener.accept()
                accepted += 1
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue  # this client has left; others may be queued behind it
            except OSError as error:
                self.server_state.log.warning("a connection could not be accepted", error=repr(error))
                await anyio.sleep(0.05)
                return False
            if refuse_all:
                self._refuse_connection(client_socket)
            else:
                self._take_connection(client_socket)
            if refuse_all and accepted >= self.BACKLOG:
                return False  # clients that come back at once must not keep a process that ends
            if not refuse_all and accepted % self.MAX_ACCEPTS_PER_TURN == 0:
                self.server_state.refresh_memory()
                await anyio.sleep(0.0)
        return False

    def _refuse_connection(self, client_socket: socket.socket) -> None:
        """Refuses the request of a new connection, if any of it has arrived, and closes the connection."""
        if self._read_initial(client_socket):
            streams.answer_and_close(client_socket, messages.encode_nack(0.0, True))
        else:
            client_socket.close()

    def _take_connection(self, client_socket: socket.socket) -> None:
        """Serves an accepted connection in a task of its own, or refuses its request at once."""
        initial_data = self._read_initial(client_socket)
        if initial_data is None:
            client_socket.close()
            return
        is_lagging = bool(initial_data) and self.server_state.is_lagging()
        unread_seconds = streams.seconds_since_last_data(client_socket) if is_lagging else 0.0
        if nack := self._early_nack(initial_data, is_lagging, unread_seconds):
            streams.answer_and_close(client_socket, nack)
            return
        if not initial_data and not self._has_place_for_silent:
            client_socket.close()  # it has sent nothing, and there is no descriptor to wait for it with
            return
        self.connection_count += 1
        self.tasks.start("a client's connection", self._serve, client_socket, initial_data, unread_seconds)

    def _early_nack(self, initial_data: bytes, is_lagging: bool, unread_seconds: float) -> bytes | None:
        """The encoded nack for a new connection's request, if it is refused without being served."""
        if not initial_data:
            return None
        early_shedder = self.server_state.early_shedder
        is_full = self.connection_count >= self.max_connections
        if is_full or self._refuses_costly_requests:
            is_accepted = early_shedder.is_simple(initial_data) and (not is_full or self._find_place())
            if not is_accepted:
                return messages.encode_nack(0.0, True)
        if is_lagging:
            return early_shedder.nack(initial_data, unread_seconds, True)
        return None

    @property
    def _refuses_costly_requests(self) -> bool:
        """Whether a request is refused unread that is not small and whole."""
        return self.server_state.is_overloaded() or self.server_state.memory_level() >= MemoryLevel.LOW

    @property
    def _has_place_for_silent(self) -> bool:
        """Whether a new connection that has sent nothing yet is waited for."""
        if self.connection_count < self.max_connections or self._find_place():
            return True
        has_descriptor = self.connection_count < self.max_connections + self.MAX_EXTRA_CONNECTIONS
        return has_descriptor and self.server_state.memory_level() < MemoryLevel.EXHAUSTED

    def _find_place(self) -> bool:
        """Has the request that has stood still longest give its place to a new connection.

        Its descriptor is free a turn of the event loop later.
        """
        most = self.max_connections + self.MAX_EXTRA_CONNECTIONS + self.MAX_REPLACED_CONNECTIONS
        return self.connection_count < most and self.memory_relief.give_place()

    def _read_initial(self, client_socket: socket.socket) -> bytes | None:
        """Returns the bytes already received; None if the client has disconnected.

        Serving a connection costs more CPU than an invocation. While an overloaded node is behind, clients
        give up and reconnect; their old connections must not take the CPU from the new ones.
        """
        client_socket.setblocking(False)
        initial_data = b""
        try:
            initial_data = client_socket.recv(streams.SMALL_READ_BYTES)
            return initial_data if initial_data and client_socket.recv(1, socket.MSG_PEEK) else None
        except (BlockingIOError, InterruptedError):
            return initial_data
        except OSError as error:
            # A lack of memory says nothing about the client, unlike all other errors.
            return initial_data if error.errno in (errno.ENOMEM, errno.ENOBUFS) else None

    async def _serve(self, client_socket: socket.socket, initial_data: bytes, unread_seconds: float) -> None:
        try:
            stream = await self._set_up(client_socket, initial_data)
            connection = ClientConnection(stream, self.server_state, initial_data, unread_seconds)
            self.connections.add(connection)
            try:
                await connection.serve()
            finally:
                self.connections.discard(connection)
        except (OSError, ValueError):
            pass  # mostly since the client has closed the connection
        finally:
            self.connection_count -= 1

    async def _set_up(self, client_socket: socket.socket, initial_data: bytes) -> SocketStream:
        """Hands an accepted socket to the event loop; whatever prevents that, its request is refused."""
        try:
            return await open_stream(client_socket)
        except BaseException:  # among others the end of the process
            self._close_unserved(client_socket, initial_data)
            raise

    def _close_unserved(self, client_socket: socket.socket, initial_data: bytes) -> None:
        """Closes a connection that could not be set up; what was read of a request is refused."""
        if initial_data:
            streams.answer_and_close(client_socket, messages.encode_nack(0.0, True))
        else:
            client_socket.close()

    async def drain(self, schedule: ShutdownSchedule, end_unanswered: Callable[[], None]) -> None:
        """Accepts late connections, then closes idle ones, until each request received has its answer.

        Returns by `schedule.exit_by`. What has no answer by `schedule.answer_by` gets one at once: a request
        that is incomplete then is refused, and `end_unanswered` ends the invocations in flight.
        """
        self.server_state.shutdown, self.is_open = schedule, False
        accept_seconds = 0.0 if self._leaves_queue else schedule.accept_until - self.server_state.clock()
        self.accept_deadline = anyio.current_time() + accept_seconds
        if self.accept_scope is not None:
            self.accept_scope.deadline = self.accept_deadline
        # Lets requests in transit on kept connections arrive before these are closed.
        await self._sleep_until(schedule.accept_until + self.ACCEPT_QUIET_SECONDS + self.SETTLE_SECONDS)
        self._log_connections("closing idle connections")
        while not self._drained and self.server_state.clock() < schedule.exit_by - self.DELIVERY_SECONDS:
            if self.server_state.clock() >= schedule.answer_by:
                self._end_requests(end_unanswered)
            self._close_oldest_idle(len(self.connections))
            await anyio.sleep(self.DRAIN_POLL_SECONDS)
        # Once more in any case: a process that got no CPU may find the time up that it had for all this.
        self._end_requests(end_unanswered)
        self._close_oldest_idle(len(self.connections))
        self._log_connections("drained")
        settled_at = min(self.server_state.clock() + self.SETTLE_SECONDS, schedule.exit_by)
        await self._sleep_until(max(settled_at, self.server_state.clock() + self.DRAIN_POLL_SECONDS))

    async def end_all(self, end_unanswered: Callable[[], None]) -> None:
        """Ends all connections, as the last act of the process; whatever has arrived is answered."""
        if self.accepting and self.listener is not None and not self._leaves_queue:
            self.server_state.log.warning("refusing the connections still queued")
            await self._accept_queued(self.listener, refuse_all=True)
        end_unanswered()
        await anyio.sleep(0.0)  # the event loop sends these answers at the end of its turn
        for connection in list(self.connections):
            self._run_isolated(connection, connection.end_now)
        await anyio.sleep(0.0)

    def _end_requests(self, end_unanswered: Callable[[], None]) -> None:
        """Gives every request that has no answer one at once."""
        end_unanswered()
        for connection in list(self.connections):
            self._run_isolated(connection, connection.refuse_incomplete)

    @property
    def _drained(self) -> bool:
        return (
            not self.accepting
            and self.connection_count == len(self.connections)
            and all(connection.last_response_sent for connection in self.connections)
        )

    async def _sleep_until(self, time: float) -> None:
        await anyio.sleep(max(time - self.server_state.clock(), 0.0))

    def _log_connections(self, event: str) -> None:
        """Logs a step of the drain with the number of connections in each state."""
        self.server_state.log.info(
            event,
            accepting=self.accepting,
            idle=sum(connection.idle and not connection.closing for connection in self.connections),
            in_flight=sum(connection.exchange is not None for connection in self.connections),
            closing=sum(connection.closing for connection in self.connections),
            connections=self.connection_count,
        )

    def set_standby(self, standby: bool) -> None:
        """Enters or leaves standby. New connections are still accepted: readiness informs the front."""
        self.server_state.standby = standby

    def _close_for_standby(self, now: float) -> None:
        """Closes connections at rest; one in use ends with its next response, which says so."""
        for connection in list(self.connections):
            if connection.idle and now - connection.last_activity > self.EXPECTED_IDLE_SECONDS:
                self._run_isolated(connection, connection.close_if_idle, CloseReason.STANDBY)

    def sweep(self) -> None:
        """Enforces timeouts on all connections, and closes idle ones sooner while many are open."""
        now = self.server_state.clock()
        if self.server_state.standby:
            self._close_for_standby(now)
        self._trim_client_pool(now)
        idle_timeout = (
            self.EXPECTED_IDLE_SECONDS
            if self.connection_count > 0.5 * self.max_connections
            else self.IDLE_TIMEOUT_SECONDS
        )
        for connection in list(self.connections):
            self._run_isolated(connection, connection.enforce_timeouts, now, idle_timeout)
        if self.connection_count > self.NEAR_LIMIT_SHARE * self.max_connections:
            self._make_room()
        self.memory_relief.reclaim_for_waiters(now)
        self.server_state.closures.flush()
        self.server_state.client_pool.log_changes()

    def _trim_client_pool(self, now: float) -> None:
        """Closes the longest idle connections while clients use more than their target.

        Clients that sent one request and kept their connection forever once used up all that clients may
        have, so that an idle node received no requests (incident r936087).
        """
        excess = self.server_state.client_pool.excess
        if excess <= 0:
            return
        unused = [
            connection
            for connection in self.connections
            if connection.request_seen
            and connection.at_rest
            and now - connection.last_activity > self.EXPECTED_IDLE_SECONDS
        ]
        for connection in sorted(unused, key=lambda connection: connection.last_activity)[:excess]:
            self._run_isolated(connection, connection.close_if_idle, CloseReason.CLIENT_POOL)

    def _make_room(self) -> bool:
        """Closes some silent connections, or else some at rest, oldest first; returns whether it closed any.

        Many connections that never send anything must not lock out other clients.
        """
        now, count = self.server_state.clock(), self.max_connections // 10 + 1
        silent = [
            connection
            for connection in self.connections
            if connection.silent and now - connection.message_started_at > self.FIRST_BYTE_GRACE_SECONDS
        ]
        silent.sort(key=lambda connection: connection.message_started_at)
        return self._close_each(silent[:count], CloseReason.CONNECTION_LIMIT) or self._close_oldest_idle(
            count
        )

    def _close_oldest_idle(self, count: int) -> bool:
        """Closes up to `count` connections at rest; returns whether it closed any."""
        reason = CloseReason.SHUTDOWN if self.server_state.draining else CloseReason.CONNECTION_LIMIT
        at_rest = [connection for connection in self.connections if connection.at_rest]
        at_rest.sort(key=lambda connection: connection.last_activity)
        return self._close_each(at_rest[:count], reason)

    def _close_each(self, connections: list[ClientConnection], reason: CloseReason) -> bool:
        """Closes connections on which nothing has arrived meanwhile; returns whether it closed any."""
        for connection in connections:
            self._run_isolated(connection, connection.close_if_idle, reason)
        return any(connection.closing for connection in connections)

    def _run_isolated(
        self, connection: ClientConnection, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Confines an error on one connection to it, so that the others are still attended to."""
        try:
            action(*arguments)
        except Exception:
            self.server_state.log.exception("checking a client's connection failed")
            connection.end_after_error()
