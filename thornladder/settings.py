"""Decodes a node's configuration: the policy settings and the configuration file around them.

The simulator adapter and a node on sockets share the policy settings; the file belongs to one node.
"""

from __future__ import annotations

import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from thornladder import interface as api
from thornladder.fields import MalformedError, get_choice, get_field, get_objects, get_seconds, parse_object

IDEMPOTENCY = {
    "free": api.Idempotency.REPEATABLE,
    "guarded": api.Idempotency.TAGGED,
    "single_shot": api.Idempotency.ONCE_ONLY,
}

# Keys of Blend that are weights of the utility's parts.
BLEND_WEIGHTS = ("Whole", "WorstWindow", "WorstClass", "WorstTenant", "Availability", "Tail")
# Values of Report.Source, and whether load reports come only in answers to probes, which then must be sent.
REPORT_SOURCES = {"pull": True, "piggyback": False, "silent": False}
MAX_PROBE_COST_SHARE = 0.008  # of the utility: upper bound on the cost of load-report probes, if priced
MAX_REPORTED_VALUE = 1e6  # a larger value in a load report cannot come from a single backend
# Upper bound however cheap probes are: choosing among more than three backends gains little.
MAX_PROBES_PER_INVOCATION = 3.0

Address = tuple[str, int]
EMPTY_ENVIRONMENT: Mapping[str, str] = {}


def policy_arguments(info: dict[str, Any]) -> dict[str, Any]:
    """Decodes the policy settings into keyword arguments of `decide.Node`. Raises MalformedError."""
    limits = get_field(info, "PolicyLimits", dict)
    rules = get_field(info, "Rules", dict)
    offerings = get_objects(info, "Classes")
    if not offerings:
        raise MalformedError("Classes must not be empty")
    names = [get_field(offering, "Name", str) for offering in offerings]
    if duplicate := next((name for name in names if names.count(name) > 1), None):
        raise MalformedError(f"Classes has the name {duplicate!r} more than once")
    return {
        "zone": get_field(info, "Az", str, ""),
        "rank": get_field(info, "Rank", int, 0),
        "nodes": max(1, get_field(info, "ReplicasOfMe", int)),
        "offerings": [_parse_offering(offering) for offering in offerings],
        "tenants": [_parse_tenant(tenant) for tenant in get_objects(info, "Tenants")],
        "over_share_worth": get_field(info, "OverShareWorth", float, 1.0),
        "utility_by_work": get_field(info, "ValueBy", str, "request") == "work",
        "limits": api.Limits(
            max_pushes=_require_positive("MaxAttempts", get_field(limits, "MaxAttempts", int)),
            hedging=get_field(limits, "SecondCopies", bool, False),
            cancellation=get_field(limits, "Cancelling", bool, False),
            probes=get_field(limits, "Probes", bool, False),
            max_retry_after=get_seconds(limits, "MaxRetryAfter", 0.0)
            if get_field(limits, "RetryAfter", bool, False)
            else 0.0,
            probes_per_invocation=_probes_per_invocation(info, limits),
            retry_budget=_retry_budget(rules),
            soft_removal=get_field(rules, "SoftRemoval", bool, False),
        ),
        "cold": api.SlowStartRule(
            initial_capacity=get_field(rules, "ColdShare", float),
            warm_up=get_seconds(rules, "WarmUp"),
            overload_multiple=_require_positive("FallMultiple", get_field(rules, "FallMultiple", float)),
            overload_window=_require_positive("Fall", get_seconds(rules, "Fall")),
        ),
        "worst_offering": _worst_offering_weight(get_field(info, "Blend", dict, {})),
        "must_ask_in": 0.0 if discovery_pushes_changes(info) else get_seconds(rules, "MustAskIn", 10.0),
    }


def _worst_offering_weight(blend: dict[str, Any]) -> float:
    """The weight of the worst-served offering in the utility, from 0 to 1."""
    weights = {name: get_field(blend, name, float, 0.0) for name in BLEND_WEIGHTS}
    negative = next((name for name, weight in weights.items() if weight < 0.0), None)
    if negative:
        raise MalformedError(f"Blend.{negative} must not be negative")
    return weights["WorstClass"] / (sum(weights.values()) or 1.0)


def _probes_per_invocation(info: dict[str, Any], limits: dict[str, Any]) -> float:
    """Mean number of load-report probes allowed per invocation; 0 where reports do not come with probes."""
    price = get_field(get_field(info, "Prices", dict, {}), "Probe", float, 0.0)
    if price < 0.0:
        raise MalformedError("Prices.Probe must not be negative")
    if not reports_require_probes(info) or not get_field(limits, "Probes", bool, False):
        return 0.0
    return (
        min(MAX_PROBE_COST_SHARE / price, MAX_PROBES_PER_INVOCATION)
        if price > 0.0
        else MAX_PROBES_PER_INVOCATION
    )


# Upper bounds of the settings of a retry budget, beyond which it would limit nothing.
MAX_EXTRA_FLOOR, MAX_REPEAT_RATIO, MAX_BUDGET_SPAN_SECONDS = 1e6, 100.0, 3600.0


