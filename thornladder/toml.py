"""Files of operators in TOML, checked against a type as they are read."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from thornladder.fields import MalformedError

T = TypeVar("T")


def read(path: Path | str, kind: type[T]) -> T:
    """Raises MalformedError with one line that names the field."""
    try:
        return msgspec.toml.decode(Path(path).read_bytes(), type=kind)
    except OSError as error:
        raise MalformedError(f"cannot be read: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedError(str(error).replace("\n", " ")) from None
