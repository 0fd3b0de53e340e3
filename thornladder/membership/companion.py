"""The node extension that takes part in a fleet's membership and tells the node how many nodes there are.

The processes of one node, the old and the new one during an upgrade, are one member.
"""

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
from thornladder.node.clients.early import ShedPolicy
from thornladder.node.clients.server_state import InvocationHandler
from thornladder.node.companion import ExtensionEndpoint, NodeContext
from thornladder.node.state_files import StateFile

LOCK_POLL_SECONDS = 0.1  # between attempts to take the member lock from the node's other process
FLEET_SIZE_POLL_SECONDS = 0.5
BIND_RETRY_SECONDS = 1.0
LEAVE_FLUSH_SECONDS = 0.05  # lets the datagrams of a leaving member go out before the socket closes


class MemberLock:
    """File lock that decides which process of a node is the member.

    The kernel releases it when the process ends in any way.
    """

    def __init__(self, folder: str, name: str) -> None:
        self.path = StateFile(folder, name, "member").path

    def try_acquire(self) -> int | None:
        """File descriptor that holds the lock until it is closed, or None while another process holds it."""
        descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return None
        return descriptor


class Membership:
    """Node extension that runs the membership protocol and serves `/members`."""

    descriptors = Transport.DESCRIPTORS + 1

    def __init__(self, config: FleetConfig) -> None:
        self.config = config
        self.core: Core | None = None
        self.transport: Transport | None = None

    def admin_endpoints(self) -> Mapping[str, ExtensionEndpoint]:
        """`/members`, see `members`."""
        return {"/members": ExtensionEndpoint(b"GET", self.members)}

    def wrap(
        self, handler: InvocationHandler, shed_policy: ShedPolicy
    ) -> tuple[InvocationHandler, ShedPolicy]:
        """Returns both unchanged."""
        return handler, shed_policy

    def start(self, context: NodeContext) -> None:
        """Starts the member as a background task of the node."""
        self.context, self.log = context, context.log
        self.fleet_size = FleetSize(context.configured_nodes, self.config.hold, self.config.lower_after)
        self.scope = anyio.CancelScope()
        context.tasks.supervise("membership", self._run)

    async def stop(self, has_successor: bool) -> None:
        """Announces the departure, unless a successor process continues as the same member."""
        if self.core is not None and self.transport is not None and not has_successor:
            self.core.leave(time.monotonic())
            self.transport.send_pending()
            await anyio.sleep(LEAVE_FLUSH_SECONDS)
        self.scope.cancel()

    async def _run(self) -> None:
        with self.scope:
            lock = MemberLock(self.context.folder, self.context.name)
            while (lock_descriptor := lock.try_acquire()) is None:
                await anyio.sleep(LOCK_POLL_SECONDS)
            try:
                while True:
                    try:
                        await self._run_member()
                    except* OSError as group:
                        # Another program uses the address, or the node's previous process still holds it.
                        listen, why = self.config.listen, str(group.exceptions[0])
                        self.log.warning(
                            "cannot bind the fleet address; trying again", listen=listen, why=why
                        )
                    await anyio.sleep(BIND_RETRY_SECONDS)
            finally:
                os.close(lock_descriptor)

    async def _run_member(self) -> None:
        config, name = self.config, self.context.name
        rng = Random(secrets.randbits(64))  # `birth` must differ between processes
        address = config.advertise or config.listen
        core = Core(name, address, config.fleet, config.seeds, rng, time.monotonic(), zone=config.zone)
        transport = Transport(core, split_address(config.listen), self.log, self._log_changes)
        self.core, self.transport = core, transport
        self.log.info("membership", member=name, fleet=config.fleet, listen=config.listen, address=address)
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_fleet_size)
            await transport.run()

    def _log_changes(self) -> None:
        for change in self.core.take_changes():
            self.log.info("member", member=change.name, state=change.state, by=change.witnesses,
                          view=change.view_changed, members=len(self.core.members))  # fmt: skip

    async def _watch_fleet_size(self) -> None:
        reported = None
        while True:
            nodes = self.fleet_size.update(self.core)
            if nodes != reported:
                self.log.info("fleet size changed", nodes=nodes, was=reported)
                self.context.set_node_count(nodes)
                reported = nodes
            await anyio.sleep(FLEET_SIZE_POLL_SECONDS)

    def members(self, request: AdminRequest) -> AdminResponse:
        """Serves the state of this member and of all others it knows as JSON."""
        core, transport = self.core, self.transport
        if core is None or transport is None:
            return error_response(503, "another process of this node is the member")
        return AdminResponse(200, {
            "fleet": self.config.fleet, "name": core.name, "process": f"{core.start}.{core.birth:08x}",
            "nodes": self.fleet_size.nodes, "joined": core.joined, "alone": core.isolated,
            "deaf": core.hears_nobody, "late": core.counters.pauses, "accused": core.counters.reports_made,
            "refuted": core.counters.refutations, "garbage": transport.undecodable,
            "view_changes": core.counters.view_changes,
            "members": [describe_peer(core, name) for name in sorted(core.peers)],
        })  # fmt: skip


def describe_peer(core: Core, name: str) -> dict[str, Any]:
    """State of another member as JSON values. Times are seconds ago."""
    peer = core.peers[name]
    item = peer.item
    suspected = peer.alive and bool(peer.reports)
    state = "not heard of" if suspected else State(item.state).name.lower()
    by = sorted(peer.reports) if suspected else [witness for witness in item.by.split(",") if witness]
    since = peer.first_report_at if suspected else peer.state_since
    heard_ago = core.now - peer.last_heard_at
    return {
        "name": name, "state": state, "way": peer.reachability.value,
        "since": round(core.now - since, 1), "by": by,
        "heard": round(heard_ago, 1) if heard_ago < 1e9 else None, "zone": item.zone,
        "address": item.address, "process": f"{item.start}.{item.birth:08x}",
    }  # fmt: skip
