"""Compares a new version with the old one over the same intervals, per route."""

from __future__ import annotations

import math
from collections import deque

from jayswitch.rollout.outcomes import LATENCY_BUCKETS, RouteOutcomes

# Natural logarithm of a likelihood ratio of about 1000 to 1.
BAD_SCORE = 6.9
ERROR_RATE_FLOOR = 0.005
ERROR_RATE_RAISED_FACTOR = 3.0
ERROR_RATE_RAISED_BY = 0.03
SLOW_RATE_FLOOR = 0.05
SLOW_RATE_RAISED_FACTOR = 3.0
SLOW_RATE_RAISED_BY = 0.20
RATE_CEILING = 0.95
SLOW_QUANTILE = 0.95
SLOW_EXTRA_BUCKETS = 1
MIN_OLD_LATENCY_SAMPLES = 20
# Weight of the long-term rate in the estimate of the recent one, in calls.
PRIOR_CALLS = 1.0
MIN_RECENT_OLD_CALLS = 3.0
MIN_STEP_CALLS = 40
MIN_STEP_ROUTE_CALLS = 5
BUSY_ROUTE_CALLS = 20
# Factors by which older counts are reduced at each interval.
HISTORY_DECAY = 0.98
RECENT_DECAY = 0.8
DEVIATIONS_WITH_RECENT_HITS = 2.0


class RateCusum:
    """A cumulative-sum (CUSUM) test of a rate against that of the old version.

    The score grows while the new version's rate looks raised and falls back to zero
    otherwise, so that a version that turns bad late is detected as quickly as one
    that is bad from the start.
    """

    __slots__ = (
        "_raised_factor",
        "_floor",
        "_old_calls",
        "_old_hits",
        "_recent_bounds",
        "_recent_calls",
        "_recent_hits",
        "_raised_by",
        "_delayed_counts",
        "score",
    )

    def __init__(
        self, floor: float, raised_factor: float, raised_by: float, delay: int
    ) -> None:
        """Takes the lowest assumed rate, the raised rate to detect, and the delay.

        A rate counts as raised at raised_factor times the old version's rate, or at
        raised_by above it if that is higher. The new version's counts are delayed
        by the given number of intervals, because gates report the same moment at
        different times. They are then compared with the highest rate of the old
        version during the delay.
        """
        self._delayed_counts: deque[tuple[int, int]] = deque([(0, 0)] * delay)
        self._recent_bounds: deque[float] = deque(maxlen=delay + 1)
        self.score = 0.0
        self._floor = floor
        self._raised_factor = raised_factor
        self._raised_by = raised_by
        self._old_calls = 0.0
        self._old_hits = 0.0
        self._recent_calls = 0.0
        self._recent_hits = 0.0

    @classmethod
    def for_errors(cls, delay: int) -> RateCusum:
        """Returns a test for the rate of errors."""
        return cls(
            ERROR_RATE_FLOOR, ERROR_RATE_RAISED_FACTOR, ERROR_RATE_RAISED_BY, delay
        )

    @classmethod
    def for_slow_calls(cls, delay: int) -> RateCusum:
        """Returns a test for the rate of slow calls."""
        return cls(SLOW_RATE_FLOOR, SLOW_RATE_RAISED_FACTOR, SLOW_RATE_RAISED_BY, delay)

    def observe(
        self, old_hits: int, old_calls: int, new_hits: int, new_calls: int
    ) -> None:
        """Adds the counts of both versions for one interval."""
        long_term_rate = self._long_term_rate()
        rate = min(
            RATE_CEILING,
            max(
                long_term_rate,
                self._recent_rate_bound(long_term_rate, old_hits, old_calls),
            ),
        )
        self._old_hits = self._old_hits * HISTORY_DECAY + old_hits
        self._old_calls = self._old_calls * HISTORY_DECAY + old_calls
        self._recent_bounds.append(rate)
        self._delayed_counts.append((new_hits, new_calls))
        hits, calls = self._delayed_counts.popleft()
        if self._recent_calls >= MIN_RECENT_OLD_CALLS:
            self._update_score(max(self._recent_bounds), hits, calls)

    def _update_score(self, rate: float, hits: int, calls: int) -> None:
        raised = min(
            RATE_CEILING, max(rate * self._raised_factor, rate + self._raised_by)
        )
        if raised <= rate:
            return
        gain = hits * math.log(raised / rate)
        loss = (calls - hits) * math.log((1 - raised) / (1 - rate))
        self.score = max(0.0, self.score + gain + loss)

    def _recent_rate_bound(
        self, long_term_rate: float, old_hits: int, old_calls: int
    ) -> float:
        """Returns an upper estimate of the old version's recent rate.

        The fewer recent calls there are, the higher is the estimate, so that an
        outage that affects both versions does not count against the new one.
        """
        self._recent_hits = self._recent_hits * RECENT_DECAY + old_hits
        self._recent_calls = self._recent_calls * RECENT_DECAY + old_calls
        calls = self._recent_calls + PRIOR_CALLS
        rate = (self._recent_hits + PRIOR_CALLS * long_term_rate) / calls
        deviations = DEVIATIONS_WITH_RECENT_HITS if self._recent_hits >= 1 else 1.0
        return rate + deviations * math.sqrt(rate * (1 - rate) / calls)

    def _long_term_rate(self) -> float:
        if not self._old_calls:
            return self._floor
        return max(self._floor, self._old_hits / self._old_calls)


