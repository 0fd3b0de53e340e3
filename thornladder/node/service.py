"""Puts a node together and runs it until it is told to end."""

from __future__ import annotations

import signal
import socket
from collections.abc import Sequence
from dataclasses import fields, replace
from functools import partial
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskStatus

from thornladder import settings
from thornladder.fields import MalformedError
from thornladder.node.admin.server import AdminServer
from thornladder.node.backends.pool import Pool
from thornladder.node.backends.pushes import PushDispatcher
from thornladder.node.clients.connection import ServerState
from thornladder.node.clients.front import Front
from thornladder.node.companion import NodeContext, NodeExtension
from thornladder.node.discovery.watch import Watch
from thornladder.node.handover import Deployment, Learned, Lessons, Marks, Phase, Places, Seen
from thornladder.node.host import Clock, NodeHost
from thornladder.node.maintenance import Maintenance
from thornladder.node.messages import DiscoveryResponse
from thornladder.node.operations import Operations
from thornladder.node.streams import BodyBudget
from thornladder.node.tasks import Tasks
from thornladder.settings import Config

LAST_WORD = 0.2  # seconds for a part beside the node to tell others: well within what an end may take
SWEEP = 0.15  # seconds between looks at connections: a trickle that may take 2.6 s ends within 3
SPARE = 24  # descriptors for all but connections of clients and to backends: a dozen, and as many to spare
LARGE_BODIES = 4  # of the memory for large bodies on their way, a fixed cost each (`flow.BODY_PIPE_BYTES`)
ASKING = 1.0 / 3.0  # of all descriptors: as many connections clients have at most to ask on
CLIENTS = 0.6  # of the rest are for clients: an invocation holds one, and seldom more than one to a backend


