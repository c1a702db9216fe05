"""A node: connects its components, runs its periodic tasks and drains it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import eventlet
import msgspec

from jayswitch.membership.member import (
    KIND_MEMBER,
    KIND_OUTCOMES,
    KIND_STATUS,
    Member,
    RelayStatus,
    decode_member,
    member_key,
)
from jayswitch.messages.generated import (
    Answer,
    Call,
    Cancel,
    Chunk,
    Credit,
    Refusal,
    Unknown,
)
from jayswitch.rollout.outcomes import OutcomeKey
from jayswitch.routing.table import RoutingTable

if TYPE_CHECKING:
    from jayswitch.config.state import ConfigState
    from jayswitch.gate.gate import Reply, SendReply
    from jayswitch.gate.upstream import Announcement
    from jayswitch.messages.codec import AnyMessage
    from jayswitch.messages.generated import Record
    from jayswitch.node.parts import NodeParts

GATE_MAINTENANCE_INTERVAL_MS = 250.0
MOVE_REVIEW_INTERVAL_MS = 500.0
OUTCOMES_PUBLISH_INTERVAL_MS = 2000.0
STATUS_PUBLISH_INTERVAL_MS = 3000.0
SETTLE_TIMEOUT_MS = 2000.0
SETTLE_POLL_MS = 20.0
REPLY_TIMEOUT_MS = 2000.0
DRAIN_POLL_MS = 20.0

logger = logging.getLogger(__name__)


class Node:
    """Router, gate and distribution tree member beside one upstream."""

    def __init__(self, parts: NodeParts) -> None:
        """Takes the parts that the factory has built and connects their callbacks."""
        self.parts = parts
        self.name = parts.settings.vm
        self._member = self._describe_member()
        self._pending_state: ConfigState | None = None
        self._routed_services: set[str] = set()
        self._stopped = False
        parts.replica.on_change(self._on_config_change)
        parts.table.on_change(self._on_record_change)
        parts.gate.on_outcome = self._on_gate_outcome
        parts.router.on_outcome = self._on_router_outcome
        parts.router.is_marked_bad = parts.watcher.is_marked_bad
        parts.driver.has_upstream = self._has_version

    def start(self) -> None:
        """Starts the components and the periodic tasks."""
        self._publish_member()
        self.parts.data.listen(self.receive)
        self.parts.tree.start()
        self.parts.relay.start()
        self.parts.driver.start()
        for task, period_ms in (
            (self._maintain_gate, GATE_MAINTENANCE_INTERVAL_MS),
            (self._review_moves, MOVE_REVIEW_INTERVAL_MS),
            (self._publish_outcomes, OUTCOMES_PUBLISH_INTERVAL_MS),
            (self._publish_status, STATUS_PUBLISH_INTERVAL_MS),
        ):
            eventlet.spawn(self._run_periodically, task, period_ms)

    def drain(self, stop_accepting: Callable[[], None] = lambda: None) -> bool:
        """Makes the gate refuse new calls and waits until idle; False on timeout.

        The process keeps accepting requests during the grace period, so that callers
        have time to notice; these requests are routed to other upstreams. Then it stops
        accepting: a node whose callers keep connecting never becomes idle.
        """
        clock = self.parts.clock
        self.parts.gate.draining = True
        self._publish_member()
        self.parts.driver.stop()
        self.parts.relay.stop()
        clock.sleep_ms(self.parts.settings.drain_grace_ms)
        stop_accepting()
        return self.wait_until_idle()

    def wait_until_idle(self) -> bool:
        """Waits until no request is in flight; False on timeout."""
        clock = self.parts.clock
        deadline_ms = clock.now_ms() + self.parts.settings.drain_timeout_ms
        while self.requests_in_flight:
            if clock.now_ms() >= deadline_ms:
                return False
            clock.sleep_ms(DRAIN_POLL_MS)
        return True

    def stop(self) -> None:
        """Stops every task and closes every connection."""
        self._stopped = True
        self.parts.driver.stop()
        self.parts.relay.stop()
        self.parts.tree.stop()
        self.parts.control.close()
        self.parts.data.close()

    @property
    def requests_in_flight(self) -> int:
        """Returns the number of requests that this node is processing or queueing."""
        admission = self.parts.gate.admission
        return self.parts.router.in_flight + admission.in_flight + admission.waiting

    def members(self, service: str = "") -> list[Member]:
        """Returns all known members, or those of one service, sorted by node name."""
        records = [
            record
            for record in self.parts.table.by_kind(KIND_MEMBER)
            if service in ("", record.service)
        ]
        members = [decode_member(record) for record in records]
        known = [member for member in members if member is not None]
        return sorted(known, key=lambda member: member.node)

    def _has_version(self, service: str, version: str) -> bool:
        return any(
            member.version == version and member.state == "up"
            for member in self.members(service)
        )

    def announce(self, announcement: Announcement) -> None:
        """Processes an announcement of the local upstream."""
        if self.parts.gate.announce(announcement):
            logger.info(
                "upstream announcement changed", extra={"upstream": repr(announcement)}
            )
            self._publish_member()

    # Messages on the data port

    @singledispatchmethod
    def receive(self, message: AnyMessage) -> None:
        """Handles a message received on the data port."""
        self.parts.router.counts["unexpected_messages"] += 1

    @receive.register
    def _(self, message: Call) -> None:
        eventlet.spawn_n(
            self.parts.gate.handle, message, self._make_reply_sender(message.reply_to)
        )

    @receive.register(Answer)
    @receive.register(Refusal)
    @receive.register(Unknown)
    @receive.register(Chunk)
    def _(self, message: Reply) -> None:
        self.parts.router.receive(message)

    @receive.register
    def _(self, message: Cancel) -> None:
        send = self._make_reply_sender(message.reply_to)
        eventlet.spawn_n(self.parts.gate.cancel, message, send)

    @receive.register
    def _(self, message: Credit) -> None:
        self.parts.gate.credit(message.id, message.up_to)

    def _make_reply_sender(self, address: str) -> SendReply:
        def send(message: Reply) -> None:
            if not self.parts.data.send(address, message, REPLY_TIMEOUT_MS):
                self.parts.gate.counts["replies_unsent"] += 1

        return send

    # Configuration

    def _on_config_change(self, state: ConfigState) -> None:
        self.parts.gate.set_out_of_service(
            state.is_out_of_service(self.parts.settings.data_centre)
        )
        self._update_interest(state)
        no_activation_pending = self._pending_state is None
        self._pending_state = state
        if no_activation_pending:
            eventlet.spawn(self._activate_when_settled)

    def _update_interest(self, state: ConfigState) -> None:
        services = set(self._required_services(state))
        if self._member.service:
            services.add(self._member.service)
        self.parts.tree.set_own_interest(services)
        if services != self._routed_services:
            self._routed_services = services
            self._rebuild_directory()

    def _rebuild_directory(self) -> None:
        """Restricts the directory to members of services that this node routes to."""
        directory = self.parts.directory
        for name, member in list(directory.by_node.items()):
            if member.service not in self._routed_services:
                directory.remove(name)
        for record in self.parts.table.by_kind(KIND_MEMBER):
            self._on_record_change(record)

    def _required_services(self, state: ConfigState) -> list[str]:
        profile = state.profile_of(self._member.service)
        return [t.service for t in profile.targets] if profile is not None else []

    def _activate_when_settled(self) -> None:
        """Activates a pending configuration once the upstreams it needs are known.

        After SETTLE_TIMEOUT_MS it is activated regardless.
        """
        clock = self.parts.clock
        deadline_ms = clock.now_ms() + SETTLE_TIMEOUT_MS
        while self._pending_state is not None and not self._stopped:
            state = self._pending_state
            required_services = self._required_services(state)
            timed_out = clock.now_ms() >= deadline_ms
            if timed_out or self.parts.tree.is_settled(required_services):
                self.parts.router.counts["settle_timeouts"] += int(timed_out)
                self._activate(state)
                self._pending_state = None
                return
            clock.sleep_ms(SETTLE_POLL_MS)

    def _activate(self, state: ConfigState) -> None:
        profile = state.profile_of(self._member.service)
        self.parts.router.table = RoutingTable(state, profile)

    # Membership

    def _describe_member(self) -> Member:
        settings = self.parts.settings
        member = Member(
            node=settings.vm,
            data_centre=settings.data_centre,
            region=settings.region,
            data_address=self.parts.data.address,
            control_address=self.parts.control.address,
            admin_address=f"http://{settings.bind_ip}:{settings.admin_port}",
        )
        gate = self.parts.gate
        announced = gate.announcement
        if announced is not None:
            member.service = announced.service
            member.version = announced.version
            member.slots = announced.slots
            member.since_ms = gate.announced_since_ms
            leaving = announced.leaving or gate.draining
            member.state = "leaving" if leaving else "up"
        return member

    def _publish_member(self) -> None:
        previous = self._member
        self._member = self._describe_member()
        payload = msgspec.msgpack.encode(self._member)
        key = member_key(self.name)
        self.parts.table.publish(key, KIND_MEMBER, payload, self._member.service)
        if previous.service != self._member.service:
            self._on_config_change(self.parts.replica.state)

    def _on_record_change(self, record: Record) -> None:
        if record.kind != KIND_MEMBER or record.service not in self._routed_services:
            return
        member = decode_member(record)
        if member is None:
            return
        if record.gone:
            self.parts.directory.remove(member.node)
            self.parts.balancer.forget(member.node)
        else:
            self.parts.directory.put(member)

    # Periodic tasks

    def _run_periodically(self, task: Callable[[], None], period_ms: float) -> None:
        while not self._stopped:
            self.parts.clock.sleep_ms(period_ms)
            try:
                task()
            except Exception:
                logger.exception("periodic task failed")

    def _maintain_gate(self) -> None:
        if self.parts.gate.expire_announcement():
            logger.warning("upstream announcement expired")
            self._publish_member()
        self.parts.gate.admission.grant_free_slots()

    def _review_moves(self) -> None:
        tree = self.parts.tree
        tree.evaluator_node = self._find_evaluator()
        is_evaluator = (
            tree.evaluator_node == self.name or tree.is_evaluator_unreachable()
        )
        self.parts.watcher.review(
            self.parts.replica.state, tree.is_relay and is_evaluator
        )

    def _find_evaluator(self) -> str:
        """Returns the driver, which evaluates the gates' outcomes, if it is a relay.

        Returns an empty string otherwise.
        """
        driver = self.parts.replica.state.driver_node
        relays = {slot.node for slot in self.parts.relay.relays}
        return driver if driver in relays else ""

    def _publish_outcomes(self) -> None:
        moving = {
            move.service
            for move in self.parts.replica.state.active_moves()
            if move.service == self._member.service
        }
        if not moving:
            return
        payload = self.parts.gate_outcomes.encode(moving)
        key = f"{KIND_OUTCOMES}/{self.name}"
        held = self.parts.table.get(key)
        if held is None or held.payload != payload:
            self.parts.table.publish(key, KIND_OUTCOMES, payload, self._member.service)

    def _publish_status(self) -> None:
        if not self.parts.tree.is_relay:
            return
        subtree = self.parts.tree.subtree()
        status = RelayStatus(
            node=self.name,
            data_centre=self.parts.settings.data_centre,
            nodes=subtree.nodes,
            lowest_version=subtree.lowest_version,
            lagging=subtree.lagging,
        )
        payload = msgspec.msgpack.encode(status)
        key = f"{KIND_STATUS}/{self.name}"
        held = self.parts.table.get(key)
        if held is None or held.payload != payload:
            self.parts.table.publish(key, KIND_STATUS, payload)

    # Outcomes

    def _on_gate_outcome(
        self, call: Call, failed: bool, latency_ms: float | None
    ) -> None:
        key = OutcomeKey(call.profile, call.service, call.version, call.route)
        self.parts.gate_outcomes.record(key, failed, latency_ms)

    def _on_router_outcome(self, call: Call, failed: bool) -> None:
        key = OutcomeKey(call.profile, call.service, call.version, call.route)
        self.parts.router_outcomes.record(key, failed, None)
