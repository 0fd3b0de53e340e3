"""Members in virtual time: the cores unchanged, on one heap of events, with the faults of the rig.

The accountant here knows the true state and nothing of the cores' reasons. The same seed gives the same play.
"""

from __future__ import annotations

import heapq
import itertools
import math
import time
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, NamedTuple, Protocol

from thornladder.membership.core import Action, ConnectionOutcome, ConnectionProbe, Core, Send, Sync
from thornladder.membership.wire import Message, decode, encode
from thornladder.rig.faults import Fault, LinkConditions, NodeAction, VirtualProcess, node_actions

HEAD = 28  # bytes of UDP and IP round each datagram
CONNECTION = 240  # bytes of a connection made and ended, about
PATIENCE = 0.5  # seconds that a check waits for its answer
LONGEST = 3.0  # seconds that a whole view may take


class Member(Protocol):
    """What the harness needs of a core, ours or a baseline."""

    actions: list[Action]

    @property
    def next_wake_at(self) -> float: ...
    @property
    def members(self) -> list[str]: ...
    def wake(self, now: float) -> None: ...
    def on_message(self, now: float, source: str, message: Message, by_connection: bool = False) -> None: ...
    def take_actions(self) -> list[Action]: ...
    def take_changes(self) -> list[Any]: ...


class MemberChange(NamedTuple):
    """A change that one member took in."""

    at: float
    observer: str
    subject: str
    state: str
    view_changed: bool


class Place(VirtualProcess):
    """One name, and what its process has cost."""

    def __init__(self, name: str, address: str) -> None:
        super().__init__()
        self.name, self.address = name, address
        self.starts = 0
        self.wakes = 0  # tells the wake-up that is due from those it took the place of
        self.bytes_sent = self.messages_sent = 0
        self.cpu_seconds = 0.0


Maker = Callable[[str, str, Sequence[str], Random, float], Any]


def ours(name: str, address: str, seeds: Sequence[str], chance: Random, now: float) -> Core:
    return Core(name, address, "fleet", seeds, chance, now)


