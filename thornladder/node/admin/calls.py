"""Decodes operators' HTTP requests into small typed values and encodes the responses: no I/O, no effects."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple

import h11

from thornladder.fields import MalformedError, get_field, parse_object
from thornladder.node import messages

MAX_HEAD_BYTES = 8 * 1024  # a request line and a few headers
MAX_BODY_BYTES = 4 * 1024  # an object with one backend id
MAX_ID_CHARS = 256  # length of a backend id


class Endpoint(Enum):
    """The endpoints, by path."""

    STATUS = "/status"
    ENTER_MAINTENANCE = "/maintenance/enter"
    EXIT_MAINTENANCE = "/maintenance/exit"
    STANDBY = "/standby"
    ACTIVE = "/active"
    EXTENSION = ""  # any endpoint of an extension; the request's path says which


_ENDPOINTS_BY_PATH = {endpoint.value: endpoint for endpoint in Endpoint if endpoint is not Endpoint.EXTENSION}
NO_ENDPOINTS: Mapping[str, bytes] = {}


class AdminRequest(NamedTuple):
    """A complete request. `path` and `body` are set for endpoints of extensions only."""

    endpoint: Endpoint
    backend_id: str = ""  # for maintenance only
    path: str = ""
    body: bytes = b""


class AdminResponse(NamedTuple):
    """A response: HTTP status and the object sent as its JSON body."""

    status: int
    payload: dict[str, Any]


def error_response(status: int, message: str) -> AdminResponse:
    """A response whose body is an object with the key `error`."""
    return AdminResponse(status, {"error": message})


class RequestReader:
    """Parses one request from bytes that arrive in pieces of any size."""

    def __init__(
        self, extra_endpoints: Mapping[str, bytes] = NO_ENDPOINTS, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        """`extra_endpoints`: HTTP method of each endpoint of extensions, by path."""
        self.extra_endpoints, self.max_body_bytes = extra_endpoints, max_body_bytes
        self.path = ""
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.endpoint = Endpoint.STATUS  # of the request, once its head has been read
        self.body = b""

    @property
    def has_data(self) -> bool:
        """Whether any byte has been received."""
        return self.request is not None or bool(self.http.trailing_data[0])

    def receive(self, data: bytes) -> AdminRequest | AdminResponse | None:
        """Takes received bytes; empty ones mean that the client closed its side.

        Returns the request once it is complete, an error response if it is refused, or None: more is needed.
        """
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Request):
                    self.request = event
                    if refusal := self._check_head(event):
                        return refusal
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > self.max_body_bytes:
                        return error_response(413, "the body is too long")
                elif isinstance(event, h11.EndOfMessage):
                    return self._complete_request()
                else:
                    return error_response(400, "not a call")
        except (h11.RemoteProtocolError, RuntimeError) as error:
            return error_response(getattr(error, "error_status_hint", 400), "malformed")

    def continue_response(self) -> bytes:
        """The 100 Continue that a client with `Expect: 100-continue` waits for; empty for other clients."""
        if not self.http.they_are_waiting_for_100_continue:
            return b""
        return self.http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def _check_head(self, request: h11.Request) -> AdminResponse | None:
        path = self.path = request.target.partition(b"?")[0].decode("latin-1")
        endpoint = _ENDPOINTS_BY_PATH.get(path, Endpoint.EXTENSION if path in self.extra_endpoints else None)
        if endpoint is None:
            return error_response(404, "no such call")
        self.endpoint = endpoint
        is_read = endpoint is Endpoint.STATUS or self.extra_endpoints.get(path) == b"GET"
        allowed = (b"GET", b"HEAD") if is_read else (b"POST",)
        if request.method not in allowed:
            return error_response(405, f"{path} is {allowed[0].decode()}")
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            return error_response(400, "Content-Length and Transfer-Encoding")
        length = dict(request.headers).get(b"content-length", b"0")
        if len(length) > 9 or int(length) > self.max_body_bytes:
            return error_response(413, "the body is too long")
        return None

    def _complete_request(self) -> AdminRequest | AdminResponse:
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

    def encode(self, response: AdminResponse) -> bytes:
        """The response as sent; without its body if the request was a HEAD."""
        headers = [(b"Content-Type", b"application/json")]
        if response.status == 405:
            headers.append((b"Allow", b"GET, HEAD, POST"))
        body = json.dumps(response.payload).encode() + b"\n"
        head, body = messages.encode_response(response.status, headers, body, True)
        data = self.http.send(head) or b""
        return data if self.request is not None and self.request.method == b"HEAD" else data + body
