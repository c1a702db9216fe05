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
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n"
_CONTROL = re.compile(r"[\r\n\0]")
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
        """Returns what the proxy's applications read, and no more.

        The server's own environment costs more than the rest of a plain request.
        """
        target = self._raw_target()
        path, _, query = target.partition("?")
        headers = [(name, value.strip()) for name, value in self.headers.items()]
        value_by_name = {name.lower(): value for name, value in headers}
        length = value_by_name.get("content-length")
        environ: dict[str, Any] = {
            "REQUEST_METHOD": self.command,
            "RAW_PATH_INFO": path,
            "QUERY_STRING": query,
            "headers_raw": headers,
            "eventlet.posthooks": [],
            CONNECTION_VARIABLE: self,
            TARGET_VARIABLE: target,
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
    value_by_name: dict[str, str] = {}
    for name, value in headers.items():
        lower = name.lower()
        if not _TOKEN.match(name):
            raise MalformedRequest(f"header name {name!r} is not a token")
        if _CONTROL.search(value):
            raise MalformedRequest(f"header {name} holds a control character")
        if lower in _SINGLE and lower in value_by_name:
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
