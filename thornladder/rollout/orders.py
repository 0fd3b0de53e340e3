"""What the whole fleet is to run, as one numbered document; what a node holds of it and takes. No I/O.

A document is whole: it has a line for every node, so that the newest one anywhere says what each is to run,
whoever brings it. (number, revision) orders them. A number is one driver's: it must first be granted by more
than half of the written list, and who granted a number takes nothing of a lower one. So at most one driver
ever writes under a number, and an order that was overtaken is refused by the nodes themselves.
"""

from __future__ import annotations

from typing import Any

import msgspec

FORMAT_VERSION = 1
MAX_DOCUMENT_BYTES = 512 * 1024  # bytes


class Variant(msgspec.Struct, frozen=True, omit_defaults=True):
    """Something that nodes can run."""

    name: str
    patch: dict[str, Any] = {}  # on the node's own settings, by RFC 7396
    program: tuple[str, ...] = ()  # words of its command; none: as the keeper's own file says


class Document(msgspec.Struct, frozen=True):
    number: int  # of the change
    revision: int  # from 1; each step of a change is one
    driver: str
    change: str
    variants: list[Variant]
    lines: dict[str, int]  # node to variant
    before: dict[str, int]  # the lines at the change's start, for its undoing
    stands: str  # "going", "hold", "undoing", "done", "undone"
    form: int = FORMAT_VERSION

    @property
    def version(self) -> tuple[int, int]:
        return (self.number, self.revision)


class Claim(msgspec.Struct, frozen=True):
    number: int
    driver: str


NO_CLAIM = Claim(0, "")


class AcceptorState(msgspec.Struct):
    """What one node holds, and the only place where it is decided what it takes."""

    document: Document | None = None
    claim: Claim = NO_CLAIM

    @property
    def version(self) -> tuple[int, int]:
        return self.document.version if self.document else (0, 0)

    def grant(self, claim: Claim) -> str | None:
        """None: granted, for ever. Else why not."""
        if claim == self.claim:
            return None
        highest = max(self.claim.number, self.version[0])
        if claim.number <= highest:
            return f"number {highest} is taken"
        self.claim = claim
        return None

    def accept(self, document: Document) -> str | None:
        """None: it is held from now on, or was already. Else why not."""
        if document.form != FORMAT_VERSION:
            return f"form {document.form} is not understood"
        if document.number < self.claim.number:
            return f"overtaken by number {self.claim.number}"
        if document.version < self.version:
            return f"older than {self.version[0]}.{self.version[1]}"
        self.document = document
        return None


def apply_merge_patch(settings: Any, patch: Any) -> Any:
    """A JSON merge patch: null takes a key away, objects merge, all else replaces."""
    if not isinstance(patch, dict):
        return patch
    result = dict(settings) if isinstance(settings, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = apply_merge_patch(result.get(name), value)
    return result
