"""All decisions of one balancer node: where to push, when to retry, what to shed.

The host creates one `Node` for each balancer node and passes itself in as a `Host` (see interface.py). It
reports events through the `on_...` methods, with the time in seconds, and the node acts by calling the host
at once. The same events with the same seed lead to the same calls. `Node.may_push` and `Node.may_nack` are
the only gates that the node's pushes and nacks pass.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from math import ceil, exp, floor, inf, log
from random import Random

from thornladder import interface as api
from thornladder.budget import RetryBudget
from thornladder.interface import Entry, Host, Idempotency, Invocation, ListKind, Offering, Outcome, State


class DecayingSum:
    """A sum with exponential decay: what was added `time_constant` seconds ago counts for 1/e of it."""

    def __init__(self, time_constant: float) -> None:
        self.time_constant, self.value, self.updated_at = time_constant, 0.0, 0.0

    def read(self, now: float) -> float:
        """Decay the sum to `now` and return it."""
        if now > self.updated_at:
            self.value *= exp((self.updated_at - now) / self.time_constant)
            self.updated_at = now
        return self.value

    def add(self, amount: float, now: float) -> None:
        """Add `amount` with full weight at `now`."""
        self.value = self.read(now) + amount


class DecayingMean:
    """An exponentially weighted mean; 0 while its samples have almost no weight left."""

    def __init__(self, time_constant: float) -> None:
        self.total, self.count = DecayingSum(time_constant), DecayingSum(time_constant)

    def read(self, now: float) -> float:
        """The mean at `now`."""
        return self.total.read(now) / self.count.value if self.count.read(now) > 0.01 else 0.0

    def add(self, value: float, now: float) -> None:
        """Add a sample with full weight at `now`."""
        self.total.add(value, now)
        self.count.add(1.0, now)


class Backend:
    """A backend as listed, and the start of its slow start at this node."""

    def __init__(self, entry: Entry) -> None:
        self.id = entry.backend
        self.ramp_start: float | None = None  # None once it takes full weight
        self.absent_since: float | None = None
        self.usable, self.started_at = False, 0.0  # usable: the list permits pushes to it
        # Whether it has left the list since it was last listed as running: by a drain; in any way.
        self.drain_listed = self.delisted = False
        self.update(entry)

    def update(self, entry: Entry) -> None:
        """Take over what may change while the backend runs."""
        self.zone, self.cell, self.weight = entry.zone, entry.cell, entry.weight

    def dedup_domain(self, scope: str) -> object:
        """Backends with the same value discard repeats of each other's invocations (None: all of them).

        A backend whose zone or cell the list does not tell shares it with no other.
        """
        if scope == "all":
            return None
        domain = self.zone or None if scope == "zone" else self.cell
        return self if domain is None else domain


BackendPredicate = Callable[[Backend], bool]
# Whether a backend in slow start takes a push, given the share of all traffic that would reach it.
ColdGate = Callable[[Backend, float], bool]


class SlowStart:
    """How a new backend's weight grows: linearly, the safest curve when nothing else is known of it."""

    def __init__(self, warm_up: float, initial_capacity: float) -> None:
        self.duration, self.initial_ratio = max(0.5 * warm_up, 1.0), initial_capacity

    def ratio(self, backend: Backend, now: float) -> float:
        """The part of its listed weight that a backend has at `now`."""
        if backend.ramp_start is None:
            return 1.0
        return min(1.0, max(self.initial_ratio, max(now - backend.ramp_start, 1.0) / self.duration))


class BackendRegistry:
    """The listed backends, and since when each one is in slow start."""

    # The first fresh list, which takes a call or two, may hold backends that the list from before this node's
    # start lacks. Within this time they count as mature.
    STARTUP_GRACE_SECONDS = 5.0

    def __init__(self, now: float) -> None:
        self.slow_start, self.grace_until, self.has_list = (
            SlowStart(1.0, 1.0),
            now + self.STARTUP_GRACE_SECONDS,
            False,
        )
        self.soft_removal = False  # a backend that is gone or off the list may still serve: only drains bind
        self.backends: dict[str, Backend] = {}

    @property
    def usable(self) -> list[Backend]:
        """Backends to which the list permits pushes, by id."""
        return [backend for _, backend in sorted(self.backends.items()) if backend.usable]

    def on_list(self, kind: ListKind, entries: list[Entry], now: float) -> None:
        """Apply a list; one that is not a delta removes the backends that it lacks."""
        seen = {entry.backend for entry in entries}
        for entry in entries:
            if entry.state is State.RUNNING:
                self._on_running(entry, now)
            elif entry.backend in self.backends:
                self.remove(self.backends[entry.backend], now, entry.state is State.DRAINING)
        for backend in self.backends.values() if kind is not ListKind.DELTA else ():
            if backend.id not in seen:
                self.remove(backend, now)
        self.has_list = True

    def on_readmitted(self, backend: Backend, ejected_at: float, restarted: bool, now: float) -> None:
        """Begin slow start for a readmitted backend if it restarted or was out for as long as that takes."""
        newer = backend.ramp_start is not None and backend.ramp_start >= ejected_at
        if restarted and not newer or now - ejected_at >= self.slow_start.duration:
            backend.ramp_start = now

    def _on_running(self, entry: Entry, now: float) -> None:
        started = entry.started_at or 0.0
        recent = entry.started_at is not None and now - started < self.slow_start.duration
        backend = self.backends.get(entry.backend)
        if backend is None:
            backend = self.backends[entry.backend] = Backend(entry)
            if recent and (not self.has_list or now < self.grace_until):
                backend.ramp_start = started
            elif self.has_list and now >= self.grace_until:
                backend.ramp_start = now
        else:
            backend.update(entry)
            if started > backend.started_at:
                backend.ramp_start = started
            elif backend.absent_since is not None and now - backend.absent_since >= self.slow_start.duration:
                backend.ramp_start = now
        backend.started_at = max(backend.started_at, started)
        backend.usable, backend.absent_since = True, None
        backend.drain_listed = backend.delisted = False

    def remove(self, backend: Backend, now: float, draining: bool = False, dead: bool = False) -> None:
        """Stop using a backend; with soft removal only once it is listed as draining or found dead."""
        backend.drain_listed, backend.delisted = backend.drain_listed or draining, True
        if backend.usable and (backend.drain_listed or dead or not self.soft_removal):
            backend.usable, backend.absent_since = False, now


class Subset:
    """Deterministic subsetting: every n-th backend of the list.

    With little traffic over many backends a node would meet each about once a minute and learn nothing of it.
    """

    # Each backend is met once within the health memory; enough backends to lose a few and still choose.
    REVISIT_SECONDS, MIN_BACKENDS = 4.0, 8

    def __init__(self, rank: int = 0) -> None:
        self.rank, self.stride = rank, 1

    def select(self, backends: list[Backend], rate: float, healthy: BackendPredicate) -> list[Backend]:
        """The subset for a traffic of `rate` invocations a second.

        The stride doubles and halves, so that a smaller subset lies within the larger one; the two thresholds
        are apart to keep it from flapping.
        """
        wanted = max(rate * self.REVISIT_SECONDS, self.MIN_BACKENDS)
        while len(backends) >= 2.5 * self.stride * wanted:
            self.stride *= 2
        while self.stride > 1 and len(backends) < 0.8 * self.stride * wanted:
            self.stride //= 2
        stride = self.stride
        while (
            stride > 1 and sum(map(healthy, backends[self.rank % stride :: stride])) < 0.5 * self.MIN_BACKENDS
        ):
            # With too few healthy backends a larger subset is used until enough have recovered.
            stride //= 2
        return backends[self.rank % stride :: stride]


class RotationEntry:
    """A backend's entry in the rotation; the earliest deadline is picked first."""

    def __init__(self, backend: Backend, weight: int, deadline: float, ramping: bool) -> None:
        self.backend, self.weight, self.deadline, self.ramping = backend, weight, deadline, ramping


