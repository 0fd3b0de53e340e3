"""Membership in virtual time: the effect of each kind of fault on the members' views."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornladder.membership import baselines
from thornladder.membership.core import Core, Reachability
from thornladder.membership.wire import VERSION, Item, Kind, Message, State, decode, encode
from thornladder.rig.faults import Fault, LinkConditions, validate_faults
from thornladder.rig.virtual import Simulation, ours

NAMES = [f"n{number:02}" for number in range(8)]
N01, HALF, REST = ("n01",), tuple(NAMES[:4]), tuple(NAMES[4:])


def fault(kind: str, at: float, lasts: float = 0.0, **parameters: object) -> Fault:
    """A fault of the rig; `at` and `lasts` in seconds."""
    return Fault(kind=kind, at=at, lasts=lasts, **parameters)


# name: (faults, seconds to run). None of them may remove a member from a view.
TOLERATED_FAULTS = {
    "nothing": ([], 20.0),
    "paused five times": ([fault("pause", 5 + 12 * k, 5.0, nodes=("n01",)) for k in range(5)], 70.0),
    "half of the fleet paused and resumed at once": ([fault("pause", 5, 5.0, nodes=HALF)], 30.0),
    "30% loss": ([fault("loss", 5, 60.0, share=0.3)], 75.0),
    "short freezes of half the fleet": ([fault("freeze", 5, 40.0, nodes=HALF)], 60.0),
    "one member starved of CPU": ([fault("rob", 5, 60.0, seconds=3.0, nodes=("n01",))], 80.0),
    "a to b cut": ([fault("cut", 5, 30.0, source=("n00",), target=("n01",))], 50.0),
    "a and b cut": ([fault("cut", 5, 30.0, source=("n00",), target=("n01",), both=True)], 50),
    "one member receives nothing": ([fault("cut", 5, 30.0, target=("n01",))], 50.0),
    "a cut of 2 s": ([fault("cut", 5, 2.0, source=HALF, both=True, target=REST)], 30.0),
    "a cut of 2 s, five times": (
        [fault("cut", 5 + 4 * k, 2.0, source=HALF, target=REST, both=True) for k in range(5)], 50.0,
    ),
    "large datagrams lost": ([fault("large", 0, 40.0, bytes=300)], 45.0),
    "late, reordered and duplicated datagrams": (
        [fault("jitter", 5, 30.0, seconds=0.15), fault("reorder", 5, 30.0, share=0.2, seconds=1.0),
         fault("duplicate", 5, 30.0, share=0.5)], 50.0,
    ),
}  # fmt: skip


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", TOLERATED_FAULTS)
def test_nobody_is_removed(name: str, seed: int) -> None:
    faults, seconds = TOLERATED_FAULTS[name]
    simulation = Simulation(NAMES, faults, seed)
    simulation.run(seconds)
    assert [change for change in simulation.changes if change.view_changed] == []
    assert simulation.has_converged()


def removals(simulation: Simulation, subject: str) -> dict[str, float]:
    """When each member removed `subject` from its view, seconds."""
    return {
        change.observer: change.at
        for change in simulation.changes
        if change.subject == subject and change.view_changed and change.state != "alive"
    }


@pytest.mark.parametrize("size", [3, 8, 16])
@pytest.mark.parametrize("seed", range(4))
def test_killed_members_are_removed_in_2_s_silent_ones_in_10_s_and_both_rejoin(size: int, seed: int) -> None:
    names = [f"n{number:02}" for number in range(size)]
    faults = [fault("kill", 5, nodes=("n01",)), fault("start", 20, nodes=("n01",)),
              fault("cut", 40, 30, source=("n02",), both=True)]  # fmt: skip
    simulation = Simulation(names, faults, seed)
    processes = {name: member.core.own_item.process for name, member in simulation.members.items()}
    simulation.run(20)
    removed_at = removals(simulation, "n01")
    assert len(removed_at) == size - 1 and max(removed_at.values()) < 7.0
    simulation.run(70)
    removed_at = removals(simulation, "n02")
    assert len(removed_at) == size - 1 and max(removed_at.values()) < 50.0
    assert simulation.run_until_converged(5.0) <= 5.0
    # Two members go and come back: two changes each at every other member, apart from n01's own restart.
    changes = [
        change
        for change in simulation.changes
        if change.view_changed and (change.observer != "n01" or change.at > 30.0)
    ]
    assert len(changes) <= 2 * 2 * (size - 1)
    assert processes["n01"] < simulation.members["n00"].core.peers["n01"].item.process


@pytest.mark.parametrize("seed", range(4))
def test_views_agree_after_half_was_killed_and_after_a_cut(seed: int) -> None:
    faults = [fault("kill", 5, nodes=HALF), fault("start", 12, nodes=HALF),
              fault("cut", 25, 30, source=HALF[:2], target=(*HALF[2:], *REST), both=True)]  # fmt: skip
    simulation = Simulation(NAMES, faults, seed, seeds=4)  # every seed is killed too
    simulation.run(7.0)
    assert simulation.has_converged(REST)
    simulation.run(12.0)
    assert simulation.run_until_converged(5.0) <= 5.0
    simulation.run(54.9)
    assert simulation.has_converged(HALF[:2]) and simulation.has_converged([*HALF[2:], *REST])
    simulation.run(55.0)
    assert simulation.run_until_converged(5.0) <= 5.0


def test_views_agree_after_a_start_of_all_members_with_skewed_clocks() -> None:
    faults = [fault("kill", 5, nodes=tuple(NAMES)), fault("start", 5.5, nodes=tuple(NAMES))]
    simulation = Simulation(NAMES, faults, 1, joined=False, skew={"n03": 3600.0, "n04": -3600.0})
    simulation.run(4.0)
    assert simulation.has_converged()
    simulation.run(5.5)
    assert simulation.run_until_converged(5.0) <= 5.0


ONE_SIDED_CUTS = {
    "a to b cut": (
        ("n00",),
        ("n01",),
        {("n00", "n01"): Reachability.INBOUND_ONLY, ("n01", "n00"): Reachability.OUTBOUND_ONLY},
    ),
    "b receives nothing": (("*",), ("n01",), {("n00", "n01"): Reachability.INBOUND_ONLY}),
}


@pytest.mark.parametrize("name", ONE_SIDED_CUTS)
def test_a_one_sided_cut_is_recognized(name: str) -> None:
    source, target, expected = ONE_SIDED_CUTS[name]
    simulation = Simulation(NAMES, [fault("cut", 5, 60, source=source, target=target)], 3)
    seen: set[tuple[str, str, Reachability]] = set()

    def record_reachability(simulation: Simulation, member: object) -> None:
        seen.update(
            (observer, subject, simulation.members[observer].core.peers[subject].reachability)
            for observer, subject in expected
        )

    simulation.step_hooks.append(record_reachability)
    simulation.run(60)
    assert {
        (observer, subject, reachability) for (observer, subject), reachability in expected.items()
    } <= seen
    assert name != "b receives nothing" or simulation.members["n01"].core.isolated


def test_another_member_at_the_address_is_no_sign_of_life() -> None:
    simulation = Simulation(
        [*NAMES, "new"], [fault("kill", 5, nodes=("n01",)), fault("start", 5.6, nodes=("new",))], 1
    )
    simulation.members["new"].core = None
    simulation.members["new"].address = simulation.members["n01"].address
    simulation.schedule(
        5.6, simulation.by_address.__setitem__, simulation.members["n01"].address, simulation.members["new"]
    )
    simulation.run(15.0)
    assert "n01" not in simulation.members["n00"].core.members


def test_a_paused_member_reports_nobody() -> None:
    # The timeouts that expire during a pause must not make the member take all others for silent.
    faults = [fault("pause", 5.0 + 0.37 * k + 10 * k, 8.0, nodes=("n01",)) for k in range(6)]
    simulation = Simulation(NAMES, faults, 5)
    simulation.run(70)
    assert (
        simulation.members["n01"].core.counters.reports_made == 0
        and simulation.members["n01"].core.counters.pauses >= 6
    )


class NeverRefutes(Core):
    """Ignores reports about itself and signs of life of others."""

    def _on_item_about_self(self, item: Item, unconfirmed: bool = False) -> None:
        pass

    def _note_alive(self, peer: object) -> None:
        pass


class SameStart(Core):
    """Gives every process the same identity, so that a new one counts as the old one."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._remove_from_view(self.own_item)
        self.birth = 7
        self._add_to_view(self.own_item)

    def _on_item_about_self(self, item: Item, unconfirmed: bool = False) -> None:
        pass


