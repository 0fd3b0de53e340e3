"""Typed access to fields of untrusted JSON objects: simulator messages, settings and endpoint lists."""

from __future__ import annotations

import json
from typing import Any

MICROS_PER_SECOND = 1_000_000
_TYPE_DESCRIPTIONS = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "text",
    dict: "an object",
    list: "an array",
}


class MalformedError(Exception):
    """The input has a missing, mistyped or invalid value. The message names the field."""


def parse_object(text: str | bytes) -> dict[str, Any]:
    """Parses JSON whose top level is an object. Raises MalformedError."""
    try:
        message = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise MalformedError(f"not JSON: {error}") from None
    if not isinstance(message, dict):
        raise MalformedError("a message must be an object")
    return message


def get_field(message: dict[str, Any], name: str, expected: type, default: Any = None) -> Any:
    """Returns the field `name`, checked to be of type `expected`; an int is converted if a float is expected.

    Null counts as absent. Raises MalformedError, also for an absent field without a default.
    """
    value = message.get(name)
    if value is None:
        if default is None:
            raise MalformedError(f"{name} is missing")
        return default
    if expected is float and type(value) is int:
        value = float(value)
    if type(value) is not expected or (expected is float and not abs(value) < 1e300):
        raise MalformedError(f"{name} must be {_TYPE_DESCRIPTIONS[expected]}")
    return value


def get_optional(message: dict[str, Any], name: str, expected: type) -> Any:
    """Returns the field `name` like `get_field`, or None if it is absent."""
    return None if message.get(name) is None else get_field(message, name, expected)


def get_seconds(message: dict[str, Any], name: str, default: float | None = None) -> float:
    """Returns a field given in whole microseconds, in seconds. `default` is in seconds."""
    value = message.get(name)
    if value is None and default is not None:
        return default
    return get_field(message, name, int) / MICROS_PER_SECOND


def get_choice(choices: dict[str, Any], message: dict[str, Any], name: str) -> Any:
    """Returns the entry of `choices` whose key is the text in the field `name`. Raises MalformedError."""
    key = get_field(message, name, str)
    if key not in choices:
        raise MalformedError(f"{name} has the unknown value {key!r}")
    return choices[key]


def get_objects(message: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns the array of objects in the field `name`, empty if it is absent. Raises MalformedError."""
    items = get_field(message, name, list, [])
    if not all(isinstance(item, dict) for item in items):
        raise MalformedError(f"{name} must contain only objects")
    return items
