"""Reads TOML files, validated against a type."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from thornladder.fields import MalformedError

T = TypeVar("T")


def read(path: Path | str, schema: type[T]) -> T:
    """Decodes the file as `schema`. Raises MalformedError with a single-line message that names the field."""
    try:
        return msgspec.toml.decode(Path(path).read_bytes(), type=schema)
    except OSError as error:
        raise MalformedError(f"cannot be read: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedError(str(error).replace("\n", " ")) from None
