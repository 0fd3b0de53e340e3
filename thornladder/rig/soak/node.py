"""One node of a soak: its process, its signals and its operators' calls, up to the platform's kill."""

from __future__ import annotations

import copy
import json
import math
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any, Protocol

import anyio

from thornladder.children import signal_on_parent_exit
from thornladder.rig.process_memory import KERNEL_SAMPLE_SECONDS, MemorySampler
from thornladder.rig.soak.client import Offering
from thornladder.rig.soak.clock import SoakClock, processor_wait_seconds
from thornladder.rig.soak.plan import (
    KILL_SECONDS,
    MAX_DEADLINE_SECONDS,
    MAX_HOLD_SECONDS,
    Hold,
    Shutdown,
    SoakPlan,
    Standby,
    Step,
)
from thornladder.rig.soak.records import ProcessRecord, SoakRecords
from thornladder.rig.standins import DiscoveryServer
from thornladder.settings import Address

# Without `rich`, which a deployed node does not have and structlog would import.
NODE_SCRIPT = """
import sys
sys.modules["rich"] = None
from thornladder.__main__ import main
sys.exit(main())
"""
NODE_COMMAND = (sys.executable, "-B", "-c", NODE_SCRIPT)
FRONT_NOTICES_SECONDS = (0.2, 0.4)  # after SIGTERM, for which new connections go on coming
READY_SECONDS = 30.0  # in which a node has to become ready
STANDBY_NOTICED_SECONDS = 0.3  # after which the front sends no new connections to a node in standby
ADMIN_SECONDS = 1.0  # for a call to the admin address
LEAST_RESIDENT_MB = 40  # below this limit only anonymous memory and the kernel's count
WAIT_SAMPLE_SECONDS = 0.02  # between looks at how long a process has waited for a processor
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


_end_with_parent = signal_on_parent_exit(signal.SIGKILL)


def prepare_process() -> None:
    """Prepares a node's process before its program runs.

    A shell that starts the soak in the background has it ignore SIGINT, and its children with it.
    """
    _end_with_parent()
    signal.signal(signal.SIGINT, signal.SIG_DFL)


class Fleet(SoakClock, Protocol):
    """The soak that a node belongs to."""

    plan: SoakPlan
    folder: Path
    command: Sequence[str]
    records: SoakRecords
    discovery: DiscoveryServer
    discovery_address: Address  # where nodes reach it

    def host(self, number: int, kind: int) -> str:
        """An address that only one process listens at."""
        ...


