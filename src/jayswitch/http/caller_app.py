"""HTTP interface for callers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Success

from jayswitch.clock import MS_PER_S
from jayswitch.exceptions import JayswitchError
from jayswitch.http.exceptions import BadRequest, BodyTooLarge
from jayswitch.http.headers import (
    DEPTH_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_ANSWERED,
    OUTCOME_HEADER,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    UPSTREAM_HEADER,
    is_forwarded_from_caller,
)
from jayswitch.http.status_lines import status_line
from jayswitch.messages.generated import Header
from jayswitch.routing.exceptions import CallFailure
from jayswitch.routing.request import BodyTruncated, CallerRequest, CallerResponse

if TYPE_CHECKING:
    from jayswitch.routing.router import Router

StartResponse = Callable[..., Any]

BODYLESS_STATUSES = (204, 304)


class ErrorBody(msgspec.Struct):
    """JSON body of an error response."""

    error: str
    cause: str
    remedy: str


class CallerApplication:
    """Passes HTTP requests to the router and its results to callers."""

    def __init__(self, router: Router, max_body_bytes: int) -> None:
        """Initializes the application with the limit on request bodies."""
        self.draining = False
        self._router = router
        self._max_body_bytes = max_body_bytes

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles a request."""
        try:
            request = self._read_request(environ)
        except JayswitchError as error:
            return self._respond_with_error(error, OUTCOME_NOT_RUN, [], start_response)
        match self._router.call(request):
            case Success(response):
                return self._respond(request.method, response, start_response)
            case Failure(error):
                return self._respond_with_failure(error, start_response)
        raise AssertionError("a result is a success or a failure")

    def _read_request(self, environ: dict[str, Any]) -> CallerRequest:
        path = environ["RAW_PATH_INFO"]
        if environ.get("QUERY_STRING"):
            path = f"{path}?{environ['QUERY_STRING']}"
        headers = [
            Header(name=name, value=value)
            for name, value in environ["headers_raw"]
            if is_forwarded_from_caller(name)
        ]
        return CallerRequest(
            method=environ["REQUEST_METHOD"],
            path=path,
            headers=headers,
            body=self._read_body(environ),
            timeout_ms=_parse_number(environ, TIMEOUT_HEADER),
            depth=int(_parse_number(environ, DEPTH_HEADER)),
            key=environ.get(_environ_key(IDEMPOTENCY_KEY_HEADER), ""),
        )

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        length = environ.get("CONTENT_LENGTH")
        if length is None:
            if "HTTP_TRANSFER_ENCODING" not in environ:
                return b""
            body = environ["wsgi.input"].read(self._max_body_bytes + 1)
            if len(body) > self._max_body_bytes:
                raise BodyTooLarge(self._max_body_bytes)
            return body
        if not length.isdigit():
            raise BadRequest(
                "Content-Length is not a whole number", "correct the header"
            )
        if int(length) > self._max_body_bytes:
            raise BodyTooLarge(self._max_body_bytes)
        body = environ["wsgi.input"].read(int(length))
        if len(body) != int(length):
            raise BadRequest(
                f"incomplete request body: received {len(body)} of {length} bytes",
                "send the request again",
            )
        return body

    def _respond(
        self, method: str, response: CallerResponse, start_response: StartResponse
    ) -> Iterator[bytes]:
        headers = [(header.name, header.value) for header in response.headers]
        headers.append((REQUEST_ID_HEADER, response.request_id))
        headers.append((UPSTREAM_HEADER, response.upstream))
        headers.append((OUTCOME_HEADER, OUTCOME_ANSWERED))
        self._add_connection(headers)
        start_response(status_line(response.status), headers)
        if method == "HEAD" or response.status in BODYLESS_STATUSES:
            return response.body
        return stream_checked_body(response)

    def _respond_with_failure(
        self, error: CallFailure, start_response: StartResponse
    ) -> Iterable[bytes]:
        outcome = OUTCOME_NOT_RUN if error.not_run else OUTCOME_UNKNOWN
        headers = []
        if error.retry_after_ms:
            seconds = max(1, round(error.retry_after_ms / MS_PER_S))
            headers.append(("Retry-After", str(seconds)))
        return self._respond_with_error(error, outcome, headers, start_response)

    def _respond_with_error(
        self,
        error: JayswitchError,
        outcome: str,
        headers: list[tuple[str, str]],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        body = msgspec.json.encode(ErrorBody(error.code, error.cause, error.remedy))
        headers.append(("Content-Type", "application/json"))
        headers.append((OUTCOME_HEADER, outcome))
        self._add_connection(headers)
        start_response(status_line(error.status), headers)
        return [body]

    def _add_connection(self, headers: list[tuple[str, str]]) -> None:
        if self.draining:
            headers.append(("Connection", "close"))


def stream_checked_body(response: CallerResponse) -> Iterator[bytes]:
    """Yields the body; raises BodyTruncated if its length is not the Content-Length.

    The server then closes the connection, so that the caller detects the failure.
    """
    declared = [h.value for h in response.headers if h.name.lower() == "content-length"]
    length = 0
    for part in response.body:
        length += len(part)
        yield part
    if declared and int(declared[0]) != length:
        raise BodyTruncated(
            f"response body has {length} bytes, Content-Length is {declared[0]}"
        )


def _environ_key(header: str) -> str:
    return "HTTP_" + header.upper().replace("-", "_")


def _parse_number(environ: dict[str, Any], header: str) -> float:
    text = environ.get(_environ_key(header), "0")
    if not text.isdigit():
        raise BadRequest(f"{header} is not a whole number", "correct the header")
    return float(text)
