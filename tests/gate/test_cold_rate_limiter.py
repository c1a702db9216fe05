"""Tests of the rate limit for calls to a cold upstream."""

from __future__ import annotations

from unittest import mock

from jayswitch.clock import VirtualClock
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.upstream_gate import ColdRateAllowance

COLD_CALLS_PER_S = 8.5


class TestColdRateLimiter:
    """A cold upstream gets no more than its rate in any second."""

    def test_warm_upstream_is_not_limited(self) -> None:
        limiter = ColdRateLimiter(VirtualClock(), COLD_CALLS_PER_S)
        assert all(limiter.take() == 0 for _ in range(100))

    def test_calls_in_any_second_stay_within_the_cold_rate(self) -> None:
        clock = VirtualClock()
        limiter = ColdRateLimiter(clock, COLD_CALLS_PER_S)
        limiter.set_cold(60_000)
        started: list[float] = []
        for _ in range(1000):
            if limiter.take() == 0:
                started.append(clock.now_ms())
            clock.sleep_ms(10)
        for begin in started:
            within = [at for at in started if begin <= at < begin + 1000]
            assert len(within) <= COLD_CALLS_PER_S

    def test_calls_before_the_upstream_became_cold_count(self) -> None:
        clock = VirtualClock()
        limiter = ColdRateLimiter(clock, COLD_CALLS_PER_S)
        for _ in range(20):
            limiter.take()
        limiter.set_cold(3000)
        delay_ms = limiter.take()
        assert delay_ms > 0
        clock.sleep_ms(delay_ms)
        assert limiter.take() == 0

    def test_calls_of_an_earlier_process_may_still_count(self) -> None:
        clock = VirtualClock()
        limiter = ColdRateLimiter(clock, COLD_CALLS_PER_S)
        limiter.reserve_window()
        limiter.set_cold(3000)
        assert limiter.take() >= 1000

    def test_process_age_shortens_the_reserved_window(self) -> None:
        clock = VirtualClock()
        process_age = mock.patch.object(
            VirtualClock, "min_process_age_ms", return_value=400.0
        )
        limiter = ColdRateLimiter(clock, COLD_CALLS_PER_S)
        with process_age:
            limiter.reserve_window()
        limiter.set_cold(3000)
        assert 600 <= limiter.take() <= 700


class TestColdRateAllowance:
    """Calls that a cold upstream may get beyond the stated rate."""

    def test_half_of_the_slack_is_added(self) -> None:
        assert ColdRateAllowance(1.5, 5.0).calls_per_s(8.5) == 15.25

    def test_default_allowance_adds_nothing(self) -> None:
        assert ColdRateAllowance().calls_per_s(8.5) == 8.5
