"""Points of a measurement: a figure, its limit and whether it holds, in one format for all measurements."""

from __future__ import annotations

import json
import sys
from typing import Any


class Points:
    """Collects points and prints each on standard error, and all as one JSON object at the end."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.points: list[dict[str, Any]] = []

    def at_most(self, point: str, figure: float | None, limit: float, seeds: Any, **details: Any) -> None:
        """Adds a figure that must not exceed the limit. None, for no figure, does not hold."""
        self._add(point, figure, limit, figure is not None and figure <= limit, seeds, details)

    def at_least(self, point: str, figure: float | None, limit: float, seeds: Any, **details: Any) -> None:
        """Adds a figure that must reach the limit. None, for no figure, does not hold."""
        self._add(point, figure, limit, figure is not None and figure >= limit, seeds, details)

    def record(self, point: str, figure: Any, seeds: Any, **details: Any) -> None:
        """Adds a figure without a limit."""
        self._add(point, figure, None, True, seeds, details)

    def _add(
        self, point: str, figure: Any, limit: Any, holds: bool, seeds: Any, details: dict[str, Any]
    ) -> None:
        rounded = round(figure, 4) if isinstance(figure, float) else figure
        entry = {"point": point, "figure": rounded, "limit": limit, "holds": holds, "seeds": seeds, **details}
        self.points.append(entry)
        verdict = "" if limit is None else f" (limit {limit}): {'holds' if holds else 'DOES NOT HOLD'}"
        print(f"{point}: {rounded}{verdict}", file=sys.stderr, flush=True)

    def close(self) -> int:
        """Prints the JSON object and returns the exit code: 0 if all points hold, else 1."""
        holds = all(entry["holds"] for entry in self.points)
        print(json.dumps({"measure": self.name, "holds": holds, "points": self.points}))
        return 0 if holds else 1
