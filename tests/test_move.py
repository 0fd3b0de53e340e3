"""A node for each client, and load that only probes tell: what the move to such deployments needs."""

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

OWN_NODE = {
    **SETTINGS,
    "Report": {"Source": "pull", "Fields": ["rif", "fail_rate"]},
    "Prices": {"Probe": 0.004},
    "Blend": {"Whole": 0.7, "WorstClass": 0.3, "Tail": 0.3, "BorneMisses": 0.02},
}


def told(host: FakeHost, held: float = 4.0) -> None:
    """Every probe that is out is answered."""
    while host.probes:
        host.answer_probe(host.probes.pop(0), Outcome.COMPLETED, LoadReport(held))


def settled(backends: list[int], **given: object) -> FakeHost:
    """A node that has served these backends for a while and had reports of them."""
    host = FakeHost(probes_per_invocation=1.0, **given)
    host.send_list([entry(n) for n in backends])
    for step in range(30):
        host.submit(f"w{step}")
        told(host)
        host.complete_all(0.01)
    return host


def settings_with(part: str, name: str, value: object) -> dict:
    info = deepcopy(OWN_NODE)
    info.setdefault(part, {})[name] = value
    return info


def test_a_busy_client_s_node_is_not_held_to_an_even_part() -> None:
    """Guards against nacks while the fleet has room: 50 nodes, 40 backends, most traffic is here."""
    finals = {}
    for asks in (0.0, 3.0):
        host = FakeHost(nodes=50, probes_per_invocation=asks)
        host.send_list([entry(n) for n in range(40)])
        for step in range(600):
            host.submit(f"i{step}", tenant="")
            told(host, 0.5)
            host.advance(0.005)
            for id, number in host.open_pushes():
                if host.now - host.records[id].pushes[number][1] >= 0.05:
                    host.end_push(id, number, Outcome.COMPLETED)
        finals[asks] = sum(record.final == "nacked" for record in host.records.values())
    assert finals[0.0] > 100 and finals[3.0] == 0, finals


def test_probes_are_few_and_go_to_those_whose_turn_comes() -> None:
    host = FakeHost(probes_per_invocation=0.5)
    host.send_list([entry(n) for n in range(20)])
    asked = 0
    for step in range(200):
        host.submit(f"i{step}")
        asked += len(host.probes)
        assert len(set(host.probes)) == len(host.probes), "one probe out to a backend at a time"
        told(host)
        host.complete_all(0.02)
    assert 90 <= asked <= 101, "half a probe an invocation"
    host = FakeHost(probes_per_invocation=0.0)
    host.send_list([entry(n) for n in range(20)])
    for step in range(50):
        host.submit(f"i{step}")
        host.complete_all(0.02)
    assert not host.probes, "where probes bring no load none is sent for it"


def test_a_report_of_many_held_makes_the_pick_yield_until_it_is_old() -> None:
    host, met = settled([0, 2], hedging=False), []
    for step in range(40):
        host.answer_probe("b00", Outcome.COMPLETED, LoadReport(20.0))
        host.answer_probe("b02", Outcome.COMPLETED, LoadReport(1.0))
        met.append(host.submit(f"x{step}").pushes[0][0])
        host.probes.clear()
        host.complete_all(0.02)
    assert met.count("b02") == 40
    host.advance(4.0)
    later = []
    for step in range(20):
        later.append(host.submit(f"y{step}").pushes[0][0])
        host.complete_all(0.02)
        host.advance(0.3)
    assert "b00" in later, "an old report keeps nobody away"


def test_missing_and_odd_values_change_nothing() -> None:
    hosts = [FakeHost(5, probes_per_invocation=0.0), FakeHost(5, probes_per_invocation=0.0)]
    for odd, host in enumerate(hosts):
        host.send_list([entry(n) for n in range(6)])
        for step in range(60):
            if odd:
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


