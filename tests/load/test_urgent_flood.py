"""Pattern: urgent calls alone fill the last upstream of a service.

Other services call the one that is short; its own callers must not starve.
"""

from __future__ import annotations

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.slots import SlotQueue

SLOTS = 6
URGENT_RANK, USUAL_RANK = 1, 2
DURATION_MS = 20_000.0


class Flood:
    """Calls of two ranks at one upstream."""

    def __init__(self) -> None:
        """Starts without calls."""
        self.clock = VirtualClock()
        self.queue = SlotQueue(SLOTS, ColdRateLimiter(self.clock), self.clock)
        self.asked = {URGENT_RANK: 0, USUAL_RANK: 0}
        self.served = {URGENT_RANK: 0, USUAL_RANK: 0}

    def call(self, rank: int, work_ms: float, patience_ms: float) -> None:
        """Runs one call, if it gets a slot in time."""
        self.asked[rank] += 1
        if self.queue.acquire(rank, patience_ms):
            self.clock.sleep_ms(work_ms)
            self.queue.release()
            self.served[rank] += 1

    def arrive(self, rank: int, per_s: float, work_ms: float, wait_ms: float) -> None:
        """Lets calls arrive at a rate."""
        while self.clock.now_ms() < DURATION_MS:
            eventlet.spawn(self.call, rank, work_ms, wait_ms)
            self.clock.sleep_ms(1000.0 / per_s)

    def share(self, rank: int) -> float:
        """Returns the served part of a rank's calls."""
        return self.served[rank] / self.asked[rank]


class TestUrgentFlood:
    """Rank decides who goes first, not who is served at all."""

    def test_less_urgent_calls_are_served_a_quarter_as_often_as_all(self) -> None:
        flood = Flood()
        eventlet.spawn(flood.arrive, URGENT_RANK, 140.0, 60.0, 100.0)
        flood.arrive(USUAL_RANK, 27.0, 130.0, 270.0)
        flood.clock.sleep_ms(1000)
        overall = sum(flood.served.values()) / sum(flood.asked.values())
        assert flood.share(USUAL_RANK) >= overall / 4
        assert flood.share(URGENT_RANK) > flood.share(USUAL_RANK)

    def test_urgent_calls_go_first_while_there_is_room_for_all(self) -> None:
        flood = Flood()
        eventlet.spawn(flood.arrive, URGENT_RANK, 30.0, 60.0, 100.0)
        flood.arrive(USUAL_RANK, 27.0, 130.0, 270.0)
        flood.clock.sleep_ms(1000)
        assert flood.share(URGENT_RANK) == flood.share(USUAL_RANK) == 1.0
