"""The membership protocol of one member: messages and wake-ups in, actions and view changes out. No I/O.

Each probe interval a member pings one other: alternately its successor on a hash ring and the next of the
others in shuffled order. A ping that is not acknowledged in time is repeated over three paths at once: a
ping without piggybacked items, a connection, and pings relayed by other members (SWIM's indirect probes).
The member reports the target as REFUSED when its kernel refuses the connection, and as SILENT when all paths
fail. A member concludes ENDED or LOST only from reports of two witnesses: ENDED at once from two refusals,
LOST from silence that outlasts the suspicion timeout. The subject of a report refutes it by raising its
round; a member that still hears the subject vouches for it.

Three numbers order what is known of a member: `start` counts the processes that have run under its name,
`birth` is a random number of the process, and `round` is the process's incarnation number (SWIM).

All times inside the core are on an adjusted clock that does not advance while this process is paused or
starved of CPU, so that this member's timeouts on others do not expire during that time. docs/membership.md
compares the approach with its sources: SWIM, Lifeguard, Rapid.
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

from thornladder.membership.wire import MAX_DATAGRAM_BYTES, VERSION, Item, Kind, Message, State, encoded_size

NEVER = -math.inf
REPORT_STATES = frozenset({State.SILENT, State.REFUSED, State.VOUCHED})
DEPARTED_STATES = frozenset({State.LOST, State.ENDED, State.LEFT})


class Timing(NamedTuple):
    """Intervals and timeouts in seconds.

    They are chosen so that a killed member is detected within 2 s and a silent one within 10 s, while a
    member that pauses for 5 s stays in the view.
    """

    probe_interval: float = 0.25  # between pings; every second one goes to the ring successor
    ack_timeout: float = 0.2  # until the other paths are tried; some hundred round trips within a building
    probe_timeout: float = 1.0  # for all paths together; then the target is reported
    suspicion_timeout: float = 6.0  # from the first report of silence to LOST, with three witnesses
    two_witness_delay: float = 1.0  # added to the suspicion timeout with only two witnesses
    pause_threshold: float = 0.15  # a wake-up later than this means this process was paused or starved of CPU
    max_catch_up: float = 1.0  # longest time after a pause during which nobody is reported as silent
    isolation_timeout: float = 2.0  # after so long without any reply, this member takes itself to be cut off
    rejoin_interval: float = 1.0  # between attempts to reach a LOST member or a seed outside the view
    sync_interval: float = 1.0  # between exchanges of whole views
    retention: float = 600.0  # an ENDED or LEFT process is kept, so that late messages do not bring it back


GOSSIP_FANOUT = 3  # number of random members to which new items are sent immediately
LARGE_FLEET_MEMBERS = 32  # from this size on the fan-out is 2; piggybacking on pings does the rest
INDIRECT_PROBES = 3  # members asked to relay a ping (SWIM's k)
MIN_WITNESSES = 2
MAX_PIGGYBACK_ITEMS = 24  # per message; the datagram size usually limits it to about 20
MAX_GOSSIP_ITEMS = 12  # per message of new items
HEADER_RESERVE_BYTES = 200  # of a datagram, for the fields of the message beside its items
MAX_SILENCE_REPORTS = 3  # kept per member; more do not shorten the suspicion timeout
NOTIFY_INTERVAL_SECONDS = 0.2  # between messages to a member about the reports on it
VOUCH_INTERVAL_SECONDS = 1.0  # between reports that vouch for the same member
RELAY_TIMEOUT_SECONDS = 2.0  # after which the ack of a relayed ping is not passed on
EPSILON_SECONDS = 1e-6
HEARD_RECENTLY_SECONDS = 10.0  # a member heard within this time is still shown as reachable one way
# While this many probes of any kind are in flight, `_expire_suspicions` starts no more: half of a large fleet
# may be suspected at once.
MAX_VERIFYING_PROBES = 16
MAX_HEALTH_SCORE = 4  # of Lifeguard's local health; timeouts grow to three times their length
MAX_PEERS = 20_000  # bounds the memory that a misconfigured fleet can take


class Reachability(Enum):
    """How this member reaches another, according to the last probe."""

    UNKNOWN = "not tried yet"
    DIRECT = "direct"
    CONNECTION_ONLY = "by connection alone"
    INDIRECT_ONLY = "through others alone"
    INBOUND_ONLY = "one-sided: I hear it, it does not hear me"
    OUTBOUND_ONLY = "one-sided: it hears me, I do not hear it"
    UNREACHABLE = "by no way"


class Send(NamedTuple):
    """Send `message` as a datagram."""

    address: str
    message: Message


class ConnectionProbe(NamedTuple):
    """Connect to `address` and send `message` as a request.

    The host passes the reply to `Core.on_message`, any other result to `Core.on_connection_outcome`.
    """

    address: str
    message: Message


class Sync(NamedTuple):
    """Exchange whole views with `address` over a connection (anti-entropy)."""

    address: str


Action = Send | ConnectionProbe | Sync


class ConnectionOutcome(Enum):
    """Result of a connection probe that got no reply."""

    REFUSED = "refused"  # by the kernel: no process listens there
    NO_ANSWER = "nothing"  # nothing arrived in time


class Change(NamedTuple):
    """A change to be logged. `view_changed` tells whether the set of live members changed."""

    name: str
    state: str
    witnesses: tuple[str, ...]
    view_changed: bool


@dataclass(slots=True)
class Peer:
    """What this member knows of another. Times are on the adjusted clock."""

    item: Item
    state_since: float
    last_heard_at: float = NEVER  # last datagram received directly from it
    last_evidence_at: float = NEVER  # last evidence of any kind that it is alive
    reachability: Reachability = Reachability.UNKNOWN
    reports: dict[str, State] = field(default_factory=dict)  # by witness
    first_report_at: float = NEVER  # of `reports`
    last_stamps: dict[str, int] = field(default_factory=dict)  # of the newest report, by witness
    last_vouched_at: float = NEVER
    last_notified_at: float = NEVER  # last time it was sent the reports about itself
    probe_failed_at: float = NEVER  # last probe that failed on all paths
    # Comma-separated witnesses of a LOST state received from others; empty once this member has decided.
    lost_reported_by: str = ""

    @property
    def alive(self) -> bool:
        """Whether it is in the view, even if there are reports against it."""
        return self.item.state == State.ALIVE


@dataclass(slots=True)
class Probe:
    """A ping in flight, over all of its paths."""

    name: str
    address: str
    process: tuple[int, int]
    started_at: float
    deadline: float
    fallback_at: float  # when the other paths are tried; inf once they are
    # None until another path has reached the target; then seconds since the target last heard this member
    # (0 via a connection, negative if never).
    target_heard_us_ago: float | None = None


class RelayedPing(NamedTuple):
    """A ping sent on behalf of another member (SWIM's ping-req)."""

    requester: str
    requester_address: str
    requester_number: int
    expires_at: float


@dataclass(slots=True)
class Counters:
    """Totals since the start of the process."""

    dropped: int = 0  # messages of another fleet, and all messages once MAX_PEERS is reached
    reports_made: int = 0  # by this member about others
    refutations: int = 0
    pauses: int = 0  # of this process, including starvation of CPU
    view_changes: int = 0


class Outbox:
    """Pending actions and changes of a core, until its host takes them."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.changes: list[Change] = []

    def take_actions(self) -> list[Action]:
        """Returns and clears the pending actions."""
        actions, self.actions = self.actions, []
        return actions

    def take_changes(self) -> list[Change]:
        """Returns and clears the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes


class Core(Outbox):
    """The protocol state of one member.

    `start`, `birth` and `round` are this process's own, see the head of this module.
    """

    def __init__(
        self, name: str, address: str, fleet: str, seeds: Sequence[str], rng: Random, now: float,
        zone: str = "", timing: Timing | None = None, facts: dict[str, str] | None = None,
    ) -> None:  # fmt: skip
        """`now`: seconds of any monotonic clock. `address`: host:port where others reach this member."""
        self.name, self.address, self.fleet, self.zone = name, address, fleet, zone
        self.seeds = [seed for seed in seeds if seed != address]
        self.rng, self.timing = rng, timing or Timing()
        self.facts = dict(facts or {})
        self.start, self.birth, self.round = 1, rng.getrandbits(32), 0
        self.clock_offset = 0.0  # seconds by which the adjusted clock is behind the caller's
        self.now = now
        self.peers: dict[str, Peer] = {}
        self.probes: dict[int, Probe] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}
        self.gossip_queue: dict[tuple[str, str], list] = {}  # [item, sends left] by subject and witness
        self.fresh_items: list[Item] = []
        super().__init__()
        self.counters = Counters()
        self.last_number = self.last_stamp = self.health_score = 0
        self.next_probe_at = now + self.timing.probe_interval * rng.random()
        self.next_rejoin_at = now
        self.no_reports_until = now  # this member reports nobody as silent before
        self.last_received_at = self.last_reply_at = now
        self.connected_since = now  # end of the last isolation, or the start
        self.view_changed_at = now
        self.last_sync_at = NEVER
        self.joined = False  # whether it has received another member's whole view
        self.left = False
        self.probe_order: list[str] = []  # members still to be pinged in this shuffled pass
        self.probe_turn = 0
        self.ring: list[tuple[int, str]] = []  # (hash, name) of the live members, sorted
        self.cached_other_members: list[str] | None = None  # in ring order; None: out of date
        self.suspects: set[str] = set()  # alive, with reports against them
        self.digest = 0  # of the view, for comparing views with other members
        self._add_to_view(self.own_item)

    # Inputs.

    @property
    def next_wake_at(self) -> float:
        """When `wake` is to be called, on the caller's clock."""
        stages = (min(probe.fallback_at, probe.deadline) for probe in self.probes.values())
        return min(self.next_probe_at, *stages, math.inf) + self.clock_offset

    def wake(self, now: float) -> None:
        """Handles expired timeouts and starts the next probe. Due at `next_wake_at`."""
        self._advance_clock(now)
        # Rounding in the clock offset could otherwise leave `self.now` just below a due timer for ever.
        self.now += EPSILON_SECONDS
        for number, probe in list(self.probes.items()):
            if self.now >= probe.deadline:
                del self.probes[number]
                self._on_probe_failed(probe)
            elif self.now >= probe.fallback_at:
                probe.fallback_at = math.inf
                self._probe_by_other_paths(number, probe)
        if self.now >= self.next_probe_at:
            self.next_probe_at = self.now + self.timing.probe_interval * (0.9 + 0.2 * self.rng.random())
            self._on_probe_interval()
        self._flush_gossip()

    def on_message(self, now: float, source: str, message: Message, by_connection: bool = False) -> None:
        """Handles a received message. `source`: the host:port that it came from and that replies go to."""
        self._advance_clock(now)
        if message.fleet != self.fleet or len(self.peers) >= MAX_PEERS:
            self.counters.dropped += 1
            return
        for item in message.items:
            self._apply_item(item, message.kind == Kind.REPORT)
        if message.name != self.name:
            self._on_sender(message, source, by_connection)
        if message.kind == Kind.PING:
            if not by_connection:
                self._on_ping(source, message)
        elif message.kind == Kind.ACK:
            self._on_ack(message, by_connection)
        elif message.kind == Kind.PING_REQUEST:
            self._on_ping_request(message, source)
        elif message.kind == Kind.INDIRECT_ACK:
            self._on_indirect_ack(message)
        elif message.kind == Kind.VIEW:
            self.joined, self.last_sync_at = True, self.now
        self._flush_gossip()

    def on_connection_outcome(self, now: float, number: int, outcome: ConnectionOutcome) -> None:
        """Handles the result of a `ConnectionProbe` that got no reply."""
        self._advance_clock(now)
        probe = self.probes.get(number)
        if probe is not None and outcome is ConnectionOutcome.REFUSED:
            del self.probes[number]
            self._report(probe, State.REFUSED)
        self._flush_gossip()

    def reply_to(self, message: Message) -> Message:
        """Reply to a message received over a connection: the whole view if it was a VIEW, else an ack."""
        if message.kind == Kind.VIEW:
            return self.view_message()
        return self._message(Kind.ACK, number=message.number, target=message.name)

    def view_message(self) -> Message:
        """All items that this member holds, as one message."""
        return self._message(Kind.VIEW, items=[self.own_item, *(peer.item for peer in self.peers.values())])

    def bootstrap(self, items: Sequence[Item]) -> None:
        """Starts with `items` as the view, as if this member had joined long ago."""
        for item in items:
            if item.name != self.name:
                self._merge_item(item)
        self.joined = True
        self.changes.clear()

    def leave(self, now: float) -> None:
        """Announces that this member leaves; the caller sends the pending `actions` before it closes."""
        self._advance_clock(now)
        self.left = True
        departure = self.own_item
        alive = self._other_members()
        for name in self.rng.sample(alive, min(len(alive), 2 * GOSSIP_FANOUT + 2)):
            self._send(self.peers[name].item.address, Kind.GOSSIP, items=[departure])

    # State.

    @property
    def own_item(self) -> Item:
        """This member's own state, as it is gossiped."""
        state = State.LEFT if self.left else State.ALIVE
        return Item(self.name, self.start, self.birth, self.round, state, self.address, self.zone,
                    facts=self.facts)  # fmt: skip

    @property
    def members(self) -> list[str]:
        """Sorted names of the live members, including this one."""
        return sorted([self.name, *self._other_members()])

    @property
    def isolated(self) -> bool:
        """Whether nobody replies. Then this member itself may be cut off, and it reports nobody as silent."""
        return len(self.ring) > 1 and self.now - self.last_reply_at > self.timing.isolation_timeout

    @property
    def hears_nobody(self) -> bool:
        """Whether it is isolated and receives nothing either."""
        return self.isolated and self.now - self.last_received_at > self.timing.isolation_timeout

    def set_facts(self, facts: dict[str, str]) -> None:
        """Replaces the facts that this member announces; spread like a refutation, by a higher round."""
        if facts != self.facts:
            self._remove_from_view(self.own_item)
            self.facts = dict(facts)
            self.round += 1
            self._add_to_view(self.own_item)
            self._enqueue_gossip(self.own_item)

    # Timers.

    def _advance_clock(self, now: float) -> None:
        """Sets `self.now`. A wake-up that is overdue by more than the threshold counts as a pause."""
        late = now - self.next_wake_at
        if late > self.timing.pause_threshold:
            # The timeouts that expired during the pause must not make this member report all others.
            self.clock_offset += late
            self.counters.pauses += 1
            # Twice the pause is enough to read what arrived meanwhile. Bounded, since a fleet on a slow disk,
            # where every process is late for a moment each second, would otherwise never detect a failure.
            self.no_reports_until = now - self.clock_offset + min(2.0 * late, self.timing.max_catch_up)
            self.health_score = min(self.health_score + 1, MAX_HEALTH_SCORE)
        self.now = max(self.now, now - self.clock_offset)

    def _on_probe_interval(self) -> None:
        target = self._next_target()
        if target is not None:
            self._start_probe(target)
        if self.now >= self.next_rejoin_at:
            self.next_rejoin_at = self.now + self.timing.rejoin_interval
            self._try_rejoin()
        self._expire_suspicions()
        for number in [
            number for number, relayed in self.relayed_pings.items() if self.now > relayed.expires_at
        ]:
            del self.relayed_pings[number]
        expired_before = self.now - self.timing.retention
        for name in [
            name for name, peer in self.peers.items() if peer.state_since < expired_before and not peer.alive
        ]:
            if self.peers[name].item.state != State.LOST:
                del self.peers[name]

    def _next_target(self) -> str | None:
        """The member to ping: alternately the ring successor and the next in shuffled order."""
        self.probe_turn += 1
        if len(self.ring) < 2:
            return None
        if self.probe_turn % 2:
            own_place = bisect.bisect_left(self.ring, (zlib.crc32(self.name.encode()), self.name))
            return self.ring[(own_place + 1) % len(self.ring)][1]
        while True:
            if not self.probe_order:
                self.probe_order = list(self._other_members())
                self.rng.shuffle(self.probe_order)
            name = self.probe_order.pop()
            if name in self.peers and self.peers[name].alive:
                return name

    def _timeout_factor(self) -> float:
        """Lifeguard's local health multiplier."""
        return 1.0 + 0.5 * self.health_score

    def _start_probe(self, name: str) -> None:
        peer = self.peers[name]
        if any(probe.name == name for probe in self.probes.values()):
            return
        self.last_number += 1
        timeout_factor = self._timeout_factor()
        self.probes[self.last_number] = Probe(
            name, peer.item.address, peer.item.process, self.now,
            self.now + self.timing.probe_timeout * timeout_factor,
            self.now + self.timing.ack_timeout * timeout_factor,
        )  # fmt: skip
        self._send(
            peer.item.address, Kind.PING, number=self.last_number, target=name, items=self._piggyback_items()
        )

    def _probe_by_other_paths(self, number: int, probe: Probe) -> None:
        # Without piggybacked items, in case the link drops large datagrams only.
        self._send(probe.address, Kind.PING, number=number, target=probe.name)
        self.actions.append(
            ConnectionProbe(probe.address, self._message(Kind.PING, number=number, target=probe.name))
        )
        helpers = [
            name for name in self._other_members() if name != probe.name and not self.peers[name].reports
        ]
        for name in self.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
            self._send(self.peers[name].item.address, Kind.PING_REQUEST, number=number, target=probe.name)

    def _on_probe_failed(self, probe: Probe) -> None:
        peer = self.peers.get(probe.name)
        if peer is None or peer.item.process != probe.process or not peer.alive:
            return
        if probe.target_heard_us_ago is not None:
            return  # reached indirectly or by connection
        we_hear_target = peer.last_heard_at >= probe.started_at or (
            peer.reachability is Reachability.INBOUND_ONLY
            and self.now - peer.last_heard_at < HEARD_RECENTLY_SECONDS
        )
        peer.reachability = Reachability.INBOUND_ONLY if we_hear_target else Reachability.UNREACHABLE
        if peer.last_evidence_at < probe.started_at:
            # A probe that began while this member was cut off says nothing about the target.
            conclusive = self._can_judge_others() and probe.started_at >= self.connected_since
            peer.probe_failed_at = self.now if conclusive else NEVER
            if peer.lost_reported_by and conclusive:
                self._set_state(peer, State.LOST, peer.lost_reported_by)
            else:
                self._report(probe, State.SILENT)

    def _note_reply(self) -> None:
        if self.isolated:
            self.connected_since = self.now
        self.last_reply_at = self.now

    def _can_judge_others(self) -> bool:
        """Whether a missing reply can be put down to the other member, not to trouble on this side."""
        return self.now >= self.no_reports_until and not self.isolated

    def _report(self, probe: Probe, state: State) -> None:
        """Reports the target of a failed probe as SILENT or REFUSED.

        SILENT only while this member can judge others and more reports still matter.
        """
        peer = self.peers.get(probe.name)
        if peer is None or peer.item.process != probe.process or not peer.alive:
            return
        if state is State.SILENT and not self._can_judge_others():
            return
        if state is State.SILENT and self._has_enough_reports(peer, self.name):
            return
        if peer.reports.get(self.name) == state:
            if len(peer.reports) < MIN_WITNESSES:
                self._request_confirmation(peer, self._report_item(peer, self.name, state))
            return
        self.counters.reports_made += 1
        self._on_report(self._new_report(peer.item, state))

    def _new_report(self, item: Item, state: State) -> Item:
        self.last_stamp += 1
        return Item(item.name, item.start, item.birth, item.round, state, by=self.name, stamp=self.last_stamp)

    def _expire_suspicions(self) -> None:
        """Declares a suspect LOST when reports of two witnesses outlast the timeout and a last probe fails.

        The last probe protects a member whose refutation of the reports is still on its way.
        """
        if not self._can_judge_others():
            return
        for name in sorted(self.suspects):
            peer = self.peers.get(name)
            if peer is None or not peer.reports or not peer.alive:
                self.suspects.discard(name)
                continue
            if len(peer.reports) < MIN_WITNESSES:
                continue
            wait = self.timing.suspicion_timeout + (
                self.timing.two_witness_delay if len(peer.reports) == MIN_WITNESSES else 0.0
            )
            if self.name not in peer.reports:
                wait += 2.0 * self.timing.probe_timeout  # the witnesses themselves may have failed
            expires_at = max(peer.first_report_at, peer.last_evidence_at) + wait
            failure_confirmed = (
                peer.probe_failed_at
                >= max(expires_at, self.now - self.timing.probe_timeout) - self.timing.probe_timeout
            )
            if failure_confirmed and self.now >= expires_at:
                self._set_state(peer, State.LOST)
            needs_probe = peer.lost_reported_by or self.now >= expires_at - self.timing.probe_timeout
            if needs_probe and not failure_confirmed and len(self.probes) < MAX_VERIFYING_PROBES:
                self._verify(name)

    def _set_state(self, peer: Peer, state: State, witnesses: str = "") -> None:
        witnesses = witnesses or ",".join(sorted(peer.reports)[:4])
        old = peer.item
        self._merge_item(
            Item(old.name, old.start, old.birth, old.round, state, old.address, old.zone, witnesses)
        )

    def _try_rejoin(self) -> None:
        """Pings a random LOST member, and half of the time a random seed outside the view.

        Pings all seeds while this member has not joined or knows no live member. Thus a partition heals
        without an operator.
        """
        lost = [peer for peer in self.peers.values() if peer.item.state == State.LOST]
        known = {peer.item.address for peer in self.peers.values() if peer.alive}
        seeds = [seed for seed in self.seeds if seed not in known]
        if not self.joined or not known:
            for seed in seeds:
                self._send(seed, Kind.PING, items=[self.own_item])
        elif seeds and self.rng.random() < 0.5:
            self._send(self.rng.choice(seeds), Kind.PING, items=[self.own_item])
        if lost:
            peer = self.rng.choice(lost)
            self._send(peer.item.address, Kind.PING, target=peer.item.name, items=[peer.item, self.own_item])

    # Messages of other members.

    def _on_sender(self, message: Message, source: str, by_connection: bool) -> None:
        """Handles what any message tells of its sender: that it is alive, its process, its view's digest."""
        peer = self.peers.get(message.name)
        process = (message.start, message.birth)
        if peer is None or process > peer.item.process:
            if self.joined or message.kind == Kind.ACK:
                self._request_sync(message.address or source)
            return
        if process < peer.item.process:
            self._notify_subject(peer, source)
            return
        self.last_received_at = self.now
        if not by_connection:
            peer.last_heard_at = self.now
            if peer.reachability is Reachability.UNREACHABLE:
                peer.reachability = Reachability.INBOUND_ONLY
        if not peer.alive:
            self._notify_subject(peer, source)
            self._request_sync(peer.item.address)
            return
        self._note_alive(peer)
        if message.round > peer.item.round:
            peer.reports = {}  # refuted by the higher round
        if message.digest != self.digest and message.kind != Kind.VIEW:
            settled = self.now - self.view_changed_at > self.timing.sync_interval
            # After 10 s, or longer in large fleets, to limit exchanges of whole views.
            overdue = self.now - self.last_sync_at > 10.0 * max(1.0, len(self.peers) / 100.0)
            if settled or overdue:
                # A joining member asks one of the few members it knows, to spare the seed that replied first.
                others = (
                    [] if self.joined else [name for name in self._other_members() if name != message.name]
                )
                partner = self.peers[self.rng.choice(others)] if others else peer
                self._request_sync(partner.item.address)

    def _note_alive(self, peer: Peer) -> None:
        """Records evidence that a member is alive, which withdraws this member's own report."""
        peer.last_evidence_at = self.now
        peer.lost_reported_by = ""
        if peer.reports:
            self._vouch_for(peer)
            peer.reports.pop(self.name, None)

    def _request_sync(self, address: str) -> None:
        if self.now - self.last_sync_at > self.timing.sync_interval and address:
            self.last_sync_at = self.now
            self.actions.append(Sync(address))

    def _notify_subject(self, peer: Peer, address: str, item_override: Item | None = None) -> None:
        """Sends a process the reports about itself, so that it can refute them.

        The item that this member holds, which may be of a newer process that replaced it, comes with them;
        `item_override` is sent in its place.
        """
        if self.now - peer.last_notified_at > NOTIFY_INTERVAL_SECONDS:
            peer.last_notified_at = self.now
            reports = [self._report_item(peer, by, state) for by, state in peer.reports.items()]
            self._send(address, Kind.GOSSIP, items=[item_override or peer.item, *reports[:3]])

    def _vouch_for(self, peer: Peer) -> None:
        if self.now - peer.last_vouched_at > VOUCH_INTERVAL_SECONDS and State.SILENT in peer.reports.values():
            peer.last_vouched_at = self.now
            self._on_report(self._new_report(peer.item, State.VOUCHED))

    def _on_ping(self, source: str, message: Message) -> None:
        requester_heard_ago = -1.0
        if message.target and message.target != self.name:
            self._send(source, Kind.ACK, number=message.number, target=message.name)
            return
        # Of a relayed ping, `behalf` names the requester. `about` in the ack is the seconds since this member
        # last heard the requester, -1 if never.
        requester = self.peers.get(message.behalf) if message.behalf else None
        if requester is not None:
            requester_heard_ago = (
                -1.0 if requester.last_heard_at == NEVER else self.now - requester.last_heard_at
            )
            # A direct datagram: only its arrival matters, which sets `last_heard_at` at the requester.
            self._send(requester.item.address, Kind.ECHO, target=requester.item.name)
        peer = self.peers.get(message.name)
        items = self._piggyback_items() if message.items else []
        if peer is None or not peer.alive or not message.target:
            # The sender is joining or rejoining. It also gets other members' addresses, since the seeds alone
            # cannot send whole views to hundreds of members within a minute.
            alive = self._other_members()
            sample = self.rng.sample(alive, min(len(alive), INDIRECT_PROBES))
            items = [self.own_item, *(self.peers[name].item for name in sample)]
        self._send(source, Kind.ACK, number=message.number, target=message.name,
                   about=requester_heard_ago, items=items)  # fmt: skip

    def _on_ack(self, message: Message, by_connection: bool) -> None:
        relayed = self.relayed_pings.pop(message.number, None)
        if relayed is not None:
            self._send(relayed.requester_address, Kind.INDIRECT_ACK, number=relayed.requester_number,
                       target=message.name, about=message.about)  # fmt: skip
        probe = self.probes.get(message.number)
        if probe is None:
            return
        if message.name != probe.name:
            # Another member has taken over the address, so the target's process cannot be there any more.
            del self.probes[message.number]
            self._report(probe, State.REFUSED)
            return
        peer = self.peers.get(probe.name)
        if peer is None or (message.start, message.birth) != probe.process:
            return
        if by_connection:
            self._note_reply()
            if probe.target_heard_us_ago is None:
                peer.reachability = Reachability.CONNECTION_ONLY
                probe.target_heard_us_ago = 0.0
            return
        del self.probes[message.number]
        self._note_reply()
        peer.reachability = Reachability.DIRECT
        self.health_score = max(self.health_score - 1, 0)

    def _on_ping_request(self, message: Message, source: str) -> None:
        peer = self.peers.get(message.target)
        if peer is None or not peer.alive:
            return
        self.last_number += 1
        self.relayed_pings[self.last_number] = RelayedPing(
            message.name, source, message.number, self.now + RELAY_TIMEOUT_SECONDS
        )
        self._send(peer.item.address, Kind.PING, number=self.last_number, target=message.target,
                   behalf=message.name)  # fmt: skip

    def _on_indirect_ack(self, message: Message) -> None:
        probe = self.probes.get(message.number)
        if probe is None or message.target != probe.name:
            return
        peer = self.peers[probe.name]
        self._note_alive(peer)
        self._note_reply()
        probe.target_heard_us_ago = message.about
        # Since the probe began, with a margin of 0.5 s.
        target_hears_us = 0.0 <= message.about <= self.now - probe.started_at + 0.5
        we_hear_target = peer.last_heard_at >= probe.started_at
        if we_hear_target and not target_hears_us:
            peer.reachability = Reachability.INBOUND_ONLY
        elif target_hears_us and not we_hear_target:
            peer.reachability = Reachability.OUTBOUND_ONLY
        elif not target_hears_us and not we_hear_target:
            peer.reachability = Reachability.INDIRECT_ONLY

    def _apply_item(self, item: Item, unconfirmed: bool) -> None:
        if item.name == self.name:
            self._on_item_about_self(item, unconfirmed)
        elif item.state in REPORT_STATES:
            self._on_report(item, unconfirmed)
        elif item.state in DEPARTED_STATES or item.state == State.ALIVE:
            self._merge_item(item)

    def _on_item_about_self(self, item: Item, unconfirmed: bool = False) -> None:
        """Refutes a report or a state of this member that is not true."""
        own_process = (self.start, self.birth)
        if self.left:
            return
        if unconfirmed and item.process == own_process and item.by in self.peers:
            # An unconfirmed report is known only to the witness and the few members it asked; answering the
            # witness is enough.
            self.counters.refutations += 1
            self._send(self.peers[item.by].item.address, Kind.GOSSIP, items=[self.own_item])
            return
        if item.process > own_process and item.state not in REPORT_STATES:
            # Another process of this name has a higher identity: an earlier run whose number was not known
            # here, or a duplicate name. This one takes a higher start number.
            start, new_round = item.start + 1, 0
        elif item.process == own_process and item.round >= self.round and item.state not in (
            State.ALIVE, State.VOUCHED
        ):  # fmt: skip
            start, new_round = self.start, item.round + 1
        else:
            return
        self.counters.refutations += 1
        self._remove_from_view(self.own_item)
        self.start, self.round = start, new_round
        self._add_to_view(self.own_item)
        self._enqueue_gossip(self.own_item)

    def _merge_item(self, item: Item) -> None:
        """Adopts a member's state if it is newer than the one held, and gossips it."""
        peer = self.peers.get(item.name)
        if peer is None:
            self.peers[item.name] = peer = Peer(item, self.now)
            peer.last_evidence_at = self.now
            self._on_peer_changed(peer, None)
            self._enqueue_gossip(item)
            return
        if item.order <= peer.item.order:
            return
        if item.state == State.LOST and peer.alive and item.process == peer.item.process:
            # A LOST received from others only adds reports by their witnesses until this member's own probe
            # fails (see `lost_reported_by`), unless there are already reports of two witnesses and the first
            # is half the suspicion timeout old. Otherwise views would flap when a partition heals.
            has_lasted = self.now - peer.first_report_at >= 0.5 * self.timing.suspicion_timeout
            if not (len(peer.reports) >= MIN_WITNESSES and has_lasted):
                for by in item.by.split(","):
                    self._add_report(peer, by, State.SILENT)
                if len(peer.reports) >= MIN_WITNESSES:
                    peer.lost_reported_by = item.by
                self._notify_subject(peer, peer.item.address, item)
                return
        before = peer.item
        peer.item = item
        for by in peer.last_stamps:
            self.gossip_queue.pop((item.name, by), None)
        if item.process != before.process:
            peer.last_stamps, peer.reachability, peer.last_heard_at = {}, Reachability.UNKNOWN, NEVER
        peer.reports, peer.lost_reported_by = {}, ""
        peer.last_evidence_at = self.now
        peer.state_since = (
            self.now if (item.state, item.process) != (before.state, before.process) else peer.state_since
        )
        self._on_peer_changed(peer, before)
        self._enqueue_gossip(item)

    def _on_report(self, item: Item, unconfirmed: bool = False) -> None:
        """Handles the report of one witness.

        An unconfirmed report goes only to its subject and to a few members that verify it, so that reports do
        not crowd out all other gossip where a third of the messages is lost.
        """
        peer = self.peers.get(item.name)
        if peer is None or not peer.alive or item.process != peer.item.process:
            return
        if item.round < peer.item.round or item.stamp <= peer.last_stamps.get(item.by, 0):
            return
        if item.state == State.SILENT and self._has_enough_reports(peer, item.by):
            return
        peer.last_stamps[item.by] = item.stamp
        if item.state == State.VOUCHED:
            peer.last_evidence_at = self.now
            if len(peer.reports) >= MIN_WITNESSES or not unconfirmed:
                self._enqueue_gossip(item)
            peer.reports = {by: state for by, state in peer.reports.items() if state is State.REFUSED}
            return
        is_first = not peer.reports
        self._add_report(peer, item.by, State(item.state))
        if sum(state is State.REFUSED for state in peer.reports.values()) >= MIN_WITNESSES:
            self._set_state(peer, State.ENDED)
        elif len(peer.reports) >= MIN_WITNESSES:
            for by, state in peer.reports.items():
                self._enqueue_gossip(self._report_item(peer, by, state))
        elif item.by == self.name:
            self._request_confirmation(peer, item)
        elif unconfirmed:
            self._verify(item.name)
        if is_first and not unconfirmed and item.by != self.name and peer.alive:
            self._notify_subject(peer, peer.item.address)

    @staticmethod
    def _has_enough_reports(peer: Peer, by: str) -> bool:
        """Whether another report of silence adds nothing.

        Bounds the gossip when one half of a partitioned fleet reports each member of the other half.
        """
        return by not in peer.reports and len(peer.reports) >= MAX_SILENCE_REPORTS

    def _request_confirmation(self, peer: Peer, item: Item) -> None:
        """Asks a few members to verify a report.

        One of them is the most recently heard member, since a partition may hide most of the others. The
        subject gets the report too.
        """
        candidates = [other for other in self.peers.values() if other.alive and not other.reports]
        recipients = self.rng.sample(candidates, min(len(candidates), GOSSIP_FANOUT - 1)) + [peer]
        if (
            candidates
            and (latest := max(candidates, key=lambda other: other.last_heard_at)) not in recipients
        ):
            recipients.append(latest)
        for recipient in recipients:
            self._send(recipient.item.address, Kind.REPORT, items=[item])

    @staticmethod
    def _report_item(peer: Peer, by: str, state: State) -> Item:
        item = peer.item
        return Item(
            item.name, item.start, item.birth, item.round, state, by=by, stamp=peer.last_stamps.get(by, 0)
        )

    def _verify(self, name: str) -> None:
        """Probes a member over all paths at once."""
        self._start_probe(name)
        for probe in self.probes.values():
            if probe.name == name and probe.fallback_at != math.inf:
                probe.fallback_at = self.now

    def _add_report(self, peer: Peer, by: str, state: State) -> None:
        if not peer.reports:
            peer.first_report_at = self.now
            self.suspects.add(peer.item.name)
            self.changes.append(Change(peer.item.name, "not heard of", (by,), False))
        peer.reports[by] = state

    def _on_peer_changed(self, peer: Peer, before: Item | None) -> None:
        item = peer.item
        was_alive = before is not None and before.state == State.ALIVE
        alive_changed = was_alive != peer.alive
        if alive_changed or (before is not None and before.process != item.process):
            self.counters.view_changes += alive_changed
            self.view_changed_at = self.now
            state = "alive" if peer.alive else State(item.state).name.lower()
            witnesses = tuple(item.by.split(",")) if item.by else ()
            self.changes.append(Change(item.name, state, witnesses, alive_changed))
        if was_alive:
            self._remove_from_view(before)
        if peer.alive:
            self._add_to_view(item)

    def _add_to_view(self, item: Item) -> None:
        bisect.insort(self.ring, (zlib.crc32(item.name.encode()), item.name))
        self.cached_other_members = None
        self.digest ^= _process_hash(item)

    def _remove_from_view(self, item: Item) -> None:
        del self.ring[bisect.bisect_left(self.ring, (zlib.crc32(item.name.encode()), item.name))]
        self.cached_other_members = None
        self.digest ^= _process_hash(item)

    # Outgoing messages.

    def _other_members(self) -> list[str]:
        if self.cached_other_members is None:
            self.cached_other_members = [name for _, name in self.ring if name != self.name]
        return self.cached_other_members

    def _enqueue_gossip(self, item: Item) -> None:
        if not self.joined and item.name != self.name:
            return  # everything is new to a joining member, but not to the others
        sends = 2 + math.ceil(math.log2(len(self.ring) + 2))
        self.gossip_queue[(item.name, item.by if item.state in REPORT_STATES else "")] = [item, sends]
        self.fresh_items.append(item)

    def _piggyback_items(self, room: int = MAX_DATAGRAM_BYTES - HEADER_RESERVE_BYTES) -> list[Item]:
        """Items to piggyback on a ping or ack: states before reports, then those sent least often.

        States come first so that a refutation does not wait behind the reports that it refutes.
        """
        items: list[Item] = []
        for key, entry in heapq.nsmallest(
            MAX_PIGGYBACK_ITEMS, self.gossip_queue.items(), key=_gossip_priority
        ):
            room -= encoded_size(entry[0])
            if room < 0:
                break
            items.append(entry[0])
            entry[1] -= 1
            if entry[1] <= 0:
                del self.gossip_queue[key]
        return items

    def _flush_gossip(self) -> None:
        """Sends new items to a few random members."""
        if not self.fresh_items:
            return
        items, self.fresh_items = (
            sorted(self.fresh_items, key=lambda item: item.state in REPORT_STATES)[:MAX_GOSSIP_ITEMS],
            [],
        )
        alive = self._other_members()
        for name in self.rng.sample(
            alive, min(len(alive), GOSSIP_FANOUT if len(alive) < LARGE_FLEET_MEMBERS else 2)
        ):
            self._send(self.peers[name].item.address, Kind.GOSSIP, items=items)

    def _message(self, kind: Kind, number: int = 0, **fields: object) -> Message:
        return Message(VERSION, self.fleet, kind, self.name, self.start, self.birth, self.round,
                       number, digest=self.digest, address=self.address, **fields)  # fmt: skip

    def _send(self, address: str, kind: Kind, number: int = 0, **fields: object) -> None:
        self.actions.append(Send(address, self._message(kind, number=number, **fields)))


def _gossip_priority(entry: tuple[tuple[str, str], list]) -> tuple[bool, int]:
    """Sort key of the gossip queue: states before reports, then by the most sends left."""
    return (bool(entry[0][1]), -entry[1][1])


def _process_hash(item: Item) -> int:
    """Contribution of a member to the view digest.

    The round is left out: a refutation concerns only the few members that hold the report.
    """
    return zlib.crc32(f"{item.name} {item.start} {item.birth}".encode())
