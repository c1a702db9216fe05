"""Tests of the admission queue and the concurrency limiter."""

from __future__ import annotations

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.gate.admission import AdmissionQueue
from jayswitch.gate.concurrency_limiter import ConcurrencyLimiter


class TestAdmissionQueue:
    """Running calls stay within the limit and bulk calls do not starve."""

    def test_bulk_calls_leave_slots_to_other_priorities(self) -> None:
        admission = AdmissionQueue(lambda: 6)
        taken = [admission.acquire("bulk", 0) for _ in range(6)]
        assert taken.count(True) == 3
        assert admission.acquire("high", 0)

    def test_high_priority_goes_first(self) -> None:
        admission = AdmissionQueue(lambda: 2)
        order: list[str] = []
        assert admission.acquire("normal", 0) and admission.acquire("normal", 0)

        def wait(priority: str) -> None:
            if admission.acquire(priority, 1000):
                order.append(priority)

        for priority in ("normal", "high"):
            eventlet.spawn(wait, priority)
            eventlet.sleep(0)
        admission.release("normal")
        eventlet.sleep(0)
        admission.release("normal")
        eventlet.sleep(0)
        assert order == ["high", "normal"]

    def test_bulk_gets_its_turn_under_constant_high_load(self) -> None:
        clock = VirtualClock()
        admission = AdmissionQueue(lambda: 4)
        done: list[str] = []

        def work(priority: str) -> None:
            if admission.acquire(priority, 10_000):
                clock.sleep_ms(10)
                done.append(priority)
                admission.release(priority)

        for number in range(60):
            eventlet.spawn(work, "bulk" if number % 20 == 2 else "high")
            clock.sleep_ms(1)
        clock.sleep_ms(5000)
        assert done.count("bulk") == 3

    def test_waiting_is_bounded_and_ends(self) -> None:
        clock = VirtualClock()
        admission = AdmissionQueue(lambda: 1)
        assert admission.acquire("normal", 0)
        before = clock.now_ms()
        assert not admission.acquire("normal", 50)
        assert clock.now_ms() - before >= 50
        assert admission.waiting == 0


class TestConcurrencyLimiter:
    """The limit adapts to the outcomes of calls."""

    def succeed(
        self, limiter: ConcurrencyLimiter, count: int, latency_ms: float = 5.0
    ) -> None:
        """Reports successful responses at full utilisation of the limit."""
        for _ in range(count):
            limiter.on_success("read", latency_ms, limiter.limit)

    def test_cold_upstream_starts_with_a_low_limit(self) -> None:
        limiter = ConcurrencyLimiter(20, 10_000, VirtualClock())
        self.succeed(limiter, 500)
        assert limiter.limit <= 2

    def test_limit_reaches_the_slots_after_the_warm_up_time(self) -> None:
        clock = VirtualClock()
        limiter = ConcurrencyLimiter(20, 10_000, clock)
        for _ in range(100):
            clock.sleep_ms(110)
            self.succeed(limiter, 20)
        assert limiter.limit == 20

    def test_overload_shrinks_the_limit(self) -> None:
        clock = VirtualClock()
        limiter = ConcurrencyLimiter(20, 0, clock)
        self.succeed(limiter, 2000)
        assert limiter.limit == 20
        limiter.on_overload()
        assert limiter.limit == 12

    def test_consecutive_slow_responses_restart_the_ramp(self) -> None:
        clock = VirtualClock()
        limiter = ConcurrencyLimiter(20, 1000, clock)
        for _ in range(40):
            clock.sleep_ms(100)
            self.succeed(limiter, 30)
        starts = limiter.cold_starts
        self.succeed(limiter, 6, latency_ms=30.0)
        assert limiter.cold_starts == starts + 1
        assert limiter.limit == 2
