"""State of a node that outlives its process: files in the node's private folder, and a registry of processes.

Files are named after the node and record the deployment whose settings they were written under.
"""

from __future__ import annotations

import fcntl
import json
import os
import re
import zlib
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

from thornladder.fields import MalformedError, get_field, get_objects, parse_object
from thornladder.node.maintenance import MaintenanceMark

FORMAT_VERSION = 1  # files of another version are ignored
MAX_FILE_BYTES = 1024 * 1024  # no file written here is larger


def _file_stem(node: str) -> str:
    """A file name without suffix that is unique to the node, whose name may hold any characters."""
    plain = re.sub(r"[^A-Za-z0-9_-]", "_", node)[:64]
    return f"thornladder-{plain}-{zlib.crc32(node.encode()):08x}"


def state_files(folder: str, node: str) -> Iterator[Path]:
    """The files of a node in its private folder. Raises OSError if the folder cannot be read."""
    return Path(folder).glob(f"{_file_stem(node)}.*")


def state_path(folder: str, node: str, suffix: str) -> Path:
    """The path of a file in a node's private folder."""
    return Path(folder) / f"{_file_stem(node)}.{suffix}"


class Deployment(NamedTuple):
    """Identifies a deployment by its zone and offerings, which ordinary changes of the settings keep."""

    zone: str = ""
    offering_names: frozenset[str] = frozenset()

    @classmethod
    def of(cls, decisions: dict[str, Any]) -> Deployment:
        """The deployment of decision settings (keyword arguments of `decide.Node`)."""
        return cls(decisions["zone"], frozenset(offering.name for offering in decisions["offerings"]))

    def accepts(self, written_under: Any) -> bool:
        """Whether a file with this `under` value belongs to this deployment.

        One common offering is enough, since an upgrade may add some and drop others. A file without the value
        is accepted: an older version wrote it.
        """
        if written_under is None or not self.offering_names:
            return True
        classes = written_under.get("classes") if isinstance(written_under, dict) else None
        if not isinstance(classes, list) or written_under.get("zone") != self.zone:
            return False
        return any(name in self.offering_names for name in classes if isinstance(name, str))


ANY_DEPLOYMENT = Deployment()  # accepts every file; for files that do not depend on settings


class StateFile:
    """One small JSON file with a checksum.

    A file that is missing, truncated or corrupt, or of another node, deployment or format version, reads as
    None.
    """

    def __init__(self, folder: str, node: str, suffix: str, deployment: Deployment = ANY_DEPLOYMENT) -> None:
        self.node, self.deployment = node, deployment
        self.is_foreign = False  # whether the last read found a file of another deployment
        self.path = state_path(folder, node, suffix)

    def read(self) -> dict[str, Any] | None:
        """The stored object, or None."""
        try:
            with self.path.open("rb") as file:
                header, _, text = file.read(MAX_FILE_BYTES).partition(b"\n")
            if header != b"%d %08x" % (FORMAT_VERSION, zlib.crc32(text)):
                return None
            content = parse_object(text)
        except (OSError, MalformedError):
            return None
        if content.get("node") != self.node:
            return None
        self.is_foreign = not self.deployment.accepts(content.get("under"))
        return None if self.is_foreign else content

    def write(self, content: dict[str, Any]) -> None:
        """Replaces the file atomically; raises OSError."""
        under = {"zone": self.deployment.zone, "classes": sorted(self.deployment.offering_names)}
        text = json.dumps({**content, "node": self.node, "under": under}).encode()
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            temporary.write_bytes(b"%d %08x\n%s" % (FORMAT_VERSION, zlib.crc32(text), text))
            temporary.replace(self.path)
        except OSError:
            with suppress(OSError):
                temporary.unlink()
            raise

    def fingerprint(self) -> tuple[int, int] | None:
        """A value that changes with each write; None if there is no file."""
        try:
            stat = self.path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns


