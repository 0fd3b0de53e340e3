"""`make measure-membership`: checks the promises of docs/membership.md on processes and in virtual time."""

from __future__ import annotations

import argparse
import math
import statistics
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from thornladder.measures.points import Points
from thornladder.measures.schedules import Schedule, draw_schedule
from thornladder.membership import baselines
from thornladder.membership.explore import explore
from thornladder.rig import play
from thornladder.rig.faults import Fault
from thornladder.rig.play import BackendReplacement, Expectations, Load, Scenario
from thornladder.rig.virtual import Simulation, ours

REMOVED_STATES = ("lost", "ended", "left")
LARGE_FLEET_SCHEDULES = 12  # schedules of 400 members with --full; each takes minutes of a core


# On processes: one long scenario for each seed, with its events one after the other.


class Timeline:
    """Times of the events of the long scenario, in seconds from its start."""

    KILL, START, SILENT, SILENT_END, PAUSES = 2.0, 8.0, 12.0, 24.0, 32.0
    # 16 members probe each pair once in 8 s: 30 s are enough even on a loaded machine.
    ONE_SIDED, ONE_SIDED_END, SHORT_CUT, LONG_CUT, LONG_CUT_END = 72.0, 102.0, 106.0, 114.0, 144.0
    KILL_HALF, START_HALF, LOSS, LOSS_END = 154.0, 159.0, 168.0, 228.0
    END = 232.0


def long_scenario(size: int, seed: int) -> Scenario:
    """Kills, pauses, partitions and loss in one scenario of `size` nodes; the seed picks the paused node."""
    names = [f"n{number:02}" for number in range(size)]
    t = Timeline
    half = size // 2
    killed, silent, paused = names[1], names[2], names[seed % size]
    left, right = tuple(names[:half]), tuple(names[half:])
    faults = [
        Fault(kind="kill", at=t.KILL, nodes=(killed,)),
        Fault(kind="start", at=t.START, nodes=(killed,)),
        Fault(kind="cut", at=t.SILENT, lasts=t.SILENT_END - t.SILENT, source=(silent,), both=True),
        *(Fault(kind="pause", at=t.PAUSES + 8.0 * k, lasts=5.0, nodes=(paused,)) for k in range(5)),
        Fault(kind="cut", at=t.ONE_SIDED, lasts=t.ONE_SIDED_END - t.ONE_SIDED, source=(names[0],),
              target=(names[-1],)),
        Fault(kind="cut", at=t.SHORT_CUT, lasts=2.0, source=left, target=right, both=True),
        Fault(kind="cut", at=t.LONG_CUT, lasts=t.LONG_CUT_END - t.LONG_CUT, source=left, target=right,
              both=True),
        Fault(kind="kill", at=t.KILL_HALF, nodes=left), Fault(kind="start", at=t.START_HALF, nodes=left),
        Fault(kind="loss", at=t.LOSS, lasts=t.LOSS_END - t.LOSS, share=0.3),
    ]  # fmt: skip
    return Scenario(seconds=t.END, nodes=size, seeds=min(3, size), load=Load(rate=0.0), faults=faults,
                    holds=Expectations(one_view_after=10.0))  # fmt: skip


def run_long_scenario(size: int, seed: int) -> dict[str, Any] | str:
    """Returns the result of the long scenario, or a text that says why it could not run."""
    try:
        return play.run_scenario(long_scenario(size, seed), seed)
    except (play.ScenarioError, OSError, ExceptionGroup) as error:
        return repr(error)


def view_changes(result: dict[str, Any], since: float, until: float) -> list[dict[str, Any]]:
    """The changes from `since` until before `until` that changed a member's view of the fleet."""
    return [change for change in result["changes"] if change["view"] and since <= change["at"] < until]


