"""Exceptions raised when a gate sends a call to its upstream."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class UpstreamFailure(JayswitchError):
    """The upstream did not return a complete response."""

    code = "upstream-failure"
    status = 502


class UpstreamUnreachable(UpstreamFailure):
    """No connection to the upstream could be opened, so nothing was sent."""

    code = "upstream-not-reached"

    def __init__(self, address: str, reason: str) -> None:
        """Takes the upstream's address and the connection error."""
        super().__init__(
            f"upstream {address} could not be reached: {reason}",
            "check that the upstream listens on the address it announced",
        )


class UpstreamShed(UpstreamFailure):
    """The upstream rejected the request without running it."""

    code = "upstream-shed"
    status = 503

    def __init__(self) -> None:
        """Sets the message and the remedy."""
        super().__init__(
            "the upstream shed the request without running it",
            "try again later or add upstreams",
        )


class IncompleteUpstreamResponse(UpstreamFailure):
    """The request was sent, but no complete response was received."""

    code = "upstream-broke"

    def __init__(self, reason: str) -> None:
        """Takes the connection error."""
        super().__init__(
            f"the upstream gave no complete answer: {reason}",
            "check at the upstream whether the request ran before repeating it",
        )
