"""The plan of a change: its TOML file, with validation. Each error is one line that names the field."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any, Literal

import msgspec

from thornladder import toml
from thornladder.fields import MalformedError
from thornladder.membership.wire import split_address


class Worse(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Tolerances: how much worse new nodes may do than old ones; shares of invocations unless stated."""

    bad: float = 0.01  # nacked, terminated, or completed past the target time
    slow: float = 0.05  # slower than three quarters of all were before the change
    further: float = 0.05  # pushes beyond the first, for each invocation
    core: float = 1.15  # core time per invocation, as a multiple of the old nodes'
    memory: float = 0.25  # growth beyond the old nodes', in MB per second


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What is rolled out: either settings or a program."""

    name: str
    settings: dict[str, Any] = {}  # JSON merge patch
    program: tuple[str, ...] = ()  # command line of the new program
    speaks: dict[str, int] = {}  # protocol versions of the new program, from `thornladder speaks`


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How a change is rolled out over the fleet."""

    change: Change
    nodes: dict[str, str]  # all nodes of the fleet: name to address of the keeper
    zones: dict[str, str] = {}  # name to zone, if there are several
    members: str = ""  # admin address whose /members must name the same nodes; empty: not checked
    stages: tuple[float, ...] = (1, 0.2, 0.45, 1.0)  # below 1: share of the nodes; from 1 on: their number,
    # except that a last 1.0 means all of them
    before: float = 20.0  # seconds of baseline before the first stage
    watch: float = 60.0  # minimum seconds per stage
    longest: float = 5.0  # times `watch`: an undersampled or inconclusive stage is then put on hold
    least: int = 200  # minimum invocations at new nodes per stage
    least_each: int = 200  # the same for each offering with over a hundredth of the traffic
    first: tuple[str, ...] = ()  # nodes to change first, such as one with much traffic
    out: int = 1  # maximum nodes that are changing and not yet serving
    see: float = 0.75  # share of the nodes that must be reachable for the rollout to proceed
    ready: float = 30.0  # seconds for a node to run its assigned variant
    at_stop: Literal["hold", "undo"] = "undo"
    over_stopped: bool = False  # may start although an earlier change is unfinished
    false_stops: float = 0.01  # probability that a sound change is stopped, over all stages
    worse: Worse = Worse()

    def stage_sizes(self) -> list[int]:
        """Number of nodes with the new variant at the end of each stage."""
        count, sizes = len(self.nodes), []
        for index, stage in enumerate(self.stages):
            last = index == len(self.stages) - 1
            is_share = stage < 1.0 or (last and stage == 1.0)
            sizes.append(max(min(math.floor(stage * count + 1e-9) if is_share else int(stage), count), 1))
        return sizes

    def rollout_order(self) -> list[str]:
        """All nodes in the order in which they change: `first`, then alternating between zones."""
        zones: dict[str, list[str]] = {}
        for name in sorted(set(self.nodes) - set(self.first)):
            zones.setdefault(self.zones.get(name, ""), []).append(name)
        queues = [zones[zone] for zone in sorted(zones)]
        longest = max(map(len, queues), default=0)
        return [*self.first, *(queue[k] for k in range(longest) for queue in queues if k < len(queue))]


def load(path: Path) -> Plan:
    """Raises MalformedError with one line that names the field."""
    plan = toml.read(path, Plan)
    if error := validation_error(plan):
        raise MalformedError(error)
    return plan


def validation_error(plan: Plan) -> str | None:
    """Returns the first error as one line that names the field, or None."""
    if not plan.nodes:
        return "nodes must name at least one"
    for name, address in plan.nodes.items():
        if split_address(address) is None:
            return f"nodes.{name} must be HOST:PORT"
    if len(set(plan.nodes.values())) < len(plan.nodes):
        return "nodes: two of them have one address"
    if unknown := sorted(set(plan.zones) - set(plan.nodes)):
        return f"zones names {unknown[0]!r}, which is not among nodes"
    if unknown := sorted(set(plan.first) - set(plan.nodes)):
        return f"first names {unknown[0]!r}, which is not among nodes"
    if bool(plan.change.settings) == bool(plan.change.program):
        return "change must have either settings or program"
    if plan.change.program and not plan.change.speaks:
        return "change.speaks is missing: what `thornladder speaks` prints under the new program"
    if not plan.stages or any(not 0.0 < stage < 1e6 for stage in plan.stages):
        return "stages must be numbers above 0"
    sizes = plan.stage_sizes()
    if sizes != sorted(sizes):
        return f"stages must grow, and are {sizes} nodes"
    if sizes[-1] != len(plan.nodes):
        return f"the last stage must be all {len(plan.nodes)} nodes, and is {sizes[-1]}"
    for field in ("watch", "longest", "ready", "out", "see", "false_stops"):
        if not getattr(plan, field) > 0:
            return f"{field} must be above 0"
    if plan.see > 1.0 or plan.false_stops >= 0.5:
        return "see must be at most 1 and false_stops below 0.5"
    if plan.before < 0.0 or plan.least < 0:
        return "before and least must not be negative"
    return None