def scenario_figures(result: dict[str, Any], size: int) -> dict[str, float]:
    """The figures of one long scenario; each is held against its value in FIGURE_LIMITS, or against 0."""
    t = Timeline
    names = [f"n{number:02}" for number in range(size)]
    half = size // 2

    def removal_seconds(name: str, at: float, until: float, observers: Sequence[str]) -> float:
        """Seconds from `at` until the last observer removed `name`; inf if one did not."""
        removed_at = {change["by"]: change["at"] for change in reversed(view_changes(result, at, until))
                      if change["of"] == name and change["state"] in REMOVED_STATES}  # fmt: skip
        return max((removed_at.get(observer, math.inf) - at for observer in observers), default=0.0)

    survivors = [name for name in names if name != names[1]]
    not_isolated = [name for name in names if name != names[2]]
    cut_changes = view_changes(result, t.LONG_CUT, t.LONG_CUT_END)
    removed = {(change["by"], change["of"]) for change in cut_changes if change["state"] in REMOVED_STATES}
    expected = {
        (observer, subject)
        for observer in names
        for subject in names
        if (observer in names[:half]) != (subject in names[:half])
    }
    excluded = set(names[:half]) if half == 1 else set()  # a single member cannot tell who is cut off
    expected = {(observer, subject) for observer, subject in expected if observer not in excluded}
    events = [(t.KILL, t.START), (t.START, t.SILENT), (t.SILENT, t.SILENT_END), (t.SILENT_END, t.PAUSES),
              (t.LONG_CUT, t.LONG_CUT_END), (t.LONG_CUT_END, t.KILL_HALF)]  # fmt: skip
    max_changes = max(
        (count for since, until in events
         for count in Counter((change["by"], change["of"]) for change in view_changes(result, since, until)
                              if not (since == t.START and change["by"] == names[1])).values()), default=0,
    )  # fmt: skip
    path_states = [
        path_state
        for observer, subject in ((names[0], names[-1]), (names[-1], names[0]))
        for at, _, path_state in result["views"].get(observer, {}).get(subject, [])
        if t.ONE_SIDED <= at < t.ONE_SIDED_END + 1
    ]
    healed_changes = [change["at"] for change in view_changes(result, t.LONG_CUT_END, t.KILL_HALF)]
    restart_changes = [change["at"] for change in view_changes(result, t.START_HALF, t.LOSS)]
    paused = names[result["seed"] % size]
    accusations = [change for change in result["changes"]
                   if t.PAUSES <= change["at"] < t.ONE_SIDED and paused in change["witnesses"]]  # fmt: skip
    return {
        "killed known to all": removal_seconds(names[1], t.KILL, t.START, survivors),
        "silent known to all": removal_seconds(names[2], t.SILENT, t.SILENT_END, not_isolated),
        "removed while paused": len(view_changes(result, t.PAUSES, t.ONE_SIDED)),
        "accused by the paused": len(accusations),
        "removed by a one-sided cut": len(view_changes(result, t.ONE_SIDED, t.ONE_SIDED_END)),
        "one-sided cuts not named": 0
        if any(path_state.startswith("one-sided") for path_state in path_states)
        else 1,
        "removed by a cut of 2 s": len(view_changes(result, t.SHORT_CUT, t.LONG_CUT)),
        "sides that did not part": len(expected - removed),
        "one view after a cut of 30 s": max(healed_changes, default=math.inf) - t.LONG_CUT_END,
        "one view after half was killed": max(restart_changes, default=math.inf) - t.START_HALF,
        "removed at 30% loss": sum(
            change["state"] in REMOVED_STATES for change in view_changes(result, t.LOSS, t.LOSS_END)
        ),
        "changes of view for one event": max_changes,
        "not one view at the end": 0 if result["one_view_after"] is not None else 1,
        "rules broken": sum(not check["holds"] for check in result["checks"][:5]),
    }


FIGURE_LIMITS = {
    "killed known to all": 2.0, "silent known to all": 10.0, "one view after a cut of 30 s": 5.0,
    "one view after half was killed": 5.0, "changes of view for one event": 1,
}  # fmt: skip


def measure_processes(points: Points, pool: ProcessPoolExecutor, seeds: range, sizes: Sequence[int]) -> None:
    """Runs the long scenario for each fleet size and seed and adds the worst figure of each kind."""
    jobs = [(size, seed) for size in sizes for seed in seeds]
    results = list(pool.map(run_long_scenario, *zip(*jobs, strict=True)))
    for size in sizes:
        failed = [
            result
            for (result_size, _), result in zip(jobs, results, strict=True)
            if result_size == size and type(result) is str
        ]
        points.at_most(f"{size} processes: plays that could not be played", len(failed), 0, list(seeds),
                       **({"why": failed[:2]} if failed else {}))  # fmt: skip
        figures: dict[str, list[float]] = defaultdict(list)
        for (result_size, _), result in zip(jobs, results, strict=True):
            if result_size == size and isinstance(result, dict):
                for name, figure in scenario_figures(result, size).items():
                    figures[name].append(figure)
        for name, values in figures.items():
            worst = max(values)
            points.at_most(f"{size} processes: {name}, worst", None if worst == math.inf else worst,
                           FIGURE_LIMITS.get(name, 0), list(seeds))  # fmt: skip


