"""Load pattern: upstreams of a large fleet change state all the time.

Each change concerns every proxy. If each proxy fetches it from the store, the calls of
one proxy grow with the number of changes in the fleet, and those of the fleet with its
square.
"""

from __future__ import annotations

import random

import eventlet
import msgspec

from jayswitch.clock import MS_PER_S, VirtualClock
from jayswitch.feed.messages import MAX_STORE_AGE_MS
from jayswitch.feed.relay_selector import RelaySelector
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import NodeRecord, Upstream, UpstreamState, node_key
from jayswitch.proxy.followers import FLEET_ROOT_RELAYS, StateFollowers
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.interface import WatchEvent, Write
from tests.harness.limited_links import LimitedLink, RemoteFeeds, RemoteStore
from tests.harness.proxy_settings import settings_for

DATA_CENTRES = ("bunbury", "busselton", "harvey", "margaret-river", "collie")
NARROW_MBIT_PER_S = 20.0
WIDE_MBIT_PER_S = 200.0
WIDE_LINKS = 3 * len(DATA_CENTRES)
STORE_MBIT_PER_S = 1000.0
# Mean time between two changes of one proxy's record, as on a day with restarts.
CHANGE_INTERVAL_MS = 20_000.0
# Senders may use a leaving upstream for this long.
PROPAGATION_LIMIT_MS = 3000.0
DURATION_S = 60.0


class RecordFleet:
    """Proxies that publish their records and follow those of all others."""

    def __init__(self, size: int) -> None:
        """Starts all proxies and waits until each knows the others."""
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.vms = [f"vm-{number:03}" for number in range(size)]
        self.directory_by_vm: dict[str, Directory] = {}
        self.followers_by_vm: dict[str, StateFollowers] = {}
        self.cut_off_from_store: set[str] = set()
        self.feeds = RemoteFeeds()
        self._store_link = LimitedLink(self.clock, STORE_MBIT_PER_S)
        self._rng = random.Random(195)
        self._sequence = 0
        for vm in self.vms:
            self.publish(vm)
        for number, vm in enumerate(self.vms):
            wide = number < WIDE_LINKS
            self._start_proxy(vm, WIDE_MBIT_PER_S if wide else NARROW_MBIT_PER_S)
        self.clock.sleep_ms(5000)

    def _start_proxy(self, vm: str, mbit_per_s: float) -> None:
        directory = self.directory_by_vm[vm] = Directory(vm)
        link = LimitedLink(self.clock, mbit_per_s)
        store = RemoteStore(
            self.store, self._store_link, link, lambda: vm in self.cut_off_from_store
        )

        def apply_shared(event: WatchEvent) -> None:
            directory.apply(event)

        followers = self.followers_by_vm[vm] = StateFollowers(
            store,
            settings_for(vm, self._data_centre(vm), mbit_per_s),
            directory,
            "op/",
            lambda event: None,
            apply_shared,
            self.feeds.over_link(link),
            lambda other: False,
            self.clock,
        )
        self.feeds.server_by_address[vm] = followers.feed_server
        self.feeds.link_by_address[vm] = link
        followers.start()

    def _data_centre(self, vm: str) -> str:
        return DATA_CENTRES[self.vms.index(vm) % len(DATA_CENTRES)]

    def publish(self, vm: str) -> int:
        """Writes a changed record of a proxy; returns its sequence number."""
        self._sequence += 1
        wide = self.vms.index(vm) < WIDE_LINKS
        upstream = Upstream("i-1", 1, "herdview", "v1", 6, UpstreamState.READY)
        upstream.sequence = self._sequence
        record = NodeRecord(
            vm,
            self._data_centre(vm),
            "swwa",
            vm,
            upstream=upstream,
            link_mbit_per_s=WIDE_MBIT_PER_S if wide else NARROW_MBIT_PER_S,
        )
        write = Write(node_key(vm), msgspec.json.encode(record))
        assert self.store.commit([write]).unwrap()
        return self._sequence

    def start_changes(self) -> None:
        """Makes each proxy change its record at random intervals."""
        for vm in self.vms:
            eventlet.spawn_n(self._change_at_random, vm)

    def _change_at_random(self, vm: str) -> None:
        while True:
            self.clock.sleep_ms(self._rng.uniform(0, 2 * CHANGE_INTERVAL_MS))
            self.publish(vm)

    def count_calls(self, duration_s: float) -> float:
        """Returns the reads and watches of one proxy in a second, on average."""
        before = self._reads()
        self.clock.sleep_ms(duration_s * MS_PER_S)
        return (self._reads() - before) / duration_s / len(self.vms)

    def _reads(self) -> int:
        calls = self.store.calls_by_kind
        return calls["watch"] + calls["scan"] + calls["get"]

    def is_root(self, vm: str) -> bool:
        """Returns whether a proxy watches the store for others."""
        directory = self.directory_by_vm[vm]
        selector = RelaySelector(
            vm, self._data_centre(vm), directory, self.clock, FLEET_ROOT_RELAYS
        )
        return selector.is_root()

    def vms_that_lack(self, vm: str, sequence: int) -> list[str]:
        """Returns the proxies that do not know a change of a proxy's record."""
        lacking = []
        for other, directory in self.directory_by_vm.items():
            record = directory.record_by_vm.get(vm)
            known = record.upstream if record is not None else None
            if known is None or known.sequence < sequence:
                lacking.append(other)
        return lacking


