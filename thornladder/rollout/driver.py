"""The driver process: polls keepers, writes the log, sends documents. All decisions are made in `core`."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec

from thornladder.asking import call
from thornladder.fields import MalformedError
from thornladder.rollout.core import (
    Action,
    Driver,
    NodeReport,
    Phase,
    RequestClaim,
    SendDocument,
    WriteRecord,
)
from thornladder.rollout.plan import Plan
from thornladder.rollout.store import Store

STEP_SECONDS = 1.0  # between polls of the fleet
REQUEST_TIMEOUT_SECONDS = 2.0
MAX_CONNECTIONS = 64
FINAL_SEND_SECONDS = 10.0  # at the end, to get the last document to nodes that have an older one

# Called with "before" or "after" and each action that the core asks for; tests kill the driver there.
Watcher = Callable[[str, Action], None]


class Run:
    """One driver process for a plan and its log."""

    def __init__(
        self, plan: Plan, store: Store, report: Callable[[str], None], watcher: Watcher | None = None
    ) -> None:  # fmt: skip
        """Raises MalformedError if the log is damaged or belongs to another plan."""
        text = msgspec.json.encode(plan).decode()
        if store.get_or_set("plan", text) != text:
            raise MalformedError(
                "the log next to it belongs to another plan: undo that one, or move the log away"
            )
        name = store.get_or_set("driver", secrets.token_hex(8))
        records = [record for _, record in store.records()]
        self.plan, self.store, self.report, self.watcher = plan, store, report, watcher
        self.driver = Driver(plan, name, records)
        self.limiter = anyio.CapacityLimiter(MAX_CONNECTIONS)
        self.reported_reason = ""

    async def run(self) -> Phase:
        """Runs until a final phase, which includes a hold, and returns it."""
        finished_at: float | None = None
        while True:
            step_started_at = time.monotonic()
            reports = await self.poll_keepers()
            self._handle_requests()
            now = time.monotonic()
            actions = self.driver.step(now, reports)
            await self.carry_out(actions)
            self._report_waiting_reason()
            if self.driver.finished:
                finished_at = finished_at or now
                some_outdated = any(isinstance(action, SendDocument) for action in actions)
                if not some_outdated or now - finished_at > FINAL_SEND_SECONDS:
                    return self.driver.phase
            await anyio.sleep(max(STEP_SECONDS - (time.monotonic() - step_started_at), 0.0))

    async def poll_keepers(self) -> dict[str, NodeReport]:
        """Reports of all nodes whose keeper answered, by node."""
        reports: dict[str, NodeReport] = {}

        async def poll(name: str, address: str) -> None:
            data = await self._call(address, "/state", None)
            try:
                report = msgspec.json.decode(data, type=NodeReport) if data is not None else None
            except (msgspec.MsgspecError, ValueError):
                return
            if report is not None and report.name == name:
                reports[name] = report

        async with anyio.create_task_group() as group:
            for name, address in self.plan.nodes.items():
                group.start_soon(poll, name, address)
        return reports

    def _handle_requests(self) -> None:
        for word in self.store.pending_requests():
            actions = {"pause": self._pause, "go-on": self.driver.resume, "stop": self.driver.stop,
                       "undo": self.driver.roll_back}[word]()  # fmt: skip
            self.report(f"operator request: {word}")
            for action in actions:
                if isinstance(action, WriteRecord):
                    self.store.write(action.record, time.time())
        self.store.mark_requests_done()

    def _pause(self) -> list[Action]:
        self.driver.paused = True
        return []

    async def carry_out(self, actions: list[Action]) -> None:
        """Carries the actions out in order, so that a record is on disk before anything is sent."""
        for action in actions:
            if self.watcher:
                self.watcher("before", action)
            if isinstance(action, WriteRecord):
                self.store.write(action.record, time.time())
                self.report(action.record.words)
            else:
                await self._send(action)
            if self.watcher:
                self.watcher("after", action)

    async def _send(self, action: RequestClaim | SendDocument) -> None:
        path, payload = (
            ("/claim", action.claim) if isinstance(action, RequestClaim) else ("/order", action.document)
        )
        body = msgspec.json.encode(payload)
        async with anyio.create_task_group() as group:
            for name in action.names:
                group.start_soon(self._call, self.plan.nodes[name], path, body)

    async def _call(self, address: str, path: str, body: bytes | None) -> bytes | None:
        return await anyio.to_thread.run_sync(_call, address, path, body, limiter=self.limiter)

    def _report_waiting_reason(self) -> None:
        """Reports a new reason once; the elapsed time in "watched for ..." does not make it new."""
        reason = (
            self.driver.waiting_reason.partition(" for ")[0]
            if "watched for" in self.driver.waiting_reason
            else self.driver.waiting_reason
        )
        if reason and reason != self.reported_reason:
            self.report(self.driver.waiting_reason)
        self.reported_reason = reason


def _call(address: str, path: str, body: bytes | None) -> bytes | None:
    """Response body, or None on any error; a refusal is one too, and the next poll shows its cause."""
    try:
        return call(address, path, REQUEST_TIMEOUT_SECONDS, body)
    except (OSError, ValueError):
        return None


def log_path(file: Path) -> Path:
    """Path of the log that belongs to a plan file."""
    return file.with_suffix(".log.sqlite")


def status(store: Store, reports: dict[str, NodeReport]) -> str:
    """Text for operators: the log, and what each node runs."""
    lines = [f"{time.strftime('%H:%M:%S', time.localtime(at))}  {record.phase:18} {record.words}"
             for at, record in store.records()]  # fmt: skip
    for name, report in sorted(reports.items()):
        document = report.document
        version = f"{document.number}.{document.revision}" if document else "no order"
        variants = document.variants if document else []
        running = variants[report.running].name if 0 <= report.running < len(variants) else (
            "as its file says" if report.running == 0 else "nothing")  # fmt: skip
        refusal = f", refused: {report.refused}" if report.refused else ""
        lines.append(
            f"  {name:12} holds {version:8} runs {running}, ended by itself {report.crashes} times{refusal}"
        )
    return "\n".join(lines)
