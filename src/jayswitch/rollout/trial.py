"""Judges a version on trial from the answers of one of its upstreams."""

from __future__ import annotations

from collections import deque

from jayswitch.fleet.records import VersionCounts

# Answers that the verdict looks back on, for each route and for all of them.
ROUTE_WINDOW = 12
OVERALL_WINDOW = 24
# Failures that make a version bad where they are at least BAD_SHARE of the window.
# An upstream of either deployment fails at most 4 in 1000 requests by itself.
MIN_BAD = 3
BAD_SHARE = 0.2
# An answer is slow from this multiple of the proved version's usual latency; a
# cold upstream takes about twice as long.
SLOW_FACTOR = 3.5
SLOW_EXTRA_MS = 60.0


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
        self, route: str, failed: bool, latency_ms: float, usual_ms: float
    ) -> None:
        """Takes one answer; usual_ms is 0 where the usual latency is not known."""
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
            if found >= MIN_BAD and found >= BAD_SHARE * len(answers):
                kind = "slow" if slow else "failed"
                self.reason = (
                    f"{found} of {len(answers)} answers bad on {name}, last {kind}"
                )
                return
