"""Backends that operators take out of service by hand, overlaid on the list of discovery. No I/O.

A backend that is out of service is listed as draining whatever discovery says. Operators restart what they
take out, so one that is put back gets the time of that call as its start time, unless its own is later: it
goes through slow start.
"""

from __future__ import annotations

from typing import NamedTuple

from thornladder.interface import Entry, ListKind, State
from thornladder.node.messages import DiscoveryResponse
from thornladder.settings import Address


class MaintenanceMark(NamedTuple):
    """The last maintenance call for one backend."""

    out_of_service: bool
    set_at: float  # Unix time of the call, seconds


class RemovedBackend(NamedTuple):
    """A backend that has left the list."""

    entry: Entry  # the last one
    at: float  # Unix time
    was_draining: bool  # when it left


class Departures(NamedTuple):
    """Which backends a process of a node was told to drain or gone."""

    version: int  # of the list by which it was told
    states: dict[str, State]  # by backend id


NO_DEPARTURES = Departures(0, {})


class Maintenance:
    """Applies maintenance marks to endpoint lists; knows the last list of discovery."""

    RETENTION_SECONDS = 3600.0  # for ids that left the list, and for marks of backends put back

    def __init__(self, marks: dict[str, MaintenanceMark] | None = None) -> None:
        self.marks: dict[str, MaintenanceMark] = dict(marks or {})  # by id
        self.entries: dict[str, Entry] = {}  # as discovery listed them last
        self.addresses: dict[str, Address] = {}
        self.version: int | None = None  # of the list; None: not known
        self.removed: dict[str, RemovedBackend] = {}  # those that left the list lately, by id
        self._departures: Departures | None = None  # None: the list has changed since they were computed

    @property
    def out_of_service(self) -> list[str]:
        return sorted(id for id, mark in self.marks.items() if mark.out_of_service)

    def knows(self, id: str) -> bool:
        """Whether the id is listed, was listed lately, or is out of service."""
        return (
            id in self.entries or id in self.removed or (id in self.marks and self.marks[id].out_of_service)
        )

    def apply(self, answer: DiscoveryResponse, now: float) -> DiscoveryResponse:
        """Records a response of discovery and returns it with the marks applied; `now` is Unix time."""
        self._departures = None
        listed = {entry.backend for entry in answer.entries}
        gone = {entry.backend: entry for entry in answer.entries if entry.state is State.GONE}
        if answer.kind is not ListKind.DELTA:
            gone |= {id: entry for id, entry in self.entries.items() if id not in listed}
        for entry in answer.entries:
            if entry.state is not State.GONE:
                self.entries[entry.backend] = entry
                self.removed.pop(entry.backend, None)
        for id, entry in gone.items():
            before = self.entries.pop(id, None)
            was_draining = before is not None and before.state is State.DRAINING
            self.removed.setdefault(id, RemovedBackend(entry, now, was_draining))
        if answer.version is not None:
            self.version = answer.version
        self.addresses.update(answer.addresses)
        self._expire(now)
        return DiscoveryResponse(
            answer.version, answer.kind, [self._overlay(entry) for entry in answer.entries], answer.addresses
        )

    def update(self, marks: dict[str, MaintenanceMark]) -> DiscoveryResponse | None:
        """Takes the marks that are later than the known ones; returns the entries that change, or None."""
        entries: list[Entry] = []
        for id, mark in marks.items():
            before = self.marks.get(id)
            if before is not None and before.set_at >= mark.set_at:
                continue
            self.marks[id] = mark
            # Only a real change counts: a backend that was in service is not put back, so it does not ramp.
            if mark.out_of_service == (before is not None and before.out_of_service):
                continue
            if id in self.entries:
                entries.append(self._overlay(self.entries[id]))
            elif id in self.removed and mark.out_of_service:
                # It may still be in use where only a drain binds.
                entries.append(self.removed[id].entry._replace(state=State.DRAINING))
        if not entries:
            return None
        addresses = {
            entry.backend: self.addresses[entry.backend]
            for entry in entries
            if entry.backend in self.entries and entry.backend in self.addresses
        }
        return DiscoveryResponse(None, ListKind.DELTA, entries, addresses)

    @property
    def departures(self) -> Departures:
        """The backends that discovery has told to drain, or as gone."""
        if self._departures is None:
            self._departures = self._compute_departures()
        return self._departures

    def _compute_departures(self) -> Departures:
        states = {
            id: State.DRAINING if removed.was_draining else State.GONE for id, removed in self.removed.items()
        }
        draining = {id for id, entry in self.entries.items() if entry.state is State.DRAINING}
        return Departures(self.version or 0, {**states, **dict.fromkeys(draining, State.DRAINING)})

    def take_departures(self, departures: Departures, now: float) -> DiscoveryResponse | None:
        """Takes in what another process of this node was told later than the list that this one has.

        Returns the entries that change, or None. `now` is Unix time.
        """
        if self.version is None or departures.version <= self.version:
            return None
        entries = [
            entry._replace(state=departures.states[id])
            for id, entry in self.entries.items()
            if entry.state is State.RUNNING and id in departures.states
        ]
        return self.apply(DiscoveryResponse(None, ListKind.DELTA, entries, {}), now) if entries else None

    def restore_ramp_starts(self, starts: dict[str, float], now: float) -> None:
        """Takes start times from another process of this node, for ids whose own are older or unknown."""
        for id, started_at in starts.items():
            # A time in the future comes from a clock that differs from this one.
            mark = self.marks.get(id, MaintenanceMark(False, 0.0))
            if not mark.out_of_service and now - self.RETENTION_SECONDS < started_at <= now:
                self.marks[id] = MaintenanceMark(False, max(started_at, mark.set_at))

    def _overlay(self, entry: Entry) -> Entry:
        mark = self.marks.get(entry.backend)
        if mark is None or entry.state is not State.RUNNING:
            return entry
        if mark.out_of_service:
            return entry._replace(state=State.DRAINING)
        return entry._replace(started_at=max(entry.started_at or 0.0, mark.set_at))

    def _expire(self, now: float) -> None:
        for id in [id for id, removed in self.removed.items() if now - removed.at > self.RETENTION_SECONDS]:
            del self.removed[id]
            self.addresses.pop(id, None)
        for id in [
            id
            for id, mark in self.marks.items()
            if not mark.out_of_service and now - mark.set_at > self.RETENTION_SECONDS
        ]:
            del self.marks[id]
