"""Every decision of a thornladder node.

A host creates one `Node` for each balancer node and hands it a `Host` (see interface.py). It tells the node
through the `on_…` methods what happened and when, in seconds; the node acts by calling the host at once. The
same events with the same seed lead to the same calls. `may_push` and `may_nack` are the only gates."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from math import ceil, exp, floor, inf, log
from random import Random

from thornladder import interface as api
from thornladder.budget import Budget
from thornladder.interface import Entry, Host, Idempotency, Invocation, ListKind, Offering, Outcome, State


class Fading:
    """A sum in which what was added `span` seconds ago counts for 1/e of it."""

    def __init__(self, span: float) -> None:
        self.span, self.sum, self.at = span, 0.0, 0.0

    def read(self, now: float) -> float:
        if now > self.at:
            self.sum *= exp((self.at - now) / self.span)
            self.at = now
        return self.sum

    def add(self, amount: float, now: float) -> None:
        self.sum = self.read(now) + amount


class Mean:
    """A fading mean of what was added; 0 while next to nothing was."""

    def __init__(self, span: float) -> None:
        self.sum, self.count = Fading(span), Fading(span)

    def read(self, now: float) -> float:
        return self.sum.read(now) / self.count.sum if self.count.read(now) > 0.01 else 0.0

    def add(self, value: float, now: float) -> None:
        self.sum.add(value, now)
        self.count.add(1.0, now)


class Backend:
    """What the list says of one backend, and since when this node ramps it."""

    def __init__(self, entry: Entry) -> None:
        self.id = entry.backend
        self.ramp_start: float | None = None  # None: mature
        self.absent_since: float | None = None
        self.usable, self.started_at = False, 0.0  # usable: may be pushed to by what the list says
        self.drained = self.lapsed = False  # left the list since it last ran, by a drain; in whatever way
        self.describe(entry)

    def describe(self, entry: Entry) -> None:
        self.zone, self.cell, self.weight = entry.zone, entry.cell, entry.weight

    def group(self, group: str) -> object:
        """What two backends have in common when one discards repeats of what the other ran."""
        return self.zone if group == "zone" else self.cell if group == "cell" else None


Judge = Callable[[Backend], bool]
Chance = Callable[[Backend, float], bool]


class Ramp:
    """The curve by which a new backend's weight grows: linear, the surest where no more is known."""

    def __init__(self, warm_up: float, cold_share: float) -> None:
        self.length, self.floor = max(0.5 * warm_up, 1.0), cold_share

    def ratio(self, backend: Backend, now: float) -> float:
        if backend.ramp_start is None:
            return 1.0
        return min(1.0, max(self.floor, max(now - backend.ramp_start, 1.0) / self.length))


class BackendRegistry:
    """The backends of the list, and the clock that each one's ramp runs on."""

    GRACE = 5.0  # seconds: late arrivals after a restart come with the first fresh list, after a call or two

    def __init__(self, now: float) -> None:
        self.ramp, self.grace_until, self.baseline = Ramp(1.0, 1.0), now + self.GRACE, False
        self.soft = False  # the list does not prove who serves: only a drain binds
        self.backends: dict[str, Backend] = {}

    @property
    def usable(self) -> list[Backend]:
        return [backend for _, backend in sorted(self.backends.items()) if backend.usable]

    def on_list(self, kind: ListKind, entries: list[Entry], now: float) -> None:
        seen = {entry.backend for entry in entries}
        for entry in entries:
            if entry.state is State.RUNNING:
                self._running(entry, now)
            elif entry.backend in self.backends:
                self.leave(self.backends[entry.backend], now, entry.state is State.DRAINING)
        for backend in self.backends.values() if kind is not ListKind.DELTA else ():
            if backend.id not in seen:
                self.leave(backend, now)
        self.baseline = True

    def back(self, backend: Backend, away_since: float, restarted: bool, now: float) -> None:
        """A backend that the health view kept out is pickable again."""
        newer = backend.ramp_start is not None and backend.ramp_start >= away_since
        if restarted and not newer or now - away_since >= self.ramp.length:
            backend.ramp_start = now

    def _running(self, entry: Entry, now: float) -> None:
        started = entry.started_at or 0.0
        recent = entry.started_at is not None and now - started < self.ramp.length
        backend = self.backends.get(entry.backend)
        if backend is None:
            backend = self.backends[entry.backend] = Backend(entry)
            if recent and (not self.baseline or now < self.grace_until):
                backend.ramp_start = started
            elif self.baseline and now >= self.grace_until:
                backend.ramp_start = now
        else:
            backend.describe(entry)
            if started > backend.started_at:
                backend.ramp_start = started
            elif backend.absent_since is not None and now - backend.absent_since >= self.ramp.length:
                backend.ramp_start = now
        backend.started_at = max(backend.started_at, started)
        backend.usable, backend.absent_since = True, None
        backend.drained = backend.lapsed = False

    def leave(self, backend: Backend, now: float, drains: bool = False, dead: bool = False) -> None:
        """No longer to be used; where gone does not bind, only once it drains or is found dead as well."""
        backend.drained, backend.lapsed = backend.drained or drains, True
        if backend.usable and (backend.drained or dead or not self.soft):
            backend.usable, backend.absent_since = False, now


class Part:
    """Every n-th backend of the list: under a trickle nothing is known of those met once a minute."""

    SEEN, LEAST = 4.0, 8  # seconds to meet each once, as Health remembers; backends, to lose a few and choose

    def __init__(self, rank: int = 0) -> None:
        self.rank, self.step = rank, 1

    def of(self, backends: list[Backend], rate: float, sound: Judge) -> list[Backend]:
        """The step doubles and halves, so a smaller part lies within the larger; with some slack between."""
        wanted = max(rate * self.SEEN, self.LEAST)
        while len(backends) >= 2.5 * self.step * wanted:
            self.step *= 2
        while self.step > 1 and len(backends) < 0.8 * self.step * wanted:
            self.step //= 2
        step = self.step
        while step > 1 and sum(map(sound, backends[self.rank % step :: step])) < 0.5 * self.LEAST:
            # Guards against a part of which most is lost at once: more of the fleet is used until it is back.
            step //= 2
        return backends[self.rank % step :: step]


class Seat:
    """A backend's place in the rotation."""

    def __init__(self, backend: Backend, weight: int, turn: float, ramping: bool) -> None:
        self.backend, self.weight, self.turn, self.ramping = backend, weight, turn, ramping


