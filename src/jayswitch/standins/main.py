"""Runs a stand-in process: a store, or an upstream beside a node."""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare()

import signal  # noqa: E402
import sys  # noqa: E402

import eventlet  # noqa: E402
import msgspec  # noqa: E402
from absl import app, flags  # noqa: E402
from eventlet.event import Event  # noqa: E402

from jayswitch.clock import Clock  # noqa: E402
from jayswitch.gate.upstream import Announcement  # noqa: E402
from jayswitch.http.server import HttpServer  # noqa: E402
from jayswitch.standins.announcer import Announcer  # noqa: E402
from jayswitch.standins.control_app import UpstreamControlApplication  # noqa: E402
from jayswitch.standins.memory_store import MemoryStore  # noqa: E402
from jayswitch.standins.store_app import StoreApplication  # noqa: E402
from jayswitch.standins.upstream import (  # noqa: E402
    StandInUpstream,
    UpstreamBehaviour,
)

FLAGS = flags.FLAGS

flags.DEFINE_string("ip", "127.0.0.1", "IP address to listen on.")
flags.DEFINE_integer("port", 7000, "Port to listen on.")
flags.DEFINE_string("name", "upstream", "Name of the upstream.")
flags.DEFINE_string("service", "", "Service that the upstream runs.")
flags.DEFINE_string("version", "v1", "Version that the upstream runs.")
flags.DEFINE_string("admin_address", "", "Admin address of the upstream's node.")
flags.DEFINE_string("upstream_token", "", "Token that the upstream presents.")
flags.DEFINE_string("behaviour", "{}", "UpstreamBehaviour as JSON.")

USAGE = "usage: jayswitch-standins (store | upstream) [flags]"


def run_store(clock: Clock) -> None:
    """Serves an in-memory store over HTTP."""
    server = HttpServer(FLAGS.ip, FLAGS.port, StoreApplication(MemoryStore(clock)))
    server.start()
    print(f"store stand-in on {server.address}", flush=True)


def run_upstream(clock: Clock) -> None:
    """Serves an upstream and announces it to its node."""
    behaviour = msgspec.json.decode(FLAGS.behaviour, type=UpstreamBehaviour)
    upstream = StandInUpstream(FLAGS.name, FLAGS.version, behaviour, clock)
    application = UpstreamControlApplication(upstream)
    server = HttpServer(FLAGS.ip, FLAGS.port, application)
    server.start()
    announcement = Announcement(
        service=FLAGS.service,
        version=FLAGS.version,
        address=server.address,
        slots=behaviour.slots,
        connections=behaviour.connections,
    )
    announcer = Announcer(
        announcement, FLAGS.admin_address, FLAGS.upstream_token, clock
    )
    application.announcer = announcer
    announcer.start()
    print(f"upstream stand-in on {server.address}", flush=True)


def main(argv: list[str]) -> int:
    """Runs until SIGTERM or SIGINT."""
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: eventlet.spawn_after(0, stopping.send))
    runners = {"store": run_store, "upstream": run_upstream}
    if len(argv) != 2 or argv[1] not in runners:
        print(USAGE, file=sys.stderr)
        return 2
    runners[argv[1]](Clock())
    runtime.tune_garbage_collection()
    stopping.wait()
    return 0


def run() -> None:
    """Entry point of jayswitch-standins."""
    app.run(main)


if __name__ == "__main__":
    run()
