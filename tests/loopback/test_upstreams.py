"""Tests of announcements, leaving, restarts and evacuations over real sockets."""

from __future__ import annotations

import eventlet

from tests.harness.loopback import (
    HOST,
    LoopbackDeployment,
    RawUpstream,
    exchange,
    request,
    wait_until,
)


def _status(loopback: LoopbackDeployment) -> int:
    return exchange(loopback.proxies[0].settings.callers_address, request()).status


class TestLeaving:
    """Once leaving is acknowledged, even a restarted proxy never uses the upstream."""

    def test_leaving_upstream_gets_no_new_requests(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        wait_until(lambda: _status(loopback) == 200)
        assert loopback.send_heartbeat(proxy, upstream, seq=2, state="draining") == 200
        assert _status(loopback) == 503

    def test_leaving_is_acknowledged_only_once_it_is_stored(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        wait_until(lambda: loopback.store.read("jayswitch-last/vm-1") is not None)
        loopback.store.forced_status = 503
        assert loopback.send_heartbeat(proxy, upstream, seq=2, state="draining") == 503
        loopback.store.forced_status = 0
        wait_until(
            lambda: loopback.send_heartbeat(proxy, upstream, seq=2, state="draining")
            == 200
        )
        stored = loopback.store.read("jayswitch-last/vm-1")
        assert stored["state"] == "leaving"

    def test_restarted_proxy_knows_that_the_upstream_is_leaving(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        assert loopback.send_heartbeat(proxy, upstream, seq=5, state="draining") == 200
        restarted = loopback.start_proxy("vm-1", upstream)
        loopback.send_heartbeat(restarted, upstream, seq=6)
        assert exchange(restarted.settings.callers_address, request()).status == 503
        assert upstream.received_requests == []


class TestRecord:
    """The record of a live proxy is in the store, also after its lease has ended."""

    def test_expired_record_is_restored_within_two_seconds(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        wait_until(lambda: loopback.store.read("jayswitch/nodes/vm-1") is not None)
        wait_until(lambda: "vm-1" in proxy.directory.record_by_vm)
        loopback.store.store.expire_lease("lease-1")
        assert loopback.store.read("jayswitch/nodes/vm-1") is None
        eventlet.sleep(2.0)
        assert loopback.store.read("jayswitch/nodes/vm-1") is not None


class TestRestart:
    """A restarted proxy uses its live upstream before the next heartbeat."""

    def test_callers_of_a_starting_proxy_return_when_it_has_started(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        proxy.outbound.catalog = None
        got = exchange(proxy.settings.callers_address, request())
        assert got.status == 503
        # Relays deliver the configuration within 0.2 s; see test_fleet_restarts.
        assert "Retry-After: 0.250" in got.head

    def test_live_upstream_is_served_before_its_next_heartbeat(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        loopback.add_vm("vm-1", upstream)
        wait_until(lambda: loopback.store.read("jayswitch-last/vm-1") is not None)
        restarted = loopback.start_proxy("vm-1", upstream)
        wait_until(lambda: restarted.local_upstream.usable is not None)
        assert exchange(restarted.settings.callers_address, request()).status == 200

    def test_another_upstream_at_the_address_is_not_served(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        loopback.add_vm("vm-1", upstream)
        wait_until(lambda: loopback.store.read("jayswitch-last/vm-1") is not None)
        upstream.id = "i-2"
        restarted = loopback.start_proxy("vm-1", upstream)
        wait_until(lambda: restarted.gate.counts["health_checks"] == 1)
        eventlet.sleep(0.1)
        assert restarted.local_upstream.usable is None


class TestHeartbeats:
    """Malformed heartbeats are rejected, and a cold upstream gets few requests."""

    def test_malformed_heartbeats_are_dropped(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        for changes in (
            {"slots": "many"},
            {"state": "sleeping"},
            {"service": "unknown"},
            {"seq": None},
        ):
            assert (
                loopback.send_heartbeat(proxy, upstream, **{"seq": 9, **changes}) != 200
            )
        wait_until(lambda: _status(loopback) == 200)

    def test_cold_upstream_gets_a_limited_share(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        loopback.add_vm("vm-1", upstream, send_first_heartbeat=False)
        proxy = loopback.proxies[0]
        assert loopback.send_heartbeat(proxy, upstream, warmup_left_ms=60_000) == 200
        wait_until(lambda: bool(proxy.directory.members("herdview")))
        statuses = [_status(loopback) for _ in range(20)]
        assert statuses.count(200) <= 7
        assert set(statuses) == {200, 503}


class TestConfigAndEvacuation:
    """Changes of the configuration and evacuations take effect."""

    def test_new_configuration_takes_effect(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        wait_until(lambda: _status(loopback) == 200)
        config = loopback.store.read("op/config")
        moved = [dict(route, prefix="/moved/") for route in config["routes"][:1]]
        loopback.store.put("op/config", {**config, "version": "r7", "routes": moved})
        wait_until(lambda: proxy.orders.catalog.version == 7)
        address = proxy.settings.callers_address
        assert exchange(address, request("/moved/1")).status == 200
        assert exchange(address, request("/read/1")).status == 404

    def test_older_and_malformed_configurations_are_ignored(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        config = loopback.store.read("op/config")
        loopback.store.put("op/config", {**config, "version": "r9"})
        wait_until(lambda: proxy.orders.catalog.version == 9)
        loopback.store.put("op/config", {**config, "version": "r8", "routes": []})
        loopback.store.put("op/config", b"not json")
        loopback.store.put("op/evacuate/elsewhere", {})
        wait_until(lambda: "elsewhere" in proxy.orders.evacuated)
        assert proxy.orders.catalog.version == 9
        assert proxy.orders.catalog.route_for(HOST, "/read/1") is not None

    def test_evacuated_data_centre_gets_no_requests(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        loopback.add_vm("vm-1", upstream)
        wait_until(lambda: _status(loopback) == 200)
        loopback.store.put("op/evacuate/bunbury", {})
        wait_until(lambda: _status(loopback) == 503)
        before = len(upstream.received_requests)
        assert _status(loopback) == 503
        assert len(upstream.received_requests) == before

    def test_stalled_watch_is_detected_from_another_proxys_revision(self) -> None:
        loopback, upstream = LoopbackDeployment(), RawUpstream("i-1")
        proxy = loopback.add_vm("vm-1", upstream)
        follower = proxy.followers.orders
        stalled_watch = lambda wait_ms: eventlet.sleep(60) or False  # noqa: E731
        follower._watch_once = stalled_watch  # type: ignore[method-assign]
        wait_until(lambda: follower.has_synced)
        loopback.store.put("op/evacuate/elsewhere", {})
        eventlet.sleep(0)
        proxy.followers.revision_exchange.compare("999,0", "")
        wait_until(lambda: "elsewhere" in proxy.orders.evacuated)


class TestSilentUpstream:
    """An upstream that sends no heartbeats any more is no destination elsewhere."""

    # Guards against requests that go to a crashed upstream first, as it looks idle.
    def test_silent_upstream_is_no_member_at_other_proxies(self) -> None:
        loopback = LoopbackDeployment()
        crashed = loopback.add_vm("vm-1", RawUpstream("i-1"))
        other = loopback.add_vm("vm-2", RawUpstream("i-2"))
        wait_until(lambda: len(other.directory.members("herdview")) == 2)
        crashed.local_upstream._heartbeat_timeout_ms = 100.0
        wait_until(lambda: crashed.local_upstream.usable is None)
        eventlet.sleep(2.5)
        members = [member.node for member in other.directory.members("herdview")]
        assert members == ["vm-2"]
