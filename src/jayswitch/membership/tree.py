"""The distribution tree.

Configuration is sent from parents to children, membership in both directions.
"""

from __future__ import annotations

import logging
import random
import uuid
from collections import Counter
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from jayswitch.clock import MS_PER_S
from jayswitch.membership.link import ALL_SERVICES, NO_INTEREST, Link, LinkRole
from jayswitch.membership.member import KIND_MARK
from jayswitch.membership.sync_builder import SyncBuilder
from jayswitch.messages.generated import Join, JoinReply, SubtreeStatus, Sync

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.config.replica import ConfigReplica
    from jayswitch.membership.records import RecordTable, StoredRecord
    from jayswitch.messages.codec import AnyMessage
    from jayswitch.transport.interface import Transport

# Delay of a triggered Sync, so that one message carries several changes.
COALESCE_MS = 15.0
# Constants that end in _HEARTBEATS are multiples of the heartbeat interval.
RESEND_HEARTBEATS = 0.9
ORPHAN_HEARTBEATS = 5.0
PAUSE_HEARTBEATS = 2.0
REJOIN_HEARTBEATS = 10.0
JOIN_TIMEOUT_MS = 1000.0
MAX_JOIN_REDIRECTS = 12
MAX_HOPS = 16
MAX_LAGGING_ENTRIES = 8
SEND_TIMEOUT_MS = 300.0
REDIRECT_CHOICES = 3

logger = logging.getLogger(__name__)


