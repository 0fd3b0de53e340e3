"""Keeps one node running, and running what the newest document says. One beside each node, on its machine.

It asks other keepers too, so that a node that was away, or that no driver reaches, still has within seconds
what the fleet has. It keeps what it holds in its folder; with an empty one it asks before it starts the node.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import msgspec

from thornladder import toml
from thornladder.asking import fetch
from thornladder.children import signal_on_parent_exit
from thornladder.fields import MalformedError
from thornladder.membership.wire import split_address
from thornladder.node.admin.calls import AdminRequest, AdminResponse, Endpoint, error_response
from thornladder.node.admin.server import AdminServer
from thornladder.node.companion import ExtensionEndpoint
from thornladder.node.handover import StateFile
from thornladder.node.tasks import Tasks
from thornladder.rollout.core import Seen
from thornladder.rollout.counters import settings_digest
from thornladder.rollout.orders import MOST_DOCUMENT, Claim, Document, Held, Variant, merged

ASK = 2.0  # seconds between questions to another keeper: one away is back in step within 10
AT_START = 3.0  # seconds for the others to answer before a node is started with what is held
LOOK = 0.5  # seconds between looks at the node
TAKEN = 5.0  # seconds for a running node to take settings: it reads a file
PATIENCE = 1.0  # seconds for an answer on the machine itself
BACK_OFF = (0.5, 10.0)  # seconds until a node that ended by itself is started again: doubled, and at most
LASTED = 30.0  # seconds that it ran, from which on the wait begins anew
DEFAULT_NODE_COMMAND = (sys.executable, "-B", "-m", "thornladder.cli", "node", "--counters")
FIRST = Variant("as the keepers' files say")


class KeeperConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: str
    listen: str  # HOST:PORT of the keeper
    peers: tuple[str, ...] = ()  # other keepers'
    folder: str  # of its own, kept from start to start
    config: str  # the node's file; settings are merged into a copy of it
    admin: tuple[str, str]  # second addresses of the node's processes: two, for one beside the other
    program: tuple[str, ...] = ()  # words of the node's command; none: this program
    beside: bool = True  # a new program starts beside the old one, on a socket that the keeper holds
    ready: float = 30.0  # seconds for a process to serve
    leave: float = 10.0  # seconds for one to end in order


def load(path: Path) -> KeeperConfig:
    """Raises MalformedError with one line that names the field."""
    config = toml.read(path, KeeperConfig)
    try:
        node = json.loads(Path(config.config).read_bytes())
        if not isinstance(node.get("settings"), dict):
            raise MalformedError("config: no settings in that file")
    except OSError as error:
        raise MalformedError(f"{error.filename} cannot be read: {error.strerror}") from None
    except (ValueError, AttributeError) as error:
        raise MalformedError(str(error).replace("\n", " ")) from None
    for address in (config.listen, *config.peers, *config.admin):
        if split_address(address) is None:
            raise MalformedError(f"{address!r} is not HOST:PORT")
    return config


class Failed(Exception):
    """The node does not run what it should; the text says why."""


class Process:
    """One process of the node."""

    def __init__(self, popen: subprocess.Popen, admin: str, variant: Variant, digest: str) -> None:
        self.popen, self.admin, self.variant, self.digest = popen, admin, variant, digest
        self.began = time.monotonic()

    @property
    def ended(self) -> bool:
        return self.popen.poll() is not None


class Keeper:
    def __init__(self, config: KeeperConfig, log: Any) -> None:
        self.config, self.log = config, log
        self.folder = Path(config.folder)
        self.sheet = StateFile(config.folder, config.name, "orders")
        self.held = self._kept()
        self.process: Process | None = None
        self.refused: tuple[tuple[int, int], str] = ((0, 0), "")  # of which line, why
        self.crashes = 0
        self.wait = BACK_OFF[0]
        self.counters: dict[str, Any] | None = None
        self.counted = 0.0  # when those were had
        self.news = anyio.Event()
        self.listener: socket.socket | None = None
        self.ending = False

    # What it holds.

    def _kept(self) -> Held:
        told = self.sheet.read()
        try:
            return msgspec.convert(told["held"], Held) if told else Held()
        except (msgspec.ValidationError, KeyError):
            return Held()

    def _keep(self) -> None:
        """On the disk before it is answered: a grant holds through any death."""
        self.sheet.write({"held": msgspec.to_builtins(self.held)})
        with contextlib.suppress(OSError):
            descriptor = os.open(self.folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    @property
    def wanted(self) -> Variant:
        document = self.held.document
        if document is None:
            return FIRST
        return document.variants[document.lines.get(self.config.name, 0)]

    def seen(self) -> Seen:
        document, process = self.held.document, self.process
        running = -1
        if process is not None and not process.ended and self.counters is not None:
            variants = document.variants if document else [FIRST]
            line = document.lines.get(self.config.name, 0) if document else 0
            same = [k for k, each in enumerate(variants) if _same(each, process.variant)]
            running = line if line in same else same[0] if same else -1
        refused = self.refused[1] if self.refused[0] == self.held.order else ""
        return Seen(self.config.name, document, self.held.claim, running, refused, self.crashes,
                    (self.counters or {}).get("speaks", {}), self.counters,
                    round(time.monotonic() - self.counted, 2))  # fmt: skip

    # Calls.

    def __call__(self, call: AdminRequest) -> AdminResponse:
        if call.endpoint is Endpoint.EXTENSION:
            return self.admin_endpoints()[call.path].handler(call)
        return error_response(404, "no such call")

    def admin_endpoints(self) -> dict[str, ExtensionEndpoint]:
        return {"/state": ExtensionEndpoint(b"GET", self._state),
                "/claim": ExtensionEndpoint(b"POST", self._claim),
                "/order": ExtensionEndpoint(b"POST", self._order)}  # fmt: skip

    def _state(self, call: AdminRequest) -> AdminResponse:
        return AdminResponse(200, msgspec.to_builtins(self.seen()))

    def _claim(self, call: AdminRequest) -> AdminResponse:
        return self._taken(call.body, Claim, lambda claim: self.held.grant(claim))

    def _order(self, call: AdminRequest) -> AdminResponse:
        return self._taken(call.body, Document, lambda document: self.held.take(document))

    def _taken(self, body: bytes, kind: type, take: Any) -> AdminResponse:
        try:
            asked = msgspec.json.decode(body, type=kind)
        except (msgspec.MsgspecError, ValueError) as error:
            return error_response(400, str(error))
        before = self.held.order, self.held.claim
        if why := take(asked):
            return error_response(409, why)
        if (self.held.order, self.held.claim) != before:
            self._keep()
            if self.held.order != before[0]:
                self.log.info("an order was taken", order=self.held.order, by="a driver")
            self.news.set()
        return AdminResponse(200, {"order": self.held.order})

    # Its tasks.

    async def run(self) -> None:
        """Until SIGTERM; the node ends in order first."""
        config = self.config
        self.folder.mkdir(parents=True, exist_ok=True)
        door = socket.create_server(split_address(config.listen), backlog=64)
        door.setblocking(False)
        if config.beside:
            node = json.loads(Path(config.config).read_bytes())
            self.listener = socket.create_server(split_address(node["listen"]), backlog=1024)
        try:
            async with anyio.create_task_group() as group:
                tasks = Tasks(group, self.log)
                further = {path: each.method for path, each in self.admin_endpoints().items()}
                tasks.supervise(
                    "orders", AdminServer(self, tasks, self.log, further, MOST_DOCUMENT).run, door
                )
                with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                    tasks.start("keeping", self._keep_running, tasks)
                    async for _ in signals:
                        break
                self.ending = True
                with anyio.CancelScope(shield=True):
                    await self._end(self.process)
                tasks.cancel_all()
        finally:
            door.close()
            if self.process is not None and not self.process.ended:
                self.process.popen.kill()

    async def _keep_running(self, tasks: Tasks) -> None:
        with anyio.move_on_after(AT_START):
            async with anyio.create_task_group() as group:
                for peer in self.config.peers:
                    group.start_soon(self._ask, peer)
        tasks.supervise("asking others", self._ask_others)
        tasks.supervise("counters", self._count)
        while not self.ending:
            try:
                await self._settle()
            except Failed as error:
                self.refused = (self.held.order, str(error))
                self.log.warning("the node does not run what it should", why=str(error))
            if not self.news.is_set():
                with anyio.move_on_after(LOOK):
                    await self.news.wait()
            self.news = anyio.Event()

    async def _settle(self) -> None:
        """One look: what should run and does not is brought about, once for each order."""
        process, wanted = self.process, self.wanted
        if process is not None and process.ended:
            code = process.popen.wait()
            self.crashes += 1
            self.process, self.counters = None, None
            self.log.warning("the node ended", code=code, crashes=self.crashes, variant=process.variant.name)
            if time.monotonic() - process.began > LASTED:
                self.wait = BACK_OFF[0]
            with anyio.move_on_after(self.wait):
                await self.news.wait()  # an order may well be what helps
            self.wait = min(2.0 * self.wait, BACK_OFF[1])
            return
        if process is None:
            self.process = self._start(self.config.admin[0], wanted)
            await self._counted(self.process)
            return
        tried = self.refused[1] and self.refused[0] == self.held.order
        if _same(process.variant, wanted) or tried:
            return
        self.log.info("the node is told to change", variant=wanted.name, order=self.held.order)
        if process.variant.program == wanted.program:
            await self._retune(process, wanted)
        elif self.config.beside:
            await self._beside(process, wanted)
        else:
            await self._end(process)
            self.process, self.counters = None, None

    async def _retune(self, process: Process, wanted: Variant) -> None:
        settings = self._write(wanted)
        process.popen.send_signal(signal.SIGHUP)
        digest = settings_digest(settings)
        with anyio.move_on_after(TAKEN):
            while not process.ended:
                told = await self._fetch(process.admin, "/counters")
                if told is not None and told["settings"] == digest:
                    process.variant, process.digest = wanted, digest
                    self._note(told)
                    self.log.info("the node took its settings", variant=wanted.name)
                    return
                await anyio.sleep(0.1)
        if process.ended:
            return  # the next look sees to it
        self._write(process.variant)  # so that a start anew has what it runs
        raise Failed("it did not take the settings")

    async def _beside(self, old: Process, wanted: Variant) -> None:
        admin = next(each for each in self.config.admin if each != old.admin)
        new = self._start(admin, wanted)
        try:
            await self._counted(new)
        except Failed:
            new.popen.kill()
            new.popen.wait()
            self._write(old.variant)
            raise
        self.process = new
        self.log.info("the new program serves", variant=wanted.name)
        await self._end(old)

    async def _counted(self, process: Process) -> None:
        """Until it serves."""
        with anyio.move_on_after(self.config.ready):
            while not process.ended:
                status = await self._fetch(process.admin, "/status")
                told = await self._fetch(process.admin, "/counters") if status and status["ready"] else None
                if told is not None:
                    self._note(told)
                    return
                await anyio.sleep(0.1)
        if process is not self.process:
            words = f"ended with code {process.popen.poll()}" if process.ended else "was never ready"
            raise Failed(f"the new program {words}")
        if not process.ended:
            raise Failed(f"not ready after {self.config.ready:g} s")

    async def _end(self, process: Process | None) -> None:
        if process is None or process.ended:
            return
        process.popen.send_signal(signal.SIGCONT)
        process.popen.send_signal(signal.SIGTERM)
        with anyio.move_on_after(self.config.leave):
            while not process.ended:
                await anyio.sleep(0.05)
        if not process.ended:
            self.log.warning("the node did not end in order")
            process.popen.kill()
            process.popen.wait()

    def _write(self, variant: Variant) -> dict[str, Any]:
        """The node's file by this variant; its settings."""
        node = json.loads(Path(self.config.config).read_bytes())
        node["settings"] = merged(node["settings"], variant.patch)
        path = self.folder / "config.json"
        part = path.with_suffix(".part")
        part.write_text(json.dumps(node))
        part.replace(path)
        return node["settings"]

    def _start(self, admin: str, variant: Variant) -> Process:
        settings = self._write(variant)
        words = variant.program or self.config.program or DEFAULT_NODE_COMMAND
        environment = {**os.environ, "EDGE_CONFIG": str(self.folder / "config.json"),
                       "EDGE_ADMIN_ADDR": admin, "TMPDIR": str(self.folder)}  # fmt: skip
        kept: tuple[int, ...] = ()
        if self.listener is not None:
            kept = (self.listener.fileno(),)
            environment["EDGE_INHERITED_FD"] = str(kept[0])
        # A node that nobody keeps is not left behind: it ends in order, as on any SIGTERM.
        end = signal_on_parent_exit(signal.SIGTERM)
        try:
            popen = subprocess.Popen(words, env=environment, pass_fds=kept, preexec_fn=end)
        except OSError as error:
            raise Failed(f"{words[0]} cannot be started: {error.strerror}") from None
        (self.folder / "node.pid").write_text(str(popen.pid))
        self.log.info("the node was started", process=popen.pid, variant=variant.name, admin=admin)
        return Process(popen, admin, variant, settings_digest(settings))

    async def _count(self) -> None:
        while True:
            process = self.process
            if process is not None and not process.ended:
                told = await self._fetch(process.admin, "/counters")
                if told is not None and process is self.process:
                    self._note(told)
            await anyio.sleep(LOOK)

    def _note(self, told: dict[str, Any]) -> None:
        self.counters, self.counted = told, time.monotonic()

    async def _ask_others(self) -> None:
        while True:
            for peer in _in_turn(self.config):
                await anyio.sleep(ASK)
                await self._ask(peer)

    async def _ask(self, peer: str) -> None:
        told = await self._fetch(peer, "/state")
        if not told or not told.get("document"):
            return
        try:
            document = msgspec.convert(told["document"], Document)
        except msgspec.ValidationError:
            return
        if document.order > self.held.order and self.held.take(document) is None:
            self.log.info("an order was taken", order=document.order, by=peer)
            self._keep()
            self.news.set()

    async def _fetch(self, address: str, path: str) -> dict[str, Any] | None:
        try:
            return await anyio.to_thread.run_sync(fetch, address, path, PATIENCE, abandon_on_cancel=True)
        except (OSError, ValueError):
            return None


def _in_turn(config: KeeperConfig) -> Iterator[str]:
    """All others, beginning with the one after this: not all ask the same one."""
    peers = sorted(config.peers)
    after = sum(peer < config.listen for peer in peers)
    yield from peers[after:] + peers[:after]


def _same(a: Variant, b: Variant) -> bool:
    return (a.patch, a.program) == (b.patch, b.program)
