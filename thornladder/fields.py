"""Checked reading of JSON objects from outside: the wire's messages, the settings, the list."""

from __future__ import annotations

import json
from typing import Any

MICROS_PER_SECOND = 1_000_000
_KIND_NAMES = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "text",
    dict: "an object",
    list: "an array",
}


class MalformedError(Exception):
    """The input is not what was promised; the text says where."""


def parse_object(text: str | bytes) -> dict[str, Any]:
    try:
        message = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise MalformedError(f"not JSON: {error}") from None
    if not isinstance(message, dict):
        raise MalformedError("a message must be an object")
    return message


def get_field(message: dict[str, Any], name: str, wanted: type, default: Any = None) -> Any:
    """The field `name`, checked; without a default it must be there."""
    value = message.get(name)
    if value is None:
        if default is None:
            raise MalformedError(f"{name} is missing")
        return default
    if wanted is float and type(value) is int:
        value = float(value)
    if type(value) is not wanted or (wanted is float and not abs(value) < 1e300):
        raise MalformedError(f"{name} must be {_KIND_NAMES[wanted]}")
    return value


def get_optional(message: dict[str, Any], name: str, wanted: type) -> Any:
    """The field `name`, checked, or None where it is absent."""
    return None if message.get(name) is None else get_field(message, name, wanted)


def get_seconds(message: dict[str, Any], name: str, default: float | None = None) -> float:
    value = message.get(name)
    if value is None and default is not None:
        return default
    return get_field(message, name, int) / MICROS_PER_SECOND


def get_choice(table: dict[str, Any], message: dict[str, Any], name: str) -> Any:
    word = get_field(message, name, str)
    if word not in table:
        raise MalformedError(f"{name} has the unknown value {word!r}")
    return table[word]


def get_objects(message: dict[str, Any], name: str) -> list[dict[str, Any]]:
    lines = get_field(message, name, list, [])
    if not all(isinstance(line, dict) for line in lines):
        raise MalformedError(f"{name} must hold objects")
    return lines
