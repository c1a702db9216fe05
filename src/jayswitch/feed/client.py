"""Client for the feeds of other proxies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import eventlet
import msgspec
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S
from jayswitch.feed.exceptions import FeedError, FeedUnavailable
from jayswitch.feed.messages import (
    FEED_PATH,
    FEED_REQUEST_HEADER,
    FeedRequest,
    FeedResponse,
)
from jayswitch.proxy.exceptions import ExchangeFailed, RequestNotSent, ResponseTruncated

if TYPE_CHECKING:
    from jayswitch.proxy.http_client import HttpClient

STATUS_OK = 200
# Even on a slow link, transferring a compressed configuration of the maximum size takes
# less time than this.
RESPONSE_MARGIN_MS = 1000.0
# The store limits the size of a value, and a prefix holds few values of that size.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(FeedResponse)


class FeedSource(Protocol):
    """Fetches the feeds of other proxies."""

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedResponse, FeedError]:
        """Returns the changes known to the proxy at the address."""


class FeedClient:
    """Fetches feeds over the persistent connections between proxies."""

    def __init__(self, client: HttpClient) -> None:
        """Initializes the client with the HTTP client that pools the connections."""
        self._client = client

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedResponse, FeedError]:
        """Returns the changes; waits for the request's wait time plus a margin."""
        wait_ms = request.wait_ms + RESPONSE_MARGIN_MS
        timeout = eventlet.Timeout(wait_ms / MS_PER_S)
        try:
            return Success(_decoder.decode(self._exchange(address, request)))
        except (RequestNotSent, ExchangeFailed, ResponseTruncated) as error:
            return Failure(FeedUnavailable(address, error.cause))
        except msgspec.MsgspecError as error:
            return Failure(FeedUnavailable(address, f"invalid response: {error}"))
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            return Failure(FeedUnavailable(address, "no answer came in time"))
        finally:
            timeout.cancel()

    def _exchange(self, address: str, request: FeedRequest) -> bytes:
        text = msgspec.json.encode(request).decode("latin-1")
        headers = [("Host", address), (FEED_REQUEST_HEADER, text)]
        exchange = self._client.send(address, "GET", FEED_PATH, headers, None)
        try:
            body = exchange.read_all(MAX_RESPONSE_BYTES)
        finally:
            exchange.close()
        if exchange.status != STATUS_OK:
            raise ExchangeFailed(address, f"status {exchange.status}")
        return body
