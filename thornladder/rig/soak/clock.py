"""Time in a soak, and how much of it the machine has lost."""

from __future__ import annotations

import math
import time
from contextlib import suppress
from pathlib import Path
from typing import Protocol

import anyio

LAG_POLL_SECONDS = 0.01
LAG_IGNORED_SECONDS = 0.005  # timers are this late on an idle machine


class SoakClock(Protocol):
    """Time as the soak counts it."""

    def now(self) -> float:
        """Seconds since the start of the soak."""
        ...

    def lost_seconds(self) -> float:
        """Seconds by which the machine has been late in all so far."""
        ...


class MachineLag:
    """Adds up by how much timers of this process are late: time in which the machine did not run the soak.

    The bounds of the soak are those of the platform on a machine that keeps up; on one that does not, they
    are longer by the time that it lost.
    """

    def __init__(self) -> None:
        self._counted = 0.0  # seconds, of timers that have fired
        self._due_at = math.inf  # of the next timer

    @property
    def total(self) -> float:
        """Seconds in all, the present lateness included: what is late in this turn may be read before it."""
        return self._counted + self._lateness()

    def _lateness(self) -> float:
        late = time.monotonic() - self._due_at
        return late if late > LAG_IGNORED_SECONDS else 0.0

    async def run(self) -> None:
        """Measures until it is cancelled."""
        while True:
            self._due_at = time.monotonic() + LAG_POLL_SECONDS
            await anyio.sleep(LAG_POLL_SECONDS)
            self._counted += self._lateness()


def processor_wait_seconds(pid: int) -> float:
    """Seconds for which a process was ready to run and had no processor, by the kernel's count; 0 if gone."""
    with suppress(OSError, ValueError, IndexError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    return 0.0
