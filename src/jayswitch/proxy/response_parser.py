"""Incremental parser for the response to one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from jayswitch.proxy.exceptions import ResponseTruncated
from jayswitch.proxy.headers import connection_options

if TYPE_CHECKING:
    from jayswitch.proxy.outcome import Headers

FIRST_FINAL_STATUS = 200
# Limit on head, trailer and chunk header bytes between two parts of a body. The
# longest head that a healthy upstream sends is a few hundred bytes.
MAX_FRAMING_BYTES = 64 * 1024


class ResponseParser:
    """Collects status, headers and body; llhttp validates the framing.

    Received data is passed to feed() until is_complete is set; body parts can be
    taken in between.
    """

    __slots__ = (
        "_framing_bytes",
        "_has_body",
        "_parser",
        "_parts",
        "headers",
        "is_complete",
        "is_head_complete",
        "status",
        "has_surplus_data",
    )

    def __init__(self, has_body: bool = True) -> None:
        """Takes whether the response may have a body; one to HEAD has none."""
        self.status = 0
        self.headers: Headers = []
        self.is_head_complete = False
        self.is_complete = False
        self.has_surplus_data = False
        self._framing_bytes = 0
        self._has_body = has_body
        self._parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    @property
    def allows_reuse(self) -> bool:
        """Returns whether the connection may be reused for another request."""
        return (
            self.is_complete
            and self._has_body
            and not self.has_surplus_data
            and not self._ends_with_connection()
            and "close" not in connection_options(self.headers)
            and self._parser.get_http_version() == "1.1"
        )

    def feed(self, data: bytes) -> None:
        """Parses received data; raises ResponseTruncated if it is not valid HTTP.

        Data after the end of the response belongs to no request and is discarded.
        """
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise ResponseTruncated(f"not HTTP: {error}") from error
            self.has_surplus_data = True
        if self._framing_bytes > MAX_FRAMING_BYTES and not self.is_complete:
            raise ResponseTruncated("its head or framing has no end")

    def feed_eof(self) -> None:
        """Handles end of stream; raises ResponseTruncated if the body is incomplete."""
        if not self.is_head_complete or not self._ends_with_connection():
            raise ResponseTruncated("the connection ended")
        self.is_complete = True

    def take_body_parts(self) -> list[bytes]:
        """Returns the body parts received since the last call."""
        parts, self._parts = self._parts, []
        return parts

    def _ends_with_connection(self) -> bool:
        has_framing_header = any(
            name.lower() in ("content-length", "transfer-encoding")
            for name, _ in self.headers
        )
        return not has_framing_header and self.status not in (204, 304)

    # Callbacks of the llhttp parser

    def on_message_begin(self) -> None:
        """Detects data after a complete response."""
        if self.is_complete:
            self.has_surplus_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        if not self.is_complete:
            text = value.decode("latin-1").rstrip(" \t")
            self.headers.append((name.decode("latin-1"), text))

    def on_headers_complete(self) -> None:
        """Records the status; the head of an interim (1xx) response is discarded."""
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            self.headers = []
            return
        self.is_head_complete = True
        self.is_complete = not self._has_body

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self._framing_bytes = 0
        if not self.is_complete:
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """Marks the response complete, except after an interim response."""
        if self.is_head_complete:
            self.is_complete = True