class Rotation:
    """Weighted round robin: seats come up in the order of their next turn, one turn every 1/weight rounds."""

    CLEARLY = 0.75  # a choice yields only to a wait this much shorter; the rotation decides among near equals

    def __init__(self, chance: Random) -> None:
        self.chance = chance
        self.clock, self.total = 0.0, 1  # rounds gone by; of all weights
        self.seats: list[Seat] = []

    def rebuild(self, backends: list[Backend], ratio: Callable[[Backend], float]) -> None:
        """Rescale the weights, largest 100. Ramping seats wait on, or a trickle would never reach them."""
        before = {seat.backend.id: seat for seat in self.seats}
        given = [100.0 if backend.weight is None else max(backend.weight, 0.0) for backend in backends]
        largest = max(given, default=0.0) or 1.0
        self.seats = []
        for backend, listed in zip(backends, given, strict=True):
            if listed <= 0:
                continue
            share = ratio(backend)
            weight = max(floor(100.0 * listed / largest * share + 1e-9), 1)
            old = before.get(backend.id)
            kept = share < 1.0 and old is not None and old.ramping
            wait = max(old.turn - self.clock, 0.0) * old.weight if kept else self.chance.random()
            self.seats.append(Seat(backend, weight, self.clock + wait / weight, share < 1.0))
        self.total = sum(seat.weight for seat in self.seats) or 1

    def pick(self, allowed: Judge, wait: Callable[[Backend], float], lets: Chance) -> Backend | None:
        """The next seat in turn, or one after it with less in flight; ramping ones in turn, or as a spare, if
        chance `lets` a request go to one that so large a part of all would reach."""
        self.clock += 1.0 / self.total
        choice, best, spares = None, 0.0, []
        self.seats.sort(key=lambda seat: seat.turn)
        for seat in self.seats:
            if not allowed(seat.backend):
                continue
            if seat.ramping and seat.turn > self.clock:
                spares.append(seat)
                continue
            if seat.ramping and not lets(seat.backend, seat.weight / self.total):
                seat.turn = self.clock + 1.0 / seat.weight
                continue
            expected = wait(seat.backend)
            if choice is None or expected < self.CLEARLY * best:
                choice, best = seat, expected
        choice = choice or next((seat for seat in spares if lets(seat.backend, 1.0)), None)
        if choice is None:
            return None
        # A seat that yielded keeps its turn, but never more than one: no burst when it is free again.
        choice.turn = max(choice.turn, self.clock - 1.0 / choice.weight) + 1.0 / choice.weight
        return choice.backend


class Push:
    """One push of an invocation."""

    outcome: Outcome | None = None
    kind, drag = ("", ""), 0.0  # its offering and tenant; seconds that these wait wherever they run
    counted, overtaken = True, 0  # among what is out, until its target time; by how many pushed later

    def __init__(self, backend: Backend, sent: float, cost: float, ahead: float, idle: bool) -> None:
        self.backend, self.sent, self.cost, self.ahead, self.idle = backend, sent, cost, ahead, idle


class Pace:
    """How long answers took against what was expected of them."""

    def __init__(self, span: float) -> None:
        self.took, self.expected, self.learned = Fading(span), Fading(span), -100.0 * span

    def learn(self, took: float, expected: float, now: float) -> None:
        self.took.add(took, now)
        self.expected.add(expected, now)
        self.learned = now

    def slowness(self, weight: float, prior: float, now: float) -> float:
        """The ratio, with a prior of so many seconds. Guards against a standstill where nothing is pushed."""
        if now - self.learned > 5.0 * self.took.span:
            return prior
        ratio = (self.took.read(now) + weight * prior) / (self.expected.read(now) + weight)
        return prior + (ratio - prior) * exp((self.learned - now) / self.took.span)


class BackendStats:
    """What this node has seen of one backend."""

    def __init__(self) -> None:
        self.in_flight: dict[tuple[str, int], Push] = {}
        self.work, self.answered = 0.0, 0.0  # expected cost of what is in flight; its last sign of life
        self.pace = Pace(Health.MEMORY)
        self.busy, self.busy_at = 0.0, -inf  # its cores, by the last answer that told
        self.fine, self.erred, self.broke = (Fading(Health.MEMORY) for _ in range(3))
        # No connection was made since the last completed push; signs of a dead process since; the last one.
        self.refused, self.signs, self.sign_at = False, 0, 0.0
        self.fulls, self.full_until = 0, 0.0
        self.cause = ""  # why it is ejected; empty if it is not
        self.since, self.until, self.strikes, self.trial = 0.0, 0.0, 0, False
        self.cold: deque[tuple[float, float]] = deque()  # pushes while ramping: when, and expected cost
        self.others, self.told = 0.0, -inf  # what other nodes had out there, as of the last report
        self.failing, self.asked = "", None  # why its last report has it ejected; since when a probe is out

    def put(self, live: Live, push: Push) -> None:
        self.in_flight[live.inv.id, live.pushes.index(push)] = push
        self.work += push.cost

    def silent(self, now: float) -> float:
        """For how long pushes have waited without any sign of life."""
        first = next((push for push in self.in_flight.values() if not push.overtaken), None)
        return now - max(self.answered, first.sent + first.drag) if first else 0.0


