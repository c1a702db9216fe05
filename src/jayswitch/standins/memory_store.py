"""In-memory stand-in for the platform's key-value store, with fault injection."""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event
from returns.result import Failure, Result, Success
from sortedcontainers import SortedDict

from jayswitch.clock import MS_PER_S
from jayswitch.store.exceptions import (
    CasConflict,
    LeaseExpired,
    StoreError,
    StoreThrottled,
    StoreUnavailable,
)
from jayswitch.store.interface import (
    Snapshot,
    StoredValue,
    WatchBatch,
    WatchEvent,
    Write,
)

if TYPE_CHECKING:
    from jayswitch.clock import Clock

MAX_EVENTS = 10_000
UNAVAILABLE_DELAY_MS = 50


class StoreFaults:
    """Faults to inject, and rate limits.

    lose_answers is the fraction of writes that are applied without a response.
    stale_revision is the revision that stale reads return; None for the latest one.
    """

    __slots__ = (
        "down",
        "slow_ms",
        "lose_answers",
        "reads_per_s",
        "stale_revision",
        "writes_per_s",
    )

    def __init__(self) -> None:
        """Starts without faults."""
        self.down = False
        self.slow_ms = 0.0
        self.lose_answers = 0.0
        self.reads_per_s = 2000
        self.stale_revision: int | None = None
        self.writes_per_s = 500


class _Lease:
    __slots__ = ("ttl_ms", "expires_ms", "keys")

    def __init__(self, ttl_ms: int, expires_ms: float) -> None:
        self.ttl_ms = ttl_ms
        self.expires_ms = expires_ms
        self.keys: set[str] = set()