class ReportsAfterPause(Core):
    """Takes the time of a pause for silence of the others."""

    isolated = False  # otherwise isolation too would keep it from reporting

    def _advance_clock(self, now: float) -> None:
        self.now = max(self.now, now)


class NeverMerges(Core):
    """Never reaches out to lost members, so that the sides of a cut stay apart."""

    def _try_rejoin(self) -> None:
        pass

    def _request_sync(self, address: str) -> None:
        if not self.joined:
            super()._request_sync(address)

    def _notify_subject(self, peer: object, address: str) -> None:
        pass


BROKEN_CORES = {
    "reports are never refuted": (
        NeverRefutes, [fault("pause", 5 + 9 * k, 6.5, nodes=N01) for k in range(4)],
    ),
    "start numbers repeat": (SameStart, [fault("kill", 5, nodes=N01), fault("start", 9, nodes=N01)]),
    "reports after a pause": (ReportsAfterPause, [
        event for k in range(4) for event in (
            fault("pause", 5 + 11 * k, 8.0, nodes=N01), fault("loss", 4.7 + 11 * k, 0.35, share=1.0))
    ]),
    "a view that never merges": (NeverMerges, [fault("cut", 5, 20, source=HALF, target=REST, both=True)]),
}  # fmt: skip


def is_consistent(make: type[Core], faults: list[Fault]) -> bool:
    """Whether all views are the true one at the end and no paused member made a report."""

    def make_member(name: str, address: str, seeds: list[str], rng: Random, now: float) -> Core:
        return make(name, address, "fleet", seeds, rng, now)

    simulation = Simulation(NAMES, faults, 2, make=make_member)
    simulation.run(60)
    paused = {name for event in faults if event.kind == "pause" for name in event.nodes}
    return simulation.has_converged() and not any(
        simulation.members[name].core.counters.reports_made for name in paused
    )


