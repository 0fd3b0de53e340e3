"""Wire format of the membership protocol. No I/O.

Every message is one msgpack array that starts with its version. Later versions may append fields and add
kinds of messages and items; unknown ones are ignored, the rest of the message is still used.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # passes any path without fragmentation
MAX_VIEW_BYTES = 4 * 1024 * 1024  # some 40,000 members


class Kind(IntEnum):
    """Kinds of messages."""

    PING = 1
    ACK = 2  # to the ping of the same number
    PING_REQUEST = 3  # asks the receiver to ping `target` and to pass on its ack
    INDIRECT_ACK = 4  # the ack of `target`, passed on; `about`: when `target` last heard the receiver
    ECHO = 5  # from the target of a relayed ping directly to its requester, to test the direct way back
    GOSSIP = 6  # items only
    VIEW = 7  # all items that the sender holds; only over a connection, replied to in kind
    REPORT = 8  # a report without a second witness yet, for the receiver to verify


class State(IntEnum):
    """State of one process of a member. Of the first four the highest wins if all else is equal."""

    ALIVE = 0
    LOST = 2  # silent for the suspicion timeout, according to several witnesses
    ENDED = 3  # two witnesses had a connection refused by its kernel
    LEFT = 4  # announced by itself
    # Reports of one witness, not states.
    SILENT = 10  # a probe failed on all paths
    REFUSED = 11  # a connection was refused
    VOUCHED = 12  # the witness still hears the member


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A state of a member, or the report of one witness about it."""

    name: str
    start: int  # number of the process under this name; higher than any earlier one known
    birth: int  # random: tells processes with the same start apart
    round: int  # incarnation number: raised by the process itself to refute reports
    state: int
    address: str = ""  # host:port
    zone: str = ""
    by: str = ""  # of reports: the witness; of LOST and ENDED: the witnesses, comma-separated
    stamp: int = 0  # of reports: counted up by the witness
    facts: dict[str, str] = {}  # announced by the member itself (digests of program and settings)

    @property
    def process(self) -> tuple[int, int]:
        """Identity of the process; newer processes compare higher."""
        return (self.start, self.birth)

    @property
    def order(self) -> tuple[int, int, int, int]:
        """Precedence among the items of one member."""
        return (self.start, self.birth, self.round, self.state)


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One message. `start`, `birth` and `round` are those of the sender's own item."""

    version: int
    fleet: str
    kind: int
    name: str  # of the sender
    start: int
    birth: int
    round: int
    number: int  # of a ping; its replies carry the same
    target: str = ""  # name of the member that the message is about or for
    digest: int = 0  # of the sender's view
    about: float = -1.0  # seconds since the sender (INDIRECT_ACK: `target`) heard the receiver; -1: never
    address: str = ""  # of the sender
    behalf: str = ""  # of a relayed ping: the member that asked for it
    items: list[Item] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The message as a msgpack array."""
    return _encoder.encode(message)


def encoded_size(item: Item) -> int:
    """Bytes that `item` takes in a message."""
    return len(_encoder.encode(item))


def decode(data: bytes) -> Message | None:
    """The message, or None if `data` is not one or a known field has the wrong type."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError):
        return None


def split_address(text: str) -> tuple[str, int] | None:
    """Host and port of "host:port" or "[host]:port"; None if `text` is neither."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdecimal() and len(port) <= 5 and 0 < int(port) < 65536):
        return None
    return host.strip("[]"), int(port)