class Health:
    """Tells a backend's troubles apart by what comes back from it and what does not.

    dead: connections break or are not made. hung: nothing comes back from pushes or a probe, or its report
    shows none completed. erring: it answers, with errors. These are ejected. slow, paused, robbed of its
    machine, full: these only come out longer in `wait`, so that others are picked."""

    MEMORY = 4.0  # seconds: dozens of answers at ten a second, and a trouble is forgotten within ten
    ANSWERS, LONGEST = 3.0, 16.0  # held in memory at least: one may be heavy; seconds at most, as a trouble
    PRIOR, SLOWEST = 2.0, 4.0  # answers that a prior counts for; times expected, more says no more of a zone
    SILENCE = 0.35  # seconds; longer than a collector's pause, shorter than any client waits
    TOO_MANY_ERRORS, FEW_ERRORS = 0.25, 0.05  # well above a sound backend's; a fifth, more of all is a crowd
    ALONE = 1.0  # answers of its like lately: fewer tell nothing of a drag
    IDLE, FULL = 0.7, 0.85  # of the cores: below nothing waits for one, above waits grow to twice
    TOLD = 4.0  # seconds that what an answer tells of cores is taken for so, as long as all is remembered
    LIVELY = 1.0  # seconds since an answer: what takes no connection then has no more to give
    CHANCE, MOST_SIGNS = 0.001, 4  # that breaks in a row befall a sound one; but no more while others die
    LOST = 2  # overtaken by more than a second worker explains: its answer says nothing of a queue
    ROW = 3  # pushes turned away one after the other: chance alone seldom makes more at a half
    SILENT_PROBE = 0.1  # seconds: probes come back within a few hundredths, but from what has gone silent
    STUCK, TRUST = 2.0, 0.5  # seconds that what is held stays, all of it late; that a report lasts, to 1/e
    FIRST_SENTENCE, LAST_SENTENCE = 1.0, 4.0  # seconds until the first trial, and after many: it doubles

    def __init__(self, chance: Random, log: Callable[[str], None]) -> None:
        self.chance, self.log = chance, log
        self.stats: defaultdict[str, BackendStats] = defaultdict(BackendStats)
        self.zones = defaultdict(lambda: Pace(2.0 * self.MEMORY))
        self.units = defaultdict(lambda: Mean(30.0))
        self.busy = Mean(0.5 * self.MEMORY)  # cores, of all; how much longer each offering and tenant took:
        self.beyond = [defaultdict(lambda: Mean(0.5 * self.MEMORY)) for _ in range(2)]
        self.fine, self.erred, self.broke = (Fading(self.MEMORY) for _ in range(3))  # of all backends
        self.ejected, self.slowest, self.slowest_at = 0, 0.0, 0.0
        self.first = 0.0, 0.0  # the shortest target time, until an answer tells what silence is; since when
        # What a backend holds by reports, lately and as is usual, and how long answers take: of all backends.
        self.held, self.usual, self.took = Mean(1.0), Mean(30.0), Mean(30.0)
        self.priors, self.priors_of = {}, None  # of the zones; the instant and the cost that they are as of

    def remember(self, backends: list[Backend], rate: float) -> None:
        """Under a trickle what came from a backend is kept longer, or there would be next to nothing."""
        span = min(max(self.MEMORY, self.ANSWERS * len(backends) / max(rate, 1e-6)), self.LONGEST)
        for backend in backends:
            view = self.view(backend)
            for measure in (view.pace.took, view.pace.expected, view.fine, view.erred, view.broke):
                measure.span = span

    def _learn(self, push: Push, took: float, expected: float, now: float) -> None:
        # Guards against a kind that waits on others at every backend, passing for backends that are slow.
        for means, name in zip(self.beyond, push.kind, strict=True):
            means[name].add(took - expected, now)
        if push.drag:
            return
        self.view(push.backend).pace.learn(took, expected, now)
        self.priors_of = None
        # Guards against a standstill after a jam: one answer of seconds would outweigh dozens of quick ones.
        self.zones[push.backend.zone].learn(min(took, self.SLOWEST * expected), expected, now)

    def view(self, backend: Backend) -> BackendStats:
        return self.stats[backend.id]

    def cost(self, offering: Offering, now: float) -> float:
        """Seconds that an invocation keeps a typical backend busy, learned from pushes that found it idle."""
        mean, guess = self.units[offering.name], offering.target_time / 5.0  # until something is learned
        return (mean.sum.read(now) + guess) / (mean.count.read(now) + 1.0)

    def drag(self, live: Live, now: float) -> float:
        """Seconds that its offering or tenant lately takes beyond what others do, if more than is late."""
        drag = 0.0
        for means, name in zip(self.beyond, live.kind, strict=True):
            told = {kind: mean.read(now) for kind, mean in means.items() if mean.count.read(now) > self.ALONE}
            drag = max(drag, told.get(name, 0.0) - min(told.values(), default=0.0))
        return drag if drag > AdmissionControl.LATE * live.offering.target_time else 0.0

    def idle(self, now: float) -> bool:
        """Whether cores stand idle by the answers' reports: what is late then waits for something else."""
        return 0.0 < self.busy.read(now) < self.IDLE

    def slowness(self, backend: Backend, cost: float, now: float) -> float:
        """How many times longer than expected its answers have lately taken; its zone's, where few came."""
        if (now, cost) != self.priors_of:
            self.priors_of = now, cost
            self.priors.clear()
        if (prior := self.priors.get(backend.zone)) is None:
            prior = max(self.zones[backend.zone].slowness(self.PRIOR * cost, 1.0, now), 1.0)
            self.priors[backend.zone] = prior  # one look a zone for all seats of a pick
        return self.stats[backend.id].pace.slowness(self.PRIOR * cost, prior, now)

    def wait(self, backend: Backend, cost: float, now: float) -> float:
        """Seconds until this backend would answer a push of this cost, as far as this node can tell."""
        view = self.stats[backend.id]
        wait = self.slowness(backend, cost, now) * self.load(view, cost, now)
        if now - view.busy_at < self.TOLD:
            wait *= 1.0 + max(view.busy - self.FULL, 0.0) / (1.0 - self.FULL)
        if view.in_flight:
            wait = max(wait, view.silent(now))
        if view.erred.sum > 0.01 or view.broke.sum > 0.01:
            # An erring backend answers fast and would draw the traffic. A few that all make alike are none.
            erred, broke = self._shares(view, now)
            wait += 0.5 * (max(erred - min(self._shares(self, now)[0], self.FEW_ERRORS), 0.0) + broke)
        return wait

    def load(self, view: BackendStats, cost: float, now: float) -> float:
        """Seconds of work that a push meets with itself, for what is usual; reports fade towards the mean."""
        if not self.usual.count.sum:
            return view.work + cost
        usual, others = self.usual.read(now), self.held.read(now)
        others += (view.others - others) * exp((view.told - now) / self.TRUST)
        return (view.work + (others + 1.0) * cost) / (usual + 1.0)

    def reported(self, backend: Backend, report: api.LoadReport, now: float) -> None:
        """Take in a load report. Guards against pushes that it takes to find out what a report tells."""
        view, held, rate = self.view(backend), report.in_flight, report.completion_rate
        if held is None:
            return
        view.others, view.told = max(held - len(view.in_flight), 0.0), now
        errors = report.error_rate or 0.0
        ends = errors + ((held + 1.0) / self.SILENCE if rate is None else rate)
        erring = errors > 1.0 and errors > self.TOO_MANY_ERRORS * ends
        stuck = held >= 4.0 and rate is not None and held > self.STUCK * rate  # by Little's law
        view.failing = "erring" if erring else "hung" if stuck else ""
        if view.failing:
            self._eject(backend, view, view.failing, now)
        if not view.cause:
            self.held.add(held, now)
            self.usual.add(held, now)

    def _shares(self, of: BackendStats | Health, now: float) -> tuple[float, float]:
        """Of the ends lately, how many were errors, and how many more broke off than do alike everywhere."""
        ends = of.fine.read(now) + of.erred.read(now) + of.broke.read(now) + 1.0
        alike = self.broke.read(now) / (self.fine.read(now) + self.erred.read(now) + self.broke.sum + 1.0)
        return of.erred.sum / ends, max(of.broke.sum / ends - alike, 0.0)

    def _signs_needed(self, view: BackendStats, now: float) -> int:
        """How many signs of a dead process in a row are no chance, as pushes lately break elsewhere."""
        broke = self.broke.read(now) - view.broke.read(now)
        ends = broke + self.fine.read(now) - view.fine.read(now) + 1.0
        usual = min(max(broke / ends, 1e-9), 0.9)
        return min(max(ceil(log(self.CHANCE) / log(usual)), 2), self.MOST_SIGNS)

    def longest(self, now: float) -> float:
        """The longest that any answer took lately: one heavy invocation keeps a backend silent that long."""
        return self.slowest * exp((self.slowest_at - now) / 10.0)

    def pickable(self, backend: Backend, now: float, crowded: bool = False) -> bool:
        view = self.stats[backend.id]
        return not view.cause and now >= view.full_until or crowded and view.cause not in ("", "dead")

    def ended(self, key: tuple[str, int], push: Push, offering: Offering, now: float) -> str:
        """Take in an outcome; returns the cause that the backend was out for if this brings it back."""
        view = self.view(push.backend)
        under_way = view.in_flight.pop(key, None) is not None
        view.work = view.work - push.cost * under_way if view.in_flight else 0.0
        took, outcome = now - push.sent, push.outcome
        trial = view.cause != "" and push.sent >= view.until
        if trial:
            view.trial = False
            if outcome not in (Outcome.COMPLETED, Outcome.NOT_SENT):
                # Guards against one trial after the other: whatever went wrong, the sentence starts anew.
                self._eject(push.backend, view, view.cause, now)
        if not under_way:
            return ""  # it ended while its body was on its way: what that took is its client's doing
        # Guards against backends that answer, and are short of connections, taken for dead.
        short = outcome is Outcome.UNREACHABLE and not view.signs and now - view.answered < self.LIVELY
        if outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.REJECTED):
            view.answered = now
        if outcome is Outcome.COMPLETED:
            self.took.add(took, now)
            view.signs = view.fulls = 0
            view.refused = view.refused and view.cause != ""
            view.fine.add(1.0, now)
            self.fine.add(1.0, now)
            if took > self.longest(now):
                self.slowest, self.slowest_at = took, now
            for other in view.in_flight.values():
                other.overtaken += other.sent < push.sent
            slowness = max(1.0, self.slowness(push.backend, push.cost, now)) if push.idle else 1.0
            self._learn(push, took, push.ahead + push.cost, now)
            if push.idle and not push.drag:
                # Guards against a crowd passing for costly work: other nodes' pushes wait there unseen.
                self.units[offering.name].add(took / slowness, now)
            if view.cause == "hung" or trial:
                return self._readmit(push.backend, view)
        elif outcome is Outcome.REJECTED or short:
            view.fulls += 1 if outcome is Outcome.REJECTED else self.ROW
            view.pace.took.add(took, now)
            # Guards against half a fleet held back because each turns some away at random: only a row counts.
            held = 0.05 * (2.0 ** min(max(view.fulls - self.ROW, 0), 4) - 1.0)
            view.full_until = now + held * (0.5 + self.chance.random())
        elif outcome in (Outcome.CONNECTION_LOST, Outcome.UNREACHABLE):
            # Guards against sound ones kept out for single breaks: what broke together speaks of the process.
            together = outcome is Outcome.UNREACHABLE or push.sent <= view.sign_at
            view.refused |= outcome is Outcome.UNREACHABLE
            view.signs, view.sign_at = view.signs + 1 if together else 1, now
            if view.signs >= self._signs_needed(view, now):
                self._eject(push.backend, view, "dead", now)
        elif outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED) and push.overtaken < self.LOST:
            # What was given up on says at least this much about how long the backend takes.
            self._learn(push, took, min(push.ahead + push.cost, took), now)
        if outcome in (Outcome.ERROR, Outcome.CONNECTION_LOST):
            for of in (view, self):
                (of.erred if outcome is Outcome.ERROR else of.broke).add(1.0, now)
            many = sum(self._shares(view, now)) > self.TOO_MANY_ERRORS
            if many and view.erred.sum + view.broke.sum >= 2.5:
                self._eject(push.backend, view, "erring", now)
        return ""

    def look(self, backends: list[Backend], now: float) -> None:
        """Eject what has gone silent with several pushes, or one very old one, unanswered."""
        longest = max(self.longest(now), self.first[0] * exp((self.first[1] - now) / 10.0))
        usual = max(self.SILENCE, min(1.5 * longest, 3.0 * self.SILENCE))
        for backend in backends:
            view = self.stats[backend.id]
            limit = usual if len(view.in_flight) > 1 else 2.0 * usual
            if view.in_flight and not view.cause and view.silent(now) > limit:
                self._eject(backend, view, "hung", now)

    def probed(self, backend: Backend, outcome: Outcome, now: float) -> str:
        view = self.view(backend)
        asked, view.trial, view.asked = view.asked, False, None
        view.refused |= outcome is Outcome.UNREACHABLE
        if view.cause and (outcome is not Outcome.COMPLETED or view.failing):
            self._eject(backend, view, view.cause, now)
        elif view.cause:
            return self._readmit(backend, view)
        elif outcome is Outcome.TIMED_OUT and asked is not None and asked > view.answered:
            self._eject(backend, view, "hung", now)
        return ""

    def trial_due(self, backend: Backend, now: float) -> bool:
        view = self.view(backend)
        return view.cause != "" and now >= view.until and not view.trial

    def crowded_out(self, seats: list[Seat]) -> bool:
        """Whether so many are ejected that there must be another reason; then all but the dead are used."""
        return self.ejected > 0 and 2 * sum(self.view(s.backend).cause != "" for s in seats) > len(seats)

    def _eject(self, backend: Backend, view: BackendStats, cause: str, now: float) -> None:
        if not view.cause:
            view.since, view.strikes, self.ejected = now, 0, self.ejected + 1
            self.log(f"ejected {backend.id}: {cause}")
        elif now < view.until:
            return
        # A process that broke its connections has restarted, whatever else it is out for.
        view.cause = "dead" if "dead" in (cause, view.cause) else cause
        # A sentence that starts while a trial is out makes that trial void: else no other would follow.
        sentence = min(self.FIRST_SENTENCE * 2.0**view.strikes, self.LAST_SENTENCE)
        view.trial, view.strikes = False, view.strikes + 1
        view.until = now + sentence * (0.75 + 0.5 * self.chance.random())

    def _readmit(self, backend: Backend, view: BackendStats) -> str:
        cause, view.cause, view.signs = view.cause, "", 0
        self.ejected -= 1
        view.pace.took.sum = view.pace.expected.sum = view.erred.sum = view.broke.sum = 0.0
        self.log(f"readmitted {backend.id}: was {cause}")
        return cause


