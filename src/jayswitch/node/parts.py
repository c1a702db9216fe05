"""The components that a node consists of."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.config.log import ConfigLog
    from jayswitch.config.replica import ConfigReplica
    from jayswitch.gate.gate import Gate
    from jayswitch.membership.records import RecordTable
    from jayswitch.membership.relay import RelayRole
    from jayswitch.membership.tree import Tree
    from jayswitch.rollout.driver import MoveDriver
    from jayswitch.rollout.outcomes import OutcomeCounter
    from jayswitch.rollout.watcher import MoveWatcher
    from jayswitch.routing.balancer import Balancer
    from jayswitch.routing.router import Router
    from jayswitch.routing.table import UpstreamDirectory
    from jayswitch.settings.generated import NodeSettings
    from jayswitch.transport.interface import Transport


class NodeParts:
    """Components of a node; the factory assigns them."""

    __slots__ = (
        "balancer",
        "clock",
        "control",
        "data",
        "directory",
        "driver",
        "router_outcomes",
        "gate",
        "gate_outcomes",
        "log",
        "relay",
        "replica",
        "router",
        "settings",
        "table",
        "tree",
        "watcher",
    )

    settings: NodeSettings
    clock: Clock
    data: Transport
    control: Transport
    replica: ConfigReplica
    log: ConfigLog
    table: RecordTable
    tree: Tree
    relay: RelayRole
    directory: UpstreamDirectory
    balancer: Balancer
    gate: Gate
    router: Router
    gate_outcomes: OutcomeCounter
    router_outcomes: OutcomeCounter
    watcher: MoveWatcher
    driver: MoveDriver
