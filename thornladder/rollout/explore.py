"""Bounded exhaustive exploration: three nodes and two drivers, every order of delivery, loss, and death.

The driver's and the nodes' own code runs, not a copy. A driver dies between any two of its acts, and goes on
from its log alone; the second one begins whenever it likes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from thornladder.exploration import Result, breadth_first
from thornladder.rollout.core import Driver, NodeReport, Phase, Record, RequestClaim, WriteRecord
from thornladder.rollout.judge import Judge
from thornladder.rollout.orders import AcceptorState, Claim, Document
from thornladder.rollout.plan import Change, Plan

NODES = ("a", "b", "c")
DRIVERS = ("x", "y")
VIEWS = (NODES, ("a", "b"), ("c",))  # whom a look reaches
MAX_IN_FLIGHT = 3  # more are lost, as in a full queue


def make_plan(name: str) -> Plan:
    nodes = {node: f"10.0.0.{k + 1}:1" for k, node in enumerate(NODES)}
    return Plan(change=Change(name=name, settings={"v": name}), nodes=nodes, stages=(1, 1.0), before=0.0,
                watch=0.0, least=0, least_each=0, see=0.6, out=2, over_stopped=True)  # fmt: skip


class Message(NamedTuple):
    node: str
    what: Claim | Document


@dataclass
class State:
    held: dict[str, AcceptorState] = field(default_factory=lambda: {name: AcceptorState() for name in NODES})
    logs: dict[str, list[Record]] = field(default_factory=lambda: {name: [] for name in DRIVERS})
    drivers: dict[str, Driver] = field(default_factory=dict)
    acts: dict[str, list] = field(default_factory=lambda: {name: [] for name in DRIVERS})
    flying: list[Message] = field(default_factory=list)
    kills: int = 1
    now: float = 0.0

    def key(self) -> bytes:
        drivers = [(each.phase.value, each.stage, each.claim, each.document, sorted(each.ordered))
                   for each in self.drivers.values()]  # fmt: skip
        acts = [[type(act).__name__, *act] for acts in self.acts.values() for act in acts]
        logs = [len(log) for log in self.logs.values()]
        return msgspec.msgpack.encode([self.held, logs, drivers, acts, self.flying, self.kills])


class NoFindings(Judge):
    """Finds nothing: here it is about orders alone."""

    def observe(self, *given: object, **more: object) -> None:
        return None


def initial_state(make: type[Driver]) -> State:
    spot = State()
    for name in DRIVERS:
        spot.drivers[name] = make(make_plan(name), name, judge=NoFindings(make_plan(name).worse, 0.01))
    return spot


def possible_steps(spot: State) -> list[str]:
    can = [f"{what} {k}" for k in range(len(spot.flying)) for what in ("deliver", "lose")]
    for name, driver in spot.drivers.items():
        if spot.acts[name]:
            can.append(f"act {name}")
        elif not driver.finished:
            can += [f"look {name} {view}" for view in range(len(VIEWS))]
        if spot.kills and (spot.logs[name] or spot.acts[name]):
            can.append(f"kill {name}")
    return can


def apply_step(spot: State, choice: str, make: type[Driver]) -> str:
    """Does it, in place; what is broken after it, if anything is."""
    what, which, *rest = choice.split()
    if what in ("deliver", "lose"):
        each = spot.flying.pop(int(which))
        if what == "lose":
            return ""
        held, before = spot.held[each.node], spot.held[each.node].version
        if isinstance(each.what, Claim):
            held.grant(each.what)
        else:
            held.accept(each.what)
        return "a node went back to an older order" if held.version < before else broken(spot)
    driver = spot.drivers[which]
    if what == "look":
        spot.now += 100.0  # longer than any wait
        seen = {name: _seen(name, spot.held[name]) for name in VIEWS[int(rest[0])]}
        spot.acts[which] = list(driver.step(spot.now, seen))
    elif what == "act":
        act = spot.acts[which].pop(0)
        if isinstance(act, WriteRecord):
            spot.logs[which].append(act.record)
        else:
            sent = act.claim if isinstance(act, RequestClaim) else act.document
            spot.flying += [Message(name, sent) for name in act.names]
            del spot.flying[MAX_IN_FLIGHT:]
    else:
        spot.kills -= 1
        spot.acts[which] = []
        plan = make_plan(which)
        spot.drivers[which] = make(plan, which, spot.logs[which], NoFindings(plan.worse, 0.01))
    return broken(spot)


def _seen(name: str, held: AcceptorState) -> NodeReport:
    running = held.document.lines[name] if held.document else 0
    return NodeReport(name, held.document, held.claim, running)


def broken(spot: State) -> str:
    written: dict[tuple[int, int], Document] = {}
    for log in spot.logs.values():
        for record in log:
            document = record.document
            if document is not None and written.setdefault(document.version, document) != document:
                return f"two documents are both {document.version[0]}.{document.version[1]}"
    for name, held in spot.held.items():
        if held.document is not None and written.get(held.document.version) != held.document:
            return f"{name} holds what no driver has written"
    return ""


def explore(depth: int, most: int, make: type[Driver] = Driver) -> Result:
    """All states that `depth` steps lead to, or the first `most` of them."""
    return breadth_first(
        initial_state(make), possible_steps, lambda spot, choice: apply_step(spot, choice, make), depth, most
    )


def run_to_quiet(spot: State, make: type[Driver] = Driver, most: int = 200) -> str:
    """From here on all goes well: what the fleet ends in, where that is nothing stated."""
    for round in range(most):
        for name in (*DRIVERS, DRIVERS[round % 2]):
            while spot.acts[name]:
                apply_step(spot, f"act {name}", make)
            while spot.flying:
                if wrong := apply_step(spot, "deliver 0", make):
                    return wrong
            if not spot.drivers[name].finished or round > most - 3:
                apply_step(spot, f"look {name} 0", make)
    orders = {held.version for held in spot.held.values()}
    phases = [driver.phase for driver in spot.drivers.values()]
    if not all(driver.finished for driver in spot.drivers.values()):
        return f"a driver never ends: {[phase.value for phase in phases]}"
    if Phase.DONE in phases and len(orders) != 1:
        return f"nodes hold different orders: {orders}"
    return ""


class ActsFirst(Driver):
    """Planted: sends before it writes."""

    def _transition(self, *given: object, **more: object) -> list:
        return list(reversed(super()._transition(*given, **more)))


class AnyGrant(Driver):
    """Planted: begins on the grant of one node."""

    def _acquire_claim(self, seen: dict[str, NodeReport]) -> list:
        if self.claim is not None:
            whole = self.plan
            self.plan = msgspec.structs.replace(whole, nodes={"a": "10.0.0.1:1"})
            try:
                return super()._acquire_claim(seen)
            finally:
                self.plan = whole
        return super()._acquire_claim(seen)
