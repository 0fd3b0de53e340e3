"""A change in virtual time: the driver and the judge unchanged, on nodes that are only counts.

The counts are drawn: rates that differ by node, troubles that hit both sides, and a known harm of the new.
What it says of the judge is as good as these counts are; the rig plays the same driver on processes.
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

OFFERINGS = {"look": 0.77, "pay": 0.2, "rare": 0.03}  # shares of what comes
MEDIAN = {"look": 0.02, "pay": 0.05, "rare": 0.04}  # seconds
SPREAD = 0.35  # of the logarithm of a time
BUCKET = 1.05  # times lie in buckets that grow by so much
TARGET = 0.2  # seconds
READY = 2.0  # seconds from an order until the node runs it
START = 1.0  # seconds until a node that ended is back


class Regression(NamedTuple):
    """What the new does worse; nothing for a sound change."""

    name: str = "sound"
    bad: float = 0.0  # more of its invocations nacked
    slower: float = 1.0  # times
    only: str = ""  # in this offering; none: in all
    heavy: bool = False  # only at nodes with over twice the mean traffic
    further: float = 0.0
    core: float = 1.0
    leak: float = 0.0  # bytes a second
    ends: float = math.inf  # seconds after each start
    ready: bool = True
    refused: str = ""


REGRESSIONS = (
    Regression("ends at its start", ends=0.3), Regression("ends after a minute", ends=60.0),
    Regression("never ready", ready=False),
    Regression("settings refused", refused="it did not take the settings"),
    Regression("leaks 1 MB/s", leak=1e6),
    Regression("slower by 20% in 3% of traffic", slower=1.2, only="rare"),
    Regression("nacks 3% more", bad=0.03),
    Regression("slower by half at heavy nodes", slower=1.5, heavy=True),
    Regression("pushes more", further=0.2),
    Regression("a third more core", core=1.33),
)  # fmt: skip


class Incident(NamedTuple):
    """Hits old and new alike, each node by its own measure."""

    at: float
    lasts: float
    bad: float
    slower: float


@dataclass
class Node:
    name: str
    rate: float
    measure: float  # how hard troubles hit it
    held: AcceptorState = field(default_factory=AcceptorState)
    running: int = 0
    due: float = math.inf  # when it runs what it was told
    began: float = 0.0
    process: int = 0
    down_until: float = -1.0
    crashes: int = 0
    refused: str = ""
    rows: dict[str, list[int]] = field(default_factory=dict)
    times: dict[str, dict[int, int]] = field(default_factory=dict)
    core: float = 0.0
    memory: float = 60e6
    paused_until: float = -1.0
    shown: tuple[float, dict[str, Any]] | None = None


class Fleet:
    def __init__(
        self, size: int, seed: int, harm: Regression, troubles: Sequence[Incident] = (), rate: float = 30.0
    ) -> None:
        self.chance, self.harm, self.troubles = Random(seed), harm, troubles
        self.nodes: dict[str, Node] = {}
        for number in range(size):
            name = f"n{number:03}"
            each = Node(name, rate * self.chance.lognormvariate(-0.32, 0.8), self.chance.uniform(0.7, 1.3))
            self.nodes[name] = each
            self._anew(each, 0.0)
        self.now = 0.0
        self.harmed = 0  # invocations that were worse for the new
        self.cut: set[str] = set()  # nodes that the driver does not reach
        self.mean = sum(each.rate for each in self.nodes.values()) / size

    def _anew(self, node: Node, now: float) -> None:
        node.process += 1
        node.began, node.core, node.memory = now, 0.0, 60e6
        node.rows = {of: [0] * 7 for of in OFFERINGS}
        node.times = {of: defaultdict(int) for of in OFFERINGS}

    def new(self, node: Node) -> bool:
        return node.running > 0

    def advance_second(self) -> None:
        """One second of all nodes."""
        self.now += 1.0
        worse = [each for each in self.troubles if each.at <= self.now < each.at + each.lasts]
        bad = sum(each.bad for each in worse)
        slower = math.prod(each.slower for each in worse)
        for node in self.nodes.values():
            self._settle(node)
            if self.now < node.down_until:
                continue
            if self.new(node) and self.now - node.began >= self.harm.ends:
                node.crashes += 1
                node.down_until = self.now + START
                self._anew(node, node.down_until)
                continue
            if self.now >= node.paused_until:
                self._invocations(node, bad * node.measure, 1.0 + (slower - 1.0) * node.measure)

    def _settle(self, node: Node) -> None:
        document = node.held.document
        line = document.lines.get(node.name, 0) if document else 0
        if line == node.running or (node.refused and line > 0):
            node.refused = node.refused if line > 0 else ""
            node.due = math.inf
            return
        if node.due == math.inf:
            node.due = self.now + READY
        if self.now >= node.due:
            if line > 0 and self.harm.refused:
                node.refused = self.harm.refused
            elif line == 0 or self.harm.ready:
                node.running, node.due = line, math.inf
                self._anew(node, self.now)

    def _invocations(self, node: Node, bad: float, slower: float) -> None:
        harm, chance = self.harm, self.chance
        hit = self.new(node) and (not harm.heavy or node.rate > 1.5 * self.mean)
        node.memory += harm.leak if hit else chance.uniform(-1e5, 1e5)
        for of, share in OFFERINGS.items():
            count = _poisson(chance, node.rate * share)
            worse = hit and harm.only in ("", of)
            median = MEDIAN[of] * slower * (harm.slower if worse else 1.0)
            row, times = node.rows[of], node.times[of]
            for _ in range(count):
                took = median * math.exp(SPREAD * chance.gauss(0.0, 1.0))
                nacked = chance.random() < 0.005 + bad + (harm.bad if worse else 0.0)
                row[0] += 1
                if nacked:
                    row[1] += 1
                    row[2] += 1
                else:
                    row[1] += took > TARGET
                    times[round(BUCKET ** math.ceil(math.log(took * 1e6, BUCKET)))] += 1
                row[6] += chance.random() < 0.02 + (harm.further if worse else 0.0)
            if worse and harm.name != "sound":
                self.harmed += count
            node.core += count * 0.001 * chance.uniform(0.9, 1.1) * (harm.core if worse else 1.0)

    def reports(self) -> dict[str, NodeReport]:
        told = {}
        for node in self.nodes.values():
            if node.name in self.cut:
                continue
            serves = self.now >= node.down_until
            if self.now >= node.paused_until or node.shown is None:
                node.shown = (self.now, self._counters(node))
            at, counters = node.shown
            running = node.running if serves else -1
            told[node.name] = NodeReport(node.name, node.held.document, node.held.claim, running,
                                         node.refused, node.crashes, {}, counters if serves else None,
                                         self.now - at)  # fmt: skip
        return told

    def _counters(self, node: Node) -> dict[str, Any]:
        offerings = {of: {"counts": list(row), "times": sorted(node.times[of].items())}
                     for of, row in node.rows.items()}  # fmt: skip
        return {"process": f"{node.name}.{node.process}", "seconds": self.now - node.began, "tenants": {},
                "offerings": offerings, "core": node.core, "memory": node.memory}  # fmt: skip

    def carry_out(self, acts: Sequence[Action], log: list[Record]) -> None:
        for act in acts:
            if isinstance(act, WriteRecord):
                log.append(act.record)
                continue
            for name in act.names:
                if name not in self.cut:
                    held = self.nodes[name].held
                    if isinstance(act, RequestClaim):
                        held.grant(act.claim)
                    elif isinstance(act, SendDocument):
                        held.accept(act.document)


class Outcome(NamedTuple):
    phase: Phase
    words: str
    stage: int  # from 1, of the end
    seconds: float  # from the change's start to its end, undoing not counted
    max_new_nodes: int  # nodes that ran the new at once
    harmed_invocations: int
    remaining_new_nodes: int  # nodes that run the new at the end


class NeverStops(Judge):
    """A baseline that does not look."""

    def finding(self) -> Finding:
        return Finding(False, 0.0, "", 0.0, False)


class ThresholdJudge(Judge):
    """A baseline: stopped when the mean share of bad ones at new nodes is over the stated, of late."""

    LIMIT = 0.02
    KEPT = 0.967  # of a look, at the next: some 30 seconds
    ENOUGH = 100.0  # invocations

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.count = self.hits = 0.0

    def observe(self, now: float, told: Any, new: Any, crashes: Any = None, ordered: Any = ()) -> None:
        before = {name: held.totals for name, held in self.last_seen.items()}
        super().observe(now, told, new, crashes, ordered)
        self.count, self.hits = self.KEPT * self.count, self.KEPT * self.hits
        for name in set(new) & set(before):
            rows = difference(self.last_seen[name].totals, before[name]).offerings.values()
            self.count += sum(row[0] for row in rows)
            self.hits += sum(row[1] for row in rows)

    def finding(self) -> Finding:
        over = self.count >= self.ENOUGH and self.hits > self.LIMIT * self.count
        return Finding(over, 0.0, "mean", self.hits / max(self.count, 1.0), False)


def make_plan(size: int, **more: Any) -> Plan:
    nodes = {f"n{number:03}": f"10.0.{number // 250}.{number % 250 + 1}:1" for number in range(size)}
    return Plan(change=Change(name="new", settings={"a": 1}), nodes=nodes, **more)


def simulate(
    fleet: Fleet, plan: Plan, judge: Judge | None = None, most: float = 1500.0
) -> tuple[Outcome, list[Record]]:  # fmt: skip
    log: list[Record] = []
    driver = Driver(plan, "d", judge=judge)
    widest, ended = 0, 0.0
    while fleet.now < most and not driver.finished:
        fleet.advance_second()
        fleet.carry_out(driver.step(fleet.now, fleet.reports()), log)
        widest = max(widest, sum(map(fleet.new, fleet.nodes.values())))
        if driver.phase not in (Phase.ROLL_BACK, Phase.ROLLED_BACK):
            ended = fleet.now
    why = next((record.words for record in log if record.words.startswith("stopped")), driver.message)
    left = sum(map(fleet.new, fleet.nodes.values()))
    return Outcome(driver.phase, why, driver.stage + 1, ended, widest, fleet.harmed, left), log


def draw_incidents(seed: int) -> list[Incident]:
    """A few, seeded, that overlap as they fall."""
    chance = Random(f"troubles {seed}")
    return [Incident(chance.uniform(0.0, 300.0), chance.uniform(2.0, 60.0), chance.choice((0.0, 0.02, 0.3)),
                    chance.choice((1.0, 1.5, 4.0))) for _ in range(chance.randint(1, 5))]  # fmt: skip


def _poisson(chance: Random, mean: float) -> int:
    if mean > 50.0:
        return max(round(chance.gauss(mean, math.sqrt(mean))), 0)
    limit, count, product = math.exp(-mean), 0, chance.random()
    while product > limit:
        count += 1
        product *= chance.random()
    return count
