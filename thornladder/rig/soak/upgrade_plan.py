"""Draws a soak of upgrades: two processes of a node at one listening socket, and what may befall either."""

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
    draw_holds,
    draw_spells_of_faults,
)

MAX_NODES = 2
SERVING_SECONDS = (0.5, 2.0)  # of each process before the next one is started
START_SECONDS = (0.0, 0.8)  # after which a process is ended amid its start
HOLDS_PER_SECOND = (0.0, 2.0)  # of each node
SOUND_SECONDS = (2.0, 8.0)  # between faults of a backend


def draw_upgrade_plan(seed: int) -> SoakPlan:
    """Draws a soak of one or two nodes, with two to four processes each."""
    rng = Random(f"upgrade {seed}")
    nodes, until = rng.randint(1, MAX_NODES), 8.0
    return SoakPlan(
        seed=seed,
        longest_deadline=LONGEST_DEADLINES[seed % len(LONGEST_DEADLINES)],
        other_longest_deadline=rng.choice(LONGEST_DEADLINES),
        shutdowns=tuple(_draw_processes(rng) for _ in range(nodes)),
        are_upgrades=True,
        backends=tuple(
            draw_spells_of_faults(rng, until, SOUND_SECONDS, SIMPLE_FAULTS) for _ in range(rng.randint(4, 6))
        ),
        clients_per_node=rng.randint(6, 14),
        crowd=0,
        descriptors=rng.choice((128, 256)),
        holds=tuple(draw_holds(rng, nodes, until, HOLDS_PER_SECOND)),
        answers=Answers((0.002, 0.02)),
    )


def _draw_processes(rng: Random) -> tuple[Shutdown, ...]:
    """The first and the last become ready; of those between some are ended amid their start."""
    count = rng.randint(2, 4)
    processes = [_draw_process(rng, is_aborted=False)]
    processes += [_draw_process(rng, rng.random() < 0.3) for _ in range(count - 2)]
    last = _draw_process(rng, is_aborted=False)
    # Half of the nodes are told to end amid an upgrade: both processes at once, or nearly.
    serving = rng.choice((last.serving_seconds, rng.choice((0.0, rng.uniform(0.0, 0.3)))))
    return (*processes, Shutdown(serving, True, last.actions))


def _draw_process(rng: Random, is_aborted: bool) -> Shutdown:
    actions: list[Action] = []
    ending = False
    for step in rng.choice(SERIES):
        pause = rng.uniform(0.0, 0.5) if ending and rng.random() < 0.5 else 0.0
        actions.append(Action(pause, step))
        ending = ending or step.ends_process
    serving = rng.uniform(*(START_SECONDS if is_aborted else SERVING_SECONDS))
    return Shutdown(serving, not is_aborted, tuple(actions))
