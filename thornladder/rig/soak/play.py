"""Plays one soak: nodes as processes, faulty backends, clients, and signals up to the platform's kill."""

from __future__ import annotations

import copy
import json
import math
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import anyio

from thornladder.children import signal_on_parent_exit
from thornladder.rig.soak.backend import FaultyBackend
from thornladder.rig.soak.client import Offering, RawConnection, SoakClient
from thornladder.rig.soak.clock import MachineLag
from thornladder.rig.soak.plan import (
    KILL_SECONDS,
    MAX_DEADLINE_SECONDS,
    MAX_HOLD_SECONDS,
    Shutdown,
    SoakPlan,
    Step,
)
from thornladder.rig.soak.records import ProcessRecord, SoakRecords
from thornladder.rig.standins import DiscoveryServer

NODE_COMMAND = (sys.executable, "-B", "-m", "thornladder")
FRONT_NOTICES_SECONDS = (0.2, 0.4)  # after SIGTERM, for which new connections go on coming
READY_SECONDS = 30.0  # in which a node has to become ready
# Share of each offering's deadline in the longest one.
DEADLINE_SHARES = {"look": 1.0, "pay": 1.0, "book": 0.7}
ONCE_ONLY = frozenset({"pay"})
SETTINGS: dict[str, Any] = {
    "Az": "x", "Rank": 0, "ReplicasOfMe": 4, "Discovery": "on_request",
    "Classes": [
        {"Name": "look", "Effect": "free", "Aim": 250000, "HardLimit": 0, "Worth": 1.0},
        {"Name": "pay", "Effect": "single_shot", "Aim": 250000, "HardLimit": 0, "Worth": 8.0},
        {"Name": "book", "Effect": "guarded", "Group": "all", "Window": 2000000, "Aim": 250000,
         "HardLimit": 0, "Worth": 5.0},
    ],
    "PolicyLimits": {"MaxAttempts": 3, "Cancelling": True, "Probes": True, "SecondCopies": False,
                     "ConnectTimeout": 120000, "IdleClose": 60000000, "MaxRetryAfter": 500000,
                     "RetryAfter": True},
    "Rules": {"ColdShare": 0.2, "WarmUp": 20000000, "FallMultiple": 3.0, "Fall": 1000000,
              "DrainGrace": 500000, "MustAskIn": 10000000},
}  # fmt: skip


def settings_with(longest_deadline: float) -> dict[str, Any]:
    """The nodes' settings; `longest_deadline` in seconds."""
    settings = copy.deepcopy(SETTINGS)
    for offering in settings["Classes"]:
        limit = round(DEADLINE_SHARES[offering["Name"]] * longest_deadline * 1e6)
        offering["HardLimit"], offering["Aim"] = limit, min(offering["Aim"], limit)
    return settings


class SoakNode:
    """One node of the fleet: its files, its process, its clients."""

    def __init__(self, soak: Soak, number: int, shutdowns: Sequence[Shutdown]) -> None:
        self.soak, self.number, self.shutdowns = soak, number, shutdowns
        self.rng = Random(f"{soak.plan.seed} node {number}")
        self.folder = soak.folder / f"node-{number}"
        self.folder.mkdir(parents=True)
        host = soak.host(number, 1)
        self.address = (host, free_port(host))
        self.longest_deadline = soak.plan.longest_deadline
        self.process: subprocess.Popen | None = None
        self.connect_until = math.inf  # when the front notices the shutdown and sends no new connections
        self.done = False

    @property
    def log_path(self) -> Path:
        """File with the log of the present process."""
        return self.folder / "log"

    def offerings(self) -> list[Offering]:
        """What clients send, by the settings in force."""
        return [
            Offering(name, "GET" if name == "look" else "POST", share * self.longest_deadline)
            for name, share in DEADLINE_SHARES.items()
        ]

    def connectable(self) -> bool:
        """Whether the front still sends new connections to this node."""
        return self.soak.now() < self.connect_until

    async def run(self) -> None:
        """Starts and shuts down one process after the other."""
        try:
            for shutdown in self.shutdowns:
                self._start()
                if shutdown.await_readiness:
                    await self._wait_until_ready()
                self.connect_until = math.inf
                await anyio.sleep(shutdown.serving_seconds)
                await self._shut_down(shutdown)
        finally:
            self.done = True
            if self.process is not None:
                self.process.kill()
                self.process.wait()

    def _write_config(self) -> None:
        document = {
            "name": f"n{self.number}", "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": f"127.0.0.1:{self.soak.discovery.port}", "seed": f"{self.soak.plan.seed:08x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.soak.plan.descriptors},
            "settings": settings_with(self.longest_deadline), "known": self.soak.discovery.full_list(),
        }  # fmt: skip
        path = self.folder / "config.json.new"
        path.write_text(json.dumps(document))
        path.replace(self.folder / "config.json")

    def _start(self) -> None:
        self._write_config()
        environment = {
            **os.environ, "EDGE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder),
        }  # fmt: skip
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                self.soak.command,
                env=environment,
                stderr=log,
                preexec_fn=signal_on_parent_exit(signal.SIGKILL),
            )

    async def _wait_until_ready(self) -> None:
        with anyio.fail_after(READY_SECONDS):
            while b'"serving"' not in self.log_path.read_bytes():
                await anyio.sleep(0.01)

    async def _shut_down(self, shutdown: Shutdown) -> None:
        assert self.process is not None
        signalled_at = kill_after = lag_before = 0.0
        started_serving = b'"serving"' in self.log_path.read_bytes()
        for action in shutdown.actions:
            await anyio.sleep(action.pause)
            if self.process.poll() is not None:
                break
            if action.step.ends_process and not signalled_at:
                signalled_at, lag_before = self.soak.now(), self.soak.lost_seconds()
                kill_after = min(self.longest_deadline, MAX_DEADLINE_SECONDS) + KILL_SECONDS
                started_serving = b'"serving"' in self.log_path.read_bytes()
                self.connect_until = signalled_at + self.rng.uniform(*FRONT_NOTICES_SECONDS)
            await self._take(action.step)
        killed = not await self._wait_for_exit(signalled_at + kill_after, lag_before)
        if killed:
            self.process.kill()
        exit_code = self.process.wait()
        self.process = None
        self.soak.records.processes.append(
            ProcessRecord(
                self.number,
                signalled_at,
                kill_after,
                self.soak.now() - signalled_at,
                killed,
                exit_code,
                started_serving,
                self._log_errors(),
            )
        )
        (self.folder / "log").rename(self.folder / f"log-{len(list(self.folder.glob('log*')))}")

    async def _take(self, step: Step) -> None:
        assert self.process is not None
        held = step in (Step.HOLD, Step.TERMINATE_HELD, Step.TERMINATE_RELOAD_HELD)
        if held:
            self.process.send_signal(signal.SIGSTOP)
        if step.ends_process:
            self.process.send_signal(signal.SIGINT if step is Step.INTERRUPT else signal.SIGTERM)
        if step in (Step.RELOAD_DEADLINES, Step.TERMINATE_RELOAD_HELD):
            self._change_deadlines()
        if step in (Step.RELOAD, Step.RELOAD_DEADLINES, Step.TERMINATE_RELOAD_HELD):
            self._write_config()
            self.process.send_signal(signal.SIGHUP)
        if held:
            await anyio.sleep(MAX_HOLD_SECONDS)
            self.process.send_signal(signal.SIGCONT)

    def _change_deadlines(self) -> None:
        plan = self.soak.plan
        is_changed = self.longest_deadline != plan.longest_deadline
        self.longest_deadline = plan.longest_deadline if is_changed else plan.other_longest_deadline

    async def _wait_for_exit(self, deadline: float, lag_before: float) -> bool:
        """Waits until the platform would kill the process; returns whether it has exited by itself."""
        assert self.process is not None
        while self.process.poll() is None:
            if self.soak.now() > deadline + self.soak.lost_seconds() - lag_before:
                return False
            await anyio.sleep(0.002)
        return True

    def _log_errors(self) -> list[str]:
        lines = self.log_path.read_bytes().splitlines()
        return [
            line.decode() for line in lines if b'"level": "error"' in line or line.startswith(b"Traceback")
        ]


