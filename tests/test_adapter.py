"""The simulator adapter: replies to batches, unknown keys, malformed input, reported exceptions."""

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


def run_adapter(*messages: dict | str) -> list[dict]:
    """Feeds the messages to an adapter and returns the decoded lines of its reply."""
    lines = [message if isinstance(message, str) else json.dumps(message) for message in messages]
    sink = io.StringIO()
    run(io.StringIO("\n".join(lines) + "\n"), sink)
    return [json.loads(line) for line in sink.getvalue().splitlines()]


def test_batch_gets_a_reply() -> None:
    reply = run_adapter(SYNC, CREATE, LIST, SUBMIT, FLUSH)
    push = next(line for line in reply if line["kind"] == "HAND_OFF")
    assert push == {
        "kind": "HAND_OFF", "I": "node-1", "Id": "aa", "GiveUpAfter": 900000, "Backend": "10.0.0.1:80",
    }  # fmt: skip
    assert reply[-1] == {"kind": "NEXT"}


def test_halt_and_create_in_one_batch_discards_the_old_instance() -> None:
    empty_list = {**LIST, "Entries": []}
    halt = {"kind": "HALT", "I": "node-1"}
    reply = run_adapter(SYNC, CREATE, LIST, FLUSH, SYNC, halt, CREATE, empty_list, SUBMIT, FLUSH)
    assert [line["kind"] for line in reply if "Id" in line] == ["DECLINE"]


@pytest.mark.parametrize(
    "malformed",
    ["nonsense", "[1]", {**SUBMIT, "Qos": "other"}, {**SUBMIT, "Grace": "long"}, {**SUBMIT, "I": "node-9"},
     {"kind": "ODD", "I": "node-1"}, SYNC, {**LIST, "Entries": [{"Backend": "b"}]}],
)  # fmt: skip
def test_malformed_input_is_rejected(malformed: dict | str) -> None:
    with pytest.raises(MalformedError):
        run_adapter(SYNC, CREATE, LIST, malformed, FLUSH)


def test_exception_in_the_decision_module_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(decide.Node, "on_client_gone", lambda *_: 1 // 0)
    reply = run_adapter(SYNC, CREATE, LIST, {"kind": "DROPPED", "I": "node-1", "Id": "aa"}, FLUSH)
    assert any(line["kind"] == "BROKEN" and "ZeroDivision" in line["Words"] for line in reply)
