"""Evaluates a version on trial by the responses of one of its upstreams."""

from __future__ import annotations

from collections import deque

import msgspec

from jayswitch.fleet.records import VersionCounts

# Number of latest responses that are evaluated, per route and over all routes.
ROUTE_WINDOW = 12
OVERALL_WINDOW = 24
# A version is bad from this many failures, if they are also at least this share of
# the window. Both limits are raised by the failures of the proved version, for
# example when calls that both versions make are refused. A sound upstream of either
# reference deployment fails at most 4 in 1000 requests.
MIN_BAD_RESPONSES = 3
MIN_BAD_SHARE = 0.2
# A response is slow above this multiple of the proved version's average latency, plus
# the extra time. A cold upstream takes about twice the average.
SLOW_FACTOR = 3.5
SLOW_EXTRA_MS = 60.0
# About 1 in 100 responses of a sound upstream is slow and 1 in 1000 is twice as slow.
# Four slow responses therefore weigh as much as three failures.
SLOW_RESPONSE_WEIGHT = 0.75
VERY_SLOW_FACTOR = 2.0
# Upstreams of one service differ in speed, up to twice the average latency. The speed
# of an upstream is estimated from a low quantile of its latencies: in most
# distributions 30 % of the responses take less than 0.6 of the average.
SPEED_QUANTILE = 0.3
SPEED_QUANTILE_RATIO = 0.6
MAX_SLOWDOWN = 2.0
MIN_RESPONSES_FOR_SLOWDOWN = 8
# Smoothing factors of the proved version's moving averages, which span about 20
# responses for latency and 10 for failures.
LATENCY_SMOOTHING = 0.05
FAILURES_SMOOTHING = 0.1


class RouteAverages(msgspec.Struct, frozen=True):
    """Moving averages of the proved version on a route, as seen by one sender.

    latency_ms is 0 if unknown; failures is the share of failed responses.
    """

    latency_ms: float = 0.0
    failures: float = 0.0

    def updated(self, failed: bool, latency_ms: float) -> RouteAverages:
        """Returns the moving averages after one more response."""
        failures = self.failures + (float(failed) - self.failures) * FAILURES_SMOOTHING
        if failed:
            return RouteAverages(self.latency_ms, failures)
        average_ms = self.latency_ms or latency_ms
        return RouteAverages(
            average_ms + (latency_ms - average_ms) * LATENCY_SMOOTHING, failures
        )


class TrialEvaluator:
    """Counts good and bad responses of an upstream; decides if its version is bad."""

    __slots__ = ("_by_route", "_overall", "_latency_ratios", "counts", "reason")

    def __init__(self) -> None:
        """Starts without responses."""
        self.counts = VersionCounts()
        self.reason = ""
        self._overall: deque[float] = deque(maxlen=OVERALL_WINDOW)
        self._by_route: dict[str, deque[float]] = {}
        self._latency_ratios: deque[float] = deque(maxlen=OVERALL_WINDOW)

    @property
    def is_bad(self) -> bool:
        """Returns whether the version has been found bad; the result is final."""
        return bool(self.reason)

    def observe(
        self, route: str, failed: bool, latency_ms: float, expected: RouteAverages
    ) -> None:
        """Evaluates one response against the proved version's averages on the route."""
        min_bad_share = MIN_BAD_SHARE + expected.failures
        min_bad_responses = MIN_BAD_RESPONSES + int(expected.failures * OVERALL_WINDOW)
        weight = (
            1.0 if failed else self._slowness_weight(latency_ms, expected.latency_ms)
        )
        if weight:
            self.counts.bad += 1
        else:
            self.counts.good += 1
        window = self._by_route.setdefault(route, deque(maxlen=ROUTE_WINDOW))
        for weights, name in ((window, route), (self._overall, "all routes")):
            weights.append(weight)
            total_weight = sum(weights)
            if (
                total_weight >= min_bad_responses
                and total_weight >= min_bad_share * len(weights)
            ):
                kind = "failed" if failed else "slow"
                bad = sum(each > 0 for each in weights)
                self.reason = (
                    f"{bad} of {len(weights)} answers bad on {name}, last {kind}"
                )
                return

    def _slowness_weight(self, latency_ms: float, expected_ms: float) -> float:
        """Returns the weight of a response's latency against the version, 0 to 1."""
        if expected_ms <= 0:
            return 0.0
        limit_ms = expected_ms * SLOW_FACTOR * self._slowdown() + SLOW_EXTRA_MS
        self._latency_ratios.append(latency_ms / expected_ms)
        if latency_ms <= limit_ms:
            return 0.0
        return 1.0 if latency_ms > limit_ms * VERY_SLOW_FACTOR else SLOW_RESPONSE_WEIGHT

    def _slowdown(self) -> float:
        """Returns this upstream's own slowdown relative to the average latency."""
        if len(self._latency_ratios) < MIN_RESPONSES_FOR_SLOWDOWN:
            return 1.0
        ratio = sorted(self._latency_ratios)[
            int(len(self._latency_ratios) * SPEED_QUANTILE)
        ]
        return min(MAX_SLOWDOWN, max(1.0, ratio / SPEED_QUANTILE_RATIO))
