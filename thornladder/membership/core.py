"""Who is there, as one member finds out: messages and checks in, messages, checks and verdicts out. No I/O.

A member pings one other each period, its successor on a ring and one of the shuffled rest in turn. What is
not answered is asked for in three ways at once: a bare ping, a connection, and by way of others. Only then
does it say a word (SILENT, REFUSED). A state follows from words of two witnesses: ENDED from two refusals at
once, LOST from silence that lasts. The member itself refutes by a higher round, who hears it vouches for it.

All times within are lived time: it stands still while this process was paused or short of its core, so that
nothing runs out for others meanwhile. docs/membership.md weighs the sources: SWIM, Lifeguard, Rapid.
"""

from __future__ import annotations

import bisect
import heapq
import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from thornladder.membership.wire import MOST_DATAGRAM, VERSION, Item, Kind, Message, State, size

NEVER = -math.inf
WORDS = frozenset({State.SILENT, State.REFUSED, State.VOUCHED})
OUT = frozenset({State.LOST, State.ENDED, State.LEFT})


class Timing(NamedTuple):
    """Seconds. The limits they serve: a killed member known in 2, a silent one in 10, a pause of 5 borne."""

    probe_interval: float = 0.25  # between pings; every member is pinged by its predecessor each second one
    ack_timeout: float = (
        0.2  # for a ping, before other ways are tried: some hundred round trips of one building
    )
    probe_timeout: float = 1.0  # for all ways together, before a word is said
    suspicion_timeout: float = 6.0  # silence after the first word before LOST, with three witnesses
    two_witness_delay: float = 1.0  # more with only two
    pause_threshold: float = (
        0.15  # of a timer: from there on the process itself was paused or short of its core
    )
    max_catch_up: float = 1.0  # at most, after that: no word about others
    isolation_timeout: float = 2.0  # nobody heard for that long: this member is the one that is cut off
    rejoin_interval: float = 1.0  # between tries to reach who is lost, or a seed that is no member
    sync_interval: float = 1.0  # between whole views
    retention: float = 600.0  # an ENDED or LEFT process, so that late words of it raise nobody


FANOUT = 3  # members told at once of what is new; in a large fleet two, the rest rides on pings
LARGE = 32  # members from which on it is two
HELPERS = 3  # asked to ping for us: SWIM's k
WITNESSES = 2
MOST_RIDERS = 24  # items in one message; some 20 fit
MOST_WORDS = 3  # of silence kept for one member; the wait for LOST is the shortest from there on
EPSILON = 1e-6  # seconds
SHOWN = 10.0  # seconds since it was last heard that a member is still shown as one that is
MOST_LOOKS = 16  # under way at once for a verdict: half a fleet of hundreds may stand accused in one second
MOST_SCORE = 4  # of Lifeguard's local health: waits grow to thrice theirs
MOST_PEERS = 20_000  # records held at most, so that a mistaken fleet cannot fill the memory


class Way(Enum):
    """How a member is reached from here, as the last ping of it showed."""

    UNKNOWN = "not tried yet"
    DIRECT = "direct"
    CONNECTION = "by connection alone"
    THROUGH = "through others alone"
    DEAF = "one-sided: I hear it, it does not hear me"
    MUTE = "one-sided: it hears me, I do not hear it"
    NONE = "by no way"


class Send(NamedTuple):
    address: str
    message: Message


class ConnectionProbe(NamedTuple):
    """Connect and ask `message`; `Core.on_checked` is owed what came of it."""

    address: str
    message: Message


class Sync(NamedTuple):
    """Exchange whole views over a connection."""

    address: str


Action = Send | ConnectionProbe | Sync


class ConnectionOutcome(Enum):
    """What a connection showed."""

    REFUSED = "refused"  # by the kernel: no process is there
    NO_ANSWER = "nothing"  # no answer of any kind in time


class Change(NamedTuple):
    """For the log: `view_changed` tells whether the set of members changed."""

    name: str
    state: str
    witnesses: tuple[str, ...]
    view_changed: bool


