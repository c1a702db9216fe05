"""Daemon that runs one proxy with the settings file provided by the platform."""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare(nng=False)

import logging  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import eventlet  # noqa: E402
from eventlet.event import Event  # noqa: E402
from returns.result import Failure, Success  # noqa: E402

from jayswitch.clock import Clock  # noqa: E402
from jayswitch.logs import configure_bounded_logging  # noqa: E402
from jayswitch.platform.factory import start_proxy  # noqa: E402
from jayswitch.platform.settings import settings_path  # noqa: E402
from jayswitch.proxy.generated import ProxySettings  # noqa: E402
from jayswitch.settings.loader import read_settings  # noqa: E402

EXIT_INVALID_SETTINGS = 2
EXIT_DRAIN_INCOMPLETE = 4

logger = logging.getLogger(__name__)


def main(argv: list[str]) -> int:
    """Runs the proxy until SIGTERM or SIGINT; argv may name a settings file."""
    path = argv[1] if len(argv) > 1 else settings_path()
    match read_settings(path, ProxySettings):
        case Failure(error):
            print(f"jayswitch: {error}", file=sys.stderr)
            return EXIT_INVALID_SETTINGS
        case Success(settings):
            pass
    clock = Clock()
    logs = configure_bounded_logging(settings.log_level, settings.vm, clock)
    stopping = Event()

    def request_stop(*_: object) -> None:
        if not stopping.ready():
            eventlet.spawn_after(0, stopping.send)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    signal.signal(
        signal.SIGHUP,
        lambda *_: logger.info("received SIGHUP; settings are read only at start-up"),
    )
    process = start_proxy(settings, clock, logs)
    runtime.tune_garbage_collection()
    stopping.wait()
    drained = process.stop()
    logs.flush()
    return 0 if drained else EXIT_DRAIN_INCOMPLETE


if __name__ == "__main__":
    sys.exit(main(sys.argv))
