"""Tests of moving a service between versions with several competing proxies."""

from __future__ import annotations

import random

import msgspec

from jayswitch.catalog.orders import MoveOrder, Orders
from jayswitch.clock import VirtualClock
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import (
    BASELINE_PREFIX,
    MOVE_PREFIX,
    Move,
    NodeRecord,
    Upstream,
    UpstreamState,
    VersionCounts,
    node_key,
)
from jayswitch.rollout.coordinator import MoveCoordinator
from jayswitch.rollout.stages import COMPLETED, ROLLED_BACK, RUNNING
from jayswitch.rollout.versions import VersionRules
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.follower import BatchDelay, PrefixFollower
from jayswitch.store.interface import WatchEvent, Write

SERVICE = "herdview"
DURATION_MS = 12_000.0


class Fleet:
    """Proxies that share a store, each with its own coordinator."""

    def __init__(self, size: int) -> None:
        """Starts the coordinators and publishes an upstream of the old version."""
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.orders = [Orders() for _ in range(size)]
        self.rules = [VersionRules(random.Random(n)) for n in range(size)]
        self.directory = Directory()
        self.coordinators = [self._start(number) for number in range(size)]
        self.publish_upstream("vm-0", "v1", 0)
        self.clock.sleep_ms(5000)

    def _start(self, number: int) -> MoveCoordinator:
        rules = self.rules[number]
        batch_delay = BatchDelay(100.0, 100.0)
        PrefixFollower(
            self.store, "jayswitch/", rules.apply, self.clock, batch_delay
        ).start()
        coordinator = MoveCoordinator(
            f"vm-{number}",
            self.store,
            self.orders[number],
            rules,
            self.directory,
            lambda service, state, version: (f"shown/{service}", state.encode()),
            self.clock,
        )
        coordinator.start()
        return coordinator

    def publish_upstream(self, vm: str, version: str, good: int) -> None:
        """Publishes an upstream with its number of good answers."""
        upstream = Upstream("i", 1, SERVICE, version, 6, UpstreamState.READY)
        record = NodeRecord(
            vm, "bunbury", "swwa", "a:1", 0, upstream, False, VersionCounts(good, 0)
        )
        data = msgspec.json.encode(record)
        self.directory.apply(WatchEvent(node_key(vm), data, 1))

    def order(self, revision: int = 50) -> None:
        """Orders the move to the second version."""
        for orders in self.orders:
            now_ms = self.clock.now_ms()
            orders.put_move(MoveOrder(SERVICE, "v2", DURATION_MS, revision, now_ms))

    def status(self) -> str:
        """Returns the state that operators read."""
        stored = self.store._values_by_key.get(f"shown/{SERVICE}")
        return stored.value.decode() if stored else ""

    def move(self) -> Move:
        """Returns the stored move."""
        stored = self.store._values_by_key[MOVE_PREFIX + SERVICE]
        return msgspec.json.decode(stored.value, type=Move)


class TestCoordinator:
    """Each order leads to one consistent move, whichever proxy writes its steps."""

    def test_good_version_is_completed_in_time_and_proved(self) -> None:
        fleet = Fleet(3)
        fleet.publish_upstream("vm-1", "v2", 100)
        fleet.order()
        fleet.clock.sleep_ms(1000)
        assert fleet.status() == RUNNING
        fleet.clock.sleep_ms(DURATION_MS - 1000)
        assert fleet.status() == COMPLETED
        assert fleet.rules[2].proved_version_by_service[SERVICE] == "v2"

    def test_share_stays_small_without_good_answers(self) -> None:
        fleet = Fleet(3)
        fleet.publish_upstream("vm-1", "v2", 0)
        fleet.order()
        fleet.clock.sleep_ms(DURATION_MS - 500)
        assert fleet.move().share <= 0.05
        fleet.clock.sleep_ms(3000)
        assert fleet.status() == ROLLED_BACK

    def test_rollback_ends_the_move_permanently(self) -> None:
        fleet = Fleet(3)
        fleet.publish_upstream("vm-1", "v2", 100)
        fleet.order()
        fleet.clock.sleep_ms(2000)
        fleet.rules[1].withdraw(SERVICE, "v2")
        fleet.coordinators[1].roll_back(SERVICE, "it failed")
        fleet.clock.sleep_ms(1000)
        assert fleet.status() == ROLLED_BACK
        fleet.clock.sleep_ms(DURATION_MS)
        assert fleet.status() == ROLLED_BACK

    def test_rollback_is_stored_after_a_store_outage(self) -> None:
        fleet = Fleet(2)
        fleet.publish_upstream("vm-1", "v2", 100)
        fleet.order()
        fleet.clock.sleep_ms(2000)
        fleet.store.faults.down = True
        fleet.coordinators[0].roll_back(SERVICE, "it failed")
        fleet.clock.sleep_ms(3000)
        fleet.store.faults.down = False
        fleet.clock.sleep_ms(2000)
        assert fleet.status() == ROLLED_BACK

    def test_next_proxy_takes_over_from_one_that_cannot_write(self) -> None:
        fleet = Fleet(3)
        fleet.coordinators[0]._store = MemoryStore(fleet.clock)
        fleet.coordinators[0]._store.faults.down = True  # type: ignore[attr-defined]
        fleet.publish_upstream("vm-1", "v2", 100)
        fleet.publish_upstream("vm-2", "v1", 0)
        fleet.order()
        fleet.clock.sleep_ms(DURATION_MS)
        assert fleet.status() == COMPLETED

    def test_later_order_replaces_an_earlier_one(self) -> None:
        fleet = Fleet(2)
        fleet.publish_upstream("vm-1", "v2", 100)
        fleet.order(50)
        fleet.clock.sleep_ms(2000)
        fleet.rules[0].withdraw(SERVICE, "v2")
        fleet.coordinators[0].roll_back(SERVICE, "it failed")
        fleet.clock.sleep_ms(1000)
        fleet.order(60)
        fleet.clock.sleep_ms(2000)
        assert (fleet.move().order, fleet.move().state) == (60, RUNNING)

    def test_proved_version_is_written_once(self) -> None:
        fleet = Fleet(3)
        key = BASELINE_PREFIX + SERVICE
        revision = fleet.store._values_by_key[key].revision
        fleet.clock.sleep_ms(5000)
        assert fleet.store._values_by_key[key].revision == revision
        assert fleet.store.commit([Write("x", b"")]).unwrap() > revision
