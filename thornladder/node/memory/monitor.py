"""Holds what the process really has against its limit, and says what is to be given up as room goes."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import IntEnum
from pathlib import Path
from socket import socket
from typing import Any

import anyio

from thornladder.node import kernel_buffers
from thornladder.node.memory import charges, usage
from thornladder.node.memory.budget import MemoryBudget
from thornladder.node.memory.plan import MIN_ROOM_SHARE
from thornladder.node.memory.usage import MemoryUsage


class MemoryLevel(IntEnum):
    """How much room is left; each level does what those before it do, too."""

    PLENTIFUL = 0  # large reads and kernel buffers
    MODERATE = 1  # reads and kernel buffers of the usual size
    LOW = 2  # what is idle is given back, and costly requests are refused unread on new connections
    SCARCE = 3  # what stands still is given up, and costly requests are refused on all connections
    EXHAUSTED = 4  # what stands still is given up sooner


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """The limit of one process, and the room that each level leaves; all in bytes."""

    limit: int
    at_rest: int

    # Of the room beyond rest; where that is little, more of it, up to what a burst takes between two looks.
    RESERVE_SHARE, LARGEST_RESERVE_SHARE = 1.0 / 6.0, 1.0 / 5.0
    BURST_BYTES = 4 * 2**20

    @property
    def effective(self) -> int:
        """The limit, but as much beyond rest as is divided in any case."""
        return max(self.limit, self.at_rest + round(MIN_ROOM_SHARE * self.limit))

    @property
    def room(self) -> int:
        """What the process may take beyond rest."""
        return self.effective - self.at_rest

    @property
    def reserve(self) -> int:
        """What is kept free for what is taken between two looks."""
        least = min(self.BURST_BYTES, self.LARGEST_RESERVE_SHARE * self.room)
        return round(max(self.RESERVE_SHARE * self.room, least))

    def level(self, free: int) -> MemoryLevel:
        """The level with so many bytes free."""
        if free < self.reserve:
            return MemoryLevel.EXHAUSTED
        if free < 2 * self.reserve:
            return MemoryLevel.SCARCE
        if free < 3 * self.reserve:
            return MemoryLevel.LOW
        return MemoryLevel.PLENTIFUL if 2 * free > self.room else MemoryLevel.MODERATE


class MemoryMonitor:
    """Measures the process now and then, more often under load, and corrects the message budget by it.

    Where the kernel does not tell, the charges alone go on, at `MemoryLevel.MODERATE`.
    """

    IDLE_SAMPLE_SECONDS, BUSY_SAMPLE_SECONDS = 0.25, 0.05
    MIN_SAMPLE_SECONDS = 0.01  # between samples that are asked for in between
    KERNEL_SAMPLE_SECONDS, LOW_KERNEL_SAMPLE_SECONDS = 0.1, 0.05  # the second from `MemoryLevel.LOW` on
    FILES_SAMPLE_SECONDS = 1.0
    TRIM_SECONDS = 0.1  # between returns of free memory to the kernel
    COLLECT_SECONDS = 1.0  # between collections of ended connections, which are in cycles with their tasks
    LOG_SECONDS = 1.0
    FEW_SOCKETS, BUSY_SOCKETS = 32, 64
    # Of the reserve, what may be granted until the next sample: a charge may be far too low.
    GRANTED_SHARE = 1.0 / 8.0
    MIN_GRANT_BYTES = 4 * charges.CHUNKED_BODY_BYTES
    LARGE_SHARE = 1.0 / 8.0  # of all room, that large buffers may take
    # What the kernel may hold of a connection that has sent nothing large, counted until it is measured.
    NEW_SOCKET_BYTES = kernel_buffers.CLIENT_RECEIVE_BYTES

    def __init__(
        self,
        limits: MemoryLimits,
        budget: MemoryBudget,
        own_files: Callable[[], Iterable[Path]],
        clock: Callable[[], float],
        log: Any,
    ) -> None:
        """`own_files`: paths of files that count as memory. `clock`: seconds."""
        self.limits, self.budget, self.clock, self.log = limits, budget, clock, log
        self.own_files = own_files
        self.sockets: Callable[[], Iterable[socket]] = tuple  # whose kernel memory counts
        self.queued_count: Callable[[], int] = lambda: 0  # connections that are not accepted yet
        self.socket_count: Callable[[], int] = lambda: 0  # at any time
        self.relieve: Callable[[MemoryLevel, int], int] = lambda level, missing: 0
        self.usage, self.peak = MemoryUsage(), MemoryUsage()
        self.level = MemoryLevel.MODERATE
        self.level_counts: Counter[MemoryLevel] = Counter()  # samples that found each level
        self.relieved_count = 0  # connections given up for memory
        budget.refresh = self.refresh
        self.is_available = usage.resident_bytes() > 0
        self._socket_count = self._measured_kernel = 0  # at the last look at the sockets
        self._sampled_at = self._kernel_sampled_at = self._files_sampled_at = -1e9
        self._trimmed_at = self._collected_at = self._logged_at = -1e9
        self._highest_unlogged = MemoryLevel.PLENTIFUL
        if not self.is_available:
            log.warning("the memory of this process cannot be read: charges alone limit it")

    @property
    def free(self) -> int:
        """How many bytes are left of the limit; negative above it."""
        return self.limits.effective - self.usage.total

    async def run(self) -> None:
        """Measures, and acts on what it finds, until it is cancelled."""
        while self.is_available:
            self.sample()
            is_busy = self.level > MemoryLevel.MODERATE or self._socket_count > self.BUSY_SOCKETS
            if self.budget.has_waiters:
                await anyio.sleep(self.MIN_SAMPLE_SECONDS)
            else:
                await anyio.sleep(self.BUSY_SAMPLE_SECONDS if is_busy else self.IDLE_SAMPLE_SECONDS)
        await anyio.sleep_forever()

    def refresh(self) -> None:
        """Measures unless that has just been done."""
        if self.is_available and self.clock() - self._sampled_at >= self.MIN_SAMPLE_SECONDS:
            self.sample()

    def sample(self) -> None:
        """Measures, and acts on what it finds."""
        self._measure()
        if self.level >= MemoryLevel.LOW:
            self._return_free_memory()
        if self.level >= MemoryLevel.LOW:
            missing = 3 * self.limits.reserve - self.free
            self.relieved_count += self.relieve(self.level, missing)
        self.level_counts[self.level] += 1
        grant = max(self.GRANTED_SHARE * self.limits.reserve, self.MIN_GRANT_BYTES)
        if not self._has_few_sockets:
            grant = min(grant, max(self.free - 2 * self.limits.reserve, 0))
        self.budget.set_measured_room(grant)
        is_plentiful = self.level is MemoryLevel.PLENTIFUL
        large_room = self.LARGE_SHARE * self.limits.room if is_plentiful else 0
        self.budget.buffers.set_room(round(large_room))
        self._log_level()

    def _measure(self) -> None:
        now = self.clock()
        self._sampled_at = now
        resident = usage.resident_bytes()
        files = self.usage.files
        new_sockets = max(self.socket_count() - self._socket_count, 0) + self.queued_count()
        kernel = self._measured_kernel + new_sockets * self.NEW_SOCKET_BYTES
        is_low = self.level >= MemoryLevel.LOW
        interval = self.LOW_KERNEL_SAMPLE_SECONDS if is_low else self.KERNEL_SAMPLE_SECONDS
        if now - self._kernel_sampled_at >= interval:
            sockets = list(self.sockets())
            self._socket_count, self._kernel_sampled_at = len(sockets), now
            kernel = self._measured_kernel = usage.sockets_bytes(sockets)
        if now - self._files_sampled_at >= self.FILES_SAMPLE_SECONDS:
            files, self._files_sampled_at = usage.files_bytes(self.own_files()), now
        self._set_usage(MemoryUsage(resident, kernel, files))

    def _set_usage(self, measured: MemoryUsage) -> None:
        self.usage = measured
        if measured.total > self.peak.total:
            self.peak = measured
        self.level = self.limits.level(self.free)
        if self._has_few_sockets:
            self.level = min(self.level, MemoryLevel.MODERATE)

    @property
    def _has_few_sockets(self) -> bool:
        """Whether so few connections are open that only what the allocator keeps can be short."""
        return self.socket_count() <= self.FEW_SOCKETS

    def _return_free_memory(self) -> None:
        if self._sampled_at - self._trimmed_at < self.TRIM_SECONDS:
            return
        self._trimmed_at = self._sampled_at
        if self.level >= MemoryLevel.SCARCE and self._sampled_at - self._collected_at >= self.COLLECT_SECONDS:
            self._collected_at = self._sampled_at
            gc.collect()
        usage.return_free_memory()
        self._set_usage(replace(self.usage, resident=usage.resident_bytes()))

    def _log_level(self) -> None:
        """Logs the highest level since the last line, if it asked for something to be given up."""
        self._highest_unlogged = max(self._highest_unlogged, self.level)
        if (
            self._highest_unlogged < MemoryLevel.SCARCE
            or self._sampled_at - self._logged_at < self.LOG_SECONDS
        ):
            return
        self.log.info(
            "memory is short", room=self._highest_unlogged.name.lower(), limit=self.limits.limit,
            resident=self.usage.resident, kernel=self.usage.kernel, files=self.usage.files,
            relieved=self.relieved_count,
        )  # fmt: skip
        self._logged_at, self._highest_unlogged = self._sampled_at, MemoryLevel.PLENTIFUL
