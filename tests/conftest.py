"""Settings of property tests, and fixtures for tests that run on an event loop."""

from __future__ import annotations

import pytest
from hypothesis import settings

# The default deadline of 200 ms of wall-clock time for one example fails sound code on a busy machine.
settings.register_profile("thornladder", deadline=None)
settings.load_profile("thornladder")


@pytest.fixture
def anyio_backend() -> tuple[str, dict]:
    return "asyncio", {"use_uvloop": True}  # as in production
