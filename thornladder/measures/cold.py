"""`make measure-cold`: what all processes of a fleet send a cold backend together, in virtual time.

Seeded ramps of the real module, an instance a process with nothing shared (`rig/cold.py`), at 1, 6, 30 and
200 processes: most of the warm backends gone, uneven traffic and costs, one moment in which all learn of
the backend, restarts amid the ramp, two processes of one node. No sum of a span may pass N + 2 root of N + 2.
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

USUAL: dict[str, Any] = {"backends": 12, "warm_up": 8.0}
LOST: dict[str, Any] = {**USUAL, "lost": 6, "load": 0.9, "work": 0.08, "share": 0.13}
SCENARIOS: dict[str, dict[str, Any]] = {
    "one process": {**USUAL, "processes": 1},
    "6": {**USUAL, "processes": 6},
    "6, half lost": {**LOST, "processes": 6},
    "30": USUAL,
    "30, half lost": LOST,
    "30, half lost, heavy work": {**LOST, "work": 0.15, "multiple": 2.5},
    "30, two thirds lost, hot": {**USUAL, "backends": 6, "lost": 4, "load": 1.0, "work": 0.1, "multiple": 2.0,
                                 "share": 0.15},
    "30, all others lost": {**USUAL, "backends": 4, "lost": 4, "load": 0.5},
    "30, uneven traffic": {**LOST, "uneven": 8.0},
    "30, costs that scatter": {**LOST, "spread": 2.0},
    "30, a third turned away elsewhere": {**LOST, "lost": 3, "load": 0.7, "errors": 0.3},
    "30, learned of within a second": {**LOST, "notice": 1.0},
    "30, ten restarted": {**LOST, "restarts": 10},
    "30, ten with a second process": {**LOST, "pairs": 10},
    "100, two thirds lost": {**USUAL, "processes": 100, "lost": 8, "load": 1.0, "work": 0.15,
                            "multiple": 2.5},
    "200": {**USUAL, "processes": 200},
    "200, half lost": {**LOST, "processes": 200},
}  # fmt: skip


class Verdict(NamedTuple):
    seed: int
    peak_of_limit: float  # the most calls in a span, as a part of N
    peak_of_tolerated: float  # the same as a part of what is tolerated
    mean_of_limit: float  # calls in the ramp as a part of what N allows over it
    rejected: float


def run_scenario(seed: int, name: str) -> Verdict:
    fleet = run_ramp(Ramp(seed, **SCENARIOS[name]))
    return Verdict(
        seed,
        *fleet.peak_window(),
        fleet.mean_utilization(),
        fleet.rejected_count / max(fleet.invocation_count, 1),
    )


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="measure-cold", description=__doc__)
    parser.add_argument("--full", action="store_true", help="200 ramps of each day in place of 20")
    count = 200 if parser.parse_args(arguments).full else 20
    points = Points("cold")
    with ProcessPoolExecutor() as pool:
        for name in SCENARIOS:
            verdicts = list(pool.map(partial(run_scenario, name=name), range(count), chunksize=2))
            broken = [verdict.seed for verdict in verdicts if verdict.peak_of_tolerated > 1.0]
            points.at_most(
                f"ramps broken, {name}", len(broken), 0, f"0-{count - 1}", first=broken[:3],
                most_of_tolerated=round(max(each.peak_of_tolerated for each in verdicts), 2),
                most_of_n=round(max(each.peak_of_limit for each in verdicts), 2),
                mean_of_n=round(sum(each.mean_of_limit for each in verdicts) / count, 3),
                rejected=round(sum(each.rejected for each in verdicts) / count, 4),
            )  # fmt: skip
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
