"""Follows the feeds of one or more relays at a time."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet
import msgspec
from returns.result import Failure

from jayswitch.feed.exceptions import DeltaMismatch
from jayswitch.feed.messages import FeedRequest, unpack
from jayswitch.store.follower import RETRY_MAX_MS, RETRY_MIN_MS
from jayswitch.store.interface import Snapshot, StoredValue, WatchEvent

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.feed.client import FeedSource
    from jayswitch.feed.messages import FeedResponse
    from jayswitch.feed.relay_selector import RelaySelector
    from jayswitch.store.follower import PrefixFollower

# A hung relay is detected after this time plus the response margin.
FEED_WAIT_MS = 2500.0
NO_RELAY_RETRY_MS = 500.0
# A relay whose feed failed is not used again for this time.
AVOID_RELAY_MS = 2000.0
# Timeout of store watches by a proxy that is not a root relay and has no feed.
FALLBACK_WATCH_MS = 2000
# A proxy that has lost its feeds tries other relays for this time before it watches the
# store. If none of them reaches the store, it most likely does not either.
FALLBACK_DELAY_MS = 1000.0
# Delays between its attempts to reach the store. Relays try more often, and their feeds
# resume once they succeed.
FALLBACK_RETRY_BOUNDS_MS = (1000.0, 4000.0)
ROOT_RETRY_BOUNDS_MS = (RETRY_MIN_MS, RETRY_MAX_MS)
# A starting proxy uses the store only if no relay responds in this time. In a starting
# fleet there are no relays until the first upstreams have sent heartbeats.
FIRST_FEED_MS = 1000.0
FIRST_FEED_OF_FLEET_MS = 3000.0
# Relays of a fleet that starts again may not respond yet, but do so soon.
FIRST_FEED_RETRY_MS = 200.0
# Timeout of store watches by a root relay. After this time plus the margin of the store
# client, the relay detects that the store does not respond, and reports it.
ROOT_WATCH_MS = 4000
# A relay follows two root relays, as its own followers depend on it.
RELAY_FEED_COUNT = 2

logger = logging.getLogger(__name__)


class FeedFollower:
    """Keeps a prefix up to date from relays; decides when to watch the store."""

    def __init__(
        self,
        prefix: str,
        follower: PrefixFollower,
        relay_selector: RelaySelector,
        source: FeedSource,
        clock: Clock,
        feed_count: int,
        is_fleet_starting: bool = False,
    ) -> None:
        """Initializes the feeds; they control the follower's store watches."""
        self._feed_count = feed_count
        self._is_fleet_starting = is_fleet_starting
        self._started_ms = float("-inf")
        self._feed_lost_ms = float("-inf")
        # Time without feeds after which the store is watched instead.
        self.fallback_delay_ms = FALLBACK_DELAY_MS
        self.relay_by_feed: dict[int, str] = {}
        self._chosen_by_feed: dict[int, str] = {}
        self._prefix = prefix
        self._follower = follower
        self._relay_selector = relay_selector
        self._source = source
        self._clock = clock
        follower.store_watch_timeout_ms = self.store_watch_timeout_ms
        follower.fetch_from = self.fetch_from
        follower.retry_bounds_ms = self._retry_bounds_ms

    def start(self) -> None:
        """Starts a task for each feed."""
        self._started_ms = self._clock.now_ms()
        for feed in range(max(self._feed_count, RELAY_FEED_COUNT)):
            eventlet.spawn(self._run, feed)

    def store_watch_timeout_ms(self) -> int:
        """Returns the timeout of a store watch; 0 if no watch is needed."""
        if self._relay_selector.is_root():
            return ROOT_WATCH_MS
        if self.relay_by_feed or self._awaits_first_feed():
            return 0
        if self._clock.now_ms() < self._feed_lost_ms + self.fallback_delay_ms:
            return 0
        return FALLBACK_WATCH_MS

    def _retry_bounds_ms(self) -> tuple[float, float]:
        if self._relay_selector.is_root():
            return ROOT_RETRY_BOUNDS_MS
        return FALLBACK_RETRY_BOUNDS_MS

    def _awaits_first_feed(self) -> bool:
        if self._follower.has_synced:
            return False
        if self._is_fleet_starting:
            wait_ms = FIRST_FEED_OF_FLEET_MS
        else:
            wait_ms = FIRST_FEED_MS if self._relay_selector.has_relays() else 0.0
        return self._clock.now_ms() < self._started_ms + wait_ms

    def _retry_ms(self) -> float:
        if self._follower.has_synced:
            return NO_RELAY_RETRY_MS
        return FIRST_FEED_RETRY_MS

    def fetch_from(self, address: str) -> bool:
        """Fetches changes from another proxy; returns whether its feed is usable."""
        logger.info(
            "asking a proxy that knows more",
            extra={"address": address, "revision": self._follower.state.revision},
        )
        return self._fetch(address, 0.0)

    def _run(self, feed: int) -> None:
        while True:
            self._chosen_by_feed.pop(feed, None)
            if not self._is_needed(feed):
                self._clock.sleep_ms(self._retry_ms())
                continue
            excluded = set(self._chosen_by_feed.values())
            # The first feed prefers this data centre, the second one another.
            address = self._relay_selector.choose(feed > 0, excluded)
            if address is None:
                self._clock.sleep_ms(self._retry_ms())
                continue
            self._chosen_by_feed[feed] = address
            self._follow(feed, address)

    def _is_needed(self, feed: int) -> bool:
        return feed < self._feed_count or self._relay_selector.is_relay()

    def _follow(self, feed: int, address: str) -> None:
        """Follows one relay until its feed fails or it is no longer a relay."""
        wait_ms = 0.0
        while self._fetch(address, wait_ms):
            if feed not in self.relay_by_feed:
                logger.info("feed opened", extra={"relay": address, "feed": feed})
            self.relay_by_feed[feed] = address
            wait_ms = FEED_WAIT_MS
            if not self._may_follow(feed, address):
                break
        if self.relay_by_feed.pop(feed, None) is not None:
            self._feed_lost_ms = self._clock.now_ms()
            logger.info("feed closed", extra={"relay": address, "feed": feed})

    def _may_follow(self, feed: int, address: str) -> bool:
        selector = self._relay_selector
        if not self._is_needed(feed):
            return False
        if selector.is_relay():
            return selector.is_root_address(address)
        return selector.is_relay_address(address)

    def _fetch(self, address: str, wait_ms: float) -> bool:
        """Fetches and applies a proxy's changes; returns whether its feed is usable."""
        state = self._follower.state
        # The other feed may replace the base of a delta before the response arrives.
        # The second attempt names no held values, so it gets full values, which always
        # apply.
        for held in (state.revision_by_long_key(), {}):
            after = state.revision if state.is_synced else -1
            response = self._request(
                address, FeedRequest(self._prefix, after, wait_ms, held)
            )
            if response is None:
                return False
            try:
                self._apply_response(response)
            except (DeltaMismatch, msgspec.MsgspecError) as error:
                logger.info(
                    "feed response could not be applied",
                    extra={"relay": address, "reason": str(error)},
                )
                wait_ms = 0.0
                continue
            self._update_store_contact(response)
            if response.is_current:
                self._follower.has_synced = True
            else:
                logger.info("relay has lost the store", extra={"relay": address})
                self._avoid(address)
            return response.is_current
        self._avoid(address)
        return False

    def _avoid(self, address: str) -> None:
        duration_ms = (
            AVOID_RELAY_MS if self._follower.has_synced else FIRST_FEED_RETRY_MS
        )
        self._relay_selector.avoid(address, duration_ms)

    def _update_store_contact(self, response: FeedResponse) -> None:
        """Takes over the sender's contact to the store; root relays have their own."""
        if self._relay_selector.is_root() or not response.is_current:
            return
        state = self._follower.state
        contact_ms = self._clock.now_ms() - response.store_age_ms
        state.store_contact_ms = max(state.store_contact_ms, contact_ms)

    def _request(self, address: str, request: FeedRequest) -> FeedResponse | None:
        result = self._source.fetch(address, request)
        match result:
            case Failure(error):
                logger.info("feed failed", extra={"reason": error.cause})
                self._avoid(address)
                return None
        return result.unwrap()

    def _apply_response(self, response: FeedResponse) -> None:
        events = self._unpack(response)
        if not response.is_whole:
            self._follower.apply_changes(events, response.revision)
            return
        values = [
            StoredValue(event.key, event.value, event.revision)
            for event in events
            if event.value is not None
        ]
        self._follower.apply_snapshot(Snapshot(values, response.revision))

    def _unpack(self, response: FeedResponse) -> list[WatchEvent]:
        change_by_key = self._follower.state.change_by_key
        events = []
        for change in response.changes:
            known = change_by_key.get(change.key)
            if known is not None and known.revision >= change.revision:
                if response.is_whole:
                    events.append(known)
                continue
            base = known.revision if known is not None else 0
            held = known.value if known is not None else None
            value = unpack(change, base, held)
            events.append(WatchEvent(change.key, value, change.revision))
        return events