class Simulation:
    MOST_WAITING = 2000  # datagrams that the kernel keeps for a stopped process

    def __init__(
        self, names: Sequence[str], faults: Sequence[Fault], seed: int, make: Maker = ours,
        seeds: int = 3, joined: bool = True, skew: dict[str, float] | None = None,
    ) -> None:  # fmt: skip
        """`joined`: all know all at the start. `skew`: by how much each one's clock is off, seconds."""
        self.chance = Random(seed)
        self.now = 0.0
        self.make, self.skew = make, skew or {}
        self.links = LinkConditions(faults)
        self.members = {name: Place(name, f"10.0.{k // 250}.{k % 250}:7946") for k, name in enumerate(names)}
        self.by_address = {place.address: place for place in self.members.values()}
        self.seeds = [place.address for place in self.members.values()][:seeds]
        self.heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.count = itertools.count()
        self.changes: list[MemberChange] = []
        self.step_hooks: list[Callable[[Simulation, Place], None]] = []
        for name in names:
            self.start(name)
        if joined:
            self.introduce()
        for move in node_actions(faults, self.chance):
            self.call_at(move.at, self._move, move)

    def introduce(self) -> None:
        """Every member holds the whole view, as after a long quiet time."""
        items = [place.core.own_item for place in self.members.values()]
        for place in self.members.values():
            place.core.bootstrap(items)
            place.core.take_changes()

    # Events.

    def call_at(self, when: float, what: Callable[..., None], *given: Any) -> None:
        heapq.heappush(self.heap, (when, next(self.count), what, given))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what, given = heapq.heappop(self.heap)
            what(*given)
        self.now = until

    def _clock(self, place: Place) -> float:
        return self.now + self.skew.get(place.name, 0.0)

    def start(self, name: str) -> None:
        place = self.members[name]
        if place.core is not None:
            return
        place.starts += 1
        chance = Random(f"{name} {place.starts} {self.chance.random()}")
        place.core = self.make(name, place.address, self.seeds, chance, self._clock(place))
        place.stopped, place.pending_calls = False, []
        self._wake_later(place)

    def _wake_later(self, place: Place) -> None:
        due = place.core.next_wake_at - self.skew.get(place.name, 0.0)
        place.wakes += 1
        self.call_at(max(due, self.now), self._wake, place, place.core, place.wakes)

    def _wake(self, place: Place, core: Any, number: int) -> None:
        # Guards against wake-ups that multiply: one that came in its place has the higher number.
        if place.core is not core or number != place.wakes:
            return
        if place.stopped:
            place.pending_calls.append((self._wake, (place, core, number)))
            return
        if core.next_wake_at - self.skew.get(place.name, 0.0) <= self.now + 1e-9:
            self._step(place, core.wake, self._clock(place))
        self._wake_later(place)

    def _step(self, place: Place, what: Callable[..., None], *given: Any) -> None:
        began = time.perf_counter()
        what(*given)
        place.cpu_seconds += time.perf_counter() - began
        core = place.core
        for act in core.take_actions():
            self._act(place, act)
        for change in core.take_changes():
            self.changes.append(
                MemberChange(self.now, place.name, change.name, change.state, change.view_changed)
            )
        for check in self.step_hooks:
            check(self, place)

    def _arrive(self, place: Place, source: str, data: bytes, by_connection: bool = False) -> None:
        if place.core is None:
            return
        if place.stopped:
            if len(place.pending_calls) < self.MOST_WAITING:
                place.pending_calls.append((self._arrive, (place, source, data, by_connection)))
            return
        message = decode(data)
        if message is not None:
            due = place.core.next_wake_at
            self._step(place, place.core.on_message, self._clock(place), source, message, by_connection)
            if place.core.next_wake_at < due - 1e-9:
                self._wake_later(place)

    # What members do.

    def _act(self, place: Place, act: Action) -> None:
        target = self.by_address.get(act.address)
        if isinstance(act, Send):
            data = encode(act.message)
            place.bytes_sent += len(data) + HEAD
            place.messages_sent += 1
            if target is not None:
                self._send(place, target, data)
        elif isinstance(act, ConnectionProbe):
            self._check(place, target, act)
        elif isinstance(act, Sync) and target is not None:
            self._sync(place, target)

    def _send(self, place: Place, target: Place, data: bytes) -> None:
        for later in self.links.datagram_delays(self.now, place.name, target.name, len(data), self.chance):
            self.call_at(self.now + later, self._arrive, target, place.address, data)

    def _there_and_back(self, a: Place, b: Place, size: int) -> float | None:
        there = self.links.stream_delay(self.now, a.name, b.name, size, self.chance)
        back = self.links.stream_delay(self.now, b.name, a.name, size, self.chance)
        return None if there is None or back is None else there + back

    def _check(self, place: Place, target: Place | None, act: ConnectionProbe) -> None:
        place.bytes_sent += CONNECTION
        number = act.message.number
        round_trip = self._there_and_back(place, target, 100) if target else None
        if round_trip is None or round_trip > PATIENCE:
            return
        if target.core is None:
            self.call_at(self.now + round_trip, self._checked, place, place.core, number)
        elif not target.stopped:
            answer = encode(target.core.reply_to(act.message))
            self.call_at(self.now + round_trip, self._arrive, place, target.address, answer, True)

    def _checked(self, place: Place, core: Any, number: int) -> None:
        if place.core is core and not place.stopped:
            self._step(
                place, core.on_connection_outcome, self._clock(place), number, ConnectionOutcome.REFUSED
            )

    def _sync(self, place: Place, target: Place) -> None:
        view = place.core.view_message()
        data = encode(view)
        round_trip = self._there_and_back(place, target, min(len(data), 1400))
        if round_trip is None or round_trip > LONGEST or target.core is None or target.stopped:
            return
        back = encode(target.core.reply_to(view))
        place.bytes_sent += len(data) + CONNECTION
        target.bytes_sent += len(back) + CONNECTION
        self.call_at(self.now + round_trip / 2.0, self._arrive, target, place.address, data, True)
        self.call_at(self.now + round_trip, self._arrive, place, target.address, back, True)

    # What is done to them.

    def _move(self, move: NodeAction) -> None:
        place = self.members[move.node]
        if move.kind == "start":
            self.start(move.node)
        elif place.core is None:
            return
        elif move.kind == "stop":
            place.stopped = True
        elif move.kind == "go" and place.stopped:
            place.resume()
        elif move.kind in ("kill", "end"):
            if move.kind == "end" and not place.stopped:
                place.core.leave(self._clock(place))
                for act in place.core.take_actions():
                    self._act(place, act)
            place.terminate()

    # What is true.

    @property
    def running(self) -> list[str]:
        return sorted(name for name, place in self.members.items() if place.core is not None)

    def has_converged(self, names: Iterable[str] | None = None) -> bool:
        """Every running member holds exactly the running ones to be there."""
        wanted = self.running if names is None else sorted(names)
        return all(self.members[name].core.members == wanted for name in wanted)

    def run_until_converged(self, limit: float, step: float = 0.1) -> float:
        """Seconds until all have one view and it is the true one; inf where that takes over `limit`."""
        began = self.now
        while not self.has_converged():
            if self.now - began >= limit:
                return math.inf
            self.run(self.now + step)
        return self.now - began
