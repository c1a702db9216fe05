"""Strict request framing for eventlet's WSGI server."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from eventlet import wsgi

from jayswitch.proxy.exceptions import MalformedRequest

if TYPE_CHECKING:
    from email.message import Message

# Longer than any header line that the limits of a configuration allow.
LONGEST_HEADER_LINE = 64 * 1024
LONGEST_HEADERS = 256 * 1024
wsgi.MAX_HEADER_LINE = LONGEST_HEADER_LINE
wsgi.MAX_TOTAL_HEADER_SIZE = LONGEST_HEADERS

CONNECTION_VARIABLE = "jayswitch.connection"
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET_VARIABLE = "jayswitch.target"
_TARGET = re.compile(r"/[!-~]*\Z")
_SINGLE = ("content-length", "host", "transfer-encoding")


class StrictProtocol(wsgi.HttpProtocol):
    """Rejects requests whose framing two parsers could read differently.

    The environment carries this object, so that an application can close the
    connection after its answer.
    """

    def parse_request(self) -> bool:
        """Parses the head; answers 400 and closes where it is ambiguous."""
        if not super().parse_request():
            return False
        try:
            check_head(self.request_version, self._raw_target(), self.headers)
        except MalformedRequest as error:
            self.wfile.write(
                f"HTTP/1.1 {error.status} Bad Request\r\nConnection: close\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            self.wfile.flush()
            self.close_connection = True
            return False
        return True

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment with this connection in it."""
        environ = super().get_environ()
        environ[CONNECTION_VARIABLE] = self
        environ[TARGET_VARIABLE] = self._raw_target()
        return environ

    def _raw_target(self) -> str:
        # The parsed path has its leading slashes merged into one.
        return self.requestline.split()[1]


def check_head(version: str, target: str, headers: Message) -> None:
    """Raises MalformedRequest at the first ambiguity of a request's head."""
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise MalformedRequest(f"version {version!r} is not supported")
    if not _TARGET.match(target):
        raise MalformedRequest("the target is not an absolute path")
    if headers.defects or headers.get_payload():
        raise MalformedRequest("a header line cannot be read")
    for name, value in headers.items():
        if not _TOKEN.match(name):
            raise MalformedRequest(f"header name {name!r} is not a token")
        if any(char in value for char in "\r\n\0"):
            raise MalformedRequest(f"header {name} holds a control character")
    for name in _SINGLE:
        if len(headers.get_all(name, [])) > 1:
            raise MalformedRequest(f"{name} is given more than once")
    if "host" not in headers:
        raise MalformedRequest("Host is missing")
    length = headers.get("content-length")
    if length is not None and not (length.isascii() and length.isdigit()):
        raise MalformedRequest("Content-Length is not a whole number")
    coding = headers.get("transfer-encoding")
    if coding is not None and coding.lower() != "chunked":
        raise MalformedRequest(f"transfer coding {coding!r} is not supported")
    if coding is not None and length is not None:
        raise MalformedRequest("both a length and a transfer coding are given")
