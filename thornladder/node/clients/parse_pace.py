"""How fast a node parses what costs much time for few bytes, such as a body in chunks of one byte."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENTS_PER_TURN = 64  # parsed of one connection before others have their turn
FREE_EVENTS = 256  # of each request, parsed without a pause; sound ones seldom have more
LIGHT_EVENTS = 4096  # of a request, beyond which it shares the lower rate with others of its kind
LIGHT_EVENTS_PER_SECOND, HEAVY_EVENTS_PER_SECOND = 8000.0, 2000.0  # of all connections together


@dataclass(slots=True)
class _Lane:
    """A rate that several connections share, first come, first served."""

    events_per_second: float
    free_at: float = 0.0

    def delay(self, events: int, now: float) -> float:
        self.free_at = max(self.free_at, now) + events / self.events_per_second
        return self.free_at - now


class ParsePace:
    """Limits how much of a node's time dense requests take in all; those that cost most are slowed most."""

    def __init__(self) -> None:
        self._light, self._heavy = _Lane(LIGHT_EVENTS_PER_SECOND), _Lane(HEAVY_EVENTS_PER_SECOND)

    def delay(self, events: int, events_before: int, now: float) -> float:
        """Seconds to wait after these `events` of a request, of which `events_before` were parsed earlier."""
        if events_before + events <= FREE_EVENTS:
            return 0.0
        lane = self._light if events_before <= LIGHT_EVENTS else self._heavy
        return lane.delay(events, now)