@dataclass(slots=True)
class Peer:
    """What this member holds of another."""

    item: Item
    since: float
    heard: float = NEVER  # a datagram came straight from it
    evidence: float = NEVER  # that it lives, of any kind
    way: Way = Way.UNKNOWN
    words: dict[str, State] = field(default_factory=dict)  # by witness
    first: float = NEVER  # of those words
    stamps: dict[str, int] = field(default_factory=dict)
    vouched: float = NEVER
    told: float = NEVER  # what stands against it, to itself
    vain: float = NEVER  # a look at it failed on all ways
    lost_by: str = ""  # the witnesses by whom others hold this process to be lost, until seen here

    @property
    def alive(self) -> bool:
        return self.item.state == State.ALIVE


@dataclass(slots=True)
class Probe:
    name: str
    address: str
    process: tuple[int, int]
    began: float
    ends: float
    tries: float  # when other ways are taken; inf once they are
    about: float | None = None  # by way of others: when it last heard us


class Errand(NamedTuple):
    """A ping made for another member."""

    asker: str
    address: str
    number: int
    until: float


@dataclass(slots=True)
class Counters:
    dropped: int = 0  # messages of another fleet or from too many
    accused: int = 0  # words that this member said
    refuted: int = 0
    late: int = 0  # times that it was paused or short of its core
    views: int = 0  # changes of its view


