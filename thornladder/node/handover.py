"""What outlives a process of this node: files in its private folder, keyed by the node's name, that say under
which deployment's settings they were written."""

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
from thornladder.node.maintenance import Mark

FORM = 1  # of the files: another form is of another version, and counts as none
MOST_FILE = 1024 * 1024  # bytes: more is no file of ours


def _key(node: str) -> str:
    """A file name of its own for every name of a node, whatever that holds."""
    plain = re.sub(r"[^A-Za-z0-9_-]", "_", node)[:64]
    return f"thornladder-{plain}-{zlib.crc32(node.encode()):08x}"


class Deployment(NamedTuple):
    """What tells one deployment's settings from another's, and stays over an ordinary change of them."""

    zone: str = ""
    classes: frozenset[str] = frozenset()

    @classmethod
    def of(cls, decisions: dict[str, Any]) -> Deployment:
        return cls(decisions["zone"], frozenset(offering.name for offering in decisions["offerings"]))

    def fits(self, told: Any) -> bool:
        """Whether a file that says this of itself may be used: an upgrade may add classes and drop some."""
        if told is None or not self.classes:
            return True  # written before files said so
        classes = told.get("classes") if isinstance(told, dict) else None
        if not isinstance(classes, list) or told.get("zone") != self.zone:
            return False
        return any(name in self.classes for name in classes if isinstance(name, str))


ANY = Deployment()  # of files that hold nothing of a deployment's


class StateFile:
    """One small checked file. What is missing, torn, of another node, deployment or version reads as None."""

    def __init__(self, folder: str, node: str, what: str, deployment: Deployment = ANY) -> None:
        self.node, self.deployment = node, deployment
        self.foreign = False  # whether it was another deployment's when it was last read
        self.path = Path(folder) / f"{_key(node)}.{what}"

    def read(self) -> dict[str, Any] | None:
        try:
            with self.path.open("rb") as file:
                head, _, text = file.read(MOST_FILE).partition(b"\n")
            if head != b"%d %08x" % (FORM, zlib.crc32(text)):
                return None
            told = parse_object(text)
        except (OSError, MalformedError):
            return None
        if told.get("node") != self.node:
            return None
        self.foreign = not self.deployment.fits(told.get("under"))
        return None if self.foreign else told

    def write(self, told: dict[str, Any]) -> None:
        """Whole or not at all: readers see the old file until the new one stands."""
        under = {"zone": self.deployment.zone, "classes": sorted(self.deployment.classes)}
        text = json.dumps({**told, "node": self.node, "under": under}).encode()
        part = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            part.write_bytes(b"%d %08x\n%s" % (FORM, zlib.crc32(text), text))
            part.replace(self.path)
        except OSError:
            with suppress(OSError):
                part.unlink()
            raise

    def stamp(self) -> tuple[int, int] | None:
        """What changes with each write."""
        try:
            about = self.path.stat()
        except OSError:
            return None
        return about.st_ino, about.st_mtime_ns