class RouteComparison:
    """Comparison of errors and latency on one route."""

    __slots__ = ("_bad_score", "_old", "errors", "new_calls", "old_calls", "slow")

    def __init__(self, delay: int, bad_score: float) -> None:
        """Starts without observations; the delay is in intervals."""
        self._bad_score = bad_score
        self.errors = RateCusum.for_errors(delay)
        self.slow = RateCusum.for_slow_calls(delay)
        self.new_calls = 0
        self.old_calls = 0
        self._old = RouteOutcomes()

    def observe(self, old: RouteOutcomes, new: RouteOutcomes) -> None:
        """Adds the outcomes of both versions for one interval."""
        self.old_calls += old.calls
        self.new_calls += new.calls
        self.errors.observe(old.errors, old.calls, new.errors, new.calls)
        self._old.add(old)
        bound = self._slow_bucket()
        if bound is None:
            return
        old_slow, old_timed = _slower_than(old, bound)
        new_slow, new_timed = _slower_than(new, bound)
        self.slow.observe(old_slow, old_timed, new_slow, new_timed)

    def regression(self) -> str:
        """Returns a description of the regression; empty if there is none."""
        if self.errors.score >= self._bad_score:
            return f"more errors than the old version (score {self.errors.score:.1f})"
        if self.slow.score >= self._bad_score:
            return f"slower than the old version (score {self.slow.score:.1f})"
        return ""

    def _slow_bucket(self) -> int | None:
        counts = self._old.latency_counts
        total = sum(counts.values())
        if total < MIN_OLD_LATENCY_SAMPLES:
            return None
        seen = 0
        for bucket in range(LATENCY_BUCKETS):
            seen += counts.get(bucket, 0)
            if seen >= total * SLOW_QUANTILE:
                return bucket + SLOW_EXTRA_BUCKETS
        return None


def _slower_than(outcomes: RouteOutcomes, bound: int) -> tuple[int, int]:
    counts = outcomes.latency_counts
    slow = sum(count for bucket, count in counts.items() if bucket > bound)
    return slow, sum(counts.values())


class MoveComparison:
    """Comparison of both versions of a move over all routes."""

    __slots__ = (
        "_bad_score",
        "_delay",
        "_all_routes",
        "_percent",
        "_step_calls",
        "_step_calls_by_route",
        "by_route",
    )

    def __init__(self, delay: int, bad_score: float = BAD_SCORE) -> None:
        """Starts without observations.

        The delay is in intervals. bad_score is the score, the natural logarithm of a
        likelihood ratio, from which a version counts as bad.
        """
        self._delay = delay
        self._bad_score = bad_score
        self.by_route: dict[str, RouteComparison] = {}
        self._all_routes = RateCusum.for_errors(delay)
        self._percent = 0
        self._step_calls = 0
        self._step_calls_by_route: dict[str, int] = {}

    @property
    def step_calls(self) -> int:
        """Returns the number of the new version's calls since the last step."""
        return self._step_calls

    def observe(self, route: str, old: RouteOutcomes, new: RouteOutcomes) -> None:
        """Adds the outcomes of both versions on a route for one interval."""
        comparison = self.by_route.setdefault(
            route, RouteComparison(self._delay, self._bad_score)
        )
        comparison.observe(old, new)
        self._step_calls += new.calls
        earlier = self._step_calls_by_route.get(route, 0)
        self._step_calls_by_route[route] = earlier + new.calls

    def observe_overall(self, old: RouteOutcomes, new: RouteOutcomes) -> None:
        """Adds the sums over all routes for one interval.

        Errors that affect every route show sooner in the sum. Latencies are not
        compared there, because they differ between routes.
        """
        self._all_routes.observe(old.errors, old.calls, new.errors, new.calls)

    def set_percent(self, percent: int) -> None:
        """Resets the call counts of the step if the percentage has changed."""
        if percent == self._percent:
            return
        self._percent = percent
        self._step_calls = 0
        self._step_calls_by_route.clear()

    def regression(self) -> str:
        """Returns a description of the first regression and its route, or empty."""
        for route, comparison in sorted(self.by_route.items()):
            regression = comparison.regression()
            if regression:
                return (
                    f"route {route!r}: {regression} after {comparison.new_calls} calls"
                )
        if self._all_routes.score >= self._bad_score:
            score = self._all_routes.score
            return f"all routes: more errors than the old version (score {score:.1f})"
        return ""

    def missing_evidence(self) -> str:
        """Returns which calls are still missing at this step; empty if none are."""
        if self._step_calls < MIN_STEP_CALLS:
            return f"{self._step_calls} of {MIN_STEP_CALLS} calls seen"
        for route, comparison in sorted(self.by_route.items()):
            seen = self._step_calls_by_route.get(route, 0)
            busy = comparison.old_calls >= BUSY_ROUTE_CALLS
            if busy and seen < MIN_STEP_ROUTE_CALLS:
                return f"route {route!r}: {seen} of {MIN_STEP_ROUTE_CALLS} calls seen"
        return ""