def _retry_budget(rules: dict[str, Any]) -> api.RetryBudgetRule | None:
    """The retry budget for pushes beyond the first; None if neither ExtraFloor nor RepeatRatio is set."""
    if rules.get("ExtraFloor") is None and rules.get("RepeatRatio") is None:
        return None
    floor, ratio = (get_field(rules, name, float, 0.0) for name in ("ExtraFloor", "RepeatRatio"))
    span = get_seconds(rules, "BudgetSpan")
    for name, value, maximum in (
        ("ExtraFloor", floor, MAX_EXTRA_FLOOR),
        ("RepeatRatio", ratio, MAX_REPEAT_RATIO),
    ):
        if not 0.0 <= value <= maximum:
            raise MalformedError(f"Rules.{name} must be from 0 to {maximum:g}")
    if not 0.0 < span <= MAX_BUDGET_SPAN_SECONDS:
        raise MalformedError(f"Rules.BudgetSpan must be above 0 and at most {MAX_BUDGET_SPAN_SECONDS:g} s")
    return api.RetryBudgetRule(floor, ratio, span)


def parse_load_report(message: Any) -> api.LoadReport:
    """Decodes a load report. Raises nothing: missing and implausible values become None."""
    if not isinstance(message, dict):
        return api.NO_REPORT
    return api.LoadReport(
        *(_reported_value(message.get(name)) for name in ("rif", "fail_rate", "rate", "busy"))
    )


def _reported_value(value: Any) -> float | None:
    plausible = type(value) in (int, float) and 0 <= value < MAX_REPORTED_VALUE
    return float(value) if plausible else None


# Section and key of settings that only deployments with one node per client (sidecars) may have. Their load
# reports come with probes, and their nodes get unequal traffic, so tenant allowances cannot be split evenly.
PER_CLIENT_NODE_KEYS = (("PolicyLimits", "Peers"), ("Blend", "Tail"), ("Blend", "BorneMisses"),
                        ("Blend", "Availability"), ("Blend", "NinesWanted"))  # fmt: skip
# A weight in Blend, and the objective without which the weight has no meaning.
BLEND_OBJECTIVES = (("Tail", "BorneMisses"), ("Availability", "NinesWanted"))


def check_deployment_kind(info: dict[str, Any]) -> None:
    """Raises MalformedError if settings for one node per client and for a shared pool of nodes are mixed."""
    report, limits, blend = (get_field(info, name, dict, {}) for name in ("Report", "PolicyLimits", "Blend"))
    node_per_client = reports_require_probes(info)
    if node_per_client:
        if not get_field(limits, "Probes", bool, False):
            raise MalformedError("PolicyLimits.Probes must be true where Report.Source is 'pull'")
        if "rif" not in get_field(report, "Fields", list, []):
            raise MalformedError("Report.Fields must name 'rif' where Report.Source is 'pull'")
        if get_field(info, "Tenants", list, []):
            raise MalformedError("Tenants must be empty where Report.Source is 'pull'")
    for section, name in () if node_per_client else PER_CLIENT_NODE_KEYS:
        if get_field(info, section, dict, {}).get(name):
            raise MalformedError(f"{section}.{name} must be absent or 0 where Report.Source is not 'pull'")
    for weight, objective in BLEND_OBJECTIVES:
        if get_field(blend, weight, float, 0.0) > 0.0 and not get_field(blend, objective, float, 0.0) > 0.0:
            raise MalformedError(f"Blend.{objective} must be above 0 where Blend.{weight} is")


def reports_require_probes(info: dict[str, Any]) -> bool:
    """Whether load reports come only in answers to probes, as in deployments with one node per client."""
    report = get_field(info, "Report", dict, {})
    return "Source" in report and get_choice(REPORT_SOURCES, report, "Source")


def discovery_pushes_changes(info: dict[str, Any]) -> bool:
    """Whether discovery pushes changes of the endpoint list, rather than nodes having to ask for them."""
    return info.get("Discovery") != "on_request"


def _require_positive(name: str, value: Any) -> Any:
    if not value > 0:
        raise MalformedError(f"{name} must be above 0")
    return value


def first_missing_key(current: Any, new: Any, path: str = "") -> str | None:
    """The dotted path of the first key of the current configuration that the new one lacks, or None.

    Guards against a truncated or wrongly assembled file, whose missing keys would silently get defaults.
    Boolean keys may be omitted, which means false. Items of a list are matched by their `Name`.
    """
    if isinstance(current, dict) and isinstance(new, dict):
        for name, value in current.items():
            if new.get(name) is None:
                if value is None or isinstance(value, bool):
                    continue
                return f"{path}{name}"
            if missing := first_missing_key(value, new[name], f"{path}{name}."):
                return missing
    if isinstance(current, list) and isinstance(new, list):
        by_name = {item.get("Name"): item for item in current if isinstance(item, dict)}
        for item in new:
            name = item.get("Name") if isinstance(item, dict) else None
            if isinstance(name, str) and (
                missing := first_missing_key(by_name.get(name), item, f"{path}{name}.")
            ):
                return missing
    return None


