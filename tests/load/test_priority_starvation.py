"""Load pattern: urgent calls alone saturate the last upstream of a service.

The urgent calls come from other services. Strict priority would starve the service's
own callers, whose calls are less urgent.
"""

from __future__ import annotations

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.rate_limiter import RateLimiter
from jayswitch.gate.slots import SlotQueue

SLOTS = 6
URGENT_RANK, NORMAL_RANK = 1, 2
DURATION_MS = 20_000.0


class TwoRankLoad:
    """Calls of two ranks that compete for the slots of one upstream."""

    def __init__(self) -> None:
        """Creates the queue; generate_calls() adds the load."""
        self.clock = VirtualClock()
        self.queue = SlotQueue(
            SLOTS, ColdRateLimiter(self.clock), RateLimiter(self.clock), self.clock
        )
        self.attempted = {URGENT_RANK: 0, NORMAL_RANK: 0}
        self.served = {URGENT_RANK: 0, NORMAL_RANK: 0}

    def call(self, rank: int, work_ms: float, max_wait_ms: float) -> None:
        """Runs one call if it gets a slot within its maximum wait."""
        self.attempted[rank] += 1
        if self.queue.acquire(rank, max_wait_ms):
            self.clock.sleep_ms(work_ms)
            self.queue.release()
            self.served[rank] += 1

    def generate_calls(
        self, rank: int, per_s: float, work_ms: float, wait_ms: float
    ) -> None:
        """Generates calls at a constant rate until the end of the test."""
        while self.clock.now_ms() < DURATION_MS:
            eventlet.spawn(self.call, rank, work_ms, wait_ms)
            self.clock.sleep_ms(1000.0 / per_s)

    def served_share(self, rank: int) -> float:
        """Returns the share of a rank's calls that were served."""
        return self.served[rank] / self.attempted[rank]


class TestPriorityStarvation:
    """Less urgent calls are delayed by urgent ones but do not starve."""

    def test_less_urgent_calls_get_a_quarter_of_the_overall_served_share(self) -> None:
        load = TwoRankLoad()
        eventlet.spawn(load.generate_calls, URGENT_RANK, 140.0, 60.0, 100.0)
        load.generate_calls(NORMAL_RANK, 27.0, 130.0, 270.0)
        load.clock.sleep_ms(1000)
        overall = sum(load.served.values()) / sum(load.attempted.values())
        assert load.served_share(NORMAL_RANK) >= overall / 4
        assert load.served_share(URGENT_RANK) > load.served_share(NORMAL_RANK)

    def test_all_calls_are_served_within_capacity(self) -> None:
        load = TwoRankLoad()
        eventlet.spawn(load.generate_calls, URGENT_RANK, 30.0, 60.0, 100.0)
        load.generate_calls(NORMAL_RANK, 27.0, 130.0, 270.0)
        load.clock.sleep_ms(1000)
        assert load.served_share(URGENT_RANK) == load.served_share(NORMAL_RANK) == 1.0
