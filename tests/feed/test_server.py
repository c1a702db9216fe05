"""Tests of serving a prefix to other proxies."""

from __future__ import annotations

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.feed.messages import FeedRequest, FeedResponse, ValueEncoding, unpack
from jayswitch.feed.server import FeedServer
from jayswitch.store.interface import WatchEvent
from jayswitch.store.prefix_state import PrefixState

LONG = b"{" + b"}".join(b"part %d" % n for n in range(2000)) + b"}"


class ServerSetup:
    """A state and the server in front of it."""

    def __init__(self) -> None:
        """Initializes a state that is connected to the store."""
        self.state = PrefixState()
        self.clock = VirtualClock()
        self.state.store_contact_ms = self.clock.now_ms()
        self.server = FeedServer(self.clock)
        self.server.serve("op/", self.state)

    def put(self, key: str, value: bytes | None, revision: int) -> None:
        """Applies a change; the first full read was at revision 10."""
        self.state.apply(WatchEvent(key, value, revision))
        self.state.advance(revision, removals_known_after=10)

    def ask(self, after: int, wait_ms: float = 0.0, **held: int) -> FeedResponse:
        """Returns the server's response; underscores in keys stand for slashes."""
        renamed = {key.replace("_", "/"): revision for key, revision in held.items()}
        response = self.server.respond(FeedRequest("op/", after, wait_ms, renamed))
        assert response is not None
        return response


class TestFeedServer:
    """The requester gets the latest change of each key that it lacks."""

    def test_changes_after_a_revision(self) -> None:
        setup = ServerSetup()
        setup.put("op/a", b"1", 10)
        setup.put("op/b", b"2", 12)
        response = setup.ask(11)
        assert not response.is_whole and response.is_current and response.revision == 12
        assert [(c.key, c.packed) for c in response.changes] == [("op/b", b"2")]

    def test_removal_is_sent(self) -> None:
        setup = ServerSetup()
        setup.put("op/a", b"1", 10)
        setup.put("op/a", None, 13)
        assert [c.form for c in setup.ask(11).changes] == [ValueEncoding.REMOVED]

    def test_requester_older_than_the_first_read_gets_everything(self) -> None:
        setup = ServerSetup()
        setup.put("op/a", b"1", 10)
        setup.put("op/b", None, 12)
        response = setup.ask(4)
        assert response.is_whole and [c.key for c in response.changes] == ["op/a"]

    def test_change_ends_the_wait(self) -> None:
        setup, clock = ServerSetup(), VirtualClock()
        setup.put("op/a", b"1", 10)
        eventlet.spawn_after(0.3, setup.put, "op/a", b"2", 14)
        response = setup.ask(10, 5000.0)
        assert [c.packed for c in response.changes] == [b"2"]
        assert 0 <= clock.now_ms() % 5000 < 4000

    def test_wait_ends_without_a_change(self) -> None:
        setup = ServerSetup()
        setup.put("op/a", b"1", 10)
        assert setup.ask(10, 1000.0).changes == []

    def test_unknown_prefix_and_unread_state_get_no_response(self) -> None:
        server = FeedServer(VirtualClock())
        assert server.respond(FeedRequest("op/", -1)) is None
        server.serve("op/", PrefixState())
        assert server.respond(FeedRequest("op/", -1)) is None

    def test_long_value_is_sent_as_a_delta_to_the_held_one(self) -> None:
        setup = ServerSetup()
        setup.put("op/a", LONG, 10)
        setup.put("op/a", LONG + b"more", 11)
        (change,) = setup.ask(10, op_a=10).changes
        assert change.form is ValueEncoding.DELTA and len(change.packed) < 200
        assert unpack(change, 10, LONG) == LONG + b"more"

    def test_long_value_is_sent_compressed_if_none_is_held(self) -> None:
        setup = ServerSetup()
        setup.put("op/a", LONG, 10)
        (change,) = setup.ask(-1).changes
        assert (
            change.form is ValueEncoding.COMPRESSED
            and len(change.packed) < len(LONG) / 3
        )
        assert unpack(change, 0, None) == LONG

    def test_cached_change_is_replaced_by_the_next_one(self) -> None:
        setup = ServerSetup()
        setup.put("op/a", LONG, 10)
        setup.ask(-1)
        setup.put("op/a", LONG + b"more", 11)
        (change,) = setup.ask(-1).changes
        assert unpack(change, 0, None) == LONG + b"more"
