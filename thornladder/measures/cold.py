"""`make measure-cold`: checks the load that all processes of a fleet together put on a cold backend.

Runs random slow-start ramps in virtual time with the real module, one instance for each process and nothing
shared between them (`rig/cold.py`), with 1 to 200 processes. Scenarios include the loss of most warm
backends, uneven traffic and costs, one moment in which all processes learn of the backend, restarts during
the ramp, and two processes on a node. No window may hold more than N + 2 sqrt(N) + 2 calls, where N is the
allowed number.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any, NamedTuple

from thornladder.measures.points import Points
from thornladder.rig.cold import Ramp, run_ramp

BASE_RAMP: dict[str, Any] = {"backends": 12, "warm_up": 8.0}
HALF_LOST: dict[str, Any] = {**BASE_RAMP, "lost": 6, "load": 0.9, "work": 0.08, "share": 0.13}
SCENARIOS: dict[str, dict[str, Any]] = {
    "one process": {**BASE_RAMP, "processes": 1},
    "6": {**BASE_RAMP, "processes": 6},
    "6, half lost": {**HALF_LOST, "processes": 6},
    "30": BASE_RAMP,
    "30, half lost": HALF_LOST,
    "30, half lost, heavy work": {**HALF_LOST, "work": 0.15, "multiple": 2.5},
    "30, two thirds lost, hot": {
        **BASE_RAMP,
        "backends": 6,
        "lost": 4,
        "load": 1.0,
        "work": 0.1,
        "multiple": 2.0,
        "share": 0.15,
    },
    "30, all others lost": {**BASE_RAMP, "backends": 4, "lost": 4, "load": 0.5},
    "30, uneven traffic": {**HALF_LOST, "uneven": 8.0},
    "30, costs that scatter": {**HALF_LOST, "spread": 2.0},
    "30, a third turned away elsewhere": {**HALF_LOST, "lost": 3, "load": 0.7, "errors": 0.3},
    "30, learned of within a second": {**HALF_LOST, "notice": 1.0},
    "30, ten restarted": {**HALF_LOST, "restarts": 10},
    "30, ten with a second process": {**HALF_LOST, "pairs": 10},
    "100, two thirds lost": {
        **BASE_RAMP,
        "processes": 100,
        "lost": 8,
        "load": 1.0,
        "work": 0.15,
        "multiple": 2.5,
    },
    "200": {**BASE_RAMP, "processes": 200},
    "200, half lost": {**HALF_LOST, "processes": 200},
}


class RampResult(NamedTuple):
    """Result of one ramp. N is the number of calls that the settings allow in a window."""

    seed: int
    peak_of_limit: float  # maximum calls in any window, as a fraction of N
    peak_of_tolerated: float  # the same, as a fraction of N + 2 sqrt(N) + 2
    mean_of_limit: float  # calls during the ramp, as a fraction of what N allows over it
    rejected: float  # fraction of the invocations


def run_scenario(seed: int, name: str) -> RampResult:
    """Runs the ramp of one of SCENARIOS."""
    fleet = run_ramp(Ramp(seed, **SCENARIOS[name]))
    return RampResult(
        seed,
        *fleet.peak_window(),
        fleet.mean_utilization(),
        fleet.rejected_count / max(fleet.invocation_count, 1),
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and prints its points; returns the exit code."""
    parser = argparse.ArgumentParser(prog="measure-cold", description=__doc__)
    parser.add_argument("--full", action="store_true", help="200 ramps of each scenario instead of 20")
    count = 200 if parser.parse_args(arguments).full else 20
    points = Points("cold")
    with ProcessPoolExecutor() as pool:
        for name in SCENARIOS:
            results = list(pool.map(partial(run_scenario, name=name), range(count), chunksize=2))
            violating = [result.seed for result in results if result.peak_of_tolerated > 1.0]
            points.at_most(
                f"ramps broken, {name}", len(violating), 0, f"0-{count - 1}", first=violating[:3],
                most_of_tolerated=round(max(result.peak_of_tolerated for result in results), 2),
                most_of_n=round(max(result.peak_of_limit for result in results), 2),
                mean_of_n=round(sum(result.mean_of_limit for result in results) / count, 3),
                rejected=round(sum(result.rejected for result in results) / count, 4),
            )  # fmt: skip
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
