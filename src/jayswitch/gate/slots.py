"""Queue for an upstream's slots, rate limited if the upstream needs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event
from sortedcontainers import SortedList

from jayswitch.clock import MS_PER_S

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
    from jayswitch.gate.rate_limiter import RateLimiter

# Calls that may wait per slot; the responses to further ones would be late.
MAX_WAITING_PER_SLOT = 4
# Calls granted ahead of a waiting less urgent one before that one gets a turn. The
# share of served requests of each kind must be at least a quarter of the share of
# served requests overall.
MAX_CONSECUTIVE_URGENT_GRANTS = 8


class _Waiter:
    __slots__ = ("granted", "sort_key", "wakeup")

    def __init__(self, sort_key: tuple[int, int]) -> None:
        self.sort_key = sort_key
        self.wakeup = Event()
        self.granted = False


class SlotQueue:
    """Limits concurrent calls and queues further ones by rank.

    A lower rank is more urgent. Urgent calls go first, but every ninth grant goes to
    a less urgent one. Calls to an upstream that is cold, or that announces a rate, are
    also rate limited; they wait for that in the same queue, the most urgent first.
    """

    def __init__(
        self,
        limit: int,
        cold_limiter: ColdRateLimiter,
        rate_limiter: RateLimiter,
        clock: Clock,
    ) -> None:
        """Takes the maximum of concurrent calls and the rate limiters."""
        self.limit = limit
        self.cold_limiter = cold_limiter
        self.rate_limiter = rate_limiter
        # Whether calls run one at a time, because it is not known yet whether the
        # upstream announces a rate.
        self.is_probing = False
        self._grant_scheduled = False
        self.running = 0
        self._clock = clock
        self._serial = 0
        self._consecutive_urgent_grants = 0
        self._waiting: SortedList = SortedList(key=lambda waiter: waiter.sort_key)

    @property
    def waiting(self) -> int:
        """Returns the number of queued calls."""
        return len(self._waiting)

    @property
    def _has_free_slot(self) -> bool:
        return self.running < (1 if self.is_probing else self.limit)

    def expected_wait_ms(self, rank: int, service_ms: float) -> float:
        """Estimates how long a call of the given rank would wait for a slot."""
        ahead = sum(1 for waiter in self._waiting if waiter.sort_key[0] <= rank)
        rate_delay_ms = self.rate_limiter.delay_ms(ahead)
        return max(rate_delay_ms, self._expected_slot_wait_ms(ahead, service_ms))

    def _expected_slot_wait_ms(self, ahead: int, service_ms: float) -> float:
        if self.cold_limiter.is_cold:
            return self.cold_limiter.delay_ms() + ahead * MS_PER_S / max(
                1.0, self.cold_limiter.per_s
            )
        if self._has_free_slot and not self._waiting:
            return 0.0
        return (ahead + 0.5) * service_ms / max(1, self.limit)

    def acquire(self, rank: int, wait_ms: float) -> bool:
        """Acquires a slot within the given time; False on timeout or a full queue."""
        if self._has_free_slot and not self._waiting and self._try_start():
            return True
        if wait_ms <= 0 or len(self._waiting) >= self.limit * MAX_WAITING_PER_SLOT:
            return False
        self._serial += 1
        waiter = _Waiter((rank, self._serial))
        self._waiting.add(waiter)
        try:
            with eventlet.Timeout(wait_ms / MS_PER_S, False):
                waiter.wakeup.wait()
        except BaseException:
            self._cancel_waiter(waiter)
            raise
        if not waiter.granted:
            self._waiting.remove(waiter)
        return waiter.granted

    def release(self) -> None:
        """Frees a slot and grants it to the next waiting call."""
        self.running -= 1
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grants free slots to waiting calls, also after the limit was raised."""
        while self._waiting and self._has_free_slot:
            if not self._try_start():
                return
            waiter = self._pop_next()
            waiter.granted = True
            waiter.wakeup.send(None)

    def _pop_next(self) -> _Waiter:
        """Removes and returns the next call to be granted a slot."""
        first = self._waiting[0]
        rank = first.sort_key[0]
        others = self._waiting.bisect_key_right((rank, self._serial))
        if others == len(self._waiting):
            self._consecutive_urgent_grants = 0
        elif self._consecutive_urgent_grants >= MAX_CONSECUTIVE_URGENT_GRANTS:
            self._consecutive_urgent_grants = 0
            return self._waiting.pop(others)
        else:
            self._consecutive_urgent_grants += 1
        return self._waiting.pop(0)

    def _try_start(self) -> bool:
        """Occupies a slot unless a rate limit of the upstream is exhausted."""
        delay_ms = max(self.cold_limiter.delay_ms(), self.rate_limiter.delay_ms())
        if delay_ms <= 0:
            self.cold_limiter.take()
            self.rate_limiter.record()
            self.running += 1
            return True
        if not self._grant_scheduled:
            self._grant_scheduled = True
            eventlet.spawn_after(delay_ms / MS_PER_S, self._run_scheduled_grant)
        return False

    def _run_scheduled_grant(self) -> None:
        self._grant_scheduled = False
        self.grant_free_slots()

    def _cancel_waiter(self, waiter: _Waiter) -> None:
        if waiter.granted:
            self.release()
        else:
            self._waiting.remove(waiter)
