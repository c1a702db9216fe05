"""Builds nodes from their settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jayswitch.clock import Clock
from jayswitch.config.log import ConfigLog
from jayswitch.config.replica import ConfigReplica
from jayswitch.config.state import ConfigState
from jayswitch.gate.gate import Gate
from jayswitch.membership.records import RecordTable
from jayswitch.membership.relay import RelayRole, RelaySlot
from jayswitch.membership.tree import Tree
from jayswitch.node.node import Node
from jayswitch.node.parts import NodeParts
from jayswitch.rollout.driver import MoveDriver
from jayswitch.rollout.outcomes import OutcomeCounter
from jayswitch.rollout.watcher import MoveWatcher
from jayswitch.routing.balancer import Balancer
from jayswitch.routing.router import Router
from jayswitch.routing.table import RoutingTable, UpstreamDirectory

if TYPE_CHECKING:
    from jayswitch.gate.upstream import UpstreamClient
    from jayswitch.settings.generated import NodeSettings
    from jayswitch.store.interface import Store
    from jayswitch.transport.interface import Transport


class NodeFactory:
    """Builds a node and its parts.

    External dependencies are the store, two transports, the upstream client and the
    clock; all of them can be replaced in tests.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        data: Transport,
        control: Transport,
        client: UpstreamClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Takes the settings, the dependencies and the random number generator."""
        self._settings = settings
        self._store = store
        self._data = data
        self._control = control
        self._client = client
        self._clock = clock
        self._random = rng

    @classmethod
    def from_settings(
        cls, settings: NodeSettings, store: Store | None = None
    ) -> NodeFactory:
        """Returns a factory that uses sockets.

        The store defaults to the HTTP store named in the settings.
        """
        from jayswitch.http.upstream_client import HttpUpstreamClient
        from jayswitch.store.http import HttpStore
        from jayswitch.transport.nng import NngTransport

        return cls(
            settings=settings,
            store=store if store is not None else HttpStore(settings.store),
            data=NngTransport(settings.bind_ip, settings.data_port),
            control=NngTransport(settings.bind_ip, settings.control_port),
            client=HttpUpstreamClient(),
            clock=Clock(),
            rng=random.Random(),
        )

    def make(self) -> Node:
        """Returns a node that is not started yet."""
        parts = NodeParts()
        parts.settings = self._settings
        parts.clock = self._clock
        parts.data = self._data
        parts.control = self._control
        self._add_shared_state(parts)
        self._add_request_path(parts)
        self._add_moves(parts)
        return Node(parts)

    def _add_shared_state(self, parts: NodeParts) -> None:
        settings = self._settings
        parts.replica = ConfigReplica()
        parts.log = ConfigLog(self._store, parts.replica, self._clock)
        parts.table = RecordTable(settings.vm, self._clock)
        parts.tree = Tree(
            node=settings.vm,
            data_centre=settings.data_centre,
            transport=self._control,
            clock=self._clock,
            replica=parts.replica,
            table=parts.table,
            interval_ms=settings.sync_interval_ms,
            fan_out=settings.fan_out,
            rng=self._random,
        )
        slot = RelaySlot(
            node=settings.vm,
            data_centre=settings.data_centre,
            slot=-1,
            control_address=self._control.address,
            admin_address=f"http://{settings.bind_ip}:{settings.admin_port}",
        )
        parts.relay = RelayRole(
            slot=slot,
            slot_count=settings.relay_slots,
            store=self._store,
            log=parts.log,
            tree=parts.tree,
            table=parts.table,
            clock=self._clock,
            rng=self._random,
        )

    def _add_request_path(self, parts: NodeParts) -> None:
        settings = self._settings
        parts.directory = UpstreamDirectory()
        parts.balancer = Balancer(
            settings.data_centre, settings.region, self._clock, self._random
        )
        parts.gate = Gate(self._client, settings.warm_up_ms, self._clock)
        parts.router = Router(
            node=settings.vm,
            gate=parts.gate,
            transport=self._data,
            balancer=parts.balancer,
            directory=parts.directory,
            table=RoutingTable(ConfigState(), None),
            clock=self._clock,
            rng=self._random,
        )

    def _add_moves(self, parts: NodeParts) -> None:
        parts.gate_outcomes = OutcomeCounter()
        parts.router_outcomes = OutcomeCounter()
        parts.watcher = MoveWatcher(
            self._settings.vm, parts.table, parts.router_outcomes
        )
        parts.driver = MoveDriver(
            node=self._settings.vm,
            store=self._store,
            log=parts.log,
            replica=parts.replica,
            watcher=parts.watcher,
            is_candidate=lambda: parts.tree.is_relay,
            clock=self._clock,
            rng=self._random,
        )
