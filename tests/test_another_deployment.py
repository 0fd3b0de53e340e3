"""A folder or a name used again by another deployment, and settings that change under requests in flight."""

from __future__ import annotations

import copy
import json
import signal
from pathlib import Path
from typing import Any

import anyio
import pytest
from harness import SETTINGS, FakeServer, ReceivedMessage, RecordingLog, config, list_line, reply, wait_until
from test_process import connect, running_node

from thornladder import settings
from thornladder.node.handover import Deployment, LearnedState, LearnedStateStore, MaintenanceStore, StateFile
from thornladder.node.maintenance import MaintenanceMark
from thornladder.node.service import Handover

OURS = Deployment.of(settings.policy_arguments(SETTINGS))
GROWN = Deployment(OURS.zone, OURS.offering_names | {"extra"})
CUT = Deployment(OURS.zone, frozenset({"pay"}))
OTHERS = Deployment(OURS.zone, frozenset({"open-gate", "seat-map"}))
ELSEWHERE = Deployment("elsewhere", OURS.offering_names)


@pytest.mark.parametrize("reader, fits", [(OURS, True), (GROWN, True), (CUT, True), (OTHERS, False),
                                          (ELSEWHERE, False)])  # fmt: skip
def test_what_was_learned_and_marked_is_used_by_the_deployment_that_wrote_it(
    reader: Deployment, fits: bool, tmp_path: Path
) -> None:
    # Files were keyed by the node's name alone: start times, room and marks of another customer's backends.
    LearnedStateStore(str(tmp_path), "n", OURS).save(LearnedState({"s0": 100.0}, 4.5), 104.0)
    MaintenanceStore(str(tmp_path), "n", OURS).merge({"s1": MaintenanceMark(True, 90.0)})
    told = LearnedStateStore(str(tmp_path), "n", reader).load(105.0)
    marks = MaintenanceStore(str(tmp_path), "n", reader).load()
    assert (told == LearnedState({"s0": 100.0}, 4.5)) is fits and (told == LearnedState({})) is not fits
    assert (marks == {"s1": MaintenanceMark(True, 90.0)}) is fits and (marks == {}) is not fits


@pytest.mark.parametrize("under", [3, [], {}, {"zone": "x"}, {"zone": "x", "classes": "look"},
                                   {"zone": "x", "classes": [1, None]}])  # fmt: skip
def test_a_file_that_does_not_say_soundly_whose_it_is_counts_as_none(under: Any, tmp_path: Path) -> None:
    sheet = StateFile(str(tmp_path), "n", "learned", OURS)
    assert not OURS.accepts(under)
    sheet.write({"starts": []})
    assert sheet.read() is not None and not sheet.is_foreign
    assert OURS.accepts(None)  # as the text before wrote it: an upgrade loses nothing


def test_a_folder_of_another_deployment_is_named_once_and_written_over(tmp_path: Path) -> None:
    file = config([list_line(0, 1)], 1)
    given = settings.decode(file, {"TMPDIR": str(tmp_path)})
    LearnedStateStore(str(tmp_path), "n", OTHERS).save(LearnedState({"s0": 100.0}, 4.5), 104.0)
    MaintenanceStore(str(tmp_path), "n", OTHERS).merge({"s0": MaintenanceMark(True, 90.0)})
    log = RecordingLog()
    handover = Handover(given, log)
    maintenance = handover.join(105.0)
    assert handover.learned == LearnedState({}) and not maintenance.knows("s0")
    said = "ignoring the state files of another deployment in this folder"
    assert [line for line, _ in log.lines] == [said]
    handover.maintenance_store.merge({"s0": MaintenanceMark(True, 106.0)})
    handover.learned_store.save(LearnedState({"s0": 107.0}), 108.0)
    again = Handover(given, log)
    assert again.join(109.0).knows("s0") and again.learned.ramp_starts == {"s0": 107.0}
    assert len(log.lines) == 1


@pytest.mark.anyio
async def test_a_request_ends_under_the_settings_it_came_in_with(tmp_path: Path) -> None:
    # SIGHUP brings other classes while one is out, is answered with an error and is sent again.
    gate, tried, seen = anyio.Event(), anyio.Event(), []

    def answer(got: ReceivedMessage) -> bytes | None:
        seen.append(got.headers["x-call-id"])
        return reply(503, X_Rejected="1") if seen.count("a") == 1 and seen[-1] == "a" else reply(200)

    class Held(FakeServer):
        async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
            tried.set()
            await gate.wait()
            await super()._serve_connection(stream)

    backends = [Held(answer), Held(answer)]
    async with running_node(tmp_path, *backends) as (process, port):
        first = await connect(port)
        await first.send("a", "look", 900)
        await tried.wait()  # it was taken, and a first attempt is on its way
        path = tmp_path / "config.json"
        file = json.loads(path.read_text())
        other = copy.deepcopy(file)
        other["settings"]["Classes"] = [
            {"Name": "door", "Effect": "single_shot", "Aim": 250000, "HardLimit": 800000, "Worth": 1.0}
        ]
        path.write_text(json.dumps(other))
        process.send_signal(signal.SIGHUP)
        asked = 0
        while (await (await connect(port)).ask(f"x{asked}", "look")).target != "404":
            asked += 1
            assert asked < 1000
        gate.set()
        assert (await first.answer()).target == "200" and seen.count("a") == 2
        assert (await (await connect(port)).ask("b", "door", 700)).target == "200"
        await wait_until(lambda: "b" in seen)
