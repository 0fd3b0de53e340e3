"""A budget of pushes beyond an invocation's first, held in every window and in memory that does not grow."""

from __future__ import annotations

from thornladder.interface import RetryBudgetRule


class Recent:
    """A count over the last `slots` slices of `width` microseconds, the present one among them."""

    def __init__(self, width: int, slots: int) -> None:
        self.width, self.counts, self.newest, self.sum = width, [0] * slots, -1, 0

    def read(self, now: float) -> int:
        newest, slots = max(round(now * 1e6) // self.width, self.newest), len(self.counts)
        for passed in range(max(self.newest + 1, newest - slots + 1), newest + 1):
            self.sum -= self.counts[passed % slots]
            self.counts[passed % slots] = 0
        self.newest = newest
        return self.sum

    def add(self, amount: int, at: float, now: float) -> None:
        self.read(now)
        number = round(at * 1e6) // self.width
        if number > self.newest - len(self.counts):
            self.counts[number % len(self.counts)] += amount
            self.sum += amount


class Budget:
    """In any window of the rule's span at most `few` pushes and `share` of the invocations taken in it.

    Never allows more than an exact count would: pushes count until the last slice that may reach into the
    window has passed, invocations only while their whole slice lies in it. Starts with the node."""

    SLICES = 64  # of the span: at an even rate a sixty-fourth of the share is not used

    def __init__(self, rule: RetryBudgetRule) -> None:
        self.rule, micros = rule, max(round(rule.window * 1e6), 1)
        width = -(-micros // self.SLICES)
        self.taken, self.further = Recent(width, micros // width), Recent(width, self.SLICES + 1)

    def allows(self, now: float) -> bool:
        return self.further.read(now) + 1 <= self.rule.floor + self.rule.ratio * self.taken.read(now)

    def under(self, rule: RetryBudgetRule, now: float) -> Budget:
        """The budget by this rule from now on. With another span what counts still was pushed just now."""
        if rule.window == self.rule.window:
            self.rule = rule
            return self
        new = Budget(rule)
        new.further.add(self.further.read(now), now, now)
        return new
