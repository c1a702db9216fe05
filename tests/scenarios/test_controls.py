"""Negative controls: each invariant must break when its mechanism is disabled.

A check that also passes without the mechanism would prove nothing.
"""

from __future__ import annotations

from collections.abc import Callable

import eventlet
import msgspec
import pytest

from jayswitch.config.replica import ConfigReplica
from jayswitch.gate.concurrency_limiter import ConcurrencyLimiter
from jayswitch.gate.gate import Gate
from jayswitch.gate.request_states import RequestStateStore
from jayswitch.gate.upstream import Announcement
from jayswitch.membership.link import Link
from jayswitch.node.node import Node
from jayswitch.rollout.watcher import MoveWatcher
from jayswitch.routing.request import RequestAttempts
from jayswitch.routing.router import Router
from jayswitch.routing.table import RoutingTable, UpstreamDirectory, VersionSplit
from jayswitch.standins.upstream import UpstreamBehaviour
from tests.harness.mesh import Mesh
from tests.scenarios.conftest import add_nodes

DATA_CENTRES = ["bunbury", "busselton", "harvey"]
Patch = Callable[[pytest.MonkeyPatch], None]
Scenario = Callable[[Mesh], None]


def build_mesh(mesh: Mesh, count: int = 6, rate: int = 60) -> None:
    """Builds a mesh with steady traffic."""
    for number in range(count):
        mesh.add(f"herdview-{number}", DATA_CENTRES[number % 3], "herdview")
    mesh.wait(6)
    mesh.configure_services(["herdview"])
    mesh.wait(6)
    mesh.start_traffic(rate, "herdview")
    mesh.wait(5)


def stop_and_check(mesh: Mesh) -> None:
    """Stops the traffic and checks the invariants."""
    mesh.stop_traffic()
    mesh.oracle.check()


def duplicated_messages(mesh: Mesh) -> None:
    """Some messages are delivered twice."""
    build_mesh(mesh)
    mesh.network.duplication_rate = 0.3
    mesh.wait(15)
    stop_and_check(mesh)


def lost_answers(mesh: Mesh) -> None:
    """An upstream executes requests and loses some of the answers."""
    build_mesh(mesh)
    mesh.nodes_by_name["herdview-0"].client.lose_answers = 0.5
    mesh.wait(10)
    stop_and_check(mesh)


def reordered_cancellations(mesh: Mesh) -> None:
    """Some calls arrive after their cancellations."""
    build_mesh(mesh)
    mesh.network.delay_ms = (0.3, 6000.0)
    mesh.wait(15)
    mesh.network.delay_ms = (0.3, 1.5)
    stop_and_check(mesh)


def concurrent_calls(mesh: Mesh) -> None:
    """Each node has several calls in flight at a time."""
    build_mesh(mesh)
    for node in mesh.nodes_by_name.values():
        node.standin.behaviour = UpstreamBehaviour(latency_ms=120.0)
    mesh.wait(10)
    stop_and_check(mesh)


def data_centre_out(mesh: Mesh) -> None:
    """A data centre is taken out of service and must then execute no requests."""
    build_mesh(mesh)
    mesh.set_data_centre_out("bunbury", True)
    mesh.wait(10)
    stop_and_check(mesh)
    assert mesh.runs.count(mesh.clock.now_ms() - 22_000, data_centre="bunbury") == 0


def cold_upstream(mesh: Mesh) -> None:
    """An upstream starts cold under full load and must not be overloaded."""
    build_mesh(mesh, count=3, rate=600)
    behaviour = UpstreamBehaviour(slots=10, latency_ms=20.0, warm_up_ms=4000.0)
    node = mesh.add("herdview-9", "bunbury", "herdview", "v1", behaviour)
    mesh.wait(8)
    stop_and_check(mesh)
    assert node.standin.counts["overloads"] <= 3


def bad_version(mesh: Mesh) -> None:
    """A bad version must get few requests, and none once it is detected."""
    build_mesh(mesh, count=4, rate=80)
    add_nodes(mesh, 4, "herdview", "v2", error_fraction=0.5)
    mesh.wait(5)
    since_ms = mesh.clock.now_ms()
    mesh.set_profile({"herdview": "v2"}, 90_000)
    mesh.wait(60)
    share = mesh.runs.count(since_ms, version="v2") / mesh.runs.count(since_ms)
    late = mesh.runs.count(mesh.clock.now_ms() - 20_000, version="v2")
    stop_and_check(mesh)
    assert share <= 0.06 and late == 0, f"{share:.3f} of calls, {late} in the last 20 s"


