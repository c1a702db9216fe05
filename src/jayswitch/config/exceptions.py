"""Errors of configuration changes."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class InvalidChange(JayswitchError):
    """A change contradicts the configuration in force."""

    code = "invalid-change"
    status = 422


class NoSuchObject(JayswitchError):
    """A change names something that the configuration lacks."""

    code = "no-such-object"
    status = 404

    def __init__(self, kind: str, name: str) -> None:
        """Takes the kind of object, as the command line calls it, and its name."""
        super().__init__(
            f"there is no {kind} {name!r}",
            f"list what exists with 'jayswitchctl {kind}s list'",
        )


class VersionConflict(JayswitchError):
    """Another operator changed the object first."""

    code = "version-conflict"
    status = 409

    def __init__(self, kind: str, name: str, expected: int, found: int) -> None:
        """Takes the object and the two configuration versions."""
        super().__init__(
            f"{kind} {name!r} is at version {found}, not {expected}:"
            " another operator changed it first",
            "read it again, merge your change and apply it once more",
        )


class StaleDriver(JayswitchError):
    """A step of a move comes from a driver that has been replaced."""

    code = "stale-driver"
    status = 409

    def __init__(self, epoch: int, current: int) -> None:
        """Takes the epoch of the step and the one in force."""
        super().__init__(
            f"driver epoch {epoch} has been replaced by {current}",
            "stop driving moves until the driver lease is held again",
        )


class MoveNotActive(JayswitchError):
    """A step names a move that has ended or never began."""

    code = "move-not-active"
    status = 409

    def __init__(self, move: str) -> None:
        """Takes the move's id."""
        super().__init__(
            f"move {move!r} is not under way",
            "look at 'jayswitchctl moves list' for those that are",
        )


class UnknownChange(JayswitchError):
    """An entry of the log cannot be read by this release."""

    code = "unknown-change"

    def __init__(self, index: int, reason: str) -> None:
        """Takes the entry's index and the codec's reason."""
        super().__init__(
            f"configuration entry {index} cannot be applied: {reason}",
            "upgrade this node; it keeps the configuration before that entry",
        )


class LogUnavailable(JayswitchError):
    """The store did not confirm a change, and it is not known to be in the log."""

    code = "log-unavailable"
    status = 503

    def __init__(self, change_id: str, reason: str) -> None:
        """Takes the change's id and the store's last error."""
        super().__init__(
            f"change {change_id} was not confirmed: {reason}",
            "look at the object's history for this id before applying it again",
        )