class Phase(Enum):
    """How far a process of this node is."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Seen(NamedTuple):
    """What another process of this node says of itself."""

    phase: Phase
    used: int  # descriptors


class Places:
    """Who is alive of this node's processes: each holds a lock on a file, which any death frees."""

    MOST = 8  # processes at once; two are usual, three while one upgrade follows another

    def __init__(self, folder: str, node: str) -> None:
        self.paths = [Path(folder) / f"{_key(node)}.process-{number}" for number in range(self.MOST)]
        self.own: tuple[int, int] | None = None  # the number of this process's place, and its descriptor

    def take(self, phase: Phase, used: int) -> None:
        """Tells the others how far this one is; the first time it takes a place that nobody holds."""
        if self.own is None:
            self.own = next(filter(None, map(self._lock, range(self.MOST))), None)
        if self.own is not None:
            os.pwrite(self.own[1], b"%-16s%-8d" % (phase.value.encode(), used), 0)

    def _lock(self, number: int) -> tuple[int, int] | None:
        try:
            descriptor = os.open(self.paths[number], os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError:
            return None  # no folder to write to: this process is alone
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return None
        return number, descriptor

    def others(self) -> list[Seen]:
        return [seen for number in range(self.MOST) if (seen := self._seen(number)) is not None]

    def _seen(self, number: int) -> Seen | None:
        """Of the process that holds this place; None if nobody else does."""
        if self.own is not None and number == self.own[0]:
            return None
        try:
            descriptor = os.open(self.paths[number], os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return None
        except OSError:
            text = os.pread(descriptor, 24, 0)
            words, used = text[:16].decode("ascii", "replace").strip(), text[16:].strip()
            # One that has its lock and has not said how far it is has only begun.
            phase = next((phase for phase in Phase if phase.value == words), Phase.STARTING)
            return Seen(phase, int(used) if used.isdigit() else 0)
        finally:
            os.close(descriptor)


class Learned(NamedTuple):
    """What the process that takes over is to know from its first moment on."""

    starts: dict[str, float]  # since when each backend is ramped that still is
    room: float = 0.0  # pushes that may be out for each backend; 0 where that is not known


class Lessons:
    """The same on the disk. Start times may be old: they are moments of the one clock that all machines read.
    The room holds for a short while alone."""

    FRESH = 10.0  # seconds: about as long as a load lasts

    def __init__(self, folder: str, node: str, deployment: Deployment = ANY) -> None:
        self.sheet = StateFile(folder, node, "learned", deployment)
        self.written, self.at = Learned({}), -self.FRESH

    def load(self, now: float) -> Learned:
        starts: dict[str, float] = {}
        told, room = self.sheet.read() or {}, 0.0
        with suppress(MalformedError):
            for line in get_objects(told, "starts"):
                starts[get_field(line, "id", str)] = get_field(line, "at", float)
            if 0.0 <= now - get_field(told, "at", float, 0.0) < self.FRESH:
                room = max(get_field(told, "room", float, 0.0), 0.0)
        return Learned(starts, room)

    def keep(self, learned: Learned, now: float) -> None:
        """Writes when start times change, and once a second for the room."""
        if learned.starts != self.written.starts or now - self.at > 1.0:
            lines = [{"id": id, "at": at} for id, at in sorted(learned.starts.items())]
            self.sheet.write({"starts": lines, "room": round(learned.room, 3), "at": now})
            self.written, self.at = learned, now


class Marks:
    """Maintenance on the disk: each id's last call. Two processes may add to it; the later call holds."""

    def __init__(self, folder: str, node: str, deployment: Deployment = ANY) -> None:
        self.sheet = StateFile(folder, node, "maintenance", deployment)
        self.lock = self.sheet.path.with_name(f"{self.sheet.path.name}-lock")
        self.seen: tuple[int, int] | None = None

    def load(self) -> dict[str, Mark]:
        self.seen = self.sheet.stamp()
        told = self.sheet.read()
        marks: dict[str, Mark] = {}
        with suppress(MalformedError):
            for line in get_objects(told or {}, "marks"):
                marks[get_field(line, "id", str)] = Mark(
                    get_field(line, "out", bool), get_field(line, "at", float)
                )
        return marks

    def news(self) -> dict[str, Mark]:
        """What stands there, if that has changed since it was last read."""
        return self.load() if self.sheet.stamp() != self.seen else {}

    def add(self, marks: dict[str, Mark]) -> None:
        with self._alone():
            held = self.load()
            for id, mark in marks.items():
                if id not in held or mark.at > held[id].at:
                    held[id] = mark
            self.sheet.write(
                {"marks": [{"id": id, "out": m.out, "at": m.at} for id, m in sorted(held.items())]}
            )

    @contextmanager
    def _alone(self) -> Iterator[None]:
        descriptor = os.open(self.lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)  # held for one small write, never for longer
            yield
        finally:
            os.close(descriptor)
