"""Classifies what an upstream has sent back for a request."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from jayswitch.proxy.headers import find_header

if TYPE_CHECKING:
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.http_client import Exchange

STATUS_MISDIRECTED = 421


class ResponseKind(Enum):
    """What a response says about its request.

    REJECTED and MISDIRECTED requests have not run. After an invalid response the
    outcome is unknown; the value is the reason.
    """

    ANSWERED = "answered"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    # A late response to an earlier request, whatever its status.
    OF_ANOTHER_REQUEST = "the answer is another request's"
    # It may repeat the rejection of an earlier request on this connection.
    REJECTION_WITHOUT_ID = "the rejection has no id on a reused connection"
    UNIDENTIFIED = "the answer has no signature or no id"

    @property
    def is_not_run(self) -> bool:
        """Returns whether the upstream certainly did not run the request."""
        return self in (ResponseKind.REJECTED, ResponseKind.MISDIRECTED)


def classify_response(
    exchange: Exchange, request_id: str, names: HeaderNames
) -> ResponseKind:
    """Returns what the response says about the request with an id."""
    echoed = find_header(exchange.headers, names.request_id)
    if echoed not in (None, request_id):
        return ResponseKind.OF_ANOTHER_REQUEST
    is_misdirected = exchange.status == STATUS_MISDIRECTED
    is_rejected = find_header(exchange.headers, names.not_run) is not None
    if is_misdirected or is_rejected:
        if echoed is None and exchange.is_reused:
            return ResponseKind.REJECTION_WITHOUT_ID
        return ResponseKind.MISDIRECTED if is_misdirected else ResponseKind.REJECTED
    if echoed is None or find_header(exchange.headers, names.signature) is None:
        return ResponseKind.UNIDENTIFIED
    return ResponseKind.ANSWERED
