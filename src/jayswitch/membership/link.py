"""One link of the distribution tree and what its two ends know of each other."""

from __future__ import annotations

import uuid
from enum import Enum
from typing import TYPE_CHECKING

from eventlet.event import Event

from jayswitch.messages.generated import SubtreeStatus

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.messages.generated import Sync

ALL_SERVICES = "*"
NO_INTEREST = "-"
MISSED_HEARTBEATS = 3.5


class LinkRole(Enum):
    """What the node at the other end is to this one."""

    PARENT = "parent"
    CHILD = "child"
    PEER = "peer"


class Link:
    """State of one link; sequence numbers refer to the two record tables."""

    __slots__ = (
        "acked_seq",
        "address",
        "behind_since_ms",
        "claim_slot",
        "resend_requested",
        "closed",
        "data_centre",
        "heard_ms",
        "hops",
        "interest",
        "interest_sent",
        "sync_triggered",
        "peer",
        "peer_session",
        "peer_version",
        "received_seq",
        "role",
        "unconfirmed_since_ms",
        "sent_seq",
        "sent_version",
        "session",
        "settled",
        "subtree",
    )

    def __init__(
        self, peer: str, address: str, role: LinkRole, data_centre: str, clock: Clock
    ) -> None:
        """Starts a session in which nothing has been sent or received."""
        self.peer = peer
        self.address = address
        self.role = role
        self.data_centre = data_centre
        self.session = uuid.uuid4().hex[:12]
        self.peer_session = ""
        self.heard_ms = clock.now_ms()
        self.received_seq = 0
        self.acked_seq = 0
        self.sent_seq = 0
        self.unconfirmed_since_ms: float | None = None
        self.sent_version = 0
        self.behind_since_ms: float | None = None
        self.peer_version = 0
        self.interest: frozenset[str] = frozenset()
        self.interest_sent: frozenset[str] | None = None
        self.settled: frozenset[str] = frozenset()
        self.subtree = SubtreeStatus(nodes=0, lowest_version=0)
        self.hops = 0
        self.claim_slot = -1
        self.resend_requested = False
        self.closed = False
        self.sync_triggered = Event()

    def trigger_sync(self) -> None:
        """Wakes the link's task before its next heartbeat."""
        if not self.sync_triggered.ready():
            self.sync_triggered.send(None)

    def resend_all(self) -> None:
        """Sends the peer every record again, for example for a new interest."""
        self.acked_seq = 0
        self.sent_seq = 0

    def is_silent(self, now_ms: float, interval_ms: float) -> bool:
        """Tells whether the peer has missed so many heartbeats that it seems gone."""
        return now_ms - self.heard_ms > MISSED_HEARTBEATS * interval_ms

    def record_sent(self, now_ms: float) -> None:
        """Starts to wait for confirmation, unless it already waits for an earlier one.

        The wait is counted from the oldest message, so that new ones cannot put off
        sending it again.
        """
        if not self._is_unconfirmed():
            self.unconfirmed_since_ms = None
        elif self.unconfirmed_since_ms is None:
            self.unconfirmed_since_ms = now_ms

    def is_overdue(self, now_ms: float, after_ms: float) -> bool:
        """Tells whether the peer has left something unconfirmed for too long."""
        if not self._is_unconfirmed() or self.unconfirmed_since_ms is None:
            self.unconfirmed_since_ms = None
            return False
        return now_ms - self.unconfirmed_since_ms > after_ms

    def _is_unconfirmed(self) -> bool:
        unacked = self.acked_seq < self.sent_seq
        return unacked or self.peer_version < self.sent_version

    def rewind(self) -> None:
        """Sends again what the peer has not acknowledged."""
        self.unconfirmed_since_ms = None
        self.sent_seq = self.acked_seq
        self.sent_version = self.peer_version

    def record_received(self, sync: Sync, now_ms: float) -> bool:
        """Takes over the counters of a message; tells whether its session is new."""
        self.heard_ms = now_ms
        is_new = sync.session != self.peer_session
        if is_new:
            self.peer_session = sync.session
            self.received_seq = 0
            self.interest_sent = None
        if sync.peer_session == self.session:
            self.acked_seq = max(self.acked_seq, min(sync.ack, self.sent_seq))
        if sync.config_version > self.peer_version:
            self.behind_since_ms = None
        self.peer_version = sync.config_version
        self.sent_version = max(self.sent_version, self.peer_version)
        self.hops = sync.hops
        self.subtree = sync.subtree
        return is_new