def store_down_past_deadline(mesh: Mesh) -> None:
    """A version unproved by its deadline gets no requests, even with the store down."""
    build_mesh(mesh, count=4, rate=80)
    add_nodes(mesh, 4, "herdview", "v2")
    mesh.wait(5)
    mesh.set_profile({"herdview": "v2"}, 30_000)
    mesh.wait(8)
    mesh.store.faults.down = True
    mesh.wait(40)
    late = mesh.runs.count(mesh.clock.now_ms() - 10_000, version="v2")
    mesh.store.faults.down = False
    stop_and_check(mesh)
    assert late == 0


def planned_stop(mesh: Mesh) -> None:
    """A node stops while calls are in flight."""
    for index in range(3):
        behaviour = UpstreamBehaviour(latency_ms=400.0, slots=20)
        mesh.add(f"herdview-{index}", DATA_CENTRES[index], "herdview", "v1", behaviour)
    mesh.wait(6)
    mesh.configure_services(["herdview"])
    mesh.wait(6)
    mesh.start_traffic(20, "herdview")
    mesh.wait(20)
    since_ms = mesh.clock.now_ms() - 1000
    stopping_node = mesh.nodes_by_name["herdview-1"]

    def stop() -> None:
        stopping_node.node.drain()
        stopping_node.kill()

    eventlet.spawn(stop)
    mesh.wait(10)
    stop_and_check(mesh)
    outcomes = mesh.oracle.outcomes(since_ms)
    assert set(outcomes) == {"answered"}, outcomes


def outdated_snapshot(mesh: Mesh) -> None:
    """A peer offers a snapshot that is older than the node's configuration."""
    build_mesh(mesh)
    replica = mesh.nodes_by_name["herdview-0"].node.parts.replica
    old = replica.snapshot()
    mesh.set_data_centre_out("harvey", False)
    mesh.wait(3)
    replica.apply_snapshot(old)
    stop_and_check(mesh)


def upstream_leaves(mesh: Mesh) -> None:
    """An upstream leaves and must then execute no requests."""
    build_mesh(mesh)
    mesh.nodes_by_name["herdview-2"].leaving = True
    mesh.wait(4)
    since_ms = mesh.clock.now_ms()
    mesh.wait(8)
    stop_and_check(mesh)
    assert mesh.runs.count(since_ms, node="herdview-2") == 0


def lossy_changes(mesh: Mesh) -> None:
    """Changes must be applied on every node although messages are lost."""
    build_mesh(mesh, count=18, rate=10)
    mesh.network.loss_rate = 0.4
    for _ in range(5):
        mesh.set_data_centre_out("harvey", False)
        mesh.wait(2)
    mesh.wait(6)
    versions = {n.node.parts.replica.version for n in mesh.live_nodes()}
    mesh.network.loss_rate = 0.0
    stop_and_check(mesh)
    assert len(versions) == 1, versions


def forget_requests(patch: pytest.MonkeyPatch) -> None:
    """The gate finds no state for a request that it has already seen."""
    patch.setattr(RequestStateStore, "state_of", lambda self, request_id: None)


def retry_everything(patch: pytest.MonkeyPatch) -> None:
    """The router treats every method as idempotent."""
    patch.setattr(RequestAttempts, "idempotent", property(lambda self: True))


def report_cancelled_calls_as_not_run(patch: pytest.MonkeyPatch) -> None:
    """The router reports all failed calls as not run, although they may have run."""
    original = RequestAttempts.record_failure

    def record_failure(self: RequestAttempts, node: str, outcome: object) -> None:
        original(self, node, outcome)
        self.may_have_run = False

    patch.setattr(RequestAttempts, "record_failure", record_failure)


def ignore_data_centres(patch: pytest.MonkeyPatch) -> None:
    """Routers and gates ignore whether a data centre is out of service."""
    patch.setattr(Gate, "set_out_of_service", lambda self, out: None)

    def usable(self: object, service: str, version: str, config: object) -> list:
        members = self._by_service_version.get((service, version), {})
        return [member for member in members.values() if member.state == "up"]

    patch.setattr(UpstreamDirectory, "usable", usable)


