"""The driver as a process: asks the keepers, writes its log, sends orders. All it decides is in `core`."""

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

STEP = 1.0  # seconds between looks at the fleet
PATIENCE = 2.0  # seconds for a keeper's answer
MOST_AT_ONCE = 64  # connections
LAST = 10.0  # seconds at the end for those that hold an older order to have the last one

# What the core asks to be done, just before and just after it is done: tests end the driver there.
Watcher = Callable[[str, Action], None]


class Run:
    def __init__(
        self, plan: Plan, store: Store, say: Callable[[str], None], watcher: Watcher | None = None
    ) -> None:  # fmt: skip
        """Raises MalformedError where the log is another plan's, or damaged."""
        text = msgspec.json.encode(plan).decode()
        if store.get_or_set("plan", text) != text:
            raise MalformedError("the log beside it is of another plan: undo that one, or move the log away")
        name = store.get_or_set("driver", secrets.token_hex(8))
        records = [record for _, record in store.records()]
        self.plan, self.store, self.say, self.watcher = plan, store, say, watcher
        self.driver = Driver(plan, name, records)
        self.room = anyio.CapacityLimiter(MOST_AT_ONCE)
        self.told = ""

    async def run(self) -> Phase:
        """To an end, or a hold."""
        over_since: float | None = None
        while True:
            began = time.monotonic()
            seen = await self.poll_keepers()
            self._heed()
            now = time.monotonic()
            acts = self.driver.step(now, seen)
            await self.carry_out(acts)
            self._tell()
            if self.driver.finished:
                over_since = over_since or now
                behind = any(isinstance(act, SendDocument) for act in acts)
                if not behind or now - over_since > LAST:
                    return self.driver.phase
            await anyio.sleep(max(STEP - (time.monotonic() - began), 0.0))

    async def poll_keepers(self) -> dict[str, NodeReport]:
        """Who answers."""
        seen: dict[str, NodeReport] = {}

        async def ask(name: str, address: str) -> None:
            data = await self._call(address, "/state", None)
            try:
                told = msgspec.json.decode(data, type=NodeReport) if data is not None else None
            except (msgspec.MsgspecError, ValueError):
                return
            if told is not None and told.name == name:
                seen[name] = told

        async with anyio.create_task_group() as group:
            for name, address in self.plan.nodes.items():
                group.start_soon(ask, name, address)
        return seen

    def _heed(self) -> None:
        for word in self.store.pending_requests():
            acts = {"pause": self._pause, "go-on": self.driver.resume, "stop": self.driver.stop,
                    "undo": self.driver.roll_back}[word]()  # fmt: skip
            self.say(f"a person says {word}")
            for act in acts:
                if isinstance(act, WriteRecord):
                    self.store.write(act.record, time.time())
        self.store.mark_requests_done()

    def _pause(self) -> list[Action]:
        self.driver.paused = True
        return []

    async def carry_out(self, acts: list[Action]) -> None:
        """In order: what is written stands on the disk before anything is sent."""
        for act in acts:
            if self.watcher:
                self.watcher("before", act)
            if isinstance(act, WriteRecord):
                self.store.write(act.record, time.time())
                self.say(act.record.words)
            else:
                await self._send(act)
            if self.watcher:
                self.watcher("after", act)

    async def _send(self, act: RequestClaim | SendDocument) -> None:
        path, what = ("/claim", act.claim) if isinstance(act, RequestClaim) else ("/order", act.document)
        body = msgspec.json.encode(what)
        async with anyio.create_task_group() as group:
            for name in act.names:
                group.start_soon(self._call, self.plan.nodes[name], path, body)

    async def _call(self, address: str, path: str, body: bytes | None) -> bytes | None:
        return await anyio.to_thread.run_sync(_call, address, path, body, limiter=self.room)

    def _tell(self) -> None:
        waits = (
            self.driver.waiting_reason.partition(" for ")[0]
            if "watched for" in self.driver.waiting_reason
            else self.driver.waiting_reason
        )
        if waits and waits != self.told:
            self.say(self.driver.waiting_reason)
        self.told = waits


def _call(address: str, path: str, body: bytes | None) -> bytes | None:
    try:
        return call(address, path, PATIENCE, body)
    except (OSError, ValueError):
        return None  # a refusal too: what the node holds shows why at the next look


def log_path(file: Path) -> Path:
    """Beside the plan."""
    return file.with_suffix(".log.sqlite")


def status(store: Store, seen: dict[str, NodeReport]) -> str:
    """For a person: what was meant and done, and what each node runs."""
    lines = [f"{time.strftime('%H:%M:%S', time.localtime(at))}  {record.phase:18} {record.words}"
             for at, record in store.records()]  # fmt: skip
    for name, each in sorted(seen.items()):
        document = each.document
        order = f"{document.number}.{document.revision}" if document else "no order"
        variants = document.variants if document else []
        runs = variants[each.running].name if 0 <= each.running < len(variants) else (
            "as its file says" if each.running == 0 else "nothing")  # fmt: skip
        more = f", refused: {each.refused}" if each.refused else ""
        lines.append(f"  {name:12} holds {order:8} runs {runs}, ended by itself {each.crashes} times{more}")
    return "\n".join(lines)
