"""`make measure-told`: checks that the node stops pushing to leaving backends within the operators' terms.

Runs the node in virtual time on random schedules of silent watches, resets, discovery outages, moves, stalls
and late connections, with backends that drain around each of them. Every push is checked against the model of
when a change takes effect (`rig/told.py`). The same schedules then run with faults planted in the node; each
fault must be detected.
"""

from __future__ import annotations

import argparse
import math
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import nullcontext
from functools import partial
from random import Random
from typing import Any, NamedTuple
from unittest import mock

import anyio

from thornladder.decide import Node
from thornladder.interface import ListKind
from thornladder.measures.points import Points
from thornladder.node.backends.pushes import PushDispatcher
from thornladder.node.discovery.watch import Watch
from thornladder.node.messages import DiscoveryResponse, FinalOutcome
from thornladder.rig.told import Change, Schedule, run_schedule

FAULT_KINDS = ("silent", "silent body", "silent first", "silent twice", "reset", "away", "move",
               "move into silence", "spoilt", "stall", "crowd")  # fmt: skip
INVALID_BODIES = (
    b"",
    b"{",
    b"[]",
    b'{"generation":"x"}',
    b'{"generation":9,"instances":[{}]}',
    b"\xff" * 3000,
)


def draw_schedule(seed: int) -> Schedule:
    """Draws a schedule of one to three faults, with backends that drain before, during and after each."""
    rng = Random(seed)
    backends = rng.choice((8, 12, 12, 40, 300))
    grace = rng.choice((0.5, 0.75, 1.0))
    names = [f"s{number}" for number in range(backends)]
    rng.shuffle(names)
    faults: dict[str, Any] = {"silent": (), "mute_new": (), "resets": (), "away": (), "moves": (),
                              "spoilt": (), "stalls": (), "callers": ()}  # fmt: skip

    def add(name: str, *values: Any) -> None:
        faults[name] = (*faults[name], *values)

    changes: list[Change] = []
    at = rng.uniform(0.3, 3.0)
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice(FAULT_KINDS)
        duration = 6.0
        if kind in ("silent", "silent body", "silent twice"):
            add("silent", (at, 0 if kind == "silent" else rng.randint(1, 200)))
        if kind in ("silent twice", "silent first"):
            if kind == "silent first":
                add("resets", at)
            add("mute_new", (at, rng.randint(1, 3)))
        elif kind == "reset":
            add("resets", at)
        elif kind == "away":
            duration = rng.uniform(0.3, 8.0)
            add("away", (at, at + duration))
        elif kind == "move":
            add("moves", at)
        elif kind == "move into silence":
            add("moves", at)
            add("mute_new", (at, rng.randint(1, 2)))
        elif kind == "spoilt":
            add("spoilt", *((at + 0.01 * n, rng.choice(INVALID_BODIES)) for n in range(rng.randint(1, 3))))
        elif kind == "stall":
            add("stalls", (at, rng.choice((0.05, 0.2, 1.0))))
        elif kind == "crowd":
            add("resets", at)
        if kind == "crowd" or rng.random() < 0.5:
            queue_at = at + rng.uniform(0.0, 3.0)
            add("callers", *((queue_at + 0.3 * n, rng.uniform(0.2, 1.8)) for n in range(rng.randint(1, 4))))
        if rng.random() < 0.2:
            add("stalls", (at + rng.uniform(0.0, duration), rng.choice((0.05, 0.2, 1.0))))
        for change_at in (
            at - 0.05,
            at,
            at + rng.uniform(0.0, 0.3),
            at + rng.uniform(0.0, duration),
            at + duration,
        ):
            if rng.random() < 0.5:
                draining = names[:: rng.choice((1, 4, 4, 4))]
                spread = rng.choice((0.0, 1.0))
                changes += [
                    Change(change_at + spread * rng.random(), name, "terminating") for name in draining
                ]
                if rng.random() < 0.5:
                    returns_at = change_at + rng.uniform(1.0, 6.0)
                    changes += [Change(returns_at, name, "in_service") for name in draining]
        at += duration + rng.uniform(0.0, 2.0)
    return Schedule(
        seed=seed, list_pushed=rng.random() < 0.5, drain_grace=grace, backends=backends,
        rate=rng.choice((10.0, 40.0)), duration=at + 6.0, watch_open_seconds=rng.choice((0.0, 0.05, 0.3)),
        indented_json=rng.random() < 0.3, late_connect_share=rng.choice((0.0, 0.1, 0.3)),
        changes=tuple(sorted(changes)), **faults,
    )  # fmt: skip


FAILURE_KINDS = ("503", "late 503", "reset", "mute", "away", "spoilt", "move", "crowd")


