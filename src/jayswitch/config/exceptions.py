"""Errors raised for configuration changes and log entries."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class InvalidChange(JayswitchError):
    """A change is not valid for the current configuration."""

    code = "invalid-change"
    status = 422


class NoSuchObject(JayswitchError):
    """A change refers to an object that is not in the configuration."""

    code = "no-such-object"
    status = 404

    def __init__(self, kind: str, name: str) -> None:
        """Initializes the error with the kind, as on the command line, and the name."""
        super().__init__(
            f"there is no {kind} {name!r}",
            f"list what exists with 'jayswitchctl {kind}s list'",
        )


class VersionConflict(JayswitchError):
    """The object has changed since the version that the change expects."""

    code = "version-conflict"
    status = 409

    def __init__(self, kind: str, name: str, expected: int, found: int) -> None:
        """Initializes the error with the object and both versions."""
        super().__init__(
            f"{kind} {name!r} is at version {found}, not {expected}:"
            " another operator changed it first",
            "read it again, merge your change and apply it once more",
        )


class StaleDriver(JayswitchError):
    """A driver that has been replaced tried to change a move."""

    code = "stale-driver"
    status = 409

    def __init__(self, epoch: int, current: int) -> None:
        """Initializes the error with the epoch of the change and the current epoch."""
        super().__init__(
            f"driver epoch {epoch} has been replaced by {current}",
            "stop driving moves until the driver lease is held again",
        )


class MoveNotActive(JayswitchError):
    """A change refers to a move that has ended or does not exist."""

    code = "move-not-active"
    status = 409

    def __init__(self, move: str) -> None:
        """Initializes the error with the move's id."""
        super().__init__(
            f"move {move!r} is not active",
            "list the active moves with 'jayswitchctl moves list'",
        )


class UnknownChange(JayswitchError):
    """This release cannot decode a log entry or a snapshot."""

    code = "unknown-change"

    def __init__(self, index: int, reason: str) -> None:
        """Initializes the error with the index, -1 if unknown, and the reason."""
        super().__init__(
            f"configuration entry {index} cannot be applied: {reason}",
            "upgrade this node; it keeps the configuration before that entry",
        )


class LogUnavailable(JayswitchError):
    """The store did not confirm a change; the change may or may not be in the log."""

    code = "log-unavailable"
    status = 503

    def __init__(self, change_id: str, reason: str) -> None:
        """Initializes the error with the change's id and the last error."""
        super().__init__(
            f"change {change_id} was not confirmed: {reason}",
            "check the object's history for this id before applying the change again",
        )