class SoakNode:
    """One node of the fleet: its files, its process, its clients."""

    def __init__(
        self,
        soak: Fleet,
        number: int,
        shutdowns: Sequence[Shutdown],
        process_name: str = "",
        listener: socket.socket | None = None,
    ) -> None:
        """`listener`: the clients' socket, where the node's processes inherit it.

        `process_name`: where there are several processes at a time, each has an object and a folder.
        """
        self.soak, self.number, self.shutdowns = soak, number, shutdowns
        self.rng = Random(f"{soak.plan.seed} node {number}{process_name}")
        self.state_folder = soak.folder / f"node-{number}"
        self.folder = self.state_folder / process_name
        self.folder.mkdir(parents=True)
        host = soak.host(number, 1)
        self.listener = listener
        self.address = listener.getsockname() if listener else (host, free_port(host))
        self.admin_address = (host, free_port(host))
        self.longest_deadline = soak.plan.longest_deadline
        self.process: subprocess.Popen | None = None
        # When the front notices a standby or a shutdown, and sends no new connections.
        self.connect_until = math.inf
        self.in_service = False  # ready, and not told to end
        self.last_wait_seconds = 0.0  # as sampled
        self.memory = MemorySampler(0)  # of the present or last process
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
        return self.process is not None and self.soak.now() < self.connect_until

    def waited_seconds(self) -> float:
        """Seconds for which the node's present or last process has waited for a processor."""
        return self.last_wait_seconds

    async def sample_waits(self) -> None:
        """Keeps `waited_seconds` and the memory up to date until the node is done."""
        next_kernel_sample = anyio.current_time()
        while not self.done:
            if self.process is not None:
                self.last_wait_seconds = processor_wait_seconds(self.process.pid)
                self.memory.sample()
                if self.soak.plan.crowding is not None and anyio.current_time() >= next_kernel_sample:
                    self.memory.sample_kernel()
                    next_kernel_sample = anyio.current_time() + KERNEL_SAMPLE_SECONDS
            await anyio.sleep(WAIT_SAMPLE_SECONDS)

    def peak_memory(self) -> float:
        """The most memory of the present or last process and its sockets, in MB.

        Of a very small limit a process at rest takes nearly all: files of programs do not count there.
        """
        is_least = self.soak.plan.memory_mb < LEAST_RESIDENT_MB
        return self.memory.anonymous_and_kernel if is_least else self.memory.resident_and_kernel

    async def run(self) -> None:
        """Starts and shuts down one process after the other."""
        try:
            for shutdown in self.shutdowns:
                self.start()
                if shutdown.await_readiness:
                    await self._wait_until_ready()
                self.connect_until, self.in_service = math.inf, shutdown.await_readiness
                await anyio.sleep(shutdown.serving_seconds)
                await self.shut_down(shutdown)
        finally:
            self.done = True
            if self.process is not None:
                self.process.kill()
                self.process.wait()

    def _write_config(self) -> None:
        plan = self.soak.plan
        limits = {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.descriptors}
        document = {
            "name": f"n{self.number}", "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": "{}:{}".format(*self.soak.discovery_address), "seed": f"{self.soak.plan.seed:08x}",
            "limits": limits,
            "settings": settings_with(self.longest_deadline), "known": self.soak.discovery.full_list(),
        }  # fmt: skip
        if self.soak.plan.standbys or self.listener:
            document["admin_addr"] = f"{self.admin_address[0]}:{self.admin_address[1]}"
        path = self.folder / "config.json.new"
        path.write_text(json.dumps(document))
        path.replace(self.folder / "config.json")

    def start(self) -> None:
        """Starts a process."""
        self._write_config()
        environment = {
            **os.environ, "EDGE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.state_folder),
        }  # fmt: skip
        if self.listener is not None:
            environment["EDGE_INHERITED_FD"] = str(self.listener.fileno())
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                self.soak.command,
                env=environment,
                stderr=log,
                preexec_fn=prepare_process,
                pass_fds=[self.listener.fileno()] if self.listener else (),
            )
        self.memory = MemorySampler(self.process.pid, self.address[1])

    async def _wait_until_ready(self) -> None:
        with anyio.fail_after(READY_SECONDS):
            while b'"serving"' not in self.log_path.read_bytes():
                await anyio.sleep(0.01)

    async def wait_until_active(self) -> None:
        """Waits until the process says that it serves, beside another one of its node."""
        with anyio.fail_after(READY_SECONDS):
            while not await self._call("/status", "GET"):
                await anyio.sleep(0.01)

    async def stand_by(self, standby: Standby) -> None:
        """Puts the process into standby for a while, unless it is to end first."""
        await anyio.sleep(standby.at)
        process = self.process
        if not self.in_service or not await self._call("/standby"):
            return
        self.connect_until = self.soak.now() + self.rng.uniform(0.0, STANDBY_NOTICED_SECONDS)
        await anyio.sleep(standby.seconds)
        if await self._call("/active") and process is self.process and self.in_service:
            self.connect_until = math.inf

    async def _call(self, path: str, method: str = "POST") -> bool:
        """Makes an operator's call; returns whether it was carried out."""
        request = f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode()
        try:
            with anyio.fail_after(ADMIN_SECONDS):
                async with await anyio.connect_tcp(*self.admin_address) as stream:
                    await stream.send(request)
                    return (await stream.receive()).startswith(b"HTTP/1.1 200")
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False

    async def hold(self, hold: Hold) -> None:
        """Keeps the process from its CPU for a while."""
        await anyio.sleep(hold.at)
        process = self.process
        if process is not None and self.in_service:
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(hold.seconds)
            process.send_signal(signal.SIGCONT)

    async def shut_down(self, shutdown: Shutdown) -> None:
        """Gives the process its signals, and records how it ended."""
        assert self.process is not None
        signalled_at = kill_after = lag_before = waited_before = 0.0
        started_serving = b'"serving"' in self.log_path.read_bytes()
        for action in shutdown.actions:
            await anyio.sleep(action.pause)
            if self.process.poll() is not None:
                break
            if action.step.ends_process and not signalled_at:
                signalled_at, lag_before = self.soak.now(), self.soak.lost_seconds()
                waited_before = self.waited_seconds()
                kill_after = min(self.longest_deadline, MAX_DEADLINE_SECONDS) + KILL_SECONDS
                started_serving = b'"serving"' in self.log_path.read_bytes()
                self.in_service = False
                self.connect_until = signalled_at + self.rng.uniform(*FRONT_NOTICES_SECONDS)
            await self._take(action.step)
        killed = not await self._wait_for_exit(signalled_at + kill_after, lag_before, waited_before)
        waited_seconds = self.waited_seconds() - waited_before
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
                waited_seconds,
                exit_code,
                started_serving,
                self._log_errors(),
                self.peak_memory(),
                self.soak.plan.memory_mb,
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

    async def _wait_for_exit(self, deadline: float, lag_before: float, waited_before: float) -> bool:
        """Waits until the platform would kill the process; returns whether it has exited by itself.

        The platform gives a process its processor: time without one, and time that this process lost, do not
        count.
        """
        assert self.process is not None
        while self.process.poll() is None:
            lost = self.soak.lost_seconds() - lag_before + self.waited_seconds() - waited_before
            if self.soak.now() > deadline + lost:
                return False
            await anyio.sleep(0.002)
        return True

    def _log_errors(self) -> list[str]:
        lines = self.log_path.read_bytes().splitlines()
        return [
            line.decode() for line in lines if b'"level": "error"' in line or line.startswith(b"Traceback")
        ]


def free_port(host: str) -> int:
    """Returns a port of this address at which nothing listens now."""
    with socket.create_server((host, 0)) as listener:
        return listener.getsockname()[1]
