"""Tests of following feeds that fail or cannot be applied."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result, Success

from jayswitch.clock import VirtualClock
from jayswitch.feed.exceptions import FeedError, FeedUnavailable
from jayswitch.feed.follower import FeedFollower
from jayswitch.feed.messages import FeedChange, FeedRequest, FeedResponse, ValueEncoding
from jayswitch.feed.relay_selector import RelaySelector
from jayswitch.fleet.directory import Directory
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.follower import BatchDelay, PrefixFollower
from jayswitch.store.interface import WatchEvent

FEED_COUNT = 2

Responder = Callable[[FeedRequest], Result[FeedResponse, FeedError]]


class FakeSource:
    """Returns prepared responses and records the requests."""

    def __init__(self, respond: Responder) -> None:
        """Initializes the source with a responder."""
        self.requests: list[FeedRequest] = []
        self._respond = respond

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedResponse, FeedError]:
        """Returns the responder's result."""
        self.requests.append(request)
        return self._respond(request)


class FeedFollowerSetup:
    """A follower that holds one long value, and a feed to it."""

    def __init__(self, respond: Responder) -> None:
        """Initializes the set-up with a responder for every address."""
        self.values: dict[str, bytes | None] = {}
        self.clock = VirtualClock()
        self.follower = PrefixFollower(
            MemoryStore(self.clock),
            "op/",
            self._record,
            self.clock,
            BatchDelay(100.0, 400.0),
        )
        self.follower.apply_changes([WatchEvent("op/a", b"1" * 5000, 5)], 5)
        self.follower.state.advance(5, removals_known_after=5)
        self.source = FakeSource(respond)
        selector = RelaySelector("vm-1", "a", Directory(), self.clock)
        self.feed = FeedFollower(
            "op/", self.follower, selector, self.source, self.clock, FEED_COUNT
        )

    def _record(self, event: WatchEvent) -> None:
        self.values[event.key] = event.value


def _response(change: FeedChange, is_current: bool = True) -> Success[FeedResponse]:
    age_ms = 0.0 if is_current else float("inf")
    return Success(FeedResponse(change.revision, False, age_ms, [change]))


class TestFeedFollower:
    """A feed delivers changes or is abandoned."""

    def test_change_is_applied(self) -> None:
        change = FeedChange("op/a", 6, ValueEncoding.PLAIN, b"2")
        setup = FeedFollowerSetup(lambda request: _response(change))
        assert setup.feed.fetch_from("x")
        assert setup.values == {"op/a": b"2"}
        assert setup.follower.state.revision == 6

    def test_mismatched_delta_is_requested_again_in_full(self) -> None:
        def respond(request: FeedRequest) -> Success[FeedResponse]:
            if request.held:
                return _response(
                    FeedChange("op/a", 6, ValueEncoding.DELTA, b"", base=4)
                )
            return _response(FeedChange("op/a", 6, ValueEncoding.PLAIN, b"2"))

        setup = FeedFollowerSetup(respond)
        assert setup.feed.fetch_from("x")
        assert [request.held for request in setup.source.requests] == [{"op/a": 5}, {}]
        assert setup.values == {"op/a": b"2"}

    def test_unusable_feed_is_abandoned_and_changes_nothing(self) -> None:
        change = FeedChange("op/a", 6, ValueEncoding.COMPRESSED, b"not compressed")
        setup = FeedFollowerSetup(lambda request: _response(change))
        assert not setup.feed.fetch_from("x")
        assert setup.follower.state.revision == 5
        assert setup.values == {"op/a": b"1" * 5000}

    def test_older_change_is_ignored(self) -> None:
        change = FeedChange("op/a", 3, ValueEncoding.PLAIN, b"0")
        setup = FeedFollowerSetup(lambda request: _response(change))
        assert setup.feed.fetch_from("x")
        assert setup.follower.state.revision == 5
        assert setup.values == {"op/a": b"1" * 5000}

    def test_relay_without_the_store_is_abandoned_but_its_changes_are_applied(
        self,
    ) -> None:
        change = FeedChange("op/a", 6, ValueEncoding.PLAIN, b"2")
        setup = FeedFollowerSetup(lambda request: _response(change, is_current=False))
        assert not setup.feed.fetch_from("x")
        assert setup.values == {"op/a": b"2"}

    def test_store_is_needed_without_a_feed(self) -> None:
        setup = FeedFollowerSetup(lambda request: Failure(FeedUnavailable("x", "cut")))
        setup.feed.start()
        setup.clock.sleep_ms(100)
        assert setup.feed.store_watch_timeout_ms() > 0
        setup.feed.relay_by_feed = {feed: "x" for feed in range(FEED_COUNT)}
        assert setup.feed.store_watch_timeout_ms() == 0
