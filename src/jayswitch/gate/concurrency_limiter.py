"""Adaptive concurrency limit, adjusted by the outcomes of calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# Share of the slots with which a ramp starts.
INITIAL_LIMIT_SHARE = 0.1
GROWTH_PER_SUCCESS = 1.0
DECREASE_FACTOR = 0.6
MIN_DECREASE_INTERVAL_MS = 200.0
# Weight of one response in the moving average of the share of errors.
ERROR_WEIGHT = 0.1
MAX_ERROR_SHARE = 0.3
# A response is slow above this multiple of its route's baseline.
SLOW_RATIO = 2.0
SLOW_FLOOR_MS = 2.0
MIN_CONSECUTIVE_SLOW = 6
BASELINE_WEIGHT = 0.02
BASELINE_MIN_SAMPLES = 30


class RouteLatency:
    """Baseline latency of one route and the number of consecutive slow responses."""

    __slots__ = ("baseline_ms", "samples", "slow_in_row")

    def __init__(self) -> None:
        """Starts without a baseline."""
        self.baseline_ms = 0.0
        self.samples = 0
        self.slow_in_row = 0

    def observe(self, latency_ms: float) -> bool:
        """Records a response; returns whether enough consecutive ones were slow.

        Slow responses do not change the baseline.
        """
        known = self.samples >= BASELINE_MIN_SAMPLES
        bound_ms = max(self.baseline_ms * SLOW_RATIO, SLOW_FLOOR_MS)
        if known and latency_ms > bound_ms:
            self.slow_in_row += 1
            return self.slow_in_row >= MIN_CONSECUTIVE_SLOW
        self.slow_in_row = 0
        self.samples += 1
        weight = max(BASELINE_WEIGHT, 1.0 / self.samples)
        self.baseline_ms += (latency_ms - self.baseline_ms) * weight
        return False


class ConcurrencyLimiter:
    """Concurrency limit that ramps up a cold upstream and backs off on overload.

    The limit grows only on success and no faster than the warm-up time allows.
    Shed requests and failures reduce it, and so do consecutive slow responses
    during a ramp. At full limit these indicate that the upstream has become cold
    again and restart the ramp.
    """

    __slots__ = (
        "_clock",
        "_error_share",
        "_latency_by_route",
        "_limit",
        "_ramp_from",
        "_ramp_started_ms",
        "_last_decrease_ms",
        "_slots",
        "_warm_up_ms",
        "cold_starts",
    )

    def __init__(self, slots: int, warm_up_ms: float, clock: Clock) -> None:
        """Starts cold; the limit never exceeds the number of slots."""
        self.cold_starts = 0
        self._clock = clock
        self._slots = max(1, slots)
        self._warm_up_ms = warm_up_ms
        self._latency_by_route: dict[str, RouteLatency] = {}
        self._last_decrease_ms = float("-inf")
        self._error_share = 0.0
        self.restart_ramp()

    @property
    def limit(self) -> int:
        """Returns the number of calls that may run concurrently, at least 1."""
        return max(1, int(min(self._limit, self._ceiling())))

    @property
    def is_warming_up(self) -> bool:
        """Returns whether the warm-up time of the current ramp has not yet elapsed."""
        return self._ceiling() < self._slots

    @property
    def is_ramping(self) -> bool:
        """Returns whether the limit is below the number of slots."""
        return self.limit < self._slots

    def restart_ramp(self) -> None:
        """Restarts the ramp from the limit for a cold upstream."""
        self.cold_starts += 1
        self._limit = max(1.0, INITIAL_LIMIT_SHARE * self._slots)
        self._ramp_from = self._limit
        self._ramp_started_ms = self._clock.now_ms()

    def on_success(self, route: str, latency_ms: float, in_flight: int) -> None:
        """Updates the limit after a complete response; in_flight includes the call."""
        latency = self._latency_by_route.setdefault(route, RouteLatency())
        if latency.observe(latency_ms):
            latency.slow_in_row = 0
            if not self.is_ramping:
                self.restart_ramp()
            else:
                self.on_overload()
            return
        if 2 * in_flight >= self._limit:
            grown = self._limit + GROWTH_PER_SUCCESS / self._limit
            self._limit = min(grown, self._ceiling())

    def on_status(self, failed: bool) -> None:
        """Updates the error share and reduces the limit if it is too high."""
        self._error_share += (float(failed) - self._error_share) * ERROR_WEIGHT
        if failed and self._error_share > MAX_ERROR_SHARE:
            self.on_overload()

    def on_overload(self) -> None:
        """Reduces the limit after a shed, failed or slow call; ramps up from there.

        Has no effect within MIN_DECREASE_INTERVAL_MS of the last reduction.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_decrease_ms < MIN_DECREASE_INTERVAL_MS:
            return
        self._last_decrease_ms = now_ms
        self._limit = max(1.0, min(self._limit, self.limit) * DECREASE_FACTOR)
        self._ramp_from = self._limit
        self._ramp_started_ms = now_ms

    def _ceiling(self) -> float:
        if self._warm_up_ms <= 0:
            return float(self._slots)
        elapsed_ms = self._clock.now_ms() - self._ramp_started_ms
        progress = min(1.0, elapsed_ms / self._warm_up_ms)
        return self._ramp_from + (self._slots - self._ramp_from) * progress
