"""Fixtures for tests that run on an event loop."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> tuple[str, dict]:
    return "asyncio", {"use_uvloop": True}  # as in production
