"""The seam for parts beside a node that know of other nodes: none of them under `python -m thornladder`.

A companion decides nothing about invocations. It may tell the module of how many nodes it is one, and answer
calls of operators; the node goes on serving whatever becomes of it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

from thornladder.node.admin.calls import AdminRequest, AdminResponse
from thornladder.node.clients.connection import InvocationHandler
from thornladder.node.clients.early import ShedPolicy
from thornladder.node.tasks import Tasks
from thornladder.settings import Address


class ExtensionEndpoint(NamedTuple):
    """A call at the second address that a companion answers, at once."""

    method: bytes
    handler: Callable[[AdminRequest], AdminResponse]


class NodeContext(NamedTuple):
    """What a companion has of its node."""

    name: str
    seed: int
    folder: str  # private to the node, shared by its processes
    configured_nodes: int  # as the settings say
    admin: Address | None
    tasks: Tasks
    log: Any
    set_node_count: Callable[[int], None]  # of how many nodes this is one, from now on
    settings: Callable[[], dict[str, Any]]  # that are in force, in the operators' form


class NodeExtension(Protocol):
    descriptors: int  # that it may hold at once

    def admin_endpoints(self) -> Mapping[str, ExtensionEndpoint]:
        """By path."""

    def wrap(
        self, handler: InvocationHandler, shed_policy: ShedPolicy
    ) -> tuple[InvocationHandler, ShedPolicy]:
        """Who takes invocations and who turns them away unread: the same two, or such that look on."""

    def start(self, context: NodeContext) -> None:
        """Once, from within the node's event loop, before the node serves."""

    async def stop(self, has_successor: bool) -> None:
        """The node has answered all that it had and ends; `succeeded`: another process of it goes on."""