class Rotation:
    """Weighted round robin by earliest deadline first; an entry comes up once in 1/weight of virtual time."""

    # Another backend replaces the one in turn only if its expected wait is less than this fraction of the
    # other's; among near equals the rotation decides.
    SHORTER_WAIT_RATIO = 0.75

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.virtual_time, self.total_weight = 0.0, 1
        self.entries: list[RotationEntry] = []

    def rebuild(self, backends: list[Backend], ratio: Callable[[Backend], float]) -> None:
        """Rescale the weights so that the largest is 100.

        Backends in slow start keep the rest of their wait: with little traffic they would never be reached if
        each rebuild drew a new one.
        """
        previous = {entry.backend.id: entry for entry in self.entries}
        listed_weights = [
            100.0 if backend.weight is None else max(backend.weight, 0.0) for backend in backends
        ]
        largest = max(listed_weights, default=0.0) or 1.0
        self.entries = []
        for backend, listed in zip(backends, listed_weights, strict=True):
            if listed <= 0:
                continue
            share = ratio(backend)
            weight = max(floor(100.0 * listed / largest * share + 1e-9), 1)
            old = previous.get(backend.id)
            keeps_wait = share < 1.0 and old is not None and old.ramping
            wait = (
                max(old.deadline - self.virtual_time, 0.0) * old.weight if keeps_wait else self.rng.random()
            )
            self.entries.append(
                RotationEntry(backend, weight, self.virtual_time + wait / weight, share < 1.0)
            )
        self.total_weight = sum(entry.weight for entry in self.entries) or 1

    def pick(
        self, allowed: BackendPredicate, wait: Callable[[Backend], float], admits_cold: ColdGate
    ) -> Backend | None:
        """Pick the next allowed backend in turn, or a later one with a clearly shorter expected wait.

        A backend in slow start is picked in its turn or when there is no other, and only if `admits_cold`
        agrees.
        """
        self.virtual_time += 1.0 / self.total_weight
        choice, best, spares = None, 0.0, []
        self.entries.sort(key=lambda entry: entry.deadline)
        for entry in self.entries:
            if not allowed(entry.backend):
                continue
            if entry.ramping and entry.deadline > self.virtual_time:
                spares.append(entry)
                continue
            if entry.ramping and not admits_cold(entry.backend, entry.weight / self.total_weight):
                entry.deadline = self.virtual_time + 1.0 / entry.weight
                continue
            expected = wait(entry.backend)
            if choice is None or expected < self.SHORTER_WAIT_RATIO * best:
                choice, best = entry, expected
        choice = choice or next((entry for entry in spares if admits_cold(entry.backend, 1.0)), None)
        if choice is None:
            return None
        # An entry that was passed over keeps at most one overdue turn, so that it gets no burst later.
        choice.deadline = max(choice.deadline, self.virtual_time - 1.0 / choice.weight) + 1.0 / choice.weight
        return choice.backend


class Push:
    """One push of an invocation. Times and work are in seconds.

    `cost` is its own expected work, `queued_work` the expected work ahead of it at the backend when it was
    sent; `idle` tells whether there was almost none.
    """

    outcome: Outcome | None = None
    # Its offering and tenant; seconds that these wait for a dependency, whichever backend serves them.
    labels, dependency_delay = ("", ""), 0.0
    # Whether it counts against the concurrency limit (a sweep may end that before the push ends); number of
    # later pushes to the backend that completed first.
    counted, overtaken = True, 0

    def __init__(self, backend: Backend, sent_at: float, cost: float, queued_work: float, idle: bool) -> None:
        self.backend, self.sent_at, self.cost, self.queued_work, self.idle = (
            backend,
            sent_at,
            cost,
            queued_work,
            idle,
        )


class LatencyRatio:
    """Response times relative to the expected ones, with exponential decay."""

    def __init__(self, time_constant: float) -> None:
        self.observed, self.expected, self.updated_at = (
            DecayingSum(time_constant),
            DecayingSum(time_constant),
            -100.0 * time_constant,
        )

    def add(self, observed: float, expected: float, now: float) -> None:
        """Add a response that took `observed` seconds where `expected` were expected."""
        self.observed.add(observed, now)
        self.expected.add(expected, now)
        self.updated_at = now

    def slowness(self, prior_weight: float, prior: float, now: float) -> float:
        """The ratio, with `prior` counted as `prior_weight` seconds of samples.

        It returns to the prior without new samples; otherwise a backend judged slow would get no pushes and
        so never any sample that clears it.
        """
        if now - self.updated_at > 5.0 * self.observed.time_constant:
            return prior
        ratio = (self.observed.read(now) + prior_weight * prior) / (self.expected.read(now) + prior_weight)
        return prior + (ratio - prior) * exp((self.updated_at - now) / self.observed.time_constant)


class BackendStats:
    """What this node has observed of one backend."""

    def __init__(self) -> None:
        self.in_flight: dict[tuple[str, int], Push] = {}
        # Expected cost of what is in flight, in seconds; when the last response was received.
        self.outstanding_work, self.last_response_at = 0.0, 0.0
        self.latency = LatencyRatio(HealthTracker.MEMORY_SECONDS)
        self.cpu_utilization, self.cpu_reported_at = 0.0, -inf
        self.successes, self.errors, self.breaks = (
            DecayingSum(HealthTracker.MEMORY_SECONDS) for _ in range(3)
        )
        # Whether a connection attempt failed since the last completed push; length of the current run of
        # related connection failures; when the last one occurred.
        self.connect_failed, self.connection_failures, self.last_failure_at = False, 0, 0.0
        self.rejections, self.backoff_until = 0, 0.0
        self.ejection_cause = ""  # empty while it is not ejected
        self.ejected_at, self.next_trial_at, self.ejections, self.trial_in_flight = 0.0, 0.0, 0, False
        self.cold_pushes: deque[tuple[float, float]] = deque()  # during slow start: time and expected cost
        # Other nodes' pushes in flight there by the last load report, and when that was received.
        self.others_in_flight, self.reported_at = 0.0, -inf
        # The ejection cause that the last report shows; when the probe in flight was sent (None: there is
        # none, or it is a trial of an ejected backend).
        self.reported_failure, self.probe_sent_at = "", None

    def add_push(self, active: ActiveInvocation, push: Push) -> None:
        """Count a push as in flight."""
        self.in_flight[active.invocation.id, active.pushes.index(push)] = push
        self.outstanding_work += push.cost

    def silence(self, now: float) -> float:
        """Seconds for which pushes have waited without any response."""
        first = next((push for push in self.in_flight.values() if not push.overtaken), None)
        return now - max(self.last_response_at, first.sent_at + first.dependency_delay) if first else 0.0


