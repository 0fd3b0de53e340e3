"""Membership beside a node: its processes are one member, and the module is told how many nodes there are."""

from __future__ import annotations

import fcntl
import os
import secrets
import time
from collections.abc import Mapping
from random import Random
from typing import Any

import anyio

from thornladder.membership.config import FleetConfig
from thornladder.membership.core import Core
from thornladder.membership.count import FleetSize
from thornladder.membership.transport import Transport
from thornladder.membership.wire import State, split_address
from thornladder.node.admin.calls import AdminRequest, AdminResponse, error_response
from thornladder.node.clients.connection import InvocationHandler
from thornladder.node.clients.early import ShedPolicy
from thornladder.node.companion import ExtensionEndpoint, NodeContext
from thornladder.node.handover import StateFile

LOOK = 0.1  # seconds between looks whether the other process of this node still is the member
COUNT = 0.5  # seconds between looks at the number of nodes
AGAIN = 1.0  # seconds until an address that could not be had is tried again
LAST = 0.05  # seconds until what a leaving member says is surely on its way


class MemberLock:
    """Which process of a node is the member: the one that holds a lock, which any death frees."""

    def __init__(self, folder: str, name: str) -> None:
        self.path = StateFile(folder, name, "member").path

    def try_acquire(self) -> int | None:
        descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return None
        return descriptor


class Membership:
    """The companion that takes part in a fleet."""

    descriptors = Transport.DESCRIPTORS + 1

    def __init__(self, config: FleetConfig) -> None:
        self.config = config
        self.core: Core | None = None
        self.transport: Transport | None = None

    def admin_endpoints(self) -> Mapping[str, ExtensionEndpoint]:
        return {"/members": ExtensionEndpoint(b"GET", self.members)}

    def wrap(
        self, handler: InvocationHandler, shed_policy: ShedPolicy
    ) -> tuple[InvocationHandler, ShedPolicy]:
        return handler, shed_policy

    def start(self, context: NodeContext) -> None:
        self.context, self.log = context, context.log
        self.count = FleetSize(context.configured_nodes, self.config.hold, self.config.lower_after)
        self.scope = anyio.CancelScope()
        context.tasks.supervise("membership", self._run)

    async def stop(self, has_successor: bool) -> None:
        """An upgrade goes on as the same member; else the others are told."""
        if self.core is not None and self.transport is not None and not has_successor:
            self.core.leave(time.monotonic())
            self.transport.say()
            await anyio.sleep(LAST)
        self.scope.cancel()

    async def _run(self) -> None:
        with self.scope:
            seat = MemberLock(self.context.folder, self.context.name)
            while (held := seat.try_acquire()) is None:
                await anyio.sleep(LOOK)
            try:
                while True:
                    try:
                        await self._take_part()
                    except* OSError as group:
                        # Another program has the address, or the last process of this node a moment longer.
                        listen, why = self.config.listen, str(group.exceptions[0])
                        self.log.warning("the fleet's address cannot be had", listen=listen, why=why)
                    await anyio.sleep(AGAIN)
            finally:
                os.close(held)

    async def _take_part(self) -> None:
        config, name = self.config, self.context.name
        chance = Random(secrets.randbits(64))  # the number that tells this process apart must not repeat
        address = config.advertise or config.listen
        core = Core(name, address, config.fleet, config.seeds, chance, time.monotonic(), zone=config.zone)
        transport = Transport(core, split_address(config.listen), self.log, self._changed)
        self.core, self.transport = core, transport
        self.log.info("membership", member=name, fleet=config.fleet, listen=config.listen, address=address)
        async with anyio.create_task_group() as group:
            group.start_soon(self._count)
            await transport.run()

    def _changed(self) -> None:
        for change in self.core.take_changes():
            self.log.info("member", member=change.name, state=change.state, by=change.witnesses,
                          view=change.view_changed, members=len(self.core.members))  # fmt: skip

    async def _count(self) -> None:
        told = None
        while True:
            nodes = self.count.update(self.core)
            if nodes != told:
                self.log.info("nodes of the fleet", nodes=nodes, was=told)
                self.context.set_node_count(nodes)
                told = nodes
            await anyio.sleep(COUNT)

    def members(self, call: AdminRequest) -> AdminResponse:
        core, transport = self.core, self.transport
        if core is None or transport is None:
            return error_response(503, "another process of this node is the member")
        return AdminResponse(200, {
            "fleet": self.config.fleet, "name": core.name, "process": f"{core.start}.{core.birth:08x}",
            "nodes": self.count.nodes, "joined": core.joined, "alone": core.isolated,
            "deaf": core.hears_nobody, "late": core.counters.late, "accused": core.counters.accused,
            "refuted": core.counters.refuted, "garbage": transport.garbage,
            "view_changes": core.counters.views,
            "members": [described(core, name) for name in sorted(core.peers)],
        })  # fmt: skip


def described(core: Core, name: str) -> dict[str, Any]:
    """How one other member stands, for a person or a script. Times are seconds ago."""
    peer = core.peers[name]
    item = peer.item
    silent = peer.alive and bool(peer.words)
    state = "not heard of" if silent else State(item.state).name.lower()
    by = sorted(peer.words) if silent else [each for each in item.by.split(",") if each]
    since = peer.first if silent else peer.since
    ago = core.now - peer.heard
    return {
        "name": name, "state": state, "way": peer.way.value, "since": round(core.now - since, 1), "by": by,
        "heard": round(ago, 1) if ago < 1e9 else None, "zone": item.zone, "address": item.address,
        "process": f"{item.start}.{item.birth:08x}",
    }  # fmt: skip
