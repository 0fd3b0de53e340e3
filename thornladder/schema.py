"""Declares the objects of a configuration file: which keys each one holds, and what each key may hold.

Decoding reads objects through their declaration (`ObjectReader`), and a reload checks a new configuration
against it and against the one in force (`check_replacement`). The declarations themselves are in
`settings_schema`.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from enum import Enum
from typing import Any, NamedTuple

from thornladder.fields import MICROS_PER_SECOND, MalformedError, get_field


class Presence(Enum):
    """Whether an object has to hold a key. Null counts as absent."""

    REQUIRED = "required"  # always
    EXPECTED = "expected"  # in a replacement, unless the configuration in force does without the key
    OPTIONAL = "optional"  # never


class Enforcement(Enum):
    """When the permitted values of a key are enforced; its type always is, where the key is read."""

    ALWAYS = "always"
    ON_REPLACEMENT = "on replacement"  # at the start an unexpected value is left to the decoding


class Key(NamedTuple):
    """One key of an object."""

    type: type
    presence: Presence = Presence.EXPECTED
    default: Any = None  # of an absent key, in the unit of the file
    minimum: float | None = None
    exclusive: bool = False  # the minimum itself is not permitted
    maximum: float | None = None
    choices: tuple[str, ...] = ()  # permitted texts; empty: any
    enforcement: Enforcement = Enforcement.ON_REPLACEMENT
    relevant_where: tuple[str, str] | None = None  # another key and the value with which this one matters
    is_duration: bool = False  # whole microseconds in the file, seconds when read
    item: ObjectSchema | None = None  # of an object, or of each object in a list
    item_type: type | None = None  # of each value in a list of plain values

    def is_relevant_in(self, message: Mapping[str, Any]) -> bool:
        """Whether this key matters in an object, given its other keys."""
        if self.relevant_where is None:
            return True
        name, value = self.relevant_where
        return message.get(name) == value

    def is_required_in(self, message: Mapping[str, Any]) -> bool:
        """Whether an object is malformed without this key, also at the start."""
        return self.presence is Presence.REQUIRED and self.is_relevant_in(message)

    def is_required_in_replacement(self, message: Mapping[str, Any]) -> bool:
        """Whether an object of a replacement needs this key, whatever the one in force does without."""
        return self.is_required_in(message) or (
            self.relevant_where is not None and self.is_relevant_in(message)
        )

    def value_error(self, value: Any) -> str | None:
        """What is wrong with a value of the right type, as the end of a sentence; None if permitted."""
        if self.choices and value not in self.choices:
            return f"has the unknown value {value!r}"
        if self.minimum is not None and (value < self.minimum or (self.exclusive and value == self.minimum)):
            return f"must be {'above' if self.exclusive else 'at least'} {self.minimum:g}"
        if self.maximum is not None and value > self.maximum:
            return f"must be at most {self.maximum:g}"
        return None


class ObjectSchema(NamedTuple):
    """The declared keys of one kind of object. Others are permitted and ignored."""

    keys: Mapping[str, Key]
    identity: str = "Name"  # the key that tells objects of a list apart


UNDECLARED = ObjectSchema({})


class ObjectReader:
    """Reads one object of the file by its declaration. Every error names the key with its path."""

    def __init__(self, schema: ObjectSchema, message: Any, path: str = "") -> None:
        """Raises MalformedError if `message` is not an object."""
        if not isinstance(message, dict):
            raise MalformedError(f"{path.removesuffix('.')} must be an object")
        self.schema, self.message, self.path = schema, message, path

    def error(self, name: str, text: str) -> MalformedError:
        """An error about the key `name`."""
        return MalformedError(f"{self.path}{name} {text}")

    def has(self, name: str) -> bool:
        """Whether the object holds the key."""
        return self.message.get(name) is not None

    def get(self, name: str) -> Any:
        """The value of a key, or its default; durations are in seconds. Raises MalformedError."""
        key = self.schema.keys[name]
        value = self._checked(name, key)
        if value is None:
            value = key.default
        return value / MICROS_PER_SECOND if key.is_duration and value is not None else value

    def child(self, name: str) -> ObjectReader:
        """The object under a key; an absent one reads as an empty object. Raises MalformedError."""
        key = self.schema.keys[name]
        value = self._checked(name, key)
        return ObjectReader(key.item, {} if value is None else value, f"{self.path}{name}.")

    def children(self, name: str) -> list[ObjectReader]:
        """The objects in the list under a key; none if it is absent. Raises MalformedError."""
        key = self.schema.keys[name]
        items = self._checked(name, key) or []
        return [
            ObjectReader(key.item, item, f"{self.path}{name}.{label}.")
            for label, item in _labelled(items, key.item)
        ]

    def _checked(self, name: str, key: Key) -> Any:
        """The value of a key, checked; None if it is absent and may be. Raises MalformedError."""
        if not self.has(name):
            if key.is_required_in(self.message):
                raise self.error(name, "is missing")
            return None
        value = self._typed(name, key)
        enforced = key.enforcement is Enforcement.ALWAYS and key.is_relevant_in(self.message)
        if enforced and (error := key.value_error(value)):
            raise self.error(name, error)
        return value

    def _typed(self, name: str, key: Key) -> Any:
        try:
            return get_field(self.message, name, key.type)
        except MalformedError as error:
            raise MalformedError(f"{self.path}{error}") from None

    def check(self, name: str) -> None:
        """Checks a key that is present against all of its declaration. Raises MalformedError."""
        key = self.schema.keys[name]
        value = self._typed(name, key)
        if error := key.value_error(value):
            raise self.error(name, error)
        if key.item_type is not None and not all(type(item) is key.item_type for item in value):
            raise self.error(name, "has an item of the wrong type")


def _labelled(items: Sequence[Any], schema: ObjectSchema) -> Iterator[tuple[str, Any]]:
    """The items of a list, each with its identity, or with its index if it has none."""
    for index, item in enumerate(items):
        identity = item.get(schema.identity) if isinstance(item, dict) else None
        yield (identity if isinstance(identity, str) else str(index)), item


class InForce(NamedTuple):
    """What the configuration in force holds at the place of an object of its replacement."""

    message: Mapping[str, Any] = {}  # the same object
    similar: Sequence[Mapping[str, Any]] = ()  # if it is new in its list: the other objects of that list
    is_new: bool = False

    def does_without(self, name: str) -> bool:
        """Whether the configuration in force shows that it was written without this key."""
        if not self.is_new:
            return self.message.get(name) is None
        return any(other.get(name) is None for other in self.similar)

    def child(self, name: str) -> InForce:
        """What is in force for the object under a key."""
        message = self.message.get(name)
        return InForce(message) if isinstance(message, dict) else InForce(is_new=True)

    def item(self, name: str, identity_key: str, identity: Any) -> InForce:
        """What is in force for the object of that identity in the list under a key."""
        items = self.message.get(name)
        objects = [item for item in items if isinstance(item, dict)] if isinstance(items, list) else []
        same = [item for item in objects if identity is not None and item.get(identity_key) == identity]
        return InForce(same[0]) if same else InForce(similar=objects, is_new=True)


def check_replacement(schema: ObjectSchema, current: Mapping[str, Any], new: Any) -> None:
    """Raises MalformedError, which names the first such key, unless `new` may replace `current`.

    Guards against a file that is cut short or put together wrongly, whose gaps would be filled with defaults.
    The new configuration has to hold each key that its declaration expects, in objects that are new as well;
    those that the configuration in force does without are exempt, since older files lack later keys. What is
    in force and not declared has to stay, but for booleans, whose absence means false.
    """
    _check_object(ObjectReader(schema, new), InForce(current))


def _check_object(reader: ObjectReader, in_force: InForce) -> None:
    for name, key in reader.schema.keys.items():
        if reader.has(name):
            reader.check(name)
            if key.item is not None:
                _check_items(reader, name, key.item, in_force)
        elif key.is_required_in_replacement(reader.message) or (
            key.presence is not Presence.OPTIONAL and not in_force.does_without(name)
        ):
            raise reader.error(name, "is missing")
    _check_undeclared(reader, in_force)


def _check_undeclared(reader: ObjectReader, in_force: InForce) -> None:
    for name, value in in_force.message.items():
        if name in reader.schema.keys or value is None:
            continue
        if reader.has(name):
            _check_items(reader, name, UNDECLARED, in_force)
        elif not isinstance(value, bool):
            raise reader.error(name, "is missing")


def _check_items(reader: ObjectReader, name: str, schema: ObjectSchema, in_force: InForce) -> None:
    """Checks the object under a key, or the objects in the list there."""
    value, path = reader.message[name], f"{reader.path}{name}."
    if isinstance(value, dict):
        _check_object(ObjectReader(schema, value, path), in_force.child(name))
    elif isinstance(value, list) and (schema is not UNDECLARED or any(isinstance(x, dict) for x in value)):
        for label, item in _labelled(value, schema):
            if schema is UNDECLARED and not isinstance(item, dict):
                continue
            identity = item.get(schema.identity) if isinstance(item, dict) else None
            known = in_force.item(name, schema.identity, identity)
            _check_object(ObjectReader(schema, item, f"{path}{label}."), known)
