"""Bandwidth-limited links in virtual time, and a store and feeds behind them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S, Clock
from jayswitch.feed.client import FeedSource
from jayswitch.feed.exceptions import FeedError, FeedUnavailable
from jayswitch.feed.messages import FeedRequest, FeedResponse
from jayswitch.feed.server import FeedServer
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.exceptions import StoreUnavailable
from jayswitch.store.follower import BASE64_BYTES_PER_BYTE

ANSWER_OVERHEAD_BYTES = 200
# Time after which a call to an unavailable store fails.
NO_ANSWER_DELAY_S = 1.2


class LimitedLink:
    """Transmits data in first-in, first-out order."""

    def __init__(self, clock: Clock, mbit_per_s: float) -> None:
        """Takes the bandwidth in Mbit/s."""
        self.bytes_sent = 0
        self._clock = clock
        self._bytes_per_ms = mbit_per_s * 1e6 / 8 / MS_PER_S
        self._busy_until_ms = 0.0

    def transmit(self, size: int) -> None:
        """Waits until the given number of bytes has been transmitted."""
        now_ms = self._clock.now_ms()
        self.bytes_sent += size
        self._busy_until_ms = (
            max(self._busy_until_ms, now_ms) + size / self._bytes_per_ms
        )
        self._clock.sleep_ms(self._busy_until_ms - now_ms)


class RemoteStore:
    """A store whose answers are delayed by the store's link and a VM's link."""

    def __init__(
        self,
        store: MemoryStore,
        store_link: LimitedLink,
        vm_link: LimitedLink,
        is_unavailable: Callable[[], bool] = lambda: False,
    ) -> None:
        """Takes the store, both links and a check for the store being unavailable."""
        self._store = store
        self._is_unavailable = is_unavailable
        self._links = (store_link, vm_link)

    def __getattr__(self, name: str) -> Any:
        """Returns a method of the store whose answer is delayed by both links."""
        call = getattr(self._store, name)

        def delayed_call(*arguments: Any) -> Result[Any, Any]:
            result = call(*arguments)
            if self._is_unavailable():
                eventlet.sleep(NO_ANSWER_DELAY_S)
                return Failure(StoreUnavailable("no answer came in time"))
            if isinstance(result, Success):
                size = _answer_bytes(result.unwrap())
                for link in self._links:
                    link.transmit(size)
            return result

        return delayed_call


class RemoteFeeds:
    """Feeds of proxies; an answer is delayed by the links of sender and receiver."""

    def __init__(self) -> None:
        """Starts without proxies."""
        self.server_by_address: dict[str, FeedServer] = {}
        self.link_by_address: dict[str, LimitedLink] = {}
        self.unresponsive: set[str] = set()

    def over_link(self, link: LimitedLink) -> FeedSource:
        """Returns the feeds as seen by a VM behind a link."""
        return _FeedsOverLink(self, link)


class _FeedsOverLink:
    def __init__(self, feeds: RemoteFeeds, link: LimitedLink) -> None:
        self._feeds = feeds
        self._link = link

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedResponse, FeedError]:
        """Returns the answer of the proxy at an address."""
        feeds = self._feeds
        if address in feeds.unresponsive:
            eventlet.sleep(request.wait_ms / MS_PER_S + 1)
            return Failure(FeedUnavailable(address, "no answer came in time"))
        answer = feeds.server_by_address[address].respond(request)
        if answer is None:
            return Failure(FeedUnavailable(address, "status 503"))
        size = len(msgspec.msgpack.encode(answer)) + ANSWER_OVERHEAD_BYTES
        for link in (feeds.link_by_address[address], self._link):
            link.transmit(size)
        return Success(answer)


def _answer_bytes(answer: Any) -> int:
    values = getattr(answer, "events", None) or getattr(answer, "values", None)
    if isinstance(answer, list):
        values = answer
    values = values if isinstance(values, list) else []
    return (
        int(sum(len(v.value or b"") for v in values) * BASE64_BYTES_PER_BYTE)
        + ANSWER_OVERHEAD_BYTES
    )
