"""Draws a soak of nodes with little memory, beside a crowd that comes back as soon as it is ended."""

from __future__ import annotations

from random import Random

from thornladder.rig.crowd import CrowdKind
from thornladder.rig.soak.plan import (
    LONGEST_DEADLINES,
    SERIES,
    SIMPLE_FAULTS,
    Action,
    Answers,
    Crowding,
    Shutdown,
    SoakPlan,
    draw_holds,
    draw_spells_of_faults,
)

MAX_NODES = 2
SERVING_SECONDS = (2.0, 4.0)  # of each process
HOLDS_PER_SECOND = (0.0, 0.0, 2.0)  # of each node
SOUND_SECONDS = (2.0, 8.0)  # between faults of a backend
MEMORY_MB, DESCRIPTORS = (32, 48, 64, 96), (256, 512, 1024)
CROWD_SIZES = (60, 400)  # clients of a crowd, fewest and most
CROWD_KINDS = tuple(
    kind
    for kind in CrowdKind
    if kind not in (CrowdKind.CHUNK_THEN_PART_OF_ONE, CrowdKind.HALF_BODIES, CrowdKind.ANYTHING)
)
MIN_DEADLINE_SECONDS = 0.5  # a crowd of hundreds is read and refused in less


def draw_pressure_plan(seed: int) -> SoakPlan:
    """Draws a soak of one or two nodes that are started again amid their crowd."""
    rng = Random(f"pressure {seed}")
    nodes, until = rng.randint(1, MAX_NODES), 2.0 * SERVING_SECONDS[1]
    deadlines = [seconds for seconds in LONGEST_DEADLINES if seconds >= MIN_DEADLINE_SECONDS]
    return SoakPlan(
        seed=seed,
        longest_deadline=rng.choice(deadlines),
        other_longest_deadline=rng.choice(deadlines),
        shutdowns=tuple(tuple(_draw_shutdown(rng) for _ in range(2)) for _ in range(nodes)),
        backends=tuple(
            draw_spells_of_faults(rng, until, SOUND_SECONDS, SIMPLE_FAULTS) for _ in range(rng.randint(4, 6))
        ),
        clients_per_node=rng.randint(4, 10),
        crowd=0,
        descriptors=rng.choice(DESCRIPTORS),
        holds=tuple(draw_holds(rng, nodes, until, HOLDS_PER_SECOND)),
        answers=Answers((0.002, 0.02), large_share=0.1, unframed_share=0.3, slow_share=0.1),
        large_upload_share=0.1,
        memory_mb=rng.choice(MEMORY_MB),
        crowding=Crowding(rng.choice(CROWD_KINDS), rng.randint(*CROWD_SIZES)),
        leave_share=0.1,
        return_share=0.5,
    )


def _draw_shutdown(rng: Random) -> Shutdown:
    actions: list[Action] = []
    ending = False
    for step in rng.choice(SERIES):
        pause = rng.choice((0.0, rng.uniform(0.0, 0.9))) if ending else rng.uniform(0.0, 0.3)
        actions.append(Action(pause, step))
        ending = ending or step.ends_process
    return Shutdown(rng.uniform(*SERVING_SECONDS), True, tuple(actions))
