"""A node's copy of the configuration; its version never decreases."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from returns.result import Failure, Success

from jayswitch.config.changes import apply_entry
from jayswitch.config.codec import (
    decode_entry,
    decode_state,
    encode_state,
    entry_index,
)
from jayswitch.config.state import ConfigState
from jayswitch.exceptions import JayswitchError

MAX_RECENT_ENTRIES = 512
ENTRIES_PER_MESSAGE = 64

logger = logging.getLogger(__name__)

StateListener = Callable[[ConfigState], None]


class ConfigReplica:
    """Applies entries in order and caches recent ones for other nodes."""

    def __init__(self) -> None:
        """Initializes a replica with the empty configuration, version 0."""
        self.state = ConfigState()
        self.rejection: JayswitchError | None = None
        self._recent: deque[bytes] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._listeners: list[StateListener] = []

    @property
    def version(self) -> int:
        """Returns the index of the last applied entry."""
        return self.state.version

    def on_change(self, listener: StateListener) -> None:
        """Registers a listener that is called after each new version."""
        self._listeners.append(listener)

    def apply_if_next(self, data: bytes) -> bool:
        """Applies an encoded entry if it is the next one; returns whether it did.

        If the entry cannot be applied, the state does not change and the error is
        stored as the replica's rejection.
        """
        if entry_index(data) != self.version + 1:
            return False
        next_state = decode_entry(data).bind(
            lambda entry: apply_entry(self.state, entry)
        )
        match next_state:
            case Success(state):
                self._install(state)
                self._recent.append(data)
                return True
            case Failure(error):
                self._reject(error)
        return False

    def apply_snapshot(self, data: bytes) -> bool:
        """Replaces the state if the snapshot is newer; returns whether it did."""
        match decode_state(data):
            case Success(state):
                if state.version <= self.version:
                    return False
                self._recent.clear()
                self._install(state)
                return True
            case Failure(error):
                self._reject(error)
        return False

    def entries_after(self, version: int) -> list[bytes]:
        """Returns the next entries after a version; empty if they are not cached."""
        first = self.version - len(self._recent) + 1
        if version + 1 < first or version >= self.version:
            return []
        start = version + 1 - first
        return list(self._recent)[start : start + ENTRIES_PER_MESSAGE]

    def snapshot(self) -> bytes:
        """Returns the whole state, encoded."""
        return encode_state(self.state)

    def _install(self, state: ConfigState) -> None:
        self.state = state
        self.rejection = None
        for listener in self._listeners:
            listener(state)

    def _reject(self, error: JayswitchError) -> None:
        if self.rejection is None or str(error) != str(self.rejection):
            logger.error("configuration rejected", extra={"reason": str(error)})
        self.rejection = error
