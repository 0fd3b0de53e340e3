"""The adapter: batches answered, unknown keys skipped, malformed input refused, exceptions reported."""

from __future__ import annotations

import io
import json

import pytest

from thornladder import decide
from thornladder.adapter.__main__ import run
from thornladder.fields import MalformedError

OFFERING = {"Aim": 250000, "Effect": "free", "HardLimit": 1000000, "Name": "look", "Worth": 2.0, "New": 1}
INFO = {
    "Classes": [OFFERING],
    "ReplicasOfMe": 2,
    "PolicyLimits": {"MaxAttempts": 3},
    "Rules": {"ColdShare": 0.1, "WarmUp": 24000000, "FallMultiple": 3.0, "Fall": 1000000},
    "Novelty": {"x": []},
}
SYNC, FLUSH = {"kind": "SYNC", "Time": 5}, {"kind": "FLUSH"}
CREATE = {"kind": "CREATE", "I": "node-1", "Nonce64": 7, "Info": INFO}
ENTRY = {"Backend": "10.0.0.1:80", "Readiness": "Running", "Novelty": 1}
LIST = {"kind": "ENDPOINTS", "I": "node-1", "Scope": "restored", "Entries": [ENTRY]}
SUBMIT = {"kind": "SUBMIT", "I": "node-1", "Id": "aa", "Grace": 900000, "Qos": "look"}


def play(*messages: dict | str) -> list[dict]:
    lines = [message if isinstance(message, str) else json.dumps(message) for message in messages]
    sink = io.StringIO()
    run(io.StringIO("\n".join(lines) + "\n"), sink)
    return [json.loads(line) for line in sink.getvalue().splitlines()]


def test_a_batch_is_answered() -> None:
    reply = play(SYNC, CREATE, LIST, SUBMIT, FLUSH)
    push = next(line for line in reply if line["kind"] == "HAND_OFF")
    assert push == {
        "kind": "HAND_OFF", "I": "node-1", "Id": "aa", "GiveUpAfter": 900000, "Backend": "10.0.0.1:80",
    }  # fmt: skip
    assert reply[-1] == {"kind": "NEXT"}


def test_halt_and_create_in_one_batch_start_afresh() -> None:
    empty = {**LIST, "Entries": []}
    halt = {"kind": "HALT", "I": "node-1"}
    reply = play(SYNC, CREATE, LIST, FLUSH, SYNC, halt, CREATE, empty, SUBMIT, FLUSH)
    assert [line["kind"] for line in reply if "Id" in line] == ["DECLINE"]


@pytest.mark.parametrize(
    "bad",
    ["nonsense", "[1]", {**SUBMIT, "Qos": "other"}, {**SUBMIT, "Grace": "long"}, {**SUBMIT, "I": "node-9"},
     {"kind": "ODD", "I": "node-1"}, SYNC, {**LIST, "Entries": [{"Backend": "b"}]}],
)  # fmt: skip
def test_malformed_input_is_refused(bad: dict | str) -> None:
    with pytest.raises(MalformedError):
        play(SYNC, CREATE, LIST, bad, FLUSH)


def test_an_exception_of_the_module_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decide.Node, "on_client_gone", lambda *_: 1 // 0)
    reply = play(SYNC, CREATE, LIST, {"kind": "DROPPED", "I": "node-1", "Id": "aa"}, FLUSH)
    assert any(line["kind"] == "BROKEN" and "ZeroDivision" in line["Words"] for line in reply)
