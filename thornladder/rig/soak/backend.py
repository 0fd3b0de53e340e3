"""A backend that answers, hangs, fails or is gone, as its plan says."""

from __future__ import annotations

import math
from collections.abc import Sequence
from contextlib import suppress
from random import Random

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup, TaskStatus

from thornladder.node import streams
from thornladder.rig.soak.clock import SoakClock
from thornladder.rig.soak.plan import SMALL_ANSWERS, Answers, BackendMode, ModeChange
from thornladder.rig.soak.records import Attempt, SoakRecords
from thornladder.rig.standins import REJECTED_HEADERS, HttpConnection, HttpServer

SLOW_SECONDS = 0.25
LISTEN_AGAIN_SECONDS, LISTEN_POLL_SECONDS = 2.0, 0.02
MAX_PIECE_PAUSE_SECONDS = 0.25  # between pieces of a slow answer
LARGE_ANSWER_BYTES = 300_000  # more than a node buffers
LARGE_REQUEST_BYTES = 64 * 1024  # longer ones are streamed by the node


class FaultyBackend(HttpServer):
    """A backend whose mode changes by the clock of the soak."""

    def __init__(
        self,
        number: int,
        changes: tuple[ModeChange, ...],
        records: SoakRecords,
        clock: SoakClock,
        host: str,
        answers: Answers = SMALL_ANSWERS,
    ) -> None:
        """`host`: an address of its own, so that its port stays free for it while it is dead."""
        super().__init__(host)
        self.answers, self.rng = answers, Random(number)
        self.number, self.changes, self.records, self.clock = number, changes, records, clock
        self.mode = BackendMode.ANSWER

    async def run(self, *, task_status: TaskStatus) -> None:
        """Serves, and changes modes when they are due; while it is dead nothing listens at its port."""
        async with anyio.create_task_group() as group:
            await group.start(self.serve)
            task_status.started()
            for change in self.changes:
                await anyio.sleep(max(change.at - self.clock.now(), 0.0))
                if self.mode is BackendMode.DEAD and change.mode is not BackendMode.DEAD:
                    await self._listen_again(group)
                self.mode = change.mode
                if self.mode is BackendMode.DEAD and self.cancel_scope is not None:
                    self.cancel_scope.cancel()
                    await self.stopped.wait()

    async def _listen_again(self, group: TaskGroup) -> None:
        """Opens the port anew; on a machine that is late it may still be in use for a moment."""
        deadline = anyio.current_time() + LISTEN_AGAIN_SECONDS
        while True:
            try:
                await group.start(self.serve)
                return
            except OSError:
                if anyio.current_time() > deadline:
                    raise
                await anyio.sleep(LISTEN_POLL_SECONDS)

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = HttpConnection(stream, h11.SERVER)
        with suppress(h11.ProtocolError, *streams.STREAM_CLOSED_ERRORS):
            async with stream:
                while await self._serve_request(connection):
                    pass

    async def _serve_request(self, connection: HttpConnection) -> bool:
        """Treats an invocation, or a health probe, as the present mode says; returns whether to go on."""
        head = await connection.receive_head()
        headers, offering = dict(head.headers), head.target.decode().strip("/")
        attempt = Attempt(self.clock.now(), offering, self.number, self.clock.lost_seconds())
        is_large = int(headers.get(b"content-length", b"0")) > LARGE_REQUEST_BYTES
        if self.mode is BackendMode.EARLY and is_large:
            await self._answer_early(connection, head, attempt)
            return connection.start_next_cycle()
        body = await connection.receive_body()
        return await self._answer(connection, head, attempt, body) and connection.start_next_cycle()

    async def _answer_early(self, connection: HttpConnection, head: h11.Request, attempt: Attempt) -> None:
        """Answers a request whose body is still on its way."""
        attempt.is_whole = False
        self._record(head, attempt)
        await self._send_content(connection, attempt, self._content(head, 0))
        await connection.receive_body()
        attempt.is_whole = True

    async def _answer(
        self, connection: HttpConnection, head: h11.Request, attempt: Attempt, body: bytes
    ) -> bool:
        """Answers a request; returns False if it ended the connection instead."""
        mode = self.mode
        if mode is BackendMode.HANG:
            self._record(head, attempt)
            await anyio.sleep(math.inf)
        if head.target.startswith(b"/health"):
            await self._send(connection, 200)
            return True
        if mode is BackendMode.REJECT:
            await self._send(connection, 503, headers=REJECTED_HEADERS)
            return True
        self._record(head, attempt)
        if mode is BackendMode.RESET:
            return False
        if mode is BackendMode.ERROR:
            await self._send(connection, 500)
            return True
        await anyio.sleep(
            SLOW_SECONDS if mode is BackendMode.SLOW else self.rng.uniform(*self.answers.seconds)
        )
        content = self._content(head, len(body))
        if mode is BackendMode.CUT:
            attempt.answer_cut = True
            data = connection.protocol.send(self._response(200, content)) or b""
            await connection.stream.send(data + content[: len(content) // 2])
            await anyio.sleep(self.rng.uniform(0.0, 0.05))
            streams.reset(connection.stream)
            return False
        if self.rng.random() < self.answers.unframed_share:
            await self._send_unframed(connection, attempt, content)
            return False
        await self._send_content(connection, attempt, content)
        return True

    async def _send_unframed(self, connection: HttpConnection, attempt: Attempt, content: bytes) -> None:
        """Answers without a length; a third of these are reset on their way."""
        is_cut = self.rng.random() < 0.33
        attempt.answer_cut = is_cut
        await connection.stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
        await self._send_pieces(connection, attempt, content[: len(content) // 2] if is_cut else content)
        if is_cut:
            with anyio.CancelScope(shield=True):
                await anyio.sleep(self.rng.uniform(0.0, 0.05))
            streams.reset(connection.stream)

    async def _send_pieces(self, connection: HttpConnection, attempt: Attempt, content: bytes) -> None:
        """Sends bytes at once or, some of them, in pieces over a while."""
        pieces = 8 if self.rng.random() < self.answers.slow_share else 1
        size = len(content) // pieces + 1
        try:
            for start in range(0, len(content), size):
                await connection.stream.send(content[start : start + size])
                if pieces > 1:
                    await anyio.sleep(self.rng.uniform(0.0, MAX_PIECE_PAUSE_SECONDS))
        except anyio.get_cancelled_exc_class():
            attempt.answer_cut = True  # this backend dies amid its answer, as a process does: with a reset
            streams.reset(connection.stream)
            raise

    async def _send_content(self, connection: HttpConnection, attempt: Attempt, content: bytes) -> None:
        head = connection.protocol.send(self._response(200, content)) or b""
        await self._send_pieces(connection, attempt, head + content)
        connection.protocol.send(h11.Data(data=content))
        connection.protocol.send(h11.EndOfMessage())

    def _content(self, head: h11.Request, request_length: int) -> bytes:
        id = dict(head.headers).get(b"x-call-id", b"").decode()
        content = f"{id} {request_length}".encode()
        is_large = self.rng.random() < self.answers.large_share
        return content.ljust(LARGE_ANSWER_BYTES) if is_large else content

    async def _send(
        self,
        connection: HttpConnection,
        status: int,
        content: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
    ) -> None:
        await connection.send(self._response(status, content, headers), content)

    @staticmethod
    def _response(status: int, content: bytes, headers: Sequence[tuple[str, str]] = ()) -> h11.Response:
        length = ("Content-Length", str(len(content)))
        return h11.Response(status_code=status, headers=[length, *headers])

    def _record(self, head: h11.Request, attempt: Attempt) -> None:
        if id := dict(head.headers).get(b"x-call-id", b"").decode():
            self.records.attempts.setdefault(id, []).append(attempt)
