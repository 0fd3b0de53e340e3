"""The retry budget, and soft removal: lists that do not prove which backends serve."""

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


class ExactBudget:
    """An exact implementation of the rule on records of every event, in whole microseconds."""

    def __init__(self, floor: float, ratio: float, window: float) -> None:
        self.floor, self.ratio, self.window = Fraction(str(floor)), Fraction(str(ratio)), round(window * 1e6)
        self.invocations: deque[int] = deque()
        self.extra_pushes: deque[int] = deque()

    def add_push(self, now: int) -> bool:
        """Count one more push; return whether it was one too many.

        The window's edge is read in the strictest way: it includes pushes but excludes invocations.
        """
        self.extra_pushes.append(now)
        while self.extra_pushes[0] < now - self.window:
            self.extra_pushes.popleft()
        while self.invocations and self.invocations[0] <= now - self.window:
            self.invocations.popleft()
        return len(self.extra_pushes) > self.floor + self.ratio * len(self.invocations)


RULES = [(2.0, 0.15, 10.0), (0.0, 0.3, 0.1), (3.0, 0.0, 5.0), (1.0, 1.0, 0.000037), (0.5, 0.07, 7.000001)]


@pytest.mark.parametrize("rule", RULES)
def test_never_allows_more_than_the_exact_count_over_a_million_events(
    rule: tuple[float, float, float],
) -> None:
    """200,000 events for each rule, with bursts around the edges of windows and slots."""
    rng, exact, budget = random.Random(7), ExactBudget(*rule), RetryBudget(RetryBudgetRule(*rule))
    window, now, allowed = round(rule[2] * 1e6), 8_412_250, 0
    edges = deque([now], maxlen=4)
    for _ in range(200_000):
        if rng.random() < 0.02:
            now = max(now, rng.choice(edges) + window + rng.randint(-2, 2))
            edges.append(now)
        elif rng.random() < 0.3:
            now += rng.choice((1, window // 640 + 1, window // 64 + 1, window // 9 + 1))
        if rng.random() < 0.7:
            exact.invocations.append(now)
            budget.invocations.add(1, now / 1e6, now / 1e6)
        elif budget.allows(now / 1e6):
            budget.extra_pushes.add(1, now / 1e6, now / 1e6)
            assert not exact.add_push(now), now
            allowed += 1
    assert allowed > 100, "a budget that allows almost nothing would keep any rule"
    assert len(budget.invocations.counts) + len(budget.extra_pushes.counts) <= 2 * RetryBudget.SLOTS + 1


def test_allows_nearly_all_that_the_rule_permits() -> None:
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
    st.lists(
        st.sampled_from(["submit", "break", "reject", "unsent", "complete", "wait"]),
        min_size=20,
        max_size=200,
    ),
    st.sampled_from([(2.0, 0.15, 10.0), (0.0, 0.2, 2.0), (1.0, 0.0, 0.5)]),
    st.integers(1, 5),
)
def test_pushes_stay_within_the_budget_whatever_happens(
    steps: list[str], rule: tuple[float, float, float], seed: int
) -> None:
    """The host counts pushes beyond the first, unless they turned out not to have been sent."""
    host = FakeHost(seed, retry_budget=RetryBudgetRule(*rule))
    host.send_list([entry(n) for n in range(8)])
    submitted: list[float] = []
    outcomes = {"break": Outcome.CONNECTION_LOST, "reject": Outcome.REJECTED, "unsent": Outcome.NOT_SENT,
            "complete": Outcome.COMPLETED}  # fmt: skip
    for number, step in enumerate(steps):
        if step == "submit":
            submitted.append(host.now)
            host.submit(f"i{number}", ("look", "mark", "note")[number % 3])
        elif step == "wait":
            host.advance(0.3)
        elif host.open_pushes():
            host.end_push(*host.open_pushes()[0], outcomes[step])
        extra_pushes = [
            sent for record in host.records.values() for number, (_, sent) in enumerate(record.pushes)
            if number and record.outcomes.get(number) is not Outcome.NOT_SENT
        ]  # fmt: skip
        for end in extra_pushes:
            begin = end - rule[2]
            invocations = sum(begin < at <= end for at in submitted)
            assert sum(begin <= at <= end for at in extra_pushes) <= rule[0] + rule[1] * invocations + 1e-9
    settled = [record for record in host.records.values() if len(record.outcomes) == len(record.pushes)]
    assert all(record.final for record in settled)


def test_with_the_budget_used_up_an_invocation_is_answered_at_once() -> None:
    host = FakeHost(retry_budget=RetryBudgetRule(1.0, 0.0, 5.0))
    host.send_list([entry(n) for n in range(8)])
    for id in "ab":
        host.submit(id, "pay")
        host.end_push(id, 0, Outcome.REJECTED)
    assert len(host.records["a"].pushes) == 2 and host.records["b"].final == "nacked"


def test_a_new_window_length_keeps_the_pushes_that_count() -> None:
    budget = RetryBudget(RetryBudgetRule(3.0, 0.0, 5.0))
    for _ in range(3):
        budget.extra_pushes.add(1, 100.0, 100.0)
    assert not budget.with_rule(RetryBudgetRule(3.0, 0.0, 8.0), 104.0).allows(111.9)
    assert not budget.with_rule(RetryBudgetRule(3.0, 0.0, 5.0), 104.0).allows(104.9)
    assert budget.with_rule(RetryBudgetRule(3.0, 0.0, 5.0), 104.0).allows(105.2)


def local_entry(number: int, state: State = State.RUNNING) -> Entry:
    return entry(number, state)._replace(zone="x")


def pushed_to(host: FakeHost) -> set[str]:
    """The backends that get pushes while all complete them."""
    backends = set()
    for step in range(80):
        record = host.submit(f"s{host.now}.{step}", tenant="")
        host.complete_all(0.02)
        backends.add(record.pushes[0][0])
    return backends


@pytest.mark.parametrize("removal", ["gone", "off the list"])
def test_with_soft_removal_a_removed_backend_is_used_until_it_is_dead(removal: str) -> None:
    """A drain binds, also if the backend is listed as gone later, until it is listed as running."""
    host = FakeHost(soft_removal=True)
    entries = [local_entry(n) for n in range(6)]
    host.send_list(entries)
    host.advance(6.0)

    def remove(number: int, state: State) -> None:
        if removal == "gone" or state is State.DRAINING:
            host.send_list([local_entry(number, state)], ListKind.DELTA)
        else:
            host.send_list([line for line in entries if line.backend not in {f"b{number:02}", "b01"}])

    remove(1, State.DRAINING)
    remove(1, State.GONE)
    remove(2, State.GONE)
    assert pushed_to(host) == {"b00", "b02", "b03", "b04", "b05"}
    while host.node.health.stats_of(host.node.registry.backends["b02"]).ejection_cause != "dead":
        host.submit(f"d{host.now}", tenant="")
        host.advance(0.02)
        for id, number in host.open_pushes():
            dead = host.records[id].pushes[number][0] == "b02"
            host.end_push(id, number, Outcome.UNREACHABLE if dead else Outcome.COMPLETED)
    host.complete_all()
    host.advance(8.0)
    assert "b02" not in pushed_to(host), "once found dead, it is removed as the list says"
    assert {backend.id for backend in host.node.registry.usable} == {"b00", "b03", "b04", "b05"}
    host.send_list([local_entry(1), local_entry(2)], ListKind.DELTA)
    assert {"b01", "b02"} <= {backend.id for backend in host.node.registry.usable}


INVALID_RULES = [
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


@pytest.mark.parametrize(("rules", "key"), INVALID_RULES)
def test_invalid_rules_are_rejected_with_their_key(rules: dict, key: str) -> None:
    info = deepcopy(SETTINGS)
    info["Rules"].update(rules)
    with pytest.raises(MalformedError, match=key):
        settings.policy_arguments(info)


def test_budget_settings_are_read_and_absent_ones_set_no_limit() -> None:
    info = deepcopy(SETTINGS)
    info["Rules"].update({"ExtraFloor": 2, "RepeatRatio": 0.15, "BudgetSpan": 10_000_000})
    info["Rules"]["SoftRemoval"] = True
    limits = settings.policy_arguments(info)["limits"]
    assert limits.retry_budget == RetryBudgetRule(2.0, 0.15, 10.0) and limits.soft_removal
    without_rules = settings.policy_arguments(SETTINGS)["limits"]
    assert not without_rules.soft_removal and without_rules.retry_budget is None
