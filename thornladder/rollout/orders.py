"""The versioned document of what the whole fleet runs, and the rules by which a node accepts it. No I/O.

A document is complete: it assigns a variant to every node, so the newest document found anywhere says what
each node is to run, whoever delivers it. Documents are ordered by (number, revision). A number belongs to one
driver: a majority of the nodes listed in the plan must first grant its claim to the number, and a node that
has granted a number accepts no document with a lower one. So at most one driver ever writes under a number,
and the nodes themselves fence off superseded drivers.
"""

from __future__ import annotations

from typing import Any

import msgspec

FORMAT_VERSION = 1
MAX_DOCUMENT_BYTES = 512 * 1024


class Variant(msgspec.Struct, frozen=True, omit_defaults=True):
    """A combination of program and settings that nodes can run."""

    name: str
    patch: dict[str, Any] = {}  # JSON merge patch (RFC 7396) on the node's own settings
    program: tuple[str, ...] = ()  # command line; empty: the one in the keeper's own file


class Document(msgspec.Struct, frozen=True):
    """What every node of the fleet is to run, as of one step of a change."""

    number: int  # of the change
    revision: int  # within the change, from 1
    driver: str
    change: str
    variants: list[Variant]
    lines: dict[str, int]  # node to index of its variant
    before: dict[str, int]  # `lines` before the change, for a rollback
    stands: str  # "going", "hold", "undoing", "done", "undone"
    form: int = FORMAT_VERSION

    @property
    def version(self) -> tuple[int, int]:
        return (self.number, self.revision)


class Claim(msgspec.Struct, frozen=True):
    """A driver's claim to a change number."""

    number: int
    driver: str


NO_CLAIM = Claim(0, "")


class AcceptorState(msgspec.Struct):
    """One node's document and granted claim; all decisions on accepting others are made here."""

    document: Document | None = None
    claim: Claim = NO_CLAIM

    @property
    def version(self) -> tuple[int, int]:
        return self.document.version if self.document else (0, 0)

    def grant(self, claim: Claim) -> str | None:
        """Grants a claim permanently and returns None, or returns why it is refused."""
        if claim == self.claim:
            return None
        highest = max(self.claim.number, self.version[0])
        if claim.number <= highest:
            return f"number {highest} is taken"
        self.claim = claim
        return None

    def accept(self, document: Document) -> str | None:
        """Stores a document, also one that it has already, and returns None, or returns why it is refused."""
        if document.form != FORMAT_VERSION:
            return f"form {document.form} is not understood"
        if document.number < self.claim.number:
            return f"overtaken by number {self.claim.number}"
        if document.version < self.version:
            return f"older than {self.version[0]}.{self.version[1]}"
        self.document = document
        return None


def apply_merge_patch(settings: Any, patch: Any) -> Any:
    """Returns `settings` with a JSON merge patch (RFC 7396) applied; the arguments are left unchanged."""
    if not isinstance(patch, dict):
        return patch
    result = dict(settings) if isinstance(settings, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = apply_merge_patch(result.get(name), value)
    return result
