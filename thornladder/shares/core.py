"""Lease-based division of fleet-wide budgets: what one node may spend, and the leader that divides. No I/O.

At most one leader is in office: more than half of the configured nodes have promised it a short term. It
grants each process an allocation under a lease. The process counts the lease from when it sent the report
that the grant answers, so a late grant only shortens it. A spent unit counts until its window is over, and
no unit is spent whose window might outlast the lease; so nothing is in use after a lease. An allocation is
raised only by units that other processes have reported as given up, or whose leases have certainly expired.
A new leader knows the allocations of the processes that have reported to it; it leaves the remaining units
alone until every earlier lease has expired.

In addition each node has a floor that follows from the configured list alone. All floors and all leased
allocations add up to the limit. Timestamps are only compared with those of the same clock; the rates of two
clocks differ by MAX_CLOCK_DRIFT at most.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from thornladder.shares.wire import VERSION, Kind, Message

MAX_CLOCK_DRIFT = 0.011  # between the rates of two clocks: 1 %, and a margin for rounding
DEMAND_UPDATE_SECONDS = 0.05  # least time between two updates of a demand rate
SLOTS = 256  # of a window: spent units are counted by slot instead of being recorded one by one


class Timing(NamedTuple):
    """Intervals of the protocol, in seconds."""

    request_interval: float = 0.25  # between the leader's requests for promises
    promise_duration: float = 1.5  # about six requests, so that losing a few changes nothing
    lease_margin: float = 4.0  # of a lease beyond the longest window: time to elect the next leader
    report_timeout: float = 1.5  # after its last report a process has no demand in the division
    demand_smoothing: float = 1.0  # time constant of the exponentially weighted demand


class Budget(NamedTuple):
    """At most `limit` units in use across the fleet; a spent unit counts for `window` seconds."""

    name: str
    limit: int
    window: float
    floor_fraction: float = 0.25  # of the limit, divided among the configured nodes permanently


def floor_allocations(budget: Budget, names: Sequence[str]) -> dict[str, int]:
    """Units that each node always has; a hash of the two names decides who gets the remainder."""
    units = math.floor(budget.floor_fraction * budget.limit)
    quotient, remainder = divmod(units, len(names))
    order = sorted(names, key=lambda name: (zlib.crc32(f"{budget.name} {name}".encode()), name))
    return {name: quotient + (rank < remainder) for rank, name in enumerate(order)}


class Send(NamedTuple):
    """An action: send `message` to the node `target`."""

    target: str
    message: Message


class UsageCounter:
    """Units in use, each for a window from when it was spent, in constant memory."""

    def __init__(self, window: float) -> None:
        # A slot is cleared once its last unit has expired: never early, at most 1/255 of a window late.
        self.slot_seconds = window / (SLOTS - 1)
        self.counts = [0] * (SLOTS + 1)
        self.newest = 0
        self.sum = 0

    def read(self, now: float) -> int:
        """Units in use at `now`; slots that have left the window are cleared."""
        slot = math.floor(now / self.slot_seconds)
        if slot > self.newest:
            for expired in range(self.newest + 1, min(slot, self.newest + len(self.counts)) + 1):
                index = expired % len(self.counts)
                self.sum -= self.counts[index]
                self.counts[index] = 0
            self.newest = slot
        return self.sum

    def add(self, now: float) -> None:
        """Counts one unit spent at `now`."""
        self.read(now)
        self.counts[self.newest % len(self.counts)] += 1
        self.sum += 1


class LocalBudget:
    """Allocation, usage and demand of one budget at one process."""

    def __init__(self, budget: Budget, floor_units: int) -> None:
        self.budget, self.floor_units = budget, floor_units
        self.local_window = budget.window * (1.0 + MAX_CLOCK_DRIFT)  # covers the window on any clock
        self.allocation = 0
        self.leased_usage, self.floor_usage = UsageCounter(self.local_window), UsageCounter(self.local_window)
        self.demand_rate = 0.0  # units per second, smoothed
        self.demand_updated_at = 0.0
        self.recent_requests = 0  # since then

    def demand(self, now: float, smoothing: float) -> int:
        """Units that this process could use; `smoothing` is the time constant in seconds."""
        elapsed = now - self.demand_updated_at
        if elapsed > DEMAND_UPDATE_SECONDS:
            weight = math.exp(-elapsed / smoothing)
            self.demand_rate = weight * self.demand_rate + (1.0 - weight) * self.recent_requests / elapsed
            self.demand_updated_at, self.recent_requests = now, 0
        return math.ceil(self.demand_rate * self.local_window - 1e-6)


@dataclass(slots=True)
class Grant:
    """A grant that may be in force, as the leader records it."""

    seq: int
    units: list[int]  # per budget
    expires_at: float  # latest possible end of the lease by the leader's clock


@dataclass(slots=True)
class ProcessRecord:
    """What the leader knows of one process."""

    grants: list[Grant]
    demands: list[int]  # per budget
    heard_at: float
    reported_at: float  # of its last report, by its own clock
    last_seq: int = 0

    def outstanding(self, index: int, now: float) -> int:
        """Most units of the budget that the process may hold under any grant."""
        return max((grant.units[index] for grant in self.grants if grant.expires_at >= now), default=0)


@dataclass(slots=True)
class Leadership:
    """State of a candidate, and of a leader once a quorum has promised."""

    term: int
    started_at: float
    elected_at: float | None = None  # None: still a candidate
    # By node, when the last request that it answered was sent.
    acks: dict[str, float] = field(default_factory=dict)
    # By node name and incarnation.
    processes: dict[tuple[str, int], ProcessRecord] = field(default_factory=dict)
    unreported: list[int] = field(default_factory=list)  # units that processes without a report may hold
    earlier_leases_end: float = 0.0  # by then all leases of earlier terms have expired


class Core:
    """State machine of one process. Actions are collected for `take_actions`.

    The caller passes the time, received messages and wake-ups. Budgets are addressed by index.
    """

    def __init__(
        self, name: str, names: Sequence[str], budgets: Sequence[Budget], rng: Random, now: float,
        fleet: str = "fleet", timing: Timing | None = None,
    ) -> None:  # fmt: skip
        """`names`: the configured nodes, this one included. `now`: seconds of any steady clock."""
        self.name, self.names, self.budgets, self.fleet = name, sorted(names), list(budgets), fleet
        self.rng, self.timing = rng, timing or Timing()
        self.incarnation = rng.getrandbits(32)  # tells this process from others of the same node
        self.started_at = self.now = now
        self.lease_seconds = (
            max((budget.window for budget in budgets), default=0.0) * (1.0 + MAX_CLOCK_DRIFT)
            + self.timing.lease_margin
        )
        floors = [floor_allocations(budget, self.names) for budget in budgets]
        self.local_budgets = [
            LocalBudget(budget, floors[index][name]) for index, budget in enumerate(budgets)
        ]
        self.leasable = [budget.limit - sum(floors[index].values()) for index, budget in enumerate(budgets)]
        for local in self.local_budgets:
            local.demand_updated_at = now
        self.quorum = len(self.names) // 2 + 1
        self.promise: tuple[int, str] = (0, "")  # term and name of the leader
        self.promise_expires_at = now
        self.applied_grant: tuple[int, int] = (0, 0)  # term and sequence number
        self.lease_expires_at = -math.inf
        self.leadership: Leadership | None = None
        self.leader_heard_at = now
        self.highest_term = 0
        self.actions: list[Send] = []
        self._next_wake_at = now + self.timing.request_interval * rng.random()
        self.election_timeout = self._random_election_timeout()

    # Spending.

    def try_spend(self, index: int, now: float) -> bool:
        """Takes one unit of the budget if there is one: of the leased allocation first, then of the floor."""
        local = self.local_budgets[index]
        local.recent_requests += 1
        if (
            now + local.local_window <= self.lease_expires_at
            and local.leased_usage.read(now) < local.allocation
        ):
            local.leased_usage.add(now)
            return True
        # A restarted process does not know how much of the floor its predecessor spent.
        if now >= self.started_at + local.local_window and local.floor_usage.read(now) < local.floor_units:
            local.floor_usage.add(now)
            return True
        return False

    def max_leased_units(self, index: int, now: float) -> int:
        """Most leased units that this process uses or may still use."""
        local = self.local_budgets[index]
        return max(local.allocation if now < self.lease_expires_at else 0, local.leased_usage.read(now))

    # Events.

    @property
    def next_wake_at(self) -> float:
        """When `wake` is due, by this process's clock."""
        return self._next_wake_at

    def wake(self, now: float) -> None:
        """Gives up or takes up a candidacy or leadership where that is due, and requests promises."""
        self.now = max(self.now, now)
        if self.now < self._next_wake_at:
            return
        self._next_wake_at = self.now + self.timing.request_interval * (0.9 + 0.2 * self.rng.random())
        if self.leadership is not None:
            if self.leadership.elected_at is not None and self.now >= self._quorum_expires_at():
                self.leadership = None  # this process was paused, or a quorum is out of reach
            elif (
                self.leadership.elected_at is None
                and self.now > self.leadership.started_at + self.timing.promise_duration
            ):
                # Otherwise two candidates could block each other, each renewing its promise to itself.
                self.leadership, self.leader_heard_at = None, self.now
        if self.leadership is None and self._election_due():
            self.highest_term += 1
            self.leadership = Leadership(self.highest_term, self.now)
            self.election_timeout = self._random_election_timeout()
        if self.leadership is not None:
            for name in self.names:
                self._send(name, Kind.PROMISE_REQUEST, self.leadership.term)

    def on_message(self, now: float, message: Message) -> None:
        """Handles a received message; those of other fleets or of unknown nodes are ignored."""
        self.now = max(self.now, now)
        if message.fleet != self.fleet or message.name not in self.names or message.version < 1:
            return
        self.highest_term = max(self.highest_term, message.term)
        if message.kind == Kind.PROMISE_REQUEST:
            self._on_promise_request(message)
        elif message.kind == Kind.PROMISE:
            self._on_promise(message)
        elif message.kind == Kind.GRANT:
            self._on_grant(message)

    # As a voter and holder of a lease.

    def _random_election_timeout(self) -> float:
        return self.timing.promise_duration * (1.1 + 0.9 * self.rng.random())

    def _predecessor_promise_expired(self) -> bool:
        """An earlier process of this node may have made a promise that this one knows nothing of."""
        return self.now >= self.started_at + self.timing.promise_duration * (1.0 + MAX_CLOCK_DRIFT)

    def _election_due(self) -> bool:
        return self._predecessor_promise_expired() and self.now > self.leader_heard_at + self.election_timeout

    def _on_promise_request(self, message: Message) -> None:
        requested = (message.term, message.name)
        bound = self.now < self.promise_expires_at and message.name != self.promise[1]
        if not self._predecessor_promise_expired() or message.term < self.promise[0] or bound:
            return
        if message.term == self.promise[0] and requested != self.promise:
            return
        self.promise = requested
        self.promise_expires_at = self.now + self.timing.promise_duration * (1.0 + MAX_CLOCK_DRIFT)
        self.leader_heard_at = self.now
        if message.name != self.name:
            self.leadership = None
        indexes = range(len(self.budgets))
        seq = self.applied_grant[1] if self.applied_grant[0] == message.term else 0
        self._send(
            message.name, Kind.PROMISE, message.term, seq=seq, echo=message.at, to_birth=message.birth,
            cans=[self.max_leased_units(index, self.now) for index in indexes],
            wants=[self.local_budgets[index].demand(self.now, self.timing.demand_smoothing)
                   for index in indexes],
        )  # fmt: skip

    def _on_grant(self, message: Message) -> None:
        if message.to_birth != self.incarnation or (message.term, message.name) != self.promise:
            return
        if (message.term, message.seq) <= self.applied_grant or len(message.parts) != len(self.local_budgets):
            return  # late, duplicated or reordered: units that were given up stay given up
        self.applied_grant = (message.term, message.seq)
        self.lease_expires_at = message.echo + self.lease_seconds
        for local, allocation in zip(self.local_budgets, message.parts, strict=True):
            local.allocation = allocation

    # As a candidate and leader.

    def _quorum_expires_at(self) -> float:
        """Until when more than half of the nodes have certainly promised to no other leader."""
        acks = sorted(self.leadership.acks.values(), reverse=True)
        return acks[self.quorum - 1] + self.timing.promise_duration if len(acks) >= self.quorum else -math.inf

    def _on_promise(self, message: Message) -> None:
        leadership = self.leadership
        if leadership is None or message.term != leadership.term or message.to_birth != self.incarnation:
            return
        leadership.acks[message.name] = max(leadership.acks.get(message.name, -math.inf), message.echo)
        self._record_report(message)
        if leadership.elected_at is None and self.now < self._quorum_expires_at():
            self._on_elected()
        if leadership.elected_at is not None and self.now < self._quorum_expires_at():
            self._send_grant(message)

    def _latest_lease_end(self) -> float:
        """By when a lease that begins no later than now has certainly expired, by this clock."""
        return self.now + self.lease_seconds * (1.0 + MAX_CLOCK_DRIFT)

    def _record_report(self, message: Message) -> None:
        leadership, key = self.leadership, (message.name, message.birth)
        record = leadership.processes.get(key)
        if record is None:
            grant = Grant(0, list(message.cans), self._latest_lease_end())
            leadership.processes[key] = ProcessRecord([grant], list(message.wants), self.now, message.at)
            if leadership.elected_at is not None and self.now < leadership.earlier_leases_end:
                leadership.unreported = [
                    max(units - reported, 0)
                    for units, reported in zip(leadership.unreported, message.cans, strict=True)
                ]
            return
        if message.at <= record.reported_at:
            return  # an earlier report that arrived late
        record.reported_at, record.heard_at, record.demands = message.at, self.now, list(message.wants)
        in_force = [
            grant for grant in record.grants if grant.seq >= message.seq and grant.expires_at >= self.now
        ]
        for grant in in_force:
            if grant.seq == message.seq:
                grant.units = list(message.cans)
        if any(message.cans) and all(grant.seq != message.seq for grant in in_force):
            in_force.append(Grant(message.seq, list(message.cans), self._latest_lease_end()))
        record.grants = in_force

    def _on_elected(self) -> None:
        leadership = self.leadership
        leadership.elected_at, leadership.earlier_leases_end = self.now, self._latest_lease_end()
        leadership.unreported = [
            max(
                units - sum(record.outstanding(index, self.now) for record in leadership.processes.values()),
                0,
            )
            for index, units in enumerate(self.leasable)
        ]

    def unallocated(self, index: int) -> int:
        """Units of the budget that no process holds or may hold."""
        leadership = self.leadership
        outstanding = sum(record.outstanding(index, self.now) for record in leadership.processes.values())
        return (
            self.leasable[index]
            - outstanding
            - (leadership.unreported[index] if self.now < leadership.earlier_leases_end else 0)
        )

    def _send_grant(self, message: Message) -> None:
        leadership = self.leadership
        record = leadership.processes[(message.name, message.birth)]
        allocations = []
        for index in range(len(self.budgets)):
            target = self._target_allocation(index, (message.name, message.birth))
            outstanding = record.outstanding(index, self.now)
            allocations.append(max(min(target, outstanding + max(self.unallocated(index), 0)), 0))
        record.last_seq += 1
        record.grants.append(Grant(record.last_seq, allocations, self._latest_lease_end()))
        self._send(message.name, Kind.GRANT, leadership.term, seq=record.last_seq, echo=message.at,
                   to_birth=message.birth, parts=allocations)  # fmt: skip

    def _target_allocation(self, index: int, key: tuple[str, int]) -> int:
        """The process's allocation if all leasable units were free."""
        reported_since = self.now - self.timing.report_timeout
        demands = {process: record.demands[index] for process, record in self.leadership.processes.items()
                   if record.heard_at >= reported_since}  # fmt: skip
        return max_min_fair(self.leasable[index], demands).get(key, 0)

    def _send(self, target: str, kind: Kind, term: int, **fields: object) -> None:
        message = Message(VERSION, self.fleet, kind, self.name, self.incarnation, term, self.now, **fields)
        self.actions.append(Send(target, message))

    def take_actions(self) -> list[Send]:
        """Returns the actions collected since the last call and clears them."""
        actions, self.actions = self.actions, []
        return actions


def max_min_fair(total: int, demands: dict[tuple[str, int], int]) -> dict[tuple[str, int], int]:
    """Max-min fair allocation; what exceeds all demands is divided evenly. The result adds up to `total`."""
    allocations: dict[tuple[str, int], int] = {}
    left, ascending = total, sorted(demands, key=lambda key: (demands[key], key))
    for rank, key in enumerate(ascending):
        level = left // (len(ascending) - rank)
        allocations[key] = min(demands[key], level)
        left -= allocations[key]
    quotient, remainder = divmod(left, len(ascending)) if ascending else (0, 0)
    # The remainder goes to the highest demands, so that 3 units for 16 nodes are where they are used.
    for rank, key in enumerate(reversed(ascending)):
        allocations[key] += quotient + (rank < remainder)
    return allocations
