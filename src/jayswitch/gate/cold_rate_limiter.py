"""Limits the rate at which calls are sent to a cold upstream."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# Slightly more than a second, because network delay varies between requests.
WINDOW_MS = 1050.0
# Calls that an earlier process is assumed to have sent; more than any service's cold
# rate, so that they exhaust the window.
RESERVED_CALLS = 1000
# Share of the setting cold_slack that is used. The rest covers varying network delay
# and requests that are in flight when the upstream becomes cold, which count too.
COLD_SLACK_SHARE = 0.5


class ColdRateAllowance:
    """Allowance by which calls to a cold upstream may exceed its stated rate."""

    __slots__ = ("_factor", "_slack")

    def __init__(self, factor: float = 1.0, slack: float = 0.0) -> None:
        """Takes a factor on the rate and additional calls per second."""
        self._factor = factor
        self._slack = slack

    def calls_per_s(self, stated_per_s: float) -> float:
        """Returns the number of calls per second that a cold upstream may get."""
        return stated_per_s * self._factor + self._slack * COLD_SLACK_SHARE


class ColdRateLimiter:
    """Sliding-window rate limit for calls to one upstream while it is cold.

    per_s is the number of calls that may be sent to a cold upstream per second; it is
    rounded down, but to 1 at least.

    Calls are recorded while the upstream is warm too, so that those of the last
    second count when it becomes cold.
    """

    __slots__ = ("_clock", "_cold_until_ms", "_started_ms", "per_s")

    def __init__(self, clock: Clock, per_s: float = 1.0) -> None:
        """Starts in the warm state with an empty window."""
        self.per_s = per_s
        self._clock = clock
        self._cold_until_ms = float("-inf")
        self._started_ms: deque[float] = deque()

    @property
    def is_cold(self) -> bool:
        """Returns whether the upstream is known to be cold."""
        return self._clock.now_ms() < self._cold_until_ms

    def set_cold(self, left_ms: float) -> None:
        """Sets how long the upstream stays cold."""
        self._cold_until_ms = self._clock.now_ms() + left_ms

    def take(self) -> float:
        """Records a call and returns 0, or returns the delay before it may be sent.

        The delay is in milliseconds; a call that must wait is not recorded.
        """
        delay_ms = self.delay_ms()
        if delay_ms <= 0:
            self._started_ms.append(self._clock.now_ms())
        return delay_ms

    def delay_ms(self) -> float:
        """Returns the delay before the next call may be sent to a cold upstream."""
        now_ms = self._clock.now_ms()
        started = self._started_ms
        while started and started[0] <= now_ms - WINDOW_MS:
            started.popleft()
        max_calls = max(1, int(self.per_s))
        if self.is_cold and len(started) >= max_calls:
            return max(1.0, started[-max_calls] + WINDOW_MS - now_ms)
        return 0.0

    def reserve_window(self) -> None:
        """Fills the window with calls that an earlier process may have sent.

        That process ended before this one started, so the calls are dated to the
        latest time at which it can have ended.
        """
        ended_ms = self._clock.now_ms() - self._clock.min_process_age_ms()
        self._started_ms.extend([ended_ms] * RESERVED_CALLS)
