"""Errors of the platform's key-value service."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class StoreError(JayswitchError):
    """A call to the store did not succeed."""

    code = "store-error"
    status = 503


class StoreUnavailable(StoreError):
    """No answer came; a write may or may not have taken effect."""

    code = "store-unavailable"

    def __init__(self, reason: str) -> None:
        """Takes what the connection reported."""
        super().__init__(
            f"the store gave no answer: {reason}",
            "read the key again before repeating a write, or wait for the platform",
        )


class StoreThrottled(StoreError):
    """The store refused the call because its rate is exhausted."""

    code = "store-throttled"

    def __init__(self) -> None:
        """Needs no arguments."""
        super().__init__("the store's rate is exhausted", "try again in a second")


class CasConflict(StoreError):
    """The key's revision is not the expected one."""

    code = "cas-conflict"
    status = 409

    def __init__(self, key: str) -> None:
        """Takes the key that had moved on."""
        super().__init__(
            f"key {key} has been changed by another writer",
            "read the key again and repeat the write against its new revision",
        )


class LeaseExpired(StoreError):
    """The lease has lapsed, and every key bound to it is gone."""

    code = "lease-expired"
    status = 410

    def __init__(self, lease: str) -> None:
        """Takes the lease's id."""
        super().__init__(
            f"lease {lease} has lapsed",
            "stop acting as its holder and apply for a new lease",
        )
