"""A backend that answers, hangs, fails or is gone, as its plan says."""

from __future__ import annotations

import math
from random import Random

import anyio
import h11
from anyio.abc import SocketStream, TaskStatus

from thornladder.rig.soak.clock import SoakClock
from thornladder.rig.soak.plan import BackendMode, ModeChange
from thornladder.rig.soak.records import Attempt, SoakRecords
from thornladder.rig.standins import HttpServer

SLOW_SECONDS = 0.25


class FaultyBackend(HttpServer):
    """A backend whose mode changes by the clock of the soak."""

    def __init__(
        self,
        number: int,
        changes: tuple[ModeChange, ...],
        records: SoakRecords,
        clock: SoakClock,
        host: str,
        answer_seconds: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        """`host`: an address of its own, so that its port stays free for it while it is dead.

        `answer_seconds`: shortest and longest time of a sound answer.
        """
        super().__init__(host)
        self.answer_seconds, self.rng = answer_seconds, Random(number)
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
                    await group.start(self.serve)
                self.mode = change.mode
                if self.mode is BackendMode.DEAD and self.cancel_scope is not None:
                    self.cancel_scope.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        try:
            await super()._serve_connection(stream)
        except ConnectionResetError:
            await anyio.aclose_forcefully(stream)

    async def handle_request(
        self, head: h11.Request, body: bytes
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Treats an invocation, or a health probe, as the present mode says."""
        mode = self.mode
        if mode is BackendMode.HANG:
            self._record(head)
            await anyio.sleep(math.inf)
        if head.target.startswith(b"/health"):
            return 200, [], b""
        if mode is BackendMode.REJECT:
            return 503, [("X-Rejected", "1")], b""
        self._record(head)
        if mode is BackendMode.RESET:
            raise ConnectionResetError
        if mode is BackendMode.ERROR:
            return 500, [], b""
        await anyio.sleep(
            SLOW_SECONDS if mode is BackendMode.SLOW else self.rng.uniform(*self.answer_seconds)
        )
        id = dict(head.headers).get(b"x-call-id", b"").decode()
        return 200, [], f"{id} {len(body)}".encode()

    def _record(self, head: h11.Request) -> None:
        id = dict(head.headers).get(b"x-call-id", b"").decode()
        if id:
            offering = head.target.decode().strip("/")
            attempt = Attempt(self.clock.now(), offering, self.number, self.clock.lost_seconds())
            self.records.attempts.setdefault(id, []).append(attempt)
