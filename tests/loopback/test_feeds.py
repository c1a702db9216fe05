"""Tests of feeds between proxies over real sockets."""

from __future__ import annotations

import msgspec
from returns.result import Failure

from jayswitch.store.exceptions import StoreUnavailable
from tests.harness.loopback import (
    CONFIG,
    HOST,
    LoopbackDeployment,
    RawUpstream,
    exchange,
    request,
    wait_until,
)


class Fed:
    """Three proxies, of which the last one follows the others."""

    def __init__(self) -> None:
        """Waits until both feeds of the last proxy are open."""
        self.loopback = LoopbackDeployment()
        self.upstreams = [RawUpstream(f"i-{number}") for number in range(3)]
        for number, upstream in enumerate(self.upstreams):
            self.loopback.add_vm(f"vm-{number}", upstream)
        self.proxy = self.loopback.proxies[2]
        wait_until(lambda: len(self.proxy.orders_feed.relay_by_feed) == 2)

    def turn_away(self) -> None:
        """Lets the store answer no call of the last proxy."""
        failure = Failure(StoreUnavailable("turned away"))
        store = self.proxy.orders_follower._store
        for name in ("read", "watch"):
            setattr(store, name, lambda *arguments: failure)

    def change(self, version: int) -> None:
        """Writes a configuration with one route more."""
        added = {**CONFIG["routes"][0], "name": "new", "prefix": "/new/"}
        routes = [*CONFIG["routes"], added]
        self.loopback.store.put(
            "op/config", {**CONFIG, "version": f"r{version}", "routes": routes}
        )


class TestFeeds:
    """A proxy that the store turns away gets what the others get."""

    def test_added_route_is_served_by_a_proxy_that_the_store_turns_away(self) -> None:
        fed = Fed()
        fed.turn_away()
        fed.change(2)
        wait_until(lambda: fed.proxy.orders.catalog.version == 2)
        address = fed.proxy.settings.callers_address
        assert fed.proxy.orders.catalog.route_for(HOST, "/new/1") is not None
        assert exchange(address, request("/new/1")).status == 200

    def test_evacuation_comes_and_goes_over_a_feed(self) -> None:
        fed = Fed()
        fed.turn_away()
        fed.loopback.store.put("op/evacuate/elsewhere", {})
        wait_until(lambda: "elsewhere" in fed.proxy.orders.evacuated)
        stored = fed.loopback.store.store.get("op/evacuate/elsewhere").unwrap()
        fed.loopback.store.store.delete("op/evacuate/elsewhere", stored.revision)
        wait_until(lambda: "elsewhere" not in fed.proxy.orders.evacuated)

    def test_unreadable_request_for_a_feed_is_refused(self) -> None:
        fed = Fed()
        head = (
            "GET /x-jayswitch/feed HTTP/1.1\r\nHost: x\r\nX-Jayswitch-Feed: {\r\n\r\n"
        )
        address = fed.proxy.settings.proxies_address
        assert exchange(address, head.encode()).status == 400

    def test_feed_of_a_stopping_proxy_ends(self) -> None:
        fed = Fed()
        relay = fed.loopback.proxies[0]
        relay.inbound.draining = True
        asked = msgspec.json.encode({"prefix": "op/", "after": -1}).decode()
        head = f"GET /x-jayswitch/feed HTTP/1.1\r\nHost: x\r\nX-Jayswitch-Feed: {asked}"
        answer = exchange(relay.settings.proxies_address, f"{head}\r\n\r\n".encode())
        assert answer.status == 503 and "Connection: close" in answer.head
