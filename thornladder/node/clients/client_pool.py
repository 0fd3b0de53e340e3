"""How many connections the clients of a node use, and when the node asks one of them to give one up."""

from __future__ import annotations

from typing import Any


class ClientPool:
    """Counts the connections on which clients have sent requests, against the limit that clients have.

    Clients that send one request and keep their connection would otherwise use up the limit, so that an idle
    node received no requests (incident r936087). A connection in use is given up with an answer that says so:
    no request can cross that, as it can cross the close of a connection at rest.
    """

    TARGET_SHARE = 0.5  # of the limit, above which connections are given up
    # Clients with steady traffic send again sooner and keep their connections.
    MIN_REST_SECONDS = 0.2
    CALM_SHARE = 0.75  # of the target, at which the clients count as no longer above it in the log

    def __init__(self, limit: int, log: Any) -> None:
        """`limit`: how many connections clients have at most for their requests."""
        self.limit, self.log = limit, log
        self.used = 0
        self.released_count = 0  # connections that were given up with an answer
        self._was_above_target = False

    @property
    def target(self) -> int:
        """How many connections may stay in use."""
        return round(self.TARGET_SHARE * self.limit)

    @property
    def excess(self) -> int:
        """By how many connections the clients are above the target; 0 or less: they are not."""
        return self.used - self.target

    def should_release(self, rest_seconds: float | None) -> bool:
        """Whether the answer to the present request is to end its connection.

        `rest_seconds`: how long the connection was at rest before the request; None: it is the first one.
        """
        is_steady = rest_seconds is not None and rest_seconds < self.MIN_REST_SECONDS
        return self.excess > 0 and not is_steady

    def log_changes(self) -> None:
        """Logs when the clients have come to be above the target, or no longer are."""
        threshold = self.CALM_SHARE * self.target if self._was_above_target else self.target
        is_above_target = self.used > threshold
        if is_above_target != self._was_above_target:
            self._was_above_target = is_above_target
            event = "client connections above target" if is_above_target else "client connections at target"
            self.log.info(event, used=self.used, target=self.target, released=self.released_count)
