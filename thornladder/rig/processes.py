"""Nodes as processes by the ordinary command, each ended by its id whatever happens to the rig."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import zlib
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import msgspec

from thornladder.children import signal_on_parent_exit
from thornladder.rollout.keeper import DEFAULT_NODE_COMMAND


@dataclass
class NodeProcess:
    """One node: its files, and the process that runs it, if one does."""

    name: str
    folder: Path
    config: dict[str, Any]
    admin: str
    fleet: dict[str, Any] | None  # of its own fleet file; None: it knows no other
    keeper: dict[str, Any] | None = None  # of its keeper's file; None: the node is started itself
    process: subprocess.Popen | None = None
    starts: int = 0
    codes: list[int] = field(default_factory=list)  # exit codes of its processes so far
    planned: bool = False  # the last end was asked for

    @property
    def log(self) -> Path:
        return self.folder / "log"

    def start(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.starts += 1
        self.planned = False
        path = self.folder / "config.json"
        seed = f"{self.starts:04x}{zlib.crc32(self.name.encode()):08x}"
        path.write_text(json.dumps({**self.config, "seed": seed}))
        command = [sys.executable, "-B", "-m", "thornladder"]
        if self.fleet is not None:
            (self.folder / "fleet.toml").write_bytes(msgspec.toml.encode(self.fleet))
            command = [sys.executable, "-B", "-m", "thornladder.cli", "node"]
            command += ["--fleet", str(self.folder / "fleet.toml")]
        if self.keeper is not None:
            kept, file = self.folder / "kept", self.folder / "keeper.toml"
            kept.mkdir(exist_ok=True)
            told = {**self.keeper, "name": self.name, "folder": str(kept), "config": str(path),
                    "program": [*DEFAULT_NODE_COMMAND, *command[5:]]}  # fmt: skip
            file.write_bytes(msgspec.toml.encode(told))
            command = [sys.executable, "-B", "-m", "thornladder.cli", "keep", str(file)]
        environment = {
            **os.environ, "EDGE_CONFIG": str(path), "EDGE_ADMIN_ADDR": self.admin, "TMPDIR": str(self.folder),
        }  # fmt: skip
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                env=environment,
                stderr=log,
                stdout=log,
                preexec_fn=signal_on_parent_exit(signal.SIGKILL),
            )

    async def ended(self) -> int:
        """Waits for the end of the process that now runs; its exit code."""
        descriptor = os.pidfd_open(self.process.pid)
        try:
            await anyio.wait_readable(descriptor)
        finally:
            os.close(descriptor)
        code = self.process.wait()
        self.codes.append(code)
        self.process = None
        return code

    def signal(self, number: int) -> None:
        """To the node itself, also where a keeper has started it."""
        if self.keeper is not None:
            with suppress(ProcessLookupError, OSError, ValueError):
                os.kill(int((self.folder / "kept" / "node.pid").read_text()), number)
        elif self.process is not None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    def end(self) -> None:
        """At once, with all that belongs to it."""
        self.planned = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()
        self.signal(signal.SIGKILL)  # one that its keeper started meanwhile

    def lines(self) -> Iterator[dict[str, Any]]:
        """Of its log, those that can be read."""
        if self.log.exists():
            for line in self.log.read_bytes().splitlines():
                with suppress(ValueError):
                    yield json.loads(line)
