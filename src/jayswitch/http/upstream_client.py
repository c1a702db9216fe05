"""HTTP client for the local upstream."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

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
            return self._read(response)
        except BaseException:
            response.close()
            raise

    def _read(
        self, response: urllib3.BaseHTTPResponse
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        length = response.headers.get("Content-Length")
        fits = length is not None and int(length) <= FIRST_READ_BYTES
        body = response.read(None if fits else FIRST_READ_BYTES)
        if response.headers.get(SHED_HEADER) == SHED_NOT_RUN:
            response.release_conn()
            return Failure(UpstreamShed())
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
