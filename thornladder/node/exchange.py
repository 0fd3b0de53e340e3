"""One invocation in flight: where the clients' side and the backends' side meet."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from thornladder.interface import Invocation
from thornladder.node.messages import ClientResponse, UpstreamRequest


class Exchange:
    """What came in, the pushes made for it, and its one final answer."""

    __slots__ = (
        "invocation", "message", "answer", "gone", "scopes", "out", "waited", "given", "coming", "_deliver",
        "_left",
    )  # fmt: skip

    def __init__(
        self,
        invocation: Invocation,
        message: UpstreamRequest,
        deliver: Callable[[ClientResponse], None],
        waited: float = 0.0,
        left: Callable[[], bool] = lambda: False,
    ) -> None:
        """`left` looks whether the client has closed its connection, read or not."""
        self.invocation, self.message = invocation, message
        self.answer: ClientResponse | None = None
        self.gone = False  # the client left before its answer
        self.scopes: list[anyio.CancelScope] = []  # of the pushes, by number
        self.waited = waited  # seconds that it lay unread
        self.given = invocation.time_left  # seconds, from its last byte on
        self.coming = message.body_pipe is not None  # its body is still on its way
        self.out = 0  # pushes that have not ended
        self._deliver, self._left = deliver, left

    @property
    def left(self) -> bool:
        """Whether its client has gone as of now, also where nobody has read of it yet."""
        return self.gone or self._left()

    @property
    def over(self) -> bool:
        return self.gone or self.answer is not None

    def finish(self, answer: ClientResponse) -> None:
        """The first final answer goes to the client; nothing does after it."""
        if not self.over:
            self.answer = answer
            self._deliver(answer)

    def also(self, look: Callable[[ClientResponse], None]) -> None:
        """`look` sees the final answer before it is delivered; it must not fail."""
        deliver = self._deliver

        def both(answer: ClientResponse) -> None:
            look(answer)
            deliver(answer)

        self._deliver = both

    def cancel_pushes(self) -> None:
        for scope in self.scopes:
            scope.cancel()

    def open_push(self) -> tuple[int, anyio.CancelScope]:
        scope = anyio.CancelScope()
        self.scopes.append(scope)
        self.out += 1
        return len(self.scopes) - 1, scope
