"""Records that proxies publish in the platform's store."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from jayswitch.store.documents import MAX_JSON_INTEGER

NODE_PREFIX = "jayswitch/nodes/"
MOVE_PREFIX = "jayswitch/moves/"
BASELINE_PREFIX = "jayswitch/baselines/"
SHARED_PREFIX = "jayswitch/"
LAST_STATE_PREFIX = "jayswitch-last/"


# Numbers that do not fit cannot be stored again with the record that holds them.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_JSON_INTEGER)]


class UpstreamState(Enum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class Incarnation(msgspec.Struct, frozen=True):
    """Identity of one run of an upstream; ids may be used again after a restart."""

    id: str
    started_ms: int


class Upstream(msgspec.Struct):
    """One incarnation of an upstream, as reported by its heartbeats.

    started_ms is the Unix time of its start; sequence counts its heartbeats.
    """

    id: str
    started_ms: Count
    service: str
    version: str
    slots: Count
    state: UpstreamState
    sequence: Count = 0

    @property
    def incarnation(self) -> Incarnation:
        """Returns the id and the start time."""
        return Incarnation(self.id, self.started_ms)

    def same_incarnation(self, other: Upstream) -> bool:
        """Returns whether both have the same id and start time."""
        return self.incarnation == other.incarnation


class VersionCounts(msgspec.Struct):
    """Numbers of good and bad responses of an upstream whose version is on trial."""

    good: Count = 0
    bad: Count = 0


class NodeRecord(msgspec.Struct):
    """A proxy, its address for requests of other proxies, and its upstream."""

    vm: str
    data_centre: str
    region: str
    address: str
    started_ms: Count = 0
    upstream: Upstream | None = None
    draining: bool = False
    trial: VersionCounts | None = None
    # Bandwidth of the VM's link; proxies on faster links are preferred as relays.
    link_mbit_per_s: float = 0.0


class Move(msgspec.Struct):
    """Progress of moving a service's traffic to another version.

    order is the store revision of the operator's request; share is the fraction of
    requests that is routed to the new version.
    """

    service: str
    to_version: str
    order: Count
    share: float
    state: str


class Baseline(msgspec.Struct):
    """The proved version of a service: it receives the requests no move takes."""

    version: str


def node_key(vm: str) -> str:
    """Returns the key of a proxy's record."""
    return NODE_PREFIX + vm


def last_state_key(vm: str) -> str:
    """Returns the key of the upstream's last state, which outlives the proxy."""
    return LAST_STATE_PREFIX + vm
