"""Signals of a node's process, and its orderly end: each request that it has taken gets its answer first."""

from __future__ import annotations

import math
import signal
from collections.abc import Callable, Sequence
from typing import Any

import anyio
from anyio.abc import TaskStatus

from thornladder.node.clients.front import Front
from thornladder.node.companion import NodeExtension
from thornladder.node.host import NodeHost
from thornladder.node.shutdown import ACCEPT_SECONDS, ShutdownSchedule
from thornladder.node.tasks import Tasks

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# For extensions to tell other nodes that this process exits; well within the time allowed for a shutdown.
EXTENSION_STOP_SECONDS = 0.2
POLL_SECONDS = 0.02  # between looks at what is unanswered, if the connections cannot be drained


class Termination:
    """Ends a node's process once it is told to: drains it, stops its extensions, cancels all tasks."""

    def __init__(
        self,
        front: Front,
        host: NodeHost,
        announce_leaving: Callable[[], None],
        tasks: Tasks,
        log: Any,
        extensions: Sequence[NodeExtension],
        end_process: Callable[[], None] | None = None,
    ) -> None:
        """`announce_leaving` tells the node's other processes; it is called before the drain begins.

        `end_process` ends the process once there is nothing left to do: cancelling some hundred connections
        takes longer than the process may have. None: the tasks are cancelled.
        """
        self.end_process = end_process
        self.front, self.host, self.announce_leaving = front, host, announce_leaving
        self.tasks, self.log, self.extensions = tasks, log, extensions
        self.begun = False

    def begin(self, signal_name: str, before_start: bool = False, arrived_at: float = math.inf) -> None:
        """Starts the shutdown; does nothing if it has begun.

        `before_start`: the signal was sent at some time before this process could handle it. `arrived_at`:
        when it arrived, by the host's clock; the event loop may have been busy since.
        """
        if self.begun:
            return
        self.begun = True
        latest = min(self.host.last_live_at, arrived_at)
        signalled_at = latest - (ACCEPT_SECONDS if before_start else 0.0)
        schedule = ShutdownSchedule(signalled_at, self.front.server_state.shutdown_deadline)
        self.log.info("leaving", signal=signal_name)
        self.tasks.start("leaving", self._run, schedule)

    async def _run(self, schedule: ShutdownSchedule) -> None:
        try:
            self._announce()
            self.host.begin_shutdown(schedule.answer_by)
            await self._drain(schedule)
            await self._stop_extensions()
            await self._end_connections()
            self._log_end(schedule)
        finally:
            # From here on there is nothing left that a signal could ask for, and nobody to handle one.
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
            if self.end_process is not None:
                self.end_process()
            self.tasks.cancel_all()

    def _announce(self) -> None:
        try:
            self.announce_leaving()
        except Exception:
            self.log.exception("the other processes of this node could not be told")

    async def _drain(self, schedule: ShutdownSchedule) -> None:
        try:
            await self.front.drain(schedule, self.host.end_unanswered)
            return
        except Exception:
            self.log.exception("draining the connections failed")
        while self.host.unanswered and self.host.clock() < schedule.answer_by:
            await anyio.sleep(POLL_SECONDS)
        self.host.end_unanswered()
        await anyio.sleep(Front.SETTLE_SECONDS)

    async def _stop_extensions(self) -> None:
        has_successor = self.front.server_state.has_successor
        for extension in self.extensions:
            with anyio.move_on_after(EXTENSION_STOP_SECONDS):
                try:
                    await extension.stop(has_successor)
                except Exception:
                    self.log.exception("an extension could not be stopped")

    async def _end_connections(self) -> None:
        try:
            await self.front.end_all(self.host.end_unanswered)
        except Exception:
            self.log.exception("the last connections could not be ended in order")

    def _log_end(self, schedule: ShutdownSchedule) -> None:
        now = self.host.clock()
        for exchange in self.host.unanswered:
            self.log.error(
                "an invocation was left unanswered",
                id=exchange.invocation.id,
                offering=exchange.invocation.offering,
                received_after_signal=round(exchange.received_at - schedule.signalled_at, 3),
                time_left=round(exchange.received_at + exchange.time_budget - now, 3),
            )
        self.log.info("left", seconds=round(now - schedule.signalled_at, 3))


async def handle_signals(
    termination: Termination, reload: Callable[[], None], log: Any, *, task_status: TaskStatus
) -> None:
    """Reloads the configuration on SIGHUP and shuts down on SIGTERM or SIGINT, until it is cancelled."""
    pending = signal.sigpending()
    arrivals: dict[int, float] = {}
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        for signal_number in HANDLED_SIGNALS:
            # Runs at once; the receiver is told by the event loop, some of its turns later.
            signal.signal(
                signal_number, lambda number, _: arrivals.setdefault(number, termination.host.clock())
            )
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        task_status.started()
        async for signal_number in signals:
            if signal_number is not signal.SIGHUP:
                termination.begin(
                    signal_number.name,
                    before_start=signal_number in pending,
                    arrived_at=arrivals.get(signal_number, math.inf),
                )
                continue
            try:
                reload()
            except Exception:
                log.exception("reloading the configuration failed")
