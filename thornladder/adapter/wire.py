"""The wire's words and units, turned into the interface's types. Nothing past here speaks the wire."""

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
SCOPES = {
    "update": api.ListKind.DELTA,
    "replace": api.ListKind.SNAPSHOT,
    "restored": api.ListKind.RESTORED,
    "unavailable": api.ListKind.UNAVAILABLE,
}
AGAIN = 2  # of the flags


def micros(span: float) -> int:
    return round(span * MICROS_PER_SECOND)


def entries(message: dict[str, Any]) -> list[api.Entry]:
    found = []
    for line in get_objects(message, "Entries"):
        started = get_field(line, "StartedAt", int, 0)
        found.append(
            api.Entry(
                backend=get_field(line, "Backend", str),
                state=get_choice(STATES, line, "Readiness"),
                zone=get_field(line, "Az", str, ""),
                cell=get_field(line, "Pack", int, 0),
                weight=get_optional(line, "Weight", float),
                started_at=started / MICROS_PER_SECOND if started else None,
                machine=get_field(line, "Sku", str, ""),
            )
        )
    return found


def invocation(message: dict[str, Any]) -> api.Invocation:
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
        is_retry=bool(flags & AGAIN),
    )
