"""Bounds how many calls a cold upstream is started with in any second."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# A little over a second, because requests travel for different times.
WINDOW_MS = 1050.0
# More than any service's cold rate: what an earlier process may have sent.
MAX_CALLS_IN_WINDOW = 1000


class ColdRateLimiter:
    """A sliding window over the calls that were handed to one upstream.

    per_s is how many a cold upstream may be started with in a second.

    Every call is noted, also while the upstream is warm, so that an upstream that
    turns cold is charged for the calls of the second before.
    """

    __slots__ = ("_clock", "_cold_until_ms", "_started_ms", "per_s")

    def __init__(self, clock: Clock, per_s: float = 1.0) -> None:
        """Starts warm and without calls."""
        self.per_s = per_s
        self._clock = clock
        self._cold_until_ms = float("-inf")
        self._started_ms: deque[float] = deque()

    @property
    def is_cold(self) -> bool:
        """Tells whether the upstream is known to be cold."""
        return self._clock.now_ms() < self._cold_until_ms

    def set_cold(self, left_ms: float) -> None:
        """Takes how long the upstream says that it stays cold."""
        self._cold_until_ms = self._clock.now_ms() + left_ms

    def take(self) -> float:
        """Notes a call and returns 0, or returns how long a cold upstream must rest.

        The result is in milliseconds; a call that must wait is not noted.
        """
        delay_ms = self.delay_ms()
        if delay_ms <= 0:
            self._started_ms.append(self._clock.now_ms())
        return delay_ms

    def delay_ms(self) -> float:
        """Returns how long a cold upstream must rest before its next call."""
        now_ms = self._clock.now_ms()
        started = self._started_ms
        while started and started[0] <= now_ms - WINDOW_MS:
            started.popleft()
        most = max(1, int(self.per_s))
        if self.is_cold and len(started) >= most:
            return max(1.0, started[-most] + WINDOW_MS - now_ms)
        return 0.0

    def reserve_window(self) -> None:
        """Counts a full second's calls, sent by a process whose memory is lost.

        That process ended before this one began.
        """
        ended_ms = self._clock.now_ms() - self._clock.least_age_ms()
        self._started_ms.extend([ended_ms] * MAX_CALLS_IN_WINDOW)
