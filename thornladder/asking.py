"""Blocking HTTP client for the admin address of a node or a rollout keeper."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from typing import Any


def call(address: str, path: str, timeout_seconds: float, body: bytes | None = None) -> bytes:
    """Sends a GET request, or a POST request if there is a body, and returns the response body.

    Raises OSError if the request fails or the response has an error status.
    """
    request = urllib.request.Request(f"http://{address}{path}", data=body)
    try:
        with urllib.request.urlopen(request, timeout=timeout_seconds) as response:
            return response.read()
    except urllib.error.HTTPError as error:
        message = error.read(200).decode("utf-8", "replace").strip()
        raise OSError(f"{error.code}: {message}") from None


def fetch(address: str, path: str, timeout_seconds: float = 3.0) -> dict[str, Any]:
    """Returns the JSON response of a GET request. Raises OSError as `call` does, ValueError if invalid."""
    return json.loads(call(address, path, timeout_seconds))
