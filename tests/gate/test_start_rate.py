"""Tests of the bound on calls to a cold upstream."""

from __future__ import annotations

from jayswitch.clock import VirtualClock
from jayswitch.gate.start_rate import StartRate

COLD_CALLS_PER_S = 8.5


class TestStartRate:
    """A cold upstream gets no more than its calls in any second."""

    def test_warm_upstream_is_not_bounded(self) -> None:
        rate = StartRate(VirtualClock(), COLD_CALLS_PER_S)
        assert all(rate.take() == 0 for _ in range(100))

    def test_no_second_holds_more_than_a_cold_upstream_bears(self) -> None:
        clock = VirtualClock()
        rate = StartRate(clock, COLD_CALLS_PER_S)
        rate.set_cold(60_000)
        started: list[float] = []
        for _ in range(1000):
            if rate.take() == 0:
                started.append(clock.now_ms())
            clock.sleep_ms(10)
        for begin in started:
            within = [at for at in started if begin <= at < begin + 1000]
            assert len(within) <= COLD_CALLS_PER_S

    def test_calls_before_the_upstream_turned_cold_count(self) -> None:
        clock = VirtualClock()
        rate = StartRate(clock, COLD_CALLS_PER_S)
        for _ in range(20):
            rate.take()
        rate.set_cold(3000)
        rest_ms = rate.take()
        assert rest_ms > 0
        clock.sleep_ms(rest_ms)
        assert rate.take() == 0

    def test_calls_of_an_earlier_process_may_still_count(self) -> None:
        clock = VirtualClock()
        rate = StartRate(clock, COLD_CALLS_PER_S)
        rate.reserve_window()
        rate.set_cold(3000)
        assert rate.take() >= 1000
