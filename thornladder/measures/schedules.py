"""Random schedules of overlapping faults, and the removals of members that each schedule allows."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from thornladder.rig.faults import Fault

TOLERATED_SECONDS = 5.0  # a pause or a partition up to this long must not remove anybody
DELAYED_REMOVAL_SECONDS = 12.0  # after the end of a fault in which it may still cause a removal


class RemovalWindow(NamedTuple):
    """Period, in seconds, in which a member may be removed from views."""

    name: str
    since: float
    until: float


class Schedule(NamedTuple):
    """Faults of one run, the removals that they allow, and when the last fault has ended."""

    faults: list[Fault]
    removal_windows: list[RemovalWindow]
    healed_at: float

    def allows_removal(self, name: str, at: float) -> bool:
        """Whether the faults may cause `name` to be removed at `at`."""
        return any(
            window.name == name and window.since <= at <= window.until for window in self.removal_windows
        )


def draw_schedule(names: Sequence[str], seed: int, seconds: float = 60.0, max_faults: int = 6) -> Schedule:
    """Draws two to `max_faults` overlapping faults at random times.

    All begin within the first 60% of `seconds` and have ended at `healed_at`, which is at least `seconds`.
    """
    rng = Random(seed)
    faults: list[Fault] = []
    removal_windows: list[RemovalWindow] = []
    max_affected = max(1, len(names) // 5)

    def sample(count: int) -> tuple[str, ...]:
        return tuple(rng.sample(list(names), min(count, len(names) - 2) or 1))

    def allow_removals(members: Sequence[str], since: float, until: float) -> None:
        removal_windows.extend(
            RemovalWindow(name, since, until + DELAYED_REMOVAL_SECONDS) for name in members
        )

    for _ in range(rng.randint(2, max_faults)):
        at = rng.uniform(1.0, 0.6 * seconds)
        duration = rng.uniform(0.5, 0.4 * seconds)
        kind = rng.choice(
            ("loss", "jitter", "reorder", "duplicate", "pair", "isolated", "halves", "pause", "freeze", "rob",
             "kill", "mute")
        )  # fmt: skip
        if kind == "loss":
            faults.append(Fault(kind="loss", at=at, lasts=duration, share=rng.uniform(0.05, 0.3)))
        elif kind == "jitter":
            faults.append(Fault(kind="jitter", at=at, lasts=duration, seconds=rng.uniform(0.01, 0.15)))
        elif kind in ("reorder", "duplicate"):
            faults.append(Fault(kind=kind, at=at, lasts=duration, share=0.3, seconds=rng.uniform(0.1, 2.0)))
        elif kind == "pair":
            pair = sample(2)
            both = rng.random() < 0.5
            faults.append(
                Fault(kind="cut", at=at, lasts=duration, source=pair[:1], target=pair[1:], both=both)
            )
        elif kind in ("isolated", "mute"):
            isolated = sample(rng.randint(1, max_affected))
            faults.append(Fault(kind="cut", at=at, lasts=duration, source=isolated, both=kind == "isolated"))
            if duration > TOLERATED_SECONDS:
                allow_removals(isolated, at, at + duration)
                # Members that are cut off together confirm each other's accusations of all the rest.
                allow_removals(names if len(isolated) > 1 else (), at, at + duration)
        elif kind == "halves":
            half = len(names) // 2
            faults.append(Fault(kind="cut", at=at, lasts=duration, source=tuple(names[:half]),
                                target=tuple(names[half:]), both=True))  # fmt: skip
            if duration > TOLERATED_SECONDS:
                allow_removals(names, at, at + duration)
        elif kind in ("pause", "freeze", "rob"):
            affected = sample(rng.randint(1, max_affected))
            duration = min(duration, 8.0) if kind == "pause" else duration
            faults.append(Fault(kind=kind, at=at, lasts=duration, nodes=affected, seconds=3.0))
            if kind == "pause" and duration > TOLERATED_SECONDS:
                allow_removals(affected, at, at + duration)
        else:
            affected = sample(rng.randint(1, max(1, len(names) // 2)))
            restart_at = at + rng.uniform(0.1, 8.0)
            faults += [
                Fault(kind="kill", at=at, nodes=affected),
                Fault(kind="start", at=restart_at, nodes=affected),
            ]
            allow_removals(affected, at, restart_at)
    healed_at = max(max(fault.ends_at for fault in faults), seconds)
    return Schedule(faults, removal_windows, healed_at)
