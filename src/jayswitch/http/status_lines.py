"""Status lines of HTTP answers."""

from __future__ import annotations

from http.client import responses


def status_line(status: int) -> str:
    """Returns the status with its usual reason."""
    return f"{status} {responses.get(status, 'Unknown')}"
