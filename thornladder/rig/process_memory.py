"""The memory that a process takes, as a platform may count it: its own, and the kernel's for its sockets."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import anyio

RESIDENT_SAMPLE_SECONDS, KERNEL_SAMPLE_SECONDS = 0.02, 0.1
MEBIBYTE = 2**20
# Of Linux's `linux/sock_diag.h`, `linux/inet_diag.h` and `linux/netlink.h`.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY, _DUMP_REQUEST, _MESSAGE_DONE, _MESSAGE_ERROR = 20, 0x301, 3, 2
_INET_DIAG_SKMEMINFO = 7
_ALL_BUT_TIME_WAIT = 0xFFF & ~(1 << 6)
_HEADER, _ATTRIBUTE = struct.Struct("=IHHII"), struct.Struct("=HH")
_REQUEST = struct.Struct("=BBBxI48x")
_PORT, _INODE = struct.Struct("!4xH"), struct.Struct("=68xI")
_MESSAGE_BYTES = 72  # before the attributes
_SOCKET_MEMORY = struct.Struct("=9i")
_RECEIVE_BYTES = 2**20


class KernelSocket:
    """One TCP socket as the kernel reports it."""

    __slots__ = ("inode", "local_port", "memory")

    def __init__(self, inode: int, local_port: int, memory: int) -> None:
        """`inode`: 0 while no process has accepted it; `memory`: bytes allocated for it."""
        self.inode, self.local_port, self.memory = inode, local_port, memory


def kernel_sockets() -> Iterator[KernelSocket]:
    """All IPv4 TCP sockets of this machine. Raises OSError where the kernel does not tell."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as netlink:
        extensions = 1 << (_INET_DIAG_SKMEMINFO - 1)
        body = _REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, extensions, _ALL_BUT_TIME_WAIT)
        header = _HEADER.pack(_HEADER.size + len(body), _SOCK_DIAG_BY_FAMILY, _DUMP_REQUEST, 1, 0)
        netlink.send(header + body)
        while True:
            data = netlink.recv(_RECEIVE_BYTES)
            offset = 0
            while offset < len(data):
                length, kind, *_ = _HEADER.unpack_from(data, offset)
                if kind == _MESSAGE_DONE:
                    return
                if kind == _MESSAGE_ERROR:
                    raise OSError("the kernel lists no sockets")
                yield _parse_socket(data[offset + _HEADER.size : offset + length])
                offset += (length + 3) & ~3


def _parse_socket(message: bytes) -> KernelSocket:
    (port,), (inode,) = _PORT.unpack_from(message), _INODE.unpack_from(message)
    offset, memory = _MESSAGE_BYTES, 0
    while offset + _ATTRIBUTE.size <= len(message):
        length, kind = _ATTRIBUTE.unpack_from(message, offset)
        if kind == _INET_DIAG_SKMEMINFO:
            received, _, writing, _, forward, queued, options, backlog, _ = _SOCKET_MEMORY.unpack_from(
                message, offset + _ATTRIBUTE.size
            )
            memory = received + max(writing, queued) + max(forward, 0) + options + backlog
        offset += max((length + 3) & ~3, _ATTRIBUTE.size)
    return KernelSocket(inode, port, memory)


class MemorySampler:
    """The most memory that a process has had, by the kernel's count, in MB of 2**20 bytes."""

    def __init__(self, pid: int, port: int = 0) -> None:
        """`port`: where the process listens; what is queued there unaccepted counts, too."""
        self.pid, self.port = pid, port
        self.anonymous = self.resident = 0.0
        # Of its sockets, and the most at one time of both together.
        self.kernel = self.resident_and_kernel = self.anonymous_and_kernel = 0.0
        self._present_kernel = 0.0

    async def run(self) -> None:
        """Samples until it is cancelled."""
        next_kernel_sample = anyio.current_time()
        while True:
            if anyio.current_time() >= next_kernel_sample:
                self.sample_kernel()
                next_kernel_sample = anyio.current_time() + KERNEL_SAMPLE_SECONDS
            self.sample()
            await anyio.sleep(RESIDENT_SAMPLE_SECONDS)

    def sample(self) -> None:
        """Takes the present figures in; a process that has ended has none."""
        with suppress(OSError):
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
            fields = dict(line.split(":", 1) for line in lines if ":" in line)
            if "RssAnon" not in fields:
                return
            anonymous, resident, peak = (
                int(fields[name].split()[0]) / 1024.0 for name in ("RssAnon", "VmRSS", "VmHWM")
            )
            self.anonymous, self.resident = max(self.anonymous, anonymous), max(self.resident, peak)
            self.resident_and_kernel = max(self.resident_and_kernel, resident + self._present_kernel, peak)
            self.anonymous_and_kernel = max(self.anonymous_and_kernel, anonymous + self._present_kernel)

    def sample_kernel(self) -> None:
        """Takes in what the kernel holds for the process's sockets, those queued at its port included."""
        inodes = self._socket_inodes()
        held = sum(
            each.memory
            for each in kernel_sockets()
            if each.inode in inodes or (not each.inode and self.port and each.local_port == self.port)
        )
        self._present_kernel = held / MEBIBYTE
        self.kernel = max(self.kernel, self._present_kernel)

    def _socket_inodes(self) -> set[int]:
        inodes = set()
        with suppress(OSError):
            for descriptor in os.scandir(f"/proc/{self.pid}/fd"):
                with suppress(OSError):
                    target = os.readlink(descriptor.path)
                    if target.startswith("socket:["):
                        inodes.add(int(target[8:-1]))
        return inodes
