"""Clients that cost a node much memory or much time, each in its own way, by the hundred.

`python -m thornladder.rig.crowd HOST PORT KIND SIZE SEED` runs a crowd until it is ended: in a process of its
own it takes no time from those who measure beside it.
"""

from __future__ import annotations

import math
import os
import sys
from contextlib import suppress
from enum import Enum
from random import Random

import anyio
from anyio.abc import SocketStream

from thornladder.node.streams import STREAM_CLOSED_ERRORS
from thornladder.settings import Address

MANY_FIELDS = b"".join(b"a%d:1\r\n" % number for number in range(2400))
LARGE_BODY_BYTES = 400_000  # more than a node buffers
SMALL_BODY_BYTES = 64_000  # as much as a node buffers
RECONNECT_SECONDS = 0.05
MAX_DRAWN_BODY_BYTES, MAX_DRAWN_CHUNKS = 3_000_000, 200


class CrowdKind(Enum):
    """What the clients of a crowd do."""

    FIELDS_THEN_HALF_BODY = "heads of very many short fields, then half of a body"
    HALF_LARGE_BODY = "half of a large body, then nothing"
    NEARLY_WHOLE_BODY = "all of a small body but its end"
    HALF_CHUNKED_BODY = "half of a small body in chunks"
    SLOW_FIELDS = "heads of very many short fields in pieces"
    SLOW_LARGE_BODY = "a large body in small pieces"
    SLOW_READER = "a large answer, read slowly"
    UNREAD_ANSWER = "an answer that is never read"
    TINY_CHUNKS = "a body in chunks of one byte"
    NOTHING = "nothing but a byte"
    CHUNK_THEN_PART_OF_ONE = "a body in chunks: one whole, then most of a larger one"
    HALF_BODIES = "half of a body of some size"
    ANYTHING = "some request, of which some part is written and some part of its answer read"
    MIXED = "each of these"


SINGLE_KINDS = tuple(kind for kind in CrowdKind if kind is not CrowdKind.MIXED)
HALF_BODY_BYTES = (70_000, 400_000, 3_000_000)
FIRST_CHUNK_BYTES, SECOND_CHUNK_BYTES = 32 * 1024, 64 * 1024


