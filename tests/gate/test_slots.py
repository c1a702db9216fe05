"""Tests of the queue for an upstream's slots."""

from __future__ import annotations

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.gate.slots import WAITING_PER_SLOT, SlotQueue
from jayswitch.proxy.exceptions import CallerGone


def _acquire_until_gone(slots: SlotQueue, seen: list[str]) -> None:
    try:
        slots.acquire(1, 1000)
    except CallerGone:
        seen.append("gone")


class TestSlotQueue:
    """Never more than the limit runs; the most urgent call goes first."""

    def test_limit_holds_and_waiting_ends(self) -> None:
        slots = SlotQueue(2, VirtualClock())
        assert slots.acquire(1, 0) and slots.acquire(1, 0)
        assert not slots.acquire(1, 0)
        assert not slots.acquire(1, 50)
        assert (slots.running, slots.waiting) == (2, 0)

    def test_urgent_calls_go_first_and_equal_ones_in_order(self) -> None:
        slots = SlotQueue(1, VirtualClock())
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
        slots = SlotQueue(1, VirtualClock())
        assert slots.acquire(1, 0)
        seen: list[str] = []
        task = eventlet.spawn(_acquire_until_gone, slots, seen)
        eventlet.sleep(0)
        eventlet.spawn_after(0, task.throw, CallerGone())
        eventlet.sleep(0.001)
        assert seen == ["gone"]
        assert slots.waiting == 0
        slots.release()
        assert slots.running == 0

    def test_slot_granted_to_a_caller_that_left_is_passed_on(self) -> None:
        slots = SlotQueue(1, VirtualClock())
        assert slots.acquire(1, 0)
        seen: list[str] = []
        task = eventlet.spawn(_acquire_until_gone, slots, seen)
        eventlet.sleep(0)
        eventlet.spawn_after(0, task.throw, CallerGone())
        eventlet.spawn_after(0, slots.release)
        eventlet.sleep(0.001)
        assert slots.running == 0

    def test_waiting_is_bounded(self) -> None:
        slots = SlotQueue(1, VirtualClock())
        assert slots.acquire(1, 0)
        for _ in range(WAITING_PER_SLOT):
            eventlet.spawn(slots.acquire, 1, 1000)
        eventlet.sleep(0)
        assert not slots.acquire(1, 1000)

    def test_expected_wait_counts_only_calls_that_go_first(self) -> None:
        slots = SlotQueue(1, VirtualClock())
        assert slots.expected_wait_ms(1, 100) == 0
        assert slots.acquire(1, 0)
        eventlet.spawn(slots.acquire, 2, 1000)
        eventlet.sleep(0)
        assert slots.expected_wait_ms(1, 100) < slots.expected_wait_ms(2, 100)
