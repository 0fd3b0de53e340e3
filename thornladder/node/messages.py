"""Decodes HTTP messages into typed values and encodes them; the wire protocol's names are used only here."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import h11

from thornladder import interface as api
from thornladder.fields import MalformedError, get_choice, get_field, get_objects, get_optional, parse_object
from thornladder.node.flow import BodyPipe
from thornladder.node.memory.budget import Reservation
from thornladder.settings import Address, parse_address, parse_load_report

MAX_BUFFERED_BYTES = 64 * 1024  # bodies up to this size are buffered, larger ones streamed
MAX_BODY_BYTES = 33 * 1024 * 1024  # covers 32 MB in every common meaning of the unit
MAX_HEAD_FIELDS = (
    128  # of a request or response; each costs its process some hundred bytes while it is parsed
)
Headers = list[tuple[bytes, bytes]]

READY_PATH, LIVE_PATH, LOAD_PATH = b"/health/ready", b"/health/live", b"/stats"
LIST_PATH = "/registry/instances"
_STATES = {"in_service": api.State.RUNNING, "terminating": api.State.DRAINING, "terminated": api.State.GONE}
# Hop-by-hop headers, and those that are written anew for the next hop.
_NOT_FORWARDED = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect", b"x-budget-ms")
)  # fmt: skip
_HEAD_END = re.compile(rb"\n\r?\n")
_CALL_ID = re.compile(rb"[\x21-\x7e]{1,128}")
_CONTENT_LENGTH = re.compile(rb"\n(?i:content-length)[ \t]*:[ \t]*([^\r\n]*)")
_UNIQUE_HEADERS = (b"x-call-id", b"x-budget-ms", b"x-caller", b"x-again", b"transfer-encoding")
_KEY_PARAMETER = re.compile(rb"(?:^|&)key=([0-9a-fA-F]{1,16})(?:&|$)")


@dataclass(frozen=True, slots=True)
class PackedHeaders:
    """Header fields as one string: a list of pairs takes several times as much memory."""

    data: bytes

    @classmethod
    def pack(cls, headers: Iterable[tuple[bytes, bytes]]) -> PackedHeaders:
        """Packs fields that h11 has checked: no name holds a colon, and nothing a line end."""
        return cls(b"\n".join(b"%s:%s" % field for field in headers))

    def unpack(self) -> Headers:
        """The fields in their order."""
        lines = self.data.split(b"\n") if self.data else []
        return [(name, value) for name, _, value in (line.partition(b":") for line in lines)]


class RequestHead:
    """The head of a client's request, in little memory."""

    __slots__ = ("method", "target", "packed_headers")

    def __init__(self, request: h11.Request) -> None:
        self.method, self.target = bytes(request.method), bytes(request.target)
        self.packed_headers = PackedHeaders.pack(request.headers)

    @property
    def headers(self) -> Headers:
        """The header fields, with names in lower case."""
        return self.packed_headers.unpack()


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to a backend: a client's, forwarded without its hop-by-hop headers, or a probe."""

    method: bytes
    target: bytes
    headers: PackedHeaders
    body: bytes  # empty if it is streamed
    body_pipe: BodyPipe | None = None
    length: int | None = None  # of a streamed body, in bytes; None if the sender gave none


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A client's request that is rejected, with the status and text of the response."""

    status: int
    message: str


class FinalOutcome(Enum):
    """How an invocation ended for its client."""

    COMPLETED = "completed"
    NACKED = "nacked"
    TERMINATED = "terminated"


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """The final response to an invocation; headers and body are those of a completed one."""

    outcome: FinalOutcome
    retry_after: float = 0.0  # seconds, of a nack; 0: not sent
    headers: Headers | None = None
    body: bytes = b""
    body_pipe: BodyPipe | None = None
    length: int | None = None
    reservation: Reservation | None = None  # of the memory that `body` takes until it is written


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A response to a request of this node, from a backend or from discovery."""

    status: int
    headers: Headers
    body: bytes
    body_pipe: BodyPipe | None = None
    length: int | None = None
    reservation: Reservation | None = None  # of the memory that `body` takes


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """An answer from discovery: the whole backend list, or its changes since a version."""

    version: int | None
    kind: api.ListKind
    entries: list[api.Entry]
    addresses: dict[str, Address]


def _forwarded_headers(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in _NOT_FORWARDED]


# Clients.


def check_head(request: h11.Request, head: bytes) -> BadRequest | None:
    """Checks a request head that h11 accepts for ambiguities; `head` is its raw bytes.

    Rejects what a backend could frame differently (request smuggling), and repeated headers of which it could
    read another one than this node does.
    """
    names = [name for name, _ in request.headers]
    lengths = [value.strip() for value in _CONTENT_LENGTH.findall(head)]
    if lengths and b"transfer-encoding" in names:
        return BadRequest(400, "Content-Length and Transfer-Encoding")
    if len(lengths) > 1 or not all(value.isdigit() for value in lengths):
        return BadRequest(400, "more than one Content-Length")
    if lengths and int(lengths[0]) > MAX_BODY_BYTES:
        return BadRequest(413, "the body is too long")
    repeated = next((name for name in _UNIQUE_HEADERS if names.count(name) > 1), None)
    return BadRequest(400, f"more than one {repeated.decode()}") if repeated else None


def has_too_many_fields(data: bytes) -> bool:
    """Whether `data`, which begins with a message's head, whole or not, has more than MAX_HEAD_FIELDS."""
    end = _HEAD_END.search(data)
    # The first line is no field.
    return data.count(b"\n", 0, len(data) if end is None else end.start() + 1) > MAX_HEAD_FIELDS + 1


