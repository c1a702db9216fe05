"""A proxy's part of a retry budget that the whole fleet shares."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from jayswitch.clock import MS_PER_S

if TYPE_CHECKING:
    from jayswitch.clock import Clock

BUCKET_MS = 500.0
# Calls that a repeated run makes count as repeats where they arrive, so that a
# proxy spends only half of what its own requests allow.
SHARE_OF_RATIO = 0.5
SHARE_OF_SLACK = 0.5


class SlidingWindowRetryBudget:
    """Repeats against requests in a sliding window.

    A proxy spends what its own requests have earned and an equal part of the slack,
    so that the sum holds while proxies cannot reach each other.
    """

    __slots__ = ("_buckets", "_clock", "_ratio", "_slack", "_window_ms")

    def __init__(
        self, ratio: float, slack: float, window_s: float, clock: Clock
    ) -> None:
        """Takes the fleet's bounds; the window is in seconds."""
        self._ratio = ratio * SHARE_OF_RATIO
        self._slack = slack * SHARE_OF_SLACK
        self._window_ms = window_s * MS_PER_S
        self._clock = clock
        # Start of the bucket, requests, repeats.
        self._buckets: deque[list[float]] = deque()

    def record_request(self) -> None:
        """Counts a request that callers made."""
        self._bucket()[1] += 1

    def allows_retry(self, fleet_size: int) -> bool:
        """Tells whether a repeat would be allowed."""
        self._bucket()
        requests = sum(bucket[1] for bucket in self._buckets)
        repeats = sum(bucket[2] for bucket in self._buckets)
        allowed = requests * self._ratio + self._slack / max(1, fleet_size)
        return repeats + 1 <= allowed

    def take(self, fleet_size: int) -> bool:
        """Counts a repeat if the budget allows one."""
        if not self.allows_retry(fleet_size):
            return False
        self._bucket()[2] += 1
        return True

    def _bucket(self) -> list[float]:
        now_ms = self._clock.now_ms()
        while self._buckets and self._buckets[0][0] <= now_ms - self._window_ms:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] <= now_ms - BUCKET_MS:
            self._buckets.append([now_ms, 0.0, 0.0])
        return self._buckets[-1]
