"""The moments of a shutdown, all counted from the signal that began it."""

from __future__ import annotations

from dataclasses import dataclass

# The platform kills a process no sooner than the longest deadline, of which it counts so much at most, and
# 0.7 s more after SIGTERM.
MAX_DEADLINE_SECONDS = 3.0
# Of those 0.7 s. What is left allows for a process that gets no CPU for 0.15 s, once before it takes in the
# signal and once before it writes its answers.
ANSWER_SECONDS = 0.3
EXIT_SECONDS = 0.45
ACCEPT_SECONDS = 0.45  # clients go on connecting for 0.4 s at most


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When a process that was told to end does what; times are those of the node's clock, in seconds."""

    signalled_at: float
    longest_deadline: float  # of any client's invocation, in seconds

    @property
    def accept_until(self) -> float:
        """Until when new connections are awaited."""
        return self.signalled_at + ACCEPT_SECONDS

    @property
    def answer_by(self) -> float:
        """By when every invocation has its final answer, however late it was received."""
        return self.signalled_at + min(self.longest_deadline, MAX_DEADLINE_SECONDS) + ANSWER_SECONDS

    @property
    def exit_by(self) -> float:
        """By when the process ends, whatever is still open."""
        return self.signalled_at + min(self.longest_deadline, MAX_DEADLINE_SECONDS) + EXIT_SECONDS
