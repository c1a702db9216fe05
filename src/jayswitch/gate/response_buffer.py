"""Holds responses that have been read from the upstream and not yet been sent on."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from jayswitch.proxy.headers import find_header
from jayswitch.proxy.outcome import MAX_BUFFERED_RESPONSE_BYTES, Answered

if TYPE_CHECKING:
    from jayswitch.proxy.outcome import ForwardedRequest, LoadReport

# Memory for responses. Beyond it, they are passed on as they arrive, and occupy their
# slot until then.
MAX_HELD_BYTES = 16 * 1024 * 1024


class ResponseBuffer:
    """Reads short responses at once, so that no slot waits for a caller's link."""

    __slots__ = ("bytes_held", "responses_held")

    def __init__(self) -> None:
        """Starts empty."""
        self.bytes_held = 0
        self.responses_held = 0

    def can_hold(self, request: ForwardedRequest, response: Answered) -> bool:
        """Returns whether a response has a known length for which there is room."""
        length = find_header(response.headers, "Content-Length")
        if length is None or not length.isdigit() or request.method == "HEAD":
            return False
        room = MAX_HELD_BYTES - self.bytes_held
        return int(length) <= min(MAX_BUFFERED_RESPONSE_BYTES, room)

    def read(self, response: Answered, load: Callable[[], LoadReport]) -> Answered:
        """Reads and closes a response; returns a copy that is held until it is closed.

        The load is taken once the response has been read. Raises ResponseTruncated if
        the response ends early.
        """
        size = int(find_header(response.headers, "Content-Length") or 0)
        self.bytes_held += size
        try:
            body = b"".join(response.body)
        except BaseException:
            self.bytes_held -= size
            raise
        finally:
            response.close()
        current_load = load()
        self.responses_held += 1

        def close() -> None:
            self.bytes_held -= size
            self.responses_held -= 1

        return Answered(
            response.status, response.headers, iter([body]), close, current_load
        )
