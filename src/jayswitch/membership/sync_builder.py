"""Builds the Sync messages that a node sends on the links of the tree."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jayswitch.membership.link import NO_INTEREST, Link, LinkRole
from jayswitch.membership.member import KIND_MARK, KIND_MEMBER, KIND_OUTCOMES
from jayswitch.messages.generated import SubtreeStatus, Sync

if TYPE_CHECKING:
    from jayswitch.membership.records import StoredRecord
    from jayswitch.membership.tree import Tree
    from jayswitch.messages.generated import Record

# In multiples of the heartbeat interval.
LAGGING_HEARTBEATS = 1.5
RECORDS_PER_MESSAGE = 400


class SyncBuilder:
    """Selects the records, log entries and interests that a peer still needs."""

    def __init__(self, tree: Tree) -> None:
        """Initializes a builder for the links of a tree."""
        self._tree = tree

    def build(self, link: Link) -> Sync:
        """Returns the next Sync for a link."""
        records, reached = self._records_for(link)
        complete = reached >= self._tree.table.seq
        sync = Sync(
            node=self._tree.node,
            reply_to=self._tree.address,
            session=link.session,
            peer_session=link.peer_session,
            after=link.sent_seq,
            seq=reached,
            ack=link.received_seq,
            config_version=self._tree.replica.version,
            hops=self._tree.hops,
            complete=complete,
            records=records,
            subtree=self._tree.subtree(),
            snapshot=b"",
            claim_slot=link.claim_slot,
            resend=link.resend_requested,
        )
        if link.role is LinkRole.CHILD and complete:
            sync.settled = self._settled_for(link)
        if link.role is LinkRole.PARENT:
            self._add_interest(link, sync)
        self._add_configuration(link, sync)
        return sync

    def _records_for(self, link: Link) -> tuple[list[Record], int]:
        records: list[Record] = []
        for stored in self._tree.table.changed_since(link.sent_seq):
            if len(records) >= RECORDS_PER_MESSAGE:
                return records, stored.seq - 1
            if self._should_send(link, stored):
                records.append(stored.record)
        return records, self._tree.table.seq

    def _should_send(self, link: Link, stored: StoredRecord) -> bool:
        record = stored.record
        if stored.source == link.peer:
            return False
        if record.kind == KIND_OUTCOMES and link.role is LinkRole.PEER:
            return self._should_send_outcomes(link)
        if record.kind == KIND_MARK or link.role is LinkRole.PEER:
            return True
        if link.role is LinkRole.CHILD:
            wanted = record.service in link.interest
            return record.kind == KIND_MEMBER and wanted
        source_link = self._tree.links_by_peer.get(stored.source)
        is_from_child = source_link is not None and source_link.role is LinkRole.CHILD
        return not stored.source or is_from_child

    def _should_send_outcomes(self, link: Link) -> bool:
        """Returns whether call outcomes are sent on a link between relays.

        They are sent to the evaluator node, or to the relays of the same data centre,
        one of which is linked to it. If the evaluator is silent or unknown, they are
        sent to every relay, and each relay may evaluate the moves.
        """
        if self._tree.evaluator_node == self._tree.node:
            return False
        if self.is_evaluator_unreachable():
            return True
        if self._tree.evaluator_node in self._tree.links_by_peer:
            return link.peer == self._tree.evaluator_node
        return link.data_centre == self._tree.data_centre

    def is_evaluator_unreachable(self) -> bool:
        """Returns whether no evaluator node is known or the link to it is silent."""
        if not self._tree.evaluator_node:
            return True
        link = self._tree.links_by_peer.get(self._tree.evaluator_node)
        if link is None:
            return False
        return link.is_silent(self._tree.clock.now_ms(), self._tree.interval_ms)

    def _settled_for(self, link: Link) -> list[str]:
        if self._tree.is_relay:
            return sorted(link.interest)
        parent = self._tree.parent
        if parent is None:
            return []
        return sorted(link.interest & parent.settled)

    def _add_interest(self, link: Link, sync: Sync) -> None:
        interest = self._tree.interest
        if interest != link.interest_sent:
            sync.interest = sorted(interest) or [NO_INTEREST]
            link.interest_sent = interest

    def _add_configuration(self, link: Link, sync: Sync) -> None:
        known = max(link.peer_version, link.sent_version)
        if not link.peer_session or known >= self._tree.replica.version:
            return
        if link.role is LinkRole.PEER and not self._is_lagging(link):
            # Relays read the log from the store; only a lagging one is sent entries.
            return
        sync.entries = self._tree.replica.entries_after(known)
        if not sync.entries:
            sync.snapshot = self._tree.replica.snapshot()
            self._tree.counts["snapshots_sent"] += 1

    def _is_lagging(self, link: Link) -> bool:
        """Returns whether a peer has lagged for over LAGGING_HEARTBEATS intervals.

        A relay that can reach the store has normally read the log by then.
        """
        now_ms = self._tree.clock.now_ms()
        if link.behind_since_ms is None:
            link.behind_since_ms = now_ms
        return (
            now_ms - link.behind_since_ms > LAGGING_HEARTBEATS * self._tree.interval_ms
        )

    def disconnect_message(self) -> Sync:
        """Returns the Sync that closes a link."""
        return Sync(
            node=self._tree.node,
            reply_to=self._tree.address,
            session="",
            peer_session="",
            after=0,
            seq=0,
            ack=0,
            config_version=self._tree.replica.version,
            subtree=SubtreeStatus(nodes=0, lowest_version=0),
            snapshot=b"",
            bye=True,
        )
