"""Ids of requests that must not be taken again: those that are open, and those that may have run lately."""

from __future__ import annotations

import errno
import fcntl
import os
import struct
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

REMEMBERED_SECONDS = 30.0  # for which an id that may have run is refused after its end
MAX_REMEMBERED = 4096
_FLOCK = struct.Struct("hhqqi")  # Linux's `struct flock` on 64-bit machines


class SharedIds:
    """Ids in use by any process of a node: each is a lock on a byte of a file, and ends with its process."""

    def __init__(self, path: Path, log: Any) -> None:
        """Raises OSError if the file cannot be opened."""
        self._log = log
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def acquire(self, id: str) -> bool:
        """Takes an id; returns False if another process has it. One that cannot be locked counts as taken."""
        try:
            self._set_lock(id, fcntl.F_WRLCK)
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.EACCES):
                return False
            self._log.warning("an id could not be locked", error=repr(error))
        return True

    def release(self, id: str) -> None:
        """Gives an id back."""
        try:
            self._set_lock(id, fcntl.F_UNLCK)
        except OSError as error:
            self._log.warning("an id could not be unlocked", error=repr(error))

    def _set_lock(self, id: str, kind: int) -> None:
        position = int.from_bytes(blake2b(id.encode(), digest_size=8).digest(), "big") >> 2
        fcntl.fcntl(self._file, fcntl.F_OFD_SETLK, _FLOCK.pack(kind, os.SEEK_SET, position, 1, 0))


@dataclass(slots=True)
class _OpenId:
    holds: int = 1
    may_have_run: bool = False


class RequestIds:
    """Tells whether an id may be taken.

    An id is open while its request is handled or its answer is written. One that may have run is remembered
    after that: a request with it would run a second time.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.shared: SharedIds | None = None  # among the processes of a node
        self._open: dict[str, _OpenId] = {}
        self._remembered: dict[str, float] = {}  # until when, oldest first

    def open(self, id: str) -> bool:
        """Takes an id, with one hold on it; returns False if it must not be taken."""
        self._forget_expired()
        if id in self._open or id in self._remembered:
            return False
        if self.shared is not None and not self.shared.acquire(id):
            return False
        self._open[id] = _OpenId()
        return True

    def hold(self, id: str) -> None:
        """Keeps an open id open until one more `release`."""
        self._open[id].holds += 1

    def release(self, id: str, may_have_run: bool = False) -> None:
        """Ends a hold; with the last one the id is closed, and remembered if it may have run."""
        entry = self._open[id]
        entry.holds -= 1
        entry.may_have_run = entry.may_have_run or may_have_run
        if entry.holds:
            return
        del self._open[id]
        if entry.may_have_run:
            self._remembered[id] = self.clock() + REMEMBERED_SECONDS
        elif self.shared is not None:
            self.shared.release(id)

    def _forget_expired(self) -> None:
        now = self.clock()
        while self._remembered:
            id, until = next(iter(self._remembered.items()))
            if until > now and len(self._remembered) <= MAX_REMEMBERED:
                return
            del self._remembered[id]
            if self.shared is not None:
                self.shared.release(id)
