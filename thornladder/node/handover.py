"""State of a node that outlives its process, and a registry of the node's processes."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from enum import Enum
from typing import NamedTuple

from thornladder.fields import MalformedError, get_choice, get_field, get_objects
from thornladder.interface import State
from thornladder.node.maintenance import NO_DEPARTURES, Departures, MaintenanceMark
from thornladder.node.state_files import (
    ANY_DEPLOYMENT,
    FIRST_OWNER,
    OWNER,
    Deployment,
    OwnerChoice,
    StateFile,
    choose_owner,
    state_path,
)

_DEPARTED = {state.value: state for state in (State.DRAINING, State.GONE)}


class Phase(Enum):
    """Stage in the life of a process of this node."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class ProcessStatus(NamedTuple):
    """What a process announces to the other processes of its node."""

    phase: Phase
    descriptors: int  # file descriptors in use
    owner: str | None = FIRST_OWNER  # of the state files that it uses; None: not chosen yet


class ProcessRegistry:
    """The live processes of a node: each holds a lock on a file, which the kernel releases when it exits."""

    MAX_PROCESSES = 8  # two are usual, three while one upgrade follows another
    UNDECIDED_OWNER = "?"

    def __init__(self, folder: str, node: str) -> None:
        self.paths = [state_path(folder, node, f"process-{slot}") for slot in range(self.MAX_PROCESSES)]
        self.owner: str | None = FIRST_OWNER  # of its state files; None: not chosen yet
        self.own_slot: tuple[int, int] | None = None  # slot of this process and the descriptor of its file

    def announce(self, phase: Phase, descriptors: int) -> None:
        """Publishes the state of this process; the first call claims a free slot.

        `descriptors`: how many file descriptors this process uses.
        """
        if self.own_slot is None:
            self.own_slot = next(filter(None, map(self._lock, range(self.MAX_PROCESSES))), None)
        if self.own_slot is not None:
            owner = self.UNDECIDED_OWNER if self.owner is None else self.owner
            text = b"%-16s%-8d%-8s" % (phase.value.encode(), descriptors, owner.encode())
            os.pwrite(self.own_slot[1], text, 0)

    def _lock(self, slot: int) -> tuple[int, int] | None:
        """Locks the file of a slot; None if another process holds it or the folder is not writable."""
        try:
            descriptor = os.open(self.paths[slot], os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError:
            return None  # without any slot, this process counts as the only one
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.ftruncate(descriptor, 0)  # what a process that has ended announced
        except OSError:
            os.close(descriptor)
            return None
        return slot, descriptor

    def others(self) -> list[ProcessStatus]:
        """The state of every other live process of the node."""
        return [status for slot in range(self.MAX_PROCESSES) if (status := self._read_slot(slot)) is not None]

    def _read_slot(self, slot: int) -> ProcessStatus | None:
        """The state of the other process that holds this slot; None if no other process does."""
        if self.own_slot is not None and slot == self.own_slot[0]:
            return None
        try:
            descriptor = os.open(self.paths[slot], os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return None
        except OSError:
            return self._parse(os.pread(descriptor, 32, 0))
        finally:
            os.close(descriptor)

    def _parse(self, text: bytes) -> ProcessStatus:
        """What a process has announced; an older program says nothing of an owner."""
        phase_text, descriptors = text[:16].decode("ascii", "replace").strip(), text[16:24].strip()
        owner = text[24:].decode("ascii", "replace").strip()
        if not text or owner == self.UNDECIDED_OWNER:
            chosen_owner = None
        else:
            chosen_owner = owner if OWNER.fullmatch(owner) else FIRST_OWNER
        # A process that has locked its slot and announced nothing yet has just started.
        phase = next((phase for phase in Phase if phase.value == phase_text), Phase.STARTING)
        return ProcessStatus(phase, int(descriptors) if descriptors.isdigit() else 0, chosen_owner)


class LearnedState(NamedTuple):
    """What a process passes on to the one that takes over from it."""

    ramp_starts: dict[str, float]  # Unix time at which each backend in slow start began it, by backend id
    limit_per_backend: float = 0.0  # concurrency limit per backend, in pushes; 0 if unknown


class LearnedStateStore:
    """Stores the learned state on disk.

    Start times are Unix times and stay valid for any process; the concurrency limit is valid only briefly.
    """

    SUFFIX = "learned"
    MAX_AGE_SECONDS = 10.0  # of the concurrency limit: about as long as the load stays the same

    def __init__(self, folder: str, node: str, deployment: Deployment = ANY_DEPLOYMENT) -> None:
        self.file = StateFile(folder, node, self.SUFFIX, deployment)
        self.saved, self.saved_at = LearnedState({}), -self.MAX_AGE_SECONDS

    def set_deployment(self, deployment: Deployment) -> None:
        """Records another deployment in the file with the next `save`."""
        self.file.deployment = deployment
        self.saved_at = -self.MAX_AGE_SECONDS

    def load(self, now: float) -> LearnedState:
        """The stored state, without what is missing or out of date; `now`: Unix time in seconds."""
        starts: dict[str, float] = {}
        content, limit = self.file.read() or {}, 0.0
        with suppress(MalformedError):
            for item in get_objects(content, "starts"):
                starts[get_field(item, "id", str)] = get_field(item, "at", float)
            if 0.0 <= now - get_field(content, "at", float, 0.0) < self.MAX_AGE_SECONDS:
                limit = max(get_field(content, "room", float, 0.0), 0.0)
        return LearnedState(starts, limit)

    def save(self, learned: LearnedState, now: float) -> None:
        """Writes if start times changed or the last write is more than a second old; raises OSError."""
        if learned.ramp_starts != self.saved.ramp_starts or now - self.saved_at > 1.0:
            items = [{"id": id, "at": at} for id, at in sorted(learned.ramp_starts.items())]
            self.file.write({"starts": items, "room": round(learned.limit_per_backend, 3), "at": now})
            self.saved, self.saved_at = learned, now


class DepartureStore:
    """Stores on disk which backends drain or are gone, for a process that discovery does not answer."""

    SUFFIX = "departures"
    MIN_WRITE_SECONDS = 1.0  # between writes: while a large fleet is replaced, it changes all the time

    def __init__(self, folder: str, node: str, deployment: Deployment = ANY_DEPLOYMENT) -> None:
        self.file = StateFile(folder, node, self.SUFFIX, deployment)
        self.loaded_fingerprint: tuple[int, int] | None = None
        self.saved, self.saved_at = NO_DEPARTURES, -self.MIN_WRITE_SECONDS

    def load_if_changed(self) -> Departures:
        """What is stored, if the file has changed since this object last read it; else none."""
        fingerprint = self.file.fingerprint()
        if fingerprint == self.loaded_fingerprint:
            return NO_DEPARTURES
        self.loaded_fingerprint = fingerprint
        content = self.file.read() or {}
        states: dict[str, State] = {}
        with suppress(MalformedError):
            for item in get_objects(content, "backends"):
                states[get_field(item, "id", str)] = get_choice(_DEPARTED, item, "state")
            return Departures(get_field(content, "version", int), states)
        return NO_DEPARTURES

    def save(self, departures: Departures, now: float) -> None:
        """Writes what has changed, unless the last write is less than a second ago; raises OSError.

        `now`: Unix time in seconds.
        """
        if departures == self.saved or 0.0 <= now - self.saved_at < self.MIN_WRITE_SECONDS:
            return
        backends = [{"id": id, "state": state.value} for id, state in sorted(departures.states.items())]
        self.file.write({"version": departures.version, "backends": backends})
        self.saved, self.saved_at = departures, now


class MaintenanceStore:
    """Stores the last maintenance call for each backend id on disk.

    Several processes may write to the file; the later call wins.
    """

    SUFFIX = "maintenance"

    def __init__(self, folder: str, node: str, deployment: Deployment = ANY_DEPLOYMENT) -> None:
        self.file = StateFile(folder, node, self.SUFFIX, deployment)
        self.loaded_fingerprint: tuple[int, int] | None = None
        # What the file is known to hold: its fingerprint, the deployment and the marks.
        self.kept: tuple[tuple[int, int] | None, Deployment, dict[str, MaintenanceMark]] | None = None

    def keep(self, owed: dict[str, MaintenanceMark]) -> None:
        """Makes the file hold these marks, and record the current deployment, where it does not.

        A process that finds no other alive knows its files by the deployment. Raises OSError:
        BlockingIOError while another process writes.
        """
        if self.kept == (self.file.fingerprint(), self.file.deployment, owed):
            return
        stored = self._stored_marks()
        lost = any(id not in stored or stored[id].set_at < mark.set_at for id, mark in owed.items())
        if lost or not self.file.records_deployment():
            self.merge(owed, wait=False)
        self.kept = self.file.fingerprint(), self.file.deployment, owed

    def load(self) -> dict[str, MaintenanceMark]:
        """The stored marks by backend id."""
        self.loaded_fingerprint = self.file.fingerprint()
        return self._stored_marks()

    def _stored_marks(self) -> dict[str, MaintenanceMark]:
        content = self.file.read()
        marks: dict[str, MaintenanceMark] = {}
        with suppress(MalformedError):
            for item in get_objects(content or {}, "marks"):
                marks[get_field(item, "id", str)] = MaintenanceMark(
                    get_field(item, "out", bool), get_field(item, "at", float)
                )
        return marks

    def load_if_changed(self) -> dict[str, MaintenanceMark]:
        """The stored marks if the file has changed since this object last read it; empty otherwise."""
        return self.load() if self.file.fingerprint() != self.loaded_fingerprint else {}

    def merge(self, marks: dict[str, MaintenanceMark], wait: bool = True) -> None:
        """Stores the marks that are later than the stored ones for their ids; raises OSError.

        `wait`: while another process writes; otherwise that raises BlockingIOError.
        """
        with self._locked(wait):
            stored = self.load()
            for id, mark in marks.items():
                if id not in stored or mark.set_at > stored[id].set_at:
                    stored[id] = mark
            self.file.write(
                {
                    "marks": [
                        {"id": id, "out": mark.out_of_service, "at": mark.set_at}
                        for id, mark in sorted(stored.items())
                    ]
                }
            )

    @contextmanager
    def _locked(self, wait: bool) -> Iterator[None]:
        """Holds the lock that serializes the writers; raises OSError."""
        lock_path = self.file.path.with_name(f"{self.file.path.name}-lock")
        descriptor = os.open(lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            # Other writers write one small file each.
            fcntl.flock(descriptor, fcntl.LOCK_EX if wait else fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield
        finally:
            os.close(descriptor)


def choose_state_owner(
    folder: str, node: str, deployment: Deployment, other_processes: list[ProcessStatus]
) -> OwnerChoice:
    """Chooses the owner whose state files a starting process uses, given the node's other processes."""
    serving_first = sorted(other_processes, key=lambda other: other.phase is not Phase.SERVING)
    live_owners = [other.owner for other in serving_first if other.owner is not None]
    suffixes = (MaintenanceStore.SUFFIX, LearnedStateStore.SUFFIX, DepartureStore.SUFFIX)
    return choose_owner(folder, node, suffixes, deployment, live_owners)
