"""Membership in virtual time: what each fault may and may not do to the views, as a table of schedules."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thornladder.membership import baselines
from thornladder.membership.core import Core, Reachability
from thornladder.membership.wire import VERSION, Item, Kind, Message, State, decode, encode
from thornladder.rig.faults import Fault, Weather, check
from thornladder.rig.virtual import World, ours

NAMES = [f"n{number:02}" for number in range(8)]
N01, HALF, REST = ("n01",), tuple(NAMES[:4]), tuple(NAMES[4:])


def fault(kind: str, at: float, lasts: float = 0.0, **more: object) -> Fault:
    return Fault(kind=kind, at=at, lasts=lasts, **more)


# name: faults, how long, most changes of view at each member for each other one (0: nobody removed).
BORNE = {
    "nothing": ([], 20.0),
    "paused five times": ([fault("pause", 5 + 12 * k, 5.0, nodes=("n01",)) for k in range(5)], 70.0),
    "half of it paused and awake at once": ([fault("pause", 5, 5.0, nodes=HALF)], 30.0),
    "a loss of 30%": ([fault("loss", 5, 60.0, share=0.3)], 75.0),
    "frozen over and over": ([fault("freeze", 5, 40.0, nodes=HALF)], 60.0),
    "robbed of its core": ([fault("rob", 5, 60.0, seconds=3.0, nodes=("n01",))], 80.0),
    "a to b cut": ([fault("cut", 5, 30.0, source=("n00",), target=("n01",))], 50.0),
    "a and b cut": ([fault("cut", 5, 30.0, source=("n00",), target=("n01",), both=True)], 50),
    "nobody is heard by one": ([fault("cut", 5, 30.0, target=("n01",))], 50.0),
    "a cut of 2 s": ([fault("cut", 5, 2.0, source=HALF, both=True, target=REST)], 30.0),
    "a cut of 2 s, five times": (
        [fault("cut", 5 + 4 * k, 2.0, source=HALF, target=REST, both=True) for k in range(5)], 50.0,
    ),
    "large datagrams lost": ([fault("large", 0, 40.0, bytes=300)], 45.0),
    "late and out of order": ([fault("jitter", 5, 30.0, seconds=0.15), fault("reorder", 5, 30.0, share=0.2,
        seconds=1.0), fault("duplicate", 5, 30.0, share=0.5)], 50.0),
}  # fmt: skip


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", BORNE)
def test_nobody_is_removed(name: str, seed: int) -> None:
    faults, lasts = BORNE[name]
    world = World(NAMES, faults, seed)
    world.run(lasts)
    assert [told for told in world.told if told.view] == []
    assert world.one_view()


def ended(world: World, of: str) -> dict[str, float]:
    return {told.by: told.at for told in world.told if told.of == of and told.view and told.what != "alive"}


@pytest.mark.parametrize("size", [3, 8, 16])
@pytest.mark.parametrize("seed", range(4))
def test_the_killed_are_known_in_2_s_the_silent_in_10_and_both_come_back(size: int, seed: int) -> None:
    names = [f"n{number:02}" for number in range(size)]
    faults = [fault("kill", 5, nodes=("n01",)), fault("start", 20, nodes=("n01",)),
              fault("cut", 40, 30, source=("n02",), both=True)]  # fmt: skip
    world = World(names, faults, seed)
    processes = {name: place.core.own_item.process for name, place in world.places.items()}
    world.run(20)
    known = ended(world, "n01")
    assert len(known) == size - 1 and max(known.values()) < 7.0
    world.run(70)
    known = ended(world, "n02")
    assert len(known) == size - 1 and max(known.values()) < 50.0
    assert world.until_one_view(5.0) <= 5.0
    # One change for an event: gone and back for each of two, at each other one, beside n01's own start.
    changes = [told for told in world.told if told.view and (told.by != "n01" or told.at > 30.0)]
    assert len(changes) <= 2 * 2 * (size - 1)
    assert processes["n01"] < world.places["n00"].core.peers["n01"].item.process


@pytest.mark.parametrize("seed", range(4))
def test_half_is_killed_at_once_and_a_cut_heals_to_one_view(seed: int) -> None:
    faults = [fault("kill", 5, nodes=HALF), fault("start", 12, nodes=HALF),
              fault("cut", 25, 30, source=HALF[:2], target=(*HALF[2:], *REST), both=True)]  # fmt: skip
    world = World(NAMES, faults, seed, seeds=4)  # every seed dies too
    world.run(7.0)
    assert world.one_view(REST)
    world.run(12.0)
    assert world.until_one_view(5.0) <= 5.0
    world.run(54.9)
    assert world.one_view(HALF[:2]) and world.one_view([*HALF[2:], *REST])
    world.run(55.0)
    assert world.until_one_view(5.0) <= 5.0


def test_all_start_at_once_with_all_seeds_among_them_and_a_clock_an_hour_off() -> None:
    faults = [fault("kill", 5, nodes=tuple(NAMES)), fault("start", 5.5, nodes=tuple(NAMES))]
    world = World(NAMES, faults, 1, joined=False, skew={"n03": 3600.0, "n04": -3600.0})
    world.run(4.0)
    assert world.one_view()
    world.run(5.5)
    assert world.until_one_view(5.0) <= 5.0


FORMS = {
    "a to b cut": (("n00",), ("n01",), {("n00", "n01"): Reachability.INBOUND_ONLY, ("n01", "n00"): Reachability.OUTBOUND_ONLY}),
    "b deaf to all": (("*",), ("n01",), {("n00", "n01"): Reachability.INBOUND_ONLY}),
}


@pytest.mark.parametrize("name", FORMS)
def test_a_one_sided_cut_is_named(name: str) -> None:
    source, target, forms = FORMS[name]
    world = World(NAMES, [fault("cut", 5, 60, source=source, target=target)], 3)
    seen: set[tuple[str, str, Reachability]] = set()

    def look(world: World, place: object) -> None:
        seen.update((by, of, world.places[by].core.peers[of].reachability) for by, of in forms)

    world.checks.append(look)
    world.run(60)
    assert {(by, of, way) for (by, of), way in forms.items()} <= seen
    assert name != "b deaf to all" or world.places["n01"].core.isolated


def test_an_address_taken_over_within_a_second_is_no_sign_of_life() -> None:
    world = World([*NAMES, "new"], [fault("kill", 5, nodes=("n01",)), fault("start", 5.6, nodes=("new",))], 1)
    world.places["new"].core = None
    world.places["new"].address = world.places["n01"].address
    world.at(5.6, world.by_address.__setitem__, world.places["n01"].address, world.places["new"])
    world.run(15.0)
    assert "n01" not in world.places["n00"].core.members


def test_a_paused_member_accuses_nobody() -> None:
    # Its waits ran out while it stood still, and it took all others for silent.
    faults = [fault("pause", 5.0 + 0.37 * k + 10 * k, 8.0, nodes=("n01",)) for k in range(6)]
    world = World(NAMES, faults, 5)
    world.run(70)
    assert world.places["n01"].core.counters.reports_made == 0 and world.places["n01"].core.counters.pauses >= 6


class NeverRefutes(Core):
    def _on_item_about_self(self, item: Item, unconfirmed: bool = False) -> None:
        pass

    def _note_alive(self, peer: object) -> None:
        pass


class SameStart(Core):
    """A new process that counts as the old one."""

    def __init__(self, *given: object, **more: object) -> None:
        super().__init__(*given, **more)
        self._remove_from_view(self.own_item)
        self.birth = 7
        self._add_to_view(self.own_item)

    def _on_item_about_self(self, item: Item, unconfirmed: bool = False) -> None:
        pass


class AccusesAfterPause(Core):
    isolated = False  # which by itself holds it back too

    def _advance_clock(self, now: float) -> None:
        self.now = max(self.now, now)


class NeverMerges(Core):
    def _try_rejoin(self) -> None:
        pass

    def _request_sync(self, address: str) -> None:
        if not self.joined:
            super()._request_sync(address)

    def _notify_subject(self, peer: object, address: str) -> None:
        pass


PLANTED = {
    "suspicion is never refuted": (
        NeverRefutes, [fault("pause", 5 + 9 * k, 6.5, nodes=N01) for k in range(4)],
    ),
    "start numbers repeat": (SameStart, [fault("kill", 5, nodes=N01), fault("start", 9, nodes=N01)]),
    "accusation after a pause": (AccusesAfterPause, [
        each for k in range(4) for each in (
            fault("pause", 5 + 11 * k, 8.0, nodes=N01), fault("loss", 4.7 + 11 * k, 0.35, share=1.0))
    ]),
    "a view that never merges": (NeverMerges, [fault("cut", 5, 20, source=HALF, target=REST, both=True)]),
}  # fmt: skip


def sound(make: type[Core], faults: list[Fault]) -> bool:
    """What the table above asks, as a verdict: one true view at the end, no word of one that paused."""

    def maker(name: str, address: str, seeds: list[str], chance: Random, now: float) -> Core:
        return make(name, address, "fleet", seeds, chance, now)

    world = World(NAMES, faults, 2, make=maker)
    world.run(60)
    paused = {name for each in faults if each.kind == "pause" for name in each.nodes}
    return world.one_view() and not any(world.places[name].core.counters.reports_made for name in paused)


@pytest.mark.parametrize("name", PLANTED)
def test_planted_faults_are_caught(name: str) -> None:
    make, faults = PLANTED[name]
    assert sound(Core, faults)
    assert not sound(make, faults)


def test_baselines_remove_what_ours_does_not() -> None:
    faults = [fault("loss", 5, 40.0, share=0.3), fault("pause", 10, 5.0, nodes=("n01",))]
    wrong = {}
    for make in (ours, baselines.heartbeats, baselines.swim):
        world = World(NAMES, faults, 1, make=make)
        world.run(50)
        wrong[make.__name__] = sum(told.view and told.what != "alive" for told in world.told)
    assert wrong["ours"] == 0 and wrong["heartbeats"] > 0 and wrong["swim"] > 0


@given(st.binary(max_size=200))
def test_garbage_is_no_message(data: bytes) -> None:
    assert decode(data) is None or isinstance(decode(data), Message)


@settings(max_examples=50)
@given(st.integers(0, 2**32), st.lists(st.integers(0, 20), max_size=6))
def test_unknown_fields_kinds_and_other_fleets_are_passed_over(kind: int, more: list[int]) -> None:
    import msgspec

    core = Core("a", "10.0.0.1:1", "fleet", [], Random(1), 0.0)
    item = Item("b", 1, 5, 0, State.ALIVE, "10.0.0.2:1")
    message = Message(VERSION + 1, "fleet", kind % 2**31, "b", 1, 5, 0, 1, items=[item])
    told = msgspec.msgpack.decode(encode(message))
    again = decode(msgspec.msgpack.encode([*told, *more]))
    assert again == message
    core.on_message(0.1, "10.0.0.2:1", again)
    assert core.members == ["a", "b"]
    core.on_message(0.1, "10.0.0.3:1", Message(1, "other", Kind.PING, "c", 1, 5, 0, 1, items=[item]))
    assert core.counters.dropped == 1 and "c" not in core.members


def test_links_and_timelines_are_as_stated() -> None:
    weather = Weather([fault("cut", 1, 1, source=("a",), target=("b",)), fault("large", 0, 9, bytes=100)])
    chance = Random(1)
    assert weather.passes(1.5, "a", "b", 10, chance) == [] and weather.passes(1.5, "b", "a", 10, chance)
    assert weather.carries(0.5, "a", "b", 101, chance) is None and weather.passes(2.0, "a", "b", 10, chance)
    assert "no node" in (check([fault("kill", 1, nodes=("x",))], NAMES) or "")
    assert "lasts" in (check([fault("pause", 1, nodes=("n01",))], NAMES) or "")
