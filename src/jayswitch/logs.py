"""Structured logging with one JSON object per line."""

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
# Rate limit on lines with a request id: about twice the rate of a node at the highest
# load of either reference deployment. Lines above the limit are dropped and counted.
REQUEST_LOG_LINES_PER_S = 400.0
REQUEST_LOG_LINES_BURST = 800.0
# Buffer for a slow reader of the log; lines that do not fit are dropped and counted.
MAX_BUFFER_BYTES = 256 * 1024
# Batches lines into one write; a killed process loses the lines of this interval.
FLUSH_DELAY_MS = 50.0
STDOUT_DESCRIPTOR = 1


def configure_logging(level: str, vm: str) -> None:
    """Configures logging of JSON lines from the given level on to standard error."""
    _install(logging.StreamHandler(sys.stderr), level, vm)


def configure_bounded_logging(level: str, vm: str, clock: Clock) -> BoundedLogHandler:
    """Like configure_logging(), but to standard output and without ever blocking."""
    os.set_blocking(STDOUT_DESCRIPTOR, False)
    _disable_unused_record_fields()
    handler = BoundedLogHandler(STDOUT_DESCRIPTOR, clock)
    _install(handler, level, vm)
    return handler


def _disable_unused_record_fields() -> None:
    """Disables record fields that no line contains; collecting them costs syscalls."""
    logging.logProcesses = False
    logging.logThreads = False
    logging.logMultiprocessing = False
    # The documented way to disable the lookup of the calling file and line.
    logging._srcfile = None


class BoundedLogHandler(logging.Handler):
    """Writes lines to a non-blocking descriptor; drops and counts excess lines.

    Lines with a request id are rate limited; all other lines are dropped only when the
    buffer is full.
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
        """Buffers one line and schedules a flush, or counts the line as dropped."""
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
        """Writes as much of the buffer as the descriptor accepts."""
        self._flush_planned = False
        self._write()

    def _write(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and no other place remains to report the error.
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
    """Formats the time of day only once per second."""

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
