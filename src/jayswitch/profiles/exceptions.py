"""Errors in profiles."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class InvalidProfile(JayswitchError):
    """A profile breaks the schema or contradicts itself."""

    code = "invalid-profile"
    status = 422
