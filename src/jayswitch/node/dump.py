"""Dump of a node's state for operators and fault reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from jayswitch.gate.gate import Gate
    from jayswitch.membership.link import Link
    from jayswitch.node.node import Node


class LinkDump(msgspec.Struct):
    """One link of the distribution tree."""

    peer: str
    role: str
    address: str
    silent_ms: int
    acked_seq: int
    received_seq: int
    peer_version: int
    nodes_below: int
    interest: list[str]

    @classmethod
    def from_link(cls, link: Link, now_ms: float) -> LinkDump:
        """Returns the dump of a link."""
        return cls(
            peer=link.peer,
            role=link.role.value,
            address=link.address,
            silent_ms=int(now_ms - link.heard_ms),
            acked_seq=link.acked_seq,
            received_seq=link.received_seq,
            peer_version=link.peer_version,
            nodes_below=link.subtree.nodes,
            interest=sorted(link.interest),
        )


class GateDump(msgspec.Struct):
    """State of the gate and its upstream."""

    service: str
    version: str
    address: str
    accepts: bool
    out_of_service: bool
    draining: bool
    limit: int
    in_flight: int
    waiting: int
    cold_starts: int
    remembered_requests: int
    counts: dict[str, int]

    @classmethod
    def from_gate(cls, gate: Gate) -> GateDump:
        """Returns the dump of a gate."""
        announced = gate.announcement
        return cls(
            service=announced.service if announced else "",
            version=announced.version if announced else "",
            address=announced.address if announced else "",
            accepts=gate.accepts,
            out_of_service=gate.out_of_service,
            draining=gate.draining,
            limit=gate.limiter.limit,
            in_flight=gate.admission.in_flight,
            waiting=gate.admission.waiting,
            cold_starts=gate.limiter.cold_starts,
            remembered_requests=len(gate.request_states),
            counts=dict(gate.counts),
        )


class NodeDump(msgspec.Struct):
    """Complete state of a node, except for the contents of the configuration.

    config_version is the newest version that the node has applied, routing_version the
    one that it routes by; the latter follows once the required upstreams are known.
    marks are the findings that the new version of a move is bad.
    """

    node: str
    data_centre: str
    config_version: int
    routing_version: int
    rejection: str
    profile: str
    is_relay: bool
    is_driver: bool
    hops: int
    control_bytes_sent: int
    links: list[LinkDump]
    gate: GateDump
    router_counts: dict[str, int]
    tree_counts: dict[str, int]
    requests_in_flight: int
    records: int
    upstreams: list[Any]
    moves: list[Any]
    marks: list[Any]


def dump_node(node: Node) -> NodeDump:
    """Returns the current state of a node."""
    parts = node.parts
    state = parts.replica.state
    moves = sorted(state.moves_by_id.values(), key=lambda move: move.id)
    marks = [parts.watcher.mark(move.id) for move in moves]
    now_ms = parts.clock.now_ms()
    return NodeDump(
        node=node.name,
        data_centre=parts.settings.data_centre,
        config_version=state.version,
        routing_version=parts.router.table.config.version,
        rejection=str(parts.replica.rejection or ""),
        profile=parts.router.table.profile_name,
        is_relay=parts.tree.is_relay,
        is_driver=parts.driver.is_driving,
        hops=parts.tree.hops,
        control_bytes_sent=parts.control.bytes_sent,
        links=[
            LinkDump.from_link(link, now_ms)
            for link in parts.tree.links_by_peer.values()
        ],
        gate=GateDump.from_gate(parts.gate),
        router_counts=dict(parts.router.counts),
        tree_counts=dict(parts.tree.counts),
        requests_in_flight=node.requests_in_flight,
        records=len(parts.table),
        upstreams=[member for member in node.members() if member.service],
        moves=moves,
        marks=[mark for mark in marks if mark is not None],
    )