class HealthTracker:
    """Outlier detection and load estimation, by responses, their absence and load reports.

    Backends are ejected as `dead` (connections break or are not made), `hung` (no response to pushes or a
    probe, or a load report that shows too few completions for what is in flight) or `erring` (responses are
    errors). Backends that are slow, paused, short of CPU or full are not ejected: their expected wait grows,
    so that others are picked.
    """

    MEMORY_SECONDS = 4.0  # dozens of responses at ten a second, and trouble is forgotten within ten seconds
    # Minimum responses that the memory should hold, since one may be heavy; longest memory, since a recovered
    # backend looks bad for as long.
    MIN_SAMPLES, MAX_MEMORY_SECONDS = 3.0, 16.0
    # Weight of a prior, in responses; cap on observed/expected in a zone's mean, as longer responses say no
    # more about a whole zone.
    PRIOR_SAMPLES, MAX_ZONE_SLOWNESS = 2.0, 4.0
    SILENCE_SECONDS = 0.35  # longer than a garbage collector's pause, shorter than any client waits
    # Share of errors that ejects, well above a healthy backend's; up to a fifth of it is discounted as common
    # to all backends, as more errors everywhere mean an overload.
    MAX_ERROR_SHARE, COMMON_ERROR_SHARE = 0.25, 0.05
    MIN_LABEL_SAMPLES = 1.0  # recent responses of an offering or tenant: fewer show no dependency delay
    # Below IDLE_CPU nothing waits for a core; above SATURATED_CPU the expected wait rises, to double at 1.0.
    IDLE_CPU, SATURATED_CPU = 0.7, 0.85
    CPU_REPORT_TTL_SECONDS = 4.0  # as long as the health memory
    # A backend that has answered within this time and takes no connection is only short of connections.
    RECENT_RESPONSE_SECONDS = 1.0
    # Accepted probability of ejecting a healthy backend for a run of connection failures; upper bound of the
    # run length needed, which rises when other backends fail too.
    FALSE_POSITIVE_RATE, MAX_CONNECTION_FAILURES = 0.001, 4
    # A push overtaken by this many later ones has lost its response, which shows no queue: a second worker at
    # the backend would explain fewer.
    LOST_OVERTAKES = 2
    REJECTIONS_BEFORE_BACKOFF = 3  # in a row: random rejections, even at one half, seldom make more
    PROBE_SILENCE_SECONDS = 0.1  # probes return within a few hundredths unless the backend has gone silent
    # Mean time in the backend (in flight / completion rate) above which it is stuck, as its invocations are
    # all late by then; time constant of a load report's decay.
    STUCK_SECONDS, REPORT_DECAY_SECONDS = 2.0, 0.5
    # Initial time until a trial, which doubles after each failed one; its upper bound.
    BASE_EJECTION_SECONDS, MAX_EJECTION_SECONDS = 1.0, 4.0

    def __init__(self, rng: Random, log: Callable[[str], None]) -> None:
        self.rng, self.log = rng, log
        self.stats: defaultdict[str, BackendStats] = defaultdict(BackendStats)
        self.zone_latency = defaultdict(lambda: LatencyRatio(2.0 * self.MEMORY_SECONDS))
        self.offering_cost = defaultdict(lambda: DecayingMean(30.0))
        self.cpu_utilization = DecayingMean(0.5 * self.MEMORY_SECONDS)  # of all backends
        # Response time beyond the expected, by offering and by tenant.
        self.excess_latency = [defaultdict(lambda: DecayingMean(0.5 * self.MEMORY_SECONDS)) for _ in range(2)]
        # Of all backends.
        self.successes, self.errors, self.breaks = (DecayingSum(self.MEMORY_SECONDS) for _ in range(3))
        self.ejected_count, self.slowest_response, self.slowest_response_at = 0, 0.0, 0.0
        # Initial estimate of the slowest response: the shortest target time, and when it was set. Decays like
        # `slowest_response`, with a time constant of 10 s.
        self.initial_slowest = 0.0, 0.0
        # Means over all backends: in flight at each by load reports, recently and usually; response times.
        self.reported_in_flight, self.usual_in_flight, self.response_time = (
            DecayingMean(1.0),
            DecayingMean(30.0),
            DecayingMean(30.0),
        )
        # Slowness by zone, cached, and the time and cost for which the cache is valid.
        self.zone_priors, self.zone_priors_key = {}, None

    def set_memory(self, backends: list[Backend], rate: float) -> None:
        """Lengthen the memory under light traffic, so that it holds enough responses of each backend."""
        time_constant = min(
            max(self.MEMORY_SECONDS, self.MIN_SAMPLES * len(backends) / max(rate, 1e-6)),
            self.MAX_MEMORY_SECONDS,
        )
        for backend in backends:
            stats = self.stats_of(backend)
            for measure in (
                stats.latency.observed,
                stats.latency.expected,
                stats.successes,
                stats.errors,
                stats.breaks,
            ):
                measure.time_constant = time_constant

    def _record_latency(self, push: Push, observed: float, expected: float, now: float) -> None:
        # An offering that waits on a dependency at every backend must not make the backends look slow.
        for means, name in zip(self.excess_latency, push.labels, strict=True):
            means[name].add(observed - expected, now)
        if push.dependency_delay:
            return
        self.stats_of(push.backend).latency.add(observed, expected, now)
        self.zone_priors_key = None
        # Capped: after an overload one response of seconds would outweigh dozens of quick ones, and the zone
        # would be avoided long after it has recovered.
        self.zone_latency[push.backend.zone].add(
            min(observed, self.MAX_ZONE_SLOWNESS * expected), expected, now
        )

    def stats_of(self, backend: Backend) -> BackendStats:
        """What this node has observed of a backend; creates an empty record if there is none."""
        return self.stats[backend.id]

    def cost(self, offering: Offering, now: float) -> float:
        """Seconds for which an invocation keeps a typical backend busy, learned from pushes to idle ones."""
        # The guess counts as one sample, and is the only one at first.
        mean, guess = self.offering_cost[offering.name], offering.target_time / 5.0
        return (mean.total.read(now) + guess) / (mean.count.read(now) + 1.0)

    def dependency_delay(self, active: ActiveInvocation, now: float) -> float:
        """Excess response time of this offering or tenant over that of the fastest one, in seconds.

        0 if it is too small to make an answer late.
        """
        delay = 0.0
        for means, name in zip(self.excess_latency, active.labels, strict=True):
            sampled = {
                label: mean.read(now)
                for label, mean in means.items()
                if mean.count.read(now) > self.MIN_LABEL_SAMPLES
            }
            delay = max(delay, sampled.get(name, 0.0) - min(sampled.values(), default=0.0))
        return delay if delay > AdmissionControl.LATE_SHARE * active.offering.target_time else 0.0

    def cpu_idle(self, now: float) -> bool:
        """Whether backends report idle cores: what is late then waits for something else."""
        return 0.0 < self.cpu_utilization.read(now) < self.IDLE_CPU

    def slowness(self, backend: Backend, cost: float, now: float) -> float:
        """Recent response times as a multiple of the expected; the zone's multiple is the prior."""
        if (now, cost) != self.zone_priors_key:
            self.zone_priors_key = now, cost
            self.zone_priors.clear()
        if (prior := self.zone_priors.get(backend.zone)) is None:
            prior = max(self.zone_latency[backend.zone].slowness(self.PRIOR_SAMPLES * cost, 1.0, now), 1.0)
            self.zone_priors[backend.zone] = prior  # computed once a zone for all entries of a pick
        return self.stats[backend.id].latency.slowness(self.PRIOR_SAMPLES * cost, prior, now)

    def expected_wait(self, backend: Backend, cost: float, now: float) -> float:
        """Seconds until this backend would answer a push of this cost, as far as this node can tell."""
        stats = self.stats[backend.id]
        wait = self.slowness(backend, cost, now) * self.expected_work(stats, cost, now)
        if now - stats.cpu_reported_at < self.CPU_REPORT_TTL_SECONDS:
            wait *= 1.0 + max(stats.cpu_utilization - self.SATURATED_CPU, 0.0) / (1.0 - self.SATURATED_CPU)
        if stats.in_flight:
            wait = max(wait, stats.silence(now))
        if stats.errors.value > 0.01 or stats.breaks.value > 0.01:
            # A penalty, since an erring backend answers fast and would attract traffic. A low share of errors
            # that all backends have in common costs nothing.
            errors, breaks = self._failure_shares(stats, now)
            wait += 0.5 * (
                max(errors - min(self._failure_shares(self, now)[0], self.COMMON_ERROR_SHARE), 0.0) + breaks
            )
        return wait

    def expected_work(self, stats: BackendStats, cost: float, now: float) -> float:
        """Seconds of work queued at a backend, this push included.

        Where load reports come, it is divided by the usual number of invocations there plus one. A report
        decays towards the mean of all backends.
        """
        if not self.usual_in_flight.count.value:
            return stats.outstanding_work + cost
        usual_load, others = self.usual_in_flight.read(now), self.reported_in_flight.read(now)
        others += (stats.others_in_flight - others) * exp(
            (stats.reported_at - now) / self.REPORT_DECAY_SECONDS
        )
        return (stats.outstanding_work + (others + 1.0) * cost) / (usual_load + 1.0)

    def on_report(self, backend: Backend, report: api.LoadReport, now: float) -> None:
        """Apply a load report; one that shows a failure ejects, before pushes are spent to detect it."""
        stats, in_flight, rate = self.stats_of(backend), report.in_flight, report.completion_rate
        if in_flight is None:
            return
        stats.others_in_flight, stats.reported_at = max(in_flight - len(stats.in_flight), 0.0), now
        errors = report.error_rate or 0.0
        end_rate = errors + ((in_flight + 1.0) / self.SILENCE_SECONDS if rate is None else rate)
        erring = errors > 1.0 and errors > self.MAX_ERROR_SHARE * end_rate
        # By Little's law.
        stuck = in_flight >= 4.0 and rate is not None and in_flight > self.STUCK_SECONDS * rate
        stats.reported_failure = "erring" if erring else "hung" if stuck else ""
        if stats.reported_failure:
            self._eject(backend, stats, stats.reported_failure, now)
        if not stats.ejection_cause:
            self.reported_in_flight.add(in_flight, now)
            self.usual_in_flight.add(in_flight, now)

    def _failure_shares(self, source: BackendStats | HealthTracker, now: float) -> tuple[float, float]:
        """Shares of recently ended pushes: errors, and broken connections beyond all backends' share."""
        end_count = source.successes.read(now) + source.errors.read(now) + source.breaks.read(now) + 1.0
        common = self.breaks.read(now) / (
            self.successes.read(now) + self.errors.read(now) + self.breaks.value + 1.0
        )
        return source.errors.value / end_count, max(source.breaks.value / end_count - common, 0.0)

    def _failures_needed(self, stats: BackendStats, now: float) -> int:
        """Run of connection failures too long for chance, given how often connections break elsewhere."""
        breaks = self.breaks.read(now) - stats.breaks.read(now)
        end_count = breaks + self.successes.read(now) - stats.successes.read(now) + 1.0
        usual_break_ratio = min(max(breaks / end_count, 1e-9), 0.9)
        return min(
            max(ceil(log(self.FALSE_POSITIVE_RATE) / log(usual_break_ratio)), 2), self.MAX_CONNECTION_FAILURES
        )

    def recent_slowest(self, now: float) -> float:
        """The slowest recent response: one heavy invocation keeps a backend silent for that long."""
        return self.slowest_response * exp((self.slowest_response_at - now) / 10.0)

    def pickable(self, backend: Backend, now: float, panic: bool = False) -> bool:
        """Whether a backend is neither ejected nor in backoff.

        In panic mode backends ejected for any cause but `dead` are pickable too.
        """
        stats = self.stats[backend.id]
        return (
            not stats.ejection_cause
            and now >= stats.backoff_until
            or panic
            and stats.ejection_cause not in ("", "dead")
        )

    def on_push_ended(self, key: tuple[str, int], push: Push, offering: Offering, now: float) -> str:
        """Record how a push ended. Returns the cause of the ejection that it ends, or an empty string."""
        stats = self.stats_of(push.backend)
        was_in_flight = stats.in_flight.pop(key, None) is not None
        stats.outstanding_work = (
            stats.outstanding_work - push.cost * was_in_flight if stats.in_flight else 0.0
        )
        elapsed, outcome = now - push.sent_at, push.outcome
        trial = stats.ejection_cause != "" and push.sent_at >= stats.next_trial_at
        if trial:
            stats.trial_in_flight = False
            if outcome not in (Outcome.COMPLETED, Outcome.NOT_SENT):
                # Any failed trial restarts the ejection time, or trials would follow one after the other.
                self._eject(push.backend, stats, stats.ejection_cause, now)
        if not was_in_flight:
            return ""  # it ended while its body was being sent, which takes as long as the client does
        # A backend that still responds but takes no more connections is not dead.
        no_connection = (
            outcome is Outcome.UNREACHABLE
            and not stats.connection_failures
            and now - stats.last_response_at < self.RECENT_RESPONSE_SECONDS
        )
        if outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.REJECTED):
            stats.last_response_at = now
        if outcome is Outcome.COMPLETED:
            self.response_time.add(elapsed, now)
            stats.connection_failures = stats.rejections = 0
            stats.connect_failed = stats.connect_failed and stats.ejection_cause != ""
            stats.successes.add(1.0, now)
            self.successes.add(1.0, now)
            if elapsed > self.recent_slowest(now):
                self.slowest_response, self.slowest_response_at = elapsed, now
            for other in stats.in_flight.values():
                other.overtaken += other.sent_at < push.sent_at
            slowness = max(1.0, self.slowness(push.backend, push.cost, now)) if push.idle else 1.0
            self._record_latency(push, elapsed, push.queued_work + push.cost, now)
            if push.idle and not push.dependency_delay:
                # Divided by the slowness: pushes of other nodes queue there unseen, and an overload must not
                # pass for costly work.
                self.offering_cost[offering.name].add(elapsed / slowness, now)
            if stats.ejection_cause == "hung" or trial:
                return self._readmit(push.backend, stats)
        elif outcome is Outcome.REJECTED or no_connection:
            stats.rejections += 1 if outcome is Outcome.REJECTED else self.REJECTIONS_BEFORE_BACKOFF
            stats.latency.observed.add(elapsed, now)
            # Only rejections in a row count: when all backends reject some at random, half of the fleet would
            # be in backoff otherwise.
            backoff = 0.05 * (2.0 ** min(max(stats.rejections - self.REJECTIONS_BEFORE_BACKOFF, 0), 4) - 1.0)
            stats.backoff_until = now + backoff * (0.5 + self.rng.random())
        elif outcome in (Outcome.CONNECTION_LOST, Outcome.UNREACHABLE):
            # Single breaks eject no backend: only pushes that fail together, or connections that are not
            # made, are evidence against the process.
            together = outcome is Outcome.UNREACHABLE or push.sent_at <= stats.last_failure_at
            stats.connect_failed |= outcome is Outcome.UNREACHABLE
            stats.connection_failures, stats.last_failure_at = (
                stats.connection_failures + 1 if together else 1,
                now,
            )
            if stats.connection_failures >= self._failures_needed(stats, now):
                self._eject(push.backend, stats, "dead", now)
        elif outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED) and push.overtaken < self.LOST_OVERTAKES:
            # A push that was given up shows that the backend takes at least this long.
            self._record_latency(push, elapsed, min(push.queued_work + push.cost, elapsed), now)
        if outcome in (Outcome.ERROR, Outcome.CONNECTION_LOST):
            for target in (stats, self):
                (target.errors if outcome is Outcome.ERROR else target.breaks).add(1.0, now)
            too_many = sum(self._failure_shares(stats, now)) > self.MAX_ERROR_SHARE
            if too_many and stats.errors.value + stats.breaks.value >= 2.5:
                self._eject(push.backend, stats, "erring", now)
        return ""

    def eject_silent(self, backends: list[Backend], now: float) -> None:
        """Eject backends that went silent with several pushes, or one very old one, unanswered."""
        slowest = max(
            self.recent_slowest(now), self.initial_slowest[0] * exp((self.initial_slowest[1] - now) / 10.0)
        )
        silence_limit = max(self.SILENCE_SECONDS, min(1.5 * slowest, 3.0 * self.SILENCE_SECONDS))
        for backend in backends:
            stats = self.stats[backend.id]
            limit = silence_limit if len(stats.in_flight) > 1 else 2.0 * silence_limit
            if stats.in_flight and not stats.ejection_cause and stats.silence(now) > limit:
                self._eject(backend, stats, "hung", now)

    def on_probe_ended(self, backend: Backend, outcome: Outcome, now: float) -> str:
        """Record a probe's outcome. Returns the cause of the ejection that it ends, or an empty string."""
        stats = self.stats_of(backend)
        probe_sent_at, stats.trial_in_flight, stats.probe_sent_at = stats.probe_sent_at, False, None
        stats.connect_failed |= outcome is Outcome.UNREACHABLE
        if stats.ejection_cause and (outcome is not Outcome.COMPLETED or stats.reported_failure):
            self._eject(backend, stats, stats.ejection_cause, now)
        elif stats.ejection_cause:
            return self._readmit(backend, stats)
        elif (
            outcome is Outcome.TIMED_OUT
            and probe_sent_at is not None
            and probe_sent_at > stats.last_response_at
        ):
            self._eject(backend, stats, "hung", now)
        return ""

    def trial_due(self, backend: Backend, now: float) -> bool:
        """Whether an ejected backend may be tried with a push or a probe."""
        stats = self.stats_of(backend)
        return stats.ejection_cause != "" and now >= stats.next_trial_at and not stats.trial_in_flight

    def in_panic(self, entries: list[RotationEntry]) -> bool:
        """Whether more than half are ejected, which points to a common cause.

        Then only `dead` ejections are honoured.
        """
        return self.ejected_count > 0 and 2 * sum(
            self.stats_of(entry.backend).ejection_cause != "" for entry in entries
        ) > len(entries)

    def _eject(self, backend: Backend, stats: BackendStats, cause: str, now: float) -> None:
        if not stats.ejection_cause:
            stats.ejected_at, stats.ejections, self.ejected_count = now, 0, self.ejected_count + 1
            self.log(f"ejected {backend.id}: {cause}")
        elif now < stats.next_trial_at:
            return
        # Once connections fail, the cause stays `dead`, whatever else it was ejected for, as the process may
        # have restarted.
        stats.ejection_cause = "dead" if "dead" in (cause, stats.ejection_cause) else cause
        # Clearing the flag voids a trial in flight, which would otherwise block the next one for good.
        ejection = min(self.BASE_EJECTION_SECONDS * 2.0**stats.ejections, self.MAX_EJECTION_SECONDS)
        stats.trial_in_flight, stats.ejections = False, stats.ejections + 1
        # With jitter, so that many nodes do not try a backend at the same time.
        stats.next_trial_at = now + ejection * (0.75 + 0.5 * self.rng.random())

    def _readmit(self, backend: Backend, stats: BackendStats) -> str:
        cause, stats.ejection_cause, stats.connection_failures = stats.ejection_cause, "", 0
        self.ejected_count -= 1
        stats.latency.observed.value = stats.latency.expected.value = stats.errors.value = (
            stats.breaks.value
        ) = 0.0
        self.log(f"readmitted {backend.id}: was {cause}")
        return cause


