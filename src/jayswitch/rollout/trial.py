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

    __slots__ = ("_by_route", "_overall", "counts", "reason")

    def __init__(self) -> None:
        """Starts without answers."""
        self.counts = VersionCounts()
        self.reason = ""
        self._overall: deque[bool] = deque(maxlen=OVERALL_WINDOW)
        self._by_route: dict[str, deque[bool]] = {}

    @property
    def is_bad(self) -> bool:
        """Tells whether the version has been found bad; that is final."""
        return bool(self.reason)

    def observe(
        self, route: str, failed: bool, latency_ms: float, usual: Usual
    ) -> None:
        """Takes one answer and what the proved version usually does on the route."""
        usual_ms = usual.latency_ms
        bad_share = BAD_SHARE + usual.failures
        min_bad = MIN_BAD + int(usual.failures * OVERALL_WINDOW)
        slow = usual_ms > 0 and latency_ms > usual_ms * SLOW_FACTOR + SLOW_EXTRA_MS
        bad = failed or slow
        if bad:
            self.counts.bad += 1
        else:
            self.counts.good += 1
        window = self._by_route.setdefault(route, deque(maxlen=ROUTE_WINDOW))
        for answers, name in ((window, route), (self._overall, "all routes")):
            answers.append(bad)
            found = sum(answers)
            if found >= min_bad and found >= bad_share * len(answers):
                kind = "slow" if slow else "failed"
                self.reason = (
                    f"{found} of {len(answers)} answers bad on {name}, last {kind}"
                )
                return
