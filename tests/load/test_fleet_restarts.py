"""Load pattern: a fleet starts, or many of its proxies start again at the same time.

A start that reads the store costs a few calls for each proxy. Several hundred starts in
a short time are then most of the calls to the store, on top of the load of the restart.
"""

from __future__ import annotations

import eventlet
import msgspec

from jayswitch.clock import VirtualClock
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import (
    MOVE_PREFIX,
    Move,
    NodeRecord,
    Upstream,
    UpstreamState,
    node_key,
)
from jayswitch.proxy.followers import StateFollowers
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.interface import WatchEvent, Write
from tests.harness.limited_links import LimitedLink, RemoteFeeds, RemoteStore
from tests.harness.proxy_settings import settings_for

DATA_CENTRES = ("bunbury", "busselton", "harvey", "margaret-river", "collie")
FLEET_SIZE = 195
LINK_MBIT_PER_S = 100.0
STORE_MBIT_PER_S = 1000.0
# Price of a stale read as a part of that of any other call.
STALE_READ_PRICE = 0.1
CONFIG = b"c" * 100_000
OUTAGE_MS = 8000.0
# A configuration is due in this time; the store must have been back for 4 s before.
CONFIG_LIMIT_MS = 3000.0
AFTER_OUTAGE_LIMIT_MS = 4000.0 + CONFIG_LIMIT_MS
# A proxy that starts again is ready within this time once its relays respond.
SYNC_LIMIT_MS = 500.0


class RestartingProxy:
    """The followers of one proxy, and the changes that they have delivered."""

    def __init__(self, fleet: RestartingFleet, vm: str, first_start: bool) -> None:
        """Starts the followers; the store is called at once."""
        self.values: dict[str, bytes] = {}
        self.directory = Directory(vm)
        link = LimitedLink(fleet.clock, LINK_MBIT_PER_S)
        store = RemoteStore(
            fleet.store, fleet.store_link, link, lambda: vm in fleet.cut_off_from_store
        )
        data_centre = fleet.data_centre(vm)
        self.followers = StateFollowers(
            store,
            settings_for(vm, data_centre, LINK_MBIT_PER_S, first_start),
            self.directory,
            "op/",
            self._record,
            self._apply_shared,
            fleet.feeds.over_link(link),
            lambda other: False,
            fleet.clock,
        )
        fleet.feeds.server_by_address[vm] = self.followers.feed_server
        fleet.feeds.link_by_address[vm] = link
        self.followers.start()

    def _record(self, event: WatchEvent) -> None:
        if event.value is None:
            self.values.pop(event.key, None)
        else:
            self.values[event.key] = event.value

    def _apply_shared(self, event: WatchEvent) -> None:
        self._record(event)
        if not event.key.startswith(MOVE_PREFIX):
            self.directory.apply(event)


class RestartingFleet:
    """Proxies of five data centres that start, and some of which start again."""

    def __init__(self) -> None:
        """Starts all proxies; each publishes its record after its first heartbeat."""
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.store.commit([Write("op/config", CONFIG)]).unwrap()
        self.store_link = LimitedLink(self.clock, STORE_MBIT_PER_S)
        self.feeds = RemoteFeeds()
        self.cut_off_from_store: set[str] = set()
        self.vms = [f"vm-{number:03}" for number in range(FLEET_SIZE)]
        self.proxy_by_vm: dict[str, RestartingProxy] = {}
        for number, vm in enumerate(self.vms):
            self.start(vm, first_start=True)
            eventlet.spawn_after(number % 15 / 10, self._publish, vm)
        self.clock.sleep_ms(8000)

    def data_centre(self, vm: str) -> str:
        """Returns the data centre of a VM."""
        return DATA_CENTRES[self.vms.index(vm) % len(DATA_CENTRES)]

    def start(self, vm: str, first_start: bool = False) -> RestartingProxy:
        """Starts the proxy of a VM, which replaces an earlier one."""
        proxy = self.proxy_by_vm[vm] = RestartingProxy(self, vm, first_start)
        return proxy

    def _publish(self, vm: str) -> None:
        upstream = Upstream("i-1", 1, "herdview", "v1", 6, UpstreamState.READY)
        record = NodeRecord(vm, self.data_centre(vm), "swwa", vm, upstream=upstream)
        record.link_mbit_per_s = LINK_MBIT_PER_S
        self.store.commit([Write(node_key(vm), msgspec.json.encode(record))]).unwrap()

    @property
    def read_units(self) -> float:
        """Returns the price of all reads and watches so far, in calls."""
        calls = self.store.calls_by_kind
        full = calls["watch"] + calls["scan"] + calls["get"]
        return full + STALE_READ_PRICE * calls["stale_read"]

    def is_relay(self, vm: str) -> bool:
        """Returns whether other proxies follow a proxy."""
        follower = self.proxy_by_vm[self.vms[-1]].followers.orders_feed
        return follower._relay_selector.is_relay_address(vm)

    @property
    def ordinary_vms(self) -> list[str]:
        """Returns the VMs whose proxies are not relays."""
        return [vm for vm in self.vms if not self.is_relay(vm)]


