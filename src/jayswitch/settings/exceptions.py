"""Exceptions raised for settings files."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class InvalidSettings(JayswitchError):
    """A settings file is missing, malformed or inconsistent."""

    code = "invalid-settings"

    def __init__(self, path: str, reason: str) -> None:
        """Takes the file's path and the first error in it."""
        super().__init__(
            f"settings file {path}: {reason}",
            "correct the key named here; docs/OPERATIONS.md lists every key",
        )
