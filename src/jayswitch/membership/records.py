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

SELF = ""
GONE_KEPT_MS = 120_000.0

RecordListener = Callable[[Record], None]


class HeldRecord:
    """A record with the link it came from and its place in the change log."""

    __slots__ = ("changed_ms", "orphaned_ms", "record", "seq", "source")

    def __init__(
        self, record: Record, source: str, seq: int, changed_ms: float
    ) -> None:
        """Takes the name of the node that sent the record; SELF for our own."""
        self.record = record
        self.source = source
        self.seq = seq
        self.changed_ms = changed_ms
        self.orphaned_ms: float | None = None

    @property
    def orphaned(self) -> bool:
        """Tells whether the link that the record came from has been lost."""
        return self.orphaned_ms is not None


def version_of(record: Record) -> tuple[int, int, bool]:
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
        self._held_by_key: dict[str, HeldRecord] = {}
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
        self._store(record, SELF)

    def republish_own(self) -> None:
        """Raises the version of every own record, so that it spreads anew."""
        for held in list(self._held_by_key.values()):
            if held.source == SELF and held.record.origin == self.node:
                if not held.record.gone:
                    self._republish(held.record)

    def merge(self, record: Record, source: str) -> bool:
        """Takes a record from another node; tells whether anything changed.

        An own record that others hold a later version of, or hold for gone, is
        published again above that version.
        """
        held = self._held_by_key.get(record.key)
        if record.origin == self.node and record.kind != KIND_MARK:
            return self._defend(record, held)
        if held is None:
            if record.gone:
                return False
            self._store(record, source)
            return True
        if record.kind == KIND_MARK:
            return False
        if version_of(record) > version_of(held.record):
            self._store(record, source)
            return True
        if held.orphaned and version_of(record) == version_of(held.record):
            held.source = source
            held.orphaned_ms = None
        return False

    def remove(self, key: str, source: str = SELF) -> None:
        """Marks a record as gone and spreads that, except to the source."""
        held = self._held_by_key.get(key)
        if held is not None and not held.record.gone:
            self._store(msgspec.structs.replace(held.record, gone=True), source)

    def orphan(self, source: str) -> None:
        """Notes that the link which records came from has been lost."""
        now_ms = self._clock.now_ms()
        for held in self._held_by_key.values():
            known = held.orphaned or held.record.kind == KIND_MARK
            if held.source == source and not known:
                held.orphaned_ms = now_ms

    def remove_orphans(
        self, wanted: Callable[[HeldRecord], bool], source: str = SELF
    ) -> int:
        """Removes those records of lost links that no other link has brought.

        Returns how many there were; the removal is not sent back to the source.
        """
        keys = [
            key
            for key, held in self._held_by_key.items()
            if held.orphaned and not held.record.gone and wanted(held)
        ]
        for key in keys:
            self.remove(key, source)
        return len(keys)

    def forget(self, unwanted: Callable[[HeldRecord], bool]) -> None:
        """Drops foreign records that nobody below this node needs any more."""
        for key, held in list(self._held_by_key.items()):
            if held.source != SELF and unwanted(held):
                del self._held_by_key[key]

    def purge_gone(self) -> None:
        """Drops removals that every reachable node has heard of by now."""
        before_ms = self._clock.now_ms() - GONE_KEPT_MS
        for key, held in list(self._held_by_key.items()):
            if held.record.gone and held.changed_ms < before_ms:
                del self._held_by_key[key]

    def get(self, key: str) -> Record | None:
        """Returns the record under a key unless it is gone."""
        held = self._held_by_key.get(key)
        if held is None or held.record.gone:
            return None
        return held.record

    def by_kind(self, kind: str) -> Iterator[Record]:
        """Iterates over the records of a kind that are not gone."""
        for held in list(self._held_by_key.values()):
            if held.record.kind == kind and not held.record.gone:
                yield held.record

    def changed_since(self, seq: int) -> list[HeldRecord]:
        """Returns the records changed after a sequence number, oldest first."""
        if seq >= self.seq:
            return []
        changed = []
        for held in reversed(self._held_by_key.values()):
            if held.seq <= seq:
                break
            changed.append(held)
        changed.reverse()
        return changed

    def __len__(self) -> int:
        """Returns how many records are held, removals included."""
        return len(self._held_by_key)

    def _defend(self, record: Record, held: HeldRecord | None) -> bool:
        own = held.record if held is not None else None
        if own is not None and version_of(record) <= version_of(own):
            return False
        self.incarnation = max(self.incarnation, record.incarnation)
        self._counter = max(self._counter, record.counter)
        if own is None:
            self._store(msgspec.structs.replace(record, gone=True), SELF)
        else:
            self._republish(own)
        return True

    def _republish(self, own: Record) -> None:
        self._counter += 1
        record = msgspec.structs.replace(
            own, incarnation=self.incarnation, counter=self._counter
        )
        self._store(record, SELF)

    def _store(self, record: Record, source: str) -> None:
        self.seq += 1
        # Many records share these strings.
        record.kind = sys.intern(record.kind)
        record.service = sys.intern(record.service)
        now_ms = self._clock.now_ms()
        # Inserted anew, so that the dictionary stays in the order of changes.
        self._held_by_key.pop(record.key, None)
        self._held_by_key[record.key] = HeldRecord(record, source, self.seq, now_ms)
        for listener in self._listeners:
            listener(record)
