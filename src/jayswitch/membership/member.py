"""Kinds of records, and the payloads of member and status records."""

from __future__ import annotations

from typing import Literal

import msgspec

from jayswitch.messages.generated import Record
from jayswitch.models import Model

KIND_MEMBER = "member"
# A mark records that the new version of a move is bad. It is sent to every node and
# kept when the link that delivered it is lost. The first mark of a move that a node
# receives is not replaced by another node's.
KIND_MARK = "mark"
KIND_OUTCOMES = "outcomes"
KIND_STATUS = "status"

UpstreamState = Literal["none", "up", "leaving"]


class Member(Model):
    """A node, its addresses and the upstream registered with it.

    slots is the number of calls that the upstream can run concurrently.
    """

    node: str
    data_centre: str
    region: str
    data_address: str
    control_address: str
    admin_address: str
    service: str = ""
    version: str = ""
    state: UpstreamState = "none"
    slots: int = 0
    since_ms: int = 0


class RelayStatus(Model):
    """A relay and the configuration versions applied in its subtree."""

    node: str
    data_centre: str
    nodes: int
    lowest_version: int
    lagging: list[str] = msgspec.field(default_factory=list)


_member_decoder = msgspec.msgpack.Decoder(Member)
_status_decoder = msgspec.msgpack.Decoder(RelayStatus)


def member_key(node: str) -> str:
    """Returns the key of a node's member record."""
    return f"{KIND_MEMBER}/{node}"


def decode_member(record: Record) -> Member | None:
    """Decodes a member record; returns None if this release cannot decode it."""
    try:
        return _member_decoder.decode(record.payload)
    except msgspec.DecodeError:
        return None


def decode_status(record: Record) -> RelayStatus | None:
    """Decodes a status record; returns None if this release cannot decode it."""
    try:
        return _status_decoder.decode(record.payload)
    except msgspec.DecodeError:
        return None