@pytest.mark.parametrize("name", BROKEN_CORES)
def test_broken_cores_are_detected(name: str) -> None:
    make, faults = BROKEN_CORES[name]
    assert is_consistent(Core, faults)
    assert not is_consistent(make, faults)


def test_baselines_remove_members_that_ours_keeps() -> None:
    faults = [fault("loss", 5, 40.0, share=0.3), fault("pause", 10, 5.0, nodes=("n01",))]
    removal_counts = {}
    for make in (ours, baselines.heartbeats, baselines.swim):
        simulation = Simulation(NAMES, faults, 1, make=make)
        simulation.run(50)
        removal_counts[make.__name__] = sum(
            change.view_changed and change.state != "alive" for change in simulation.changes
        )
    assert removal_counts["ours"] == 0 and removal_counts["heartbeats"] > 0 and removal_counts["swim"] > 0


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_a_message_or_none(data: bytes) -> None:
    assert decode(data) is None or isinstance(decode(data), Message)


@settings(max_examples=50)
@given(st.integers(0, 2**32), st.lists(st.integers(0, 20), max_size=6))
def test_unknown_fields_and_kinds_and_other_fleets_are_ignored(kind: int, extra_fields: list[int]) -> None:
    import msgspec

    core = Core("a", "10.0.0.1:1", "fleet", [], Random(1), 0.0)
    item = Item("b", 1, 5, 0, State.ALIVE, "10.0.0.2:1")
    message = Message(VERSION + 1, "fleet", kind % 2**31, "b", 1, 5, 0, 1, items=[item])
    fields = msgspec.msgpack.decode(encode(message))
    decoded = decode(msgspec.msgpack.encode([*fields, *extra_fields]))
    assert decoded == message
    core.on_message(0.1, "10.0.0.2:1", decoded)
    assert core.members == ["a", "b"]
    core.on_message(0.1, "10.0.0.3:1", Message(1, "other", Kind.PING, "c", 1, 5, 0, 1, items=[item]))
    assert core.counters.dropped == 1 and "c" not in core.members


def test_link_faults_apply_as_configured_and_bad_faults_are_rejected() -> None:
    links = LinkConditions(
        [fault("cut", 1, 1, source=("a",), target=("b",)), fault("large", 0, 9, bytes=100)]
    )
    rng = Random(1)
    assert links.datagram_delays(1.5, "a", "b", 10, rng) == [] and (
        links.datagram_delays(1.5, "b", "a", 10, rng)
    )
    assert links.stream_delay(0.5, "a", "b", 101, rng) is None and (
        links.datagram_delays(2.0, "a", "b", 10, rng)
    )
    assert "no node" in (validate_faults([fault("kill", 1, nodes=("x",))], NAMES) or "")
    assert "lasts" in (validate_faults([fault("pause", 1, nodes=("n01",))], NAMES) or "")
