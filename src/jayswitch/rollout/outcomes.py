"""Counts of call outcomes by version and route."""

from __future__ import annotations

import bisect

import msgspec

from jayswitch.models import Model

LATENCY_BUCKETS = 32
BUCKET_FACTOR = 1.5
FIRST_BUCKET_MS = 0.25
BUCKET_BOUNDS_MS = [
    FIRST_BUCKET_MS * BUCKET_FACTOR**exponent for exponent in range(LATENCY_BUCKETS - 1)
]


def latency_bucket(latency_ms: float) -> int:
    """Returns the index of the histogram bucket for a latency."""
    return bisect.bisect_left(BUCKET_BOUNDS_MS, latency_ms)


class RouteOutcomes(Model):
    """Calls, errors and a sparse latency histogram of one version and route.

    The histogram holds only calls without an error to an upstream that was warm.
    """

    calls: int = 0
    errors: int = 0
    latency_counts: dict[int, int] = msgspec.field(default_factory=dict)

    def record(self, failed: bool, latency_ms: float | None) -> None:
        """Counts one call; the latency is None where it must not be compared."""
        self.calls += 1
        if failed:
            self.errors += 1
        elif latency_ms is not None:
            bucket = latency_bucket(latency_ms)
            self.latency_counts[bucket] = self.latency_counts.get(bucket, 0) + 1

    def add(self, other: RouteOutcomes) -> None:
        """Adds the counts of another observer."""
        self.calls += other.calls
        self.errors += other.errors
        for bucket, count in other.latency_counts.items():
            self.latency_counts[bucket] = self.latency_counts.get(bucket, 0) + count

    def since(self, earlier: RouteOutcomes) -> RouteOutcomes:
        """Returns the difference from an earlier copy."""
        return RouteOutcomes(
            calls=self.calls - earlier.calls,
            errors=self.errors - earlier.errors,
            latency_counts={
                bucket: count - earlier.latency_counts.get(bucket, 0)
                for bucket, count in self.latency_counts.items()
            },
        )

    def copy(self) -> RouteOutcomes:
        """Returns an independent copy."""
        return RouteOutcomes(
            calls=self.calls,
            errors=self.errors,
            latency_counts=dict(self.latency_counts),
        )


class OutcomeKey(msgspec.Struct, frozen=True, array_like=True):
    """The key of outcome counts; the profile is that of the entry node."""

    profile: str
    service: str
    version: str
    route: str


class KeyedOutcomes(Model):
    """One row of an outcomes record."""

    key: OutcomeKey
    outcomes: RouteOutcomes


class OutcomeCounter:
    """Cumulative outcomes since the process started."""

    __slots__ = ("by_key",)

    def __init__(self) -> None:
        """Starts with no outcomes."""
        self.by_key: dict[OutcomeKey, RouteOutcomes] = {}

    def record(self, key: OutcomeKey, failed: bool, latency_ms: float | None) -> None:
        """Counts one call."""
        outcomes = self.by_key.get(key)
        if outcomes is None:
            outcomes = self.by_key[key] = RouteOutcomes()
        outcomes.record(failed, latency_ms)

    def encode(self, services: set[str]) -> bytes:
        """Returns the rows of the given services as MessagePack."""
        rows = [
            KeyedOutcomes(key=key, outcomes=outcomes)
            for key, outcomes in self.by_key.items()
            if key.service in services
        ]
        return msgspec.msgpack.encode(rows)


_rows_decoder = msgspec.msgpack.Decoder(list[KeyedOutcomes])


def decode_outcomes(payload: bytes) -> list[KeyedOutcomes]:
    """Returns the rows of an outcomes record; an empty list if decoding fails."""
    try:
        return _rows_decoder.decode(payload)
    except msgspec.DecodeError:
        return []
