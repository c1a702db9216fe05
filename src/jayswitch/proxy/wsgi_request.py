"""Reads requests from the WSGI environment and sends responses."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from eventlet.wsgi import ChunkReadError

from jayswitch.http.status_lines import status_line
from jayswitch.proxy.exceptions import MalformedRequest, ResponseTruncated
from jayswitch.proxy.headers import INTERNAL_PREFIX, connection_options, find_header
from jayswitch.proxy.protocol import CONNECTION_VARIABLE

if TYPE_CHECKING:
    from jayswitch.proxy.outcome import Answered, Headers

StartResponse = Callable[..., Any]

# Bodies up to this size are buffered, so that the request can be retried.
MAX_BUFFERED_BODY_BYTES = 256 * 1024
READ_BYTES = 64 * 1024
STATUS_TOO_LARGE = 413


def raw_headers(environ: dict[str, Any]) -> Headers:
    """Returns the headers in their original order and spelling."""
    return environ["headers_raw"]


def is_chunked(environ: dict[str, Any]) -> bool:
    """Returns whether the body uses chunked transfer coding."""
    return "HTTP_TRANSFER_ENCODING" in environ


def declared_length(environ: dict[str, Any]) -> int | None:
    """Returns the Content-Length of the request, if present."""
    length = environ.get("CONTENT_LENGTH")
    return None if length in (None, "") else int(length)


def read_body(
    environ: dict[str, Any], max_bytes: int
) -> tuple[bytes | Iterator[bytes], int | None]:
    """Returns the body and its length.

    The length is None if there is no body, or if a chunked one is too long to be
    buffered. Long bodies are returned as an iterator that raises MalformedRequest if
    the body is cut short or, when chunked, longer than max_bytes.
    """
    length = declared_length(environ)
    stream = environ["wsgi.input"]
    if length is None and not is_chunked(environ):
        return b"", None
    if length is not None and length > max_bytes:
        raise MalformedRequest("the body is too large", STATUS_TOO_LARGE)
    if length is not None and length > MAX_BUFFERED_BODY_BYTES:
        return _iter_body(stream, length, max_bytes), length
    buffered = _read_up_to(
        stream, length if length is not None else MAX_BUFFERED_BODY_BYTES + 1
    )
    if length is not None and len(buffered) != length:
        raise MalformedRequest("the body ended early")
    if length is None and len(buffered) > MAX_BUFFERED_BODY_BYTES:
        return (
            _prepend(buffered, _iter_body(stream, None, max_bytes - len(buffered))),
            None,
        )
    return buffered, len(buffered)


def close_connection(environ: dict[str, Any]) -> None:
    """Closes the caller's connection after the current response."""
    environ[CONNECTION_VARIABLE].close_connection = 1


def response_headers(headers: Headers) -> Headers:
    """Returns the end-to-end headers of an upstream's response."""
    options = connection_options(headers)
    dropped = ("connection", "keep-alive", "transfer-encoding", "proxy-connection")
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and name.lower() not in options
        and not name.lower().startswith(INTERNAL_PREFIX)
    ]


def send_response(
    response: Answered,
    environ: dict[str, Any],
    headers: Headers,
    start_response: StartResponse,
) -> Iterator[bytes]:
    """Starts the response; a truncated body raises, which closes the connection."""
    start_response(status_line(response.status), headers)
    return _checked_body(response, environ)


def _checked_body(response: Answered, environ: dict[str, Any]) -> Iterator[bytes]:
    declared = find_header(response.headers, "Content-Length")
    bodyless = environ["REQUEST_METHOD"] == "HEAD" or response.status in (204, 304)
    length = 0
    for part in response.body:
        length += len(part)
        yield part
    if declared is not None and not bodyless and int(declared) != length:
        raise ResponseTruncated(f"{length} of {declared} bytes came")


def _read_up_to(stream: Any, length: int) -> bytes:
    parts = []
    while length > 0:
        part = _read_part(stream, length)
        if not part:
            break
        parts.append(part)
        length -= len(part)
    return b"".join(parts)


def _read_part(stream: Any, length: int) -> bytes:
    try:
        return stream.read(min(length, READ_BYTES))
    except (ChunkReadError, OSError) as error:
        raise MalformedRequest(f"the body cannot be read: {error}") from error


def _iter_body(stream: Any, length: int | None, max_bytes: int) -> Iterator[bytes]:
    left = length if length is not None else max_bytes + 1
    while left > 0:
        part = _read_part(stream, left)
        if not part:
            break
        left -= len(part)
        yield part
    if length is not None and left > 0:
        raise MalformedRequest("the body ended early")
    if length is None and left <= 0:
        raise MalformedRequest("the body is too large", STATUS_TOO_LARGE)


def _prepend(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    yield from rest
