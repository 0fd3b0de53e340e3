"""Assembles the parts of a node and runs them until the process is told to exit."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import suppress
from dataclasses import fields, replace
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from thornladder import settings
from thornladder.fields import MalformedError
from thornladder.node import kernel_buffers, streams
from thornladder.node.admin.server import AdminServer
from thornladder.node.backends.pool import Pool
from thornladder.node.backends.pushes import PushDispatcher
from thornladder.node.clients.front import Front
from thornladder.node.clients.server_state import ServerState
from thornladder.node.companion import NodeContext, NodeExtension
from thornladder.node.discovery.watch import Watch
from thornladder.node.handover import (
    DepartureStore,
    LearnedState,
    LearnedStateStore,
    MaintenanceStore,
    Phase,
    ProcessRegistry,
    ProcessStatus,
    choose_state_owner,
)
from thornladder.node.host import Clock, NodeHost
from thornladder.node.maintenance import Maintenance
from thornladder.node.memory.budget import MemoryBudget
from thornladder.node.memory.monitor import MemoryLimits, MemoryMonitor
from thornladder.node.memory.plan import MemoryPlan
from thornladder.node.memory.usage import resident_bytes
from thornladder.node.messages import DiscoveryResponse
from thornladder.node.operations import Operations
from thornladder.node.request_ids import SharedIds
from thornladder.node.state_files import Deployment, state_files, state_path
from thornladder.node.tasks import Tasks
from thornladder.node.termination import Termination, handle_signals
from thornladder.settings import Config

# Between sweeps of the connections. A client may take 2.6 s to send a request and must be closed within 3 s.
SWEEP_SECONDS = 0.15
RESERVED_DESCRIPTORS = 24  # a dozen for other things than client and backend connections, and a dozen spare
CLIENT_POOL_SHARE = 1.0 / 3.0  # of all descriptors: maximum connections on which clients send invocations
# Client connections' share of the descriptors that are not reserved. An invocation holds one client
# connection and seldom more than one backend connection.
CLIENT_SHARE = 0.6


async def run(
    config: Config,
    restored_list: DiscoveryResponse,
    log: Any,
    path: str = "",
    extensions: Sequence[NodeExtension] = (),
    end_process: Callable[[], None] | None = None,
) -> None:
    """Runs a node until it has drained after SIGTERM or SIGINT; then calls `end_process`, if given.

    `restored_list`: the endpoint list of the configuration file, used until discovery answers. `path`: the
    configuration file, read again on SIGHUP. Raises OSError if it cannot listen on a configured address.
    """
    clock = Clock()
    # First what may fail: once the clients' address is open, the kernel takes connections for this process.
    admin_listener = _create_listener(config.admin) if config.admin else None
    if config.inherited is None:
        listener = _create_listener(config.listen)
    else:
        listener = socket.socket(fileno=config.inherited)
        listener.setblocking(False)
    kernel_buffers.limit_listener(listener)
    reserved = (
        RESERVED_DESCRIPTORS
        + (AdminServer.MAX_DESCRIPTORS if admin_listener else 0)
        + sum(extension.descriptors for extension in extensions)
    )
    memory_plan = MemoryPlan(config.memory, resident_bytes(), len(restored_list.entries))
    if config.inherited is None:
        listener.listen(memory_plan.queued_connections(Front.BACKLOG))
    max_connections = memory_plan.max_connections(max(config.sockets - reserved, 8))
    max_clients = round(CLIENT_SHARE * max_connections)
    async with anyio.create_task_group() as group:
        tasks = Tasks(group, log)
        handover = Handover(config, log)
        host = NodeHost(clock, tasks, log, handover.join(clock()))
        if config.inherited is not None:
            host.request_ids.shared = handover.shared_ids()
        transport = config.transport
        pool = Pool(
            max_connections - max_clients, transport.backend_idle_timeout, transport.connect_timeout, clock
        )
        memory_budget = MemoryBudget(memory_plan.message_bytes(max_connections))
        request_load_reports = config.decisions["limits"].probes_per_invocation > 0.0
        pushes = PushDispatcher(
            pool,
            transport.drain_grace,
            transport.soft_removal,
            memory_budget,
            tasks,
            host,
            clock,
            log,
            request_load_reports,
        )
        watch = Watch(
            config.discovery,
            restored_list.version,
            tasks,
            host.on_list_answer,
            log,
            list_pushed=config.list_is_told,
        )
        host.start(
            pushes,
            watch,
            restored_list,
            config.seed,
            config.list_is_told,
            config.decisions,
            handover.learned.limit_per_backend,
        )
        handler, shed_policy = host, host.shed_retry_after
        for extension in extensions:
            handler, shed_policy = extension.wrap(handler, shed_policy)
        server_state = ServerState(
            handler, host.node.offerings, clock, memory_budget, lambda: host.lag.is_late, shed_policy, log,
            max(min(round(CLIENT_POOL_SHARE * config.sockets), max_clients), 4),
        )  # fmt: skip
        server_state.is_overloaded = lambda: host.lag.is_overloaded
        front = Front(server_state, max_clients, tasks, config.inherited is not None)
        memory = MemoryMonitor(
            MemoryLimits(config.memory, memory_plan.at_rest), memory_budget, handover.own_files, clock, log
        )
        memory.sockets, memory.relieve = partial(_open_sockets, front, pool), front.memory_relief.relieve
        memory.queued_count = partial(streams.queued_connections, listener)
        memory.socket_count = lambda: front.connection_count + pool.open_connections
        server_state.memory_level, server_state.refresh_memory = lambda: memory.level, memory.refresh
        extra_endpoints = {
            path: endpoint
            for extension in extensions
            for path, endpoint in extension.admin_endpoints().items()
        }
        operations = Operations(host, front, memory, handover.maintenance_store, log, extra_endpoints)
        tasks.supervise("the idle connection sweep", _sweep, front, pushes)
        tasks.supervise("the handover", handover.run, host, front, pool, memory, memory_plan)
        tasks.supervise("the memory monitor", memory.run)
        context = NodeContext(
            config.name, config.seed, config.folder, config.decisions["nodes"], config.admin, tasks, log,
            partial(handover.set_node_count, host), lambda: reload.config.raw["settings"],
        )  # fmt: skip
        reload = ConfigReloader(path, config, ReloadTargets(host, server_state, pushes, watch, handover), log)
        for extension in extensions:
            extension.start(context)
        termination = Termination(
            front, host, partial(handover.announce_leaving, front), tasks, log, extensions, end_process
        )
        await group.start(handle_signals, termination, reload, log)
        tasks.start("opening the listener", _start_accepting, front, host, handover, tasks, listener)
        if admin_listener:
            admin = AdminServer(
                operations, tasks, log, {path: endpoint.method for path, endpoint in extra_endpoints.items()}
            )
            tasks.supervise("the admin server", admin.run, admin_listener)
        log.info(
            "serving", name=config.name, listen=list(listener.getsockname()),
            backends=len(restored_list.entries), cores=config.cores, sockets=config.sockets,
            admin=list(admin_listener.getsockname()) if admin_listener else None,
        )  # fmt: skip


def _open_sockets(front: Front, pool: Pool) -> Iterator[socket.socket]:
    """The sockets of all connections, to clients and backends, that are not being closed."""
    for connection in (*front.connections, *pool.connections):
        with suppress(Exception):
            yield streams.transport_socket(connection.stream)


def _create_listener(address: settings.Address) -> socket.socket:
    listener = socket.create_server(address, backlog=Front.BACKLOG)
    listener.setblocking(False)
    return listener


async def _start_accepting(
    front: Front, host: NodeHost, handover: Handover, tasks: Tasks, listener: socket.socket
) -> None:
    """Starts to accept clients; waits for the endpoint list first if another process of the node runs."""
    while handover.other_processes and not host.list_known and not front.server_state.draining:
        await anyio.sleep(0.02)
    if front.server_state.draining and front.listener_is_shared and front.server_state.has_successor:
        return
    # One's own socket has queued connections ever since it was opened.
    if not front.server_state.draining:
        handover.phase = Phase.SERVING
        handover.sync(host)
    tasks.supervise("accepting", front.run, listener)


class Handover:
    """Coordinates this process with others of its node, as during an upgrade without downtime.

    While several run, they divide the node's limits. They share learned state and maintenance state through
    files.
    """

    # Between reads of the other processes' state. Maintenance calls that another process received take effect
    # here with this delay, a fifth of the time that an admin call may take.
    SYNC_SECONDS = 0.2

    def __init__(self, config: Config, log: Any) -> None:
        self.decisions, self.log = config.decisions, log
        self.folder, self.name = config.folder, config.name
        self.listen = "{}:{}".format(*config.listen)
        deployment = Deployment.of(config.decisions, self.listen)
        self.maintenance_store = MaintenanceStore(config.folder, config.name, deployment)
        self.learned_store, self.learned = (
            LearnedStateStore(config.folder, config.name, deployment),
            LearnedState({}),
        )
        self.departure_store = DepartureStore(config.folder, config.name, deployment)
        self.registry = ProcessRegistry(config.folder, config.name)
        self.ids_path = state_path(config.folder, config.name, "ids")
        self.phase = Phase.STARTING
        self.other_processes: list[ProcessStatus] = []
        self.descriptors_used = 0
        self.failing_writes: set[str] = set()  # log events of those that failed at the last try
        # Limits of the whole node: client connections, backend connections.
        self.node_limits: tuple[int, int] | None = None
        self.node_count: int | None = None  # reported by an extension; None: as in the settings
        # Processes of the node that serve or drain, this one included even while it starts.
        self.active_count = 1

    def join(self, now: float) -> Maintenance:
        """Registers this process and returns the stored maintenance state; `now`: Unix time in seconds."""
        self.registry.owner = None
        self._announce()
        self.other_processes = self.registry.others()
        self._adopt_state_files()
        maintenance = Maintenance(self.maintenance_store.load())
        self.learned = self.learned_store.load(now)
        maintenance.restore_ramp_starts(self.learned.ramp_starts, now)
        self._keep_marks(maintenance)
        return maintenance

    def _adopt_state_files(self) -> None:
        """Chooses the state files that are this node's, and tells the other processes."""
        deployment = self.maintenance_store.file.deployment
        choice = choose_state_owner(self.folder, self.name, deployment, self.other_processes)
        if choice.passed_over:
            self.log.warning("ignoring the state files of another deployment in this folder")
        self.registry.owner = choice.owner
        for store in (self.maintenance_store, self.learned_store, self.departure_store):
            store.file.adopt(choice.owner)
        self._announce()

    def _keep_marks(self, maintenance: Maintenance) -> None:
        """Keeps what is out of service on the disk under the settings in use; `sync` tries again."""
        owed = {id: mark for id, mark in maintenance.marks.items() if mark.out_of_service}
        keep = partial(self.maintenance_store.keep, owed)
        self._try_write(keep, "the maintenance state could not be written")

    def shared_ids(self) -> SharedIds | None:
        """Ids of requests that are open in any process of this node; None where the folder has no room."""
        try:
            return SharedIds(self.ids_path, self.log)
        except OSError as error:
            self.log.warning("the ids of requests cannot be shared", error=repr(error))
            return None

    def _announce(self) -> None:
        """Tells the other processes about this one; where that fails they see what it told before."""
        announce = partial(self.registry.announce, self.phase, self.descriptors_used)
        self._try_write(announce, "the state of this process could not be written")

    def _try_write(self, write: Callable[[], None], event: str) -> None:
        """Writes to the folder; `sync` tries again. Logs `event` for the first of failures in a row."""
        try:
            write()
        except BlockingIOError:
            return  # another process of the node writes at this moment
        except OSError as error:
            if event not in self.failing_writes:
                self.log.warning(event, error=repr(error))
            self.failing_writes.add(event)
        else:
            self.failing_writes.discard(event)

    async def run(
        self,
        host: NodeHost,
        front: Front,
        pool: Pool,
        memory: MemoryMonitor,
        memory_plan: MemoryPlan,
    ) -> None:
        """Synchronizes with the other processes and divides the limits, for as long as the node runs."""
        # Recorded once: this task restarts after an error, and the current limits may be divided by then.
        self.node_limits = self.node_limits or (front.max_connections, pool.max_connections)
        max_clients, max_backends = self.node_limits
        while True:
            self.descriptors_used = front.connection_count + pool.open_connections
            self.sync(host)
            # The processes of a node share its descriptors and memory. Only free descriptors are divided: if
            # all were, the serving process would have to close connections and leave others unread, while a
            # starting one uses next to none.
            process_count = 1 + len(self.other_processes)
            used_by_others = sum(other.descriptors + RESERVED_DESCRIPTORS for other in self.other_processes)
            free = (
                max(max_clients + max_backends - self.descriptors_used - used_by_others, 0) // process_count
            )
            front.max_connections = min(
                max_clients, max(front.connection_count + round(CLIENT_SHARE * free), 4)
            )
            pool.max_connections = min(
                max_backends, max(pool.open_connections + round((1.0 - CLIENT_SHARE) * free), 4)
            )
            backends = len(host.maintenance.entries)
            memory.limits = MemoryLimits(memory_plan.limit // process_count, memory_plan.at_rest)
            memory.budget.limit = memory_plan.message_bytes(
                max_clients + max_backends, process_count, backends
            )
            await anyio.sleep(self.SYNC_SECONDS)

    def own_files(self) -> Iterable[Path]:
        """The files of this node in its private folder."""
        return state_files(self.folder, self.name)

    def announce_leaving(self, front: Front) -> None:
        """Marks this process as leaving, and records whether another process of the node serves on.

        It tells the others before it looks at them: of two that leave together at least one knows of both.
        """
        self.phase = Phase.LEAVING
        self._announce()
        front.server_state.has_successor = front.listener_is_shared and any(
            other.phase is Phase.SERVING for other in self.registry.others()
        )

    def update_settings(self, decisions: dict[str, Any], host: NodeHost) -> None:
        """Applies new decision settings."""
        self.decisions = decisions
        # Before the settings are in use: a process that starts after a crash knows its state by the record.
        deployment = Deployment.of(decisions, self.listen)
        self.maintenance_store.file.deployment = self.departure_store.file.deployment = deployment
        self.learned_store.set_deployment(deployment)
        self._keep_marks(host.maintenance)
        self._save_learned(host)
        self._apply_settings(host)

    def set_node_count(self, host: NodeHost, nodes: int) -> None:
        """Overrides the number of nodes that the settings give."""
        if nodes != self.node_count:
            self.node_count = nodes
            self._apply_settings(host)

    def _apply_settings(self, host: NodeHost) -> None:
        overrides = {} if self.node_count is None else {"nodes": self.node_count}
        host.update_settings({**self.decisions, **overrides}, self.active_count)

    def sync(self, host: NodeHost) -> None:
        """Announces this process and applies changes of the others' state and of the maintenance marks."""
        self._announce()
        other_processes = self.registry.others()
        phases = [other.phase for other in other_processes]
        if phases != [other.phase for other in self.other_processes]:
            self.log.info("other processes of this node changed", phases=[phase.value for phase in phases])
        self.other_processes = other_processes
        active_count = 1 + sum(phase is not Phase.STARTING for phase in phases)
        if active_count != self.active_count:
            self.active_count = active_count
            self._apply_settings(host)
        host.apply_maintenance(self.maintenance_store.load_if_changed())
        self._keep_marks(host.maintenance)
        self._share_departures(host)
        self._save_learned(host)

    def _share_departures(self, host: NodeHost) -> None:
        """Tells the other processes which backends leave; learns it from them until discovery answers."""
        if not host.discovery_answered:
            host.take_departures(self.departure_store.load_if_changed())
            return
        save = partial(self.departure_store.save, host.maintenance.departures, host.clock())
        self._try_write(save, "the backends that leave could not be written")

    def _save_learned(self, host: NodeHost) -> None:
        """Stores what this process has learned, if it serves."""
        if self.phase is not Phase.SERVING:
            return
        # A limit learned beside another process is not saved: the two share a CPU core, so both lag.
        limit = host.limit_per_backend if not self.other_processes else self.learned.limit_per_backend
        self.learned = LearnedState(host.ramp_starts, limit)
        save = partial(self.learned_store.save, self.learned, host.clock())
        self._try_write(save, "the learned state could not be written")


async def _sweep(front: Front, pushes: PushDispatcher) -> None:
    """Enforces connection timeouts and forgets departed backends periodically until it is cancelled."""
    while True:
        await anyio.sleep(SWEEP_SECONDS)
        front.sweep()
        pushes.forget_departed()
        await pushes.pool.close_expired()


class ReloadTargets(NamedTuple):
    """The parts of a node that a new configuration changes."""

    host: NodeHost
    server_state: ServerState
    pushes: PushDispatcher
    watch: Watch
    handover: Handover


class ConfigReloader:
    """Reads the configuration file again and applies its `settings` object and the address of discovery.

    Changes of anything else need a restart. If the file is malformed, logs that and changes nothing.
    """

    def __init__(self, path: str, config: Config, targets: ReloadTargets, log: Any) -> None:
        self.path, self.config, self.targets, self.log = path, config, targets, log

    def __call__(self) -> None:
        try:
            config = settings.load(self.path)
            settings.check_reload(self.config.raw, config.raw)
        except MalformedError as error:
            self.log.warning("the new configuration is bad, the old one stays", error=str(error))
            return
        if config.raw["settings"] != self.config.raw["settings"]:
            self._apply_settings(config)
        self.targets.watch.move(config.discovery)
        # The endpoint list, the seed and the name are used only at the start: changes are not reported.
        compared = replace(config, known=self.config.known, seed=self.config.seed, name=self.config.name)
        reloaded = {"discovery", "raw", "decisions", "transport", "admin", "inherited", "folder"}
        names = {field.name for field in fields(Config)} - reloaded
        needs_restart = sorted(
            name for name in names if getattr(compared, name) != getattr(self.config, name)
        )
        self.log.info("configuration reloaded", discovery=list(config.discovery), at_restart=needs_restart)
        self.config = replace(self.config, raw=config.raw)

    def _apply_settings(self, config: Config) -> None:
        host, server_state, pushes, _, handover = self.targets
        handover.update_settings(config.decisions, host)
        server_state.set_offerings(host.node.offerings)
        pushes.drain_grace, pushes.soft_removal = config.transport.drain_grace, config.transport.soft_removal
        pushes.pool.set_timeouts(config.transport.backend_idle_timeout, config.transport.connect_timeout)
        self.log.info("settings applied", offerings=sorted(host.node.offerings))
