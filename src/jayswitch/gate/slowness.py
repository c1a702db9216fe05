"""Detects that an upstream has become much slower than the others of its service."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# Upstreams of one service differ in speed, up to twice the average latency.
SLOW_RATIO = 3.0
# A trial request that is faster than this shows that the upstream has recovered.
RECOVERED_RATIO = 2.0
# Weight of one response in the moving average. A single slow response counts as
# MAX_RATIO at most, so that two of them are needed.
SMOOTHING_FACTOR = 0.2
MAX_RATIO = 8.0
# Requests that must be overdue at the same time; so must half of the running ones.
MIN_OVERDUE = 2
# Interval between trial requests while slow; it doubles with each slow one.
MIN_TRIAL_INTERVAL_MS = 500.0
MAX_TRIAL_INTERVAL_MS = 2000.0
# Requests that may not be repeated serve as trials only if there have been no others
# for this time.
UNSAFE_TRIAL_DELAY_MS = 2000.0


logger = logging.getLogger(__name__)


class RunningRequest:
    """A request at the upstream and the latency that its sender is used to."""

    __slots__ = ("is_trial", "started_ms", "usual_ms")

    def __init__(self, started_ms: float, usual_ms: float, is_trial: bool) -> None:
        """Takes the usual latency on the request's route."""
        self.started_ms = started_ms
        self.usual_ms = usual_ms
        self.is_trial = is_trial


class SlownessDetector:
    """Compares latencies at one upstream with those that senders see elsewhere.

    Each sender of a large fleet reaches an upstream too rarely to notice in time that
    it has become slow; its gate sees all requests. Running requests count as soon as
    they are overdue, as the slowest responses come last.
    """

    __slots__ = (
        "_clock",
        "_next_trial_ms",
        "_ratio",
        "_running",
        "_trial_interval_ms",
        "_was_slow",
    )

    def __init__(self, clock: Clock) -> None:
        """Starts with an upstream that is as fast as the others."""
        self._clock = clock
        self._ratio = 1.0
        self._was_slow = False
        self._running: set[RunningRequest] = set()
        self._next_trial_ms = float("-inf")
        self._trial_interval_ms = MIN_TRIAL_INTERVAL_MS

    @property
    def latency_ratio(self) -> float:
        """Returns the moving average of latencies relative to the usual ones."""
        return self._ratio

    def expected_ms(self, usual_ms: float) -> float:
        """Returns the expected latency of a request whose usual latency is given."""
        return self._ratio * usual_ms

    @property
    def is_slow(self) -> bool:
        """Whether requests are better sent to another upstream."""
        return self._ratio >= SLOW_RATIO or self._are_many_overdue()

    def rejects(self, repeatable: bool) -> bool:
        """Returns whether a request that may go elsewhere should do so."""
        if not self.is_slow:
            return False
        delay_ms = 0.0 if repeatable else UNSAFE_TRIAL_DELAY_MS
        return self._clock.now_ms() < self._next_trial_ms + delay_ms

    def log_change(self) -> None:
        """Logs when the upstream has become slow or has recovered."""
        is_slow = self.is_slow
        if is_slow == self._was_slow:
            return
        self._was_slow = is_slow
        logger.info(
            (
                "upstream has become slower than others"
                if is_slow
                else "upstream is as fast as others again"
            ),
            extra={"latency_ratio": round(self.latency_ratio, 1)},
        )

    def start(self, usual_ms: float) -> RunningRequest | None:
        """Records a request that is sent; None if its usual latency is unknown."""
        if usual_ms <= 0:
            return None
        is_trial = self.is_slow
        now_ms = self._clock.now_ms()
        if is_trial:
            self._next_trial_ms = now_ms + self._trial_interval_ms
            self._trial_interval_ms = min(
                MAX_TRIAL_INTERVAL_MS, 2 * self._trial_interval_ms
            )
        request = RunningRequest(now_ms, usual_ms, is_trial)
        self._running.add(request)
        return request

    def finish(self, request: RunningRequest | None, counts: bool) -> None:
        """Records the end of a request; its latency counts if it has run to the end."""
        if request is None:
            return
        self._running.discard(request)
        ratio = self._ratio_so_far(request)
        if not counts:
            return
        if request.is_trial and ratio < RECOVERED_RATIO:
            self._ratio = ratio
            self._trial_interval_ms = MIN_TRIAL_INTERVAL_MS
        else:
            ratio = min(MAX_RATIO, ratio)
            self._ratio += (ratio - self._ratio) * SMOOTHING_FACTOR

    def _are_many_overdue(self) -> bool:
        overdue = sum(self._ratio_so_far(r) >= SLOW_RATIO for r in self._running)
        return overdue >= MIN_OVERDUE and 2 * overdue >= len(self._running)

    def _ratio_so_far(self, request: RunningRequest) -> float:
        return (self._clock.now_ms() - request.started_ms) / request.usual_ms
