"""`make soak`: seeded faults on real node processes, with clients that hold every answer against the rules.

Six kinds. Shutdowns: a fleet of 2 to 8 nodes under signals in series, faulty backends, for some a crowd of
idle connections (`rig/soak/plan.py`); clients send on all that is open until SIGKILL, at the platform's
earliest. Service: clients that rest on kept connections, one node that has all of them while the others are
in standby, hold-ups, restarts (`rig/soak/service_plan.py`). Network: faulty links to backends and discovery,
answers that are large, cut or early, large requests, changes of the list (`rig/soak/network_plan.py`).
Upgrade: two processes of a node at one listening socket, some ended amid their start or both together
(`rig/soak/upgrade_plan.py`). Pressure: nodes with little memory beside a crowd of clients that are slow or
dense in each phase, answers without a length, clients that come again under the id that they left
(`rig/soak/pressure_plan.py`). Crowd: the same with 1,024 descriptors, 300 to 1,000 clients of any kind of
crowd, 32 to 192 MB (`rig/soak/crowd_plan.py`).

Every request has to get one whole answer in time, or to be left unread on a connection that had been used and
whose end crossed it; a once-only one runs once at most; every process has to end by itself, and to stay
within its memory.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import NamedTuple

import anyio

from thornladder.measures.points import Points
from thornladder.rig.soak.crowd_plan import draw_crowd_plan
from thornladder.rig.soak.network_plan import draw_network_plan
from thornladder.rig.soak.plan import draw_plan
from thornladder.rig.soak.play import Soak
from thornladder.rig.soak.pressure_plan import draw_pressure_plan
from thornladder.rig.soak.service_plan import draw_service_plan
from thornladder.rig.soak.upgrade_plan import draw_upgrade_plan

DRAW_PLAN = {
    "shutdown": draw_plan,
    "service": draw_service_plan,
    "network": draw_network_plan,
    "upgrade": draw_upgrade_plan,
    "pressure": draw_pressure_plan,
    "crowd": draw_crowd_plan,
}


class SoakResult(NamedTuple):
    """Outcome of one seed."""

    seed: int
    violations: list[str]
    counts: dict[str, int]  # requests by how they ended
    processes: int  # that were shut down
    lag: float  # seconds by which the machine was late in all


def play_seed(seed: int, kind: str, folder: str = "") -> SoakResult:
    """Plays one seed of a kind in `DRAW_PLAN`. With a `folder` the logs of the nodes are kept there."""
    with tempfile.TemporaryDirectory() as temporary:
        soak = Soak(DRAW_PLAN[kind](seed), Path(folder or temporary) / f"seed-{seed}")
        records = anyio.run(soak.play, backend_options={"use_uvloop": True})
    return SoakResult(seed, records.violations(), records.counts(), len(records.processes), soak.lag.total)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and prints its points; returns the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="how many seeds")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--kind", choices=sorted(DRAW_PLAN), default="shutdown", help="what is played")
    parser.add_argument("--jobs", type=int, default=3, help="how many seeds at a time")
    parser.add_argument("--logs", default="", help="folder in which the logs of the nodes are kept")
    options = parser.parse_args(arguments)
    seeds = range(options.first, options.first + options.seeds)
    points, totals, processes, broken, most_lag = Points("soak"), Counter[str](), 0, [], 0.0
    with ProcessPoolExecutor(options.jobs) as pool:
        for result in pool.map(partial(play_seed, kind=options.kind, folder=options.logs), seeds):
            totals.update(result.counts)
            processes += result.processes
            most_lag = max(most_lag, result.lag)
            broken += [result.seed] if result.violations else []
            print(f"seed {result.seed}: {result.counts}, lag {result.lag:.2f} s", file=sys.stderr, flush=True)
            for violation in result.violations:
                print(f"seed {result.seed}: VIOLATION {violation}", file=sys.stderr, flush=True)
    name = f"{options.kind} {seeds[0]}-{seeds[-1]}"
    points.record("requests", sum(totals.values()), name, ends=dict(sorted(totals.items())))
    points.record("shutdowns", processes, name)
    points.record("most seconds by which the machine was late in a seed", most_lag, name)
    points.at_most("seeds in which a rule was broken", len(broken), 0, name, broken=broken)
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
