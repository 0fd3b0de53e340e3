"""The wire's words and units, turned into the interface's types. Nothing past here speaks the wire."""

from __future__ import annotations

from typing import Any

from thornladder import interface as api
from thornladder.fields import MICRO, Malformed, lookup, objects, optional, seconds, take

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
    return round(span * MICRO)


def entries(message: dict[str, Any]) -> list[api.Entry]:
    found = []
    for line in objects(message, "Entries"):
        started = take(line, "StartedAt", int, 0)
        found.append(
            api.Entry(
                backend=take(line, "Backend", str),
                state=lookup(STATES, line, "Readiness"),
                zone=take(line, "Az", str, ""),
                cell=take(line, "Pack", int, 0),
                weight=optional(line, "Weight", float),
                started_at=started / MICRO if started else None,
                machine=take(line, "Sku", str, ""),
            )
        )
    return found


def invocation(message: dict[str, Any]) -> api.Invocation:
    flags = take(message, "Flags", int, 0)
    tenant = message.get("UserGroup") or ""
    if not isinstance(tenant, str):
        raise Malformed("UserGroup must be text")
    return api.Invocation(
        id=take(message, "Id", str),
        offering=take(message, "Qos", str),
        tenant=tenant,
        time_left=seconds(message, "Grace"),
        key=optional(message, "Resource", int),
        is_retry=bool(flags & AGAIN),
    )
