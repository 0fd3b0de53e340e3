"""State of one invocation in flight, shared by the client connection and the pushes made for it."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from thornladder.interface import Invocation
from thornladder.node.messages import ClientResponse, UpstreamRequest
from thornladder.node.request_ids import RequestIds


class Exchange:
    """An invocation as it came in, its pushes, and its final answer, of which there is at most one."""

    __slots__ = (
        "invocation", "request", "answer", "client_gone", "push_scopes", "pending_pushes", "unread_seconds",
        "time_budget", "body_incoming", "answer_held", "received_at", "request_ids", "_deliver",
        "_client_closed",
    )  # fmt: skip

    def __init__(
        self,
        invocation: Invocation,
        request: UpstreamRequest,
        deliver: Callable[[ClientResponse], None],
        unread_seconds: float = 0.0,
        client_closed: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates an exchange with no pushes.

        `request`: what pushes send on. `deliver`: hands the final answer to the client. `unread_seconds`: how
        long the invocation waited before it was read. `client_closed`: whether the client has closed its
        connection, even if that has not been read yet.
        """
        self.invocation, self.request = invocation, request
        self.answer: ClientResponse | None = None
        self.client_gone = False  # set once the client is known to have left before its answer
        self.push_scopes: list[anyio.CancelScope] = []  # by push number
        self.unread_seconds = unread_seconds
        self.time_budget = invocation.time_left  # seconds, counted from the last byte of the invocation
        self.body_incoming = request.body_pipe is not None  # the last byte of its body has not arrived
        self.answer_held = False  # a backend's answer has begun, and the node has no room to pass it on
        self.received_at = 0.0  # clock time at which the host took it on
        self.pending_pushes = 0
        self.request_ids: RequestIds | None = None  # in which the id is open, set by the host
        self._deliver, self._client_closed = deliver, client_closed

    @property
    def client_closed(self) -> bool:
        """Whether the client has left as of now; looks at its connection unless that is already known."""
        return self.client_gone or self._client_closed()

    @property
    def finished(self) -> bool:
        """Whether there is a final answer, or no client any more to give one to."""
        return self.client_gone or self.answer is not None

    def finish(self, answer: ClientResponse) -> None:
        """Delivers the final answer; does nothing if the exchange is finished already."""
        if not self.finished:
            self.answer = answer
            self._deliver(answer)

    def observe_answer(self, observer: Callable[[ClientResponse], None]) -> None:
        """Calls `observer` with the final answer before it is delivered; `observer` must not raise."""
        deliver = self._deliver

        def observe_and_deliver(answer: ClientResponse) -> None:
            observer(answer)
            deliver(answer)

        self._deliver = observe_and_deliver

    def hold_id(self) -> None:
        """Keeps the id open until `release_id`, while a long answer is written."""
        if self.request_ids is not None:
            self.request_ids.hold(self.invocation.id)

    def release_id(self, may_have_run: bool = False) -> None:
        """Ends a hold on the id; `may_have_run`: it must not be taken again for a while."""
        if self.request_ids is not None:
            self.request_ids.release(self.invocation.id, may_have_run)

    def cancel_pushes(self) -> None:
        """Cancels all pushes of this exchange."""
        for scope in self.push_scopes:
            scope.cancel()

    def open_push(self) -> tuple[int, anyio.CancelScope]:
        """Registers a new push; returns its number, counted from 0, and the scope that cancels it."""
        scope = anyio.CancelScope()
        self.push_scopes.append(scope)
        self.pending_pushes += 1
        return len(self.push_scopes) - 1, scope
