"""Tasks that belong to no one connection: an error in one of them ends what it concerns, and not the node."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup


class Tasks:
    """A task group whose tasks cannot end each other. Cancelling it ends them all."""

    RESTART_DELAY_SECONDS = (
        0.05  # seconds until a task that is kept begins anew: no loop of errors, nobody waits for long
    )
    MAX_RESTART_DELAY_SECONDS = (
        0.4  # seconds: the longest such wait, which doubles with each error that follows at once
    )

    def __init__(self, group: TaskGroup, log: Any) -> None:
        self.group, self.log = group, log

    def start(self, what: str, task: Callable[..., Awaitable[None]], *given: Any) -> None:
        """Runs it beside the others; `what` names it in the log line of an error that nobody foresaw."""
        self.group.start_soon(self._run, what, task, given)

    def supervise(self, what: str, task: Callable[..., Awaitable[None]], *given: Any) -> None:
        """The same for one that the node cannot do without: after an error it begins anew."""
        self.group.start_soon(self._supervise, what, task, given)

    def cancel_all(self) -> None:
        self.group.cancel_scope.cancel()

    async def _run(self, what: str, task: Callable[..., Awaitable[None]], given: tuple) -> bool:
        try:
            await task(*given)
        except Exception:
            self.log.exception(f"{what} failed")
            return False
        return True

    async def _supervise(self, what: str, task: Callable[..., Awaitable[None]], given: tuple) -> None:
        wait = self.RESTART_DELAY_SECONDS
        began = anyio.current_time()
        while not await self._run(what, task, given):
            if anyio.current_time() - began > self.MAX_RESTART_DELAY_SECONDS:
                wait = self.RESTART_DELAY_SECONDS  # it had run well
            await anyio.sleep(wait)
            wait = min(2.0 * wait, self.MAX_RESTART_DELAY_SECONDS)
            began = anyio.current_time()
