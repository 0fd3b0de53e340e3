"""Operators' calls to and from small typed values: no I/O, no effects."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple

import h11

from thornladder.fields import MalformedError, get_field, parse_object
from thornladder.node import messages

MAX_HEAD_BYTES = 8 * 1024  # bytes: an operator's call has a few short lines
MAX_BODY_BYTES = 4 * 1024  # bytes: one id
MAX_ID_CHARS = 256  # characters of an id


class Endpoint(Enum):
    STATUS = "/status"
    ENTER_MAINTENANCE = "/maintenance/enter"
    EXIT_MAINTENANCE = "/maintenance/exit"
    STANDBY = "/standby"
    ACTIVE = "/active"
    EXTENSION = ""  # of a part beside the node, told apart by its path


_PATHS = {name.value: name for name in Endpoint if name is not Endpoint.EXTENSION}
NOTHING: Mapping[str, bytes] = {}


class AdminRequest(NamedTuple):
    endpoint: Endpoint
    backend_id: str = ""  # for maintenance alone
    path: str = ""  # of a further call, and what came with it
    body: bytes = b""


class AdminResponse(NamedTuple):
    """What a caller is told."""

    status: int
    facts: dict[str, Any]


def error_response(status: int, why: str) -> AdminResponse:
    return AdminResponse(status, {"error": why})


class RequestReader:
    """Takes in the bytes of one call, cut anywhere, until it is whole or known to be none."""

    def __init__(self, further: Mapping[str, bytes] = NOTHING, most: int = MAX_BODY_BYTES) -> None:
        """`further`: the method of each call that a part beside the node answers, by path; `most`: bytes."""
        self.further, self.most = further, most
        self.path = ""
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.endpoint = Endpoint.STATUS  # of the call, once its head is read
        self.body = b""

    @property
    def begun(self) -> bool:
        return self.request is not None or bool(self.http.trailing_data[0])

    def take(self, data: bytes) -> AdminRequest | AdminResponse | None:
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
                        return error_response(413, "the body is too long")
                elif isinstance(event, h11.EndOfMessage):
                    return self._whole()
                else:
                    return error_response(400, "not a call")
        except (h11.RemoteProtocolError, RuntimeError) as error:
            return error_response(getattr(error, "error_status_hint", 400), "malformed")

    def wants_more(self) -> bytes:
        """What to say to a caller that waits to be asked for its body."""
        if not self.http.they_are_waiting_for_100_continue:
            return b""
        return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def _doubt(self, request: h11.Request) -> AdminResponse | None:
        path = self.path = request.target.partition(b"?")[0].decode("latin-1")
        name = _PATHS.get(path, Endpoint.EXTENSION if path in self.further else None)
        if name is None:
            return error_response(404, "no such call")
        self.endpoint = name
        reads = name is Endpoint.STATUS or self.further.get(path) == b"GET"
        wanted = (b"GET", b"HEAD") if reads else (b"POST",)
        if request.method not in wanted:
            return error_response(405, f"{path} is {wanted[0].decode()}")
        names = [each for each, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            return error_response(400, "Content-Length and Transfer-Encoding")
        length = dict(request.headers).get(b"content-length", b"0")
        if len(length) > 9 or int(length) > self.most:
            return error_response(413, "the body is too long")
        return None

    def _whole(self) -> AdminRequest | AdminResponse:
        if self.endpoint is Endpoint.EXTENSION:
            return AdminRequest(self.endpoint, path=self.path, body=self.body)
        if self.endpoint not in (Endpoint.ENTER_MAINTENANCE, Endpoint.EXIT_MAINTENANCE):
            return AdminRequest(self.endpoint)
        try:
            backend = get_field(parse_object(self.body), "host", str)
        except MalformedError as error:
            return error_response(400, str(error))
        if not 0 < len(backend) <= MAX_ID_CHARS:
            return error_response(400, "host must be the id of a backend")
        return AdminRequest(self.endpoint, backend)

    def encode(self, verdict: AdminResponse) -> bytes:
        headers = [(b"Content-Type", b"application/json")]
        if verdict.status == 405:
            headers.append((b"Allow", b"GET, HEAD, POST"))
        body = json.dumps(verdict.facts).encode() + b"\n"
        head, body = messages.encode_response(verdict.status, headers, body, True)
        data = self.http.send(head) or b""
        return data if self.request is not None and self.request.method == b"HEAD" else data + body
