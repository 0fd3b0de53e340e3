"""Deployments with one node for each client, where only probes return load reports."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from copy import deepcopy

import anyio
import pytest
from harness import SETTINGS, FakeHost, LoopbackCluster, ReceivedMessage, config, entry, reply

from thornladder import decide, settings
from thornladder.fields import MalformedError
from thornladder.interface import NO_REPORT, ListKind, LoadReport, Outcome, State
from thornladder.node import messages

NODE_PER_CLIENT = {
    **SETTINGS,
    "Report": {"Source": "pull", "Fields": ["rif", "fail_rate"]},
    "Prices": {"Probe": 0.004},
    "Blend": {"Whole": 0.7, "WorstClass": 0.3, "Tail": 0.3, "BorneMisses": 0.02},
}


def answer_probes(host: FakeHost, in_flight: float = 4.0) -> None:
    """Answer every probe that is out with a load report."""
    while host.probes:
        host.answer_probe(host.probes.pop(0), Outcome.COMPLETED, LoadReport(in_flight))


def warmed_up(backends: list[int], **options: object) -> FakeHost:
    """A host whose node has pushed to these backends for a while and received their load reports."""
    host = FakeHost(probes_per_invocation=1.0, **options)
    host.send_list([entry(n) for n in backends])
    for step in range(30):
        host.submit(f"w{step}")
        answer_probes(host)
        host.complete_all(0.01)
    return host


def settings_with(part: str, name: str, value: object) -> dict:
    info = deepcopy(NODE_PER_CLIENT)
    info.setdefault(part, {})[name] = value
    return info


def test_a_busy_node_is_not_limited_to_an_even_share_of_the_backends() -> None:
    """Guards against nacks while backends are free: one of 50 nodes has most of the traffic."""
    nacked = {}
    for probes_per_invocation in (0.0, 3.0):
        host = FakeHost(nodes=50, probes_per_invocation=probes_per_invocation)
        host.send_list([entry(n) for n in range(40)])
        for step in range(600):
            host.submit(f"i{step}", tenant="")
            answer_probes(host, 0.5)
            host.advance(0.005)
            for id, number in host.open_pushes():
                if host.now - host.records[id].pushes[number][1] >= 0.05:
                    host.end_push(id, number, Outcome.COMPLETED)
        nacked[probes_per_invocation] = sum(record.final == "nacked" for record in host.records.values())
    assert nacked[0.0] > 100 and nacked[3.0] == 0, nacked


def test_load_probes_are_rate_limited_with_one_out_to_a_backend() -> None:
    host = FakeHost(probes_per_invocation=0.5)
    host.send_list([entry(n) for n in range(20)])
    probes = 0
    for step in range(200):
        host.submit(f"i{step}")
        probes += len(host.probes)
        assert len(set(host.probes)) == len(host.probes), "two probes out to one backend"
        answer_probes(host)
        host.complete_all(0.02)
    assert 90 <= probes <= 101, "half a probe for each invocation"
    host = FakeHost(probes_per_invocation=0.0)
    host.send_list([entry(n) for n in range(20)])
    for step in range(50):
        host.submit(f"i{step}")
        host.complete_all(0.02)
    assert not host.probes, "load probes were sent where probes return no load"


def test_a_report_of_many_in_flight_keeps_a_backend_from_being_picked_until_it_is_old() -> None:
    host, picked = warmed_up([0, 2], hedging=False), []
    for step in range(40):
        host.answer_probe("b00", Outcome.COMPLETED, LoadReport(20.0))
        host.answer_probe("b02", Outcome.COMPLETED, LoadReport(1.0))
        picked.append(host.submit(f"x{step}").pushes[0][0])
        host.probes.clear()
        host.complete_all(0.02)
    assert picked.count("b02") == 40
    host.advance(4.0)
    later_picked = []
    for step in range(20):
        later_picked.append(host.submit(f"y{step}").pushes[0][0])
        host.complete_all(0.02)
        host.advance(0.3)
    assert "b00" in later_picked, "an old report still keeps pushes away"


def test_missing_and_invalid_report_values_change_nothing() -> None:
    hosts = [FakeHost(5, probes_per_invocation=0.0), FakeHost(5, probes_per_invocation=0.0)]
    for with_reports, host in enumerate(hosts):
        host.send_list([entry(n) for n in range(6)])
        for step in range(60):
            if with_reports:
                host.answer_probe("b01", Outcome.COMPLETED, NO_REPORT)
                host.answer_probe("nobody", Outcome.COMPLETED, LoadReport(9.0))
            host.submit(f"i{step}")
            host.complete_all(0.02)
    first, second = ([record.pushes for record in host.records.values()] for host in hosts)
    assert first == second
    for value in (-1, 1e99, float("nan"), float("inf"), "4", None, True, [], {}):
        assert (
            settings.parse_load_report({"rif": value, "odd": 1, "fail_rate": value, "rate": value})
            == NO_REPORT
        )
    assert settings.parse_load_report({"rif": 3, "q": "x"}) == LoadReport(3.0)
    for body in (b"", b"x", b"[]", b"{" * 5000, b'{"rif":', b'{"rif":"4"}', b"\xff\xfe"):
        assert messages.decode_load_report(body) == NO_REPORT


def test_a_backend_that_completes_nothing_is_ejected_though_it_answers_probes() -> None:
    """Guards against a hang that the probe handler does not notice: each answer readmitted the backend."""
    host = FakeHost(probes_per_invocation=1.0)
    host.send_list([entry(n) for n in range(6)])
    host.answer_probe("b01", Outcome.COMPLETED, LoadReport(12.0, 0.0, 0.0))
    assert host.node.health.stats["b01"].ejection_cause == "hung"
    host.advance(3.0)
    host.answer_probe("b01", Outcome.COMPLETED, LoadReport(14.0, 0.0, 0.0))
    assert host.node.health.stats["b01"].ejection_cause == "hung"
    host.answer_probe("b01", Outcome.COMPLETED, LoadReport(2.0, 0.0, 20.0))
    assert not host.node.health.stats["b01"].ejection_cause


def test_a_backend_whose_report_shows_errors_is_ejected_until_it_shows_none() -> None:
    host = FakeHost(probes_per_invocation=1.0)
    host.send_list([entry(n) for n in range(6)])
    host.answer_probe("b01", Outcome.COMPLETED, LoadReport(1.0, 9.0))
    host.answer_probe("b02", Outcome.COMPLETED, LoadReport(6.0, 0.2))
    assert (
        host.node.health.stats["b01"].ejection_cause == "erring"
        and not host.node.health.stats["b02"].ejection_cause
    )
    host.answer_probe("b01", Outcome.COMPLETED, LoadReport(1.0, 0.0))
    assert not host.node.health.stats["b01"].ejection_cause


def test_a_tagged_push_is_moved_off_a_silent_backend_only_within_its_window() -> None:
    """Guards against leaving a tagged invocation at a silent backend, and moving it off a slow one."""
    for silent, offering, moves in ((True, "mark", 1), (False, "mark", 0), (True, "book", 0)):
        host, cancelled = warmed_up(list(range(8)), hedging=False), []
        host.cancel = lambda id, number, cancelled=cancelled: cancelled.append((id, number))
        record = host.submit("a", offering)
        first = record.pushes[0][0]
        for _ in range(14):
            host.advance(0.025)
            host.probes[:] = [backend for backend in host.probes if backend == first and silent]
            if not silent:
                host.answer_probe(first, Outcome.COMPLETED, LoadReport(4.0))
            for id, number in cancelled:
                if number not in host.records[id].outcomes:
                    host.end_push(id, number, Outcome.CANCELLED)
        assert len(record.pushes) == 1 + moves, (silent, offering)
        if moves:
            (_, first_sent_at), (backend, sent_at) = record.pushes
            assert backend != first and sent_at < first_sent_at + 0.4


@pytest.mark.parametrize("seed", range(4))
def test_failed_invocations_are_answered_at_once_and_nacks_give_a_retry_time(seed: int) -> None:
    """Guards against holding a failed invocation until its time is almost up, to keep its client quiet."""
    rng = random.Random(seed)
    host = FakeHost(seed, hedging=False, probes_per_invocation=1.0)
    host.send_list([entry(n) for n in range(5)])
    retry_times = []
    nack = host.nack
    host.nack = lambda id, retry_after: (retry_times.append(retry_after), nack(id, retry_after))
    for step in range(200):
        record = host.submit(f"i{step}", rng.choice(["look", "pay", "book", "mark"]))
        answer_probes(host, rng.choice([1.0, 5.0]))
        host.advance(rng.choice([0.01, 0.05]))
        while not record.final and len(record.outcomes) < len(record.pushes):
            host.end_push(
                f"i{step}", len(record.outcomes), rng.choice([Outcome.ERROR, Outcome.CONNECTION_LOST])
            )
        assert record.final, "given up but not answered at once"
    assert retry_times and all(0.0 < retry_after <= 0.5 for retry_after in retry_times)


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_in_random_runs_with_load_reports(seed: int) -> None:
    rng = random.Random(seed)
    host = FakeHost(seed, hedging=seed % 2 == 0, nodes=30, probes_per_invocation=3.0, worst_offering=0.3)
    host.send_list([entry(n) for n in range(8)], ListKind.RESTORED)
    reports = (
        NO_REPORT,
        LoadReport(0.0),
        LoadReport(40.0, 5.0, 0.0),
        LoadReport(3.0, None, 9.0),
        LoadReport(1e5, 1e5, 1e5),
    )
    for step in range(500):
        host.submit(f"i{step}", rng.choice(["look", "pay", "book", "note", "mark"]))
        for _ in range(min(len(host.probes), rng.randrange(3))):
            host.answer_probe(host.probes.pop(), rng.choice(list(Outcome)), rng.choice(reports))
        for id, number in host.open_pushes():
            if rng.random() < 0.3:
                host.end_push(id, number, rng.choice(list(Outcome)))
        if rng.random() < 0.1:
            state = rng.choice([State.RUNNING, State.DRAINING])
            host.send_list([entry(rng.randrange(8), state, rng.choice([None, host.now - 1]))], ListKind.DELTA)
        host.advance(rng.choice([0.0, 0.01, 0.1]))
    while host.open_pushes():
        host.end_push(*host.open_pushes()[0], Outcome.CANCELLED)
    assert all(record.final for record in host.records.values()) and not host.node.active


def test_the_weight_of_the_worst_served_offering_comes_from_the_settings() -> None:
    def rank(worst_offering: float) -> float:
        host = FakeHost(worst_offering=worst_offering, probes_per_invocation=1.0)
        for step in range(100):
            host.submit(f"i{step}", "pay" if step % 4 else "look")
        return host.node.admission.offering_rank(host.node.offerings["look"], 0.05)

    assert rank(0.0) == 1.0 / 8.0
    assert rank(0.1) == pytest.approx((0.9 + 0.1 * 6.25 / 0.25) / 8.0) and rank(0.5) == 1.0


@pytest.mark.parametrize(
    ("info", "key"),
    [({**NODE_PER_CLIENT, "Tenants": [{"Name": "t", "Share": 1.0}]}, "Tenants"),
     (settings_with("PolicyLimits", "Probes", False), "PolicyLimits.Probes"),
     (settings_with("Report", "Fields", ["fail_rate"]), "Report.Fields"),
     (settings_with("Report", "Source", "silent"), "Blend.Tail"),
     ({**SETTINGS, "PolicyLimits": {**SETTINGS["PolicyLimits"], "Peers": True}}, "PolicyLimits.Peers"),
     ({**SETTINGS, "Blend": {"Availability": 0.3, "NinesWanted": 2.0}}, "Blend.Availability"),
     (settings_with("Blend", "BorneMisses", 0.0), "Blend.BorneMisses"),
     (settings_with("Blend", "Availability", 0.3), "Blend.NinesWanted"),
     (settings_with("Blend", "Whole", -1.0), "Blend.Whole"),
     (settings_with("Blend", "Whole", "much"), "Blend.Whole"),
     (settings_with("Report", "Source", "smoke"), "Report.Source"),
     (settings_with("Prices", "Probe", -0.1), "Prices.Probe")],
)  # fmt: skip
def test_settings_that_mix_deployment_types_or_are_invalid_are_rejected(info: dict, key: str) -> None:
    with pytest.raises(MalformedError, match=rf"^settings\.{key}\b"):
        settings.decode({**config([], 1), "settings": info})


def test_each_deployment_type_is_accepted_and_the_probe_rate_follows_the_price() -> None:
    def probe_rate(info: dict) -> float:
        return settings.decode({**config([], 1), "settings": info}).decisions["limits"].probes_per_invocation

    assert probe_rate(SETTINGS) == 0.0
    assert probe_rate({**SETTINGS, "Report": {"Fields": [], "Source": "silent"}, "Tenants": []}) == 0.0
    assert probe_rate(NODE_PER_CLIENT) == settings.MAX_PROBE_COST_SHARE / 0.004
    assert probe_rate({**NODE_PER_CLIENT, "Prices": {}}) == settings.MAX_PROBES_PER_INVOCATION


@pytest.mark.anyio
async def test_a_load_probe_over_sockets_reaches_the_decisions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Malformed reports count as none, and break nothing."""
    reports: dict[str, LoadReport] = {}
    on_probe_ended = decide.Node.on_probe_ended

    def record_report(node: decide.Node, now: float, id: str, outcome: Outcome, report: LoadReport) -> None:
        reports[id] = report
        on_probe_ended(node, now, id, outcome, report)

    monkeypatch.setattr(decide.Node, "on_probe_ended", record_report)
    bodies = [b'{"rif":7,"fail_rate":0.5}', b"nonsense", b'{"rif":-3}', b"x" * 9000]

    def answer(number: int) -> Callable[[ReceivedMessage], bytes]:
        return lambda got: reply(200, bodies[number]) if got.target == "/stats" else reply(200)

    async with LoopbackCluster(*(answer(number) for number in range(4)), info=NODE_PER_CLIENT) as cluster:
        with anyio.fail_after(8.0):  # several rebuilds of the rotation, each of which draws the next turns
            for number in itertools.count():
                assert (await cluster.ask(f"a{number}", "look")).target == "200"
                if number >= 39 and len(reports) == 4:
                    break
        assert not any(
            got.target == "/health/live" for backend in cluster.backends for got in backend.received
        )
    assert reports.pop("s0") == LoadReport(7.0, 0.5)
    assert set(reports.values()) == {NO_REPORT}


@pytest.mark.anyio
async def test_without_load_reports_no_probes_are_sent() -> None:
    async with LoopbackCluster(lambda got: reply(200)) as cluster:
        for number in range(20):
            assert (await cluster.ask(f"a{number}", "look")).target == "200"
        assert {got.target for got in cluster.backends[0].received} == {"/look"}
