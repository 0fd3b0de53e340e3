"""Fleet-wide budgets: the core by itself, in simulations with faults, and under model checking."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornladder.measures.schedules import draw_schedule
from thornladder.rig.faults import Fault
from thornladder.shares import explore
from thornladder.shares.core import (
    MAX_CLOCK_DRIFT,
    Budget,
    Core,
    UsageCounter,
    floor_allocations,
    max_min_fair,
)
from thornladder.shares.virtual import Simulation


@given(st.lists(st.floats(0.0, 0.7), max_size=60), st.floats(0.1, 3.0))
def test_units_count_for_the_whole_window_and_not_much_longer(gaps: list[float], window: float) -> None:
    counter, now, spend_times = UsageCounter(window), 0.0, []
    for gap in gaps:
        now += gap
        lower = sum(now - at < window for at in spend_times)
        upper = sum(now - at < window * 1.01 + 1e-6 for at in spend_times)
        assert lower <= counter.read(now) <= upper
        counter.add(now)
        spend_times.append(now)


@given(st.integers(0, 500), st.lists(st.integers(0, 300), min_size=1, max_size=20))
def test_division_is_complete_and_even_among_unsatisfied_demands(total: int, demands: list[int]) -> None:
    allocations = max_min_fair(total, {(f"n{k:02}", k): demand for k, demand in enumerate(demands)})
    assert sum(allocations.values()) == total
    unsatisfied = [
        allocations[f"n{k:02}", k] for k, demand in enumerate(demands) if allocations[f"n{k:02}", k] < demand
    ]
    assert not unsatisfied or max(allocations.values()) <= min(unsatisfied) + 1


@pytest.mark.parametrize(("limit", "count"), [(0, 16), (3, 16), (100, 3), (7, 1), (5000, 400)])
def test_floors_are_even_and_add_up_to_their_fraction_of_the_limit(limit: int, count: int) -> None:
    budget = Budget("x", limit, 1.0)
    floors = floor_allocations(budget, [f"n{k}" for k in range(count)])
    assert (
        sum(floors.values()) == int(limit * budget.floor_fraction)
        and max(floors.values()) - min(floors.values()) <= 1
    )


def test_isolated_process_has_only_its_floor_and_that_after_one_window() -> None:
    core = Core("a", ["a", "b", "c"], [Budget("x", 12, 1.0)], Random(1), 100.0)
    assert not core.try_spend(0, 100.5)
    assert [core.try_spend(0, 102.0) for _ in range(3)] == [True, False, False]


def simulate_random_faults(count: int, seed: int) -> Simulation:
    """Runs `count` nodes under a random schedule of faults, with demand for twice the limit."""
    names = [f"n{k:02}" for k in range(count)]
    schedule = draw_schedule(names, seed)
    limit, window = (3, 40, 400)[seed // 3 % 3], (0.5, 1.0, 5.0)[seed % 3]
    simulation = Simulation(names, Budget("x", limit, window), schedule.faults, seed,
                            demand=lambda name, now: 2.0 * limit / window / count)  # fmt: skip
    simulation.run(schedule.healed_at + 10.0)
    return simulation


@pytest.mark.parametrize("seed", range(12))
def test_limit_is_never_exceeded_under_faults(seed: int) -> None:
    simulation = simulate_random_faults(5, seed)
    assert simulation.breaches == [] and 0 < simulation.max_in_window <= simulation.budget.limit


def test_limit_is_well_used_without_faults_and_soon_after_the_leader_died() -> None:
    names = [f"n{k}" for k in range(8)]
    budget = Budget("x", 400, 1.0)

    def demand(name: str, now: float) -> float:
        return 400.0 if name == "n1" else 100.0

    simulation = Simulation(names, budget, [], 1, demand)
    simulation.run(20.0)
    assert simulation.leader and simulation.utilization(10, 20) >= 0.9
    simulation = Simulation(
        names, budget, [Fault(kind="kill", at=20.0, nodes=(simulation.leader,))], 1, demand
    )
    simulation.run(40.0)
    assert (
        simulation.utilization(23, 26) >= 0.7
        and simulation.utilization(30, 40) >= 0.85
        and not simulation.breaches
    )


def test_simulated_clocks_stay_within_the_maximum_drift() -> None:
    rates = [
        node.clock_rate for node in Simulation(["a", "b", "c"], Budget("x", 3, 1.0), [], 1).nodes.values()
    ]
    assert max(rates) / min(rates) < 1.0 + MAX_CLOCK_DRIFT


def test_random_walks_and_search_find_no_breach_and_each_planted_fault() -> None:
    assert [seed for seed in range(60) if explore.random_walk(seed)] == []
    assert explore.explore(10, 800).breach == ""
    seeds = {"RaisesEarly": 2, "SpendsAfterPause": 56, "OldGrants": 834}
    for faulty_core in explore.PLANTED_FAULTS:
        assert explore.random_walk(seeds.get(faulty_core.__name__, 0), make=faulty_core), faulty_core.__name__
