"""Runs a membership core on sockets: UDP datagrams, and TCP connections for whole views and probes."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup

from thornladder.membership.core import Action, ConnectionOutcome, ConnectionProbe, Core, Send, Sync
from thornladder.membership.wire import (
    MAX_DATAGRAM_BYTES,
    MAX_VIEW_BYTES,
    Message,
    decode,
    encode,
    split_address,
)

CONNECTION_PROBE_SECONDS = 0.5  # for connecting and the reply; within the probe timeout of a second
VIEW_EXCHANGE_SECONDS = 3.0  # for whole views in both directions
MAX_INBOUND_CONNECTIONS = 16  # counted together with the outbound ones
MAX_OUTBOUND_CONNECTIONS = 16
MAX_SLEEP_SECONDS = 0.05  # since a received message may bring the next wake-up forward
RECEIVE_BATCH = 64  # datagrams read before other tasks get their turn
_LENGTH_PREFIX = struct.Struct("!I")


class Transport:
    """Carries out the actions of a core and feeds it messages, connection results and wake-ups."""

    DESCRIPTORS = MAX_INBOUND_CONNECTIONS + MAX_OUTBOUND_CONNECTIONS + 4

    def __init__(self, core: Core, listen: tuple[str, int], log: Any, on_change: Callable[[], None]) -> None:
        """`on_change` is called after each input to the core, when its changes may be taken."""
        self.core, self.listen, self.log, self.on_change = core, listen, log, on_change
        self.clock = time.monotonic
        self.undecodable = self.unsent = 0
        self.open_connections = 0
        self.udp: socket.socket | None = None

    async def run(self) -> None:
        """Runs until cancelled. Raises OSError if the address cannot be bound."""
        udp = socket.socket(socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.setblocking(False)
            udp.bind(self.listen)
            listener = await anyio.create_tcp_listener(
                local_host=self.listen[0], local_port=self.listen[1], reuse_port=False
            )
            self.udp = udp
            async with listener, anyio.create_task_group() as tasks:
                self.tasks: TaskGroup = tasks
                tasks.start_soon(self._receive)
                tasks.start_soon(listener.serve, self._serve)
                while True:
                    self._step(self.core.wake)
                    await anyio.sleep(
                        min(max(self.core.next_wake_at - self.clock(), 0.001), MAX_SLEEP_SECONDS)
                    )
        finally:
            self.udp = None
            udp.close()

    def send_pending(self) -> None:
        """Carries out the pending actions of the core; connections beyond the limit are dropped."""
        for action in self.core.take_actions():
            if isinstance(action, Send):
                self._send(action)
            elif self.open_connections < MAX_OUTBOUND_CONNECTIONS:
                self.open_connections += 1
                self.tasks.start_soon(self._run_connection, action)

    def _step(self, handler: Callable[..., None], *args: Any) -> None:
        handler(self.clock(), *args)
        self.send_pending()
        self.on_change()

    def _send(self, action: Send) -> None:
        address = split_address(action.address)
        data = encode(action.message)
        if address is None or len(data) > MAX_DATAGRAM_BYTES or self.udp is None:
            self.unsent += 1
            return
        try:
            self.udp.sendto(data, address)
        except OSError:  # full socket buffer or unreachable address: treated like a lost datagram
            self.unsent += 1

    async def _receive(self) -> None:
        while True:
            await anyio.wait_readable(self.udp)
            for _ in range(RECEIVE_BATCH):
                try:
                    data, source = self.udp.recvfrom(65536)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:
                    continue
                message = decode(data)
                if message is None:
                    self.undecodable += 1
                else:
                    self._step(self.core.on_message, f"{source[0]}:{source[1]}", message)
            await anyio.sleep(0)

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            if self.open_connections >= MAX_INBOUND_CONNECTIONS + MAX_OUTBOUND_CONNECTIONS:
                return
            self.open_connections += 1
            try:
                with anyio.move_on_after(VIEW_EXCHANGE_SECONDS):
                    message = await _read_message(stream)
                    if message is None:
                        self.undecodable += 1
                        return
                    reply = self.core.reply_to(message)
                    self._step(self.core.on_message, message.address, message, True)
                    await _write_message(stream, reply)
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                pass
            finally:
                self.open_connections -= 1

    async def _run_connection(self, action: Action) -> None:
        try:
            if isinstance(action, ConnectionProbe):
                outcome = await self._exchange(action.address, action.message, CONNECTION_PROBE_SECONDS)
                if outcome is not None:
                    self._step(self.core.on_connection_outcome, action.message.number, outcome)
            elif isinstance(action, Sync):
                await self._exchange(action.address, self.core.view_message(), VIEW_EXCHANGE_SECONDS)
        finally:
            self.open_connections -= 1

    async def _exchange(self, address: str, message: Message, timeout: float) -> ConnectionOutcome | None:
        """Sends `message` over a connection and passes the reply to the core.

        Returns None after a reply, else why there was none.
        """
        endpoint = split_address(address)
        if endpoint is None:
            return ConnectionOutcome.NO_ANSWER
        try:
            with anyio.move_on_after(timeout):
                # From the listening address, by which others tell members apart.
                async with await anyio.connect_tcp(*endpoint, local_host=self.listen[0]) as stream:
                    await _write_message(stream, message)
                    reply = await _read_message(stream)
                    if reply is not None:
                        self._step(self.core.on_message, address, reply, True)
                        return None
        except OSError as error:
            if isinstance(error.__cause__ or error, ConnectionRefusedError):
                return ConnectionOutcome.REFUSED
        except (anyio.BrokenResourceError, anyio.EndOfStream, anyio.IncompleteRead):
            pass
        return ConnectionOutcome.NO_ANSWER


async def _write_message(stream: SocketStream, message: Message) -> None:
    """Writes a message after its length as a 32-bit prefix."""
    data = encode(message)
    await stream.send(_LENGTH_PREFIX.pack(len(data)) + data)


async def _read_message(stream: SocketStream) -> Message | None:
    """Reads one message; None if it is malformed or too long."""
    data = bytearray()
    expected = _LENGTH_PREFIX.size
    while len(data) < expected:
        data += await stream.receive()
        if len(data) >= _LENGTH_PREFIX.size and expected == _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(data)
            if length > MAX_VIEW_BYTES:
                return None
            expected += length
    return decode(bytes(data[_LENGTH_PREFIX.size : expected]))
