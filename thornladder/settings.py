"""What a node is told at its start: the settings, the same on the wire and on sockets, and its own file."""

from __future__ import annotations

import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from thornladder import interface as api
from thornladder.fields import MalformedError, get_choice, get_field, get_objects, get_seconds, parse_object

KINDS = {
    "free": api.Idempotency.REPEATABLE,
    "guarded": api.Idempotency.TAGGED,
    "single_shot": api.Idempotency.ONCE_ONLY,
}

BLEND = ("Whole", "WorstWindow", "WorstClass", "WorstTenant", "Availability", "Tail")
# Whether load reports come with probes alone, and are to be asked for.
REPORT_SOURCES = {"pull": True, "piggyback": False, "silent": False}
MAX_PROBE_COST_SHARE = 0.008  # of the result: what probes for reports may cost in all, where each has a price
MOST_REPORTED = 1e6  # of anything that a load report counts: more is no figure of one backend
MAX_PROBES_PER_INVOCATION = (
    3.0  # probes an invocation, however cheap: beyond a choice among three little is gained
)

Address = tuple[str, int]
NOTHING: Mapping[str, str] = {}


def policy_arguments(info: dict[str, Any]) -> dict[str, Any]:
    """The keyword arguments of `decide.Node` that come from the settings."""
    limits = get_field(info, "PolicyLimits", dict)
    rules = get_field(info, "Rules", dict)
    offerings = get_objects(info, "Classes")
    if not offerings:
        raise MalformedError("Classes must not be empty")
    names = [get_field(line, "Name", str) for line in offerings]
    if twice := next((name for name in names if names.count(name) > 1), None):
        raise MalformedError(f"Classes names {twice!r} twice")
    return {
        "zone": get_field(info, "Az", str, ""),
        "rank": get_field(info, "Rank", int, 0),
        "nodes": max(1, get_field(info, "ReplicasOfMe", int)),
        "offerings": [_offering(line) for line in offerings],
        "tenants": [_tenant(line) for line in get_objects(info, "Tenants")],
        "over_share_worth": get_field(info, "OverShareWorth", float, 1.0),
        "utility_by_work": get_field(info, "ValueBy", str, "request") == "work",
        "limits": api.Limits(
            max_pushes=_above_0("MaxAttempts", get_field(limits, "MaxAttempts", int)),
            hedging=get_field(limits, "SecondCopies", bool, False),
            cancellation=get_field(limits, "Cancelling", bool, False),
            probes=get_field(limits, "Probes", bool, False),
            max_retry_after=get_seconds(limits, "MaxRetryAfter", 0.0)
            if get_field(limits, "RetryAfter", bool, False)
            else 0.0,
            probes_per_invocation=_asks(info, limits),
            retry_budget=_further(rules),
            soft_removal=get_field(rules, "SoftRemoval", bool, False),
        ),
        "cold": api.SlowStartRule(
            initial_capacity=get_field(rules, "ColdShare", float),
            warm_up=get_seconds(rules, "WarmUp"),
            overload_multiple=_above_0("FallMultiple", get_field(rules, "FallMultiple", float)),
            overload_window=_above_0("Fall", get_seconds(rules, "Fall")),
        ),
        "worst_offering": _worst_offering(get_field(info, "Blend", dict, {})),
        "must_ask_in": 0.0 if list_is_told(info) else get_seconds(rules, "MustAskIn", 10.0),
    }


def _worst_offering(blend: dict[str, Any]) -> float:
    """What share of the result goes by the worst-served offering alone."""
    parts = {name: get_field(blend, name, float, 0.0) for name in BLEND}
    negative = next((name for name, value in parts.items() if value < 0.0), None)
    if negative:
        raise MalformedError(f"Blend.{negative} must not be negative")
    return parts["WorstClass"] / (sum(parts.values()) or 1.0)


def _asks(info: dict[str, Any], limits: dict[str, Any]) -> float:
    """Probes for load reports that an invocation may cost; none where probes bring no load."""
    price = get_field(get_field(info, "Prices", dict, {}), "Probe", float, 0.0)
    if price < 0.0:
        raise MalformedError("Prices.Probe must not be negative")
    if not reports_by_probes(info) or not get_field(limits, "Probes", bool, False):
        return 0.0
    return (
        min(MAX_PROBE_COST_SHARE / price, MAX_PROBES_PER_INVOCATION)
        if price > 0.0
        else MAX_PROBES_PER_INVOCATION
    )


