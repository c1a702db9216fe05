"""Tests of relay selection."""

from __future__ import annotations

import msgspec

from jayswitch.clock import VirtualClock
from jayswitch.feed.relay_selector import AVOID_RELAY_MS, RelaySelector
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import NODE_PREFIX, NodeRecord
from jayswitch.store.interface import WatchEvent

PROXIES_BY_DATA_CENTRE = {"a": 4, "b": 3, "c": 3}


class Fleet:
    """Proxies in three data centres; the second of each has the fastest link."""

    def __init__(self) -> None:
        """Publishes the record of every proxy."""
        self.clock = VirtualClock()
        self.directory = Directory()
        for data_centre, count in PROXIES_BY_DATA_CENTRE.items():
            for number in range(count):
                self.put(
                    f"{data_centre}-{number}",
                    data_centre,
                    100.0 if number == 1 else 6.0,
                )

    def put(
        self, vm: str, data_centre: str, width: float, draining: bool = False
    ) -> None:
        """Publishes a record; the address of a proxy is its VM name."""
        record = NodeRecord(vm, data_centre, "r", vm, draining=draining)
        record.link_mbit_per_s = width
        value = msgspec.json.encode(record)
        self.directory.apply(WatchEvent(NODE_PREFIX + vm, value, 1))

    def relays(self, vm: str) -> RelaySelector:
        """Returns the relay selector of a proxy."""
        return RelaySelector(vm, vm[0], self.directory, self.clock)


class TestRelaySelector:
    """Every proxy selects the same relays and follows two of them."""

    def test_fastest_links_of_each_data_centre_are_relays(self) -> None:
        fleet = Fleet()
        names = list(fleet.directory.record_by_vm)
        relays = {vm for vm in names if fleet.relays(vm).is_relay()}
        assert relays == {"a-0", "a-1", "b-0", "b-1", "c-0", "c-1"}

    def test_first_feed_is_local_and_the_second_remote(self) -> None:
        relays = Fleet().relays("a-3")
        near = relays.choose(False, set())
        assert near in ("a-0", "a-1")
        assert relays.choose(True, {near}) in ("b-0", "b-1", "c-0", "c-1")

    def test_relay_never_follows_itself(self) -> None:
        relays = Fleet().relays("a-0")
        assert relays.choose(False, set()) == "a-1"
        relays.avoid("a-1")
        assert relays.choose(False, set()) in ("b-0", "b-1", "c-0", "c-1")

    def test_failed_relay_is_avoided_for_a_while(self) -> None:
        fleet = Fleet()
        relays = fleet.relays("a-3")
        first = relays.choose(False, set())
        assert first is not None
        relays.avoid(first)
        assert relays.choose(False, set()) not in (None, first)
        fleet.clock.sleep_ms(AVOID_RELAY_MS)
        assert relays.choose(False, set()) == first

    def test_draining_and_suspected_proxies_are_replaced(self) -> None:
        fleet = Fleet()
        fleet.put("a-1", "a", 100.0, draining=True)
        relays = fleet.relays("a-3")
        relays.is_suspected = lambda vm: vm == "a-0"
        assert relays.is_relay()
        assert relays.choose(False, set()) == "a-2"
        assert not relays.is_usable("a-1")

    def test_single_proxy_has_no_relay_to_follow(self) -> None:
        relays = RelaySelector("a-0", "a", Directory(), VirtualClock())
        assert relays.choose(False, set()) is None and not relays.is_relay()
