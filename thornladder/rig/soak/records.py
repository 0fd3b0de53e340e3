"""What clients and backends saw during a soak, and whether the rules held."""

from __future__ import annotations

import math
import signal
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

ANSWER_GRACE_SECONDS = 0.5  # after a client's deadline; a later answer counts as none
LEFT_GRACE_SECONDS = 0.1  # after a client has left, in which an attempt may still begin
# Before the earliest SIGKILL, in which a process that has been told to end may do so with answers under way.
END_MARGIN_SECONDS = 0.3
# After the last byte of a request, in which the end of its connection may have crossed it.
CROSSING_SECONDS = 0.05


class End(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    UNSENT = "unsent"  # the connection ended before its last byte was written
    RESET = "reset"  # the node ended the connection with the request unread
    CLOSED = "closed"  # the node ended the connection after reading the request
    CUT = "cut"  # the connection ended within the answer
    SILENT = "silent"  # neither an answer nor an end
    LEFT = "left"  # its client closed the connection


@dataclass
class RequestRecord:
    """One request on one connection, as its client saw it. Times are those of the soak, in seconds."""

    id: str
    offering: str
    node: int
    deadline: float  # seconds from `sent_at`
    reused: bool  # whether the connection had carried a request before
    sent_at: float = 0.0  # of the last byte; 0 if it was answered or ended before that was sent
    ended_before: bool = False  # whether the end of the connection had arrived before the last byte was sent
    ended_at: float = 0.0
    end: End = End.UNSENT
    status: int = 0
    body_id: str = ""  # first word of the body of a 200
    began_at: float = 0.0  # when its first byte was about to be sent
    returned_at: float = math.inf  # when its client came again with the same id
    answer_streamed: bool = False  # whether the answer was too large for a node to buffer
    # Seconds by which the machine had been late in all when the request was begun, and when it ended.
    lost_before: float = 0.0
    lost_at_end: float = 0.0
    # Seconds for which the node had waited for a processor in all, at the same times.
    waited_before: float = 0.0
    waited_at_end: float = 0.0

    @property
    def unanswered_seconds(self) -> float:
        """From the last byte to the end of the connection, less what the machine was late meanwhile."""
        return self.ended_at - self.sent_at - (self.lost_at_end - self.lost_before)

    @property
    def crossed(self) -> bool:
        """Whether the node ended the connection just before this request arrived, and left it unread."""
        return self.end is End.RESET and self.unanswered_seconds <= CROSSING_SECONDS


@dataclass
class Attempt:
    """A request that a backend received."""

    at: float  # when its head had come
    offering: str
    backend: int
    lost: float  # seconds by which the machine had been late in all
    answer_cut: bool = False  # whether the backend ended its connection amid the answer
    is_whole: bool = True  # whether the request had come whole


@dataclass
class ProcessRecord:
    """The end of one node process."""

    node: int
    signalled_at: float
    kill_after: float  # seconds
    ended_after: float  # seconds after the first signal to end
    killed: bool
    waited_seconds: float  # for a processor, from the first signal to end
    exit_code: int
    expects_clean_exit: bool
    log_errors: list[str] = field(default_factory=list)
    peak_memory: float = 0.0  # with its sockets, in MB of 2**20 bytes
    memory_limit: float = math.inf


@dataclass
class SoakRecords:
    """All that was recorded in one soak."""

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: dict[str, list[Attempt]] = field(default_factory=dict)
    # When the links saw the first byte of each attempt, which may reach its backend much later.
    sent_to_backends: dict[str, list[float]] = field(default_factory=dict)
    processes: list[ProcessRecord] = field(default_factory=list)
    once_only: frozenset[str] = frozenset()  # offerings whose requests may run once at most
    crowded: bool = False

    def violations(self) -> list[str]:
        """Describes each breach of a rule; empty if all rules held."""
        found = [text for request in self.requests if (text := self._check_request(request))]
        found += [text for process in self.processes if (text := self._check_process(process))]
        for id, attempts in self.attempts.items():
            if attempts[0].offering in self.once_only and len(attempts) > 1:
                found.append(f"{id}: a once-only request ran {len(attempts)} times")
        return found

    def _check_request(self, request: RequestRecord) -> str | None:
        # Those of another request with the same id are no matter of this one.
        attempts = [
            attempt
            for attempt in self.attempts.get(request.id, [])
            if request.began_at <= attempt.at < request.returned_at
        ]
        where = (
            f"{request.id} {request.offering} at node {request.node}, sent {request.sent_at:.3f}, "
            f"deadline {request.deadline:.3f}, ended {request.ended_at:.3f}, reused {request.reused}"
        )
        if request.end is End.ANSWERED:
            lost = request.lost_at_end - request.lost_before
            waited = max(request.waited_at_end - request.waited_before, 0.0)
            late = request.ended_at - request.sent_at - request.deadline - lost - waited
            # A large answer begins in time; how long it takes is up to its backend, and to its client.
            if request.sent_at and late > ANSWER_GRACE_SECONDS and not request.answer_streamed:
                return f"{where}: answered {late:.3f} s late"
            if request.status == 200 and request.body_id != request.id:
                return f"{where}: answered with the response to {request.body_id!r}"
            has_run = any(attempt.is_whole for attempt in attempts)
            if request.status == 503 and request.offering in self.once_only and has_run:
                return f"{where}: refused, but it may have run"
            return None
        if request.end is End.LEFT:
            late = self._latest_after_leaving(request, attempts)
            return (
                f"{where}: an attempt {late:.3f} s after its client left"
                if late > LEFT_GRACE_SECONDS
                else None
            )
        if request.end is End.UNSENT:
            return None
        # The client can tell that these are not whole.
        if request.end is End.CUT and any(attempt.answer_cut for attempt in attempts):
            return None
        if request.end is End.CUT and self._outlived_process(request):
            return None
        if request.crossed and not attempts and (request.reused or self.crowded):
            return None  # the client sends it again on another connection
        return (
            f"{where}: {request.end.value} without a whole answer after {request.unanswered_seconds:.3f} s, "
            f"{len(attempts)} attempts"
        )

    def _latest_after_leaving(self, request: RequestRecord, attempts: list[Attempt]) -> float:
        """Seconds from the client's leaving to its latest attempt, less what the machine was late."""
        if sent := self.sent_to_backends.get(request.id):
            return max(sent) - request.ended_at
        return max(
            (attempt.at - request.ended_at - (attempt.lost - request.lost_at_end) for attempt in attempts),
            default=0.0,
        )

    def _outlived_process(self, request: RequestRecord) -> bool:
        """Whether the answer, begun in time, was still under way as the time of its process was up.

        On a machine that is late a process may end after the earliest kill, by as much.
        """
        return any(
            process.node == request.node
            and process.kill_after - END_MARGIN_SECONDS
            < request.ended_at - process.signalled_at
            < (process.kill_after if process.killed else max(process.kill_after, process.ended_after))
            for process in self.processes
        )

    def _check_process(self, process: ProcessRecord) -> str | None:
        where = f"node {process.node}, signalled {process.signalled_at:.3f}"
        if process.killed:
            return (
                f"{where}: still running {process.kill_after:.3f} s after the signal, "
                f"{process.waited_seconds:.3f} s of which without a processor"
            )
        if process.peak_memory > process.memory_limit:
            return f"{where}: {process.peak_memory:.1f} MB of memory, {process.memory_limit} allowed"
        if process.expects_clean_exit and process.exit_code != 0:
            return f"{where}: exit code {process.exit_code}"
        # SIGINT amid the imports of a Python program ends it with a traceback; it has taken nothing then.
        interrupted = not process.expects_clean_exit and process.exit_code == -signal.SIGINT
        if process.log_errors and not interrupted:
            return f"{where}: {process.log_errors[0]}"
        return None

    def counts(self) -> dict[str, int]:
        """Requests by how they ended, with the status of those answered.

        "crossed" are those reset within `CROSSING_SECONDS` on a connection that was open when they were sent.
        """
        return dict(sorted(Counter(self._kind_of_end(request) for request in self.requests).items()))

    def _kind_of_end(self, request: RequestRecord) -> str:
        if request.end is End.ANSWERED:
            return str(request.status)
        return "crossed" if request.crossed and not request.ended_before else request.end.value
