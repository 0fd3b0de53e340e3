"""Keeper: supervises one node on the same machine and makes it run what the newest document assigns to it.

Keepers also poll each other, so a node that was away, or that no driver reaches, runs the fleet's current
document within seconds. A keeper stores its state in its folder; if the folder is empty, it asks its peers
before it starts the node.
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
from thornladder.node.state_files import StateFile
from thornladder.node.tasks import Tasks
from thornladder.rollout.core import NodeReport
from thornladder.rollout.counters import settings_digest
from thornladder.rollout.orders import (
    MAX_DOCUMENT_BYTES,
    AcceptorState,
    Claim,
    Document,
    Variant,
    apply_merge_patch,
)

PEER_POLL_SECONDS = 2.0  # between polls of one peer each; a node that was away catches up within 10 s
STARTUP_POLL_TIMEOUT_SECONDS = 3.0  # for peers to answer; then the node starts with the stored document
CHECK_INTERVAL_SECONDS = 0.5  # between checks of the node
RELOAD_TIMEOUT_SECONDS = 5.0  # for a running node to apply new settings, which it reads from a file
REQUEST_TIMEOUT_SECONDS = 1.0  # for the node on the same machine, and for peers
RESTART_BACKOFF_SECONDS = (0.5, 10.0)  # after an unexpected exit: initial delay, which doubles, and maximum
BACKOFF_RESET_SECONDS = 30.0  # of uptime that reset the delay
DEFAULT_NODE_COMMAND = (sys.executable, "-B", "-m", "thornladder.cli", "node", "--counters")
KEEPER_FILE_VARIANT = Variant("as the keepers' files say")  # runs while there is no document


class KeeperConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The keeper's TOML file."""

    name: str
    listen: str  # HOST:PORT of the keeper
    peers: tuple[str, ...] = ()  # HOST:PORT of other keepers
    folder: str  # the keeper's own, persistent across restarts
    config: str  # the node's configuration file; settings are merged into a copy of it
    admin: tuple[str, str]  # admin addresses of the node: two, as two processes may run side by side
    program: tuple[str, ...] = ()  # command line of the node; empty: this program
    beside: bool = True  # start a new program next to the old one, on a socket that the keeper owns
    ready: float = 30.0  # seconds for a process to become ready
    leave: float = 10.0  # seconds for a process to shut down gracefully


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


class ChangeFailedError(Exception):
    """The node does not run its assigned variant; the text says why."""


class NodeProcess:
    """One process of the node."""

    def __init__(self, popen: subprocess.Popen, admin: str, variant: Variant, digest: str) -> None:
        self.popen, self.admin, self.variant, self.digest = popen, admin, variant, digest
        self.started_at = time.monotonic()

    @property
    def exited(self) -> bool:
        return self.popen.poll() is not None


