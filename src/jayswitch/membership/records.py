"""Soft state shared between nodes: records with versions, sources and a change log."""

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
    """A record with the link it came from and its place in the change log."""

    __slots__ = ("changed_ms", "orphaned_ms", "record", "seq", "source")

    def __init__(
        self, record: Record, source: str, seq: int, changed_ms: float
    ) -> None:
        """Takes the name of the node that sent the record; LOCAL_SOURCE for our own."""
        self.record = record
        self.source = source
        self.seq = seq
        self.changed_ms = changed_ms
        self.orphaned_ms: float | None = None

    @property
    def is_orphaned(self) -> bool:
        """Tells whether the link that the record came from has been lost."""
        return self.orphaned_ms is not None


def record_version(record: Record) -> tuple[int, int, bool]:
    """Returns what orders two versions of a record; a removal follows its version."""
    return record.incarnation, record.counter, record.gone


class RecordTable:
    """Keeps the newest version of each record and the order of changes."""

    def __init__(self, node: str, clock: Clock) -> None:
        """Takes the node's name; its incarnation is the time it started."""
        self.node = node
        self.seq = 0
        self.incarnation = clock.wall_ms()
        self._clock = clock
        self._counter = 0
        self._stored_by_key: dict[str, StoredRecord] = {}
        self._listeners: list[RecordListener] = []

    def on_change(self, listener: RecordListener) -> None:
        """Calls the listener with each record that has changed."""
        self._listeners.append(listener)

    def publish(self, key: str, kind: str, payload: bytes, service: str = "") -> None:
        """Stores a new version of a record of this node's own."""
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
        """Raises the version of every own record, so that it spreads anew."""
        for stored in list(self._stored_by_key.values()):
            if stored.source == LOCAL_SOURCE and stored.record.origin == self.node:
                if not stored.record.gone:
                    self._republish(stored.record)

    def merge(self, record: Record, source: str) -> bool:
        """Takes a record from another node; tells whether anything changed.

        An own record that others hold a later version of, or hold for gone, is
        published again above that version.
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
        """Marks a record as gone and spreads that, except to the source."""
        stored = self._stored_by_key.get(key)
        if stored is not None and not stored.record.gone:
            self._store(msgspec.structs.replace(stored.record, gone=True), source)

    def mark_orphaned(self, source: str) -> None:
        """Notes that the link which records came from has been lost."""
        now_ms = self._clock.now_ms()
        for stored in self._stored_by_key.values():
            known = stored.is_orphaned or stored.record.kind == KIND_MARK
            if stored.source == source and not known:
                stored.orphaned_ms = now_ms

    def remove_orphans(
        self, wanted: Callable[[StoredRecord], bool], source: str = LOCAL_SOURCE
    ) -> int:
        """Removes those records of lost links that no other link has brought.

        Returns how many there were; the removal is not sent back to the source.
        """
        keys = [
            key
            for key, stored in self._stored_by_key.items()
            if stored.is_orphaned and not stored.record.gone and wanted(stored)
        ]
        for key in keys:
            self.remove(key, source)
        return len(keys)

    def discard_foreign(self, unwanted: Callable[[StoredRecord], bool]) -> None:
        """Drops foreign records that nobody below this node needs any more."""
        for key, stored in list(self._stored_by_key.items()):
            if stored.source != LOCAL_SOURCE and unwanted(stored):
                del self._stored_by_key[key]

    def purge_tombstones(self) -> None:
        """Drops removals that every reachable node has heard of by now."""
        before_ms = self._clock.now_ms() - TOMBSTONE_RETENTION_MS
        for key, stored in list(self._stored_by_key.items()):
            if stored.record.gone and stored.changed_ms < before_ms:
                del self._stored_by_key[key]

    def get(self, key: str) -> Record | None:
        """Returns the record under a key unless it is gone."""
        stored = self._stored_by_key.get(key)
        if stored is None or stored.record.gone:
            return None
        return stored.record

    def by_kind(self, kind: str) -> Iterator[Record]:
        """Iterates over the records of a kind that are not gone."""
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
        """Returns how many records are held, removals included."""
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
        # Many records share these strings.
        record.kind = sys.intern(record.kind)
        record.service = sys.intern(record.service)
        now_ms = self._clock.now_ms()
        # Inserted anew, so that the dictionary stays in the order of changes.
        self._stored_by_key.pop(record.key, None)
        self._stored_by_key[record.key] = StoredRecord(record, source, self.seq, now_ms)
        for listener in self._listeners:
            listener(record)
