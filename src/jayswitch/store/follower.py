"""Follows the keys under a prefix with a linearizable read, then watches."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
import msgspec
from returns.result import Failure, Success

from jayswitch.clock import MS_PER_S
from jayswitch.store.interface import Snapshot, WatchEvent
from jayswitch.store.prefix_state import LONG_VALUE_BYTES, PrefixState

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.store.exceptions import StoreError
    from jayswitch.store.interface import Store

# The platform ends a long poll after 30 s at most. Each watch is billed as one call, so
# short time-outs cost more. A watch whose response is lost need not time out first: the
# revisions that other proxies report reveal the missing change.
WATCH_TIMEOUT_MS = 20_000
RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 1000.0
# A working feed delivers a change within this time after another proxy reports it.
CATCH_UP_DELAY_MS = 200.0
# How often a follower that receives changes from other proxies checks whether it
# needs the store again.
STORE_NEED_CHECK_MS = 500.0

# The batch delay grows by BATCH_DELAY_GROWTH while each watch finds changes already
# pending, and is reset after a watch that waited at least IDLE_WATCH_MS.
BATCH_DELAY_GROWTH = 1.5
IDLE_WATCH_MS = 2000.0
# The store sends values base64-encoded.
BASE64_BYTES_PER_BYTE = 4 / 3
# A watch that returns sooner than this found its changes already pending.
IMMEDIATE_RESPONSE_MS = 100.0

logger = logging.getLogger(__name__)


def transferable_value_bytes(link_mbit_per_s: float, duration_ms: float) -> float:
    """Returns the size of the largest value that a link transfers in a given time.

    This is the size before base64 encoding, without the store's limit on values.
    """
    return link_mbit_per_s * 1e6 / 8 * duration_ms / MS_PER_S / BASE64_BYTES_PER_BYTE


class BatchDelay(msgspec.Struct, frozen=True):
    """Bounds of the delay during which changes accumulate for one fetch."""

    shortest_ms: float
    longest_ms: float

    def next_ms(self, current_ms: float, waited_ms: float) -> float:
        """Returns the next delay, given how long the last watch waited for changes."""
        if waited_ms >= IDLE_WATCH_MS:
            return self.shortest_ms
        if waited_ms < IMMEDIATE_RESPONSE_MS:
            return min(self.longest_ms, current_ms * BATCH_DELAY_GROWTH)
        return current_ms


class PrefixFollower:
    """Notifies a listener of every change to the keys under a prefix.

    After a gap in the history the whole prefix is read again, and keys that no longer
    exist are reported as removed. Changes may also come from other proxies.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        on_change: Callable[[WatchEvent], None],
        clock: Clock,
        batch_delay: BatchDelay,
    ) -> None:
        """Initializes the follower with a listener, which must not block.

        After a change the follower waits for the batch delay, so that one call
        fetches several changes.
        """
        self.state = PrefixState()
        self.connected = False
        # Whether the state has been as new as the store, or as that of a connected
        # relay, at least once.
        self.has_synced = False
        # Whether stale reads are repeated until the first feed opens.
        self.uses_stale_reads = False
        # Timeout of a watch of the store; 0 if other proxies deliver the changes.
        self.store_watch_timeout_ms: Callable[[], int] = lambda: WATCH_TIMEOUT_MS
        # Fetches changes from the proxy at an address; False if that failed.
        self.fetch_from: Callable[[str], bool] = lambda address: False
        # Values of this size or more take longer to transfer than the shortest batch
        # delay.
        self.slow_value_bytes = float("inf")
        self.catch_up_delay_ms = CATCH_UP_DELAY_MS
        # Bounds of the delay between attempts while the store does not respond.
        self.retry_bounds_ms: Callable[[], tuple[float, float]] = lambda: (
            RETRY_MIN_MS,
            RETRY_MAX_MS,
        )
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._clock = clock
        self._batch_delay = batch_delay
        self._batch_delay_ms = batch_delay.shortest_ms
        self._catching_up = False
        self._is_fetch_rate_exceeded = False
        self._retry_ms = RETRY_MIN_MS
        self._stopped = False

    @property
    def latest_change_revision(self) -> int:
        """Returns the revision of the latest known change."""
        return self.state.latest_change_revision

    def start(self) -> None:
        """Starts the task that reads and watches the prefix."""
        eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stops the task after its current call."""
        self._stopped = True

    def report_newer_revision(self, revision: int, address: str = "") -> None:
        """Records that the proxy at an address has seen a change at a revision.

        If the change does not arrive soon, it is fetched from that proxy, and from the
        store if that fails.
        """
        if revision > self.state.revision and self.has_synced and not self._catching_up:
            self._catching_up = True
            eventlet.spawn_n(self._catch_up, revision, address)

    def _catch_up(self, revision: int, address: str) -> None:
        try:
            self._clock.sleep_ms(self.catch_up_delay_ms)
            if self._has_revision(revision):
                return
            if address and self.fetch_from(address) and self._has_revision(revision):
                return
            self._clock.sleep_ms(self._batch_delay.longest_ms)
            if self._has_revision(revision):
                return
            logger.warning(
                "fallen behind another proxy; reading the prefix again",
                extra={
                    "prefix": self._prefix,
                    "revision": self.state.revision,
                    "known_elsewhere": revision,
                    "address": address,
                },
            )
            self._read_all()
        finally:
            self._catching_up = False

    def _has_revision(self, revision: int) -> bool:
        return self.state.revision >= revision

    def _run(self) -> None:
        needs_read = not self.state.is_synced
        while not self._stopped:
            wait_ms = self.store_watch_timeout_ms()
            if not wait_ms:
                self._clock.sleep_ms(STORE_NEED_CHECK_MS)
                if self.uses_stale_reads and not self.has_synced:
                    self.read_stale()
                needs_read = not self.state.is_synced
            elif needs_read:
                needs_read = not self._read_all()
            else:
                needs_read = self._watch_once(wait_ms)

    def read_stale(self) -> None:
        """Reads a state that may be old; it does not count as synchronized."""
        match self._store.read(self._prefix, True):
            case Failure(error):
                logger.info(
                    "stale read failed",
                    extra={"prefix": self._prefix, "reason": error.cause},
                )
            case Success(snapshot):
                self.apply_snapshot(snapshot)

    def _read_all(self) -> bool:
        """Reads the whole prefix; returns whether to continue with a watch."""
        result = self._store.read(self._prefix)
        match result:
            case Failure(error):
                self._record_failure(error)
                return False
        before = self.state.latest_change_revision
        self.apply_snapshot(result.unwrap())
        self._record_success()
        if self._is_fetch_rate_exceeded and self.state.latest_change_revision > before:
            self._clock.sleep_ms(self._batch_delay.shortest_ms)
            return False
        self._is_fetch_rate_exceeded = False
        return True

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Applies a full read of the prefix, including the removals it implies."""
        is_first = not self.state.is_synced
        for event in self.state.removals_implied_by(snapshot):
            self._apply(event)
        for value in snapshot.values:
            self._apply(WatchEvent(value.key, value.value, value.revision))
        self.state.advance(snapshot.revision, removals_known_after=snapshot.revision)
        if is_first:
            logger.info(
                "prefix read",
                extra={"prefix": self._prefix, "revision": snapshot.revision},
            )

    def apply_changes(self, events: list[WatchEvent], revision: int) -> None:
        """Applies the latest change of each key.

        Every change up to the revision is either in the list or already known.
        """
        for event in {event.key: event for event in events}.values():
            self._apply(event)
        self.state.advance(revision)

    def _watch_once(self, wait_ms: int) -> bool:
        """Watches for changes once; returns whether the prefix must be read again."""
        started_ms = self._clock.now_ms()
        # While disconnected, the watch returns at once, to detect recovery quickly.
        wait_ms = wait_ms if self.connected else 0
        result = self._store.watch(self._prefix, self.state.revision, wait_ms)
        match result:
            case Failure(error):
                # The next watch resumes from the same revision.
                self._record_failure(error)
                return False
        waited_ms = self._clock.now_ms() - started_ms
        batch = result.unwrap()
        self._record_success()
        if batch.compacted:
            logger.warning(
                "watch history compacted; reading the prefix again",
                extra={"prefix": self._prefix, "revision": self.state.revision},
            )
            return True
        self.apply_changes(batch.events, batch.revision)
        if batch.events:
            self._batch_delay_ms = self._batch_delay.next_ms(
                self._batch_delay_ms, waited_ms
            )
            self._clock.sleep_ms(self._batch_delay_ms)
        self._is_fetch_rate_exceeded = self._exceeds_fetch_rate(batch.events)
        return self._is_fetch_rate_exceeded

    def _exceeds_fetch_rate(self, events: list[WatchEvent]) -> bool:
        """Returns whether changes may arrive faster than watches can fetch them.

        A watch transfers every intermediate value, a read only the latest one.
        """
        sizes = [len(event.value or b"") for event in events]
        return (
            _repeats_long_value(events)
            or max(sizes, default=0) >= self.slow_value_bytes
        )

    def _apply(self, event: WatchEvent) -> None:
        if not self.state.apply(event):
            return
        try:
            self._on_change(event)
        except Exception:
            logger.exception("change listener failed", extra={"key": event.key})

    def _record_success(self) -> None:
        self._retry_ms = RETRY_MIN_MS
        if not self.connected:
            logger.info("store regained", extra={"prefix": self._prefix})
        self.connected = True
        self.has_synced = True
        self.state.store_contact_ms = self._clock.now_ms()

    def _record_failure(self, error: StoreError) -> None:
        if self.connected or not self.has_synced:
            logger.warning(
                "store lost", extra={"prefix": self._prefix, "reason": error.cause}
            )
        self.connected = False
        self.state.store_contact_ms = float("-inf")
        shortest_ms, longest_ms = self.retry_bounds_ms()
        delay_ms = max(shortest_ms, self._retry_ms)
        self._clock.sleep_ms(delay_ms)
        self._retry_ms = min(longest_ms, delay_ms * 2)


def _repeats_long_value(events: list[WatchEvent]) -> bool:
    """Returns whether a long value was sent repeatedly, though only the last counts."""
    long_keys = [e.key for e in events if len(e.value or b"") >= LONG_VALUE_BYTES]
    return len(long_keys) > len(set(long_keys))
