"""What a node is told at its start: the settings, the same on the wire and on sockets, and its own file."""

from __future__ import annotations

import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from thornladder import interface as api
from thornladder.fields import Malformed, lookup, objects, parse, seconds, take

KINDS = {
    "free": api.Idempotency.REPEATABLE,
    "guarded": api.Idempotency.TAGGED,
    "single_shot": api.Idempotency.ONCE_ONLY,
}

BLEND = ("Whole", "WorstWindow", "WorstClass", "WorstTenant", "Availability", "Tail")
# Whether load reports come with probes alone, and are to be asked for.
REPORT_SOURCES = {"pull": True, "piggyback": False, "silent": False}
PROBE_SPENDING = 0.008  # of the result: what probes for reports may cost in all, where each has a price
MOST_REPORTED = 1e6  # of anything that a load report counts: more is no figure of one backend
MOST_ASKS = 3.0  # probes an invocation, however cheap: beyond a choice among three little is gained

Address = tuple[str, int]
NOTHING: Mapping[str, str] = {}


def decisions(info: dict[str, Any]) -> dict[str, Any]:
    """The keyword arguments of `decide.Node` that come from the settings."""
    limits = take(info, "PolicyLimits", dict)
    rules = take(info, "Rules", dict)
    offerings = objects(info, "Classes")
    if not offerings:
        raise Malformed("Classes must not be empty")
    names = [take(line, "Name", str) for line in offerings]
    if twice := next((name for name in names if names.count(name) > 1), None):
        raise Malformed(f"Classes names {twice!r} twice")
    return {
        "zone": take(info, "Az", str, ""),
        "rank": take(info, "Rank", int, 0),
        "nodes": max(1, take(info, "ReplicasOfMe", int)),
        "offerings": [_offering(line) for line in offerings],
        "tenants": [_tenant(line) for line in objects(info, "Tenants")],
        "over_share_worth": take(info, "OverShareWorth", float, 1.0),
        "utility_by_work": take(info, "ValueBy", str, "request") == "work",
        "limits": api.Limits(
            max_pushes=_above_0("MaxAttempts", take(limits, "MaxAttempts", int)),
            hedging=take(limits, "SecondCopies", bool, False),
            cancellation=take(limits, "Cancelling", bool, False),
            probes=take(limits, "Probes", bool, False),
            max_retry_after=seconds(limits, "MaxRetryAfter", 0.0)
            if take(limits, "RetryAfter", bool, False)
            else 0.0,
            probes_per_invocation=_asks(info, limits),
            retry_budget=_further(rules),
            soft_removal=take(rules, "SoftRemoval", bool, False),
        ),
        "cold": api.SlowStartRule(
            initial_capacity=take(rules, "ColdShare", float),
            warm_up=seconds(rules, "WarmUp"),
            overload_multiple=_above_0("FallMultiple", take(rules, "FallMultiple", float)),
            overload_window=_above_0("Fall", seconds(rules, "Fall")),
        ),
        "worst_offering": _worst_offering(take(info, "Blend", dict, {})),
        "must_ask_in": 0.0 if list_is_told(info) else seconds(rules, "MustAskIn", 10.0),
    }


def _worst_offering(blend: dict[str, Any]) -> float:
    """What share of the result goes by the worst-served offering alone."""
    parts = {name: take(blend, name, float, 0.0) for name in BLEND}
    negative = next((name for name, value in parts.items() if value < 0.0), None)
    if negative:
        raise Malformed(f"Blend.{negative} must not be negative")
    return parts["WorstClass"] / (sum(parts.values()) or 1.0)


def _asks(info: dict[str, Any], limits: dict[str, Any]) -> float:
    """Probes for load reports that an invocation may cost; none where probes bring no load."""
    price = take(take(info, "Prices", dict, {}), "Probe", float, 0.0)
    if price < 0.0:
        raise Malformed("Prices.Probe must not be negative")
    if not reports_by_probes(info) or not take(limits, "Probes", bool, False):
        return 0.0
    return min(PROBE_SPENDING / price, MOST_ASKS) if price > 0.0 else MOST_ASKS


MOST_FEW, MOST_RATIO, LONGEST_SPAN = 1e6, 100.0, 3600.0  # beyond these a budget bounds nothing


def _further(rules: dict[str, Any]) -> api.RetryBudgetRule | None:
    """The budget of pushes beyond the first. Without either figure none is stated."""
    if rules.get("ExtraFloor") is None and rules.get("RepeatRatio") is None:
        return None
    few, share = (take(rules, name, float, 0.0) for name in ("ExtraFloor", "RepeatRatio"))
    span = seconds(rules, "BudgetSpan")
    for name, value, most in (("ExtraFloor", few, MOST_FEW), ("RepeatRatio", share, MOST_RATIO)):
        if not 0.0 <= value <= most:
            raise Malformed(f"Rules.{name} must be from 0 to {most:g}")
    if not 0.0 < span <= LONGEST_SPAN:
        raise Malformed(f"Rules.BudgetSpan must be above 0 and at most {LONGEST_SPAN:g} s")
    return api.RetryBudgetRule(few, share, span)


