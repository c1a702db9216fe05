"""A node's access to the shared store, which can be paused or made unreachable."""

from __future__ import annotations

from typing import Any

from returns.result import Failure

from jayswitch.clock import Clock
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.exceptions import StoreUnavailable

STORE_METHODS = (
    "get",
    "scan",
    "put",
    "delete",
    "grant_lease",
    "keep_alive",
    "revoke",
    "watch",
)


class NodeStore:
    """Forwards calls to the shared store; they wait if paused, fail if unreachable."""

    def __init__(self, shared: MemoryStore, clock: Clock) -> None:
        """Takes the store that all nodes share."""
        self.reachable = True
        self.paused = False
        self._shared = shared
        self._clock = clock

    def __getattr__(self, name: str) -> Any:
        """Returns a method of the shared store with the faults applied to it."""
        if name not in STORE_METHODS:
            raise AttributeError(name)

        def call(*arguments: Any) -> Any:
            while self.paused:
                self._clock.sleep_ms(50)
            if not self.reachable:
                self._clock.sleep_ms(50)
                return Failure(StoreUnavailable("the node cannot reach the store"))
            self._clock.sleep_ms(1.0)
            return getattr(self._shared, name)(*arguments)

        return call
