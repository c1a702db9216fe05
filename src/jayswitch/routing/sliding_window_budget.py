"""A proxy's share of a retry budget for the whole fleet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from jayswitch.clock import MS_PER_S

if TYPE_CHECKING:
    from jayswitch.clock import Clock

BUCKET_MS = 500.0
# A retried request repeats its nested calls, which count as retries at the services
# that they reach, so a proxy spends only half of what its own requests allow.
SHARE_OF_RATIO = 0.5
SHARE_OF_SLACK = 0.5


class SlidingWindowRetryBudget:
    """Limits retries relative to requests within a sliding window.

    A proxy spends the retries allowed by its own requests and an equal share of the
    slack, so the fleet's limit holds even if proxies cannot reach each other.
    """

    __slots__ = ("_buckets", "_clock", "_ratio", "_slack", "_window_ms")

    def __init__(
        self, ratio: float, slack: float, window_s: float, clock: Clock
    ) -> None:
        """Takes the limits of the whole fleet; the window is in seconds."""
        self._ratio = ratio * SHARE_OF_RATIO
        self._slack = slack * SHARE_OF_SLACK
        self._window_ms = window_s * MS_PER_S
        self._clock = clock
        # Start of the bucket, requests, retries.
        self._buckets: deque[list[float]] = deque()

    def record_request(self) -> None:
        """Counts a request from a caller."""
        self._bucket()[1] += 1

    def allows_retry(self, fleet_size: int) -> bool:
        """Returns whether a retry would be allowed."""
        self._bucket()
        requests = sum(bucket[1] for bucket in self._buckets)
        retries = sum(bucket[2] for bucket in self._buckets)
        allowed = requests * self._ratio + self._slack / max(1, fleet_size)
        return retries + 1 <= allowed

    def take(self, fleet_size: int) -> bool:
        """Counts a retry if the budget allows one."""
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
