"""Puts a node together and runs it until it is told to end."""

from __future__ import annotations

import signal
import socket
from dataclasses import fields, replace
from typing import Any

import anyio
from anyio.abc import TaskStatus

from thornladder import settings
from thornladder.admin.server import Admin
from thornladder.backends.pool import Pool
from thornladder.backends.pushes import Pushes
from thornladder.clients.connection import Desk
from thornladder.clients.front import Front
from thornladder.discovery.watch import Watch
from thornladder.fields import Malformed
from thornladder.handover import Marks
from thornladder.host import Clock, NodeHost
from thornladder.maintenance import Maintenance
from thornladder.messages import ListAnswer
from thornladder.operations import Operations
from thornladder.settings import Config
from thornladder.streams import Held
from thornladder.tasks import Tasks

SWEEP = 0.25  # seconds between looks at connections: an eighth of the shortest time that one is given
SPARE = 24  # descriptors for all but connections of clients and to backends: a dozen, and as many to spare
LARGE_BODIES = 16  # of the memory for large answers: each is there up to three times while it is put together
CLIENTS = 0.6  # of the rest are for clients: an invocation holds one, and seldom more than one to a backend


async def run(config: Config, known: ListAnswer, log: Any, path: str = "") -> None:
    """`path` names the file that the configuration came from, to be read again on SIGHUP."""
    clock = Clock()
    listener = _listener(config.listen)
    second = _listener(config.admin) if config.admin else None
    kept = SPARE + (Admin.DESCRIPTORS if second else 0)
    sockets = max(config.sockets - kept, 8)
    marks = Marks(config.folder, config.name)
    clients = round(CLIENTS * sockets)
    async with anyio.create_task_group() as group:
        tasks = Tasks(group, log)
        host = NodeHost(clock, tasks, log, Maintenance(marks.load()))
        transport = config.transport
        pool = Pool(sockets - clients, transport.idle_close, transport.connect_time_out, clock)
        held = Held(max(config.memory // LARGE_BODIES, 2**20))
        reports = config.decisions["limits"].asks > 0.0
        pushes = Pushes(pool, transport.drain_grace, held, tasks, host, clock, log, reports)
        watch = Watch(config.discovery, known.version, tasks, host.list_told, log)
        host.start(pushes, watch, known, config.seed, config.list_is_told, config.decisions)
        desk = Desk(host, host.node.offerings, clock, held, lambda: host.lag.late, host.turns_away, log)
        front = Front(desk, clients, tasks)
        operations = Operations(host, front, marks.add, log)
        tasks.keep("a look at idle connections", _sweep, front, pushes)
        await group.start(_heed_signals, front, Reload(path, config, watch, log), tasks, log)
        tasks.keep("accepting", front.run, listener)
        if second:
            tasks.keep("taking operators' calls", Admin(operations, tasks, log).run, second)
        log.info(
            "serving", name=config.name, listen=list(listener.getsockname()), backends=len(known.entries),
            cores=config.cores, sockets=config.sockets, admin=list(second.getsockname()) if second else None,
        )  # fmt: skip


def _listener(address: settings.Address) -> socket.socket:
    listener = socket.create_server(address, backlog=Front.BACKLOG)
    listener.setblocking(False)
    return listener


async def _sweep(front: Front, pushes: Pushes) -> None:
    while True:
        await anyio.sleep(SWEEP)
        front.sweep()
        pushes.forget()
        await pushes.pool.sweep()


class Reload:
    """Reads the configuration again. Where discovery is can change while the node runs, nothing else."""

    def __init__(self, path: str, config: Config, watch: Watch, log: Any) -> None:
        self.path, self.config, self.watch, self.log = path, config, watch, log

    def __call__(self) -> None:
        try:
            config = settings.load(self.path)
        except Malformed as error:
            self.log.warning("the new configuration is bad, the old one stays", error=str(error))
            return
        self.watch.move(config.discovery)
        # The list, the seed and the name are for a start alone.
        told = replace(config, known=self.config.known, seed=self.config.seed, name=self.config.name)
        names = {each.name for each in fields(Config)} - {"discovery", "admin", "inherited", "folder"}
        later = sorted(name for name in names if getattr(told, name) != getattr(self.config, name))
        self.log.info("configuration read again", discovery=list(config.discovery), at_restart=later)


async def _heed_signals(
    front: Front, reload: Reload, tasks: Tasks, log: Any, *, task_status: TaskStatus
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
                log.info("leaving", signal=number.name)
                tasks.start("leaving", _leave, front, tasks, log)


async def _leave(front: Front, tasks: Tasks, log: Any) -> None:
    try:
        await front.leave()
        log.info("left")
    finally:
        tasks.end()
