"""What a node did, counted by offering and by tenant, for whoever compares nodes: `GET /counters`.

A companion: off under `python -m thornladder`. What is counted only grows within a process, so that a reader
takes differences and needs no agreement on when to ask.
"""

from __future__ import annotations

import hashlib
import json
import math
import os
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from thornladder.membership.wire import VERSION
from thornladder.node.admin.calls import AdminRequest, AdminResponse
from thornladder.node.clients.connection import InvocationHandler
from thornladder.node.clients.early import ShedPolicy
from thornladder.node.companion import ExtensionEndpoint, NodeContext
from thornladder.node.exchange import Exchange
from thornladder.node.messages import ClientResponse, FinalOutcome

LONGEST = 60_000_000  # microseconds of an answer: past any cut-off
DIGITS = 2  # of a time that are kept: a twentieth of a fifth slower is still seen
MOST_TENANTS = 50  # counted apart; clients make names up, and the rest are one
OTHERS = "(others)"
PROTOCOL_VERSIONS = {"members": VERSION, "orders": 1}  # versions of what this program says to others
TAKEN, BAD, NACKED, TERMINATED, LATE, GONE, FURTHER = range(7)
KINDS = ("taken", "bad", "nacked", "terminated", "late", "gone", "further")


def settings_digest(settings: Mapping[str, Any]) -> str:
    return hashlib.sha256(json.dumps(settings, sort_keys=True).encode()).hexdigest()[:16]


def program_digest() -> str:
    """Of the program's own text as it lies on disk at this moment."""
    top = Path(__file__).parent.parent
    whole = hashlib.sha256()
    for path in sorted(top.rglob("*.py")):
        whole.update(str(path.relative_to(top)).encode() + b"\0" + path.read_bytes())
    return whole.hexdigest()[:16]


class Counters:
    """The companion that looks on."""

    descriptors = 0

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.rows: dict[str, list[int]] = defaultdict(lambda: [0] * len(KINDS))  # by offering
        self.tenants: dict[str, list[int]] = {}
        self.times: dict[str, HdrHistogram] = {}
        self.began = clock()
        self.program = program_digest()
        self.settings: Callable[[], dict[str, Any]] = dict
        self.targets: dict[str, float] = {}  # seconds, by offering in force; of others nothing is late
        self._held: tuple[Any, str] = (None, "")

    def admin_endpoints(self) -> Mapping[str, ExtensionEndpoint]:
        return {"/counters": ExtensionEndpoint(b"GET", self.snapshot)}

    def wrap(
        self, handler: InvocationHandler, shed_policy: ShedPolicy
    ) -> tuple[InvocationHandler, ShedPolicy]:
        def turned(offering: str, time_left: float, waited: float) -> float | None:
            come_back = shed_policy(offering, time_left, waited)
            if come_back is not None:
                row = self.rows[offering]
                row[TAKEN] += 1
                row[BAD] += 1
                row[NACKED] += 1
            return come_back

        return CountingHandler(handler, self), turned

    def start(self, context: NodeContext) -> None:
        self.name, self.settings = context.name, context.settings
        self._held = (None, "")
        self._follow()

    def _follow(self) -> None:
        """The settings in force: their digest, and each offering's target time."""
        settings = self.settings()
        if settings is not self._held[0]:
            self._held = (settings, settings_digest(settings))
            self.targets = {line["Name"]: line["Aim"] / 1e6 for line in settings["Classes"]}

    async def stop(self, has_successor: bool) -> None:
        """Nothing is kept: what one process counted is nobody else's."""

    def tenant(self, name: str) -> list[int]:
        row = self.tenants.get(name)
        if row is None:
            known = name if len(self.tenants) < MOST_TENANTS else OTHERS
            row = self.tenants.setdefault(known, [0] * len(KINDS))
        return row

    def took(self, offering: str, seconds: float) -> None:
        times = self.times.get(offering)
        if times is None:
            times = self.times[offering] = HdrHistogram(1, LONGEST, DIGITS)
        times.record_value(min(max(int(seconds * 1e6), 1), LONGEST))

    def snapshot(self, call: AdminRequest) -> AdminResponse:
        self._follow()
        offerings = {
            name: {"counts": list(row), "times": _times(self.times.get(name))}
            for name, row in list(self.rows.items())[:200]
        }
        return AdminResponse(200, {
            "name": self.name, "process": f"{os.getpid()}.{self.began:.3f}", "program": self.program,
            "settings": self._held[1], "speaks": PROTOCOL_VERSIONS, "kinds": KINDS, "offerings": offerings,
            "tenants": {name: list(row) for name, row in self.tenants.items()},
            "seconds": round(self.clock() - self.began, 3), "core": round(time.process_time(), 4),
            "memory": _memory(),
        })  # fmt: skip


def _add(row: list[int], kind: int, bad: bool, further: int) -> None:
    row[TAKEN] += 1
    if further > 0:
        row[FURTHER] += further
    if bad:
        row[BAD] += 1
        row[kind] += 1


def _times(times: HdrHistogram | None) -> list[tuple[int, int]]:
    """Microseconds up to which, and how many: of those that occur."""
    if times is None:
        return []
    return [(each.value_iterated_to, each.count_at_value_iterated_to)
            for each in times.get_recorded_iterator()]  # fmt: skip


def _memory() -> int:
    """Bytes in memory that are this process's alone to answer for."""
    resident = Path("/proc/self/statm").read_text().split()[1]
    return int(resident) * os.sysconf("SC_PAGE_SIZE")


class CountingHandler:
    """Passes everything on, and counts what is final."""

    def __init__(self, handler: InvocationHandler, counters: Counters) -> None:
        self.handler, self.counters = handler, counters
        self.body_received, self.body_stalled = handler.body_received, handler.body_stalled

    def start_invocation(self, exchange: Exchange) -> bool:
        counters, clock = self.counters, self.counters.clock
        offering, tenant = exchange.invocation.offering, exchange.invocation.tenant
        began = clock() - exchange.unread_seconds

        def look(answer: ClientResponse) -> None:
            took = clock() - began
            completed = answer.outcome is FinalOutcome.COMPLETED
            kind = LATE if completed else NACKED if answer.outcome is FinalOutcome.NACKED else TERMINATED
            bad = not completed or took > counters.targets.get(offering, math.inf)
            further = len(exchange.push_scopes) - 1
            _add(counters.rows[offering], kind, bad, further)
            if tenant:
                _add(counters.tenant(tenant), kind, bad, further)
            if completed:
                counters.took(offering, took)

        exchange.observe_answer(look)
        return self.handler.start_invocation(exchange)

    def client_disconnected(self, exchange: Exchange) -> None:
        if not exchange.finished:
            self.counters.rows[exchange.invocation.offering][GONE] += 1
        self.handler.client_disconnected(exchange)
