"""`make measure-told`: the node against the operators' terms on when a change counts as told.

In virtual time: seeded schedules of silences, resets, times when discovery is away, moves, stalls and late
connections, with drains round each; every push is held against the reference (`rig/told.py`). Then the same
with faults planted in the node, each of which has to be caught.
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

KINDS = ("silent", "silent body", "silent first", "silent twice", "reset", "away", "move",
         "move into silence", "spoilt", "stall", "crowd")  # fmt: skip
SPOILT = (b"", b"{", b"[]", b'{"generation":"x"}', b'{"generation":9,"instances":[{}]}', b"\xff" * 3000)


def draw_schedule(seed: int) -> Schedule:
    """One to three faults, with drains before, in and after each; all is drawn from the seed."""
    rng = Random(seed)
    backends = rng.choice((8, 12, 12, 40, 300))
    grace = rng.choice((0.5, 0.75, 1.0))
    names = [f"s{number}" for number in range(backends)]
    rng.shuffle(names)
    days: dict[str, Any] = {"silent": (), "mute_new": (), "resets": (), "away": (), "moves": (),
                            "spoilt": (), "stalls": (), "callers": ()}  # fmt: skip

    def add(name: str, *what: Any) -> None:
        days[name] = (*days[name], *what)

    changes: list[Change] = []
    at = rng.uniform(0.3, 3.0)
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice(KINDS)
        lasts = 6.0
        if kind in ("silent", "silent body", "silent twice"):
            add("silent", (at, 0 if kind == "silent" else rng.randint(1, 200)))
        if kind in ("silent twice", "silent first"):
            if kind == "silent first":
                add("resets", at)
            add("mute_new", (at, rng.randint(1, 3)))
        elif kind == "reset":
            add("resets", at)
        elif kind == "away":
            lasts = rng.uniform(0.3, 8.0)
            add("away", (at, at + lasts))
        elif kind == "move":
            add("moves", at)
        elif kind == "move into silence":
            add("moves", at)
            add("mute_new", (at, rng.randint(1, 2)))
        elif kind == "spoilt":
            add("spoilt", *((at + 0.01 * n, rng.choice(SPOILT)) for n in range(rng.randint(1, 3))))
        elif kind == "stall":
            add("stalls", (at, rng.choice((0.05, 0.2, 1.0))))
        elif kind == "crowd":
            add("resets", at)
        if kind == "crowd" or rng.random() < 0.5:
            crowded = at + rng.uniform(0.0, 3.0)
            add("callers", *((crowded + 0.3 * n, rng.uniform(0.2, 1.8)) for n in range(rng.randint(1, 4))))
        if rng.random() < 0.2:
            add("stalls", (at + rng.uniform(0.0, lasts), rng.choice((0.05, 0.2, 1.0))))
        for when in (at - 0.05, at, at + rng.uniform(0.0, 0.3), at + rng.uniform(0.0, lasts), at + lasts):
            if rng.random() < 0.5:
                part = names[:: rng.choice((1, 4, 4, 4))]
                spread = rng.choice((0.0, 1.0))
                changes += [Change(when + spread * rng.random(), name, "terminating") for name in part]
                if rng.random() < 0.5:
                    back = when + rng.uniform(1.0, 6.0)
                    changes += [Change(back, name, "in_service") for name in part]
        at += lasts + rng.uniform(0.0, 2.0)
    return Schedule(
        seed=seed, list_pushed=rng.random() < 0.5, drain_grace=grace, backends=backends,
        rate=rng.choice((10.0, 40.0)), duration=at + 6.0, watch_open_seconds=rng.choice((0.0, 0.05, 0.3)),
        indented_json=rng.random() < 0.3, late_connect_share=rng.choice((0.0, 0.1, 0.3)),
        changes=tuple(sorted(changes)), **days,
    )  # fmt: skip


ROWS = ("503", "late 503", "reset", "mute", "away", "spoilt", "move", "crowd")


def draw_failing_schedule(seed: int) -> Schedule:
    """Calls that fail in whatever way, in rows of up to 14 s, from the start or later; drains amid them."""
    rng = Random(seed)
    pushed = rng.random() < 0.25
    # Where lists are pushed a refusal is taken for a list service that is down: docs/assumptions.md.
    ways = [way for way in ROWS if not (pushed and way in ("503", "late 503", "reset", "crowd"))]
    backends, grace = rng.choice((8, 12, 40)), rng.choice((0.5, 0.75, 1.0))
    names = [f"s{number}" for number in range(backends)]
    days: dict[str, Any] = {"refusing": (), "mute_new": (), "away": (), "spoilt": (), "moves": (),
                            "resets": (), "callers": (), "silent": ()}  # fmt: skip
    changes: list[Change] = []
    at = rng.choice((0.0, rng.uniform(0.3, 3.0)))
    begins = at
    if at:
        days[rng.choice(("resets", "silent"))] = (at,)
        days["silent"] = tuple((moment, 0) for moment in days["silent"])
    for _ in range(rng.randint(1, 6)):
        way, lasts = rng.choice(ways), rng.uniform(0.2, 5.0)
        if way in ("503", "late 503", "reset"):
            days["refusing"] += ((at, at + lasts, way),)
        elif way == "mute":
            days["mute_new"] += ((at, rng.randint(1, 3)),)
        elif way == "away":
            days["away"] += ((at, at + lasts),)
        elif way == "spoilt":
            days["spoilt"] += tuple((at + 0.01 * n, rng.choice(SPOILT)) for n in range(rng.randint(1, 9)))
        elif way == "move":
            days["moves"] += (at,)
        else:
            days["callers"] += ((at, rng.uniform(1.0, 6.0)),)
        for when in (at - 0.02, at + rng.uniform(0.0, lasts), at + lasts + 0.02):
            part = names[rng.randrange(4) :: 4]
            changes += [Change(when, name, "terminating") for name in part]
            if rng.random() < 0.5:
                changes += [Change(when + rng.uniform(1.0, 6.0), name, "in_service") for name in part]
        at += lasts * rng.choice((0.5, 1.0, 1.0))
        if at - begins > 14.0:
            break
    return Schedule(
        seed=seed, list_pushed=pushed, drain_grace=grace, backends=backends, rate=rng.choice((10.0, 40.0)),
        duration=at + 8.0, watch_open_seconds=rng.choice((0.0, 0.05, 0.3)),
        late_connect_share=rng.choice((0.0, 0.3)), changes=tuple(sorted(changes)), **days,
    )  # fmt: skip


class Verdict(NamedTuple):
    seed: int
    breaches: int
    first: str
    pushes: int
    completed: int
    nacked: int


def check_schedule(seed: int, planted: str = "", failing: bool = False) -> Verdict:
    """Plays one schedule, with a fault in the node if one is named; `failing`: one of calls that fail."""
    with PLANTED_FAULTS[planted]():
        world = run_schedule(draw_failing_schedule(seed) if failing else draw_schedule(seed))
    found, answers = world.reference.breaches(), world.outcomes
    first = f"{found[0][1]} at {found[0][0]:.3f}, {found[0][2]:.3f} s after told" if found else ""
    return Verdict(seed, len(found), first, len(world.reference.pushes),
                   answers[FinalOutcome.COMPLETED], answers[FinalOutcome.NACKED])  # fmt: skip


def _more_patience() -> Any:
    return mock.patch.multiple(
        Watch,
        RESPONSE_TIMEOUT_SECONDS=Watch.RESPONSE_TIMEOUT_SECONDS + 1.0,
        MAX_STALENESS_SECONDS=Watch.MAX_STALENESS_SECONDS + 1.0,
    )


def _on_deciding_only() -> Any:
    return mock.patch.object(PushDispatcher, "_is_expired", lambda self, backend, begin_by: False)


def _odd_is_alive() -> Any:
    call = Watch._poll

    async def alive(self: Watch, wait: float) -> DiscoveryResponse | None:
        began = anyio.current_time()
        answer = await call(self, wait)
        if answer is None and anyio.current_time() - began < wait + self.SILENCE_THRESHOLD_SECONDS:
            self.fresh_as_of, self.stale_deadline, self.unwatched_since = began, math.inf, math.inf
            return DiscoveryResponse(self.version, ListKind.DELTA, [], {})
        return answer

    return mock.patch.object(Watch, "_poll", alive)


def _anew_each_call() -> Any:
    return mock.patch.object(
        Watch, "stale_at", property(lambda self: self.poll_started_at + self.MAX_STALENESS_SECONDS)
    )


def _move_is_answer() -> Any:
    move = Watch.move

    def moved(self: Watch, address: Any) -> None:
        move(self, address)
        self.stale_deadline, self.fresh_as_of = math.inf, anyio.current_time()

    return mock.patch.object(Watch, "move", moved)


def _never_blind() -> Any:
    return mock.patch.object(Watch, "stale_at", property(lambda self: math.inf))


def _refusal_is_no_silence() -> Any:
    """As the text before the term of six seconds: a refusal or a reset in its time missed nothing."""
    call = Watch._poll

    async def refused(self: Watch, wait: float) -> DiscoveryResponse | None:
        began = anyio.current_time()
        answer = await call(self, wait)
        if answer is None and anyio.current_time() - began < wait + self.RESPONSE_TIMEOUT_SECONDS + 0.05:
            self.fresh_as_of = anyio.current_time()
        return answer

    return mock.patch.object(Watch, "_poll", refused)


def _always_blind() -> Any:
    """Blind from the moment that a watch fails until an answer."""
    listed = Node.on_list

    def on_list(self: Node, now: float, kind: Any, entries: Any, deaf_at: float = 0.0) -> None:
        listed(self, now, kind, entries, now)

    return mock.patch.object(Node, "on_list", on_list)


PLANTED_FAULTS: dict[str, Callable[[], Any]] = {
    "": nullcontext,
    "patience a second longer": _more_patience,
    "looked at on deciding only": _on_deciding_only,
    "an odd answer is a live watch": _odd_is_alive,
    "a silence begins anew with each call": _anew_each_call,
    "a move is an answer": _move_is_answer,
    "never blind": _never_blind,
    "a refusal is no silence": _refusal_is_no_silence,
    "blind whenever a call fails": _always_blind,
}
SERVICE = ("", "never blind", "blind whenever a call fails")
# On rows of failing calls.
FAILING = ("", "a refusal is no silence", "never blind", "blind whenever a call fails")


def run(count: int, planted: str, failing: bool = False, workers: int | None = None) -> list[Verdict]:
    with ProcessPoolExecutor(workers) as pool:
        return list(
            pool.map(partial(check_schedule, planted=planted, failing=failing), range(count), chunksize=4)
        )


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="measure-told", description=__doc__)
    parser.add_argument("--full", action="store_true", help="2,000 schedules, and 400 with each fault")
    given = parser.parse_args(arguments)
    count, fewer = (2000, 400) if given.full else (300, 100)
    points = Points("told")
    for name, failing in [(name, False) for name in PLANTED_FAULTS] + [(name, True) for name in FAILING]:
        seeds = fewer if name and name not in SERVICE else count
        verdicts = run(seeds, name, failing)
        broken = [verdict for verdict in verdicts if verdict.breaches]
        completed = sum(each.completed for each in verdicts)
        came = completed + sum(each.nacked for each in verdicts)
        more = {
            "pushes": sum(each.pushes for each in verdicts), "completed": round(completed / came, 4),
            "first": [f"{each.seed}: {each.first}" for each in broken[:3]],
        }  # fmt: skip
        of = "rows of failing calls" if failing else "schedules"
        point, seeds_played = f"{of} broken, {name or 'the node as it is'}", f"0-{seeds - 1}"
        if not name:
            points.at_most(point, len(broken), 0, seeds_played, **more)
        elif name in SERVICE:
            points.record(point, len(broken), seeds_played, **more)
        else:
            points.at_least(point, len(broken), 1, seeds_played, **more)
    return points.close()


if __name__ == "__main__":
    sys.exit(main())
