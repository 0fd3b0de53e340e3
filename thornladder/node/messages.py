"""HTTP messages to and from small typed values, decoded once and encoded once. PROTOCOL's words end here."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import h11

from thornladder import interface as api
from thornladder.fields import MalformedError, get_choice, get_field, get_objects, get_optional, parse_object
from thornladder.node.flow import BodyPipe
from thornladder.settings import Address, parse_address, parse_load_report

MAX_BUFFERED_BYTES = 64 * 1024  # bytes: bodies up to here are kept whole, larger ones flow through
MAX_BODY_BYTES = 33 * 1024 * 1024  # bytes: 32 MB, and what anybody may mean by that
Headers = list[tuple[bytes, bytes]]

READY_PATH, LIVE_PATH, LOAD_PATH = b"/health/ready", b"/health/live", b"/stats"
LIST_PATH = "/registry/instances"
STATES = {"in_service": api.State.RUNNING, "terminating": api.State.DRAINING, "terminated": api.State.GONE}
# They belong to one connection, or are written anew on the next.
_OWN_TO_A_CONNECTION = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect", b"x-budget-ms")
)  # fmt: skip
_ID = re.compile(rb"[\x21-\x7e]{1,128}")
_LENGTH = re.compile(rb"\n(?i:content-length)[ \t]*:[ \t]*([^\r\n]*)")
_READ_HERE = (b"x-call-id", b"x-budget-ms", b"x-caller", b"x-again", b"transfer-encoding")
_KEY = re.compile(rb"(?:^|&)key=([0-9a-fA-F]{1,16})(?:&|$)")


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """What goes on to a backend as it came."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes  # of one that flows what has come of it so far
    body_pipe: BodyPipe | None = None
    length: int | None = None  # bytes in all, where the flow's sender told


@dataclass(frozen=True, slots=True)
class BadRequest:
    """What a client sent cannot be taken."""

    status: int
    message: str


class FinalOutcome(Enum):
    COMPLETED = "completed"
    NACKED = "nacked"
    TERMINATED = "terminated"


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """The final answer to an invocation."""

    outcome: FinalOutcome
    retry_after: float = 0.0
    headers: Headers | None = None
    body: bytes = b""
    body_pipe: BodyPipe | None = None
    length: int | None = None


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """What came back on a connection on which this node asked."""

    status: int
    headers: Headers
    body: bytes
    body_pipe: BodyPipe | None = None
    length: int | None = None


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """What discovery has told."""

    version: int | None
    kind: api.ListKind
    entries: list[api.Entry]
    addresses: dict[str, Address]


def _passed_on(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in _OWN_TO_A_CONNECTION]


# Clients.


def check_head(request: h11.Request, head: bytes) -> BadRequest | None:
    """What is wrong with a head that h11 lets by; `head` is how it came.

    Guards against a message that ends elsewhere for a backend than for this node, and against a field that
    each of them reads another line of.
    """
    names = [name for name, _ in request.headers]
    lengths = [value.strip() for value in _LENGTH.findall(head)]
    if lengths and b"transfer-encoding" in names:
        return BadRequest(400, "Content-Length and Transfer-Encoding")
    if len(lengths) > 1 or not all(value.isdigit() for value in lengths):
        return BadRequest(400, "more than one Content-Length")
    if lengths and int(lengths[0]) > MAX_BODY_BYTES:
        return BadRequest(413, "the body is too long")
    twice = next((name for name in _READ_HERE if names.count(name) > 1), None)
    return BadRequest(400, f"more than one {twice.decode()}") if twice else None


def decode_invocation(
    request: h11.Request, body: bytes, offerings: Mapping[str, api.Offering], flow: BodyPipe | None = None
) -> tuple[api.Invocation, UpstreamRequest] | BadRequest:
    headers = list(request.headers)
    found = dict(headers)
    path, _, query = request.target.partition(b"?")
    name = path.split(b"/", 2)[1].decode("ascii", "replace") if path.startswith(b"/") else ""
    offering = offerings.get(name)
    if offering is None:
        return BadRequest(404, "unknown offering")
    id = found.get(b"x-call-id", b"")
    if not _ID.fullmatch(id):
        return BadRequest(400, "X-Call-Id is missing or malformed")
    budget = found.get(b"x-budget-ms")
    if budget is not None and not (budget.isdigit() and len(budget) <= 9):
        return BadRequest(400, "X-Budget-Ms must be whole milliseconds")
    invocation = api.Invocation(
        id=id.decode(),
        offering=name,
        tenant=found.get(b"x-caller", b"").decode("latin-1"),
        time_left=time_left(budget, offering),
        key=_key(query),
        is_retry=found.get(b"x-again") == b"1",
        streaming=flow is not None,
    )
    length = int(found[b"content-length"]) if flow is not None and b"content-length" in found else None
    return invocation, UpstreamRequest(
        request.method, request.target, _passed_on(headers), body, flow, length
    )


def time_left(budget: bytes | None, offering: api.Offering) -> float:
    """Seconds that a client gives, by what it says (milliseconds in digits) and at most by the offering."""
    return offering.cut_off if budget is None else min(int(budget) / 1000.0, offering.cut_off)


