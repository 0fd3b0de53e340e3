"""One client's connection: invocations come in one after the other and are answered in that order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import anyio
import h11
from anyio.abc import SocketStream

from thornladder.interface import Offering
from thornladder.node import messages, streams
from thornladder.node.clients.early import EarlyShedder, ShedPolicy
from thornladder.node.exchange import Exchange
from thornladder.node.flow import BODY_PIPE_BYTES, BodyPipe, limit_kernel_buffers
from thornladder.node.messages import MAX_BODY_BYTES, MAX_BUFFERED_BYTES, BadRequest, ClientResponse
from thornladder.node.streams import STREAM_CLOSED_ERRORS, BodyBudget, has_unread_data


class InvocationHandler(Protocol):
    """Who takes what comes in."""

    def start_invocation(self, exchange: Exchange) -> bool: ...

    def body_received(self, exchange: Exchange) -> None: ...

    def body_stalled(self, exchange: Exchange) -> None: ...

    def client_disconnected(self, exchange: Exchange) -> None: ...


class ServerState:
    """What all connections share: who takes invocations, and whether the node is ready or sends them away."""

    def __init__(
        self,
        handler: InvocationHandler,
        offerings: Mapping[str, Offering],
        clock: Callable[[], float],
        held: BodyBudget,
        late: Callable[[], bool],
        shed_policy: ShedPolicy,
        log: Any,
    ) -> None:
        self.handler, self.clock, self.held, self.log = handler, clock, held, log
        self.late = late  # whether this node reads what has come later than it should
        self.shed_policy, self.longest = (
            shed_policy,
            0.0,
        )  # the longest cut-off of anything that may be in hand
        self.set_offerings(offerings)
        self.draining = self.standby = False
        self.has_successor = False  # another process of this node serves at the same door

    @property
    def ready(self) -> bool:
        """Whether this node is, be it by another process.

        Guards against a front that turns from a node because the one that leaves says so.
        """
        return not self.closing or (self.draining and self.has_successor and not self.standby)

    def set_offerings(self, offerings: Mapping[str, Offering]) -> None:
        """What comes from now on is of one of these; what is in hand is not touched."""
        self.offerings, self.early_shedder = offerings, EarlyShedder(offerings, self.shed_policy)
        self.longest = max(self.longest, *(offering.cut_off for offering in offerings.values()))

    @property
    def closing(self) -> bool:
        """Whether clients are sent away: each answer is the last on its connection."""
        return self.draining or self.standby


class ClientConnection:
    LINGER = 0.3  # seconds for the client to read its last answer and close
    DISCARDED = 256 * 1024  # bytes read after the last answer, so that no reset overtakes it; then no more
    # Seconds for a head, and for a body beyond its pace; clients may take 2 s for a head.
    WHOLE = 2.6
    PACE = 56_000.0  # bytes a second of a body at least; clients send 64 kB/s, and in pieces
    UNTAKEN = 5.0  # seconds for a part of a body to be taken by its backend; slow ones take one a second
    UNREAD = 10.0  # seconds for a part of an answer to be taken; past the longest cut-off

    def __init__(
        self, stream: SocketStream, server_state: ServerState, first: bytes = b"", waited: float = 0.0
    ) -> None:
        """`first`: what had come when it was accepted, and for how many seconds it had waited."""
        self.stream, self.server_state = stream, server_state
        self.first, self.waited = first, waited
        self.http = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.upload: BodyPipe | None = None  # of the invocation that is coming, where that is large
        self.discarding = False  # what is still to come of it, after its answer
        self.coming: list[bytes] = []  # parts of it that were read and not given yet
        self.got = 0  # bytes of its body
        self.waits, self.asked_at = 0.0, 0.0  # seconds that this node waited for it; since when it does
        self.download: BodyPipe | None = None  # of the answer that is going out, where that is large
        self.counted: BodyPipe | None = None  # the upload that counts among what flows
        self.passing = anyio.Lock()
        self.upload_over = False  # its last byte has come
        self.taking = True  # whether the client is awaited, and not the answer's next part
        self.exchange: Exchange | None = None
        self.outbox: deque[bytes] = deque()
        self.wake = anyio.Event()
        self.ending = False  # asked to end if it is idle
        self.closing = False  # nothing more is read; what is in the outbox is the last
        self.since = server_state.clock()  # when bytes last came or went
        self.began = self.since  # when it came, or the first byte of the message that is being read
        self.spoken = False  # a whole message came on it
        self.scope = anyio.CancelScope()

    @property
    def idle(self) -> bool:
        """Whether nothing of an invocation has been read that is not answered."""
        unread = self.first or self.http.trailing_data[0] or self.discarding or self.download
        return self.request is None and self.exchange is None and not self.outbox and not unread

    @property
    def done(self) -> bool:
        """Whether its last answer is out."""
        return self.closing and not self.outbox and self.download is None

    @property
    def silent(self) -> bool:
        """Whether not a byte has come on it yet."""
        return self.idle and not self.spoken and not self.closing

    async def serve(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                self.scope = tasks.cancel_scope
                tasks.start_soon(self._write)
                await self._read()
                tasks.cancel_scope.cancel()
        except Exception:
            self.server_state.log.exception("a client's connection failed")
        finally:
            self._end_upload(False)
            if self.exchange is not None:
                self.server_state.handler.client_disconnected(self.exchange)
            if self.download is not None:
                self.download.abort()
            await streams.close(self.stream)

    def close_idle(self) -> None:
        """Ends an idle connection; what the client has under way it sends again on another."""
        if self.idle and not has_unread_data(self.stream):
            self.ending = True
            self.wake.set()

    def _end(self) -> None:
        """Ends it if it is idle still.

        Guards against an invocation that is lost between the kernel and the reading task, which by now has
        had its turn.
        """
        self.ending = False
        if not self.idle or self.closing or has_unread_data(self.stream):
            return
        self.closing = True
        if not (self.spoken and self.server_state.clock() - self.since < self.LINGER):
            self.scope.cancel()  # no answer is on its way that a reset could overtake

    def look(self, now: float, keep: float) -> None:
        """Ends what takes too long to come or to be read, and what has stood idle for more than `keep`."""
        if self.upload is not None or self.discarding:
            if self._slow(now):
                # Guards against what trickles: only the time counts in which this node waited for it.
                if self.exchange is None:
                    self.scope.cancel()
                else:
                    self._give_up_upload(408, "it did not come whole")
            return
        if self.exchange is not None:
            return
        if self.outbox or self.closing or self.download is not None:
            if now - self.since > self.UNREAD and self.taking:
                self.scope.cancel()
        elif self.idle:
            if now - self.since > (keep if self.spoken else self.WHOLE):
                self.close_idle()
        elif now - self.began > self.WHOLE + len(self.body) / self.PACE:
            # Guards against bytes that trickle in for ever: the time counts from the first.
            self._turn_down(408, "it did not come whole")

    def _slow(self, now: float) -> bool:
        waits = self.waits + (now - self.asked_at if self.asked_at else 0.0)
        return waits > self.WHOLE + self.got / self.PACE

    async def _read(self) -> None:
        discarded = 0
        while True:
            try:
                self.asked_at = self.server_state.clock()
                data = self.first or await self.stream.receive()
            except STREAM_CLOSED_ERRORS:
                return
            finally:
                self.waits, self.asked_at = self.waits + self.server_state.clock() - self.asked_at, 0.0
            asked, self.first = bool(self.first), b""  # the first was asked about when accepted
            if not asked and self.server_state.late():
                self.waited = streams.seconds_since_last_data(streams.raw_socket(self.stream))
            if self.closing:
                discarded += len(data)
                if discarded > self.DISCARDED:
                    await anyio.sleep_forever()  # the writing task ends this
                continue
            self.since = self.server_state.clock()
            if self.spoken and self.idle:
                self.began, self.waits = self.since, 0.0
            if self.exchange is not None and self.upload is None:
                # Clients send one invocation at a time: more than its length said makes all of it doubtful.
                exchange, self.exchange = self.exchange, None
                self.server_state.handler.client_disconnected(exchange)
                self._turn_down(400, "more came than one invocation")
                continue
            if self.waited and not asked and self.idle:
                nack = self.server_state.early_shedder.nack(data, self.waited, self.server_state.closing)
                if nack is not None:
                    self.spoken, self.waited, self.closing = True, 0.0, self.server_state.closing
                    self._put(nack)
                    continue
            self.http.receive_data(data)
            if self.download is not None and len(self.http.trailing_data[0]) > MAX_BUFFERED_BYTES:
                return  # it sends on and on, and takes next to nothing
            self._advance()
            await self._pass_in()

    async def _pass_in(self) -> None:
        """Gives what has come of a large body to whoever passes it on, before more is read."""
        async with self.passing:
            if self.upload is not None and self.counted is None:
                flow = self.upload
                await self.server_state.held.acquire(BODY_PIPE_BYTES, flow)
                self.counted = flow
                if self.upload is not flow:
                    self._give_back()
            while self.coming:
                part = self.coming.pop(0)
                if self.upload is None:
                    continue
                with anyio.move_on_after(self.UNTAKEN) as waiting:
                    await self.upload.send(part)
                if waiting.cancelled_caught and self.exchange is not None:
                    # Guards against a client that waits for ever on a backend that takes nothing.
                    self.server_state.handler.body_stalled(self.exchange)
            if self.upload is not None and self.upload_over:
                self._end_upload(True)
                if self.exchange is not None:
                    self.server_state.handler.body_received(self.exchange)

    def _end_upload(self, whole: bool) -> None:
        if self.upload is not None:
            self.upload.finish(whole)
            self.upload = None
            self.coming.clear()
            self._give_back()

    def _give_back(self) -> None:
        if self.counted is not None:
            self.server_state.held.release(BODY_PIPE_BYTES, self.counted)
            self.counted = None

    def _give_up_upload(self, status: int, words: str) -> None:
        """Ends an invocation that does not come whole: nothing can have run."""
        exchange, self.exchange = self.exchange, None
        self._end_upload(False)
        if exchange is not None:
            self.server_state.handler.client_disconnected(exchange)
        self._turn_down(status, words)

    async def _write(self) -> None:
        try:
            while True:
                await self.wake.wait()
                self.wake = anyio.Event()
                while self.outbox:
                    await self.stream.send(self.outbox[0])
                    self.outbox.popleft()
                    self.since = self.server_state.clock()
                if self.download is not None:
                    await self._pass_out(self.download)
                if self.ending:
                    self._end()
                if self.closing and not self.outbox:
                    break
                if self.exchange is None:
                    self._advance()
                    await self._pass_in()
            # Guards against a reset that overtakes the answer: close after the client, or after a while.
            await self.stream.send_eof()
            await anyio.sleep(self.LINGER)
        except STREAM_CLOSED_ERRORS:
            pass
        self.scope.cancel()

    async def _pass_out(self, flow: BodyPipe) -> None:
        """Passes a large answer on as it comes; one that breaks off ends the connection: its client sees."""
        async for part in flow.parts():
            data = self.http.send(h11.Data(data=part)) or b""
            self.since, self.taking = self.server_state.clock(), True
            await self.stream.send(data)
            self.since, self.taking = self.server_state.clock(), False
        if not flow.complete:
            self.scope.cancel()
            return
        await self.stream.send(self.http.send(h11.EndOfMessage()) or b"")
        self.download, self.taking = None, True
        self._next()

    def _next(self) -> None:
        """Makes ready for the next invocation, if there can be one on this connection."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE and not self.closing:
            self.http.start_next_cycle()
        else:
            self.closing = True

    def _advance(self) -> None:
        """Goes through what has come until an invocation is whole or more is needed."""
        while not self.closing and self.download is None:
            ahead = self.http.trailing_data[0] if self.request is None else b""
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                if self.discarding:
                    self.closing, self.discarding = True, False
                    self.wake.set()
                else:
                    self._give_up_upload(error.error_status_hint, "malformed")
                return
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    self._put(self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                return
            if isinstance(event, h11.Request):
                self.request = event
                self.body.clear()
                self.got = 0
                head = ahead[: len(ahead) - len(self.http.trailing_data[0])]
                if doubt := messages.check_head(event, head):
                    self._turn_down(doubt.status, doubt.message)
                elif int(dict(event.headers).get(b"content-length", b"0")) > MAX_BUFFERED_BYTES:
                    self._flows()
            elif isinstance(event, h11.Data):
                self._take(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self.discarding:
                    self.discarding = False
                    self._next()
                    self.wake.set()
                elif self.upload is not None:
                    self.upload_over = True
                else:
                    self._whole()
                return
            else:
                return

    def _take(self, data: bytes) -> None:
        """A part of a body."""
        self.got += len(data)
        if self.got > MAX_BODY_BYTES and self.discarding:
            self.closing, self.discarding = True, False  # it has its answer
            self.wake.set()
        elif self.got > MAX_BODY_BYTES:
            self._give_up_upload(413, "the body is too long")
        elif self.upload is not None:
            self.coming.append(bytes(data))
        elif not self.discarding:
            self.body += data
            if len(self.body) > MAX_BUFFERED_BYTES:
                self._flows()

    def _flows(self) -> None:
        """It is large: it is decided at what has come of it, and the rest is passed on as it comes."""
        request, self.spoken = self.request, True
        assert request is not None
        flow = BodyPipe()
        decoded = messages.decode_invocation(request, bytes(self.body), self.server_state.offerings, flow)
        if isinstance(decoded, BadRequest):
            self._turn_down(decoded.status, decoded.message)
            return
        limit_kernel_buffers(self.stream)
        self.upload, self.upload_over = flow, False
        self.body.clear()
        self.exchange = Exchange(*decoded, self._deliver, self.waited, self._left)
        self.waited = 0.0
        if not self.server_state.handler.start_invocation(self.exchange):
            self.exchange = None
            self._give_up_upload(400, "this X-Call-Id is in hand")

    def _whole(self) -> None:
        request = self.request
        assert request is not None
        self.spoken = True
        if self.http.trailing_data[0]:
            # Guards against a length too short: the rest would pass for the next invocation.
            self._turn_down(400, "more came than one invocation")
            return
        path = request.target.partition(b"?")[0]
        if path in (messages.READY_PATH, messages.LIVE_PATH):
            away = not self.server_state.ready and path == messages.READY_PATH
            words = "ready" if not away else "leaving" if self.server_state.draining else "standby"
            self._answer(
                *messages.encode_text_response(503 if away else 200, words, self.server_state.closing)
            )
            return
        decoded = messages.decode_invocation(request, bytes(self.body), self.server_state.offerings)
        if isinstance(decoded, BadRequest):
            self._answer(
                *messages.encode_text_response(decoded.status, decoded.message, self.server_state.closing)
            )
            return
        self.exchange = Exchange(*decoded, self._deliver, self.waited, self._left)
        self.waited = 0.0
        if not self.server_state.handler.start_invocation(self.exchange):
            self.exchange = None
            self._answer(
                *messages.encode_text_response(400, "this X-Call-Id is in hand", self.server_state.closing)
            )

    def _turn_down(self, status: int, words: str) -> None:
        """Ends the connection with an answer, since where the next message begins is not known."""
        self.closing = True
        self._answer(*messages.encode_text_response(status, words, True))

    def _left(self) -> bool:
        """Whether the client has closed, reset or half closed its connection."""
        return streams.peer_closed(self.stream)

    def _deliver(self, answer: ClientResponse) -> None:
        self.exchange = None
        try:
            self._answer(
                *messages.encode_client_response(answer, self.server_state.closing), answer.body_pipe
            )
        except Exception:
            # Guards against an answer that cannot be put into words: it still has to be one, and the last.
            self.server_state.log.exception("an answer could not be put into words")
            self.request, self.closing, self.discarding = None, True, False
            try:
                self._put(messages.FALLBACK_RESPONSE)
            except Exception:
                self.scope.cancel()  # the client sees an end, if no answer

    def _answer(self, response: h11.Response, body: bytes, flow: BodyPipe | None = None) -> None:
        """Encodes an answer for the writing task; the connection is ready for the next invocation."""
        head_only = self.request is not None and self.request.method == b"HEAD"
        self.request = None
        self.body.clear()
        if self.upload is not None:
            # Guards against an end that overtakes the answer while its client still sends: the rest is read.
            self.upload.abort()
            asked_for = not self.http.they_are_waiting_for_100_continue
            self.discarding = not self.upload_over and not self.closing and asked_for
            self._end_upload(False)
        data = self.http.send(response) or b""
        if body and not head_only:
            data += self.http.send(h11.Data(data=body)) or b""
        if flow is not None:
            self.download = flow
            limit_kernel_buffers(self.stream)
            self.outbox.append(data)
            self.wake.set()
            return
        self.http.send(h11.EndOfMessage())
        if not self.discarding:
            self._next()
        self._put(data)

    def _put(self, data: bytes) -> None:
        """Sends it: small ones at once, others and those behind them by the writing task."""
        if not self.outbox and len(data) <= MAX_BUFFERED_BYTES and streams.try_write(self.stream, data):
            self.since = self.server_state.clock()
        elif data:
            self.outbox.append(data)
        if self.outbox or self.closing or self.http.trailing_data[0]:
            self.wake.set()
