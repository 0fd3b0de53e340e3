"""Simulates a rollout in virtual time: the real driver and judge, on nodes that exist only as counters.

The counters are random: rates differ by node, incidents hit both sides, and the new variant has a known
regression. Results for the judge are only as realistic as these counters; the rig runs the same driver on
real processes.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from thornladder.rollout.core import (
    Action,
    Driver,
    NodeReport,
    Phase,
    Record,
    RequestClaim,
    SendDocument,
    WriteRecord,
)
from thornladder.rollout.judge import Finding, Judge, difference
from thornladder.rollout.orders import AcceptorState
from thornladder.rollout.plan import Change, Plan

OFFERING_SHARES = {"look": 0.77, "pay": 0.2, "rare": 0.03}  # of the traffic
MEDIAN_LATENCY_SECONDS = {"look": 0.02, "pay": 0.05, "rare": 0.04}
LATENCY_SIGMA = 0.35  # of the log-normal distribution
BUCKET_GROWTH = 1.05  # ratio of the bounds of neighbouring latency buckets
TARGET_SECONDS = 0.2
CHANGE_SECONDS = 2.0  # from a new assignment until the node runs it
RESTART_SECONDS = 1.0  # from a crash until the node is back


class Regression(NamedTuple):
    """What the new variant does worse; nothing by default, for a sound change."""

    name: str = "sound"
    extra_nack_share: float = 0.0
    latency_factor: float = 1.0
    only_offering: str = ""  # the only one affected; empty: all
    only_busy_nodes: bool = False  # only nodes with over 1.5 times the mean traffic
    extra_push_share: float = 0.0
    core_factor: float = 1.0
    leak_bytes_per_second: float = 0.0
    crash_after_seconds: float = math.inf  # after each start
    becomes_ready: bool = True
    refused: str = ""  # the reason for which nodes refuse the change


REGRESSIONS = (
    Regression("ends at its start", crash_after_seconds=0.3),
    Regression("ends after a minute", crash_after_seconds=60.0),
    Regression("never ready", becomes_ready=False),
    Regression("settings refused", refused="it did not take the settings"),
    Regression("leaks 1 MB/s", leak_bytes_per_second=1e6),
    Regression("slower by 20% in 3% of traffic", latency_factor=1.2, only_offering="rare"),
    Regression("nacks 3% more", extra_nack_share=0.03),
    Regression("slower by half at heavy nodes", latency_factor=1.5, only_busy_nodes=True),
    Regression("pushes more", extra_push_share=0.2),
    Regression("a third more core", core_factor=1.33),
)


class Incident(NamedTuple):
    """A fault that hits old and new nodes alike, scaled by each node's sensitivity."""

    at: float  # seconds
    duration: float  # seconds
    extra_nack_share: float
    latency_factor: float


@dataclass
class SimulatedNode:
    """A node with its keeper."""

    name: str
    rate: float  # invocations per second
    sensitivity: float  # how hard incidents hit it
    acceptor: AcceptorState = field(default_factory=AcceptorState)
    running: int = 0
    change_done_at: float = math.inf
    started_at: float = 0.0
    process: int = 0
    down_until: float = -1.0
    crashes: int = 0
    refused: str = ""
    rows: dict[str, list[int]] = field(default_factory=dict)
    latencies: dict[str, dict[int, int]] = field(default_factory=dict)
    core_seconds: float = 0.0
    memory_bytes: float = 60e6
    paused_until: float = -1.0
    last_counters: tuple[float, dict[str, Any]] | None = None  # when they were read, and the counters


