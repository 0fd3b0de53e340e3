"""The declared keys of a node's configuration file.

Sources: the deployment page for the file, the wire page ("Start-up settings") for the object under `settings`
and its later sections for keys that were added. A key is optional where its page says that it may be absent.
A default or a missing key that could let an effect happen twice is not tolerated at the start either.
"""

from __future__ import annotations

from typing import Any

from thornladder.schema import Enforcement, Key, ObjectSchema, Presence

MAX_EXTRA_FLOOR = 1e6  # pushes; a larger budget would limit nothing
MAX_REPEAT_RATIO = 100.0  # pushes for each invocation
MAX_BUDGET_SPAN_MICROS = 3_600_000_000

REQUIRED, OPTIONAL, ALWAYS = Presence.REQUIRED, Presence.OPTIONAL, Enforcement.ALWAYS


def _duration(**options: Any) -> Key:
    """A length of time in whole microseconds."""
    return Key(int, **{"minimum": 0, "is_duration": True, **options})


def _positive_duration(**options: Any) -> Key:
    return _duration(exclusive=True, enforcement=ALWAYS, **options)


def _number(**options: Any) -> Key:
    """A number that is not negative."""
    return Key(float, **{"minimum": 0, **options})


def _share(**options: Any) -> Key:
    """A number from 0 to 1."""
    return _number(maximum=1, **options)


def _count(**options: Any) -> Key:
    return Key(int, **{"minimum": 0, **options})


def _object(schema: ObjectSchema, **options: Any) -> Key:
    return Key(dict, item=schema, **options)


def _objects(schema: ObjectSchema, **options: Any) -> Key:
    return Key(list, item=schema, **options)


def _texts(**options: Any) -> Key:
    return Key(list, item_type=str, **options)


CLASS = ObjectSchema({
    "Name": Key(str, REQUIRED),
    "Effect": Key(str, REQUIRED, choices=("free", "guarded", "single_shot"), enforcement=ALWAYS),
    # Which backends discard a repeat: with a wrong guess it runs twice.
    "Group": Key(str, REQUIRED, default="all", choices=("all", "zone", "cell"), enforcement=ALWAYS,
                 relevant_where=("Effect", "guarded")),
    "Window": _duration(default=0, relevant_where=("Effect", "guarded")),
    "Aim": _positive_duration(presence=REQUIRED),
    "HardLimit": _positive_duration(presence=REQUIRED),
    "Worth": _number(presence=REQUIRED),
    "LateWorth": _share(default=0.0),
    "Stream": Key(bool, default=False),
    "AimStretch": _number(presence=OPTIONAL),
})  # fmt: skip

TENANT = ObjectSchema({
    "Name": Key(str, REQUIRED),
    "Share": _share(presence=REQUIRED),
    "AllowancePerS": _number(default=0.0),
})  # fmt: skip

POLICY_LIMITS = ObjectSchema({
    "Cancelling": Key(bool, default=False),
    "ConnectTimeout": _duration(default=250_000),
    "CpuUsPerRequest": _number(),
    "CpuUsPerS": _number(),
    "IdleClose": _duration(default=15_000_000),
    "MaxAttempts": _count(presence=REQUIRED, exclusive=True, enforcement=ALWAYS),
    "MaxOpen": _number(),
    "MaxRetryAfter": _duration(default=0),
    "Peers": Key(bool, default=False),
    "Probes": Key(bool, default=False),
    "RetryAfter": Key(bool, default=False),
    "SecondCopies": Key(bool, default=False),
    "StreamsPerConn": _number(),
})  # fmt: skip

