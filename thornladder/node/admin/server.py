"""Serves operators' requests at the admin address; its connections are limited in number and time."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import anyio

from thornladder.node.admin.calls import (
    MAX_BODY_BYTES,
    NO_ENDPOINTS,
    AdminRequest,
    AdminResponse,
    RequestReader,
    error_response,
)
from thornladder.node.tasks import Tasks


class AdminConnection:
    """One connection, for one request and its response."""

    def __init__(
        self, raw_socket: socket.socket, extra_endpoints: Mapping[str, bytes], max_body_bytes: int
    ) -> None:
        self.raw_socket, self.reader = raw_socket, RequestReader(extra_endpoints, max_body_bytes)
        self.scope = anyio.CancelScope()

    def end_if_silent(self) -> bool:
        """Ends the connection unless any byte of a request has arrived; returns whether it did.

        The look and the end are one step, so that no request that has arrived is dropped.
        """
        poller = select.poll()
        poller.register(self.raw_socket, select.POLLIN)
        if self.reader.has_data or poller.poll(0):
            return False
        with suppress(OSError):  # the client has reset the connection
            self.raw_socket.shutdown(socket.SHUT_RDWR)
        return True


class AdminServer:
    """Accepts connections and passes each request to a handler."""

    MAX_CONNECTIONS = 24  # operators and their scripts are few; beyond it a silent connection is closed
    MAX_DESCRIPTORS = MAX_CONNECTIONS + 2  # the listener, and a new connection while an old one is closed
    REQUEST_TIMEOUT_SECONDS = 2.0  # for a complete request: one or two lines over any network
    RESPONSE_TIMEOUT_SECONDS = 1.0  # for the client to read the response

    def __init__(
        self,
        handler: Callable[[AdminRequest], AdminResponse],
        tasks: Tasks,
        log: Any,
        extra_endpoints: Mapping[str, bytes] = NO_ENDPOINTS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """`handler` must not block. `extra_endpoints`: HTTP method of each extension endpoint, by path."""
        self.extra_endpoints, self.max_body_bytes = extra_endpoints, max_body_bytes
        self.handler, self.tasks, self.log = handler, tasks, log
        self.connections: dict[AdminConnection, None] = {}  # oldest first

    async def run(self, listener: socket.socket) -> None:
        """Accepts connections until it is cancelled."""
        while True:
            await anyio.wait_readable(listener)
            try:
                raw_socket, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:
                self.log.warning("an admin connection could not be accepted", error=repr(error))
                await anyio.sleep(0.05)
                continue
            raw_socket.setblocking(False)
            if len(self.connections) >= self.MAX_CONNECTIONS and not self._make_room():
                raw_socket.close()  # unread: its client sees a reset and tries again
                continue
            connection = AdminConnection(raw_socket, self.extra_endpoints, self.max_body_bytes)
            self.connections[connection] = None
            # The request has mostly arrived: a node short of CPU answers without a turn of the event loop.
            self.tasks.start("an admin connection", self._serve, connection)

    def _make_room(self) -> bool:
        """Ends the oldest connection that sent nothing, else the oldest with half a request.

        Silent ones lock nobody out. Returns False if all have a request that is still unread.
        """
        oldest = next((connection for connection in self.connections if connection.end_if_silent()), None)
        if oldest is None:
            oldest = next((connection for connection in self.connections if connection.reader.has_data), None)
        if oldest is None:
            return False
        del self.connections[oldest]
        oldest.scope.cancel()
        return True

    async def _serve(self, connection: AdminConnection) -> None:
        try:
            with connection.scope:
                response = await self._handle_request(connection)
                with anyio.move_on_after(self.RESPONSE_TIMEOUT_SECONDS):
                    await self._send(connection.raw_socket, connection.reader.encode(response))
                    connection.raw_socket.shutdown(socket.SHUT_WR)
                    # Drains unread input: closing with some sends a reset that may overtake the response.
                    while await self._receive(connection.raw_socket):
                        pass
        except OSError:
            pass  # the client disconnected
        finally:
            self.connections.pop(connection, None)
            connection.raw_socket.close()

    async def _handle_request(self, connection: AdminConnection) -> AdminResponse:
        result: AdminRequest | AdminResponse | None = None
        with anyio.move_on_after(self.REQUEST_TIMEOUT_SECONDS):
            while result is None:
                result = connection.reader.receive(await self._receive(connection.raw_socket))
                if result is None and (data := connection.reader.continue_response()):
                    await self._send(connection.raw_socket, data)
        if result is None:
            return error_response(408, "it did not come whole")
        if isinstance(result, AdminResponse):
            return result
        try:
            return self.handler(result)
        except Exception:
            self.log.exception("an admin request could not be carried out", call=result.endpoint.value)
            return error_response(500, "it could not be carried out")

    async def _receive(self, raw_socket: socket.socket) -> bytes:
        while True:
            try:
                return raw_socket.recv(4096)
            except (BlockingIOError, InterruptedError):
                await anyio.wait_readable(raw_socket)

    async def _send(self, raw_socket: socket.socket, data: bytes) -> None:
        while data:
            try:
                data = data[raw_socket.send(data) :]
            except (BlockingIOError, InterruptedError):
                await anyio.wait_writable(raw_socket)
