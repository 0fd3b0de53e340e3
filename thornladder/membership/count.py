"""Of how many nodes this is one: never fewer than may be alive, raised at once, lowered late. No I/O.

What is cut by it (cold budgets, shares) sums to more than the whole where it is too low, and is only a little
too careful where it is too high.
"""

from __future__ import annotations

from thornladder.membership.core import Core
from thornladder.membership.wire import State


class FleetSize:
    def __init__(self, configured: int, hold: float, lower_after: float) -> None:
        """`configured`: by the settings; it holds until a whole view of another member was had."""
        self.configured, self.hold, self.lower_after = configured, hold, lower_after
        self.nodes = configured
        self.lower_since: float | None = None

    def update(self, core: Core) -> int:
        lost = sum(
            peer.item.state == State.LOST and core.now - peer.since < self.hold
            for peer in core.peers.values()
        )
        wanted = len(core.members) + lost
        if not core.joined or core.isolated:
            wanted = max(wanted, self.configured)  # what it holds of others says little
        if wanted >= self.nodes:
            self.nodes, self.lower_since = wanted, None
        elif self.lower_since is None:
            self.lower_since = core.now
        elif core.now - self.lower_since >= self.lower_after:
            self.nodes, self.lower_since = wanted, None
        return self.nodes
