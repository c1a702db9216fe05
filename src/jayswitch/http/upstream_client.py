"""HTTP client for the local upstream."""

from __future__ import annotations

import http.client
from collections.abc import Iterator
from typing import IO, TYPE_CHECKING, Any

import eventlet
import urllib3
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S
from jayswitch.gate.exceptions import (
    IncompleteUpstreamResponse,
    UpstreamFailure,
    UpstreamShed,
    UpstreamUnreachable,
)
from jayswitch.gate.upstream import UpstreamResponse
from jayswitch.http.headers import (
    DEPTH_HEADER,
    REQUEST_ID_HEADER,
    SHED_HEADER,
    SHED_NOT_RUN,
    TIMEOUT_HEADER,
    is_end_to_end,
)
from jayswitch.messages.generated import Header

if TYPE_CHECKING:
    from jayswitch.messages.generated import Call

CONNECT_TIMEOUT_MS = 500.0
CANCEL_TIMEOUT_MS = 200.0
CHUNK_BYTES = 64 * 1024
FIRST_READ_BYTES = 256 * 1024
POOL_CONNECTIONS = 128

_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class _LineRecorder:
    """Wraps a response's stream and keeps the last line that was read."""

    def __init__(self, stream: IO[bytes]) -> None:
        self.last_line = b""
        self._stream = stream

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    def readline(self, limit: int = -1) -> bytes:
        self.last_line = self._stream.readline(limit)
        return self.last_line


class _StrictResponse(http.client.HTTPResponse):
    """Response whose head must end with an empty line.

    The standard library takes the end of the connection for the end of the head, so
    that a head without its last lines looks like a response without a body.
    """

    def begin(self) -> None:
        stream = self.fp
        recorder = _LineRecorder(stream)
        self.fp = recorder  # type: ignore[assignment]
        super().begin()
        if recorder.last_line not in (b"\r\n", b"\n"):
            self.close()
            raise http.client.IncompleteRead(recorder.last_line)
        if self.fp is not None:
            self.fp = stream


class _StrictConnection(urllib3.connection.HTTPConnection):
    response_class = _StrictResponse


class HttpUpstreamClient:
    """Client with a pool of persistent connections; never retries a request."""

    def __init__(self) -> None:
        """Initializes the client; connects on the first call."""
        self._pool_by_address: dict[str, urllib3.HTTPConnectionPool] = {}

    def run(
        self, address: str, call: Call, remaining_ms: float
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        """Sends the call once and returns the head and first part of the response."""
        deadline = eventlet.Timeout(remaining_ms / MS_PER_S)
        try:
            return self._exchange(address, call, remaining_ms)
        except _CONNECT_ERRORS as error:
            return Failure(UpstreamUnreachable(address, str(error)))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(IncompleteUpstreamResponse(str(error)))
        except eventlet.Timeout as timeout:
            if timeout is not deadline:
                raise
            self.cancel(address, call)
            return Failure(IncompleteUpstreamResponse("its time ran out"))
        finally:
            deadline.cancel()

    def cancel(self, address: str, call: Call) -> None:
        """Asks the upstream, in a separate task, to cancel the request."""
        eventlet.spawn_n(self._cancel, address, call.request_id)

    def _exchange(
        self, address: str, call: Call, remaining_ms: float
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        headers = {header.name: header.value for header in call.headers}
        headers[REQUEST_ID_HEADER] = call.request_id
        headers[TIMEOUT_HEADER] = str(int(remaining_ms))
        headers[DEPTH_HEADER] = str(call.depth + 1)
        response = self._pool(address).urlopen(
            call.method,
            call.path,
            body=call.body or None,
            headers=headers,
            retries=False,
            redirect=False,
            assert_same_host=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_MS / MS_PER_S),
            preload_content=False,
            decode_content=False,
        )
        try:
            return self._read(response, call.request_id)
        except BaseException:
            response.close()
            raise

    def _read(
        self, response: urllib3.BaseHTTPResponse, request_id: str
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed not in (None, request_id):
            response.close()
            return Failure(IncompleteUpstreamResponse("the response is another call's"))
        if response.headers.get(SHED_HEADER) == SHED_NOT_RUN:
            # The upstream may send the rejection again, which must not be taken for
            # that of the next call, so the connection is not reused.
            response.close()
            return Failure(UpstreamShed())
        length = response.headers.get("Content-Length")
        fits = length is not None and int(length) <= FIRST_READ_BYTES
        body = response.read(None if fits else FIRST_READ_BYTES)
        headers = [
            Header(name=name, value=value)
            for name, value in response.headers.items()
            if is_end_to_end(name)
        ]
        rest = None
        if fits:
            response.release_conn()
        else:
            # A short read does not mark the end of the body; only the next read
            # distinguishes a complete body from a truncated one.
            rest = _read_rest(response)
        return Success(UpstreamResponse(response.status, headers, body, rest))

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            self._pool_by_address.clear()
            pool = urllib3.connectionpool.connection_from_url(
                address, maxsize=POOL_CONNECTIONS, block=False
            )
            pool.ConnectionCls = _StrictConnection
            self._pool_by_address[address] = pool
        return pool

    def _cancel(self, address: str, request_id: str) -> None:
        try:
            self._pool(address).urlopen(
                "DELETE",
                f"/requests/{request_id}",
                retries=False,
                timeout=CANCEL_TIMEOUT_MS / MS_PER_S,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return


def _read_rest(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    complete = False
    try:
        while True:
            data = response.read(CHUNK_BYTES)
            if not data:
                break
            yield data
        complete = True
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise IncompleteUpstreamResponse(str(error)) from error
    finally:
        if complete:
            response.release_conn()
        else:
            response.close()
