"""Status lines of HTTP responses."""

from __future__ import annotations

from http.client import responses


def status_line(status: int) -> str:
    """Returns the status code with its standard reason phrase."""
    return f"{status} {responses.get(status, 'Unknown')}"
