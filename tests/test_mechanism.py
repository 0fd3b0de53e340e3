"""The design's mechanism: weights at chosen times, and shares of turns."""

from __future__ import annotations

import random

import pytest
from harness import FakeHost, entry

from thornladder import decide
from thornladder.interface import ListKind, Outcome, State


def weights(bench: FakeHost) -> dict[str, int]:
    return {entry.backend.id: entry.weight for entry in bench.node.rotation.entries}


def ramped(bench: FakeHost, number: int) -> bool:
    return bench.node.registry.backends[f"b{number:02}"].ramp_start is not None


def test_weights_follow_the_curve_and_are_scaled() -> None:
    bench = FakeHost()
    bench.send_list([entry(1, weight=2.0), entry(2, weight=1.0), entry(3, weight=0.0)], ListKind.RESTORED)
    assert weights(bench) == {"b01": 100, "b02": 50}
    bench.advance(6.0)
    bench.send_list([entry(4, weight=2.0)], ListKind.DELTA)
    start, length = bench.now, bench.node.slow_start.duration
    for part in (0.0, 0.3, 0.5, 0.8, 1.0):
        bench.advance(start + part * length - bench.now)
        bench.node._rebuild(bench.now)
        assert weights(bench)["b04"] == pytest.approx(100 * max(part, 0.2), abs=1)
    bench.send_list([entry(1)._replace(weight=None)], ListKind.DELTA)
    assert weights(bench) == {"b01": 100, "b02": 1, "b04": 2}


def test_which_backends_ramp() -> None:
    bench = FakeHost()
    young, old = entry(2, started=bench.now - 2), entry(3, started=bench.now - 90)
    bench.send_list([entry(1), young, old], ListKind.RESTORED)
    assert [ramped(bench, n) for n in (1, 2, 3)] == [False, True, False]
    bench.advance(1.0)
    bench.send_list([entry(4), entry(5, started=bench.now - 1)], ListKind.DELTA)
    assert not ramped(bench, 4), "the grace keeps a late arrival mature"
    assert ramped(bench, 5), "but never hides a recent start"
    bench.advance(9.0)
    bench.send_list([entry(6), entry(3, started=bench.now - 1)], ListKind.DELTA)
    assert ramped(bench, 6) and ramped(bench, 3)
    assert bench.node.registry.backends["b03"].ramp_start == bench.now - 1


def test_absence_resumes_or_starts_over() -> None:
    bench = FakeHost()
    bench.send_list([entry(1), entry(2)], ListKind.RESTORED)
    length = bench.node.slow_start.duration
    bench.send_list([entry(2, State.DRAINING)], ListKind.DELTA)
    bench.advance(0.9 * length)
    bench.send_list([entry(2)], ListKind.DELTA)
    assert not ramped(bench, 2)
    bench.send_list([entry(1)])
    bench.advance(1.1 * length)
    bench.send_list([entry(1), entry(2)])
    assert bench.node.registry.backends["b02"].ramp_start == bench.now


@pytest.mark.parametrize(("gap", "count"), [(0.01, 4000), (0.5, 400)])
def test_turns_follow_the_curve_under_a_flood_and_a_trickle(gap: float, count: int) -> None:
    rotation = decide.Rotation(random.Random(3))
    entries = [decide.Backend(entry(n)) for n in range(5)]
    ramping = entries[0]
    taken, now, rebuilt = 0, 0.0, -1
    for _ in range(count):
        now += gap
        if int(now) > rebuilt:
            rebuilt = int(now)
            rotation.rebuild(entries, lambda backend: 0.25 if backend is ramping else 1.0)
        pick = rotation.pick(lambda one: True, lambda one: 1.0, lambda one, share: True)
        taken += pick is ramping
    assert taken / count == pytest.approx(0.25 / 4.25, rel=0.15)


def test_a_busier_choice_yields_but_not_to_a_ramping_one_out_of_turn() -> None:
    rotation = decide.Rotation(random.Random(3))
    busy, idle, ramping = (decide.Backend(entry(n)) for n in range(3))
    rotation.rebuild([busy, idle, ramping], lambda backend: 0.1 if backend is ramping else 1.0)
    picks = [rotation.pick(lambda b: True, lambda b: 1.0 if b is busy else 0.1, lambda b, share: True)
             for _ in range(210)]  # fmt: skip
    assert picks.count(busy) < 10
    assert picks.count(ramping) <= 11


def test_a_process_that_broke_its_connections_comes_back_ramped() -> None:
    """Guards against a restart that the list has not told of: cold, at full weight."""
    bench = FakeHost(probes=False)
    bench.send_list([entry(n) for n in range(5)], ListKind.RESTORED)
    bench.advance(6.0)
    bench.submit("a")
    backend = bench.lose("a")
    for step in range(400):
        bench.submit(f"i{step}")
        bench.complete_all(0.02)
    known = bench.node.registry.backends[backend]
    assert known.ramp_start is not None and known.ramp_start > 106.0
    assert any(line == f"readmitted {backend}: was dead" for line in bench.log_lines)


def test_a_part_is_every_nth_and_grows_when_most_of_it_is_lost() -> None:
    backends = [decide.Backend(entry(n)) for n in range(96)]
    ids = [backend.id for backend in backends]
    met = dict.fromkeys(ids, 0)
    for rank in range(40):
        subset_ids = [b.id for b in decide.Subset(rank).select(backends, 4.0, lambda b: True)]
        assert subset_ids == ids[rank % 4 :: 4]
        for id in subset_ids:
            met[id] += 1
    assert set(met.values()) == {10}, "all backends are in as many parts"
    subset, lost = decide.Subset(1), set(ids[1::4][:21])
    assert len(subset.select(backends, 4.0, lambda b: b.id not in lost)) == 48
    assert subset.select(backends, 100.0, lambda b: True) == backends
    assert decide.Subset(7).select([], 1.0, lambda b: True) == []


def test_a_crowded_zone_is_left_before_each_of_its_backends_is_met() -> None:
    """Guards against a trickle that stays in a crowded zone of which it has met few backends."""
    bench = FakeHost(nodes=400, copies=False, probes=False)
    bench.send_list([entry(n)._replace(zone="xy"[n // 2 % 2]) for n in range(40)])
    places = []
    for step in range(220):
        account = bench.submit(f"i{step}", "pay", time_left=3.0, tenant="")
        place = bench.entries[account.pushes[0][0]].zone if account.pushes else "nacked"
        places.append(place)
        bench.advance(0.25 if place == "x" and step > 100 else 0.05)
        if account.pushes:
            bench.end_push(f"i{step}", 0, Outcome.COMPLETED)
    assert "y" not in places[:100] and places.count("y") > 10, places


def test_a_few_answers_of_seconds_do_not_outweigh_many_quick_ones() -> None:
    """Guards against a standstill after a jam: a zone that is quick again counts as crowded for long."""
    health = decide.HealthTracker(random.Random(1), print)
    stuck, quick, unmet = (decide.Backend(entry(n)) for n in (0, 2, 4))
    for backend, took, count in ((stuck, 2.0, 5), (quick, 0.04, 30)):
        for _ in range(count):
            health._record_latency(decide.Push(backend, 100.0, 0.05, 0.0, True), took, 0.05, 100.0)
    assert health.slowness(unmet, 0.05, 100.0) < 1.6
    assert health.slowness(stuck, 0.05, 100.0) > 5.0
