"""What this process really has: its own memory, the kernel's for its sockets, and its files."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Of Linux's `asm-generic/socket.h` and `linux/sock_diag.h`.
_SO_MEMINFO = 55
_SOCKET_MEMORY = struct.Struct("=9i")


@dataclass(frozen=True, slots=True)
class MemoryUsage:
    """Memory of one process by kind, in bytes."""

    resident: int = 0
    kernel: int = 0  # allocated to its sockets
    files: int = 0  # in its private folder, which counts as memory

    @property
    def total(self) -> int:
        """All kinds together."""
        return self.resident + self.kernel + self.files


def resident_bytes() -> int:
    """The memory that this process has now; 0 where the kernel does not tell."""
    try:
        resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return resident_pages * _PAGE_BYTES


def socket_bytes(connected: socket.socket) -> int:
    """What the kernel has allocated for a socket's data. Raises OSError where it does not tell."""
    data = connected.getsockopt(socket.SOL_SOCKET, _SO_MEMINFO, _SOCKET_MEMORY.size)
    try:
        received, _, writing, _, forward, queued, options, backlog, _ = _SOCKET_MEMORY.unpack(data)
    except (struct.error, TypeError) as error:
        raise OSError("the kernel does not tell the memory of a socket") from error
    return received + max(writing, queued) + max(forward, 0) + options + backlog


def sockets_bytes(sockets: Iterable[socket.socket]) -> int:
    """The sum of `socket_bytes`; those that are being closed count as none."""
    total = 0
    for each in sockets:
        with suppress(Exception):
            total += socket_bytes(each)
    return total


def files_bytes(paths: Iterable[Path]) -> int:
    """What these files take; those that cannot be read count as none."""
    total = 0
    with suppress(OSError):
        for path in paths:
            with suppress(OSError):
                total += path.stat().st_size
    return total


def return_free_memory() -> None:
    """Gives what the C library's allocator keeps of freed memory back to the kernel, where it can."""
    trim = _find_malloc_trim()
    if trim is not None:
        trim(0)


@cache
def _find_malloc_trim() -> Any:
    import ctypes  # takes memory that a process without need of this can spare

    with suppress(AttributeError, OSError):
        return ctypes.CDLL(None).malloc_trim
    return None
