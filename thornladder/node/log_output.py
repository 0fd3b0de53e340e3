"""Where log lines go: standard error, without the errors of writing to it."""

from __future__ import annotations

import os
import sys
from contextlib import suppress


class LogOutput:
    """Writes log lines to standard error. One that cannot be written is lost and disturbs nobody.

    The disk under a log may be full, or its reader gone, while requests are in flight.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        """`descriptor`: an open file descriptor to write to in place of standard error."""
        self.descriptor = sys.stderr.fileno() if descriptor is None else descriptor

    def write(self, text: str) -> None:
        """Writes a whole line at once; never raises OSError."""
        with suppress(OSError):
            os.write(self.descriptor, text.encode("utf-8", "backslashreplace"))

    def flush(self) -> None:
        """Does nothing: no line is kept back."""
