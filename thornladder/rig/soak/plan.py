"""Draws one soak from its seed: the fleet, its settings, the faults of its backends and the signals."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from thornladder.rig.crowd import CrowdKind
from thornladder.rig.soak.link import LinkFaults

KILL_SECONDS = 0.7  # after SIGTERM and the longest deadline: the platform's earliest SIGKILL
MAX_DEADLINE_SECONDS = 3.0  # of the longest deadline, what the platform counts at most
LONGEST_DEADLINES = (0.3, 0.4, 0.5, 0.7, 1.0, 1.5, 3.0)  # seconds
MIN_HOLD_SECONDS, MAX_HOLD_SECONDS = 0.03, 0.15  # for which a process may get no CPU
FAULT_SECONDS = (0.3, 1.5)  # of a backend that is at fault now and then, shortest and longest


class Step(Enum):
    """One thing that is done to a node process."""

    TERMINATE = "SIGTERM"
    INTERRUPT = "SIGINT"
    RELOAD = "SIGHUP"
    RELOAD_DEADLINES = "SIGHUP with other deadlines"
    HOLD = "SIGSTOP, SIGCONT"  # for MAX_HOLD_SECONDS
    TERMINATE_HELD = "SIGSTOP, SIGTERM, SIGCONT"  # the same, with the signal sent in between
    TERMINATE_RELOAD_HELD = "SIGSTOP, SIGTERM, SIGHUP with other deadlines, SIGCONT"

    @property
    def ends_process(self) -> bool:
        """Whether this tells the process to end."""
        return self in (
            Step.TERMINATE,
            Step.INTERRUPT,
            Step.TERMINATE_HELD,
            Step.TERMINATE_RELOAD_HELD,
        )


@dataclass(frozen=True)
class Action:
    """A step, and the pause before it in seconds."""

    pause: float
    step: Step


@dataclass(frozen=True)
class Shutdown:
    """The life of one process: how long it serves, and what ends it."""

    serving_seconds: float  # counted from readiness, or from the start if that is not awaited
    await_readiness: bool
    actions: tuple[Action, ...]


class BackendMode(Enum):
    """How a backend treats invocations."""

    ANSWER = "answer"
    SLOW = "slow"
    HANG = "hang"
    ERROR = "error"
    REJECT = "reject"
    RESET = "reset"
    DEAD = "dead"  # refuses connections
    CUT = "cut"  # ends the connection amid its answer
    EARLY = "early"  # answers large requests before they have come whole


# What the first two kinds of soak draw from.
SIMPLE_FAULTS = (
    BackendMode.SLOW, BackendMode.HANG, BackendMode.ERROR, BackendMode.REJECT, BackendMode.RESET,
    BackendMode.DEAD,
)  # fmt: skip


@dataclass(frozen=True)
class Answers:
    """The answers of a backend in order."""

    seconds: tuple[float, float] = (0.0, 0.0)  # shortest and longest time of one
    large_share: float = 0.0  # how many of them a node has to stream
    unframed_share: float = 0.0  # how many have no length and end with their connection
    slow_share: float = 0.0  # how many are written in pieces, over up to two seconds


SMALL_ANSWERS = Answers()


@dataclass(frozen=True)
class ModeChange:
    """A change of a backend's mode, `at` seconds after the start of the soak."""

    at: float
    mode: BackendMode


@dataclass(frozen=True)
class Standby:
    """A time in which an operator has a node in standby; in seconds after all nodes are ready."""

    node: int
    at: float
    seconds: float


@dataclass(frozen=True)
class Hold:
    """A time in which a node in service gets no CPU; in seconds after all nodes are ready."""

    node: int
    at: float
    seconds: float


@dataclass(frozen=True)
class ListChange:
    """A change of a backend's state in discovery's list, `at` seconds after the start of the soak."""

    at: float
    backend: int
    lifecycle: str


@dataclass(frozen=True)
class Crowding:
    """Clients that cost each node much memory or time, for as long as it is there."""

    kind: CrowdKind
    size: int


@dataclass(frozen=True)
class SoakPlan:
    """Everything that a seed determines; what the processes make of it is not determined."""

    seed: int
    longest_deadline: float  # seconds
    other_longest_deadline: float  # after a reload with other deadlines
    shutdowns: tuple[tuple[Shutdown, ...], ...]  # by node
    backends: tuple[tuple[ModeChange, ...], ...]
    clients_per_node: int
    crowd: int  # connections to each node that send nothing
    descriptors: int  # limit of each node
    are_upgrades: bool = False  # whether the processes of a node overlap, at one listening socket
    resting_clients: int = 0  # of the whole fleet: they keep connections and rest between requests
    standbys: tuple[Standby, ...] = ()
    holds: tuple[Hold, ...] = ()
    answers: Answers = SMALL_ANSWERS
    large_upload_share: float = 0.03  # of requests with a body
    list_changes: tuple[ListChange, ...] = ()
    backend_links: LinkFaults | None = None  # between the nodes and each backend
    discovery_link: LinkFaults | None = None
    memory_mb: int = 192  # limit of each node
    crowding: Crowding | None = None
    leave_share: float = 0.02  # of requests, whose clients leave before their answer
    return_share: float = 0.0  # of clients that leave: they come again with the same id


