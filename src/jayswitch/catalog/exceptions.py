"""Errors of the operators' configuration."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class CatalogInvalid(JayswitchError):
    """A configuration cannot be applied; the current one stays active."""

    code = "catalog-invalid"
    status = 422

    def __init__(self, cause: str) -> None:
        """Initializes the error with the reason why it is invalid."""
        super().__init__(cause, "correct the configuration and write it again")
