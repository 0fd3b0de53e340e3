"""Drives a change: what was seen of the nodes in, records to be written and orders to be sent out. No I/O.

All it knows comes from its records, so one that was killed at any point goes on as the one before it would
have: a document is written before it is sent, may be sent again without harm, and is sent to whoever holds an
older one at each step. Nothing is done on a claim that more than half of the written list has not granted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from thornladder.rollout.judge import Finding, Judge
from thornladder.rollout.orders import Claim, Document, Variant, merged
from thornladder.rollout.plan import Plan


class Phase(Enum):
    CLAIM = "claiming"
    BEFORE = "watching what is"
    ACT = "changing"
    WATCH = "watching"
    HOLD = "on hold"
    ROLL_BACK = "undoing"
    DONE = "done"
    ROLLED_BACK = "undone"
    OVERTAKEN = "overtaken"
    REFUSED = "refused"


ENDS = frozenset({Phase.DONE, Phase.ROLLED_BACK, Phase.OVERTAKEN, Phase.REFUSED, Phase.HOLD})
AWAY = 30.0  # seconds unseen after which a node that was ordered is not waited for: it takes it when back
STALE = 5.0  # seconds: older counters are those of a node that is paused, and are not judged


class Seen(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a node's keeper tells."""

    name: str
    document: Document | None = None
    claim: Claim = Claim(0, "")
    running: int = -1  # variant that serves; -1: none does
    refused: str = ""  # why it does not run what its line says
    crashes: int = 0  # ends that nobody asked for, so far
    speaks: dict[str, int] = {}
    counters: dict[str, Any] | None = None
    age: float = 0.0  # seconds of those counters

    @property
    def serves(self) -> bool:
        return self.running >= 0


class Record(msgspec.Struct, frozen=True):
    """One line of the log. `document`: written before it is sent."""

    phase: str
    stage: int
    words: str
    claim: Claim | None = None
    document: Document | None = None


class Write(NamedTuple):
    record: Record


class Ask(NamedTuple):
    """A claim, of these nodes."""

    names: tuple[str, ...]
    claim: Claim


class Tell(NamedTuple):
    names: tuple[str, ...]
    document: Document


Act = Write | Ask | Tell


