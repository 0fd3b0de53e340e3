"""The interface between the decisions and their host: plain types and the host's calls.

A host keeps the clock and the connections. It creates one `decide.Node` for each balancer node, reports
events by calling its `on_...` methods, and carries out what the node asks for through `Host`. Times are
seconds with fractions on the host's clock; ids are opaque strings and are passed back as they came.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol


class Idempotency(Enum):
    """Whether an invocation of an offering may be run more than once."""

    REPEATABLE = "repeatable"
    TAGGED = "tagged"  # backends discard repeats, within `dedup_scope` and `dedup_window`
    ONCE_ONLY = "once-only"


class Outcome(Enum):
    """How one push ended."""

    COMPLETED = "completed"
    ERROR = "erred"  # the backend answered with an error
    REJECTED = "full"  # the backend answered that it has no room
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection was made
    CONNECTION_LOST = "broken off"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # it ended before its first byte went out

    @property
    def never_ran(self) -> bool:
        """Whether the invocation surely did not run by this push."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT})


class State(Enum):
    """The listed state of a backend."""

    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event carries."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    RESTORED = "restored"  # the list that a node starts with, which may be stale
    UNAVAILABLE = "unavailable"  # a watch or a call failed; there are no entries


@dataclass(frozen=True, slots=True)
class Offering:
    """A class of invocations, as the settings describe it. Times are in seconds."""

    name: str
    idempotency: Idempotency
    dedup_scope: str  # which backends discard repeats of a tagged invocation: "all", "zone" or "cell"
    dedup_window: float  # for how long they do
    target_time: float
    cut_off: float
    utility: float
    late_utility_share: float  # part of the utility that an answer after the target time still earns


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, as the settings describe it."""

    name: str
    share: float
    allowance: float  # invocations a second over all nodes


@dataclass(frozen=True, slots=True)
class RetryBudgetRule:
    """How many pushes beyond an invocation's first a node may make in any `window` seconds."""

    floor: float  # with however little traffic
    ratio: float  # added for each invocation taken
    window: float  # seconds


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits a node to do."""

    max_pushes: int
    hedging: bool  # a second push of an invocation while the first is in flight
    cancellation: bool
    probes: bool
    max_retry_after: (
        float  # longest time in seconds that clients heed after a nack; 0 where none may be given
    )
    probes_per_invocation: float = 0.0  # mean number of load probes; 0 where probes bring no load reports
    retry_budget: RetryBudgetRule | None = None  # None: not stated
    soft_removal: bool = False  # only a listed drain binds, neither "gone" nor absence from the list


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """How much work a backend bears that has just started."""

    initial_capacity: float  # as a part of its full capacity
    warm_up: float  # seconds until full capacity
    overload_multiple: float  # it is overloaded by more work than this multiple of its capacity
    overload_window: float  # over so many seconds


@dataclass(frozen=True, slots=True)
class DecisionSettings:
    """The settings that concern the decisions."""

    zone: str
    rank: int  # of this node, from 0
    nodes: int
    offerings: list[Offering]
    tenants: list[Tenant]
    over_share_worth: float  # part of the utility that a tenant's invocations beyond its share earn
    utility_by_work: bool  # utilities are per unit of work, not per invocation
    limits: Limits
    cold: SlowStartRule
    must_ask_in: float  # seconds within which a node has to ask for the list; 0 where changes are pushed
    worst_offering: float = 0.0  # part of the result that depends on the worst-served offering alone


class Entry(NamedTuple):
    """One line of the backend list."""

    backend: str
    state: State
    zone: str  # empty if the list does not tell it
    cell: int | None  # None if the list does not tell it
    weight: float | None
    started_at: float | None
    machine: str


class LoadReport(NamedTuple):
    """A backend's load by a probe or an answer; None stands for what was absent or invalid."""

    in_flight: float | None = None  # invocations at the backend, from all nodes
    error_rate: float | None = None  # errors a second
    completion_rate: float | None = None  # completed a second
    cpu_utilization: float | None = None  # from 0 to 1


NO_REPORT = LoadReport()


class Invocation(NamedTuple):
    """An invocation as it came from a client."""

    id: str
    offering: str
    tenant: str
    time_left: float
    key: int | None
    is_retry: bool  # by the client's own word
    streaming: bool = False  # its body is passed on as it arrives, so that it can be pushed only once


class Host(Protocol):
    """The calls that a node makes to its host. None returns a result; results come back as events."""

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        """Push an invocation; give it up after `timeout` seconds.

        If its first byte is not out `send_within` seconds from now, it must not be sent at all.
        """

    def cancel(self, invocation: str, number: int) -> None:
        """Cancel the push of this number, from 0, if it is in flight."""
        ...

    def nack(self, invocation: str, retry_after: float) -> None:
        """Answer that a repeat is harmless, after `retry_after` seconds; 0 gives no time."""
        ...

    def terminate(self, invocation: str) -> None:
        """Answer with an error that leaves open whether the invocation has run."""
        ...

    def probe(self, backend: str) -> None:
        """Send a health probe."""
        ...

    def set_timer(self, delay: float, name: str) -> None:
        """Call `on_timer` with this name after `delay` seconds."""
        ...

    def watch_list(self) -> None:
        """Begin a watch on the backend list unless one stands."""
        ...

    def log(self, message: str) -> None:
        """Write a line to the host's log."""
        ...
