"""One invocation in flight: where the clients' side and the backends' side meet."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from thornladder.interface import Invocation
from thornladder.node.messages import ClientResponse, UpstreamRequest


class Exchange:
    """What came in, the pushes made for it, and its one final answer."""

    __slots__ = (
        "invocation", "message", "answer", "client_gone", "push_scopes", "pending_pushes", "unread_seconds",
        "time_budget", "body_incoming", "_deliver", "_client_closed",
    )  # fmt: skip

    def __init__(
        self,
        invocation: Invocation,
        message: UpstreamRequest,
        deliver: Callable[[ClientResponse], None],
        unread_seconds: float = 0.0,
        client_closed: Callable[[], bool] = lambda: False,
    ) -> None:
        """`client_closed` looks whether the client has closed its connection, read or not."""
        self.invocation, self.message = invocation, message
        self.answer: ClientResponse | None = None
        self.client_gone = False  # the client left before its answer
        self.push_scopes: list[anyio.CancelScope] = []  # of the pushes, by number
        self.unread_seconds = unread_seconds  # seconds that it lay unread
        self.time_budget = invocation.time_left  # seconds, from its last byte on
        self.body_incoming = message.body_pipe is not None  # its body is still on its way
        self.pending_pushes = 0  # pushes that have not ended
        self._deliver, self._client_closed = deliver, client_closed

    @property
    def client_closed(self) -> bool:
        """Whether its client has gone as of now, also where nobody has read of it yet."""
        return self.client_gone or self._client_closed()

    @property
    def finished(self) -> bool:
        return self.client_gone or self.answer is not None

    def finish(self, answer: ClientResponse) -> None:
        """The first final answer goes to the client; nothing does after it."""
        if not self.finished:
            self.answer = answer
            self._deliver(answer)

    def observe_answer(self, look: Callable[[ClientResponse], None]) -> None:
        """`look` sees the final answer before it is delivered; it must not fail."""
        deliver = self._deliver

        def both(answer: ClientResponse) -> None:
            look(answer)
            deliver(answer)

        self._deliver = both

    def cancel_pushes(self) -> None:
        for scope in self.push_scopes:
            scope.cancel()

    def open_push(self) -> tuple[int, anyio.CancelScope]:
        scope = anyio.CancelScope()
        self.push_scopes.append(scope)
        self.pending_pushes += 1
        return len(self.push_scopes) - 1, scope
