"""Counts a node's invocations by offering and tenant, for comparing nodes: `GET /counters`.

An extension of the node that `python -m thornladder` does not load. Counters only grow while a process runs,
so a reader subtracts two snapshots and needs no agreement on when to poll.
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
from thornladder.node.clients.early import ShedPolicy
from thornladder.node.clients.server_state import InvocationHandler
from thornladder.node.companion import ExtensionEndpoint, NodeContext
from thornladder.node.exchange import Exchange
from thornladder.node.messages import ClientResponse, FinalOutcome

MAX_LATENCY_US = 60_000_000  # beyond any cut-off
SIGNIFICANT_DIGITS = 2  # of a latency: buckets of 1%, a twentieth of a slowdown by a fifth
MAX_TENANTS = 50  # counted separately; clients choose the names, so the rest share one row
OTHER_TENANTS = "(others)"
PROTOCOL_VERSIONS = {"members": VERSION, "orders": 1}
INVOCATIONS, BAD, NACKED, TERMINATED, LATE, CLIENT_GONE, EXTRA_PUSHES = range(7)  # places in a row of counts
KINDS = ("taken", "bad", "nacked", "terminated", "late", "gone", "further")


def settings_digest(settings: Mapping[str, Any]) -> str:
    """Digest that does not depend on the order of keys."""
    return hashlib.sha256(json.dumps(settings, sort_keys=True).encode()).hexdigest()[:16]


def program_digest() -> str:
    """Digest of the program's source files as they are on disk now."""
    package = Path(__file__).parent.parent
    digest = hashlib.sha256()
    for path in sorted(package.rglob("*.py")):
        digest.update(str(path.relative_to(package)).encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()[:16]


class Counters:
    """The node extension that counts."""

    descriptors = 0

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.rows: dict[str, list[int]] = defaultdict(lambda: [0] * len(KINDS))  # by offering
        self.tenants: dict[str, list[int]] = {}
        self.latencies: dict[str, HdrHistogram] = {}  # microseconds of completed invocations, by offering
        self.started_at = clock()
        self.program = program_digest()
        self.settings: Callable[[], dict[str, Any]] = dict
        self.target_seconds: dict[str, float] = {}  # by offering; an offering without one is never late
        self._settings_and_digest: tuple[Any, str] = (None, "")

    def admin_endpoints(self) -> Mapping[str, ExtensionEndpoint]:
        return {"/counters": ExtensionEndpoint(b"GET", self.snapshot)}

    def wrap(
        self, handler: InvocationHandler, shed_policy: ShedPolicy
    ) -> tuple[InvocationHandler, ShedPolicy]:
        """Wraps both so that every invocation is counted, including those shed before parsing."""

        def counting_shed_policy(offering: str, time_left: float, waited: float) -> float | None:
            retry_after = shed_policy(offering, time_left, waited)
            if retry_after is not None:
                row = self.rows[offering]
                row[INVOCATIONS] += 1
                row[BAD] += 1
                row[NACKED] += 1
            return retry_after

        return CountingHandler(handler, self), counting_shed_policy

    def start(self, context: NodeContext) -> None:
        """Takes the node's name and settings; called before the node serves."""
        self.name, self.settings = context.name, context.settings
        self._settings_and_digest = (None, "")
        self._refresh_settings()

    def _refresh_settings(self) -> None:
        """Updates the digest and the target times if the settings in force have changed."""
        settings = self.settings()
        if settings is not self._settings_and_digest[0]:
            self._settings_and_digest = (settings, settings_digest(settings))
            self.target_seconds = {entry["Name"]: entry["Aim"] / 1e6 for entry in settings["Classes"]}

    async def stop(self, has_successor: bool) -> None:
        """Discards the counters: the next process starts from zero."""

    def tenant_row(self, name: str) -> list[int]:
        """The row of a tenant; beyond MAX_TENANTS, the row shared by all others."""
        row = self.tenants.get(name)
        if row is None:
            key = name if len(self.tenants) < MAX_TENANTS else OTHER_TENANTS
            row = self.tenants.setdefault(key, [0] * len(KINDS))
        return row

    def record_latency(self, offering: str, seconds: float) -> None:
        """Adds the latency of a completed invocation to the histogram, clamped to its range."""
        histogram = self.latencies.get(offering)
        if histogram is None:
            histogram = self.latencies[offering] = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        histogram.record_value(min(max(int(seconds * 1e6), 1), MAX_LATENCY_US))

    def snapshot(self, call: AdminRequest) -> AdminResponse:
        """Response to `GET /counters`, with at most 200 offerings."""
        self._refresh_settings()
        offerings = {
            name: {"counts": list(row), "times": _buckets(self.latencies.get(name))}
            for name, row in list(self.rows.items())[:200]
        }
        return AdminResponse(200, {
            "name": self.name, "process": f"{os.getpid()}.{self.started_at:.3f}", "program": self.program,
            "settings": self._settings_and_digest[1], "speaks": PROTOCOL_VERSIONS, "kinds": KINDS,
            "offerings": offerings, "tenants": {name: list(row) for name, row in self.tenants.items()},
            "seconds": round(self.clock() - self.started_at, 3), "core": round(time.process_time(), 4),
            "memory": _resident_bytes(),
        })  # fmt: skip


def _add(row: list[int], kind: int, bad: bool, extra_pushes: int) -> None:
    row[INVOCATIONS] += 1
    if extra_pushes > 0:
        row[EXTRA_PUSHES] += extra_pushes
    if bad:
        row[BAD] += 1
        row[kind] += 1


def _buckets(histogram: HdrHistogram | None) -> list[tuple[int, int]]:
    """Non-empty buckets: upper bound in microseconds and count."""
    if histogram is None:
        return []
    return [(bucket.value_iterated_to, bucket.count_at_value_iterated_to)
            for bucket in histogram.get_recorded_iterator()]  # fmt: skip


def _resident_bytes() -> int:
    """Resident set size of this process."""
    resident_pages = Path("/proc/self/statm").read_text().split()[1]
    return int(resident_pages) * os.sysconf("SC_PAGE_SIZE")


class CountingHandler:
    """Forwards every call to the wrapped handler, and counts final answers and client disconnects."""

    def __init__(self, handler: InvocationHandler, counters: Counters) -> None:
        self.handler, self.counters = handler, counters
        self.body_time_left, self.body_received = handler.body_time_left, handler.body_received
        self.body_stalled = handler.body_stalled

    def start_invocation(self, exchange: Exchange) -> bool:
        counters, clock = self.counters, self.counters.clock
        offering, tenant = exchange.invocation.offering, exchange.invocation.tenant
        started_at = clock() - exchange.unread_seconds

        def count_answer(answer: ClientResponse) -> None:
            latency = clock() - started_at
            completed = answer.outcome is FinalOutcome.COMPLETED
            kind = LATE if completed else NACKED if answer.outcome is FinalOutcome.NACKED else TERMINATED
            bad = not completed or latency > counters.target_seconds.get(offering, math.inf)
            extra_pushes = len(exchange.push_scopes) - 1
            _add(counters.rows[offering], kind, bad, extra_pushes)
            if tenant:
                _add(counters.tenant_row(tenant), kind, bad, extra_pushes)
            if completed:
                counters.record_latency(offering, latency)

        exchange.observe_answer(count_answer)
        return self.handler.start_invocation(exchange)

    def client_disconnected(self, exchange: Exchange) -> None:
        if not exchange.finished:
            self.counters.rows[exchange.invocation.offering][CLIENT_GONE] += 1
        self.handler.client_disconnected(exchange)
