"""Node processes, started by the ordinary command; each is killed when the rig exits in any way."""

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
    """One node: its files, and the process that runs it, if any."""

    name: str
    folder: Path
    config: dict[str, Any]
    admin_address: str
    fleet_config: (
        dict[str, Any] | None
    )  # fields of the fleet file; None: the node takes no part in membership
    keeper_config: dict[str, Any] | None = None  # of the keeper file; None: the node runs without a keeper
    process: subprocess.Popen | None = None  # the keeper if there is one, else the node
    starts: int = 0
    exit_codes: list[int] = field(default_factory=list)  # of the processes that have exited, in order
    exit_expected: bool = False  # the rig has ended the last process itself

    @property
    def log_path(self) -> Path:
        """File with the output of all processes of the node."""
        return self.folder / "log"

    def start(self) -> None:
        """Writes the files and starts the keeper or node, with another seed at each start."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.starts += 1
        self.exit_expected = False
        config_path = self.folder / "config.json"
        seed = f"{self.starts:04x}{zlib.crc32(self.name.encode()):08x}"
        config_path.write_text(json.dumps({**self.config, "seed": seed}))
        command = [sys.executable, "-B", "-m", "thornladder"]
        if self.fleet_config is not None:
            (self.folder / "fleet.toml").write_bytes(msgspec.toml.encode(self.fleet_config))
            command = [sys.executable, "-B", "-m", "thornladder.cli", "node"]
            command += ["--fleet", str(self.folder / "fleet.toml")]
        if self.keeper_config is not None:
            keeper_folder, keeper_path = self.folder / "kept", self.folder / "keeper.toml"
            keeper_folder.mkdir(exist_ok=True)
            keeper_fields = {**self.keeper_config, "name": self.name, "folder": str(keeper_folder),
                             "config": str(config_path),
                             "program": [*DEFAULT_NODE_COMMAND, *command[5:]]}  # fmt: skip
            keeper_path.write_bytes(msgspec.toml.encode(keeper_fields))
            command = [sys.executable, "-B", "-m", "thornladder.cli", "keep", str(keeper_path)]
        environment = {
            **os.environ, "EDGE_CONFIG": str(config_path), "EDGE_ADMIN_ADDR": self.admin_address,
            "TMPDIR": str(self.folder),
        }  # fmt: skip
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                env=environment,
                stderr=log,
                stdout=log,
                preexec_fn=signal_on_parent_exit(signal.SIGKILL),
            )

    async def wait_for_exit(self) -> int:
        """Waits until the running process exits; returns its exit code."""
        descriptor = os.pidfd_open(self.process.pid)
        try:
            await anyio.wait_readable(descriptor)
        finally:
            os.close(descriptor)
        exit_code = self.process.wait()
        self.exit_codes.append(exit_code)
        self.process = None
        return exit_code

    def send_signal(self, number: int) -> None:
        """Sends a signal to the node itself, even if a keeper has started it."""
        if self.keeper_config is not None:
            with suppress(ProcessLookupError, OSError, ValueError):
                os.kill(int((self.folder / "kept" / "node.pid").read_text()), number)
        elif self.process is not None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the node and its keeper and waits for the process that the rig has started."""
        self.exit_expected = True
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()
        self.send_signal(signal.SIGKILL)  # the keeper may have started another node meanwhile

    def log_entries(self) -> Iterator[dict[str, Any]]:
        """The entries of the node's log; lines that are not JSON are left out."""
        if self.log_path.exists():
            for line in self.log_path.read_bytes().splitlines():
                with suppress(ValueError):
                    yield json.loads(line)
