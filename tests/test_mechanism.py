"""Slow start, the weighted rotation, subsetting and readmission."""

from __future__ import annotations

import random

import pytest
from harness import FakeHost, entry

from thornladder import decide
from thornladder.interface import ListKind, Outcome, State


def weights(host: FakeHost) -> dict[str, int]:
    return {entry.backend.id: entry.weight for entry in host.node.rotation.entries}


def in_slow_start(host: FakeHost, number: int) -> bool:
    return host.node.registry.backends[f"b{number:02}"].ramp_start is not None


def test_slow_start_weights_grow_linearly_and_are_scaled_to_100() -> None:
    host = FakeHost()
    host.send_list([entry(1, weight=2.0), entry(2, weight=1.0), entry(3, weight=0.0)], ListKind.RESTORED)
    assert weights(host) == {"b01": 100, "b02": 50}
    host.advance(6.0)
    host.send_list([entry(4, weight=2.0)], ListKind.DELTA)
    start, duration = host.now, host.node.slow_start.duration
    for part in (0.0, 0.3, 0.5, 0.8, 1.0):
        host.advance(start + part * duration - host.now)
        host.node._rebuild(host.now)
        assert weights(host)["b04"] == pytest.approx(100 * max(part, 0.2), abs=1)
    host.send_list([entry(1)._replace(weight=None)], ListKind.DELTA)
    assert weights(host) == {"b01": 100, "b02": 1, "b04": 2}


def test_only_backends_that_started_lately_are_in_slow_start() -> None:
    host = FakeHost()
    young, old = entry(2, started=host.now - 2), entry(3, started=host.now - 90)
    host.send_list([entry(1), young, old], ListKind.RESTORED)
    assert [in_slow_start(host, n) for n in (1, 2, 3)] == [False, True, False]
    host.advance(1.0)
    host.send_list([entry(4), entry(5, started=host.now - 1)], ListKind.DELTA)
    assert not in_slow_start(host, 4), "a backend first listed within the startup grace is mature"
    assert in_slow_start(host, 5), "unless its start is recent"
    host.advance(9.0)
    host.send_list([entry(6), entry(3, started=host.now - 1)], ListKind.DELTA)
    assert in_slow_start(host, 6) and in_slow_start(host, 3)
    assert host.node.registry.backends["b03"].ramp_start == host.now - 1


def test_a_long_absence_restarts_slow_start_and_a_short_one_does_not() -> None:
    host = FakeHost()
    host.send_list([entry(1), entry(2)], ListKind.RESTORED)
    duration = host.node.slow_start.duration
    host.send_list([entry(2, State.DRAINING)], ListKind.DELTA)
    host.advance(0.9 * duration)
    host.send_list([entry(2)], ListKind.DELTA)
    assert not in_slow_start(host, 2)
    host.send_list([entry(1)])
    host.advance(1.1 * duration)
    host.send_list([entry(1), entry(2)])
    assert host.node.registry.backends["b02"].ramp_start == host.now


@pytest.mark.parametrize(("gap", "count"), [(0.01, 4000), (0.5, 400)])
def test_share_of_picks_follows_the_slow_start_weight_at_any_rate(gap: float, count: int) -> None:
    rotation = decide.Rotation(random.Random(3))
    entries = [decide.Backend(entry(n)) for n in range(5)]
    ramping = entries[0]
    ramping_picks, now, rebuilt_at = 0, 0.0, -1
    for _ in range(count):
        now += gap
        if int(now) > rebuilt_at:
            rebuilt_at = int(now)
            rotation.rebuild(entries, lambda backend: 0.25 if backend is ramping else 1.0)
        pick = rotation.pick(lambda b: True, lambda b: 1.0, lambda b, share: True)
        ramping_picks += pick is ramping
    assert ramping_picks / count == pytest.approx(0.25 / 4.25, rel=0.15)


def test_a_busy_backend_is_passed_over_but_not_for_one_in_slow_start_out_of_turn() -> None:
    rotation = decide.Rotation(random.Random(3))
    busy, idle, ramping = (decide.Backend(entry(n)) for n in range(3))
    rotation.rebuild([busy, idle, ramping], lambda backend: 0.1 if backend is ramping else 1.0)
    picks = [rotation.pick(lambda b: True, lambda b: 1.0 if b is busy else 0.1, lambda b, share: True)
             for _ in range(210)]  # fmt: skip
    assert picks.count(busy) < 10
    assert picks.count(ramping) <= 11


def test_a_backend_that_refused_connections_is_readmitted_in_slow_start() -> None:
    """Guards against full weight for a process whose restart the list does not show."""
    host = FakeHost(probes=False)
    host.send_list([entry(n) for n in range(5)], ListKind.RESTORED)
    host.advance(6.0)
    host.submit("a")
    backend = host.fail_backend_of("a")
    for step in range(400):
        host.submit(f"i{step}")
        host.complete_all(0.02)
    readmitted = host.node.registry.backends[backend]
    assert readmitted.ramp_start is not None and readmitted.ramp_start > 106.0
    assert any(line == f"readmitted {backend}: was dead" for line in host.log_lines)


def test_a_subset_is_every_nth_backend_and_grows_when_most_of_it_fails() -> None:
    backends = [decide.Backend(entry(n)) for n in range(96)]
    ids = [backend.id for backend in backends]
    selections = dict.fromkeys(ids, 0)
    for rank in range(40):
        subset_ids = [b.id for b in decide.Subset(rank).select(backends, 4.0, lambda b: True)]
        assert subset_ids == ids[rank % 4 :: 4]
        for id in subset_ids:
            selections[id] += 1
    assert set(selections.values()) == {10}, "every backend is in the same number of subsets"
    subset, failed = decide.Subset(1), set(ids[1::4][:21])
    assert len(subset.select(backends, 4.0, lambda b: b.id not in failed)) == 48
    assert subset.select(backends, 100.0, lambda b: True) == backends
    assert decide.Subset(7).select([], 1.0, lambda b: True) == []


def test_light_traffic_leaves_a_slow_zone_before_it_has_met_each_of_its_backends() -> None:
    """Guards against staying in an overloaded zone because few of its backends have been met."""
    host = FakeHost(nodes=400, hedging=False, probes=False)
    host.send_list([entry(n)._replace(zone="xy"[n // 2 % 2]) for n in range(40)])
    zones = []
    for step in range(220):
        record = host.submit(f"i{step}", "pay", time_left=3.0, tenant="")
        zone = host.entries[record.pushes[0][0]].zone if record.pushes else "nacked"
        zones.append(zone)
        host.advance(0.25 if zone == "x" and step > 100 else 0.05)
        if record.pushes:
            host.end_push(f"i{step}", 0, Outcome.COMPLETED)
    assert "y" not in zones[:100] and zones.count("y") > 10, zones


def test_a_few_answers_of_seconds_do_not_outweigh_many_quick_ones_in_the_zone_latency() -> None:
    """Guards against avoiding a zone long after it has recovered from an overload."""
    health = decide.HealthTracker(random.Random(1), print)
    slow, quick, unknown = (decide.Backend(entry(n)) for n in (0, 2, 4))
    for backend, observed, count in ((slow, 2.0, 5), (quick, 0.04, 30)):
        for _ in range(count):
            health._record_latency(decide.Push(backend, 100.0, 0.05, 0.0, True), observed, 0.05, 100.0)
    assert health.slowness(unknown, 0.05, 100.0) < 1.6
    assert health.slowness(slow, 0.05, 100.0) > 5.0
