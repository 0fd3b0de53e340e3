"""The budget of pushes beyond the first, and lists that do not prove who serves."""

from __future__ import annotations

import random
from collections import deque
from copy import deepcopy
from fractions import Fraction

import pytest
from harness import SETTINGS, FakeHost, entry
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from thornladder import settings
from thornladder.budget import RetryBudget
from thornladder.fields import MalformedError
from thornladder.interface import Entry, ListKind, Outcome, RetryBudgetRule, State


class Exact:
    """The rule as the users word it, on records of every single event, in whole microseconds."""

    def __init__(self, few: float, share: float, span: float) -> None:
        self.few, self.share, self.span = Fraction(str(few)), Fraction(str(share)), round(span * 1e6)
        self.invocations: deque[int] = deque()
        self.extra_pushes: deque[int] = deque()

    def breaks(self, now: int) -> bool:
        """Takes in one push more; whether it was one too many. A window holds what is under a span old for
        what is taken and up to a span for what is pushed, whichever way the users mean its edge."""
        self.extra_pushes.append(now)
        while self.extra_pushes[0] < now - self.span:
            self.extra_pushes.popleft()
        while self.invocations and self.invocations[0] <= now - self.span:
            self.invocations.popleft()
        return len(self.extra_pushes) > self.few + self.share * len(self.invocations)


RULES = [(2.0, 0.15, 10.0), (0.0, 0.3, 0.1), (3.0, 0.0, 5.0), (1.0, 1.0, 0.000037), (0.5, 0.07, 7.000001)]


@pytest.mark.parametrize("rule", RULES)
def test_never_more_than_the_exact_count_over_a_million_events(rule: tuple[float, float, float]) -> None:
    """Two hundred thousand for each rule, with bursts round the edges of windows and of slices."""
    chance, exact, budget = random.Random(7), Exact(*rule), RetryBudget(RetryBudgetRule(*rule))
    span, now, allowed = round(rule[2] * 1e6), 8_412_250, 0
    edges = deque([now], maxlen=4)
    for _ in range(200_000):
        if chance.random() < 0.02:
            now = max(now, chance.choice(edges) + span + chance.randint(-2, 2))
            edges.append(now)
        elif chance.random() < 0.3:
            now += chance.choice((1, span // 640 + 1, span // 64 + 1, span // 9 + 1))
        if chance.random() < 0.7:
            exact.invocations.append(now)
            budget.invocations.add(1, now / 1e6, now / 1e6)
        elif budget.allows(now / 1e6):
            budget.extra_pushes.add(1, now / 1e6, now / 1e6)
            assert not exact.breaks(now), now
            allowed += 1
    assert allowed > 100, "a budget that allows next to nothing keeps every rule"
    assert len(budget.invocations.counts) + len(budget.extra_pushes.counts) <= 2 * RetryBudget.SLOTS + 1


def test_uses_nearly_all_that_the_rule_leaves() -> None:
    budget, pushed = RetryBudget(RetryBudgetRule(2.0, 0.15, 10.0)), 0
    for step in range(6000):
        now = 100.0 + step * 0.01
        budget.invocations.add(1, now, now)
        if budget.allows(now):
            budget.extra_pushes.add(1, now, now)
            pushed += 1
    assert pushed >= 0.95 * 0.15 * 6000


@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from(["come", "break", "full", "unsent", "done", "wait"]), min_size=20, max_size=200),
    st.sampled_from([(2.0, 0.15, 10.0), (0.0, 0.2, 2.0), (1.0, 0.0, 0.5)]),
    st.integers(1, 5),
)
def test_the_gate_keeps_the_budget_whatever_happens(
    steps: list[str], rule: tuple[float, float, float], seed: int
) -> None:
    """Counted at the host: a push beyond the first, unless it turned out not to have been sent."""
    host = FakeHost(seed, retry_budget=RetryBudgetRule(*rule))
    host.send_list([entry(n) for n in range(8)])
    taken: list[float] = []
    ends = {"break": Outcome.CONNECTION_LOST, "full": Outcome.REJECTED, "unsent": Outcome.NOT_SENT,
            "done": Outcome.COMPLETED}  # fmt: skip
    for number, step in enumerate(steps):
        if step == "come":
            taken.append(host.now)
            host.submit(f"i{number}", ("look", "mark", "note")[number % 3])
        elif step == "wait":
            host.advance(0.3)
        elif host.open_pushes():
            host.end_push(*host.open_pushes()[0], ends[step])
        further = [
            sent for record in host.records.values() for number, (_, sent) in enumerate(record.pushes)
            if number and record.outcomes.get(number) is not Outcome.NOT_SENT
        ]  # fmt: skip
        for end in further:
            begin = end - rule[2]
            came = sum(begin < at <= end for at in taken)
            assert sum(begin <= at <= end for at in further) <= rule[0] + rule[1] * came + 1e-9
    settled = [record for record in host.records.values() if len(record.outcomes) == len(record.pushes)]
    assert all(record.final for record in settled)