def decode_invocation(
    request: RequestHead,
    body: bytes,
    offerings: Mapping[str, api.Offering],
    body_pipe: BodyPipe | None = None,
) -> tuple[api.Invocation, UpstreamRequest] | BadRequest:
    """Decodes a request for an invocation; `body_pipe` is set if the rest of its body is streamed."""
    headers = request.headers
    header_values = dict(headers)
    path, _, query = request.target.partition(b"?")
    name = path.split(b"/", 2)[1].decode("ascii", "replace") if path.startswith(b"/") else ""
    offering = offerings.get(name)
    if offering is None:
        return BadRequest(404, "unknown offering")
    call_id = header_values.get(b"x-call-id", b"")
    if not _CALL_ID.fullmatch(call_id):
        return BadRequest(400, "X-Call-Id is missing or malformed")
    budget = header_values.get(b"x-budget-ms")
    if budget is not None and not (budget.isdigit() and len(budget) <= 9):
        return BadRequest(400, "X-Budget-Ms must be whole milliseconds")
    invocation = api.Invocation(
        id=call_id.decode(),
        offering=name,
        tenant=header_values.get(b"x-caller", b"").decode("latin-1"),
        time_left=time_left(budget, offering),
        key=_parse_key(query),
        is_retry=header_values.get(b"x-again") == b"1",
        streaming=body_pipe is not None,
    )
    length = (
        int(header_values[b"content-length"])
        if body_pipe is not None and b"content-length" in header_values
        else None
    )
    forwarded_headers = PackedHeaders.pack(_forwarded_headers(headers))
    return invocation, UpstreamRequest(
        request.method, request.target, forwarded_headers, body, body_pipe, length
    )


def time_left(budget: bytes | None, offering: api.Offering) -> float:
    """Returns the client's time in seconds: `budget` (milliseconds in digits), capped by the cut-off."""
    return offering.cut_off if budget is None else min(int(budget) / 1000.0, offering.cut_off)


def _parse_key(query: bytes) -> int | None:
    match = _KEY_PARAMETER.search(query)
    return int(match[1], 16) if match else None


def encode_client_response(response: ClientResponse, closing: bool) -> tuple[h11.Response, bytes]:
    """Encodes the head of a final response; `closing`: it is the last on its connection."""
    headers: Headers = []
    body = response.body
    if response.outcome is FinalOutcome.COMPLETED:
        status = 200
        headers += _forwarded_headers(response.headers or [])
    elif response.outcome is FinalOutcome.NACKED:
        status, body = 503, b"nacked\n"
        if response.retry_after > 0.0:
            headers.append((b"Retry-After", b"%.3f" % response.retry_after))
    else:
        status, body = 502, b"terminated\n"
    return encode_response(status, headers, body, closing, response.body_pipe is not None, response.length)


def encode_text_response(status: int, text: str, closing: bool) -> tuple[h11.Response, bytes]:
    """Encodes a response that concerns no invocation: to a health check or a bad request."""
    return encode_response(status, [(b"Content-Type", b"text/plain")], text.encode() + b"\n", closing)


def encode_response(
    status: int,
    headers: Headers,
    body: bytes,
    closing: bool,
    streaming: bool = False,
    length: int | None = None,
) -> tuple[h11.Response, bytes]:
    """Returns a response head, with its framing headers added to `headers`, and its body."""
    if not streaming or length is not None:  # without a length it is chunked, or ends with its connection
        headers.append((b"Content-Length", b"%d" % (len(body) if length is None else length)))
    if closing:
        headers.append((b"Connection", b"close"))
    return h11.Response(status_code=status, headers=headers, reason=_REASON_PHRASES.get(status, b"")), body


