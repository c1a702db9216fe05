"""Tests of announcements, leaving, restarts and evacuations over real sockets."""

from __future__ import annotations

import eventlet

from tests.harness.loopback import (
    HOST,
    Loopback,
    RawUpstream,
    exchange,
    request,
    wait_until,
)


def _status(loopback: Loopback) -> int:
    return exchange(loopback.proxies[0].settings.callers_address, request()).status


class TestLeaving:
    """An acknowledged leaving binds every proxy, also after a restart."""

    def test_leaving_upstream_gets_nothing_new(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        proxy = loopback.add("vm-1", upstream)
        wait_until(lambda: _status(loopback) == 200)
        assert loopback.beat(proxy, upstream, seq=2, state="draining") == 200
        assert _status(loopback) == 503

    def test_leaving_is_acknowledged_only_once_it_is_stored(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        proxy = loopback.add("vm-1", upstream)
        wait_until(lambda: loopback.store.read("jayswitch-last/vm-1") is not None)
        loopback.store.refusing_status = 503
        assert loopback.beat(proxy, upstream, seq=2, state="draining") == 503
        loopback.store.refusing_status = 0
        wait_until(
            lambda: loopback.beat(proxy, upstream, seq=2, state="draining") == 200
        )
        stored = loopback.store.read("jayswitch-last/vm-1")
        assert stored["state"] == "leaving"

    def test_restarted_proxy_knows_that_the_upstream_leaves(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        proxy = loopback.add("vm-1", upstream)
        assert loopback.beat(proxy, upstream, seq=5, state="draining") == 200
        again = loopback.start_proxy("vm-1", upstream)
        loopback.beat(again, upstream, seq=6)
        assert exchange(again.settings.callers_address, request()).status == 503
        assert upstream.seen == []


class TestRestart:
    """A proxy that comes back serves its living upstream without delay."""

    def test_living_upstream_is_served_before_its_next_heartbeat(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        loopback.add("vm-1", upstream)
        wait_until(lambda: loopback.store.read("jayswitch-last/vm-1") is not None)
        again = loopback.start_proxy("vm-1", upstream)
        wait_until(lambda: again.local_upstream.usable is not None)
        assert exchange(again.settings.callers_address, request()).status == 200

    def test_another_upstream_at_the_address_is_not(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        loopback.add("vm-1", upstream)
        wait_until(lambda: loopback.store.read("jayswitch-last/vm-1") is not None)
        upstream.id = "i-2"
        again = loopback.start_proxy("vm-1", upstream)
        wait_until(lambda: again.gate.counts["health_checks"] == 1)
        eventlet.sleep(0.1)
        assert again.local_upstream.usable is None


class TestHeartbeats:
    """Entries of other writers harm nothing."""

    def test_malformed_heartbeats_are_dropped(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        proxy = loopback.add("vm-1", upstream)
        for changes in (
            {"slots": "many"},
            {"state": "sleeping"},
            {"service": "unknown"},
            {"seq": None},
        ):
            assert loopback.beat(proxy, upstream, **{"seq": 9, **changes}) != 200
        wait_until(lambda: _status(loopback) == 200)

    def test_cold_upstream_gets_its_share(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        loopback.add("vm-1", upstream, beat=False)
        proxy = loopback.proxies[0]
        assert loopback.beat(proxy, upstream, warmup_left_ms=60_000) == 200
        wait_until(lambda: bool(proxy.directory.members("herdview")))
        statuses = [_status(loopback) for _ in range(20)]
        assert statuses.count(200) <= 7
        assert set(statuses) == {200, 503}


class TestOrders:
    """Configurations and evacuations are followed."""

    def test_new_configuration_is_in_force(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        proxy = loopback.add("vm-1", upstream)
        wait_until(lambda: _status(loopback) == 200)
        config = loopback.store.read("op/config")
        moved = [dict(route, prefix="/moved/") for route in config["routes"][:1]]
        loopback.store.put("op/config", {**config, "version": "r7", "routes": moved})
        wait_until(lambda: proxy.orders.catalog.version == 7)
        address = proxy.settings.callers_address
        assert exchange(address, request("/moved/1")).status == 200
        assert exchange(address, request("/read/1")).status == 404

    def test_older_and_malformed_configurations_change_nothing(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        proxy = loopback.add("vm-1", upstream)
        config = loopback.store.read("op/config")
        loopback.store.put("op/config", {**config, "version": "r9"})
        wait_until(lambda: proxy.orders.catalog.version == 9)
        loopback.store.put("op/config", {**config, "version": "r8", "routes": []})
        loopback.store.put("op/config", b"not json")
        loopback.store.put("op/evacuate/elsewhere", {})
        wait_until(lambda: "elsewhere" in proxy.orders.evacuated)
        assert proxy.orders.catalog.version == 9
        assert proxy.orders.catalog.route_for(HOST, "/read/1") is not None

    def test_evacuated_data_centre_gets_nothing(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        loopback.add("vm-1", upstream)
        wait_until(lambda: _status(loopback) == 200)
        loopback.store.put("op/evacuate/bunbury", {})
        wait_until(lambda: _status(loopback) == 503)
        before = len(upstream.seen)
        assert _status(loopback) == 503
        assert len(upstream.seen) == before

    def test_watch_without_answers_is_noticed_through_another_proxy(self) -> None:
        loopback, upstream = Loopback(), RawUpstream("i-1")
        proxy = loopback.add("vm-1", upstream)
        follower = proxy.orders_follower
        silent = lambda wait_ms: eventlet.sleep(60) or False  # noqa: E731
        follower._watch_once = silent  # type: ignore[method-assign]
        wait_until(lambda: follower.synced)
        loopback.store.put("op/evacuate/elsewhere", {})
        eventlet.sleep(0)
        proxy.revision_exchange.compare("999,0", "")
        wait_until(lambda: "elsewhere" in proxy.orders.evacuated)
