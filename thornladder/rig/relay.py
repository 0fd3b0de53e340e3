"""Relays membership traffic between nodes, and other connections on request, under the link faults.

Each node has two loopback addresses: its own, by which the relay recognises it as a sender, and its relay
address, where others reach it. So each ordered pair of nodes can have faults of its own. While the process of
a node is dead, its relay address refuses connections, as the kernel of its machine would; while the node is
only paused or cut off, connections are accepted and stay silent.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup

from thornladder.rig.faults import LinkConditions

MEMBERSHIP_PORT = 7946
MAX_DATAGRAMS_PER_WAKEUP = 64
MAX_IMMEDIATE_SECONDS = 0.002  # a datagram with a delay of up to this is delivered without a task
MAX_SEGMENT_BYTES = 1460  # of a TCP connection over Ethernet
CUT_CONNECTION_SECONDS = 10.0  # a connection over a cut link is silent for longer than any peer waits


class NodeAddresses(NamedTuple):
    """The loopback addresses of a node."""

    own: str
    relay: str  # where others reach the node


class Relay:
    """Forwards datagrams and connections between nodes under the link conditions."""

    def __init__(
        self,
        addresses: dict[str, NodeAddresses],
        network: LinkConditions,
        rng: Random,
        now: Callable[[], float],
    ) -> None:
        """`now`: seconds of the scenario."""
        self.addresses, self.network, self.rng, self.now = addresses, network, rng, now
        self.name_by_address = {entry.own: name for name, entry in addresses.items()}
        self.sockets: dict[str, socket.socket] = {}
        self.listeners: dict[str, anyio.CancelScope] = {}
        self.forwarded = self.dropped = self.forwarded_bytes = 0  # datagrams, datagrams, bytes

    def open(self, group: TaskGroup) -> None:
        """Binds the UDP sockets and starts forwarding datagrams. Raises OSError."""
        self.group = group
        for name, addresses in self.addresses.items():
            udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp_socket.setblocking(False)
            udp_socket.bind((addresses.relay, MEMBERSHIP_PORT))
            self.sockets[name] = udp_socket
        for name in self.addresses:
            group.start_soon(self._forward_datagrams, name)

    def close(self) -> None:
        """Closes the UDP sockets."""
        for udp_socket in self.sockets.values():
            udp_socket.close()

    async def open_listener(self, name: str) -> None:
        """Accepts connections to a node, whose process has started."""
        await self.group.start(self._listen, name)

    def close_listener(self, name: str) -> None:
        """Refuses connections to a node from now on, since its process has died."""
        if scope := self.listeners.pop(name, None):
            scope.cancel()

    async def _forward_datagrams(self, target: str) -> None:
        """Forwards all datagrams that arrive at the relay address of `target`."""
        udp_socket = self.sockets[target]
        while True:
            await anyio.wait_readable(udp_socket)
            for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
                try:
                    data, source = udp_socket.recvfrom(65536)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:
                    continue
                sender = self.name_by_address.get(source[0])
                if sender is not None:
                    self._forward(sender, target, data)
            await anyio.sleep(0)

    def _forward(self, sender: str, target: str, data: bytes) -> None:
        delays = self.network.datagram_delays(self.now(), sender, target, len(data), self.rng)
        self.dropped += not delays
        for delay in delays:
            self.forwarded += 1
            self.forwarded_bytes += len(data)
            if delay <= MAX_IMMEDIATE_SECONDS:
                self._deliver(sender, target, data)
            else:
                self.group.start_soon(self._deliver_later, delay, sender, target, data)

    async def _deliver_later(self, delay: float, sender: str, target: str, data: bytes) -> None:
        await anyio.sleep(delay)
        self._deliver(sender, target, data)

    def _deliver(self, sender: str, target: str, data: bytes) -> None:
        """Sends from the sender's relay address, so that the reply comes back through the relay."""
        try:
            self.sockets[sender].sendto(data, (self.addresses[target].own, MEMBERSHIP_PORT))
        except OSError:
            self.dropped += 1

    async def _listen(self, target: str, *, task_status: anyio.abc.TaskStatus) -> None:
        with anyio.CancelScope() as scope:
            listener = await anyio.create_tcp_listener(
                local_host=self.addresses[target].relay, local_port=MEMBERSHIP_PORT
            )
            self.listeners[target] = scope
            task_status.started()
            async with listener:
                await listener.serve(lambda stream: self._handle_connection(target, stream))

    async def forward_connections(
        self, sender: str, target: str, listen_address: tuple[str, int], target_address: tuple[str, int], *,
        task_status: anyio.abc.TaskStatus,
    ) -> None:  # fmt: skip
        """Forwards connections of a sender that is no node, under the faults of the link to `target`."""

        async def handle_connection(stream: SocketStream) -> None:
            async with stream:
                await self._forward_both_ways(sender, target, stream, target_address)

        listener = await anyio.create_tcp_listener(local_host=listen_address[0], local_port=listen_address[1])
        task_status.started()
        async with listener:
            await listener.serve(handle_connection)

    async def _handle_connection(self, target: str, stream: SocketStream) -> None:
        sender = self.name_by_address.get(stream.extra(anyio.abc.SocketAttribute.remote_address)[0])
        async with stream:
            if sender is None:
                return
            await self._forward_both_ways(
                sender, target, stream, (self.addresses[target].own, MEMBERSHIP_PORT)
            )

    async def _forward_both_ways(
        self, sender: str, target: str, stream: SocketStream, target_address: tuple[str, int]
    ) -> None:
        """Connects to the target and copies both directions until either of them ends."""
        try:
            target_stream = await anyio.connect_tcp(*target_address)
            async with target_stream, anyio.create_task_group() as group:
                group.start_soon(self._copy, sender, target, stream, target_stream, group)
                group.start_soon(self._copy, target, sender, target_stream, stream, group)
        except OSError:
            return

    async def _copy(
        self, sender: str, target: str, source: SocketStream, sink: SocketStream, group: TaskGroup
    ) -> None:
        """Copies one direction under the link's faults; cancels the group of both directions at its end."""
        try:
            while True:
                data = await source.receive()
                size = min(len(data), MAX_SEGMENT_BYTES)
                delay = self.network.stream_delay(self.now(), sender, target, size, self.rng)
                if delay is None:
                    await anyio.sleep(CUT_CONNECTION_SECONDS)
                    break
                await anyio.sleep(delay)
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        group.cancel_scope.cancel()
