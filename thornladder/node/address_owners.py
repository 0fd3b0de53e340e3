"""Which backend answers at an address: two cannot listen at one, whatever the list still says."""

from __future__ import annotations

from dataclasses import replace

from thornladder.interface import Entry, ListKind, State
from thornladder.node.messages import DiscoveryResponse
from thornladder.settings import Address


class AddressOwners:
    """Takes a backend off the list once another one is listed at its address.

    What is sent to the earlier one would reach the new process: a cold one, in another group, or without any
    memory of what the earlier one has run.
    """

    def __init__(self) -> None:
        self._owners: dict[Address, Entry] = {}
        self._addresses: dict[str, Address] = {}  # by backend id

    def resolve(self, answer: DiscoveryResponse) -> DiscoveryResponse:
        """Returns the answer with those backends as gone whose address another one has taken over.

        Of two at one address the one that started later owns it, or else the one that was listed later.
        """
        if answer.kind is not ListKind.DELTA:
            self._owners.clear()
            self._addresses.clear()
        superseded: dict[str, Entry] = {}
        for entry in answer.entries:
            self._forget(entry.backend)
            address = answer.addresses.get(entry.backend)
            if address is None:
                continue
            owner = self._owners.get(address)
            if owner is not None and _keeps_address(owner, entry):
                superseded[entry.backend] = entry
                continue
            if owner is not None:
                superseded[owner.backend] = owner
                del self._addresses[owner.backend]
            superseded.pop(entry.backend, None)
            self._owners[address], self._addresses[entry.backend] = entry, address
        if not superseded:
            return answer
        kept = [entry for entry in answer.entries if entry.backend not in superseded]
        gone = [entry._replace(state=State.GONE) for entry in superseded.values()]
        addresses = {id: address for id, address in answer.addresses.items() if id not in superseded}
        return replace(answer, entries=kept + gone, addresses=addresses)

    def _forget(self, backend: str) -> None:
        address = self._addresses.pop(backend, None)
        if address is not None:
            del self._owners[address]


def _keeps_address(owner: Entry, other: Entry) -> bool:
    """Whether the owner of an address stays it, though another backend is listed there too."""
    is_older = (other.started_at or 0.0) < (owner.started_at or 0.0)
    return is_older or (other.state is not State.RUNNING and owner.state is State.RUNNING)
