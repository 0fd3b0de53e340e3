"""The seam between the decisions and whatever hosts them: plain types and the host's calls, no decisions.

A host keeps the clock and the connections. It creates one `decide.Node` for each balancer node, tells it
what happened by calling its `on_…` methods, and carries out what the node asks for through `Host`. Times are
seconds with fractions on the host's clock; ids are opaque strings and go back as they came.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol


class Idempotency(Enum):
    """How an offering bears being run more than once."""

    REPEATABLE = "repeatable"
    TAGGED = "tagged"
    ONCE_ONLY = "once-only"


class Outcome(Enum):
    """How one push ended."""

    COMPLETED = "completed"
    ERROR = "erred"
    REJECTED = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "broken off"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def never_ran(self) -> bool:
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT})


class State(Enum):
    """What the list says of a backend."""

    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event carries."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Offering:
    name: str
    idempotency: Idempotency
    dedup_scope: str  # who discards repeats of a tagged invocation: "all", "zone" or "cell"
    dedup_window: float  # for how long they do
    target_time: float
    cut_off: float
    utility: float
    late_utility_share: float  # what an answer after the target time still earns


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float
    allowance: float  # invocations a second over all nodes


@dataclass(frozen=True, slots=True)
class RetryBudgetRule:
    """How many pushes beyond an invocation's first a node may make in any `span` seconds."""

    floor: float  # however little comes
    ratio: float  # and for each invocation taken
    window: float  # seconds


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits a node to do."""

    max_pushes: int
    hedging: bool
    cancellation: bool
    probes: bool
    max_retry_after: float  # the longest come-back time that clients heed; 0 where none may be given
    probes_per_invocation: float = (
        0.0  # probes for load reports that an invocation may cost on the mean; 0 where none come
    )
    retry_budget: RetryBudgetRule | None = None  # None: not stated
    soft_removal: bool = False  # only a listed drain binds: gone or off the list does not


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """How much a backend that has just started bears."""

    initial_capacity: float
    warm_up: float
    overload_multiple: float
    overload_window: float


@dataclass(frozen=True, slots=True)
class DecisionSettings:
    """What the settings hand to the decisions."""

    zone: str
    rank: int
    nodes: int
    offerings: list[Offering]
    tenants: list[Tenant]
    over_share_worth: float  # what a tenant's surplus earns, as a part
    utility_by_work: bool
    limits: Limits
    cold: SlowStartRule
    must_ask_in: float  # seconds; 0 where the list is told unasked
    worst_offering: float = 0.0  # the share of the result that goes by the worst-served offering alone


class Entry(NamedTuple):
    """One line of the backend list."""

    backend: str
    state: State
    zone: str
    cell: int
    weight: float | None
    started_at: float | None
    machine: str


class LoadReport(NamedTuple):
    """What a probe or an answer tells of a backend's load; None is what was not told or makes no sense."""

    in_flight: float | None = None  # invocations in its hands, all nodes' together
    error_rate: float | None = None  # a second
    completion_rate: float | None = None  # completed a second
    cpu_utilization: float | None = None  # how busy its cores are, of 1


NO_REPORT = LoadReport()


class Invocation(NamedTuple):
    """What came in from a client."""

    id: str
    offering: str
    tenant: str
    time_left: float
    key: int | None
    is_retry: bool  # the client says that it tries once more
    streaming: bool = (
        False  # its body is still on its way, and is passed on as it comes: it can be pushed once
    )


class Host(Protocol):
    """What a node may ask of its host. Nothing here answers; results come back as events."""

    def push(self, invocation: str, backend: str, timeout: float, send_within: float) -> None:
        """Seconds until it is given up, and until its first byte has to be out: else it is not sent."""

    def cancel(self, invocation: str, number: int) -> None: ...

    def nack(self, invocation: str, retry_after: float) -> None: ...

    def terminate(self, invocation: str) -> None: ...

    def probe(self, backend: str) -> None: ...

    def set_timer(self, delay: float, name: str) -> None: ...

    def watch_list(self) -> None: ...

    def log(self, message: str) -> None: ...
