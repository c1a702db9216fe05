"""The event loop of every process: eventlet's poll hub without needless wake-ups."""

from __future__ import annotations

import heapq
import math

from eventlet.hubs import poll

from jayswitch.clock import MS_PER_S


class LowWakeupHub(poll.Hub):
    """Wakes only for timers that are due and still wanted.

    The library rounds waits down to whole milliseconds, so that it polls without
    waiting during the last one, and wakes for every timer that was cancelled. Each
    request cancels several.
    """

    @staticmethod
    def is_available() -> bool:
        """Tells eventlet that the hub can be used here."""
        return poll.is_available()

    def do_poll(self, seconds: float) -> list[tuple[int, int]]:
        """Waits for events, never less than until the next timer is due."""
        return self.poll.poll(math.ceil(seconds * MS_PER_S))

    def sleep_until(self) -> float | None:
        """Returns when the next timer is due; None without one."""
        timers = self.timers
        while timers and timers[0][1].called:
            heapq.heappop(timers)
            self.timers_canceled -= 1
        return timers[0][0] if timers else None
