"""What members say to each other: one form for every message, its version first. No I/O.

A message is a msgpack array. Later versions may append fields and bring new kinds of message and of item;
both are passed over here, and what can be read of the rest still counts.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

VERSION = 1
MOST_DATAGRAM = 1200  # bytes: passes any path without being cut up
MOST_VIEW = 4 * 1024 * 1024  # bytes of a whole view: some 40,000 members


class Kind(IntEnum):
    PING = 1  # are you there?
    ACK = 2  # I am, to the ping or view of this number
    ASK = 3  # ping `target` for me, and tell me
    TOLD = 4  # `target` answered me (`about` says when it last heard you)
    ECHO = 5  # to one that asks for me by way of others: do you hear me?
    NEWS = 6  # items alone
    VIEW = 7  # all that I hold; over a connection, answered by the same
    WORD = 8  # a word that no second witness has joined yet: see for yourself


class State(IntEnum):
    """Of one process of a member. The first four are ordered: with all else equal the higher one stands."""

    ALIVE = 0
    LOST = 2  # nobody heard of it for the stated time, by more than one witness
    ENDED = 3  # the kernel said so to two witnesses
    LEFT = 4  # it said so itself
    # Words of one witness, not states.
    SILENT = 10
    REFUSED = 11
    VOUCHED = 12


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A state of a member, or what one witness says of it."""

    name: str
    start: int  # counts the processes of this name; above all that is known of earlier ones
    birth: int  # drawn by each process: tells two with the same start apart
    round: int  # raised by the process itself to refute what is said of it
    state: int
    address: str = ""  # host:port
    zone: str = ""
    by: str = ""  # the witness, of words and of LOST and ENDED
    stamp: int = 0  # of words: the witness's own count, later words have higher ones
    facts: dict[str, str] = {}  # what a member tells of itself (digests of program and settings)

    @property
    def process(self) -> tuple[int, int]:
        return (self.start, self.birth)

    @property
    def order(self) -> tuple[int, int, int, int]:
        return (self.start, self.birth, self.round, self.state)


class Message(msgspec.Struct, array_like=True, frozen=True):
    version: int
    fleet: str
    kind: int
    name: str  # of the sender, and its process
    start: int
    birth: int
    round: int
    number: int  # of a ping; what answers it has the same
    target: str = ""  # who is meant
    digest: int = 0  # of the sender's view
    about: float = -1.0  # seconds since the sender (TOLD: `target`) heard the receiver; -1 never
    address: str = ""  # of the sender
    behalf: str = ""  # the member for which a ping is made
    items: list[Item] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def size(item: Item) -> int:
    """Bytes that it takes in a message."""
    return len(_encoder.encode(item))


def decode(data: bytes) -> Message | None:
    """None: garbage, or a message whose fields are of other types than any version since the first has."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError):
        return None


def split_address(text: str) -> tuple[str, int] | None:
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdecimal() and len(port) <= 5 and 0 < int(port) < 65536):
        return None
    return host.strip("[]"), int(port)