MOST_FEW, MOST_RATIO, LONGEST_SPAN = 1e6, 100.0, 3600.0  # beyond these a budget bounds nothing


def _further(rules: dict[str, Any]) -> api.RetryBudgetRule | None:
    """The budget of pushes beyond the first. Without either figure none is stated."""
    if rules.get("ExtraFloor") is None and rules.get("RepeatRatio") is None:
        return None
    few, share = (get_field(rules, name, float, 0.0) for name in ("ExtraFloor", "RepeatRatio"))
    span = get_seconds(rules, "BudgetSpan")
    for name, value, most in (("ExtraFloor", few, MOST_FEW), ("RepeatRatio", share, MOST_RATIO)):
        if not 0.0 <= value <= most:
            raise MalformedError(f"Rules.{name} must be from 0 to {most:g}")
    if not 0.0 < span <= LONGEST_SPAN:
        raise MalformedError(f"Rules.BudgetSpan must be above 0 and at most {LONGEST_SPAN:g} s")
    return api.RetryBudgetRule(few, share, span)


def parse_load_report(told: Any) -> api.LoadReport:
    """A load report, decoded; what is missing, unknown or makes no sense is left out and ends nothing."""
    if not isinstance(told, dict):
        return api.NO_REPORT
    return api.LoadReport(*(_sane(told.get(name)) for name in ("rif", "fail_rate", "rate", "busy")))


def _sane(value: Any) -> float | None:
    number = type(value) in (int, float) and 0 <= value < MOST_REPORTED
    return float(value) if number else None


# What only deployments with a node for each client have, and where it stands in the settings. Their load
# reports come with probes; traffic is not even, so that tenants' allowances cannot be dealt out evenly.
OWN_NODE_ONLY = (("PolicyLimits", "Peers"), ("Blend", "Tail"), ("Blend", "BorneMisses"),
                 ("Blend", "Availability"), ("Blend", "NinesWanted"))  # fmt: skip
PAIRS = (("Tail", "BorneMisses"), ("Availability", "NinesWanted"))  # each needs the other to mean anything


def check_shape(info: dict[str, Any]) -> None:
    """Refuse settings of which some speak of a node for each client and some of a pool of nodes."""
    told, limits, blend = (get_field(info, name, dict, {}) for name in ("Report", "PolicyLimits", "Blend"))
    own_node = reports_by_probes(info)
    if own_node:
        if not get_field(limits, "Probes", bool, False):
            raise MalformedError("PolicyLimits.Probes must be true where Report.Source is 'pull'")
        if "rif" not in get_field(told, "Fields", list, []):
            raise MalformedError("Report.Fields must name 'rif' where Report.Source is 'pull'")
        if get_field(info, "Tenants", list, []):
            raise MalformedError("Tenants must be empty where Report.Source is 'pull'")
    for part, name in () if own_node else OWN_NODE_ONLY:
        if get_field(info, part, dict, {}).get(name):
            raise MalformedError(f"{part}.{name} must be absent or 0 where Report.Source is not 'pull'")
    for weight, figure in PAIRS:
        if get_field(blend, weight, float, 0.0) > 0.0 and not get_field(blend, figure, float, 0.0) > 0.0:
            raise MalformedError(f"Blend.{figure} must be above 0 where Blend.{weight} is")


def reports_by_probes(info: dict[str, Any]) -> bool:
    told = get_field(info, "Report", dict, {})
    return "Source" in told and get_choice(REPORT_SOURCES, told, "Source")


def list_is_told(info: dict[str, Any]) -> bool:
    """Whether changes of the list come unasked, as far as the decisions go."""
    return info.get("Discovery") != "on_request"


def _above_0(name: str, value: Any) -> Any:
    if not value > 0:
        raise MalformedError(f"{name} must be above 0")
    return value


def first_missing_key(held: Any, new: Any, path: str = "") -> str | None:
    """The first key of the file in force that the new one lacks; marks may be left out where they are false.

    Guards against a file cut short, or put together wrongly, whose gaps would be filled with defaults.
    """
    if isinstance(held, dict) and isinstance(new, dict):
        for name, value in held.items():
            if new.get(name) is None:
                if value is None or isinstance(value, bool):
                    continue
                return f"{path}{name}"
            if found := first_missing_key(value, new[name], f"{path}{name}."):
                return found
    if isinstance(held, list) and isinstance(new, list):
        known = {line.get("Name"): line for line in held if isinstance(line, dict)}
        for line in new:
            name = line.get("Name") if isinstance(line, dict) else None
            if isinstance(name, str) and (
                found := first_missing_key(known.get(name), line, f"{path}{name}.")
            ):
                return found
    return None


