"""`make measure-budgets`: what docs/budgets.md says of the division, so far in virtual time alone."""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import NamedTuple

from thornladder.measures.points import Points
from thornladder.measures.schedules import draw_schedule
from thornladder.rig.faults import Fault
from thornladder.shares import explore
from thornladder.shares.core import Budget, Core
from thornladder.shares.virtual import Simulation

WHOLE, HOLD = 800, 1.0


class Scheduled(NamedTuple):
    breach: str
    most: float  # spent within a hold, of the whole


def scheduled(count: int, seed: int) -> Scheduled:
    """A schedule of overlapping faults, demand twice the whole."""
    names = [f"n{k:03}" for k in range(count)]
    schedule = draw_schedule(names, seed)
    budget = Budget("x", (3, 40, 400)[seed // 3 % 3], (0.5, 1.0, 5.0)[seed % 3])
    world = Simulation(names, budget, schedule.faults, seed,
                       demand=lambda name, now: 2.0 * budget.limit / budget.window / count)  # fmt: skip
    world.run(schedule.healed_at + 10.0)
    return Scheduled(next(iter(world.breaches), ""), world.max_in_window / budget.limit)


def skewed(name: str, now: float) -> float:
    """One node of eight has five times the mean; all together ask twice the whole."""
    return 2.0 * WHOLE * (5.0 if name == "n1" else 3.0 / 7.0) / 8.0


def moving(name: str, now: float) -> float:
    """All of it is at one node, another one each ten seconds."""
    return 2.0 * WHOLE if name == f"n{int(now / 10.0) % 8}" else 1.0


def used(kind: str, seed: int) -> tuple[float, float]:
    """Share of the whole that was spent, and seconds that a death of the giver or of another cost."""
    names, budget = [f"n{k}" for k in range(8)], Budget("x", WHOLE, HOLD)
    demand = moving if kind == "moving" else skewed
    first = Simulation(names, budget, [], seed, demand)
    first.run(19.0)
    dies = first.leader if kind == "giver killed" else next(name for name in names if name != first.leader)
    killed = Fault(kind="kill", at=20.0, nodes=(dies,))
    absent = [Fault(kind="kill", at=1.0, nodes=(dies,)), Fault(kind="start", at=20.0, nodes=(dies,))]
    faults = {"killed": [killed], "giver killed": [killed], "joined": absent,
              "loss": [Fault(kind="loss", at=15.0, lasts=60.0, share=0.1)]}.get(kind, [])  # fmt: skip
    world = Simulation(names, budget, faults, seed, demand)
    world.run(80.0)
    since, until = {"killed": (23, 43), "giver killed": (23, 43), "joined": (23, 43)}.get(kind, (20, 75))
    before = world.utilization(12, 20)
    back = next(
        (second for second in range(20, 78) if world.utilization(second, second + 2) >= 0.95 * before), 80
    )
    return world.utilization(since, until), back - 20.0


def spend_cost(rounds: int = 5, many: int = 100_000) -> tuple[float, float]:
    """Nanoseconds of a spend, and of a local count of the same window."""
    core = Core("a", ["a"], [Budget("x", 10 * many, 1.0)], Random(1), 0.0)
    core.lease_expires_at, core.local_budgets[0].allocation = 1e9, 10 * many
    local = core.local_budgets[0].floor_usage
    took: tuple[list[float], list[float]] = ([], [])
    for _ in range(rounds):
        for place, spend in ((0, lambda now: core.try_spend(0, now)),
                             (1, lambda now: local.read(now) < many and local.add(now))):  # fmt: skip
            began = time.process_time()
            for number in range(many):
                spend(100.0 + number * 1e-5)
            took[place].append((time.process_time() - began) / many * 1e9)
    return statistics.median(took[0]), statistics.median(took[1])


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--jobs", type=int, default=6)
    given = parser.parse_args(words)
    points = Points("budgets")
    with ProcessPoolExecutor(given.jobs) as pool:
        for count, seeds in ((3, 1000), (8, 600), (16, 200)) if not given.full else (
            (3, 6000), (8, 3000), (16, 1000)
        ):  # fmt: skip
            done = list(pool.map(scheduled, [count] * seeds, range(seeds), chunksize=10))
            breaches = [(seed, each.breach) for seed, each in enumerate(done) if each.breach]
            points.at_most(f"{count} nodes, {seeds} schedules: breaches", len(breaches), 0, f"0-{seeds - 1}",
                           first=breaches[:2], most=max(each.most for each in done))  # fmt: skip
        for kind, least in (("calm", 0.97), ("moving", 0.90), ("killed", 0.90), ("giver killed", 0.90),
                            ("joined", 0.90), ("loss", 0.80)):  # fmt: skip
            done = list(pool.map(used, [kind] * 5, range(5)))
            points.at_least(f"use of the whole, {kind}", min(each[0] for each in done), least, "0-4",
                            back=[each[1] for each in done])  # fmt: skip
        walks = 5000 if given.full else 1000
        broken = [each for each in pool.map(explore.random_walk, range(walks), chunksize=20) if each]
        points.at_most(f"{walks} drawn courses of 400 steps: breaches", len(broken), 0, f"0-{walks - 1}")
        for planted in explore.PLANTED_FAULTS:
            found = next((seed for seed in range(3000) if explore.random_walk(seed, make=planted)), None)
            points.at_least(f"planted {planted.__name__}: caught", int(found is not None), 1, f"0-{found}")
    result = explore.explore(12, 100_000 if given.full else 30_000)
    points.at_most("exploration of three processes: breaches", 1 if result.breach else 0, 0, [],
                   states=result.states, depth_finished=result.depth, seconds=round(result.seconds, 1),
                   breach=result.breach, steps=list(result.steps))  # fmt: skip
    spend, local = spend_cost()
    points.at_most("a spend, of a local count", spend / local, 2.0, [], nanoseconds=round(spend))
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