class Fleet:
    """All nodes, and the network between them and the driver."""

    def __init__(
        self,
        size: int,
        seed: int,
        regression: Regression,
        incidents: Sequence[Incident] = (),
        rate: float = 30.0,
    ) -> None:
        self.random, self.regression, self.incidents = Random(seed), regression, incidents
        self.nodes: dict[str, SimulatedNode] = {}
        for number in range(size):
            name = f"n{number:03}"
            node = SimulatedNode(
                name, rate * self.random.lognormvariate(-0.32, 0.8), self.random.uniform(0.7, 1.3)
            )
            self.nodes[name] = node
            self._reset_process(node, 0.0)
        self.now = 0.0
        self.harmed_invocations = 0  # that the regression affected
        self.unreachable: set[str] = set()  # nodes that the driver does not reach
        self.mean_rate = sum(node.rate for node in self.nodes.values()) / size

    def _reset_process(self, node: SimulatedNode, now: float) -> None:
        node.process += 1
        node.started_at, node.core_seconds, node.memory_bytes = now, 0.0, 60e6
        node.rows = {offering: [0] * 7 for offering in OFFERING_SHARES}
        node.latencies = {offering: defaultdict(int) for offering in OFFERING_SHARES}

    def runs_new_variant(self, node: SimulatedNode) -> bool:
        return node.running > 0

    def advance_second(self) -> None:
        """Simulates one second of all nodes."""
        self.now += 1.0
        active = [
            incident
            for incident in self.incidents
            if incident.at <= self.now < incident.at + incident.duration
        ]
        extra_nack_share = sum(incident.extra_nack_share for incident in active)
        latency_factor = math.prod(incident.latency_factor for incident in active)
        for node in self.nodes.values():
            self._advance_change(node)
            if self.now < node.down_until:
                continue
            if (
                self.runs_new_variant(node)
                and self.now - node.started_at >= self.regression.crash_after_seconds
            ):
                node.crashes += 1
                node.down_until = self.now + RESTART_SECONDS
                self._reset_process(node, node.down_until)
                continue
            if self.now >= node.paused_until:
                self._serve_invocations(
                    node,
                    extra_nack_share * node.sensitivity,
                    1.0 + (latency_factor - 1.0) * node.sensitivity,
                )

    def _advance_change(self, node: SimulatedNode) -> None:
        """Brings the node to its assigned variant after CHANGE_SECONDS, unless the regression prevents it."""
        document = node.acceptor.document
        assigned = document.lines.get(node.name, 0) if document else 0
        if assigned == node.running or (node.refused and assigned > 0):
            node.refused = node.refused if assigned > 0 else ""
            node.change_done_at = math.inf
            return
        if node.change_done_at == math.inf:
            node.change_done_at = self.now + CHANGE_SECONDS
        if self.now >= node.change_done_at:
            if assigned > 0 and self.regression.refused:
                node.refused = self.regression.refused
            elif assigned == 0 or self.regression.becomes_ready:
                node.running, node.change_done_at = assigned, math.inf
                self._reset_process(node, self.now)

    def _serve_invocations(self, node: SimulatedNode, extra_nack_share: float, latency_factor: float) -> None:
        regression, random = self.regression, self.random
        node_affected = self.runs_new_variant(node) and (
            not regression.only_busy_nodes or node.rate > 1.5 * self.mean_rate
        )
        node.memory_bytes += regression.leak_bytes_per_second if node_affected else random.uniform(-1e5, 1e5)
        for offering, share in OFFERING_SHARES.items():
            count = _poisson(random, node.rate * share)
            affected = node_affected and regression.only_offering in ("", offering)
            median = (
                MEDIAN_LATENCY_SECONDS[offering]
                * latency_factor
                * (regression.latency_factor if affected else 1.0)
            )
            row, latencies = node.rows[offering], node.latencies[offering]
            for _ in range(count):
                latency = median * math.exp(LATENCY_SIGMA * random.gauss(0.0, 1.0))
                nacked = random.random() < 0.005 + extra_nack_share + (
                    regression.extra_nack_share if affected else 0.0
                )
                row[0] += 1
                if nacked:
                    row[1] += 1
                    row[2] += 1
                else:
                    row[1] += latency > TARGET_SECONDS
                    latencies[round(BUCKET_GROWTH ** math.ceil(math.log(latency * 1e6, BUCKET_GROWTH)))] += 1
                row[6] += random.random() < 0.02 + (regression.extra_push_share if affected else 0.0)
            if affected and regression.name != "sound":
                self.harmed_invocations += count
            node.core_seconds += (
                count * 0.001 * random.uniform(0.9, 1.1) * (regression.core_factor if affected else 1.0)
            )

    def reports(self) -> dict[str, NodeReport]:
        """Reports of all nodes that the driver reaches."""
        reports = {}
        for node in self.nodes.values():
            if node.name in self.unreachable:
                continue
            is_serving = self.now >= node.down_until
            if self.now >= node.paused_until or node.last_counters is None:
                node.last_counters = (self.now, self._counters(node))
            read_at, counters = node.last_counters
            running = node.running if is_serving else -1
            reports[node.name] = NodeReport(node.name, node.acceptor.document, node.acceptor.claim, running,
                                            node.refused, node.crashes, {},
                                            counters if is_serving else None,
                                            self.now - read_at)  # fmt: skip
        return reports

    def _counters(self, node: SimulatedNode) -> dict[str, Any]:
        offerings = {offering: {"counts": list(row), "times": sorted(node.latencies[offering].items())}
                     for offering, row in node.rows.items()}  # fmt: skip
        return {"process": f"{node.name}.{node.process}", "seconds": self.now - node.started_at,
                "tenants": {}, "offerings": offerings, "core": node.core_seconds,
                "memory": node.memory_bytes}  # fmt: skip

    def carry_out(self, actions: Sequence[Action], log: list[Record]) -> None:
        """Appends records to `log` and delivers messages to reachable nodes."""
        for action in actions:
            if isinstance(action, WriteRecord):
                log.append(action.record)
                continue
            for name in action.names:
                if name not in self.unreachable:
                    acceptor = self.nodes[name].acceptor
                    if isinstance(action, RequestClaim):
                        acceptor.grant(action.claim)
                    elif isinstance(action, SendDocument):
                        acceptor.accept(action.document)


