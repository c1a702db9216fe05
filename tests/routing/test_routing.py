"""Tests of routes, the upstream directory, load balancing and retries."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given, strategies as st

from jayswitch.clock import VirtualClock
from jayswitch.config.state import ConfigState, DataCentreState, Move
from jayswitch.membership.member import Member
from jayswitch.profiles.generated import Profile, Route, Target
from jayswitch.routing.balancer import Balancer
from jayswitch.routing.retry_budget import RetryBudget
from jayswitch.routing.table import RoutingTable, UpstreamDirectory
from tests.harness.mesh import Mesh

WALL_MS = 1_800_000_000_000


def member(
    name: str, data_centre: str, version: str = "v1", region: str = "r"
) -> Member:
    """Returns an upstream that is up."""
    return Member(
        node=name,
        data_centre=data_centre,
        region=region,
        data_address=name,
        control_address=name,
        admin_address=name,
        service="herdview",
        version=version,
        state="up",
        slots=10,
    )


def table(percent: int = 0, deadline_ms: int = WALL_MS) -> RoutingTable:
    """Returns a table with two routes and a move at the given share."""
    profile = Profile(
        name="p",
        routes=[
            Route(name="herd", prefix="/herd", service="herdview"),
            Route(name="cow", prefix="/herd/cow", service="herdview"),
        ],
        targets=[Target(service="herdview", version="v2")],
    )
    move = Move(
        id="m",
        profile="p",
        service="herdview",
        from_version="v1",
        to_version="v2",
        started_ms=WALL_MS - 1000,
        deadline_ms=deadline_ms,
        trial_percent=5,
        percent=percent,
    )
    return RoutingTable(ConfigState(moves_by_id={"m": move}), profile)


class TestRoutes:
    """The longest prefix that matches whole path segments wins."""

    def test_longest_prefix(self) -> None:
        routes = table()
        assert routes.route_for("/herd/cow/7").name == "cow"
        assert routes.route_for("/herd/7").name == "herd"
        assert routes.route_for("/herd?x=1").name == "herd"
        assert routes.route_for("/herdsman") is None

    def test_new_version_gets_its_share(self) -> None:
        split = table(percent=5).split_for("herdview", WALL_MS)
        chosen = Counter(split.choose(point) for point in range(100))
        assert chosen == {"v1": 95, "v2": 5}

    def test_move_past_its_deadline_gets_nothing(self) -> None:
        split = table(percent=50).split_for("herdview", WALL_MS + 3000)
        assert {split.choose(point) for point in range(100)} == {"v1"}


class TestNodeWithoutConfiguration:
    """A node without configuration refuses calls as not run."""

    def test_call_is_refused_as_not_run(self, mesh: Mesh) -> None:
        mesh.store.faults.down = True
        node = mesh.add("a", "x", "herdview")
        record = mesh.call(node, "/herdview/read")
        assert record.outcome == "not-run"
        assert "has not received the configuration" in record.reason


class TestRefusalByANewVersion:
    """Calls that a new version refuses are retried on the proved version."""

    def test_every_call_is_answered(self, mesh: Mesh) -> None:
        for number in range(2):
            mesh.add(f"old-{number}", "x", "herdview")
        mesh.wait(6)
        mesh.configure_services(["herdview"])
        new = mesh.add("new", "x", "herdview", "v2")
        mesh.wait(8)
        mesh.set_profile({"herdview": "v2"})
        mesh.wait(3)
        new.node.parts.gate.set_out_of_service(True)
        entry = mesh.nodes_by_name["old-0"]
        outcomes = Counter(
            mesh.call(entry, "/herdview/write", "POST").outcome for _ in range(300)
        )
        assert new.node.parts.gate.counts["refused"] > 0
        assert outcomes == {"answered": 300}
        mesh.oracle.check()


class TestDirectory:
    """Upstreams that must not get new calls are left out."""

    def test_out_leaving_and_gone_are_left_out(self) -> None:
        directory = UpstreamDirectory()
        for upstream in (member("a", "x"), member("b", "y"), member("c", "x")):
            directory.put(upstream)
        leaving = member("c", "x")
        leaving.state = "leaving"
        directory.put(leaving)
        out = DataCentreState(data_centre="y", out=True, version=1)
        config = ConfigState(data_centres_by_name={"y": out})
        usable = directory.usable("herdview", "v1", config)
        assert [upstream.node for upstream in usable] == ["a"]
        directory.remove("a")
        assert directory.usable("herdview", "v1", config) == []


class TestBalancer:
    """Near upstreams are preferred and penalised ones avoided."""

    def make(self) -> Balancer:
        """Returns a balancer in data centre x."""
        return Balancer("x", "r", VirtualClock(), random.Random(3))

    def test_nearest_first_then_spill(self) -> None:
        balancer = self.make()
        near, far = member("near", "x"), member("far", "y")
        assert balancer.choose([far, near], set()).node == "near"
        balancer.report("near", 10, 10)
        assert balancer.choose([far, near], set()).node == "far"

    def test_suspected_upstream_is_avoided_for_longer_each_time(self) -> None:
        balancer = self.make()
        balancer.suspect("a")
        balancer.suspect("a")
        until_ms = balancer.load_by_node["a"].penalty_until_ms
        assert until_ms == 2000.0
        candidates = [member("a", "x"), member("b", "y")]
        chosen = {balancer.choose(candidates, set()).node for _ in range(50)}
        assert chosen == {"b"}

    @given(st.sets(st.text("abcdef", min_size=1, max_size=3), min_size=2, max_size=9))
    def test_key_stays_with_its_upstream(self, names: set[str]) -> None:
        balancer = self.make()
        members = [member(name, "x") for name in sorted(names)]
        first = balancer.choose(members, set(), "key")
        others = [m for m in members if m.node != first.node]
        for gone in others:
            left = [m for m in members if m is not gone]
            assert balancer.choose(left, set(), "key").node == first.node


class TestRetryBudget:
    """Retries stay within the configured share of the calls."""

    @given(st.lists(st.booleans(), max_size=400), st.integers(0, 100))
    def test_share_of_retries(self, retry_wanted: list[bool], percent: int) -> None:
        budget = RetryBudget()
        retries = 0
        for wanted in retry_wanted:
            budget.deposit(percent)
            if wanted and budget.take():
                retries += 1
        assert retries <= 3 + len(retry_wanted) * percent / 100 + 1e-6
