"""Turns invocations away unread but for a glance, while this node is late: what it spends on them is lost."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from thornladder.interface import Offering
from thornladder.node import messages

_HEAD = re.compile(rb"(?:GET|POST) /([^ /?#\r\n]+)[^ \r\n]* HTTP/1\.1\r\n")
_LENGTH = re.compile(rb"\r\nContent-Length: ?([0-9]{1,6})(?=\r\n)", re.IGNORECASE)
_BUDGET = re.compile(rb"\r\nX-Budget-Ms: ?([0-9]{1,9})(?=\r\n)", re.IGNORECASE)
_ODD = re.compile(rb"\r\n(?:Transfer-Encoding|Expect)[ \t]*:", re.IGNORECASE)

# Offering, seconds left to the client, seconds that it lay unread; the time to come back, or None: take it.
ShedPolicy = Callable[[str, float, float], float | None]


class EarlyShedder:
    def __init__(self, offerings: Mapping[str, Offering], shed_policy: ShedPolicy) -> None:
        self.offerings = {name.encode(): offering for name, offering in offerings.items()}
        self.shed_policy = shed_policy

    def nack(self, data: bytes, waited: float, closing: bool) -> bytes | None:
        """The nack to one whole plain invocation that the module turns away; None: it is to be read.

        Whatever is not plainly one whole invocation is left to those that read with care.
        """
        offering = self._plain(data)
        if offering is None:
            return None
        budget = _BUDGET.search(data)
        given = messages.time_left(budget[1] if budget else None, offering)
        come_back = self.shed_policy(offering.name, given - waited, waited)
        return None if come_back is None else messages.encode_nack(come_back, closing)

    def _plain(self, data: bytes) -> Offering | None:
        end = data.find(b"\r\n\r\n") + 4
        head = _HEAD.match(data)
        if head is None or end < 4 or _ODD.search(data, 0, end):
            return None
        lengths = _LENGTH.findall(data, 0, end)
        if len(lengths) > 1 or data[:end].lower().count(b"content-length") != len(lengths):
            return None
        if len(data) - end != (int(lengths[0]) if lengths else 0):
            return None
        return self.offerings.get(head[1])
