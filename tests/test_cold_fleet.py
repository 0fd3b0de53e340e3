"""What all processes of a fleet together send to a backend in slow start, with the real decisions."""

from __future__ import annotations

from unittest import mock

import pytest

from thornladder.decide import Node
from thornladder.measures.cold import SCENARIOS, run_scenario
from thornladder.rig.cold import Ramp, run_ramp, tolerated_calls


# Regression: the first attempt of a process in an overload window was admitted whatever its cost. The first
# attempts of 30 to 100 processes added up to 1.17, 1.13, 1.06 and 1.00 times the tolerated calls.
@pytest.mark.parametrize(
    "name, seeds",
    [
        ("30, half lost", (4, 12, 18)), ("30, half lost, heavy work", (1, 4)),
        ("30, two thirds lost, hot", (15,)), ("100, two thirds lost", (9,)),
    ],
)  # fmt: skip
def test_first_attempts_of_many_processes_do_not_overload_a_cold_backend(
    name: str, seeds: tuple[int, ...]
) -> None:
    for seed in seeds:
        verdict = run_scenario(seed, name)
        assert verdict.peak_of_tolerated <= 1.0 and verdict.mean_of_limit > 0.1


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_sum_of_all_processes_is_tolerated_and_the_cold_backend_serves(name: str) -> None:
    verdicts = [run_scenario(seed, name) for seed in range(100, 103)]
    assert max(verdict.peak_of_tolerated for verdict in verdicts) <= 1.0
    assert min(verdict.mean_of_limit for verdict in verdicts) > 0.02


def test_a_fleet_that_admits_every_attempt_is_detected() -> None:
    admit_all = mock.patch.object(Node, "_admits_cold", lambda self, *args: True)
    with admit_all:
        assert max(run_scenario(seed, "30, half lost").peak_of_tolerated for seed in (0, 4, 12, 18)) > 1.0


def test_a_ramp_runs_the_same_each_time_and_the_allowed_calls_follow_the_settings() -> None:
    ramp = Ramp(3, processes=6, backends=6, warm_up=4.0)
    assert run_ramp(ramp).cold_attempt_times == run_ramp(ramp).cold_attempt_times
    assert tolerated_calls(9.0) == pytest.approx(17.0)
    fleet = run_ramp(ramp)
    assert fleet.allowed_calls(fleet.cold_start_at) == pytest.approx(3.0 * 0.2 / 0.05)
    assert fleet.allowed_calls(fleet.cold_start_at + 2.0) == pytest.approx(3.0 * 0.5 / 0.05)
