"""Errors of feeds between proxies."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class FeedError(JayswitchError):
    """Base class of feed failures."""

    code = "feed-error"
    status = 503


class FeedUnavailable(FeedError):
    """The proxy that serves the feed returned no complete response."""

    code = "feed-unavailable"

    def __init__(self, address: str, reason: str) -> None:
        """Initializes the error with the proxy's address and the reason."""
        super().__init__(
            f"no feed from {address}: {reason}",
            "follow another proxy, or the store if no proxy is available",
        )


class DeltaMismatch(FeedError):
    """A delta is based on a different value from the local one."""

    code = "delta-mismatch"

    def __init__(self, reason: str) -> None:
        """Initializes the error with the reason of the mismatch."""
        super().__init__(f"cannot apply the delta: {reason}", "request the value again")
