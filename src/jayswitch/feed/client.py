"""Asks another proxy for its feed."""

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
from jayswitch.proxy.exceptions import AnswerCut, ExchangeBroken, NotSent

if TYPE_CHECKING:
    from jayswitch.proxy.http_client import HttpClient

STATUS_OK = 200
# A whole configuration of the largest size, compressed, takes less on a thin link.
RESPONSE_MARGIN_MS = 1000.0
# The store takes no longer value, and a prefix holds few of them.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(FeedResponse)


class FeedSource(Protocol):
    """Brings the feeds of other proxies."""

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedResponse, FeedError]:
        """Returns the changes that the proxy at the address knows."""


class FeedClient:
    """Fetches feeds over the connections that proxies keep to each other."""

    def __init__(self, client: HttpClient) -> None:
        """Takes the client that keeps the connections."""
        self._client = client

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedResponse, FeedError]:
        """Returns the changes; waits as long as the request says."""
        wait_ms = request.wait_ms + RESPONSE_MARGIN_MS
        timeout = eventlet.Timeout(wait_ms / MS_PER_S)
        try:
            return Success(_decoder.decode(self._exchange(address, request)))
        except (NotSent, ExchangeBroken, AnswerCut) as error:
            return Failure(FeedUnavailable(address, error.cause))
        except msgspec.MsgspecError as error:
            return Failure(FeedUnavailable(address, f"unreadable answer: {error}"))
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
            body = exchange.read_whole(MAX_RESPONSE_BYTES)
        finally:
            exchange.close()
        if exchange.status != STATUS_OK:
            raise ExchangeBroken(address, f"status {exchange.status}")
        return body
