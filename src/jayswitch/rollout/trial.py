"""Judges a version on trial from the answers of one of its upstreams."""

from __future__ import annotations

from collections import deque

import msgspec

from jayswitch.fleet.records import VersionCounts

# Answers that the verdict looks back on, for each route and for all of them.
ROUTE_WINDOW = 12
OVERALL_WINDOW = 24
# Failures that make a version bad where they are at least BAD_SHARE of the window,
# beyond those of the proved version, as when calls that both make are refused.
# An upstream of either deployment fails at most 4 in 1000 requests by itself.
MIN_BAD = 3
BAD_SHARE = 0.2
# An answer is slow from this multiple of the proved version's usual latency; a
# cold upstream takes about twice as long.
SLOW_FACTOR = 3.5
SLOW_EXTRA_MS = 60.0
# About one answer in a hundred of a sound upstream is that slow, and one in a thousand
# twice as slow: four of the former say as much as three failures.
SLOW_EVIDENCE = 0.75
VERY_SLOW = 2.0
# Upstreams of one service differ in speed, up to twice the usual latency. What the
# faster answers of an upstream take tells its speed: in most distributions three in
# ten take less than this part of the average.
FASTER_PART = 0.3
FASTER_USUAL = 0.6
SLOWEST_SPEED = 2.0
ANSWERS_FOR_SPEED = 8
# Moving averages of the proved version: over about 20 and 10 answers.
LATENCY_WEIGHT = 0.05
FAILURES_WEIGHT = 0.1


class Usual(msgspec.Struct, frozen=True):
    """What the proved version does on a route, as one sender has seen it.

    latency_ms is 0 where it is not known; failures is a share of the answers.
    """

    latency_ms: float = 0.0
    failures: float = 0.0

    def after(self, failed: bool, latency_ms: float) -> Usual:
        """Returns the moving averages with one more answer."""
        failures = self.failures + (float(failed) - self.failures) * FAILURES_WEIGHT
        if failed:
            return Usual(self.latency_ms, failures)
        known_ms = self.latency_ms or latency_ms
        return Usual(known_ms + (latency_ms - known_ms) * LATENCY_WEIGHT, failures)


class TrialJudge:
    """Counts good and bad answers of an upstream and finds a version bad."""

    __slots__ = ("_by_route", "_overall", "_ratios", "counts", "reason")

    def __init__(self) -> None:
        """Starts without answers."""
        self.counts = VersionCounts()
        self.reason = ""
        self._overall: deque[float] = deque(maxlen=OVERALL_WINDOW)
        self._by_route: dict[str, deque[float]] = {}
        self._ratios: deque[float] = deque(maxlen=OVERALL_WINDOW)

    @property
    def is_bad(self) -> bool:
        """Tells whether the version has been found bad; that is final."""
        return bool(self.reason)

    def observe(
        self, route: str, failed: bool, latency_ms: float, usual: Usual
    ) -> None:
        """Takes one answer and what the proved version usually does on the route."""
        bad_share = BAD_SHARE + usual.failures
        min_bad = MIN_BAD + int(usual.failures * OVERALL_WINDOW)
        evidence = 1.0 if failed else self._slowness(latency_ms, usual.latency_ms)
        if evidence:
            self.counts.bad += 1
        else:
            self.counts.good += 1
        window = self._by_route.setdefault(route, deque(maxlen=ROUTE_WINDOW))
        for answers, name in ((window, route), (self._overall, "all routes")):
            answers.append(evidence)
            found = sum(answers)
            if found >= min_bad and found >= bad_share * len(answers):
                kind = "failed" if failed else "slow"
                bad = sum(answer > 0 for answer in answers)
                self.reason = (
                    f"{bad} of {len(answers)} answers bad on {name}, last {kind}"
                )
                return

    def _slowness(self, latency_ms: float, usual_ms: float) -> float:
        """Returns what one answer's latency says against the version, 0 to 1."""
        if usual_ms <= 0:
            return 0.0
        limit_ms = usual_ms * SLOW_FACTOR * self._speed() + SLOW_EXTRA_MS
        self._ratios.append(latency_ms / usual_ms)
        if latency_ms <= limit_ms:
            return 0.0
        return 1.0 if latency_ms > limit_ms * VERY_SLOW else SLOW_EVIDENCE

    def _speed(self) -> float:
        """Returns how much longer than usual this upstream takes by itself."""
        if len(self._ratios) < ANSWERS_FOR_SPEED:
            return 1.0
        faster = sorted(self._ratios)[int(len(self._ratios) * FASTER_PART)]
        return min(SLOWEST_SPEED, max(1.0, faster / FASTER_USUAL))
