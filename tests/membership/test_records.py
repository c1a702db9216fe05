"""Tests that record tables which exchange records converge."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from jayswitch.clock import VirtualClock
from jayswitch.membership.member import KIND_MARK, KIND_MEMBER
from jayswitch.membership.records import RecordTable
from jayswitch.virtual_hub import use_virtual_time

NODES = ["a", "b", "c", "d"]
NODE = st.sampled_from(NODES)


class RecordMachine(RuleBasedStateMachine):
    """Nodes publish, restart, remove each other's records and exchange records."""

    @initialize()
    def set_up_tables(self) -> None:
        """Creates a table with an own record for each node."""
        use_virtual_time()
        self.clock = VirtualClock()
        self.tables = {name: RecordTable(name, self.clock) for name in NODES}
        self.payloads: dict[str, bytes] = {}
        self.number = 0
        for name in NODES:
            self.publish(name)

    @rule(name=NODE)
    def publish(self, name: str) -> None:
        """Publishes a new version of a node's own record."""
        self.number += 1
        payload = str(self.number).encode()
        self.tables[name].publish(f"member/{name}", KIND_MEMBER, payload, "s")
        self.payloads[name] = payload

    @rule(name=NODE, seconds=st.integers(1, 5))
    def restart(self, name: str, seconds: int) -> None:
        """Replaces a node's table by a new, empty one."""
        self.clock.sleep_ms(seconds * 1000)
        self.tables[name] = RecordTable(name, self.clock)
        self.publish(name)

    @rule(suspect=NODE, observer=NODE)
    def suspect(self, suspect: str, observer: str) -> None:
        """Makes one node remove the record of another, as after a lost link."""
        if suspect != observer:
            self.tables[observer].remove(f"member/{suspect}")

    @rule(sender=NODE, receiver=NODE)
    def exchange(self, sender: str, receiver: str) -> None:
        """Merges all records of one table into another."""
        if sender != receiver:
            for stored in self.tables[sender].changed_since(0):
                self.tables[receiver].merge(stored.record, sender)

    @rule(name=NODE)
    def mark(self, name: str) -> None:
        """Publishes a mark, which is never removed."""
        self.tables[name].publish("mark/m", KIND_MARK, b"bad", "s")
        self.marked = True

    def teardown(self) -> None:
        """Checks that all tables are equal after enough exchanges."""
        if not hasattr(self, "tables"):
            return
        for _ in range(4):
            for sender in NODES:
                for receiver in NODES:
                    self.exchange(sender, receiver)
        marked = {name: t.get("mark/m") is not None for name, t in self.tables.items()}
        assert len(set(marked.values())) == 1, marked
        for name in NODES:
            for table in self.tables.values():
                record = table.get(f"member/{name}")
                assert record is not None, f"{table.node} lacks {name}"
                assert record.payload == self.payloads[name]


TestRecordMachine = RecordMachine.TestCase


class TestClockMovedBack:
    """A replaced VM may start with an earlier clock.

    The incarnation comes from the clock, so the records of the new process would
    lose to those of its predecessor that other nodes still store.
    """

    def test_new_record_replaces_one_with_a_later_incarnation(self) -> None:
        old = RecordTable("a", VirtualClock(2_000_000_000_000))
        old.publish("member/a", KIND_MEMBER, b"old", "s")
        new = RecordTable("a", VirtualClock(1_000_000_000_000))
        new.publish("member/a", KIND_MEMBER, b"new", "s")
        other = RecordTable("b", VirtualClock())
        other.merge(old.changed_since(0)[0].record, "a")
        new.merge(other.changed_since(0)[0].record, "b")
        other.merge(new.changed_since(0)[0].record, "a")
        record = other.get("member/a")
        assert record is not None and record.payload == b"new"