class AdmissionControl:
    """Which invocations to turn away when answers would come too late, the least utility first."""

    LOW, HIGH = 0.25, 0.6  # of the target time: what is expected later is refused to the least, to the most
    OPEN = 0.3  # of the room, to any utility: a flood worth next to nothing leaves room for the least worth
    LATE, SOON = 0.3, 0.2  # of the target time: queues slow backends by then (if777b3); reports even them out
    MANY_LATE, CROWDED = 0.3, 0.15  # more than a fifth of the fleet makes; half, from which copies do harm
    PAUSE = 0.2  # of the span looked back on, between two cuts, so that each cut is seen before the next
    LEAST_ROOM = 1.0  # pushes for each backend: with fewer nothing waits, and what is late is not so by room
    FEW = 16.0  # invocations: a span that sees fewer says nothing of how many pushes are out or late
    GROWTH, SWIFT = 1.0, 0.25  # pushes a backend and second, or that part of the room: within a surge
    MOST_ROOM, MORE = 6.0, 2.0  # pushes a backend, or so many times what it bears: a surge, and no queue
    INITIAL_LIMIT_PER_BACKEND = (
        2.0  # pushes for each backend, one in work and one that waits: more would queue for long
    )
    SAVED, LONGEST = 5.0, 5.0  # invocations saved up, as chance in a trickle; seconds, well under a surge

    def __init__(self) -> None:
        self.came_of: defaultdict[str, float] = defaultdict(float)  # invocations, to each offering
        self.shares: dict[str, tuple[float, float]] = {}  # what each tenant has left, and as of when
        self.best, self.backend_share = (
            0.0,
            0.0,
        )  # the most utility for a second of work lately; this node's backends
        self.concurrency_limit = inf  # how many pushes this node may have out; may be under one
        self.arrivals, self.span = Fading(self.LONGEST), self.LONGEST
        self.ends, self.lates = Fading(self.span), Fading(self.span)
        self.borne = Mean(30.0)  # pushes out for each backend while few are late
        self.mean_out = self.out_at = self.cut_at = self.ended_at = 0.0

    def settle(self, given: api.DecisionSettings) -> None:
        self.rates = {tenant.name: tenant.allowance / given.nodes for tenant in given.tenants}
        self.over_share, self.by_work = given.over_share_worth, given.utility_by_work
        self.uneven, self.first = given.limits.probes_per_invocation > 0.0, self.INITIAL_LIMIT_PER_BACKEND
        self.late = self.SOON if self.uneven else self.LATE
        self.worst_offering = given.worst_offering if self.uneven else 0.0
        self.utilities = {offering.name: offering.utility for offering in given.offerings}
        self.top, self.least = max(self.utilities.values()) or 1.0, min(self.utilities.values())

    def sized(self, fair: float, now: float) -> None:
        """This node's part of the backends, its room with it; a trickle makes it look back further."""
        if self.uneven or self.concurrency_limit == inf:
            self.concurrency_limit = (
                self.concurrency_limit * fair / self.backend_share
                if self.backend_share
                else self.first * fair or inf
            )
        self.backend_share = fair
        self.span = min(self.FEW / max(self.rate(now), 1e-6), self.LONGEST)
        self.ends.span = self.lates.span = max(self.span, 0.5)

    def rate(self, now: float) -> float:
        """Invocations a second at this node; too few until it has run for some seconds."""
        return self.arrivals.read(now) / self.LONGEST

    def level(self, out: int, now: float) -> float:
        """Pushes out on the mean of the span: `out` alone would nack where a node's part is under one."""
        self.mean_out += (out - self.mean_out) * (1.0 - exp((self.out_at - now) / self.span))
        self.out_at = now
        return self.mean_out

    def rank(self, live: Live) -> float:
        """How much an invocation is worth for the work it makes, as a share of the most there is."""
        part = self.over_share if live.over_share else 1.0
        if live.inv.is_retry:
            part *= live.offering.late_utility_share  # the first try's target time has most likely passed
        return self.standing(live.offering, live.cost, part)

    def standing(self, offering: Offering, cost: float, part: float = 1.0) -> float:
        """The same for any invocation of an offering that earns `part` of its utility."""
        worth = self.earns(offering) * part
        if self.by_work:
            return worth / self.top
        worth /= max(cost, 1e-6)
        self.best = max(self.best * 0.999, worth)
        return worth / self.best if self.best else 0.0

    def earns(self, offering: Offering) -> float:
        """Its utility; for the least also what the worst-served offering counts for by itself."""
        if not (self.worst_offering and self.came_of) or offering.utility > self.least:
            return offering.utility
        whole = sum(came * self.utilities.get(name, 0.0) for name, came in self.came_of.items())
        alone = whole / max(self.came_of[offering.name], 1.0)
        return min(offering.utility + self.worst_offering * (alone - offering.utility), self.top)

    def came(self, live: Live, now: float) -> None:
        """Count an invocation against its tenant's share: this node's part, a second of it saved up."""
        self.arrivals.add(1.0, now)
        self.came_of[live.offering.name] += 1.0
        rate = self.rates.get(live.inv.tenant)
        # Guards against memory that grows with what clients call themselves: only known ones are kept.
        live.kind = live.offering.name, "" if rate is None else live.inv.tenant
        if rate is None or live.inv.is_retry:
            return
        # Guards against a trickle whose every invocation counts as over share: a second of it is under one.
        most = max(rate, self.SAVED)
        left, at = self.shares.get(live.inv.tenant, (most, now))
        left = min(left + rate * (now - at), most)
        live.over_share = left < 1.0
        self.shares[live.inv.tenant] = (left if live.over_share else left - 1.0, now)

    def refuses(self, live: Live, wait: float, out: int, now: float, idle: bool) -> bool:
        rank = self.rank(live)
        room = self.concurrency_limit * (self.OPEN + (1.0 - self.OPEN) * rank**0.5)
        if room < out + 1.0 and self.level(out, now) >= room and not idle:
            return True
        limit = self.LOW + (self.HIGH - self.LOW) * rank
        # Its own cost is no sign of crowding: a heavy invocation is not to be turned away for being heavy.
        return wait - live.cost > limit * live.offering.target_time

    def crowded(self, now: float) -> bool:
        """Guards against copies that make a crowd worse: what is late everywhere is no quicker elsewhere."""
        return self.lates.read(now) > self.CROWDED * (self.ends.read(now) + 1.0)

    def ended(self, late: bool, out: int, now: float) -> None:
        """Learn from a push's end, still in `out`, how many may be out. Guards against all nodes' jam."""
        self.ends.add(1.0, now)
        self.lates.add(1.0 if late else 0.0, now)
        share = self.lates.read(now) / (self.ends.read(now) + 1.0)
        since, self.ended_at = min(now - self.ended_at, 1.0), now
        if share > self.MANY_LATE:
            if now - self.cut_at > self.PAUSE * self.ends.span:
                # From what is out: a room that nothing filled says nothing of what backends bear.
                room = 0.85 * min(self.concurrency_limit, max(out, self.level(out, now)))
                self.concurrency_limit, self.cut_at = max(room, self.LEAST_ROOM * self.backend_share), now
        elif not late and max(out, self.level(out, now)) >= self.OPEN * self.concurrency_limit:
            if share < self.CROWDED and self.backend_share:
                self.borne.add(self.level(out, now) / self.backend_share, now)
            most = max(self.MORE * self.borne.read(now), self.MOST_ROOM) * self.backend_share
            self.concurrency_limit = min(
                self.concurrency_limit
                + max(self.GROWTH * self.backend_share, self.SWIFT * self.concurrency_limit) * since,
                most,
            )