class Crowd:
    """Clients that connect to one node, and again as soon as it has ended them."""

    # Offerings with answers above and below what a node buffers, and one for requests with a body.
    LARGE_ANSWER, SMALL_ANSWER, UPLOAD = "book", "pay", "pay"

    def __init__(self, address: Address, kind: CrowdKind, size: int, rng: Random) -> None:
        self.address, self.kind, self.size, self.rng = address, kind, size, rng
        self._request_count = 0

    async def run(self) -> None:
        """Runs all clients until it is cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(self.size):
                group.start_soon(self._run_client)

    async def _run_client(self) -> None:
        while True:
            kind = self.rng.choice(SINGLE_KINDS) if self.kind is CrowdKind.MIXED else self.kind
            with suppress(OSError):
                await self._use(await anyio.connect_tcp(*self.address), kind)
            await anyio.sleep(RECONNECT_SECONDS)

    async def _use(self, stream: SocketStream, kind: CrowdKind) -> None:
        """Does what the kind says on one connection, until the node ends it."""
        async with stream, anyio.create_task_group() as group:
            group.start_soon(self._send, stream, kind)
            with suppress(*STREAM_CLOSED_ERRORS):
                await self._receive(stream, kind)
            group.cancel_scope.cancel()

    async def _receive(self, stream: SocketStream, kind: CrowdKind) -> None:
        """Reads until the node ends the connection or refuses the request."""
        if kind is CrowdKind.UNREAD_ANSWER or (kind is CrowdKind.ANYTHING and self.rng.random() < 0.2):
            await anyio.sleep(math.inf)
        pause = 1.0 if kind is CrowdKind.SLOW_READER else 0.0
        if kind is CrowdKind.ANYTHING:
            pause = self.rng.choice((0.0, self.rng.uniform(0.0, 1.0)))
        is_first = True
        while True:
            data = await stream.receive(4096)
            if is_first and not data.startswith((b"HTTP/1.1 200", b"HTTP/1.1 100")):
                return
            is_first = False
            await anyio.sleep(pause)

    async def _send(self, stream: SocketStream, kind: CrowdKind) -> None:
        with suppress(*STREAM_CLOSED_ERRORS):
            await self._send_kind(stream, kind)

    async def _send_kind(self, stream: SocketStream, kind: CrowdKind) -> None:
        length = f"Content-Length: {SMALL_BODY_BYTES}"
        large_length = f"Content-Length: {LARGE_BODY_BYTES}"
        if kind is CrowdKind.FIELDS_THEN_HALF_BODY:
            await stream.send(self._head(self.UPLOAD, length, MANY_FIELDS) + bytes(SMALL_BODY_BYTES // 2))
        elif kind is CrowdKind.HALF_LARGE_BODY:
            await stream.send(self._head(self.UPLOAD, large_length) + bytes(LARGE_BODY_BYTES // 2))
        elif kind is CrowdKind.NEARLY_WHOLE_BODY:
            await stream.send(self._head(self.UPLOAD, length) + bytes(SMALL_BODY_BYTES - 1000))
        elif kind is CrowdKind.HALF_CHUNKED_BODY:
            chunk = b"%x\r\n%s\r\n" % (SMALL_BODY_BYTES, bytes(SMALL_BODY_BYTES))
            await stream.send(self._head(self.UPLOAD, "Transfer-Encoding: chunked") + chunk)
        elif kind is CrowdKind.SLOW_FIELDS:
            await self._send_in_pieces(stream, self._head(self.UPLOAD, length, MANY_FIELDS), 700, 0.1)
        elif kind is CrowdKind.SLOW_LARGE_BODY:
            data = self._head(self.UPLOAD, large_length) + bytes(LARGE_BODY_BYTES)
            await self._send_in_pieces(stream, data, 8000, 0.125)
        elif kind is CrowdKind.SLOW_READER:
            await stream.send(self._head(self.LARGE_ANSWER, "Content-Length: 0"))
        elif kind is CrowdKind.UNREAD_ANSWER:
            await stream.send(self._head(self.SMALL_ANSWER, "Content-Length: 0"))
        elif kind is CrowdKind.TINY_CHUNKS:
            await stream.send(self._head(self.UPLOAD, "Transfer-Encoding: chunked"))
            while True:
                await stream.send(b"1\r\nx\r\n" * 5000)
        elif kind is CrowdKind.CHUNK_THEN_PART_OF_ONE:
            chunk = b"%x\r\n%s\r\n" % (FIRST_CHUNK_BYTES, bytes(FIRST_CHUNK_BYTES))
            part = b"%x\r\n%s" % (SECOND_CHUNK_BYTES, bytes(SECOND_CHUNK_BYTES - 1000))
            await stream.send(self._head(self.UPLOAD, "Transfer-Encoding: chunked") + chunk + part)
        elif kind is CrowdKind.HALF_BODIES:
            size = self.rng.choice(HALF_BODY_BYTES)
            await stream.send(self._head(self.UPLOAD, f"Content-Length: {size}") + bytes(size // 2))
        elif kind is CrowdKind.ANYTHING:
            await self._send_anything(stream)
        else:
            await stream.send(b"G")

    async def _send_anything(self, stream: SocketStream) -> None:
        """Sends some part of a request with a drawn head, framing, size and pace."""
        rng = self.rng
        fields = b"".join(b"f%d: %s\r\n" % (n, b"v" * rng.randint(0, 60)) for n in range(rng.randint(0, 140)))
        if rng.random() < 0.3:
            offering = rng.choice((self.LARGE_ANSWER, self.SMALL_ANSWER))
            data = self._head(offering, "Content-Length: 0", fields)
        else:
            size = round(math.exp(rng.uniform(0.0, math.log(MAX_DRAWN_BODY_BYTES))))
            is_chunked = rng.random() < 0.5
            framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
            data = self._head(self.UPLOAD, framing, fields)
            chunk_size = rng.randint(1, size) if is_chunked else size
            for start in range(0, size, max(chunk_size, size // MAX_DRAWN_CHUNKS)):
                part = bytes(min(max(chunk_size, size // MAX_DRAWN_CHUNKS), size - start))
                data += b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part
        data = data[: round(rng.uniform(0.2, 1.0) * len(data))]
        if rng.random() < 0.5:
            await stream.send(data)
        else:
            await self._send_in_pieces(stream, data, len(data) // rng.randint(1, 20) + 1, 0.1)

    async def _send_in_pieces(self, stream: SocketStream, data: bytes, size: int, pause: float) -> None:
        for start in range(0, len(data), size):
            await stream.send(data[start : start + size])
            await anyio.sleep(pause)

    def _head(self, offering: str, framing: str, fields: bytes = b"") -> bytes:
        self._request_count += 1
        id = f"crowd-{os.getpid()}-{self._request_count}"
        method = "GET" if framing.endswith(": 0") else "POST"
        lines = (f"{method} /{offering} HTTP/1.1", "Host: a", f"X-Call-Id: {id}", "X-Budget-Ms: 900", framing)
        return "".join(f"{line}\r\n" for line in lines).encode() + fields + b"\r\n"


def crowd_command(address: Address, kind: CrowdKind, size: int, seed: int) -> list[str]:
    """The command that runs a crowd in a process of its own."""
    return [
        sys.executable,
        "-m",
        "thornladder.rig.crowd",
        address[0],
        str(address[1]),
        kind.name,
        str(size),
        str(seed),
    ]


def main(arguments: list[str]) -> None:
    """Runs the crowd that the command line names."""
    host, port, kind, size, seed = arguments
    crowd = Crowd((host, int(port)), CrowdKind[kind], int(size), Random(int(seed)))
    anyio.run(crowd.run, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main(sys.argv[1:])
