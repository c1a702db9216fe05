"""Follows the keys below a prefix: one linearizable read, then watches."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
import msgspec
from returns.result import Failure

from jayswitch.store.interface import StoredValue, WatchEvent

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.store.exceptions import StoreError
    from jayswitch.store.interface import Store

# The platform ends a waiting watch after 30 s at most. Each watch is a call that is
# paid for; one whose answer was lost is noticed through other proxies.
WATCH_WAIT_MS = 20_000
RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 1000.0
PAGE_ITEMS = 500
# A watch that is in order brings a change within this time of its being known.
CATCH_UP_DELAY_MS = 200.0

# While each watch finds changes that wait already, the pause before the next one
# grows by this factor; it is short again after a watch that waited so long.
PAUSE_GROWTH = 1.5
QUIET_MS = 2000.0
# A watch that is answered sooner than this found its changes waiting.
AT_ONCE_MS = 100.0

logger = logging.getLogger(__name__)


class Pause(msgspec.Struct, frozen=True):
    """How long changes are gathered before they are fetched with one call."""

    shortest_ms: float
    longest_ms: float

    def next_ms(self, present_ms: float, waited_ms: float) -> float:
        """Returns the next pause, after a watch that waited so long for changes."""
        if waited_ms >= QUIET_MS:
            return self.shortest_ms
        if waited_ms < AT_ONCE_MS:
            return min(self.longest_ms, present_ms * PAUSE_GROWTH)
        return present_ms


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
        pause: Pause,
    ) -> None:
        """Takes the listener, which must not block.

        After a change, others are waited for, so that one call brings them.
        """
        self.synced = False
        self.connected = False
        self.revision = 0
        self.newest_change = 0
        self.read_ms = float("-inf")
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._clock = clock
        self._pause = pause
        self._pause_ms = pause.shortest_ms
        self._catching_up = False
        self._revision_by_key: dict[str, int] = {}
        self._retry_ms = RETRY_MIN_MS
        self._stopped = False

    def start(self) -> None:
        """Starts the task that reads and watches."""
        eventlet.spawn(self._run)

    def stop(self) -> None:
        """Ends the task after its present call."""
        self._stopped = True

    def note_newer(self, revision: int) -> None:
        """Takes a revision at which another proxy has seen a change.

        If the watch does not bring it soon, the prefix is read anew.
        """
        if revision > self.revision and self.synced and not self._catching_up:
            self._catching_up = True
            eventlet.spawn_n(self._catch_up, revision)

    def _catch_up(self, revision: int) -> None:
        try:
            self._clock.sleep_ms(CATCH_UP_DELAY_MS + self._pause.longest_ms)
            if self.revision >= revision:
                return
            logger.warning(
                "watch has fallen behind another proxy",
                extra={
                    "prefix": self._prefix,
                    "revision": self.revision,
                    "known_elsewhere": revision,
                },
            )
            self._read_all()
        finally:
            self._catching_up = False

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
        for key, known in list(self._revision_by_key.items()):
            if key not in found and known <= revision:
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
        asked_ms = self._clock.now_ms()
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
            waited_ms = self.read_ms - asked_ms
            self._pause_ms = self._pause.next_ms(self._pause_ms, waited_ms)
            self._clock.sleep_ms(self._pause_ms)
        return False

    def _apply(self, event: WatchEvent) -> None:
        # The snapshot may already hold a later change than a replayed event.
        if event.revision < self._revision_by_key.get(event.key, 0):
            return
        self.newest_change = max(self.newest_change, event.revision)
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