class AdmissionControl:
    """Decides which invocations to reject when answers would be late, those of the lowest utility first.

    An adaptive concurrency limit: it grows while pushes end in time and shrinks while many are late.
    """

    # Fraction of the target time: an expected wait beyond it leads to rejection, at rank 0 and at rank 1.
    MIN_WAIT_SHARE, MAX_WAIT_SHARE = 0.25, 0.6
    # Fraction of the limit open to invocations of any utility. The rest opens with the rank, so that a flood
    # of nearly worthless ones leaves room even for others of low utility.
    OPEN_SHARE = 0.3
    # Fraction of the target time: a push that takes longer than its cost plus this is late, since queues slow
    # backends by then (incident if777b3). Less with load reports, which even the queues out.
    LATE_SHARE, LATE_SHARE_WITH_REPORTS = 0.3, 0.2
    # Share of late pushes above which the limit is lowered: more than a slow fifth of the fleet causes. From
    # half of it on, hedges do harm.
    MAX_LATE_RATIO, CONGESTED_LATE_RATIO = 0.3, 0.15
    # Minimum time between decreases of the limit, as a fraction of the span looked back on: the effect of one
    # is seen before the next.
    DECREASE_PAUSE = 0.2
    MIN_LIMIT_PER_BACKEND = 1.0  # with fewer nothing queues, so that late answers have another cause
    MIN_SPAN_INVOCATIONS = 16.0  # a span with fewer tells nothing of how many pushes are in flight or late
    # Growth of the limit in a second: pushes per backend, or a fraction of the limit if that is more, so that
    # it follows a surge.
    GROWTH_PER_BACKEND, GROWTH_RATIO = 1.0, 0.25
    # Upper bound of the limit: pushes per backend, or a multiple of what has been sustained, whichever is
    # more. Leaves room for a surge but not for a queue.
    MAX_LIMIT_PER_BACKEND, MAX_SUSTAINED_RATIO = 6.0, 2.0
    INITIAL_LIMIT_PER_BACKEND = 2.0  # one in work and one that waits: more would queue for long
    # Minimum size of a tenant's bucket in tokens, since light traffic clusters by chance, but well under a
    # surge; longest look-back, and time constant of the arrival rate.
    MIN_BURST, MAX_SPAN_SECONDS = 5.0, 5.0

    def __init__(self) -> None:
        self.arrivals_by_offering: defaultdict[str, float] = defaultdict(float)
        self.tenant_tokens: dict[str, tuple[float, float]] = {}  # tokens left, and when they were counted
        # The highest recent utility per second of work; number of backends that fall to this node.
        self.best_utility_rate, self.backend_share = 0.0, 0.0
        self.concurrency_limit = inf  # pushes that this node may have in flight; may be under one
        self.arrivals, self.span = DecayingSum(self.MAX_SPAN_SECONDS), self.MAX_SPAN_SECONDS
        self.end_count, self.late_count = DecayingSum(self.span), DecayingSum(self.span)
        self.sustained_in_flight = DecayingMean(30.0)  # pushes in flight for each backend while few are late
        self.mean_in_flight = self.mean_updated_at = self.decreased_at = self.ended_at = 0.0

    def configure(self, settings: api.DecisionSettings) -> None:
        """Apply new settings; learned values are kept."""
        self.tenant_rates = {tenant.name: tenant.allowance / settings.nodes for tenant in settings.tenants}
        self.over_share_worth, self.utility_by_work = settings.over_share_worth, settings.utility_by_work
        self.has_load_probes, self.initial_limit_per_backend = (
            settings.limits.probes_per_invocation > 0.0,
            self.INITIAL_LIMIT_PER_BACKEND,
        )
        self.late_share = self.LATE_SHARE_WITH_REPORTS if self.has_load_probes else self.LATE_SHARE
        self.worst_offering_weight = settings.worst_offering if self.has_load_probes else 0.0
        self.utilities = {offering.name: offering.utility for offering in settings.offerings}
        self.max_utility, self.min_utility = max(self.utilities.values()) or 1.0, min(self.utilities.values())

    def resize(self, backend_share: float, now: float) -> None:
        """Scale the limit to this node's share of the backends, and the span to its traffic."""
        if self.has_load_probes or self.concurrency_limit == inf:
            self.concurrency_limit = (
                self.concurrency_limit * backend_share / self.backend_share
                if self.backend_share
                else self.initial_limit_per_backend * backend_share or inf
            )
        self.backend_share = backend_share
        self.span = min(self.MIN_SPAN_INVOCATIONS / max(self.arrival_rate(now), 1e-6), self.MAX_SPAN_SECONDS)
        self.end_count.time_constant = self.late_count.time_constant = max(self.span, 0.5)

    def arrival_rate(self, now: float) -> float:
        """Invocations a second at this node; too low until it has run for some seconds."""
        return self.arrivals.read(now) / self.MAX_SPAN_SECONDS

    def update_mean(self, in_flight: int, now: float) -> float:
        """The mean of pushes in flight over the span.

        The present number alone would cause nacks where a node's limit is under one.
        """
        self.mean_in_flight += (in_flight - self.mean_in_flight) * (
            1.0 - exp((self.mean_updated_at - now) / self.span)
        )
        self.mean_updated_at = now
        return self.mean_in_flight

    def rank(self, active: ActiveInvocation) -> float:
        """Utility of an invocation per unit of work, relative to the highest, from 0 to 1."""
        part = self.over_share_worth if active.over_share else 1.0
        if active.invocation.is_retry:
            # The target time of the first try has most likely passed.
            part *= active.offering.late_utility_share
        return self.offering_rank(active.offering, active.cost, part)

    def offering_rank(self, offering: Offering, cost: float, part: float = 1.0) -> float:
        """The rank of any invocation of an offering that earns `part` of its utility."""
        utility = self.effective_utility(offering) * part
        if self.utility_by_work:  # the settings give it per unit of work already
            return utility / self.max_utility
        utility /= max(cost, 1e-6)
        self.best_utility_rate = max(self.best_utility_rate * 0.999, utility)
        return utility / self.best_utility_rate if self.best_utility_rate else 0.0

    def effective_utility(self, offering: Offering) -> float:
        """The offering's utility; for the lowest it is raised by the weight of the worst-served offering."""
        if (
            not (self.worst_offering_weight and self.arrivals_by_offering)
            or offering.utility > self.min_utility
        ):
            return offering.utility
        total = sum(
            count * self.utilities.get(name, 0.0) for name, count in self.arrivals_by_offering.items()
        )
        utility_per_own_arrival = total / max(self.arrivals_by_offering[offering.name], 1.0)
        return min(
            offering.utility + self.worst_offering_weight * (utility_per_own_arrival - offering.utility),
            self.max_utility,
        )

    def on_arrival(self, active: ActiveInvocation, now: float) -> None:
        """Count an invocation and take a token from its tenant's bucket.

        The bucket fills at this node's share of the tenant's allowance.
        """
        self.arrivals.add(1.0, now)
        self.arrivals_by_offering[active.offering.name] += 1.0
        rate = self.tenant_rates.get(active.invocation.tenant)
        # Only known tenants are kept: clients choose the name, and memory must not grow with what they send.
        active.labels = active.offering.name, "" if rate is None else active.invocation.tenant
        if rate is None or active.invocation.is_retry:
            return
        # A bucket of one second's allowance may hold less than a token, so that a light tenant's traffic
        # would all be over share.
        burst = max(rate, self.MIN_BURST)
        tokens, counted_at = self.tenant_tokens.get(active.invocation.tenant, (burst, now))
        tokens = min(tokens + rate * (now - counted_at), burst)
        active.over_share = tokens < 1.0
        self.tenant_tokens[active.invocation.tenant] = (tokens if active.over_share else tokens - 1.0, now)

    def rejects(
        self, active: ActiveInvocation, wait: float, in_flight: int, now: float, cpu_idle: bool
    ) -> bool:
        """Whether to reject an invocation, by the concurrency limit or by its expected wait in seconds."""
        rank = self.rank(active)
        limit = self.concurrency_limit * (self.OPEN_SHARE + (1.0 - self.OPEN_SHARE) * rank**0.5)
        if limit < in_flight + 1.0 and self.update_mean(in_flight, now) >= limit and not cpu_idle:
            return True
        wait_share = self.MIN_WAIT_SHARE + (self.MAX_WAIT_SHARE - self.MIN_WAIT_SHARE) * rank
        # Without its own cost: a heavy invocation is no sign of congestion.
        return wait - active.cost > wait_share * active.offering.target_time

    def congested(self, now: float) -> bool:
        """Whether hedged copies would only add load: what is late everywhere is no quicker elsewhere."""
        return self.late_count.read(now) > self.CONGESTED_LATE_RATIO * (self.end_count.read(now) + 1.0)

    def on_push_ended(self, late: bool, in_flight: int, now: float) -> None:
        """Adapt the limit at the end of a push, which `in_flight` still counts.

        This keeps all nodes together from filling the backends' queues.
        """
        self.end_count.add(1.0, now)
        self.late_count.add(1.0 if late else 0.0, now)
        late_ratio = self.late_count.read(now) / (self.end_count.read(now) + 1.0)
        elapsed, self.ended_at = min(now - self.ended_at, 1.0), now
        if late_ratio > self.MAX_LATE_RATIO:
            if now - self.decreased_at > self.DECREASE_PAUSE * self.end_count.time_constant:
                # Lowered from what is in flight: a limit that was not reached tells nothing of what backends
                # sustain.
                limit = 0.85 * min(self.concurrency_limit, max(in_flight, self.update_mean(in_flight, now)))
                self.concurrency_limit, self.decreased_at = (
                    max(limit, self.MIN_LIMIT_PER_BACKEND * self.backend_share),
                    now,
                )
        elif (
            not late
            and max(in_flight, self.update_mean(in_flight, now)) >= self.OPEN_SHARE * self.concurrency_limit
        ):
            if late_ratio < self.CONGESTED_LATE_RATIO and self.backend_share:
                self.sustained_in_flight.add(self.update_mean(in_flight, now) / self.backend_share, now)
            max_limit = (
                max(self.MAX_SUSTAINED_RATIO * self.sustained_in_flight.read(now), self.MAX_LIMIT_PER_BACKEND)
                * self.backend_share
            )
            self.concurrency_limit = min(
                self.concurrency_limit
                + max(
                    self.GROWTH_PER_BACKEND * self.backend_share, self.GROWTH_RATIO * self.concurrency_limit
                )
                * elapsed,
                max_limit,
            )