def test_a_backend_that_holds_and_completes_nothing_is_out_though_probes_reach_it() -> None:
    """Guards against a hang that a shallow probe does not see: each answer to one brought it back."""
    host = FakeHost(probes_per_invocation=1.0)
    host.send_list([entry(n) for n in range(6)])
    host.answer_probe("b01", Outcome.COMPLETED, LoadReport(12.0, 0.0, 0.0))
    assert host.node.health.stats["b01"].ejection_cause == "hung"
    host.advance(3.0)
    host.answer_probe("b01", Outcome.COMPLETED, LoadReport(14.0, 0.0, 0.0))
    assert host.node.health.stats["b01"].ejection_cause == "hung"
    host.answer_probe("b01", Outcome.COMPLETED, LoadReport(2.0, 0.0, 20.0))
    assert not host.node.health.stats["b01"].ejection_cause


def test_a_backend_whose_report_counts_errors_is_out_until_it_counts_none() -> None:
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


def test_a_tagged_push_moves_off_a_silent_backend_within_its_window_only() -> None:
    """Guards against a tagged invocation left on a silent backend, and against one moved off a slow one."""
    for silent, group, moves in ((True, "mark", 1), (False, "mark", 0), (True, "book", 0)):
        host, cancelled = settled(list(range(8)), hedging=False), []
        host.cancel = lambda id, number, cancelled=cancelled: cancelled.append((id, number))
        record = host.submit("a", group)
        first = record.pushes[0][0]
        for _ in range(14):
            host.advance(0.025)
            host.probes[:] = [backend for backend in host.probes if backend == first and silent]
            if not silent:
                host.answer_probe(first, Outcome.COMPLETED, LoadReport(4.0))
            for id, number in cancelled:
                if number not in host.records[id].outcomes:
                    host.end_push(id, number, Outcome.CANCELLED)
        assert len(record.pushes) == 1 + moves, (silent, group)
        if moves:
            (_, sent), (backend, again) = record.pushes
            assert backend != first and again < sent + 0.4


@pytest.mark.parametrize("seed", range(4))
def test_what_is_lost_is_answered_at_once_and_nacks_say_when_to_come_back(seed: int) -> None:
    """Guards against a lost invocation held until its time is almost up, so that its client stays quiet."""
    rng = random.Random(seed)
    host = FakeHost(seed, hedging=False, probes_per_invocation=1.0)
    host.send_list([entry(n) for n in range(5)])
    come_back = []
    nack = host.nack
    host.nack = lambda id, after: (come_back.append(after), nack(id, after))
    for step in range(200):
        record = host.submit(f"i{step}", rng.choice(["look", "pay", "book", "mark"]))
        told(host, rng.choice([1.0, 5.0]))
        host.advance(rng.choice([0.01, 0.05]))
        while not record.final and len(record.outcomes) < len(record.pushes):
            host.end_push(
                f"i{step}", len(record.outcomes), rng.choice([Outcome.ERROR, Outcome.CONNECTION_LOST])
            )
        assert record.final, "given up and not answered at once"
    assert come_back and all(0.0 < after <= 0.5 for after in come_back)


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_in_random_runs_with_reports(seed: int) -> None:
    rng = random.Random(seed)
    host = FakeHost(seed, hedging=seed % 2 == 0, nodes=30, probes_per_invocation=3.0, worst_offering=0.3)
    host.send_list([entry(n) for n in range(8)], ListKind.RESTORED)
    odd = (
        NO_REPORT,
        LoadReport(0.0),
        LoadReport(40.0, 5.0, 0.0),
        LoadReport(3.0, None, 9.0),
        LoadReport(1e5, 1e5, 1e5),
    )
    for step in range(500):
        host.submit(f"i{step}", rng.choice(["look", "pay", "book", "note", "mark"]))
        for _ in range(min(len(host.probes), rng.randrange(3))):
            host.answer_probe(host.probes.pop(), rng.choice(list(Outcome)), rng.choice(odd))
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


def test_the_worst_served_offering_weighs_by_the_settings() -> None:
    def rank(worst: float) -> float:
        host = FakeHost(worst_offering=worst, probes_per_invocation=1.0)
        for step in range(100):
            host.submit(f"i{step}", "pay" if step % 4 else "look")
        return host.node.admission.offering_rank(host.node.offerings["look"], 0.05)

    assert rank(0.0) == 1.0 / 8.0
    assert rank(0.1) == pytest.approx((0.9 + 0.1 * 6.25 / 0.25) / 8.0) and rank(0.5) == 1.0


