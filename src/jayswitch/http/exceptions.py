"""Errors of the HTTP interfaces."""

from __future__ import annotations

from jayswitch.exceptions import JayswitchError


class NotAuthorized(JayswitchError):
    """A request lacks the token."""

    code = "not-authorized"
    status = 401

    def __init__(self, key: str) -> None:
        """Takes the settings key that holds the token."""
        super().__init__(
            "the request does not carry the token",
            f"send 'Authorization: Bearer TOKEN' with the node's {key}",
        )


class NoSuchPath(JayswitchError):
    """The API has nothing under a path."""

    code = "no-such-path"
    status = 404

    def __init__(self, method: str, path: str) -> None:
        """Takes the method and path of the request."""
        super().__init__(
            f"the API has no {method} /{path}",
            "docs/OPERATIONS.md lists every path",
        )


class AskRelay(JayswitchError):
    """A plain node knows only the services it routes to."""

    code = "ask-relay"
    status = 421

    def __init__(self, relays: list[str]) -> None:
        """Takes the administration addresses of the relays it knows."""
        super().__init__(
            "this node does not know the whole fleet",
            "ask a relay: " + (" ".join(relays) or "none is known yet"),
        )


class BadAnnouncement(JayswitchError):
    """An upstream's announcement breaks the schema."""

    code = "bad-announcement"
    status = 422

    def __init__(self, reason: str) -> None:
        """Takes the codec's reason."""
        super().__init__(
            f"the announcement cannot be used: {reason}",
            "send service, version, address, slots and connections",
        )


class BadRequest(JayswitchError):
    """A caller's request cannot be passed on."""

    code = "bad-request"
    status = 400


class BodyTooLarge(JayswitchError):
    """A caller's request body exceeds the limit."""

    code = "body-too-large"
    status = 413

    def __init__(self, limit: int) -> None:
        """Takes the limit in bytes."""
        super().__init__(
            f"the request body is larger than {limit} bytes",
            "send it in parts, or raise max_body_bytes in the node's settings",
        )