def _key(query: bytes) -> int | None:
    found = _KEY.search(query)
    return int(found[1], 16) if found else None


def encode_client_response(answer: ClientResponse, closing: bool) -> tuple[h11.Response, bytes]:
    headers: Headers = []
    body = answer.body
    if answer.outcome is FinalOutcome.COMPLETED:
        status = 200
        headers += _passed_on(answer.headers or [])
    elif answer.outcome is FinalOutcome.NACKED:
        status, body = 503, b"nacked\n"
        if answer.retry_after > 0.0:
            headers.append((b"Retry-After", b"%.3f" % answer.retry_after))
    else:
        status, body = 502, b"terminated\n"
    return encode_response(status, headers, body, closing, answer.body_pipe is not None, answer.length)


def encode_text_response(status: int, words: str, closing: bool) -> tuple[h11.Response, bytes]:
    """An answer that concerns no invocation: readiness, bad input."""
    return encode_response(status, [(b"Content-Type", b"text/plain")], words.encode() + b"\n", closing)


def encode_response(
    status: int, headers: Headers, body: bytes, closing: bool, flows: bool = False, length: int | None = None
) -> tuple[h11.Response, bytes]:
    if not flows or length is not None:  # without a length it goes in chunks, or ends with its connection
        headers.append((b"Content-Length", b"%d" % (len(body) if length is None else length)))
    if closing:
        headers.append((b"Connection", b"close"))
    return h11.Response(status_code=status, headers=headers, reason=_REASONS.get(status, b"")), body


def encode_nack(retry_after: float, closing: bool) -> bytes:
    """A nack as it goes out, for those that are given no more than that."""
    when = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0.0 else b""
    end = b"Connection: close\r\n" if closing else b""
    return b"HTTP/1.1 503 Service Unavailable\r\n%s%sContent-Length: 7\r\n\r\nnacked\n" % (when, end)


# A termination in words that cannot fail.
FALLBACK_RESPONSE = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


# Backends.

HEALTH_PROBE = UpstreamRequest(b"GET", LIVE_PATH, [], b"")
LOAD_PROBE = UpstreamRequest(b"GET", LOAD_PATH, [], b"")
MAX_LOAD_REPORT_BYTES = 4096  # bytes: a load report holds four values at most


def encode_push(message: UpstreamRequest, time_left: float, host: str) -> h11.Request:
    headers = list(message.headers)
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"Host", host.encode()))  # an older client sent none
    headers.append((b"X-Budget-Ms", b"%d" % max(int(time_left * 1000.0), 1)))
    if message.body_pipe is not None and message.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif message.body_pipe is not None:
        headers.append((b"Content-Length", b"%d" % message.length))
    elif message.body or message.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        headers.append((b"Content-Length", b"%d" % len(message.body)))
    return h11.Request(method=message.method, target=message.target, headers=headers)


def outcome_of(reply: UpstreamResponse) -> api.Outcome:
    if reply.status == 200:
        return api.Outcome.COMPLETED
    if reply.status in (503, 504) and (b"x-rejected", b"1") in reply.headers:
        return api.Outcome.REJECTED
    return api.Outcome.ERROR


def decode_load_report(body: bytes) -> api.LoadReport:
    """The load report in a probe's answer; what cannot be read tells nothing and ends nothing."""
    try:
        return parse_load_report(parse_object(body) if len(body) <= MAX_LOAD_REPORT_BYTES else None)
    except MalformedError:
        return api.NO_REPORT


def completed_response(reply: UpstreamResponse) -> ClientResponse:
    return ClientResponse(
        FinalOutcome.COMPLETED, 0.0, reply.headers, reply.body, reply.body_pipe, reply.length
    )


# Discovery.


def encode_list_request(host: str, version: int | None, wait: float) -> h11.Request:
    target = LIST_PATH if version is None else f"{LIST_PATH}?from={version}&hold_ms={round(wait * 1000.0)}"
    return h11.Request(method=b"GET", target=target.encode(), headers=[(b"Host", host.encode())])


# A node that never had a list asks for the whole one.
EMPTY_LIST = DiscoveryResponse(None, api.ListKind.SNAPSHOT, [], {})


def decode_list(body: bytes | dict[str, Any]) -> DiscoveryResponse:
    message = parse_object(body) if isinstance(body, bytes) else body
    whole = get_field(message, "reset", bool, False)
    answer = DiscoveryResponse(
        version=get_field(message, "generation", int),
        kind=api.ListKind.SNAPSHOT if whole else api.ListKind.DELTA,
        entries=[],
        addresses={},
    )
    for line in get_objects(message, "instances"):
        id = get_field(line, "instanceId", str)
        started = get_field(line, "startedAtMs", int, 0)
        entry = api.Entry(
            backend=id,
            state=get_choice(STATES, line, "lifecycle"),
            zone=get_field(line, "zone", str, ""),
            cell=get_field(line, "cell", int, 0),
            weight=get_optional(line, "weight", float),
            started_at=started / 1000.0 if started else None,
            machine=get_field(line, "machineType", str, ""),
        )
        answer.entries.append(entry)
        if entry.state is not api.State.GONE:
            answer.addresses[id] = parse_address(get_field(line, "hostPort", str))
    return answer
