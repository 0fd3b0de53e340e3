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
from thornladder.fields import MalformedError, parse_object
from thornladder.schema import ObjectReader, check_replacement
from thornladder.settings_schema import CONFIGURATION, SETTINGS

IDEMPOTENCY = {
    "free": api.Idempotency.REPEATABLE,
    "guarded": api.Idempotency.TAGGED,
    "single_shot": api.Idempotency.ONCE_ONLY,
}

# Keys of Blend that are weights of the utility's parts.
BLEND_WEIGHTS = ("Whole", "WorstWindow", "WorstClass", "WorstTenant", "Availability", "Tail")
MAX_PROBE_COST_SHARE = 0.008  # of the utility: upper bound on the cost of load-report probes, if priced
MAX_REPORTED_VALUE = 1e6  # a larger value in a load report cannot come from a single backend
# Upper bound however cheap probes are: choosing among more than three backends gains little.
MAX_PROBES_PER_INVOCATION = 3.0

Address = tuple[str, int]
EMPTY_ENVIRONMENT: Mapping[str, str] = {}


def policy_arguments(info: dict[str, Any], path: str = "") -> dict[str, Any]:
    """Decodes the policy settings into keyword arguments of `decide.Node`.

    `path` is put in front of the keys that errors name. Raises MalformedError.
    """
    reader = ObjectReader(SETTINGS, info, path)
    limits, rules, offerings = reader.child("PolicyLimits"), reader.child("Rules"), reader.children("Classes")
    if not offerings:
        raise reader.error("Classes", "must not be empty")
    names = [offering.get("Name") for offering in offerings]
    if duplicate := next((name for name in names if names.count(name) > 1), None):
        raise reader.error("Classes", f"has the name {duplicate!r} more than once")
    return {
        "zone": reader.get("Az"),
        "rank": reader.get("Rank"),
        "nodes": max(1, reader.get("ReplicasOfMe")),
        "offerings": [_parse_offering(offering) for offering in offerings],
        "tenants": [_parse_tenant(tenant) for tenant in reader.children("Tenants")],
        "over_share_worth": reader.get("OverShareWorth"),
        "utility_by_work": reader.get("ValueBy") == "work",
        "limits": api.Limits(
            max_pushes=limits.get("MaxAttempts"),
            hedging=limits.get("SecondCopies"),
            cancellation=limits.get("Cancelling"),
            probes=limits.get("Probes"),
            max_retry_after=limits.get("MaxRetryAfter") if limits.get("RetryAfter") else 0.0,
            probes_per_invocation=_probes_per_invocation(reader, limits),
            retry_budget=_retry_budget(rules),
            soft_removal=rules.get("SoftRemoval"),
        ),
        "cold": api.SlowStartRule(
            initial_capacity=rules.get("ColdShare"),
            warm_up=rules.get("WarmUp"),
            overload_multiple=rules.get("FallMultiple"),
            overload_window=rules.get("Fall"),
        ),
        "worst_offering": _worst_offering_weight(reader.child("Blend")),
        "must_ask_in": 0.0 if discovery_pushes_changes(info) else rules.get("MustAskIn"),
    }


def _worst_offering_weight(blend: ObjectReader) -> float:
    """The weight of the worst-served offering in the utility, from 0 to 1."""
    weights = {name: blend.get(name) for name in BLEND_WEIGHTS}
    return weights["WorstClass"] / (sum(weights.values()) or 1.0)


def _probes_per_invocation(settings: ObjectReader, limits: ObjectReader) -> float:
    """Mean number of load-report probes allowed per invocation; 0 where reports do not come with probes."""
    price = settings.child("Prices").get("Probe")
    if not _reports_require_probes(settings) or not limits.get("Probes"):
        return 0.0
    return (
        min(MAX_PROBE_COST_SHARE / price, MAX_PROBES_PER_INVOCATION)
        if price > 0.0
        else MAX_PROBES_PER_INVOCATION
    )


