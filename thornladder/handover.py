"""What outlives a process of this node: files in its private folder, keyed by the node's name."""

from __future__ import annotations

import fcntl
import json
import os
import re
import zlib
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from thornladder.fields import Malformed, objects, parse, take
from thornladder.maintenance import Mark

FORM = 1  # of the files: another form is of another version, and counts as none
MOST_FILE = 1024 * 1024  # bytes: more is no file of ours


def _key(node: str) -> str:
    """A file name of its own for every name of a node, whatever that holds."""
    plain = re.sub(r"[^A-Za-z0-9_-]", "_", node)[:64]
    return f"thornladder-{plain}-{zlib.crc32(node.encode()):08x}"


class Sheet:
    """One small checked file. What is missing, torn, of another node or another version reads as None."""

    def __init__(self, folder: str, node: str, what: str) -> None:
        self.node = node
        self.path = Path(folder) / f"{_key(node)}.{what}"

    def read(self) -> dict[str, Any] | None:
        try:
            with self.path.open("rb") as file:
                head, _, text = file.read(MOST_FILE).partition(b"\n")
            if head != b"%d %08x" % (FORM, zlib.crc32(text)):
                return None
            told = parse(text)
        except (OSError, Malformed):
            return None
        return told if told.get("node") == self.node else None

    def write(self, told: dict[str, Any]) -> None:
        """Whole or not at all: readers see the old file until the new one stands."""
        text = json.dumps({**told, "node": self.node}).encode()
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


class Marks:
    """Maintenance on the disk: each id's last call. Two processes may add to it; the later call holds."""

    def __init__(self, folder: str, node: str) -> None:
        self.sheet = Sheet(folder, node, "maintenance")
        self.lock = self.sheet.path.with_name(f"{self.sheet.path.name}-lock")
        self.seen: tuple[int, int] | None = None

    def load(self) -> dict[str, Mark]:
        self.seen = self.sheet.stamp()
        told = self.sheet.read()
        marks: dict[str, Mark] = {}
        with suppress(Malformed):
            for line in objects(told or {}, "marks"):
                marks[take(line, "id", str)] = Mark(take(line, "out", bool), take(line, "at", float))
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
