"""Errors of the command-line tool."""

from __future__ import annotations

from typing import Any

from jayswitch.exceptions import JayswitchError


class UsageError(JayswitchError):
    """The command line does not fit the command."""

    code = "usage"


class NodeUnreachable(JayswitchError):
    """No node gave an answer."""

    code = "node-unreachable"

    def __init__(self, address: str, reason: str) -> None:
        """Takes the node's address and what the connection reported."""
        super().__init__(
            f"node {address} gave no answer: {reason}",
            "name another node with --node; read before repeating a change",
        )


class ApiError(JayswitchError):
    """A node refused a request and said why."""

    code = "refused"

    def __init__(self, http_status: int, answer: dict[str, Any]) -> None:
        """Takes the HTTP status and the decoded body."""
        super().__init__(
            answer.get("cause", f"status {http_status}"),
            answer.get("remedy", "look at the node's log"),
        )
        self.http_status = http_status
        self.kind = answer.get("error", "")
        words = self.remedy.split()
        self.relays = [word for word in words if word.startswith("http")]
