"""Load pattern: large configurations in quick succession over narrow links."""

from __future__ import annotations

import random

import eventlet
import msgspec

from jayswitch.clock import VirtualClock
from jayswitch.feed.follower import FeedFollower
from jayswitch.feed.relay_selector import RelaySelector
from jayswitch.feed.server import FeedServer
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import NODE_PREFIX, NodeRecord
from jayswitch.fleet.revision_exchange import RevisionExchange
from jayswitch.proxy.followers import ORDERS_BATCH_DELAY, ORDERS_FEED_COUNT
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.follower import PrefixFollower, transferable_value_bytes
from jayswitch.store.interface import WatchEvent, Write
from tests.harness.limited_links import LimitedLink, RemoteFeeds, RemoteStore

# The deployments at the size that they will grow to: at least 65 VMs, links of 5.5 to
# 100 Mbit/s and a configuration of 800 routes plus 1,400 new ones, which must be in
# force within 2.5 s.
ROUTES = 2200
VMS = 65
DATA_CENTRES = ("bunbury", "busselton", "harvey")
NARROW_MBIT_PER_S = 6.0
WIDE_MBIT_PER_S = 100.0
STORE_MBIT_PER_S = 1000.0
PROPAGATION_LIMIT_MS = 2500.0
CONFIG_KEY = "op/config"
# Mean time between two requests of one proxy; the deployments have far more requests
# than that.
REQUEST_INTERVAL_MS = 500.0


def _document(version: int, rng: random.Random) -> bytes:
    """Returns a configuration that differs in one route from the default routes."""
    routes = [
        {"name": f"r-{number:07x}", "prefix": f"/{number * 7919:08x}/", "host": "a.b"}
        | {"timeout_ms": 3000, "slo_ms": 893, "priority": 2, "service": "herdview"}
        | {"kind": "safe", "max_attempts": 2}
        for number in range(ROUTES)
    ]
    routes[rng.randrange(ROUTES)]["timeout_ms"] = 3000 + version
    return msgspec.json.encode({"version": f"r{version}", "routes": routes})


class ProxyFleet:
    """Proxies that watch the operator's keys, each over its own link."""

    def __init__(self, vms_with_wide_links: int = 2 * len(DATA_CENTRES)) -> None:
        """Starts all proxies; the first of them get wide links."""
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.in_force_ms: dict[tuple[str, int], float] = {}
        self.committed_ms: dict[int, float] = {}
        self._store_link = LimitedLink(self.clock, STORE_MBIT_PER_S)
        self._rng = random.Random(14)
        self._version = 0
        self.directory = Directory()
        self.feeds = RemoteFeeds()
        self.unanswered_by_store: set[str] = set()
        self.revision_exchange_by_vm: dict[str, RevisionExchange] = {}
        self.vms = [f"vm-{number:02}" for number in range(VMS)]
        self.commit_change()
        for number, vm in enumerate(self.vms):
            wide = number < vms_with_wide_links
            mbit_per_s = WIDE_MBIT_PER_S if wide else NARROW_MBIT_PER_S
            self._start_proxy(vm, LimitedLink(self.clock, mbit_per_s), mbit_per_s)
        self.clock.sleep_ms(5000)

    def _start_proxy(self, vm: str, link: LimitedLink, mbit_per_s: float) -> None:
        def record_in_force(event: WatchEvent) -> None:
            assert event.value is not None
            version = int(msgspec.json.decode(event.value)["version"][1:])
            self.in_force_ms.setdefault((vm, version), self.clock.now_ms())

        store = RemoteStore(
            self.store, self._store_link, link, lambda: vm in self.unanswered_by_store
        )
        follower = PrefixFollower(
            store, "op/", record_in_force, self.clock, ORDERS_BATCH_DELAY
        )
        follower.slow_value_bytes = transferable_value_bytes(
            mbit_per_s, ORDERS_BATCH_DELAY.shortest_ms
        )
        server = FeedServer(self.clock)
        server.serve("op/", follower.state)
        self.feeds.server_by_address[vm] = server
        self.feeds.link_by_address[vm] = link
        data_centre = self._data_centre(vm)
        relays = RelaySelector(vm, data_centre, self.directory, self.clock)
        feed = FeedFollower(
            "op/",
            follower,
            relays,
            self.feeds.over_link(link),
            self.clock,
            ORDERS_FEED_COUNT,
        )
        record = NodeRecord(vm, data_centre, "swwa", vm, link_mbit_per_s=mbit_per_s)
        key = NODE_PREFIX + vm
        self.directory.apply(WatchEvent(key, msgspec.json.encode(record), 1))
        follower.start()
        feed.start()
        self.revision_exchange_by_vm[vm] = RevisionExchange([follower])

    def _data_centre(self, vm: str) -> str:
        return DATA_CENTRES[self.vms.index(vm) % len(DATA_CENTRES)]

    def start_requests(self) -> None:
        """Makes each proxy send requests to others at random intervals."""
        for vm in self.vms:
            eventlet.spawn_n(self._send_requests, vm)

    def _send_requests(self, vm: str) -> None:
        while True:
            self.clock.sleep_ms(self._rng.uniform(0, 2 * REQUEST_INTERVAL_MS))
            other = self._rng.choice(self.vms)
            if (
                other not in self.feeds.unresponsive
                and vm not in self.feeds.unresponsive
            ):
                known = self.revision_exchange_by_vm[other].header_value()
                self.revision_exchange_by_vm[vm].compare(known, other)

    def commit_change(self) -> None:
        """Commits the next configuration and records when the store confirmed it."""
        self._version += 1
        document = _document(self._version, self._rng)
        assert self.store.commit([Write(CONFIG_KEY, document)]).unwrap()
        self._store_link.transmit(200)
        self.committed_ms[self._version] = self.clock.now_ms()

    def propagation_delays_ms(self) -> dict[tuple[str, int], float]:
        """Returns by VM and version the time until it or a later one was in force."""
        delay_ms_by_key = {}
        for version, committed_ms in self.committed_ms.items():
            for vm in self.vms:
                known = [
                    at_ms
                    for (name, known_version), at_ms in self.in_force_ms.items()
                    if name == vm and known_version >= version
                ]
                delay_ms_by_key[vm, version] = min(known, default=1e9) - committed_ms
        return delay_ms_by_key