def _parse_offering(message: dict[str, Any]) -> api.Offering:
    return api.Offering(
        name=get_field(message, "Name", str),
        idempotency=get_choice(IDEMPOTENCY, message, "Effect"),
        dedup_scope=get_field(message, "Group", str, "all"),
        dedup_window=get_seconds(message, "Window", 0.0),
        target_time=_require_positive("Aim", get_seconds(message, "Aim")),
        cut_off=_require_positive("HardLimit", get_seconds(message, "HardLimit")),
        utility=get_field(message, "Worth", float),
        late_utility_share=get_field(message, "LateWorth", float, 0.0),
    )


def _parse_tenant(message: dict[str, Any]) -> api.Tenant:
    return api.Tenant(
        name=get_field(message, "Name", str),
        share=get_field(message, "Share", float),
        allowance=get_field(message, "AllowancePerS", float, 0.0),
    )


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Timeouts of connections and rules for draining them. Times are in seconds."""

    connect_timeout: float
    backend_idle_timeout: float  # backends close a connection that has been idle for this long, or sooner
    drain_grace: float
    soft_removal: bool  # removal from the list does not stop pushes to a backend, only a listed drain does


@dataclass(frozen=True, slots=True)
class Config:
    """A node's decoded configuration file. A reload logs changed fields by name, so the names are public."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float
    sockets: int  # most file descriptors that the node may use
    memory: int  # bytes
    known: dict[str, Any]  # initial endpoint list, in the format of discovery's answers
    decisions: dict[str, Any]  # see `policy_arguments`
    transport: ConnectionSettings
    list_is_told: bool  # see `discovery_pushes_changes`
    raw: dict[str, Any]  # the parsed JSON of the file
    admin: Address | None = None  # where the admin API listens
    folder: str = ""  # private, survives a restart of the node; its files count towards the memory limit
    inherited: int | None = None  # file descriptor of a listening socket passed to this process


def load(path: str, environment: Mapping[str, str] = EMPTY_ENVIRONMENT) -> Config:
    """Reads and decodes a configuration file. Raises MalformedError."""
    try:
        message = parse_object(Path(path).read_bytes())
    except OSError as error:
        raise MalformedError(f"cannot be read: {error.strerror}") from None
    return decode(message, environment)


def decode(message: dict[str, Any], environment: Mapping[str, str] = EMPTY_ENVIRONMENT) -> Config:
    """Decodes a configuration; environment variables take precedence over the file. Raises MalformedError."""
    info = get_field(message, "settings", dict)
    limits, rules = get_field(info, "PolicyLimits", dict), get_field(info, "Rules", dict)
    resources = get_field(message, "limits", dict, {})
    check_deployment_kind(info)
    try:
        seed = int(get_field(message, "seed", str), 16)
    except ValueError:
        raise MalformedError("seed must be hex digits") from None
    return Config(
        name=get_field(message, "name", str, ""),
        listen=parse_address(get_field(message, "listen", str)),
        discovery=parse_address(get_field(message, "discovery", str)),
        seed=seed,
        cores=get_field(resources, "cores", float, 1.0),
        sockets=get_field(resources, "sockets", int, 1024),
        memory=int(get_field(resources, "memory_mb", float, 192.0) * 2**20),
        known=get_field(message, "known", dict, {}),
        decisions=policy_arguments(info),
        transport=ConnectionSettings(
            connect_timeout=get_seconds(limits, "ConnectTimeout", 0.25),
            backend_idle_timeout=get_seconds(limits, "IdleClose", 15.0),
            drain_grace=get_seconds(rules, "DrainGrace", 1.0),
            soft_removal=get_field(rules, "SoftRemoval", bool, False),
        ),
        list_is_told=discovery_pushes_changes(info),
        raw=message,
        admin=_parse_admin_address(
            environment.get("EDGE_ADMIN_ADDR") or get_field(message, "admin_addr", str, "")
        ),
        folder=environment.get("TMPDIR") or tempfile.gettempdir(),
        inherited=_parse_inherited_fd(environment.get("EDGE_INHERITED_FD", "")),
    )


def _parse_admin_address(text: str) -> Address | None:
    try:
        return parse_address(text) if text else None
    except MalformedError as error:
        raise MalformedError(f"admin_addr: {error}") from None


def _parse_inherited_fd(text: str) -> int | None:
    if text and not (text.isdecimal() and len(text) <= 6):
        raise MalformedError(f"EDGE_INHERITED_FD: {text!r} is not a file descriptor")
    return int(text) if text else None


def parse_address(text: str) -> Address:
    """Splits HOST:PORT, where an IPv6 host may be in brackets. Raises MalformedError."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdecimal() and 0 <= int(port) < 65536):
        raise MalformedError(f"{text!r} is not an address and port")
    return host.strip("[]"), int(port)
