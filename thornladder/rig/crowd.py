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
from pathlib import Path
from random import Random

import anyio
from anyio.abc import SocketStream

from thornladder.node.streams import STREAM_CLOSED_ERRORS
from thornladder.settings import Address

MANY_FIELDS = b"".join(b"a%d:1\r\n" % number for number in range(2400))
LARGE_BODY_BYTES = 400_000  # more than a node buffers
SMALL_BODY_BYTES = 64_000  # as much as a node buffers
RECONNECT_SECONDS = 0.05
SAMPLE_SECONDS = 0.02


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
    MIXED = "each of these"


SINGLE_KINDS = tuple(kind for kind in CrowdKind if kind is not CrowdKind.MIXED)


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
        if kind is CrowdKind.UNREAD_ANSWER:
            await anyio.sleep(math.inf)
        pause = 1.0 if kind is CrowdKind.SLOW_READER else 0.0
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
        else:
            await stream.send(b"G")

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


class MemorySampler:
    """The most memory that a process has had, by the kernel's count, in MB of 2**20 bytes."""

    def __init__(self, pid: int) -> None:
        self.path = Path(f"/proc/{pid}/status")
        self.anonymous = self.resident = 0.0

    async def run(self) -> None:
        """Samples until it is cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_SECONDS)

    def sample(self) -> None:
        """Takes the present figures in; a process that has ended has none."""
        with suppress(OSError):
            fields = dict(line.split(":", 1) for line in self.path.read_text().splitlines() if ":" in line)
            if "RssAnon" in fields:
                self.anonymous = max(self.anonymous, int(fields["RssAnon"].split()[0]) / 1024.0)
                self.resident = max(self.resident, int(fields["VmHWM"].split()[0]) / 1024.0)


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
