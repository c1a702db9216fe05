"""Tests of evaluating a version on trial by the responses of one upstream."""

from __future__ import annotations

import random

from jayswitch.rollout.trial import RouteAverages, TrialEvaluator

EXPECTED_MS = 160.0
EXPECTED = RouteAverages(EXPECTED_MS, 0.004)
# Lowest failure share of any bad version in the deployments.
BAD_SHARE = 0.33
# Highest failure share of a sound upstream.
SOUND_FAILURE_SHARE = 0.004


class TestTrialEvaluator:
    """Bad versions are found within a few responses, without false positives."""

    def test_failing_version_is_found_within_fifteen_bad_responses(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            evaluator = TrialEvaluator()
            while not evaluator.is_bad:
                evaluator.observe(
                    "read", rng.random() < BAD_SHARE, EXPECTED_MS, EXPECTED
                )
            assert evaluator.counts.bad < 15

    def test_slow_version_is_found(self) -> None:
        evaluator = TrialEvaluator()
        for _ in range(3):
            evaluator.observe("read", False, 8 * EXPECTED_MS, EXPECTED)
        assert evaluator.is_bad

    def test_one_bad_route_is_found_among_good_ones(self) -> None:
        evaluator = TrialEvaluator()
        for _ in range(8):
            for route in ("a", "b", "c", "d"):
                evaluator.observe(route, False, EXPECTED_MS, EXPECTED)
            evaluator.observe("broken", True, EXPECTED_MS, EXPECTED)
        assert evaluator.is_bad
        assert "broken" in evaluator.reason

    def test_version_that_turns_bad_late_is_found(self) -> None:
        evaluator = TrialEvaluator()
        for _ in range(500):
            evaluator.observe("read", False, EXPECTED_MS, EXPECTED)
        assert not evaluator.is_bad
        for _ in range(5):
            evaluator.observe("read", True, EXPECTED_MS, EXPECTED)
        assert evaluator.is_bad

    def test_good_version_with_usual_errors_and_latency_spread_is_accepted(
        self,
    ) -> None:
        found = 0
        for seed in range(50):
            rng = random.Random(seed)
            evaluator = TrialEvaluator()
            for _ in range(300):
                latency_ms = EXPECTED_MS * rng.lognormvariate(-0.1, 0.45)
                failed = rng.random() < SOUND_FAILURE_SHARE
                evaluator.observe("read", failed, latency_ms, EXPECTED)
            found += evaluator.is_bad
        assert found == 0

    def test_good_version_on_upstreams_of_unequal_speed_is_accepted(self) -> None:
        found = 0
        for seed in range(100):
            rng = random.Random(seed)
            evaluator = TrialEvaluator()
            speed = rng.choice((0.7, 1.0, 2.0))
            for number in range(200):
                latency_ms = EXPECTED_MS * speed * rng.lognormvariate(-0.245, 0.7)
                evaluator.observe(f"route {number % 3}", False, latency_ms, EXPECTED)
            found += evaluator.is_bad
        assert found <= 2

    def test_partly_slow_version_is_found_within_fifty_slow_responses(self) -> None:
        for speed in (0.7, 1.0, 2.0):
            for seed in range(50):
                rng = random.Random(seed)
                evaluator = TrialEvaluator()
                slow = 0
                while not evaluator.is_bad:
                    is_slow = rng.random() < BAD_SHARE
                    slow += is_slow
                    latency_ms = EXPECTED_MS * speed * rng.lognormvariate(-0.245, 0.7)
                    evaluator.observe("read", False, latency_ms * 8**is_slow, EXPECTED)
                assert slow < 50

    def test_unknown_average_latency_is_no_evidence(self) -> None:
        evaluator = TrialEvaluator()
        for _ in range(10):
            evaluator.observe("read", False, 5000, RouteAverages())
        assert not evaluator.is_bad

    def test_failures_shared_with_the_proved_version_do_not_count(
        self,
    ) -> None:
        found = 0
        for seed in range(50):
            rng = random.Random(seed)
            evaluator = TrialEvaluator()
            expected = RouteAverages(EXPECTED_MS, 0.2)
            for _ in range(60):
                evaluator.observe("read", rng.random() < 0.2, EXPECTED_MS, expected)
            found += evaluator.is_bad
        assert found <= 10

    def test_version_that_fails_on_top_of_shared_failures_is_found(self) -> None:
        evaluator = TrialEvaluator()
        for number in range(40):
            evaluator.observe(
                "read", number % 4 != 0, EXPECTED_MS, RouteAverages(EXPECTED_MS, 0.2)
            )
        assert evaluator.is_bad


class TestRouteAverages:
    """Moving averages of the proved version."""

    def test_failures_do_not_change_the_latency(self) -> None:
        expected = RouteAverages(160.0, 0.0).updated(True, 5000.0)
        assert expected.latency_ms == 160.0 and expected.failures > 0
