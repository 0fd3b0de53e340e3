"""A core on sockets: datagrams, and connections for whole views and for what datagrams do not reach."""

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
    MOST_DATAGRAM,
    MOST_VIEW,
    Message,
    decode,
    encode,
    split_address,
)

CHECK = 0.5  # seconds for a connection and its answer, within the second that a probe has
VIEW = 3.0  # seconds for whole views both ways
MOST_CALLERS = 16  # connections taken at once
MOST_CALLS = 16  # made at once
STEP = 0.05  # seconds slept at most, so that what a message made due comes in time
BATCH = 64  # datagrams read in one go before others have their turn
_LENGTH = struct.Struct("!I")


class Transport:
    DESCRIPTORS = MOST_CALLERS + MOST_CALLS + 4

    def __init__(self, core: Core, listen: tuple[str, int], log: Any, changed: Callable[[], None]) -> None:
        """`changed` is called after each step, once the core's changes stand."""
        self.core, self.listen, self.log, self.changed = core, listen, log, changed
        self.clock = time.monotonic
        self.garbage = self.unsent = 0
        self.calls = 0
        self.udp: socket.socket | None = None

    async def run(self) -> None:
        """Until cancelled; raises OSError where the address cannot be had."""
        udp = socket.socket(socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.setblocking(False)
            udp.bind(self.listen)
            listener = await anyio.create_tcp_listener(
                local_host=self.listen[0], local_port=self.listen[1], reuse_port=False
            )
            self.udp = udp
            async with listener, anyio.create_task_group() as group:
                self.group: TaskGroup = group
                group.start_soon(self._receive)
                group.start_soon(listener.serve, self._serve)
                while True:
                    self._step(self.core.wake)
                    await anyio.sleep(min(max(self.core.next_wake_at - self.clock(), 0.001), STEP))
        finally:
            self.udp = None
            udp.close()

    def say(self) -> None:
        """Sends what the core has to say; calls for connections are dropped where none can be made."""
        for act in self.core.take_actions():
            if isinstance(act, Send):
                self._send(act)
            elif self.calls < MOST_CALLS:
                self.calls += 1
                self.group.start_soon(self._call, act)

    def _step(self, what: Callable[..., None], *given: Any) -> None:
        what(self.clock(), *given)
        self.say()
        self.changed()

    def _send(self, act: Send) -> None:
        address = split_address(act.address)
        data = encode(act.message)
        if address is None or len(data) > MOST_DATAGRAM or self.udp is None:
            self.unsent += 1
            return
        try:
            self.udp.sendto(data, address)
        except OSError:  # a full buffer, or an address that cannot be reached: as good as lost
            self.unsent += 1

    async def _receive(self) -> None:
        while True:
            await anyio.wait_readable(self.udp)
            for _ in range(BATCH):
                try:
                    data, source = self.udp.recvfrom(65536)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:
                    continue
                message = decode(data)
                if message is None:
                    self.garbage += 1
                else:
                    self._step(self.core.on_message, f"{source[0]}:{source[1]}", message)
            await anyio.sleep(0)

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            if self.calls >= MOST_CALLERS + MOST_CALLS:
                return
            self.calls += 1
            try:
                with anyio.move_on_after(VIEW):
                    message = await _take(stream)
                    if message is None:
                        self.garbage += 1
                        return
                    answer = self.core.reply_to(message)
                    self._step(self.core.on_message, message.address, message, True)
                    await _give(stream, answer)
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                pass
            finally:
                self.calls -= 1

    async def _call(self, act: Action) -> None:
        try:
            if isinstance(act, ConnectionProbe):
                verdict = await self._ask(act.address, act.message, CHECK)
                if verdict is not None:
                    self._step(self.core.on_connection_outcome, act.message.number, verdict)
            elif isinstance(act, Sync):
                await self._ask(act.address, self.core.view_message(), VIEW)
        finally:
            self.calls -= 1

    async def _ask(self, address: str, message: Message, patience: float) -> ConnectionOutcome | None:
        """What else than an answer came; an answer goes to the core."""
        where = split_address(address)
        if where is None:
            return ConnectionOutcome.NO_ANSWER
        try:
            with anyio.move_on_after(patience):
                # From its own address: others tell members apart by it.
                async with await anyio.connect_tcp(*where, local_host=self.listen[0]) as stream:
                    await _give(stream, message)
                    answer = await _take(stream)
                    if answer is not None:
                        self._step(self.core.on_message, address, answer, True)
                        return None
        except OSError as error:
            if isinstance(error.__cause__ or error, ConnectionRefusedError):
                return ConnectionOutcome.REFUSED
        except (anyio.BrokenResourceError, anyio.EndOfStream, anyio.IncompleteRead):
            pass
        return ConnectionOutcome.NO_ANSWER


async def _give(stream: SocketStream, message: Message) -> None:
    data = encode(message)
    await stream.send(_LENGTH.pack(len(data)) + data)


async def _take(stream: SocketStream) -> Message | None:
    """One message, or None: it is none."""
    data = bytearray()
    wanted = _LENGTH.size
    while len(data) < wanted:
        data += await stream.receive()
        if len(data) >= _LENGTH.size and wanted == _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data)
            if length > MOST_VIEW:
                return None
            wanted += length
    return decode(bytes(data[_LENGTH.size : wanted]))
