"""The number of nodes in the fleet: at least as many as may be alive, raised at once, lowered late. No I/O.

Limits that are divided by it (cold budgets, shares) add up to more than the total where it is too low, and
are only a little too small where it is too high.
"""

from __future__ import annotations

from thornladder.membership.core import Core
from thornladder.membership.wire import State


class FleetSize:
    """Estimate of the number of nodes, from the view of a membership core."""

    def __init__(self, configured: int, hold: float, lower_after: float) -> None:
        """`configured`: from the settings; a lower bound before joining and while isolated.

        `hold`, `lower_after`: seconds, see `FleetConfig`.
        """
        self.configured, self.hold, self.lower_after = configured, hold, lower_after
        self.nodes = configured
        self.lower_since: float | None = None

    def update(self, core: Core) -> int:
        """The number of nodes now. To be called regularly, since it is lowered only after a delay."""
        lost = sum(
            peer.item.state == State.LOST and core.now - peer.state_since < self.hold
            for peer in core.peers.values()
        )
        target = len(core.members) + lost
        if not core.joined or core.isolated:
            target = max(target, self.configured)  # the view may lack most members
        if target >= self.nodes:
            self.nodes, self.lower_since = target, None
        elif self.lower_since is None:
            self.lower_since = core.now
        elif core.now - self.lower_since >= self.lower_after:
            self.nodes, self.lower_since = target, None
        return self.nodes
