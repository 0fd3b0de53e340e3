"""Runs a scenario: a fleet of node processes under load and faults, whose results are checked at the end."""

from __future__ import annotations

import math
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.to_thread
import msgspec

from thornladder import toml
from thornladder.asking import fetch
from thornladder.children import signal_on_parent_exit
from thornladder.fields import MalformedError
from thornladder.rig.clients import LoadGenerator
from thornladder.rig.faults import Fault, LinkConditions, node_actions, validate_faults
from thornladder.rig.processes import NodeProcess
from thornladder.rig.relay import MEMBERSHIP_PORT, NodeAddresses, Relay
from thornladder.rig.standins import Backend, DiscoveryServer, EffectLog, SlowStartModel
from thornladder.rollout.driver import log_path
from thornladder.rollout.orders import FORMAT_VERSION as ORDERS_FORMAT_VERSION
from thornladder.rollout.store import Store

RESULT_FORMAT_VERSION = 1
READY_TIMEOUT_SECONDS = 150.0  # for all nodes together; about 100 times what an idle machine needs
MEMBERS_POLL_SECONDS = 0.5  # between requests to each node for its view of the fleet
KEEPER_PORT = 7900  # of keepers, at a node's own address and at its relay address
DRIVER = "driver"  # name of the rollout driver as an end of links in faults
SETTLE_SECONDS = 10.0  # after its start a process must be counted by all others


