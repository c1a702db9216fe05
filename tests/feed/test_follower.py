"""Tests of following feeds that fail or do not fit."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result, Success

from jayswitch.clock import VirtualClock
from jayswitch.feed.exceptions import FeedError, FeedUnavailable
from jayswitch.feed.follower import FEEDS, FeedFollower
from jayswitch.feed.messages import FeedAnswer, FeedChange, FeedRequest, Form
from jayswitch.feed.relays import Relays
from jayswitch.fleet.directory import Directory
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.follower import BatchDelay, PrefixFollower
from jayswitch.store.interface import WatchEvent

Source = Callable[[FeedRequest], Result[FeedAnswer, FeedError]]


class FakeSource:
    """Answers as it is told and remembers what was asked."""

    def __init__(self, answer: Source) -> None:
        """Takes what answers."""
        self.asked: list[FeedRequest] = []
        self._answer = answer

    def fetch(
        self, address: str, request: FeedRequest
    ) -> Result[FeedAnswer, FeedError]:
        """Returns the answer."""
        self.asked.append(request)
        return self._answer(request)


class Following:
    """A follower that has read version 1, and a feed of it."""

    def __init__(self, answer: Source) -> None:
        """Takes what the proxy at every address answers."""
        self.values: dict[str, bytes | None] = {}
        self.clock = VirtualClock()
        self.follower = PrefixFollower(
            MemoryStore(self.clock),
            "op/",
            self._note,
            self.clock,
            BatchDelay(100.0, 400.0),
        )
        self.follower.apply_changes([WatchEvent("op/a", b"1" * 5000, 5)], 5)
        self.follower.state.advance(5, removals_known_after=5)
        self.source = FakeSource(answer)
        relays = Relays("vm-1", "a", Directory(), self.clock)
        self.feed = FeedFollower("op/", self.follower, relays, self.source, self.clock)

    def _note(self, event: WatchEvent) -> None:
        self.values[event.key] = event.value


def _answer(change: FeedChange, is_current: bool = True) -> Success[FeedAnswer]:
    return Success(FeedAnswer(change.revision, False, is_current, [change]))


class TestFeedFollower:
    """A feed brings changes or is left."""

    def test_change_is_put_in_force(self) -> None:
        change = FeedChange("op/a", 6, Form.PLAIN, b"2")
        following = Following(lambda request: _answer(change))
        assert following.feed.fetch_from("x")
        assert following.values == {"op/a": b"2"}
        assert following.follower.state.revision == 6

    def test_delta_for_another_value_is_asked_for_whole(self) -> None:
        def answer(request: FeedRequest) -> Success[FeedAnswer]:
            if request.held:
                return _answer(FeedChange("op/a", 6, Form.DELTA, b"", base=4))
            return _answer(FeedChange("op/a", 6, Form.PLAIN, b"2"))

        following = Following(answer)
        assert following.feed.fetch_from("x")
        assert [request.held for request in following.source.asked] == [{"op/a": 5}, {}]
        assert following.values == {"op/a": b"2"}

    def test_feed_that_never_fits_is_left_and_changes_nothing(self) -> None:
        change = FeedChange("op/a", 6, Form.COMPRESSED, b"not compressed")
        following = Following(lambda request: _answer(change))
        assert not following.feed.fetch_from("x")
        assert following.follower.state.revision == 5
        assert following.values == {"op/a": b"1" * 5000}

    def test_older_change_is_passed_over(self) -> None:
        change = FeedChange("op/a", 3, Form.PLAIN, b"0")
        following = Following(lambda request: _answer(change))
        assert following.feed.fetch_from("x")
        assert following.follower.state.revision == 5
        assert following.values == {"op/a": b"1" * 5000}

    def test_relay_without_the_store_is_left_but_its_changes_are_taken(self) -> None:
        change = FeedChange("op/a", 6, Form.PLAIN, b"2")
        following = Following(lambda request: _answer(change, is_current=False))
        assert not following.feed.fetch_from("x")
        assert following.values == {"op/a": b"2"}

    def test_store_is_needed_without_a_feed(self) -> None:
        following = Following(lambda request: Failure(FeedUnavailable("x", "cut")))
        following.feed.start()
        following.clock.sleep_ms(100)
        assert following.feed.store_watch_timeout_ms() > 0
        following.feed.relay_by_feed = {feed: "x" for feed in range(FEEDS)}
        assert following.feed.store_watch_timeout_ms() == 0
