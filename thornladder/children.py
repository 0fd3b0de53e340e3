"""Child processes that do not outlive their parent."""

from __future__ import annotations

import ctypes
from collections.abc import Callable

_libc = ctypes.CDLL(None, use_errno=True)
PR_SET_PDEATHSIG = 1


def signal_on_parent_exit(signal_number: int) -> Callable[[], None]:
    """Returns a `preexec_fn` by which the kernel signals the child once the thread that started it ends."""

    def set_parent_death_signal() -> None:
        _libc.prctl(PR_SET_PDEATHSIG, signal_number)

    return set_parent_death_signal
