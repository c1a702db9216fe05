"""Soft state replicated between nodes: versioned records and their change order."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import msgspec

from jayswitch.membership.member import KIND_MARK
from jayswitch.messages.generated import Record

if TYPE_CHECKING:
    from jayswitch.clock import Clock

LOCAL_SOURCE = ""
TOMBSTONE_RETENTION_MS = 120_000.0

RecordListener = Callable[[Record], None]


class StoredRecord:
    """A record with the link that delivered it and its sequence number."""

    __slots__ = ("changed_ms", "orphaned_ms", "record", "seq", "source")

    def __init__(
        self, record: Record, source: str, seq: int, changed_ms: float
    ) -> None:
        """Initializes the entry; the source is the sending node or LOCAL_SOURCE."""
        self.record = record
        self.source = source
        self.seq = seq
        self.changed_ms = changed_ms
        self.orphaned_ms: float | None = None

    @property
    def is_orphaned(self) -> bool:
        """Returns whether the link that delivered the record has been lost."""
        return self.orphaned_ms is not None


def record_version(record: Record) -> tuple[int, int, bool]:
    """Returns the sort key of a version; a tombstone sorts after its version."""
    return record.incarnation, record.counter, record.gone


class RecordTable:
    """Stores the newest version of each record, ordered by local change."""

    def __init__(self, node: str, clock: Clock) -> None:
        """Initializes an empty table; own records get the start time as incarnation."""
        self.node = node
        self.seq = 0
        self.incarnation = clock.wall_ms()
        self._clock = clock
        self._counter = 0
        self._stored_by_key: dict[str, StoredRecord] = {}
        self._listeners: list[RecordListener] = []

    def on_change(self, listener: RecordListener) -> None:
        """Registers a listener that is called with each changed record."""
        self._listeners.append(listener)

    def publish(self, key: str, kind: str, payload: bytes, service: str = "") -> None:
        """Stores a new version of one of this node's own records."""
        self._counter += 1
        record = Record(
            key=key,
            kind=kind,
            origin=self.node,
            incarnation=self.incarnation,
            counter=self._counter,
            service=service,
            payload=payload,
        )
        self._store(record, LOCAL_SOURCE)

    def republish_own(self) -> None:
        """Raises the version of every own record, so that it is distributed again."""
        for stored in list(self._stored_by_key.values()):
            if stored.source == LOCAL_SOURCE and stored.record.origin == self.node:
                if not stored.record.gone:
                    self._republish(stored.record)

    def merge(self, record: Record, source: str) -> bool:
        """Merges a record from another node; returns whether the table changed.

        If another node has a later version or a tombstone of an own record, the own
        record is published again with a higher version.
        """
        stored = self._stored_by_key.get(record.key)
        if record.origin == self.node and record.kind != KIND_MARK:
            return self._reassert_own(record, stored)
        if stored is None:
            if record.gone:
                return False
            self._store(record, source)
            return True
        if record.kind == KIND_MARK:
            return False
        if record_version(record) > record_version(stored.record):
            self._store(record, source)
            return True
        if stored.is_orphaned and record_version(record) == record_version(
            stored.record
        ):
            stored.source = source
            stored.orphaned_ms = None
        return False

    def remove(self, key: str, source: str = LOCAL_SOURCE) -> None:
        """Replaces a record by a tombstone, which is not sent back to the source."""
        stored = self._stored_by_key.get(key)
        if stored is not None and not stored.record.gone:
            self._store(msgspec.structs.replace(stored.record, gone=True), source)

    def mark_orphaned(self, source: str) -> None:
        """Marks the records that a lost link delivered as orphaned."""
        now_ms = self._clock.now_ms()
        for stored in self._stored_by_key.values():
            is_exempt = stored.is_orphaned or stored.record.kind == KIND_MARK
            if stored.source == source and not is_exempt:
                stored.orphaned_ms = now_ms

    def remove_orphans(
        self, should_remove: Callable[[StoredRecord], bool], source: str = LOCAL_SOURCE
    ) -> int:
        """Removes the selected orphans, which no other link has delivered since.

        Returns their number; the tombstones are not sent back to the source.
        """
        keys = [
            key
            for key, stored in self._stored_by_key.items()
            if stored.is_orphaned and not stored.record.gone and should_remove(stored)
        ]
        for key in keys:
            self.remove(key, source)
        return len(keys)

    def discard_foreign(self, should_discard: Callable[[StoredRecord], bool]) -> None:
        """Discards records of other nodes that this subtree no longer needs."""
        for key, stored in list(self._stored_by_key.items()):
            if stored.source != LOCAL_SOURCE and should_discard(stored):
                del self._stored_by_key[key]

    def purge_tombstones(self) -> None:
        """Deletes tombstones older than the retention time.

        Every reachable node has received them by then.
        """
        before_ms = self._clock.now_ms() - TOMBSTONE_RETENTION_MS
        for key, stored in list(self._stored_by_key.items()):
            if stored.record.gone and stored.changed_ms < before_ms:
                del self._stored_by_key[key]

    def get(self, key: str) -> Record | None:
        """Returns the record stored under a key; None if it is absent or removed."""
        stored = self._stored_by_key.get(key)
        if stored is None or stored.record.gone:
            return None
        return stored.record

    def by_kind(self, kind: str) -> Iterator[Record]:
        """Iterates over the records of a kind, without tombstones."""
        for stored in list(self._stored_by_key.values()):
            if stored.record.kind == kind and not stored.record.gone:
                yield stored.record

    def changed_since(self, seq: int) -> list[StoredRecord]:
        """Returns the records changed after a sequence number, oldest first."""
        if seq >= self.seq:
            return []
        changed = []
        for stored in reversed(self._stored_by_key.values()):
            if stored.seq <= seq:
                break
            changed.append(stored)
        changed.reverse()
        return changed

    def __len__(self) -> int:
        """Returns the number of stored records, including tombstones."""
        return len(self._stored_by_key)

    def _reassert_own(self, record: Record, stored: StoredRecord | None) -> bool:
        own = stored.record if stored is not None else None
        if own is not None and record_version(record) <= record_version(own):
            return False
        self.incarnation = max(self.incarnation, record.incarnation)
        self._counter = max(self._counter, record.counter)
        if own is None:
            self._store(msgspec.structs.replace(record, gone=True), LOCAL_SOURCE)
        else:
            self._republish(own)
        return True

    def _republish(self, own: Record) -> None:
        self._counter += 1
        record = msgspec.structs.replace(
            own, incarnation=self.incarnation, counter=self._counter
        )
        self._store(record, LOCAL_SOURCE)

    def _store(self, record: Record, source: str) -> None:
        self.seq += 1
        # Interned because many records share the same kinds and services.
        record.kind = sys.intern(record.kind)
        record.service = sys.intern(record.service)
        now_ms = self._clock.now_ms()
        # Reinserted so that the dictionary stays sorted by sequence number, on which
        # changed_since relies.
        self._stored_by_key.pop(record.key, None)
        self._stored_by_key[record.key] = StoredRecord(record, source, self.seq, now_ms)
        for listener in self._listeners:
            listener(record)
