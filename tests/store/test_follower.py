"""Tests of following a prefix across outages and history gaps."""

from __future__ import annotations

from typing import Any

from jayswitch.clock import VirtualClock
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.follower import BatchDelay, PrefixFollower
from jayswitch.store.interface import (
    Snapshot,
    StoredValue,
    WatchBatch,
    WatchEvent,
    Write,
)

BATCH_DELAY = BatchDelay(100.0, 400.0)


class FollowerSetup:
    """A store, a follower and the values that its listener has received."""

    def __init__(self) -> None:
        """Starts the follower."""
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.values: dict[str, bytes] = {}
        self.follower = PrefixFollower(
            self.store, "op/", self._apply, self.clock, BATCH_DELAY
        )
        self.follower.start()
        self.clock.sleep_ms(10)

    def _apply(self, event: WatchEvent) -> None:
        if event.value is None:
            self.values.pop(event.key, None)
        else:
            self.values[event.key] = event.value

    def put(self, key: str, value: bytes) -> None:
        """Writes a key regardless of its revision."""
        self.store.commit([Write(key, value)]).unwrap()


class TestFollower:
    """The listener converges on the contents of the store."""

    def test_changes_arrive(self) -> None:
        setup = FollowerSetup()
        setup.put("op/a", b"1")
        setup.put("other", b"2")
        setup.clock.sleep_ms(500)
        assert setup.values == {"op/a": b"1"}

    def test_changes_during_an_outage_arrive_after_it(self) -> None:
        setup = FollowerSetup()
        setup.put("op/a", b"1")
        setup.clock.sleep_ms(500)
        setup.store.faults.down = True
        setup.clock.sleep_ms(30_000)
        assert not setup.follower.connected
        setup.store.faults.down = False
        setup.put("op/a", b"2")
        revision = setup.store.get("op/a").unwrap().revision
        setup.store.delete("op/a", revision)
        setup.put("op/b", b"3")
        setup.clock.sleep_ms(2000)
        assert setup.values == {"op/b": b"3"}

    def test_prefix_is_read_again_after_compaction(self) -> None:
        setup = FollowerSetup()
        watch = setup.store.watch
        compacted = WatchBatch(0, [], compacted=True)
        setup.put("op/a", b"1")
        setup.clock.sleep_ms(500)
        setup.store.watch = (  # type: ignore[method-assign]
            lambda prefix, after, wait: (
                type(watch(prefix, -1, 0))(compacted)
                if after >= 0
                else watch(prefix, after, wait)
            )
        )
        setup.put("op/a", b"2")
        setup.clock.sleep_ms(100)
        setup.store.watch = watch  # type: ignore[method-assign]
        setup.clock.sleep_ms(2000)
        assert setup.values == {"op/a": b"2"}

    def test_replayed_event_does_not_undo_a_later_value(self) -> None:
        setup = FollowerSetup()
        snapshot = Snapshot([StoredValue("op/a", b"new", 9)], 9)
        setup.follower.apply_snapshot(snapshot)
        setup.follower.apply_changes([WatchEvent("op/a", b"old", 7)], 7)
        assert setup.values == {"op/a": b"new"}

    def test_snapshot_does_not_undo_a_later_event(self) -> None:
        setup = FollowerSetup()
        setup.follower.apply_changes([WatchEvent("op/a", b"new", 9)], 9)
        setup.follower.apply_snapshot(Snapshot([], 8))
        assert setup.values == {"op/a": b"new"}

    def test_replayed_event_does_not_undo_a_later_removal(self) -> None:
        setup = FollowerSetup()
        setup.follower.apply_changes([WatchEvent("op/a", b"new", 7)], 7)
        setup.follower.apply_changes([WatchEvent("op/a", None, 8)], 8)
        setup.follower.apply_snapshot(Snapshot([StoredValue("op/a", b"new", 7)], 7))
        setup.follower.apply_changes([WatchEvent("op/a", b"new", 7)], 7)
        assert setup.values == {}

    def test_first_read_transfers_each_value_once(self) -> None:
        setup = FollowerSetup()
        assert setup.store.calls_by_kind["scan"] == 1
        assert setup.follower.has_synced


class TestBatchDelay:
    """Changes in a burst are batched into few calls; a single one arrives promptly."""

    def test_delay_grows_in_a_burst_and_is_reset_afterwards(self) -> None:
        delays = [BATCH_DELAY.shortest_ms]
        for waited_ms in (4.0, 4.0, 500.0, 4.0, 4.0, 4.0, 5000.0):
            delays.append(BATCH_DELAY.next_ms(delays[-1], waited_ms))
        assert delays == [100, 150, 225, 225, 337.5, 400, 400, 100]

    def test_burst_costs_fewer_calls_than_changes(self) -> None:
        setup = FollowerSetup()
        watches = 0
        watch = setup.store.watch

        def count(*arguments: Any) -> Any:
            nonlocal watches
            watches += 1
            return watch(*arguments)

        setup.store.watch = count  # type: ignore[method-assign]
        for number in range(100):
            setup.put("op/a", str(number).encode())
            setup.clock.sleep_ms(50)
        setup.clock.sleep_ms(400)
        assert setup.values == {"op/a": b"99"}
        assert watches <= 5000 / BATCH_DELAY.longest_ms + 5
