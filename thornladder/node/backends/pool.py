"""Connections to backends: the idle ones of each, and how many there are in all."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import anyio

from thornladder.node import http1
from thornladder.node.http1 import Cause, Connect, Failure, Stage, UpstreamConnection
from thornladder.settings import Address


class Pool:
    IDLE_CLOSE_MARGIN_SECONDS = (
        1.0  # seconds before the backend closes an idle connection; more than an answer is on its way
    )
    # Seconds that a connection rests between two requests. A backend's second answer to the first may come
    # some milliseconds late, and once the next request is out it would pass for the answer to that. Short,
    # since whoever asks one request after the other waits for it each time.
    REUSE_DELAY_SECONDS = 0.002

    def __init__(
        self, max_connections: int, idle_close: float, connect_time_out: float, clock: Callable[[], float],
        connect: Connect = http1.connect,
    ) -> None:  # fmt: skip
        self.max_connections, self.clock, self.connect = max_connections, clock, connect
        self.set_timeouts(idle_close, connect_time_out)
        self.idle: defaultdict[str, list[UpstreamConnection]] = defaultdict(
            list
        )  # the last one used goes first
        self.open_connections = 0  # connections, and attempts at one
        self.discarded: list[UpstreamConnection] = []  # to be closed

    def set_timeouts(self, idle_close: float, connect_time_out: float) -> None:
        self.connect_time_out = connect_time_out
        self.keep = max(idle_close - self.IDLE_CLOSE_MARGIN_SECONDS, 0.5 * idle_close)

    async def acquire(self, backend: str, address: Address) -> UpstreamConnection | Failure:
        """A connection on which nothing is out: an idle one that still stands, or a new one."""
        # Looked up anew after each wait: a sweep or a drain may have taken the others elsewhere meanwhile.
        while lines := self.idle.get(backend):
            line = await self._rested(lines)
            if self._good(line):
                return line
            self.discarded.append(line)
        if self.open_connections >= self.max_connections:
            self._spare_one()
            await self._close_discarded()
            if self.open_connections >= self.max_connections:
                return Failure(Stage.CONNECTING, Cause.ABANDONED)
        self.open_connections += 1
        line: UpstreamConnection | Failure | None = None
        try:
            line = await self.connect(address, self.connect_time_out)
        finally:
            if not isinstance(line, UpstreamConnection):
                self.open_connections -= 1
        return line

    async def _rested(self, lines: list[UpstreamConnection]) -> UpstreamConnection:
        """Takes the one used last of those that have rested, or waits for the one that has longest."""
        now = self.clock()
        rested = (
            n for n in range(len(lines) - 1, -1, -1) if now - lines[n].idle_since >= self.REUSE_DELAY_SECONDS
        )
        line = lines.pop(next(rested, 0))
        try:
            while (wait := line.idle_since + self.REUSE_DELAY_SECONDS - self.clock()) > 0.0:
                await anyio.sleep(wait)
        except BaseException:
            self.discarded.append(line)  # whoever asked for it waits no more
            raise
        return line

    async def release(self, backend: str, line: UpstreamConnection) -> None:
        """Takes a connection back: kept if it can be used again, closed if not."""
        if line.reusable:
            line.idle_since = self.clock()
            self.idle[backend].append(line)
            return
        self.discarded.append(line)
        await self._close_discarded()

    def discard_idle(self, backend: str) -> None:
        """Nothing new goes to this backend: its idle connections are of no use."""
        self.discarded += self.idle.pop(backend, ())

    async def close_expired(self) -> None:
        """Closes what has stood idle for long or was closed by the other side."""
        for backend in list(self.idle):
            for line in self.idle.pop(backend):
                if self._good(line):
                    self.idle[backend].append(line)
                else:
                    self.discarded.append(line)
        await self._close_discarded()

    def _good(self, line: UpstreamConnection) -> bool:
        return self.clock() - line.idle_since < self.keep and not line.stale()

    async def _close_discarded(self) -> None:
        while self.discarded:
            line = self.discarded.pop()
            try:
                await line.close()
            finally:
                self.open_connections -= 1

    def _spare_one(self) -> None:
        """Gives up the idle connection that has stood longest, so that another backend can have one."""
        lines = [lines for lines in self.idle.values() if lines]
        if lines:
            self.discarded.append(min(lines, key=lambda each: each[0].idle_since).pop(0))
