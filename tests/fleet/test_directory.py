"""Tests of which proxies the directory lists and uses."""

from __future__ import annotations

import msgspec

from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import (
    Incarnation,
    NodeRecord,
    Upstream,
    UpstreamState,
    node_key,
)
from jayswitch.store.interface import WatchEvent

SERVICE = "herdview"


def _event(
    vm: str, state: UpstreamState = UpstreamState.READY, draining: bool = False
) -> WatchEvent:
    upstream = Upstream("i-1", 1, SERVICE, "v1", 6, state)
    record = NodeRecord(vm, "bunbury", "swwa", "a:1", 0, upstream, draining)
    return WatchEvent(f"jayswitch/nodes/{vm}", msgspec.json.encode(record), 1)


def _names(directory: Directory) -> list[str]:
    return [member.node for member in directory.members(SERVICE)]


class TestDirectory:
    """A serving proxy with an expired lease is removed once it is unreachable."""

    def test_only_ready_upstreams_are_members(self) -> None:
        directory = Directory()
        directory.apply(_event("a"))
        directory.apply(_event("b", UpstreamState.LEAVING))
        directory.apply(_event("c", draining=True))
        assert _names(directory) == ["a"]

    def test_own_upstream_stays_a_member_while_the_proxy_drains(self) -> None:
        directory = Directory("a")
        directory.apply(_event("a", draining=True))
        directory.apply(_event("b", draining=True))
        assert _names(directory) == ["a"]

    def test_proxy_with_an_expired_lease_is_used_until_it_is_unreachable(self) -> None:
        directory = Directory()
        directory.apply(_event("a"))
        directory.apply(WatchEvent("jayswitch/nodes/a", None, 2))
        assert _names(directory) == ["a"]
        directory.report_unreachable("a")
        assert _names(directory) == []

    def test_listed_proxy_is_kept_after_a_failed_attempt(self) -> None:
        directory = Directory()
        directory.apply(_event("a"))
        directory.report_unreachable("a")
        assert _names(directory) == ["a"]

    def test_suspected_proxy_is_dropped_with_its_lease(self) -> None:
        directory = Directory()
        directory.is_suspected = lambda vm: True
        directory.apply(_event("a"))
        directory.apply(WatchEvent("jayswitch/nodes/a", None, 2))
        assert _names(directory) == []

    def test_proxy_that_publishes_again_is_listed_again(self) -> None:
        directory = Directory()
        directory.apply(_event("a"))
        directory.apply(WatchEvent("jayswitch/nodes/a", None, 2))
        directory.apply(_event("a"))
        directory.report_unreachable("a")
        assert _names(directory) == ["a"]

    def test_callers_are_sent_elsewhere_while_half_of_the_proxies_accept_them(
        self,
    ) -> None:
        directory = Directory()
        for vm in ("a", "b", "c"):
            directory.apply(_event(vm))
        directory.apply(_event("a", draining=True))
        assert directory.at_least_half_accept_callers("bunbury")
        directory.apply(_event("b", UpstreamState.GONE, draining=True))
        assert not directory.at_least_half_accept_callers("bunbury")

    def test_proxies_of_other_data_centres_do_not_count(self) -> None:
        directory = Directory()
        directory.apply(_event("a", draining=True))
        assert not directory.at_least_half_accept_callers("bunbury")
        assert directory.at_least_half_accept_callers("harvey")

    def test_undecodable_record_is_ignored_and_others_are_kept(self) -> None:
        directory = Directory()
        directory.apply(_event("a"))
        directory.apply(WatchEvent("jayswitch/nodes/b", b"{", 2))
        assert _names(directory) == ["a"]


class TestDeparture:
    """An announced departure excludes an incarnation, whatever its record says."""

    def test_record_published_again_does_not_bring_it_back(self) -> None:
        directory = _directory_with("vm-1", started_ms=1000)
        directory.report_departure("vm-1", Incarnation("i-1", 1000))
        assert directory.members("herdview") == []
        _publish(directory, "vm-1", started_ms=1000)
        assert directory.members("herdview") == []

    def test_removed_record_does_not_bring_it_back(self) -> None:
        directory = _directory_with("vm-1", started_ms=1000)
        directory.report_departure("vm-1", Incarnation("i-1", 1000))
        directory.apply(WatchEvent(node_key("vm-1"), None, 2))
        _publish(directory, "vm-1", started_ms=1000)
        assert directory.members("herdview") == []

    def test_later_incarnation_is_a_member(self) -> None:
        directory = _directory_with("vm-1", started_ms=1000)
        directory.report_departure("vm-1", Incarnation("i-1", 1000))
        _publish(directory, "vm-1", started_ms=2000)
        assert len(directory.members("herdview")) == 1

    def test_late_report_of_an_earlier_incarnation_changes_nothing(self) -> None:
        directory = _directory_with("vm-1", started_ms=2000)
        directory.report_departure("vm-1", Incarnation("i-1", 2000))
        directory.report_departure("vm-1", Incarnation("i-1", 1000))
        assert directory.members("herdview") == []


def _directory_with(vm: str, started_ms: int) -> Directory:
    directory = Directory()
    _publish(directory, vm, started_ms)
    return directory


def _publish(directory: Directory, vm: str, started_ms: int) -> None:
    upstream = Upstream("i-1", started_ms, "herdview", "v1", 4, UpstreamState.READY)
    record = NodeRecord(vm, "bunbury", "swwa", "127.0.0.1:1", 0, upstream)
    value = msgspec.json.encode(record)
    directory.apply(WatchEvent(node_key(vm), value, 1))