# In virtual time.


def run_fault_schedule(size: int, seed: int, algorithm: str = "ours") -> dict[str, Any]:
    """Runs one random schedule of overlapping faults; returns wrong removals and seconds until one view."""
    names = [f"m{number:03}" for number in range(size)]
    schedule: Schedule = draw_schedule(names, seed)
    simulation = Simulation(
        names,
        schedule.faults,
        seed,
        make={"ours": ours, "heartbeats": baselines.heartbeats, "swim": baselines.swim}[algorithm],
    )
    simulation.run(schedule.healed_at)
    converged_seconds = simulation.run_until_converged(10.0)
    wrong_removals = [change for change in simulation.changes
                      if change.view_changed and change.state in REMOVED_STATES
                      and not schedule.allows_removal(change.subject, change.at)]  # fmt: skip
    return {
        "wrong": len({(change.subject, round(change.at)) for change in wrong_removals}),
        "merged": converged_seconds,
        "first": (seed, wrong_removals[0]) if wrong_removals else None,
    }


def steady_state_cost(size: int) -> dict[str, float]:
    """Bytes and messages a second of the busiest member, and the mean share of a core, without faults."""
    simulation = Simulation([f"m{number:04}" for number in range(size)], [], 1)
    simulation.run(2.0)
    before = [
        (member.bytes_sent, member.messages_sent, member.cpu_seconds)
        for member in simulation.members.values()
    ]
    simulation.run(12.0)
    after = [
        (member.bytes_sent, member.messages_sent, member.cpu_seconds)
        for member in simulation.members.values()
    ]
    rates = [
        [(b - a) / 10.0 for a, b in zip(old, new, strict=True)]
        for old, new in zip(before, after, strict=True)
    ]
    return {"bytes": max(rate[0] for rate in rates), "messages": max(rate[1] for rate in rates),
            "cpu": statistics.mean(rate[2] for rate in rates)}  # fmt: skip


def detection_seconds(size: int, seed: int, kind: str) -> tuple[float, float]:
    """Seconds until the first and until all other members removed a member that was killed or went silent."""
    names = [f"m{number:03}" for number in range(size)]
    at = 3.0 + (seed % 10) / 10.0
    fault = Fault(kind="kill", at=at, nodes=(names[1],)) if kind == "killed" else Fault(
        kind="cut", at=at, lasts=60.0, source=(names[1],), both=True
    )  # fmt: skip
    simulation = Simulation(names, [fault], seed)
    simulation.run(at + 15.0)
    detected_after = {
        change.observer: change.at - at
        for change in reversed(simulation.changes)
        if change.subject == names[1] and change.view_changed
    }
    detected_after.pop(names[1], None)
    return min(detected_after.values(), default=math.inf), (
        max(detected_after.values()) if len(detected_after) == size - 1 else math.inf
    )  # fmt: skip


