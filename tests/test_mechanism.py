"""The design's mechanism: weights at chosen times, and shares of turns."""

from __future__ import annotations

import random

import pytest
from harness import FakeHost, entry

from thornladder import decide
from thornladder.interface import ListKind, Outcome, State


def weights(host: FakeHost) -> dict[str, int]:
    return {entry.backend.id: entry.weight for entry in host.node.rotation.entries}


def ramped(host: FakeHost, number: int) -> bool:
    return host.node.registry.backends[f"b{number:02}"].ramp_start is not None


def test_weights_follow_the_curve_and_are_scaled() -> None:
    host = FakeHost()
    host.send_list([entry(1, weight=2.0), entry(2, weight=1.0), entry(3, weight=0.0)], ListKind.RESTORED)
    assert weights(host) == {"b01": 100, "b02": 50}
    host.advance(6.0)
    host.send_list([entry(4, weight=2.0)], ListKind.DELTA)
    start, length = host.now, host.node.slow_start.duration
    for part in (0.0, 0.3, 0.5, 0.8, 1.0):
        host.advance(start + part * length - host.now)
        host.node._rebuild(host.now)
        assert weights(host)["b04"] == pytest.approx(100 * max(part, 0.2), abs=1)
    host.send_list([entry(1)._replace(weight=None)], ListKind.DELTA)
    assert weights(host) == {"b01": 100, "b02": 1, "b04": 2}


def test_which_backends_ramp() -> None:
    host = FakeHost()
    young, old = entry(2, started=host.now - 2), entry(3, started=host.now - 90)
    host.send_list([entry(1), young, old], ListKind.RESTORED)
    assert [ramped(host, n) for n in (1, 2, 3)] == [False, True, False]
    host.advance(1.0)
    host.send_list([entry(4), entry(5, started=host.now - 1)], ListKind.DELTA)
    assert not ramped(host, 4), "the grace keeps a late arrival mature"
    assert ramped(host, 5), "but never hides a recent start"
    host.advance(9.0)
    host.send_list([entry(6), entry(3, started=host.now - 1)], ListKind.DELTA)
    assert ramped(host, 6) and ramped(host, 3)
    assert host.node.registry.backends["b03"].ramp_start == host.now - 1


def test_absence_resumes_or_starts_over() -> None:
    host = FakeHost()
    host.send_list([entry(1), entry(2)], ListKind.RESTORED)
    length = host.node.slow_start.duration
    host.send_list([entry(2, State.DRAINING)], ListKind.DELTA)
    host.advance(0.9 * length)
    host.send_list([entry(2)], ListKind.DELTA)
    assert not ramped(host, 2)
    host.send_list([entry(1)])
    host.advance(1.1 * length)
    host.send_list([entry(1), entry(2)])
    assert host.node.registry.backends["b02"].ramp_start == host.now


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
    host = FakeHost(probes=False)
    host.send_list([entry(n) for n in range(5)], ListKind.RESTORED)
    host.advance(6.0)
    host.submit("a")
    backend = host.fail_backend_of("a")
    for step in range(400):
        host.submit(f"i{step}")
        host.complete_all(0.02)
    known = host.node.registry.backends[backend]
    assert known.ramp_start is not None and known.ramp_start > 106.0
    assert any(line == f"readmitted {backend}: was dead" for line in host.log_lines)


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
    host = FakeHost(nodes=400, hedging=False, probes=False)
    host.send_list([entry(n)._replace(zone="xy"[n // 2 % 2]) for n in range(40)])
    places = []
    for step in range(220):
        record = host.submit(f"i{step}", "pay", time_left=3.0, tenant="")
        place = host.entries[record.pushes[0][0]].zone if record.pushes else "nacked"
        places.append(place)
        host.advance(0.25 if place == "x" and step > 100 else 0.05)
        if record.pushes:
            host.end_push(f"i{step}", 0, Outcome.COMPLETED)
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