# Pauses are drawn anew for each of these series.
SERIES: tuple[tuple[Step, ...], ...] = (
    (Step.TERMINATE,),
    (Step.TERMINATE,),
    (Step.INTERRUPT,),
    (Step.TERMINATE, Step.TERMINATE),
    (Step.TERMINATE, Step.RELOAD),
    (Step.RELOAD, Step.TERMINATE),
    (Step.RELOAD, Step.RELOAD, Step.TERMINATE, Step.RELOAD),
    (Step.RELOAD_DEADLINES, Step.TERMINATE),
    (Step.TERMINATE, Step.RELOAD_DEADLINES),
    (Step.TERMINATE, Step.HOLD),
    (Step.TERMINATE_HELD,),
    (Step.TERMINATE_HELD, Step.RELOAD),
    (Step.TERMINATE_RELOAD_HELD,),
    (Step.RELOAD, Step.TERMINATE, Step.INTERRUPT, Step.HOLD),
)


def draw_plan(seed: int, max_nodes: int = 8, cycles: int = 2) -> SoakPlan:
    """Draws a soak with 2 to `max_nodes` nodes, each of which is shut down `cycles` times."""
    rng = Random(seed)
    longest = LONGEST_DEADLINES[seed % len(LONGEST_DEADLINES)]
    crowded = rng.random() < 0.3
    shutdowns = tuple(
        tuple(_draw_shutdown(rng) for _ in range(cycles)) for _ in range(rng.randint(2, max_nodes))
    )
    backends = tuple(_draw_modes(rng) for _ in range(rng.randint(3, 6)))
    descriptors = rng.choice((128, 160, 256))
    return SoakPlan(
        seed=seed,
        longest_deadline=longest,
        other_longest_deadline=rng.choice(LONGEST_DEADLINES),
        shutdowns=shutdowns,
        backends=backends,
        clients_per_node=rng.randint(6, 14),
        crowd=round(0.7 * descriptors) if crowded else 0,
        descriptors=descriptors,
    )


def _draw_shutdown(rng: Random) -> Shutdown:
    amid_start = rng.random() < 0.1
    actions: list[Action] = []
    ending = False
    for step in rng.choice(SERIES):
        # Half of the signals come at once, the others at any time before the kill.
        pause = rng.choice((0.0, rng.uniform(0.0, 0.9))) if ending else rng.uniform(0.0, 0.3)
        actions.append(Action(pause, step))
        ending = ending or step.ends_process
    serving = rng.uniform(0.0, 0.6) if amid_start else rng.uniform(0.5, 2.0)
    return Shutdown(serving, not amid_start, tuple(actions))


def _draw_modes(rng: Random) -> tuple[ModeChange, ...]:
    """A backend answers at first, and takes another mode each second or so."""
    changes, at = [ModeChange(0.0, BackendMode.ANSWER)], 0.0
    while at < 30.0:
        at += rng.uniform(0.5, 2.0)
        # Hanging backends are what keeps requests open until their deadline.
        mode = rng.choice((BackendMode.ANSWER, BackendMode.HANG, BackendMode.HANG, rng.choice(SIMPLE_FAULTS)))
        changes.append(ModeChange(at, mode))
    return tuple(changes)


def draw_holds(rng: Random, nodes: int, until: float, rates: Sequence[float]) -> list[Hold]:
    """Draws holds of every node up to `until`, at one of these rates a second."""
    rate = rng.choice(rates)
    holds = []
    for node in range(nodes):
        at = 0.0
        while rate and at < until:
            at += rng.expovariate(rate)
            seconds = rng.uniform(MIN_HOLD_SECONDS, MAX_HOLD_SECONDS)
            holds.append(Hold(node, at, seconds))
            at += seconds
    return holds


def draw_spells_of_faults(
    rng: Random, until: float, sound_seconds: tuple[float, float], faults: Sequence[BackendMode]
) -> tuple[ModeChange, ...]:
    """Draws a backend that answers, and has one of the faults for a while now and then."""
    changes, at = [ModeChange(0.0, BackendMode.ANSWER)], 0.0
    while at < until:
        at += rng.uniform(*sound_seconds)
        changes.append(ModeChange(at, rng.choice(faults)))
        at += rng.uniform(*FAULT_SECONDS)
        changes.append(ModeChange(at, BackendMode.ANSWER))
    return tuple(changes)