@pytest.mark.parametrize(
    ("info", "key"),
    [({**OWN_NODE, "Tenants": [{"Name": "t", "Share": 1.0}]}, "Tenants"),
     (settings_with("PolicyLimits", "Probes", False), "PolicyLimits.Probes"),
     (settings_with("Report", "Fields", ["fail_rate"]), "Report.Fields"),
     (settings_with("Report", "Source", "silent"), "Blend.Tail"),
     ({**SETTINGS, "PolicyLimits": {**SETTINGS["PolicyLimits"], "Peers": True}}, "PolicyLimits.Peers"),
     ({**SETTINGS, "Blend": {"Availability": 0.3, "NinesWanted": 2.0}}, "Blend.Availability"),
     (settings_with("Blend", "BorneMisses", 0.0), "Blend.BorneMisses"),
     (settings_with("Blend", "Availability", 0.3), "Blend.NinesWanted"),
     (settings_with("Blend", "Whole", -1.0), "Blend.Whole"),
     (settings_with("Blend", "Whole", "much"), "Whole"),
     (settings_with("Report", "Source", "smoke"), "Source"),
     (settings_with("Prices", "Probe", -0.1), "Prices.Probe")],
)  # fmt: skip
def test_settings_that_mix_shapes_or_make_no_sense_are_refused(info: dict, key: str) -> None:
    with pytest.raises(MalformedError, match=rf"^{key}\b"):
        settings.decode({**config([], 1), "settings": info})


def test_each_shape_alone_is_taken_and_probes_are_paced_by_their_price() -> None:
    def asks(info: dict) -> float:
        return settings.decode({**config([], 1), "settings": info}).decisions["limits"].probes_per_invocation

    assert asks(SETTINGS) == 0.0
    assert asks({**SETTINGS, "Report": {"Fields": [], "Source": "silent"}, "Tenants": []}) == 0.0
    assert asks(OWN_NODE) == settings.MAX_PROBE_COST_SHARE / 0.004
    assert asks({**OWN_NODE, "Prices": {}}) == settings.MAX_PROBES_PER_INVOCATION


@pytest.mark.anyio
async def test_a_load_probe_on_sockets_reaches_the_module(monkeypatch: pytest.MonkeyPatch) -> None:
    """Malformed reports among them, which change nothing and end nothing."""
    heard: dict[str, LoadReport] = {}
    tell = decide.Node.on_probe_ended

    def hear(node: decide.Node, now: float, id: str, outcome: Outcome, report: LoadReport) -> None:
        heard[id] = report
        tell(node, now, id, outcome, report)

    monkeypatch.setattr(decide.Node, "on_probe_ended", hear)
    bodies = [b'{"rif":7,"fail_rate":0.5}', b"nonsense", b'{"rif":-3}', b"x" * 9000]

    def answer(number: int) -> Callable[[ReceivedMessage], bytes]:
        return lambda got: reply(200, bodies[number]) if got.target == "/stats" else reply(200)

    async with LoopbackCluster(*(answer(number) for number in range(4)), info=OWN_NODE) as bank:
        with anyio.fail_after(8.0):  # some rebuilds of the rotation: whose turns come next is chance
            for number in itertools.count():
                assert (await bank.ask(f"a{number}", "look")).target == "200"
                if number >= 39 and len(heard) == 4:
                    break
        assert not any(got.target == "/health/live" for each in bank.backends for got in each.received)
    assert heard.pop("s0") == LoadReport(7.0, 0.5)
    assert set(heard.values()) == {NO_REPORT}


@pytest.mark.anyio
async def test_without_reports_nothing_is_asked_for() -> None:
    async with LoopbackCluster(lambda got: reply(200)) as bank:
        for number in range(20):
            assert (await bank.ask(f"a{number}", "look")).target == "200"
        assert {got.target for got in bank.backends[0].received} == {"/look"}
