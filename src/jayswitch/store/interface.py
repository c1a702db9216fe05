"""Interface to the platform's key-value service."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

import msgspec
from returns.result import Result

from jayswitch.store.exceptions import StoreError

MAX_VALUE_BYTES = 1_000_000


class StoredValue(msgspec.Struct, frozen=True):
    """A key and its value; the revision increases with every write to the store."""

    key: str
    value: bytes
    revision: int
    lease: str = ""


class WatchEvent(msgspec.Struct, frozen=True):
    """A change to a watched key; value is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes up to a revision; if compacted, the prefix must be read again."""

    revision: int
    events: list[WatchEvent]
    compacted: bool = False


class Snapshot(msgspec.Struct, frozen=True):
    """Every value under a prefix; changes after the revision may be missing."""

    values: list[StoredValue]
    revision: int


class Write(msgspec.Struct, frozen=True):
    """One key of a transaction; if it has a lease, the key is deleted with the lease.

    An expected revision of 0 requires that the key does not exist; None accepts any
    revision.
    """

    key: str
    value: bytes
    expected_revision: int | None = None
    lease: str = ""


class Store(Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    After a StoreUnavailable failure, a write may or may not have been applied.
    """

    calls_by_kind: Counter[str]

    def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Returns the key's value, or None if the key does not exist."""

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[StoredValue], StoreError]:
        """Returns the values under a prefix, ordered by key, after the given key."""

    def read(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Returns every value under a prefix.

        A stale read is cheaper and may return a state that is seconds old.
        """

    def put(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> Result[int, StoreError]:
        """Writes if the key has the expected revision (0: if it does not exist).

        Returns the new revision.
        """

    def delete(self, key: str, expected_revision: int) -> Result[None, StoreError]:
        """Deletes the key if it has the expected revision."""

    def grant_lease(self, ttl_ms: int) -> Result[str, StoreError]:
        """Returns the id of a new lease."""

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renews the lease for its time to live."""

    def revoke(self, lease: str) -> Result[None, StoreError]:
        """Revokes the lease and deletes its keys."""

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Waits for changes under the prefix after the revision.

        A negative revision returns the latest one immediately, without changes.
        """

    def commit(self, writes: list[Write]) -> Result[int, StoreError]:
        """Writes all keys or none atomically; returns the new revision."""
