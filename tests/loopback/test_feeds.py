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


class FeedDeployment:
    """Three proxies, of which the last one follows the others."""

    def __init__(self) -> None:
        """Starts the proxies and waits until both feeds of the last one are open."""
        self.loopback = LoopbackDeployment()
        self.upstreams = [RawUpstream(f"i-{number}") for number in range(3)]
        for number, upstream in enumerate(self.upstreams):
            self.loopback.add_vm(f"vm-{number}", upstream)
        self.proxy = self.loopback.proxies[2]
        wait_until(lambda: len(self.proxy.followers.orders_feed.relay_by_feed) == 2)

    def make_store_unavailable(self) -> None:
        """Makes the store reads and watches of the last proxy fail."""
        failure = Failure(StoreUnavailable("disabled by the test"))
        store = self.proxy.followers.orders._store
        for name in ("read", "watch"):
            setattr(store, name, lambda *arguments: failure)

    def publish_config(self, version: int) -> None:
        """Writes a configuration with one added route."""
        added = {**CONFIG["routes"][0], "name": "new", "prefix": "/new/"}
        routes = [*CONFIG["routes"], added]
        self.loopback.store.put(
            "op/config", {**CONFIG, "version": f"r{version}", "routes": routes}
        )


class TestFeeds:
    """A proxy that cannot use the store gets updates from other proxies."""

    def test_added_route_is_served_by_a_proxy_without_store_access(self) -> None:
        deployment = FeedDeployment()
        deployment.make_store_unavailable()
        deployment.publish_config(2)
        wait_until(lambda: deployment.proxy.orders.catalog.version == 2)
        address = deployment.proxy.settings.callers_address
        assert deployment.proxy.orders.catalog.route_for(HOST, "/new/1") is not None
        assert exchange(address, request("/new/1")).status == 200

    def test_evacuation_is_set_and_cleared_over_a_feed(self) -> None:
        deployment = FeedDeployment()
        deployment.make_store_unavailable()
        deployment.loopback.store.put("op/evacuate/elsewhere", {})
        wait_until(lambda: "elsewhere" in deployment.proxy.orders.evacuated)
        stored = deployment.loopback.store.store.get("op/evacuate/elsewhere").unwrap()
        deployment.loopback.store.store.delete("op/evacuate/elsewhere", stored.revision)
        wait_until(lambda: "elsewhere" not in deployment.proxy.orders.evacuated)

    def test_undecodable_feed_request_is_rejected(self) -> None:
        deployment = FeedDeployment()
        head = (
            "GET /x-jayswitch/feed HTTP/1.1\r\nHost: x\r\nX-Jayswitch-Feed: {\r\n\r\n"
        )
        address = deployment.proxy.settings.proxies_address
        assert exchange(address, head.encode()).status == 400

    def test_stopping_proxy_ends_its_feeds(self) -> None:
        deployment = FeedDeployment()
        relay = deployment.loopback.proxies[0]
        relay.inbound.draining = True
        query = msgspec.json.encode({"prefix": "op/", "after": -1}).decode()
        head = f"GET /x-jayswitch/feed HTTP/1.1\r\nHost: x\r\nX-Jayswitch-Feed: {query}"
        answer = exchange(relay.settings.proxies_address, f"{head}\r\n\r\n".encode())
        assert answer.status == 503 and "Connection: close" in answer.head