class Outcome(NamedTuple):
    """How a simulated rollout ended."""

    phase: Phase
    message: str
    stage: int  # the last one, from 1
    seconds: float  # from the start to the end, or to the start of the rollback
    max_new_nodes: int  # that ran the new variant at once
    harmed_invocations: int
    remaining_new_nodes: int  # that run the new variant at the end


class NeverStops(Judge):
    """Baseline: a judge that never finds a regression."""

    def finding(self) -> Finding:
        return Finding(False, 0.0, "", 0.0, False)


class ThresholdJudge(Judge):
    """Baseline: stops when the recent mean share of bad invocations at new nodes exceeds a fixed limit."""

    MAX_BAD_SHARE = 0.02
    DECAY = 0.967  # per observation: a time constant of about 30 seconds
    MIN_INVOCATIONS = 100.0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.count = self.hits = 0.0

    def observe(self, now: float, counters: Any, new: Any, crashes: Any = None, assigned: Any = ()) -> None:
        before = {name: last_seen.totals for name, last_seen in self.last_seen.items()}
        super().observe(now, counters, new, crashes, assigned)
        self.count, self.hits = self.DECAY * self.count, self.DECAY * self.hits
        for name in set(new) & set(before):
            rows = difference(self.last_seen[name].totals, before[name]).offerings.values()
            self.count += sum(row[0] for row in rows)
            self.hits += sum(row[1] for row in rows)

    def finding(self) -> Finding:
        exceeded = self.count >= self.MIN_INVOCATIONS and self.hits > self.MAX_BAD_SHARE * self.count
        return Finding(exceeded, 0.0, "mean", self.hits / max(self.count, 1.0), False)


def make_plan(size: int, **options: Any) -> Plan:
    """A plan for a fleet of this size; `options` are fields of Plan."""
    nodes = {f"n{number:03}": f"10.0.{number // 250}.{number % 250 + 1}:1" for number in range(size)}
    return Plan(change=Change(name="new", settings={"a": 1}), nodes=nodes, **options)


def simulate(
    fleet: Fleet, plan: Plan, judge: Judge | None = None, max_seconds: float = 1500.0
) -> tuple[Outcome, list[Record]]:
    """Runs one rollout to its end, or for `max_seconds`; returns its outcome and log."""
    log: list[Record] = []
    driver = Driver(plan, "d", judge=judge)
    max_new_nodes, ended_at = 0, 0.0
    while fleet.now < max_seconds and not driver.finished:
        fleet.advance_second()
        fleet.carry_out(driver.step(fleet.now, fleet.reports()), log)
        max_new_nodes = max(max_new_nodes, sum(map(fleet.runs_new_variant, fleet.nodes.values())))
        if driver.phase not in (Phase.ROLL_BACK, Phase.ROLLED_BACK):
            ended_at = fleet.now
    message = next((record.words for record in log if record.words.startswith("stopped")), driver.message)
    remaining = sum(map(fleet.runs_new_variant, fleet.nodes.values()))
    return Outcome(driver.phase, message, driver.stage + 1, ended_at, max_new_nodes,
                   fleet.harmed_invocations, remaining), log  # fmt: skip


def draw_incidents(seed: int) -> list[Incident]:
    """Draws one to five incidents, which may overlap."""
    random = Random(f"troubles {seed}")
    return [Incident(random.uniform(0.0, 300.0), random.uniform(2.0, 60.0),
                     random.choice((0.0, 0.02, 0.3)), random.choice((1.0, 1.5, 4.0)))
            for _ in range(random.randint(1, 5))]  # fmt: skip


def _poisson(random: Random, mean: float) -> int:
    if mean > 50.0:
        return max(round(random.gauss(mean, math.sqrt(mean))), 0)
    limit, count, product = math.exp(-mean), 0, random.random()
    while product > limit:
        count += 1
        product *= random.random()
    return count
