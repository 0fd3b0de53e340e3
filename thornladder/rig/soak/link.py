"""A relay in front of one server, whose connections are slow, split, frozen and reset by chance."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from thornladder.node import streams
from thornladder.settings import Address

REQUEST_STARTS = (b"GET ", b"POST ")
_CALL_ID = re.compile(rb"\r\nx-call-id: ([^\r]+)\r\n", re.IGNORECASE)
MAX_PIECES = 4  # into which what arrives at once is split
MAX_PIECE_PAUSE_SECONDS = 0.01
REST_SECONDS = (0.05, 0.6)  # after which the link closes a connection, where it does


@dataclass(frozen=True)
class LinkFaults:
    """How often a part of a message meets a fault, each as a share of all parts."""

    split: float = 0.0  # it goes on in pieces
    freeze: float = 0.0  # it is held for up to `freeze_seconds`
    freeze_seconds: float = 0.0
    reset: float = 0.0  # of parts of requests: it, or half of it, or nothing goes on, then a reset
    close: float = 0.0  # of connections: the link closes them as soon as they have rested for a while


class FaultyLink:
    """Relays connections to a server; its own address stands in for the server's.

    It never resets a connection once the answer to the last request has begun: whoever cuts an answer has to
    know of which request.
    """

    def __init__(
        self,
        host: str,
        target: Callable[[], Address],
        faults: LinkFaults,
        rng: Random,
        on_request: Callable[[str], None] = lambda id: None,
    ) -> None:
        """`target`: the server's address now. `on_request`: called with the id of each request."""
        self.on_request = on_request
        self.host, self.target, self.faults, self.rng = host, target, faults, rng
        self.port = 0

    async def serve(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Relays connections until it is cancelled."""
        listener = await anyio.create_tcp_listener(local_host=self.host, local_port=0)
        self.port = listener.extra(SocketAttribute.local_port)
        task_status.started()
        async with listener:
            await listener.serve(self._relay)

    async def _relay(self, client: SocketStream) -> None:
        async with client:
            try:
                server = await anyio.connect_tcp(*self.target())
            except OSError:
                streams.reset(client)
                return
            async with server:
                await LinkedConnection(self, client, server).run()

    def note_request(self, part: bytes) -> None:
        """Reports the request that begins with this part."""
        if found := _CALL_ID.search(part):
            self.on_request(found[1].decode())

    def meets(self, fault: str) -> bool:
        """Draws whether the fault of this name happens now."""
        return self.rng.random() < getattr(self.faults, fault)


class LinkedConnection:
    """One relayed connection."""

    def __init__(self, link: FaultyLink, client: SocketStream, server: SocketStream) -> None:
        self.link, self.client, self.server = link, client, server
        self.answer_begun = False  # to the last request
        self.passing_on = 0  # parts that are on their way
        self.last_part_at = 0.0  # on the event loop's clock: when one had been passed on
        closes = link.meets("close")
        self.rest_seconds = link.rng.uniform(*REST_SECONDS) if closes else math.inf

    async def run(self) -> None:
        """Relays both directions until either side or the link ends the connection."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._copy_requests, group.cancel_scope)
            group.start_soon(self._copy_answers, group.cancel_scope)

    async def _copy_requests(self, scope: anyio.CancelScope) -> None:
        with suppress(*streams.STREAM_CLOSED_ERRORS):
            while True:
                part = await self._next_request_part()
                if part is None:
                    break
                if part.startswith(REQUEST_STARTS):
                    self.answer_begun = False
                    self.link.note_request(part)
                if not self.answer_begun and self.link.meets("reset"):
                    await self._reset(part)
                    continue
                await self._pass_on(part, self.server)
        scope.cancel()

    async def _next_request_part(self) -> bytes | None:
        """Waits for the next part of a request; None: the connection has rested for too long."""
        while True:
            with anyio.move_on_after(self.rest_seconds):
                return await self.client.receive()
            has_rested = anyio.current_time() - self.last_part_at >= self.rest_seconds
            if self.answer_begun and not self.passing_on and has_rested:
                return None

    async def _reset(self, part: bytes) -> None:
        kept = self.link.rng.choice((0, len(part) // 2, len(part)))
        if kept:
            await self.server.send(part[:kept])
        if self.answer_begun:  # an early one, meanwhile
            await self.server.send(part[kept:])
        else:
            streams.reset(self.client)
            streams.reset(self.server)

    async def _copy_answers(self, scope: anyio.CancelScope) -> None:
        with suppress(*streams.STREAM_CLOSED_ERRORS):
            while True:
                part = await self.server.receive()
                self.answer_begun = True
                await self._pass_on(part, self.client)
        scope.cancel()

    async def _pass_on(self, part: bytes, sink: SocketStream) -> None:
        self.passing_on += 1
        if self.link.meets("freeze"):
            await anyio.sleep(self.link.rng.uniform(0.0, self.link.faults.freeze_seconds))
        for piece in self._pieces(part):
            await sink.send(piece)
            if len(piece) < len(part):
                await anyio.sleep(self.link.rng.uniform(0.0, MAX_PIECE_PAUSE_SECONDS))
        self.passing_on -= 1
        self.last_part_at = anyio.current_time()

    def _pieces(self, part: bytes) -> list[bytes]:
        if not self.link.meets("split"):
            return [part]
        size = len(part) // self.link.rng.randint(2, MAX_PIECES) + 1
        return [part[start : start + size] for start in range(0, len(part), size)]
