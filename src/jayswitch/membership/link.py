"""State of one link of the distribution tree."""

from __future__ import annotations

import uuid
from enum import Enum
from typing import TYPE_CHECKING

from eventlet.event import Event

from jayswitch.messages.generated import SubtreeStatus

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.messages.generated import Sync

# Reserved values in the interest of a Sync, which are not service names. NO_INTEREST
# is sent for an empty interest, as an empty list means no change. ALL_SERVICES is
# ignored when received and never sent.
ALL_SERVICES = "*"
NO_INTEREST = "-"
# In multiples of the heartbeat interval.
MISSED_HEARTBEATS = 3.5


class LinkRole(Enum):
    """Relation of the remote node to this node."""

    PARENT = "parent"
    CHILD = "child"
    PEER = "peer"


class Link:
    """State of one link.

    Sequence numbers sent refer to the local record table, those received to the
    table of the peer.
    """

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
        "unacked_since_ms",
        "sent_seq",
        "sent_version",
        "session",
        "settled",
        "subtree",
    )

    def __init__(
        self, peer: str, address: str, role: LinkRole, data_centre: str, clock: Clock
    ) -> None:
        """Initializes a link with a new session id and no messages exchanged."""
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
        self.unacked_since_ms: float | None = None
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
        """Wakes the link's task, so that it sends a Sync before its next heartbeat."""
        if not self.sync_triggered.ready():
            self.sync_triggered.send(None)

    def resend_all(self) -> None:
        """Resets the sent position, so that all records are sent again.

        Needed, for example, when the peer's interest grows.
        """
        self.acked_seq = 0
        self.sent_seq = 0

    def is_silent(self, now_ms: float, interval_ms: float) -> bool:
        """Returns whether nothing has been received for MISSED_HEARTBEATS intervals."""
        return now_ms - self.heard_ms > MISSED_HEARTBEATS * interval_ms

    def update_ack_timer(self, now_ms: float) -> None:
        """Starts the acknowledgement timer, or stops it if nothing is unacknowledged.

        The timer runs from the oldest unacknowledged message, so that newer messages
        cannot delay its retransmission.
        """
        if not self._has_unacked():
            self.unacked_since_ms = None
        elif self.unacked_since_ms is None:
            self.unacked_since_ms = now_ms

    def is_ack_overdue(self, now_ms: float, after_ms: float) -> bool:
        """Returns whether a message has been unacknowledged for over after_ms."""
        if not self._has_unacked() or self.unacked_since_ms is None:
            self.unacked_since_ms = None
            return False
        return now_ms - self.unacked_since_ms > after_ms

    def _has_unacked(self) -> bool:
        unacked = self.acked_seq < self.sent_seq
        return unacked or self.peer_version < self.sent_version

    def rewind(self) -> None:
        """Resets the sent position to the last acknowledgement, for retransmission."""
        self.unacked_since_ms = None
        self.sent_seq = self.acked_seq
        self.sent_version = self.peer_version

    def update_from_sync(self, sync: Sync, now_ms: float) -> bool:
        """Updates the link from a Sync; returns whether the peer's session is new."""
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
