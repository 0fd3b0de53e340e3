"""Budgets in virtual time: the cores unchanged, with the rig's faults and clocks that run at their own rates.

The accountant here knows every spend and nothing of the cores' reasons.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from thornladder.rig.faults import Fault, LinkConditions, NodeAction, VirtualProcess, node_actions
from thornladder.shares.core import DRIFT, Budget, Core
from thornladder.shares.wire import Message

Demand = Callable[[str, float], float]  # spends a second that a node has use for, at a moment


class Place(VirtualProcess):
    def __init__(self, name: str, rate: float, zero: float) -> None:
        """`rate`, `zero`: of its clock."""
        super().__init__()
        self.name, self.rate, self.zero = name, rate, zero
        self.spent = self.refused = 0

    def clock(self, now: float) -> float:
        return self.zero + now * self.rate


class World:
    def __init__(
        self, names: Sequence[str], budget: Budget, faults: Sequence[Fault], seed: int,
        demand: Demand | None = None, make: Callable[..., Any] = Core,
    ) -> None:  # fmt: skip
        self.names, self.budget, self.demand, self.make = list(names), budget, demand, make
        self.chance = Random(seed)
        self.link_conditions = LinkConditions(faults)
        half = 0.49 * DRIFT  # of two clocks: they differ by DRIFT at most
        self.places = {}
        for name in names:
            rate, zero = 1.0 + self.chance.uniform(-half, half), self.chance.uniform(0.0, 1e4)
            self.places[name] = Place(name, rate, zero)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.count = itertools.count()
        self.dead: list[tuple[float, int]] = []  # until when, how many units: of processes that died
        self.spends: deque[float] = deque()  # of the last hold, in real time
        self.most = 0  # of them, ever
        self.breaches: list[str] = []
        self.taken: dict[int, int] = {}  # by second
        for name in names:
            self.start(name)
        for move in node_actions(faults, self.chance):
            self.at(move.at, self._move, move)

    def at(self, when: float, what: Callable[..., None], *given: Any) -> None:
        heapq.heappush(self.heap, (when, next(self.count), what, given))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until and not self.breaches:
            self.now, _, what, given = heapq.heappop(self.heap)
            what(*given)
        self.now = until

    def start(self, name: str) -> None:
        place = self.places[name]
        if place.core is not None:
            return
        chance = Random(self.chance.getrandbits(64))
        place.core = self.make(name, self.names, [self.budget], chance, place.clock(self.now))
        place.stopped, place.pending_calls = False, []
        self._later(place, place.core)
        if self.demand is not None:
            self.at(self.now + self.chance.random() * 0.1, self._arrive, place, place.core)

    def _later(self, place: Place, core: Any) -> None:
        due = max((core.due - place.clock(self.now)) / place.rate, 1e-6)
        self.at(self.now + due, self._wake, place, core)

    def _held(self, place: Place, core: Any, what: Callable[..., None], *given: Any) -> bool:
        """Whether this cannot happen now: the process is gone, or stopped and will do it later."""
        if place.core is not core:
            return True
        if place.stopped:
            place.pending_calls.append((what, given))
        return place.stopped

    def _wake(self, place: Place, core: Any) -> None:
        if not self._held(place, core, self._wake, place, core):
            core.wake(place.clock(self.now))
            self._after(place, core)
            self._later(place, core)

    def _message(self, place: Place, core: Any, message: Message) -> None:
        if not self._held(place, core, self._message, place, core, message):
            core.on_message(place.clock(self.now), message)
            self._after(place, core)

    def _after(self, place: Place, core: Any) -> None:
        for act in core.take_acts():
            target = self.places[act.name]
            if target is place:
                self._message(place, core, act.message)
                continue
            size = 60 + 4 * len(act.message.parts)
            for later in self.link_conditions.datagram_delays(
                self.now, place.name, act.name, size, self.chance
            ):
                if target.core is not None:
                    self.at(self.now + later, self._message, target, target.core, act.message)
        self._check()

    def _arrive(self, place: Place, core: Any) -> None:
        """An invocation that would spend."""
        if self._held(place, core, self._arrive, place, core):
            return
        if core.may_spend(0, place.clock(self.now)):
            place.spent += 1
            self.spends.append(self.now)
            self.taken[int(self.now)] = self.taken.get(int(self.now), 0) + 1
            while self.spends[0] <= self.now - self.budget.hold:
                self.spends.popleft()
            self.most = max(self.most, len(self.spends))
            if len(self.spends) > self.budget.whole:
                self.breaches.append(f"{self.now:.3f}: {len(self.spends)} of {self.budget.whole} spent")
        else:
            place.refused += 1
        rate = self.demand(place.name, self.now)
        self.at(self.now + (self.chance.expovariate(rate) if rate > 0.0 else 0.5), self._arrive, place, core)

    def _move(self, move: NodeAction) -> None:
        place = self.places[move.node]
        if move.kind == "start":
            self.start(move.node)
        elif place.core is None:
            return
        elif move.kind == "stop":
            place.stopped = True
        elif move.kind == "go":
            place.resume()
        else:
            used = place.core.holdings[0].leased.look(place.clock(self.now))
            if used:
                self.dead.append((self.now + self.budget.hold, used))
            place.terminate()

    def used(self, since: int, until: int) -> float:
        """Share of the whole that was spent in these seconds."""
        spent = sum(self.taken.get(second, 0) for second in range(since, until))
        return spent * self.budget.hold / (until - since) / self.budget.whole

    @property
    def giver(self) -> str:
        """Who rules; "" where nobody does."""
        reigns = {name: place.core.reign for name, place in self.places.items() if place.core is not None}
        return next((name for name, reign in reigns.items() if reign and reign.began is not None), "")

    def _check(self) -> None:
        """All that may be spent together, floors apart, is at most what is leased out of the whole."""
        self.dead = [(until, used) for until, used in self.dead if until > self.now]
        running = [place for place in self.places.values() if place.core is not None]
        can = sum(place.core.can(0, place.clock(self.now)) for place in running)
        rest = next((place.core.rest[0] for place in running), 0)
        if running and can > rest:
            self.breaches.append(f"{self.now:.3f}: {can} of {rest} leased units may be spent")
