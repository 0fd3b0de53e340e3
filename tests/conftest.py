"""What all tests on an event loop run on."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> tuple[str, dict]:
    return "asyncio", {"use_uvloop": True}  # as the program does
