"""Tests of the comparison of two versions and of the decisions based on it."""

from __future__ import annotations

import random

import pytest

from jayswitch.config.state import Move
from jayswitch.rollout.driver import next_change
from jayswitch.rollout.outcomes import RouteOutcomes
from jayswitch.rollout.version_comparison import MoveComparison

# A node compares the versions every 500 ms, so this is two minutes.
INTERVALS = 240


def outcomes(rng: random.Random, calls: int, errors: float, ms: float) -> RouteOutcomes:
    """Returns random outcomes with the given error rate and median latency."""
    made = RouteOutcomes()
    for _ in range(calls):
        made.record(rng.random() < errors, ms * rng.lognormvariate(0, 0.3))
    return made


def intervals_until_regression(
    seed: int,
    new_errors: float = 0.0,
    new_ms: float = 5.0,
    old_errors: float = 0.0,
    bad_from: int = 0,
) -> int | None:
    """Returns the number of intervals until a regression was found, or None."""
    rng = random.Random(seed)
    comparison = MoveComparison(5)
    for interval in range(INTERVALS):
        bad = interval >= bad_from
        old = outcomes(rng, 38, old_errors if bad else 0.0, 5.0)
        errors = new_errors if bad else 0.0
        new = outcomes(rng, 2, errors, new_ms if bad else 5.0)
        comparison.observe("read", old, new)
        if comparison.regression():
            return interval - bad_from
    return None


class TestMoveComparison:
    """Regressions are found quickly, without false positives for good versions."""

    @pytest.mark.parametrize("seed", range(20))
    def test_good_version_shows_no_regression(self, seed: int) -> None:
        assert intervals_until_regression(seed) is None

    @pytest.mark.parametrize("seed", range(20))
    def test_equally_bad_versions_show_no_regression(self, seed: int) -> None:
        found = intervals_until_regression(seed, 0.3, old_errors=0.3, bad_from=60)
        assert found is None

    @pytest.mark.parametrize("seed", range(10))
    @pytest.mark.parametrize("bad_from", [0, 150])
    def test_failing_version_is_found_within_a_minute(
        self, seed: int, bad_from: int
    ) -> None:
        found = intervals_until_regression(seed, new_errors=0.2, bad_from=bad_from)
        assert found is not None and found < 120 - bad_from / 4

    @pytest.mark.parametrize("seed", range(10))
    def test_slow_version_is_found_within_half_a_minute(self, seed: int) -> None:
        found = intervals_until_regression(seed, new_ms=20.0)
        assert found is not None and found < 60

    def test_regression_names_the_route(self) -> None:
        rng = random.Random(1)
        comparison = MoveComparison(1)
        for _ in range(40):
            comparison.observe("read", outcomes(rng, 20, 0, 5), outcomes(rng, 5, 0, 5))
            comparison.observe(
                "write", outcomes(rng, 20, 0, 5), outcomes(rng, 5, 0.9, 5)
            )
        assert comparison.regression().startswith("route 'write': more errors")

    def test_errors_on_all_routes_add_up(self) -> None:
        rng = random.Random(1)
        comparison = MoveComparison(1)
        for _ in range(3):
            sums = RouteOutcomes(), RouteOutcomes()
            for route in ("a", "b", "c", "d"):
                old, new = outcomes(rng, 20, 0, 5), outcomes(rng, 1, 1.0, 5)
                comparison.observe(route, old, new)
                sums[0].add(old)
                sums[1].add(new)
            comparison.observe_overall(*sums)
        assert comparison.regression().startswith("all routes: more errors")

    def test_route_without_calls_is_missing_evidence(self) -> None:
        rng = random.Random(1)
        comparison = MoveComparison(1)
        for _ in range(40):
            comparison.observe("read", outcomes(rng, 20, 0, 5), outcomes(rng, 5, 0, 5))
            comparison.observe("write", outcomes(rng, 20, 0, 5), RouteOutcomes())
        assert "'write'" in comparison.missing_evidence()


class TestNextChange:
    """The driver's decision on the next change of a move."""

    def move(self, **changes: object) -> Move:
        """Returns a move of 100 s that has just started."""
        values = {
            "id": "m",
            "profile": "p",
            "service": "s",
            "from_version": "v1",
            "to_version": "v2",
            "started_ms": 0,
            "deadline_ms": 100_000,
            "trial_percent": 5,
            **changes,
        }
        return Move(**values)

    def test_waits_for_an_upstream(self) -> None:
        assert next_change(self.move(), None, "", lambda: False, 1, 1000) is None

    def test_starts_with_the_trial_share(self) -> None:
        step = next_change(self.move(), None, "", lambda: True, 1, 1000)
        assert step.percent == 5

    def test_bad_version_is_reversed_at_once(self) -> None:
        ended = next_change(
            self.move(percent=50), None, "slower", lambda: True, 1, 1000
        )
        assert not ended.done and ended.reason == "slower"

    def test_unproved_version_is_reversed_at_the_deadline(self) -> None:
        ended = next_change(
            self.move(percent=5), MoveComparison(1), "", lambda: True, 1, 98_500
        )
        assert not ended.done and "calls seen" in ended.reason