class Outbox:
    """What a core wants done, and what changed for it, until its host takes them."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.changes: list[Change] = []

    def take_actions(self) -> list[Action]:
        acts, self.actions = self.actions, []
        return acts

    def take_changes(self) -> list[Change]:
        changes, self.changes = self.changes, []
        return changes


class Core(Outbox):
    def __init__(
        self, name: str, address: str, fleet: str, seeds: Sequence[str], chance: Random, now: float,
        zone: str = "", timing: Timing | None = None, facts: dict[str, str] | None = None,
    ) -> None:  # fmt: skip
        """`now`: seconds of any steady clock. `address`: where others reach this member."""
        self.name, self.address, self.fleet, self.zone = name, address, fleet, zone
        self.seeds = [seed for seed in seeds if seed != address]
        self.chance, self.timing = chance, timing or Timing()
        self.facts = dict(facts or {})
        self.start, self.birth, self.round = 1, chance.getrandbits(32), 0
        self.offset = 0.0  # by which lived time is behind the clock
        self.now = now
        self.peers: dict[str, Peer] = {}
        self.probes: dict[int, Probe] = {}
        self.errands: dict[int, Errand] = {}
        self.queue: dict[tuple[str, str], list] = {}  # [item, sends left] by member and witness
        self.urgent: list[Item] = []
        super().__init__()
        self.counters = Counters()
        self.number = self.stamp = self.score = 0
        self.next_tick = now + self.timing.probe_interval * chance.random()
        self.next_seek = now
        self.quiet_until = now  # no words of this member before
        self.heard_any = self.last_reply_at = now
        self.back = now  # since when it is not alone
        self.changed = now
        self.synced = NEVER
        self.joined = False  # a whole view of another member was had
        self.left = False
        self.order: list[str] = []  # the shuffled rest, still to be pinged
        self.turn = 0
        self.ring: list[tuple[int, str]] = []
        self.others: list[str] | None = None  # of the view, in the order of the ring; None: to be made anew
        self.accused: set[str] = set()  # alive, with words against them
        self.digest = 0  # of the view: differs where views do
        self._count_in(self.own_item)

    # What it is told.

    @property
    def next_wake_at(self) -> float:
        """When `wake` is owed, on the caller's clock."""
        stages = (min(probe.tries, probe.ends) for probe in self.probes.values())
        return min(self.next_tick, *stages, math.inf) + self.offset

    def wake(self, now: float) -> None:
        self._clock(now)
        self.now += EPSILON  # lived time is a sum: what is due must not seem a hair too early, for ever
        for number, probe in list(self.probes.items()):
            if self.now >= probe.ends:
                del self.probes[number]
                self._failed(probe)
            elif self.now >= probe.tries:
                probe.tries = math.inf
                self._other_ways(number, probe)
        if self.now >= self.next_tick:
            self.next_tick = self.now + self.timing.probe_interval * (0.9 + 0.2 * self.chance.random())
            self._tick()
        self._flush()

    def on_message(self, now: float, source: str, message: Message, by_connection: bool = False) -> None:
        """`source`: where it came from, host:port; an answer goes there."""
        self._clock(now)
        if message.fleet != self.fleet or len(self.peers) >= MOST_PEERS:
            self.counters.dropped += 1
            return
        for item in message.items:
            self._take(item, message.kind == Kind.WORD)
        if message.name != self.name:
            self._heard(message, source, by_connection)
        if message.kind == Kind.PING:
            if not by_connection:
                self._answer(source, message)
        elif message.kind == Kind.ACK:
            self._acked(message, by_connection)
        elif message.kind == Kind.ASK:
            self._asked(message, source)
        elif message.kind == Kind.TOLD:
            self._told(message)
        elif message.kind == Kind.VIEW:
            self.joined, self.synced = True, self.now
        self._flush()

    def on_connection_outcome(self, now: float, number: int, verdict: ConnectionOutcome) -> None:
        """What became of a `Check`, other than the answer."""
        self._clock(now)
        probe = self.probes.get(number)
        if probe is not None and verdict is ConnectionOutcome.REFUSED:
            del self.probes[number]
            self._say(probe, State.REFUSED)
        self._flush()

    def reply_to(self, message: Message) -> Message:
        """To one that came by a connection: the view to a view, else an ack."""
        if message.kind == Kind.VIEW:
            return self.view_message()
        return self._message(Kind.ACK, number=message.number, target=message.name)

    def view_message(self) -> Message:
        return self._message(Kind.VIEW, items=[self.own_item, *(peer.item for peer in self.peers.values())])

    def bootstrap(self, items: Sequence[Item]) -> None:
        """Holds these from the start on, as one that joined long ago."""
        for item in items:
            if item.name != self.name:
                self._record(item)
        self.joined = True
        self.changes.clear()

    def leave(self, now: float) -> None:
        """Says so; the caller sends what stands in `acts` and is done."""
        self._clock(now)
        self.left = True
        gone = self.own_item
        alive = self._alive()
        for name in self.chance.sample(alive, min(len(alive), 2 * FANOUT + 2)):
            self._send(self.peers[name].item.address, Kind.NEWS, items=[gone])

    # What it holds.

    @property
    def own_item(self) -> Item:
        state = State.LEFT if self.left else State.ALIVE
        return Item(self.name, self.start, self.birth, self.round, state, self.address, self.zone,
                    facts=self.facts)  # fmt: skip

    @property
    def members(self) -> list[str]:
        """Of the view, this one among them."""
        return sorted([self.name, *self._alive()])

    @property
    def isolated(self) -> bool:
        """Nobody answers: it may well be this member that is cut off, so it has no word on others."""
        return len(self.ring) > 1 and self.now - self.last_reply_at > self.timing.isolation_timeout

    @property
    def hears_nobody(self) -> bool:
        """Nor is anybody heard."""
        return self.isolated and self.now - self.heard_any > self.timing.isolation_timeout

    def set_facts(self, facts: dict[str, str]) -> None:
        """New facts of this member are told like a refutation: by a higher round."""
        if facts != self.facts:
            self._count_out(self.own_item)
            self.facts = dict(facts)
            self.round += 1
            self._count_in(self.own_item)
            self._announce(self.own_item)

    # Time.

    def _clock(self, now: float) -> None:
        late = now - self.next_wake_at
        if late > self.timing.pause_threshold:
            # Guards against accusing all others after a pause, and against waits that ran out in it.
            self.offset += late
            self.counters.late += 1
            # For as long again: what came meanwhile is read at once. Guards against a fleet on a slow disk,
            # all of it late for a moment each second, that never misses anybody.
            self.quiet_until = now - self.offset + min(2.0 * late, self.timing.max_catch_up)
            self.score = min(self.score + 1, MOST_SCORE)
        self.now = max(self.now, now - self.offset)

    def _tick(self) -> None:
        target = self._next()
        if target is not None:
            self._probe(target)
        if self.now >= self.next_seek:
            self.next_seek = self.now + self.timing.rejoin_interval
            self._seek()
        self._judge()
        for number in [number for number, errand in self.errands.items() if self.now > errand.until]:
            del self.errands[number]
        old = self.now - self.timing.retention
        for name in [name for name, peer in self.peers.items() if peer.since < old and not peer.alive]:
            if self.peers[name].item.state != State.LOST:
                del self.peers[name]

    def _next(self) -> str | None:
        """Whom to ping: the successor on the ring, and the shuffled rest, in turn."""
        self.turn += 1
        if len(self.ring) < 2:
            return None
        if self.turn % 2:
            mine = bisect.bisect_left(self.ring, (zlib.crc32(self.name.encode()), self.name))
            return self.ring[(mine + 1) % len(self.ring)][1]
        while True:
            if not self.order:
                self.order = list(self._alive())
                self.chance.shuffle(self.order)
            name = self.order.pop()
            if name in self.peers and self.peers[name].alive:
                return name

    def _patience(self) -> float:
        return 1.0 + 0.5 * self.score

    def _probe(self, name: str) -> None:
        peer = self.peers[name]
        if any(probe.name == name for probe in self.probes.values()):
            return
        self.number += 1
        patience = self._patience()
        self.probes[self.number] = Probe(
            name, peer.item.address, peer.item.process, self.now,
            self.now + self.timing.probe_timeout * patience, self.now + self.timing.ack_timeout * patience,
        )  # fmt: skip
        self._send(peer.item.address, Kind.PING, number=self.number, target=name, items=self._riders())

    def _other_ways(self, number: int, probe: Probe) -> None:
        # Bare: guards against a link that drops large datagrams alone.
        self._send(probe.address, Kind.PING, number=number, target=probe.name)
        self.actions.append(
            ConnectionProbe(probe.address, self._message(Kind.PING, number=number, target=probe.name))
        )
        helpers = [name for name in self._alive() if name != probe.name and not self.peers[name].words]
        for name in self.chance.sample(helpers, min(HELPERS, len(helpers))):
            self._send(self.peers[name].item.address, Kind.ASK, number=number, target=probe.name)

    def _failed(self, probe: Probe) -> None:
        peer = self.peers.get(probe.name)
        if peer is None or peer.item.process != probe.process or not peer.alive:
            return
        if probe.about is not None:
            return  # others reached it
        deaf = peer.heard >= probe.began or (peer.way is Way.DEAF and self.now - peer.heard < SHOWN)
        peer.way = Way.DEAF if deaf else Way.NONE
        if peer.evidence < probe.began:
            # Guards against a verdict, once this member is reached again, by what it saw while cut off.
            sure = self._sure() and probe.began >= self.back
            peer.vain = self.now if sure else NEVER
            if peer.lost_by and sure:
                self._replace(peer, State.LOST, peer.lost_by)
            else:
                self._say(probe, State.SILENT)

    def _answered(self) -> None:
        if self.isolated:
            self.back = self.now
        self.last_reply_at = self.now

    def _sure(self) -> bool:
        """Whether what this member does not hear may well be the others' silence, not its own trouble."""
        return self.now >= self.quiet_until and not self.isolated

    def _say(self, probe: Probe, state: State) -> None:
        peer = self.peers.get(probe.name)
        if peer is None or peer.item.process != probe.process or not peer.alive:
            return
        if state is State.SILENT and not self._sure():
            return
        if state is State.SILENT and self._enough(peer, self.name):
            return
        if peer.words.get(self.name) == state:
            if len(peer.words) < WITNESSES:
                self._ask_others(peer, self._said(peer, self.name, state))
            return
        self.counters.accused += 1
        self._word(self._stamped(peer.item, state))

    def _stamped(self, item: Item, state: State) -> Item:
        self.stamp += 1
        return Item(item.name, item.start, item.birth, item.round, state, by=self.name, stamp=self.stamp)

    def _judge(self) -> None:
        """LOST: silence lasted, by two witnesses, and one of them has just looked again in vain.

        Guards against a removal by words that were refuted while the refutation was under way.
        """
        if not self._sure():
            return
        for name in sorted(self.accused):
            peer = self.peers.get(name)
            if peer is None or not peer.words or not peer.alive:
                self.accused.discard(name)
                continue
            if len(peer.words) < WITNESSES:
                continue
            wait = self.timing.suspicion_timeout + (
                self.timing.two_witness_delay if len(peer.words) == WITNESSES else 0.0
            )
            if self.name not in peer.words:
                wait += 2.0 * self.timing.probe_timeout  # the witnesses themselves may be gone
            over = max(peer.first, peer.evidence) + wait
            looked = peer.vain >= max(over, self.now - self.timing.probe_timeout) - self.timing.probe_timeout
            if looked and self.now >= over:
                self._replace(peer, State.LOST)
            near = peer.lost_by or self.now >= over - self.timing.probe_timeout
            if near and not looked and len(self.probes) < MOST_LOOKS:
                self._look(name)

    def _replace(self, peer: Peer, state: State, witnesses: str = "") -> None:
        witnesses = witnesses or ",".join(sorted(peer.words)[:4])
        old = peer.item
        self._record(Item(old.name, old.start, old.birth, old.round, state, old.address, old.zone, witnesses))

    def _seek(self) -> None:
        """One of those lost, or a seed that is no member: so that any cut heals without a person."""
        lost = [peer for peer in self.peers.values() if peer.item.state == State.LOST]
        known = {peer.item.address for peer in self.peers.values() if peer.alive}
        seeds = [seed for seed in self.seeds if seed not in known]
        if not self.joined or not known:
            for seed in seeds:
                self._send(seed, Kind.PING, items=[self.own_item])
        elif seeds and self.chance.random() < 0.5:
            self._send(self.chance.choice(seeds), Kind.PING, items=[self.own_item])
        if lost:
            peer = self.chance.choice(lost)
            self._send(peer.item.address, Kind.PING, target=peer.item.name, items=[peer.item, self.own_item])

    # What others say.

    def _heard(self, message: Message, source: str, by_connection: bool) -> None:
        peer = self.peers.get(message.name)
        process = (message.start, message.birth)
        if peer is None or process > peer.item.process:
            if self.joined or message.kind == Kind.ACK:
                self._sync_soon(message.address or source)
            return
        if process < peer.item.process:
            self._tell(peer, source)
            return
        self.heard_any = self.now
        if not by_connection:
            peer.heard = self.now
            if peer.way is Way.NONE:
                peer.way = Way.DEAF
        if not peer.alive:
            self._tell(peer, source)
            self._sync_soon(peer.item.address)
            return
        self._lives(peer)
        if message.round > peer.item.round:
            peer.words = {}  # it has refuted them
        if message.digest != self.digest and message.kind != Kind.VIEW:
            settled = self.now - self.changed > self.timing.sync_interval
            due = self.now - self.synced > 10.0 * max(1.0, len(self.peers) / 100.0)
            if settled or due:
                # One that has just come knows a few: it asks one of them, not the seed that answered first.
                few = [] if self.joined else [name for name in self._alive() if name != message.name]
                known = self.peers[self.chance.choice(few)] if few else peer
                self._sync_soon(known.item.address)

    def _lives(self, peer: Peer) -> None:
        peer.evidence = self.now
        peer.lost_by = ""
        if peer.words:
            self._vouch(peer)
            peer.words.pop(self.name, None)

    def _sync_soon(self, address: str) -> None:
        if self.now - self.synced > self.timing.sync_interval and address:
            self.synced = self.now
            self.actions.append(Sync(address))

    def _tell(self, peer: Peer, address: str, state: Item | None = None) -> None:
        """What stands against a process, to itself: it refutes that, or is an old one and learns of it."""
        if self.now - peer.told > 0.2:
            peer.told = self.now
            words = [self._said(peer, by, state) for by, state in peer.words.items()]
            self._send(address, Kind.NEWS, items=[state or peer.item, *words[:3]])

    def _vouch(self, peer: Peer) -> None:
        if self.now - peer.vouched > 1.0 and State.SILENT in peer.words.values():
            peer.vouched = self.now
            self._word(self._stamped(peer.item, State.VOUCHED))

    def _answer(self, source: str, message: Message) -> None:
        about = -1.0
        if message.target and message.target != self.name:
            self._send(source, Kind.ACK, number=message.number, target=message.name)
            return
        asker = self.peers.get(message.behalf) if message.behalf else None
        if asker is not None:
            about = -1.0 if asker.heard == NEVER else self.now - asker.heard
            self._send(asker.item.address, Kind.ECHO, target=asker.item.name)
        peer = self.peers.get(message.name)
        items = self._riders() if message.items else []
        if peer is None or not peer.alive or not message.target:
            # To one that seeks. Others too: seeds alone cannot give whole views to hundreds in a minute.
            alive = self._alive()
            some = self.chance.sample(alive, min(len(alive), HELPERS))
            items = [self.own_item, *(self.peers[name].item for name in some)]
        self._send(source, Kind.ACK, number=message.number, target=message.name, about=about, items=items)

    def _acked(self, message: Message, by_connection: bool) -> None:
        errand = self.errands.pop(message.number, None)
        if errand is not None:
            self._send(errand.address, Kind.TOLD, number=errand.number, target=message.name,
                       about=message.about)  # fmt: skip
        probe = self.probes.get(message.number)
        if probe is None:
            return
        if message.name != probe.name:
            # Guards against an address that another member took over: its old process cannot be there.
            del self.probes[message.number]
            self._say(probe, State.REFUSED)
            return
        peer = self.peers.get(probe.name)
        if peer is None or (message.start, message.birth) != probe.process:
            return
        if by_connection:
            self._answered()
            if probe.about is None:
                peer.way = Way.CONNECTION
                probe.about = 0.0
            return
        del self.probes[message.number]
        self._answered()
        peer.way = Way.DIRECT
        self.score = max(self.score - 1, 0)

    def _asked(self, message: Message, source: str) -> None:
        peer = self.peers.get(message.target)
        if peer is None or not peer.alive:
            return
        self.number += 1
        self.errands[self.number] = Errand(message.name, source, message.number, self.now + 2.0)
        self._send(peer.item.address, Kind.PING, number=self.number, target=message.target,
                   behalf=message.name)  # fmt: skip

    def _told(self, message: Message) -> None:
        probe = self.probes.get(message.number)
        if probe is None or message.target != probe.name:
            return
        peer = self.peers[probe.name]
        self._lives(peer)
        self._answered()
        probe.about = message.about
        hears_me = 0.0 <= message.about <= self.now - probe.began + 0.5
        heard = peer.heard >= probe.began
        if heard and not hears_me:
            peer.way = Way.DEAF
        elif hears_me and not heard:
            peer.way = Way.MUTE
        elif not hears_me and not heard:
            peer.way = Way.THROUGH

    def _take(self, item: Item, narrow: bool) -> None:
        if item.name == self.name:
            self._about_me(item, narrow)
        elif item.state in WORDS:
            self._word(item, narrow)
        elif item.state in OUT or item.state == State.ALIVE:
            self._record(item)

    def _about_me(self, item: Item, narrow: bool = False) -> None:
        mine = (self.start, self.birth)
        if self.left:
            return
        if narrow and item.process == mine and item.by in self.peers:
            # Only its witness holds that word: to be heard there is enough, the fleet hears nothing of it.
            self.counters.refuted += 1
            self._send(self.peers[item.by].item.address, Kind.NEWS, items=[self.own_item])
            return
        if item.process > mine and item.state not in WORDS:
            # An earlier process of this name, or another that took it: this one is newer from here on.
            start, round = item.start + 1, 0
        elif item.process == mine and item.round >= self.round and item.state not in (
            State.ALIVE, State.VOUCHED
        ):  # fmt: skip
            start, round = self.start, item.round + 1
        else:
            return
        self.counters.refuted += 1
        self._count_out(self.own_item)
        self.start, self.round = start, round
        self._count_in(self.own_item)
        self._announce(self.own_item)

    def _record(self, item: Item) -> None:
        peer = self.peers.get(item.name)
        if peer is None:
            self.peers[item.name] = peer = Peer(item, self.now)
            peer.evidence = self.now
            self._changed(peer, None)
            self._announce(item)
            return
        if item.order <= peer.item.order:
            return
        if item.state == State.LOST and peer.alive and item.process == peer.item.process:
            # Guards against a view that flaps when a cut heals: what the other side held is a word here,
            # until it has lasted or this member has looked in vain.
            lasted = self.now - peer.first >= 0.5 * self.timing.suspicion_timeout
            if not (len(peer.words) >= WITNESSES and lasted):
                for by in item.by.split(","):
                    self._accused(peer, by, State.SILENT)
                if len(peer.words) >= WITNESSES:
                    peer.lost_by = item.by
                self._tell(peer, peer.item.address, item)
                return
        before = peer.item
        peer.item = item
        for by in peer.stamps:
            self.queue.pop((item.name, by), None)
        if item.process != before.process:
            peer.stamps, peer.way, peer.heard = {}, Way.UNKNOWN, NEVER
        peer.words, peer.lost_by = {}, ""
        peer.evidence = self.now
        peer.since = self.now if (item.state, item.process) != (before.state, before.process) else peer.since
        self._changed(peer, before)
        self._announce(item)

    def _word(self, item: Item, narrow: bool = False) -> None:
        """What one witness says. Alone it goes to the member itself and to a few, who see for themselves.

        Guards against a fleet that talks of nothing but words where a third of all messages is lost.
        """
        peer = self.peers.get(item.name)
        if peer is None or not peer.alive or item.process != peer.item.process:
            return
        if item.round < peer.item.round or item.stamp <= peer.stamps.get(item.by, 0):
            return
        if item.state == State.SILENT and self._enough(peer, item.by):
            return
        peer.stamps[item.by] = item.stamp
        if item.state == State.VOUCHED:
            peer.evidence = self.now
            if len(peer.words) >= WITNESSES or not narrow:
                self._announce(item)
            peer.words = {by: word for by, word in peer.words.items() if word is State.REFUSED}
            return
        first = not peer.words
        self._accused(peer, item.by, State(item.state))
        if sum(word is State.REFUSED for word in peer.words.values()) >= WITNESSES:
            self._replace(peer, State.ENDED)
        elif len(peer.words) >= WITNESSES:
            for by, state in peer.words.items():
                self._announce(self._said(peer, by, state))
        elif item.by == self.name:
            self._ask_others(peer, item)
        elif narrow:
            self._look(item.name)
        if first and not narrow and item.by != self.name and peer.alive:
            self._tell(peer, peer.item.address)

    @staticmethod
    def _enough(peer: Peer, by: str) -> bool:
        """More words add nothing. Guards against half of a cut fleet that talks of each of the other half."""
        return by not in peer.words and len(peer.words) >= MOST_WORDS

    def _ask_others(self, peer: Peer, item: Item) -> None:
        """To see for themselves: a few, among them the one last heard, since a cut may hide most others."""
        few = [each for each in self.peers.values() if each.alive and not each.words]
        chosen = self.chance.sample(few, min(len(few), FANOUT - 1)) + [peer]
        if few and (last := max(few, key=lambda each: each.heard)) not in chosen:
            chosen.append(last)
        for each in chosen:
            self._send(each.item.address, Kind.WORD, items=[item])

    @staticmethod
    def _said(peer: Peer, by: str, state: State) -> Item:
        item = peer.item
        return Item(item.name, item.start, item.birth, item.round, state, by=by, stamp=peer.stamps.get(by, 0))

    def _look(self, name: str) -> None:
        """Sees for itself, by all ways at once."""
        self._probe(name)
        for probe in self.probes.values():
            if probe.name == name and probe.tries != math.inf:
                probe.tries = self.now

    def _accused(self, peer: Peer, by: str, state: State) -> None:
        if not peer.words:
            peer.first = self.now
            self.accused.add(peer.item.name)
            self.changes.append(Change(peer.item.name, "not heard of", (by,), False))
        peer.words[by] = state

    def _changed(self, peer: Peer, before: Item | None) -> None:
        item = peer.item
        was = before is not None and before.state == State.ALIVE
        view = was != peer.alive
        if view or (before is not None and before.process != item.process):
            self.counters.views += view
            self.changed = self.now
            what = "alive" if peer.alive else State(item.state).name.lower()
            witnesses = tuple(item.by.split(",")) if item.by else ()
            self.changes.append(Change(item.name, what, witnesses, view))
        if was:
            self._count_out(before)
        if peer.alive:
            self._count_in(item)

    def _count_in(self, item: Item) -> None:
        bisect.insort(self.ring, (zlib.crc32(item.name.encode()), item.name))
        self.others = None
        self.digest ^= _sum(item)

    def _count_out(self, item: Item) -> None:
        del self.ring[bisect.bisect_left(self.ring, (zlib.crc32(item.name.encode()), item.name))]
        self.others = None
        self.digest ^= _sum(item)

    # What it says.

    def _alive(self) -> list[str]:
        if self.others is None:
            self.others = [name for _, name in self.ring if name != self.name]
        return self.others

    def _announce(self, item: Item) -> None:
        if not self.joined and item.name != self.name:
            return  # all is new to one that has just come, and to nobody else
        sends = 2 + math.ceil(math.log2(len(self.ring) + 2))
        self.queue[(item.name, item.by if item.state in WORDS else "")] = [item, sends]
        self.urgent.append(item)

    def _riders(self, room: int = MOST_DATAGRAM - 200) -> list[Item]:
        """News that ride along: states before words, then those told least often.

        Guards against refutations that wait behind the words that they refute.
        """
        items: list[Item] = []
        for key, entry in heapq.nsmallest(MOST_RIDERS, self.queue.items(), key=_rank):
            room -= size(entry[0])
            if room < 0:
                break
            items.append(entry[0])
            entry[1] -= 1
            if entry[1] <= 0:
                del self.queue[key]
        return items

    def _flush(self) -> None:
        """What is new goes to a few at once."""
        if not self.urgent:
            return
        news, self.urgent = sorted(self.urgent, key=lambda item: item.state in WORDS)[:12], []
        alive = self._alive()
        for name in self.chance.sample(alive, min(len(alive), FANOUT if len(alive) < LARGE else 2)):
            self._send(self.peers[name].item.address, Kind.NEWS, items=news)

    def _message(self, kind: Kind, number: int = 0, **fields: object) -> Message:
        return Message(VERSION, self.fleet, kind, self.name, self.start, self.birth, self.round,
                       number, digest=self.digest, address=self.address, **fields)  # fmt: skip

    def _send(self, address: str, kind: Kind, number: int = 0, **fields: object) -> None:
        self.actions.append(Send(address, self._message(kind, number=number, **fields)))


def _rank(entry: tuple[tuple[str, str], list]) -> tuple[bool, int]:
    return (bool(entry[0][1]), -entry[1][1])


def _sum(item: Item) -> int:
    # Without the round: it is raised for a few, and the rest need not know.
    return zlib.crc32(f"{item.name} {item.start} {item.birth}".encode())
