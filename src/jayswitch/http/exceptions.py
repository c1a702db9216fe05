"""Exceptions of the HTTP interfaces."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class NotAuthorized(JayswitchError):
    """A request does not carry the required bearer token."""

    code = "not-authorized"
    status = 401

    def __init__(self, key: str) -> None:
        """Initializes the error with the settings key that holds the token."""
        super().__init__(
            "the request does not carry the required bearer token",
            f"send 'Authorization: Bearer TOKEN' with the node's {key}",
        )


class NoSuchPath(JayswitchError):
    """The API does not support the method and path."""

    code = "no-such-path"
    status = 404

    def __init__(self, method: str, path: str) -> None:
        """Initializes the error with the method and path of the request."""
        super().__init__(
            f"the API does not support {method} /{path}",
            "docs/OPERATIONS.md lists every path",
        )


class AskRelay(JayswitchError):
    """Only relays hold the whole membership; other nodes know the services they use."""

    code = "ask-relay"
    status = 421

    def __init__(self, relays: list[str]) -> None:
        """Initializes the error with the admin addresses of the known relays."""
        super().__init__(
            "this node is not a relay and does not hold the whole membership",
            "ask a relay: " + (" ".join(relays) or "none is known yet"),
        )


class BadAnnouncement(JayswitchError):
    """An upstream's announcement does not match the schema."""

    code = "bad-announcement"
    status = 422

    def __init__(self, reason: str) -> None:
        """Initializes the error with the reason given by the decoder."""
        super().__init__(
            f"the announcement is invalid: {reason}",
            "send service, version, address, slots and connections",
        )


class BadRequest(JayswitchError):
    """A caller's request is malformed."""

    code = "bad-request"
    status = 400


class BodyTooLarge(JayswitchError):
    """A caller's request body exceeds the limit."""

    code = "body-too-large"
    status = 413

    def __init__(self, limit: int) -> None:
        """Initializes the error with the limit in bytes."""
        super().__init__(
            f"the request body is larger than {limit} bytes",
            "send smaller requests, or raise max_body_bytes in the node's settings",
        )
