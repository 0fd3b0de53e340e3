"""The wire's words and units, turned into the interface's types. Nothing past here speaks the wire."""

from __future__ import annotations

import json
from typing import Any

from thornladder import interface as api

MICRO = 1_000_000

KINDS = {"free": api.Kind.REPEATABLE, "guarded": api.Kind.TAGGED, "single_shot": api.Kind.ONCE_ONLY}
OUTCOMES = {
    "OK": api.Outcome.COMPLETED,
    "INTERNAL": api.Outcome.ERRED,
    "RESOURCE_EXHAUSTED": api.Outcome.FULL,
    "DEADLINE_EXCEEDED": api.Outcome.TIMED_OUT,
    "UNAVAILABLE": api.Outcome.UNREACHABLE,
    "ABORTED": api.Outcome.BROKEN_OFF,
    "CANCELLED": api.Outcome.CANCELLED,
    "TOO_LATE": api.Outcome.NOT_SENT,
}
STATES = {"Running": api.State.RUNNING, "Stopping": api.State.DRAINING, "Deleted": api.State.GONE}
SCOPES = {
    "update": api.ListKind.CHANGES,
    "replace": api.ListKind.WHOLE,
    "restored": api.ListKind.RESTORED,
    "unavailable": api.ListKind.UNAVAILABLE,
}
HINT, AGAIN = 1, 2
_KIND_NAMES = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "text",
    dict: "an object",
    list: "an array",
}


class Malformed(Exception):
    """The input is not what the wire promises; the text says where."""


def parse(line: str) -> dict[str, Any]:
    try:
        message = json.loads(line)
    except (json.JSONDecodeError, RecursionError) as error:
        raise Malformed(f"not JSON: {error}") from None
    if not isinstance(message, dict):
        raise Malformed("a message must be an object")
    return message


def take(message: dict[str, Any], name: str, wanted: type, default: Any = None) -> Any:
    """The field `name`, checked; without a default it must be there."""
    value = message.get(name)
    if value is None:
        if default is None:
            raise Malformed(f"{name} is missing")
        return default
    if wanted is float and type(value) is int:
        value = float(value)
    if type(value) is not wanted or (wanted is float and not abs(value) < 1e300):
        raise Malformed(f"{name} must be {_KIND_NAMES[wanted]}")
    return value


def seconds(message: dict[str, Any], name: str, default: float | None = None) -> float:
    value = message.get(name)
    if value is None and default is not None:
        return default
    return take(message, name, int) / MICRO


def lookup(table: dict[str, Any], message: dict[str, Any], name: str) -> Any:
    word = take(message, name, str)
    if word not in table:
        raise Malformed(f"{name} has the unknown value {word!r}")
    return table[word]


def micros(span: float) -> int:
    return round(span * MICRO)


def entries(message: dict[str, Any]) -> list[api.Entry]:
    found = []
    for line in take(message, "Entries", list, []):
        if not isinstance(line, dict):
            raise Malformed("Entries must hold objects")
        started = take(line, "StartedAt", int, 0)
        weight = line.get("Weight")
        found.append(
            api.Entry(
                backend=take(line, "Backend", str),
                state=lookup(STATES, line, "Readiness"),
                zone=take(line, "Az", str, ""),
                cell=take(line, "Pack", int, 0),
                weight=None if weight is None else take(line, "Weight", float),
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
    key = message.get("Resource")
    return api.Invocation(
        id=take(message, "Id", str),
        offering=take(message, "Qos", str),
        tenant=tenant,
        time_left=seconds(message, "Grace"),
        hint=seconds(message, "Expected", 0.0) if flags & HINT else 0.0,
        key=None if key is None else take(message, "Resource", int),
        again=bool(flags & AGAIN),
    )


def settings(info: dict[str, Any]) -> dict[str, Any]:
    """The keyword arguments of `decide.Node` that come from an instance's settings."""
    limits = take(info, "PolicyLimits", dict)
    rules = take(info, "Rules", dict)
    if not take(info, "Classes", list):
        raise Malformed("Classes must not be empty")
    return {
        "zone": take(info, "Az", str, ""),
        "rank": take(info, "Rank", int, 0),
        "nodes": max(1, take(info, "ReplicasOfMe", int)),
        "offerings": [_offering(line) for line in info["Classes"]],
        "tenants": [_tenant(line) for line in take(info, "Tenants", list, [])],
        "over_share_worth": take(info, "OverShareWorth", float, 1.0),
        "utility_by_work": take(info, "ValueBy", str, "request") == "work",
        "limits": api.Limits(
            max_pushes=take(limits, "MaxAttempts", int),
            second_copies=take(limits, "SecondCopies", bool, False),
            cancelling=take(limits, "Cancelling", bool, False),
            probes=take(limits, "Probes", bool, False),
            come_back=seconds(limits, "MaxRetryAfter", 0.0)
            if take(limits, "RetryAfter", bool, False)
            else 0.0,
        ),
        "cold": api.ColdRule(
            share=take(rules, "ColdShare", float),
            warm_up=seconds(rules, "WarmUp"),
            multiple=take(rules, "FallMultiple", float),
            span=seconds(rules, "Fall"),
        ),
        "must_ask_in": seconds(rules, "MustAskIn", 10.0) if info.get("Discovery") == "on_request" else 0.0,
    }


def _offering(line: Any) -> api.Offering:
    if not isinstance(line, dict):
        raise Malformed("Classes must hold objects")
    return api.Offering(
        name=take(line, "Name", str),
        kind=lookup(KINDS, line, "Effect"),
        group=take(line, "Group", str, "all"),
        window=seconds(line, "Window", 0.0),
        target_time=seconds(line, "Aim"),
        cut_off=seconds(line, "HardLimit"),
        utility=take(line, "Worth", float),
        late_share=take(line, "LateWorth", float, 0.0),
    )


def _tenant(line: Any) -> api.Tenant:
    if not isinstance(line, dict):
        raise Malformed("Tenants must hold objects")
    return api.Tenant(
        name=take(line, "Name", str),
        share=take(line, "Share", float),
        allowance=take(line, "AllowancePerS", float, 0.0),
    )
