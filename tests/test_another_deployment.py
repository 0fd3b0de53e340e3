"""State files of another deployment in the same folder, and settings that change under requests in flight."""

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

OWN = Deployment.of(settings.policy_arguments(SETTINGS))
OFFERING_ADDED = Deployment(OWN.zone, OWN.offering_names | {"extra"})
OFFERINGS_REMOVED = Deployment(OWN.zone, frozenset({"pay"}))
OTHER_OFFERINGS = Deployment(OWN.zone, frozenset({"open-gate", "seat-map"}))
OTHER_ZONE = Deployment("elsewhere", OWN.offering_names)


@pytest.mark.parametrize(
    "reader, accepted",
    [(OWN, True), (OFFERING_ADDED, True), (OFFERINGS_REMOVED, True), (OTHER_OFFERINGS, False),
     (OTHER_ZONE, False)],
)  # fmt: skip
def test_state_files_are_used_only_by_the_deployment_that_wrote_them(
    reader: Deployment, accepted: bool, tmp_path: Path
) -> None:
    # Keyed by the node's name alone, files would apply another customer's start times, limits and marks.
    LearnedStateStore(str(tmp_path), "n", OWN).save(LearnedState({"s0": 100.0}, 4.5), 104.0)
    MaintenanceStore(str(tmp_path), "n", OWN).merge({"s1": MaintenanceMark(True, 90.0)})
    learned = LearnedStateStore(str(tmp_path), "n", reader).load(105.0)
    marks = MaintenanceStore(str(tmp_path), "n", reader).load()
    assert (learned == LearnedState({"s0": 100.0}, 4.5)) is accepted and (
        learned == LearnedState({})
    ) is not accepted
    assert (marks == {"s1": MaintenanceMark(True, 90.0)}) is accepted and (marks == {}) is not accepted


@pytest.mark.parametrize("under", [3, [], {}, {"zone": "x"}, {"zone": "x", "classes": "look"},
                                   {"zone": "x", "classes": [1, None]}])  # fmt: skip
def test_state_file_with_a_malformed_deployment_is_ignored(under: Any, tmp_path: Path) -> None:
    file = StateFile(str(tmp_path), "n", "learned", OWN)
    assert not OWN.accepts(under)
    file.write({"starts": []})
    assert file.read() is not None and not file.is_foreign
    assert OWN.accepts(None)  # older versions wrote none: an upgrade keeps the state


def test_state_of_another_deployment_is_logged_once_and_overwritten(tmp_path: Path) -> None:
    file = config([list_line(0, 1)], 1)
    node_config = settings.decode(file, {"TMPDIR": str(tmp_path)})
    LearnedStateStore(str(tmp_path), "n", OTHER_OFFERINGS).save(LearnedState({"s0": 100.0}, 4.5), 104.0)
    MaintenanceStore(str(tmp_path), "n", OTHER_OFFERINGS).merge({"s0": MaintenanceMark(True, 90.0)})
    log = RecordingLog()
    handover = Handover(node_config, log)
    maintenance = handover.join(105.0)
    assert handover.learned == LearnedState({}) and not maintenance.knows("s0")
    warning = "ignoring the state files of another deployment in this folder"
    assert [line for line, _ in log.lines] == [warning]
    handover.maintenance_store.merge({"s0": MaintenanceMark(True, 106.0)})
    handover.learned_store.save(LearnedState({"s0": 107.0}), 108.0)
    restarted = Handover(node_config, log)
    assert restarted.join(109.0).knows("s0") and restarted.learned.ramp_starts == {"s0": 107.0}
    assert len(log.lines) == 1


@pytest.mark.anyio
async def test_request_completes_under_the_settings_it_arrived_with(tmp_path: Path) -> None:
    # SIGHUP changes the offerings while a request is in flight; its first push then fails and is retried.
    released, attempted, received_ids = anyio.Event(), anyio.Event(), []

    def answer(got: ReceivedMessage) -> bytes | None:
        received_ids.append(got.headers["x-call-id"])
        return (
            reply(503, X_Rejected="1")
            if received_ids.count("a") == 1 and received_ids[-1] == "a"
            else reply(200)
        )

    class BlockedServer(FakeServer):
        async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
            attempted.set()
            await released.wait()
            await super()._serve_connection(stream)

    backends = [BlockedServer(answer), BlockedServer(answer)]
    async with running_node(tmp_path, *backends) as (process, port):
        first = await connect(port)
        await first.send("a", "look", 900)
        await attempted.wait()  # accepted, and the first attempt is in flight
        path = tmp_path / "config.json"
        file = json.loads(path.read_text())
        other = copy.deepcopy(file)
        other["settings"]["Classes"] = [
            {"Name": "door", "Effect": "single_shot", "Aim": 250000, "HardLimit": 800000, "Worth": 1.0}
        ]
        path.write_text(json.dumps(other))
        process.send_signal(signal.SIGHUP)
        attempts = 0
        while (await (await connect(port)).ask(f"x{attempts}", "look")).target != "404":
            attempts += 1
            assert attempts < 1000
        released.set()
        assert (await first.answer()).target == "200" and received_ids.count("a") == 2
        assert (await (await connect(port)).ask("b", "door", 700)).target == "200"
        await wait_until(lambda: "b" in received_ids)