class _TokenBucket:
    """Token bucket whose capacity is the number of calls allowed in one second."""

    __slots__ = ("tokens", "refilled_ms")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.refilled_ms = float("-inf")

    def take(self, now_ms: float, per_s: int) -> bool:
        elapsed_s = (now_ms - self.refilled_ms) / MS_PER_S
        self.tokens = min(float(per_s), self.tokens + elapsed_s * per_s)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class MemoryStore:
    """In-memory store with compare-and-swap, leases and watches."""

    def __init__(self, clock: Clock, seed: int = 1) -> None:
        """Takes the clock for lease expiry and the seed for lost responses."""
        self.faults = StoreFaults()
        self.calls_by_kind: Counter[str] = Counter()
        self._clock = clock
        self._random = random.Random(seed)
        self._values_by_key: SortedDict = SortedDict()
        self._leases_by_id: dict[str, _Lease] = {}
        self._events: deque[WatchEvent] = deque(maxlen=MAX_EVENTS)
        self._revision = 0
        self._last_lease_number = 0
        self._waiters: list[Event] = []
        self._read_bucket = _TokenBucket()
        self._write_bucket = _TokenBucket()

    def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Returns the key's value, or None if the key does not exist."""
        rejection = self._admit("get", self._read_bucket)
        if rejection is not None:
            return Failure(rejection)
        return self._answer(self._values_by_key.get(key))

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[StoredValue], StoreError]:
        """Returns the values below a prefix, ordered by key, after the given key."""
        rejection = self._admit("scan", self._read_bucket)
        if rejection is not None:
            return Failure(rejection)
        found: list[StoredValue] = []
        for key in self._values_by_key.irange(max(prefix, after)):
            if not key.startswith(prefix) or len(found) >= limit:
                break
            if key > after:
                found.append(self._values_by_key[key])
        return self._answer(found)

    def read(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Returns every value below a prefix.

        A stale read returns the state at faults.stale_revision and is not throttled.
        """
        if allow_stale:
            return self._read_stale(prefix)
        return self.scan(prefix, "", len(self._values_by_key) + 1).map(
            lambda values: Snapshot(values, self._revision)
        )

    def _read_stale(self, prefix: str) -> Result[Snapshot, StoreError]:
        rejection = self._admit("stale_read", None)
        if rejection is not None:
            return Failure(rejection)
        revision = self.faults.stale_revision
        if revision is None:
            revision = self._revision
        value_by_key: dict[str, StoredValue] = {}
        for event in self._events:
            if event.revision > revision or not event.key.startswith(prefix):
                continue
            value_by_key.pop(event.key, None)
            if event.value is not None:
                value_by_key[event.key] = StoredValue(
                    event.key, event.value, event.revision
                )
        return Success(Snapshot(list(value_by_key.values()), revision))

    def put(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> Result[int, StoreError]:
        """Writes the key if it has the expected revision (0: if it does not exist)."""
        rejection = self._admit("put", self._write_bucket)
        if rejection is not None:
            return Failure(rejection)
        if lease and lease not in self._leases_by_id:
            return Failure(LeaseExpired(lease))
        if self._revision_of(key) != expected_revision:
            return Failure(CasConflict(key))
        self._revision += 1
        self._values_by_key[key] = StoredValue(key, value, self._revision, lease)
        if lease:
            self._leases_by_id[lease].keys.add(key)
        self._publish(WatchEvent(key, value, self._revision))
        return self._answer(self._revision, write=True)

    def commit(self, writes: list[Write]) -> Result[int, StoreError]:
        """Writes all keys atomically and returns the new revision."""
        rejection = self._admit("commit", self._write_bucket)
        if rejection is not None:
            return Failure(rejection)
        for write in writes:
            if write.lease and write.lease not in self._leases_by_id:
                return Failure(LeaseExpired(write.lease))
            expected = write.expected_revision
            if expected is not None and self._revision_of(write.key) != expected:
                revision_by_key = {
                    other.key: self._revision_of(other.key)
                    for other in writes
                    if other.expected_revision is not None
                }
                return Failure(CasConflict(write.key, revision_by_key))
        self._revision += 1
        for write in writes:
            stored = StoredValue(write.key, write.value, self._revision, write.lease)
            self._values_by_key[write.key] = stored
            if write.lease:
                self._leases_by_id[write.lease].keys.add(write.key)
            self._publish(WatchEvent(write.key, write.value, self._revision))
        return self._answer(self._revision, write=True)

    def delete(self, key: str, expected_revision: int) -> Result[None, StoreError]:
        """Deletes the key if it has the expected revision."""
        rejection = self._admit("delete", self._write_bucket)
        if rejection is not None:
            return Failure(rejection)
        if self._revision_of(key) != expected_revision:
            return Failure(CasConflict(key))
        self._remove(key)
        return self._answer(None, write=True)

    def grant_lease(self, ttl_ms: int) -> Result[str, StoreError]:
        """Creates a lease and returns its id."""
        rejection = self._admit("grant_lease", self._write_bucket)
        if rejection is not None:
            return Failure(rejection)
        self._last_lease_number += 1
        lease = f"lease-{self._last_lease_number}"
        expires_ms = self._clock.now_ms() + ttl_ms
        self._leases_by_id[lease] = _Lease(ttl_ms, expires_ms)
        return self._answer(lease, write=True)

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renews the lease for its time to live."""
        rejection = self._admit("keep_alive", self._write_bucket)
        if rejection is not None:
            return Failure(rejection)
        held = self._leases_by_id.get(lease)
        if held is None:
            return Failure(LeaseExpired(lease))
        held.expires_ms = self._clock.now_ms() + held.ttl_ms
        return self._answer(None, write=True)

    def revoke(self, lease: str) -> Result[None, StoreError]:
        """Revokes the lease, which deletes its keys."""
        rejection = self._admit("revoke", self._write_bucket)
        if rejection is not None:
            return Failure(rejection)
        self.expire_lease(lease)
        return self._answer(None, write=True)

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Waits for changes below the prefix after the revision."""
        rejection = self._admit("watch", self._read_bucket)
        if rejection is not None:
            return Failure(rejection)
        if after_revision < 0:
            return Success(WatchBatch(self._revision, []))
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            if self.faults.down:
                return Failure(StoreUnavailable("the service is down"))
            batch = self._batch_after(prefix, after_revision)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if batch.events or batch.compacted or remaining_ms <= 0:
                return Success(batch)
            # Each watch waits for its own event, so that watches wake up in order.
            changed = Event()
            self._waiters.append(changed)
            with eventlet.Timeout(min(remaining_ms, MS_PER_S) / MS_PER_S, False):
                changed.wait()
            if changed in self._waiters:
                self._waiters.remove(changed)
            self._expire_due_leases()

    def expire_lease(self, lease: str) -> None:
        """Expires a lease immediately, as if its time to live had elapsed."""
        held = self._leases_by_id.pop(lease, None)
        if held is None:
            return
        for key in sorted(held.keys):
            if key in self._values_by_key and self._values_by_key[key].lease == lease:
                self._remove(key)

    def _admit(self, kind: str, bucket: _TokenBucket | None) -> StoreError | None:
        self.calls_by_kind[kind] += 1
        if self.faults.slow_ms:
            self._clock.sleep_ms(self.faults.slow_ms)
        if self.faults.down:
            self._clock.sleep_ms(UNAVAILABLE_DELAY_MS)
            return StoreUnavailable("the service is down")
        self._expire_due_leases()
        if bucket is None:
            return None
        is_write = bucket is self._write_bucket
        per_s = self.faults.writes_per_s if is_write else self.faults.reads_per_s
        if not bucket.take(self._clock.now_ms(), per_s):
            self.calls_by_kind["throttled"] += 1
            return StoreThrottled()
        return None

    def _answer(self, value: Any, write: bool = False) -> Result[Any, StoreError]:
        loss_fraction = self.faults.lose_answers
        if write and loss_fraction and self._random.random() < loss_fraction:
            return Failure(StoreUnavailable("the answer was lost"))
        return Success(value)

    def _revision_of(self, key: str) -> int:
        value = self._values_by_key.get(key)
        return value.revision if value is not None else 0

    def _remove(self, key: str) -> None:
        del self._values_by_key[key]
        self._revision += 1
        self._publish(WatchEvent(key, None, self._revision))

    def _publish(self, event: WatchEvent) -> None:
        self._events.append(event)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.send(None)

    def _expire_due_leases(self) -> None:
        now_ms = self._clock.now_ms()
        expired = [
            lease
            for lease, held in self._leases_by_id.items()
            if held.expires_ms <= now_ms
        ]
        for lease in expired:
            self.expire_lease(lease)

    def _batch_after(self, prefix: str, after_revision: int) -> WatchBatch:
        if self._events and self._events[0].revision > after_revision + 1:
            return WatchBatch(self._revision, [], compacted=True)
        events = [
            event
            for event in self._events
            if event.revision > after_revision and event.key.startswith(prefix)
        ]
        return WatchBatch(self._revision, events)
