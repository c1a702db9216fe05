"""Tests of keeping a record in the store through outages and restarts."""

from __future__ import annotations

import random

import msgspec

from jayswitch.clock import VirtualClock
from jayswitch.fleet.publisher import LEASE_MS, RecordPublisher
from jayswitch.fleet.records import NodeRecord, Upstream, UpstreamState
from jayswitch.standins.memory_store import MemoryStore


class Published:
    """A store and a publisher of one record."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        """Starts the publisher."""
        self.clock = VirtualClock()
        self.store = store or MemoryStore(self.clock)
        self.upstream = Upstream("i-1", 1, "herdview", "v1", 6, UpstreamState.READY)
        self.restored: list[Upstream | None] = []
        self.publisher = RecordPublisher(
            self.store, "vm-1", self._describe, lambda: self.upstream, self.clock
        )
        self.publisher.start(self.restored.append)
        self.clock.sleep_ms(10)

    def _describe(self) -> NodeRecord:
        return NodeRecord("vm-1", "bunbury", "swwa", "a:1", 0, self.upstream)

    def leave(self) -> None:
        """Changes the upstream's state."""
        self.upstream = msgspec.structs.replace(
            self.upstream, state=UpstreamState.LEAVING
        )
        self.publisher.publish()

    def node(self) -> NodeRecord | None:
        """Returns the stored record."""
        stored = self.store._values_by_key.get("jayswitch/nodes/vm-1")
        return stored and msgspec.json.decode(stored.value, type=NodeRecord)

    def last(self) -> Upstream:
        """Returns the stored last state."""
        stored = self.store._values_by_key["jayswitch-last/vm-1"]
        return msgspec.json.decode(stored.value, type=Upstream)


class TestPublisher:
    """What was acknowledged is in the store, and stays there."""

    def test_nothing_is_written_before_there_is_something(self) -> None:
        published = Published()
        published.clock.sleep_ms(5000)
        assert published.node() is None

    def test_record_lives_while_its_process_does(self) -> None:
        published = Published()
        published.publisher.publish()
        published.clock.sleep_ms(10 * LEASE_MS)
        assert published.node() is not None
        published.publisher.withdraw()
        assert published.node() is None
        assert published.last().state is UpstreamState.READY

    def test_waiting_ends_only_when_the_change_is_stored(self) -> None:
        published = Published()
        published.publisher.publish()
        assert published.publisher.wait_until_stored(500)
        published.store.faults.down = True
        published.leave()
        assert not published.publisher.wait_until_stored(500)
        published.store.faults.down = False
        assert published.publisher.wait_until_stored(1000)
        assert published.last().state is UpstreamState.LEAVING

    def test_lapsed_record_is_back_within_two_seconds_of_the_stores_return(
        self,
    ) -> None:
        published = Published()
        published.publisher.publish()
        published.clock.sleep_ms(100)
        published.store.faults.down = True
        published.clock.sleep_ms(3 * LEASE_MS)
        published.store.faults.down = False
        published.store._expire_due_leases()
        assert published.node() is None
        published.clock.sleep_ms(2000)
        assert published.node() is not None

    def test_lost_answers_do_not_stop_it(self) -> None:
        published = Published(MemoryStore(VirtualClock(), seed=3))
        published.store.faults.lose_answers = 0.5
        published.store._random = random.Random(3)
        published.publisher.publish()
        published.clock.sleep_ms(1000)
        published.leave()
        assert published.publisher.wait_until_stored(20_000)
        node = published.node()
        assert node is not None and node.upstream is not None
        assert node.upstream.state is UpstreamState.LEAVING
        assert published.last().state is UpstreamState.LEAVING

    def test_next_process_learns_the_last_state(self) -> None:
        published = Published()
        assert published.restored == [None]
        published.leave()
        published.clock.sleep_ms(100)
        again = Published(published.store)
        assert again.restored[0] is not None
        assert again.restored[0].state is UpstreamState.LEAVING

    def test_nothing_is_restored_while_the_store_is_away(self) -> None:
        store = MemoryStore(VirtualClock())
        store.faults.down = True
        published = Published(store)
        published.clock.sleep_ms(3000)
        assert not published.publisher.restored
        store.faults.down = False
        published.clock.sleep_ms(1000)
        assert published.publisher.restored