def no_warm_up_limit(patch: pytest.MonkeyPatch) -> None:
    """The gate admits as many calls as the upstream has slots."""
    patch.setattr(ConcurrencyLimiter, "limit", property(lambda self: self._slots))


def no_bad_version_detection(patch: pytest.MonkeyPatch) -> None:
    """No node marks a version as bad."""
    patch.setattr(MoveWatcher, "_mark_bad", lambda self, move, fault: None)


def ignore_bad_version_marks(patch: pytest.MonkeyPatch) -> None:
    """Routers and the driver ignore marks and use the version until the move ends."""
    patch.setattr(MoveWatcher, "is_marked_bad", lambda self, move_id: False)
    patch.setattr(MoveWatcher, "mark", lambda self, move_id: None)


def ignore_deadlines(patch: pytest.MonkeyPatch) -> None:
    """Routers leave the enforcement of deadlines to the driver."""

    def split_for(self: RoutingTable, service: str, wall_ms: int) -> VersionSplit:
        return self._split_by_service[service]

    patch.setattr(RoutingTable, "split_for", split_for)


def no_drain(patch: pytest.MonkeyPatch) -> None:
    """A planned stop does not wait for calls in flight."""
    patch.setattr(Node, "drain", lambda self: True)


def accept_any_snapshot(patch: pytest.MonkeyPatch) -> None:
    """A replica installs any snapshot, whatever its version."""
    from jayswitch.config.codec import decode_state

    def apply_any_snapshot(self: ConfigReplica, data: bytes) -> bool:
        self._install(decode_state(data).unwrap())
        return True

    patch.setattr(ConfigReplica, "apply_snapshot", apply_any_snapshot)


def ignore_reply_ids(patch: pytest.MonkeyPatch) -> None:
    """The router delivers a reply to the first waiting task, whatever its id."""

    def receive(self: Router, message: object) -> None:
        for replies in list(self._replies_by_id.values())[:1]:
            replies.put(message)

    patch.setattr(Router, "receive", receive)


def ignore_leaving(patch: pytest.MonkeyPatch) -> None:
    """The node ignores that its upstream is leaving."""
    original = Node.announce

    def announce(self: Node, announcement: Announcement) -> None:
        original(self, msgspec.structs.replace(announcement, leaving=False))

    patch.setattr(Node, "announce", announce)


def no_retransmission(patch: pytest.MonkeyPatch) -> None:
    """Links treat every message that they sent as received."""
    patch.setattr(Link, "rewind", lambda self: None)


CONTROLS: list[tuple[Patch, Scenario]] = [
    (forget_requests, duplicated_messages),
    (retry_everything, lost_answers),
    (report_cancelled_calls_as_not_run, lost_answers),
    (ignore_reply_ids, concurrent_calls),
    (ignore_data_centres, data_centre_out),
    (no_warm_up_limit, cold_upstream),
    (no_bad_version_detection, bad_version),
    (ignore_bad_version_marks, bad_version),
    (ignore_deadlines, store_down_past_deadline),
    (no_drain, planned_stop),
    (accept_any_snapshot, outdated_snapshot),
    (ignore_leaving, upstream_leaves),
    (no_retransmission, lossy_changes),
]
SCENARIOS = sorted(
    {s for _, s in CONTROLS} | {reordered_cancellations}, key=lambda s: s.__name__
)


class TestControls:
    """Each scenario passes unchanged and fails with its mechanism disabled."""

    @pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.__name__)
    def test_invariant_holds_with_the_mechanism(
        self, mesh: Mesh, scenario: Scenario
    ) -> None:
        scenario(mesh)

    @pytest.mark.parametrize(
        ("patch", "scenario"), CONTROLS, ids=lambda item: item.__name__
    )
    def test_invariant_breaks_without_the_mechanism(
        self,
        mesh: Mesh,
        monkeypatch: pytest.MonkeyPatch,
        patch: Patch,
        scenario: Scenario,
    ) -> None:
        patch(monkeypatch)
        with pytest.raises(AssertionError):
            scenario(mesh)