def run_churn(size: int, seed: int) -> dict[str, float]:
    """Half of the members are killed and started again within a minute."""
    names = [f"m{number:03}" for number in range(size)]
    faults, at, step = [], 2.0, 60.0 / (size / 2)
    for number in range(size // 2):
        replaced = (names[(number * 7) % size],)
        faults += [
            Fault(kind="kill", at=at, nodes=replaced),
            Fault(kind="start", at=at + 20.0, nodes=replaced),
        ]
        at += step
    simulation = Simulation(names, faults, seed)
    simulation.run(at + 22.0)
    converged_seconds = simulation.run_until_converged(10.0)
    duration = simulation.now
    lost = sum(change.view_changed and change.state == "lost" for change in simulation.changes)
    return {
        "merged": converged_seconds,
        "bytes": max(member.bytes_sent for member in simulation.members.values()) / duration,
        "lost": lost,
        "cpu": statistics.mean(member.cpu_seconds for member in simulation.members.values()) / duration,
    }


def run_lossy_day(seed: int, seconds: float, size: int = 8) -> dict[str, float]:
    """10% loss throughout, and every 20 s one member is paused for up to 5 s."""
    names = [f"m{number:03}" for number in range(size)]
    faults = [Fault(kind="loss", at=0.0, lasts=seconds, share=0.1)]
    faults += [Fault(kind="pause", at=20.0 * k + 5.0, lasts=0.5 + (k * 37 % 46) / 10.0,
                     nodes=(names[(k * 5 + seed) % size],)) for k in range(int(seconds / 20.0))]  # fmt: skip
    simulation = Simulation(names, faults, seed)
    simulation.run(seconds)
    return {
        "removed": sum(
            change.view_changed and change.state in REMOVED_STATES for change in simulation.changes
        ),
        "merged": simulation.run_until_converged(10.0),
    }


def percentiles(values: Sequence[float]) -> dict[str, float]:
    """Median, 90th and 99th percentile, rounded to 3 decimals."""
    ordered, last = sorted(values), len(values) - 1
    return {f"p{p}": round(ordered[min(p * len(values) // 100, last)], 3) for p in (50, 90, 99)}


def measure_virtual_time(points: Points, pool: ProcessPoolExecutor, full: bool) -> None:
    """Adds wrong removals, detection times, steady cost, churn, the lossy day and the exploration."""
    for size, count in ((16, 1000), (400, LARGE_FLEET_SCHEDULES if full else 4)):
        seeds = range(count)
        results = list(pool.map(run_fault_schedule, [size] * count, seeds, chunksize=1 if size > 100 else 20))
        examples = [result["first"] for result in results if result["first"]][:3]
        details = {"first": repr(examples)} if examples else {}
        points.at_most(
            f"{size} members, {count} schedules: wrong removals",
            sum(result["wrong"] for result in results),
            0,
            f"0-{count - 1}",
            **details,
        )
        slow_seeds = [seed for seed, result in zip(seeds, results, strict=True) if result["merged"] > 5.0]
        points.at_most(f"{size} members, {count} schedules: not one view 5 s after", len(slow_seeds), 0,
                       f"0-{count - 1}", **({"late": slow_seeds[:5]} if slow_seeds else {}))  # fmt: skip
    for algorithm in ("heartbeats", "swim"):
        results = list(pool.map(run_fault_schedule, [16] * 200, range(200), [algorithm] * 200, chunksize=10))
        wrong = sum(result["wrong"] for result in results)
        points.record(f"baseline {algorithm}, 16 members, 200 schedules: wrong removals", wrong, "0-199")
    for kind, limit in (("killed", 2.0), ("silent", 10.0)):
        for size in (10, 100, 400):
            runs = 100 if size < 400 else 20
            results = list(pool.map(detection_seconds, [size] * runs, range(runs), [kind] * runs))
            worst = max(result[1] for result in results)
            points.at_most(f"{size} members: {kind} known to all, worst", worst, limit, f"0-{runs - 1}",
                           first=percentiles([result[0] for result in results]),
                           all=percentiles([result[1] for result in results]))  # fmt: skip
    sizes = (10, 100, 400, 1000)
    for size, cost in zip(sizes, pool.map(steady_state_cost, sizes), strict=True):
        points.at_most(f"{size} members: bytes a second each, most", cost["bytes"], 2000.0, [1],
                       messages=round(cost["messages"], 2))  # fmt: skip
        if size <= 400:
            points.at_most(f"{size} members: share of a core each", cost["cpu"], 0.01, [1])
    churned = run_churn(400, 1)
    points.at_most(
        "400 members, 200 come and go a minute: seconds until one view",
        churned["merged"],
        5.0,
        [1],
        bytes_a_second=round(churned["bytes"]),
        cpu=round(churned["cpu"], 5),
        lost=churned["lost"],
    )
    duration = 86400.0 if full else 3600.0
    results = list(pool.map(run_lossy_day, range(4), [duration] * 4))
    points.at_most(f"{duration / 3600:g} h at 10% loss with pauses, 8 members: removed",
                   sum(result["removed"] for result in results), 0, "0-3")  # fmt: skip
    exploration = explore(12, 150_000 if full else 60_000)
    points.at_most("exploration of three members: breaches", 1 if exploration.breach else 0, 0, [],
                   states=exploration.states, depth_finished=exploration.depth,
                   seconds=round(exploration.seconds, 1), breach=exploration.breach,
                   steps=list(exploration.steps))  # fmt: skip


# Service: pairs of runs with the same faults under load, with and without membership.


SERVICE_SCENARIOS: dict[str, tuple[list[Fault], list[BackendReplacement]]] = {
    "calm": ([], []),
    "killed and back": (
        [Fault(kind="kill", at=6, nodes=("n01",)), Fault(kind="start", at=12, nodes=("n01",))],
        [BackendReplacement(backend=0, at=8.0)],
    ),
    "paused": ([Fault(kind="pause", at=6, lasts=5, nodes=("n01",))], [BackendReplacement(backend=0, at=8.0)]),
    "30% loss": ([Fault(kind="loss", at=4, lasts=18, share=0.3)], [BackendReplacement(backend=0, at=8.0)]),
    "one-sided": ([Fault(kind="cut", at=4, lasts=15, source=("n01",))],
                  [BackendReplacement(backend=0, at=8.0)]),
    "cut": ([Fault(kind="cut", at=4, lasts=15, source=("n00", "n01"), target=("n02", "n03"), both=True)],
            [BackendReplacement(backend=0, at=8.0)]),
}  # fmt: skip


def run_service_scenario(name: str, seed: int, membership: bool) -> dict[str, Any]:
    """Runs one of SERVICE_SCENARIOS under load and returns its result."""
    faults, replace = SERVICE_SCENARIOS[name]
    # A fifth of the capacity of the backends, so that a cold backend notices its share of the load.
    load = Load(rate=120.0, cost=0.015)
    scenario = Scenario(seconds=24.0, nodes=4, membership=membership, load=load, faults=faults,
                    replace=replace)  # fmt: skip
    return play.run_scenario(scenario, seed)


def measure_under_load(points: Points, pool: ProcessPoolExecutor, seeds: range) -> None:
    """Adds broken rules, lost utility and the peak load of a cold backend for each service scenario."""
    for name in SERVICE_SCENARIOS:
        jobs = [(name, seed, membership) for seed in seeds for membership in (True, False)]
        results = list(pool.map(run_service_scenario, *zip(*jobs, strict=True)))
        pairs = [
            (with_membership["utility"], without["utility"])
            for with_membership, without in zip(results[::2], results[1::2], strict=True)
        ]
        broken = [
            (membership, check["name"], check["figure"])
            for (_, _, membership), result in zip(jobs, results, strict=True)
            for check in result["checks"][:5]
            if not check["holds"]
        ]
        points.at_most(f"{name}: rules broken, on and off", len(broken), 0, list(seeds), broken=broken)
        mean_loss = statistics.mean(without - with_membership for with_membership, without in pairs)
        peak = max(
            (backend["peak"] for result in results[::2] for backend in result["cold"].values()), default=0.0
        )
        points.at_most(f"{name}: utility less with membership than without, mean of pairs", mean_loss, 0.02,
                       list(seeds), pairs=pairs)  # fmt: skip
        points.at_most(f"{name}: peak on a cold backend, of what it bears", peak, 1.0, list(seeds))


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and prints its points; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true", help="all seeds, and 24 h in place of 1 h")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument(
        "--seeds",
        type=int,
        default=0,
        help="seeds of each scenario on processes; default 10 with --full, else 2",
    )
    parser.add_argument("--part", choices=("processes", "virtual", "service"), action="append")
    options = parser.parse_args(arguments)
    options.seeds = options.seeds or (10 if options.full else 2)
    points, started_at = Points("membership"), time.monotonic()
    parts: dict[str, Callable[[ProcessPoolExecutor], None]] = {
        "virtual": lambda pool: measure_virtual_time(points, pool, options.full),
        "processes": lambda pool: measure_processes(points, pool, range(options.seeds), (3, 8, 16)),
        "service": lambda pool: measure_under_load(points, pool, range(3 if options.full else 1)),
    }
    for name in options.part or parts:
        with ProcessPoolExecutor(options.jobs if name != "service" else 4) as pool:
            parts[name](pool)
        print(f"{name}: done after {time.monotonic() - started_at:.0f} s", file=sys.stderr, flush=True)
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
