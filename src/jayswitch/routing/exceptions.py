"""Refusals and failures that a caller is told of."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class CallFailure(JayswitchError):
    """A call without an answer; not_run tells whether it surely did not run."""

    code = "call-failure"
    not_run = False

    def __init__(self, cause: str, remedy: str, retry_after_ms: int = 0) -> None:
        """Takes the cause, the remedy and when a repetition may succeed."""
        super().__init__(cause, remedy)
        self.retry_after_ms = retry_after_ms


class NoRoute(CallFailure):
    """The profile in force has no route for the path."""

    code = "no-route"
    status = 404
    not_run = True

    def __init__(self, path: str, profile: str) -> None:
        """Takes the path and the profile's name; empty for no profile."""
        where = f"profile {profile!r}" if profile else "the empty configuration"
        super().__init__(
            f"{where} has no route for {path!r}",
            "add a route with 'jayswitchctl profiles apply', or call another node",
        )


class NotRun(CallFailure):
    """No upstream was handed the call."""

    code = "not-run"
    status = 503
    not_run = True

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        """Takes the last reason and when a repetition may succeed."""
        super().__init__(
            f"the call was not run: {reason}",
            "repeat it after the time in Retry-After",
            retry_after_ms,
        )


class OutcomeUnknown(CallFailure):
    """The call was handed over, and whether it ran is not known."""

    code = "unknown"
    status = 504

    def __init__(self, reason: str) -> None:
        """Takes what is known."""
        super().__init__(
            f"it is not known whether the call ran: {reason}",
            "look up its effect before repeating it, unless it is idempotent",
        )


class DepthExceeded(CallFailure):
    """A chain of calls is deeper than any that the mesh carries."""

    code = "depth-exceeded"
    status = 508
    not_run = True

    def __init__(self, depth: int) -> None:
        """Takes the depth of the call."""
        super().__init__(
            f"the call is {depth} levels deep",
            "look for services that call each other in a circle",
        )
