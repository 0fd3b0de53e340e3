"""All that nodes say to each other goes through here: one relay address a node, the sender known by its own.

Each node has an address of its own of the loopback range, so each ordered pair has its own faults. While a
node's process is dead its relay address refuses connections, as the kernel of its machine would; while it is
only paused or cut off, connections are taken and stay silent.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup

from thornladder.rig.faults import LinkConditions

PORT = 7946
BATCH = 64  # datagrams read in one go


class Ends(NamedTuple):
    own: str  # the node's address
    relay: str  # where others reach it


class Relay:
    def __init__(
        self, ends: dict[str, Ends], link_conditions: LinkConditions, chance: Random, now: Callable[[], float]
    ) -> None:
        """`now`: seconds of the play."""
        self.ends, self.link_conditions, self.chance, self.now = ends, link_conditions, chance, now
        self.names = {each.own: name for name, each in ends.items()}
        self.sockets: dict[str, socket.socket] = {}
        self.doors: dict[str, anyio.CancelScope] = {}
        self.passed = self.dropped = self.bytes = 0

    def open(self, group: TaskGroup) -> None:
        """Binds all datagram sockets; raises OSError."""
        self.group = group
        for name, each in self.ends.items():
            raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            raw.setblocking(False)
            raw.bind((each.relay, PORT))
            self.sockets[name] = raw
        for name in self.ends:
            group.start_soon(self._datagrams, name)

    def close(self) -> None:
        for raw in self.sockets.values():
            raw.close()

    async def up(self, name: str) -> None:
        """Its process is there: connections are passed on."""
        await self.group.start(self._door, name)

    def down(self, name: str) -> None:
        """Its process has died: connections are refused from now on."""
        if scope := self.doors.pop(name, None):
            scope.cancel()

    async def _datagrams(self, target: str) -> None:
        raw = self.sockets[target]
        while True:
            await anyio.wait_readable(raw)
            for _ in range(BATCH):
                try:
                    data, source = raw.recvfrom(65536)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:
                    continue
                sender = self.names.get(source[0])
                if sender is not None:
                    self._pass(sender, target, data)
            await anyio.sleep(0)

    def _pass(self, sender: str, target: str, data: bytes) -> None:
        copies = self.link_conditions.datagram_delays(self.now(), sender, target, len(data), self.chance)
        self.dropped += not copies
        for later in copies:
            self.passed += 1
            self.bytes += len(data)
            if later <= 0.002:
                self._deliver(sender, target, data)
            else:
                self.group.start_soon(self._later, later, sender, target, data)

    async def _later(self, later: float, sender: str, target: str, data: bytes) -> None:
        await anyio.sleep(later)
        self._deliver(sender, target, data)

    def _deliver(self, sender: str, target: str, data: bytes) -> None:
        """From the sender's relay address, so that answers come back by way of here."""
        try:
            self.sockets[sender].sendto(data, (self.ends[target].own, PORT))
        except OSError:
            self.dropped += 1

    async def _door(self, target: str, *, task_status: anyio.abc.TaskStatus) -> None:
        with anyio.CancelScope() as scope:
            listener = await anyio.create_tcp_listener(local_host=self.ends[target].relay, local_port=PORT)
            self.doors[target] = scope
            task_status.started()
            async with listener:
                await listener.serve(lambda stream: self._connection(target, stream))

    async def pass_on(self, sender: str, target: str, door: tuple[str, int], own: tuple[str, int], *,
                      task_status: anyio.abc.TaskStatus) -> None:  # fmt: skip
        """Connections of one that is no node, to an address of a node's own, under the same weather."""

        async def connection(stream: SocketStream) -> None:
            async with stream:
                await self._both_ways(sender, target, stream, own)

        listener = await anyio.create_tcp_listener(local_host=door[0], local_port=door[1])
        task_status.started()
        async with listener:
            await listener.serve(connection)

    async def _connection(self, target: str, stream: SocketStream) -> None:
        sender = self.names.get(stream.extra(anyio.abc.SocketAttribute.remote_address)[0])
        async with stream:
            if sender is None:
                return
            await self._both_ways(sender, target, stream, (self.ends[target].own, PORT))

    async def _both_ways(self, sender: str, target: str, stream: SocketStream, own: tuple[str, int]) -> None:
        try:
            onward = await anyio.connect_tcp(*own)
            async with onward, anyio.create_task_group() as group:
                group.start_soon(self._carry, sender, target, stream, onward, group)
                group.start_soon(self._carry, target, sender, onward, stream, group)
        except OSError:
            return

    async def _carry(
        self, sender: str, target: str, source: SocketStream, sink: SocketStream, group: TaskGroup
    ) -> None:
        try:
            while True:
                data = await source.receive()
                size = min(len(data), 1460)
                later = self.link_conditions.stream_delay(self.now(), sender, target, size, self.chance)
                if later is None:
                    await anyio.sleep(10.0)  # cut: nobody waits for as long
                    break
                await anyio.sleep(later)
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        group.cancel_scope.cancel()
