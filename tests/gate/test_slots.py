"""Tests of the queue for the slots of an upstream."""

from __future__ import annotations

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.rate_limiter import RateLimiter
from jayswitch.gate.slots import MAX_WAITING_PER_SLOT, SlotQueue
from jayswitch.proxy.exceptions import CallerDisconnected


def _slots(limit: int) -> SlotQueue:
    clock = VirtualClock()
    return SlotQueue(limit, ColdRateLimiter(clock), RateLimiter(clock), clock)


def _acquire_until_caller_is_gone(slots: SlotQueue, seen: list[str]) -> None:
    try:
        slots.acquire(1, 1000)
    except CallerDisconnected:
        seen.append("gone")


class TestSlotQueue:
    """Concurrency stays within the limit and urgent calls go first."""

    def test_limit_holds_and_waiting_ends(self) -> None:
        slots = _slots(2)
        assert slots.acquire(1, 0) and slots.acquire(1, 0)
        assert not slots.acquire(1, 0)
        assert not slots.acquire(1, 50)
        assert (slots.running, slots.waiting) == (2, 0)

    def test_urgent_calls_go_first_and_equal_ones_in_order(self) -> None:
        slots = _slots(1)
        order: list[str] = []
        assert slots.acquire(0, 0)

        def wait(name: str, rank: int) -> None:
            if slots.acquire(rank, 1000):
                order.append(name)

        for name, rank in (("first", 2), ("second", 2), ("urgent", 0)):
            eventlet.spawn(wait, name, rank)
            eventlet.sleep(0)
        for _ in range(3):
            slots.release()
            eventlet.sleep(0)
        assert order == ["urgent", "first", "second"]

    def test_caller_that_leaves_while_waiting_holds_nothing(self) -> None:
        slots = _slots(1)
        assert slots.acquire(1, 0)
        seen: list[str] = []
        task = eventlet.spawn(_acquire_until_caller_is_gone, slots, seen)
        eventlet.sleep(0)
        eventlet.spawn_after(0, task.throw, CallerDisconnected())
        eventlet.sleep(0.001)
        assert seen == ["gone"]
        assert slots.waiting == 0
        slots.release()
        assert slots.running == 0

    def test_slot_granted_to_a_caller_that_left_is_passed_on(self) -> None:
        slots = _slots(1)
        assert slots.acquire(1, 0)
        seen: list[str] = []
        task = eventlet.spawn(_acquire_until_caller_is_gone, slots, seen)
        eventlet.sleep(0)
        eventlet.spawn_after(0, task.throw, CallerDisconnected())
        eventlet.spawn_after(0, slots.release)
        eventlet.sleep(0.001)
        assert slots.running == 0

    def test_waiting_is_bounded(self) -> None:
        slots = _slots(1)
        assert slots.acquire(1, 0)
        for _ in range(MAX_WAITING_PER_SLOT):
            eventlet.spawn(slots.acquire, 1, 1000)
        eventlet.sleep(0)
        assert not slots.acquire(1, 1000)

    def test_expected_wait_counts_only_calls_that_go_first(self) -> None:
        slots = _slots(1)
        assert slots.expected_wait_ms(1, 100) == 0
        assert slots.acquire(1, 0)
        eventlet.spawn(slots.acquire, 2, 1000)
        eventlet.sleep(0)
        assert slots.expected_wait_ms(1, 100) < slots.expected_wait_ms(2, 100)


class TestColdStarts:
    """While the upstream is cold, urgent calls are started first."""

    def test_calls_wait_for_their_start_in_the_order_of_their_rank(self) -> None:
        clock = VirtualClock()
        limiter = ColdRateLimiter(clock, per_s=4)
        limiter.set_cold(60_000)
        slots = SlotQueue(6, limiter, RateLimiter(clock), clock)
        started: list[tuple[float, int]] = []

        def run(rank: int) -> None:
            if slots.acquire(rank, 1500):
                started.append((clock.now_ms(), rank))
                clock.sleep_ms(50)
                slots.release()

        for number in range(12):
            eventlet.spawn(run, 2 if number < 8 else 1)
        clock.sleep_ms(5000)
        ranks = [rank for _, rank in started]
        assert ranks[:4] == [2, 2, 2, 2]
        assert ranks[4:8] == [1, 1, 1, 1]
        for at_ms, _ in started:
            within = [at for at, _ in started if at_ms <= at < at_ms + 1000]
            assert len(within) <= 4

    def test_expected_wait_follows_the_rate(self) -> None:
        clock = VirtualClock()
        limiter = ColdRateLimiter(clock, per_s=4)
        limiter.set_cold(60_000)
        slots = SlotQueue(6, limiter, RateLimiter(clock), clock)
        assert slots.expected_wait_ms(1, 100) == 0
        for _ in range(4):
            assert slots.acquire(1, 0)
        assert slots.expected_wait_ms(1, 100) > 900