class Soak:
    """A fleet of nodes and everything round it, for one plan."""

    def __init__(self, plan: SoakPlan, folder: Path, command: Sequence[str] = NODE_COMMAND) -> None:
        self.plan, self.folder, self.command = plan, folder, list(command)
        self.started_at = time.monotonic()
        self.lag = MachineLag()
        self.discovery = DiscoveryServer()
        self.records = SoakRecords(once_only=ONCE_ONLY, crowded=plan.crowd > 0)

    def host(self, number: int, kind: int) -> str:
        """An address that only one process listens at.

        Outgoing connections have 127.0.0.1: none can take the port of a process that is down for a while.
        """
        return f"127.{100 + self.plan.seed % 100}.{number}.{kind}"

    def now(self) -> float:
        """Seconds since the start of the soak."""
        return time.monotonic() - self.started_at

    def lost_seconds(self) -> float:
        """Seconds by which the machine has been late in all so far."""
        return self.lag.total

    async def play(self) -> SoakRecords:
        """Plays the soak to its end."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.lag.run)
            await group.start(self.discovery.serve)
            for number, changes in enumerate(self.plan.backends):
                backend = FaultyBackend(number, changes, self.records, self, self.host(number, 2))
                await group.start(backend.run)
                self.discovery.update(f"s{number}", backend.port, "x", 0.0, host=backend.host)
            self.started_at = time.monotonic()
            async with anyio.create_task_group() as nodes:
                for number, shutdowns in enumerate(self.plan.shutdowns):
                    self._start_node(nodes, SoakNode(self, number, shutdowns))
            group.cancel_scope.cancel()
        return self.records

    def _start_node(self, group: anyio.abc.TaskGroup, node: SoakNode) -> None:
        group.start_soon(node.run)
        for number in range(self.plan.clients_per_node):
            name = f"n{node.number}c{number}"
            rng = Random(f"{self.plan.seed} {name}")
            client = SoakClient(name, node, self.records, rng, self)
            group.start_soon(client.run, lambda: node.done)
        if self.plan.crowd:
            group.start_soon(self._run_crowd, node)

    async def _run_crowd(self, node: SoakNode) -> None:
        """Keeps connections open on which nothing is sent, and opens new ones for those that end."""
        crowd: list[RawConnection] = []
        try:
            while not node.done:
                for connection in [one for one in crowd if one.ended()]:
                    crowd.remove(connection)
                    connection.close()
                with suppress(OSError):
                    while len(crowd) < self.plan.crowd:
                        crowd.append(await RawConnection.open(node.address))
                await anyio.sleep(0.05)
        finally:
            for connection in crowd:
                connection.close()


def free_port(host: str) -> int:
    """Returns a port of this address at which nothing listens now."""
    with socket.create_server((host, 0)) as listener:
        return listener.getsockname()[1]
