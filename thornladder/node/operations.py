"""Carries out operators' requests to a running node: status, standby and maintenance of backends."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from thornladder.node.admin.calls import AdminRequest, AdminResponse, Endpoint, error_response
from thornladder.node.clients.front import Front
from thornladder.node.companion import ExtensionEndpoint
from thornladder.node.handover import MaintenanceStore
from thornladder.node.host import NodeHost
from thornladder.node.maintenance import MaintenanceMark
from thornladder.node.memory.monitor import MemoryMonitor


def describe_memory(memory: MemoryMonitor) -> dict[str, Any]:
    """The memory of this process for its operators, in bytes."""
    return {
        "limit": memory.limits.limit, "level": memory.level.name.lower(), "now": asdict(memory.usage),
        "peak": asdict(memory.peak), "relieved": memory.relieved_count,
        "samples_by_level": {level.name.lower(): count for level, count in memory.level_counts.items()},
    }  # fmt: skip


NO_ENDPOINTS: Mapping[str, ExtensionEndpoint] = {}


class Operations:
    """Handler of the admin server; every request is carried out at once."""

    def __init__(
        self,
        host: NodeHost,
        front: Front,
        memory: MemoryMonitor,
        store: MaintenanceStore,
        log: Any,
        extra_endpoints: Mapping[str, ExtensionEndpoint] = NO_ENDPOINTS,
    ) -> None:
        """`store` keeps maintenance marks on disk; a mark that cannot be stored is refused.

        `extra_endpoints`: endpoints of extensions by path.
        """
        self.extra_endpoints = extra_endpoints
        self.host, self.front, self.memory, self.store, self.log = host, front, memory, store, log

    def __call__(self, request: AdminRequest) -> AdminResponse:
        if request.endpoint is Endpoint.EXTENSION:
            return self.extra_endpoints[request.path].handler(request)
        if request.endpoint is Endpoint.STATUS:
            return self.status()
        if request.endpoint is Endpoint.STANDBY:
            return self.set_standby(True)
        if request.endpoint is Endpoint.ACTIVE:
            return self.set_standby(False)
        return self.set_maintenance(request.backend_id, request.endpoint is Endpoint.ENTER_MAINTENANCE)

    def status(self) -> AdminResponse:
        """The state of this process; 200 if it is ready for clients, else 503."""
        ready = self.host.list_known and self.front.is_open
        server_state = self.front.server_state
        client_pool, closures = server_state.client_pool, server_state.closures
        payload = {
            "ready": ready, "standby": server_state.standby,
            "leaving": server_state.draining, "list_known": self.host.list_known,
            "backends": len(self.host.maintenance.entries),
            "maintenance": self.host.maintenance.out_of_service, "connections": len(self.front.connections),
            "in_hand": len(self.host.exchanges), "blind_since": self.host.list_stale_since,
            "used_connections": client_pool.used, "target_connections": client_pool.target,
            "released_connections": client_pool.released_count,
            "idle_closes": {reason.value: count for reason, count in closures.counts.items()},
            "crossed_closes": closures.crossed_count,
            "message_bytes": server_state.memory_budget.used,
            "max_message_bytes": server_state.memory_budget.limit,
            "memory_refusals": server_state.memory_refusals,
            "replaced_connections": server_state.replaced_connections,
            "memory": describe_memory(self.memory),
        }  # fmt: skip
        return AdminResponse(200 if ready else 503, payload)

    def set_standby(self, standby: bool) -> AdminResponse:
        """Sends clients away, or takes them back; 503 while the process shuts down."""
        if self.front.server_state.draining:
            return error_response(503, "this process is leaving")
        if standby != self.front.server_state.standby:
            self.front.set_standby(standby)
            self.log.info("standby" if standby else "active")
        return AdminResponse(200, {"standby": standby})

    def set_maintenance(self, backend: str, out_of_service: bool) -> AdminResponse:
        """Takes a backend out of service or puts it back; 404: unknown id, 503: it could not be stored."""
        maintenance = self.host.maintenance
        # Another process of this node may have got a call that this one has not seen yet.
        self.host.apply_maintenance(self.store.load_if_changed())
        if not maintenance.knows(backend):
            return error_response(404, "no such backend")
        before = maintenance.marks.get(backend)
        if out_of_service != (before is not None and before.out_of_service):
            now = self.host.clock()
            mark = MaintenanceMark(out_of_service, max(now, before.set_at + 1e-6) if before else now)
            try:
                self.store.merge({backend: mark})
            except OSError as error:
                self.log.warning("the maintenance state could not be written", error=repr(error))
                return error_response(503, "it could not be written down")
            self.host.apply_maintenance({backend: mark})
            self.log.info(
                "out for maintenance" if out_of_service else "back from maintenance", backend=backend
            )
        return AdminResponse(200, {"host": backend, "maintenance": out_of_service})