def test_without_budget_left_an_invocation_is_answered_at_once() -> None:
    host = FakeHost(retry_budget=RetryBudgetRule(1.0, 0.0, 5.0))
    host.send_list([entry(n) for n in range(8)])
    for id in "ab":
        host.submit(id, "pay")
        host.end_push(id, 0, Outcome.REJECTED)
    assert len(host.records["a"].pushes) == 2 and host.records["b"].final == "nacked"


def test_a_new_span_forgets_nothing_that_was_pushed() -> None:
    budget = RetryBudget(RetryBudgetRule(3.0, 0.0, 5.0))
    for _ in range(3):
        budget.extra_pushes.add(1, 100.0, 100.0)
    assert not budget.with_rule(RetryBudgetRule(3.0, 0.0, 8.0), 104.0).allows(111.9)
    assert not budget.with_rule(RetryBudgetRule(3.0, 0.0, 5.0), 104.0).allows(104.9)
    assert budget.with_rule(RetryBudgetRule(3.0, 0.0, 5.0), 104.0).allows(105.2)


def here(number: int, state: State = State.RUNNING) -> Entry:
    return entry(number, state)._replace(zone="x")


def serving(host: FakeHost) -> set[str]:
    """To which backends pushes go, all being sound."""
    met = set()
    for step in range(80):
        record = host.submit(f"s{host.now}.{step}", tenant="")
        host.complete_all(0.02)
        met.add(record.pushes[0][0])
    return met


@pytest.mark.parametrize("how", ["gone", "off the list"])
def test_where_gone_does_not_bind_a_backend_goes_on_until_it_is_dead(how: str) -> None:
    """Drains do bind, also when the same backend is called gone later, until it is listed as running."""
    host = FakeHost(soft_removal=True)
    entries = [here(n) for n in range(6)]
    host.send_list(entries)
    host.advance(6.0)

    def leaves(number: int, state: State) -> None:
        if how == "gone" or state is State.DRAINING:
            host.send_list([here(number, state)], ListKind.DELTA)
        else:
            host.send_list([each for each in entries if each.backend not in {f"b{number:02}", "b01"}])

    leaves(1, State.DRAINING)
    leaves(1, State.GONE)
    leaves(2, State.GONE)
    assert serving(host) == {"b00", "b02", "b03", "b04", "b05"}
    while host.node.health.stats_of(host.node.registry.backends["b02"]).ejection_cause != "dead":
        host.submit(f"d{host.now}", tenant="")
        host.advance(0.02)
        for id, number in host.open_pushes():
            lost = host.records[id].pushes[number][0] == "b02"
            host.end_push(id, number, Outcome.UNREACHABLE if lost else Outcome.COMPLETED)
    host.complete_all()
    host.advance(8.0)
    assert "b02" not in serving(host), "found dead, it is gone as the list says"
    assert {backend.id for backend in host.node.registry.usable} == {"b00", "b03", "b04", "b05"}
    host.send_list([here(1), here(2)], ListKind.DELTA)
    assert {"b01", "b02"} <= {backend.id for backend in host.node.registry.usable}


BAD = [
    ({"ExtraFloor": -1, "BudgetSpan": 1000}, "ExtraFloor"),
    ({"ExtraFloor": 1e9, "BudgetSpan": 1000}, "ExtraFloor"),
    ({"RepeatRatio": -0.1, "BudgetSpan": 1000}, "RepeatRatio"),
    ({"RepeatRatio": 1e5, "BudgetSpan": 1000}, "RepeatRatio"),
    ({"RepeatRatio": "0.1", "BudgetSpan": 1000}, "RepeatRatio"),
    ({"RepeatRatio": 0.1}, "BudgetSpan"),
    ({"RepeatRatio": 0.1, "BudgetSpan": 0}, "BudgetSpan"),
    ({"ExtraFloor": 2, "BudgetSpan": 10**13}, "BudgetSpan"),
    ({"SoftRemoval": 1}, "SoftRemoval"),
]


@pytest.mark.parametrize(("rules", "key"), BAD)
def test_odd_figures_are_refused_by_key(rules: dict, key: str) -> None:
    info = deepcopy(SETTINGS)
    info["Rules"].update(rules)
    with pytest.raises(MalformedError, match=key):
        settings.policy_arguments(info)


def test_figures_of_the_budget_are_taken_and_absent_ones_bound_nothing() -> None:
    info = deepcopy(SETTINGS)
    info["Rules"].update({"ExtraFloor": 2, "RepeatRatio": 0.15, "BudgetSpan": 10_000_000})
    info["Rules"]["SoftRemoval"] = True
    limits = settings.policy_arguments(info)["limits"]
    assert limits.retry_budget == RetryBudgetRule(2.0, 0.15, 10.0) and limits.soft_removal
    free = settings.policy_arguments(SETTINGS)["limits"]
    assert not free.soft_removal and free.retry_budget is None
