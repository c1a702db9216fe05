"""Strict request parsing for eventlet's WSGI server."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import httptools
from eventlet import wsgi

from jayswitch.proxy.exceptions import MalformedRequest
from jayswitch.proxy.headers import connection_options

if TYPE_CHECKING:
    from jayswitch.proxy.outcome import Headers

# Above any header size that a configuration can allow.
MAX_HEADER_LINE_BYTES = 64 * 1024
MAX_HEADERS_BYTES = 256 * 1024
wsgi.MAX_HEADER_LINE = MAX_HEADER_LINE_BYTES
wsgi.MAX_TOTAL_HEADER_SIZE = MAX_HEADERS_BYTES

CONNECTION_VARIABLE = "jayswitch.connection"
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET_VARIABLE = "jayswitch.target"
_TARGET = re.compile(r"/[!-~]*\Z")
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n"
_FORBIDDEN_IN_VALUE = re.compile(r"[\r\n\0]")
_HEAD_TERMINATORS = (b"\r\n", b"\n", b"")
_SINGLETON_HEADERS = ("content-length", "host", "transfer-encoding")


class _RequestHead:
    """Parser callbacks that collect the target and headers of a request."""

    __slots__ = ("headers", "target")

    def __init__(self) -> None:
        self.target = ""
        self.headers: Headers = []

    def on_url(self, url: bytes) -> None:
        self.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        text = value.decode("latin-1").rstrip(" \t")
        self.headers.append((name.decode("latin-1"), text))


class StrictProtocol(wsgi.HttpProtocol):
    """Rejects requests whose framing is ambiguous between HTTP parsers.

    The head is parsed by llhttp, as the standard library's parser takes several
    times as long. The WSGI environment holds this object, so that an application can
    close the connection after its response.
    """

    def parse_request(self) -> bool:
        """Parses the head; responds with 400 and closes if it is invalid."""
        self.close_connection = True
        lines = [self.raw_requestline]
        while lines[-1] not in _HEAD_TERMINATORS:
            lines.append(self.rfile.readline())
        if not lines[-1]:
            return False
        try:
            self._parse_head(b"".join(lines))
        except MalformedRequest as error:
            self.wfile.write(
                f"HTTP/1.1 {error.status} Bad Request\r\nConnection: close\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            self.wfile.flush()
            return False
        return True

    def _parse_head(self, data: bytes) -> None:
        head = _RequestHead()
        parser = httptools.HttpRequestParser(head)
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrade is a hop-by-hop header and is not forwarded.
            pass
        except httptools.HttpParserError as error:
            raise MalformedRequest(f"the head cannot be read: {error}") from error
        self.request_version = f"HTTP/{parser.get_http_version()}"
        self.command = parser.get_method().decode("latin-1")
        self.requestline = f"{self.command} {head.target} {self.request_version}"
        self.target = head.target
        self.raw_headers = head.headers
        value_by_name = validate_head(self.request_version, head.target, head.headers)
        # eventlet looks this header up in this spelling.
        value_by_name["Connection"] = value_by_name.get("connection", "")
        self.headers: Any = value_by_name
        options = connection_options(head.headers)
        persistent = self.request_version == "HTTP/1.1" or "keep-alive" in options
        self.close_connection = not persistent or "close" in options

    def get_environ(self) -> dict[str, Any]:
        """Returns only the variables that the proxy's applications read.

        Building eventlet's full environment costs more than the rest of a plain
        request.
        """
        value_by_name = self.headers
        length = value_by_name.get("content-length")
        environ: dict[str, Any] = {
            "REQUEST_METHOD": self.command,
            "headers_raw": self.raw_headers,
            "eventlet.posthooks": [],
            CONNECTION_VARIABLE: self,
            TARGET_VARIABLE: self.target,
        }
        chunked = "transfer-encoding" in value_by_name
        if length is not None:
            environ["CONTENT_LENGTH"] = length
        elif chunked:
            environ["HTTP_TRANSFER_ENCODING"] = value_by_name["transfer-encoding"]
        else:
            length = "0"
        expects = value_by_name.get("expect", "").lower() == "100-continue"
        body = wsgi.Input(
            self.rfile,
            length,
            self.connection,
            wfile=self.wfile if expects else None,
            wfile_line=CONTINUE_LINE if expects else None,
            chunked_input=chunked,
        )
        environ["wsgi.input"] = environ["eventlet.input"] = body
        return environ


def validate_head(version: str, target: str, headers: Headers) -> dict[str, str]:
    """Returns the last value of each header by its lower-case name.

    Raises MalformedRequest on the first violation or ambiguity in a request's head.
    """
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise MalformedRequest(f"version {version!r} is not supported")
    if not _TARGET.match(target):
        raise MalformedRequest("the target is not an absolute path")
    value_by_name: dict[str, str] = {}
    for name, value in headers:
        lower = name.lower()
        if not _TOKEN.match(name):
            raise MalformedRequest(f"header name {name!r} is not a token")
        if _FORBIDDEN_IN_VALUE.search(value):
            raise MalformedRequest(f"header {name} holds a control character")
        if lower in _SINGLETON_HEADERS and lower in value_by_name:
            raise MalformedRequest(f"{name} is given more than once")
        value_by_name[lower] = value
    if "host" not in value_by_name:
        raise MalformedRequest("Host is missing")
    length = value_by_name.get("content-length")
    if length is not None and not (length.isascii() and length.isdigit()):
        raise MalformedRequest("Content-Length is not a whole number")
    coding = value_by_name.get("transfer-encoding")
    if coding is not None and coding.lower() != "chunked":
        raise MalformedRequest(f"transfer coding {coding!r} is not supported")
    if coding is not None and length is not None:
        raise MalformedRequest("both a length and a transfer coding are given")
    return value_by_name
