"""Event hub with virtual time that jumps to the next timer when idle."""

from __future__ import annotations

import itertools

from eventlet import hubs
from eventlet.hubs.hub import BaseHub
from eventlet.hubs.timer import Timer


class VirtualHub(BaseHub):
    """Hub for simulations: no real waiting, and a deterministic order of events."""

    def __init__(self, clock: object = None) -> None:
        """Starts virtual time at zero; the clock argument is ignored."""
        self.virtual_s = 0.0
        self._timer_order = itertools.count()
        super().__init__(lambda: self.virtual_s)

    @staticmethod
    def is_available() -> bool:
        """Returns true: the hub works on all platforms."""
        return True

    def add_timer(self, timer: Timer) -> Timer:
        """Numbers timers, so that those due together fire in insertion order."""
        timer.virtual_order = next(self._timer_order)
        return super().add_timer(timer)

    def wait(self, seconds: float | None = None) -> None:
        """Advances virtual time without waiting."""
        self.virtual_s += max(0.0, seconds or 0.0)

    def add(self, *arguments: object) -> object:
        """Rejects descriptors, because a scenario must not use a real socket."""
        raise RuntimeError("a real descriptor cannot be used in virtual time")


def use_virtual_time() -> None:
    """Replaces the event hub of this thread with a new virtual hub."""
    hubs.use_hub(VirtualHub)
    # Eventlet orders timers due at the same time by memory address, which is
    # not deterministic.
    Timer.__lt__ = _is_earlier


def _is_earlier(first: Timer, second: Timer) -> bool:
    return _order(first) < _order(second)


def _order(timer: Timer) -> int:
    return getattr(timer, "virtual_order", 0)
