"""Background tasks of the node: an unexpected error ends the task that it occurs in, and not the node."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup


class Tasks:
    """A task group in which an error of one task does not cancel the others."""

    # Delay before a supervised task is restarted: long enough not to spin on errors, short for those who
    # wait.
    RESTART_DELAY_SECONDS = 0.05
    MAX_RESTART_DELAY_SECONDS = 0.4  # the delay doubles up to this with each error soon after a restart

    def __init__(self, group: TaskGroup, log: Any) -> None:
        self.group, self.log = group, log

    def start(self, name: str, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Runs a task in the background; an unexpected error ends it and is logged as "<name> failed"."""
        self.group.start_soon(self._run, name, task, args)

    def supervise(self, name: str, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Runs a task that the node cannot do without: after an error it is restarted, with a backoff."""
        self.group.start_soon(self._supervise, name, task, args)

    def cancel_all(self) -> None:
        """Cancels every task of the group."""
        self.group.cancel_scope.cancel()

    async def _run(self, name: str, task: Callable[..., Awaitable[None]], args: tuple) -> bool:
        try:
            await task(*args)
        except Exception:
            self.log.exception(f"{name} failed")
            return False
        return True

    async def _supervise(self, name: str, task: Callable[..., Awaitable[None]], args: tuple) -> None:
        delay = self.RESTART_DELAY_SECONDS
        started_at = anyio.current_time()
        while not await self._run(name, task, args):
            if anyio.current_time() - started_at > self.MAX_RESTART_DELAY_SECONDS:
                delay = self.RESTART_DELAY_SECONDS  # it ran well before this error
            await anyio.sleep(delay)
            delay = min(2.0 * delay, self.MAX_RESTART_DELAY_SECONDS)
            started_at = anyio.current_time()
