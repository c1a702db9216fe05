"""Links of bounded bandwidth in virtual time, and a store at the end of one."""

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

HEAD_BYTES = 200
# What a call waits for a store that does not answer.
SILENCE_S = 1.2


class Link:
    """Carries bytes in the order in which they were handed over."""

    def __init__(self, clock: Clock, mbit_per_s: float) -> None:
        """Takes the bandwidth in millions of bits a second."""
        self.bytes_carried = 0
        self._clock = clock
        self._bytes_per_ms = mbit_per_s * 1e6 / 8 / MS_PER_S
        self._free_ms = 0.0

    def carry(self, size: int) -> None:
        """Waits until the bytes have arrived."""
        now_ms = self._clock.now_ms()
        self.bytes_carried += size
        self._free_ms = max(self._free_ms, now_ms) + size / self._bytes_per_ms
        self._clock.sleep_ms(self._free_ms - now_ms)


class DistantStore:
    """A store whose answers pass the store's link and a VM's link."""

    def __init__(
        self,
        store: MemoryStore,
        store_link: Link,
        vm_link: Link,
        is_turned_away: Callable[[], bool] = lambda: False,
    ) -> None:
        """Takes the store, both links and whether the store does not answer."""
        self._store = store
        self._is_turned_away = is_turned_away
        self._links = (store_link, vm_link)

    def __getattr__(self, name: str) -> Any:
        """Returns a call of the store whose answer takes its time."""
        call = getattr(self._store, name)

        def answer(*arguments: Any) -> Result[Any, Any]:
            result = call(*arguments)
            if self._is_turned_away():
                eventlet.sleep(SILENCE_S)
                return Failure(StoreUnavailable("no answer came in time"))
            if isinstance(result, Success):
                size = _answer_bytes(result.unwrap())
                for link in self._links:
                    link.carry(size)
            return result

        return answer


class DistantFeeds:
    """The feeds of proxies; an answer passes the links of both."""

    def __init__(self) -> None:
        """Starts without proxies."""
        self.server_by_address: dict[str, FeedServer] = {}
        self.link_by_address: dict[str, Link] = {}
        self.silent: set[str] = set()

    def seen_by(self, link: Link) -> FeedSource:
        """Returns the feeds as they come to a VM behind a link."""
        return _SeenFeeds(self, link)


class _SeenFeeds:
    def __init__(self, feeds: DistantFeeds, link: Link) -> None:
        self._feeds = feeds
        self._link = link

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedResponse, FeedError]:
        """Returns the answer of the proxy at an address."""
        feeds = self._feeds
        if address in feeds.silent:
            eventlet.sleep(request.wait_ms / MS_PER_S + 1)
            return Failure(FeedUnavailable(address, "no answer came in time"))
        answer = feeds.server_by_address[address].respond(request)
        if answer is None:
            return Failure(FeedUnavailable(address, "status 503"))
        size = len(msgspec.msgpack.encode(answer)) + HEAD_BYTES
        for link in (feeds.link_by_address[address], self._link):
            link.carry(size)
        return Success(answer)


def _answer_bytes(answer: Any) -> int:
    values = getattr(answer, "events", None) or getattr(answer, "values", None)
    if isinstance(answer, list):
        values = answer
    values = values if isinstance(values, list) else []
    return (
        int(sum(len(v.value or b"") for v in values) * BASE64_BYTES_PER_BYTE)
        + HEAD_BYTES
    )
