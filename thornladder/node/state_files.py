"""State files of a node in its private folder, and which of them are this node's own.

A file's name tells the node and its owner. An owner is a sequence of processes of one node, each of which
has taken over from one that was alive, or has found the files of one that served the same deployment.
Settings may change completely while an owner lives; they tell owners apart only if no process of the node is
alive.
"""

from __future__ import annotations

import json
import os
import re
import zlib
from collections.abc import Iterable, Iterator
from contextlib import suppress
from hashlib import blake2b
from pathlib import Path
from typing import Any, NamedTuple

from thornladder.fields import MalformedError, parse_object

FORMAT_VERSION = 1  # files of another version are ignored
MAX_FILE_BYTES = 1024 * 1024  # no file written here is larger
MAX_EARLIER_DEPLOYMENTS = 8  # recorded in a file, beside the last one
FIRST_OWNER = ""  # its files have the plain names, as those of programs that knew no owners
OWNER = re.compile(r"[0-9a-f]{8}")  # any other


def _file_stem(node: str) -> str:
    """A file name without suffix that is unique to the node, whose name may hold any characters."""
    plain = re.sub(r"[^A-Za-z0-9_-]", "_", node)[:64]
    return f"thornladder-{plain}-{zlib.crc32(node.encode()):08x}"


def state_files(folder: str, node: str) -> Iterator[Path]:
    """The files of a node in its private folder, of any owner. Raises OSError if it cannot be read."""
    return Path(folder).glob(f"{_file_stem(node)}.*")


def state_path(folder: str, node: str, suffix: str, owner: str = FIRST_OWNER) -> Path:
    """The path of a file in a node's private folder."""
    return Path(folder) / f"{_file_stem(node)}.{f'{owner}.' if owner else ''}{suffix}"


class Deployment(NamedTuple):
    """Identifies a deployment by its zone, its offerings and the address of the node."""

    zone: str = ""
    offering_names: frozenset[str] = frozenset()
    listen: str = ""  # empty: not known

    @classmethod
    def of(cls, decisions: dict[str, Any], listen: str = "") -> Deployment:
        """The deployment of decision settings (keyword arguments of `decide.Node`)."""
        names = frozenset(offering.name for offering in decisions["offerings"])
        return cls(decisions["zone"], names, listen)

    def record(self) -> dict[str, Any]:
        """The form in which files record it."""
        return {"zone": self.zone, "classes": sorted(self.offering_names), "listen": self.listen}

    def accepts(self, written_under: Any) -> bool:
        """Whether a file with this record belongs to this deployment.

        One common offering is enough, since settings may change while no process runs. A file without the
        record is accepted: an older version wrote it.
        """
        if written_under is None or not self.offering_names:
            return True
        classes = written_under.get("classes") if isinstance(written_under, dict) else None
        if not isinstance(classes, list) or written_under.get("zone") != self.zone:
            return False
        listen = written_under.get("listen")
        if self.listen and listen and listen != self.listen:
            return False
        return any(name in self.offering_names for name in classes if isinstance(name, str))

    def new_owner(self) -> str:
        """The owner of files that this deployment writes beside those of others."""
        text = json.dumps(self.record()).encode()
        return blake2b(text, digest_size=4).hexdigest()


ANY_DEPLOYMENT = Deployment()  # accepts every file; for files that do not depend on settings


def _recorded_deployments(content: dict[str, Any]) -> list[Any]:
    """The records of all deployments under which a file has been written, the last one first."""
    earlier = content.get("earlier")
    return [content.get("under"), *(earlier if isinstance(earlier, list) else [])]


class StateFile:
    """One small JSON file with a checksum.

    A file that is missing, truncated or corrupt, or of another node or format version, reads as None. So does
    one of another deployment, until the file is known to be this node's own.
    """

    def __init__(
        self,
        folder: str,
        node: str,
        suffix: str,
        deployment: Deployment = ANY_DEPLOYMENT,
        owner: str = FIRST_OWNER,
    ) -> None:
        self.folder, self.node, self.suffix, self.deployment = folder, node, suffix, deployment
        self.is_own = False
        self.is_foreign = False  # whether the last read found a file of another deployment
        self.path = state_path(folder, node, suffix, owner)

    def adopt(self, owner: str) -> None:
        """Uses the file of this owner as this node's own, whatever deployment it was written under."""
        self.path, self.is_own = state_path(self.folder, self.node, self.suffix, owner), True

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
        accepted = self.is_own or any(map(self.deployment.accepts, _recorded_deployments(content)))
        self.is_foreign = not accepted
        return content if accepted else None

    def records_deployment(self) -> bool:
        """Whether the file, if there is one, says that it belongs to the current deployment too."""
        content = self.read()
        return content is None or self.deployment.record() in _recorded_deployments(content)

    def write(self, content: dict[str, Any]) -> None:
        """Replaces the file atomically; raises OSError."""
        stored = self.read()
        under = self.deployment.record()
        earlier = [one for one in _recorded_deployments(stored or {}) if one not in (None, under)]
        text = json.dumps(
            {**content, "node": self.node, "under": under, "earlier": earlier[:MAX_EARLIER_DEPLOYMENTS]}
        ).encode()
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

    def last_written(self) -> int:
        """When the file was last written, in nanoseconds of Unix time; 0 if there is none."""
        fingerprint = self.fingerprint()
        return fingerprint[1] if fingerprint else 0


class OwnerChoice(NamedTuple):
    """Whose files a starting process uses."""

    owner: str
    passed_over: bool  # whether the folder holds files of another deployment, which are left alone


def choose_owner(
    folder: str, node: str, suffixes: Iterable[str], deployment: Deployment, live_owners: Iterable[str]
) -> OwnerChoice:
    """Chooses the owner whose files a starting process of the node uses.

    `live_owners`: those of the other processes of this node that are alive. Their files are this node's,
    whatever settings they were written under. If there is none, the files of the last owner are used that
    has served this deployment. Files of other deployments stay as they are.
    """
    for owner in live_owners:
        return OwnerChoice(owner, False)
    last_written: dict[str, int] = {}  # by owner that has served this deployment, in ns of Unix time
    passed_over = False
    for owner in _stored_owners(folder, node):
        files = [StateFile(folder, node, suffix, deployment, owner) for suffix in suffixes]
        if any(file.read() is not None for file in files):
            last_written[owner] = max(file.last_written() for file in files)
        passed_over = passed_over or any(file.is_foreign for file in files)
    if last_written:
        return OwnerChoice(max(last_written, key=last_written.__getitem__), False)
    return OwnerChoice(deployment.new_owner() if passed_over else FIRST_OWNER, passed_over)


def _stored_owners(folder: str, node: str) -> list[str]:
    """The owners with files in the folder, the first owner always among them."""
    stem, owners = _file_stem(node), set()
    with suppress(OSError):
        for path in state_files(folder, node):
            owner = path.name.removeprefix(f"{stem}.").partition(".")[0]
            if OWNER.fullmatch(owner):
                owners.add(owner)
    return [FIRST_OWNER, *sorted(owners)]
