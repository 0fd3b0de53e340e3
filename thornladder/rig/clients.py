"""Open-loop load behind a front that balances connections over the ready nodes."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
import h11

from thornladder.rig.standins import HttpConnection

READINESS_POLL_SECONDS = 0.5  # between the front's readiness probes of a node
READINESS_TIMEOUT_SECONDS = 2.0  # long enough that a busy machine does not make nodes look down
MAX_IDLE_CONNECTIONS = 64  # to a node
MAX_IDLE_SECONDS = 1.0  # an idle connection is not reused after this; nodes keep idle ones open for longer
# An invocation counts as unanswered only this long after its cut-off: the rig itself may be late, and a busy
# machine must not look like a node that does not answer.
ANSWER_GRACE_SECONDS = 10.0


@dataclass
class LoadStats:
    """Outcomes of the invocations."""

    offered_utility: float = 0.0
    earned_utility: float = 0.0
    outcomes: Counter[str] = field(default_factory=Counter)
    # [offered, earned] by the second of the scenario in which the invocations were sent.
    utility_by_second: dict[int, list[float]] = field(default_factory=lambda: defaultdict(lambda: [0.0, 0.0]))
    unanswered: list[tuple[str, str, float]] = field(default_factory=list)  # id, node, sent at
    misdirected: list[str] = field(default_factory=list)  # ids answered with the response to another

    @property
    def utility(self) -> float:
        """Earned share of the offered utility; 1 if none was offered."""
        return self.earned_utility / self.offered_utility if self.offered_utility else 1.0


class LoadGenerator:
    """The clients and the front: sends invocations to ready nodes and records the outcomes."""

    def __init__(
        self, nodes: dict[str, tuple[str, int]], offerings: list[dict[str, Any]], rate: float, rng: Random,
        now: Callable[[], float],
    ) -> None:  # fmt: skip
        """`nodes`: addresses by name. `rate`: invocations per second. `now`: seconds of the scenario."""
        self.nodes, self.offerings, self.rate, self.rng, self.now = nodes, offerings, rate, rng, now
        self.ready_nodes: list[str] = []
        # By node, least recently used first, with the time since which each has been idle.
        self.idle_connections: dict[str, list[tuple[float, HttpConnection]]] = {name: [] for name in nodes}
        self.stats = LoadStats()
        self.count = 0  # invocations sent so far

    async def poll_readiness(self) -> None:
        """Keeps `ready_nodes` up to date; never returns."""
        while True:
            async with anyio.create_task_group() as group:
                for name in self.nodes:
                    group.start_soon(self._probe_readiness, name)
            await anyio.sleep(READINESS_POLL_SECONDS)

    async def _probe_readiness(self, name: str) -> None:
        ready = False
        with anyio.move_on_after(READINESS_TIMEOUT_SECONDS):
            try:
                async with await anyio.connect_tcp(*self.nodes[name]) as stream:
                    connection = HttpConnection(stream, h11.CLIENT)
                    request = h11.Request(method="GET", target="/health/ready", headers=[("Host", "n")])
                    await connection.send(request)
                    head, _ = await connection.receive()
                    ready = head.status_code == 200
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream, h11.ProtocolError):
                pass
        if ready and name not in self.ready_nodes:
            self.ready_nodes.append(name)
        if not ready and name in self.ready_nodes:
            self.ready_nodes.remove(name)
            self.idle_connections[name].clear()

    async def generate_load(self, until: float) -> None:
        """Sends invocations as a Poisson process at the configured rate, however slow the responses are."""
        async with anyio.create_task_group() as group:
            at = self.now()
            while at < until:
                at += self.rng.expovariate(self.rate)
                await anyio.sleep(max(at - self.now(), 0.0))
                self.count += 1
                offering = self.rng.choice(self.offerings)
                group.start_soon(self._invoke, f"i{self.count:06}", offering)

    async def _invoke(self, id: str, offering: dict[str, Any]) -> None:
        sent_at, stats = self.now(), self.stats
        stats.offered_utility += offering["Worth"]
        stats.utility_by_second[int(sent_at)][0] += offering["Worth"]
        if not self.ready_nodes:
            stats.outcomes["no node"] += 1
            return
        name = self.rng.choice(self.ready_nodes)
        cut_off = offering["HardLimit"] / 1e6
        outcome, earned = "unanswered", 0.0
        try:
            with anyio.fail_after(cut_off + ANSWER_GRACE_SECONDS):
                status, body = await self._exchange(name, id, offering, cut_off)
            latency = self.now() - sent_at
            if status == 200 and body.split(b" ")[0] != id.encode():
                stats.misdirected.append(id)
            if status == 200:
                outcome = "completed" if latency <= offering["Aim"] / 1e6 else "late"
                earned = offering["Worth"] if outcome == "completed" else 0.0
            else:
                outcome = {503: "nacked", 502: "terminated"}.get(status, f"answered {status}")
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.EndOfStream,
                anyio.ClosedResourceError, h11.ProtocolError):  # fmt: skip
            stats.unanswered.append((id, name, sent_at))
        stats.outcomes[outcome] += 1
        stats.earned_utility += earned
        stats.utility_by_second[int(sent_at)][1] += earned

    async def _exchange(
        self, name: str, id: str, offering: dict[str, Any], cut_off: float
    ) -> tuple[int, bytes]:
        """Sends an invocation; a repeatable one that fails on an idle connection is retried on a new one."""
        idle = self.idle_connections[name]
        # The node may close a long idle connection just as the invocation is sent, which would then count as
        # unanswered.
        while idle and self.now() - idle[0][0] > MAX_IDLE_SECONDS:
            await anyio.aclose_forcefully(idle.pop(0)[1].stream)
        if idle:
            connection = idle.pop()[1]
            if offering["Effect"] != "free":
                return await self._exchange_on(connection, idle, id, offering, cut_off)
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                return await self._exchange_on(connection, idle, id, offering, cut_off)
        connection = HttpConnection(await anyio.connect_tcp(*self.nodes[name]), h11.CLIENT)
        return await self._exchange_on(connection, idle, id, offering, cut_off)

    async def _exchange_on(
        self, connection: HttpConnection, idle: list[tuple[float, HttpConnection]], id: str,
        offering: dict[str, Any], cut_off: float,
    ) -> tuple[int, bytes]:  # fmt: skip
        """Sends an invocation and returns the response; a connection that can be reused goes into `idle`."""
        headers = [("Host", "backend.local"), ("X-Call-Id", id), ("X-Budget-Ms", str(round(cut_off * 1000)))]
        method, body = ("GET", b"") if offering["Effect"] == "free" else ("POST", b"x")
        headers += [("Content-Length", "1")] if body else []
        try:
            await connection.send(
                h11.Request(method=method, target=f"/{offering['Name']}", headers=headers), body
            )
            head, body = await connection.receive()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(connection.stream)
            raise
        if connection.start_next_cycle() and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append((self.now(), connection))
        else:
            await anyio.aclose_forcefully(connection.stream)
        return head.status_code, body
