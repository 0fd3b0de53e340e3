"""Bounded model checking: breadth-first search of all states within a number of steps. No I/O."""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable, Hashable, Sequence
from typing import Any, NamedTuple, Protocol, TypeVar


class SearchState(Protocol):
    """A state of the system under test. It must be picklable."""

    def key(self) -> Hashable:
        """Identity of the state: states with equal keys are searched once."""


StateT = TypeVar("StateT", bound=SearchState)


class Result(NamedTuple):
    """Outcome of a search; `breach` names a violated invariant and `steps` lead to it."""

    states: int
    depth: int  # deepest level that was searched completely
    seconds: float
    breach: str  # "" if no invariant was violated
    steps: tuple[str, ...] = ()


def breadth_first(
    initial: StateT, choices: Callable[[StateT], Sequence[str]], apply_step: Callable[[StateT, str], str],
    max_depth: int, max_states: int,
) -> Result:  # fmt: skip
    """Searches all states within `max_depth` steps; stops soon after `max_states` states.

    `choices` returns the steps that are possible in a state. `apply_step` carries a step out in place and
    returns the invariant that is violated after it, or "". The search ends at the first violation.
    """
    started_at = time.perf_counter()
    seen = {hash(initial.key())}
    frontier: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(initial), ())]
    completed_depth = 0
    for _ in range(max_depth):
        next_frontier: list[tuple[bytes, tuple[str, ...]]] = []
        for pickled, steps in frontier:
            for step in choices(pickle.loads(pickled)):
                state = pickle.loads(pickled)
                if breach := apply_step(state, step):
                    return Result(
                        len(seen), completed_depth, time.perf_counter() - started_at, breach, (*steps, step)
                    )
                key = hash(state.key())
                if key not in seen:
                    seen.add(key)
                    next_frontier.append((pickle.dumps(state), (*steps, step)))
            if len(seen) >= max_states:
                return Result(len(seen), completed_depth, time.perf_counter() - started_at, "")
        frontier, completed_depth = next_frontier, completed_depth + 1
    return Result(len(seen), completed_depth, time.perf_counter() - started_at, "")


class FaultableState(Protocol):
    """A state with messages in flight and processes that can be paused."""

    in_flight: list[Any]
    duplicates_left: int  # messages that may still be duplicated
    pauses_left: int  # pauses that may still begin
    stopped: str  # name of the paused process, "" if none is


def inject_fault(state: FaultableState, kind: str, argument: str) -> bool:
    """Loses or duplicates a message, or pauses a process. Returns False if `kind` is no such fault."""
    if kind == "lose":
        del state.in_flight[int(argument)]
    elif kind == "copy":
        state.duplicates_left -= 1
        state.in_flight.append(state.in_flight[int(argument)])
    elif kind == "stop":
        state.pauses_left -= 1
        state.stopped = argument
    else:
        return False
    return True
