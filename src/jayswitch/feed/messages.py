"""Feed requests and responses between proxies, and the encoding of values."""

from __future__ import annotations

import zlib
from enum import Enum

import msgspec

from jayswitch.feed.delta import Delta, apply_delta, make_delta
from jayswitch.feed.exceptions import DeltaMismatch
from jayswitch.store.prefix_state import LONG_VALUE_BYTES

FEED_PATH = "/x-jayswitch/feed"
FEED_REQUEST_HEADER = "X-Jayswitch-Feed"
# The fastest level; it compresses a configuration to a tenth of its size.
COMPRESSION_LEVEL = 1
# An idle watch of a root relay ends after 5 s, and an idle feed after 3.5 s; a change
# passes at most two feeds on its way. Relays that follow each other in a circle exceed
# this age.
MAX_STORE_AGE_MS = 12_000.0


class FeedRequest(msgspec.Struct, omit_defaults=True):
    """Requests the changes after a revision.

    held maps the key of each long value that the requester has to its revision.
    """

    prefix: str
    after: int
    wait_ms: float = 0.0
    held: dict[str, int] = {}


class ValueEncoding(Enum):
    """Encoding of a value in a change."""

    REMOVED = 0
    PLAIN = 1
    COMPRESSED = 2
    DELTA = 3


class FeedChange(msgspec.Struct, array_like=True):
    """One change; base is the revision of the value that a delta applies to."""

    key: str
    revision: int
    form: ValueEncoding
    packed: bytes = b""
    base: int = 0


class FeedResponse(msgspec.Struct):
    """The latest change of each key; a whole response lists every existing key.

    Every change up to the revision is in the response or known to the requester.
    store_age_ms is the time since the store was reached, by the sender or by a relay
    that it follows; infinite if it cannot reach the store.
    """

    revision: int
    is_whole: bool
    store_age_ms: float
    changes: list[FeedChange]

    @property
    def is_current(self) -> bool:
        """Whether the sender's state comes from a store that was reached lately."""
        return self.store_age_ms <= MAX_STORE_AGE_MS


def pack(
    key: str, revision: int, value: bytes | None, base: int, held: bytes | None
) -> FeedChange:
    """Returns a change in its smallest encoding.

    held is the value that the requester has, None if unknown; base is its revision.
    """
    if value is None:
        return FeedChange(key, revision, ValueEncoding.REMOVED)
    if len(value) < LONG_VALUE_BYTES:
        return FeedChange(key, revision, ValueEncoding.PLAIN, value)
    compressed = FeedChange(
        key, revision, ValueEncoding.COMPRESSED, zlib.compress(value, COMPRESSION_LEVEL)
    )
    if held is None:
        return compressed
    delta = msgspec.msgpack.encode(make_delta(held, value))
    if len(delta) >= len(compressed.packed):
        return compressed
    return FeedChange(key, revision, ValueEncoding.DELTA, delta, base)


def unpack(change: FeedChange, base: int, held: bytes | None) -> bytes | None:
    """Returns the value of a change, or None for a removal.

    held is the local value of the key, None if it has none; base is its revision.
    Raises DeltaMismatch if the value cannot be restored.
    """
    if change.form is ValueEncoding.REMOVED:
        return None
    if change.form is ValueEncoding.PLAIN:
        return change.packed
    if change.form is ValueEncoding.COMPRESSED:
        try:
            return zlib.decompress(change.packed)
        except zlib.error as error:
            raise DeltaMismatch(f"decompression failed: {error}") from error
    if held is None or base != change.base:
        raise DeltaMismatch(
            f"base revision {change.base} of {change.key} is not available"
        )
    return apply_delta(held, msgspec.msgpack.decode(change.packed, type=Delta))