class OverloadController:
    """Sheds unread invocations while the node itself is short of CPU: an integral control on the read delay.

    Without it such a node would read everything late and answer nothing in time.
    """

    # Target of the read delay, as a fraction of the shortest target time: long enough to measure, and little
    # of an invocation's time.
    TARGET_DELAY_SHARE = 0.25
    # Change of the pressure in a second, at twice the target delay or more and at none: both act within a few
    # tenths of a second.
    RISE_PER_SECOND, FALL_PER_SECOND = 2.0, 1.0
    # Longest time that one observation counts for, about that between two timers: a single stall is no
    # overload.
    MAX_STEP_SECONDS = 0.03

    def __init__(self, target_delay: float = 1.0) -> None:
        self.target_delay, self.pressure, self.updated_at = self.TARGET_DELAY_SHARE * target_delay, 0.0, 0.0

    def observe(self, delay: float, now: float) -> None:
        """Adapt the pressure to a read delay of `delay` seconds."""
        step_seconds, self.updated_at = (
            min(now - self.updated_at, self.MAX_STEP_SECONDS),
            max(now, self.updated_at),
        )
        error = min(delay / self.target_delay - 1.0, 1.0)
        step = step_seconds * error * (self.RISE_PER_SECOND if error > 0.0 else self.FALL_PER_SECOND)
        self.pressure = min(max(self.pressure + step, 0.0), 1.0)

    def should_shed(self, rank: float, rng: Random) -> bool:
        """Whether to shed: rank 0 always from a pressure of one half on, every rank at a pressure of one."""
        return self.pressure > 0.0 and rng.random() < 2.0 * self.pressure - rank