def _offering(line: dict[str, Any]) -> api.Offering:
    return api.Offering(
        name=get_field(line, "Name", str),
        idempotency=get_choice(KINDS, line, "Effect"),
        dedup_scope=get_field(line, "Group", str, "all"),
        dedup_window=get_seconds(line, "Window", 0.0),
        target_time=_above_0("Aim", get_seconds(line, "Aim")),
        cut_off=_above_0("HardLimit", get_seconds(line, "HardLimit")),
        utility=get_field(line, "Worth", float),
        late_utility_share=get_field(line, "LateWorth", float, 0.0),
    )


def _tenant(line: dict[str, Any]) -> api.Tenant:
    return api.Tenant(
        name=get_field(line, "Name", str),
        share=get_field(line, "Share", float),
        allowance=get_field(line, "AllowancePerS", float, 0.0),
    )


@dataclass(frozen=True, slots=True)
class Transport:
    """What the settings say of connections."""

    connect_timeout: float
    backend_idle_timeout: float  # after this a backend has closed an idle connection at the latest
    drain_grace: float
    soft_removal: bool  # only a listed drain binds


@dataclass(frozen=True, slots=True)
class Config:
    """The node's own file, decoded."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float
    sockets: int
    memory: int  # bytes
    known: dict[str, Any]  # the list as it was, in discovery's form
    decisions: dict[str, Any]
    transport: Transport
    list_is_told: bool
    raw: dict[str, Any]  # the file as it came
    admin: Address | None = None  # where operators call
    folder: str = ""  # private, kept from one process of this node to the next, counts as memory
    inherited: int | None = None  # the descriptor of a listening socket that this process was given


def load(path: str, environment: Mapping[str, str] = NOTHING) -> Config:
    try:
        message = parse_object(Path(path).read_bytes())
    except OSError as error:
        raise MalformedError(f"cannot be read: {error.strerror}") from None
    return decode(message, environment)


def decode(message: dict[str, Any], environment: Mapping[str, str] = NOTHING) -> Config:
    """What only this process is told, by its environment, goes before the file."""
    info = get_field(message, "settings", dict)
    limits, rules = get_field(info, "PolicyLimits", dict), get_field(info, "Rules", dict)
    given = get_field(message, "limits", dict, {})
    check_shape(info)
    try:
        seed = int(get_field(message, "seed", str), 16)
    except ValueError:
        raise MalformedError("seed must be hex digits") from None
    return Config(
        name=get_field(message, "name", str, ""),
        listen=parse_address(get_field(message, "listen", str)),
        discovery=parse_address(get_field(message, "discovery", str)),
        seed=seed,
        cores=get_field(given, "cores", float, 1.0),
        sockets=get_field(given, "sockets", int, 1024),
        memory=int(get_field(given, "memory_mb", float, 192.0) * 2**20),
        known=get_field(message, "known", dict, {}),
        decisions=policy_arguments(info),
        transport=Transport(
            connect_timeout=get_seconds(limits, "ConnectTimeout", 0.25),
            backend_idle_timeout=get_seconds(limits, "IdleClose", 15.0),
            drain_grace=get_seconds(rules, "DrainGrace", 1.0),
            soft_removal=get_field(rules, "SoftRemoval", bool, False),
        ),
        list_is_told=list_is_told(info),
        raw=message,
        admin=_admin(environment.get("EDGE_ADMIN_ADDR") or get_field(message, "admin_addr", str, "")),
        folder=environment.get("TMPDIR") or tempfile.gettempdir(),
        inherited=_inherited(environment.get("EDGE_INHERITED_FD", "")),
    )


def _admin(text: str) -> Address | None:
    try:
        return parse_address(text) if text else None
    except MalformedError as error:
        raise MalformedError(f"admin_addr: {error}") from None


def _inherited(text: str) -> int | None:
    if text and not (text.isdecimal() and len(text) <= 6):
        raise MalformedError(f"EDGE_INHERITED_FD: {text!r} is not a descriptor")
    return int(text) if text else None


def parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdecimal() and 0 <= int(port) < 65536):
        raise MalformedError(f"{text!r} is not an address and port")
    return host.strip("[]"), int(port)