class TestFleetStart:
    """A fleet that starts finds its relays by stale reads."""

    def test_start_costs_less_than_a_read_for_each_proxy(self) -> None:
        fleet = RestartingFleet()
        assert fleet.read_units < FLEET_SIZE
        for proxy in fleet.proxy_by_vm.values():
            assert proxy.followers.have_synced
            assert proxy.values["op/config"] == CONFIG
            assert proxy.directory.size == FLEET_SIZE


class TestRestart:
    """A proxy that starts again takes its state from relays, not from the store."""

    def test_restarts_cost_a_stale_read_each(self) -> None:
        fleet = RestartingFleet()
        restarted = fleet.ordinary_vms[:100]
        calls = fleet.store.calls_by_kind
        before = calls.copy()
        for vm in restarted:
            fleet.start(vm)
        fleet.clock.sleep_ms(SYNC_LIMIT_MS)
        for vm in restarted:
            assert fleet.proxy_by_vm[vm].followers.have_synced
        assert calls["scan"] == before["scan"]
        assert calls["stale_read"] - before["stale_read"] == len(restarted)

    def test_whole_fleet_that_starts_again_is_synchronized_soon(self) -> None:
        fleet = RestartingFleet()
        fleet.feeds.server_by_address.clear()
        for vm in fleet.vms:
            fleet.start(vm)
        fleet.clock.sleep_ms(2 * SYNC_LIMIT_MS)
        assert all(p.followers.have_synced for p in fleet.proxy_by_vm.values())

    def test_proxy_starts_while_no_relay_responds(self) -> None:
        fleet = RestartingFleet()
        vm = fleet.ordinary_vms[0]
        fleet.feeds.unresponsive |= set(fleet.vms)
        proxy = fleet.start(vm)
        fleet.clock.sleep_ms(3000)
        assert proxy.followers.have_synced
        assert proxy.values["op/config"] == CONFIG


class TestStoreOutage:
    """While the store resets connections, proxies seldom try to reach it."""

    def test_outage_costs_a_few_calls_for_each_proxy(self) -> None:
        fleet = RestartingFleet()
        before = fleet.read_units
        fleet.store.faults.down = True
        fleet.clock.sleep_ms(OUTAGE_MS)
        assert fleet.read_units - before <= 5 * FLEET_SIZE

    def test_changes_arrive_soon_after_an_outage(self) -> None:
        fleet = RestartingFleet()
        fleet.store.faults.down = True
        fleet.clock.sleep_ms(OUTAGE_MS)
        fleet.store.faults.down = False
        fleet.store.commit([Write("op/config", b"new")]).unwrap()
        fleet.clock.sleep_ms(AFTER_OUTAGE_LIMIT_MS)
        lacking = [
            vm
            for vm, proxy in fleet.proxy_by_vm.items()
            if proxy.values["op/config"] != b"new"
        ]
        assert lacking == []

    def test_relays_cut_off_from_the_store_are_replaced_in_time(self) -> None:
        fleet = RestartingFleet()
        relays = [vm for vm in fleet.vms if fleet.is_relay(vm)]
        fleet.cut_off_from_store |= set(relays[:-1])
        fleet.clock.sleep_ms(10_000)
        fleet.store.commit([Write("op/config", b"new")]).unwrap()
        fleet.clock.sleep_ms(CONFIG_LIMIT_MS)
        for vm, proxy in fleet.proxy_by_vm.items():
            assert vm in relays or proxy.values["op/config"] == b"new"


class TestStaleState:
    """State from a stale read is not relied upon before a relay has confirmed it."""

    def test_withdrawn_version_is_not_used_after_a_restart(self) -> None:
        fleet = RestartingFleet()
        move = Move("herdview", "v2", 1, 0.3, "running")
        key = MOVE_PREFIX + "herdview"
        revision = fleet.store.commit([Write(key, msgspec.json.encode(move))]).unwrap()
        fleet.store.faults.stale_revision = revision
        move.state = "rolled_back"
        rolled_back = msgspec.json.encode(move)
        fleet.store.commit([Write(key, rolled_back)]).unwrap()
        fleet.clock.sleep_ms(5000)
        proxy = fleet.start(fleet.ordinary_vms[0])
        while not proxy.followers.have_synced:
            fleet.clock.sleep_ms(1)
        assert proxy.values[key] == rolled_back

    def test_stale_state_does_not_count_as_synchronized(self) -> None:
        fleet = RestartingFleet()
        vm = fleet.ordinary_vms[0]
        fleet.feeds.unresponsive |= set(fleet.vms)
        fleet.cut_off_from_store.add(vm)
        proxy = fleet.start(vm)
        fleet.clock.sleep_ms(10_000)
        assert not proxy.followers.have_synced
