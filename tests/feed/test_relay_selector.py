"""Tests of relay selection."""

from __future__ import annotations

import msgspec

from jayswitch.clock import VirtualClock
from jayswitch.feed.follower import AVOID_RELAY_MS
from jayswitch.feed.relay_selector import RELAYS_VALID_MS, RelaySelector
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import NODE_PREFIX, NodeRecord
from jayswitch.store.interface import WatchEvent

ROOT_RELAYS = 3
PROXIES_BY_DATA_CENTRE = {"a": 4, "b": 3, "c": 3}


class Fleet:
    """Proxies in three data centres; the second proxy of each has the fastest link."""

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
        self, vm: str, data_centre: str, link_mbit_per_s: float, draining: bool = False
    ) -> None:
        """Publishes a record; the address of a proxy is its VM name."""
        record = NodeRecord(vm, data_centre, "r", vm, draining=draining)
        record.link_mbit_per_s = link_mbit_per_s
        value = msgspec.json.encode(record)
        self.directory.apply(WatchEvent(NODE_PREFIX + vm, value, 1))

    def selector(self, vm: str) -> RelaySelector:
        """Returns the relay selector of a proxy."""
        return RelaySelector(vm, vm[0], self.directory, self.clock)

    def rooted_selector(self, vm: str) -> RelaySelector:
        """Returns the selector of a prefix that only a few relays watch."""
        return RelaySelector(vm, vm[0], self.directory, self.clock, ROOT_RELAYS)


class TestRelaySelector:
    """Every proxy selects the same relays and follows two of them."""

    def test_fastest_links_of_each_data_centre_are_relays(self) -> None:
        fleet = Fleet()
        names = list(fleet.directory.record_by_vm)
        relays = {vm for vm in names if fleet.selector(vm).is_relay()}
        assert relays == {"a-0", "a-1", "b-0", "b-1", "c-0", "c-1"}

    def test_first_feed_is_local_and_the_second_remote(self) -> None:
        selector = Fleet().selector("a-3")
        local = selector.choose(False, set())
        assert local in ("a-0", "a-1")
        assert selector.choose(True, {local}) in ("b-0", "b-1", "c-0", "c-1")

    def test_relay_never_follows_itself(self) -> None:
        selector = Fleet().selector("a-0")
        assert selector.choose(False, set()) == "a-1"
        selector.avoid("a-1", AVOID_RELAY_MS)
        assert selector.choose(False, set()) in ("b-0", "b-1", "c-0", "c-1")

    def test_failed_relay_is_avoided_for_a_while(self) -> None:
        fleet = Fleet()
        selector = fleet.selector("a-3")
        first = selector.choose(False, set())
        assert first is not None
        selector.avoid(first, AVOID_RELAY_MS)
        assert selector.choose(False, set()) not in (None, first)
        fleet.clock.sleep_ms(AVOID_RELAY_MS)
        assert selector.choose(False, set()) == first

    def test_draining_and_suspected_proxies_are_replaced(self) -> None:
        fleet = Fleet()
        fleet.put("a-1", "a", 100.0, draining=True)
        selector = fleet.selector("a-3")
        selector.is_suspected = lambda vm: vm == "a-0"
        assert selector.is_relay()
        assert selector.choose(False, set()) == "a-2"
        assert not selector.is_relay_address("a-1")

    def test_single_proxy_has_no_relay_to_follow(self) -> None:
        selector = RelaySelector("a-0", "a", Directory(), VirtualClock())
        assert selector.choose(False, set()) is None and not selector.is_relay()


class TestRootRelays:
    """A few relays watch the store; the others follow these, in no circle."""

    def test_roots_are_the_first_relays_of_different_data_centres(self) -> None:
        fleet = Fleet()
        names = list(fleet.directory.record_by_vm)
        roots = {vm for vm in names if fleet.rooted_selector(vm).is_root()}
        assert roots == {"a-1", "b-1", "c-1"}

    def test_number_of_roots_does_not_grow_with_the_fleet(self) -> None:
        fleet = Fleet()
        for data_centre in "defgh":
            for number in range(60):
                fleet.put(f"{data_centre}-{number}", data_centre, 50.0)
        names = list(fleet.directory.record_by_vm)
        assert sum(fleet.rooted_selector(vm).is_root() for vm in names) == ROOT_RELAYS

    def test_relay_follows_only_roots(self) -> None:
        fleet = Fleet()
        selector = fleet.rooted_selector("b-0")
        assert selector.choose(False, set()) == "b-1"
        assert selector.choose(True, {"b-1"}) in ("a-1", "c-1")
        assert selector.choose(False, {"a-1", "b-1", "c-1"}) is None

    def test_root_of_a_lost_data_centre_is_replaced(self) -> None:
        fleet = Fleet()
        for data_centre in ("d", "e"):
            fleet.put(f"{data_centre}-0", data_centre, 50.0)
        selector = fleet.rooted_selector("d-0")
        assert not selector.is_root()
        selector.is_suspected = lambda vm: vm[0] == "a"
        fleet.clock.sleep_ms(RELAYS_VALID_MS)
        assert selector.is_root() and not fleet.rooted_selector("e-0").is_root()
