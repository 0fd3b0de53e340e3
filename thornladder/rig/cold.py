"""A fleet of decision modules in virtual time round one backend that starts cold: what all send it together.

The real module, an instance for each process, nothing shared between them but the list and the backends.
`run_ramp` runs one ramp and counts every attempt on the cold backend by when it was sent; what it may be sent
is the settings' figure alone: so many times what the surest capacity of its age carries (`allowed_calls`).
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

SPARE, MORE = 2.0, 2.0  # of the terms: put down to chance beyond N calls are twice the root of N, and two


def tolerated_calls(calls: float) -> float:
    """The most that all processes together may send where the settings allow `calls`."""
    return calls + SPARE * sqrt(calls) + MORE


@dataclass(frozen=True)
class Ramp:
    """One ramp in data; times in seconds."""

    seed: int
    processes: int = 30
    backends: int = 20  # warm ones
    lost: int = 0  # of them, gone for good as the cold one comes
    load: float = 0.7  # of what all the warm backends carry
    work: float = 0.05  # of a request on the mean
    spread: float = 1.0  # of a request's work, its standard deviation in parts of the mean
    uneven: float = 0.0  # of traffic: the busiest process gets so many times the mean more
    notice: float = 0.0  # within which the processes learn of the backend
    share: float = 0.2  # of its capacity that it starts with
    warm_up: float = 12.0
    multiple: float = 3.0
    span: float = 1.0
    errors: float = 0.0  # of attempts that a warm backend turns away: they go on to another
    restarts: int = 0  # processes that are replaced amid the ramp
    pairs: int = 0  # processes of which a second one runs beside the first, as in an upgrade


class _Host:
    """What one module asks for, done by the fleet."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.alive = True
        self.node: decide.Node

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        self.fleet.sent(self, invocation, backend)

    def set_timer(self, delay: float, name: str) -> None:
        self.fleet.at(delay, lambda: self.alive and self.node.on_timer(self.fleet.now, name))

    def nack(self, invocation: str, retry_after: float) -> None:
        self.fleet.rejected_count += 1

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *given: None  # the list is told unasked; nothing is cancelled or probed


