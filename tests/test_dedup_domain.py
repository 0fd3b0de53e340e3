"""Backends whose zone or cell the list does not tell, and repeats of tagged invocations."""

from __future__ import annotations

import pytest
from harness import FakeHost, entry, list_line

from thornladder.adapter import wire
from thornladder.interface import Outcome
from thornladder.node.messages import decode_list

UNTOLD = {"book": {"zone": ""}, "note": {"cell": None}}  # by an offering whose repeats are discarded there


# Found by reading beside review/7: entries without a zone or a cell counted as one group, and an invocation
# that might have run at one of them went to another.
@pytest.mark.parametrize("offering", ["book", "note"])
def test_a_backend_of_an_untold_group_shares_its_repeats_with_no_other(offering: str) -> None:
    for seed in range(8):
        host = FakeHost(seed, hedging=False)
        host.send_list([entry(number)._replace(**UNTOLD[offering]) for number in range(6)])
        record = host.submit("a", offering)
        host.advance(0.01)
        host.end_push("a", 0, Outcome.CONNECTION_LOST)
        host.advance(0.05)
        assert len({backend for backend, _ in record.pushes}) == 1


@pytest.mark.parametrize("offering", ["book", "note"])
def test_a_backend_of_a_told_group_is_not_followed_by_one_of_an_untold_group(offering: str) -> None:
    for seed in range(8):
        host = FakeHost(seed, hedging=False)
        told = entry(0)
        host.send_list([told, *(entry(number)._replace(**UNTOLD[offering]) for number in range(1, 6))])
        record = host.submit("a", offering)
        host.advance(0.01)
        host.end_push("a", 0, Outcome.CONNECTION_LOST)
        host.advance(0.05)
        assert len({backend for backend, _ in record.pushes}) == 1


def test_a_list_line_without_a_cell_or_zone_does_not_take_the_first_cell() -> None:
    line = list_line(0, 1)
    del line["cell"], line["zone"]
    [listed] = decode_list({"generation": 1, "reset": True, "instances": [line]}).entries
    assert (listed.cell, listed.zone) == (None, "")
    [simulated] = wire.parse_entries({"Entries": [{"Backend": "a", "Readiness": "Running"}]})
    assert (simulated.cell, simulated.zone) == (None, "")
    assert decode_list({"generation": 1, "instances": [list_line(0, 1)]}).entries[0].cell == 0