class RetryPolicy:
    """How often an invocation may be pushed again."""

    # Where the site states none: the floor covers a dead backend's share of about a second of traffic; the
    # ratio is the customary one.
    DEFAULT_BUDGET = api.RetryBudgetRule(floor=10.0, ratio=0.2, window=10.0)

    max_pushes, max_utility = 1, 1.0

    def allows(self, active: ActiveInvocation) -> bool:
        """Whether another push is allowed: two in all at no utility, `max_pushes` at the highest.

        A streaming invocation is never retried.
        """
        max_pushes = 2 + round((self.max_pushes - 2) * min(active.offering.utility / self.max_utility, 1.0))
        return not active.invocation.streaming and len(active.pushes) < max_pushes


class ActiveInvocation:
    """An invocation that is not answered yet or still has pushes in flight."""

    def __init__(self, invocation: Invocation, offering: Offering, cost: float, now: float) -> None:
        self.invocation, self.offering, self.cost, self.labels = (
            invocation,
            offering,
            cost,
            (offering.name, ""),
        )
        self.cut_off = now + invocation.time_left
        self.pushes: list[Push] = []
        # The latest push sent while no earlier one could have run. It sets the deduplication domain and
        # starts the window, even if it turns out not to have run (incident i8af787).
        self.dedup_origin_push: Push | None = None
        self.in_flight, self.next_check_at = 0, now
        self.answered = self.over_share = self.moving = False  # moving: cancelled to be pushed elsewhere

    @property
    def may_have_run(self) -> bool:
        """Whether any push is in flight or ended without proof that it did not run."""
        return any(push.outcome is None or not push.outcome.never_ran for push in self.pushes)

    @property
    def push_deadline(self) -> float:
        """Time by which a further push must begin: in the dedup window, if a tagged one may have run."""
        if self.offering.idempotency is Idempotency.REPEATABLE or not self.may_have_run:
            return inf
        return (
            -inf
            if self.offering.idempotency is Idempotency.ONCE_ONLY
            else self.dedup_origin_push.sent_at + self.offering.dedup_window
        )


