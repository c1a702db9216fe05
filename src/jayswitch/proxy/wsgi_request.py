"""Reads requests from the WSGI environment and writes answers back."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from eventlet.wsgi import ChunkReadError

from jayswitch.http.status_lines import status_line
from jayswitch.proxy.exceptions import AnswerCut, MalformedRequest
from jayswitch.proxy.headers import INTERNAL_PREFIX, connection_options, find
from jayswitch.proxy.protocol import CONNECTION_VARIABLE

if TYPE_CHECKING:
    from jayswitch.proxy.outcome import Answered, Headers

StartResponse = Callable[..., Any]

# Bodies up to this size are held, so that a request can be sent again.
HELD_BODY_BYTES = 256 * 1024
READ_BYTES = 64 * 1024
STATUS_TOO_LARGE = 413


def raw_headers(environ: dict[str, Any]) -> Headers:
    """Returns the headers in the order and spelling in which they came."""
    return environ["headers_raw"]


def is_chunked(environ: dict[str, Any]) -> bool:
    """Tells whether the body comes in chunks."""
    return "HTTP_TRANSFER_ENCODING" in environ


def stated_length(environ: dict[str, Any]) -> int | None:
    """Returns the body's length as the caller stated it."""
    length = environ.get("CONTENT_LENGTH")
    return None if length in (None, "") else int(length)


def read_body(
    environ: dict[str, Any], max_bytes: int
) -> tuple[bytes | Iterator[bytes], int | None]:
    """Returns the body and its length; None where no body or length is stated.

    Long bodies are returned as an iterator that raises MalformedRequest if the
    caller ends early.
    """
    length = stated_length(environ)
    stream = environ["wsgi.input"]
    if length is None and not is_chunked(environ):
        return b"", None
    if length is not None and length > max_bytes:
        raise MalformedRequest("the body is too large", STATUS_TOO_LARGE)
    if length is not None and length > HELD_BODY_BYTES:
        return _stream(stream, length, max_bytes), length
    held = _read(stream, length if length is not None else HELD_BODY_BYTES + 1)
    if length is not None and len(held) != length:
        raise MalformedRequest("the body ended early")
    if length is None and len(held) > HELD_BODY_BYTES:
        return _prepend(held, _stream(stream, None, max_bytes - len(held))), None
    return held, len(held)


def close_connection(environ: dict[str, Any]) -> None:
    """Ends the caller's connection behind the present answer."""
    environ[CONNECTION_VARIABLE].close_connection = 1


def answer_headers(headers: Headers) -> Headers:
    """Returns the headers of an upstream's answer that concern the caller."""
    options = connection_options(headers)
    dropped = ("connection", "keep-alive", "transfer-encoding", "proxy-connection")
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and name.lower() not in options
        and not name.lower().startswith(INTERNAL_PREFIX)
    ]


def send_answer(
    answer: Answered,
    environ: dict[str, Any],
    headers: Headers,
    start_response: StartResponse,
) -> Iterator[bytes]:
    """Starts the answer and returns its body; a cut body closes the connection."""
    start_response(status_line(answer.status), headers)
    return _checked_body(answer, environ)


def _checked_body(answer: Answered, environ: dict[str, Any]) -> Iterator[bytes]:
    stated = find(answer.headers, "Content-Length")
    bodyless = environ["REQUEST_METHOD"] == "HEAD" or answer.status in (204, 304)
    length = 0
    for part in answer.body:
        length += len(part)
        yield part
    if stated is not None and not bodyless and int(stated) != length:
        raise AnswerCut(f"{length} of {stated} bytes came")


def _read(stream: Any, length: int) -> bytes:
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


def _stream(stream: Any, length: int | None, max_bytes: int) -> Iterator[bytes]:
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
