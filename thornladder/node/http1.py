"""An HTTP/1.1 connection on which this node asks: used for backends and for discovery."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

from thornladder.node import streams
from thornladder.node.flow import BODY_PIPE_BYTES, BodyPipe, limit_kernel_buffers
from thornladder.node.messages import MAX_BUFFERED_BYTES, UpstreamRequest, UpstreamResponse
from thornladder.node.streams import STREAM_CLOSED_ERRORS, BodyBudget, has_unread_data
from thornladder.settings import Address


class Stage(Enum):
    """How far an asking had come."""

    CONNECTING = "connecting"
    WRITING = "writing"
    SENT = "sent"
    ANSWERING = "answering"


class Cause(Enum):
    """What ended it before there was an answer."""

    NO_CONNECTION = "no connection"
    BROKEN = "broken"
    STALE = "stale"  # the other side had ended a connection that was used before; nothing was written whole
    MALFORMED = "spoilt"  # something came that cannot be read as its answer
    TIMEOUT = "time-out"
    CANCELLED = "cancelled"
    ABANDONED = "too late"


class Failure(NamedTuple):
    """An asking that ended without an answer, as a value."""

    stage: Stage
    cause: Cause


class Incoming:
    """One answer as it comes: kept whole while it is small, passed on as it comes once it is large."""

    def __init__(
        self,
        head_only: bool,
        most: int,
        begin: Callable[[UpstreamResponse], None] | None,
        held: BodyBudget | None,
    ) -> None:
        self.head_only, self.most, self.begin, self.held = head_only, most, begin, held
        self.head: h11.Response | None = None
        self.length: int | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.counted = False
        self.flow: BodyPipe | None = None
        self.whole = False
        self.began = 0.0

    @property
    def good(self) -> bool:
        return self.head is not None and self.head.status_code == 200

    @property
    def large(self) -> bool:
        """Whether it is known to be."""
        may = self.begin is not None and self.good and not self.head_only and self.flow is None
        return may and max(self.length or 0, self.size) > MAX_BUFFERED_BYTES

    def headed(self, head: h11.Response) -> bool:
        """Takes the head; False if what it says of the body cannot be."""
        self.head, self.began = head, anyio.current_time()
        framing = dict(head.headers)
        told = framing.get(b"content-length")
        self.length = int(told) if told else None
        # Guards against a body without end, and against one that ends where the connection breaks.
        if self.length is None:
            return head.status_code != 200 or b"transfer-encoding" in framing or self.head_only
        return self.head_only or self.length <= self.most

    def patience(self) -> float | None:
        """Seconds to wait for more: of what flows not for ever, of what may be large not for long."""
        if self.flow is not None:
            return UpstreamConnection.GIVING
        if self.begin is None or not self.good or self.length is not None or not self.parts:
            return None
        return max(self.began + UpstreamConnection.HOLD - anyio.current_time(), 0.0)

    async def take(self, data: bytes, line: UpstreamConnection) -> bool:
        if self.flow is not None:
            return await self.flow.send(data)
        if (
            self.good or self.size <= MAX_BUFFERED_BYTES
        ):  # of what is no answer to pass on the beginning will do
            self.parts.append(data)
        if self.large:
            await self.flows(line)
        return True

    async def flows(self, line: UpstreamConnection) -> None:
        """From here on it is its client's."""
        if self.held is not None:
            await self.held.acquire(BODY_PIPE_BYTES, line)
            self.counted = True
        limit_kernel_buffers(line.stream)
        assert self.head is not None and self.begin is not None
        self.flow = BodyPipe()
        self.begin(
            UpstreamResponse(200, list(self.head.headers), b"".join(self.parts), self.flow, self.length)
        )
        self.parts.clear()

    def ended(self) -> UpstreamResponse:
        assert self.head is not None
        self.whole = True
        return UpstreamResponse(
            self.head.status_code, list(self.head.headers), b"".join(self.parts), self.flow
        )

    def over(self, line: UpstreamConnection) -> None:
        if self.flow is not None:
            self.flow.finish(self.whole)
        if self.counted and self.held is not None:
            self.held.release(BODY_PIPE_BYTES, line)