class Node:
    """One balancer node. The host calls a method for each event that concerns it."""

    REBUILD_SECONDS = 1.0  # between rebuilds of the rotation
    SWEEP_SECONDS = 0.025  # between checks of unanswered pushes: a tenth of the shortest usual target time
    # Fraction of the target time by which a backend of another zone must be faster, as crossing zones has a
    # price.
    CROSS_ZONE_SHARE = 0.3
    # No answer takes less than the first; a load report younger than the second is not worth a new probe.
    MIN_TIME_LEFT_SECONDS, FRESH_REPORT_SECONDS = 0.005, 0.05
    WATCH_RETRY_SECONDS = 0.25  # mean delay before a failed watch is begun anew

    def __init__(
        self, host: Host, *, seed: int, now: float, limit_per_backend: float = 0.0, **settings: object
    ) -> None:
        """Start with `settings`, the fields of `DecisionSettings`.

        `limit_per_backend` is the concurrency limit that another process of this node has learned, 0 if none.
        """
        self.host, self.rng = host, Random(seed)
        self.registry, self.subset, self.rotation = BackendRegistry(now), Subset(), Rotation(self.rng)
        self.health, self.admission = HealthTracker(self.rng, host.log), AdmissionControl()
        self.retry_policy, self.overload, self.active = RetryPolicy(), OverloadController(), {}
        self.retry_budget = RetryBudget(RetryPolicy.DEFAULT_BUDGET)
        self.on_settings(now, **settings)
        self.admission.initial_limit_per_backend = (
            min(limit_per_backend, AdmissionControl.MAX_LIMIT_PER_BACKEND)
            or self.admission.initial_limit_per_backend
        )
        # Tokens for load probes; pushes in flight that are not overdue.
        self.probe_tokens, self.in_flight, self.started_at = 0.0, 0, now
        host.set_timer(self.REBUILD_SECONDS * self.rng.random(), "interval")
        self.sweep_pending = False
        # Time from which the list is too old to push by; the same limit as the host derives it from a silent
        # watch (inf: none).
        self.list_stale_at = self.silence_stale_at = inf
        if self.must_ask_in < inf:
            self._watch_list(now)

    def on_settings(self, now: float, **settings: object) -> None:
        """Apply new settings. Learned values are kept; active invocations keep their offering's settings."""
        applied = api.DecisionSettings(**settings)
        self.zone, self.subset.rank, self.nodes = applied.zone, applied.rank, applied.nodes
        self.limits, self.slow_start_rule, self.must_ask_in = (
            applied.limits,
            applied.cold,
            applied.must_ask_in or inf,
        )
        self.offerings = {offering.name: offering for offering in applied.offerings}
        self.slow_start = self.registry.slow_start = SlowStart(
            self.slow_start_rule.warm_up, self.slow_start_rule.initial_capacity
        )
        self.retry_budget = self.retry_budget.with_rule(
            self.limits.retry_budget or RetryPolicy.DEFAULT_BUDGET, now
        )
        self.registry.soft_removal = self.limits.soft_removal
        self.admission.configure(applied)
        self.retry_policy.max_pushes, self.retry_policy.max_utility = (
            self.limits.max_pushes,
            self.admission.max_utility,
        )
        self.overload.target_delay = OverloadController.TARGET_DELAY_SHARE * min(
            offering.target_time for offering in applied.offerings
        )
        self.health.initial_slowest = (
            self.health.initial_slowest
            if self.health.initial_slowest[0]
            else (self.overload.target_delay / OverloadController.TARGET_DELAY_SHARE, now)
        )

    def on_list(
        self, now: float, kind: ListKind, entries: list[Entry], silence_stale_at: float = inf
    ) -> None:
        """Apply a list, or schedule a new watch after a failed one.

        `silence_stale_at` is the time from which the node must assume that a silent watch has missed changes.
        """
        if kind is ListKind.UNAVAILABLE:
            # With jitter, so that nodes do not call a struggling list service in step; soon, since the list
            # goes stale meanwhile.
            self.silence_stale_at = silence_stale_at
            wait = min(self.WATCH_RETRY_SECONDS, 0.25 * self.must_ask_in)
            self.host.set_timer(wait * (0.5 + self.rng.random()), "watch")
            # The list goes stale `must_ask_in` s after a working watch breaks; after a failed call four times
            # that after the call's start, hence three times from now, as the call takes up to one.
            self.list_stale_at = min(
                now + self.must_ask_in * (1.0 if self.list_stale_at == inf else 3.0), silence_stale_at
            )
            return
        if kind is not ListKind.RESTORED:
            self.list_stale_at = self.silence_stale_at = inf
        self.registry.on_list(kind, entries, now)
        self._rebuild(now)

    def on_invocation(self, now: float, invocation: Invocation) -> None:
        """Accept an invocation: push it, or nack it at once."""
        offering = self.offerings[invocation.offering]
        self.retry_budget.invocations.add(1, now, now)
        if invocation.time_left <= self.MIN_TIME_LEFT_SECONDS:
            # A node short of CPU must not spend it on invocations that can no longer be answered in time.
            self._give_up(ActiveInvocation(invocation, offering, 0.0, now), now)
            return
        active = ActiveInvocation(invocation, offering, self.health.cost(offering, now), now)
        self.active[invocation.id] = active
        self.admission.on_arrival(active, now)
        backend = self._pick(active, now)
        if backend is not None:
            wait = self.health.expected_wait(backend, active.cost, now)
            if self.admission.rejects(active, wait, self.in_flight, now, self.health.cpu_idle(now)):
                self._give_up(active, now)
                return
        # After admission: the long expected wait of an ejected backend is no reason to reject an invocation.
        self._push(active, self._trial_backend(active, now) or backend, now)
        self._probe_for_load(now)

    def on_whole(self, now: float, id: str, time_left: float) -> None:
        """The last byte of a streaming invocation was received: its time starts, its push is in flight."""
        if (active := self.active.get(id)) is not None and active.in_flight:
            active.cut_off, push = now + time_left, active.pushes[-1]
            push.sent_at = now
            self.health.stats_of(push.backend).add_push(active, push)

    def on_late(self, now: float, delay: float) -> None:
        """The host handled an event `delay` seconds late."""
        self.overload.observe(delay, now)

    def shed_unread(self, now: float, offering: str, time_left: float, waited: float) -> float | None:
        """Decide on an invocation that is not yet read.

        Returns the seconds after which its client may retry if it is shed, or None if it is to be read.
        """
        self.overload.observe(waited, now)
        offering = self.offerings[offering]
        rank = self.admission.offering_rank(offering, self.health.cost(offering, now))
        accepted = time_left > self.MIN_TIME_LEFT_SECONDS and not self.overload.should_shed(rank, self.rng)
        return None if accepted else self._retry_after(offering)

    def on_push_ended(
        self, now: float, id: str, number: int, outcome: Outcome, elapsed: float, final: bool,
        report: api.LoadReport = api.NO_REPORT,
    ) -> None:  # fmt: skip
        """A push ended after `elapsed` seconds; `final`: its client has its answer or is gone."""
        active = self.active.get(id)
        if active is None or number >= len(active.pushes) or active.pushes[number].outcome is not None:
            return
        push, stats = active.pushes[number], self.health.stats_of(active.pushes[number].backend)
        push.outcome = outcome
        if report.cpu_utilization is not None:
            self.health.cpu_utilization.add(report.cpu_utilization, now)
            stats.cpu_utilization, stats.cpu_reported_at = report.cpu_utilization, now
        active.in_flight -= 1
        if outcome is Outcome.NOT_SENT and number:
            self.retry_budget.extra_pushes.add(-1, push.sent_at, now)
        timed_out = outcome is Outcome.TIMED_OUT
        # An ejected backend, or a lost response, says nothing of how much load the others sustain.
        unrelated = (
            self.limits.probes_per_invocation
            and stats.ejection_cause
            or timed_out
            and push.overtaken >= HealthTracker.LOST_OVERTAKES
        )
        if (outcome is Outcome.COMPLETED or timed_out) and not (
            unrelated or self.health.dependency_delay(active, now)
        ):
            late_after_seconds = push.cost + self.admission.late_share * active.offering.target_time
            late = (timed_out or elapsed > late_after_seconds) and not self.health.cpu_idle(now)
            self.admission.on_push_ended(late, self.in_flight, now)
        self._release(push, now)
        cause = self.health.on_push_ended((id, number), push, active.offering, now)
        self._on_readmitted(push.backend, cause, now)
        if final and not active.answered:
            active.answered = True
            self._cancel_pushes(active)
        if not active.answered and not active.in_flight:
            self._push_again(active, now)
        self._forget_if_done(active)

    def on_answer_started(self, now: float, id: str, number: int) -> None:
        """The client is receiving the answer: from now on the push is neither hedged nor moved."""
        if id in self.active:
            self.active[id].next_check_at = inf

    def on_client_gone(self, now: float, id: str) -> None:
        """The client has left: cancel what is in flight for it."""
        if (active := self.active.get(id)) is not None:
            active.answered = True
            self._cancel_pushes(active)
            self._forget_if_done(active)

    def on_lost(self, now: float, id: str) -> None:
        """Forget an invocation that its host has ended; its pushes would look like a hung backend."""
        active = self.active.pop(id, None)
        for number, push in enumerate(active.pushes if active else ()):
            stats = self.health.stats_of(push.backend)
            if stats.in_flight.pop((id, number), None):
                stats.outstanding_work = stats.outstanding_work - push.cost if stats.in_flight else 0.0
            self._release(push, now)

    def on_probe_ended(self, now: float, id: str, outcome: Outcome, report: api.LoadReport) -> None:
        """A probe of the backend `id` ended, with a load report or `NO_REPORT`."""
        backend = self.registry.backends.get(id)
        if backend is not None:
            self.health.on_report(backend, report, now)
            self._on_readmitted(backend, self.health.on_probe_ended(backend, outcome, now), now)

    def on_timer(self, now: float, name: str) -> None:
        """A timer set through the host is due."""
        if name == "sweep":
            self.sweep_pending = False
            self._sweep(now)
            self._schedule_sweep()
        elif name == "interval":
            self.host.set_timer(self.REBUILD_SECONDS, "interval")
            self._rebuild(now)
            self._probe_ejected(now)
        elif name == "watch":
            self._watch_list(now)

    def may_push(self, active: ActiveInvocation, backend: Backend, now: float) -> bool:
        """Whether the rules allow pushing this invocation to this backend now."""
        # With a stale list this node may not know of drains that it must already respect: it pushes nowhere.
        if (
            active.answered
            or not backend.usable
            or now >= min(active.cut_off - self.MIN_TIME_LEFT_SECONDS, self.list_stale_at)
        ):
            return False
        max_pushes = 1 if active.invocation.streaming else self.limits.max_pushes  # a sent body is not kept
        concurrent = active.in_flight and not self.limits.hedging
        if active.pushes and (
            concurrent or len(active.pushes) >= max_pushes or not self.retry_budget.allows(now)
        ):
            return False
        scope, deadline = active.offering.dedup_scope, active.push_deadline
        elsewhere = deadline < inf and backend.dedup_domain(
            scope
        ) != active.dedup_origin_push.backend.dedup_domain(scope)
        if now >= deadline - self.MIN_TIME_LEFT_SECONDS or elsewhere:
            return False
        return backend.ramp_start is None or self._cold_budget_allows(backend, active.cost, now)

    def may_nack(self, active: ActiveInvocation) -> bool:
        """Whether a nack, which tells the client that a repeat is harmless, would be true."""
        dedup_anywhere = (
            active.offering.idempotency is Idempotency.TAGGED and active.offering.dedup_scope == "all"
        )
        return not active.answered and (dedup_anywhere or active.push_deadline == inf)

    def _cold_rate(self, backend: Backend, now: float) -> float:
        """Seconds of work per second that this node may push to a backend in slow start."""
        largest = max((entry.backend.weight or 1.0 for entry in self.rotation.entries), default=1.0) or 1.0
        size = 1.0 if backend.weight is None else min(1.0, (backend.weight or largest) / largest)
        # Half of the ramp's capacity, since costs vary and the ramp may run at up to twice the certain one.
        # At most three quarters of the certain capacity (N pushes): where many nodes admit pushes at random,
        # their total is Poisson-like with mean M and deviation sqrt(M). With M = 0.75 N, for any N, about
        # four deviations above M stay within N + 2*sqrt(N) + 2, which the backend can take.
        half = 0.5 * self.slow_start.ratio(backend, now)
        return (
            min(half, 0.75 * max(half, self.slow_start.initial_ratio))
            * self.slow_start_rule.overload_multiple
            * size
            / self.nodes
        )

    def _cold_budget_allows(self, backend: Backend, cost: float, now: float) -> bool:
        """Whether `cost` fits into this node's cold rate over the rule's window, or the window is empty."""
        sent = self.health.stats_of(backend).cold_pushes
        while sent and sent[0][0] <= now - self.slow_start_rule.overload_window:
            sent.popleft()
        spent = sum(spent for _, spent in sent) + cost
        return not sent or spent <= self._cold_rate(backend, now) * self.slow_start_rule.overload_window

    def _admits_cold(self, backend: Backend, share: float, cost: float, now: float) -> bool:
        """Admit pushes to a backend in slow start at random where this node's cold rate is too low for one.

        Otherwise the first pushes of hundreds of nodes would overload it. `share` is the fraction of all
        traffic that would reach it.
        """
        part, frequency = (
            self._cold_rate(backend, now),
            max(self._arrival_rate(now), share / self.slow_start_rule.overload_window) * share,
        )
        return (
            part * self.slow_start_rule.overload_window >= cost or self.rng.random() * cost * frequency < part
        )

    def _arrival_rate(self, now: float) -> float:
        """Invocations a second, corrected for a node that has only just started to count them."""
        return self.admission.arrival_rate(now) / (
            1.0 - exp(min(self.started_at - now, -0.05) / AdmissionControl.MAX_SPAN_SECONDS)
        )

    def _watch_list(self, now: float) -> None:
        self.list_stale_at = min(now + self.must_ask_in, self.silence_stale_at)
        self.host.watch_list()

    def _push(self, active: ActiveInvocation, backend: Backend | None, now: float) -> None:
        if backend is None or not self.may_push(active, backend, now):
            self._give_up(active, now)
            return
        stats, deadline = (
            self.health.stats_of(backend),
            active.push_deadline - self.MIN_TIME_LEFT_SECONDS,
        )
        queued_work = self.health.expected_work(stats, active.cost, now) - active.cost
        idle = stats.outstanding_work < 0.1 * active.cost and stats.others_in_flight < 1.0
        push = Push(backend, now, active.cost, queued_work, idle)
        push.labels, push.dependency_delay = active.labels, self.health.dependency_delay(active, now)
        active.dedup_origin_push = push if deadline == inf else active.dedup_origin_push
        self.retry_budget.extra_pushes.add(1 if active.pushes else 0, now, now)
        active.pushes.append(push)
        active.in_flight += 1
        self.admission.update_mean(self.in_flight, now)
        self.in_flight += 1
        active.moving = False
        # Most answers arrive within twice the expected wait and a tenth of a second.
        active.next_check_at = (
            now + 2.0 * (self.health.expected_wait(backend, active.cost, now) + push.dependency_delay) + 0.1
        )
        if not active.invocation.streaming:
            stats.add_push(active, push)
        if backend.ramp_start is not None:
            stats.cold_pushes.append((now, active.cost))
        if stats.ejection_cause:
            stats.trial_in_flight = True
        self.host.push(active.invocation.id, backend.id, active.cut_off - now, deadline - now)
        self._schedule_sweep()

    def _pick(self, active: ActiveInvocation, now: float) -> Backend | None:
        tried = {push.backend.id for push in active.pushes}
        panic = self.health.in_panic(self.rotation.entries)

        def allowed(backend: Backend) -> bool:
            if backend.id in tried or not self.health.pickable(backend, now, panic):
                return False
            return self.may_push(active, backend, now)

        # The price of crossing zones must not cause nacks or late answers while another zone has room.
        cross_zone = (
            0.0 if self.admission.congested(now) else self.CROSS_ZONE_SHARE * active.offering.target_time
        )

        def wait(backend: Backend) -> float:
            return self.health.expected_wait(backend, active.cost, now) + (
                cross_zone if backend.zone != self.zone else 0.0
            )

        return self.rotation.pick(
            allowed, wait, lambda backend, share: self._admits_cold(backend, share, active.cost, now)
        )

    def _trial_backend(self, active: ActiveInvocation, now: float) -> Backend | None:
        """An ejected backend that is due for a trial with this invocation, which must be repeatable."""
        if (
            not self.health.ejected_count
            or active.offering.idempotency is not Idempotency.REPEATABLE
            or self.limits.probes_per_invocation
        ):
            return None
        due = (entry.backend for entry in self.rotation.entries if self.health.trial_due(entry.backend, now))
        return next((backend for backend in due if self.may_push(active, backend, now)), None)

    def _push_again(self, active: ActiveInvocation, now: float) -> None:
        """Retry when nothing is in flight and no answer came, or give up at once if that is not allowed."""
        self._push(active, self._pick(active, now) if self.retry_policy.allows(active) else None, now)

    def _give_up(self, active: ActiveInvocation, now: float) -> None:
        if active.in_flight or active.answered:
            return
        if self.may_nack(active):
            self.host.nack(active.invocation.id, self._retry_after(active.offering))
        else:
            self.host.terminate(active.invocation.id)
        active.answered = True
        self._forget_if_done(active)

    def _retry_after(self, offering: Offering) -> float:
        """Seconds until the client may retry, at random, so that clients do not retry in step.

        Long enough for a queue to shrink, short enough for an answer that is late but still counts.
        """
        return min(offering.target_time * (0.25 + 0.5 * self.rng.random()), self.limits.max_retry_after)

    def _cancel_pushes(self, active: ActiveInvocation) -> None:
        if active.in_flight and self.limits.cancellation:
            for number, push in enumerate(active.pushes):
                if push.outcome is None:
                    self.host.cancel(active.invocation.id, number)

    def _forget_if_done(self, active: ActiveInvocation) -> None:
        if active.answered and not active.in_flight:
            self.active.pop(active.invocation.id, None)

    def _release(self, push: Push, now: float) -> None:
        """Stop counting a push against the concurrency limit."""
        if push.counted:
            self.admission.update_mean(self.in_flight, now)
            self.in_flight -= 1
            push.counted = False

    def _schedule_sweep(self) -> None:
        """Sweep only while there is work: sweeps of hundreds of idle nodes cost more than the decisions."""
        if self.active and not self.sweep_pending:
            self.sweep_pending = True
            self.host.set_timer(self.SWEEP_SECONDS, "sweep")

    def _sweep(self, now: float) -> None:
        self.health.eject_silent([entry.backend for entry in self.rotation.entries], now)
        for active in list(self.active.values()):
            for push in active.pushes:
                # A few hung backends must not use up the concurrency limit for all others.
                hung = (
                    self.limits.probes_per_invocation
                    and self.health.stats_of(push.backend).ejection_cause == "hung"
                )
                # A push that waits on a dependency uses no core: it is released when it would have been
                # answered without that wait.
                max_seconds = (
                    push.queued_work + push.cost if push.dependency_delay else active.offering.target_time
                )
                if push.counted and (hung or now - push.sent_at > max_seconds):
                    self._release(push, now)
            if (
                now >= active.next_check_at
                and active.in_flight == 1
                and not active.answered
                and not active.moving
            ):
                self._hedge_or_move(active, now)
        self._probe_ejected(now)

    def _probe_ejected(self, now: float) -> None:
        for entry in self.rotation.entries if self.limits.probes and self.health.ejected_count else ():
            stats = self.health.stats_of(entry.backend)
            by_probe = stats.ejection_cause in ("dead", "hung") or self.limits.probes_per_invocation
            if by_probe and self.health.trial_due(entry.backend, now):
                stats.trial_in_flight = True
                self.host.probe(entry.backend.id)

    def _probe_for_load(self, now: float) -> None:
        """Probe the backends that are next in turn and lack a fresh load report, as far as tokens allow."""
        self.probe_tokens = min(
            self.probe_tokens + self.limits.probes_per_invocation,
            max(2.0 * self.limits.probes_per_invocation, 1.0),
        )
        for entry in self.rotation.entries if self.probe_tokens >= 1.0 else ():
            stats = self.health.stats_of(entry.backend)
            if (
                stats.probe_sent_at is None
                and not stats.ejection_cause
                and now - stats.reported_at > self.FRESH_REPORT_SECONDS
                and self.probe_tokens >= 1.0
            ):
                self.probe_tokens, stats.probe_sent_at = self.probe_tokens - 1.0, now
                self.host.probe(entry.backend.id)

    def _hedge_or_move(self, active: ActiveInvocation, now: float) -> None:
        """Hedge a push that takes long at a silent backend, or cancel it in order to push elsewhere."""
        number, push = next((n, push) for n, push in enumerate(active.pushes) if push.outcome is None)
        stats, offering = self.health.stats_of(push.backend), active.offering
        may_retry = self.retry_policy.allows(active) and self.retry_budget.allows(now)
        if stats.last_response_at > push.sent_at and not stats.ejection_cause or not may_retry:
            return
        if self.limits.hedging and offering.idempotency is not Idempotency.ONCE_ONLY:
            backend = None if self.admission.congested(now) else self._pick(active, now)
            if backend is not None:
                self._push(active, backend, now)
            return
        if self.limits.probes_per_invocation and not stats.ejection_cause:
            # A healthy backend goes on with the work of a push that was moved off it; only a probe that stays
            # unanswered shows that the backend is silent.
            if stats.probe_sent_at is None:
                stats.probe_sent_at = now
                self.host.probe(push.backend.id)
            if now - stats.probe_sent_at < HealthTracker.PROBE_SILENCE_SECONDS:
                return
        anywhere = offering.idempotency is Idempotency.REPEATABLE or offering.dedup_scope == "all"
        if self.limits.cancellation and anywhere and now < active.push_deadline - 4.0 * self.SWEEP_SECONDS:
            active.moving = True
            self.host.cancel(active.invocation.id, number)

    def _on_readmitted(self, backend: Backend, cause: str, now: float) -> None:
        if cause:
            stats = self.health.stats_of(backend)
            # Slow start only if a connection was refused, as a restarting process does: broken connections
            # alone do not show a new process.
            self.registry.on_readmitted(
                backend, stats.ejected_at, cause == "dead" and stats.connect_failed, now
            )
            stats.connect_failed = False
            self._rebuild(now)

    def _rebuild(self, now: float) -> None:
        usable, rate = self.registry.usable, self.admission.arrival_rate(now)
        backends = self.subset.select(usable, rate, lambda backend: self.health.pickable(backend, now))
        self.health.set_memory(backends, rate)
        for backend in usable:
            if backend.delisted and self.health.stats_of(backend).ejection_cause == "dead":
                self.registry.remove(backend, now, dead=True)
            if backend.ramp_start is not None and now - backend.ramp_start >= self.slow_start.duration:
                backend.ramp_start = None
        self.rotation.rebuild(backends, lambda backend: self.slow_start.ratio(backend, now))
        self.admission.resize(self._backend_share(rate, now), now)

    def _backend_share(self, rate: float, now: float) -> float:
        """Number of backends that fall to this node; 0 while it is unknown.

        An even split, or in proportion to the node's traffic where load reports come.
        """
        even, usual_in_flight = len(self.registry.usable) / self.nodes, self.health.usual_in_flight.read(now)
        if not (self.limits.probes_per_invocation and usual_in_flight and now > self.started_at):
            return 0.0 if self.limits.probes_per_invocation else even
        return max(
            self._arrival_rate(now) * self.health.response_time.read(now) / usual_in_flight, 0.25 * even
        )