def draw_failing_schedule(seed: int) -> Schedule:
    """Draws a schedule of failed polls: series of up to 14 s, from the start or later, amid drains."""
    rng = Random(seed)
    pushed = rng.random() < 0.25
    # With a pushed list, a refused poll means that the list service is down: docs/assumptions.md.
    kinds = [kind for kind in FAILURE_KINDS if not (pushed and kind in ("503", "late 503", "reset", "crowd"))]
    backends, grace = rng.choice((8, 12, 40)), rng.choice((0.5, 0.75, 1.0))
    names = [f"s{number}" for number in range(backends)]
    faults: dict[str, Any] = {"refusing": (), "mute_new": (), "away": (), "spoilt": (), "moves": (),
                              "resets": (), "callers": (), "silent": ()}  # fmt: skip
    changes: list[Change] = []
    at = rng.choice((0.0, rng.uniform(0.3, 3.0)))
    first_failure_at = at
    if at:
        faults[rng.choice(("resets", "silent"))] = (at,)
        faults["silent"] = tuple((silent_at, 0) for silent_at in faults["silent"])
    for _ in range(rng.randint(1, 6)):
        kind, duration = rng.choice(kinds), rng.uniform(0.2, 5.0)
        if kind in ("503", "late 503", "reset"):
            faults["refusing"] += ((at, at + duration, kind),)
        elif kind == "mute":
            faults["mute_new"] += ((at, rng.randint(1, 3)),)
        elif kind == "away":
            faults["away"] += ((at, at + duration),)
        elif kind == "spoilt":
            faults["spoilt"] += tuple(
                (at + 0.01 * n, rng.choice(INVALID_BODIES)) for n in range(rng.randint(1, 9))
            )
        elif kind == "move":
            faults["moves"] += (at,)
        else:
            faults["callers"] += ((at, rng.uniform(1.0, 6.0)),)
        for change_at in (at - 0.02, at + rng.uniform(0.0, duration), at + duration + 0.02):
            draining = names[rng.randrange(4) :: 4]
            changes += [Change(change_at, name, "terminating") for name in draining]
            if rng.random() < 0.5:
                changes += [
                    Change(change_at + rng.uniform(1.0, 6.0), name, "in_service") for name in draining
                ]
        at += duration * rng.choice((0.5, 1.0, 1.0))
        if at - first_failure_at > 14.0:
            break
    return Schedule(
        seed=seed, list_pushed=pushed, drain_grace=grace, backends=backends, rate=rng.choice((10.0, 40.0)),
        duration=at + 8.0, watch_open_seconds=rng.choice((0.0, 0.05, 0.3)),
        late_connect_share=rng.choice((0.0, 0.3)), changes=tuple(sorted(changes)), **faults,
    )  # fmt: skip


class ScheduleResult(NamedTuple):
    """Result of one schedule; `pushes`, `completed` and `nacked` are counts."""

    seed: int
    breaches: int  # pushes that the reference model forbids
    first_breach: str  # empty if there is none
    pushes: int
    completed: int
    nacked: int


def check_schedule(seed: int, fault: str = "", failing: bool = False) -> ScheduleResult:
    """Runs one schedule, with a fault planted in the node if named; `failing`: a schedule of failed polls."""
    with PLANTED_FAULTS[fault]():
        simulation = run_schedule(draw_failing_schedule(seed) if failing else draw_schedule(seed))
    breaches, outcomes = simulation.reference.breaches(), simulation.outcomes
    first_breach = (
        f"{breaches[0][1]} at {breaches[0][0]:.3f}, {breaches[0][2]:.3f} s after it took effect"
        if breaches
        else ""
    )
    return ScheduleResult(seed, len(breaches), first_breach, len(simulation.reference.pushes),
                          outcomes[FinalOutcome.COMPLETED], outcomes[FinalOutcome.NACKED])  # fmt: skip


def _longer_timeouts() -> Any:
    return mock.patch.multiple(
        Watch,
        RESPONSE_TIMEOUT_SECONDS=Watch.RESPONSE_TIMEOUT_SECONDS + 1.0,
        MAX_STALENESS_SECONDS=Watch.MAX_STALENESS_SECONDS + 1.0,
    )


def _expiry_checked_on_decision_only() -> Any:
    return mock.patch.object(PushDispatcher, "_is_expired", lambda self, backend, begin_by: False)


def _invalid_response_counts_as_answer() -> Any:
    poll = Watch._poll

    async def poll_and_accept(self: Watch, hold_seconds: float) -> DiscoveryResponse | None:
        started_at = anyio.current_time()
        answer = await poll(self, hold_seconds)
        if (
            answer is None
            and anyio.current_time() - started_at < hold_seconds + self.SILENCE_THRESHOLD_SECONDS
        ):
            self.fresh_as_of, self.stale_deadline, self.unwatched_since = started_at, math.inf, math.inf
            return DiscoveryResponse(self.version, ListKind.DELTA, [], {})
        return answer

    return mock.patch.object(Watch, "_poll", poll_and_accept)