class TestConfigUpdateBurst:
    """Guards against proxies that fall behind when updates outpace their links."""

    def test_each_proxy_is_up_to_date_in_time_during_a_burst(self) -> None:
        fleet = ProxyFleet()
        for _ in range(60):
            fleet.commit_change()
            fleet.clock.sleep_ms(100)
        fleet.clock.sleep_ms(30_000)
        late = {
            key: ms
            for key, ms in fleet.propagation_delays_ms().items()
            if ms > PROPAGATION_LIMIT_MS
        }
        assert not late, f"{len(late)} late, worst {max(late.values()):.0f} ms"

    def test_each_proxy_is_up_to_date_in_time_without_wide_links(self) -> None:
        fleet = ProxyFleet(vms_with_wide_links=0)
        for _ in range(30):
            fleet.commit_change()
            fleet.clock.sleep_ms(200)
        fleet.clock.sleep_ms(30_000)
        assert max(fleet.propagation_delays_ms().values()) <= PROPAGATION_LIMIT_MS

    def test_relays_without_a_store_connection_are_bypassed(self) -> None:
        fleet = ProxyFleet()
        # Both relays of one data centre, and one relay of another.
        for vm in ("vm-00", "vm-03", "vm-01"):
            fleet.unanswered_by_store.add(vm)
        for _ in range(10):
            fleet.commit_change()
            fleet.clock.sleep_ms(500)
        fleet.clock.sleep_ms(30_000)
        assert max(fleet.propagation_delays_ms().values()) <= PROPAGATION_LIMIT_MS

    def test_unresponsive_relays_are_bypassed(self) -> None:
        fleet = ProxyFleet()
        fleet.feeds.unresponsive |= {"vm-00", "vm-03", "vm-01"}
        fleet.start_requests()
        for _ in range(10):
            fleet.commit_change()
            fleet.clock.sleep_ms(500)
        fleet.clock.sleep_ms(30_000)
        assert max(fleet.propagation_delays_ms().values()) <= PROPAGATION_LIMIT_MS

    def test_each_proxy_is_up_to_date_in_time_after_one_update(self) -> None:
        fleet = ProxyFleet()
        fleet.commit_change()
        fleet.clock.sleep_ms(10_000)
        assert max(fleet.propagation_delays_ms().values()) <= PROPAGATION_LIMIT_MS
