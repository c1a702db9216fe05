"""The ordered log of changes in the store, truncated after snapshots."""

from __future__ import annotations

import logging
import uuid
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from jayswitch.config.changes import apply_entry
from jayswitch.config.codec import (
    decode_entry,
    decode_state,
    encode_entry,
    encode_state,
)
from jayswitch.config.exceptions import LogUnavailable
from jayswitch.config.state import Entry
from jayswitch.exceptions import JayswitchError
from jayswitch.store.exceptions import StoreError, StoreUnavailable
from jayswitch.store.interface import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.config.replica import ConfigReplica
    from jayswitch.config.state import AnyChange
    from jayswitch.store.interface import Store

LOG_PREFIX = "log/"
SNAPSHOT_KEY = "snapshot"
SNAPSHOT_EVERY_ENTRIES = 200
RETAINED_ENTRIES = 400
READ_PAGE_ENTRIES = 256
APPEND_ATTEMPTS = 40
APPEND_RETRY_MS = 50
CONFIRM_ATTEMPTS = 6
CONFIRM_RETRY_MS = 250

logger = logging.getLogger(__name__)


def log_key(index: int) -> str:
    """Returns the key of an entry; keys sort in the order of their indexes."""
    return f"{LOG_PREFIX}{index:012d}"


class ConfigLog:
    """Reads and appends log entries.

    An entry is appended by a compare-and-swap that creates the next key.
    """

    def __init__(self, store: Store, replica: ConfigReplica, clock: Clock) -> None:
        """Initializes the log with the replica to which entries are applied."""
        self._store = store
        self._replica = replica
        self._clock = clock

    def catch_up(self) -> Result[int, StoreError]:
        """Applies all entries in the store that the replica has not yet applied.

        Returns the resulting version of the replica.
        """
        while True:
            before = self._replica.version
            page = self._store.scan(LOG_PREFIX, log_key(before), READ_PAGE_ENTRIES)
            if isinstance(page, Failure):
                return page
            values = page.unwrap()
            applied = sum(self._replica.apply_if_next(value.value) for value in values)
            if not values:
                return Success(self._replica.version)
            if not applied:
                loaded = self._load_snapshot(before)
                if not isinstance(loaded, Success) or self._replica.version == before:
                    return loaded

    def _load_snapshot(self, before: int) -> Result[int, StoreError]:
        found = self._store.get(SNAPSHOT_KEY)
        if isinstance(found, Failure):
            return found
        stored = found.unwrap()
        if stored is not None:
            self._replica.apply_snapshot(stored.value)
        return Success(self._replica.version)

    def append(self, change: AnyChange, author: str) -> Result[Entry, JayswitchError]:
        """Appends a change after validating it against the newest version.

        If the response to the write is lost, the entry is read back. Success means
        that the change is in the log; LogUnavailable means that it may or may not be.
        """
        change_id = uuid.uuid4().hex
        last_error: JayswitchError | None = None
        maybe_written = False
        for _ in range(APPEND_ATTEMPTS):
            caught_up = self.catch_up()
            if isinstance(caught_up, Failure):
                return Failure(LogUnavailable(change_id, str(caught_up.failure())))
            entry = self._next_entry(change, change_id, author)
            checked = apply_entry(self._replica.state, entry)
            if isinstance(checked, Failure):
                return self._reject(change_id, checked.failure(), maybe_written)
            key = log_key(entry.index)
            match self._store.put(key, encode_entry(entry), 0):
                case Success(_):
                    return self._apply_accepted(entry)
                case Failure(error):
                    last_error = error
                    maybe_written = maybe_written or isinstance(error, StoreUnavailable)
                    resolved = self._resolve_write(entry, error)
                    if resolved is not None:
                        return resolved
            self._clock.sleep_ms(APPEND_RETRY_MS)
        return Failure(LogUnavailable(change_id, str(last_error)))

    def _reject(
        self, change_id: str, error: JayswitchError, maybe_written: bool
    ) -> Result[Entry, JayswitchError]:
        """Returns the error, or LogUnavailable if an earlier write may take effect."""
        if maybe_written:
            return Failure(LogUnavailable(change_id, str(error)))
        return Failure(error)

    def _next_entry(self, change: AnyChange, change_id: str, author: str) -> Entry:
        return Entry(
            index=self._replica.version + 1,
            change_id=change_id,
            author=author,
            at_ms=self._clock.wall_ms(),
            change=change,
        )

    def _apply_accepted(self, entry: Entry) -> Result[Entry, JayswitchError]:
        self._replica.apply_if_next(encode_entry(entry))
        return Success(entry)

    def _resolve_write(
        self, entry: Entry, error: StoreError
    ) -> Result[Entry, JayswitchError] | None:
        """Reads the entry back to find out whether a failed write took effect.

        Also needed if the store rejected the write: an earlier attempt, whose response
        was lost, may have created the key. Returns None if the change is not in the
        log. It may then be retried without a duplicate, because an attempt that is
        still in flight can only create the same key.
        """
        for _ in range(CONFIRM_ATTEMPTS):
            match self._store.get(log_key(entry.index)):
                case Success(None):
                    return None
                case Success(stored):
                    found = decode_entry(stored.value)
                    is_own = found.map(lambda other: other.change_id == entry.change_id)
                    return (
                        self._apply_accepted(entry) if is_own.value_or(False) else None
                    )
                case Failure():
                    self._clock.sleep_ms(CONFIRM_RETRY_MS)
        return Failure(LogUnavailable(entry.change_id, str(error)))

    def save_snapshot(self) -> Result[int, StoreError]:
        """Stores the replica's state and deletes entries that it replaces.

        The last RETAINED_ENTRIES are kept. Returns the number of deleted entries.
        """
        state = self._replica.state
        data = encode_state(state)
        if len(data) > MAX_VALUE_BYTES:
            logger.error(
                "snapshot exceeds the store's value size limit", extra={"b": len(data)}
            )
            return Success(0)
        match self._store.get(SNAPSHOT_KEY):
            case Success(stored):
                revision = stored.revision if stored is not None else 0
                if stored is not None and self._covers_version(
                    stored.value, state.version
                ):
                    return Success(0)
            case Failure(error):
                return Failure(error)
        match self._store.put(SNAPSHOT_KEY, data, revision):
            case Failure(error):
                return Failure(error)
        return self._delete_entries(state.version - RETAINED_ENTRIES)

    def _covers_version(self, data: bytes, version: int) -> bool:
        """Returns whether a snapshot is of the given version or a later one.

        True if this release cannot decode the snapshot, which must not be replaced.
        """
        stored = decode_state(data).map(lambda state: state.version >= version)
        return stored.value_or(True)

    def _delete_entries(self, up_to: int) -> Result[int, StoreError]:
        match self._store.scan(LOG_PREFIX, "", SNAPSHOT_EVERY_ENTRIES * 2):
            case Success(values):
                old = [value for value in values if value.key <= log_key(up_to)]
            case Failure(error):
                return Failure(error)
        for value in old:
            self._store.delete(value.key, value.revision)
        return Success(len(old))
