"""Failures of calls that are reported to the caller."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class CallFailure(JayswitchError):
    """A call got no response; not_run is set if it is certain that it did not run."""

    code = "call-failure"
    not_run = False

    def __init__(self, cause: str, remedy: str, retry_after_ms: int = 0) -> None:
        """Takes the cause, the remedy and the delay before a retry."""
        super().__init__(cause, remedy)
        self.retry_after_ms = retry_after_ms


class NoRoute(CallFailure):
    """The active profile has no route for the path."""

    code = "no-route"
    status = 404
    not_run = True

    def __init__(self, path: str, profile: str) -> None:
        """Takes the path and the profile's name, empty if there is no profile."""
        where = f"profile {profile!r}" if profile else "the empty configuration"
        super().__init__(
            f"{where} has no route for {path!r}",
            "add a route with 'jayswitchctl profiles apply', or call another node",
        )


class NotRun(CallFailure):
    """No upstream has run the call; any that it was sent to has rejected it."""

    code = "not-run"
    status = 503
    not_run = True

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        """Takes the last reason and the delay before a retry."""
        super().__init__(
            f"the call was not run: {reason}",
            "repeat it after the time in Retry-After",
            retry_after_ms,
        )


class OutcomeUnknown(CallFailure):
    """The call was sent to an upstream, but it is unknown whether it ran."""

    code = "unknown"
    status = 504

    def __init__(self, reason: str) -> None:
        """Takes the reason why the outcome is unknown."""
        super().__init__(
            f"it is not known whether the call ran: {reason}",
            "check its effect before repeating it, unless it is idempotent",
        )


class DepthExceeded(CallFailure):
    """A chain of nested calls exceeds the maximum depth."""

    code = "depth-exceeded"
    status = 508
    not_run = True

    def __init__(self, depth: int) -> None:
        """Takes the depth of the call."""
        super().__init__(
            f"the call is nested {depth} levels deep",
            "look for services that call each other in a cycle",
        )
