"""Advances the moves of services.

Every proxy may write a step; the store accepts only the first one. The moves of nodes
are advanced in driver.py.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
import msgspec
from returns.result import Failure, Success

from jayswitch.fleet.records import BASELINE_PREFIX, MOVE_PREFIX, Baseline, Move
from jayswitch.rollout.stages import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    MoveView,
    Step,
    next_step,
)
from jayswitch.store.exceptions import CasConflict
from jayswitch.store.interface import Write

if TYPE_CHECKING:
    from jayswitch.catalog.orders import MoveOrder, Orders
    from jayswitch.clock import Clock
    from jayswitch.fleet.directory import Directory
    from jayswitch.rollout.versions import VersionRules
    from jayswitch.store.interface import Store

REVIEW_INTERVAL_MS = 250.0
# Proxies act in the order of their names, each this much later than the previous
# one, so that the next proxy takes over when the first cannot reach the store.
REVIEW_STAGGER_MS = 300.0
MAX_REVIEW_STAGGER_MS = 2000.0

# Takes service, state and version; returns the key and value under which operators
# read a move's state.
StatusWriter = Callable[[str, str, str], tuple[str, bytes]]

logger = logging.getLogger(__name__)


class MoveCoordinator:
    """Decides a move's next step from the fleet's records and writes it.

    Each write expects the revision of the previous step, so that a step is stored
    only once when several proxies race for it.
    """

    def __init__(
        self,
        vm: str,
        store: Store,
        orders: Orders,
        rules: VersionRules,
        directory: Directory,
        status: StatusWriter,
        clock: Clock,
    ) -> None:
        """Takes the sources of the decisions and the store to write to."""
        self._vm = vm
        self._store = store
        self._orders = orders
        self._rules = rules
        self._directory = directory
        self._status = status
        self._clock = clock
        self._due_ms_by_topic: dict[str, float] = {}
        # Share of the stage, and the time at which this proxy first saw it.
        self._stage_start_by_service: dict[str, tuple[float, float]] = {}

    def start(self) -> None:
        """Starts the background task that reviews moves."""
        eventlet.spawn(self._run)

    def roll_back(self, service: str, reason: str) -> None:
        """Ends a running move at once; retries until the store accepts it."""
        eventlet.spawn_n(self._roll_back_until_stored, service, reason)

    def _run(self) -> None:
        while True:
            self._clock.sleep_ms(REVIEW_INTERVAL_MS)
            try:
                self._review()
            except Exception:
                logger.exception("failed to review moves")

    def _review(self) -> None:
        for service in self._services_without_baseline():
            self._run_when_due(f"baseline {service}", self._write_baseline, service)
        for order in list(self._orders.move_by_service.values()):
            self._review_order(order)

    def _review_order(self, order: MoveOrder) -> None:
        move = self._rules.move_by_service.get(order.service)
        if move is None or move.order != order.revision:
            if move is not None and move.order > order.revision:
                return
            step = Step(RUNNING, 0.0)
        elif move.state != RUNNING:
            self._due_ms_by_topic.pop(order.service, None)
            return
        else:
            step = next_step(self._build_view(order, move))
            if step == Step(move.state, move.share):
                self._due_ms_by_topic.pop(order.service, None)
                return
        self._run_when_due(order.service, self._write_step, order, step)

    def _build_view(self, order: MoveOrder, move: Move) -> MoveView:
        now_ms = self._clock.now_ms()
        share, since_ms = self._stage_start_by_service.get(
            order.service, (-1.0, now_ms)
        )
        if share != move.share:
            since_ms = now_ms
            self._stage_start_by_service[order.service] = (move.share, now_ms)
        good = 0
        upstreams = 0
        for record in self._directory.record_by_vm.values():
            upstream = record.upstream
            if upstream is None or upstream.service != order.service:
                continue
            if upstream.version == order.to_version:
                upstreams += 1
                good += record.trial.good if record.trial is not None else 0
        return MoveView(
            share=move.share,
            elapsed_ms=now_ms - order.heard_ms,
            stage_ms=now_ms - since_ms,
            duration_ms=order.duration_ms,
            good_answers=good,
            upstreams=upstreams,
        )

    # Staggering between proxies

    def _run_when_due(
        self, topic: str, action: Callable[..., None], *arguments: object
    ) -> None:
        now_ms = self._clock.now_ms()
        due_ms = self._due_ms_by_topic.setdefault(topic, now_ms + self._stagger_ms())
        if now_ms >= due_ms:
            del self._due_ms_by_topic[topic]
            action(*arguments)

    def _stagger_ms(self) -> float:
        active = sorted(
            record.vm
            for record in self._directory.record_by_vm.values()
            if not record.draining
        )
        before = sum(1 for vm in active if vm < self._vm)
        return min(MAX_REVIEW_STAGGER_MS, before * REVIEW_STAGGER_MS)

    # Writes to the store

    def _services_without_baseline(self) -> list[str]:
        services = {
            record.upstream.service
            for record in self._directory.record_by_vm.values()
            if record.upstream is not None
        }
        return sorted(services - self._rules.proved_version_by_service.keys())

    def _write_baseline(self, service: str) -> None:
        members = self._directory.members(service)
        version = self._rules.proved_version(service, members)
        if not version:
            return
        write = Write(BASELINE_PREFIX + service, _encode(Baseline(version)), 0)
        self._commit([write], "proved version", service)

    def _write_step(self, order: MoveOrder, step: Step) -> None:
        move = Move(
            service=order.service,
            to_version=order.to_version,
            order=order.revision,
            share=step.share,
            state=step.state,
        )
        revision = self._rules.move_revision_by_service.get(order.service, 0)
        self._write_move(move, revision)

    def _write_move(self, move: Move, expected_revision: int) -> bool:
        key = MOVE_PREFIX + move.service
        writes = [Write(key, _encode(move), expected_revision)]
        status_key, status = self._status(move.service, move.state, move.to_version)
        writes.append(Write(status_key, status))
        if move.state == COMPLETED:
            baseline = BASELINE_PREFIX + move.service
            writes.append(Write(baseline, _encode(Baseline(move.to_version))))
        description = f"move {move.state} at {move.share}"
        return self._commit(writes, description, move.service)

    def _commit(self, writes: list[Write], description: str, service: str) -> bool:
        match self._store.commit(writes):
            case Success(revision):
                logger.info(
                    "step written",
                    extra={
                        "service": service,
                        "step": description,
                        "revision": revision,
                    },
                )
                return True
            case Failure(CasConflict()):
                logger.info(
                    "move step already stored by another proxy",
                    extra={"service": service, "step": description},
                )
                return True
            case Failure(error):
                logger.warning(
                    "failed to store move step",
                    extra={
                        "service": service,
                        "step": description,
                        "reason": error.cause,
                    },
                )
        return False

    def _roll_back_until_stored(self, service: str, reason: str) -> None:
        logger.warning(
            "version found bad", extra={"service": service, "reason": reason}
        )
        while True:
            move = self._rules.move_by_service.get(service)
            if move is None or move.state != RUNNING:
                return
            revision = self._rules.move_revision_by_service[service]
            ended = msgspec.structs.replace(move, state=ROLLED_BACK, share=0.0)
            self._write_move(ended, revision)
            self._clock.sleep_ms(REVIEW_INTERVAL_MS)


def _encode(record: msgspec.Struct) -> bytes:
    return msgspec.json.encode(record)
