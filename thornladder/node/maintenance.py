"""Which backends are out by hand, laid over all that discovery tells. No I/O.

An id that is out is listed as draining whatever discovery says. One that is back has the call's moment as its
start time, or a later one: staff restart what they take out, so it ramps and is held to the cold rule.
"""

from __future__ import annotations

from typing import NamedTuple

from thornladder.interface import Entry, ListKind, State
from thornladder.node.messages import DiscoveryResponse
from thornladder.settings import Address


class Mark(NamedTuple):
    """The last call for one backend."""

    out: bool
    at: float  # Unix time of the call, seconds


class Maintenance:
    REMEMBER = 3600.0  # seconds that an id off the list stays known, and that a return is remembered

    def __init__(self, marks: dict[str, Mark] | None = None) -> None:
        self.marks: dict[str, Mark] = dict(marks or {})
        self.entries: dict[str, Entry] = {}  # as discovery last told
        self.addresses: dict[str, Address] = {}
        self.left: dict[str, float] = {}  # ids that are off the list, and since when

    @property
    def out(self) -> list[str]:
        return sorted(id for id, mark in self.marks.items() if mark.out)

    def knows(self, id: str) -> bool:
        return id in self.entries or id in self.left or (id in self.marks and self.marks[id].out)

    def lay(self, answer: DiscoveryResponse, now: float) -> DiscoveryResponse:
        """The same news as the node is to hear it."""
        listed = {entry.backend for entry in answer.entries}
        gone = {entry.backend for entry in answer.entries if entry.state is State.GONE}
        if answer.kind is not ListKind.DELTA:
            gone |= self.entries.keys() - listed
        for entry in answer.entries:
            if entry.state is not State.GONE:
                self.entries[entry.backend] = entry
                self.left.pop(entry.backend, None)
        for id in gone:
            self.entries.pop(id, None)
            self.left.setdefault(id, now)
        self.addresses.update(answer.addresses)
        self._forget(now)
        return DiscoveryResponse(
            answer.version, answer.kind, [self._laid(each) for each in answer.entries], answer.addresses
        )

    def set(self, marks: dict[str, Mark]) -> DiscoveryResponse | None:
        """Takes in later calls, each by its moment; what changes for the node, if anything does."""
        entries: list[Entry] = []
        for id, mark in marks.items():
            before = self.marks.get(id)
            if before is not None and before.at >= mark.at:
                continue
            self.marks[id] = mark
            # Out twice is out, and back again what was never out is no return.
            if mark.out != (before is not None and before.out) and id in self.entries:
                entries.append(self._laid(self.entries[id]))
        if not entries:
            return None
        places = {
            each.backend: self.addresses[each.backend] for each in entries if each.backend in self.addresses
        }
        return DiscoveryResponse(None, ListKind.DELTA, entries, places)

    def warm_from(self, starts: dict[str, float], now: float) -> None:
        """Start times that another process of this node has seen, for ids whose own are older or not told."""
        for id, at in starts.items():
            # A moment that is yet to come is of another clock than this one.
            mark = self.marks.get(id, Mark(False, 0.0))
            if not mark.out and now - self.REMEMBER < at <= now:
                self.marks[id] = Mark(False, max(at, mark.at))

    def _laid(self, entry: Entry) -> Entry:
        mark = self.marks.get(entry.backend)
        if mark is None or entry.state is not State.RUNNING:
            return entry
        if mark.out:
            return entry._replace(state=State.DRAINING)
        return entry._replace(started_at=max(entry.started_at or 0.0, mark.at))

    def _forget(self, now: float) -> None:
        for id in [id for id, since in self.left.items() if now - since > self.REMEMBER]:
            del self.left[id]
            self.addresses.pop(id, None)
        for id in [id for id, mark in self.marks.items() if not mark.out and now - mark.at > self.REMEMBER]:
            del self.marks[id]
