"""Local copy of the keys under a prefix and the revision it has reached."""

from __future__ import annotations

from collections import deque

import eventlet
from eventlet.event import Event

from jayswitch.clock import MS_PER_S
from jayswitch.store.interface import Snapshot, WatchEvent

# Values of this size or more are sent to other proxies as deltas. The previous values
# are kept as bases for these; followers lag by a few changes at most.
LONG_VALUE_BYTES = 4096
PREVIOUS_VALUES_KEPT = 4


class PrefixState:
    """The latest change of each key, including removals.

    Changes may arrive repeatedly and in any order. A change that is not newer than the
    known one of its key is ignored.
    """

    def __init__(self) -> None:
        """Initializes an empty, unsynchronized state."""
        # Every change up to this revision is known.
        self.revision = 0
        # Every removal after this revision is known; negative before the first read.
        self.removals_known_after = -1
        self.latest_change_revision = 0
        # When the store was known to be reached for this state, by this proxy or by the
        # one that it follows; negative infinity after a failed call.
        self.store_contact_ms = float("-inf")
        self.change_by_key: dict[str, WatchEvent] = {}
        self._previous_by_key: dict[str, deque[WatchEvent]] = {}
        self._waiters: list[Event] = []

    def apply(self, event: WatchEvent) -> bool:
        """Applies a change; returns whether it is newer than the known one."""
        known = self.change_by_key.get(event.key)
        if known is not None and event.revision <= known.revision:
            return False
        if known is not None and len(known.value or b"") >= LONG_VALUE_BYTES:
            previous = self._previous_by_key.setdefault(
                event.key, deque(maxlen=PREVIOUS_VALUES_KEPT)
            )
            previous.append(known)
        self.change_by_key[event.key] = event
        self.latest_change_revision = max(self.latest_change_revision, event.revision)
        return True

    def removals_implied_by(self, snapshot: Snapshot) -> list[WatchEvent]:
        """Returns the removals of known keys that are absent from a snapshot."""
        present = {value.key for value in snapshot.values}
        return [
            WatchEvent(key, None, snapshot.revision)
            for key, change in self.change_by_key.items()
            if key not in present
            and change.value is not None
            and change.revision <= snapshot.revision
        ]

    def advance(self, revision: int, removals_known_after: int | None = None) -> None:
        """Records that every change up to a revision is known, and wakes waiters.

        After a full read, removals_known_after is its revision; only that of the first
        full read is kept, as every later removal is known from then on.
        """
        self.revision = max(self.revision, revision)
        if removals_known_after is not None and self.removals_known_after < 0:
            self.removals_known_after = removals_known_after
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.send(None)

    @property
    def is_synced(self) -> bool:
        """Whether the prefix has been read completely at least once."""
        return self.removals_known_after >= 0

    def changes_after(self, revision: int) -> list[WatchEvent] | None:
        """Returns the changes after a revision, or None if removals may be missing."""
        if revision < self.removals_known_after:
            return None
        return [
            change
            for change in self.change_by_key.values()
            if change.revision > revision
        ]

    def previous_value(self, key: str, revision: int) -> bytes | None:
        """Returns the previous value that a key had at a revision, if retained."""
        for change in self._previous_by_key.get(key, ()):
            if change.revision == revision:
                return change.value
        return None

    def revision_by_long_key(self) -> dict[str, int]:
        """Returns the revision of each current long value, by key."""
        return {
            key: change.revision
            for key, change in self.change_by_key.items()
            if len(change.value or b"") >= LONG_VALUE_BYTES
        }

    def wait_for_change(self, after: int, timeout_ms: float) -> bool:
        """Waits for a change after a revision; returns False on timeout."""
        with eventlet.Timeout(timeout_ms / MS_PER_S, False):
            while not self.is_synced or self.latest_change_revision <= after:
                waiter = Event()
                self._waiters.append(waiter)
                waiter.wait()
            return True
        return False
