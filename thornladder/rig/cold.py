"""Simulation of a fleet of decision modules and one backend in slow start, in virtual time.

Every process runs the real `decide.Node`; the processes share nothing but the list and the backends.
`run_ramp` runs one slow start and records when each attempt was sent to the cold backend. How many attempts
it may get in a window follows from the settings alone: the overload multiple of the work that the lowest
capacity possible at its age can do (`Fleet.allowed_calls`).
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from math import sqrt
from random import Random
from typing import Any

from thornladder import decide
from thornladder.interface import (
    Entry,
    Idempotency,
    Invocation,
    Limits,
    ListKind,
    Offering,
    Outcome,
    SlowStartRule,
    State,
)

# The operators' terms attribute to chance what exceeds N calls by up to twice the square root of N, plus two.
TOLERANCE_SQRT_FACTOR, TOLERANCE_CALLS = 2.0, 2.0


def tolerated_calls(calls: float) -> float:
    """The most calls that all processes together may send where the settings allow `calls`."""
    return calls + TOLERANCE_SQRT_FACTOR * sqrt(calls) + TOLERANCE_CALLS


@dataclass(frozen=True)
class Ramp:
    """A scenario of one slow start. All times are in seconds."""

    seed: int
    processes: int = 30
    backends: int = 20  # warm ones
    lost: int = 0  # warm backends that are removed as the cold one is listed
    load: float = 0.7  # offered load, as a part of the capacity of all warm backends
    work: float = 0.05  # mean work of a request
    spread: float = 1.0  # standard deviation of the work of a request, as a part of its mean
    uneven: float = 0.0  # the busiest process gets 1 + this times the traffic of the least busy one
    notice: float = 0.0  # within this time of its start all processes learn of the cold backend
    share: float = 0.2  # of its capacity that the cold backend has at first
    warm_up: float = 12.0
    multiple: float = 3.0  # the overload multiple
    overload_window: float = 1.0
    errors: float = 0.0  # part of the attempts that a warm backend rejects; they are retried elsewhere
    restarts: int = 0  # processes that are replaced during the ramp
    pairs: int = 0  # processes that run twice, as the old and the new one do in an upgrade


class _ProcessHost:
    """The host of one decision module, whose requests the fleet carries out."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.alive = True
        self.node: decide.Node

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        self.fleet.on_push(self, invocation, backend)

    def set_timer(self, delay: float, name: str) -> None:
        self.fleet.schedule(delay, lambda: self.alive and self.node.on_timer(self.fleet.now, name))

    def nack(self, invocation: str, retry_after: float) -> None:
        self.fleet.rejected_count += 1

    def __getattr__(self, name: str) -> Callable[..., None]:
        # Cancels and probes have no effect, and the list is delivered without being asked for.
        return lambda *args: None


