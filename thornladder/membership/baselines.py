"""Baselines for comparison in the same harness: all-to-all heartbeats, and SWIM without suspicion."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from thornladder.membership.core import Change, Core, Counters, Outbox, Peer, Probe, Send, Timing
from thornladder.membership.wire import VERSION, Item, Kind, Message, State


class Swim(Core):
    """Probes like `Core`, but declares a member ENDED after the first failed probe."""

    def _report(self, probe: Probe, state: State) -> None:
        peer = self.peers.get(probe.name)
        if peer is not None and peer.item.process == probe.process and peer.alive:
            self.counters.reports_made += 1
            self._merge_item(self._as_ended(peer.item))

    @staticmethod
    def _as_ended(item: Item) -> Item:
        return Item(item.name, item.start, item.birth, item.round, State.ENDED, item.address, item.zone)

    def _advance_clock(self, now: float) -> None:
        self.now = max(self.now, now)

    def _merge_item(self, item: Item) -> None:
        if item.state == State.LOST:
            item = self._as_ended(item)
        super()._merge_item(item)


class Heartbeats(Outbox):
    """Sends heartbeats to all members and removes those not heard within the timeout."""

    PERIOD_SECONDS, TIMEOUT_SECONDS = 1.0, 3.0

    def __init__(self, name: str, address: str, seeds: Sequence[str], rng: Random, now: float) -> None:
        self.name, self.address, self.seeds = name, address, seeds
        self.now = self.next_heartbeat_at = now
        self.peers: dict[str, Peer] = {}
        super().__init__()
        self.counters = Counters()
        self.start, self.birth = 1, rng.getrandbits(32)

    @property
    def own_item(self) -> Item:
        return Item(self.name, self.start, self.birth, 0, State.ALIVE, self.address)

    @property
    def next_wake_at(self) -> float:
        return self.next_heartbeat_at

    @property
    def members(self) -> list[str]:
        return sorted([self.name, *(name for name, peer in self.peers.items() if peer.alive)])

    def bootstrap(self, items: Sequence[Item]) -> None:
        for item in items:
            if item.name != self.name:
                self.peers[item.name] = Peer(item, self.now, last_heard_at=self.now)

    def wake(self, now: float) -> None:
        self.now = now
        self.next_heartbeat_at = now + self.PERIOD_SECONDS
        heartbeat = Message(
            VERSION, "fleet", Kind.GOSSIP, self.name, self.start, self.birth, 0, 0, items=[self.own_item]
        )
        for address in {*self.seeds, *(peer.item.address for peer in self.peers.values())} - {self.address}:
            self.actions.append(Send(address, heartbeat))
        for peer in self.peers.values():
            if peer.alive and now - peer.last_heard_at > self.TIMEOUT_SECONDS:
                self._set_state(peer, State.LOST)

    def _set_state(self, peer: Peer, state: State) -> None:
        item = peer.item
        peer.item = Item(item.name, item.start, item.birth, 0, state, item.address)
        self.changes.append(Change(item.name, state.name.lower(), (self.name,), True))

    def on_message(self, now: float, source: str, message: Message, by_connection: bool = False) -> None:
        self.now = now
        for item in message.items:
            peer = self.peers.setdefault(item.name, Peer(item, now))
            peer.last_heard_at = now
            if not peer.alive:
                self._set_state(peer, State.ALIVE)


def heartbeats(name: str, address: str, seeds: Sequence[str], rng: Random, now: float) -> Heartbeats:
    """Maker of a `Heartbeats` member for the harness."""
    return Heartbeats(name, address, seeds, rng, now)


def swim(name: str, address: str, seeds: Sequence[str], rng: Random, now: float) -> Swim:
    """Maker of a `Swim` member for the harness."""
    return Swim(name, address, "fleet", seeds, rng, now, timing=Timing())
