"""Asks another proxy for its feed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import eventlet
import msgspec
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S
from jayswitch.feed.exceptions import FeedError, FeedUnavailable
from jayswitch.feed.messages import FEED_REQUEST, FEED_TARGET, FeedAnswer, FeedRequest
from jayswitch.proxy.exceptions import ExchangeFailed, RequestNotSent, ResponseTruncated

if TYPE_CHECKING:
    from jayswitch.proxy.http_client import HttpClient

STATUS_OK = 200
# A whole configuration of the largest size, compressed, takes less on a thin link.
ANSWER_MARGIN_MS = 1000.0
# The store takes no longer value, and a prefix holds few of them.
LONGEST_ANSWER_BYTES = 8 * 1024 * 1024

_decoder = msgspec.msgpack.Decoder(FeedAnswer)


class FeedSource(Protocol):
    """Brings the feeds of other proxies."""

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedAnswer, FeedError]:
        """Returns the changes that the proxy at the address knows."""


class FeedClient:
    """Fetches feeds over the connections that proxies keep to each other."""

    def __init__(self, client: HttpClient) -> None:
        """Takes the client that keeps the connections."""
        self._client = client

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedAnswer, FeedError]:
        """Returns the changes; waits as long as the request says."""
        wait_ms = request.wait_ms + ANSWER_MARGIN_MS
        timeout = eventlet.Timeout(wait_ms / MS_PER_S)
        try:
            return Success(_decoder.decode(self._exchange(address, request)))
        except (RequestNotSent, ExchangeFailed, ResponseTruncated) as error:
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
        headers = [("Host", address), (FEED_REQUEST, text)]
        exchange = self._client.send(address, "GET", FEED_TARGET, headers, None)
        try:
            body = exchange.read_all(LONGEST_ANSWER_BYTES)
        finally:
            exchange.close()
        if exchange.status != STATUS_OK:
            raise ExchangeFailed(address, f"status {exchange.status}")
        return body