class UpstreamConnection:
    """One connection, one asking at a time. `stage` tells how far the present one is."""

    AT_ONCE = 4096  # bytes that a kernel takes in one go on a connection with nothing under way
    HOLD = 0.1  # seconds that the first bytes of an answer of unknown length may wait for the rest
    GIVING = 10.0  # seconds in which a backend that has begun a large answer says something more
    AHEAD = 8  # informational answers ahead of the one asked for; one or two are usual

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.stage = Stage.WRITING
        self.answer: Incoming  # to the present asking
        self.idle_since = 0.0  # for whoever keeps it
        self.reusable = False
        self.asked = 0

    def stale(self) -> bool:
        """Whether the other side has closed it, or said something that nobody asked for.

        Only for an idle connection: nothing is read from it then, so that nothing else closes it.
        """
        return has_unread_data(self.stream)

    async def round_trip(
        self, request: h11.Request, message: UpstreamRequest | None = None, most: int = MAX_BUFFERED_BYTES,
        begin: Callable[[UpstreamResponse], None] | None = None, held: BodyBudget | None = None,
    ) -> UpstreamResponse | Failure:  # fmt: skip
        """Sends once and waits for the answer, of `most` bytes; whoever cancels this closes the connection.

        `begin` is told of a large answer that is good so far; this goes on until it has been passed on.
        `held` counts what flows.
        """
        self.stage, self.reusable = Stage.WRITING, False
        self.asked += 1
        self.answer = Incoming(request.method == b"HEAD", most, begin, held)
        body = message.body if message is not None else b""
        try:
            if message is not None and message.body_pipe is not None:
                return await self._ask_flowing(request, message, message.body_pipe)
            data = self.http.send(request) or b""
            if body:
                data += self.http.send(h11.Data(data=body)) or b""
            data += self.http.send(h11.EndOfMessage()) or b""
            if len(data) > self.AT_ONCE:
                # Guards against a write that was still under way when it was given up, and was whole by then:
                # until the last byte is handed over it surely never ran, from then on it may have.
                await self.stream.send(data[:-1])
                data, self.stage = data[-1:], Stage.SENT
            if self.stage is Stage.SENT or not streams.try_write(self.stream, data):
                await self.stream.send(data)
            self.stage = Stage.SENT
            return await self._answer()
        except STREAM_CLOSED_ERRORS:
            return self._broken()
        except h11.LocalProtocolError:
            return Failure(self.stage, Cause.ABANDONED)  # not to be put into words: nothing was written
        finally:
            self.answer.over(self)

    async def _ask_flowing(
        self, request: h11.Request, message: UpstreamRequest, flow: BodyPipe
    ) -> UpstreamResponse | Failure:
        """Passes a body on while it comes, and hears an answer that comes before its end."""
        limit_kernel_buffers(self.stream)
        async with anyio.create_task_group() as group:
            group.start_soon(self._pass_on, request, message, flow)
            result = await self._answer()
            group.cancel_scope.cancel()
        return result

    async def _pass_on(self, request: h11.Request, message: UpstreamRequest, flow: BodyPipe) -> None:
        """It surely never ran as long as its last byte, or the end of its chunks, is held back."""
        try:
            await self.stream.send((self.http.send(request) or b"") + self._part(message.body))
            left = None if message.length is None else message.length - len(message.body)
            async for part in flow.parts():
                data = self._part(part)
                if left is not None:
                    left -= len(part)
                    if left <= 0:
                        await self.stream.send(data[:-1])
                        data, self.stage = data[-1:], Stage.SENT
                await self.stream.send(data)
            if flow.complete:
                end = self.http.send(h11.EndOfMessage()) or b""
                if end:
                    self.stage = Stage.SENT
                    await self.stream.send(end)
        except (*STREAM_CLOSED_ERRORS, h11.LocalProtocolError):
            pass  # the answer, or the end of the stream, tells

    def _part(self, data: bytes) -> bytes:
        return (self.http.send(h11.Data(data=data)) or b"") if data else b""

    async def _answer(self) -> UpstreamResponse | Failure:
        """Reads one answer. What cannot be read comes from a process that lives, unlike an end."""
        try:
            return await self._read()
        except h11.RemoteProtocolError:
            return self._spoilt()
        except STREAM_CLOSED_ERRORS:
            return self._broken()  # here, since a task group would wrap it

    def _broken(self) -> Failure:
        kept = self.stage is Stage.WRITING and self.asked > 1
        return Failure(self.stage, Cause.STALE if kept else Cause.BROKEN)

    def _spoilt(self) -> Failure:
        ended = self.http.trailing_data[1]
        return Failure(self.stage, Cause.BROKEN if ended else Cause.MALFORMED)

    async def _read(self) -> UpstreamResponse | Failure:
        answer, ahead = self.answer, 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = b""  # h11 tells whether the answer may end so
                with suppress(anyio.EndOfStream), anyio.move_on_after(answer.patience()) as waiting:
                    data = await self.stream.receive()
                if not waiting.cancelled_caught:
                    self.http.receive_data(data)
                elif answer.flow is not None:
                    return Failure(self.stage, Cause.BROKEN)
                else:
                    await answer.flows(self)
            elif isinstance(event, h11.Response):
                self.stage = Stage.ANSWERING
                if not answer.headed(event):
                    return self._spoilt()
                if answer.large:
                    await answer.flows(self)
            elif isinstance(event, h11.Data):
                answer.size += len(event.data)
                if answer.size > answer.most:
                    return self._spoilt()
                if not await answer.take(bytes(event.data), self):
                    return Failure(self.stage, Cause.BROKEN)  # nobody is there to take it any more
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.InformationalResponse):
                ahead += 1
                if ahead > self.AHEAD:
                    return self._spoilt()
            else:
                return self._spoilt()
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.reusable = not self.http.trailing_data[0]
        return answer.ended()

    async def close(self) -> None:
        """Ends it; when this returns nothing more goes out on the connection."""
        await streams.close(self.stream)


async def connect(address: Address, time_out: float) -> UpstreamConnection | Failure:
    try:
        with anyio.fail_after(time_out):
            return UpstreamConnection(streams.limit_reads(await anyio.connect_tcp(*address)))
    except OSError:  # a time-out is one too
        return Failure(Stage.CONNECTING, Cause.NO_CONNECTION)


Connect = Callable[
    [Address, float], Awaitable[UpstreamConnection | Failure]
]  # to an address, in so many seconds
