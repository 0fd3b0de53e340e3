"""Draws a soak of nodes behind faulty networks: links to backends and discovery, cut and large answers."""

from __future__ import annotations

from random import Random

from thornladder.rig.soak.link import LinkFaults
from thornladder.rig.soak.plan import (
    LONGEST_DEADLINES,
    SIMPLE_FAULTS,
    Action,
    Answers,
    BackendMode,
    ListChange,
    Shutdown,
    SoakPlan,
    Step,
    draw_holds,
    draw_spells_of_faults,
)

MAX_NODES = 3
SERVING_SECONDS = (3.0, 5.0)  # of each process, shortest and longest
FAULTS = (*SIMPLE_FAULTS, BackendMode.CUT, BackendMode.CUT, BackendMode.EARLY, BackendMode.EARLY)
HOLDS_PER_SECOND = (0.0, 2.0)  # of each node
SOUND_SECONDS = (0.5, 2.0)  # between faults of a backend
LEAVING = ("terminating", "terminated")


def draw_network_plan(seed: int) -> SoakPlan:
    """Draws a soak of 1 to MAX_NODES nodes, each of which is shut down once or twice."""
    rng = Random(f"network {seed}")
    nodes, backends = rng.randint(1, MAX_NODES), rng.randint(4, 6)
    until = 2.0 * SERVING_SECONDS[1]
    return SoakPlan(
        seed=seed,
        longest_deadline=LONGEST_DEADLINES[seed % len(LONGEST_DEADLINES)],
        other_longest_deadline=rng.choice(LONGEST_DEADLINES),
        shutdowns=tuple(tuple(_draw_shutdown(rng) for _ in range(rng.randint(1, 2))) for _ in range(nodes)),
        backends=tuple(draw_spells_of_faults(rng, until, SOUND_SECONDS, FAULTS) for _ in range(backends)),
        clients_per_node=rng.randint(6, 12),
        crowd=0,
        descriptors=rng.choice((160, 256)),
        holds=tuple(draw_holds(rng, nodes, until, HOLDS_PER_SECOND)),
        answers=Answers((0.002, 0.02), rng.choice((0.0, 0.1, 0.3))),
        large_upload_share=rng.choice((0.03, 0.2)),
        list_changes=tuple(_draw_list_changes(rng, backends, until)),
        backend_links=_draw_faults(rng),
        discovery_link=_draw_faults(rng),
    )


def _draw_shutdown(rng: Random) -> Shutdown:
    return Shutdown(rng.uniform(*SERVING_SECONDS), True, (Action(0.0, Step.TERMINATE),))


def _draw_faults(rng: Random) -> LinkFaults:
    return LinkFaults(
        split=rng.choice((0.0, 0.2)),
        freeze=rng.choice((0.0, 0.02)),
        freeze_seconds=rng.choice((0.1, 0.5, 2.0)),
        reset=rng.choice((0.0, 0.02, 0.05)),
        close=rng.choice((0.0, 0.3)),
    )


def _draw_list_changes(rng: Random, backends: int, until: float) -> list[ListChange]:
    """One backend after the other leaves the list for a while; the others stay."""
    changes, at = [], rng.uniform(0.5, 2.0)
    while at < until:
        backend = rng.randrange(backends)
        changes.append(ListChange(at, backend, rng.choice(LEAVING)))
        at += rng.uniform(0.5, 2.0)
        changes.append(ListChange(at, backend, "in_service"))
        at += rng.uniform(0.1, 1.0)
    return changes