class Fleet:
    BEFORE = 8.0  # seconds of traffic before the backend comes: costs and rooms are learned

    def __init__(self, ramp: Ramp) -> None:
        self.ramp, self.chance = ramp, Random(ramp.seed)
        self.now, self.ids, self.events = 0.0, count(), []
        self.rejected_count = self.invocation_count = 0
        self.cold_attempt_times: list[float] = []  # when the cold backend was sent an attempt
        self.busy: dict[str, float] = {}  # until when each backend's work lasts
        self.attempts: dict[tuple[int, str], int] = {}
        names = [f"b{number:03}" for number in range(ramp.backends)]
        self.warm = [Entry(name, State.RUNNING, "x", n, 1.0, None, "m") for n, name in enumerate(names)]
        self.cold = Entry("cold", State.RUNNING, "x", 0, 1.0, self.BEFORE, "m")
        self.offering = Offering("look", Idempotency.REPEATABLE, "all", 0.0, 10.0 * ramp.work, 3.0, 1.0, 0.2)
        weights = [1.0 + ramp.uneven * (n / max(ramp.processes - 1, 1)) ** 4 for n in range(ramp.processes)]
        total = sum(weights)
        rate = ramp.load * ramp.backends / ramp.work
        self.hosts: list[_Host] = []
        for number, weight in enumerate(weights):
            hosts = [self._start(number) for _ in range(2 if number < ramp.pairs else 1)]
            self._arrivals(hosts, rate * weight / total)

    @property
    def cold_start_at(self) -> float:
        return self.BEFORE

    @property
    def length(self) -> float:
        """Seconds that the ramp takes."""
        return max(0.5 * self.ramp.warm_up, 1.0)

    def at(self, delay: float, what: Callable[[], Any]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.ids), what))

    def _start(self, number: int) -> _Host:
        ramp, host = self.ramp, _Host(self, number)
        limits = Limits(3, False, False, False, 0.5)
        cold = SlowStartRule(ramp.share, ramp.warm_up, ramp.multiple, ramp.span)
        pair = 2 if number < ramp.pairs else 1
        host.node = decide.Node(
            host, seed=self.chance.getrandbits(32), now=self.now, zone="x", rank=number,
            nodes=ramp.processes * pair, offerings=[self.offering], tenants=[], over_share_worth=0.1,
            utility_by_work=False, limits=limits, cold=cold, must_ask_in=0.0,
        )  # fmt: skip
        known = self.warm if self.now < self.BEFORE else [*self.warm[self.ramp.lost :], self.cold]
        host.node.on_list(self.now, ListKind.RESTORED, known)
        self.hosts.append(host)
        return host

    def _arrivals(self, hosts: list[_Host], rate: float) -> None:
        def come() -> None:
            alive = [host for host in hosts if host.alive]
            host = alive[self.chance.randrange(len(alive))]
            self.invocation_count += 1
            id = f"i{next(self.ids)}"
            self.attempts[host.number, id] = 0
            host.node.on_invocation(self.now, Invocation(id, "look", "", 3.0, None, False))
            self.at(self.chance.expovariate(rate), come)

        def replace() -> None:
            hosts[0].alive = False
            hosts[0] = self._start(hosts[0].number)

        self.at(self.chance.expovariate(rate), come)
        if hosts[0].number < self.ramp.restarts:
            self.at(self.BEFORE + self.chance.uniform(0.2, 0.8) * self.length, replace)

    def _work(self) -> float:
        spread = self.ramp.spread
        if not spread:
            return self.ramp.work
        shape = 1.0 / spread**2
        return self.chance.gammavariate(shape, self.ramp.work / shape)

    def sent(self, host: _Host, id: str, backend: str) -> None:
        key = host.number, id
        number = self.attempts[key]
        self.attempts[key] += 1
        outcome, took = Outcome.COMPLETED, 0.001
        if backend == "cold":
            self.cold_attempt_times.append(self.now)
            took = self._work() / max(self.ramp.share, 0.2)
        elif self.chance.random() < self.ramp.errors:
            outcome = Outcome.REJECTED
        else:
            # One queue for each, worked through by two cores.
            work = self._work()
            self.busy[backend] = max(self.busy.get(backend, 0.0), self.now) + 0.5 * work
            took = self.busy[backend] - self.now + 0.5 * work

        def end() -> None:
            if host.alive:
                host.node.on_push_ended(self.now, id, number, outcome, took, outcome is Outcome.COMPLETED)

        self.at(took, end)

    def run(self) -> Fleet:
        def comes(host: _Host) -> Callable[[], None]:
            gone = [entry._replace(state=State.GONE) for entry in self.warm[: self.ramp.lost]]
            return lambda: host.alive and host.node.on_list(self.now, ListKind.DELTA, [self.cold, *gone])

        for host in list(self.hosts):
            self.at(self.BEFORE + self.ramp.notice * self.chance.random(), comes(host))
        end = self.BEFORE + self.length
        while self.events and self.events[0][0] < end:
            self.now, _, what = heapq.heappop(self.events)
            what()
        return self

    def allowed_calls(self, at: float) -> float:
        """How many calls of mean work the settings allow in the span that ends then: N."""
        age = max(at - self.BEFORE, 0.0)
        capacity = min(max(self.ramp.share, age / self.ramp.warm_up), 1.0)
        return self.ramp.multiple * capacity * self.ramp.span / self.ramp.work

    def peak_window(self) -> tuple[float, float]:
        """The most calls in any span, as a part of N and as a part of what is tolerated."""
        window: deque[float] = deque()
        used = most = 0.0
        for at in self.cold_attempt_times:
            window.append(at)
            while window[0] <= at - self.ramp.span:
                window.popleft()
            calls = self.allowed_calls(window[0])  # the strictest: as of the first of them
            used, most = max(used, len(window) / calls), max(most, len(window) / tolerated_calls(calls))
        return used, most

    def mean_utilization(self) -> float:
        """Calls in the ramp, as a part of what N allows over it."""
        steps = 100
        whole = sum(self.allowed_calls(self.BEFORE + self.length * n / steps) for n in range(steps)) / steps
        return len(self.cold_attempt_times) / (whole * self.length / self.ramp.span)


def run_ramp(ramp: Ramp) -> Fleet:
    return Fleet(ramp).run()
