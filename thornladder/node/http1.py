"""HTTP/1.1 connections on which the node sends requests, to backends and to the list service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream
from anyio.lowlevel import checkpoint_if_cancelled

from thornladder.node import connecting, messages, streams
from thornladder.node.flow import BodyPipe
from thornladder.node.memory import charges
from thornladder.node.memory.budget import MemoryBudget, Reservation
from thornladder.node.messages import MAX_BUFFERED_BYTES, UpstreamRequest, UpstreamResponse
from thornladder.node.streams import STREAM_CLOSED_ERRORS, has_unread_data
from thornladder.settings import Address

# Of a body without a length: as much as a large one has brought when the client's time is nearly up.
LIKELY_LARGE_BYTES = 16 * 1024
BEGIN_MARGIN_SECONDS = 0.1  # before the client's time


class Stage(Enum):
    """How far a request has come; until `SENT` it cannot have run."""

    CONNECTING = "connecting"
    WRITING = "writing"
    SENT = "sent"
    RECEIVING = "receiving"


class Cause(Enum):
    """Why a request ended without a response."""

    NO_CONNECTION = "no connection"
    BROKEN = "broken"  # the connection was closed or reset during the request
    STALE = "stale"  # a reused connection that the other side had closed; the request was not written whole
    MALFORMED = "malformed"  # what arrived cannot be read as the response
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"  # given up by this node before anything was written


class Failure(NamedTuple):
    """Result of a request that ended without a response."""

    stage: Stage
    cause: Cause


class ResponseReader:
    """Body of one response: buffered while it is small, streamed to the client once it is large."""

    def __init__(
        self,
        head_only: bool,
        max_body_bytes: int,
        on_streaming: Callable[[UpstreamResponse], None] | None,
        memory_budget: MemoryBudget | None,
        on_held: Callable[[], None] | None,
    ) -> None:
        """`head_only`: the request is a HEAD. Without `on_streaming` every body is buffered."""
        self.head_only, self.max_body_bytes, self.on_streaming, self.on_held = (
            head_only, max_body_bytes, on_streaming, on_held
        )  # fmt: skip
        self.head: h11.Response | None = None
        self.declared_length: int | None = None  # by Content-Length, even where the body is chunked
        self.is_chunked = False
        self.body = bytearray()  # what of it is not streamed
        self.size = 0  # bytes received so far
        # Memory for what is read beyond a small answer; None: not counted.
        self.room = None if memory_budget is None else Reservation(memory_budget)
        self.body_pipe: BodyPipe | None = None
        self.complete = False
        self.head_received_at = 0.0

    @property
    def is_ok(self) -> bool:
        """Whether the status is 200, the only one that is passed on to clients."""
        return self.head is not None and self.head.status_code == 200

    @property
    def length(self) -> int | None:
        """Length of the body if the head gives it: Transfer-Encoding overrides it (RFC 9112, 6.3)."""
        return None if self.is_chunked else self.declared_length

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the orderly end of the connection ends the body."""
        return self.head is not None and not self.head_only and self.length is None and not self.is_chunked

    @property
    def framings_agree(self) -> bool:
        """Whether a chunked body, now received whole, has the Content-Length that its head declared."""
        if not self.is_chunked or self.declared_length is None or self.head_only:
            return True
        return self.size == self.declared_length

    @property
    def should_stream(self) -> bool:
        """Whether the body is now known to be too large to be buffered and is not yet streamed."""
        may = self.on_streaming is not None and self.is_ok and not self.head_only and self.body_pipe is None
        return may and max(self.length or 0, self.size) > MAX_BUFFERED_BYTES

    def accept_head(self, head: h11.Response) -> bool:
        """Takes the head; returns False if the body that it announces is too long."""
        self.head, self.head_received_at = head, anyio.current_time()
        framing = dict(head.headers)
        content_length = framing.get(b"content-length")
        self.declared_length = int(content_length) if content_length else None
        self.is_chunked = b"transfer-encoding" in framing
        return self.head_only or self.length is None or self.length <= self.max_body_bytes

    def allow_large_message(self, stream: SocketStream) -> None:
        """Gives a connection the kernel's buffers of a large message."""
        if self.room is not None:
            self.room.budget.buffers.allow(stream)

    @property
    def wanted_bytes(self) -> int:
        """What is to be reserved before more is read: the body is here twice while it is put together."""
        if not self.is_ok:
            return 0
        if self.body_pipe is not None:
            return charges.BODY_PIPE_BYTES
        if self.length is not None:
            copies = charges.BUFFERED_COPIES * min(self.length, MAX_BUFFERED_BYTES)
            return copies if self.length > streams.SMALL_READ_BYTES else 0
        if self.size <= streams.SMALL_READ_BYTES:
            return 0
        return charges.CHUNKED_BODY_BYTES

    async def prepare_read(self, connection: UpstreamConnection) -> None:
        """Waits for the memory that the next read may take, and limits the read to it."""
        await self._reserve(self.wanted_bytes)
        streams.limit_reads(connection.stream, self._max_read_bytes(connection.stream))

    def _max_read_bytes(self, stream: SocketStream) -> int:
        if self.room is None:
            return streams.MAX_READ_BYTES
        return self.room.max_read_bytes(stream)

    async def _reserve(self, size: int) -> None:
        if self.room is None or size <= self.room.size:
            return
        if self.on_held is not None and self.room.must_wait_for(size):
            self.on_held()
            self.on_held = None  # it is said once
        await self.room.grow_to(size)

    def read_timeout(self) -> float | None:
        """Seconds to wait for more data, or None for no limit.

        A streamed body must not stall for long; a body of unknown length is buffered only for a short time.
        """
        if self.body_pipe is not None:
            return UpstreamConnection.STREAM_STALL_TIMEOUT_SECONDS
        if self.ends_with_connection:
            return self._time_to_begin()
        if self.on_streaming is None or not self.is_ok or self.length is not None or not self.body:
            return None
        return max(
            self.head_received_at + UpstreamConnection.UNKNOWN_LENGTH_BUFFER_SECONDS - anyio.current_time(),
            0.0,
        )

    async def add(self, data: bytes, connection: UpstreamConnection) -> bool:
        """Takes a part of the body; returns False if it is streamed and its client has left."""
        if self.body_pipe is not None:
            return await self.body_pipe.send(data)
        # Of a body that is not passed on nothing is needed.
        if self.is_ok or (self.room is None and self.size <= MAX_BUFFERED_BYTES):
            self.body += data
        if self.should_stream:
            await self.start_streaming(connection)
        return True

    def _time_to_begin(self) -> float | None:
        """Seconds until a body that ends with its connection has to be begun, or None for never.

        Of a large body only the beginning is owed in the client's time, a small one has to be whole by then.
        Which of the two it is, is not known before: what has come tells.
        """
        if self.on_streaming is None or not self.is_ok or self.size < LIKELY_LARGE_BYTES:
            return None
        begin_at = anyio.current_effective_deadline() - BEGIN_MARGIN_SECONDS
        return max(begin_at - anyio.current_time(), 0.0)

    async def start_streaming(self, connection: UpstreamConnection) -> None:
        """Hands the response to its client, with what has arrived of the body; the rest follows."""
        await self._reserve(charges.BODY_PIPE_BYTES)
        # In a late turn of the event loop the request's own time may have run out just now.
        await checkpoint_if_cancelled()
        self.allow_large_message(connection.stream)
        assert self.head is not None and self.on_streaming is not None
        self.body_pipe = BodyPipe()
        self.on_streaming(
            UpstreamResponse(200, list(self.head.headers), bytes(self.body), self.body_pipe, self.length)
        )
        self.body.clear()

    def finish(self) -> UpstreamResponse:
        """Returns the response, whose last byte has been read."""
        assert self.head is not None
        self.complete = True
        reservation = None
        if self.body_pipe is None and self.room is not None and self.room.size:
            reservation, self.room = self.room, None  # kept until the answer is written
        body, headers = bytes(self.body), list(self.head.headers)
        return UpstreamResponse(self.head.status_code, headers, body, self.body_pipe, reservation=reservation)

    def close(self) -> None:
        """Ends the stream to the client, if there is one, and gives its memory back."""
        if self.body_pipe is not None:
            self.body_pipe.finish(self.complete)
        if self.room is not None:
            self.room.release()


