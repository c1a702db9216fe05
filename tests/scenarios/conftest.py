"""Step definitions of the feature files."""

from __future__ import annotations

import eventlet
import msgspec
import pytest
from pytest_bdd import given, parsers, then, when

from jayswitch.config.generated import MoveAborted
from jayswitch.config.state import Move
from jayswitch.exceptions import JayswitchError
from jayswitch.standins.upstream import UpstreamBehaviour
from tests.harness.mesh import Mesh, ScenarioNode

NEW_VERSION_FAULTS = {
    "good": {},
    "failing": {"error_fraction": 0.5},
    "failing on writes": {"error_fraction": 0.6, "error_route": "/herdview/write"},
    "slow": {"latency_ms": 100.0},
    "failing under load": {"error_fraction": 0.8, "error_above_in_flight": 1},
    "hanging": {"hang_fraction": 0.4},
}


class ScenarioContext:
    """State that the steps of one scenario share."""

    def __init__(self) -> None:
        """Starts without a marked time, results or a move."""
        self.mark_ms = 0.0
        self.results: list[object] = []
        self.move_id = ""


@pytest.fixture
def context() -> ScenarioContext:
    """Returns the scenario's context."""
    return ScenarioContext()


def add_nodes(
    mesh: Mesh, count: int, service: str, version: str, **behaviour: object
) -> list[ScenarioNode]:
    """Adds nodes with upstreams, assigned to the data centres in turn."""
    centres = sorted({n.settings.data_centre for n in mesh.nodes_by_name.values()})
    current = next(iter(mesh.nodes_by_name.values())).standin.behaviour
    replaced = msgspec.structs.replace(current, **behaviour)
    return [
        mesh.add(
            f"{service}-{version}-{number}",
            centres[number % len(centres)],
            service,
            version,
            replaced,
        )
        for number in range(count)
    ]


def latest_move(mesh: Mesh) -> Move:
    """Returns the latest move, as known to the live node with the newest version."""
    node = max(mesh.live_nodes(), key=lambda n: n.node.parts.replica.version)
    moves = node.node.parts.replica.state.moves_by_id.values()
    return max(moves, key=lambda move: move.started_ms)


# Given


@given(parsers.parse('{count:d} upstreams of "{service}" over "{centres}"'))
def build_mesh(mesh: Mesh, count: int, service: str, centres: str) -> None:
    names = [name.strip() for name in centres.split(",")]
    for number in range(count):
        name = f"{service}-{number}"
        mesh.add(name, names[number % len(names)], service)
    mesh.wait(6)
    mesh.configure_services([service])
    mesh.wait(6)


@given(parsers.parse("each upstream has {slots:d} slots and takes {latency:d} ms"))
def set_upstream_capacity(mesh: Mesh, slots: int, latency: int) -> None:
    for node in mesh.nodes_by_name.values():
        node.standin.behaviour = UpstreamBehaviour(
            slots=slots, latency_ms=float(latency)
        )
    mesh.wait(3)


@given(parsers.parse("{rate:d} calls a second"))
def start_calls(mesh: Mesh, rate: int) -> None:
    mesh.start_traffic(rate, "herdview")
    mesh.wait(10)


@given(parsers.parse("{rate:d} calls a second that only read"))
def start_read_traffic(mesh: Mesh, rate: int) -> None:
    mesh.start_traffic(rate, "herdview", write_share=0.0)
    mesh.wait(10)


# When: faults


@when(parsers.parse('node "{name}" is killed'))
@given(parsers.parse('node "{name}" is killed'))
def kill(mesh: Mesh, name: str) -> None:
    mesh.nodes_by_name[name].kill()


@when(parsers.parse('every node in "{centre}" is killed'))
def kill_data_centre(mesh: Mesh, centre: str) -> None:
    for node in mesh.live_nodes():
        if node.settings.data_centre == centre:
            node.kill()


@when("every relay is killed")
def kill_relays(mesh: Mesh) -> None:
    for node in mesh.live_nodes():
        if node.node.parts.tree.is_relay:
            node.kill()


@when("the driver is killed")
def kill_driver(mesh: Mesh) -> None:
    for node in mesh.live_nodes():
        if node.node.parts.driver.is_driving:
            node.kill()


@when(parsers.parse("the driver is paused for {seconds:d} seconds"))
def pause_driver(mesh: Mesh, seconds: int) -> None:
    for node in mesh.live_nodes():
        if node.node.parts.driver.is_driving:
            node.pause()
            eventlet.spawn_after(seconds, node.resume)


