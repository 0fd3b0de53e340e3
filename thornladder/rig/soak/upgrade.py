"""A node of a soak whose processes follow one another at one listening socket, which the platform holds."""

from __future__ import annotations

import math
import socket
from collections.abc import Sequence
from random import Random

import anyio

from thornladder.rig.soak.client import Offering
from thornladder.rig.soak.node import FRONT_NOTICES_SECONDS, Fleet, SoakNode
from thornladder.rig.soak.plan import Hold, Shutdown

BACKLOG = 1024


class UpgradedNode:
    """One node: each process is told to end once the next one serves."""

    def __init__(self, soak: Fleet, number: int, shutdowns: Sequence[Shutdown]) -> None:
        """`shutdowns`: of one process after the other; where the last one has no time to serve, the last two
        end together. A process whose readiness is not awaited ends amid its start.
        """
        self.soak, self.number, self.shutdowns = soak, number, shutdowns
        self.rng = Random(f"{soak.plan.seed} upgrades {number}")
        self.listener = socket.create_server((soak.host(number, 1), 0), backlog=BACKLOG)
        self.address = self.listener.getsockname()
        self.processes: list[SoakNode] = []
        self.connect_until = math.inf
        self.in_service = self.done = False

    def offerings(self) -> list[Offering]:
        """What clients send, by the settings that the newest process began with."""
        return self.processes[-1].offerings()

    def connectable(self) -> bool:
        """Whether the front still sends new connections to this node."""
        return self.in_service and self.soak.now() < self.connect_until

    def waited_seconds(self) -> float:
        """Seconds for which the node's processes have waited for a processor."""
        return sum(process.waited_seconds() for process in self.processes)

    async def sample_waits(self) -> None:
        """Does nothing: each process samples its own."""

    async def hold(self, hold: Hold) -> None:
        """Keeps the newest process from its CPU for a while."""
        await anyio.sleep(hold.at)
        if self.processes:
            await self.processes[-1].hold(Hold(hold.node, 0.0, hold.seconds))

    async def run(self) -> None:
        """Starts one process after the other, and ends the one before."""
        try:
            async with anyio.create_task_group() as group:
                await self._run_processes(group)
        finally:
            self.done = True
            for process in self.processes:
                process.done = True
                if process.process is not None:
                    process.process.kill()
                    process.process.wait()
            self.listener.close()

    async def _run_processes(self, group: anyio.abc.TaskGroup) -> None:
        serving: tuple[SoakNode, Shutdown] | None = None
        for number, shutdown in enumerate(self.shutdowns):
            process = SoakNode(self.soak, self.number, (), f"process-{number}", self.listener)
            self.processes.append(process)
            group.start_soon(process.sample_waits)
            process.start()
            if not shutdown.await_readiness:
                await anyio.sleep(shutdown.serving_seconds)
                await self._end(process, shutdown)
                continue
            await process.wait_until_active()
            process.in_service = self.in_service = True
            if serving is not None:
                group.start_soon(self._end, *serving)
            await anyio.sleep(shutdown.serving_seconds)
            serving = process, shutdown
        assert serving is not None
        self.connect_until = self.soak.now() + self.rng.uniform(*FRONT_NOTICES_SECONDS)
        await self._end(*serving)

    async def _end(self, process: SoakNode, shutdown: Shutdown) -> None:
        await process.shut_down(shutdown)
        process.done = True
