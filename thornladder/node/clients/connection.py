"""A client's HTTP/1.1 connection: receives invocations one at a time and answers them in order."""

from __future__ import annotations

from collections import deque
from contextlib import suppress

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup

from thornladder.node import messages, streams
from thornladder.node.clients.closures import CloseReason
from thornladder.node.clients.parse_pace import MAX_EVENTS_PER_TURN
from thornladder.node.clients.server_state import ServerState
from thornladder.node.clients.upload import Upload, may_be_unread
from thornladder.node.exchange import Exchange
from thornladder.node.flow import BodyPipe
from thornladder.node.memory import charges, usage
from thornladder.node.memory.budget import Reservation
from thornladder.node.memory.monitor import MemoryLevel
from thornladder.node.messages import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    BadRequest,
    ClientResponse,
    RequestHead,
)
from thornladder.node.streams import SMALL_READ_BYTES, STREAM_CLOSED_ERRORS

# The parser of all connections that have ended; nothing is read or written with it.
_ENDED = h11.Connection(h11.SERVER)


class ClientConnection:
    """One client connection, served by a reading task and a writing task.

    Requests of up to `MAX_BUFFERED_BYTES` are buffered before they are handled; larger ones are streamed to
    the backend while they arrive.
    """

    # For the client to read its last response and close.
    LINGER_SECONDS = 0.3
    LINGER_POLL_SECONDS = 0.05
    # A wait for memory ends this long before the client's time.
    MEMORY_WAIT_MARGIN_SECONDS = 0.05
    MAX_HEAD_WAIT_SECONDS = 0.25  # for memory, where the client's time is not known
    WRITE_POLL_SECONDS = 0.02  # between looks at whether an answer has been taken
    MEMORY_POLL_SECONDS = 0.1  # between looks at whether a request that waits for memory has come whole
    # While `closing`, this much is read and dropped so that no TCP reset overtakes the last response; after
    # that, reading stops.
    MAX_DISCARDED_BYTES = 256 * 1024
    # Allowed for a request head, for which clients may take 2 s; a body gets this plus its length /
    # MIN_BODY_BYTES_PER_SECOND.
    RECEIVE_TIMEOUT_SECONDS = 2.6
    MIN_BODY_BYTES_PER_SECOND = 56_000.0  # clients send 64 kB/s, but in pieces; hence the margin
    # For one part of a body to be passed on: for room in the budget, or for the backend to take it. Slow
    # backends take one a second.
    UPLOAD_STALL_SECONDS = 5.0
    UPLOAD_WATCH_SECONDS = 0.01  # between looks at an upload whose time may be up
    DOWNLOAD_STALL_SECONDS = 10.0  # for a client to take part of a response; longer than any cut-off

    def __init__(
        self,
        stream: SocketStream,
        server_state: ServerState,
        initial_data: bytes = b"",
        unread_seconds: float = 0.0,
    ) -> None:
        """Creates a connection.

        `initial_data` was read when the connection was accepted; `unread_seconds` is how long that data had
        been in the kernel's receive buffer, 0 if not measured.
        """
        self.stream, self.server_state = stream, server_state
        self.initial_data, self.unread_seconds = initial_data, unread_seconds
        self.http = h11.Connection(h11.SERVER)
        self.request: RequestHead | None = None
        self.request_length: int | None = None  # of the current request's body; None if it is chunked
        self.body = bytearray()
        # Memory that the current request takes beyond a small one, and the present wait for it.
        self.request_room = Reservation(server_state.memory_budget)
        self.room_scope = anyio.CancelScope()
        # Memory that an answer takes which the kernel has not taken yet.
        self.answer_room: Reservation | None = None
        # Undelivered bytes when they were last seen to change, and when that was.
        self.undelivered_seen, self.last_write_progress = 0, server_state.clock()
        # `upload` and `download` as seen from the client: the bodies of the current request and response, if
        # they are streamed.
        self.upload: Upload | None = None
        self.discarding = False  # whether the rest of an answered request is being read and dropped
        self.received_bytes = 0  # of the current request body
        self.event_count = 0  # parsed of the current request
        # Total time spent waiting for data of the current request, and start of the present wait (0: none).
        self.read_wait_seconds, self.read_started_at = 0.0, 0.0
        self.download: BodyPipe | None = None
        # Whether the client, of HTTP/1.0, takes the end of the connection for the end of `download`.
        self.ends_by_close = False
        self.upload_lock = anyio.Lock()
        # Whether sending waits for the client to read, rather than for the backend's next body part.
        self.awaiting_client = True
        self.exchange: Exchange | None = None
        self.answered_exchange: Exchange | None = None  # whose long answer is being written
        self.outbox: deque[bytes] = deque()
        self.write_event = anyio.Event()
        self.client_ended = False  # the client has closed, half-closed or reset the connection
        self.closing = False  # no more requests are handled; whatever is left to send is the last
        self.last_activity = server_state.clock()  # when bytes were last received or sent
        # When the connection was accepted (first request) or the first byte of the current request was read.
        self.message_started_at = self.last_activity
        self.request_seen = False  # whether a request was ever handled, shed or begun to be streamed
        self.in_client_pool = False  # whether it counts among the connections that clients use
        self.rest_seconds: float | None = None  # before the current request; None: it is the first one
        self.scope = anyio.CancelScope()
        self.tasks: TaskGroup  # set by `serve`

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled and no response is pending."""
        busy = self.initial_data or self.http.trailing_data[0] or self.discarding or self.download
        return self.request is None and self.exchange is None and not self.outbox and not busy

    @property
    def at_rest(self) -> bool:
        """Whether the connection may be closed: it is idle, and the kernel has taken its last response."""
        return self.idle and not self.closing and not streams.unsent_bytes(self.stream)

    @property
    def last_response_sent(self) -> bool:
        """Whether the connection is closing and the kernel has taken its last response."""
        written = not self.outbox and self.download is None and not streams.unsent_bytes(self.stream)
        return self.closing and written

    @property
    def silent(self) -> bool:
        """Whether the client has sent nothing yet."""
        return self.idle and not self.request_seen and not self.closing

    async def serve(self) -> None:
        """Serves the connection until it ends, and closes it; errors are logged, not raised."""
        try:
            async with anyio.create_task_group() as tasks:
                self.scope, self.tasks = tasks.cancel_scope, tasks
                tasks.start_soon(self._write_loop)
                await self._read_loop()
                tasks.cancel_scope.cancel()
        except Exception:
            self.server_state.log.exception("a client's connection failed")
            self._answer_after_error()
        finally:
            self._leave_client_pool()
            self._finish_upload(False)
            self.request_room.release()
            self._release_answer()
            if self.exchange is not None:
                self._log_unanswered(self.exchange)
                self.server_state.handler.client_disconnected(self.exchange)
            if self.download is not None:
                self.download.abort()
                if self.ends_by_close:
                    streams.reset(self.stream)
            await streams.close(self.stream)
            self._drop_buffers()

    def _drop_buffers(self) -> None:
        """Frees what has been read, at once: the connection itself waits for the cycle collector."""
        self.initial_data = b""
        self.body = bytearray()
        self.outbox.clear()
        self.http = _ENDED

    def _log_unanswered(self, exchange: Exchange) -> None:
        """Logs a request that its connection leaves unanswered, unless its client has left."""
        # An error's answer has set `closing`; a shutdown logs what it leaves by itself.
        if self.client_ended or self.closing or self.server_state.draining:
            return
        self.server_state.log.warning(
            "a connection ended with a request unanswered",
            id=exchange.invocation.id,
            offering=exchange.invocation.offering,
        )

    def end_after_error(self) -> None:
        """Ends the connection after an unexpected error; an open request is answered as failed."""
        self._answer_after_error()
        self.scope.cancel()

    def _answer_after_error(self) -> None:
        """Answers the open request, if there is one, without the parts that may have failed.

        The answer promises nothing: the request may have run.
        """
        is_open = self.exchange is not None or self.request is not None or bool(self.http.trailing_data[0])
        if is_open and self.download is None and not self.outbox and not self.closing:
            self.closing = True
            with suppress(Exception):
                streams.try_write(self.stream, messages.FALLBACK_RESPONSE)

    def close_if_idle(self, reason: CloseReason = CloseReason.IDLE_TIMEOUT) -> bool:
        """Closes the connection if it is idle and no request has arrived; returns whether it did.

        The look and the close are one step: a client whose request is in transit then gets a reset, and sends
        it again on another connection.
        """
        if not self.at_rest:
            return False
        result = streams.end_if_nothing_unread(self.stream)
        if result is streams.EndResult.DATA_UNREAD:
            return False
        self.closing = True
        self._leave_client_pool()
        idle_seconds = self.server_state.clock() - self.last_activity
        self.server_state.closures.record(reason, idle_seconds, result is streams.EndResult.CROSSED)
        self.scope.cancel()
        return True

    def end_now(self) -> None:
        """Ends the connection in this step, at the end of the process; an open request is answered first.

        Nothing that is read from now on would be answered. A request in flight fails, one that has arrived
        unread or in part is refused: nothing of it has run.
        """
        if self.closing or self.download is not None or self.close_if_idle(CloseReason.SHUTDOWN):
            return
        self.closing = True
        if not streams.unsent_bytes(self.stream):
            has_started = self.exchange is not None
            answer = messages.FALLBACK_RESPONSE if has_started else messages.encode_nack(0.0, True)
            streams.answer_and_end(self.stream, answer)

    def refuse_incomplete(self) -> None:
        """Refuses a request that has not been received whole, since this process is about to end."""
        if self.closing or self.exchange is not None or self.download is not None or self.idle:
            return
        if self.discarding:
            self.closing, self.discarding = True, False  # it has been answered
            self.write_event.set()
        else:
            self._reject(503, "leaving")

    def enforce_timeouts(self, now: float, idle_timeout: float) -> None:
        """Ends requests and responses that take too long, and connections idle for over `idle_timeout` s."""
        if self.upload is not None or (self.discarding and self.download is None):
            if self._upload_too_slow(now):
                # Ends slow-loris uploads; only the time that this node waited for the client counts.
                if self.exchange is None:
                    self.scope.cancel()
                else:
                    self._abort_request(408, "it did not come whole")
            return
        if self.exchange is not None:
            return
        if self._has_unwritten:
            if self.seconds_without_write(now) > self.DOWNLOAD_STALL_SECONDS and self.awaiting_client:
                self.scope.cancel()
        elif self.idle:
            timeout = idle_timeout if self.request_seen else self.RECEIVE_TIMEOUT_SECONDS
            if now - self.last_activity > timeout:
                self.close_if_idle(
                    CloseReason.IDLE_TIMEOUT if self.request_seen else CloseReason.FIRST_REQUEST_TIMEOUT
                )
        elif (
            now - self.message_started_at
            > self.RECEIVE_TIMEOUT_SECONDS + len(self.body) / self.MIN_BODY_BYTES_PER_SECOND
        ):
            # Ends slow-loris requests: the time counts from `message_started_at`.
            self._reject(408, "it did not come whole")

    @property
    def _has_unwritten(self) -> bool:
        """Whether an answer, or the end of the connection, has not been taken by the client yet."""
        has_answer = self.outbox or self.download is not None or streams.unsent_bytes(self.stream)
        return bool(has_answer) or self.closing

    def seconds_without_write(self, now: float) -> float:
        """For how long the client has taken nothing of what there is for it.

        A slow reader may take less than one part of an answer in any fixed time.
        """
        undelivered = streams.undelivered_bytes(self.stream)
        if undelivered != self.undelivered_seen:
            self.undelivered_seen, self.last_write_progress = undelivered, now
        return now - max(self.last_write_progress, self.last_activity)

    def reclaimable_bytes(self, now: float, request_stall: float, answer_stall: float) -> int:
        """The reserved memory of a request or answer that has stood still for over so many seconds."""
        if self.exchange is not None or self.upload is not None or self.closing:
            return 0
        if self.answer_room is not None or self.download is not None:
            is_stalled = self.awaiting_client and self.seconds_without_write(now) > answer_stall
            room = charges.BODY_PIPE_BYTES if self.answer_room is None else self.answer_room.size
            return room if is_stalled else 0
        return self.request_room.size if now - self.last_activity > request_stall else 0

    @property
    def is_incomplete(self) -> bool:
        """Whether a request has begun to come and has not come whole: it cannot have run."""
        if self.closing or self.idle or self.download is not None or self.answer_room is not None:
            return False
        return self.exchange is None if self.upload is None else not self.upload.read_whole

    def stalled_seconds(self, now: float) -> float:
        """For how long its client has moved nothing though it is the client's turn; 0 if it is not."""
        if self.answer_room is not None or self.download is not None:
            return self.seconds_without_write(now) if self.awaiting_client else 0.0
        if not self.is_incomplete or (self.upload is not None and not self.upload.awaiting_client):
            return 0.0
        return now - self.last_activity

    def held_bytes(self) -> int:
        """What the end of this connection would free, the kernel's memory included."""
        reserved = self.request_room.size if self.answer_room is None else self.answer_room.size
        if self.download is not None:
            reserved = charges.BODY_PIPE_BYTES
        kernel = 0
        with suppress(Exception):  # a socket that is being closed
            kernel = usage.socket_bytes(streams.transport_socket(self.stream))
        return charges.CONNECTION_BYTES + reserved + kernel

    def give_up(self) -> None:
        """Ends a stalled request or answer, whose memory or place others need."""
        if self.answer_room is not None or self.download is not None:
            streams.reset(self.stream)  # its client can tell that the answer is not whole
        else:
            self._refuse_unread()
        self.scope.cancel()

    def _refuse_unread(self) -> None:
        """Refuses a request of which no more is read."""
        self.closing = True
        exchange, self.exchange = self.exchange, None
        self._finish_upload(False)
        if exchange is not None:
            self.server_state.handler.client_disconnected(exchange)
        if not streams.unsent_bytes(self.stream):
            has_begun = exchange is not None
            answer = messages.INCOMPLETE_RESPONSE if has_begun else messages.encode_nack(0.0, True)
            streams.answer_and_end(self.stream, answer)

    def _release_answer(self) -> None:
        """Gives back what is held for an answer that is written, or that nobody waits for any more."""
        if self.answer_room is not None:
            self.answer_room.release()
            self.answer_room = None
        if self.answered_exchange is not None:
            self.answered_exchange.release_id()
            self.answered_exchange = None

    def _upload_too_slow(self, now: float) -> bool:
        waited = self.read_wait_seconds + (now - self.read_started_at if self.read_started_at else 0.0)
        return waited > self.RECEIVE_TIMEOUT_SECONDS + self.received_bytes / self.MIN_BODY_BYTES_PER_SECOND

    def _restart_read_wait(self) -> None:
        """Forgets how long this node has waited for data of the current request."""
        self.read_wait_seconds = 0.0
        if self.read_started_at:
            self.read_started_at = self.server_state.clock()

    async def _read_loop(self) -> None:
        discarded = 0
        while True:
            await self._prepare_read()
            try:
                self.read_started_at = self.server_state.clock()
                data = self.initial_data or await self.stream.receive()
            except STREAM_CLOSED_ERRORS:
                self.client_ended = True
                return
            finally:
                self.read_wait_seconds, self.read_started_at = (
                    self.read_wait_seconds + self.server_state.clock() - self.read_started_at,
                    0.0,
                )
            if self.upload is not None:
                self.upload.after_read()
            # Early shedding of the initial data was decided when the connection was accepted.
            shed_check_done, self.initial_data = bool(self.initial_data), b""
            if not shed_check_done and self.server_state.is_lagging():
                self.unread_seconds = streams.seconds_since_last_data(streams.raw_socket(self.stream))
            if self.closing:
                discarded += len(data)
                if discarded > self.MAX_DISCARDED_BYTES:
                    await anyio.sleep_forever()  # the writing task ends the connection after LINGER_SECONDS
                continue
            now = self.server_state.clock()
            if self.request_seen and self.idle:
                self.rest_seconds = now - self.last_activity
                self.message_started_at, self.read_wait_seconds = now, 0.0
            self.last_activity = now
            if self.exchange is not None and (self.upload is None or self.upload.read_whole):
                # Clients do not pipeline: bytes past the declared length mean that the framing cannot be
                # trusted.
                self._abort_request(400, "more came than one invocation")
                continue
            if self.unread_seconds and not shed_check_done and self.idle:
                nack = self.server_state.early_shedder.nack(
                    data, self.unread_seconds, self.server_state.closes_connections
                )
                if nack is not None:
                    self._note_request()
                    self.unread_seconds, self.closing = 0.0, self.server_state.closes_connections
                    self._send(nack)
                    continue
            if self._is_too_costly(data):
                self.server_state.memory_refusals += 1
                self._refuse_unread()
                return
            await self._wait_until_written()
            if self.discarding:
                # What is dropped takes no memory; a request behind it must not wait for many small reads.
                data += streams.read_at_once(self.stream, MAX_BUFFERED_BYTES)
            self.http.receive_data(data)
            has_next = self.download is not None and not self.discarding
            if has_next and len(self.http.trailing_data[0]) > MAX_BUFFERED_BYTES:
                return  # the client has sent too much while its response is still being streamed
            if self._reject_too_many_fields():
                continue
            await self._process_received()

    def _is_too_costly(self, data: bytes) -> bool:
        """Whether a request that begins with `data` costs more memory than is left for such ones."""
        refused_from = MemoryLevel.SCARCE if self.request_seen else MemoryLevel.LOW
        if self.server_state.memory_level() < refused_from or not self.idle:
            return False
        return not self.server_state.early_shedder.is_simple(data)

    async def _process_received(self) -> None:
        """Processes what has been read and passes it on, in turns with other connections."""
        has_more = True
        while has_more:
            events_before = self.event_count
            has_more = self._process_events()
            await self._forward_upload()
            new_events, now = max(self.event_count - events_before, 0), self.server_state.clock()
            delay = self.server_state.parse_pace.delay(new_events, events_before, now)
            if delay > 0.0 or has_more:
                await anyio.sleep(delay)
                self.read_wait_seconds += delay  # a client's time: it costs more than it sends

    async def _prepare_read(self) -> None:
        """Waits for the memory that the next read may take, and limits the read to it.

        Without a reservation a connection reads little at a time, and little in all before it has one.
        """
        if not self.closing and not self.discarding:
            await (self._reserve_upload() if self.upload is not None else self._reserve_request())
        streams.limit_reads(self.stream, self.request_room.max_read_bytes(self.stream))

    async def _wait_until_written(self) -> None:
        """Waits with the next request while its client, which asks on, has not taken the answer before.

        Its answers would pile up here. `enforce_timeouts` ends a client that takes nothing at all.
        """
        while self.exchange is None and self.download is None and not self.closing and not self.discarding:
            if not self.outbox and not streams.unsent_bytes(self.stream):
                return
            await anyio.sleep(self.WRITE_POLL_SECONDS)

    async def _reserve_upload(self) -> None:
        upload = self.upload
        assert upload is not None
        upload.before_read(self.received_bytes)
        if upload.awaiting_client:
            return
        had_to_wait = await upload.wait_for_room()
        if had_to_wait and self.upload is upload and self._client_left():
            self.scope.cancel()  # the request must not run any more

    async def _reserve_request(self) -> None:
        """Reserves memory for the rest of a request; one that finds none in time is refused."""
        wanted = self._wanted_bytes()
        if wanted <= self.request_room.size:
            return
        max_wait = self._max_room_wait()
        while wanted > self.request_room.size and not self.closing:
            with anyio.move_on_after(max_wait) as self.room_scope:
                await self.request_room.grow_to(wanted)
            if self.room_scope.cancelled_caught and not self.closing and self._may_be_received():
                self.server_state.memory_refusals += 1
                self._reject(503, "no memory for this request")
            max_wait = self.MEMORY_POLL_SECONDS

    def _may_be_received(self) -> bool:
        """Whether the client may have written all of the current request, so that its time counts."""
        if self.request is None:
            return True
        missing = None if self.request_length is None else self.request_length - len(self.body)
        return may_be_unread(self.stream, missing)

    def _wanted_bytes(self) -> int:
        """What the current request may take before it is handled or streamed; 0 if it is a small one."""
        if self.exchange is not None or self.download is not None:
            return 0
        if self.request is None:
            unparsed = len(self.http.trailing_data[0])
            return charges.HEAD_BYTES if unparsed > SMALL_READ_BYTES else 0
        if self.request_length is not None:
            is_small = self.request_length <= SMALL_READ_BYTES
            return 0 if is_small else charges.BUFFERED_COPIES * self.request_length
        return charges.CHUNKED_BODY_BYTES if len(self.body) >= SMALL_READ_BYTES else 0

    def _max_room_wait(self) -> float:
        """Seconds for which the current request may wait for memory."""
        if self.request is None:
            return self.MAX_HEAD_WAIT_SECONDS
        decoded = messages.decode_invocation(self.request, b"", self.server_state.offerings)
        if isinstance(decoded, BadRequest):
            return self.MAX_HEAD_WAIT_SECONDS
        return max(decoded[0].time_left - self.MEMORY_WAIT_MARGIN_SECONDS, 0.0)

    def _reject_too_many_fields(self) -> bool:
        """Rejects a request head with more fields than are parsed; returns whether it did."""
        is_answered = self.download is not None or self.discarding
        is_head = self.request is None and not is_answered and not self.closing
        if is_head and messages.has_too_many_fields(self.http.trailing_data[0]):
            self._reject(431, "too many header fields")
        return self.closing

    async def _forward_upload(self) -> None:
        """Passes received parts of a streamed body to its pipe.

        Blocks the reading task while the pipe is full (backpressure); `_watch_upload` ends that in time.
        """
        async with self.upload_lock:
            upload = self.upload
            if upload is None:
                return
            if upload.pending_parts and self._client_left():
                self.scope.cancel()  # the request must not run any more
                return
            await upload.forward()
            if self.upload is upload and upload.read_whole:
                unread_seconds = upload.unread_seconds
                self._finish_upload(True)
                if self.exchange is not None:
                    self.server_state.handler.body_received(self.exchange, unread_seconds)

    async def _watch_upload(self, upload: Upload, exchange: Exchange) -> None:
        """Ends an invocation whose body is held back, for as long as its client waits or a part stalls.

        The client's time counts from the last byte, which may have been received, unread, while the body is
        held back.
        """
        handler = self.server_state.handler
        with upload.watch_scope:
            while not upload.finished:
                time_left = handler.body_time_left(exchange, upload.unread_seconds)
                stall_time_left = self.UPLOAD_STALL_SECONDS - upload.held_seconds
                time_is_up = time_left <= 0.0 and not upload.awaiting_client
                if stall_time_left <= 0.0 or (time_is_up and upload.may_be_received(self.received_bytes)):
                    handler.body_stalled(exchange)
                    return
                await anyio.sleep(max(min(time_left, stall_time_left), self.UPLOAD_WATCH_SECONDS))

    def _finish_upload(self, complete: bool) -> None:
        if self.upload is not None:
            self.upload.finish(complete)
            self.upload = None

    def _abort_request(self, status: int, message: str) -> None:
        """Drops an incomplete or malformed request and rejects it.

        An invocation that it has started is abandoned; it cannot have run.
        """
        exchange, self.exchange = self.exchange, None
        self._finish_upload(False)
        if exchange is not None:
            self.server_state.handler.client_disconnected(exchange)
        self._reject(status, message)

    async def _write_loop(self) -> None:
        try:
            while True:
                await self.write_event.wait()
                self.write_event = anyio.Event()
                while self.outbox:
                    await self.stream.send(self.outbox[0])
                    self.outbox.popleft()
                    self.last_activity = self.server_state.clock()
                if self.answer_room is not None and self.download is None:
                    await self.stream.send(b"")  # waits until the kernel has taken the answer
                    self._release_answer()
                if self.download is not None:
                    await self._stream_response(self.download)
                if self.closing and not self.outbox:
                    break
                if self.exchange is None:
                    if self._process_events():
                        self.tasks.start_soon(self._process_received)
                    await self._forward_upload()
            await self.stream.send(b"")  # waits until the kernel has taken the last response
            # Half-closes, then waits for the client to close, or for LINGER_SECONDS: otherwise a reset could
            # overtake the response.
            await self.stream.send_eof()
            with anyio.move_on_after(self.LINGER_SECONDS):
                while not self._client_left():
                    await anyio.sleep(self.LINGER_POLL_SECONDS)
        except STREAM_CLOSED_ERRORS:
            pass
        self.scope.cancel()

    async def _stream_response(self, pipe: BodyPipe) -> None:
        """Streams a large response; a truncated one ends the connection, which tells the client."""
        async for part in pipe.parts():
            data = self.http.send(h11.Data(data=part)) or b""
            self.last_activity, self.awaiting_client = self.server_state.clock(), True
            await self.stream.send(data)
            self.last_activity, self.awaiting_client = self.server_state.clock(), False
        if not pipe.complete:
            self.scope.cancel()
            return
        await self.stream.send(self.http.send(h11.EndOfMessage()) or b"")
        self.download, self.awaiting_client = None, True
        self._release_answer()
        if self.discarding:
            self._restart_read_wait()  # from now on the rest of the request has its usual time
        else:
            self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        """Prepares the connection for the next request, or marks it as closing if it cannot be reused."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE and not self.closing:
            self.http.start_next_cycle()
        else:
            self.closing = True

    def _process_events(self) -> bool:
        """Processes received data until a request is complete or more data is needed.

        While a response is streamed, only the rest of its own request is processed, and dropped. Returns
        whether it stopped before, for others to have their turn.
        """
        last_event = self.event_count + MAX_EVENTS_PER_TURN
        while not self.closing and (self.download is None or self.discarding):
            if self.event_count >= last_event:
                return True
            self.event_count += 1
            unparsed = self.http.trailing_data[0] if self.request is None else b""
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                if self.discarding:
                    self.closing, self.discarding = True, False
                    self.write_event.set()
                else:
                    self._abort_request(error.error_status_hint, "malformed")
                return False
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    self._send(self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                return False
            if isinstance(event, h11.Request):
                self.request = RequestHead(event)
                self.body.clear()
                self.received_bytes, self.event_count = 0, 1
                last_event = MAX_EVENTS_PER_TURN
                head = unparsed[: len(unparsed) - len(self.http.trailing_data[0])]
                framing = dict(event.headers)
                is_chunked = b"transfer-encoding" in framing
                self.request_length = None if is_chunked else int(framing.get(b"content-length", b"0"))
                if bad_request := messages.check_head(event, head):
                    self._reject(bad_request.status, bad_request.message)
                elif (self.request_length or 0) > MAX_BUFFERED_BYTES:
                    self._start_streaming()
            elif isinstance(event, h11.Data):
                self._receive_body_part(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self.discarding:
                    self.discarding = False
                    if self.download is None:
                        self._start_next_cycle()
                    self.write_event.set()
                elif self.upload is not None and self._has_surplus():
                    self._abort_request(400, "more came than one invocation")
                elif self.upload is not None:
                    self.upload.on_read_whole()
                else:
                    self._handle_message()
                return False
            else:
                return False
        return False

    def _has_surplus(self) -> bool:
        """Whether bytes have come behind a streamed body: then its declared length cannot be trusted."""
        return bool(self.http.trailing_data[0]) or bool(streams.peek_unread(self.stream))

    def _receive_body_part(self, data: bytes) -> None:
        """Buffers or streams a part of a request body, or drops it if the request is answered."""
        self.received_bytes += len(data)
        if self.received_bytes > MAX_BODY_BYTES and self.discarding:
            self.closing, self.discarding = True, False  # it has been answered
            self.write_event.set()
        elif self.received_bytes > MAX_BODY_BYTES:
            self._abort_request(413, "the body is too long")
        elif self.upload is not None:
            self.upload.pending_parts.append(bytes(data))
        elif not self.discarding:
            self.body += data
            if len(self.body) > MAX_BUFFERED_BYTES:
                self._start_streaming()

    def _start_streaming(self) -> None:
        """Starts the invocation of a large request: the rest of its body is streamed as it arrives."""
        request = self.request
        assert request is not None
        self._note_request()
        pipe = BodyPipe()
        pipe.producer_left = self._client_left
        decoded = messages.decode_invocation(request, b"", self.server_state.offerings, pipe)
        if isinstance(decoded, BadRequest):
            self._reject(decoded.status, decoded.message)
            return
        self.server_state.memory_budget.buffers.allow(self.stream)
        self.upload = Upload(
            pipe, decoded[1].length, self.stream, self.request_room, self.server_state.clock,
            self.unread_seconds,
        )  # fmt: skip
        if self.body:
            self.upload.pending_parts.append(bytes(self.body))
        self.body.clear()
        self.exchange = Exchange(*decoded, self._deliver, self.unread_seconds, self._client_left)
        self.unread_seconds = 0.0
        if not self.server_state.handler.start_invocation(self.exchange):
            self.exchange = None
            self._abort_request(400, "this X-Call-Id is in hand")
        elif self.upload is not None:
            self.tasks.start_soon(self._watch_upload, self.upload, self.exchange)

    def _handle_message(self) -> None:
        """Handles a complete request: a health check or an invocation."""
        request = self.request
        assert request is not None
        self._note_request()
        if self.http.trailing_data[0]:
            # The declared length was too short: otherwise the surplus would be parsed as the next request.
            self._reject(400, "more came than one invocation")
            return
        path = request.target.partition(b"?")[0]
        if path in (messages.READY_PATH, messages.LIVE_PATH):
            readiness_failed = not self.server_state.ready and path == messages.READY_PATH
            body_text = (
                "ready" if not readiness_failed else "leaving" if self.server_state.draining else "standby"
            )
            self._respond(
                *messages.encode_text_response(
                    503 if readiness_failed else 200, body_text, self.server_state.closes_connections
                )
            )
            return
        decoded = messages.decode_invocation(request, bytes(self.body), self.server_state.offerings)
        self.body.clear()
        if isinstance(decoded, BadRequest):
            self._respond(
                *messages.encode_text_response(
                    decoded.status, decoded.message, self.server_state.closes_connections
                )
            )
            return
        self.exchange = Exchange(*decoded, self._deliver, self.unread_seconds, self._client_left)
        self.unread_seconds = 0.0
        if not self.server_state.handler.start_invocation(self.exchange):
            self.exchange = None
            self._respond(
                *messages.encode_text_response(
                    400, "this X-Call-Id is in hand", self.server_state.closes_connections
                )
            )

    def _note_request(self) -> None:
        """Notes that a request is handled, shed or begun to be streamed."""
        if not self.request_seen:
            self.request_seen = self.in_client_pool = True
            self.server_state.client_pool.used += 1

    def _leave_client_pool(self) -> None:
        if self.in_client_pool:
            self.in_client_pool = False
            self.server_state.client_pool.used -= 1

    def _is_last_response(self) -> bool:
        """Whether the response to the current invocation ends the connection, and says so."""
        if self.server_state.closes_connections:
            return True
        if not self.server_state.client_pool.should_release(self.rest_seconds):
            return False
        self._leave_client_pool()
        self.server_state.client_pool.released_count += 1
        return True

    def _reject(self, status: int, message: str) -> None:
        """Answers and ends the connection, since the start of the next request is not known."""
        self.closing = True
        self._respond(*messages.encode_text_response(status, message, True))

    def _client_left(self) -> bool:
        """Whether the client has closed, half-closed or reset its connection."""
        return streams.peer_closed(self.stream)

    def _deliver(self, answer: ClientResponse) -> None:
        """Sends the final response to the current invocation."""
        exchange, self.exchange = self.exchange, None
        self._release_answer()  # of the request before, if its client has not waited for the whole answer
        self.answer_room = answer.reservation
        if exchange is not None and (answer.body_pipe is not None or answer.reservation is not None):
            exchange.hold_id()
            self.answered_exchange = exchange
        try:
            self._respond(
                *messages.encode_client_response(answer, self._is_last_response()),
                answer.body_pipe,
            )
        except Exception:
            # Each invocation gets a response, also where encoding it fails; then the connection ends.
            self.server_state.log.exception("encoding a response failed")
            self.request, self.closing, self.discarding = None, True, False
            try:
                self._send(messages.FALLBACK_RESPONSE)
            except Exception:
                self.scope.cancel()  # the client sees the connection end

    def _respond(self, response: h11.Response, body: bytes, pipe: BodyPipe | None = None) -> None:
        """Sends a response and prepares the connection for the next request; `pipe` streams the body."""
        head_only = self.request is not None and self.request.method == b"HEAD"
        self.request = None
        self.body.clear()
        self.room_scope.cancel()
        self.request_room.release()
        if self.upload is not None:
            # Unless the connection is closing, the rest of the request is read and dropped: closing while the
            # client sends causes a reset that can overtake the response.
            self.upload.pipe.abort()
            client_sends_body = not self.http.they_are_waiting_for_100_continue
            self.discarding = not self.upload.read_whole and not self.closing and client_sends_body
            self._finish_upload(False)
        data = self.http.send(response) or b""
        if body and not head_only:
            data += self.http.send(h11.Data(data=body)) or b""
        if pipe is not None:
            self.download = pipe
            has_length = b"content-length" in dict(response.headers)
            self.ends_by_close = not has_length and self.http.their_http_version != b"1.1"
            self.server_state.memory_budget.buffers.allow(self.stream)
            self.outbox.append(data)
            self.write_event.set()
            return
        self.http.send(h11.EndOfMessage())
        if not self.discarding:
            self._start_next_cycle()
        self._send(data)

    def _send(self, data: bytes) -> None:
        """Writes small data at once; leaves larger data, and all behind it, to the writing task."""
        if not self.outbox and len(data) <= MAX_BUFFERED_BYTES and streams.try_write(self.stream, data):
            self.last_activity = self.server_state.clock()
        elif data:
            self.outbox.append(data)
        has_more_to_do = self.closing or self.answer_room is not None or bool(self.http.trailing_data[0])
        if self.outbox or has_more_to_do:
            self.write_event.set()