class Fleet:
    """The processes, their clients and the backends. All times are in seconds of virtual time."""

    LEARNING_SECONDS = 8.0  # traffic before the cold backend is listed, to learn costs and concurrency limits

    def __init__(self, ramp: Ramp) -> None:
        self.ramp, self.rng = ramp, Random(ramp.seed)
        self.now, self.ids, self.events = 0.0, count(), []
        self.rejected_count = self.invocation_count = 0
        self.cold_attempt_times: list[float] = []  # when each attempt was sent to the cold backend
        self.busy_until: dict[str, float] = {}  # when a warm backend has worked off its queue
        self.attempts: dict[tuple[int, str], int] = {}  # so far, by process and invocation
        names = [f"b{number:03}" for number in range(ramp.backends)]
        self.warm_entries = [
            Entry(name, State.RUNNING, "x", n, 1.0, None, "m") for n, name in enumerate(names)
        ]
        self.cold_entry = Entry("cold", State.RUNNING, "x", 0, 1.0, self.LEARNING_SECONDS, "m")
        self.offering = Offering("look", Idempotency.REPEATABLE, "all", 0.0, 10.0 * ramp.work, 3.0, 1.0, 0.2)
        weights = [1.0 + ramp.uneven * (n / max(ramp.processes - 1, 1)) ** 4 for n in range(ramp.processes)]
        total = sum(weights)
        rate = ramp.load * ramp.backends / ramp.work
        self.hosts: list[_ProcessHost] = []
        for number, weight in enumerate(weights):
            hosts = [self._start_process(number) for _ in range(2 if number < ramp.pairs else 1)]
            self._start_arrivals(hosts, rate * weight / total)

    @property
    def cold_start_at(self) -> float:
        """When the cold backend starts."""
        return self.LEARNING_SECONDS

    @property
    def duration(self) -> float:
        """How long the ramp is observed."""
        return max(0.5 * self.ramp.warm_up, 1.0)

    def schedule(self, delay: float, callback: Callable[[], Any]) -> None:
        """Calls `callback` after `delay` seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.ids), callback))

    def _start_process(self, number: int) -> _ProcessHost:
        ramp, host = self.ramp, _ProcessHost(self, number)
        limits = Limits(3, False, False, False, 0.5)
        slow_start = SlowStartRule(ramp.share, ramp.warm_up, ramp.multiple, ramp.overload_window)
        processes_per_node = 2 if number < ramp.pairs else 1
        host.node = decide.Node(
            host, seed=self.rng.getrandbits(32), now=self.now, zone="x", rank=number,
            nodes=ramp.processes * processes_per_node, offerings=[self.offering], tenants=[],
            over_share_worth=0.1, utility_by_work=False, limits=limits, cold=slow_start, must_ask_in=0.0,
        )  # fmt: skip
        entries = (
            self.warm_entries
            if self.now < self.LEARNING_SECONDS
            else [*self.warm_entries[self.ramp.lost :], self.cold_entry]
        )
        host.node.on_list(self.now, ListKind.RESTORED, entries)
        self.hosts.append(host)
        return host

    def _start_arrivals(self, hosts: list[_ProcessHost], rate: float) -> None:
        """Starts a Poisson process of invocations at the processes of one node, and its restart if any."""

        def arrive() -> None:
            alive = [host for host in hosts if host.alive]
            host = alive[self.rng.randrange(len(alive))]
            self.invocation_count += 1
            id = f"i{next(self.ids)}"
            self.attempts[host.number, id] = 0
            host.node.on_invocation(self.now, Invocation(id, "look", "", 3.0, None, False))
            self.schedule(self.rng.expovariate(rate), arrive)

        def replace() -> None:
            hosts[0].alive = False
            hosts[0] = self._start_process(hosts[0].number)

        self.schedule(self.rng.expovariate(rate), arrive)
        if hosts[0].number < self.ramp.restarts:
            self.schedule(self.LEARNING_SECONDS + self.rng.uniform(0.2, 0.8) * self.duration, replace)

    def _draw_work(self) -> float:
        """The work of a request, gamma-distributed."""
        spread = self.ramp.spread
        if not spread:
            return self.ramp.work
        shape = 1.0 / spread**2
        return self.rng.gammavariate(shape, self.ramp.work / shape)

    def on_push(self, host: _ProcessHost, id: str, backend: str) -> None:
        """Sends an attempt to a backend and schedules its end."""
        key = host.number, id
        number = self.attempts[key]
        self.attempts[key] += 1
        outcome, latency = Outcome.COMPLETED, 0.001
        if backend == "cold":
            self.cold_attempt_times.append(self.now)
            latency = self._draw_work() / max(self.ramp.share, 0.2)
        elif self.rng.random() < self.ramp.errors:
            outcome = Outcome.REJECTED
        else:
            # Each backend has one queue and two cores.
            work = self._draw_work()
            self.busy_until[backend] = max(self.busy_until.get(backend, 0.0), self.now) + 0.5 * work
            latency = self.busy_until[backend] - self.now + 0.5 * work

        def end() -> None:
            if host.alive:
                host.node.on_push_ended(self.now, id, number, outcome, latency, outcome is Outcome.COMPLETED)

        self.schedule(latency, end)

    def run(self) -> Fleet:
        """Runs the ramp to its end and returns the fleet."""

        def list_update(host: _ProcessHost) -> Callable[[], None]:
            removed = [entry._replace(state=State.GONE) for entry in self.warm_entries[: self.ramp.lost]]
            return lambda: (
                host.alive and host.node.on_list(self.now, ListKind.DELTA, [self.cold_entry, *removed])
            )

        for host in list(self.hosts):
            self.schedule(self.LEARNING_SECONDS + self.ramp.notice * self.rng.random(), list_update(host))
        end = self.LEARNING_SECONDS + self.duration
        while self.events and self.events[0][0] < end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        return self

    def allowed_calls(self, at: float) -> float:
        """How many calls of mean work the settings allow in the overload window that ends at `at`: N."""
        age = max(at - self.LEARNING_SECONDS, 0.0)
        capacity = min(max(self.ramp.share, age / self.ramp.warm_up), 1.0)
        return self.ramp.multiple * capacity * self.ramp.overload_window / self.ramp.work

    def peak_window(self) -> tuple[float, float]:
        """The most calls in any overload window, as a part of N and as a part of the tolerated calls."""
        window: deque[float] = deque()
        peak_of_limit = peak_of_tolerated = 0.0
        for at in self.cold_attempt_times:
            window.append(at)
            while window[0] <= at - self.ramp.overload_window:
                window.popleft()
            calls = self.allowed_calls(window[0])  # N as of the oldest call, its strictest value
            peak_of_limit, peak_of_tolerated = (
                max(peak_of_limit, len(window) / calls),
                max(peak_of_tolerated, len(window) / tolerated_calls(calls)),
            )
        return peak_of_limit, peak_of_tolerated

    def mean_utilization(self) -> float:
        """Calls during the ramp, as a part of what N allows over it."""
        steps = 100
        mean_allowed = (
            sum(self.allowed_calls(self.LEARNING_SECONDS + self.duration * n / steps) for n in range(steps))
            / steps
        )
        return len(self.cold_attempt_times) / (mean_allowed * self.duration / self.ramp.overload_window)


def run_ramp(ramp: Ramp) -> Fleet:
    """Runs one ramp in virtual time."""
    return Fleet(ramp).run()
