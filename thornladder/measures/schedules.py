"""Seeded schedules of overlapping faults, and which removals each of them excuses."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from thornladder.rig.faults import Fault

BORNE = 5.0  # seconds: a pause or a cut of up to that removes nobody
AFTER = 12.0  # seconds after a fault's end in which a removal may still come of it


class Excuse(NamedTuple):
    """From when to when a member may be taken out of views."""

    name: str
    since: float
    until: float


class Schedule(NamedTuple):
    faults: list[Fault]
    excuses: list[Excuse]
    healed_at: float

    def excused(self, name: str, at: float) -> bool:
        return any(each.name == name and each.since <= at <= each.until for each in self.excuses)


def draw_schedule(names: Sequence[str], seed: int, seconds: float = 60.0, most: int = 6) -> Schedule:
    """Two to `most` faults that overlap as they fall, all healed after `seconds`."""
    chance = Random(seed)
    faults: list[Fault] = []
    excuses: list[Excuse] = []
    few = max(1, len(names) // 5)

    def some(count: int) -> tuple[str, ...]:
        return tuple(chance.sample(list(names), min(count, len(names) - 2) or 1))

    def excuse(members: Sequence[str], since: float, until: float) -> None:
        excuses.extend(Excuse(name, since, until + AFTER) for name in members)

    for _ in range(chance.randint(2, most)):
        at = chance.uniform(1.0, 0.6 * seconds)
        lasts = chance.uniform(0.5, 0.4 * seconds)
        kind = chance.choice(
            ("loss", "jitter", "reorder", "duplicate", "pair", "isolated", "halves", "pause", "freeze", "rob",
             "kill", "mute")
        )  # fmt: skip
        if kind == "loss":
            faults.append(Fault(kind="loss", at=at, lasts=lasts, share=chance.uniform(0.05, 0.3)))
        elif kind == "jitter":
            faults.append(Fault(kind="jitter", at=at, lasts=lasts, seconds=chance.uniform(0.01, 0.15)))
        elif kind in ("reorder", "duplicate"):
            faults.append(Fault(kind=kind, at=at, lasts=lasts, share=0.3, seconds=chance.uniform(0.1, 2.0)))
        elif kind == "pair":
            ends = some(2)
            both = chance.random() < 0.5
            faults.append(Fault(kind="cut", at=at, lasts=lasts, source=ends[:1], target=ends[1:], both=both))
        elif kind in ("isolated", "mute"):
            gone = some(chance.randint(1, few))
            faults.append(Fault(kind="cut", at=at, lasts=lasts, source=gone, both=kind == "isolated"))
            if lasts > BORNE:
                excuse(gone, at, at + lasts)
                # Cut off together they are two witnesses for all the rest.
                excuse(names if len(gone) > 1 else (), at, at + lasts)
        elif kind == "halves":
            cut = len(names) // 2
            faults.append(Fault(kind="cut", at=at, lasts=lasts, source=tuple(names[:cut]),
                                target=tuple(names[cut:]), both=True))  # fmt: skip
            if lasts > BORNE:
                excuse(names, at, at + lasts)
        elif kind in ("pause", "freeze", "rob"):
            who = some(chance.randint(1, few))
            lasts = min(lasts, 8.0) if kind == "pause" else lasts
            faults.append(Fault(kind=kind, at=at, lasts=lasts, nodes=who, seconds=3.0))
            if kind == "pause" and lasts > BORNE:
                excuse(who, at, at + lasts)
        else:
            who = some(chance.randint(1, max(1, len(names) // 2)))
            back = at + chance.uniform(0.1, 8.0)
            faults += [Fault(kind="kill", at=at, nodes=who), Fault(kind="start", at=back, nodes=who)]
            excuse(who, at, back)
    healed_at = max(max(fault.ends_at for fault in faults), seconds)
    return Schedule(faults, excuses, healed_at)