class TestFleetRecordChurn:
    """Guards against store calls that grow with the fleet."""

    def test_store_calls_of_a_proxy_do_not_grow_with_the_fleet(self) -> None:
        calls_per_s_by_size = {}
        for size in (30, 195):
            fleet = RecordFleet(size)
            fleet.start_changes()
            calls_per_s_by_size[size] = fleet.count_calls(DURATION_S)
        assert calls_per_s_by_size[195] <= calls_per_s_by_size[30], calls_per_s_by_size

    def test_each_proxy_knows_a_change_in_time(self) -> None:
        fleet = RecordFleet(195)
        fleet.start_changes()
        fleet.clock.sleep_ms(5000)
        for _ in range(10):
            vm = fleet.vms[50]
            sequence = fleet.publish(vm)
            fleet.clock.sleep_ms(PROPAGATION_LIMIT_MS)
            assert fleet.vms_that_lack(vm, sequence) == []

    def test_store_calls_of_the_fleet_do_not_grow_with_it(self) -> None:
        calls_per_s_by_size = {}
        for size in (100, 300):
            fleet = RecordFleet(size)
            fleet.start_changes()
            calls_per_s_by_size[size] = fleet.count_calls(DURATION_S / 2) * size
        # Changes that come more often end watches sooner, up to the batch delay.
        assert calls_per_s_by_size[300] <= 1.3 * calls_per_s_by_size[100]

    def test_root_relays_without_a_store_connection_are_bypassed(self) -> None:
        fleet = RecordFleet(100)
        roots = [vm for vm in fleet.vms if fleet.is_root(vm)]
        fleet.cut_off_from_store |= set(roots[:2])
        fleet.clock.sleep_ms(10_000)
        vm = fleet.vms[50]
        sequence = fleet.publish(vm)
        fleet.clock.sleep_ms(PROPAGATION_LIMIT_MS)
        assert fleet.vms_that_lack(vm, sequence) == []

    def test_no_proxy_claims_to_be_current_long_after_the_store_is_lost(self) -> None:
        fleet = RecordFleet(30)
        fleet.cut_off_from_store |= set(fleet.vms)
        fleet.clock.sleep_ms(MAX_STORE_AGE_MS + 10_000)
        ages = [
            fleet.clock.now_ms() - f.fleet.state.store_contact_ms
            for f in fleet.followers_by_vm.values()
        ]
        assert min(ages) > MAX_STORE_AGE_MS
