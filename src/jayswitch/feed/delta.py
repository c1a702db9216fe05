"""Deltas between two versions of a long text value."""

from __future__ import annotations

import zlib

import msgspec

from jayswitch.feed.exceptions import DeltaMismatch

# Splits a text into parts at the end of each JSON object.
SEPARATOR = b"}"


class Copy(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A range of parts of the earlier text; the last index is exclusive."""

    first: int
    last: int


class Insert(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Text that is not in the earlier version at this position."""

    text: bytes


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Steps that turn an earlier text into a later one, and the later checksum."""

    steps: list[Copy | Insert]
    checksum: int


def make_delta(earlier: bytes, later: bytes) -> Delta:
    """Returns the delta from the earlier to the later text."""
    parts = earlier.split(SEPARATOR)
    index_by_part = {part: index for index, part in enumerate(parts)}
    steps = _StepBuilder()
    next_index = 0
    for part in later.split(SEPARATOR):
        index: int | None = next_index
        if next_index >= len(parts) or parts[next_index] != part:
            index = index_by_part.get(part)
        if index is None:
            steps.insert(part)
        else:
            steps.copy(index)
            next_index = index + 1
    return Delta(steps.finish(), zlib.crc32(later))


class _StepBuilder:
    """Merges adjacent copies and adjacent insertions into one step each."""

    __slots__ = ("_first", "_inserted_parts", "_last", "_steps")

    def __init__(self) -> None:
        self._steps: list[Copy | Insert] = []
        self._inserted_parts: list[bytes] = []
        self._first = self._last = 0

    def insert(self, part: bytes) -> None:
        self._end_copy()
        self._inserted_parts.append(part)

    def copy(self, index: int) -> None:
        self._end_insert()
        if index != self._last:
            self._end_copy()
            self._first = index
        self._last = index + 1

    def finish(self) -> list[Copy | Insert]:
        self._end_copy()
        self._end_insert()
        return self._steps

    def _end_copy(self) -> None:
        if self._last > self._first:
            self._steps.append(Copy(self._first, self._last))
        self._first = self._last

    def _end_insert(self) -> None:
        if self._inserted_parts:
            self._steps.append(Insert(SEPARATOR.join(self._inserted_parts)))
            self._inserted_parts = []


def apply_delta(earlier: bytes, delta: Delta) -> bytes:
    """Returns the later text; raises DeltaMismatch if the delta does not apply."""
    parts = earlier.split(SEPARATOR)
    restored: list[bytes] = []
    for step in delta.steps:
        if isinstance(step, Insert):
            restored.append(step.text)
        elif 0 <= step.first < step.last <= len(parts):
            restored.extend(parts[step.first : step.last])
        else:
            raise DeltaMismatch("copy range exceeds the base value")
    later = SEPARATOR.join(restored)
    if zlib.crc32(later) != delta.checksum:
        raise DeltaMismatch("checksum mismatch")
    return later
