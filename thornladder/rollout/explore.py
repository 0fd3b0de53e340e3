"""Bounded model checking: three nodes, two drivers, every order of delivery, loss and driver crash.

It runs the real code of the driver and the nodes, not a model of it. A driver may crash between any two of
its actions and restart from its log alone; the second driver may start at any time.
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
REACHABLE_SETS = (NODES, ("a", "b"), ("c",))  # the nodes that one poll of a driver may reach
MAX_IN_FLIGHT = 3  # further messages are lost, as in a full queue


def make_plan(name: str) -> Plan:
    """A plan without observation times, so that only the protocol decides what happens."""
    nodes = {node: f"10.0.0.{k + 1}:1" for k, node in enumerate(NODES)}
    return Plan(change=Change(name=name, settings={"v": name}), nodes=nodes, stages=(1, 1.0), before=0.0,
                watch=0.0, least=0, least_each=0, see=0.6, out=2, over_stopped=True)  # fmt: skip


class Message(NamedTuple):
    """A claim or document on its way to a node."""

    node: str
    payload: Claim | Document


@dataclass
class State:
    """State of the whole system between two steps."""

    acceptors: dict[str, AcceptorState] = field(
        default_factory=lambda: {name: AcceptorState() for name in NODES}
    )
    logs: dict[str, list[Record]] = field(default_factory=lambda: {name: [] for name in DRIVERS})
    drivers: dict[str, Driver] = field(default_factory=dict)
    pending_actions: dict[str, list] = field(default_factory=lambda: {name: [] for name in DRIVERS})
    in_flight: list[Message] = field(default_factory=list)
    kills_left: int = 1
    now: float = 0.0

    def key(self) -> bytes:
        """Equal for states that need not be told apart."""
        drivers = [(driver.phase.value, driver.stage, driver.claim, driver.document,
                    sorted(driver.pending_since))
                   for driver in self.drivers.values()]  # fmt: skip
        actions = [
            [type(action).__name__, *action]
            for actions in self.pending_actions.values()
            for action in actions
        ]
        log_lengths = [len(log) for log in self.logs.values()]
        return msgspec.msgpack.encode(
            [self.acceptors, log_lengths, drivers, actions, self.in_flight, self.kills_left]
        )


class NoFindings(Judge):
    """Never finds a regression, as only the protocol is explored here."""

    def observe(self, *args: object, **kwargs: object) -> None:
        return None


def initial_state(driver_class: type[Driver]) -> State:
    """Both drivers are about to start, and no node has a document."""
    state = State()
    for name in DRIVERS:
        state.drivers[name] = driver_class(
            make_plan(name), name, judge=NoFindings(make_plan(name).worse, 0.01)
        )
    return state


def possible_steps(state: State) -> list[str]:
    """The steps that `apply_step` understands and that can happen next."""
    steps = [f"{verb} {k}" for k in range(len(state.in_flight)) for verb in ("deliver", "lose")]
    for name, driver in state.drivers.items():
        if state.pending_actions[name]:
            steps.append(f"act {name}")
        elif not driver.finished:
            steps += [f"look {name} {index}" for index in range(len(REACHABLE_SETS))]
        if state.kills_left and (state.logs[name] or state.pending_actions[name]):
            steps.append(f"kill {name}")
    return steps


def apply_step(state: State, step: str, driver_class: type[Driver]) -> str:
    """Applies a step in place; returns the violated invariant, or an empty string."""
    verb, target, *rest = step.split()
    if verb in ("deliver", "lose"):
        message = state.in_flight.pop(int(target))
        if verb == "lose":
            return ""
        acceptor, before = state.acceptors[message.node], state.acceptors[message.node].version
        if isinstance(message.payload, Claim):
            acceptor.grant(message.payload)
        else:
            acceptor.accept(message.payload)
        return (
            "a node went back to an older order" if acceptor.version < before else violated_invariant(state)
        )
    driver = state.drivers[target]
    if verb == "look":
        state.now += 100.0  # longer than any timeout
        reports = {name: _report(name, state.acceptors[name]) for name in REACHABLE_SETS[int(rest[0])]}
        state.pending_actions[target] = list(driver.step(state.now, reports))
    elif verb == "act":
        action = state.pending_actions[target].pop(0)
        if isinstance(action, WriteRecord):
            state.logs[target].append(action.record)
        else:
            payload = action.claim if isinstance(action, RequestClaim) else action.document
            state.in_flight += [Message(name, payload) for name in action.names]
            del state.in_flight[MAX_IN_FLIGHT:]
    else:
        state.kills_left -= 1
        state.pending_actions[target] = []
        plan = make_plan(target)
        state.drivers[target] = driver_class(plan, target, state.logs[target], NoFindings(plan.worse, 0.01))
    return violated_invariant(state)


def _report(name: str, acceptor: AcceptorState) -> NodeReport:
    running = acceptor.document.lines[name] if acceptor.document else 0
    return NodeReport(name, acceptor.document, acceptor.claim, running)


def violated_invariant(state: State) -> str:
    """Each version is one document, and nodes have only documents that a driver has logged."""
    logged: dict[tuple[int, int], Document] = {}
    for log in state.logs.values():
        for record in log:
            document = record.document
            if document is not None and logged.setdefault(document.version, document) != document:
                return f"two documents are both {document.version[0]}.{document.version[1]}"
    for name, acceptor in state.acceptors.items():
        if acceptor.document is not None and logged.get(acceptor.document.version) != acceptor.document:
            return f"{name} holds what no driver has written"
    return ""


def explore(depth: int, max_states: int, driver_class: type[Driver] = Driver) -> Result:
    """Explores all states within `depth` steps, or the first `max_states` of them."""
    return breadth_first(
        initial_state(driver_class),
        possible_steps,
        lambda state, step: apply_step(state, step, driver_class),
        depth,
        max_states,
    )


def run_to_quiet(state: State, driver_class: type[Driver] = Driver, max_rounds: int = 200) -> str:
    """Continues without faults until the drivers finish.

    Returns the violated invariant, or what is wrong with the final state; otherwise an empty string.
    """
    for round in range(max_rounds):
        for name in (*DRIVERS, DRIVERS[round % 2]):
            while state.pending_actions[name]:
                apply_step(state, f"act {name}", driver_class)
            while state.in_flight:
                if violation := apply_step(state, "deliver 0", driver_class):
                    return violation
            if not state.drivers[name].finished or round > max_rounds - 3:
                apply_step(state, f"look {name} 0", driver_class)
    versions = {acceptor.version for acceptor in state.acceptors.values()}
    phases = [driver.phase for driver in state.drivers.values()]
    if not all(driver.finished for driver in state.drivers.values()):
        return f"a driver never ends: {[phase.value for phase in phases]}"
    if Phase.DONE in phases and len(versions) != 1:
        return f"nodes hold different orders: {versions}"
    return ""


class ActsFirst(Driver):
    """Planted bug: sends a document before logging it."""

    def _transition(self, *args: object, **kwargs: object) -> list:
        return list(reversed(super()._transition(*args, **kwargs)))


class AnyGrant(Driver):
    """Planted bug: starts when a single node has granted the claim, without a quorum."""

    def _acquire_claim(self, reports: dict[str, NodeReport]) -> list:
        if self.claim is not None:
            original = self.plan
            self.plan = msgspec.structs.replace(original, nodes={"a": "10.0.0.1:1"})
            try:
                return super()._acquire_claim(reports)
            finally:
                self.plan = original
        return super()._acquire_claim(reports)