class Keeper:
    """Supervises the node and answers drivers and other keepers."""

    def __init__(self, config: KeeperConfig, log: Any) -> None:
        self.config, self.log = config, log
        self.folder = Path(config.folder)
        self.state_file = StateFile(config.folder, config.name, "orders")
        self.acceptor = self._load_acceptor()
        self.process: NodeProcess | None = None
        # Version of the document that the node could not be brought to run, and why.
        self.refused: tuple[tuple[int, int], str] = ((0, 0), "")
        self.crashes = 0
        self.restart_delay = RESTART_BACKOFF_SECONDS[0]
        self.counters: dict[str, Any] | None = None
        self.counters_read_at = 0.0
        self.state_changed = anyio.Event()
        self.listener: socket.socket | None = None
        self.stopping = False

    # State.

    def _load_acceptor(self) -> AcceptorState:
        state = self.state_file.read()
        try:
            return msgspec.convert(state["held"], AcceptorState) if state else AcceptorState()
        except (msgspec.ValidationError, KeyError):
            return AcceptorState()

    def _save_acceptor(self) -> None:
        """Syncs the state to disk; done before the request is answered, so that a grant survives a crash."""
        self.state_file.write({"held": msgspec.to_builtins(self.acceptor)})
        with contextlib.suppress(OSError):
            descriptor = os.open(self.folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    @property
    def assigned_variant(self) -> Variant:
        """The variant that the document assigns to this node, or the one in the keeper's file."""
        document = self.acceptor.document
        if document is None:
            return KEEPER_FILE_VARIANT
        return document.variants[document.lines.get(self.config.name, 0)]

    def report(self) -> NodeReport:
        """The state that drivers and other keepers see."""
        document, process = self.acceptor.document, self.process
        running = -1
        if process is not None and not process.exited and self.counters is not None:
            variants = document.variants if document else [KEEPER_FILE_VARIANT]
            assigned = document.lines.get(self.config.name, 0) if document else 0
            matching = [
                index for index, variant in enumerate(variants) if _equivalent(variant, process.variant)
            ]
            running = assigned if assigned in matching else matching[0] if matching else -1
        refused = self.refused[1] if self.refused[0] == self.acceptor.version else ""
        return NodeReport(self.config.name, document, self.acceptor.claim, running, refused, self.crashes,
                          (self.counters or {}).get("speaks", {}), self.counters,
                          round(time.monotonic() - self.counters_read_at, 2))  # fmt: skip

    # HTTP endpoints.

    def __call__(self, call: AdminRequest) -> AdminResponse:
        if call.endpoint is Endpoint.EXTENSION:
            return self.admin_endpoints()[call.path].handler(call)
        return error_response(404, "no such call")

    def admin_endpoints(self) -> dict[str, ExtensionEndpoint]:
        """The HTTP endpoints by path."""
        return {"/state": ExtensionEndpoint(b"GET", self._get_state),
                "/claim": ExtensionEndpoint(b"POST", self._post_claim),
                "/order": ExtensionEndpoint(b"POST", self._post_document)}  # fmt: skip

    def _get_state(self, call: AdminRequest) -> AdminResponse:
        return AdminResponse(200, msgspec.to_builtins(self.report()))

    def _post_claim(self, call: AdminRequest) -> AdminResponse:
        return self._decode_and_accept(call.body, Claim, lambda claim: self.acceptor.grant(claim))

    def _post_document(self, call: AdminRequest) -> AdminResponse:
        return self._decode_and_accept(call.body, Document, lambda document: self.acceptor.accept(document))

    def _decode_and_accept(self, body: bytes, kind: type, accept: Any) -> AdminResponse:
        """Status 400 if the body is malformed, 409 with the reason if `accept` refuses it."""
        try:
            received = msgspec.json.decode(body, type=kind)
        except (msgspec.MsgspecError, ValueError) as error:
            return error_response(400, str(error))
        before = self.acceptor.version, self.acceptor.claim
        if refusal := accept(received):
            return error_response(409, refusal)
        if (self.acceptor.version, self.acceptor.claim) != before:
            self._save_acceptor()
            if self.acceptor.version != before[0]:
                self.log.info("an order was taken", order=self.acceptor.version, by="a driver")
            self.state_changed.set()
        return AdminResponse(200, {"order": self.acceptor.version})

    # Tasks.

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts the node down gracefully."""
        config = self.config
        self.folder.mkdir(parents=True, exist_ok=True)
        admin_socket = socket.create_server(split_address(config.listen), backlog=64)
        admin_socket.setblocking(False)
        if config.beside:
            node = json.loads(Path(config.config).read_bytes())
            self.listener = socket.create_server(split_address(node["listen"]), backlog=1024)
        try:
            async with anyio.create_task_group() as group:
                tasks = Tasks(group, self.log)
                extensions = {path: endpoint.method for path, endpoint in self.admin_endpoints().items()}
                tasks.supervise(
                    "orders",
                    AdminServer(self, tasks, self.log, extensions, MAX_DOCUMENT_BYTES).run,
                    admin_socket,
                )
                with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                    tasks.start("keeping", self._supervise_node, tasks)
                    async for _ in signals:
                        break
                self.stopping = True
                with anyio.CancelScope(shield=True):
                    await self._stop_process(self.process)
                tasks.cancel_all()
        finally:
            admin_socket.close()
            if self.process is not None and not self.process.exited:
                self.process.popen.kill()

    async def _supervise_node(self, tasks: Tasks) -> None:
        with anyio.move_on_after(STARTUP_POLL_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                for peer in self.config.peers:
                    group.start_soon(self._poll_peer, peer)
        tasks.supervise("asking others", self._poll_peers)
        tasks.supervise("counters", self._poll_counters)
        while not self.stopping:
            try:
                await self._reconcile()
            except ChangeFailedError as error:
                self.refused = (self.acceptor.version, str(error))
                self.log.warning("the node does not run its assigned variant", why=str(error))
            if not self.state_changed.is_set():
                with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                    await self.state_changed.wait()
            self.state_changed = anyio.Event()

    async def _reconcile(self) -> None:
        """Brings the node to its assigned variant; a change that failed is not tried again."""
        process, assigned = self.process, self.assigned_variant
        if process is not None and process.exited:
            code = process.popen.wait()
            self.crashes += 1
            self.process, self.counters = None, None
            self.log.warning(
                "the node exited unexpectedly",
                code=code,
                crashes=self.crashes,
                variant=process.variant.name,
            )
            if time.monotonic() - process.started_at > BACKOFF_RESET_SECONDS:
                self.restart_delay = RESTART_BACKOFF_SECONDS[0]
            with anyio.move_on_after(self.restart_delay):
                await self.state_changed.wait()  # a new document may fix the crash: do not wait it out
            self.restart_delay = min(2.0 * self.restart_delay, RESTART_BACKOFF_SECONDS[1])
            return
        if process is None:
            self.process = self._start_process(self.config.admin[0], assigned)
            await self._wait_until_serving(self.process)
            return
        already_failed = self.refused[1] and self.refused[0] == self.acceptor.version
        if _equivalent(process.variant, assigned) or already_failed:
            return
        self.log.info("the node is told to change", variant=assigned.name, order=self.acceptor.version)
        if process.variant.program == assigned.program:
            await self._reload_settings(process, assigned)
        elif self.config.beside:
            await self._replace_process(process, assigned)
        else:
            await self._stop_process(process)
            self.process, self.counters = None, None

    async def _reload_settings(self, process: NodeProcess, variant: Variant) -> None:
        """Raises ChangeFailedError if the node does not report the new settings in time."""
        settings = self._write_node_config(variant)
        process.popen.send_signal(signal.SIGHUP)
        digest = settings_digest(settings)
        with anyio.move_on_after(RELOAD_TIMEOUT_SECONDS):
            while not process.exited:
                counters = await self._fetch(process.admin, "/counters")
                if counters is not None and counters["settings"] == digest:
                    process.variant, process.digest = variant, digest
                    self._store_counters(counters)
                    self.log.info("the node took its settings", variant=variant.name)
                    return
                await anyio.sleep(0.1)
        if process.exited:
            return  # the next check handles the exit
        self._write_node_config(process.variant)  # a restart must use the settings that are in force
        raise ChangeFailedError("it did not take the settings")

    async def _replace_process(self, old: NodeProcess, variant: Variant) -> None:
        """Starts the new program, and stops the old one only once the new one serves."""
        admin = next(address for address in self.config.admin if address != old.admin)
        new = self._start_process(admin, variant)
        try:
            await self._wait_until_serving(new)
        except ChangeFailedError:
            new.popen.kill()
            new.popen.wait()
            self._write_node_config(old.variant)
            raise
        self.process = new
        self.log.info("the new program serves", variant=variant.name)
        await self._stop_process(old)

    async def _wait_until_serving(self, process: NodeProcess) -> None:
        """Raises ChangeFailedError if the process is not ready in time, or is a replacement that exits."""
        with anyio.move_on_after(self.config.ready):
            while not process.exited:
                status = await self._fetch(process.admin, "/status")
                counters = (
                    await self._fetch(process.admin, "/counters") if status and status["ready"] else None
                )
                if counters is not None:
                    self._store_counters(counters)
                    return
                await anyio.sleep(0.1)
        if process is not self.process:
            reason = f"ended with code {process.popen.poll()}" if process.exited else "was never ready"
            raise ChangeFailedError(f"the new program {reason}")
        if not process.exited:
            raise ChangeFailedError(f"not ready after {self.config.ready:g} s")

    async def _stop_process(self, process: NodeProcess | None) -> None:
        """Shuts the process down with SIGTERM, then SIGKILL after the grace period."""
        if process is None or process.exited:
            return
        process.popen.send_signal(signal.SIGCONT)
        process.popen.send_signal(signal.SIGTERM)
        with anyio.move_on_after(self.config.leave):
            while not process.exited:
                await anyio.sleep(0.05)
        if not process.exited:
            self.log.warning("the node did not shut down in time and is killed")
            process.popen.kill()
            process.popen.wait()

    def _write_node_config(self, variant: Variant) -> dict[str, Any]:
        """Writes the node's configuration for this variant and returns the settings in it."""
        node = json.loads(Path(self.config.config).read_bytes())
        node["settings"] = apply_merge_patch(node["settings"], variant.patch)
        path = self.folder / "config.json"
        temporary = path.with_suffix(".part")
        temporary.write_text(json.dumps(node))
        temporary.replace(path)
        return node["settings"]

    def _start_process(self, admin: str, variant: Variant) -> NodeProcess:
        """Raises ChangeFailedError if the command cannot be started."""
        settings = self._write_node_config(variant)
        command = variant.program or self.config.program or DEFAULT_NODE_COMMAND
        environment = {**os.environ, "EDGE_CONFIG": str(self.folder / "config.json"),
                       "EDGE_ADMIN_ADDR": admin, "TMPDIR": str(self.folder)}  # fmt: skip
        inherited_fds: tuple[int, ...] = ()
        if self.listener is not None:
            inherited_fds = (self.listener.fileno(),)
            environment["EDGE_INHERITED_FD"] = str(inherited_fds[0])
        # If the keeper dies, the node gets SIGTERM and shuts down gracefully instead of running unsupervised.
        set_parent_death_signal = signal_on_parent_exit(signal.SIGTERM)
        try:
            popen = subprocess.Popen(
                command, env=environment, pass_fds=inherited_fds, preexec_fn=set_parent_death_signal
            )
        except OSError as error:
            raise ChangeFailedError(f"{command[0]} cannot be started: {error.strerror}") from None
        (self.folder / "node.pid").write_text(str(popen.pid))
        self.log.info("the node was started", process=popen.pid, variant=variant.name, admin=admin)
        return NodeProcess(popen, admin, variant, settings_digest(settings))

    async def _poll_counters(self) -> None:
        while True:
            process = self.process
            if process is not None and not process.exited:
                counters = await self._fetch(process.admin, "/counters")
                if counters is not None and process is self.process:
                    self._store_counters(counters)
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    def _store_counters(self, counters: dict[str, Any]) -> None:
        self.counters, self.counters_read_at = counters, time.monotonic()

    async def _poll_peers(self) -> None:
        while True:
            for peer in _poll_order(self.config):
                await anyio.sleep(PEER_POLL_SECONDS)
                await self._poll_peer(peer)

    async def _poll_peer(self, peer: str) -> None:
        """Accepts the peer's document if it is newer."""
        state = await self._fetch(peer, "/state")
        if not state or not state.get("document"):
            return
        try:
            document = msgspec.convert(state["document"], Document)
        except msgspec.ValidationError:
            return
        if document.version > self.acceptor.version and self.acceptor.accept(document) is None:
            self.log.info("an order was taken", order=document.version, by=peer)
            self._save_acceptor()
            self.state_changed.set()

    async def _fetch(self, address: str, path: str) -> dict[str, Any] | None:
        """JSON response to a GET, or None on any error."""
        try:
            return await anyio.to_thread.run_sync(
                fetch, address, path, REQUEST_TIMEOUT_SECONDS, abandon_on_cancel=True
            )
        except (OSError, ValueError):
            return None


def _poll_order(config: KeeperConfig) -> Iterator[str]:
    """All peers, from the next higher address on, so that keepers do not all poll the same peer at once."""
    peers = sorted(config.peers)
    next_place = sum(peer < config.listen for peer in peers)
    yield from peers[next_place:] + peers[:next_place]


def _equivalent(a: Variant, b: Variant) -> bool:
    return (a.patch, a.program) == (b.patch, b.program)
