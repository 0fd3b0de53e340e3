"""Rollout driver as a pure state machine: node reports in, log records and messages to send out. No I/O.

The driver's whole state is in its log records, so a driver that restarts after a crash at any point
continues where the previous one stopped. A document is logged before it is sent and may be sent repeatedly
without harm; every step resends it to nodes that hold an older one. The driver changes no node before a
majority of the nodes listed in the plan has granted its claim.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from thornladder.rollout.judge import Finding, Judge
from thornladder.rollout.orders import Claim, Document, Variant, apply_merge_patch
from thornladder.rollout.plan import Plan


class Phase(Enum):
    """State of a rollout; the values are stored in the log."""

    CLAIM = "claiming"
    BASELINE = "watching what is"
    APPLY = "changing"
    OBSERVE = "watching"
    HOLD = "on hold"
    ROLL_BACK = "undoing"
    DONE = "done"
    ROLLED_BACK = "undone"
    SUPERSEDED = "overtaken"
    REFUSED = "refused"


# The driver process exits in these phases. An operator may resume a rollout from HOLD.
FINAL_PHASES = frozenset({Phase.DONE, Phase.ROLLED_BACK, Phase.SUPERSEDED, Phase.REFUSED, Phase.HOLD})
# A node that is unreachable this long after its assignment is no longer waited for. It gets the document when
# it is reachable again.
UNREACHABLE_AFTER_SECONDS = 30.0
STALE_COUNTERS_SECONDS = 5.0  # older counters, such as those of a paused node, are not judged


class NodeReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of one node as its keeper reports it."""

    name: str
    document: Document | None = None
    claim: Claim = Claim(0, "")  # the last one granted; number 0: none
    running: int = -1  # index of the variant that serves; -1: none does
    refused: str = ""  # why the node does not run the variant assigned to it
    crashes: int = 0  # unrequested exits of the node so far
    speaks: dict[str, int] = {}  # version by protocol
    counters: dict[str, Any] | None = None
    age: float = 0.0  # of the counters, in seconds

    @property
    def is_serving(self) -> bool:
        """Whether the node serves with a variant of its document."""
        return self.running >= 0


class Record(msgspec.Struct, frozen=True):
    """One entry of the driver's log. A document is logged here before it is sent."""

    phase: str  # value of a `Phase`
    stage: int  # from 0
    words: str  # explanation for the operator
    claim: Claim | None = None
    document: Document | None = None


class WriteRecord(NamedTuple):
    """Append a record to the log and sync it to disk."""

    record: Record


class RequestClaim(NamedTuple):
    """Ask the named nodes to grant a claim."""

    names: tuple[str, ...]
    claim: Claim


class SendDocument(NamedTuple):
    """Send a document to the named nodes."""

    names: tuple[str, ...]
    document: Document


Action = WriteRecord | RequestClaim | SendDocument


