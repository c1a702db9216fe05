"""Tests of the configuration log with a faulty store."""

from __future__ import annotations

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from returns.result import Failure, Success

from jayswitch.clock import VirtualClock
from jayswitch.config.codec import decode_entry
from jayswitch.config.exceptions import LogUnavailable
from jayswitch.config.generated import DataCentreSet, ServiceSet
from jayswitch.config.log import LOG_PREFIX, ConfigLog
from jayswitch.config.replica import ConfigReplica
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.virtual_hub import use_virtual_time

WRITERS = 3


class LogMachine(RuleBasedStateMachine):
    """Several writers append while the store is down or loses responses."""

    @initialize()
    def set_up_store(self) -> None:
        """Creates one store, and a replica and log for each writer."""
        use_virtual_time()
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock, seed=5)
        self.replicas = [ConfigReplica() for _ in range(WRITERS)]
        self.logs = [ConfigLog(self.store, r, self.clock) for r in self.replicas]
        self.versions = [0] * WRITERS
        self.accepted: list[str] = []
        self.rejected_names: list[str] = []
        self.number = 0

    @rule(writer=st.integers(0, WRITERS - 1), out=st.booleans())
    def mark_data_centre(self, writer: int, out: bool) -> None:
        """Appends a change that never conflicts with another change."""
        self.append(writer, DataCentreSet(data_centre="bunbury", out=out))

    @rule(writer=st.integers(0, WRITERS - 1), expected=st.integers(0, 3))
    def mark_with_expected_version(self, writer: int, expected: int) -> None:
        """Appends a change that at most one of several concurrent writers may make."""
        self.append(
            writer,
            DataCentreSet(data_centre="busselton", out=True, expected_version=expected),
        )

    @rule(writer=st.integers(0, WRITERS - 1))
    def declare_service(self, writer: int) -> None:
        """Appends a change with a unique service name."""
        self.number += 1
        self.append(writer, ServiceSet(service=f"s{self.number}"))

    @rule(share=st.sampled_from([0.0, 0.3, 1.0]))
    def lose_answers(self, share: float) -> None:
        """Makes the store lose responses to writes that took effect."""
        self.store.faults.lose_answers = share

    @rule(down=st.booleans())
    def set_store_down(self, down: bool) -> None:
        """Makes the store unavailable or available."""
        self.store.faults.down = down

    @rule(writer=st.integers(0, WRITERS - 1))
    def catch_up(self, writer: int) -> None:
        """Makes one writer apply the entries of the others."""
        self.logs[writer].catch_up()

    @rule(writer=st.integers(0, WRITERS - 1))
    def save_snapshot(self, writer: int) -> None:
        """Makes one writer, which may lag, store a snapshot."""
        self.logs[writer].save_snapshot()

    @precondition(lambda self: not self.store.faults.down)
    @rule()
    def compare_with_new_replica(self) -> None:
        """Checks that a new replica reaches the same state as the writers."""
        fresh = ConfigReplica()
        ConfigLog(self.store, fresh, self.clock).catch_up()
        for log in self.logs:
            log.catch_up()
        for replica in self.replicas:
            assert replica.state == fresh.state

    def append(self, writer: int, change: object) -> None:
        """Appends a change and records the result that the writer received."""
        match self.logs[writer].append(change, f"writer {writer}"):
            case Success(entry):
                self.accepted.append(entry.change_id)
            case Failure(error):
                if not isinstance(error, LogUnavailable):
                    self.rejected_names.append(getattr(change, "service", ""))

    @invariant()
    def accepted_once(self) -> None:
        """Each accepted change is in the log exactly once, and no rejected one is."""
        if not hasattr(self, "store"):
            return
        stored = [
            decode_entry(value.value).unwrap()
            for key, value in self.store._values_by_key.items()
            if key.startswith(LOG_PREFIX)
        ]
        ids = [entry.change_id for entry in stored]
        assert len(ids) == len(set(ids))
        assert set(self.accepted) <= set(ids)
        assert [entry.index for entry in stored] == list(range(1, len(stored) + 1))
        names = {getattr(entry.change, "service", None) for entry in stored}
        assert not names & set(filter(None, self.rejected_names))

    @invariant()
    def never_backwards(self) -> None:
        """The version of a replica never decreases."""
        if not hasattr(self, "store"):
            return
        for number, replica in enumerate(self.replicas):
            assert replica.version >= self.versions[number]
            self.versions[number] = replica.version


