"""Sequential tests of whether new nodes do worse than old ones over the same period. No I/O.

New nodes run the variant that is being rolled out, old nodes the previous one; these are the two sides. Each
metric has a test that stays valid when it is checked after every observation (testing by betting and Ville's
inequality: Ramdas et al. 2023).

A metric that is a share of events, such as bad invocations among all, counts events and the hits among them.
A comparison window holds both sides' counts since the metric's last comparison. Given the total number of
hits in a window, the number of hits at new nodes follows Fisher's noncentral hypergeometric distribution,
which depends on the odds ratio alone. So an incident that affects both sides alike does not affect the test,
however severe it is.

If no metric regressed, the probability that the weighted mean of the tests' e-values ever reaches 1/p is at
most p, however often it is checked and whenever checking stops.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thornladder.rollout.plan import Worse

# Fractions of the e-value bet on each observation, in parallel: small regressions need small fractions.
BET_FRACTIONS = (0.1, 0.25, 0.5, 0.8)
ODDS_RATIO_MULTIPLES = (1.3, 2.0, 4.0)  # of the tolerated odds ratio: the alternatives, tested in parallel
MIN_CORE_INVOCATIONS = 8  # on a side or in a node's baseline, to compute core time per invocation
MAX_HITS = 400  # per window; more are scaled down, as sums of thousands of terms are slow and add little
# Largest factor by which one window multiplies an e-value. Capping keeps the test valid, and a regression is
# still detected within about 12 windows.
MAX_GAIN = 2.0
# The old side is in an incident above this multiple of its own baseline hits plus this share of invocations.
INCIDENT_THRESHOLDS = (1.4, 0.03)
RECENT_DECAY = 0.7  # per window, of the old side's recent counts, in which incidents are detected
MIN_RECENT_INVOCATIONS = 30.0  # in those counts, to detect an incident
INCIDENT_COOLDOWN_SECONDS = 5.0  # after an incident, until windows count again
RESOURCE_WINDOW_SECONDS = 2.0  # between comparisons of core time and memory
MEMORY_WARM_UP_SECONDS = 10.0  # after a process starts, during which its memory is ignored
SLOW_QUANTILE = 0.75  # of all latencies before the change: anything above counts as slow
# Lower bound of the new nodes' assumed share of node-seconds; at the bound it takes three crashes to stop.
MIN_NEW_TIME_SHARE = 0.05
BAD_CHANGE_CRASH_SHARE = 0.9  # of all crashes that would be at new nodes under a bad change
# Shares of the false-stop probability; all other metrics divide the rest equally.
METRIC_WEIGHTS = {"crashes": 0.2, "memory": 0.1, "core": 0.1}
MIN_TRAFFIC_SHARE = 0.01  # of all invocations; stages do not wait for offerings with less
MAX_OFFERINGS, MAX_TENANTS = 30, 20
PRIOR_INVOCATIONS = 100.0  # weight of the fleet's share when blended with a node's own baseline
MIN_SHARE = 0.002  # shares are clamped to this before their odds are taken


class BoundedMeanTest:
    """Tests the hypothesis that the mean is at most 0, for observations clipped to [-1, 1]."""

    def __init__(self) -> None:
        self.components = [1.0] * len(BET_FRACTIONS)

    def observe(self, value: float) -> None:
        """Adds one observation."""
        value = min(max(value, -1.0), 1.0)
        self.components = [
            component * (1.0 + fraction * value)
            for component, fraction in zip(self.components, BET_FRACTIONS, strict=True)
        ]

    @property
    def e_value(self) -> float:
        """Evidence against the hypothesis: 1 is none, larger is more."""
        return sum(self.components) / len(self.components)


class OddsRatioTest:
    """Tests the hypothesis that the odds ratio of hits, new nodes to old, is at most the tolerated one."""

    def __init__(self) -> None:
        self.components = [1.0] * len(ODDS_RATIO_MULTIPLES)

    def observe(self, window: ComparisonWindow, tolerated_odds_ratio: float) -> None:
        """Adds one window; ignores it if a side has no events, or if none or all of the events are hits."""
        old, new = (round(count) for count in window.counts)
        hits = [round(hit) for hit in window.hits]
        total_hits = sum(hits)
        if not old or not new or not total_hits or total_hits == old + new:
            return
        if total_hits > MAX_HITS:  # scales all counts down and keeps their ratios
            scale = MAX_HITS / total_hits
            old, new, hits = round(old * scale), round(new * scale), [round(hit * scale) for hit in hits]
            total_hits, hits = sum(hits), [min(hits[0], old), min(hits[1], new)]
        null_likelihood = _likelihood(old, new, total_hits, hits[1], tolerated_odds_ratio)
        gains = [
            _likelihood(old, new, total_hits, hits[1], tolerated_odds_ratio * multiple) / null_likelihood
            for multiple in ODDS_RATIO_MULTIPLES
        ]
        # Capped because an incident affects nodes unequally in the window in which it begins, and that window
        # must not decide the test by itself.
        self.components = [
            component * min(gain, MAX_GAIN) for component, gain in zip(self.components, gains, strict=True)
        ]

    @property
    def e_value(self) -> float:
        """Evidence against the hypothesis: 1 is none, larger is more."""
        return sum(self.components) / len(self.components)


def _likelihood(old: int, new: int, total_hits: int, new_hits: int, odds_ratio: float) -> float:
    """Probability that `new_hits` of `total_hits` are at new nodes (Fisher's noncentral hypergeometric).

    `old` and `new` are the numbers of events on each side.
    """
    log_odds_ratio = math.log(odds_ratio)
    log_terms = {k: _log_binomial(new, k) + _log_binomial(old, total_hits - k) + k * log_odds_ratio
                 for k in range(max(total_hits - old, 0), min(total_hits, new) + 1)}  # fmt: skip
    largest = max(log_terms.values())
    return max(
        math.exp(log_terms[new_hits] - largest)
        / sum(math.exp(log_term - largest) for log_term in log_terms.values()),
        1e-12,
    )


def _log_binomial(n: int, k: int) -> float:
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)


def _odds(share: float) -> float:
    share = min(max(share, MIN_SHARE), 1.0 - MIN_SHARE)
    return share / (1.0 - share)


class CrashTest:
    """Tests the hypothesis that a crash is as likely per second at a new node as at an old one."""

    def __init__(self) -> None:
        self.e_value = 1.0
        self.seconds = [1e-9, 1e-9]  # node-seconds observed: old, new

    def observe(self, side: int) -> None:
        """Adds one crash: side 0 is old, 1 is new."""
        # Without the lower bound, a single random crash right after a change would stop the rollout, as new
        # nodes have run for only a few seconds by then.
        new_share = min(max(self.seconds[1] / sum(self.seconds), MIN_NEW_TIME_SHARE), BAD_CHANGE_CRASH_SHARE)
        self.e_value *= (
            BAD_CHANGE_CRASH_SHARE / new_share if side else (1.0 - BAD_CHANGE_CRASH_SHARE) / (1.0 - new_share)
        )


class CounterTotals(NamedTuple):
    """One node's counters since its process started, or the difference of two such totals."""

    offerings: dict[str, list[int]]  # row of counts by offering
    tenants: dict[str, list[int]]  # row of counts by tenant
    latencies: dict[str, dict[int, int]]  # by offering: counts by upper bound in microseconds
    core_seconds: float
    memory_bytes: float


INVOCATIONS, BAD, EXTRA_PUSHES = 0, 1, 6  # indexes into a row of counts


def counter_totals(counters: Mapping[str, Any]) -> CounterTotals:
    """Extracts the totals from a response to `GET /counters`."""
    rows = counters["offerings"]
    return CounterTotals(
        {name: row["counts"] for name, row in rows.items()}, counters["tenants"],
        {name: dict(row["times"]) for name, row in rows.items()},
        counters["core"], counters["memory"],
    )  # fmt: skip


def _subtract_rows(
    new: Mapping[str, Sequence[int]], old: Mapping[str, Sequence[int]]
) -> dict[str, list[int]]:
    return {name: [a - b for a, b in zip(row, old.get(name, [0] * len(row)), strict=True)]
            for name, row in new.items()}  # fmt: skip


def difference(new: CounterTotals, old: CounterTotals) -> CounterTotals:
    """Increase from `old` to `new`; keys missing in `old` count as 0."""
    latencies = {name: {bound: count - old.latencies.get(name, {}).get(bound, 0)
                        for bound, count in row.items()}
                 for name, row in new.latencies.items()}  # fmt: skip
    return CounterTotals(_subtract_rows(new.offerings, old.offerings),
                         _subtract_rows(new.tenants, old.tenants), latencies,
                         new.core_seconds - old.core_seconds,
                         new.memory_bytes - old.memory_bytes)  # fmt: skip


@dataclass
class ComparisonWindow:
    """One metric's counts on both sides since the last comparison; each list is [old, new]."""

    counts: list[float] = field(default_factory=lambda: [0.0, 0.0])
    hits: list[float] = field(default_factory=lambda: [0.0, 0.0])
    baseline_hits: list[float] = field(default_factory=lambda: [0.0, 0.0])  # expected by the nodes' baselines

    def add(self, side: int, count: float, hits: float, baseline_share: float) -> None:
        """Adds a node's events and hits to its side: 0 is old, 1 is new."""
        self.counts[side] += count
        self.hits[side] += hits
        self.baseline_hits[side] += count * baseline_share

    def share_difference(self) -> float:
        """Share of hits at new nodes minus that at old nodes."""
        return self.hits[1] / self.counts[1] - self.hits[0] / self.counts[0]

    def tolerated_odds_ratio(self, tolerance: float) -> float:
        """Largest odds ratio, new to old, that is no regression.

        It is that of a hit share larger by `tolerance`, times the odds ratio of the sides' baselines if that
        is above 1.
        """
        share = sum(self.hits) / sum(self.counts)
        baseline_shares = [hits / count for hits, count in zip(self.baseline_hits, self.counts, strict=True)]
        return max(_odds(share + tolerance) / _odds(share), 1.01) * max(
            _odds(baseline_shares[1]) / _odds(baseline_shares[0]), 1.0
        )


@dataclass
class ResourceUse:
    """Core and memory use of one side since the last comparison."""

    core_seconds: float = 0.0
    invocations: int = 0
    expected_core_seconds: float = 0.0  # for these invocations, by the nodes' own baselines
    memory_growth_bytes: float = 0.0
    node_seconds: float = 0.0  # over which memory growth was measured


class LastSeen(NamedTuple):
    """A node's most recent counters."""

    process: str
    totals: CounterTotals
    process_seconds: float  # age of that process


class Finding(NamedTuple):
    """Result of all tests so far."""

    regressed: bool
    e_value: float  # weighted mean over all tests; regressed from 1/false_stop_probability on
    top_metric: str  # the metric with the strongest evidence
    mean_difference: float  # of that metric, new minus old
    inconclusive: bool  # not regressed, but the e-value is above the square root of that limit


class Judge:
    """Compares new nodes with old ones during a rollout, each relative to its baseline before the change."""

    def __init__(self, tolerances: Worse, false_stop_probability: float) -> None:
        """`false_stop_probability` bounds the chance that a sound change is ever found to regress."""
        self.tolerances, self.false_stop_probability = tolerances, false_stop_probability
        self.last_seen: dict[str, LastSeen] = {}
        self.node_baselines: dict[tuple[str, str, str], list[float]] = {}  # by node and metric: count, hits
        self.fleet_baselines: dict[tuple[str, str], list[float]] = {}  # by metric: count, hits
        self.baseline_latencies: dict[str, dict[int, int]] = {}  # by offering
        self.slow_limits: dict[str, int] = {}  # microseconds, by offering
        self.tests: dict[str, BoundedMeanTest | OddsRatioTest] = {}
        self.incident_until: dict[str, float] = {}  # by metric: windows are discarded until then
        self.recent_old: dict[str, list[float]] = {}  # old side, decayed: count, hits, baseline hits
        self.windows: dict[str, ComparisonWindow] = {}  # by metric
        self.differences: dict[str, list[float]] = {}  # by metric: number of observations and their sum
        self.crash_test = CrashTest()
        self.crash_counts: dict[str, int] = {}  # by node, as of the last observation
        self.baseline_core: dict[str, list[float]] = {}  # by node: core seconds, invocations
        self.resources = (ResourceUse(), ResourceUse())  # old, new
        self.resources_compared_at = 0.0
        self.stage_invocations = [0, 0]  # old, new; since the stage began
        self.stage_invocations_by_offering: dict[str, int] = {}  # at new nodes

    # Before the change.

    def add_baseline(self, counters: Mapping[str, Mapping[str, Any]]) -> None:
        """Adds the nodes' counters to their baselines; called while no node has changed yet."""
        for name, increase, _ in self._counter_increases(counters):
            core = self.baseline_core.setdefault(name, [0.0, 0.0])
            core[0] += increase.core_seconds
            core[1] += sum(row[INVOCATIONS] for row in increase.offerings.values())
            for kind, subject, count, hits in self._counts(increase, slow=False):
                for baseline in (self.node_baselines.setdefault((name, kind, subject), [0.0, 0.0]),
                                 self.fleet_baselines.setdefault((kind, subject), [0.0, 0.0])):  # fmt: skip
                    baseline[0] += count
                    baseline[1] += hits
            self._add_baseline_latencies(increase)

    def start_without_baseline(self, counters: Mapping[str, Mapping[str, Any]]) -> None:
        """Starts the comparison after a restart of the driver, which lost the baselines.

        The sides are then compared with each other alone.
        """
        self.add_baseline(counters)
        for name in counters:
            totals = counter_totals(counters[name])
            self._add_baseline_latencies(totals)
            for offering in totals.offerings:
                for kind in ("bad", "further"):
                    self.fleet_baselines.setdefault((kind, offering), [0.0, 0.0])
        self.start_comparison()

    def _add_baseline_latencies(self, totals: CounterTotals) -> None:
        for offering, latencies in totals.latencies.items():
            total = self.baseline_latencies.setdefault(offering, {})
            for bound, count in latencies.items():
                total[bound] = total.get(bound, 0) + count

    def start_comparison(self) -> None:
        """Ends the baseline: sets the latency above which invocations count as slow; creates the tests."""
        for offering, latencies in self.baseline_latencies.items():
            remaining = SLOW_QUANTILE * sum(latencies.values())
            for bound in sorted(latencies):
                remaining -= latencies[bound]
                if remaining <= 0.0:
                    self.slow_limits[offering] = bound
                    break
        for kind, subject in sorted(self.fleet_baselines):
            self.tests[f"{kind} {subject}"] = OddsRatioTest()
        for offering in sorted(self.slow_limits)[:MAX_OFFERINGS]:
            self.tests[f"slow {offering}"] = OddsRatioTest()
        self.tests["memory"], self.tests["core"] = BoundedMeanTest(), BoundedMeanTest()

    def start_stage(self) -> None:
        """Resets the invocation counts of the stage; the tests keep their evidence."""
        self.stage_invocations, self.stage_invocations_by_offering = [0, 0], {}

    def undersampled_offerings(self, min_invocations: int) -> list[str]:
        """Offerings with fewer than `min_invocations` at new nodes in this stage.

        Offerings with little traffic are left out.
        """
        counts = {subject: count for (kind, subject), (count, _) in self.fleet_baselines.items()
                  if kind == "further"}  # fmt: skip
        min_traffic = MIN_TRAFFIC_SHARE * sum(counts.values())
        return sorted(
            offering
            for offering, count in counts.items()
            if count > min_traffic and self.stage_invocations_by_offering.get(offering, 0) < min_invocations
        )

    # During the change.

    def observe(
        self, now: float, counters: Mapping[str, Mapping[str, Any]], new: Iterable[str],
        crashes: Mapping[str, int] | None = None, assigned: Iterable[str] = (),
    ) -> None:  # fmt: skip
        """Adds the counters of all nodes that run their assigned variant.

        `new` are the nodes that run the new variant; all others in `counters` run the old one. `crashes` are
        each node's crashes so far. Crashes of nodes in `assigned`, which are to run the new variant, count
        against it.
        """
        new_nodes, crash_suspects = set(new), set(new) | set(assigned)
        for name, count in (crashes or {}).items():
            for _ in range(max(count - self.crash_counts.get(name, count), 0)):
                self.crash_test.observe(int(name in crash_suspects))
            self.crash_counts[name] = count
        for name, increase, seconds in self._counter_increases(counters):
            side = int(name in new_nodes)
            invocations = sum(row[INVOCATIONS] for row in increase.offerings.values())
            self.crash_test.seconds[side] += seconds
            self.stage_invocations[side] += invocations
            for offering, row in increase.offerings.items() if side else ():
                self.stage_invocations_by_offering[offering] = (
                    self.stage_invocations_by_offering.get(offering, 0) + row[INVOCATIONS]
                )
            for kind, subject, count, hits in self._counts(increase):
                key = f"{kind} {subject}"
                if key in self.tests and count:
                    self.windows.setdefault(key, ComparisonWindow()).add(
                        side, count, hits, self._baseline_share(name, kind, subject)
                    )
            resources = self.resources[side]
            resources.core_seconds += increase.core_seconds
            resources.invocations += invocations
            resources.expected_core_seconds += invocations * self._baseline_core_seconds(name)
            if self.last_seen[name].process_seconds > MEMORY_WARM_UP_SECONDS:
                resources.memory_growth_bytes += increase.memory_bytes
                resources.node_seconds += seconds
        for key, window in list(self.windows.items()):
            if min(window.counts) > 0:
                self._compare_shares(now, key, window)
                del self.windows[key]
        if now - self.resources_compared_at >= RESOURCE_WINDOW_SECONDS:
            self.resources_compared_at = now
            self._compare_resources()

    def finding(self) -> Finding:
        """Combines the evidence of all tests."""
        weights = self._weights()
        e_values = {
            **{key: test.e_value for key, test in self.tests.items()},
            "crashes": self.crash_test.e_value,
        }
        combined = sum(weights[key] * e_value for key, e_value in e_values.items())
        top_metric = max(e_values, key=lambda key: weights[key] * e_values[key])
        count, total = self.differences.get(top_metric, [0.0, 0.0])
        limit = 1.0 / self.false_stop_probability
        mean_difference = total / count if count else 0.0
        return Finding(
            combined >= limit,
            combined,
            top_metric,
            round(mean_difference, 4),
            combined < limit and combined > limit**0.5,
        )

    # Internals.

    def _weights(self) -> dict[str, float]:
        """Weight of each metric; they add up to at most 1."""
        others = [key for key in self.tests if key not in METRIC_WEIGHTS]
        equal_share = (1.0 - sum(METRIC_WEIGHTS.values())) / max(len(others), 1)
        return {**METRIC_WEIGHTS, **dict.fromkeys(others, equal_share)}

    def _counter_increases(
        self, counters: Mapping[str, Mapping[str, Any]]
    ) -> list[tuple[str, CounterTotals, float]]:
        """Node, increase of its counters and seconds since the last call.

        Leaves out processes that are seen for the first time.
        """
        increases = []
        for name in sorted(counters):
            current = LastSeen(
                counters[name]["process"], counter_totals(counters[name]), counters[name]["seconds"]
            )
            previous = self.last_seen.get(name)
            if previous is None or previous.process != current.process:
                self.last_seen[name] = current
            elif current.process_seconds > previous.process_seconds:
                increases.append((name, difference(current.totals, previous.totals),
                                  current.process_seconds - previous.process_seconds))  # fmt: skip
                self.last_seen[name] = current
        return increases

    def _counts(self, increase: CounterTotals, slow: bool = True) -> list[tuple[str, str, float, float]]:
        """For each share metric: kind, offering or `tenant NAME`, number of events, number of hits."""
        counts: list[tuple[str, str, float, float]] = []
        for offering, row in list(increase.offerings.items())[:MAX_OFFERINGS]:
            counts.append(("bad", offering, row[INVOCATIONS], row[BAD]))
            counts.append(("further", offering, row[INVOCATIONS], min(row[EXTRA_PUSHES], row[INVOCATIONS])))
        for tenant, row in list(increase.tenants.items())[:MAX_TENANTS]:
            counts.append(("bad", f"tenant {tenant}", row[INVOCATIONS], row[BAD]))
        for offering, limit in self.slow_limits.items() if slow else ():
            latencies = increase.latencies.get(offering, {})
            counts.append(("slow", offering, sum(latencies.values()),
                           sum(count for bound, count in latencies.items() if bound > limit)))  # fmt: skip
        return counts

    def _baseline_share(self, name: str, kind: str, subject: str) -> float:
        """The node's hit share before the change, shrunk towards the fleet's where there is little data."""
        count, hits = self.node_baselines.get((name, kind, subject), (0.0, 0.0))
        fleet_count, fleet_hits = self.fleet_baselines.get((kind, subject), (0.0, 0.0))
        fleet_share = fleet_hits / fleet_count if fleet_count else 1.0 - SLOW_QUANTILE
        return (hits + PRIOR_INVOCATIONS * fleet_share) / (count + PRIOR_INVOCATIONS)

    def _compare_shares(self, now: float, key: str, window: ComparisonWindow) -> None:
        """Tests one metric's window, unless earlier windows show an incident.

        An incident affects nodes unequally, so windows during it do not count. Only earlier windows decide
        that: selecting a window by its own contents would bias the test.
        """
        no_incident = now >= self.incident_until.get(key, -math.inf)
        factor, extra_share = INCIDENT_THRESHOLDS
        old_side = (window.counts[0], window.hits[0], window.baseline_hits[0])
        recent = self.recent_old.get(key, [0.0, 0.0, 0.0])
        count, hits, baseline_hits = self.recent_old[key] = [
            RECENT_DECAY * a + b for a, b in zip(recent, old_side, strict=True)
        ]
        if hits > factor * baseline_hits + extra_share * count and count >= MIN_RECENT_INVOCATIONS:
            self.incident_until[key] = now + INCIDENT_COOLDOWN_SECONDS
        if no_incident:
            kind = key.partition(" ")[0]
            self._record_difference(key, window.share_difference())
            self.tests[key].observe(window, window.tolerated_odds_ratio(getattr(self.tolerances, kind)))

    def _record_difference(self, key: str, value: float) -> None:
        entry = self.differences.setdefault(key, [0.0, 0.0])
        entry[0] += 1.0
        entry[1] += value

    def _observe_value(self, key: str, value: float) -> None:
        self._record_difference(key, value)
        self.tests[key].observe(value)

    def _compare_resources(self) -> None:
        """Compares core time and memory growth since the last comparison.

        Both are unbounded, so the tests observe only whether the tolerance is exceeded.
        """
        old, new = self.resources
        if (
            min(old.invocations, new.invocations) >= MIN_CORE_INVOCATIONS
            and min(old.core_seconds, old.expected_core_seconds, new.expected_core_seconds) > 0.0
        ):
            exceeded = (
                new.core_seconds / new.expected_core_seconds
                > self.tolerances.core * old.core_seconds / old.expected_core_seconds
            )
            self._observe_value("core", 0.8 if exceeded else -0.8)
        if min(old.node_seconds, new.node_seconds) > 0.0:
            exceeded = (
                new.memory_growth_bytes / new.node_seconds - old.memory_growth_bytes / old.node_seconds
                > self.tolerances.memory * 1e6
            )
            self._observe_value("memory", 0.8 if exceeded else -0.8)
        self.resources = (ResourceUse(), ResourceUse())

    def _baseline_core_seconds(self, name: str) -> float:
        """Core seconds per invocation at this node before the change; 1 if unknown."""
        core_seconds, count = self.baseline_core.get(name, (0.0, 0.0))
        return core_seconds / count if core_seconds > 0.0 and count >= MIN_CORE_INVOCATIONS else 1.0
