"""Interface between a gate and its upstream."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from jayswitch.models import Model

if TYPE_CHECKING:
    from returns.result import Result

    from jayswitch.gate.exceptions import UpstreamFailure
    from jayswitch.messages.generated import Call, Header


class Announcement(Model):
    """Announcement of an upstream, repeated as a heartbeat.

    slots is the number of requests it runs concurrently; address is an HTTP base
    URL.
    """

    service: str
    version: str
    address: str
    slots: int
    connections: int
    leaving: bool = False


class UpstreamResponse:
    """Head and first part of a response, and an iterator over the rest of the body.

    Reading rest raises IncompleteUpstreamResponse if the body is truncated.
    """

    __slots__ = ("body", "headers", "rest", "status")

    def __init__(
        self,
        status: int,
        headers: list[Header],
        body: bytes,
        rest: Iterator[bytes] | None = None,
    ) -> None:
        """Takes the first part of the body and an iterator over later parts."""
        self.status = status
        self.headers = headers
        self.body = body
        self.rest = rest


class UpstreamClient(Protocol):
    """Sends calls to the upstream."""

    def run(
        self, address: str, call: Call, remaining_ms: float
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        """Sends the call once and waits for the head of the response."""

    def cancel(self, address: str, call: Call) -> None:
        """Tells the upstream that the response to the call is no longer needed."""
