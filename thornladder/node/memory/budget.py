"""The memory that messages may occupy in a node, shared by requests and responses.

What a connection costs by itself, small reads included, is in the limit on their number
(`memory.plan.MemoryPlan`). Whatever needs more reserves it here before it reads on: without room nothing is
read, and TCP holds the sender back.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from thornladder.node import streams
from thornladder.node.kernel_buffers import LargeMessageBuffers


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A holder that waits for room in a `MemoryBudget`."""

    size: int
    holder: object
    granted: anyio.Event
    since: float  # on the event loop's clock


class MemoryBudget:
    """Limits the memory, in bytes, that messages occupy in this node; first come, first served.

    Without it many large messages, or slow readers of them, would exhaust the memory.
    """

    def __init__(self, limit: int) -> None:
        self._limit, self.used = limit, 0
        self.buffers = LargeMessageBuffers()
        self.refresh: Callable[[], None] = lambda: None  # measures the process anew, where that is due
        self._measured_room = math.inf  # what may be reserved before the process is measured again
        # The one holder that may exceed the limit, so that holders cannot deadlock on each other.
        self.overdraft_holder: object | None = None
        self._waiters: deque[_Waiter] = deque()

    @property
    def limit(self) -> int:
        """The limit in bytes, which one holder may exceed."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit
        self._grant_waiters()

    def set_measured_room(self, size: float) -> None:
        """Sets how many bytes may be reserved until the next call, by what the process really has."""
        self._measured_room = size
        self._grant_waiters()

    @property
    def longest_wait_seconds(self) -> float:
        """For how long the first of those that wait for room has done so; 0 if nobody waits."""
        return anyio.current_time() - self._waiters[0].since if self._waiters else 0.0

    @property
    def has_waiters(self) -> bool:
        """Whether anyone waits for room."""
        return bool(self._waiters)

    @property
    def wanted(self) -> int:
        """How many bytes those that wait for room want in all."""
        return sum(waiter.size for waiter in self._waiters)

    def has_room(self, size: int, holder: object) -> bool:
        """Whether `holder` would get `size` bytes without waiting."""
        if self._waiters:
            return False
        if size > self._measured_room:
            self.refresh()
        return self._fits(size, holder)

    async def acquire(self, size: int, holder: object) -> None:
        """Reserves `size` bytes, waiting until they fit the limit or no other holder exceeds it.

        One holder may exceed the limit: otherwise several with a part each could all wait forever. The wait
        has no limit of its own: the caller has to end it in time.
        """
        if self.has_room(size, holder):
            self._reserve(size, holder)
            return
        waiter = _Waiter(size, holder, anyio.Event(), anyio.current_time())
        self._waiters.append(waiter)
        try:
            await waiter.granted.wait()
        except BaseException:
            if waiter.granted.is_set():
                self.release(size, holder)
            else:
                self._waiters.remove(waiter)
            raise

    def release(self, size: int, holder: object = None) -> None:
        """Returns `size` bytes, and the holder's right to exceed the limit."""
        if self.overdraft_holder is holder:
            self.overdraft_holder = None
        self.used -= size
        self._grant_waiters()

    def _fits(self, size: int, holder: object) -> bool:
        fits = self.used + size <= self._limit and size <= self._measured_room
        return fits or self.overdraft_holder in (None, holder)

    def _reserve(self, size: int, holder: object) -> None:
        if self.used + size > self._limit or size > self._measured_room:
            self.overdraft_holder = holder
        self.used += size
        self._measured_room -= size

    def _grant_waiters(self) -> None:
        while self._waiters and self._fits(self._waiters[0].size, self._waiters[0].holder):
            waiter = self._waiters.popleft()
            self._reserve(waiter.size, waiter.holder)
            waiter.granted.set()


class Reservation:
    """The bytes of a `MemoryBudget` that one holder has reserved for one message."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.size = budget, 0

    def must_wait_for(self, size: int) -> bool:
        """Whether growing to `size` bytes would have to wait."""
        return size > self.size and not self.budget.has_room(size - self.size, self)

    def max_read_bytes(self, stream: SocketStream) -> int:
        """How much the holder may read at once from its connection."""
        if not self.size:
            return streams.SMALL_READ_BYTES
        return streams.LARGE_READ_BYTES if self.budget.buffers.is_large(stream) else streams.MAX_READ_BYTES

    async def grow_to(self, size: int) -> None:
        """Reserves what is missing to `size` bytes, waiting for it as `MemoryBudget.acquire` does."""
        if size > self.size:
            missing = size - self.size
            await self.budget.acquire(missing, self)
            self.size += missing

    def release(self) -> None:
        """Gives all of it back; it may grow again."""
        if self.size:
            size, self.size = self.size, 0
            self.budget.release(size, self)
