"""Circuit breaker of a gate, for upstreams that break off every response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# Broken responses in a row that open the breaker. An upstream that loses two responses
# in five, which is still of use, reaches this in one of a hundred cases.
OPEN_AFTER_FAILURES = 5
# Interval between trial requests while open; it doubles with each that fails.
MIN_TRIAL_INTERVAL_MS = 250.0
MAX_TRIAL_INTERVAL_MS = 1000.0


class CircuitBreaker:
    """Stops requests to an upstream that has broken off several responses in a row.

    Such an upstream fails faster than others respond, so it looks idle and attracts
    load. Its health check may succeed all the same. While the breaker is open, single
    requests that may be repeated try whether it responds again.
    """

    __slots__ = ("_clock", "_failures_in_row", "_next_trial_ms")

    def __init__(self, clock: Clock) -> None:
        """Starts closed."""
        self._clock = clock
        self._failures_in_row = 0
        self._next_trial_ms = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether only trial requests are admitted."""
        return self._failures_in_row >= OPEN_AFTER_FAILURES

    @property
    def retry_after_ms(self) -> float:
        """Returns the time until the next trial request."""
        return max(0.0, self._next_trial_ms - self._clock.now_ms())

    def rejects(self, repeatable: bool) -> bool:
        """Returns whether a request must not be sent now."""
        return self.is_open and (not repeatable or self.retry_after_ms > 0)

    def record_start(self) -> None:
        """Records that a request is sent; while open, this is the trial request."""
        if self.is_open:
            self._next_trial_ms = self._clock.now_ms() + self._trial_interval_ms()

    def record_success(self) -> bool:
        """Records a complete response; returns whether it closed the breaker."""
        was_open = self.is_open
        self._failures_in_row = 0
        return was_open

    def record_failure(self) -> bool:
        """Records a broken response; returns whether it opened the breaker."""
        was_open = self.is_open
        self._failures_in_row += 1
        if self.is_open:
            self._next_trial_ms = self._clock.now_ms() + self._trial_interval_ms()
        return self.is_open and not was_open

    def _trial_interval_ms(self) -> float:
        doublings = min(2, self._failures_in_row - OPEN_AFTER_FAILURES)
        return min(MAX_TRIAL_INTERVAL_MS, MIN_TRIAL_INTERVAL_MS * 2**doublings)
