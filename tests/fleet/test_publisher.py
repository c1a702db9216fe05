"""Tests of publishing a record through store outages and process restarts."""

from __future__ import annotations

import random

import msgspec

from jayswitch.clock import VirtualClock
from jayswitch.fleet.publisher import LEASE_TTL_MS, RecordPublisher
from jayswitch.fleet.records import NodeRecord, Upstream, UpstreamState
from jayswitch.standins.memory_store import MemoryStore


class PublisherFixture:
    """A store and a publisher of one record."""

    def __init__(
        self, store: MemoryStore | None = None, is_fleet_starting: bool = False
    ) -> None:
        """Starts the publisher."""
        self.clock = VirtualClock()
        self.store = store or MemoryStore(self.clock)
        self.upstream = Upstream("i-1", 1, "herdview", "v1", 6, UpstreamState.READY)
        self.restored: list[Upstream | None] = []
        self.publisher = RecordPublisher(
            self.store, "vm-1", self._build_record, lambda: self.upstream, self.clock
        )
        self.publisher.is_fleet_starting = is_fleet_starting
        self.publisher.start(self.restored.append)
        self.clock.sleep_ms(10)

    def _build_record(self) -> NodeRecord:
        # As in ProxyProcess, the record does not say how the upstream left.
        upstream = msgspec.structs.replace(self.upstream, sequence=0)
        if upstream.state is UpstreamState.GONE:
            upstream.state = UpstreamState.LEAVING
        return NodeRecord("vm-1", "bunbury", "swwa", "a:1", 0, upstream)

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
    """Acknowledged changes are in the store and survive outages."""

    def test_nothing_is_written_before_the_first_publish(self) -> None:
        fixture = PublisherFixture()
        fixture.clock.sleep_ms(5000)
        assert fixture.node() is None

    def test_record_is_kept_until_the_lease_is_revoked(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(10 * LEASE_TTL_MS)
        assert fixture.node() is not None
        fixture.publisher.revoke_lease()
        assert fixture.node() is None
        assert fixture.last().state is UpstreamState.READY

    def test_waiting_ends_only_when_the_change_is_stored(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        assert fixture.publisher.wait_until_stored(500)
        fixture.store.faults.down = True
        fixture.leave()
        assert not fixture.publisher.wait_until_stored(500)
        fixture.store.faults.down = False
        assert fixture.publisher.wait_until_stored(1000)
        assert fixture.last().state is UpstreamState.LEAVING

    def test_expired_record_is_restored_within_two_seconds_of_the_stores_return(
        self,
    ) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(100)
        fixture.store.faults.down = True
        fixture.clock.sleep_ms(3 * LEASE_TTL_MS)
        fixture.store.faults.down = False
        fixture.store._expire_due_leases()
        assert fixture.node() is None
        fixture.clock.sleep_ms(2000)
        assert fixture.node() is not None

    def test_changes_are_stored_despite_lost_store_answers(self) -> None:
        fixture = PublisherFixture(MemoryStore(VirtualClock(), seed=3))
        fixture.store.faults.lose_answers = 0.5
        fixture.store._random = random.Random(3)
        fixture.publisher.publish()
        fixture.clock.sleep_ms(1000)
        fixture.leave()
        assert fixture.publisher.wait_until_stored(20_000)
        node = fixture.node()
        assert node is not None and node.upstream is not None
        assert node.upstream.state is UpstreamState.LEAVING
        assert fixture.last().state is UpstreamState.LEAVING

    def test_next_process_restores_the_last_state(self) -> None:
        fixture = PublisherFixture()
        assert fixture.restored == [None]
        fixture.leave()
        fixture.clock.sleep_ms(100)
        restarted = PublisherFixture(fixture.store)
        assert restarted.restored[0] is not None
        assert restarted.restored[0].state is UpstreamState.LEAVING

    def test_start_takes_one_read_one_lease_and_one_write(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(500)
        assert fixture.node() is not None
        assert fixture.store.calls_by_kind == {"get": 1, "grant_lease": 1, "commit": 1}

    def test_first_start_of_a_fleet_takes_a_stale_read(self) -> None:
        store = MemoryStore(VirtualClock())
        fixture = PublisherFixture(store, is_fleet_starting=True)
        fixture.publisher.publish()
        fixture.clock.sleep_ms(500)
        assert fixture.restored == [None]
        assert fixture.node() is not None
        calls = {"stale_read": 1, "grant_lease": 1, "commit": 1}
        assert fixture.store.calls_by_kind == calls

    def test_conflict_takes_one_more_write_and_no_reads(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(100)
        # A restarted process knows an old revision of its record from a stale read.
        restarted = PublisherFixture(fixture.store)
        restarted.publisher.known_record_revision = lambda: 0
        before = fixture.store.calls_by_kind.copy()
        restarted.leave()
        assert restarted.publisher.wait_until_stored(50)
        calls = fixture.store.calls_by_kind - before
        assert calls == {"grant_lease": 1, "commit": 2}
        assert restarted.last().state is UpstreamState.LEAVING

    def test_renewals_take_a_call_in_five_seconds(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(60_000)
        assert fixture.node() is not None
        assert fixture.store.calls_by_kind["keep_alive"] <= 12

    def test_end_of_an_upstream_that_has_left_is_not_written(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.leave()
        fixture.clock.sleep_ms(500)
        before = fixture.store.calls_by_kind["commit"]
        fixture.upstream = msgspec.structs.replace(
            fixture.upstream, state=UpstreamState.GONE, sequence=9
        )
        fixture.publisher.publish()
        assert fixture.publisher.wait_until_stored(500)
        assert fixture.store.calls_by_kind["commit"] == before
        restarted = PublisherFixture(fixture.store)
        assert restarted.restored[0] is not None
        assert restarted.restored[0].state is UpstreamState.LEAVING

    def test_attempts_become_rare_while_the_store_refuses_this_proxy(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(100)
        fixture.store.faults.down = True
        before = fixture.store.calls_by_kind["keep_alive"]
        fixture.clock.sleep_ms(9000)
        assert fixture.store.calls_by_kind["keep_alive"] - before <= 12

    def test_change_is_written_at_once_although_an_earlier_attempt_failed(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(100)
        fixture.store.faults.down = True
        fixture.clock.sleep_ms(9000)
        fixture.store.faults.down = False
        fixture.leave()
        assert fixture.publisher.wait_until_stored(50)

    def test_record_of_a_killed_process_is_replaced(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(100)
        # Ends the renewals without revoking the lease, like a killed process.
        fixture.publisher._stopped = True
        restarted = PublisherFixture(fixture.store)
        restarted.leave()
        assert restarted.publisher.wait_until_stored(1000)
        node = restarted.node()
        assert node is not None and node.upstream is not None
        assert node.upstream.state is UpstreamState.LEAVING

    def test_expired_lease_is_replaced_without_reading(self) -> None:
        fixture = PublisherFixture()
        fixture.publisher.publish()
        fixture.clock.sleep_ms(100)
        fixture.store.expire_lease("lease-1")
        reads = fixture.store.calls_by_kind["get"]
        # The followers of the process report the removal; see TestRecord in loopback.
        fixture.publisher.handle_removal()
        fixture.clock.sleep_ms(2000)
        assert fixture.node() is not None
        assert fixture.store.calls_by_kind["get"] == reads

    def test_nothing_is_restored_while_the_store_is_unavailable(self) -> None:
        store = MemoryStore(VirtualClock())
        store.faults.down = True
        fixture = PublisherFixture(store)
        fixture.clock.sleep_ms(3000)
        assert not fixture.publisher.restored
        store.faults.down = False
        fixture.clock.sleep_ms(1000)
        assert fixture.publisher.restored
