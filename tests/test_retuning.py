"""New settings at SIGHUP: whole or not at all, while invocations are in hand."""

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
from harness import OFFERINGS, SETTINGS, Bench, Got, Peer, config, entry, reply
from test_process import connect, running_node

from thornladder import settings
from thornladder.fields import MalformedError
from thornladder.interface import Idempotency, Limits, Outcome

pytestmark = pytest.mark.anyio
LOOK, PAY, BOOK = SETTINGS["Classes"]


class Lines:
    """The log lines of a process, as they come."""

    def __init__(self, process: anyio.abc.Process) -> None:
        self.process, self.text = process, b""

    async def next(self) -> dict:
        with anyio.fail_after(2.0):
            while b"\n" not in self.text:
                self.text += await self.process.stderr.receive()
        line, _, self.text = self.text.partition(b"\n")
        return json.loads(line)


def change(path: tuple, value: Any) -> Callable[[dict], None]:
    def made(file: dict) -> None:
        at = file
        for name in path[:-1]:
            at = at[name]
        if value is None:
            del at[path[-1]]
        else:
            at[path[-1]] = value

    return made


BAD = {
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


async def test_a_file_that_is_not_whole_is_turned_down_whole(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    backend = Peer(lambda _: reply(200))
    async with running_node(tmp_path, backend) as (process, port):
        lines, good = Lines(process), path.read_text()
        files = [("", "not JSON"), (good[:-9], "not JSON"), ("[]", "object")]
        for (where, value), name in BAD.values():
            file = json.loads(good)
            file["settings"]["Classes"].append({**LOOK, "Name": "new"})
            change(where, value)(file)
            files.append((json.dumps(file), name))
        for text, name in files:
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            line = await lines.next()
            assert line["event"].startswith("the new configuration is bad") and name in line["error"], text
        assert (await (await connect(port)).ask("a", "new")).target == "404"
        for name in ("look", "pay", "book"):
            assert (await (await connect(port)).ask(f"a-{name}", name)).target == "200"


async def test_settings_change_under_what_is_in_hand(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    quick = False

    def answer(got: Got) -> bytes | None:
        return reply(200) if quick else None

    async with running_node(tmp_path, Peer(answer)) as (process, port):
        lines = Lines(process)
        busy, gone = await connect(port), await connect(port)
        await busy.send("a0", "look", 600)
        await gone.send("a1", "book", 400)
        file = json.loads(path.read_text())
        file["settings"]["Classes"] = [{**LOOK, "Effect": "single_shot", "HardLimit": 200000}, PAY,
                                       {**LOOK, "Name": "new"}]  # fmt: skip
        file["settings"]["PolicyLimits"]["MaxAttempts"] = 1
        path.write_text(json.dumps(file))
        await anyio.sleep(0.1)
        process.send_signal(signal.SIGHUP)
        assert (await lines.next())["offerings"] == ["look", "new", "pay"]
        # In hand they are what they were: nacked, since a repeatable one may come again.
        assert (await gone.answer()).target == "502"
        assert (await busy.answer()).target == "503"
        quick = True
        assert (await (await connect(port)).ask("b0", "book")).target == "404"
        # The backend went silent before; what is new is served as soon as it is back.
        with anyio.fail_after(5.0):
            number = 0
            while (await (await connect(port)).ask(f"c{number}", "new")).target != "200":
                number += 1
                await anyio.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


def test_what_is_in_hand_keeps_its_kind_and_what_comes_has_the_new_one() -> None:
    bench = Bench(copies=False)
    told = settings.policy_arguments(SETTINGS)
    bench.list([entry(number) for number in range(4)])
    before = bench.come("a", "look")
    stricter = [dataclasses.replace(OFFERINGS[0], idempotency=Idempotency.ONCE_ONLY), *OFFERINGS[2:]]
    limits = Limits(max_pushes=2, hedging=False, cancellation=True, probes=True, max_retry_after=0.5)
    bench.node.on_settings(bench.now, **{**told, "offerings": stricter, "limits": limits, "zone": "x"})
    bench.end("a", 0, Outcome.CONNECTION_LOST)
    assert len(before.pushes) == 2  # repeatable, as it came
    after = bench.come("b", "look")
    after.offering = stricter[0]
    bench.end("b", 0, Outcome.CONNECTION_LOST)
    assert len(after.pushes) == 1 and after.final == "terminated"
    third = bench.come("c", "book")
    bench.end("c", 0, Outcome.REJECTED)
    bench.end("c", 1, Outcome.REJECTED)
    assert len(third.pushes) == 2  # fewer than before
    assert "pay" not in bench.node.offerings


def test_marks_alone_may_be_left_out() -> None:
    held = config([], 1)
    new = copy.deepcopy(held)
    del new["settings"]["PolicyLimits"]["SecondCopies"]
    assert settings.first_missing_key(held, new) is None
    del new["settings"]["Classes"][2]  # a class may vanish
    assert settings.first_missing_key(held, new) is None
    del new["settings"]["Classes"][1]["Worth"]
    assert settings.first_missing_key(held, new) == "settings.Classes.pay.Worth"
    with pytest.raises(MalformedError):
        settings.decode(new)
