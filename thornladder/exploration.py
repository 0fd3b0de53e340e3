"""Breadth-first exploration of everything that can happen to something, up to a depth. No I/O."""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable, Hashable, Sequence
from typing import Any, NamedTuple, Protocol, TypeVar


class Spot(Protocol):
    """A state, which can be pickled."""

    def key(self) -> Hashable:
        """What tells states apart."""


AnySpot = TypeVar("AnySpot", bound=Spot)


class Result(NamedTuple):
    states: int
    depth: int  # finished whole
    seconds: float
    breach: str  # "" where there is none
    steps: tuple[str, ...] = ()


def breadth_first(
    start: AnySpot, choices: Callable[[AnySpot], Sequence[str]], take: Callable[[AnySpot, str], str],
    depth: int, most: int,
) -> Result:  # fmt: skip
    """All states that `depth` steps lead to, or the first `most` of them.

    `take` carries a choice out in place and returns what is broken after it, "" where nothing is.
    """
    began = time.perf_counter()
    seen = {hash(start.key())}
    layer: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(start), ())]
    done = 0
    for _ in range(depth):
        following: list[tuple[bytes, tuple[str, ...]]] = []
        for held, steps in layer:
            for choice in choices(pickle.loads(held)):
                spot = pickle.loads(held)
                if breach := take(spot, choice):
                    return Result(len(seen), done, time.perf_counter() - began, breach, (*steps, choice))
                key = hash(spot.key())
                if key not in seen:
                    seen.add(key)
                    following.append((pickle.dumps(spot), (*steps, choice)))
            if len(seen) >= most:
                return Result(len(seen), done, time.perf_counter() - began, "")
        layer, done = following, done + 1
    return Result(len(seen), done, time.perf_counter() - began, "")


class Disturbed(Protocol):
    """A state with messages on their way and processes that can be stopped."""

    flying: list[Any]
    copies: int  # that may still be made
    pauses: int  # that may still begin
    stopped: str  # who is; "" where nobody


def disturb(spot: Disturbed, what: str, which: str) -> bool:
    """Carries out what befalls messages and processes whatever they say; whether `what` was such a thing."""
    if what == "lose":
        del spot.flying[int(which)]
    elif what == "copy":
        spot.copies -= 1
        spot.flying.append(spot.flying[int(which)])
    elif what == "stop":
        spot.pauses -= 1
        spot.stopped = which
    else:
        return False
    return True
