"""Follows the keys below a prefix: one linearizable read, then watches."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
from returns.result import Failure, Success

from jayswitch.store.interface import StoredValue, WatchEvent

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.store.exceptions import StoreError
    from jayswitch.store.interface import Store

# The platform ends a waiting watch after 30 s at most; a shorter one notices
# a connection that has fallen silent.
WATCH_WAIT_MS = 8000
# Events that come close together are read with one call.
COALESCE_MS = 40.0
RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 800.0
PAGE_ITEMS = 500

logger = logging.getLogger(__name__)


class PrefixFollower:
    """Keeps a listener informed of every key below a prefix.

    After a gap in the history the prefix is read whole again, and keys that are no
    longer there are reported as removed.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        on_change: Callable[[WatchEvent], None],
        clock: Clock,
    ) -> None:
        """Takes the listener; it must not block."""
        self.synced = False
        self.connected = False
        self.revision = 0
        self.read_ms = float("-inf")
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._clock = clock
        self._revision_by_key: dict[str, int] = {}
        self._retry_ms = RETRY_MIN_MS
        self._stopped = False

    def start(self) -> None:
        """Starts the task that reads and watches."""
        eventlet.spawn(self._run)

    def stop(self) -> None:
        """Ends the task after its present call."""
        self._stopped = True

    def _run(self) -> None:
        needs_read = True
        while not self._stopped:
            if needs_read:
                needs_read = not self._read_all()
            else:
                needs_read = self._watch_once()

    def _read_all(self) -> bool:
        start = self._store.watch(self._prefix, -1, 0)
        match start:
            case Failure(error):
                self._note_failure(error)
                return False
        revision = start.unwrap().revision
        found: dict[str, StoredValue] = {}
        after = ""
        while True:
            page = self._store.scan(self._prefix, after, PAGE_ITEMS)
            match page:
                case Failure(error):
                    self._note_failure(error)
                    return False
            values = page.unwrap()
            found.update({value.key: value for value in values})
            if len(values) < PAGE_ITEMS:
                break
            after = values[-1].key
        self._take_snapshot(found, revision)
        return True

    def _take_snapshot(self, found: dict[str, StoredValue], revision: int) -> None:
        for key in [key for key in self._revision_by_key if key not in found]:
            self._apply(WatchEvent(key, None, revision))
        for value in found.values():
            if value.revision > self._revision_by_key.get(value.key, 0):
                self._apply(WatchEvent(value.key, value.value, value.revision))
        self.revision = max(self.revision, revision)
        self._note_success()
        if not self.synced:
            logger.info(
                "store prefix read",
                extra={"prefix": self._prefix, "revision": revision},
            )
        self.synced = True

    def _watch_once(self) -> bool:
        """Waits for changes; tells whether the prefix must be read anew."""
        result = self._store.watch(self._prefix, self.revision, WATCH_WAIT_MS)
        match result:
            case Failure(error):
                self._note_failure(error)
                return True
        batch = result.unwrap()
        self._note_success()
        if batch.compacted:
            logger.warning(
                "store history is gone; reading the prefix again",
                extra={"prefix": self._prefix, "revision": self.revision},
            )
            return True
        for event in batch.events:
            self._apply(event)
        self.revision = max(self.revision, batch.revision)
        if batch.events:
            self._clock.sleep_ms(COALESCE_MS)
        return False

    def _apply(self, event: WatchEvent) -> None:
        # The snapshot may already hold a later change than a replayed event.
        if event.revision < self._revision_by_key.get(event.key, 0):
            return
        if event.value is None:
            self._revision_by_key.pop(event.key, None)
        else:
            self._revision_by_key[event.key] = event.revision
        try:
            self._on_change(event)
        except Exception:
            logger.exception("change not applied", extra={"key": event.key})

    def _note_success(self) -> None:
        self.read_ms = self._clock.now_ms()
        self._retry_ms = RETRY_MIN_MS
        if not self.connected:
            logger.info("store regained", extra={"prefix": self._prefix})
        self.connected = True

    def _note_failure(self, error: StoreError) -> None:
        if self.connected or not self.synced:
            logger.warning(
                "store lost", extra={"prefix": self._prefix, "reason": error.cause}
            )
        self.connected = False
        self._clock.sleep_ms(self._retry_ms)
        self._retry_ms = min(RETRY_MAX_MS, self._retry_ms * 2)