RULES = ObjectSchema({
    "AnswerSlack": _duration(),
    "ColdShare": _share(presence=REQUIRED),
    "DrainGrace": _duration(default=1_000_000),
    "Fall": _positive_duration(presence=REQUIRED),
    "FallMultiple": _number(presence=REQUIRED, exclusive=True, enforcement=ALWAYS),
    "MustAskIn": _duration(default=10_000_000),
    "WarmUp": _duration(presence=REQUIRED),
    "ExtraFloor": _number(presence=OPTIONAL, default=0.0, maximum=MAX_EXTRA_FLOOR, enforcement=ALWAYS),
    "RepeatRatio": _number(presence=OPTIONAL, default=0.0, maximum=MAX_REPEAT_RATIO, enforcement=ALWAYS),
    "BudgetSpan": _positive_duration(presence=OPTIONAL, maximum=MAX_BUDGET_SPAN_MICROS),
    "SoftRemoval": Key(bool, OPTIONAL, default=False),
})  # fmt: skip

_WEIGHT = _number(default=0.0, enforcement=ALWAYS)
_OPTIONAL_WEIGHT = _number(presence=OPTIONAL, default=0.0, enforcement=ALWAYS)
BLEND = ObjectSchema({
    "Whole": _WEIGHT, "WorstWindow": _WEIGHT, "WorstClass": _WEIGHT, "WorstTenant": _WEIGHT,
    "Availability": _OPTIONAL_WEIGHT, "Tail": _OPTIONAL_WEIGHT,
    "NinesWanted": _number(presence=OPTIONAL, default=0.0),
    "BorneMisses": _number(presence=OPTIONAL, default=0.0),
})  # fmt: skip

PRICES = ObjectSchema({
    "Connection": _number(), "CrossZone": _number(), "Discovery": _number(), "Handshake": _number(),
    "LateFail": _number(), "Moves": _number(), "Origin": _number(), "Peer": _number(),
    "Probe": _number(default=0.0, enforcement=ALWAYS),
    "Waste": _number(),
    "Fleet": _number(presence=OPTIONAL),
})  # fmt: skip

REPORT = ObjectSchema({
    "Fields": _texts(default=()),
    "Source": Key(str, default="silent", choices=("pull", "piggyback", "silent"), enforcement=ALWAYS),
})  # fmt: skip

SETTINGS = ObjectSchema({
    "Az": Key(str, default=""),
    "Blend": _object(BLEND),
    "Classes": _objects(CLASS),
    "Clients": _object(ObjectSchema({"MarksRetry": Key(bool)})),
    "Discovery": Key(str, default="pushed", choices=("pushed", "on_request")),
    "Domain": _object(ObjectSchema({"PassesDeadline": Key(bool, OPTIONAL),
                                    "WarmKeys": Key(bool, OPTIONAL)})),
    "Family": Key(str),
    "Kinds": _texts(),
    "Localities": _texts(),
    "OverShareWorth": _share(default=1.0),
    "PolicyLimits": _object(POLICY_LIMITS, presence=REQUIRED),
    "Prices": _object(PRICES),
    "Rank": _count(default=0),
    "ReplicasOfMe": _count(presence=REQUIRED),
    "Report": _object(REPORT),
    "Rules": _object(RULES, presence=REQUIRED),
    "Tenants": _objects(TENANT),
    "Tick": _number(),
    "Tier": _count(),
    "Tiers": _texts(),
    "ValueBy": Key(str, default="request", choices=("request", "work")),
    "WeightSource": Key(str, choices=("silent", "nominal", "rough", "live")),
})  # fmt: skip

RESOURCES = ObjectSchema({
    "cores": _number(default=1.0, exclusive=True),
    "memory_mb": _number(default=192.0, exclusive=True),
    "sockets": _count(default=1024, exclusive=True),
})  # fmt: skip

# In the form of discovery's answers, whose decoding checks the instances. Used at the start alone.
KNOWN = ObjectSchema({"generation": _count(), "reset": Key(bool), "instances": Key(list)})

CONFIGURATION = ObjectSchema({
    "name": Key(str, default=""),
    "listen": Key(str, REQUIRED),
    "discovery": Key(str, REQUIRED),
    "seed": Key(str, REQUIRED),
    "limits": _object(RESOURCES),
    "known": _object(KNOWN),
    "settings": _object(SETTINGS, presence=REQUIRED),
    "admin_addr": Key(str, OPTIONAL, default=""),
})  # fmt: skip