def _staleness_counted_from_poll() -> Any:
    return mock.patch.object(
        Watch, "stale_at", property(lambda self: self.poll_started_at + self.MAX_STALENESS_SECONDS)
    )


def _move_counts_as_answer() -> Any:
    move = Watch.move

    def move_and_renew(self: Watch, address: Any) -> None:
        move(self, address)
        self.stale_deadline, self.fresh_as_of = math.inf, anyio.current_time()

    return mock.patch.object(Watch, "move", move_and_renew)


def _never_stale() -> Any:
    return mock.patch.object(Watch, "stale_at", property(lambda self: math.inf))


def _refused_poll_counts_as_answer() -> Any:
    """Takes a poll that was refused or reset in time as proof that no change was missed."""
    poll = Watch._poll

    async def poll_and_accept(self: Watch, hold_seconds: float) -> DiscoveryResponse | None:
        started_at = anyio.current_time()
        answer = await poll(self, hold_seconds)
        if (
            answer is None
            and anyio.current_time() - started_at < hold_seconds + self.RESPONSE_TIMEOUT_SECONDS + 0.05
        ):
            self.fresh_as_of = anyio.current_time()
        return answer

    return mock.patch.object(Watch, "_poll", poll_and_accept)


def _stale_after_any_failed_poll() -> Any:
    """Pushes nothing from the moment that a watch fails until the next answer."""
    original_on_list = Node.on_list

    def on_list(self: Node, now: float, kind: Any, entries: Any, silence_stale_at: float = 0.0) -> None:
        original_on_list(self, now, kind, entries, now)

    return mock.patch.object(Node, "on_list", on_list)


# Patches of the node by name; each context manager plants one fault.
PLANTED_FAULTS: dict[str, Callable[[], Any]] = {
    "": nullcontext,
    "patience a second longer": _longer_timeouts,
    "looked at on deciding only": _expiry_checked_on_decision_only,
    "an odd answer is a live watch": _invalid_response_counts_as_answer,
    "a silence begins anew with each call": _staleness_counted_from_poll,
    "a move is an answer": _move_counts_as_answer,
    "never blind": _never_stale,
    "a refusal is no silence": _refused_poll_counts_as_answer,
    "blind whenever a call fails": _stale_after_any_failed_poll,
}
# Reported without a limit: how many schedules such a node would break, and how much service it would give.
SERVICE_COMPARISONS = ("", "never blind", "blind whenever a call fails")
# On schedules of failed polls.
FAILED_POLL_CASES = ("", "a refusal is no silence", "never blind", "blind whenever a call fails")


def check_schedules(
    count: int, fault: str, failing: bool = False, workers: int | None = None
) -> list[ScheduleResult]:
    """Runs `check_schedule` for the seeds below `count` in a pool of processes."""
    with ProcessPoolExecutor(workers) as pool:
        return list(
            pool.map(partial(check_schedule, fault=fault, failing=failing), range(count), chunksize=4)
        )


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and prints its points; returns the exit code."""
    parser = argparse.ArgumentParser(prog="measure-told", description=__doc__)
    parser.add_argument("--full", action="store_true", help="2,000 schedules, and 400 with each fault")
    options = parser.parse_args(arguments)
    count, fault_count = (2000, 400) if options.full else (300, 100)
    points = Points("told")
    for name, failing in [(name, False) for name in PLANTED_FAULTS] + [
        (name, True) for name in FAILED_POLL_CASES
    ]:
        seeds = fault_count if name and name not in SERVICE_COMPARISONS else count
        results = check_schedules(seeds, name, failing)
        violating = [result for result in results if result.breaches]
        completed = sum(result.completed for result in results)
        answers = completed + sum(result.nacked for result in results)
        details = {
            "pushes": sum(result.pushes for result in results), "completed": round(completed / answers, 4),
            "first": [f"{result.seed}: {result.first_breach}" for result in violating[:3]],
        }  # fmt: skip
        schedule_kind = "rows of failing calls" if failing else "schedules"
        point, seeds_played = f"{schedule_kind} broken, {name or 'the node as it is'}", f"0-{seeds - 1}"
        if not name:
            points.at_most(point, len(violating), 0, seeds_played, **details)
        elif name in SERVICE_COMPARISONS:
            points.record(point, len(violating), seeds_played, **details)
        else:
            points.at_least(point, len(violating), 1, seeds_played, **details)
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
