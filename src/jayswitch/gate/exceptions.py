"""Errors between a gate and its upstream."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class UpstreamFailure(JayswitchError):
    """The upstream did not give a complete answer."""

    code = "upstream-failure"
    status = 502


class UpstreamUnreachable(UpstreamFailure):
    """No connection to the upstream could be opened; nothing was sent."""

    code = "upstream-not-reached"

    def __init__(self, address: str, reason: str) -> None:
        """Takes the upstream's address and what the connection reported."""
        super().__init__(
            f"upstream {address} could not be reached: {reason}",
            "check that the upstream listens on the address it announced",
        )


class UpstreamShed(UpstreamFailure):
    """The upstream refused the request before running it."""

    code = "upstream-shed"
    status = 503

    def __init__(self) -> None:
        """Needs no arguments."""
        super().__init__(
            "the upstream shed the request without running it",
            "try again later or add upstreams",
        )


class IncompleteUpstreamAnswer(UpstreamFailure):
    """The request was handed over and no complete answer came."""

    code = "upstream-broke"

    def __init__(self, reason: str) -> None:
        """Takes what the connection reported."""
        super().__init__(
            f"the upstream gave no complete answer: {reason}",
            "look up the request id at the upstream before repeating it",
        )
