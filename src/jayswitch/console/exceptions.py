"""Exceptions of the command-line tool."""

from __future__ import annotations

from typing import Any

from jayswitch.exceptions import JayswitchError


class UsageError(JayswitchError):
    """The command line is invalid."""

    code = "usage"


class NodeUnreachable(JayswitchError):
    """A node did not respond, or no node was given."""

    code = "node-unreachable"

    def __init__(self, address: str, reason: str) -> None:
        """Initializes the error with the node's address and the reason."""
        super().__init__(
            f"node {address} did not respond: {reason}",
            "select another node with --node; check whether a change was applied before"
            " repeating it",
        )


class ApiError(JayswitchError):
    """A node rejected a request and gave the reason."""

    code = "refused"

    def __init__(self, http_status: int, body: dict[str, Any]) -> None:
        """Initializes the error with the HTTP status and the decoded body."""
        super().__init__(
            body.get("cause", f"status {http_status}"),
            body.get("remedy", "check the node's log"),
        )
        self.http_status = http_status
        self.error_code = body.get("error", "")
        words = self.remedy.split()
        self.relays = [word for word in words if word.startswith("http")]
