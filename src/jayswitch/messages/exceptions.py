"""Errors of the codec."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class UndecodableMessage(JayswitchError):
    """Bytes from a peer are not a message of this release."""

    code = "undecodable-message"

    def __init__(self, reason: str) -> None:
        """Takes the codec's reason."""
        super().__init__(
            f"a message could not be decoded: {reason}",
            "check that both nodes run releases that can talk to each other",
        )
