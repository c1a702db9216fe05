"""Event loop of all processes: eventlet's poll hub without unnecessary wake-ups."""

from __future__ import annotations

import heapq
import math

from eventlet.hubs import poll

from jayswitch.clock import MS_PER_S


class LowWakeupHub(poll.Hub):
    """Poll hub that wakes up only for timers that are due and not cancelled.

    Eventlet rounds waits down to whole milliseconds, so that it busy-polls during the
    last millisecond, and wakes up for every cancelled timer. Each request cancels
    several timers.
    """

    @staticmethod
    def is_available() -> bool:
        """Returns whether the platform supports poll()."""
        return poll.is_available()

    def do_poll(self, seconds: float) -> list[tuple[int, int]]:
        """Waits for events, rounding the wait up so that the next timer is due."""
        return self.poll.poll(math.ceil(seconds * MS_PER_S))

    def sleep_until(self) -> float | None:
        """Removes cancelled timers; returns when the next one is due, or None."""
        timers = self.timers
        while timers and timers[0][1].called:
            heapq.heappop(timers)
            self.timers_canceled -= 1
        return timers[0][0] if timers else None
