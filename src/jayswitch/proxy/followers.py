"""Followers of the operators' keys and of the fleet's records, with their feeds."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet

from jayswitch.feed.follower import FeedFollower
from jayswitch.feed.relay_selector import RelaySelector
from jayswitch.feed.server import FeedServer
from jayswitch.fleet.records import SHARED_PREFIX, node_key
from jayswitch.fleet.revision_exchange import RevisionExchange
from jayswitch.store.follower import (
    BatchDelay,
    PrefixFollower,
    transferable_value_bytes,
)

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.feed.client import FeedSource
    from jayswitch.fleet.directory import Directory
    from jayswitch.proxy.generated import ProxySettings
    from jayswitch.store.interface import Store, WatchEvent

# A configuration must be in force within 2 s; up to 0.5 s of that is spent on
# batching changes in quick succession, which saves calls to the store.
ORDERS_BATCH_DELAY = BatchDelay(250.0, 500.0)
# Two feeds, because one relay may be disconnected or hang.
ORDERS_FEED_COUNT = 2
# Gates enforce the state in their records immediately, so other proxies may learn
# of it later.
FLEET_BATCH_DELAY = BatchDelay(300.0, 900.0)
# Records change often, and a second feed would carry each change a second time, between
# data centres. Requests between proxies reveal a relay that does not respond.
FLEET_FEED_COUNT = 1
# Records change all the time, so only a few relays fetch them from the store. Orders
# change seldom and are due in time even if several relays hang, so each relay watches
# the store for them.
FLEET_ROOT_RELAYS = 3
# Attempts show which upstreams are gone, so the known records suffice for a while.
FLEET_FALLBACK_DELAY_MS = 8000.0
# Relays batch changes of records independently of each other, so proxies that follow
# different relays differ by up to the longest batch delay.
FLEET_CATCH_UP_DELAY_MS = 1200.0


class StateFollowers:
    """Keeps the operators' keys and the fleet's records of one proxy up to date.

    Only relays watch the store; the other proxies follow their feeds.
    """

    def __init__(
        self,
        store: Store,
        settings: ProxySettings,
        directory: Directory,
        operator_prefix: str,
        apply_order: Callable[[WatchEvent], None],
        apply_shared: Callable[[WatchEvent], None],
        source: FeedSource,
        is_suspected: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        """Takes the listeners of both prefixes and the feeds of other proxies."""
        self.orders = PrefixFollower(
            store, operator_prefix, apply_order, clock, ORDERS_BATCH_DELAY
        )
        if settings.link_mbit_per_s:
            self.orders.slow_value_bytes = transferable_value_bytes(
                settings.link_mbit_per_s, ORDERS_BATCH_DELAY.shortest_ms
            )
        self.fleet = PrefixFollower(
            store, SHARED_PREFIX, apply_shared, clock, FLEET_BATCH_DELAY
        )
        self.fleet.catch_up_delay_ms = FLEET_CATCH_UP_DELAY_MS
        self.fleet.uses_stale_reads = True
        self.feed_server = FeedServer(clock)
        self.feed_server.serve(operator_prefix, self.orders.state)
        self.feed_server.serve(SHARED_PREFIX, self.fleet.state)
        vm, data_centre = settings.vm, settings.data_centre
        orders_relays = RelaySelector(vm, data_centre, directory, clock)
        fleet_relays = RelaySelector(
            vm, data_centre, directory, clock, FLEET_ROOT_RELAYS
        )
        orders_relays.is_suspected = fleet_relays.is_suspected = is_suspected
        self.orders_feed = FeedFollower(
            operator_prefix,
            self.orders,
            orders_relays,
            source,
            clock,
            ORDERS_FEED_COUNT,
            settings.first_start,
        )
        self.fleet_feed = FeedFollower(
            SHARED_PREFIX,
            self.fleet,
            fleet_relays,
            source,
            clock,
            FLEET_FEED_COUNT,
            settings.first_start,
        )
        self.fleet_feed.fallback_delay_ms = FLEET_FALLBACK_DELAY_MS
        self.revision_exchange = RevisionExchange(
            [self.orders, self.fleet], directory.address_of
        )

    def record_revision(self, vm: str) -> int:
        """Returns the revision of a proxy's record; 0 if none is known."""
        change = self.fleet.state.change_by_key.get(node_key(vm))
        return 0 if change is None or change.value is None else change.revision

    @property
    def have_synced(self) -> bool:
        """Whether both prefixes have been known completely at least once."""
        return self.orders.has_synced and self.fleet.has_synced

    def start(self) -> None:
        """Starts reading the store and following feeds."""
        eventlet.spawn(self._start)

    def _start(self) -> None:
        # A stale read of the records suffices to find relays, which deliver the rest.
        self.fleet.read_stale()
        for part in (self.orders, self.orders_feed, self.fleet, self.fleet_feed):
            part.start()
