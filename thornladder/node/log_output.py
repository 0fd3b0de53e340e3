"""Where log lines go: standard error, without the errors of writing to it."""

from __future__ import annotations

import json
import os
import select
import sys
from contextlib import suppress


class LogOutput:
    """Writes log lines to standard error. One that cannot be written is lost and disturbs nobody.

    The disk under a log may be full, or its reader gone or slow, while requests are in flight. Lines that
    were lost because nobody read them are counted in the log once there is room again.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        """`descriptor`: an open file descriptor to write to in place of standard error."""
        self.descriptor = sys.stderr.fileno() if descriptor is None else descriptor
        self.lost_lines = 0  # since the last line that was written
        self._line_is_cut = False  # whether the last bytes written do not end a line
        self._poller = select.poll()
        self._poller.register(self.descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Writes a whole line at once; never waits and never raises OSError."""
        if self.lost_lines:
            text = self._lost_lines_report() + text
        if self._write_part(text.encode("utf-8", "backslashreplace")):
            self.lost_lines = 0
        else:
            self.lost_lines += 1

    def flush(self) -> None:
        """Does nothing: no line is kept back."""

    def _lost_lines_report(self) -> str:
        report = {"lines": self.lost_lines, "event": "log lines were lost", "level": "warning"}
        return ("\n" if self._line_is_cut else "") + json.dumps(report) + "\n"

    def _write_part(self, data: bytes) -> bool:
        """Writes as much as there is room for; returns whether that was all of it, or failed."""
        with suppress(OSError):
            while data:
                if not self._poller.poll(0):
                    return False
                # A pipe that polls as writable takes this much without waiting.
                data = data[os.write(self.descriptor, data[: select.PIPE_BUF]) :]
                self._line_is_cut = bool(data)
        return True
