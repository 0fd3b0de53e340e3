"""What membership is measured against, in the same harness: plain heartbeats, and SWIM without suspicion."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from thornladder.membership.core import Change, Core, Counters, Outbox, Peer, Probe, Send, Timing
from thornladder.membership.wire import VERSION, Item, Kind, Message, State


class Swim(Core):
    """The same probes, but the first word is the verdict."""

    def _say(self, probe: Probe, state: State) -> None:
        peer = self.peers.get(probe.name)
        if peer is not None and peer.item.process == probe.process and peer.alive:
            self.counters.accused += 1
            self._record(self._verdict(peer.item))

    @staticmethod
    def _verdict(item: Item) -> Item:
        return Item(item.name, item.start, item.birth, item.round, State.ENDED, item.address, item.zone)

    def _clock(self, now: float) -> None:
        self.now = max(self.now, now)

    def _record(self, item: Item) -> None:
        if item.state == State.LOST:
            item = self._verdict(item)
        super()._record(item)


class Heartbeats(Outbox):
    """All to all, once a second; who was not heard for the time-out is removed."""

    PERIOD, TIME_OUT = 1.0, 3.0

    def __init__(self, name: str, address: str, seeds: Sequence[str], chance: Random, now: float) -> None:
        self.name, self.address, self.seeds = name, address, seeds
        self.now = self.next = now
        self.peers: dict[str, Peer] = {}
        super().__init__()
        self.counters = Counters()
        self.start, self.birth = 1, chance.getrandbits(32)

    @property
    def own_item(self) -> Item:
        return Item(self.name, self.start, self.birth, 0, State.ALIVE, self.address)

    @property
    def next_wake_at(self) -> float:
        return self.next

    @property
    def members(self) -> list[str]:
        return sorted([self.name, *(name for name, peer in self.peers.items() if peer.alive)])

    def bootstrap(self, items: Sequence[Item]) -> None:
        for item in items:
            if item.name != self.name:
                self.peers[item.name] = Peer(item, self.now, heard=self.now)

    def wake(self, now: float) -> None:
        self.now = now
        self.next = now + self.PERIOD
        beat = Message(
            VERSION, "fleet", Kind.NEWS, self.name, self.start, self.birth, 0, 0, items=[self.own_item]
        )
        for address in {*self.seeds, *(peer.item.address for peer in self.peers.values())} - {self.address}:
            self.actions.append(Send(address, beat))
        for peer in self.peers.values():
            if peer.alive and now - peer.heard > self.TIME_OUT:
                self._set(peer, State.LOST)

    def _set(self, peer: Peer, state: State) -> None:
        item = peer.item
        peer.item = Item(item.name, item.start, item.birth, 0, state, item.address)
        self.changes.append(Change(item.name, state.name.lower(), (self.name,), True))

    def on_message(self, now: float, source: str, message: Message, by_connection: bool = False) -> None:
        self.now = now
        for item in message.items:
            peer = self.peers.setdefault(item.name, Peer(item, now))
            peer.heard = now
            if not peer.alive:
                self._set(peer, State.ALIVE)


def heartbeats(name: str, address: str, seeds: Sequence[str], chance: Random, now: float) -> Heartbeats:
    return Heartbeats(name, address, seeds, chance, now)


def swim(name: str, address: str, seeds: Sequence[str], chance: Random, now: float) -> Swim:
    return Swim(name, address, "fleet", seeds, chance, now, timing=Timing())