class OverloadController:
    """What to turn away unread: an integral control against a node short of its core, reading all late."""

    AIM = 0.25  # of the shortest target time may pass before what came is read: enough to see, little to lose
    RISE, FALL = 2.0, 1.0  # a second, at twice the aim and with nothing late: both within some tenths of one
    SPAN = 0.03  # seconds at most that one sight counts for, as between two timers: a stall is no load

    def __init__(self, aim: float = 1.0) -> None:
        self.aim, self.pressure, self.at = self.AIM * aim, 0.0, 0.0

    def observe(self, late: float, now: float) -> None:
        span, self.at = min(now - self.at, self.SPAN), max(now, self.at)
        error = min(late / self.aim - 1.0, 1.0)
        step = span * error * (self.RISE if error > 0.0 else self.FALL)
        self.pressure = min(max(self.pressure + step, 0.0), 1.0)

    def should_shed(self, rank: float, chance: Random) -> bool:
        """The least utility first: at a half of the pressure all of it, at the whole all there is."""
        return self.pressure > 0.0 and chance.random() < 2.0 * self.pressure - rank


class Retries:
    """How often an invocation may be pushed again."""

    # Where none is stated: a dead backend's share of a second or so, and the field's usual share.
    BUDGET = api.RetryBudgetRule(floor=10.0, ratio=0.2, window=10.0)

    max_pushes, top = 1, 1.0

    def allows(self, live: Live) -> bool:
        """The least utility gets one further push, the most all that is permitted, one that flows none."""
        most = 2 + round((self.max_pushes - 2) * min(live.offering.utility / self.top, 1.0))
        return not live.inv.streaming and len(live.pushes) < most


