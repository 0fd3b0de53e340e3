"""The seam between the decisions and whatever hosts them: plain types and the host's calls, no decisions.

A host keeps the clock and the connections. It creates one `decide.Node` for each balancer node, tells it
what happened by calling its `on_…` methods, and carries out what the node asks for through `Host`. Times are
seconds with fractions on the host's clock; ids are opaque strings and go back as they came.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol


class Kind(Enum):
    """How an offering bears being run more than once."""

    REPEATABLE = "repeatable"
    TAGGED = "tagged"
    ONCE_ONLY = "once-only"


class Outcome(Enum):
    """How one push ended."""

    COMPLETED = "completed"
    ERRED = "erred"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN_OFF = "broken off"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def never_ran(self) -> bool:
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT})


class State(Enum):
    """What the list says of a backend."""

    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event carries."""

    CHANGES = "changes"
    WHOLE = "whole"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Offering:
    name: str
    kind: Kind
    group: str  # who discards repeats of a tagged invocation: "all", "zone" or "cell"
    window: float  # for how long they do
    target_time: float
    cut_off: float
    utility: float
    late_share: float  # what an answer after the target time still earns


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float
    allowance: float  # invocations a second over all nodes


@dataclass(frozen=True, slots=True)
class FurtherRule:
    """How many pushes beyond an invocation's first a node may make in any `span` seconds."""

    few: float  # however little comes
    share: float  # and for each invocation taken
    span: float  # seconds


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits a node to do."""

    max_pushes: int
    second_copies: bool
    cancelling: bool
    probes: bool
    come_back: float  # the longest come-back time that clients heed; 0 where none may be given
    asks: float = 0.0  # probes for load reports that an invocation may cost on the mean; 0 where none come
    further: FurtherRule | None = None  # None: not stated
    soft_removal: bool = False  # only a listed drain binds: gone or off the list does not


@dataclass(frozen=True, slots=True)
class ColdRule:
    """How much a backend that has just started bears."""

    share: float
    warm_up: float
    multiple: float
    span: float


@dataclass(frozen=True, slots=True)
class Given:
    """What the settings hand to the decisions."""

    zone: str
    rank: int
    nodes: int
    offerings: list[Offering]
    tenants: list[Tenant]
    over_share_worth: float  # what a tenant's surplus earns, as a part
    utility_by_work: bool
    limits: Limits
    cold: ColdRule
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


class Report(NamedTuple):
    """What a probe or an answer tells of a backend's load; None is what was not told or makes no sense."""

    held: float | None = None  # invocations in its hands, all nodes' together
    errors: float | None = None  # a second
    rate: float | None = None  # completed a second
    busy: float | None = None  # how busy its cores are, of 1


NO_REPORT = Report()


class Invocation(NamedTuple):
    """What came in from a client."""

    id: str
    offering: str
    tenant: str
    time_left: float
    key: int | None
    again: bool  # the client says that it tries once more
    flows: bool = False  # its body is still on its way, and is passed on as it comes: it can be pushed once


class Host(Protocol):
    """What a node may ask of its host. Nothing here answers; results come back as events."""

    def push(self, invocation: str, backend: str, time_out: float, begin_in: float) -> None:
        """Seconds until it is given up, and until its first byte has to be out: else it is not sent."""

    def cancel(self, invocation: str, number: int) -> None: ...

    def nack(self, invocation: str, come_back: float) -> None: ...

    def terminate(self, invocation: str) -> None: ...

    def probe(self, backend: str) -> None: ...

    def set_timer(self, delay: float, name: str) -> None: ...

    def watch_list(self) -> None: ...

    def log(self, words: str) -> None: ...
