"""Faults on one timeline, of which any number may overlap; for node processes as well as for virtual time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Literal, NamedTuple

import msgspec

LinkKind = Literal["loss", "delay", "jitter", "duplicate", "reorder", "cut", "large"]
NodeKind = Literal["pause", "freeze", "rob", "kill", "end", "start"]
LINK_KINDS = frozenset(LinkKind.__args__)
ANY_NODE = "*"
RETRANSMIT_SECONDS = 0.2  # delay of a lost segment of a connection; a common retransmission timeout
MAX_RETRANSMIT_SECONDS = 5.0  # no further losses of a segment after that


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A fault from `at` on, for `lasts` seconds; times are in seconds of the scenario.

    Link faults apply from the nodes in `source` to those in `target`, where "*" is any node, and with `both`
    also in the opposite direction:
    - cut: nothing passes.
    - loss, duplicate, reorder: apply to `share` of the datagrams; a reordered one is `seconds` late.
    - delay: `seconds` for every datagram; jitter: a random time of up to `seconds`.
    - large: datagrams of more than `bytes` are lost.

    Node faults apply to `nodes`:
    - pause: stopped for `lasts` seconds.
    - freeze: stopped for 0.1 to 0.5 s again and again, with pauses of the same length between.
    - rob: stopped for `seconds` again and again, with only 0.05 s between, as when starved of CPU.
    - kill, end, start: killed with SIGKILL, ended in order with SIGTERM, started again.
    """

    kind: LinkKind | NodeKind
    at: float
    lasts: float = 0.0
    source: tuple[str, ...] = (ANY_NODE,)
    target: tuple[str, ...] = (ANY_NODE,)
    both: bool = False
    nodes: tuple[str, ...] = ()
    share: float = 0.0
    seconds: float = 0.0
    bytes: int = 0

    @property
    def is_link_fault(self) -> bool:
        """Whether it applies to links between nodes rather than to nodes."""
        return self.kind in LINK_KINDS

    @property
    def ends_at(self) -> float:
        """When the fault is over; equal to `at` for kill, end and start."""
        return self.at + self.lasts

    def affects(self, source: str, target: str) -> bool:
        """Whether this link fault applies to what `source` sends to `target`."""

        def matches(sender: str, receiver: str) -> bool:
            return (ANY_NODE in self.source or sender in self.source) and (
                ANY_NODE in self.target or receiver in self.target
            )

        return matches(source, target) or (self.both and matches(target, source))


class LinkConditions:
    """The effect of the link faults on datagrams and connections. The caller supplies time and randomness."""

    def __init__(self, faults: Iterable[Fault], base_delay: float = 0.0002) -> None:
        """`base_delay`: seconds that every datagram takes. Faults of nodes are ignored."""
        self.faults = sorted((fault for fault in faults if fault.is_link_fault), key=lambda fault: fault.at)
        self.base_delay = base_delay
        self._active_at, self._active = -1.0, self.faults[:0]
        # By id of a fault, source and target: a cut between hundreds of nodes is looked up very often.
        self._affects_cache: dict[tuple[int, str, str], bool] = {}

    def _affects(self, fault: Fault, source: str, target: str) -> bool:
        key = (id(fault), source, target)
        cached = self._affects_cache.get(key)
        if cached is None:
            cached = self._affects_cache[key] = fault.affects(source, target)
        return cached

    def active_faults(self, now: float) -> Sequence[Fault]:
        """The link faults in effect at `now`, in the order of their start."""
        if now != self._active_at:
            self._active_at = now
            self._active = [fault for fault in self.faults if fault.at <= now < fault.ends_at]
        return self._active

    def datagram_delays(self, now: float, source: str, target: str, size: int, rng: Random) -> list[float]:
        """Seconds until each copy of a datagram of `size` bytes arrives; empty if it is lost."""
        delay, copies = self.base_delay, 1
        for fault in self.active_faults(now):
            if not self._affects(fault, source, target):
                continue
            if fault.kind == "cut" or (fault.kind == "large" and size > fault.bytes):
                return []
            if fault.kind == "loss" and rng.random() < fault.share:
                return []
            if fault.kind == "duplicate" and rng.random() < fault.share:
                copies += 1
            elif fault.kind == "reorder" and rng.random() < fault.share or fault.kind == "delay":
                delay += fault.seconds
            elif fault.kind == "jitter":
                delay += fault.seconds * rng.random()
        return [delay + 0.001 * copy for copy in range(copies)]

    def stream_delay(self, now: float, source: str, target: str, size: int, rng: Random) -> float | None:
        """Seconds until a segment of a connection arrives, with retransmissions; None if it never does."""
        delay = self.base_delay
        for fault in self.active_faults(now):
            if not self._affects(fault, source, target):
                continue
            if fault.kind == "cut" or (fault.kind == "large" and size > fault.bytes):
                return None
            if fault.kind == "loss":
                while rng.random() < fault.share and delay < MAX_RETRANSMIT_SECONDS:
                    delay += RETRANSMIT_SECONDS
            elif fault.kind in ("delay", "jitter"):
                delay += fault.seconds * (1.0 if fault.kind == "delay" else rng.random())
        return delay


