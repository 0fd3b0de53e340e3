"""Plays one soak: the fleet of nodes, their backends and discovery, their clients."""

from __future__ import annotations

import time
from collections.abc import Sequence
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random

import anyio

from thornladder.rig.crowd import crowd_command
from thornladder.rig.soak.backend import FaultyBackend
from thornladder.rig.soak.client import RawConnection, SoakClient, resting_pause
from thornladder.rig.soak.clock import MachineLag
from thornladder.rig.soak.link import FaultyLink, LinkFaults
from thornladder.rig.soak.node import NODE_COMMAND, ONCE_ONLY, SoakNode
from thornladder.rig.soak.plan import Crowding, SoakPlan
from thornladder.rig.soak.records import SoakRecords
from thornladder.rig.soak.upgrade import UpgradedNode
from thornladder.rig.standins import DiscoveryServer, HttpServer
from thornladder.settings import Address


class Soak:
    """A fleet of nodes and everything round it, for one plan."""

    def __init__(self, plan: SoakPlan, folder: Path, command: Sequence[str] = NODE_COMMAND) -> None:
        self.plan, self.folder, self.command = plan, folder, list(command)
        self.started_at = time.monotonic()
        self.lag = MachineLag()
        self.discovery = DiscoveryServer()
        is_crowded = plan.crowd > 0 or plan.crowding is not None
        self.records = SoakRecords(once_only=ONCE_ONLY, crowded=is_crowded)
        self.nodes: list[SoakNode | UpgradedNode] = []
        # Where nodes reach the servers: mostly at links before them.
        self.backend_addresses: list[Address] = []
        self.discovery_address: Address

    def host(self, number: int, kind: int) -> str:
        """An address that only one process listens at.

        Outgoing connections have 127.0.0.1: none can take the port of a process that is down for a while.
        """
        return f"127.{100 + self.plan.seed % 100}.{number}.{kind}"

    def now(self) -> float:
        """Seconds since the start of the soak."""
        return time.monotonic() - self.started_at

    def lost_seconds(self) -> float:
        """Seconds by which the machine has been late in all so far."""
        return self.lag.total

    async def play(self) -> SoakRecords:
        """Plays the soak to its end."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.lag.run)
            await group.start(self.discovery.serve)
            for number, changes in enumerate(self.plan.backends):
                host = self.host(number, 2)
                backend = FaultyBackend(number, changes, self.records, self, host, self.plan.answers)
                await group.start(backend.run)
                host, port = await self._link(group, self.plan.backend_links, number, backend)
                self.discovery.update(f"s{number}", port, "x", 0.0, host=host)
                self.backend_addresses.append((host, port))
            self.discovery_address = await self._link(group, self.plan.discovery_link, 0, self.discovery)
            self.started_at = time.monotonic()
            async with anyio.create_task_group() as tasks:
                for number, shutdowns in enumerate(self.plan.shutdowns):
                    node_type = UpgradedNode if self.plan.are_upgrades else SoakNode
                    self.nodes.append(node_type(self, number, shutdowns))
                    self._start_node(tasks, self.nodes[-1])
                tasks.start_soon(self._run_service, tasks)
                group.start_soon(self._change_list)
            group.cancel_scope.cancel()
        return self.records

    async def _link(
        self, group: anyio.abc.TaskGroup, faults: LinkFaults | None, number: int, server: HttpServer
    ) -> Address:
        """Puts a faulty link before a server, if the plan has one; returns where nodes reach the server."""
        if faults is None:
            return server.host, server.port
        kind = 3 if server is not self.discovery else 4
        link = FaultyLink(
            self.host(number, kind),
            lambda: (server.host, server.port),
            faults,
            Random(f"{self.plan.seed} link {kind} {number}"),
            lambda id: self.records.sent_to_backends.setdefault(id, []).append(self.now()),
        )
        await group.start(link.serve)
        return link.host, link.port

    async def _change_list(self) -> None:
        for change in self.plan.list_changes:
            await anyio.sleep(max(change.at - self.now(), 0.0))
            host, port = self.backend_addresses[change.backend]
            self.discovery.update(f"s{change.backend}", port, "x", 0.0, change.lifecycle, host)

    def _start_node(self, group: anyio.abc.TaskGroup, node: SoakNode | UpgradedNode) -> None:
        group.start_soon(node.run)
        group.start_soon(node.sample_waits)
        for number in range(self.plan.clients_per_node):
            name = f"n{node.number}c{number}"
            rng = Random(f"{self.plan.seed} {name}")
            client = SoakClient(
                name,
                lambda: node if node.connectable() else None,
                self.records,
                rng,
                self,
                large_upload_share=self.plan.large_upload_share,
                leave_share=self.plan.leave_share,
                return_share=self.plan.return_share,
            )
            group.start_soon(client.run, lambda: node.done)
        if self.plan.crowd:
            group.start_soon(self._run_crowd, node)
        if self.plan.crowding is not None:
            group.start_soon(self._run_crowding, node, self.plan.crowding)

    async def _run_service(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts what concerns the whole fleet, once all nodes are ready."""
        while not all(node.in_service or node.done for node in self.nodes):
            await anyio.sleep(0.01)
        for number in range(self.plan.resting_clients):
            rng = Random(f"{self.plan.seed} resting {number}")
            choose_node = partial(self._choose_node, rng)
            client = SoakClient(f"r{number}", choose_node, self.records, rng, self, resting_pause, 1.0)
            tasks.start_soon(client.run, lambda: all(node.done for node in self.nodes))
        for standby in self.plan.standbys:
            tasks.start_soon(self.nodes[standby.node].stand_by, standby)
        for hold in self.plan.holds:
            tasks.start_soon(self.nodes[hold.node].hold, hold)

    def _choose_node(self, rng: Random) -> SoakNode | UpgradedNode | None:
        """Deals out connections as the platform's front does, over the nodes that it takes for ready."""
        ready = [node for node in self.nodes if node.connectable()]
        return rng.choice(ready) if ready else None

    async def _run_crowding(self, node: SoakNode | UpgradedNode, crowding: Crowding) -> None:
        """Runs a crowd against a node in a process of its own, until the node is done."""
        command = crowd_command(node.address, crowding.kind, crowding.size, self.plan.seed)
        process = await anyio.open_process(command)
        try:
            while not node.done:
                await anyio.sleep(0.05)
        finally:
            process.kill()
            with anyio.CancelScope(shield=True):
                await process.wait()

    async def _run_crowd(self, node: SoakNode | UpgradedNode) -> None:
        """Keeps connections open on which nothing is sent, and opens new ones for those that end."""
        crowd: list[RawConnection] = []
        try:
            while not node.done:
                for connection in [one for one in crowd if one.ended()]:
                    crowd.remove(connection)
                    connection.close()
                with suppress(OSError):
                    while len(crowd) < self.plan.crowd:
                        crowd.append(await RawConnection.open(node.address))
                await anyio.sleep(0.05)
        finally:
            for connection in crowd:
                connection.close()
