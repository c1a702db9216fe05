"""Errors of request forwarding."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class RequestNotSent(JayswitchError):
    """The connection failed before any byte of the request was sent."""

    code = "not-sent"
    status = 503

    def __init__(self, address: str, reason: str) -> None:
        """Takes the address and the connection's error."""
        super().__init__(
            f"cannot connect to {address}: {reason}",
            "send the request to another upstream",
        )


class ExchangeFailed(JayswitchError):
    """A request was sent, but no complete response was received."""

    code = "exchange-broken"
    status = 502

    def __init__(self, address: str, reason: str) -> None:
        """Takes the address and the connection's error."""
        super().__init__(
            f"no whole answer from {address}: {reason}",
            "retry the request only if it is idempotent",
        )


class ResponseTruncated(JayswitchError):
    """A response body was cut short and must not be treated as complete."""

    code = "answer-cut"
    status = 502

    def __init__(self, reason: str) -> None:
        """Takes the cause of the truncation."""
        super().__init__(
            f"the answer ended early: {reason}",
            "retry the request if it is idempotent",
        )


class CallerDisconnected(JayswitchError):
    """The caller closed its connection before the response was sent."""

    code = "caller-gone"
    status = 499

    def __init__(self) -> None:
        """Sets the fixed cause and remedy."""
        super().__init__("the caller closed the connection", "no action is needed")


class MalformedRequest(JayswitchError):
    """A request is malformed or exceeds a size limit."""

    code = "malformed-request"
    status = 400

    def __init__(self, reason: str, status: int = 400) -> None:
        """Takes the first violation found and the status to respond with."""
        super().__init__(reason, "send a well-formed HTTP/1.1 request")
        self.status = status
