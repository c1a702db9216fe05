"""Base class of all jayswitch exceptions."""

from __future__ import annotations


class JayswitchError(Exception):
    """An error with a cause and a remedy.

    The code is stable and machine-readable; the status is the HTTP status of the
    administration API's response.
    """

    code = "error"
    status = 500

    def __init__(self, cause: str, remedy: str) -> None:
        """Takes the cause and the remedy, each as one sentence."""
        super().__init__(f"{cause}; {remedy}")
        self.cause = cause
        self.remedy = remedy
