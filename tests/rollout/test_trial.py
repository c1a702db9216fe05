"""Tests of judging a version by the answers of one upstream."""

from __future__ import annotations

import random

from jayswitch.rollout.trial import TrialJudge, Usual

USUAL_MS = 160.0
USUAL = Usual(USUAL_MS, 0.004)
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
                judge.observe("read", rng.random() < BAD_SHARE, USUAL_MS, USUAL)
            assert judge.counts.bad < 15

    def test_slow_version_is_found(self) -> None:
        judge = TrialJudge()
        for _ in range(3):
            judge.observe("read", False, 8 * USUAL_MS, USUAL)
        assert judge.is_bad

    def test_one_bad_route_is_found_among_good_ones(self) -> None:
        judge = TrialJudge()
        for _ in range(8):
            for route in ("a", "b", "c", "d"):
                judge.observe(route, False, USUAL_MS, USUAL)
            judge.observe("broken", True, USUAL_MS, USUAL)
        assert judge.is_bad
        assert "broken" in judge.reason

    def test_version_that_turns_bad_late_is_found(self) -> None:
        judge = TrialJudge()
        for _ in range(500):
            judge.observe("read", False, USUAL_MS, USUAL)
        assert not judge.is_bad
        for _ in range(5):
            judge.observe("read", True, USUAL_MS, USUAL)
        assert judge.is_bad

    def test_good_version_keeps_its_usual_errors_and_spread(self) -> None:
        found = 0
        for seed in range(50):
            rng = random.Random(seed)
            judge = TrialJudge()
            for _ in range(300):
                latency_ms = USUAL_MS * rng.lognormvariate(-0.1, 0.45)
                failed = rng.random() < USUAL_ERRORS
                judge.observe("read", failed, latency_ms, USUAL)
            found += judge.is_bad
        assert found == 0

    def test_good_version_on_upstreams_of_unequal_speed_is_left_alone(self) -> None:
        found = 0
        for seed in range(100):
            rng = random.Random(seed)
            judge = TrialJudge()
            speed = rng.choice((0.7, 1.0, 2.0))
            for number in range(200):
                latency_ms = USUAL_MS * speed * rng.lognormvariate(-0.245, 0.7)
                judge.observe(f"route {number % 3}", False, latency_ms, USUAL)
            found += judge.is_bad
        assert found <= 2

    def test_partly_slow_version_is_found_within_fifty_slow_answers(self) -> None:
        for speed in (0.7, 1.0, 2.0):
            for seed in range(50):
                rng = random.Random(seed)
                judge = TrialJudge()
                slow = 0
                while not judge.is_bad:
                    is_slow = rng.random() < BAD_SHARE
                    slow += is_slow
                    latency_ms = USUAL_MS * speed * rng.lognormvariate(-0.245, 0.7)
                    judge.observe("read", False, latency_ms * 8**is_slow, USUAL)
                assert slow < 50

    def test_unknown_usual_latency_says_nothing(self) -> None:
        judge = TrialJudge()
        for _ in range(10):
            judge.observe("read", False, 5000, Usual())
        assert not judge.is_bad

    def test_failures_that_the_proved_version_has_too_are_not_held_against_it(
        self,
    ) -> None:
        found = 0
        for seed in range(50):
            rng = random.Random(seed)
            judge = TrialJudge()
            usual = Usual(USUAL_MS, 0.2)
            for _ in range(60):
                judge.observe("read", rng.random() < 0.2, USUAL_MS, usual)
            found += judge.is_bad
        assert found <= 10

    def test_version_that_fails_on_top_of_shared_failures_is_found(self) -> None:
        judge = TrialJudge()
        for number in range(40):
            judge.observe("read", number % 4 != 0, USUAL_MS, Usual(USUAL_MS, 0.2))
        assert judge.is_bad


class TestUsual:
    """Averages of what the proved version does."""

    def test_failures_do_not_change_the_latency(self) -> None:
        usual = Usual(160.0, 0.0).after(True, 5000.0)
        assert usual.latency_ms == 160.0 and usual.failures > 0