TestLogMachine = LogMachine.TestCase


class DelayedPutStore(MemoryStore):
    """Delays the first write until the next one and loses its response."""

    delayed_write: tuple | None = None

    def put(self, key: str, value: bytes, expected: int, lease: str = "") -> object:
        """Fails the first write, and applies it before the next one."""
        if self.delayed_write is None:
            self.delayed_write = (key, value, expected, lease)
            return Failure(self._unavailable())
        super().put(*self.delayed_write)
        return super().put(key, value, expected, lease)

    def _unavailable(self) -> Exception:
        from jayswitch.store.exceptions import StoreUnavailable

        return StoreUnavailable("the answer was lost")


class TestDelayedWrite:
    """A write that takes effect while its writer retries must not be duplicated."""

    def test_change_is_in_the_log_once(self) -> None:
        clock = VirtualClock()
        store = DelayedPutStore(clock)
        replica = ConfigReplica()
        log = ConfigLog(store, replica, clock)
        entry = log.append(ServiceSet(service="herdview"), "operator").unwrap()
        stored = store.scan(LOG_PREFIX).unwrap()
        assert len(stored) == 1
        assert decode_entry(stored[0].value).unwrap().change_id == entry.change_id


class TestCompaction:
    """A snapshot allows older entries to be deleted."""

    def test_new_replica_starts_from_the_snapshot(self) -> None:
        clock = VirtualClock()
        store = MemoryStore(clock)
        store.faults.writes_per_s = 100_000
        store.faults.reads_per_s = 100_000
        replica = ConfigReplica()
        log = ConfigLog(store, replica, clock)
        for number in range(450):
            log.append(ServiceSet(service=f"s{number}"), "operator").unwrap()
        assert log.save_snapshot().unwrap() == 50
        fresh = ConfigReplica()
        assert ConfigLog(store, fresh, clock).catch_up().unwrap() == 450
        assert fresh.state == replica.state

    def test_older_snapshot_does_not_overwrite_a_newer_one(self) -> None:
        clock = VirtualClock()
        store = MemoryStore(clock)
        fast, slow = ConfigReplica(), ConfigReplica()
        fast_log = ConfigLog(store, fast, clock)
        slow_log = ConfigLog(store, slow, clock)
        fast_log.append(ServiceSet(service="a"), "operator").unwrap()
        slow_log.catch_up()
        fast_log.append(ServiceSet(service="b"), "operator").unwrap()
        fast_log.save_snapshot().unwrap()
        slow_log.save_snapshot().unwrap()
        fresh = ConfigReplica()
        fresh.apply_snapshot(store.get("snapshot").unwrap().value)
        assert fresh.version == 2


class TestReplica:
    """Entries are applied in order and atomically."""

    def test_an_entry_of_a_later_release_is_not_applied_in_part(self) -> None:
        replica = ConfigReplica()
        before = replica.state
        entry = {
            "index": 1,
            "change_id": "x",
            "author": "operator",
            "at_ms": 1,
            "change": {"type": "ServiceSet", "service": "a", "weight": 3},
        }
        assert not replica.apply_if_next(msgspec.json.encode(entry))
        assert replica.state is before
        assert replica.rejection is not None
        assert replica.rejection.code == "unknown-change"
        assert "upgrade this node" in str(replica.rejection)

    def test_older_snapshot_is_ignored(self) -> None:
        clock = VirtualClock()
        store = MemoryStore(clock)
        replica = ConfigReplica()
        log = ConfigLog(store, replica, clock)
        log.append(ServiceSet(service="a"), "operator").unwrap()
        old = replica.snapshot()
        log.append(ServiceSet(service="b"), "operator").unwrap()
        assert not replica.apply_snapshot(old)
        assert replica.version == 2