async def run(
    config: Config,
    known: DiscoveryResponse,
    log: Any,
    path: str = "",
    extensions: Sequence[NodeExtension] = (),
) -> None:
    """`path` names the file that the configuration came from, to be read again on SIGHUP."""
    clock = Clock()
    if config.inherited is None:
        listener = _listener(config.listen)
    else:
        listener = socket.socket(fileno=config.inherited)
        listener.setblocking(False)
    second = _listener(config.admin) if config.admin else None
    kept = SPARE + (AdminServer.DESCRIPTORS if second else 0) + sum(each.descriptors for each in extensions)
    sockets = max(config.sockets - kept, 8)
    clients = round(CLIENTS * sockets)
    async with anyio.create_task_group() as group:
        tasks = Tasks(group, log)
        handover = Handover(config, log)
        host = NodeHost(clock, tasks, log, handover.begin(clock()))
        transport = config.transport
        pool = Pool(sockets - clients, transport.backend_idle_timeout, transport.connect_timeout, clock)
        held = BodyBudget(max(config.memory // LARGE_BODIES, 2**20))
        reports = config.decisions["limits"].probes_per_invocation > 0.0
        pushes = PushDispatcher(
            pool, transport.drain_grace, transport.soft_removal, held, tasks, host, clock, log, reports
        )
        watch = Watch(
            config.discovery, known.version, tasks, host.on_list_answer, log, list_pushed=config.list_is_told
        )
        host.start(
            pushes, watch, known, config.seed, config.list_is_told, config.decisions, handover.learned.room
        )
        handler, shed_policy = host, host.shed_retry_after
        for each in extensions:
            handler, shed_policy = each.wrap(handler, shed_policy)
        server_state = ServerState(
            handler, host.node.offerings, clock, held, lambda: host.lag.is_late, shed_policy, log
        )
        asking = max(round(ASKING * config.sockets), 4)
        front = Front(server_state, clients, tasks, config.inherited is not None, asking)
        further = {path: call for each in extensions for path, call in each.admin_endpoints().items()}
        operations = Operations(host, front, handover.marks.add, log, further)
        tasks.supervise("a look at idle connections", _sweep, front, pushes)
        tasks.supervise("the handover", handover.run, host, front, pool, held)
        context = NodeContext(
            config.name, config.seed, config.folder, config.decisions["nodes"], config.admin, tasks, log,
            partial(handover.count, host), lambda: reload.config.raw["settings"],
        )  # fmt: skip
        reload = Reload(path, config, Parts(host, server_state, pushes, watch, handover), log)
        for each in extensions:
            each.start(context)
        await group.start(_heed_signals, front, reload, handover, tasks, log, extensions)
        tasks.start("opening the door", _open, front, host, handover, tasks, listener)
        if second:
            admin = AdminServer(operations, tasks, log, {path: call.method for path, call in further.items()})
            tasks.supervise("taking operators' calls", admin.run, second)
        log.info(
            "serving", name=config.name, listen=list(listener.getsockname()), backends=len(known.entries),
            cores=config.cores, sockets=config.sockets, admin=list(second.getsockname()) if second else None,
        )  # fmt: skip


def _listener(address: settings.Address) -> socket.socket:
    listener = socket.create_server(address, backlog=Front.BACKLOG)
    listener.setblocking(False)
    return listener


async def _open(
    front: Front, host: NodeHost, handover: Handover, tasks: Tasks, listener: socket.socket
) -> None:
    """Beside a process that serves, clients are taken only once this one knows what that one does."""
    while handover.beside and not host.list_known:
        await anyio.sleep(0.02)
    if front.server_state.draining:
        return
    handover.phase = Phase.SERVING
    handover.look(host)
    tasks.supervise("accepting", front.run, listener)


class Handover:
    """What this process shares with others of its node: limits while they live, and what has to go on."""

    LOOK = 0.2  # seconds between looks at the others and at what they wrote: a fifth of what a call may take

    def __init__(self, config: Config, log: Any) -> None:
        self.decisions, self.log = config.decisions, log
        deployment = Deployment.of(config.decisions)
        self.marks = Marks(config.folder, config.name, deployment)
        self.lessons, self.learned = Lessons(config.folder, config.name, deployment), Learned({})
        self.places = Places(config.folder, config.name)
        self.phase = Phase.STARTING
        self.beside: list[Seen] = []  # other processes of this node
        self.used = 0  # descriptors
        self.whole: tuple[int, int, int] | None = None  # of clients, to backends; bytes: of the whole node
        self.nodes: int | None = None  # as counted; None: as the settings say
        self.serving = 1  # processes of it that take clients or have some, this one among them

    def begin(self, now: float) -> Maintenance:
        """Takes a place, and what stands written."""
        self.places.take(self.phase, self.used)
        self.beside = self.places.others()
        maintenance = Maintenance(self.marks.load())
        self.learned = self.lessons.load(now)
        maintenance.warm_from(self.learned.starts, now)
        if self.marks.sheet.foreign or self.lessons.sheet.foreign:
            self.log.warning("the folder holds another deployment's files, which are not used")
        return maintenance

    async def run(self, host: NodeHost, front: Front, pool: Pool, held: BodyBudget) -> None:
        # As it was at the start: after an error this begins anew.
        self.whole = self.whole or (front.max_connections, pool.max_connections, held.limit)
        clients, backends, memory = self.whole
        while True:
            self.used = front.connection_count + pool.open_connections
            self.look(host)
            # Descriptors and memory are one node's, whoever serves. Guards against connections closed, and
            # others left unread, when one that serves is cut to a half and the other holds next to nothing.
            parts = 1 + len(self.beside)
            others = sum(seen.used + SPARE for seen in self.beside)
            spare = max(clients + backends - self.used - others, 0) // parts
            front.max_connections = min(clients, max(front.connection_count + round(CLIENTS * spare), 4))
            pool.max_connections = min(
                backends, max(pool.open_connections + round((1.0 - CLIENTS) * spare), 4)
            )
            held.limit = memory // parts
            await anyio.sleep(self.LOOK)

    def leave(self, front: Front) -> None:
        """Who else serves as this one leaves decides whether the node is still ready."""
        self.phase = Phase.LEAVING
        front.server_state.has_successor = front.listener_is_shared and any(
            seen.phase is Phase.SERVING for seen in self.places.others()
        )

    def retune(self, decisions: dict[str, Any], host: NodeHost) -> None:
        self.decisions = decisions
        # What is written from now on is under these; what stands written was this node's and goes on.
        self.marks.sheet.deployment = self.lessons.sheet.deployment = Deployment.of(decisions)
        self._settle(host)

    def count(self, host: NodeHost, nodes: int) -> None:
        """From now on this is one of so many nodes, whatever the settings say."""
        if nodes != self.nodes:
            self.nodes = nodes
            self._settle(host)

    def _settle(self, host: NodeHost) -> None:
        counted = {} if self.nodes is None else {"nodes": self.nodes}
        host.settle({**self.decisions, **counted}, self.serving)

    def look(self, host: NodeHost) -> None:
        self.places.take(self.phase, self.used)
        beside = self.places.others()
        phases = [seen.phase for seen in beside]
        if phases != [seen.phase for seen in self.beside]:
            self.log.info("beside other processes", phases=[phase.value for phase in phases])
        self.beside = beside
        serving = 1 + sum(phase is not Phase.STARTING for phase in phases)
        if serving != self.serving:
            self.serving = serving
            self._settle(host)
        host.mark(self.marks.news())
        if self.phase is Phase.SERVING:
            # What it learns of the room beside another says little: the two share a core, and are late.
            room = host.room if not beside else self.learned.room
            self.learned = Learned(host.starts, room)
            try:
                self.lessons.keep(self.learned, host.clock())
            except OSError as error:
                self.log.warning("what was learned could not be written down", error=repr(error))


async def _sweep(front: Front, pushes: PushDispatcher) -> None:
    while True:
        await anyio.sleep(SWEEP)
        front.sweep()
        pushes.forget_departed()
        await pushes.pool.close_expired()


class Parts(NamedTuple):
    """What a new configuration concerns."""

    host: NodeHost
    server_state: ServerState
    pushes: PushDispatcher
    watch: Watch
    handover: Handover


class Reload:
    """Reads the configuration again: where discovery is and the settings can change while the node runs."""

    def __init__(self, path: str, config: Config, parts: Parts, log: Any) -> None:
        self.path, self.config, self.parts, self.log = path, config, parts, log

    def __call__(self) -> None:
        try:
            config = settings.load(self.path)
            if name := settings.first_missing_key(self.config.raw, config.raw):
                raise MalformedError(f"{name} is missing")
        except MalformedError as error:
            self.log.warning("the new configuration is bad, the old one stays", error=str(error))
            return
        if config.raw["settings"] != self.config.raw["settings"]:
            self._retune(config)
        self.parts.watch.move(config.discovery)
        # The list, the seed and the name are for a start alone.
        told = replace(config, known=self.config.known, seed=self.config.seed, name=self.config.name)
        taken = {"discovery", "raw", "decisions", "transport", "admin", "inherited", "folder"}
        names = {each.name for each in fields(Config)} - taken
        later = sorted(name for name in names if getattr(told, name) != getattr(self.config, name))
        self.log.info("configuration read again", discovery=list(config.discovery), at_restart=later)
        self.config = replace(self.config, raw=config.raw)

    def _retune(self, config: Config) -> None:
        host, server_state, pushes, _, handover = self.parts
        handover.retune(config.decisions, host)
        server_state.set_offerings(host.node.offerings)
        pushes.drain_grace, pushes.soft_removal = config.transport.drain_grace, config.transport.soft_removal
        pushes.pool.set_timeouts(config.transport.backend_idle_timeout, config.transport.connect_timeout)
        self.log.info("settings taken", offerings=sorted(host.node.offerings))


async def _heed_signals(
    front: Front,
    reload: Reload,
    handover: Handover,
    tasks: Tasks,
    log: Any,
    extensions: Sequence[NodeExtension],
    *,
    task_status: TaskStatus,
) -> None:
    leaving = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        task_status.started()
        async for number in signals:
            if number is signal.SIGHUP:
                try:
                    reload()
                except Exception:
                    log.exception("reading the configuration again failed")
            elif not leaving:
                leaving = True
                handover.leave(front)
                log.info("leaving", signal=number.name)
                tasks.start("leaving", _leave, front, tasks, log, extensions)


async def _leave(front: Front, tasks: Tasks, log: Any, extensions: Sequence[NodeExtension]) -> None:
    try:
        await front.drain()
        for each in extensions:
            with anyio.move_on_after(LAST_WORD):
                await each.stop(front.server_state.has_successor)
        log.info("left")
    finally:
        tasks.cancel_all()
