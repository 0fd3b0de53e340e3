"""Operators' calls to and from small typed values: no I/O, no effects."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple

import h11

from thornladder.fields import MalformedError, get_field, parse_object
from thornladder.node import messages

MOST_HEAD = 8 * 1024  # bytes: an operator's call has a few short lines
MOST_BODY = 4 * 1024  # bytes: one id
MOST_ID = 256  # characters of an id


class Name(Enum):
    STATUS = "/status"
    ENTER = "/maintenance/enter"
    EXIT = "/maintenance/exit"
    STANDBY = "/standby"
    ACTIVE = "/active"
    FURTHER = ""  # of a part beside the node, told apart by its path


_PATHS = {name.value: name for name in Name if name is not Name.FURTHER}
NOTHING: Mapping[str, bytes] = {}


class Call(NamedTuple):
    name: Name
    backend: str = ""  # for maintenance alone
    path: str = ""  # of a further call, and what came with it
    body: bytes = b""


class Verdict(NamedTuple):
    """What a caller is told."""

    status: int
    facts: dict[str, Any]


def no(status: int, why: str) -> Verdict:
    return Verdict(status, {"error": why})


class Reader:
    """Takes in the bytes of one call, cut anywhere, until it is whole or known to be none."""

    def __init__(self, further: Mapping[str, bytes] = NOTHING, most: int = MOST_BODY) -> None:
        """`further`: the method of each call that a part beside the node answers, by path; `most`: bytes."""
        self.further, self.most = further, most
        self.path = ""
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.request: h11.Request | None = None
        self.name = Name.STATUS  # of the call, once its head is read
        self.body = b""

    @property
    def begun(self) -> bool:
        return self.request is not None or bool(self.http.trailing_data[0])

    def take(self, data: bytes) -> Call | Verdict | None:
        """The call, what is wrong with it, or None: more is needed. No bytes stand for the caller's end."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Request):
                    self.request = event
                    if doubt := self._doubt(event):
                        return doubt
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > self.most:
                        return no(413, "the body is too long")
                elif isinstance(event, h11.EndOfMessage):
                    return self._whole()
                else:
                    return no(400, "not a call")
        except (h11.RemoteProtocolError, RuntimeError) as error:
            return no(getattr(error, "error_status_hint", 400), "malformed")

    def wants_more(self) -> bytes:
        """What to say to a caller that waits to be asked for its body."""
        if not self.http.they_are_waiting_for_100_continue:
            return b""
        return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def _doubt(self, request: h11.Request) -> Verdict | None:
        path = self.path = request.target.partition(b"?")[0].decode("latin-1")
        name = _PATHS.get(path, Name.FURTHER if path in self.further else None)
        if name is None:
            return no(404, "no such call")
        self.name = name
        reads = name is Name.STATUS or self.further.get(path) == b"GET"
        wanted = (b"GET", b"HEAD") if reads else (b"POST",)
        if request.method not in wanted:
            return no(405, f"{path} is {wanted[0].decode()}")
        names = [each for each, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            return no(400, "Content-Length and Transfer-Encoding")
        length = dict(request.headers).get(b"content-length", b"0")
        if len(length) > 9 or int(length) > self.most:
            return no(413, "the body is too long")
        return None

    def _whole(self) -> Call | Verdict:
        if self.name is Name.FURTHER:
            return Call(self.name, path=self.path, body=self.body)
        if self.name not in (Name.ENTER, Name.EXIT):
            return Call(self.name)
        try:
            backend = get_field(parse_object(self.body), "host", str)
        except MalformedError as error:
            return no(400, str(error))
        if not 0 < len(backend) <= MOST_ID:
            return no(400, "host must be the id of a backend")
        return Call(self.name, backend)

    def encode(self, verdict: Verdict) -> bytes:
        headers = [(b"Content-Type", b"application/json")]
        if verdict.status == 405:
            headers.append((b"Allow", b"GET, HEAD, POST"))
        body = json.dumps(verdict.facts).encode() + b"\n"
        head, body = messages.encode_response(verdict.status, headers, body, True)
        data = self.http.send(head) or b""
        return data if self.request is not None and self.request.method == b"HEAD" else data + body
