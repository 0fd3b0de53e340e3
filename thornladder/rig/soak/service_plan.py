"""Draws a soak of nodes in service: resting clients, one node that carries all, hold-ups, restarts."""

from __future__ import annotations

from random import Random

from thornladder.rig.soak.plan import (
    LONGEST_DEADLINES,
    SERIES,
    SIMPLE_FAULTS,
    Action,
    Answers,
    Shutdown,
    SoakPlan,
    Standby,
    draw_holds,
    draw_spells_of_faults,
)

MAX_NODES = 3
SERVING_SECONDS = (3.0, 5.0)  # of each process, shortest and longest
HOLDS_PER_SECOND = (0.0, 2.0, 5.0)  # of each node
SOUND_SECONDS = (2.0, 8.0)  # between faults of a backend
ANSWER_SECONDS = (0.002, 0.02)
RESTING_SHARE = (0.2, 0.47)  # clients for each descriptor of a node
CROWD_SHARE = 0.7  # of a node's descriptors: connections that send nothing, where there is a crowd


def draw_service_plan(seed: int) -> SoakPlan:
    """Draws a soak in which the clients' connections move between nodes in service."""
    rng = Random(f"service {seed}")
    nodes = rng.randint(1, MAX_NODES)
    descriptors = rng.choice((128, 256, 384))
    # All of them come to one node while the others are away.
    resting = round(rng.uniform(*RESTING_SHARE) * descriptors)
    crowd = round(CROWD_SHARE * descriptors) if rng.random() < 0.2 else 0
    longest_seconds = 2.0 * SERVING_SECONDS[1]
    return SoakPlan(
        seed=seed,
        longest_deadline=LONGEST_DEADLINES[seed % len(LONGEST_DEADLINES)],
        other_longest_deadline=rng.choice(LONGEST_DEADLINES),
        shutdowns=tuple(_draw_shutdowns(rng) for _ in range(nodes)),
        backends=tuple(
            draw_spells_of_faults(rng, longest_seconds, SOUND_SECONDS, SIMPLE_FAULTS)
            for _ in range(rng.randint(4, 6))
        ),
        clients_per_node=rng.randint(0, 3),
        crowd=crowd,
        descriptors=descriptors,
        resting_clients=resting,
        standbys=tuple(_draw_standbys(rng, nodes, longest_seconds)),
        holds=tuple(draw_holds(rng, nodes, longest_seconds, HOLDS_PER_SECOND)),
        answers=Answers(ANSWER_SECONDS),
    )


def _draw_shutdowns(rng: Random) -> tuple[Shutdown, ...]:
    return tuple(_draw_shutdown(rng) for _ in range(rng.randint(1, 2)))


def _draw_shutdown(rng: Random) -> Shutdown:
    actions: list[Action] = []
    ending = False
    for step in rng.choice(SERIES):
        pause = rng.choice((0.0, rng.uniform(0.0, 0.9))) if ending else rng.uniform(0.0, 1.0)
        actions.append(Action(pause, step))
        ending = ending or step.ends_process
    return Shutdown(rng.uniform(*SERVING_SECONDS), True, tuple(actions))


def _draw_standbys(rng: Random, nodes: int, until: float) -> list[Standby]:
    """In turn, all nodes but one are in standby."""
    standbys, at = [], rng.uniform(0.3, 1.0)
    while nodes > 1 and at < until:
        carrying, seconds = rng.randrange(nodes), rng.uniform(1.0, 2.0)
        standbys += [Standby(node, at, seconds) for node in range(nodes) if node != carrying]
        at += seconds + rng.uniform(0.2, 1.0)
    return standbys