class UpstreamConnection:
    """One connection with at most one request in flight; `stage` says how far that request has come."""

    SINGLE_WRITE_BYTES = 4096  # the kernel takes this much at once on a connection with nothing in flight
    UNKNOWN_LENGTH_BUFFER_SECONDS = 0.1  # a body of unknown length is streamed if it has not ended by then
    STREAM_STALL_TIMEOUT_SECONDS = 10.0  # longest pause of a backend in the middle of a streamed body
    MAX_EVENTS_PER_TURN = 64  # parsed before others have their turn
    MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses before the final one; one or two are usual

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.stage = Stage.WRITING
        self.response: ResponseReader  # to the request in flight
        self.idle_since = 0.0  # set by the pool
        self.reusable = False
        self.request_count = 0

    def is_stale(self) -> bool:
        """Whether the other side has closed the connection or sent data outside a response.

        Only valid while the connection is idle: nothing reads from it then, so no other task closes it.
        """
        return has_unread_data(self.stream)

    async def round_trip(
        self, request: h11.Request, message: UpstreamRequest | None = None,
        max_body_bytes: int = MAX_BUFFERED_BYTES,
        on_streaming: Callable[[UpstreamResponse], None] | None = None,
        memory_budget: MemoryBudget | None = None,
        on_held: Callable[[], None] | None = None,
    ) -> UpstreamResponse | Failure:  # fmt: skip
        """Sends one request and waits for its response, whose body has at most `max_body_bytes`.

        `on_streaming` is called when a large body starts with status 200; this then returns once the body has
        been passed on. Streamed bodies are counted in `memory_budget`; `on_held` is called if the response
        has to wait for room there. A caller that cancels this has to close the connection.
        """
        self.stage, self.reusable = Stage.WRITING, False
        self.request_count += 1
        self.response = ResponseReader(
            request.method == b"HEAD", max_body_bytes, on_streaming, memory_budget, on_held
        )
        body = message.body if message is not None else b""
        try:
            if message is not None and message.body_pipe is not None:
                return await self._round_trip_streaming(request, message, message.body_pipe)
            data = self.http.send(request) or b""
            if body:
                data += self.http.send(h11.Data(data=body)) or b""
            data += self.http.send(h11.EndOfMessage()) or b""
            if len(data) > self.SINGLE_WRITE_BYTES:
                # A write that is given up while still in progress may yet reach the backend whole. So the
                # last byte is sent apart: before it the request cannot have run, from it on it may have.
                await self.stream.send(memoryview(data)[:-1])
                data, self.stage = data[-1:], Stage.SENT
            if self.stage is Stage.SENT or not streams.try_write(self.stream, data):
                await self.stream.send(data)
            self.stage = Stage.SENT
            return await self._read_response()
        except STREAM_CLOSED_ERRORS:
            return self._connection_lost()
        except h11.LocalProtocolError:
            return Failure(self.stage, Cause.ABANDONED)  # it cannot be encoded, so nothing was written
        finally:
            self.response.close()

    async def _round_trip_streaming(
        self, request: h11.Request, message: UpstreamRequest, body_pipe: BodyPipe
    ) -> UpstreamResponse | Failure:
        """Streams a request body, and reads a response that may arrive before the end of that body."""
        self.response.allow_large_message(self.stream)
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_body, request, message, body_pipe)
            result = await self._read_response()
            group.cancel_scope.cancel()
        return result

    async def _send_body(self, request: h11.Request, message: UpstreamRequest, body_pipe: BodyPipe) -> None:
        """Sends a streamed request; it cannot have run until its last byte or its last chunk is sent."""
        try:
            await self.stream.send((self.http.send(request) or b"") + self._encode_part(message.body))
            remaining = None if message.length is None else message.length - len(message.body)
            async for part in body_pipe.parts():
                data = self._encode_part(part)
                if remaining is not None:
                    remaining -= len(part)
                    if remaining <= 0:
                        await self.stream.send(data[:-1])
                        if body_pipe.producer_left():
                            return  # the request must not run any more
                        data, self.stage = data[-1:], Stage.SENT
                await self.stream.send(data)
            if body_pipe.complete and not body_pipe.producer_left():
                last_chunk = self.http.send(h11.EndOfMessage()) or b""
                if last_chunk:
                    self.stage = Stage.SENT
                    await self.stream.send(last_chunk)
        except (*STREAM_CLOSED_ERRORS, h11.LocalProtocolError):
            pass  # the reading side sees the response or the end of the stream

    def _encode_part(self, data: bytes) -> bytes:
        return (self.http.send(h11.Data(data=data)) or b"") if data else b""

    async def _read_response(self) -> UpstreamResponse | Failure:
        """Reads one response. Unreadable data means that the peer is alive, unlike the end of the stream."""
        try:
            return await self._parse_response()
        except h11.RemoteProtocolError:
            return self._malformed()
        except STREAM_CLOSED_ERRORS:
            return self._connection_lost()  # caught here, since a task group would wrap the exception

    def _connection_lost(self) -> Failure:
        closed_while_idle = self.stage is Stage.WRITING and self.request_count > 1
        return Failure(self.stage, Cause.STALE if closed_while_idle else Cause.BROKEN)

    def _malformed(self) -> Failure:
        stream_ended = self.http.trailing_data[1]
        return Failure(self.stage, Cause.BROKEN if stream_ended else Cause.MALFORMED)

    async def _parse_response(self) -> UpstreamResponse | Failure:
        response, informational, events = self.response, 0, 0
        while True:
            event = self.http.next_event()
            events += 1
            if events % self.MAX_EVENTS_PER_TURN == 0:
                await anyio.sleep(0.0)
            if event is h11.NEED_DATA:
                data = b""  # empty data tells h11 that the stream has ended
                await response.prepare_read(self)
                with suppress(anyio.EndOfStream), anyio.move_on_after(response.read_timeout()) as read_scope:
                    data = await self.stream.receive()
                if not read_scope.cancelled_caught:
                    if not data and response.ends_with_connection and not streams.ended_in_order(self.stream):
                        return self._connection_lost()
                    self.http.receive_data(data)
                    if response.head is None and messages.has_too_many_fields(self.http.trailing_data[0]):
                        return self._malformed()
                elif response.body_pipe is not None:
                    return Failure(self.stage, Cause.BROKEN)
                else:
                    await response.start_streaming(self)
            elif isinstance(event, h11.Response):
                self.stage = Stage.RECEIVING
                if not response.accept_head(event):
                    return self._malformed()
                if response.should_stream:
                    await response.start_streaming(self)
            elif isinstance(event, h11.Data):
                response.size += len(event.data)
                if response.size > response.max_body_bytes:
                    return self._malformed()
                if not await response.add(bytes(event.data), self):
                    return Failure(self.stage, Cause.BROKEN)  # its client has left
            elif isinstance(event, h11.EndOfMessage):
                if not response.framings_agree:
                    # One of the two is wrong, and it is not known which: what was passed on is cut off.
                    return self._malformed()
                break
            elif isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > self.MAX_INFORMATIONAL_RESPONSES:
                    return self._malformed()
            else:
                return self._malformed()
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.reusable = not self.http.trailing_data[0]
        return response.finish()

    async def close(self) -> None:
        """Closes the connection; nothing more is sent on it once this returns."""
        await streams.close(self.stream)


async def connect(address: Address, timeout: float) -> UpstreamConnection | Failure:
    """Opens a connection within `timeout` seconds."""
    try:
        return UpstreamConnection(await connecting.connect(address, timeout))
    except OSError:  # includes TimeoutError
        return Failure(Stage.CONNECTING, Cause.NO_CONNECTION)


# Opens a connection to an address within a timeout in seconds.
Connector = Callable[[Address, float], Awaitable[UpstreamConnection | Failure]]
