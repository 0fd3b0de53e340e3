"""A retry budget: a limit on the pushes beyond each invocation's first, in constant memory."""

from __future__ import annotations

from thornladder.interface import RetryBudgetRule


class SlidingWindowCounter:
    """A count over the last `slots` slots of `slot_micros` microseconds, the present one among them."""

    def __init__(self, slot_micros: int, slots: int) -> None:
        self.slot_micros, self.counts, self.newest, self.sum = slot_micros, [0] * slots, -1, 0

    def read(self, now: float) -> int:
        """The count at `now`; slots that have left the window are cleared."""
        newest, slots = max(round(now * 1e6) // self.slot_micros, self.newest), len(self.counts)
        for expired in range(max(self.newest + 1, newest - slots + 1), newest + 1):
            self.sum -= self.counts[expired % slots]
            self.counts[expired % slots] = 0
        self.newest = newest
        return self.sum

    def add(self, amount: int, at: float, now: float) -> None:
        """Count `amount` at the time `at`, unless its slot has left the window."""
        self.read(now)
        slot = round(at * 1e6) // self.slot_micros
        if slot > self.newest - len(self.counts):
            self.counts[slot % len(self.counts)] += amount
            self.sum += amount


class RetryBudget:
    """At most `floor` pushes plus `ratio` of the invocations in any window of the rule's length.

    Never allows more than an exact count would: a push counts until the last slot that may reach into the
    window has passed, an invocation only while its whole slot lies in it. Counting starts with the node.
    """

    SLOTS = 64  # of the window: at an even rate a sixty-fourth of the ratio stays unused

    def __init__(self, rule: RetryBudgetRule) -> None:
        self.rule, micros = rule, max(round(rule.window * 1e6), 1)
        slot_micros = -(-micros // self.SLOTS)
        self.invocations, self.extra_pushes = (
            SlidingWindowCounter(slot_micros, micros // slot_micros),
            SlidingWindowCounter(slot_micros, self.SLOTS + 1),
        )

    def allows(self, now: float) -> bool:
        """Whether one more push beyond an invocation's first keeps to the rule."""
        return self.extra_pushes.read(now) + 1 <= self.rule.floor + self.rule.ratio * self.invocations.read(
            now
        )

    def with_rule(self, rule: RetryBudgetRule, now: float) -> RetryBudget:
        """The budget under another rule. If its window differs, pushes that still count move to `now`."""
        if rule.window == self.rule.window:
            self.rule = rule
            return self
        new = RetryBudget(rule)
        new.extra_pushes.add(self.extra_pushes.read(now), now, now)
        return new
