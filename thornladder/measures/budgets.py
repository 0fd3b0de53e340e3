"""`make measure-budgets`: checks how budgets are divided (docs/budgets.md), in virtual time only."""

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

BUDGET_LIMIT, WINDOW_SECONDS = 800, 1.0


class ScheduleResult(NamedTuple):
    """Result of one random fault schedule."""

    breach: str  # first violated invariant; empty if there is none
    max_spent_share: float  # of the limit, within any window


def run_schedule(count: int, seed: int) -> ScheduleResult:
    """Runs `count` nodes under random overlapping faults, with demand for twice the limit."""
    names = [f"n{k:03}" for k in range(count)]
    schedule = draw_schedule(names, seed)
    budget = Budget("x", (3, 40, 400)[seed // 3 % 3], (0.5, 1.0, 5.0)[seed % 3])
    simulation = Simulation(names, budget, schedule.faults, seed,
                            demand=lambda name, now: 2.0 * budget.limit / budget.window / count)  # fmt: skip
    simulation.run(schedule.healed_at + 10.0)
    return ScheduleResult(next(iter(simulation.breaches), ""), simulation.max_in_window / budget.limit)


def skewed_demand(name: str, now: float) -> float:
    """One node of eight has five times the mean demand; in total the demand is twice the limit."""
    return 2.0 * BUDGET_LIMIT * (5.0 if name == "n1" else 3.0 / 7.0) / 8.0


def moving_demand(name: str, now: float) -> float:
    """All demand is at one node, and moves to another one every ten seconds."""
    return 2.0 * BUDGET_LIMIT if name == f"n{int(now / 10.0) % 8}" else 1.0


def utilization_and_recovery(kind: str, seed: int) -> tuple[float, float]:
    """Runs eight nodes with the fault or demand `kind`.

    Returns the share of the limit that was spent, and the seconds until the utilization had recovered.
    """
    names, budget = [f"n{k}" for k in range(8)], Budget("x", BUDGET_LIMIT, WINDOW_SECONDS)
    demand = moving_demand if kind == "moving" else skewed_demand
    probe_run = Simulation(names, budget, [], seed, demand)
    probe_run.run(19.0)
    victim = (
        probe_run.leader
        if kind == "giver killed"
        else next(name for name in names if name != probe_run.leader)
    )
    kill = Fault(kind="kill", at=20.0, nodes=(victim,))
    late_start = [Fault(kind="kill", at=1.0, nodes=(victim,)), Fault(kind="start", at=20.0, nodes=(victim,))]
    faults = {"killed": [kill], "giver killed": [kill], "joined": late_start,
              "loss": [Fault(kind="loss", at=15.0, lasts=60.0, share=0.1)]}.get(kind, [])  # fmt: skip
    simulation = Simulation(names, budget, faults, seed, demand)
    simulation.run(80.0)
    measured_from, measured_until = {"killed": (23, 43), "giver killed": (23, 43), "joined": (23, 43)}.get(
        kind, (20, 75)
    )
    utilization_before = simulation.utilization(12, 20)
    recovered_at = next(
        (
            second
            for second in range(20, 78)
            if simulation.utilization(second, second + 2) >= 0.95 * utilization_before
        ),
        80,
    )
    return simulation.utilization(measured_from, measured_until), recovered_at - 20.0


def spend_cost_ns(rounds: int = 5, spends: int = 100_000) -> tuple[float, float]:
    """CPU time in nanoseconds of a spend, and of counting in a local window for comparison."""
    core = Core("a", ["a"], [Budget("x", 10 * spends, 1.0)], Random(1), 0.0)
    core.lease_expires_at, core.local_budgets[0].allocation = 1e9, 10 * spends
    local_window = core.local_budgets[0].floor_usage
    costs: tuple[list[float], list[float]] = ([], [])
    for _ in range(rounds):
        for index, spend in (
            (0, lambda now: core.try_spend(0, now)),
            (1, lambda now: local_window.read(now) < spends and local_window.add(now)),
        ):
            started_at = time.process_time()
            for number in range(spends):
                spend(100.0 + number * 1e-5)
            costs[index].append((time.process_time() - started_at) / spends * 1e9)
    return statistics.median(costs[0]), statistics.median(costs[1])


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and prints its points; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--jobs", type=int, default=6)
    options = parser.parse_args(arguments)
    points = Points("budgets")
    with ProcessPoolExecutor(options.jobs) as pool:
        for count, seeds in ((3, 1000), (8, 600), (16, 200)) if not options.full else (
            (3, 6000), (8, 3000), (16, 1000)
        ):  # fmt: skip
            results = list(pool.map(run_schedule, [count] * seeds, range(seeds), chunksize=10))
            breaches = [(seed, result.breach) for seed, result in enumerate(results) if result.breach]
            points.at_most(
                f"{count} nodes, {seeds} schedules: breaches",
                len(breaches),
                0,
                f"0-{seeds - 1}",
                first=breaches[:2],
                most=max(result.max_spent_share for result in results),
            )
        for kind, min_utilization in (
            ("calm", 0.97), ("moving", 0.90), ("killed", 0.90), ("giver killed", 0.90), ("joined", 0.90),
            ("loss", 0.80),
        ):  # fmt: skip
            results = list(pool.map(utilization_and_recovery, [kind] * 5, range(5)))
            points.at_least(
                f"use of the whole, {kind}",
                min(result[0] for result in results),
                min_utilization,
                "0-4",
                back=[result[1] for result in results],
            )
        walks = 5000 if options.full else 1000
        violations = [
            violation for violation in pool.map(explore.random_walk, range(walks), chunksize=20) if violation
        ]
        points.at_most(f"{walks} drawn courses of 400 steps: breaches", len(violations), 0, f"0-{walks - 1}")
        for faulty_core in explore.PLANTED_FAULTS:
            detecting_seed = next(
                (seed for seed in range(3000) if explore.random_walk(seed, make=faulty_core)), None
            )
            points.at_least(
                f"planted {faulty_core.__name__}: caught",
                int(detecting_seed is not None),
                1,
                f"0-{detecting_seed}",
            )
    exploration = explore.explore(12, 100_000 if options.full else 30_000)
    points.at_most(
        "exploration of three processes: breaches",
        1 if exploration.breach else 0,
        0,
        [],
        states=exploration.states,
        depth_finished=exploration.depth,
        seconds=round(exploration.seconds, 1),
        breach=exploration.breach,
        steps=list(exploration.steps),
    )
    spend_ns, local_ns = spend_cost_ns()
    points.at_most("a spend, of a local count", spend_ns / local_ns, 2.0, [], nanoseconds=round(spend_ns))
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
