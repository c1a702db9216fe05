"""Publishes a proxy's record to the store under a lease and renews the lease."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
import msgspec
from eventlet.event import Event
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S
from jayswitch.fleet.records import (
    NodeRecord,
    Upstream,
    UpstreamState,
    last_state_key,
    node_key,
)
from jayswitch.store.documents import InvalidDocument, decode_document
from jayswitch.store.exceptions import CasConflict, LeaseExpired
from jayswitch.store.interface import Write

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.store.exceptions import StoreError
    from jayswitch.store.interface import Store, StoredValue

# The record of a VM that lost power expires after this time. Until then its proxy is
# suspected by those that fail to reach it, and tried again at growing intervals.
LEASE_TTL_MS = 15_000
RENEW_INTERVAL_MS = 5000.0
# Bounds of the delay between attempts while the store is unavailable. An expired record
# must be restored within 2 s of the store's return.
MIN_RETRY_MS = 250.0
MAX_RETRY_MS = 1000.0
# Revision that a write expects of a key that does not exist.
NO_RECORD_REVISION = 0

logger = logging.getLogger(__name__)


class RecordPublisher:
    """Writes the newest record and reports when it has been stored.

    The record is bound to a lease. The last state of the upstream is written in the
    same transaction without a lease, so that the next process on this VM can
    restore it.
    """

    def __init__(
        self,
        store: Store,
        vm: str,
        build_record: Callable[[], NodeRecord],
        current_upstream: Callable[[], Upstream | None],
        clock: Clock,
    ) -> None:
        """Takes functions that return the current record and upstream state."""
        # Returns the revision of this proxy's record as others know it; 0 if there is
        # none. The first write expects it, which saves a read at each start.
        self.known_record_revision: Callable[[], int] = lambda: 0
        self.restored = False
        self._store = store
        self._vm = vm
        self._build_record = build_record
        self._current_upstream = current_upstream
        self._clock = clock
        self._lease = ""
        self._requested_writes = 0
        self._stored_writes = 0
        self._changed = Event()
        self._waiters: list[Event] = []
        # Whether no earlier process of the fleet can have stored a state.
        self.is_fleet_starting = False
        # None if a write may have been applied without a response.
        self._node_revision: int | None = None
        self._last_state_revision: int | None = None
        self._retry_ms = MIN_RETRY_MS
        self._stopped = False
        self._has_written = False
        self._stored_last_state_data = b""
        self._stored_node_data = b""

    def start(self, on_restore: Callable[[Upstream | None], None]) -> None:
        """Restores an earlier process's state, then keeps the record up to date."""
        eventlet.spawn(self._run, on_restore)

    def publish(self) -> None:
        """Requests a write of the record."""
        self._requested_writes += 1
        if not self._changed.ready():
            self._changed.send(None)

    def handle_removal(self) -> None:
        """Restores the record if its lease has expired or has been revoked."""
        if not self._lease or self._stopped:
            return
        if not self._changed.ready():
            self._changed.send(None)

    def wait_until_stored(self, timeout_ms: float) -> bool:
        """Waits until all changes made so far are stored; returns False on timeout."""
        requested_writes = self._requested_writes
        with eventlet.Timeout(timeout_ms / MS_PER_S, False):
            while self._stored_writes < requested_writes:
                waiter = Event()
                self._waiters.append(waiter)
                waiter.wait()
        return self._stored_writes >= requested_writes

    def revoke_lease(self) -> None:
        """Stops publishing and revokes the lease; used at a planned stop.

        Revoking the lease removes the record, so that other proxies forget it.
        """
        self._stopped = True
        lease, self._lease = self._lease, ""
        if not lease:
            return
        match self._store.revoke(lease):
            case Failure(error):
                logger.warning(
                    "failed to revoke record lease", extra={"reason": error.cause}
                )

    def _run(self, on_restore: Callable[[Upstream | None], None]) -> None:
        while not self._restore_last_state(on_restore):
            self._clock.sleep_ms(self._next_retry_ms())
        while not self._stopped:
            if self._write_or_renew():
                self._retry_ms = MIN_RETRY_MS
                delay_ms = RENEW_INTERVAL_MS
            else:
                # The changes so far are written after the delay, a later one at once.
                self._changed = Event()
                delay_ms = self._next_retry_ms()
            with eventlet.Timeout(delay_ms / MS_PER_S, False):
                self._changed.wait()
            self._changed = Event()

    def _next_retry_ms(self) -> float:
        """Returns an exponentially growing delay."""
        delay_ms = self._retry_ms
        self._retry_ms = min(MAX_RETRY_MS, 2 * delay_ms)
        return delay_ms

    def _restore_last_state(
        self, on_restore: Callable[[Upstream | None], None]
    ) -> bool:
        match self._read_last_state():
            case Failure(error):
                self._log_failure(error)
                return False
            case Success(stored):
                pass
        upstream = None
        self._last_state_revision = 0
        if stored is not None:
            self._last_state_revision = stored.revision
            upstream = self._decode_last_state(stored.value)
        on_restore(upstream)
        self.restored = True
        return True

    def _read_last_state(self) -> Result[StoredValue | None, StoreError]:
        key = last_state_key(self._vm)
        if not self.is_fleet_starting:
            return self._store.get(key)
        # Cheaper than get; the first write expects the revision that is found here.
        return self._store.read(key, True).map(
            lambda snapshot: next((v for v in snapshot.values if v.key == key), None)
        )

    def _decode_last_state(self, data: bytes) -> Upstream | None:
        try:
            return decode_document(data, Upstream)
        except InvalidDocument as error:
            logger.warning(
                "cannot decode stored upstream state", extra={"reason": str(error)}
            )
            return None

    def _write_or_renew(self) -> bool:
        """Writes pending changes or renews the lease; returns False on failure."""
        if self._stopped or (not self._lease and not self._requested_writes):
            return True
        is_lease_new = not self._lease
        if is_lease_new:
            match self._store.grant_lease(LEASE_TTL_MS):
                case Failure(error):
                    self._log_failure(error)
                    return False
                case Success(lease):
                    self._lease = lease
            self._stored_node_data = b""
            self._requested_writes += 1
        if self._stored_writes < self._requested_writes:
            if self._write():
                return True
            has_lease_expired = not self._lease
            return has_lease_expired and not is_lease_new and self._write_or_renew()
        match self._store.keep_alive(self._lease):
            case Failure(LeaseExpired()):
                logger.warning("record lease expired", extra={"lease": self._lease})
                self._lease = ""
                self._node_revision = NO_RECORD_REVISION
                return self._write_or_renew()
            case Failure(error):
                self._log_failure(error)
                return False
        return True

    def _write(self) -> bool:
        requested_writes = self._requested_writes
        if not self._has_written:
            self._has_written = True
            self._node_revision = self.known_record_revision()
        if self._node_revision is None and not self._read_revisions():
            return False
        writes = []
        node = msgspec.json.encode(self._build_record())
        if node != self._stored_node_data:
            key = node_key(self._vm)
            writes.append(Write(key, node, self._node_revision, self._lease))
        upstream = self._current_upstream()
        last = b"" if upstream is None else msgspec.json.encode(_last_state(upstream))
        if last and last != self._stored_last_state_data:
            key = last_state_key(self._vm)
            writes.append(Write(key, last, self._last_state_revision))
        if writes and not self._commit(writes):
            return False
        self._stored_node_data = node
        self._stored_last_state_data = last
        self._stored_writes = requested_writes
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.send(None)
        return True

    def _commit(self, writes: list[Write]) -> bool:
        match self._store.commit(writes):
            case Failure(CasConflict(revision_by_key=dict() as revision_by_key)):
                return self._commit_again(writes, revision_by_key)
            case Failure(error):
                return self._handle_write_failure(error)
            case Success(revision):
                pass
        self._record_revisions(writes, lambda key: revision)
        return True

    def _commit_again(self, writes: list[Write], current: dict[str, int]) -> bool:
        """Repeats a write with the revisions that the store has reported."""
        self._record_revisions(writes, lambda key: current.get(key, 0))
        writes = [
            msgspec.structs.replace(write, expected_revision=current.get(write.key, 0))
            for write in writes
        ]
        match self._store.commit(writes):
            case Failure(error):
                return self._handle_write_failure(error)
            case Success(revision):
                self._record_revisions(writes, lambda key: revision)
        return True

    def _record_revisions(
        self, writes: list[Write], revision_of: Callable[[str], int]
    ) -> None:
        for write in writes:
            if write.lease:
                self._node_revision = revision_of(write.key)
            else:
                self._last_state_revision = revision_of(write.key)

    def _handle_write_failure(self, error: StoreError) -> bool:
        if isinstance(error, LeaseExpired):
            # Nothing was written, and the record was removed with the lease.
            self._lease = ""
            self._node_revision = NO_RECORD_REVISION
        else:
            # The write may still take effect, so the revisions that the next write
            # expects have to be read again.
            self._node_revision = None
        self._log_failure(error)
        return False

    def _read_revisions(self) -> bool:
        for key in (node_key(self._vm), last_state_key(self._vm)):
            match self._store.get(key):
                case Failure(error):
                    self._log_failure(error)
                    return False
                case Success(stored):
                    revision = 0 if stored is None else stored.revision
            if key == node_key(self._vm):
                self._node_revision = revision
            else:
                self._last_state_revision = revision
        return True

    def _log_failure(self, error: StoreError) -> None:
        logger.warning(
            "failed to access proxy record in store", extra={"reason": error.cause}
        )


def _last_state(upstream: Upstream) -> Upstream:
    """Returns the state for the next process; it need not know how an upstream left."""
    if upstream.state is UpstreamState.READY:
        return upstream
    return msgspec.structs.replace(upstream, state=UpstreamState.LEAVING, sequence=0)