def _retry_budget(rules: ObjectReader) -> api.RetryBudgetRule | None:
    """The retry budget for pushes beyond the first; None if neither ExtraFloor nor RepeatRatio is set."""
    if not rules.has("ExtraFloor") and not rules.has("RepeatRatio"):
        return None
    span = rules.get("BudgetSpan")
    if span is None:
        raise rules.error("BudgetSpan", "is missing")
    return api.RetryBudgetRule(rules.get("ExtraFloor"), rules.get("RepeatRatio"), span)


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


def check_deployment_kind(info: dict[str, Any], path: str = "") -> None:
    """Raises MalformedError if settings for one node per client and for a shared pool of nodes are mixed."""
    reader = ObjectReader(SETTINGS, info, path)
    report, limits, blend = (reader.child(name) for name in ("Report", "PolicyLimits", "Blend"))
    node_per_client = _reports_require_probes(reader)
    if node_per_client:
        if not limits.get("Probes"):
            raise limits.error("Probes", "must be true where Report.Source is 'pull'")
        if "rif" not in report.get("Fields"):
            raise report.error("Fields", "must name 'rif' where Report.Source is 'pull'")
        if reader.children("Tenants"):
            raise reader.error("Tenants", "must be empty where Report.Source is 'pull'")
    for section, name in () if node_per_client else PER_CLIENT_NODE_KEYS:
        if reader.child(section).message.get(name):
            raise reader.child(section).error(name, "must be absent or 0 where Report.Source is not 'pull'")
    for weight, objective in BLEND_OBJECTIVES:
        if blend.get(weight) > 0.0 and not blend.get(objective) > 0.0:
            raise blend.error(objective, f"must be above 0 where {blend.path}{weight} is")


def _reports_require_probes(settings: ObjectReader) -> bool:
    """Whether load reports come only in answers to probes, as in deployments with one node per client."""
    return settings.child("Report").get("Source") == "pull"


def discovery_pushes_changes(info: dict[str, Any]) -> bool:
    """Whether discovery pushes changes of the endpoint list, rather than nodes having to ask for them."""
    return info.get("Discovery") != "on_request"


def check_reload(current: dict[str, Any], new: dict[str, Any]) -> None:
    """Raises MalformedError unless the configuration file `new` may replace the one in force."""
    check_replacement(CONFIGURATION, current, new)


def _parse_offering(offering: ObjectReader) -> api.Offering:
    return api.Offering(
        name=offering.get("Name"),
        idempotency=IDEMPOTENCY[offering.get("Effect")],
        dedup_scope=offering.get("Group"),
        dedup_window=offering.get("Window"),
        target_time=offering.get("Aim"),
        cut_off=offering.get("HardLimit"),
        utility=offering.get("Worth"),
        late_utility_share=offering.get("LateWorth"),
    )


def _parse_tenant(tenant: ObjectReader) -> api.Tenant:
    return api.Tenant(
        name=tenant.get("Name"), share=tenant.get("Share"), allowance=tenant.get("AllowancePerS")
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
    reader = ObjectReader(CONFIGURATION, message)
    settings, resources = reader.child("settings"), reader.child("limits")
    limits, rules, info = settings.child("PolicyLimits"), settings.child("Rules"), settings.message
    check_deployment_kind(info, settings.path)
    try:
        seed = int(reader.get("seed"), 16)
    except ValueError:
        raise MalformedError("seed must be hex digits") from None
    return Config(
        name=reader.get("name"),
        listen=parse_address(reader.get("listen")),
        discovery=parse_address(reader.get("discovery")),
        seed=seed,
        cores=resources.get("cores"),
        sockets=resources.get("sockets"),
        memory=int(resources.get("memory_mb") * 2**20),
        known=reader.get("known") or {},
        decisions=policy_arguments(info, settings.path),
        transport=ConnectionSettings(
            connect_timeout=limits.get("ConnectTimeout"),
            backend_idle_timeout=limits.get("IdleClose"),
            drain_grace=rules.get("DrainGrace"),
            soft_removal=rules.get("SoftRemoval"),
        ),
        list_is_told=discovery_pushes_changes(info),
        raw=message,
        admin=_parse_admin_address(environment.get("EDGE_ADMIN_ADDR") or reader.get("admin_addr")),
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
