"""Messages that nodes exchange about budgets. No I/O."""

from __future__ import annotations

from enum import IntEnum

import msgspec

VERSION = 1


class Kind(IntEnum):
    """Type of a message."""

    PROMISE_REQUEST = 1  # a candidate or leader asks for the receiver's promise and report
    PROMISE = 2  # the promise, with the most units that the sender may hold and its demand
    GRANT = 3  # the receiver's allocations from now on


class Message(msgspec.Struct, array_like=True, frozen=True):
    """A datagram between two processes; `name` and `birth` identify the sending one."""

    version: int
    fleet: str
    kind: int
    name: str  # node of the sender
    birth: int  # random number of the sender's process (its incarnation)
    term: int
    at: float  # send time by the sender's clock
    echo: float = 0.0  # `at` of the message that this one answers, by the receiver's clock
    to_birth: int = 0  # incarnation that the message is addressed to
    seq: int = 0  # of a grant; in a promise that of the applied grant, 0 if it is of an earlier term
    parts: list[int] = []  # allocation per budget
    cans: list[int] = []  # most leased units that the sender uses or may use, per budget
    wants: list[int] = []  # demand per budget