def report(told: Any) -> api.LoadReport:
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
    told, limits, blend = (take(info, name, dict, {}) for name in ("Report", "PolicyLimits", "Blend"))
    own_node = reports_by_probes(info)
    if own_node:
        if not take(limits, "Probes", bool, False):
            raise Malformed("PolicyLimits.Probes must be true where Report.Source is 'pull'")
        if "rif" not in take(told, "Fields", list, []):
            raise Malformed("Report.Fields must name 'rif' where Report.Source is 'pull'")
        if take(info, "Tenants", list, []):
            raise Malformed("Tenants must be empty where Report.Source is 'pull'")
    for part, name in () if own_node else OWN_NODE_ONLY:
        if take(info, part, dict, {}).get(name):
            raise Malformed(f"{part}.{name} must be absent or 0 where Report.Source is not 'pull'")
    for weight, figure in PAIRS:
        if take(blend, weight, float, 0.0) > 0.0 and not take(blend, figure, float, 0.0) > 0.0:
            raise Malformed(f"Blend.{figure} must be above 0 where Blend.{weight} is")


def reports_by_probes(info: dict[str, Any]) -> bool:
    told = take(info, "Report", dict, {})
    return "Source" in told and lookup(REPORT_SOURCES, told, "Source")


def list_is_told(info: dict[str, Any]) -> bool:
    """Whether changes of the list come unasked, as far as the decisions go."""
    return info.get("Discovery") != "on_request"


def _above_0(name: str, value: Any) -> Any:
    if not value > 0:
        raise Malformed(f"{name} must be above 0")
    return value


def lacking(held: Any, new: Any, path: str = "") -> str | None:
    """The first key of the file in force that the new one lacks; marks may be left out where they are false.

    Guards against a file cut short, or put together wrongly, whose gaps would be filled with defaults.
    """
    if isinstance(held, dict) and isinstance(new, dict):
        for name, value in held.items():
            if new.get(name) is None:
                if value is None or isinstance(value, bool):
                    continue
                return f"{path}{name}"
            if found := lacking(value, new[name], f"{path}{name}."):
                return found
    if isinstance(held, list) and isinstance(new, list):
        known = {line.get("Name"): line for line in held if isinstance(line, dict)}
        for line in new:
            name = line.get("Name") if isinstance(line, dict) else None
            if isinstance(name, str) and (found := lacking(known.get(name), line, f"{path}{name}.")):
                return found
    return None


def _offering(line: dict[str, Any]) -> api.Offering:
    return api.Offering(
        name=take(line, "Name", str),
        idempotency=lookup(KINDS, line, "Effect"),
        dedup_scope=take(line, "Group", str, "all"),
        dedup_window=seconds(line, "Window", 0.0),
        target_time=_above_0("Aim", seconds(line, "Aim")),
        cut_off=_above_0("HardLimit", seconds(line, "HardLimit")),
        utility=take(line, "Worth", float),
        late_utility_share=take(line, "LateWorth", float, 0.0),
    )


def _tenant(line: dict[str, Any]) -> api.Tenant:
    return api.Tenant(
        name=take(line, "Name", str),
        share=take(line, "Share", float),
        allowance=take(line, "AllowancePerS", float, 0.0),
    )


@dataclass(frozen=True, slots=True)
class Transport:
    """What the settings say of connections."""

    connect_time_out: float
    idle_close: float  # after this a backend has closed an idle connection at the latest
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
        message = parse(Path(path).read_bytes())
    except OSError as error:
        raise Malformed(f"cannot be read: {error.strerror}") from None
    return decode(message, environment)


def decode(message: dict[str, Any], environment: Mapping[str, str] = NOTHING) -> Config:
    """What only this process is told, by its environment, goes before the file."""
    info = take(message, "settings", dict)
    limits, rules = take(info, "PolicyLimits", dict), take(info, "Rules", dict)
    given = take(message, "limits", dict, {})
    check_shape(info)
    try:
        seed = int(take(message, "seed", str), 16)
    except ValueError:
        raise Malformed("seed must be hex digits") from None
    return Config(
        name=take(message, "name", str, ""),
        listen=address(take(message, "listen", str)),
        discovery=address(take(message, "discovery", str)),
        seed=seed,
        cores=take(given, "cores", float, 1.0),
        sockets=take(given, "sockets", int, 1024),
        memory=int(take(given, "memory_mb", float, 192.0) * 2**20),
        known=take(message, "known", dict, {}),
        decisions=decisions(info),
        transport=Transport(
            connect_time_out=seconds(limits, "ConnectTimeout", 0.25),
            idle_close=seconds(limits, "IdleClose", 15.0),
            drain_grace=seconds(rules, "DrainGrace", 1.0),
            soft_removal=take(rules, "SoftRemoval", bool, False),
        ),
        list_is_told=list_is_told(info),
        raw=message,
        admin=_admin(environment.get("EDGE_ADMIN_ADDR") or take(message, "admin_addr", str, "")),
        folder=environment.get("TMPDIR") or tempfile.gettempdir(),
        inherited=_inherited(environment.get("EDGE_INHERITED_FD", "")),
    )


def _admin(text: str) -> Address | None:
    try:
        return address(text) if text else None
    except Malformed as error:
        raise Malformed(f"admin_addr: {error}") from None


def _inherited(text: str) -> int | None:
    if text and not (text.isdecimal() and len(text) <= 6):
        raise Malformed(f"EDGE_INHERITED_FD: {text!r} is not a descriptor")
    return int(text) if text else None


def address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdecimal() and 0 <= int(port) < 65536):
        raise Malformed(f"{text!r} is not an address and port")
    return host.strip("[]"), int(port)