@when(parsers.parse('node "{name}" is paused for {seconds:d} seconds'))
def pause(mesh: Mesh, name: str, seconds: int) -> None:
    mesh.nodes_by_name[name].pause()
    eventlet.spawn_after(seconds, mesh.nodes_by_name[name].resume)


@when(parsers.parse('node "{name}" starts again'))
def restart_node(mesh: Mesh, name: str) -> None:
    old = mesh.nodes_by_name[name]
    mesh.add(name, old.settings.data_centre, old.service, old.version)


@when(parsers.parse("{share:d} percent of messages are lost"))
def lose_messages(mesh: Mesh, share: int) -> None:
    mesh.network.loss_rate = share / 100


@when(parsers.parse("{share:d} percent of messages arrive twice, up to {ms:d} ms late"))
def duplicate_messages(mesh: Mesh, share: int, ms: int) -> None:
    mesh.network.duplication_rate = share / 100
    mesh.network.delay_ms = (0.3, float(ms))


@when("the network is sound again")
def heal_network(mesh: Mesh) -> None:
    mesh.network.loss_rate = 0.0
    mesh.network.duplication_rate = 0.0
    mesh.network.delay_ms = (0.3, 1.5)
    mesh.network.heal()


@when(parsers.parse('"{one}" and "{other}" are cut off from each other'))
def partition(mesh: Mesh, one: str, other: str) -> None:
    mesh.network.partition(one, other)


@when("the store is down")
@given("the store is down")
def store_down(mesh: Mesh) -> None:
    mesh.store.faults.down = True


@when("the store is up again")
def store_up(mesh: Mesh) -> None:
    mesh.store.faults.down = False
    mesh.store.faults.slow_ms = 0.0
    mesh.store.faults.lose_answers = 0.0


@when(parsers.parse("the store loses {share:d} percent of its answers to writes"))
def lose_store_answers(mesh: Mesh, share: int) -> None:
    mesh.store.faults.lose_answers = share / 100


@when(parsers.parse("the store takes {ms:d} ms for each call"))
def slow_store(mesh: Mesh, ms: int) -> None:
    mesh.store.faults.slow_ms = float(ms)


@when("every lease lapses")
def expire_leases(mesh: Mesh) -> None:
    for lease in list(mesh.store._leases_by_id):
        mesh.store.expire_lease(lease)


@when(parsers.parse('upstream "{name}" turns cold and takes {seconds:d} s to warm up'))
def make_cold(mesh: Mesh, name: str, seconds: int) -> None:
    standin = mesh.nodes_by_name[name].standin
    standin.behaviour.warm_up_ms = seconds * 1000.0
    standin.reset_warm_up()


@when(parsers.parse('upstream "{name}" loses {share:d} percent of its answers'))
def lose_upstream_answers(mesh: Mesh, name: str, share: int) -> None:
    mesh.nodes_by_name[name].client.lose_answers = share / 100


@when(parsers.parse("every upstream fails half of its calls for {seconds:d} seconds"))
def fail_all_upstreams(mesh: Mesh, seconds: int) -> None:
    def set_errors(fraction: float) -> None:
        for node in mesh.nodes_by_name.values():
            node.standin.behaviour.error_fraction = fraction

    set_errors(0.5)
    eventlet.spawn_after(seconds, set_errors, 0.0)


@when(parsers.parse('upstream "{name}" leaves'))
def leave_upstream(mesh: Mesh, name: str) -> None:
    node = mesh.nodes_by_name[name]
    node.leaving = True


@when(parsers.parse('node "{name}" is asked to stop'))
def stop_node(mesh: Mesh, context: ScenarioContext, name: str) -> None:
    node = mesh.nodes_by_name[name]

    def stop() -> None:
        context.results.append(node.node.drain())
        node.node.stop()
        node.alive = False

    eventlet.spawn(stop)


# When: operators


@when(parsers.parse('the operator takes "{centre}" out'))
def take_out(mesh: Mesh, centre: str) -> None:
    mesh.set_data_centre_out(centre, True)


@when(parsers.parse('the operator takes "{centre}" in'))
def take_in(mesh: Mesh, centre: str) -> None:
    mesh.set_data_centre_out(centre, False)