class NodeAction(NamedTuple):
    """An action on the process of a node; `stop` and `go` are SIGSTOP and SIGCONT."""

    at: float
    kind: Literal["stop", "go", "kill", "end", "start"]
    node: str


def node_actions(faults: Iterable[Fault], rng: Random) -> list[NodeAction]:
    """The actions that the node faults consist of, sorted by time, then kind, then node."""
    actions: list[NodeAction] = []
    for fault in faults:
        for node in () if fault.is_link_fault else fault.nodes:
            if fault.kind in ("kill", "end", "start"):
                actions.append(NodeAction(fault.at, fault.kind, node))
                continue
            at = fault.at
            while at < fault.ends_at:
                stop_seconds = {"pause": fault.lasts, "rob": fault.seconds}.get(fault.kind, 0.0)
                stop_seconds = min(stop_seconds or 0.1 + 0.4 * rng.random(), fault.ends_at - at)
                actions += [NodeAction(at, "stop", node), NodeAction(at + stop_seconds, "go", node)]
                at += stop_seconds + (0.05 if fault.kind == "rob" else 0.1 + 0.4 * rng.random())
    return sorted(actions)


def validate_faults(faults: Sequence[Fault], nodes: Sequence[str]) -> str | None:
    """The first error in a list of faults, with its index and field; None if all are valid."""
    known_names = {*nodes, ANY_NODE}
    for number, fault in enumerate(faults):
        path = f"faults[{number}]"
        if fault.at < 0.0 or fault.lasts < 0.0:
            return f"{path}.at and .lasts must not be negative"
        for name in (*fault.source, *fault.target, *fault.nodes):
            if name not in known_names:
                return f"{path} names {name!r}, which is no node of the fleet"
        if not 0.0 <= fault.share <= 1.0:
            return f"{path}.share must be from 0 to 1"
        if not fault.is_link_fault and not fault.nodes:
            return f"{path}.nodes must name the nodes that {fault.kind} applies to"
        if fault.kind in ("pause", "freeze", "rob") and not fault.lasts:
            return f"{path}.lasts must be above 0 for {fault.kind}"
        if fault.kind == "rob" and fault.seconds <= 0.0:
            return f"{path}.seconds must be above 0 for rob"
    return None


class VirtualProcess:
    """The process of a node in virtual time. Calls to it are queued while it is stopped."""

    def __init__(self) -> None:
        self.core: Any = None  # the state machine that the process runs; None while there is no process
        self.stopped = False
        self.pending_calls: list[tuple[Callable[..., None], tuple]] = []  # callbacks and their arguments

    def resume(self) -> None:
        """Lets the process go on and makes the queued calls in order."""
        self.stopped = False
        calls, self.pending_calls = self.pending_calls, []
        for callback, arguments in calls:
            callback(*arguments)

    def terminate(self) -> None:
        """Ends the process and discards the queued calls."""
        self.core, self.stopped, self.pending_calls = None, False, []
