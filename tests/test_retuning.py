"""Reloading the configuration on SIGHUP while invocations are in flight: applied completely or not at all."""

from __future__ import annotations

import copy
import dataclasses
import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest
from harness import OFFERINGS, SETTINGS, FakeHost, FakeServer, ReceivedMessage, config, entry, reply
from test_process import connect, running_node

from thornladder import settings
from thornladder.fields import MalformedError
from thornladder.interface import Idempotency, Limits, Outcome

pytestmark = pytest.mark.anyio
LOOK, PAY, BOOK = SETTINGS["Classes"]


class LogReader:
    """Reads the JSON log lines of a process one by one."""

    def __init__(self, process: anyio.abc.Process) -> None:
        self.process, self.buffer = process, b""

    async def next(self) -> dict:
        with anyio.fail_after(2.0):
            while b"\n" not in self.buffer:
                self.buffer += await self.process.stderr.receive()
        line, _, self.buffer = self.buffer.partition(b"\n")
        return json.loads(line)


def set_value(path: tuple, value: Any) -> Callable[[dict], None]:
    """A function that sets the value at this path of a configuration, or deletes it if the value is None."""

    def apply(file: dict) -> None:
        parent = file
        for key in path[:-1]:
            parent = parent[key]
        if value is None:
            del parent[path[-1]]
        else:
            parent[path[-1]] = value

    return apply


# What to change, as path and value, and a key that the error has to name.
MALFORMED = {
    "missing": ((("settings", "Classes", 0, "HardLimit"), None), "HardLimit"),
    "no deadline": ((("settings", "Classes", 1, "HardLimit"), 0), "HardLimit"),
    "negative": ((("settings", "Classes", 1, "HardLimit"), -5), "HardLimit"),
    "text": ((("settings", "Classes", 0, "HardLimit"), "1000000"), "HardLimit"),
    "nan": ((("settings", "Classes", 0, "HardLimit"), float("nan")), "HardLimit"),
    "infinite": ((("settings", "Classes", 0, "Aim"), float("inf")), "Aim"),
    "no attempts": ((("settings", "PolicyLimits", "MaxAttempts"), 0), "MaxAttempts"),
    "attempts": ((("settings", "PolicyLimits", "MaxAttempts"), True), "MaxAttempts"),
    "half an attempt": ((("settings", "PolicyLimits", "MaxAttempts"), 1.5), "MaxAttempts"),
    "no limit on attempts": ((("settings", "PolicyLimits", "MaxAttempts"), None), "MaxAttempts"),
    "no rules": ((("settings", "Rules"), None), "Rules"),
    "no grace": ((("settings", "Rules", "DrainGrace"), None), "DrainGrace"),
    "no classes": ((("settings", "Classes"), []), "Classes"),
    "no settings": ((("settings",), None), "settings"),
    "no limits": ((("limits",), None), "limits"),
    "effect": ((("settings", "Classes", 0, "Effect"), "odd"), "Effect"),
    "twice": ((("settings", "Classes", 0, "Name"), "pay"), "Classes"),
}  # fmt: skip


async def test_malformed_configuration_is_rejected_as_a_whole(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    backend = FakeServer(lambda _: reply(200))
    async with running_node(tmp_path, backend) as (process, port):
        log_reader, original = LogReader(process), path.read_text()
        files = [("", "not JSON"), (original[:-9], "not JSON"), ("[]", "object")]
        for (path_in_file, value), key in MALFORMED.values():
            file = json.loads(original)
            file["settings"]["Classes"].append({**LOOK, "Name": "new"})
            set_value(path_in_file, value)(file)
            files.append((json.dumps(file), key))
        for text, error in files:
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            line = await log_reader.next()
            assert line["event"].startswith("the new configuration is bad") and error in line["error"], text
        assert (await (await connect(port)).ask("a", "new")).target == "404"
        for name in ("look", "pay", "book"):
            assert (await (await connect(port)).ask(f"a-{name}", name)).target == "200"


async def test_settings_change_while_invocations_are_in_flight(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    backend_answers = False

    def answer(got: ReceivedMessage) -> bytes | None:
        return reply(200) if backend_answers else None

    async with running_node(tmp_path, FakeServer(answer)) as (process, port):
        log_reader = LogReader(process)
        kept, removed = await connect(port), await connect(port)
        await kept.send("a0", "look", 600)
        await removed.send("a1", "book", 400)
        file = json.loads(path.read_text())
        file["settings"]["Classes"] = [{**LOOK, "Effect": "single_shot", "HardLimit": 200000}, PAY,
                                       {**LOOK, "Name": "new"}]  # fmt: skip
        file["settings"]["PolicyLimits"]["MaxAttempts"] = 1
        path.write_text(json.dumps(file))
        await anyio.sleep(0.1)
        process.send_signal(signal.SIGHUP)
        assert (await log_reader.next())["offerings"] == ["look", "new", "pay"]
        # Invocations in flight keep their old offering: the repeatable one may be retried, so it is nacked.
        assert (await removed.answer()).target == "502"
        assert (await kept.answer()).target == "503"
        backend_answers = True
        assert (await (await connect(port)).ask("b0", "book")).target == "404"
        # The backend did not answer so far; the new offering is served once the backend is readmitted.
        with anyio.fail_after(5.0):
            number = 0
            while (await (await connect(port)).ask(f"c{number}", "new")).target != "200":
                number += 1
                await anyio.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


def test_new_idempotency_applies_to_later_invocations_only() -> None:
    bench = FakeHost(hedging=False)
    policy = settings.policy_arguments(SETTINGS)
    bench.send_list([entry(number) for number in range(4)])
    before = bench.submit("a", "look")
    stricter = [dataclasses.replace(OFFERINGS[0], idempotency=Idempotency.ONCE_ONLY), *OFFERINGS[2:]]
    limits = Limits(max_pushes=2, hedging=False, cancellation=True, probes=True, max_retry_after=0.5)
    bench.node.on_settings(bench.now, **{**policy, "offerings": stricter, "limits": limits, "zone": "x"})
    bench.end_push("a", 0, Outcome.CONNECTION_LOST)
    assert len(before.pushes) == 2  # repeatable, as on arrival
    after = bench.submit("b", "look")
    after.offering = stricter[0]
    bench.end_push("b", 0, Outcome.CONNECTION_LOST)
    assert len(after.pushes) == 1 and after.final == "terminated"
    third = bench.submit("c", "book")
    bench.end_push("c", 0, Outcome.REJECTED)
    bench.end_push("c", 1, Outcome.REJECTED)
    assert len(third.pushes) == 2  # the new, lower limit on pushes
    assert "pay" not in bench.node.offerings


def test_only_list_items_and_booleans_that_no_page_names_may_be_left_out() -> None:
    current = config([], 1)
    current["settings"]["Later"] = {"Flag": True, "Figure": 1}
    new = copy.deepcopy(current)
    del new["settings"]["Classes"][2], new["settings"]["Later"]["Flag"]
    settings.check_reload(current, new)
    for path in (
        ("settings", "PolicyLimits", "SecondCopies"),
        ("settings", "Classes", 1, "Worth"),
        ("settings", "Later", "Figure"),
        ("settings", "Later"),
        ("limits",),
    ):
        lacking = copy.deepcopy(new)
        set_value(path, None)(lacking)
        name = ".".join("pay" if key == 1 else key for key in path)
        with pytest.raises(MalformedError, match=f"^{name} is missing$"):
            settings.check_reload(current, lacking)
