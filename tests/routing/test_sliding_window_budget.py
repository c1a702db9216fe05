"""Tests of the retry budget shared by the fleet."""

from __future__ import annotations

from jayswitch.clock import VirtualClock
from jayswitch.routing.sliding_window_budget import SlidingWindowRetryBudget

RATIO = 0.2
SLACK = 60.0
WINDOW_S = 10.0
FLEET = 10


class TestSlidingWindowRetryBudget:
    """Retries of all proxies stay within ratio and slack in every window."""

    def test_fleet_without_contact_stays_within_the_bound(self) -> None:
        clock = VirtualClock()
        fleet = [
            SlidingWindowRetryBudget(RATIO, SLACK, WINDOW_S, clock)
            for _ in range(FLEET)
        ]
        requests: list[float] = []
        retries: list[float] = []
        for number in range(4000):
            # Most requests arrive at three of the proxies, as in a burst.
            proxy = fleet[number % (3 if number % 4 else FLEET)]
            proxy.record_request()
            requests.append(clock.now_ms())
            while proxy.take(FLEET):
                retries.append(clock.now_ms())
            clock.sleep_ms(10)
        for begin in range(0, 40_000, 500):
            end = begin + WINDOW_S * 1000
            within = sum(1 for at in retries if begin <= at < end)
            asked = sum(1 for at in requests if begin <= at < end)
            assert within <= RATIO * asked + SLACK

    def test_few_requests_can_still_be_retried(self) -> None:
        budget = SlidingWindowRetryBudget(RATIO, SLACK, WINDOW_S, VirtualClock())
        budget.record_request()
        assert budget.take(FLEET)

    def test_retries_are_forgotten_after_the_window(self) -> None:
        clock = VirtualClock()
        budget = SlidingWindowRetryBudget(RATIO, SLACK, WINDOW_S, clock)
        while budget.take(FLEET):
            continue
        clock.sleep_ms(WINDOW_S * 1000 + 1000)
        assert budget.take(FLEET)
