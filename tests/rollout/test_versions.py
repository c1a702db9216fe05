"""Tests of which versions receive requests."""

from __future__ import annotations

import random

import msgspec

from jayswitch.fleet.records import Baseline, Move
from jayswitch.membership.member import Member
from jayswitch.rollout.versions import VersionRules
from jayswitch.store.interface import WatchEvent

SERVICE = "herdview"


def _member(node: str, version: str, since_ms: int = 0) -> Member:
    return Member(
        node=node,
        data_centre="bunbury",
        region="swwa",
        data_address="",
        control_address="",
        admin_address="",
        service=SERVICE,
        version=version,
        state="up",
        slots=6,
        since_ms=since_ms,
    )


def _rules(share: float | None = None, state: str = "running") -> VersionRules:
    rules = VersionRules(random.Random(1))
    baseline = msgspec.json.encode(Baseline("v1"))
    rules.apply(WatchEvent("jayswitch/baselines/herdview", baseline, 1))
    if share is not None:
        move = msgspec.json.encode(Move(SERVICE, "v2", 5, share, state))
        rules.apply(WatchEvent("jayswitch/moves/herdview", move, 6))
    return rules


MEMBERS = [_member("a", "v1"), _member("b", "v1"), _member("c", "v2", 9)]


class TestChoice:
    """A version receives requests only while a move to it is running."""

    def test_version_without_an_order_gets_nothing(self) -> None:
        rules = _rules()
        chosen = {
            m.version
            for _ in range(200)
            for m in rules.choose_members(SERVICE, MEMBERS)
        }
        assert chosen == {"v1"}
        assert not rules.may_receive_requests(SERVICE, "v2", MEMBERS)

    def test_running_move_gets_its_share(self) -> None:
        rules = _rules(share=0.3)
        versions = [
            rules.choose_members(SERVICE, MEMBERS)[0].version for _ in range(2000)
        ]
        assert 0.25 < versions.count("v2") / len(versions) < 0.35

    def test_ended_move_gets_nothing(self) -> None:
        rules = _rules(share=0.0, state="rolled_back")
        assert not rules.may_receive_requests(SERVICE, "v2", MEMBERS)
        assert {m.version for m in rules.choose_members(SERVICE, MEMBERS)} == {"v1"}

    def test_withdrawal_needs_no_store(self) -> None:
        rules = _rules(share=1.0)
        assert rules.withdraw(SERVICE, "v2")
        assert not rules.withdraw(SERVICE, "v2")
        assert {m.version for m in rules.choose_members(SERVICE, MEMBERS)} == {"v1"}
        assert not rules.may_receive_requests(SERVICE, "v2", MEMBERS)

    def test_without_records_the_earliest_upstreams_version_is_proved(self) -> None:
        rules = VersionRules(random.Random(1))
        assert rules.proved_version(SERVICE, MEMBERS) == "v1"

    def test_upstream_may_receive_requests_before_any_record_is_known(self) -> None:
        rules = VersionRules(random.Random(1))
        assert rules.may_receive_requests(SERVICE, "v1", [])

    def test_unreadable_records_change_nothing(self) -> None:
        rules = _rules(share=0.3)
        rules.apply(WatchEvent("jayswitch/moves/herdview", b"{", 7))
        assert rules.move_by_service[SERVICE].share == 0.3