@when(parsers.parse('{count:d} upstreams of a {fault} version "{version}" start'))
def start_version(mesh: Mesh, count: int, fault: str, version: str) -> None:
    add_nodes(mesh, count, "herdview", version, **NEW_VERSION_FAULTS[fault])
    mesh.wait(5)


@when(parsers.parse('the operator moves to "{version}" within {seconds:d} seconds'))
def move_to(mesh: Mesh, context: ScenarioContext, version: str, seconds: int) -> None:
    context.mark_ms = mesh.clock.now_ms()
    mesh.set_profile({"herdview": version}, seconds * 1000)
    context.move_id = latest_move(mesh).id


@when(parsers.parse('version "{version}" turns bad'))
def turn_bad(mesh: Mesh, context: ScenarioContext, version: str) -> None:
    context.mark_ms = mesh.clock.now_ms()
    for node in mesh.nodes_by_name.values():
        if node.version == version:
            node.standin.behaviour.error_fraction = 0.6


@when("the operator aborts the move")
def abort_move(mesh: Mesh, context: ScenarioContext) -> None:
    at_ms = mesh.clock.wall_ms()
    mesh.append_change(MoveAborted(move=context.move_id, at_ms=at_ms))


@when(parsers.parse("{count:d} operators apply the profile at once"))
def apply_profile_concurrently(
    mesh: Mesh, context: ScenarioContext, count: int
) -> None:
    nodes = mesh.live_nodes()
    state = nodes[0].node.parts.replica.state
    known_version = state.profiles_by_name["everyday"].version

    def apply(number: int) -> None:
        via = nodes[number % len(nodes)]
        versions = {"herdview": f"v{number + 2}"}
        try:
            entry = mesh.set_profile(versions, 60_000, via, known_version)
            context.results.append(entry)
        except JayswitchError as error:
            context.results.append(error)

    pool = eventlet.GreenPool()
    for number in range(count):
        pool.spawn(apply, number)
    pool.waitall()


@when(parsers.parse("the profile is applied {count:d} times"))
def apply_profile_repeatedly(mesh: Mesh, context: ScenarioContext, count: int) -> None:
    for _ in range(count):
        try:
            context.results.append(mesh.set_profile({"herdview": "v1"}))
        except JayswitchError as error:
            context.results.append(error)
        mesh.wait(0.5)


@when(parsers.parse("{seconds:d} seconds pass"))
@given(parsers.parse("{seconds:d} seconds pass"))
def advance_time(mesh: Mesh, seconds: int) -> None:
    mesh.wait(seconds)


@when("the calls stop")
def stop_calls(mesh: Mesh) -> None:
    mesh.stop_traffic()


@when("the clock is marked")
def mark_time(mesh: Mesh, context: ScenarioContext) -> None:
    context.mark_ms = mesh.clock.now_ms()


# Then


@then("every invariant holds")
def invariants_hold(mesh: Mesh) -> None:
    mesh.stop_traffic()
    assert mesh.oracle.calls
    mesh.oracle.check()


@then(parsers.parse("{share:d} percent of the calls since the mark were answered"))
def answered_share(mesh: Mesh, context: ScenarioContext, share: int) -> None:
    outcomes = mesh.oracle.outcomes(context.mark_ms)
    total = sum(outcomes.values()) - outcomes["open"]
    assert total, "no calls were made"
    assert outcomes["answered"] >= total * share / 100, outcomes


@then(parsers.parse("no outcome since the mark is unknown"))
def no_unknown_outcomes(mesh: Mesh, context: ScenarioContext) -> None:
    outcomes = mesh.oracle.outcomes(context.mark_ms)
    assert not outcomes["unknown"] and not outcomes["cut"], outcomes


@then(parsers.parse('"{centre}" began no work in the last {seconds:d} seconds'))
def data_centre_idle(mesh: Mesh, centre: str, seconds: int) -> None:
    since_ms = mesh.clock.now_ms() - seconds * 1000
    assert mesh.runs.count(since_ms, data_centre=centre) == 0


@then(parsers.parse('"{centre}" began work in the last {seconds:d} seconds'))
def data_centre_not_idle(mesh: Mesh, centre: str, seconds: int) -> None:
    since_ms = mesh.clock.now_ms() - seconds * 1000
    assert mesh.runs.count(since_ms, data_centre=centre) > 0


@then(parsers.parse('node "{name}" began no work in the last {seconds:d} seconds'))
def node_idle(mesh: Mesh, name: str, seconds: int) -> None:
    since_ms = mesh.clock.now_ms() - seconds * 1000
    assert mesh.runs.count(since_ms, node=name) == 0


