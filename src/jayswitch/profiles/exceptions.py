"""Exceptions raised for profiles."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class InvalidProfile(JayswitchError):
    """A profile does not match the schema or is inconsistent."""

    code = "invalid-profile"
    status = 422
