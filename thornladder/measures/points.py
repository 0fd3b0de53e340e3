"""A measurement's points: figure, limit, whether it holds; the same shape for each part."""

from __future__ import annotations

import json
import sys
from typing import Any


class Points:
    def __init__(self, name: str) -> None:
        self.name = name
        self.points: list[dict[str, Any]] = []

    def at_most(self, point: str, figure: float | None, limit: float, seeds: Any, **more: Any) -> None:
        """No figure counts as one that does not hold."""
        self._add(point, figure, limit, figure is not None and figure <= limit, seeds, more)

    def at_least(self, point: str, figure: float | None, limit: float, seeds: Any, **more: Any) -> None:
        self._add(point, figure, limit, figure is not None and figure >= limit, seeds, more)

    def record(self, point: str, figure: Any, seeds: Any, **more: Any) -> None:
        """A figure without a limit."""
        self._add(point, figure, None, True, seeds, more)

    def _add(
        self, point: str, figure: Any, limit: Any, holds: bool, seeds: Any, more: dict[str, Any]
    ) -> None:
        shown = round(figure, 4) if isinstance(figure, float) else figure
        line = {"point": point, "figure": shown, "limit": limit, "holds": holds, "seeds": seeds, **more}
        self.points.append(line)
        mark = "" if limit is None else f" (limit {limit}): {'holds' if holds else 'DOES NOT HOLD'}"
        print(f"{point}: {shown}{mark}", file=sys.stderr, flush=True)

    def close(self) -> int:
        """The closing line; the exit code."""
        holds = all(line["holds"] for line in self.points)
        print(json.dumps({"measure": self.name, "holds": holds, "points": self.points}))
        return 0 if holds else 1
