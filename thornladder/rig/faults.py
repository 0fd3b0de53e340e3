"""Faults as values on one timeline, any number overlapping; the same for processes and in virtual time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Literal, NamedTuple

import msgspec

LinkKind = Literal["loss", "delay", "jitter", "duplicate", "reorder", "cut", "large"]
NodeKind = Literal["pause", "freeze", "rob", "kill", "end", "start"]
LINK_KINDS = frozenset(LinkKind.__args__)
ALL = "*"
ACKNOWLEDGED = 0.2  # seconds by which a lost part of a connection comes later: a common time until sent again


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`at`, `lasts`: seconds of the play. Of a link: `source` to `target`, either may be "*"; `both` ways.

    cut: nothing passes. loss, duplicate, reorder: `share` of the datagrams; what is reordered comes `seconds`
    later. delay: by `seconds`; jitter: by up to that, drawn. large: what is over `bytes` is lost.
    Of nodes: pause for `lasts`; freeze: stopped for 0.1 to 0.5 s over and over; rob: stopped for `seconds`
    over and over; kill, end (in order), start again.
    """

    kind: LinkKind | NodeKind
    at: float
    lasts: float = 0.0
    source: tuple[str, ...] = (ALL,)
    target: tuple[str, ...] = (ALL,)
    both: bool = False
    nodes: tuple[str, ...] = ()
    share: float = 0.0
    seconds: float = 0.0
    bytes: int = 0

    @property
    def is_link_fault(self) -> bool:
        return self.kind in LINK_KINDS

    @property
    def ends_at(self) -> float:
        return self.at + self.lasts

    def affects(self, source: str, target: str) -> bool:
        def on(a: str, b: str) -> bool:
            return (ALL in self.source or a in self.source) and (ALL in self.target or b in self.target)

        return on(source, target) or (self.both and on(target, source))


class LinkConditions:
    """What the links do at a moment, as the faults have it. Clock and chance are the caller's."""

    def __init__(self, faults: Iterable[Fault], base: float = 0.0002) -> None:
        """`base`: seconds that any datagram takes."""
        self.faults = sorted((fault for fault in faults if fault.is_link_fault), key=lambda each: each.at)
        self.base = base
        self._moment, self._active = -1.0, self.faults[:0]
        self._concerned: dict[tuple[int, str, str], bool] = {}  # a cut of hundreds is asked of very often

    def _concerns(self, fault: Fault, source: str, target: str) -> bool:
        key = (id(fault), source, target)
        known = self._concerned.get(key)
        if known is None:
            known = self._concerned[key] = fault.affects(source, target)
        return known

    def active(self, now: float) -> Sequence[Fault]:
        if now != self._moment:
            self._moment = now
            self._active = [fault for fault in self.faults if fault.at <= now < fault.ends_at]
        return self._active

    def datagram_delays(self, now: float, source: str, target: str, size: int, chance: Random) -> list[float]:
        """After how many seconds each copy of a datagram arrives; none where it is lost."""
        later, copies = self.base, 1
        for fault in self.active(now):
            if not self._concerns(fault, source, target):
                continue
            if fault.kind == "cut" or (fault.kind == "large" and size > fault.bytes):
                return []
            if fault.kind == "loss" and chance.random() < fault.share:
                return []
            if fault.kind == "duplicate" and chance.random() < fault.share:
                copies += 1
            elif fault.kind == "reorder" and chance.random() < fault.share or fault.kind == "delay":
                later += fault.seconds
            elif fault.kind == "jitter":
                later += fault.seconds * chance.random()
        return [later + 0.001 * copy for copy in range(copies)]

    def stream_delay(self, now: float, source: str, target: str, size: int, chance: Random) -> float | None:
        """The same for a part of a connection: what is lost is sent again, what is cut never comes (None)."""
        later = self.base
        for fault in self.active(now):
            if not self._concerns(fault, source, target):
                continue
            if fault.kind == "cut" or (fault.kind == "large" and size > fault.bytes):
                return None
            if fault.kind == "loss":
                while chance.random() < fault.share and later < 5.0:
                    later += ACKNOWLEDGED
            elif fault.kind in ("delay", "jitter"):
                later += fault.seconds * (1.0 if fault.kind == "delay" else chance.random())
        return later


class NodeAction(NamedTuple):
    """Something done to a node at a moment."""

    at: float
    kind: Literal["stop", "go", "kill", "end", "start"]
    node: str


def node_actions(faults: Iterable[Fault], chance: Random) -> list[NodeAction]:
    """What the faults of nodes come to, in order."""
    done: list[NodeAction] = []
    for fault in faults:
        for node in () if fault.is_link_fault else fault.nodes:
            if fault.kind in ("kill", "end", "start"):
                done.append(NodeAction(fault.at, fault.kind, node))
                continue
            at = fault.at
            while at < fault.ends_at:
                stopped = {"pause": fault.lasts, "rob": fault.seconds}.get(fault.kind, 0.0)
                stopped = min(stopped or 0.1 + 0.4 * chance.random(), fault.ends_at - at)
                done += [NodeAction(at, "stop", node), NodeAction(at + stopped, "go", node)]
                at += stopped + (0.05 if fault.kind == "rob" else 0.1 + 0.4 * chance.random())
    return sorted(done)


def validate_faults(faults: Sequence[Fault], nodes: Sequence[str]) -> str | None:
    """What is wrong with a timeline, by its place; None where nothing is."""
    known = {*nodes, ALL}
    for number, fault in enumerate(faults):
        where = f"faults[{number}]"
        if fault.at < 0.0 or fault.lasts < 0.0:
            return f"{where}.at and .lasts must not be negative"
        for name in (*fault.source, *fault.target, *fault.nodes):
            if name not in known:
                return f"{where} names {name!r}, which is no node of the fleet"
        if not 0.0 <= fault.share <= 1.0:
            return f"{where}.share must be from 0 to 1"
        if not fault.is_link_fault and not fault.nodes:
            return f"{where}.nodes must name the nodes that {fault.kind} is done to"
        if fault.kind in ("pause", "freeze", "rob") and not fault.lasts:
            return f"{where}.lasts must be above 0 for {fault.kind}"
        if fault.kind == "rob" and fault.seconds <= 0.0:
            return f"{where}.seconds must be above 0 for rob"
    return None


class VirtualProcess:
    """One name in virtual time: what runs under it, if anything does, and what waits while it is stopped."""

    def __init__(self) -> None:
        self.core: Any = None
        self.stopped = False
        self.pending_calls: list[tuple[Callable[..., None], tuple]] = []

    def resume(self) -> None:
        """It goes on, with what came meanwhile."""
        self.stopped = False
        waiting, self.pending_calls = self.pending_calls, []
        for what, given in waiting:
            what(*given)

    def terminate(self) -> None:
        self.core, self.stopped, self.pending_calls = None, False, []
