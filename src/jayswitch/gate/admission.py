"""Admission control of a gate: slots in use and calls queued by priority."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from jayswitch.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

PRIORITIES = ("high", "normal", "bulk")
BULK = "bulk"
BULK_SHARE = 0.5
MAX_GRANTS_BEFORE_BULK = 8
MAX_WAITING_PER_SLOT = 1


class AdmissionQueue:
    """Limits concurrent calls and queues a bounded number of further ones.

    Bulk calls occupy at most half of the slots, or the only one. After a fixed number
    of grants to other priorities a waiting bulk call is served, so that bulk calls do
    not starve. Waiting calls of high priority always go before normal ones.
    """

    def __init__(self, limit: Callable[[], int]) -> None:
        """Takes a function that returns the current concurrency limit."""
        self.in_flight = 0
        self.bulk_in_flight = 0
        self._limit = limit
        self._waiting_by_priority: dict[str, deque[Event]] = {
            priority: deque() for priority in PRIORITIES
        }
        self._grants_since_bulk = 0

    @property
    def waiting(self) -> int:
        """Returns the number of queued calls."""
        return sum(len(queue) for queue in self._waiting_by_priority.values())

    def acquire(self, priority: str, wait_ms: float) -> bool:
        """Acquires a slot within the given time; False on timeout or a full queue."""
        if self.waiting == 0 and self._has_capacity(priority):
            self._occupy_slot(priority)
            return True
        if wait_ms <= 0 or self.waiting >= self._limit() * MAX_WAITING_PER_SLOT:
            return False
        wakeup = Event()
        queue = self._waiting_by_priority[priority]
        queue.append(wakeup)
        with eventlet.Timeout(wait_ms / MS_PER_S, False):
            wakeup.wait()
        if wakeup.ready():
            return True
        queue.remove(wakeup)
        return False

    def release(self, priority: str) -> None:
        """Frees a slot and grants free slots to waiting calls."""
        self.in_flight -= 1
        if priority == BULK:
            self.bulk_in_flight -= 1
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grants slots to waiting calls until the limit is reached."""
        while True:
            priority = self._next_priority()
            if not priority:
                return
            wakeup = self._waiting_by_priority[priority].popleft()
            self._occupy_slot(priority)
            wakeup.send(None)

    def _has_capacity(self, priority: str) -> bool:
        limit = self._limit()
        if self.in_flight >= limit:
            return False
        bulk_limit = max(1, int(limit * BULK_SHARE))
        return priority != BULK or self.bulk_in_flight < bulk_limit

    def _occupy_slot(self, priority: str) -> None:
        self.in_flight += 1
        if priority == BULK:
            self.bulk_in_flight += 1
            self._grants_since_bulk = 0
        else:
            self._grants_since_bulk += 1

    def _next_priority(self) -> str:
        ready = [
            priority
            for priority in PRIORITIES
            if self._waiting_by_priority[priority] and self._has_capacity(priority)
        ]
        if not ready:
            return ""
        if BULK in ready and self._grants_since_bulk >= MAX_GRANTS_BEFORE_BULK:
            return BULK
        return ready[0]
