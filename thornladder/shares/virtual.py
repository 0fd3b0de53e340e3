"""Simulation of budgets in virtual time: unmodified cores, the rig's faults, and clocks that drift.

It records every spent unit independently of the cores and checks the budget's limit by that record.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from thornladder.rig.faults import Fault, LinkConditions, NodeAction, VirtualProcess, node_actions
from thornladder.shares.core import MAX_CLOCK_DRIFT, Budget, Core
from thornladder.shares.wire import Message

Demand = Callable[[str, float], float]  # units per second that a node could use, by its name and the time


class SimulatedNode(VirtualProcess):
    """A node with a clock of its own."""

    def __init__(self, name: str, clock_rate: float, clock_offset: float) -> None:
        super().__init__()
        self.name, self.clock_rate, self.clock_offset = name, clock_rate, clock_offset
        self.spent_units = self.refused_units = 0

    def local_time(self, now: float) -> float:
        """What the node's clock shows at `now`."""
        return self.clock_offset + now * self.clock_rate


class Simulation:
    """A fleet with one budget, driven by a queue of events. All times are in seconds of virtual time."""

    def __init__(
        self, names: Sequence[str], budget: Budget, faults: Sequence[Fault], seed: int,
        demand: Demand | None = None, make: Callable[..., Any] = Core,
    ) -> None:  # fmt: skip
        """`make` creates the core of a process; without `demand` no unit is spent."""
        self.names, self.budget, self.demand, self.make = list(names), budget, demand, make
        self.rng = Random(seed)
        self.link_conditions = LinkConditions(faults)
        max_rate_error = 0.49 * MAX_CLOCK_DRIFT  # of one clock, so that two differ by MAX_CLOCK_DRIFT at most
        self.nodes = {}
        for name in names:
            rate, offset = (
                1.0 + self.rng.uniform(-max_rate_error, max_rate_error),
                self.rng.uniform(0.0, 1e4),
            )
            self.nodes[name] = SimulatedNode(name, rate, offset)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.event_numbers = itertools.count()
        self.dead_usage: list[tuple[float, int]] = []  # of killed processes: end of the window, units in use
        self.recent_spends: deque[float] = deque()  # times within the last window
        self.max_in_window = 0
        self.breaches: list[str] = []
        self.spends_by_second: dict[int, int] = {}
        for name in names:
            self.start(name)
        for action in node_actions(faults, self.rng):
            self.schedule(action.at, self._apply_node_action, action)

    def schedule(self, at: float, callback: Callable[..., None], *args: Any) -> None:
        """Calls `callback` at the time `at`."""
        heapq.heappush(self.events, (at, next(self.event_numbers), callback, args))

    def run(self, until: float) -> None:
        """Runs the events up to the time `until`, or up to the first breach."""
        while self.events and self.events[0][0] <= until and not self.breaches:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.now = until

    def start(self, name: str) -> None:
        """Starts a process of the node unless one runs."""
        node = self.nodes[name]
        if node.core is not None:
            return
        rng = Random(self.rng.getrandbits(64))
        node.core = self.make(name, self.names, [self.budget], rng, node.local_time(self.now))
        node.stopped, node.pending_calls = False, []
        self._schedule_wake(node, node.core)
        if self.demand is not None:
            self.schedule(self.now + self.rng.random() * 0.1, self._arrive, node, node.core)

    def _schedule_wake(self, node: SimulatedNode, core: Any) -> None:
        delay = max((core.next_wake_at - node.local_time(self.now)) / node.clock_rate, 1e-6)
        self.schedule(self.now + delay, self._wake, node, core)

    def _is_blocked(self, node: SimulatedNode, core: Any, callback: Callable[..., None], *args: Any) -> bool:
        """Whether the process is gone, or stopped; `callback` is then called once it goes on."""
        if node.core is not core:
            return True
        if node.stopped:
            node.pending_calls.append((callback, args))
        return node.stopped

    def _wake(self, node: SimulatedNode, core: Any) -> None:
        if not self._is_blocked(node, core, self._wake, node, core):
            core.wake(node.local_time(self.now))
            self._perform_actions(node, core)
            self._schedule_wake(node, core)

    def _deliver(self, node: SimulatedNode, core: Any, message: Message) -> None:
        if not self._is_blocked(node, core, self._deliver, node, core, message):
            core.on_message(node.local_time(self.now), message)
            self._perform_actions(node, core)

    def _perform_actions(self, node: SimulatedNode, core: Any) -> None:
        for action in core.take_actions():
            target = self.nodes[action.target]
            if target is node:
                self._deliver(node, core, action.message)
                continue
            size = 60 + 4 * len(action.message.parts)
            for delay in self.link_conditions.datagram_delays(
                self.now, node.name, action.target, size, self.rng
            ):
                if target.core is not None:
                    self.schedule(self.now + delay, self._deliver, target, target.core, action.message)
        self._check_leased_units()

    def _arrive(self, node: SimulatedNode, core: Any) -> None:
        """An invocation arrives that needs one unit."""
        if self._is_blocked(node, core, self._arrive, node, core):
            return
        if core.try_spend(0, node.local_time(self.now)):
            node.spent_units += 1
            self.recent_spends.append(self.now)
            self.spends_by_second[int(self.now)] = self.spends_by_second.get(int(self.now), 0) + 1
            while self.recent_spends[0] <= self.now - self.budget.window:
                self.recent_spends.popleft()
            self.max_in_window = max(self.max_in_window, len(self.recent_spends))
            if len(self.recent_spends) > self.budget.limit:
                self.breaches.append(
                    f"{self.now:.3f}: {len(self.recent_spends)} of {self.budget.limit} spent"
                )
        else:
            node.refused_units += 1
        rate = self.demand(node.name, self.now)
        self.schedule(
            self.now + (self.rng.expovariate(rate) if rate > 0.0 else 0.5), self._arrive, node, core
        )

    def _apply_node_action(self, action: NodeAction) -> None:
        node = self.nodes[action.node]
        if action.kind == "start":
            self.start(action.node)
        elif node.core is None:
            return
        elif action.kind == "stop":
            node.stopped = True
        elif action.kind == "go":
            node.resume()
        else:
            in_use = node.core.local_budgets[0].leased_usage.read(node.local_time(self.now))
            if in_use:
                self.dead_usage.append((self.now + self.budget.window, in_use))
            node.terminate()

    def utilization(self, since: int, until: int) -> float:
        """Fraction of the limit that was spent from second `since` up to second `until`."""
        spent = sum(self.spends_by_second.get(second, 0) for second in range(since, until))
        return spent * self.budget.window / (until - since) / self.budget.limit

    @property
    def leader(self) -> str:
        """Name of the leader in office, "" if there is none."""
        leaderships = {
            name: node.core.leadership for name, node in self.nodes.items() if node.core is not None
        }
        return next(
            (
                name
                for name, leadership in leaderships.items()
                if leadership and leadership.elected_at is not None
            ),
            "",
        )

    def _check_leased_units(self) -> None:
        """All units that may be spent under leases at once stay within the leasable part of the limit."""
        self.dead_usage = [(until, in_use) for until, in_use in self.dead_usage if until > self.now]
        running = [node for node in self.nodes.values() if node.core is not None]
        leased = sum(node.core.max_leased_units(0, node.local_time(self.now)) for node in running)
        leasable = next((node.core.leasable[0] for node in running), 0)
        if running and leased > leasable:
            self.breaches.append(f"{self.now:.3f}: {leased} of {leasable} leased units may be spent")
