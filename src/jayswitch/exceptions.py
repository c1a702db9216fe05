"""Base class of every error that jayswitch reports."""

from __future__ import annotations


class JayswitchError(Exception):
    """An error that names its cause and the remedy.

    The code is stable and machine readable; the status is the HTTP status that
    the administration API answers with.
    """

    code = "error"
    status = 500

    def __init__(self, cause: str, remedy: str) -> None:
        """Takes one sentence for the cause and one for the remedy."""
        super().__init__(f"{cause}; {remedy}")
        self.cause = cause
        self.remedy = remedy
