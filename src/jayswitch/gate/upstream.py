"""What a gate needs from the upstream beside it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from jayswitch.models import Model

if TYPE_CHECKING:
    from returns.result import Result

    from jayswitch.gate.exceptions import UpstreamFailure
    from jayswitch.messages.generated import Call, Header


class Announcement(Model):
    """What an upstream says of itself, repeated as a heartbeat.

    The slots are the requests it runs at once; the address is an HTTP base URL.
    """

    service: str
    version: str
    address: str
    slots: int
    connections: int
    leaving: bool = False


class UpstreamAnswer:
    """The head of an answer, and the rest of its body where it is long.

    Reading the rest raises IncompleteUpstreamAnswer when the body ends early.
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
    """Hands calls to the upstream."""

    def run(
        self, address: str, call: Call, remaining_ms: float
    ) -> Result[UpstreamAnswer, UpstreamFailure]:
        """Hands the call over once and waits for the head of the answer."""

    def cancel(self, address: str, call: Call) -> None:
        """Tells the upstream that nobody waits for the call any more."""
