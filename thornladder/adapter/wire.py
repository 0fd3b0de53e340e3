"""Decodes the simulator's messages into types of `thornladder.interface`. Times are sent in microseconds."""

from __future__ import annotations

from typing import Any

from thornladder import interface as api
from thornladder.fields import (
    MICROS_PER_SECOND,
    MalformedError,
    get_choice,
    get_field,
    get_objects,
    get_optional,
    get_seconds,
)

OUTCOMES = {
    "OK": api.Outcome.COMPLETED,
    "INTERNAL": api.Outcome.ERROR,
    "RESOURCE_EXHAUSTED": api.Outcome.REJECTED,
    "DEADLINE_EXCEEDED": api.Outcome.TIMED_OUT,
    "UNAVAILABLE": api.Outcome.UNREACHABLE,
    "ABORTED": api.Outcome.CONNECTION_LOST,
    "CANCELLED": api.Outcome.CANCELLED,
    "TOO_LATE": api.Outcome.NOT_SENT,
}
STATES = {"Running": api.State.RUNNING, "Stopping": api.State.DRAINING, "Deleted": api.State.GONE}
LIST_KINDS = {
    "update": api.ListKind.DELTA,
    "replace": api.ListKind.SNAPSHOT,
    "restored": api.ListKind.RESTORED,
    "unavailable": api.ListKind.UNAVAILABLE,
}
FLAG_RETRY = 2  # bit of Flags: the client has sent this invocation before


def to_micros(seconds: float) -> int:
    """Converts seconds to the protocol's whole microseconds."""
    return round(seconds * MICROS_PER_SECOND)


def parse_entries(message: dict[str, Any]) -> list[api.Entry]:
    """Decodes the endpoint list of an ENDPOINTS message. Raises MalformedError."""
    entries = []
    for item in get_objects(message, "Entries"):
        started = get_field(item, "StartedAt", int, 0)
        entries.append(
            api.Entry(
                backend=get_field(item, "Backend", str),
                state=get_choice(STATES, item, "Readiness"),
                zone=get_field(item, "Az", str, ""),
                cell=get_optional(item, "Pack", int),
                weight=get_optional(item, "Weight", float),
                started_at=started / MICROS_PER_SECOND if started else None,
                machine=get_field(item, "Sku", str, ""),
            )
        )
    return entries


def parse_invocation(message: dict[str, Any]) -> api.Invocation:
    """Decodes a SUBMIT message. Raises MalformedError."""
    flags = get_field(message, "Flags", int, 0)
    tenant = message.get("UserGroup") or ""
    if not isinstance(tenant, str):
        raise MalformedError("UserGroup must be text")
    return api.Invocation(
        id=get_field(message, "Id", str),
        offering=get_field(message, "Qos", str),
        tenant=tenant,
        time_left=get_seconds(message, "Grace"),
        key=get_optional(message, "Resource", int),
        is_retry=bool(flags & FLAG_RETRY),
    )
