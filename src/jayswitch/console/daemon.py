"""jayswitchd, the daemon that runs one node."""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare()

import signal  # noqa: E402
import sys  # noqa: E402

import eventlet  # noqa: E402
from absl import app, flags  # noqa: E402
from eventlet.event import Event  # noqa: E402
from returns.result import Failure, Success  # noqa: E402

from jayswitch.logs import configure_logging  # noqa: E402
from jayswitch.node.process import NodeProcess  # noqa: E402
from jayswitch.settings.loader import load_settings  # noqa: E402

FLAGS = flags.FLAGS

flags.DEFINE_string("settings", "", "Path of the settings file (YAML).")

EXIT_INVALID_SETTINGS = 2
EXIT_BIND_FAILED = 3
EXIT_DRAIN_INCOMPLETE = 4


def main(argv: list[str]) -> int:
    """Runs the node until SIGTERM or SIGINT."""
    match load_settings(FLAGS.settings):
        case Failure(error):
            print(f"jayswitchd: {error}", file=sys.stderr)
            return EXIT_INVALID_SETTINGS
        case Success(settings):
            pass
    configure_logging(settings.log_level, settings.vm)
    stopping = Event()

    def request_stop(*_: object) -> None:
        if not stopping.ready():
            eventlet.spawn_after(0, stopping.send)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    try:
        process = NodeProcess.from_settings(settings)
    except Exception as error:
        print(
            f"jayswitchd: cannot listen on {settings.bind_ip}: {error};"
            " check bind_ip and the four ports, or stop the process that uses them",
            file=sys.stderr,
        )
        return EXIT_BIND_FAILED
    process.start()
    runtime.tune_garbage_collection()
    stopping.wait()
    return 0 if process.stop() else EXIT_DRAIN_INCOMPLETE


def run() -> None:
    """Entry point of jayswitchd."""
    app.run(main)


if __name__ == "__main__":
    run()
