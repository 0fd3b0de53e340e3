"""Clients on raw sockets, which see whether a node ended a connection with a request read or unread."""

from __future__ import annotations

import asyncio
import select
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import anyio

from thornladder.rig.soak.clock import SoakClock
from thornladder.rig.soak.records import End, RequestRecord, SoakRecords
from thornladder.settings import Address

READ_BYTES = 65536
CONNECT_SECONDS = 0.5
# After the end of the answers, for the reset that shows that the node closed over unread bytes.
RESET_WAIT_SECONDS = 1.0
LEAVE_POLL_SECONDS = 0.005  # between looks of a client that is about to leave
LARGE_BODY_BYTES = 200 * 1024
UPLOAD_PIECES = 8


@dataclass
class Offering:
    """What clients know of a class of requests."""

    name: str
    method: str
    deadline: float  # seconds


class ConnectionLost(Exception):
    """The node ended the connection `seconds_ago`; `was_reset`: with bytes of this client unread."""

    def __init__(self, was_reset: bool, seconds_ago: float = 0.0) -> None:
        super().__init__("reset" if was_reset else "closed")
        self.was_reset, self.seconds_ago = was_reset, seconds_ago


class RawConnection:
    """A client's connection, without any buffering or reaction of its own to its end."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.requests = 0  # sent so far
        self.buffer = b""

    @classmethod
    async def open(cls, address: Address) -> RawConnection:
        """Connects to a node; raises OSError, among them TimeoutError."""
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with anyio.fail_after(CONNECT_SECONDS):
                await asyncio.get_running_loop().sock_connect(connection, address)
        except BaseException:
            connection.close()
            raise
        return cls(connection)

    async def send(self, data: bytes) -> None:
        """Sends bytes; raises OSError if the connection has ended."""
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def receive(self) -> None:
        """Reads once; raises ConnectionLost at the end of the stream."""
        try:
            data = await asyncio.get_running_loop().sock_recv(self.socket, READ_BYTES)
        except OSError:
            raise ConnectionLost(True) from None
        if not data:
            ended_at = time.monotonic()
            was_reset = await self._reset_follows()
            raise ConnectionLost(was_reset, time.monotonic() - ended_at)
        self.buffer += data

    async def _reset_follows(self) -> bool:
        poller = select.poll()
        poller.register(self.socket, select.POLLERR | select.POLLHUP)
        with anyio.move_on_after(RESET_WAIT_SECONDS):
            while True:
                events = sum(events for _, events in poller.poll(0))
                if events & select.POLLERR or self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return True
                await anyio.sleep(0.01)
        return False

    def ended(self) -> bool:
        """Whether the node has ended the connection, or sent something unasked."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()


class Target(Protocol):
    """The node that a client sends to."""

    number: int
    address: Address

    def offerings(self) -> list[Offering]:
        """The classes of requests, by the settings in force."""
        ...

    def connectable(self) -> bool:
        """Whether new connections may be opened."""
        ...

    def waited_seconds(self) -> float:
        """Seconds for which the node's process has waited for a processor."""
        ...


# Returns the node for a new connection; None: no node takes one now.
ChooseTarget = Callable[[], Target | None]


def busy_pause(rng: Random) -> float:
    """Seconds before the next request of a client that sends one after the other."""
    return rng.choice((0.0, rng.uniform(0.0, 0.08), rng.uniform(0.0, 0.5)))


def resting_pause(rng: Random) -> float:
    """Seconds before the next request of a client that rests in between; now and then for long."""
    return rng.uniform(2.0, 4.0) if rng.random() < 0.02 else rng.uniform(0.05, 0.7)


