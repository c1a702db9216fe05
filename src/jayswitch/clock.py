"""Clocks with millisecond units, in real and in virtual time."""

from __future__ import annotations

import time

import eventlet
from eventlet import hubs

MS_PER_S = 1000.0


class Clock:
    """Monotonic time of the event loop, wall-clock time and cooperative sleep."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds, with an arbitrary origin."""
        return hubs.get_hub().clock() * MS_PER_S

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return int(time.time() * MS_PER_S)

    def min_process_age_ms(self) -> float:
        """Returns a lower bound on the age of this process.

        This is the CPU time used, as no clock reports when a process was started.
        """
        return time.process_time() * MS_PER_S

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the current task for the given time."""
        eventlet.sleep(max(0.0, duration_ms) / MS_PER_S)


class VirtualClock(Clock):
    """Derives wall time from the event loop, so that scenarios are deterministic."""

    __slots__ = ("_epoch_ms",)

    def __init__(self, epoch_ms: int = 1_800_000_000_000) -> None:
        """Takes the wall time that corresponds to time zero of the event loop."""
        self._epoch_ms = epoch_ms

    def min_process_age_ms(self) -> float:
        """Returns zero, because CPU time would make scenarios non-deterministic."""
        return 0.0

    def wall_ms(self) -> int:
        """Returns the epoch plus the elapsed virtual time."""
        return self._epoch_ms + int(self.now_ms())
