"""What operators may ask of a running node, carried out at once."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from thornladder.node.admin.calls import AdminRequest, AdminResponse, Endpoint, error_response
from thornladder.node.clients.front import Front
from thornladder.node.companion import ExtensionEndpoint
from thornladder.node.host import NodeHost
from thornladder.node.maintenance import Mark

NOTHING: Mapping[str, ExtensionEndpoint] = {}


class Operations:
    def __init__(
        self,
        host: NodeHost,
        front: Front,
        keep: Callable[[dict[str, Mark]], None],
        log: Any,
        further: Mapping[str, ExtensionEndpoint] = NOTHING,
    ) -> None:
        """`keep` writes the marks of maintenance down; until it has, nothing is answered yes.

        `further`: calls that parts beside the node answer, by path.
        """
        self.further = further
        self.host, self.front, self.keep, self.log = host, front, keep, log

    def __call__(self, call: AdminRequest) -> AdminResponse:
        if call.endpoint is Endpoint.EXTENSION:
            return self.further[call.path].handler(call)
        if call.endpoint is Endpoint.STATUS:
            return self.status()
        if call.endpoint is Endpoint.STANDBY:
            return self.stand_by(True)
        if call.endpoint is Endpoint.ACTIVE:
            return self.stand_by(False)
        return self.mark(call.backend_id, call.endpoint is Endpoint.ENTER_MAINTENANCE)

    def status(self) -> AdminResponse:
        ready = self.host.list_known and self.front.is_open
        facts = {
            "ready": ready, "standby": self.front.server_state.standby,
            "leaving": self.front.server_state.draining, "list_known": self.host.list_known,
            "backends": len(self.host.maintenance.entries),
            "maintenance": self.host.maintenance.out, "connections": len(self.front.connections),
            "in_hand": len(self.host.exchanges), "blind_since": self.host.blind_since,
        }  # fmt: skip
        return AdminResponse(200 if ready else 503, facts)

    def stand_by(self, standby: bool) -> AdminResponse:
        if self.front.server_state.draining:
            return error_response(503, "this process is leaving")
        if standby != self.front.server_state.standby:
            self.front.set_standby(standby)
            self.log.info("standby" if standby else "active")
        return AdminResponse(200, {"standby": standby})

    def mark(self, backend: str, out: bool) -> AdminResponse:
        maintenance = self.host.maintenance
        if not maintenance.knows(backend):
            return error_response(404, "no such backend")
        before = maintenance.marks.get(backend)
        if out != (before is not None and before.out):
            now = self.host.clock()
            mark = Mark(out, max(now, before.at + 1e-6) if before else now)
            try:
                self.keep({backend: mark})
            except OSError as error:
                self.log.warning("maintenance could not be written down", error=repr(error))
                return error_response(503, "it could not be written down")
            self.host.mark({backend: mark})
            self.log.info("out for maintenance" if out else "back from maintenance", backend=backend)
        return AdminResponse(200, {"host": backend, "maintenance": out})