class Backends(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The backends of a scenario, all alike."""

    count: int = 4
    cores: int = 2
    warm_up: float = 20.0  # seconds


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The load that clients offer."""

    rate: float = 60.0  # invocations per second, all clients together
    cost: float = 0.004  # seconds of a backend's core, at its full speed


class BackendReplacement(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A backend terminates and starts again `down` seconds later, in slow start."""

    backend: int
    at: float
    down: float = 1.0


class Expectations(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits that the result must keep. A field that is left out is not checked."""

    utility: float | None = None  # at least
    one_view_after: float | None = None  # max seconds from the last fault until all views agree
    removed: list[str] | None = None  # the only members that others may remove from a view
    known_after: float | None = None  # max seconds from a kill until all other members know of it
    accused_by: list[str] | None = None  # the only members that may have reported another as silent


class RolloutSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A rollout that is driven during the scenario. All nodes have keepers then."""

    at: float
    settings: dict[str, Any] = {}
    flaw: str = ""  # roll out a program with this planted fault (see `rig.flawed`); "none" for a sound one
    more: dict[str, Any] = {}  # further fields of the rollout's file: stages, watch and so on
    killed: list[float] = []  # when the driver is killed, seconds of the scenario; it is started again
    again: float = 2.0  # seconds from a kill of the driver to its next start
    rivals: int = 0  # further drivers, each with a rollout of its own, that start at the same time
    keepers_paused: list[tuple[str, float, float]] = []  # node, start of the pause, seconds that it lasts


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The scenario file. Times are in seconds of the scenario, which starts when all nodes are ready."""

    seconds: float
    nodes: int = 4
    zones: int = 1
    seeds: int = 2  # number of nodes that the others join through
    membership: bool = True
    hold: float = 300.0  # as in the fleet file
    lower_after: float = 5.0  # as in the fleet file
    backends: Backends = Backends()
    load: Load = Load()
    replace: list[BackendReplacement] = []
    faults: list[Fault] = []
    change: RolloutSpec | None = None
    until_changed: bool = False  # end with the rollout if that is sooner
    holds: Expectations = Expectations()

    @property
    def node_names(self) -> list[str]:
        """Names of the nodes in the order of their numbers: n00, n01 and so on."""
        return [f"n{number:02}" for number in range(self.nodes)]

    @property
    def faults_end_at(self) -> float:
        """When the last fault is over."""
        return max((fault.ends_at for fault in self.faults), default=0.0)


def load_scenario(path: Path) -> Scenario:
    """Reads and checks a scenario file. Raises MalformedError with one line that names the field."""
    scenario = toml.read(path, Scenario)
    if error := validation_error(scenario):
        raise MalformedError(error)
    return scenario


def validation_error(scenario: Scenario) -> str | None:
    """The first error in a scenario, with the field's name; None if it is valid."""
    if not 1 <= scenario.nodes <= 100:
        return "nodes must be from 1 to 100"
    if not 0 <= scenario.seeds <= scenario.nodes:
        return "seeds must be from 0 to nodes"
    if not 0.0 < scenario.seconds <= 3600.0 or not 0.0 <= scenario.load.rate <= 2000.0:
        return "seconds must be above 0 and at most 3600, load.rate from 0 to 2000"
    if scenario.zones < 1 or scenario.backends.count < 1 or scenario.backends.cores < 1:
        return "zones, backends.count and backends.cores must be at least 1"
    for number, replacement in enumerate(scenario.replace):
        if not 0 <= replacement.backend < scenario.backends.count:
            return f"replace[{number}].backend is not the index of one of {scenario.backends.count} backends"
    return validate_faults(
        scenario.faults, [*scenario.node_names, DRIVER] if scenario.change else scenario.node_names
    )


OFFERINGS = [
    {"Name": "look", "Effect": "free", "Aim": 250000, "HardLimit": 1000000, "Worth": 1.0},
    {"Name": "pay", "Effect": "single_shot", "Aim": 300000, "HardLimit": 1000000, "Worth": 8.0},
]


def node_settings(scenario: Scenario, zone: str) -> dict[str, Any]:
    """The `settings` of a node's configuration file."""
    slow_start = SlowStartModel(warm_up=scenario.backends.warm_up)
    return {
        "Az": zone, "Rank": 0, "ReplicasOfMe": scenario.nodes, "Discovery": "on_request",
        "Classes": OFFERINGS,
        "PolicyLimits": {"MaxAttempts": 3, "Cancelling": True, "Probes": True, "SecondCopies": False,
                         "ConnectTimeout": 120000, "IdleClose": 60000000, "MaxRetryAfter": 500000,
                         "RetryAfter": True},
        "Rules": {"ColdShare": slow_start.initial_capacity, "WarmUp": round(slow_start.warm_up * 1e6),
                  "FallMultiple": slow_start.overload_multiple,
                  "Fall": round(slow_start.overload_window * 1e6), "DrainGrace": 500000,
                  "MustAskIn": 10000000},
    }  # fmt: skip


class ScenarioRun:
    """One run of a scenario with all its processes, servers and records."""

    def __init__(
        self, scenario: Scenario, seed: int, folder: Path, progress: Callable[[str], None] | None
    ) -> None:
        """`folder`: for the files of the nodes. `progress`: takes one line at a time for the user."""
        self.scenario, self.seed, self.folder, self.progress = scenario, seed, folder, progress
        self.rng = Random(seed)
        self.started_at = time.monotonic()
        self.start_unix_time = time.time()
        self.effects = EffectLog()
        self.discovery = DiscoveryServer()
        # By node and member: [second, state, reachability] for each change that `/members` showed.
        self.view_history: dict[str, dict[str, list[list[Any]]]] = {}
        self.last_members: dict[str, Any] = {}  # last response to `/members` by node
        self.node_events: list[tuple[float, str, str]] = []  # second, kind of action, node
        self.crashes: list[tuple[float, str, int]] = []  # second, node, exit code
        self.process_started_at: dict[str, float] = {}
        self.max_undercount = 0  # running nodes less those that a node counted, at most
        network, self.reservation = _reserve_network()
        self.addresses = {name: NodeAddresses(f"127.{network}.0.{k + 1}", f"127.{network}.1.{k + 1}")
                          for k, name in enumerate(scenario.node_names)}  # fmt: skip
        self.relay = Relay(self.addresses, LinkConditions(scenario.faults), Random(seed + 1), self.now)
        self.backends: list[Backend] = []
        self.nodes: dict[str, NodeProcess] = {}
        self.rollout = RolloutRun(self) if scenario.change is not None else None

    def now(self) -> float:
        """Seconds since the start of the scenario; until all nodes are ready, since this run was created."""
        return time.monotonic() - self.started_at

    def report_progress(self, line: str) -> None:
        """Passes a line to the `progress` callback, if there is one."""
        if self.progress:
            self.progress(line)

    async def run(self) -> dict[str, Any]:
        """Runs the scenario and returns the result. Raises an exception group with a ScenarioError."""
        scenario = self.scenario
        async with anyio.create_task_group() as group:
            try:
                self.group = group
                self.relay.group = group
                if scenario.membership:
                    self.relay.open(group)
                await self._start_stand_ins()
                for name in scenario.node_names:
                    self._create_node(name)
                    await self._start_node(name)
                node_addresses = {name: (self.addresses[name].own, 8080) for name in scenario.node_names}
                clients = self.clients = LoadGenerator(
                    node_addresses, OFFERINGS, max(scenario.load.rate, 0.001), Random(self.seed + 2), self.now
                )
                group.start_soon(clients.poll_readiness)
                await self._wait_until_ready()
                self.started_at, self.start_unix_time = time.monotonic(), time.time()
                group.start_soon(self._poll_views)
                group.start_soon(self._apply_node_faults)
                if self.rollout is not None:
                    group.start_soon(self.rollout.run)
                for replacement in scenario.replace:
                    group.start_soon(self._replace_backend, replacement)
                if scenario.load.rate > 0.0:
                    group.start_soon(clients.generate_load, scenario.seconds - 1.0)
                while self.now() < scenario.seconds and not self._ended_with_rollout():
                    await anyio.sleep(min(2.0, max(scenario.seconds - self.now(), 0.01)))
                    utility = clients.stats.utility
                    self.report_progress(
                        f"{self.now():6.1f} of {scenario.seconds:.0f} s, utility {utility:.3f}"
                    )
                agreed_after = await self._wait_for_one_view() if scenario.membership else 0.0
                rollout_result = await self.rollout.result() if self.rollout is not None else None
                return self._result(agreed_after, rollout_result)
            finally:
                with anyio.CancelScope(shield=True):
                    self._stop_all()
                group.cancel_scope.cancel()

    def _ended_with_rollout(self) -> bool:
        return self.scenario.until_changed and self.rollout is not None and self.rollout.finished.is_set()

    # Before the scenario starts.

    async def _start_stand_ins(self) -> None:
        slow_start = SlowStartModel(warm_up=self.scenario.backends.warm_up)
        costs = {offering["Name"]: self.scenario.load.cost for offering in OFFERINGS}
        for number in range(self.scenario.backends.count):
            backend = Backend(f"b{number:02}", self.zone(number), self.scenario.backends.cores, costs,
                              slow_start, self.effects, self.now, -1e6)  # fmt: skip
            await self.group.start(backend.serve)
            self.backends.append(backend)
            self.discovery.update(backend.id, backend.port, backend.zone, 0.0)
        await self.group.start(self.discovery.serve)

    def zone(self, number: int) -> str:
        """The zone of the node or backend with this number."""
        return "abcdefgh"[number % min(self.scenario.zones, 8)]

    def _create_node(self, name: str) -> None:
        number, addresses = self.scenario.node_names.index(name), self.addresses[name]
        config = {
            "name": name, "listen": f"{addresses.own}:8080",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": node_settings(self.scenario, self.zone(number)), "known": self.discovery.full_list(),
        }  # fmt: skip
        fleet_config = None
        if self.scenario.membership:
            seeds = [f"{self.addresses[seed].relay}:{MEMBERSHIP_PORT}"
                     for seed in self.scenario.node_names[: self.scenario.seeds]]  # fmt: skip
            fleet_config = {"fleet": "rig", "listen": f"{addresses.own}:{MEMBERSHIP_PORT}",
                            "advertise": f"{addresses.relay}:{MEMBERSHIP_PORT}", "seeds": seeds,
                            "zone": self.zone(number), "hold": self.scenario.hold,
                            "lower_after": self.scenario.lower_after}  # fmt: skip
        keeper_config = None if self.rollout is None else self.rollout.keeper_config(name)
        self.nodes[name] = NodeProcess(
            name, self.folder / name, config, f"{addresses.own}:8081", fleet_config, keeper_config
        )

    async def _start_node(self, name: str) -> None:
        node = self.nodes[name]
        if node.process is not None:
            return
        node.start()
        self.process_started_at[name] = self.now()
        if self.scenario.membership:
            await self.relay.open_listener(name)
        self.group.start_soon(self._handle_exit, name)

    async def _handle_exit(self, name: str) -> None:
        node = self.nodes[name]
        exit_code = await node.wait_for_exit()
        if self.scenario.membership:
            self.relay.close_listener(name)
        if not node.exit_expected:
            self.crashes.append((round(self.now(), 2), name, exit_code))

    async def _wait_until_ready(self) -> None:
        with anyio.move_on_after(READY_TIMEOUT_SECONDS) as scope:
            while True:
                if self.crashes:
                    raise ScenarioError(f"{self.crashes[0][1]} exited while starting; see its log")
                responses = [await self._fetch_members(name) for name in self.scenario.node_names]
                joined = all(
                    response is not None
                    and 1 + sum(m["state"] == "alive" for m in response["members"]) == len(responses)
                    for response in responses
                )
                if len(self.clients.ready_nodes) == self.scenario.nodes and (
                    joined or not self.scenario.membership
                ):
                    return
                await anyio.sleep(0.1)
        if scope.cancelled_caught:
            raise ScenarioError(f"the nodes were not ready after {READY_TIMEOUT_SECONDS:.0f} s")

    # During the scenario.

    async def _apply_node_faults(self) -> None:
        for action in node_actions(self.scenario.faults, self.rng):
            await anyio.sleep(max(action.at - self.now(), 0.0))
            node = self.nodes[action.node]
            if action.kind in ("kill", "end", "start"):
                self.node_events.append((round(self.now(), 3), action.kind, action.node))
                self.report_progress(f"{self.now():6.1f} {action.kind} {action.node}")
            if action.kind == "start":
                await self._start_node(action.node)
            elif action.kind == "stop":
                node.send_signal(signal.SIGSTOP)
            elif action.kind == "go":
                node.send_signal(signal.SIGCONT)
            elif action.kind == "kill":
                node.exit_expected = True
                node.send_signal(signal.SIGKILL)
            elif action.kind == "end":
                node.exit_expected = True
                node.send_signal(signal.SIGTERM)

    async def _replace_backend(self, replacement: BackendReplacement) -> None:
        await anyio.sleep(max(replacement.at - self.now(), 0.0))
        backend = self.backends[replacement.backend]
        self.discovery.update(backend.id, backend.port, backend.zone, 0.0, "terminated")
        backend.cancel_scope.cancel()
        await anyio.sleep(replacement.down)
        backend.started_at, backend.peak_load = self.now(), 0.0
        await self.group.start(backend.serve)
        self.discovery.update(backend.id, backend.port, backend.zone, time.time())

    async def _fetch_members(self, name: str) -> dict[str, Any] | None:
        """The response of a node to `/members`; None without membership or if the request failed."""
        if not self.scenario.membership:
            return None
        try:
            address = self.nodes[name].admin_address
            return await anyio.to_thread.run_sync(fetch, address, "/members", 1.0, abandon_on_cancel=True)
        except (OSError, ValueError):
            return None

    async def _poll_views(self) -> None:
        if not self.scenario.membership:
            return
        while True:
            async with anyio.create_task_group() as group:
                for name in self.scenario.node_names:
                    group.start_soon(self._poll_view, name)
            await anyio.sleep(MEMBERS_POLL_SECONDS)

    async def _poll_view(self, name: str) -> None:
        response = await self._fetch_members(name)
        if response is None:
            return
        self.last_members[name] = response
        settled = [
            node for node in self.running_nodes if self.now() - self.process_started_at[node] > SETTLE_SECONDS
        ]
        self.max_undercount = max(self.max_undercount, len(settled) - response["nodes"])
        view = self.view_history.setdefault(name, {})
        for member in response["members"]:
            history = view.setdefault(member["name"], [])
            if not history or history[-1][1:] != [member["state"], member["way"]]:
                history.append([round(self.now(), 2), member["state"], member["way"]])

    @property
    def running_nodes(self) -> list[str]:
        """Names of the nodes that have a process, sorted."""
        return sorted(name for name, node in self.nodes.items() if node.process is not None)

    async def _wait_for_one_view(self) -> float:
        """Waits until every view holds exactly the running nodes.

        Returns the seconds since the end of the last fault, or inf if the time limit passes first.
        """
        limit = self.scenario.holds.one_view_after
        # Starts at the later of both: the scenario may have gone on beyond the limit after the last fault.
        deadline = max(self.scenario.faults_end_at, self.now()) + (10.0 if limit is None else limit)
        while True:
            running = self.running_nodes
            responses_by_node: dict[str, Any] = {}

            async def fetch_one(name: str, responses_by_node: dict[str, Any] = responses_by_node) -> None:
                responses_by_node[name] = await self._fetch_members(name)

            async with anyio.create_task_group() as group:
                for name in running:
                    group.start_soon(fetch_one, name)
            responses = list(responses_by_node.values())
            views = [sorted([response["name"],
                             *(m["name"] for m in response["members"] if m["state"] in PRESENT_STATES)])
                     for response in responses if response is not None]  # fmt: skip
            if len(views) == len(running) and all(view == running for view in views):
                return max(self.now() - self.scenario.faults_end_at, 0.0)
            if self.now() > deadline:
                return math.inf
            await anyio.sleep(0.1)

    # After the scenario.

    def _stop_all(self) -> None:
        for node in self.nodes.values():
            node.kill()
        if self.rollout is not None:
            self.rollout.kill()
        self.relay.close()
        self.reservation.close()

    def view_changes(self) -> list[dict[str, Any]]:
        """All changes of members' states since the start, from the logs of the nodes, in order."""
        changes = []
        for name, node in self.nodes.items():
            for entry in node.log_entries():
                if entry.get("event") == "member":
                    at = datetime.fromisoformat(entry["timestamp"]).timestamp() - self.start_unix_time
                    changes.append({"at": round(at, 3), "by": name, "of": entry["member"],
                                    "state": entry["state"], "view": entry["view"],
                                    "witnesses": entry["by"]})  # fmt: skip
        return sorted((change for change in changes if change["at"] >= 0.0), key=lambda change: change["at"])

    def _result(self, agreed_after: float, rollout_result: dict[str, Any] | None = None) -> dict[str, Any]:
        changes, stats = self.view_changes(), self.clients.stats
        unanswered_by_living = [row for row in stats.unanswered if not self._had_fault(row[1], row[2])]
        slow_starts = {backend.id: {"peak": round(backend.peak_load, 3), "falls": backend.overloads}
                       for backend in self.backends}  # fmt: skip
        result = {
            "form": RESULT_FORMAT_VERSION, "seed": self.seed, "plan": msgspec.to_builtins(self.scenario),
            "utility": round(stats.utility, 4), "answers": dict(stats.outcomes),
            "seconds": {str(second): [round(utility, 2) for utility in utilities]
                        for second, utilities in sorted(stats.utility_by_second.items())},
            "doubled": self.effects.repeated({"pay"}), "wrong": stats.misdirected,
            "unanswered_by_living": len(unanswered_by_living), "cold": slow_starts, "crashed": self.crashes,
            "happened": self.node_events, "changes": changes, "views": self.view_history,
            "one_view_after": None if agreed_after == math.inf else round(agreed_after, 2),
            "accused": {name: response["accused"] for name, response in self.last_members.items()},
            "late": {name: response["late"] for name, response in self.last_members.items()},
            "under": self.max_undercount, "rollout": rollout_result,
            "counted": {name: response["nodes"] for name, response in self.last_members.items()},
            "relay": {"passed": self.relay.forwarded, "dropped": self.relay.dropped,
                      "bytes": self.relay.forwarded_bytes},
        }  # fmt: skip
        result["checks"] = evaluate_checks(self.scenario, result)
        result["holds"] = all(check["holds"] for check in result["checks"])
        return result

    def _had_fault(self, name: str, at: float) -> bool:
        """Whether the node was dead, ending or stopped during the life of an invocation sent at `at`."""
        return any(
            name in fault.nodes and fault.at - 1.6 <= at <= max(fault.ends_at, fault.at + 1.0) + 1.0
            for fault in self.scenario.faults
        )


PRESENT_STATES = ("alive", "not heard of")


class RolloutRun:
    """The rollout of a scenario: keepers' files, the driver's process, and the links between the two."""

    def __init__(self, scenario_run: ScenarioRun) -> None:
        self.scenario_run, self.spec = scenario_run, scenario_run.scenario.change
        self.file = scenario_run.folder / "change.toml"
        self.process: subprocess.Popen | None = None
        self.driver_runs: list[tuple[float, int | None]] = []  # start of each driver, and its exit code
        self.rivals: list[subprocess.Popen] = []
        self.finished = anyio.Event()

    def keeper_config(self, name: str) -> dict[str, Any]:
        """The fields of a node's keeper file that the scenario determines."""
        own = self.scenario_run.addresses[name].own
        peers = [f"{addresses.own}:{KEEPER_PORT}" for other, addresses in self.scenario_run.addresses.items()
                 if other != name]  # fmt: skip
        return {"listen": f"{own}:{KEEPER_PORT}", "peers": peers, "admin": [f"{own}:8081", f"{own}:8082"],
                "ready": READY_TIMEOUT_SECONDS}  # fmt: skip

    def _relay_address(self, name: str) -> tuple[str, int]:
        """Where the driver reaches a node's keeper, through the relay."""
        return (self.scenario_run.addresses[name].relay, KEEPER_PORT)

    def _write_file(self, file: Path, name: str) -> None:
        change: dict[str, Any] = {"name": name}
        if self.spec.settings:
            change["settings"] = self.spec.settings
        if self.spec.flaw:
            change["program"] = [sys.executable, "-B", "-m", "thornladder.rig.flawed", self.spec.flaw]
            change["speaks"] = {"orders": ORDERS_FORMAT_VERSION}
        nodes = {name: f"{addresses.relay}:{KEEPER_PORT}"
                 for name, addresses in self.scenario_run.addresses.items()}  # fmt: skip
        zones = {name: self.scenario_run.zone(k)
                 for k, name in enumerate(self.scenario_run.scenario.node_names)}  # fmt: skip
        plan = {**self.spec.more, "change": change, "nodes": nodes, "zones": zones}
        file.write_bytes(msgspec.toml.encode(plan))

    async def run(self) -> None:
        """Starts the driver at its time, and again after each kill, until it exits by itself."""
        scenario_run = self.scenario_run
        self._write_file(self.file, "new")
        for name in scenario_run.scenario.node_names:
            own = (scenario_run.addresses[name].own, KEEPER_PORT)
            await scenario_run.group.start(
                scenario_run.relay.forward_connections, DRIVER, name, self._relay_address(name), own
            )
        for pause in self.spec.keepers_paused:
            scenario_run.group.start_soon(self._pause_keeper, *pause)
        await anyio.sleep(max(self.spec.at - scenario_run.now(), 0.0))
        for number in range(self.spec.rivals):
            file = scenario_run.folder / f"rival{number}.toml"
            self._write_file(file, f"rival {number}")
            self.rivals.append(self._start_driver(file))
        for kill_at in (*self.spec.killed, math.inf):
            exit_code = await self._run_driver(kill_at)
            if exit_code is not None:
                break
            await anyio.sleep(self.spec.again)
        self.finished.set()

    async def _run_driver(self, kill_at: float) -> int | None:
        """Runs one driver process to its end; returns its exit code, or None if killed at `kill_at`."""
        self.process = self._start_driver(self.file)
        started_at = self.scenario_run.now()
        while (exit_code := self.process.poll()) is None:
            if self.scenario_run.now() >= kill_at:
                self.process.kill()
                self.process.wait()
                break
            await anyio.sleep(0.05)
        self.driver_runs.append((round(started_at, 2), exit_code))
        self.scenario_run.report_progress(
            f"{self.scenario_run.now():6.1f} the driver {'was killed' if exit_code is None else 'exited'}"
        )
        return exit_code

    def _start_driver(self, file: Path) -> subprocess.Popen:
        command = [sys.executable, "-B", "-m", "thornladder.cli", "rollout", "start", str(file)]
        with file.with_suffix(".log").open("ab") as log:
            return subprocess.Popen(
                command, stdout=log, stderr=log, preexec_fn=signal_on_parent_exit(signal.SIGKILL)
            )

    async def _pause_keeper(self, name: str, at: float, seconds: float) -> None:
        await anyio.sleep(max(at - self.scenario_run.now(), 0.0))
        keeper = self.scenario_run.nodes[name].process
        keeper.send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        keeper.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills all drivers that still run."""
        for process in (self.process, *self.rivals):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()

    async def result(self) -> dict[str, Any]:
        """The driver's log, and what each node was ordered to run and runs at the end."""
        nodes: dict[str, Any] = {}
        for name in self.scenario_run.scenario.node_names:
            address = f"{self.scenario_run.addresses[name].own}:{KEEPER_PORT}"
            try:
                state = await anyio.to_thread.run_sync(fetch, address, "/state", 5.0)
            except (OSError, ValueError):
                continue
            document = state.get("document") or {}
            counters = state.get("counters") or {}
            nodes[name] = {
                "order": [document.get("number", 0), document.get("revision", 0)],
                "line": document.get("lines", {}).get(name, 0), "running": state.get("running", -1),
                "crashes": state.get("crashes", 0), "refused": state.get("refused", ""),
                "core": counters.get("core", 0.0),
                "taken": sum(row["counts"][0] for row in counters.get("offerings", {}).values()),
            }  # fmt: skip
        store = Store(log_path(self.file))
        records = []
        for at, record in store.records():
            new_nodes = sum(map(bool, record.document.lines.values())) if record.document else None
            records.append([round(at - self.scenario_run.start_unix_time, 2), record.phase, record.stage,
                            record.words, new_nodes])  # fmt: skip
        store.close()
        return {"records": records, "nodes": nodes, "drivers": self.driver_runs,
                "over": self.finished.is_set(), "rivals": [process.poll() for process in self.rivals],
                "orders": self._accepted_orders()}  # fmt: skip

    def _accepted_orders(self) -> list[list[Any]]:
        """[second of the scenario, node, number, revision] of each order that a node accepted, in order."""
        accepted = []
        for name, node in self.scenario_run.nodes.items():
            for entry in node.log_entries():
                if entry.get("event") == "an order was taken":
                    at = (
                        datetime.fromisoformat(entry["timestamp"]).timestamp()
                        - self.scenario_run.start_unix_time
                    )
                    accepted.append([round(at, 2), name, *entry["order"]])
        return sorted(accepted)


class ScenarioError(Exception):
    """The scenario could not be run; the message says why."""


def evaluate_checks(scenario: Scenario, result: dict[str, Any]) -> list[dict[str, Any]]:
    """Compares a result with its limits. The first six checks are invariants and apply to every scenario."""
    checks: list[dict[str, Any]] = []

    def add(name: str, figure: Any, limit: Any, holds: bool) -> None:
        checks.append({"name": name, "figure": figure, "limit": limit, "holds": holds})

    add("once-only invocations with two effects", len(result["doubled"]), 0, not result["doubled"])
    add("answers made for another invocation", len(result["wrong"]), 0, not result["wrong"])
    unanswered = result["unanswered_by_living"]
    add("invocations left unanswered by a living node", unanswered, 0, unanswered == 0)
    overloads = sum(backend["falls"] for backend in result["cold"].values())
    add("cold backends pushed over", overloads, 0, overloads == 0)
    add("nodes that ended by themselves", len(result["crashed"]), 0, not result["crashed"])
    add("nodes running beyond those that one counts", result["under"], 0, result["under"] <= 0)
    expected = scenario.holds
    if expected.utility is not None:
        add("utility", result["utility"], expected.utility, result["utility"] >= expected.utility)
    if expected.one_view_after is not None:
        agreed_after = result["one_view_after"]
        holds = agreed_after is not None and agreed_after <= expected.one_view_after
        add("seconds until one true view", agreed_after, expected.one_view_after, holds)
    if expected.removed is not None:
        removed = {change["of"] for change in result["changes"]
                   if change["view"] and change["state"] in REMOVED_STATES}  # fmt: skip
        add("members removed", sorted(removed), expected.removed, removed <= set(expected.removed))
    if expected.known_after is not None:
        kills = [(at, name) for at, kind, name in result["happened"] if kind == "kill"]
        slowest = max((seconds_until_known(result, at, name) for at, name in kills), default=0.0)
        figure = None if slowest == math.inf else round(slowest, 2)
        add("seconds until a kill is known to all", figure, expected.known_after,
            slowest <= expected.known_after)  # fmt: skip
    if expected.accused_by is not None:
        accusers = sorted(name for name, count in result["accused"].items() if count)
        add("members that accused another", accusers, expected.accused_by,
            set(accusers) <= set(expected.accused_by))  # fmt: skip
    return checks


REMOVED_STATES = ("lost", "ended", "left")


def seconds_until_known(result: dict[str, Any], killed_at: float, name: str) -> float:
    """Seconds from the kill of `name` until all surviving members have removed it; inf if one never does."""
    down = {
        node for at, kind, node in result["happened"] if kind in ("kill", "end") and at <= killed_at + 0.5
    }
    observers = [node for node in result["accused"] if node not in down]
    removals = [change for change in result["changes"]
                if change["of"] == name and change["view"] and change["state"] in REMOVED_STATES]  # fmt: skip
    first_removal = {change["by"]: change["at"] for change in reversed(removals) if change["at"] >= killed_at}
    return max((first_removal.get(node, math.inf) - killed_at for node in observers), default=math.inf)


def _reserve_network() -> tuple[int, socket.socket]:
    """Chooses the second byte of this run's loopback addresses; returns it with a socket that reserves it.

    The socket stays open for the whole run. Otherwise another run could choose the same byte while some of
    the addresses happen to be free.
    """
    for _ in range(200):
        network = random.SystemRandom().randrange(16, 250)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"127.{network}.255.1", MEMBERSHIP_PORT))
            return network, reservation
        except OSError:
            reservation.close()
    raise ScenarioError("no free network in the loopback range")


def run_scenario(
    scenario: Scenario,
    seed: int,
    progress: Callable[[str], None] | None = None,
    keep_folder: Path | None = None,
) -> dict[str, Any]:
    """Runs a scenario to its end and returns the result. Raises ScenarioError if it cannot be run.

    The files of the nodes go to `keep_folder`, or else to a temporary folder that is removed afterwards.
    """
    # In memory if possible, since nodes block while they rename files on a slow disk.
    memory = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
    folder = keep_folder or Path(tempfile.mkdtemp(prefix="thornladder-rig-", dir=memory))
    scenario_run = ScenarioRun(scenario, seed, folder, progress)
    try:
        return anyio.run(scenario_run.run, backend_options={"use_uvloop": True})
    except BaseExceptionGroup as group:
        scenario_errors = group.subgroup(ScenarioError)
        if scenario_errors is None:
            raise
        error = scenario_errors
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None
    finally:
        if keep_folder is None:
            shutil.rmtree(folder, ignore_errors=True)
