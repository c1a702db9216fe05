"""An event hub whose time jumps to the next timer when nothing is ready."""

from __future__ import annotations

import itertools

from eventlet import hubs
from eventlet.hubs.hub import BaseHub
from eventlet.hubs.timer import Timer


class VirtualHub(BaseHub):
    """Runs hours in milliseconds, with the same order of events each time."""

    def __init__(self, clock: object = None) -> None:
        """Starts at zero; the clock argument is ignored."""
        self.virtual_s = 0.0
        self._timer_order = itertools.count()
        super().__init__(lambda: self.virtual_s)

    @staticmethod
    def is_available() -> bool:
        """Tells eventlet that the hub can be used anywhere."""
        return True

    def add_timer(self, timer: Timer) -> Timer:
        """Numbers timers, so that those due together fire in their order."""
        timer.virtual_order = next(self._timer_order)
        return super().add_timer(timer)

    def wait(self, seconds: float | None = None) -> None:
        """Lets the time pass at once."""
        self.virtual_s += max(0.0, seconds or 0.0)

    def add(self, *arguments: object) -> object:
        """Refuses descriptors: a scenario must not touch a real socket."""
        raise RuntimeError("a scenario waits for a real descriptor")


def use_virtual_time() -> None:
    """Replaces the event hub of this thread by a new virtual one."""
    hubs.use_hub(VirtualHub)
    # Eventlet orders timers of one moment by their addresses in memory.
    Timer.__lt__ = _is_earlier


def _is_earlier(first: Timer, second: Timer) -> bool:
    return _order(first) < _order(second)


def _order(timer: Timer) -> int:
    return getattr(timer, "virtual_order", 0)