class SoakClient:
    """Sends requests, one at a time, on whatever connection stays open."""

    def __init__(
        self,
        name: str,
        choose_target: ChooseTarget,
        records: SoakRecords,
        rng: Random,
        clock: SoakClock,
        draw_pause: Callable[[Random], float] = busy_pause,
        attentive_share: float = 0.5,
        large_upload_share: float = 0.03,
        leave_share: float = 0.02,
        return_share: float = 0.0,
    ) -> None:
        """`attentive_share`: how often the client looks at its resting connection before it sends.

        `large_upload_share`: how many of the requests with a body have one that a node streams.
        `leave_share`: how often it closes its connection before its answer; `return_share`: how often it then
        comes again with the same id.
        """
        self.leave_share, self.return_share = leave_share, return_share
        self.name, self.choose_target, self.records, self.rng, self.clock = (
            name, choose_target, records, rng, clock
        )  # fmt: skip
        self.draw_pause, self.attentive_share = draw_pause, attentive_share
        self.large_upload_share = large_upload_share
        self.target: Target  # of the present connection
        self.connection: RawConnection | None = None
        self.count = 0

    async def run(self, until: Callable[[], bool]) -> None:
        """Sends requests until `until` is true; answers that are owed then are still awaited."""
        try:
            while not until():
                await anyio.sleep(self.draw_pause(self.rng))
                if await self._connect():
                    await self._request()
        finally:
            self._drop()

    async def _connect(self) -> bool:
        # The inattentive find out by sending that a resting connection has ended.
        is_attentive = self.rng.random() < self.attentive_share
        if self.connection is not None and is_attentive and self.connection.ended():
            self._drop()
        if self.connection is None:
            await self._open()
        return self.connection is not None

    async def _open(self) -> None:
        target = self.choose_target()
        if target is None:
            await anyio.sleep(0.05)
            return
        try:
            self.connection, self.target = await RawConnection.open(target.address), target
        except OSError:
            await anyio.sleep(0.05)

    def _drop(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _request(self, is_repeat: bool = False, left: RequestRecord | None = None) -> None:
        """Sends one request; one that the node left unread is sent again, once, on a new connection.

        `left`: a request whose client has left, and comes again with its id.
        """
        assert self.connection is not None
        offering = self.rng.choice(self.target.offerings())
        if left is not None:
            offering = next(one for one in self.target.offerings() if one.name == left.offering)
            left.returned_at = self.clock.now()
        self.count += 1
        record = RequestRecord(
            f"{self.name}-{self.count}" if left is None else left.id,
            offering.name,
            self.target.number,
            offering.deadline,
            reused=self.connection.requests > 0,
        )
        self.records.requests.append(record)
        record.began_at = self.clock.now() if left is not None else 0.0
        record.lost_before, record.waited_before = self.clock.lost_seconds(), self.target.waited_seconds()
        try:
            await self._exchange(self.connection, offering, record)
        except ConnectionLost as error:
            cut = bool(self.connection.buffer)
            record.end = End.CUT if cut else End.RESET if error.was_reset else End.CLOSED
            record.ended_at = self.clock.now() - error.seconds_ago
        record.ended_at = record.ended_at or self.clock.now()
        record.lost_at_end = record.lost_at_end or self.clock.lost_seconds()
        record.waited_at_end = self.target.waited_seconds()
        if record.end is not End.ANSWERED:
            self._drop()
        if record.end is End.RESET and not is_repeat and await self._connect():
            await self._request(is_repeat=True)
        elif record.end is End.LEFT and left is None and self.rng.random() < self.return_share:
            await anyio.sleep(self.rng.uniform(0.0, 0.2))
            if await self._connect():
                await self._request(left=record)

    async def _exchange(self, connection: RawConnection, offering: Offering, record: RequestRecord) -> None:
        connection.buffer = b""
        connection.requests += 1
        try:
            await self._send(connection, offering, record)
        except OSError:
            # A node that refuses a request before its end answers it all the same.
            if not connection.ended():
                return
        if record.end is End.LEFT:
            return
        sent = record.sent_at > 0.0
        with anyio.move_on_after(record.deadline + 4.0) as scope:
            while not self._answered(connection, record):
                try:
                    await connection.receive()
                except ConnectionLost:
                    if sent or connection.buffer:
                        raise
                    return
        if scope.cancelled_caught:
            record.end = End.SILENT

    async def _send(self, connection: RawConnection, offering: Offering, record: RequestRecord) -> None:
        large = offering.method == "POST" and self.rng.random() < self.large_upload_share
        body = b"x" * (LARGE_BODY_BYTES if large else 10 if offering.method == "POST" else 0)
        head = (
            f"{offering.method} /{offering.name} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {record.id}\r\n"
            f"X-Budget-Ms: {round(offering.deadline * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        data = head + body
        pieces = self._pieces(data, large)
        # Some go on with their request beside its early answer.
        stops_at_answer = not large or self.rng.random() < 0.5
        for piece in pieces[:-1]:
            await connection.send(piece)
            await anyio.sleep(self.rng.uniform(0.0, 1.2 / len(pieces)))
            if stops_at_answer and connection.ended():
                raise BrokenPipeError
        record.ended_before = connection.ended()
        await connection.send(pieces[-1])
        record.sent_at = self.clock.now()
        if self.rng.random() < self.leave_share:
            await self._leave(connection, record, self.rng.uniform(0.0, offering.deadline))

    async def _leave(self, connection: RawConnection, record: RequestRecord, seconds: float) -> None:
        """Closes the connection after some seconds, unless the node answers or ends it first."""
        leave_at = self.clock.now() + seconds
        while self.clock.now() < leave_at and not connection.ended():
            await anyio.sleep(LEAVE_POLL_SECONDS)
        if not connection.ended():
            connection.close()
            record.end, record.ended_at = End.LEFT, self.clock.now()
            record.lost_at_end = self.clock.lost_seconds()

    def _pieces(self, data: bytes, large: bool) -> list[bytes]:
        if large:
            size = len(data) // UPLOAD_PIECES + 1
            return [data[start : start + size] for start in range(0, len(data), size)]
        if self.rng.random() < 0.15:
            split = self.rng.randint(1, len(data) - 1)
            return [data[:split], data[split:]]
        return [data]

    def _answered(self, connection: RawConnection, record: RequestRecord) -> bool:
        """Takes in the answer if it is whole."""
        head, separator, body = connection.buffer.partition(b"\r\n\r\n")
        if not separator:
            return False
        status_line, *lines = head.split(b"\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)
        }
        if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            content = decode_chunks(body)
            if content is None:
                return False
            body = content
        elif len(body) < int(headers.get(b"content-length", b"0")):
            return False
        record.status = int(status_line.split()[1])
        record.body_id = body.split(b" ", 1)[0].decode()
        record.answer_streamed = len(body) > LARGE_BODY_BYTES
        record.end, record.ended_at = End.ANSWERED, self.clock.now()
        if headers.get(b"connection", b"").lower() == b"close" or not record.sent_at:
            self._drop()
        return True


def decode_chunks(data: bytes) -> bytes | None:
    """The content of a body in chunks, which ends with `data`; None while it is not whole."""
    content, offset = b"", 0
    while True:
        line_end = data.find(b"\r\n", offset)
        if line_end < 0:
            return None
        size = int(data[offset:line_end].split(b";")[0], 16)
        start = line_end + 2
        if len(data) < start + size + 2:
            return None
        content += data[start : start + size]
        offset = start + size + 2
        if size == 0:
            return content
