"""Errors of the message codec."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class UndecodableMessage(JayswitchError):
    """Data from a peer is not a message that this release can decode."""

    code = "undecodable-message"

    def __init__(self, reason: str) -> None:
        """Initializes the error with the reason given by the decoder."""
        super().__init__(
            f"a message could not be decoded: {reason}",
            "check that both nodes run compatible releases",
        )
