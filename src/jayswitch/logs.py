"""Structured logging: one JSON object per line."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import eventlet
from pythonjsonlogger.msgspec import MsgspecFormatter

from jayswitch.clock import MS_PER_S

if TYPE_CHECKING:
    from jayswitch.clock import Clock

ROOT_LOGGER = "jayswitch"
# Lines for single requests: about twice what a node writes at the heaviest load of
# either deployment; what exceeds it is counted.
REQUEST_LOG_LINES_PER_S = 400.0
REQUEST_LOG_LINES_BURST = 800.0
# Held while the reader of the log is slow; further lines are counted.
MAX_BUFFER_BYTES = 256 * 1024
# Lines of one moment are written with one call; a killed process loses this much.
FLUSH_DELAY_MS = 50.0
STDOUT_DESCRIPTOR = 1


def configure_logging(level: str, vm: str) -> None:
    """Sends JSON lines of at least the level to standard error."""
    _install(logging.StreamHandler(sys.stderr), level, vm)


def configure_bounded_logging(level: str, vm: str, clock: Clock) -> BoundedLogHandler:
    """Sends JSON lines to standard output, without ever waiting for its reader."""
    os.set_blocking(STDOUT_DESCRIPTOR, False)
    _disable_unused_record_fields()
    handler = BoundedLogHandler(STDOUT_DESCRIPTOR, clock)
    _install(handler, level, vm)
    return handler


def _disable_unused_record_fields() -> None:
    """Leaves out of each record what no line shows; it costs system calls."""
    logging.logProcesses = False
    logging.logThreads = False
    logging.logMultiprocessing = False
    # The documented way to leave out the caller's file and line.
    logging._srcfile = None


class BoundedLogHandler(logging.Handler):
    """Writes lines to a descriptor that does not block, and counts dropped ones.

    Lines that carry a request id are bounded in number each second; lines of other
    decisions are dropped only when the buffer is full.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Takes a descriptor in non-blocking mode."""
        super().__init__()
        self.counts: Counter[str] = Counter()
        self._descriptor = descriptor
        self._clock = clock
        self._pending = b""
        self._flush_planned = False
        self._tokens = REQUEST_LOG_LINES_BURST
        self._refilled_ms = clock.now_ms()

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or counts it as dropped."""
        is_request = hasattr(record, "request_id")
        if is_request and not self._take_token():
            self.counts["dropped_over_rate"] += 1
            return
        line = (self.format(record) + "\n").encode()
        if len(self._pending) + len(line) > MAX_BUFFER_BYTES:
            self.counts["dropped_slow_reader"] += 1
            return
        self._pending += line
        self.counts["lines"] += 1
        self.counts["bytes"] += len(line)
        if not self._flush_planned:
            self._flush_planned = True
            eventlet.spawn_after(FLUSH_DELAY_MS / MS_PER_S, self.flush)

    def flush(self) -> None:
        """Writes what is held, as far as the reader takes it."""
        self._flush_planned = False
        self._write()

    def _write(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Without a reader there is nowhere to report to.
            self.counts["write_errors"] += 1
            written = len(self._pending)
        self._pending = self._pending[written:]

    def _take_token(self) -> bool:
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._refilled_ms) / MS_PER_S * REQUEST_LOG_LINES_PER_S
        self._tokens = min(REQUEST_LOG_LINES_BURST, self._tokens + refilled)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _CachedTimeFormatter(MsgspecFormatter):
    """Formats the time of day once for all lines of a second."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._cached_second = -1
        self._cached_text = ""

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Returns local time with milliseconds."""
        second = int(record.created)
        if second != self._cached_second:
            self._cached_second = second
            self._cached_text = time.strftime(
                "%Y-%m-%d %H:%M:%S", time.localtime(second)
            )
        return f"{self._cached_text},{int(record.msecs):03d}"


def _install(handler: logging.Handler, level: str, vm: str) -> None:
    formatter = _CachedTimeFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"vm": vm},
    )
    handler.setFormatter(formatter)
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