class Phase(Enum):
    """Stage in the life of a process of this node."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class ProcessStatus(NamedTuple):
    """What a process announces to the other processes of its node."""

    phase: Phase
    descriptors: int  # file descriptors in use


class ProcessRegistry:
    """The live processes of a node: each holds a lock on a file, which the kernel releases when it exits."""

    MAX_PROCESSES = 8  # two are usual, three while one upgrade follows another

    def __init__(self, folder: str, node: str) -> None:
        self.paths = [
            Path(folder) / f"{_file_stem(node)}.process-{slot}" for slot in range(self.MAX_PROCESSES)
        ]
        self.own_slot: tuple[int, int] | None = None  # slot of this process and the descriptor of its file

    def announce(self, phase: Phase, descriptors: int) -> None:
        """Publishes the state of this process; the first call claims a free slot.

        `descriptors`: how many file descriptors this process uses.
        """
        if self.own_slot is None:
            self.own_slot = next(filter(None, map(self._lock, range(self.MAX_PROCESSES))), None)
        if self.own_slot is not None:
            os.pwrite(self.own_slot[1], b"%-16s%-8d" % (phase.value.encode(), descriptors), 0)

    def _lock(self, slot: int) -> tuple[int, int] | None:
        """Locks the file of a slot; None if another process holds it or the folder is not writable."""
        try:
            descriptor = os.open(self.paths[slot], os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError:
            return None  # without any slot, this process counts as the only one
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return None
        return slot, descriptor

    def others(self) -> list[ProcessStatus]:
        """The state of every other live process of the node."""
        return [status for slot in range(self.MAX_PROCESSES) if (status := self._read_slot(slot)) is not None]

    def _read_slot(self, slot: int) -> ProcessStatus | None:
        """The state of the other process that holds this slot; None if no other process does."""
        if self.own_slot is not None and slot == self.own_slot[0]:
            return None
        try:
            descriptor = os.open(self.paths[slot], os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return None
        except OSError:
            text = os.pread(descriptor, 24, 0)
            phase_text, descriptors = text[:16].decode("ascii", "replace").strip(), text[16:].strip()
            # A process that has locked its slot and announced nothing yet has just started.
            phase = next((phase for phase in Phase if phase.value == phase_text), Phase.STARTING)
            return ProcessStatus(phase, int(descriptors) if descriptors.isdigit() else 0)
        finally:
            os.close(descriptor)


class LearnedState(NamedTuple):
    """What a process passes on to the one that takes over from it."""

    ramp_starts: dict[str, float]  # Unix time at which each backend in slow start began it, by backend id
    limit_per_backend: float = 0.0  # concurrency limit per backend, in pushes; 0 if unknown


class LearnedStateStore:
    """Stores the learned state on disk.

    Start times are Unix times and stay valid for any process; the concurrency limit is valid only briefly.
    """

    MAX_AGE_SECONDS = 10.0  # of the concurrency limit: about as long as the load stays the same

    def __init__(self, folder: str, node: str, deployment: Deployment = ANY_DEPLOYMENT) -> None:
        self.file = StateFile(folder, node, "learned", deployment)
        self.saved, self.saved_at = LearnedState({}), -self.MAX_AGE_SECONDS

    def load(self, now: float) -> LearnedState:
        """The stored state, without what is missing or out of date; `now`: Unix time in seconds."""
        starts: dict[str, float] = {}
        content, limit = self.file.read() or {}, 0.0
        with suppress(MalformedError):
            for item in get_objects(content, "starts"):
                starts[get_field(item, "id", str)] = get_field(item, "at", float)
            if 0.0 <= now - get_field(content, "at", float, 0.0) < self.MAX_AGE_SECONDS:
                limit = max(get_field(content, "room", float, 0.0), 0.0)
        return LearnedState(starts, limit)

    def save(self, learned: LearnedState, now: float) -> None:
        """Writes if start times changed or the last write is more than a second old; raises OSError."""
        if learned.ramp_starts != self.saved.ramp_starts or now - self.saved_at > 1.0:
            items = [{"id": id, "at": at} for id, at in sorted(learned.ramp_starts.items())]
            self.file.write({"starts": items, "room": round(learned.limit_per_backend, 3), "at": now})
            self.saved, self.saved_at = learned, now


class MaintenanceStore:
    """Stores the last maintenance call for each backend id on disk.

    Several processes may write to the file; the later call wins.
    """

    def __init__(self, folder: str, node: str, deployment: Deployment = ANY_DEPLOYMENT) -> None:
        self.file = StateFile(folder, node, "maintenance", deployment)
        self.lock_path = self.file.path.with_name(f"{self.file.path.name}-lock")
        self.loaded_fingerprint: tuple[int, int] | None = None

    def load(self) -> dict[str, MaintenanceMark]:
        """The stored marks by backend id."""
        self.loaded_fingerprint = self.file.fingerprint()
        content = self.file.read()
        marks: dict[str, MaintenanceMark] = {}
        with suppress(MalformedError):
            for item in get_objects(content or {}, "marks"):
                marks[get_field(item, "id", str)] = MaintenanceMark(
                    get_field(item, "out", bool), get_field(item, "at", float)
                )
        return marks

    def load_if_changed(self) -> dict[str, MaintenanceMark]:
        """The stored marks if the file has changed since this object last read it; empty otherwise."""
        return self.load() if self.file.fingerprint() != self.loaded_fingerprint else {}

    def merge(self, marks: dict[str, MaintenanceMark]) -> None:
        """Stores the marks that are later than the stored ones for their ids; raises OSError."""
        with self._locked():
            stored = self.load()
            for id, mark in marks.items():
                if id not in stored or mark.set_at > stored[id].set_at:
                    stored[id] = mark
            self.file.write(
                {
                    "marks": [
                        {"id": id, "out": mark.out_of_service, "at": mark.set_at}
                        for id, mark in sorted(stored.items())
                    ]
                }
            )

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Holds the lock that serializes the writers; raises OSError."""
        descriptor = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(
                descriptor, fcntl.LOCK_EX
            )  # waits for other writers, each of which writes one small file
            yield
        finally:
            os.close(descriptor)
