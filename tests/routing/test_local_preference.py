"""Tests of the preference for the upstream on the same VM."""

from __future__ import annotations

import random

from jayswitch.clock import VirtualClock
from jayswitch.membership.member import Member
from jayswitch.routing.balancer import Balancer


def _member(node: str, data_centre: str = "bunbury") -> Member:
    return Member(
        node=node,
        data_centre=data_centre,
        region="swwa",
        data_address="",
        control_address="",
        admin_address="",
        slots=10,
    )


MEMBERS = [_member("here"), _member("near"), _member("far", "harvey")]


def _balancer() -> Balancer:
    return Balancer("bunbury", "swwa", VirtualClock(), random.Random(1), "here")


def _chosen(balancer: Balancer) -> set[str]:
    return {balancer.choose(MEMBERS, ()).node for _ in range(50)}  # type: ignore


class TestLocalPreference:
    """The local upstream is chosen unless it is busy, slow or refuses calls."""

    def test_upstream_with_room_is_preferred(self) -> None:
        balancer = _balancer()
        assert _chosen(balancer) == {"here"}

    def test_busy_upstream_shares_with_its_data_centre(self) -> None:
        balancer = _balancer()
        for _ in range(7):
            balancer.start("here")
        assert "near" in _chosen(balancer)

    def test_slow_upstream_is_not_preferred(self) -> None:
        balancer = _balancer()
        balancer.report("here", 0, 10, 500)
        balancer.report("near", 0, 10, 100)
        assert "near" in _chosen(balancer)

    def test_refusing_upstream_is_not_preferred(self) -> None:
        balancer = _balancer()
        balancer.penalize("here", 100)
        assert _chosen(balancer) == {"near"}
