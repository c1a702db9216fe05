"""Tests of judging a version by the answers of one upstream."""

from __future__ import annotations

import random

from jayswitch.rollout.trial import TrialJudge

USUAL_MS = 160.0
# The least share of failures among the deployments' bad versions.
BAD_SHARE = 0.33
# The greatest share of failures of a sound upstream.
USUAL_ERRORS = 0.004


class TestTrialJudge:
    """Bad versions are found within a few answers, good ones are left alone."""

    def test_failing_version_is_found_within_fifty_bad_answers(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            judge = TrialJudge()
            while not judge.is_bad:
                judge.observe("read", rng.random() < BAD_SHARE, USUAL_MS, USUAL_MS)
            assert judge.counts.bad < 15

    def test_slow_version_is_found(self) -> None:
        judge = TrialJudge()
        for _ in range(3):
            judge.observe("read", False, 8 * USUAL_MS, USUAL_MS)
        assert judge.is_bad

    def test_one_bad_route_is_found_among_good_ones(self) -> None:
        judge = TrialJudge()
        for _ in range(8):
            for route in ("a", "b", "c", "d"):
                judge.observe(route, False, USUAL_MS, USUAL_MS)
            judge.observe("broken", True, USUAL_MS, USUAL_MS)
        assert judge.is_bad
        assert "broken" in judge.reason

    def test_version_that_turns_bad_late_is_found(self) -> None:
        judge = TrialJudge()
        for _ in range(500):
            judge.observe("read", False, USUAL_MS, USUAL_MS)
        assert not judge.is_bad
        for _ in range(5):
            judge.observe("read", True, USUAL_MS, USUAL_MS)
        assert judge.is_bad

    def test_good_version_keeps_its_usual_errors_and_spread(self) -> None:
        found = 0
        for seed in range(50):
            rng = random.Random(seed)
            judge = TrialJudge()
            for _ in range(300):
                latency_ms = USUAL_MS * rng.lognormvariate(-0.1, 0.45)
                failed = rng.random() < USUAL_ERRORS
                judge.observe("read", failed, latency_ms, USUAL_MS)
            found += judge.is_bad
        assert found == 0

    def test_unknown_usual_latency_says_nothing(self) -> None:
        judge = TrialJudge()
        for _ in range(10):
            judge.observe("read", False, 5000, 0)
        assert not judge.is_bad