class Tree:
    """Manages the links of one node and handles their messages."""

    def __init__(
        self,
        node: str,
        data_centre: str,
        transport: Transport,
        clock: Clock,
        replica: ConfigReplica,
        table: RecordTable,
        interval_ms: float,
        fan_out: int,
        rng: random.Random,
    ) -> None:
        """Initializes the tree without links; call start() to receive messages."""
        self.is_relay = False
        self.evaluator_node = ""
        self.links_by_peer: dict[str, Link] = {}
        self.counts: Counter[str] = Counter()
        self.on_claim_request: Callable[[int], None] = lambda slot: None
        self.node = node
        self.data_centre = data_centre
        self._transport = transport
        self.clock = clock
        self.replica = replica
        self.table = table
        self.interval_ms = interval_ms
        self._fan_out = fan_out
        self._random = rng
        self._own_interest: frozenset[str] = frozenset()
        self._join_attempt = ""
        self._join_reply: Event = Event()
        self._sync_builder = SyncBuilder(self)
        self._stopped = False
        self._parent_lost_ms = float("-inf")
        self._last_hops = MAX_HOPS
        replica.on_change(lambda state: self.trigger_sync())
        table.on_change(lambda record: self.trigger_sync())

    @property
    def address(self) -> str:
        """Returns the control address of this node."""
        return self._transport.address

    @property
    def parent(self) -> Link | None:
        """Returns the link to the parent, if the node has one."""
        for link in self.links_by_peer.values():
            if link.role is LinkRole.PARENT:
                return link
        return None

    @property
    def children(self) -> list[Link]:
        """Returns the links to the children."""
        links = self.links_by_peer.values()
        return [link for link in links if link.role is LinkRole.CHILD]

    @property
    def hops(self) -> int:
        """Returns the number of links to the nearest relay; 0 for a relay.

        A node that has lost its parent reports its last distance for
        REJOIN_HEARTBEATS, so that its children stay while it joins another parent.
        """
        if self.is_relay:
            return 0
        parent = self.parent
        if parent is not None:
            return parent.hops + 1
        lost_for_ms = self.clock.now_ms() - self._parent_lost_ms
        if lost_for_ms < REJOIN_HEARTBEATS * self.interval_ms:
            return self._last_hops
        return MAX_HOPS

    @property
    def interest(self) -> frozenset[str]:
        """Returns the services that this node or its subtree routes to."""
        union = set(self._own_interest)
        for link in self.children:
            union |= link.interest
        return frozenset(union)

    def start(self) -> None:
        """Starts receiving messages and the periodic clean-up."""
        self._transport.listen(self.receive)
        eventlet.spawn(self._clean_up)

    def stop(self) -> None:
        """Notifies every peer and closes all links."""
        self._stopped = True
        for link in list(self.links_by_peer.values()):
            self._transport.send(
                link.address, self._sync_builder.disconnect_message(), 0
            )
            self.drop_link(link)

    def is_evaluator_unreachable(self) -> bool:
        """Returns whether no evaluator node is known or the link to it is silent."""
        return self._sync_builder.is_evaluator_unreachable()

    def trigger_sync(self) -> None:
        """Sends changes on every link without waiting for the next heartbeat."""
        for link in self.links_by_peer.values():
            link.trigger_sync()

    def set_own_interest(self, services: Iterable[str]) -> None:
        """Sets the services that this node itself routes to."""
        wanted = frozenset(services)
        if wanted != self._own_interest:
            self._own_interest = wanted
            self.trigger_sync()

    def is_settled(self, services: Iterable[str]) -> bool:
        """Returns whether every member of the services known to the parent has arrived.

        Always true for a relay, which has no parent.
        """
        if self.is_relay:
            return True
        parent = self.parent
        return parent is not None and parent.settled.issuperset(services)

    def subtree(self) -> SubtreeStatus:
        """Returns the configuration versions applied in this node's subtree."""
        own_version = self.replica.version
        status = SubtreeStatus(nodes=1, lowest_version=own_version)
        if self.replica.rejection is not None:
            status.lagging.append(
                f"{self.node} at {own_version}: {self.replica.rejection}"
            )
        for link in self.children:
            status.nodes += link.subtree.nodes
            lowest = min(status.lowest_version, link.subtree.lowest_version)
            status.lowest_version = lowest
            status.lagging.extend(link.subtree.lagging)
            if link.peer_version < own_version:
                status.lagging.append(f"{link.peer} at {link.peer_version}: behind")
        status.lagging = status.lagging[:MAX_LAGGING_ENTRIES]
        return status

    # Joining

    def join(self, address: str) -> bool:
        """Joins a node as its child, following redirects; returns whether accepted."""
        for _ in range(MAX_JOIN_REDIRECTS):
            reply = self._ask_to_join(address)
            if reply is None:
                return False
            if reply.accepted:
                self.add_link(reply.node, address, LinkRole.PARENT, self.data_centre)
                self.table.republish_own()
                return True
            if not reply.redirect:
                return False
            address = self._random.choice(reply.redirect)
        return False

    def _ask_to_join(self, address: str) -> JoinReply | None:
        self._join_attempt = uuid.uuid4().hex[:12]
        self._join_reply = Event()
        request = Join(
            node=self.node,
            data_centre=self.data_centre,
            reply_to=self._transport.address,
            attempt=self._join_attempt,
        )
        if not self._transport.send(address, request, SEND_TIMEOUT_MS):
            return None
        with eventlet.Timeout(JOIN_TIMEOUT_MS / MS_PER_S, False):
            return self._join_reply.wait()
        return None

    # Links

    def add_link(
        self, peer: str, address: str, role: LinkRole, data_centre: str
    ) -> Link:
        """Starts a link, replacing any existing link to the same peer."""
        previous = self.links_by_peer.get(peer)
        if previous is not None:
            self.drop_link(previous)
        link = Link(peer, address, role, data_centre, self.clock)
        self.links_by_peer[peer] = link
        self.counts["links_started"] += 1
        logger.info("link started", extra={"peer": peer, "role": role.value})
        eventlet.spawn(self._run_link, link)
        return link

    def drop_link(self, link: Link) -> None:
        """Closes a link.

        Unless the link was to the parent, its records are removed if no other link
        delivers them within ORPHAN_HEARTBEATS.
        """
        if link.closed:
            return
        if link.role is LinkRole.PARENT:
            self._last_hops = self.hops
            self._parent_lost_ms = self.clock.now_ms()
        link.closed = True
        link.trigger_sync()
        if self.links_by_peer.get(link.peer) is link:
            del self.links_by_peer[link.peer]
        self.counts["links_lost"] += 1
        logger.info("link ended", extra={"peer": link.peer, "role": link.role.value})
        self._transport.forget(link.address)
        if not self._stopped:
            self.table.mark_orphaned(link.peer)
            eventlet.spawn(self._remove_orphans_later, link)

    def _remove_orphans_later(self, link: Link) -> None:
        for other in self.links_by_peer.values():
            other.resend_requested = other.role is LinkRole.PEER
        self.clock.sleep_ms(ORPHAN_HEARTBEATS * self.interval_ms)
        if link.role is not LinkRole.PARENT:
            removed = self.table.remove_orphans(
                lambda stored: stored.source == link.peer
            )
            self.counts["records_removed"] += removed

    def _run_link(self, link: Link) -> None:
        while not link.closed and not self._stopped:
            # The child sends first: until it has received the JoinReply, it has no
            # link to the parent and would answer a Sync by closing it.
            if link.role is not LinkRole.CHILD or link.peer_session:
                self._send_sync(link)
            before_ms = self.clock.now_ms()
            self._wait_for_heartbeat(link)
            self._check_liveness(link, self.clock.now_ms() - before_ms)

    def _wait_for_heartbeat(self, link: Link) -> None:
        jitter = self._random.uniform(0.9, 1.1)
        with eventlet.Timeout(self.interval_ms * jitter / MS_PER_S, False):
            link.sync_triggered.wait()
        if link.sync_triggered.ready():
            self.clock.sleep_ms(COALESCE_MS)
            link.sync_triggered = Event()

    def _check_liveness(self, link: Link, waited_ms: float) -> None:
        now_ms = self.clock.now_ms()
        if waited_ms > PAUSE_HEARTBEATS * self.interval_ms:
            # This process was paused, so the missing heartbeats do not show that the
            # peer has failed.
            link.heard_ms = now_ms
            self.counts["pauses"] += 1
        if link.is_silent(now_ms, self.interval_ms):
            if link.role is LinkRole.PEER:
                self.table.mark_orphaned(link.peer)
                return
            self.drop_link(link)

    def _clean_up(self) -> None:
        while not self._stopped:
            self.clock.sleep_ms(10 * self.interval_ms)
            self.table.purge_tombstones()
            if self.is_relay:
                self._remove_old_orphans()
            else:
                interest = self.interest
                self.table.discard_foreign(
                    lambda stored: self._is_unwanted(stored, interest)
                )

    def _remove_old_orphans(self) -> None:
        """Removes orphans that no link has delivered again for REJOIN_HEARTBEATS.

        The records of a silent peer stay, because its link stays: the network may
        be partitioned.
        """
        before_ms = self.clock.now_ms() - REJOIN_HEARTBEATS * self.interval_ms
        removed = self.table.remove_orphans(
            lambda stored: stored.source not in self.links_by_peer
            and stored.orphaned_ms is not None
            and stored.orphaned_ms < before_ms
        )
        self.counts["records_removed"] += removed

    def _is_unwanted(self, stored: StoredRecord, interest: frozenset[str]) -> bool:
        if stored.record.kind == KIND_MARK or stored.record.service in interest:
            return False
        source = self.links_by_peer.get(stored.source)
        return source is None or source.role is not LinkRole.CHILD

    # Sending

    def _send_sync(self, link: Link) -> None:
        now_ms = self.clock.now_ms()
        if link.is_ack_overdue(now_ms, RESEND_HEARTBEATS * self.interval_ms):
            link.rewind()
            self.counts["resends"] += 1
        sync = self._sync_builder.build(link)
        if not self._transport.send(link.address, sync, SEND_TIMEOUT_MS):
            self.counts["syncs_unsent"] += 1
            return
        link.sent_seq = max(link.sent_seq, sync.seq)
        link.sent_version = max(link.sent_version, link.peer_version)
        if sync.snapshot:
            link.sent_version = self.replica.version
        link.sent_version += len(sync.entries)
        link.update_ack_timer(now_ms)
        link.claim_slot = -1
        link.resend_requested = False
        self.counts["syncs_sent"] += 1
        behind = link.sent_version < self.replica.version
        if not sync.complete or (behind and link.role is not LinkRole.PEER):
            link.trigger_sync()

    # Receiving

    @singledispatchmethod
    def receive(self, message: AnyMessage) -> None:
        """Handles a message received at the control address."""
        self.counts["unexpected_messages"] += 1

    @receive.register
    def _(self, message: Join) -> None:
        accepted = self._may_accept(message.node)
        reply = JoinReply(node=self.node, accepted=accepted, attempt=message.attempt)
        if accepted:
            self.add_link(
                message.node, message.reply_to, LinkRole.CHILD, message.data_centre
            )
        elif self.hops < MAX_HOPS:
            children = [link for link in self.children if link.peer != message.node]
            self._random.shuffle(children)
            children.sort(key=lambda link: link.subtree.nodes)
            reply.redirect = [link.address for link in children[:REDIRECT_CHOICES]]
        eventlet.spawn(self._transport.send, message.reply_to, reply, SEND_TIMEOUT_MS)

    @receive.register
    def _(self, message: JoinReply) -> None:
        if message.attempt == self._join_attempt and not self._join_reply.ready():
            self._join_reply.send(message)

    @receive.register
    def _(self, message: Sync) -> None:
        link = self.links_by_peer.get(message.node)
        if link is None:
            if not message.bye:
                eventlet.spawn(
                    self._transport.send,
                    message.reply_to,
                    self._sync_builder.disconnect_message(),
                    100.0,
                )
            return
        if message.bye:
            self._receive_disconnect(link)
            return
        self._receive_sync(link, message)

    def _may_accept(self, node: str) -> bool:
        if self._stopped or node == self.node or self.hops >= MAX_HOPS:
            return False
        is_child = any(link.peer == node for link in self.children)
        return is_child or len(self.children) < self._fan_out

    def _receive_disconnect(self, link: Link) -> None:
        if link.role is LinkRole.PEER:
            # The peer has not yet learnt of this relay; the link stays.
            return
        self.drop_link(link)

    def _receive_sync(self, link: Link, sync: Sync) -> None:
        known_session = link.peer_session
        if link.update_from_sync(sync, self.clock.now_ms()):
            link.trigger_sync()
            if known_session:
                self.table.mark_orphaned(link.peer)
        if sync.resend:
            link.resend_all()
            link.trigger_sync()
        if sync.interest:
            self._receive_interest(link, sync)
        for record in sync.records:
            self.table.merge(record, link.peer)
        if sync.after <= link.received_seq:
            link.received_seq = max(link.received_seq, sync.seq)
            if sync.complete:
                self._finish_transfer(link, sync)
        self._receive_configuration(sync)
        if sync.claim_slot >= 0:
            self.on_claim_request(sync.claim_slot)
        if link.role is LinkRole.PARENT and sync.hops >= MAX_HOPS:
            self.drop_link(link)

    def _finish_transfer(self, link: Link, sync: Sync) -> None:
        """Removes records that the peer no longer has, after a complete transfer."""
        self.table.remove_orphans(lambda stored: stored.source == link.peer, link.peer)
        if link.role is not LinkRole.PARENT:
            return
        settled = frozenset(sync.settled)
        self.table.remove_orphans(
            lambda stored: stored.record.service in settled
            and stored.source not in self.links_by_peer,
            link.peer,
        )
        if settled != link.settled:
            link.settled = settled
            self.trigger_sync()

    def _receive_interest(self, link: Link, sync: Sync) -> None:
        interest = frozenset(sync.interest) - {NO_INTEREST, ALL_SERVICES}
        if not interest <= link.interest:
            link.resend_all()
        link.interest = interest
        self.trigger_sync()

    def _receive_configuration(self, sync: Sync) -> None:
        if sync.snapshot:
            self.replica.apply_snapshot(sync.snapshot)
        for data in sync.entries:
            self.replica.apply_if_next(data)