class Live:
    """An invocation in this node's hands."""

    def __init__(self, inv: Invocation, offering: Offering, cost: float, now: float) -> None:
        self.inv, self.offering, self.cost, self.kind = inv, offering, cost, (offering.name, "")
        self.cut_off = now + inv.time_left
        self.pushes: list[Push] = []
        # What a tagged one's group and window count from, though it may never have run (incident i8af787).
        self.first: Push | None = None
        self.open, self.look_at = 0, now
        self.answered = self.over_share = self.moving = False  # moving: cancelled to be pushed elsewhere

    @property
    def may_have_run(self) -> bool:
        return any(push.outcome is None or not push.outcome.never_ran for push in self.pushes)

    @property
    def until(self) -> float:
        """When a further attempt has to have begun: a keyed one within the window, once it may have run."""
        if self.offering.idempotency is Idempotency.REPEATABLE or not self.may_have_run:
            return inf
        return (
            -inf
            if self.offering.idempotency is Idempotency.ONCE_ONLY
            else self.first.sent + self.offering.dedup_window
        )


class Node:
    """One balancer node: a method for each thing that can happen."""

    INTERVAL = 1.0  # seconds between rebuilds of the rotation, as in the design's source
    SWEEP = 0.025  # seconds between looks at what is unanswered: a tenth of the shortest usual target time
    AFAR = 0.3  # of the target time: what another zone must be quicker by, for a crossing has its price
    LAST_MOMENT, FRESH = 0.005, 0.05  # seconds: no answer takes less; no new report is worth its price before
    WATCH_AGAIN = 0.25  # seconds on the mean until a watch that failed is begun anew

    def __init__(
        self, host: Host, *, seed: int, now: float, limit_per_backend: float = 0.0, **settings: object
    ) -> None:
        self.host, self.chance = host, Random(seed)
        self.registry, self.part, self.rotation = BackendRegistry(now), Part(), Rotation(self.chance)
        self.health, self.admission = Health(self.chance, host.log), AdmissionControl()
        self.retries, self.core, self.active = Retries(), OverloadController(), {}
        self.budget = Budget(Retries.BUDGET)
        self.on_settings(now, **settings)  # room: for each backend, where another process has learned it
        self.admission.first = min(limit_per_backend, AdmissionControl.MOST_ROOM) or self.admission.first
        self.asks, self.in_flight, self.began = (
            0.0,
            0,
            now,
        )  # probes that may be sent; pushes out and not overdue
        host.set_timer(self.INTERVAL * self.chance.random(), "interval")
        self.sweeping = False
        self.list_stale_at = self.deaf_at = inf  # then: deemed told; deaf: by a silence, as its host reckons
        if self.must_ask_in < inf:
            self._watch(now)

    def on_settings(self, now: float, **settings: object) -> None:
        """From now on these hold. What was learned stays; what is in hand keeps the offering it came with."""
        given = api.DecisionSettings(**settings)
        self.zone, self.part.rank, self.nodes = given.zone, given.rank, given.nodes
        self.limits, self.cold, self.must_ask_in = given.limits, given.cold, given.must_ask_in or inf
        self.offerings = {offering.name: offering for offering in given.offerings}
        self.ramp = self.registry.ramp = Ramp(self.cold.warm_up, self.cold.initial_capacity)
        self.budget = self.budget.under(self.limits.retry_budget or Retries.BUDGET, now)
        self.registry.soft = self.limits.soft_removal
        self.admission.settle(given)
        self.retries.max_pushes, self.retries.top = self.limits.max_pushes, self.admission.top
        self.core.aim = OverloadController.AIM * min(offering.target_time for offering in given.offerings)
        self.health.first = (
            self.health.first if self.health.first[0] else (self.core.aim / OverloadController.AIM, now)
        )

    def on_list(self, now: float, kind: ListKind, entries: list[Entry], deaf_at: float = inf) -> None:
        if kind is ListKind.UNAVAILABLE:
            # Spread out, or all nodes call a struggling list service in step; soon, since what is new binds.
            self.deaf_at = deaf_at
            wait = min(self.WATCH_AGAIN, 0.25 * self.must_ask_in)
            self.host.set_timer(wait * (0.5 + self.chance.random()), "watch")
            # A watch that breaks off leaves MustAskIn; a failed call four times that from when it was made.
            self.list_stale_at = min(
                now + self.must_ask_in * (1.0 if self.list_stale_at == inf else 3.0), deaf_at
            )
            return
        if kind is not ListKind.RESTORED:
            self.list_stale_at = self.deaf_at = inf
        self.registry.on_list(kind, entries, now)
        self._rebuild(now)

    def on_invocation(self, now: float, inv: Invocation) -> None:
        offering = self.offerings[inv.offering]
        self.budget.taken.add(1, now, now)
        if inv.time_left <= self.LAST_MOMENT:
            # Guards against a node short of its core that spends it on what can no longer be answered.
            self._give_up(Live(inv, offering, 0.0, now), now)
            return
        live = Live(inv, offering, self.health.cost(offering, now), now)
        self.active[inv.id] = live
        self.admission.came(live, now)
        backend = self._pick(live, now)
        if backend is not None:
            wait = self.health.wait(backend, live.cost, now)
            if self.admission.refuses(live, wait, self.in_flight, now, self.health.idle(now)):
                self._give_up(live, now)
                return
        # After admission: an ejected backend's own long wait is no reason to turn an invocation away.
        self._push(live, self._trial(live, now) or backend, now)
        self._ask_ahead(now)

    def on_whole(self, now: float, id: str, time_left: float) -> None:
        """The last byte of one that flows has come: its time begins, and its push is under way."""
        if (live := self.active.get(id)) is not None and live.open:
            live.cut_off, push = now + time_left, live.pushes[-1]
            push.sent = now
            self.health.view(push.backend).put(live, push)

    def on_late(self, now: float, late: float) -> None:
        """The host came to something so many seconds too late."""
        self.core.observe(late, now)

    def shed_unread(self, now: float, offering: str, time_left: float, waited: float) -> float | None:
        """When to come back, for what lay unread, never pushed, and is not to be read; None: it is taken."""
        self.core.observe(waited, now)
        offering = self.offerings[offering]
        rank = self.admission.standing(offering, self.health.cost(offering, now))
        taken = time_left > self.LAST_MOMENT and not self.core.should_shed(rank, self.chance)
        return None if taken else self._come_back(offering)

    def on_push_ended(
        self, now: float, id: str, number: int, outcome: Outcome, took: float, last: bool,
        report: api.LoadReport = api.NO_REPORT,
    ) -> None:  # fmt: skip
        live = self.active.get(id)
        if live is None or number >= len(live.pushes) or live.pushes[number].outcome is not None:
            return
        push, view = live.pushes[number], self.health.view(live.pushes[number].backend)
        push.outcome = outcome
        if report.cpu_utilization is not None:
            self.health.busy.add(report.cpu_utilization, now)
            view.busy, view.busy_at = report.cpu_utilization, now
        live.open -= 1
        if outcome is Outcome.NOT_SENT and number:
            self.budget.further.add(-1, push.sent, now)
        timed_out = outcome is Outcome.TIMED_OUT
        tells_not = (
            self.limits.probes_per_invocation and view.cause or timed_out and push.overtaken >= Health.LOST
        )
        if (outcome is Outcome.COMPLETED or timed_out) and not (tells_not or self.health.drag(live, now)):
            in_time = push.cost + self.admission.late * live.offering.target_time
            late = (timed_out or took > in_time) and not self.health.idle(now)
            self.admission.ended(late, self.in_flight, now)
        self._count_off(push, now)
        cause = self.health.ended((id, number), push, live.offering, now)
        self._readmitted(push.backend, cause, now)
        if last and not live.answered:
            live.answered = True
            self._cancel_rest(live)
        if not live.answered and not live.open:
            self._push_again(live, now)
        self._forget(live)

    def on_answer_started(self, now: float, id: str, number: int) -> None:
        """From here on the push is the client's: it is neither looked at nor moved."""
        if id in self.active:
            self.active[id].look_at = inf

    def on_client_gone(self, now: float, id: str) -> None:
        if (live := self.active.get(id)) is not None:
            live.answered = True
            self._cancel_rest(live)
            self._forget(live)

    def on_lost(self, now: float, id: str) -> None:
        """Strike off what its host has ended. Guards against pushes out for ever that look like a hang."""
        live = self.active.pop(id, None)
        for number, push in enumerate(live.pushes if live else ()):
            view = self.health.view(push.backend)
            if view.in_flight.pop((id, number), None):
                view.work = view.work - push.cost if view.in_flight else 0.0
            self._count_off(push, now)

    def on_probe_ended(self, now: float, id: str, outcome: Outcome, report: api.LoadReport) -> None:
        backend = self.registry.backends.get(id)
        if backend is not None:
            self.health.reported(backend, report, now)
            self._readmitted(backend, self.health.probed(backend, outcome, now), now)

    def on_timer(self, now: float, name: str) -> None:
        if name == "sweep":
            self.sweeping = False
            self._sweep(now)
            self._sweep_soon()
        elif name == "interval":
            self.host.set_timer(self.INTERVAL, "interval")
            self._rebuild(now)
            self._probe(now)
        elif name == "watch":
            self._watch(now)

    def may_push(self, live: Live, backend: Backend, now: float) -> bool:
        """Whether the rules let this invocation go to this backend now."""
        # What has drained since a node went blind is not known to it, and deemed told.
        if (
            live.answered
            or not backend.usable
            or now >= min(live.cut_off - self.LAST_MOMENT, self.list_stale_at)
        ):
            return False
        most = 1 if live.inv.streaming else self.limits.max_pushes  # what was let go is not there any more
        twice = live.open and not self.limits.hedging
        if live.pushes and (twice or len(live.pushes) >= most or not self.budget.allows(now)):
            return False
        group, until = live.offering.dedup_scope, live.until
        elsewhere = until < inf and backend.group(group) != live.first.backend.group(group)
        if now >= until - self.LAST_MOMENT or elsewhere:
            return False
        return backend.ramp_start is None or self._cold_budget_left(backend, live.cost, now)

    def may_nack(self, live: Live) -> bool:
        """Whether a nack, which tells the client that a repeat is harmless, would be true."""
        anywhere = live.offering.idempotency is Idempotency.TAGGED and live.offering.dedup_scope == "all"
        return not live.answered and (anywhere or live.until == inf)

    def _cold_rate(self, backend: Backend, now: float) -> float:
        """This node's part of the work a second that a cold backend bears."""
        largest = max((seat.backend.weight or 1.0 for seat in self.rotation.seats), default=1.0) or 1.0
        size = 1.0 if backend.weight is None else min(1.0, (backend.weight or largest) / largest)
        # Half, since costs scatter and the ramp may run at up to twice the surest capacity; of that, N, three
        # quarters at most: many nodes' chances, of mean M, spread by root of M, and from 0.75 N it is four of
        # these or more, whatever N is, to N + 2 root of N + 2, which is borne.
        half = 0.5 * self.ramp.ratio(backend, now)
        return min(half, 0.75 * max(half, self.ramp.floor)) * self.cold.overload_multiple * size / self.nodes

    def _cold_budget_left(self, backend: Backend, cost: float, now: float) -> bool:
        """Whether that part, over any window of the rule's length, has room for this or is yet unused."""
        sent = self.health.view(backend).cold
        while sent and sent[0][0] <= now - self.cold.overload_window:
            sent.popleft()
        spent = sum(spent for _, spent in sent) + cost
        return not sent or spent <= self._cold_rate(backend, now) * self.cold.overload_window

    def _lets(self, backend: Backend, share: float, cost: float, now: float) -> bool:
        """Guards against hundreds of first attempts to a cold backend, which this share of all that comes
        would reach otherwise: a part too small for one goes by chance."""
        part, often = (
            self._cold_rate(backend, now),
            max(self._rate(now), share / self.cold.overload_window) * share,
        )
        return part * self.cold.overload_window >= cost or self.chance.random() * cost * often < part

    def _rate(self, now: float) -> float:
        """Invocations a second, also of a node that has only begun to count them."""
        return self.admission.rate(now) / (1.0 - exp(min(self.began - now, -0.05) / AdmissionControl.LONGEST))

    def _watch(self, now: float) -> None:
        self.list_stale_at = min(now + self.must_ask_in, self.deaf_at)
        self.host.watch_list()

    def _push(self, live: Live, backend: Backend | None, now: float) -> None:
        if backend is None or not self.may_push(live, backend, now):
            self._give_up(live, now)
            return
        view, until = self.health.view(backend), live.until - self.LAST_MOMENT
        ahead = self.health.load(view, live.cost, now) - live.cost
        idle = view.work < 0.1 * live.cost and view.others < 1.0
        push = Push(backend, now, live.cost, ahead, idle)
        push.kind, push.drag = live.kind, self.health.drag(live, now)
        live.first = push if until == inf else live.first
        self.budget.further.add(1 if live.pushes else 0, now, now)
        live.pushes.append(push)
        live.open += 1
        self.admission.level(self.in_flight, now)
        self.in_flight += 1
        live.moving = False
        # Twice what it should take and a tenth of a second: by then most answers are in.
        live.look_at = now + 2.0 * (self.health.wait(backend, live.cost, now) + push.drag) + 0.1
        if not live.inv.streaming:
            view.put(live, push)
        if backend.ramp_start is not None:
            view.cold.append((now, live.cost))
        if view.cause:
            view.trial = True
        self.host.push(live.inv.id, backend.id, live.cut_off - now, until - now)
        self._sweep_soon()

    def _pick(self, live: Live, now: float) -> Backend | None:
        tried = {push.backend.id for push in live.pushes}
        crowded = self.health.crowded_out(self.rotation.seats)

        def allowed(backend: Backend) -> bool:
            if backend.id in tried or not self.health.pickable(backend, now, crowded):
                return False
            return self.may_push(live, backend, now)

        # The price of a crossing is no reason to nack, or to be late, beside a zone with room to spare.
        afar = 0.0 if self.admission.crowded(now) else self.AFAR * live.offering.target_time

        def wait(backend: Backend) -> float:
            return self.health.wait(backend, live.cost, now) + (afar if backend.zone != self.zone else 0.0)

        return self.rotation.pick(allowed, wait, lambda one, share: self._lets(one, share, live.cost, now))

    def _trial(self, live: Live, now: float) -> Backend | None:
        """An ejected backend whose time is up gets one repeatable invocation, or first a probe."""
        if (
            not self.health.ejected
            or live.offering.idempotency is not Idempotency.REPEATABLE
            or self.limits.probes_per_invocation
        ):
            return None
        due = (seat.backend for seat in self.rotation.seats if self.health.trial_due(seat.backend, now))
        return next((backend for backend in due if self.may_push(live, backend, now)), None)

    def _push_again(self, live: Live, now: float) -> None:
        """Nothing is out any more and there is no answer: push on if that is allowed, or give up at once."""
        self._push(live, self._pick(live, now) if self.retries.allows(live) else None, now)

    def _give_up(self, live: Live, now: float) -> None:
        if live.open or live.answered:
            return
        if self.may_nack(live):
            self.host.nack(live.inv.id, self._come_back(live.offering))
        else:
            self.host.terminate(live.inv.id)
        live.answered = True
        self._forget(live)

    def _come_back(self, offering: Offering) -> float:
        """Long enough for a queue to move on, short enough for a late answer; spread over the clients."""
        return min(offering.target_time * (0.25 + 0.5 * self.chance.random()), self.limits.max_retry_after)

    def _cancel_rest(self, live: Live) -> None:
        if live.open and self.limits.cancellation:
            for number, push in enumerate(live.pushes):
                if push.outcome is None:
                    self.host.cancel(live.inv.id, number)

    def _forget(self, live: Live) -> None:
        if live.answered and not live.open:
            self.active.pop(live.inv.id, None)

    def _count_off(self, push: Push, now: float) -> None:
        if push.counted:
            self.admission.level(self.in_flight, now)
            self.in_flight -= 1
            push.counted = False

    def _sweep_soon(self) -> None:
        """Idle nodes sleep: with hundreds of them the looks at nothing would cost more than the decisions."""
        if self.active and not self.sweeping:
            self.sweeping = True
            self.host.set_timer(self.SWEEP, "sweep")

    def _sweep(self, now: float) -> None:
        self.health.look([seat.backend for seat in self.rotation.seats], now)
        for live in list(self.active.values()):
            for push in live.pushes:
                # Guards against a few backends that keep what they get and so fill the room for all others.
                gone = self.limits.probes_per_invocation and self.health.view(push.backend).cause == "hung"
                # What waits on others holds no core: its room is free once it would else have been answered.
                most = push.ahead + push.cost if push.drag else live.offering.target_time
                if push.counted and (gone or now - push.sent > most):
                    self._count_off(push, now)
            if now >= live.look_at and live.open == 1 and not live.answered and not live.moving:
                self._look_again(live, now)
        self._probe(now)

    def _probe(self, now: float) -> None:
        for seat in self.rotation.seats if self.limits.probes and self.health.ejected else ():
            view = self.health.view(seat.backend)
            probed = view.cause in ("dead", "hung") or self.limits.probes_per_invocation
            if probed and self.health.trial_due(seat.backend, now):
                view.trial = True
                self.host.probe(seat.backend.id)

    def _ask_ahead(self, now: float) -> None:
        """Probe those whose turns come next and of which nothing fresh is known, as the price allows."""
        self.asks = min(
            self.asks + self.limits.probes_per_invocation, max(2.0 * self.limits.probes_per_invocation, 1.0)
        )
        for seat in self.rotation.seats if self.asks >= 1.0 else ():
            view = self.health.view(seat.backend)
            if view.asked is None and not view.cause and now - view.told > self.FRESH and self.asks >= 1.0:
                self.asks, view.asked = self.asks - 1.0, now
                self.host.probe(seat.backend.id)

    def _look_again(self, live: Live, now: float) -> None:
        """A push that takes long on a backend gone silent: a second copy, or the same push elsewhere."""
        number, push = next((n, push) for n, push in enumerate(live.pushes) if push.outcome is None)
        view, offering = self.health.view(push.backend), live.offering
        may = self.retries.allows(live) and self.budget.allows(now)
        if view.answered > push.sent and not view.cause or not may:
            return
        if self.limits.hedging and offering.idempotency is not Idempotency.ONCE_ONLY:
            backend = None if self.admission.crowded(now) else self._pick(live, now)
            if backend is not None:
                self._push(live, backend, now)
            return
        if self.limits.probes_per_invocation and not view.cause:
            # Guards against moves off sound backends, whose work goes on: a probe that stays out tells.
            if view.asked is None:
                view.asked = now
                self.host.probe(push.backend.id)
            if now - view.asked < Health.SILENT_PROBE:
                return
        anywhere = offering.idempotency is Idempotency.REPEATABLE or offering.dedup_scope == "all"
        if self.limits.cancellation and anywhere and now < live.until - 4.0 * self.SWEEP:
            live.moving = True
            self.host.cancel(live.inv.id, number)

    def _readmitted(self, backend: Backend, cause: str, now: float) -> None:
        if cause:
            view = self.health.view(backend)
            # Guards against sound backends ramped for broken connections: a new process refused some first.
            self.registry.back(backend, view.since, cause == "dead" and view.refused, now)
            view.refused = False
            self._rebuild(now)

    def _rebuild(self, now: float) -> None:
        everyone, rate = self.registry.usable, self.admission.rate(now)
        backends = self.part.of(everyone, rate, lambda backend: self.health.pickable(backend, now))
        self.health.remember(backends, rate)
        for backend in everyone:
            if backend.lapsed and self.health.view(backend).cause == "dead":
                self.registry.leave(backend, now, dead=True)
            if backend.ramp_start is not None and now - backend.ramp_start >= self.ramp.length:
                backend.ramp_start = None
        self.rotation.rebuild(backends, lambda backend: self.ramp.ratio(backend, now))
        self.admission.sized(self._fair(rate, now), now)

    def _fair(self, rate: float, now: float) -> float:
        """How many backends are this node's: an even part, by its traffic where reports come. 0: unknown."""
        even, usual = len(self.registry.usable) / self.nodes, self.health.usual.read(now)
        if not (self.limits.probes_per_invocation and usual and now > self.began):
            return 0.0 if self.limits.probes_per_invocation else even
        return max(self._rate(now) * self.health.took.read(now) / usual, 0.25 * even)