class Driver:
    def __init__(
        self, plan: Plan, driver: str, records: Sequence[Record] = (), judge: Judge | None = None
    ) -> None:
        """`driver`: a name that no other driver has, ever. `records`: of the log, in order."""
        self.plan, self.name = plan, driver
        self.order = plan.rollout_order()
        self.sizes = plan.stage_sizes()
        self.judge = judge or Judge(plan.worse, plan.false_stops)
        self.phase, self.stage, self.message = Phase.CLAIM, 0, ""
        self.claim: Claim | None = None
        self.document: Document | None = None
        self.began: float | None = None  # the phase, as this process saw it
        self.ordered: dict[str, float] = {}  # nodes sent something new, since when they are waited for
        self.waiting_reason = ""  # for what
        self.paused = False
        self.harmed = 0
        for record in records:
            self.phase, self.stage, self.message = Phase(record.phase), record.stage, record.words
            self.claim = record.claim or self.claim
            self.document = record.document or self.document
        self.resumed = bool(records) and self.phase in (Phase.ACT, Phase.WATCH, Phase.ROLL_BACK)

    @property
    def finished(self) -> bool:
        return self.phase in ENDS

    @property
    def new(self) -> int:
        """The variant that is being brought in."""
        return len(self.document.variants) - 1

    def fresh(self) -> list[str]:
        """Nodes whose line is the new variant."""
        return [name for name in self.order if self.document and self.document.lines.get(name) == self.new]

    # Orders of a person.

    def stop(self, words: str = "a person stopped it") -> list[Act]:
        return [] if self.finished or self.document is None else self._halt(words)

    def undo(self) -> list[Act]:
        if self.document is None or self.phase in (Phase.OVERTAKEN, Phase.REFUSED, Phase.ROLLED_BACK):
            return []
        return self._undo("a person has it undone")

    def go_on(self) -> list[Act]:
        """After a hold."""
        self.paused = False
        if self.phase is not Phase.HOLD:
            return []
        self.judge, self.resumed = Judge(self.plan.worse, self.plan.false_stops), True
        return self._write(Phase.ACT, self.stage, "a person has it go on", self._revised("going"))

    # What was seen.

    def step(self, now: float, seen: Mapping[str, Seen]) -> list[Act]:
        """Once a second or so. `seen`: who answered."""
        self.waiting_reason = ""
        if self.began is None:
            self.began = now
        seen = {name: each for name, each in seen.items() if name in self.plan.nodes}
        if self.phase in (Phase.OVERTAKEN, Phase.REFUSED):
            return []
        if overtaken := self._overtaken(seen):
            return self._end(Phase.OVERTAKEN, overtaken)
        acts = self._again(seen)
        few = len(seen) < math.ceil(self.plan.see * len(self.plan.nodes) - 1e-9)
        if few and not self.finished:
            self.waiting_reason = f"sees {len(seen)} of {len(self.plan.nodes)} nodes"
            self._quiet(now)
            return acts
        if self.phase is Phase.CLAIM:
            return acts + self._claim(seen)
        if self.paused or self.finished:
            self.waiting_reason = "paused by a person" if self.paused else ""
            return acts
        if self.phase is Phase.BEFORE:
            return acts + self._before(now, seen)
        self._look(now, seen)
        if self.phase is Phase.ROLL_BACK:
            return acts + self._bring(now, seen, self.document.before)
        if trouble := self._trouble(now, seen):
            return acts + self._halt(trouble)
        if self.phase is Phase.ACT:
            lines = dict.fromkeys(self.order[: self.sizes[self.stage]], self.new)
            return acts + self._bring(now, seen, lines)
        return acts + self._watch(now)

    def _overtaken(self, seen: Mapping[str, Seen]) -> str:
        for name, each in sorted(seen.items()):
            number = max(each.claim.number, each.document.number if each.document else 0)
            if self.claim is not None and number > self.claim.number:
                return f"change {number} has begun: {name} says so"
        return ""

    def _again(self, seen: Mapping[str, Seen]) -> list[Act]:
        """To whoever holds an older one: what is lost or came while a node was away."""
        if self.document is None:
            return []
        behind = tuple(
            name for name, each in sorted(seen.items())
            if each.document is None or each.document.order < self.document.order
        )  # fmt: skip
        return [Tell(behind, self.document)] if behind else []

    # Each phase.

    def _claim(self, seen: Mapping[str, Seen]) -> list[Act]:
        if self.claim is None:
            return self._first_claim(seen)
        granted = [name for name, each in seen.items() if each.claim == self.claim]
        rivals = [each.claim.driver for each in seen.values()
                  if each.claim.number == self.claim.number and each.claim != self.claim]  # fmt: skip
        if 2 * len(granted) <= len(self.plan.nodes):
            if 2 * len(rivals) >= len(self.plan.nodes) or len(granted) + len(rivals) == len(self.plan.nodes):
                return self._end(Phase.OVERTAKEN, f"another driver has begun change {self.claim.number}")
            asked = tuple(name for name in sorted(seen) if name not in granted)
            self.waiting_reason = f"{len(granted)} of {len(self.plan.nodes)} nodes take its orders"
            return [Ask(asked, self.claim)]
        held = [each.document for each in seen.values() if each.document]
        base = max(held, key=lambda document: document.order, default=None)
        if wrong := self._unfit(seen, base):
            return self._end(Phase.REFUSED, wrong)
        change = self.plan.change
        variants = base.variants if base else [Variant("as the keepers' files say")]
        lines = {name: (base.lines.get(name, 0) if base else 0) for name in self.order}
        new = Variant(change.name, self._patch(variants, lines), change.program)
        document = Document(self.claim.number, 1, self.name, change.name, [*variants, new], lines,
                            dict(lines), "going")  # fmt: skip
        phase = Phase.BEFORE if self.plan.before > 0.0 else Phase.ACT
        if phase is Phase.ACT:
            self.judge.begin()
        return self._write(phase, 0, "begun", document)

    def _first_claim(self, seen: Mapping[str, Seen]) -> list[Act]:
        highest = max((max(each.claim.number, each.document.number if each.document else 0)
                       for each in seen.values()), default=0)  # fmt: skip
        self.claim = Claim(highest + 1, self.name)
        record = Record(Phase.CLAIM.value, 0, f"claims number {self.claim.number}", self.claim)
        return [Write(record), Ask(tuple(sorted(seen)), self.claim)]

    def _patch(self, variants: Sequence[Variant], lines: Mapping[str, int]) -> dict[str, Any]:
        """On top of what the nodes run now, where that is one thing."""
        base = {lines[name] for name in lines}
        under = variants[next(iter(base))].patch if len(base) == 1 else {}
        return merged(under, self.plan.change.settings) if self.plan.change.settings else dict(under)

    def _unfit(self, seen: Mapping[str, Seen], base: Document | None) -> str:
        """Why this change may not begin on this fleet."""
        if base is not None and base.stands not in ("done", "undone") and not self.plan.over_stopped:
            return f"change {base.number} ({base.change}) stands {base.stands}: undo it, or say over_stopped"
        speaks = self.plan.change.speaks
        for name, each in sorted(seen.items()):
            for what, version in speaks.items():
                if each.speaks.get(what, version) != version:
                    return (f"the new program speaks version {version} of {what}, {name} version "
                            f"{each.speaks[what]}: they could not live side by side")  # fmt: skip
        return ""

    def _before(self, now: float, seen: Mapping[str, Seen]) -> list[Act]:
        self.judge.learn(_judged(seen))
        if now - self.began < self.plan.before:
            return []
        self.judge.begin()
        return self._write(Phase.ACT, 0, "stage 1 begins")

    def _bring(self, now: float, seen: Mapping[str, Seen], lines: Mapping[str, int]) -> list[Act]:
        """The next few nodes to what `lines` says; what follows once all have it."""
        document = self.document
        out = [name for name, since in self.ordered.items() if not self._settled(name, seen, now, since)]
        out += [name for name, each in seen.items() if not each.serves and name not in out]
        behind = [name for name in self.order if name in lines and document.lines[name] != lines[name]]
        # Those that do not serve are out anyway. Guards against a fleet that ends at its start, never undone.
        chosen = [name for name in behind if name in seen and not seen[name].serves]
        chosen += [name for name in behind if name not in chosen][: max(self.plan.out - len(out), 0)]
        if chosen:
            self.ordered.update(dict.fromkeys(chosen, now))
            revised = self._revised(lines={**document.lines, **{name: lines[name] for name in chosen}})
            verb = "undone at" if self.phase is Phase.ROLL_BACK else "changed at"
            return self._write(self.phase, self.stage, f"{verb} {', '.join(chosen)}", revised)
        if behind or [name for name in out if name in self.ordered]:
            self.waiting_reason = f"waits for {', '.join(sorted(out)[:5])}"
            return []
        if self.phase is Phase.ROLL_BACK:
            return self._write(Phase.ROLLED_BACK, self.stage, "undone", self._revised("undone"))
        self.judge.new_stage()
        words = f"stage {self.stage + 1}: watching {len(self.fresh())} nodes"
        return self._write(Phase.WATCH, self.stage, words)

    def _settled(self, name: str, seen: Mapping[str, Seen], now: float, since: float) -> bool:
        each = seen.get(name)
        if each is None:
            return now - since > AWAY
        return self._runs(each) == self.document.lines[name]

    def _runs(self, each: Seen) -> int:
        """The variant that serves there; what another change calls by that number is none."""
        same = each.document is not None and each.document.number == self.document.number
        return each.running if same else -1

    def _look(self, now: float, seen: Mapping[str, Seen]) -> None:
        if self.resumed:
            self.judge.begin_anew(_judged(seen))
            self.resumed = False
        fresh = {name for name, each in seen.items() if self._runs(each) == self.new}
        # Neither side while it is on its way from one to the other.
        told = {name: each for name, each in _judged(seen).items()
                if self._runs(seen[name]) == self.document.lines[name]}  # fmt: skip
        crashes = {name: each.crashes for name, each in seen.items()}
        self.judge.see(now, told, fresh, crashes, set(self.fresh()))

    def _trouble(self, now: float, seen: Mapping[str, Seen]) -> str:
        for name in self.fresh():
            each = seen.get(name)
            if each is not None and each.refused:
                return f"{name} does not run it: {each.refused}"
        for name, since in list(self.ordered.items()):
            each = seen.get(name)
            if each is not None and self._runs(each) == self.document.lines[name]:
                del self.ordered[name]
            elif each is not None and now - since > self.plan.ready:
                return f"{name} was not ready after {self.plan.ready:g} s"
        found = self.judge.finding()
        if found.worse:
            return f"new nodes do worse: {found.most}, by {found.by:+.3f} on average"
        return ""

    def _watch(self, now: float) -> list[Act]:
        plan, found = self.plan, self.judge.finding()
        watched = now - self.began
        taken = self.judge.taken[1]
        if watched < plan.watch:
            self.waiting_reason = f"watched for {watched:.0f} of {plan.watch:.0f} s"
            return []
        why = ""
        if taken < plan.least:
            why = f"saw too little: {taken} of {plan.least} invocations at new nodes"
        elif short := self.judge.short(plan.least_each):
            why = f"saw too little of {', '.join(short)}: less than {plan.least_each} at new nodes"
        elif found.doubt:
            why = f"is in doubt: {found.most}, by {found.by:+.3f} on average"
        if why and watched > plan.longest * plan.watch:
            return self._write(Phase.HOLD, self.stage, f"stage {self.stage + 1} {why}", self._revised("hold"))
        if why:
            self.waiting_reason = f"stage {self.stage + 1} {why}"
            return []
        if self.stage + 1 < len(self.sizes):
            return self._write(Phase.ACT, self.stage + 1, f"stage {self.stage + 2} begins")
        return self._write(Phase.DONE, self.stage, "done", self._revised("done"))

    # Steps.

    def _halt(self, words: str) -> list[Act]:
        if self.plan.at_stop == "undo":
            return self._undo(f"stopped: {words}")
        return self._write(Phase.HOLD, self.stage, f"stopped: {words}", self._revised("hold"))

    def _undo(self, words: str) -> list[Act]:
        self.ordered.clear()
        return self._write(Phase.ROLL_BACK, self.stage, words, self._revised("undoing"))

    def _quiet(self, now: float) -> None:
        """Time in which too few were seen is not time in which the new was watched."""
        if self.phase in (Phase.WATCH, Phase.BEFORE):
            self.began = now

    def _revised(self, stands: str = "", lines: Mapping[str, int] | None = None) -> Document:
        document = self.document
        return msgspec.structs.replace(
            document, revision=document.revision + 1, stands=stands or document.stands,
            lines=dict(lines or document.lines),
        )  # fmt: skip

    def _write(self, phase: Phase, stage: int, words: str, document: Document | None = None) -> list[Act]:
        self.phase, self.stage, self.message = phase, stage, words
        self.began = None
        acts: list[Act] = [Write(Record(phase.value, stage, words, None, document))]
        if document is not None:
            self.document = document
            acts.append(Tell(tuple(self.order), document))
        return acts

    def _end(self, phase: Phase, words: str) -> list[Act]:
        self.phase, self.message = phase, words
        return [Write(Record(phase.value, self.stage, words))]


def _judged(seen: Mapping[str, Seen]) -> dict[str, dict[str, Any]]:
    return {name: each.counters for name, each in seen.items() if each.counters and each.age < STALE}


__all__ = ["Act", "Ask", "Driver", "Finding", "Phase", "Record", "Seen", "Tell", "Write"]
