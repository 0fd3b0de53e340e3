"""Seeded soak of real processes: signals, hanging backends, and clients that send until the kill."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path

import pytest

from thornladder.rig.soak.plan import Action, BackendMode, ModeChange, Shutdown, SoakPlan, Step, draw_plan
from thornladder.rig.soak.play import NODE_COMMAND, Soak

pytestmark = pytest.mark.anyio

# A node whose end is counted from the signal, and the time of a request from when it was read.
NODE_WITHOUT_SCHEDULE = """
import sys
from thornladder.__main__ import main
from thornladder.node.host import NodeHost
from thornladder.node.shutdown import ShutdownSchedule

NodeHost.begin_shutdown = NodeHost.end_unanswered = lambda *arguments: None
ShutdownSchedule.answer_by = ShutdownSchedule.exit_by = property(
    lambda schedule: schedule.signalled_at + schedule.longest_deadline
)
sys.exit(main())
"""


# Guards against requests that a node has read and that its end, a signal or a close leaves unanswered.
@pytest.mark.parametrize("seed", [0, 5, 8, 10, 11, 15, 16, 20, 49])
async def test_no_request_is_lost_in_a_shutdown(seed: int, tmp_path: Path) -> None:
    records = await Soak(draw_plan(seed, max_nodes=4), tmp_path).play()
    assert records.requests and records.processes
    assert records.violations() == []


def hanging_plan() -> SoakPlan:
    """Two nodes that are told to end while every backend hangs."""
    hanging = (ModeChange(0.0, BackendMode.HANG),)
    shutdown = Shutdown(0.5, True, (Action(0.0, Step.TERMINATE),))
    return replace(
        draw_plan(3),
        shutdowns=((shutdown,), (shutdown,)),
        backends=(hanging,) * 3,
        clients_per_node=16,
        crowd=0,
        descriptors=256,
    )


@pytest.mark.parametrize("planted", [False, True])
async def test_the_soak_finds_requests_that_outlive_their_process(planted: bool, tmp_path: Path) -> None:
    command = [sys.executable, "-B", "-c", NODE_WITHOUT_SCHEDULE] if planted else NODE_COMMAND
    records = await Soak(hanging_plan(), tmp_path, command).play()
    assert bool(records.violations()) is planted