def encode_nack(retry_after: float, closing: bool) -> bytes:
    """Encodes a whole nack as raw bytes, for requests that are shed before h11 parses them."""
    retry_after_line = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0.0 else b""
    connection_line = b"Connection: close\r\n" if closing else b""
    return b"HTTP/1.1 503 Service Unavailable\r\n%s%sContent-Length: 7\r\n\r\nnacked\n" % (
        retry_after_line,
        connection_line,
    )


# Sent when encoding a response fails.
FALLBACK_RESPONSE = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
# Sent where a request has not come whole and nothing more is read of it.
INCOMPLETE_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


# Backends.

HEALTH_PROBE = UpstreamRequest(b"GET", LIVE_PATH, PackedHeaders(b""), b"")
LOAD_PROBE = UpstreamRequest(b"GET", LOAD_PATH, PackedHeaders(b""), b"")
MAX_LOAD_REPORT_BYTES = 4096  # a load report holds at most four values


def encode_push(request: UpstreamRequest, time_left: float, host: str) -> h11.Request:
    """Encodes a push; `time_left` (seconds) is sent as the backend's time budget."""
    headers = request.headers.unpack()
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"Host", host.encode()))  # HTTP/1.0 clients may send none
    headers.append((b"X-Budget-Ms", b"%d" % max(int(time_left * 1000.0), 1)))
    if request.body_pipe is not None and request.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif request.body_pipe is not None:
        headers.append((b"Content-Length", b"%d" % request.length))
    elif request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return h11.Request(method=request.method, target=request.target, headers=headers)


def outcome_of(response: UpstreamResponse) -> api.Outcome:
    """Classifies a backend's response to a push."""
    if response.status == 200:
        return api.Outcome.COMPLETED
    if response.status in (503, 504) and (b"x-rejected", b"1") in response.headers:
        return api.Outcome.REJECTED
    return api.Outcome.ERROR


def decode_load_report(body: bytes) -> api.LoadReport:
    """Decodes the load report in a probe's response; an invalid one gives `NO_REPORT`."""
    try:
        return parse_load_report(parse_object(body) if len(body) <= MAX_LOAD_REPORT_BYTES else None)
    except MalformedError:
        return api.NO_REPORT


def completed_response(response: UpstreamResponse) -> ClientResponse:
    """Returns the final response that forwards a backend's to the client."""
    return ClientResponse(
        FinalOutcome.COMPLETED,
        0.0,
        response.headers,
        response.body,
        response.body_pipe,
        response.length,
        response.reservation,
    )


# Discovery.


def encode_list_request(host: str, version: int | None, wait: float) -> h11.Request:
    """Encodes a request for the backend list: a long poll of `wait` seconds if a `version` is known."""
    target = LIST_PATH if version is None else f"{LIST_PATH}?from={version}&hold_ms={round(wait * 1000.0)}"
    return h11.Request(method=b"GET", target=target.encode(), headers=[(b"Host", host.encode())])


# The state of a node that has never had a list: it requests the whole one.
EMPTY_LIST = DiscoveryResponse(None, api.ListKind.SNAPSHOT, [], {})


def decode_list(body: bytes | dict[str, Any]) -> DiscoveryResponse:
    """Decodes an answer from discovery. Raises MalformedError."""
    document = parse_object(body) if isinstance(body, bytes) else body
    is_snapshot = get_field(document, "reset", bool, False)
    response = DiscoveryResponse(
        version=get_field(document, "generation", int),
        kind=api.ListKind.SNAPSHOT if is_snapshot else api.ListKind.DELTA,
        entries=[],
        addresses={},
    )
    for instance in get_objects(document, "instances"):
        instance_id = get_field(instance, "instanceId", str)
        started_at_ms = get_field(instance, "startedAtMs", int, 0)
        entry = api.Entry(
            backend=instance_id,
            state=get_choice(_STATES, instance, "lifecycle"),
            zone=get_field(instance, "zone", str, ""),
            cell=get_optional(instance, "cell", int),
            weight=get_optional(instance, "weight", float),
            started_at=started_at_ms / 1000.0 if started_at_ms else None,
            machine=get_field(instance, "machineType", str, ""),
        )
        response.entries.append(entry)
        if entry.state is not api.State.GONE:
            response.addresses[instance_id] = parse_address(get_field(instance, "hostPort", str))
    return response
