"""Errors of the platform's key-value service."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class StoreError(JayswitchError):
    """Base class of failed store calls."""

    code = "store-error"
    status = 503


class StoreUnavailable(StoreError):
    """The store did not respond; a write may or may not have been applied."""

    code = "store-unavailable"

    def __init__(self, reason: str) -> None:
        """Initializes the error with the reason reported by the connection."""
        super().__init__(
            f"no response from the store: {reason}",
            "read the key again before retrying a write, or wait for the platform",
        )


class StoreThrottled(StoreError):
    """The store rejected the call because its rate limit is exceeded."""

    code = "store-throttled"

    def __init__(self) -> None:
        """Initializes the error with a fixed cause and remedy."""
        super().__init__("the store's rate limit is exceeded", "retry after a second")


class CasConflict(StoreError):
    """The key's revision differs from the expected one.

    revision_by_key has the current revisions of the keys of the write that exist; None
    if the store did not report them.
    """

    code = "cas-conflict"
    status = 409

    def __init__(self, key: str, revision_by_key: dict[str, int] | None = None) -> None:
        """Initializes the error with the key that was modified concurrently."""
        self.revision_by_key = revision_by_key
        super().__init__(
            f"key {key} has been changed by another writer",
            "read the key again and retry the write with its new revision",
        )


class LeaseExpired(StoreError):
    """The lease has expired, and every key attached to it has been deleted."""

    code = "lease-expired"
    status = 410

    def __init__(self, lease: str) -> None:
        """Initializes the error with the lease's id."""
        super().__init__(
            f"lease {lease} has expired",
            "stop acting as the lease holder and request a new lease",
        )