@then(parsers.parse("every live node runs the newest version"))
def all_nodes_up_to_date(mesh: Mesh) -> None:
    versions = {
        node.settings.vm: node.node.parts.router.table.config.version
        for node in mesh.live_nodes()
    }
    assert len(set(versions.values())) == 1, versions


@then(parsers.parse("each accepted change was in force on every node within {s:d} s"))
def changes_applied_in_time(mesh: Mesh, s: int) -> None:
    names = {node.settings.vm for node in mesh.live_nodes()}
    accepted = mesh.oracle.accepted_ms_by_version
    assert accepted
    for version, accepted_ms in accepted.items():
        reached = mesh.oracle.applied_ms_by_version.get(version, {})
        late = {
            name: reached.get(name)
            for name in names
            if reached.get(name, float("inf")) - accepted_ms > s * 1000
        }
        assert not late, f"version {version}, accepted at {accepted_ms} ms: {late}"


@then(parsers.parse("the move is {ending}"))
def move_ended(mesh: Mesh, context: ScenarioContext, ending: str) -> None:
    move = latest_move(mesh)
    assert not move.active, f"still at {move.percent}%"
    assert move.done == (ending == "done"), move.reason


@then("the move ended by its deadline")
def move_in_time(mesh: Mesh) -> None:
    move = latest_move(mesh)
    assert move.ended_ms <= move.deadline_ms


@then(parsers.parse('the reason of the move names "{text}"'))
def move_reason(mesh: Mesh, text: str) -> None:
    assert text in latest_move(mesh).reason


@then(
    parsers.parse('version "{version}" began no work in the last {seconds:d} seconds')
)
def version_idle(mesh: Mesh, version: str, seconds: int) -> None:
    since_ms = mesh.clock.now_ms() - seconds * 1000
    assert mesh.runs.count(since_ms, version=version) == 0


@then(parsers.parse('version "{version}" got at most {share:d} percent since the mark'))
def version_share(
    mesh: Mesh, context: ScenarioContext, version: str, share: int
) -> None:
    total = mesh.runs.count(context.mark_ms)
    count = mesh.runs.count(context.mark_ms, version=version)
    assert total
    assert count <= total * share / 100, f"{count} of {total}"


@then(
    parsers.parse('version "{version}" does all work in the last {seconds:d} seconds')
)
def version_does_all_work(mesh: Mesh, version: str, seconds: int) -> None:
    since_ms = mesh.clock.now_ms() - seconds * 1000
    assert mesh.runs.count(since_ms) == mesh.runs.count(since_ms, version=version) > 0


@then(parsers.parse('upstream "{name}" was never overloaded'))
def never_overloaded(mesh: Mesh, name: str) -> None:
    assert mesh.nodes_by_name[name].standin.counts["overloads"] == 0


@then(parsers.parse('upstream "{name}" was overloaded at most {count:d} times'))
def overloaded_at_most(mesh: Mesh, name: str, count: int) -> None:
    assert mesh.nodes_by_name[name].standin.counts["overloads"] <= count


@then("no link of the tree was lost")
def no_link_lost(mesh: Mesh) -> None:
    lost = {
        node.settings.vm: node.node.parts.tree.counts["links_lost"]
        for node in mesh.live_nodes()
    }
    assert not any(lost.values()), lost


@then("exactly one operator won")
def one_operator_succeeded(context: ScenarioContext) -> None:
    successes = [r for r in context.results if not isinstance(r, JayswitchError)]
    assert len(successes) == 1, context.results
    conflicts = [r for r in context.results if isinstance(r, JayswitchError)]
    assert all(conflict.code == "version-conflict" for conflict in conflicts), conflicts


@then("each change that was accepted is in the log exactly once")
def accepted_once(mesh: Mesh, context: ScenarioContext) -> None:
    mesh.store.faults.lose_answers = 0.0
    stored = [value.value for value in mesh.store.scan("log/").unwrap()]
    for result in context.results:
        if isinstance(result, JayswitchError):
            continue
        found = [data for data in stored if result.change_id.encode() in data]
        assert len(found) == 1
    ids = [data.split(b'"change_id":"')[1][:32] for data in stored]
    assert len(ids) == len(set(ids)), "a change is in the log more than once"


@then("the planned stop cut nothing")
def no_request_cut(context: ScenarioContext) -> None:
    assert context.results == [True]
