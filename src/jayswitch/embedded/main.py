"""Embedded mode (make run): a mesh in one process, under light traffic."""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare()

import signal  # noqa: E402
import sys  # noqa: E402

import eventlet  # noqa: E402
from absl import app, flags  # noqa: E402
from eventlet.event import Event  # noqa: E402

from jayswitch.clock import MS_PER_S  # noqa: E402
from jayswitch.embedded.deployments import DEPLOYMENTS, Deployment  # noqa: E402
from jayswitch.embedded.mesh import (  # noqa: E402
    ADMIN_TOKEN,
    PROFILE_NAME,
    EmbeddedMesh,
)
from jayswitch.embedded.traffic import TrafficGenerator  # noqa: E402
from jayswitch.logs import configure_logging  # noqa: E402

FLAGS = flags.FLAGS

flags.DEFINE_float("seconds", 0.0, "Time to run in seconds; 0 runs until Ctrl-C.")
flags.DEFINE_enum(
    "deployment", "paddockline", sorted(DEPLOYMENTS), "Deployment to model."
)
flags.DEFINE_integer(
    "upstreams", 3, "Maximum number of upstreams of each service.", lower_bound=1
)
flags.DEFINE_float("calls_per_s", 40.0, "Calls per second.", lower_bound=0.1)

READY_TIMEOUT_MS = 20_000.0
REPORT_INTERVAL_MS = 5000.0
EXIT_NOT_READY = 3
EXIT_CALLS_FAILED = 4


def print_usage_hints(mesh: EmbeddedMesh) -> None:
    """Prints the addresses of the nodes and three example commands."""
    print("\nnode               data centre     callers                  admin")
    for upstream in mesh.upstreams:
        parts = upstream.process.node.parts
        callers = upstream.process.callers.address
        admin = upstream.process.admin.address
        location = parts.settings.data_centre
        print(f"{parts.settings.vm:18} {location:15} {callers:24} {admin}")
    first = mesh.upstreams[0].process
    ctl = f".venv/bin/jayswitchctl --token={ADMIN_TOKEN} --node={first.admin.address}"
    prefix = mesh.deployment.services[0].read_prefix
    data_centre = mesh.deployment.data_centres[0]
    print("\nTry these commands in another terminal:")
    print(f"  curl -i {first.callers.address}{prefix}/1")
    print(f"  {ctl} profiles get {PROFILE_NAME}")
    print(f"  {ctl} data-centres out {data_centre}\n", flush=True)


def print_progress(mesh: EmbeddedMesh, traffic: TrafficGenerator) -> None:
    """Prints calls, versions and data centres out of service, and any moves."""
    state = mesh.upstreams[0].process.node.parts.replica.state
    out = [
        name for name in mesh.deployment.data_centres if state.is_out_of_service(name)
    ]
    versions = sorted(set(mesh.versions_in_force()))
    print(
        f"calls {traffic.started}  {dict(traffic.outcomes)}"
        f"  configuration {versions}  out {out or 'none'}",
        flush=True,
    )
    for move in state.moves_by_id.values():
        status = "in progress" if move.active else ("done" if move.done else "reversed")
        print(f"  move {move.id}: {move.percent}% {status} {move.reason}", flush=True)


def run_until_stopped(
    mesh: EmbeddedMesh, traffic: TrafficGenerator, stopping: Event
) -> None:
    """Prints the progress until the time has elapsed or a signal arrives."""
    clock = mesh.clock
    deadline_ms = clock.now_ms() + FLAGS.seconds * MS_PER_S
    while not stopping.ready():
        wait_ms = REPORT_INTERVAL_MS
        if FLAGS.seconds:
            wait_ms = min(wait_ms, deadline_ms - clock.now_ms())
        if wait_ms <= 0:
            return
        with eventlet.Timeout(wait_ms / MS_PER_S, False):
            stopping.wait()
        print_progress(mesh, traffic)


def make_traffic(mesh: EmbeddedMesh, deployment: Deployment) -> TrafficGenerator:
    """Returns a traffic generator that calls every node and route."""
    addresses = [upstream.process.callers.address for upstream in mesh.upstreams]
    prefixes = [(s.read_prefix, s.write_prefix) for s in deployment.services]
    return TrafficGenerator(addresses, prefixes, FLAGS.calls_per_s, mesh.clock)


def main(argv: list[str]) -> int:
    """Runs the mesh; returns 0 if every call got a correct response."""
    configure_logging("warning", "demo")
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: eventlet.spawn_after(0, stopping.send))
    deployment = DEPLOYMENTS[FLAGS.deployment]
    mesh = EmbeddedMesh(deployment, FLAGS.upstreams)
    print(f"starting {len(mesh.upstreams)} nodes", flush=True)
    mesh.start()
    if not mesh.wait_until_ready(READY_TIMEOUT_MS):
        print("nodes were not ready in time", file=sys.stderr)
        return EXIT_NOT_READY
    print_usage_hints(mesh)
    traffic = make_traffic(mesh, deployment)
    traffic.start()
    run_until_stopped(mesh, traffic, stopping)
    print("stopping", flush=True)
    traffic.stop()
    drained = mesh.stop()
    return summarize(mesh, traffic, drained)


def summarize(mesh: EmbeddedMesh, traffic: TrafficGenerator, drained: bool) -> int:
    """Prints the totals; returns the exit code."""
    repeated = [
        request_id
        for upstream in mesh.upstreams
        for request_id, runs in upstream.standin.runs_by_id.items()
        if runs > 1
    ]
    print(f"calls {traffic.started}")
    for kind, count in sorted(traffic.outcomes.items()):
        print(f"  {kind}: {count}")
    print(f"configuration version in force: {sorted(set(mesh.versions_in_force()))}")
    for line in traffic.failures[:10]:
        print(f"failed: {line}", file=sys.stderr)
    if repeated:
        print(
            f"executed more than once by one upstream: {repeated[:5]}", file=sys.stderr
        )
    answered = sum(traffic.outcomes.values()) == traffic.started
    return (
        0
        if drained and answered and not traffic.failures and not repeated
        else EXIT_CALLS_FAILED
    )


def run() -> None:
    """Entry point of jayswitch-demo."""
    app.run(main)


if __name__ == "__main__":
    run()
