"""Reads the answer to one request from the bytes of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from jayswitch.proxy.exceptions import ResponseTruncated
from jayswitch.proxy.headers import connection_options

if TYPE_CHECKING:
    from jayswitch.proxy.outcome import Headers

FIRST_FINAL_STATUS = 200
# Heads, trailers and chunk headers may take so much between two parts of a body.
# The longest head of a sound upstream is a few hundred bytes.
MAX_FRAMING_BYTES = 64 * 1024


class ResponseParser:
    """Collects status, headers and body; the framing is checked by llhttp.

    Callers feed what arrives until is_complete and take the body's parts meanwhile.
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
        """Takes whether an answer may have a body, which that to HEAD has not."""
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
        """Tells whether the connection may carry another request afterwards."""
        return (
            self.is_complete
            and self._has_body
            and not self.has_surplus_data
            and not self._ends_with_connection()
            and "close" not in connection_options(self.headers)
            and self._parser.get_http_version() == "1.1"
        )

    def feed(self, data: bytes) -> None:
        """Takes bytes as they arrive; raises ResponseTruncated if they are no answer.

        Bytes behind the end of the answer belong to no request and are dropped.
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
        """Returns the parts of the body that have arrived since the last call."""
        parts, self._parts = self._parts, []
        return parts

    def _ends_with_connection(self) -> bool:
        has_framing_header = any(
            name.lower() in ("content-length", "transfer-encoding")
            for name, _ in self.headers
        )
        return not has_framing_header and self.status not in (204, 304)

    # Called by the parser

    def on_message_begin(self) -> None:
        """Notes the first byte of an answer."""
        if self.is_complete:
            self.has_surplus_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header."""
        if not self.is_complete:
            text = value.decode("latin-1").rstrip(" \t")
            self.headers.append((name.decode("latin-1"), text))

    def on_headers_complete(self) -> None:
        """Notes the end of the head; interim answers are passed over."""
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            self.headers = []
            return
        self.is_head_complete = True
        self.is_complete = not self._has_body

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._framing_bytes = 0
        if not self.is_complete:
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """Notes the end of the body."""
        if self.is_head_complete:
            self.is_complete = True
