"""Early load shedding: an overloaded node nacks invocations after a minimal parse of their head.

The CPU time of a full parse would be wasted on requests that are refused anyway.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from thornladder.interface import Offering
from thornladder.node import messages

_REQUEST_LINE = re.compile(rb"(?:GET|POST) /([^ /?#\r\n]+)[^ \r\n]* HTTP/1\.1\r\n")
_CONTENT_LENGTH = re.compile(rb"\r\nContent-Length: ?([0-9]{1,6})(?=\r\n)", re.IGNORECASE)
_BUDGET = re.compile(rb"\r\nX-Budget-Ms: ?([0-9]{1,9})(?=\r\n)", re.IGNORECASE)
_UNSUPPORTED = re.compile(rb"\r\n(?:Transfer-Encoding|Expect)[ \t]*:", re.IGNORECASE)

# Called with the offering's name, the client's time left and the time that the request lay unread (seconds);
# returns the Retry-After time in seconds, or None to accept the invocation.
ShedPolicy = Callable[[str, float, float], float | None]


class EarlyShedder:
    """Decides about simple requests from their raw bytes, and encodes the nacks."""

    def __init__(self, offerings: Mapping[str, Offering], shed_policy: ShedPolicy) -> None:
        self.offerings = {name.encode(): offering for name, offering in offerings.items()}
        self.shed_policy = shed_policy

    def nack(self, data: bytes, unread_seconds: float, closing: bool) -> bytes | None:
        """Returns the encoded nack if `data` is one complete simple request that the shed policy refuses.

        Everything else gives None and is left to the full HTTP parser.
        """
        offering = self._match_offering(data)
        if offering is None:
            return None
        budget = _BUDGET.search(data)
        time_left = messages.time_left(budget[1] if budget else None, offering)
        retry_after = self.shed_policy(offering.name, time_left - unread_seconds, unread_seconds)
        return None if retry_after is None else messages.encode_nack(retry_after, closing)

    def is_simple(self, data: bytes) -> bool:
        """Whether `data` is one complete simple request, which costs little to serve."""
        return self._match_offering(data) is not None

    def _match_offering(self, data: bytes) -> Offering | None:
        end = data.find(b"\r\n\r\n") + 4
        head = _REQUEST_LINE.match(data)
        if head is None or end < 4 or _UNSUPPORTED.search(data, 0, end):
            return None
        lengths = _CONTENT_LENGTH.findall(data, 0, end)
        if len(lengths) > 1 or data[:end].lower().count(b"content-length") != len(lengths):
            return None
        if len(data) - end != (int(lengths[0]) if lengths else 0):
            return None
        return self.offerings.get(head[1])