class Driver:
    """Decides the next actions of one rollout; the caller carries them out in order."""

    def __init__(
        self, plan: Plan, driver: str, records: Sequence[Record] = (), judge: Judge | None = None
    ) -> None:
        """`driver` is a globally unique name that is never reused; `records` is the log so far, in order."""
        self.plan, self.name = plan, driver
        self.rollout_order = plan.rollout_order()
        self.stage_sizes = plan.stage_sizes()
        self.judge = judge or Judge(plan.worse, plan.false_stops)
        self.phase, self.stage, self.message = Phase.CLAIM, 0, ""
        self.claim: Claim | None = None
        self.document: Document | None = None
        self.phase_started_at: float | None = None  # by this process's clock; None until the next step
        self.pending_since: dict[str, float] = {}  # when each node that is still changing got its assignment
        self.waiting_reason = ""  # why the last step did not advance the rollout
        self.paused = False
        self.harmed_invocations = 0
        for record in records:
            self.phase, self.stage, self.message = Phase(record.phase), record.stage, record.words
            self.claim = record.claim or self.claim
            self.document = record.document or self.document
        # A restarted driver has lost the judge's baseline.
        self.baseline_lost = bool(records) and self.phase in (Phase.APPLY, Phase.OBSERVE, Phase.ROLL_BACK)

    @property
    def finished(self) -> bool:
        """Whether the driver process has nothing more to do."""
        return self.phase in FINAL_PHASES

    @property
    def new_variant(self) -> int:
        """Index of the variant being rolled out."""
        return len(self.document.variants) - 1

    def new_variant_nodes(self) -> list[str]:
        """Nodes that are assigned the new variant."""
        return [
            name
            for name in self.rollout_order
            if self.document and self.document.lines.get(name) == self.new_variant
        ]

    # Operator requests.

    def stop(self, message: str = "a person stopped it") -> list[Action]:
        """Stops the rollout: holds it or starts a rollback, as the plan's `at_stop` says."""
        return [] if self.finished or self.document is None else self._stop(message)

    def roll_back(self) -> list[Action]:
        """Starts a rollback, also of a rollout that is done or on hold."""
        if self.document is None or self.phase in (Phase.SUPERSEDED, Phase.REFUSED, Phase.ROLLED_BACK):
            return []
        return self._start_rollback("a person has it undone")

    def resume(self) -> list[Action]:
        """Continues after a pause or a hold."""
        self.paused = False
        if self.phase is not Phase.HOLD:
            return []
        self.judge, self.baseline_lost = Judge(self.plan.worse, self.plan.false_stops), True
        return self._transition(
            Phase.APPLY, self.stage, "a person has it go on", self._next_revision("going")
        )

    # Periodic step.

    def step(self, now: float, reports: Mapping[str, NodeReport]) -> list[Action]:
        """Advances the rollout; called about once a second with the reports of all nodes that answered."""
        self.waiting_reason = ""
        if self.phase_started_at is None:
            self.phase_started_at = now
        reports = {name: report for name, report in reports.items() if name in self.plan.nodes}
        if self.phase in (Phase.SUPERSEDED, Phase.REFUSED):
            return []
        if superseded := self._superseded_reason(reports):
            return self._finish(Phase.SUPERSEDED, superseded)
        actions = self._resend_document(reports)
        too_few_reachable = len(reports) < math.ceil(self.plan.see * len(self.plan.nodes) - 1e-9)
        if too_few_reachable and not self.finished:
            self.waiting_reason = f"sees {len(reports)} of {len(self.plan.nodes)} nodes"
            self._restart_observation(now)
            return actions
        if self.phase is Phase.CLAIM:
            return actions + self._acquire_claim(reports)
        if self.paused or self.finished:
            self.waiting_reason = "paused by an operator" if self.paused else ""
            return actions
        if self.phase is Phase.BASELINE:
            return actions + self._observe_baseline(now, reports)
        self._update_judge(now, reports)
        if self.phase is Phase.ROLL_BACK:
            return actions + self._change_next_nodes(now, reports, self.document.before)
        if reason := self._stop_reason(now, reports):
            return actions + self._stop(reason)
        if self.phase is Phase.APPLY:
            assignment = dict.fromkeys(self.rollout_order[: self.stage_sizes[self.stage]], self.new_variant)
            return actions + self._change_next_nodes(now, reports, assignment)
        return actions + self._observe_stage(now)

    def _superseded_reason(self, reports: Mapping[str, NodeReport]) -> str:
        """Names the newer change and a node that knows of it; empty if no node knows of one."""
        for name, report in sorted(reports.items()):
            number = max(report.claim.number, report.document.number if report.document else 0)
            if self.claim is not None and number > self.claim.number:
                return f"change {number} has begun: {name} says so"
        return ""

    def _resend_document(self, reports: Mapping[str, NodeReport]) -> list[Action]:
        """Sends the document to nodes with an older one, as a message was lost or they were unreachable."""
        if self.document is None:
            return []
        outdated = tuple(
            name for name, report in sorted(reports.items())
            if report.document is None or report.document.version < self.document.version
        )  # fmt: skip
        return [SendDocument(outdated, self.document)] if outdated else []

    # Phases.

    def _acquire_claim(self, reports: Mapping[str, NodeReport]) -> list[Action]:
        """Collects grants; with a majority of the listed nodes, writes the first document of this change.

        Ends the rollout if a majority is out of reach or the change may not start on this fleet.
        """
        if self.claim is None:
            return self._request_new_claim(reports)
        granted = [name for name, report in reports.items() if report.claim == self.claim]
        rivals = [report.claim.driver for report in reports.values()
                  if report.claim.number == self.claim.number and report.claim != self.claim]  # fmt: skip
        if 2 * len(granted) <= len(self.plan.nodes):
            if 2 * len(rivals) >= len(self.plan.nodes) or len(granted) + len(rivals) == len(self.plan.nodes):
                return self._finish(Phase.SUPERSEDED, f"another driver has begun change {self.claim.number}")
            missing = tuple(name for name in sorted(reports) if name not in granted)
            self.waiting_reason = f"{len(granted)} of {len(self.plan.nodes)} nodes granted the claim"
            return [RequestClaim(missing, self.claim)]
        documents = [report.document for report in reports.values() if report.document]
        base = max(documents, key=lambda document: document.version, default=None)
        if refusal := self._refusal_reason(reports, base):
            return self._finish(Phase.REFUSED, refusal)
        change = self.plan.change
        variants = base.variants if base else [Variant("as the keepers' files say")]
        assignment = {name: (base.lines.get(name, 0) if base else 0) for name in self.rollout_order}
        new_variant = Variant(change.name, self._combined_patch(variants, assignment), change.program)
        document = Document(self.claim.number, 1, self.name, change.name, [*variants, new_variant],
                            assignment, dict(assignment), "going")  # fmt: skip
        phase = Phase.BASELINE if self.plan.before > 0.0 else Phase.APPLY
        if phase is Phase.APPLY:
            self.judge.start_comparison()
        return self._transition(phase, 0, "begun", document)

    def _request_new_claim(self, reports: Mapping[str, NodeReport]) -> list[Action]:
        highest = max((max(report.claim.number, report.document.number if report.document else 0)
                       for report in reports.values()), default=0)  # fmt: skip
        self.claim = Claim(highest + 1, self.name)
        record = Record(Phase.CLAIM.value, 0, f"claims number {self.claim.number}", self.claim)
        return [WriteRecord(record), RequestClaim(tuple(sorted(reports)), self.claim)]

    def _combined_patch(self, variants: Sequence[Variant], assignment: Mapping[str, int]) -> dict[str, Any]:
        """The plan's settings merged into the patch that all nodes use now.

        Drops the current patches if nodes run different variants.
        """
        current = {assignment[name] for name in assignment}
        base = variants[next(iter(current))].patch if len(current) == 1 else {}
        return apply_merge_patch(base, self.plan.change.settings) if self.plan.change.settings else dict(base)

    def _refusal_reason(self, reports: Mapping[str, NodeReport], base: Document | None) -> str:
        """Why this change may not start on this fleet; empty if it may."""
        if base is not None and base.stands not in ("done", "undone") and not self.plan.over_stopped:
            return f"change {base.number} ({base.change}) stands {base.stands}: undo it, or say over_stopped"
        speaks = self.plan.change.speaks
        for name, report in sorted(reports.items()):
            for protocol, version in speaks.items():
                if report.speaks.get(protocol, version) != version:
                    return (f"the new program speaks version {version} of {protocol}, {name} version "
                            f"{report.speaks[protocol]}: they could not live side by side")  # fmt: skip
        return ""

    def _observe_baseline(self, now: float, reports: Mapping[str, NodeReport]) -> list[Action]:
        """Feeds the judge with the counters of unchanged nodes, then starts the first stage."""
        self.judge.add_baseline(_current_counters(reports))
        if now - self.phase_started_at < self.plan.before:
            return []
        self.judge.start_comparison()
        return self._transition(Phase.APPLY, 0, "stage 1 begins")

    def _change_next_nodes(
        self, now: float, reports: Mapping[str, NodeReport], target: Mapping[str, int]
    ) -> list[Action]:
        """Moves the next nodes to their variant in `target`, within the plan's limit of unavailable nodes.

        Enters the next phase once every node runs its variant in `target`.
        """
        document = self.document
        unavailable = [
            name
            for name, since in self.pending_since.items()
            if not self._has_converged(name, reports, now, since)
        ]
        unavailable += [
            name for name, report in reports.items() if not report.is_serving and name not in unavailable
        ]
        outdated = [
            name for name in self.rollout_order if name in target and document.lines[name] != target[name]
        ]
        # Nodes that do not serve are changed regardless of the limit. Otherwise a variant that crashes at
        # start on every node would exhaust the limit and could never be rolled back.
        chosen = [name for name in outdated if name in reports and not reports[name].is_serving]
        chosen += [name for name in outdated if name not in chosen][
            : max(self.plan.out - len(unavailable), 0)
        ]
        if chosen:
            self.pending_since.update(dict.fromkeys(chosen, now))
            revised = self._next_revision(
                assignment={**document.lines, **{name: target[name] for name in chosen}}
            )
            verb = "undone at" if self.phase is Phase.ROLL_BACK else "changed at"
            return self._transition(self.phase, self.stage, f"{verb} {', '.join(chosen)}", revised)
        if outdated or [name for name in unavailable if name in self.pending_since]:
            self.waiting_reason = f"waits for {', '.join(sorted(unavailable)[:5])}"
            return []
        if self.phase is Phase.ROLL_BACK:
            return self._transition(Phase.ROLLED_BACK, self.stage, "undone", self._next_revision("undone"))
        self.judge.start_stage()
        message = f"stage {self.stage + 1}: watching {len(self.new_variant_nodes())} nodes"
        return self._transition(Phase.OBSERVE, self.stage, message)

    def _has_converged(self, name: str, reports: Mapping[str, NodeReport], now: float, since: float) -> bool:
        """Whether the node runs its assigned variant, or has been unreachable for too long to wait for."""
        report = reports.get(name)
        if report is None:
            return now - since > UNREACHABLE_AFTER_SECONDS
        return self._running_variant(report) == self.document.lines[name]

    def _running_variant(self, report: NodeReport) -> int:
        """Index of the variant that the reporting node serves with; -1 if none or unknown.

        An index into the variants of another change's document counts as unknown.
        """
        same_change = report.document is not None and report.document.number == self.document.number
        return report.running if same_change else -1

    def _update_judge(self, now: float, reports: Mapping[str, NodeReport]) -> None:
        if self.baseline_lost:
            self.judge.start_without_baseline(_current_counters(reports))
            self.baseline_lost = False
        on_new = {
            name for name, report in reports.items() if self._running_variant(report) == self.new_variant
        }
        # A node that does not run its assigned variant yet counts as neither old nor new.
        counters = {name: counters for name, counters in _current_counters(reports).items()
                    if self._running_variant(reports[name]) == self.document.lines[name]}  # fmt: skip
        crashes = {name: report.crashes for name, report in reports.items()}
        self.judge.observe(now, counters, on_new, crashes, set(self.new_variant_nodes()))

    def _stop_reason(self, now: float, reports: Mapping[str, NodeReport]) -> str:
        """Why the rollout must stop; empty if it may continue.

        Also removes nodes that have converged from `pending_since`.
        """
        for name in self.new_variant_nodes():
            report = reports.get(name)
            if report is not None and report.refused:
                return f"{name} does not run it: {report.refused}"
        for name, since in list(self.pending_since.items()):
            report = reports.get(name)
            if report is not None and self._running_variant(report) == self.document.lines[name]:
                del self.pending_since[name]
            elif report is not None and now - since > self.plan.ready:
                return f"{name} was not ready after {self.plan.ready:g} s"
        finding = self.judge.finding()
        if finding.regressed:
            return f"new nodes do worse: {finding.top_metric}, by {finding.mean_difference:+.3f} on average"
        return ""

    def _observe_stage(self, now: float) -> list[Action]:
        """Ends the stage once it has been observed long enough, with enough invocations and a clear result.

        Holds the rollout if the stage lacks these for too long.
        """
        plan, finding = self.plan, self.judge.finding()
        observed_seconds = now - self.phase_started_at
        invocations = self.judge.stage_invocations[1]
        if observed_seconds < plan.watch:
            self.waiting_reason = f"watched for {observed_seconds:.0f} of {plan.watch:.0f} s"
            return []
        reason = ""
        if invocations < plan.least:
            reason = f"saw too little: {invocations} of {plan.least} invocations at new nodes"
        elif undersampled := self.judge.undersampled_offerings(plan.least_each):
            reason = f"saw too little of {', '.join(undersampled)}: less than {plan.least_each} at new nodes"
        elif finding.inconclusive:
            reason = f"is in doubt: {finding.top_metric}, by {finding.mean_difference:+.3f} on average"
        if reason and observed_seconds > plan.longest * plan.watch:
            return self._transition(
                Phase.HOLD, self.stage, f"stage {self.stage + 1} {reason}", self._next_revision("hold")
            )
        if reason:
            self.waiting_reason = f"stage {self.stage + 1} {reason}"
            return []
        if self.stage + 1 < len(self.stage_sizes):
            return self._transition(Phase.APPLY, self.stage + 1, f"stage {self.stage + 2} begins")
        return self._transition(Phase.DONE, self.stage, "done", self._next_revision("done"))

    # Transitions.

    def _stop(self, message: str) -> list[Action]:
        if self.plan.at_stop == "undo":
            return self._start_rollback(f"stopped: {message}")
        return self._transition(Phase.HOLD, self.stage, f"stopped: {message}", self._next_revision("hold"))

    def _start_rollback(self, message: str) -> list[Action]:
        self.pending_since.clear()
        return self._transition(Phase.ROLL_BACK, self.stage, message, self._next_revision("undoing"))

    def _restart_observation(self, now: float) -> None:
        """Restarts the observation time, which must not include periods with too few reachable nodes."""
        if self.phase in (Phase.OBSERVE, Phase.BASELINE):
            self.phase_started_at = now

    def _next_revision(self, stands: str = "", assignment: Mapping[str, int] | None = None) -> Document:
        document = self.document
        return msgspec.structs.replace(
            document, revision=document.revision + 1, stands=stands or document.stands,
            lines=dict(assignment or document.lines),
        )  # fmt: skip

    def _transition(
        self, phase: Phase, stage: int, message: str, document: Document | None = None
    ) -> list[Action]:
        """Enters a phase: logs it, then sends the new document, if any, to all nodes."""
        self.phase, self.stage, self.message = phase, stage, message
        self.phase_started_at = None
        actions: list[Action] = [WriteRecord(Record(phase.value, stage, message, None, document))]
        if document is not None:
            self.document = document
            actions.append(SendDocument(tuple(self.rollout_order), document))
        return actions

    def _finish(self, phase: Phase, message: str) -> list[Action]:
        """Enters a final phase without sending a document: this driver may not change the fleet."""
        self.phase, self.message = phase, message
        return [WriteRecord(Record(phase.value, self.stage, message))]


def _current_counters(reports: Mapping[str, NodeReport]) -> dict[str, dict[str, Any]]:
    """Counters by node, without those older than `STALE_COUNTERS_SECONDS`."""
    return {name: report.counters for name, report in reports.items()
            if report.counters and report.age < STALE_COUNTERS_SECONDS}  # fmt: skip


__all__ = [
    "Action",
    "RequestClaim",
    "Driver",
    "Finding",
    "Phase",
    "Record",
    "NodeReport",
    "SendDocument",
    "WriteRecord",
]
