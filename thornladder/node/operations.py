"""What operators may ask of a running node, carried out at once."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from thornladder.node.admin.calls import Call, Name, Verdict, no
from thornladder.node.clients.front import Front
from thornladder.node.companion import Further
from thornladder.node.host import NodeHost
from thornladder.node.maintenance import Mark

NOTHING: Mapping[str, Further] = {}


class Operations:
    def __init__(
        self,
        host: NodeHost,
        front: Front,
        keep: Callable[[dict[str, Mark]], None],
        log: Any,
        further: Mapping[str, Further] = NOTHING,
    ) -> None:
        """`keep` writes the marks of maintenance down; until it has, nothing is answered yes.

        `further`: calls that parts beside the node answer, by path.
        """
        self.further = further
        self.host, self.front, self.keep, self.log = host, front, keep, log

    def __call__(self, call: Call) -> Verdict:
        if call.name is Name.FURTHER:
            return self.further[call.path].act(call)
        if call.name is Name.STATUS:
            return self.status()
        if call.name is Name.STANDBY:
            return self.stand_by(True)
        if call.name is Name.ACTIVE:
            return self.stand_by(False)
        return self.mark(call.backend, call.name is Name.ENTER)

    def status(self) -> Verdict:
        ready = self.host.list_known and self.front.is_open
        facts = {
            "ready": ready, "standby": self.front.server_state.standby,
            "leaving": self.front.server_state.draining, "list_known": self.host.list_known,
            "backends": len(self.host.maintenance.entries),
            "maintenance": self.host.maintenance.out, "connections": len(self.front.connections),
            "in_hand": len(self.host.exchanges), "blind_since": self.host.blind_since,
        }  # fmt: skip
        return Verdict(200 if ready else 503, facts)

    def stand_by(self, standby: bool) -> Verdict:
        if self.front.server_state.draining:
            return no(503, "this process is leaving")
        if standby != self.front.server_state.standby:
            self.front.set_standby(standby)
            self.log.info("standby" if standby else "active")
        return Verdict(200, {"standby": standby})

    def mark(self, backend: str, out: bool) -> Verdict:
        maintenance = self.host.maintenance
        if not maintenance.knows(backend):
            return no(404, "no such backend")
        before = maintenance.marks.get(backend)
        if out != (before is not None and before.out):
            now = self.host.clock()
            mark = Mark(out, max(now, before.at + 1e-6) if before else now)
            try:
                self.keep({backend: mark})
            except OSError as error:
                self.log.warning("maintenance could not be written down", error=repr(error))
                return no(503, "it could not be written down")
            self.host.mark({backend: mark})
            self.log.info("out for maintenance" if out else "back from maintenance", backend=backend)
        return Verdict(200, {"host": backend, "maintenance": out})
