"""Interface for extensions of a node, such as membership of a fleet; `python -m thornladder` loads none.

An extension decides nothing about invocations. It may tell the node how many nodes there are and serve admin
endpoints; the node keeps serving if it fails.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

from thornladder.node.admin.calls import AdminRequest, AdminResponse
from thornladder.node.clients.early import ShedPolicy
from thornladder.node.clients.server_state import InvocationHandler
from thornladder.node.tasks import Tasks
from thornladder.settings import Address


class ExtensionEndpoint(NamedTuple):
    """An admin endpoint of an extension; `handler` responds at once and must not block."""

    method: bytes
    handler: Callable[[AdminRequest], AdminResponse]


class NodeContext(NamedTuple):
    """What a node gives to its extensions."""

    name: str
    seed: int
    folder: str  # private to the node, shared by its processes
    configured_nodes: int  # number of nodes in the settings
    admin: Address | None
    tasks: Tasks
    log: Any
    set_node_count: Callable[[int], None]  # overrides `configured_nodes` in the decisions
    settings: Callable[[], dict[str, Any]]  # the settings in force, as in the configuration file


class NodeExtension(Protocol):
    """A part that runs beside the node in the same process."""

    descriptors: int  # file descriptors that it holds at once, at most

    def admin_endpoints(self) -> Mapping[str, ExtensionEndpoint]:
        """The admin endpoints that it serves, by path."""

    def wrap(
        self, handler: InvocationHandler, shed_policy: ShedPolicy
    ) -> tuple[InvocationHandler, ShedPolicy]:
        """Returns both unchanged, or wrapped so that the extension observes invocations."""

    def start(self, context: NodeContext) -> None:
        """Called once within the node's event loop, before the node serves."""

    async def stop(self, has_successor: bool) -> None:
        """Called after the node has drained; `has_successor`: another process of the node keeps serving."""
