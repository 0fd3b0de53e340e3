"""The file of a change, checked: one line names what is wrong."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any, Literal

import msgspec

from thornladder import toml
from thornladder.fields import MalformedError
from thornladder.membership.wire import split_address


class Worse(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What new nodes may be worse by than old ones before it counts; shares of invocations where no unit."""

    bad: float = 0.01  # nacked, terminated, or completed past the target time
    slow: float = 0.05  # slower than three quarters of all were before the change
    further: float = 0.05  # pushes beyond the first, for each invocation
    core: float = 1.15  # of a core for each invocation: so many times the old
    memory: float = 0.25  # MB a second that they grow beyond the old


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: str
    settings: dict[str, Any] = {}  # a merge patch
    program: tuple[str, ...] = ()  # words of the command that runs the new program
    speaks: dict[str, int] = {}  # what the new program says of itself: `thornladder speaks`


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    change: Change
    nodes: dict[str, str]  # name to the keeper's address: the written list
    zones: dict[str, str] = {}  # name to zone, where there are several
    members: str = ""  # a second address whose /members must name the same nodes; none: not asked
    stages: tuple[float, ...] = (1, 0.2, 0.45, 1.0)  # up to 1: a share; whole numbers from 1 on: nodes, but
    # a last 1.0 is all of them
    before: float = 20.0  # seconds that all are watched as they are, first
    watch: float = 60.0  # seconds for each stage at least
    longest: float = 5.0  # times `watch`, for a stage that saw too little or is in doubt; then it is held
    least: int = 200  # invocations that a stage's new nodes must have had
    least_each: int = 200  # and of each offering with over a hundredth of what comes
    first: tuple[str, ...] = ()  # nodes that come first, such as one with much traffic
    out: int = 1  # nodes ordered and not yet serving, at once
    see: float = 0.75  # share of the list that must be seen, or nothing goes on
    ready: float = 30.0  # seconds for a node to run what it is told
    at_stop: Literal["hold", "undo"] = "undo"
    over_stopped: bool = False  # may begin where an earlier change stands half done
    false_stops: float = 0.01  # chance that a sound change is stopped, over all its stages
    worse: Worse = Worse()

    def stage_sizes(self) -> list[int]:
        count, sizes = len(self.nodes), []
        for place, stage in enumerate(self.stages):
            last = place == len(self.stages) - 1
            share = stage < 1.0 or (last and stage == 1.0)
            sizes.append(max(min(math.floor(stage * count + 1e-9) if share else int(stage), count), 1))
        return sizes

    def rollout_order(self) -> list[str]:
        """All nodes in the order of their turn: zones alternate."""
        zones: dict[str, list[str]] = {}
        for name in sorted(set(self.nodes) - set(self.first)):
            zones.setdefault(self.zones.get(name, ""), []).append(name)
        queues = [zones[zone] for zone in sorted(zones)]
        longest = max(map(len, queues), default=0)
        return [*self.first, *(queue[k] for k in range(longest) for queue in queues if k < len(queue))]


def load(path: Path) -> Plan:
    """Raises MalformedError with one line that names the field."""
    plan = toml.read(path, Plan)
    if wrong := validation_error(plan):
        raise MalformedError(wrong)
    return plan


def validation_error(plan: Plan) -> str | None:
    if not plan.nodes:
        return "nodes must name at least one"
    for name, address in plan.nodes.items():
        if split_address(address) is None:
            return f"nodes.{name} must be HOST:PORT"
    if len(set(plan.nodes.values())) < len(plan.nodes):
        return "nodes: two of them have one address"
    if strange := sorted(set(plan.zones) - set(plan.nodes)):
        return f"zones names {strange[0]!r}, which is not among nodes"
    if strange := sorted(set(plan.first) - set(plan.nodes)):
        return f"first names {strange[0]!r}, which is not among nodes"
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
