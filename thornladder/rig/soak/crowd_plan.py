"""Draws a soak of nodes beside crowds of hundreds that come back as soon as they are ended."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from thornladder.rig.crowd import CrowdKind
from thornladder.rig.soak.plan import Crowding, Shutdown, SoakPlan
from thornladder.rig.soak.pressure_plan import draw_pressure_plan

MEMORY_MB = (32, 48, 64, 64, 96, 192)
DESCRIPTORS = 1024
CROWD_SIZES = (300, 1000)  # clients of a crowd, fewest and most
SERVING_SECONDS = (2.5, 5.0)  # of each process


def draw_crowd_plan(seed: int) -> SoakPlan:
    """Draws one node that is told to end and started again amid its crowd, of any kind there is."""
    rng = Random(f"crowds {seed}")
    plan = draw_pressure_plan(seed)
    shutdowns = tuple(
        Shutdown(rng.uniform(*SERVING_SECONDS), True, shutdown.actions) for shutdown in plan.shutdowns[0]
    )
    return replace(
        plan,
        shutdowns=(shutdowns,),
        holds=tuple(hold for hold in plan.holds if hold.node == 0),
        memory_mb=rng.choice(MEMORY_MB),
        descriptors=DESCRIPTORS,
        crowding=Crowding(rng.choice(tuple(CrowdKind)), rng.randint(*CROWD_SIZES)),
    )
