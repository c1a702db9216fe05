"""Advances moves from their trial step to completion or reversal.

One node at a time does so, under a lease. The moves of proxies are advanced in
coordinator.py.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
from returns.result import Failure, Success

from jayswitch.config.exceptions import StaleDriver
from jayswitch.config.generated import DriverTaken, MoveEnded, MoveStepped
from jayswitch.config.log import SNAPSHOT_EVERY_ENTRIES
from jayswitch.store.exceptions import LeaseExpired

if TYPE_CHECKING:
    import random

    from jayswitch.clock import Clock
    from jayswitch.config.log import ConfigLog
    from jayswitch.config.replica import ConfigReplica
    from jayswitch.config.state import Move
    from jayswitch.rollout.version_comparison import MoveComparison
    from jayswitch.rollout.watcher import MoveWatcher
    from jayswitch.store.interface import Store

DRIVER_KEY = "driver"
DRIVER_LEASE_TTL_MS = 5000
LEASE_ATTEMPT_INTERVAL_MS = 2500.0
DRIVE_INTERVAL_MS = 400.0
STEP_PERCENTS = (25, 50, 90)
# Shares of the time from a move's start to its deadline: the planned time at each
# percentage, the time by which all of these end, and the time after which a move that
# is not completed is reversed.
HOLD_SHARE = 0.15
TRIAL_HOLD_SHARE = 0.3
MIN_HOLD_MS = 300.0
MAX_HOLD_MS = 600_000.0
HOLDS_END_SHARE = 0.85
DECISION_DEADLINE_SHARE = 0.98

logger = logging.getLogger(__name__)


def next_percent(move: Move) -> int | None:
    """Returns the percentage of the next step, or None after the last step."""
    if move.percent == 0:
        return move.trial_percent
    for percent in STEP_PERCENTS:
        if percent > move.percent:
            return percent
    return None


def min_hold_ms(move: Move) -> float:
    """Returns the minimum time for which the current percentage has to be held.

    If an earlier step waited long for evidence, the remaining steps share the time
    that is left before the deadline equally.
    """
    window_ms = move.deadline_ms - move.started_ms
    on_trial = move.percent <= move.trial_percent
    planned_hold_ms = window_ms * (TRIAL_HOLD_SHARE if on_trial else HOLD_SHARE)
    steps_left = 1 + sum(percent > move.percent for percent in STEP_PERCENTS)
    holds_end_ms = move.started_ms + window_ms * HOLDS_END_SHARE
    available_ms = (holds_end_ms - move.stepped_ms) / steps_left
    return min(MAX_HOLD_MS, max(MIN_HOLD_MS, min(planned_hold_ms, available_ms)))


def next_change(
    move: Move,
    comparison: MoveComparison | None,
    bad_evidence: str,
    has_upstream: Callable[[], bool],
    epoch: int,
    now_ms: int,
) -> MoveStepped | MoveEnded | None:
    """Returns the next change of a move, or None while the move has to wait.

    bad_evidence is the evidence against the new version; empty if there is none.
    """

    def end(done: bool, reason: str) -> MoveEnded:
        return MoveEnded(
            move=move.id, epoch=epoch, done=done, reason=reason, at_ms=now_ms
        )

    if bad_evidence:
        return end(False, bad_evidence)
    missing = (
        comparison.missing_evidence() if comparison is not None else "nothing seen yet"
    )
    window_ms = move.deadline_ms - move.started_ms
    if now_ms >= move.started_ms + window_ms * DECISION_DEADLINE_SHARE:
        return end(False, _deadline_reason(move, has_upstream(), missing))
    if move.percent == 0:
        if not has_upstream():
            return None
        return MoveStepped(
            move=move.id, epoch=epoch, percent=move.trial_percent, at_ms=now_ms
        )
    if now_ms - move.stepped_ms < min_hold_ms(move) or missing:
        return None
    percent = next_percent(move)
    if percent is None:
        assert comparison is not None
        return end(
            True, f"proved at each share; {comparison.step_calls} calls at the last"
        )
    return MoveStepped(move=move.id, epoch=epoch, percent=percent, at_ms=now_ms)


def _deadline_reason(move: Move, has_upstream: bool, missing: str) -> str:
    if not has_upstream:
        return f"no upstream runs version {move.to_version}"
    if missing:
        return f"not proved at {move.percent}% by its deadline: {missing}"
    return f"reached {move.percent}% by its deadline, not all calls"


class MoveDriver:
    """Competes for the driver lease and advances all moves while holding it.

    Safety does not depend on the lease but on the log: a take-over is an entry with
    the next epoch, and the log rejects steps of earlier epochs. The lease only keeps
    candidates from taking over from each other.
    """

    def __init__(
        self,
        node: str,
        store: Store,
        log: ConfigLog,
        replica: ConfigReplica,
        watcher: MoveWatcher,
        is_candidate: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Takes the collaborators; is_candidate returns whether this node may drive."""
        self.epoch = 0
        self.has_upstream: Callable[[str, str], bool] = lambda service, version: False
        self._lease = ""
        self._node = node
        self._store = store
        self._log = log
        self._replica = replica
        self._watcher = watcher
        self._is_candidate = is_candidate
        self._clock = clock
        self._random = rng
        self._stopped = False
        self._renewed_ms = 0.0
        self._snapshot_version = 0

    @property
    def is_driving(self) -> bool:
        """Returns whether the latest known take-over is by this node."""
        return bool(self.epoch) and self.epoch == self._replica.state.driver_epoch

    def start(self) -> None:
        """Starts the background task that acquires the lease and advances moves."""
        eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stops advancing moves and revokes the lease."""
        self._stopped = True
        if self._lease:
            self._store.revoke(self._lease)

    def _run(self) -> None:
        while not self._stopped:
            if not self._is_candidate():
                self._clock.sleep_ms(LEASE_ATTEMPT_INTERVAL_MS)
            elif not self._lease:
                self._try_acquire_lease()
                self._clock.sleep_ms(
                    self._random.uniform(
                        LEASE_ATTEMPT_INTERVAL_MS / 2, LEASE_ATTEMPT_INTERVAL_MS
                    )
                )
            else:
                self._renew()
                if self._lease and self.is_driving:
                    self._advance_moves()
                self._clock.sleep_ms(DRIVE_INTERVAL_MS)

    def _try_acquire_lease(self) -> None:
        match self._store.get(DRIVER_KEY):
            case Success(None):
                pass
            case _:
                return
        match self._store.grant_lease(DRIVER_LEASE_TTL_MS):
            case Success(lease):
                pass
            case _:
                return
        written = self._store.put(DRIVER_KEY, self._node.encode(), 0, lease)
        if isinstance(written, Failure):
            self._store.revoke(lease)
            return
        self._lease = lease
        self._renewed_ms = self._clock.now_ms()
        self._take_over()

    def _take_over(self) -> None:
        # The new epoch must follow the newest one in the log, so read that first.
        self._log.catch_up()
        epoch = self._replica.state.driver_epoch + 1
        match self._log.append(DriverTaken(node=self._node, epoch=epoch), self._node):
            case Success(_):
                self.epoch = epoch
                logger.info("took over as driver of moves", extra={"epoch": epoch})
            case Failure(error):
                logger.warning(
                    "failed to take over as driver of moves",
                    extra={"reason": str(error)},
                )
                self._release_lease()

    def _renew(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._renewed_ms < DRIVER_LEASE_TTL_MS / 3:
            return
        match self._store.keep_alive(self._lease):
            case Success(_):
                self._renewed_ms = now_ms
            case Failure(LeaseExpired()):
                self._release_lease()

    def _release_lease(self) -> None:
        lease, self._lease = self._lease, ""
        self.epoch = 0
        self._store.revoke(lease)

    def _advance_moves(self) -> None:
        for move in self._replica.state.active_moves():
            comparison = self._watcher.reported_comparison_by_move.get(move.id)
            mark = self._watcher.mark(move.id)
            change = next_change(
                move,
                comparison,
                mark.evidence if mark is not None else "",
                lambda: self.has_upstream(move.service, move.to_version),
                self.epoch,
                self._clock.wall_ms(),
            )
            if change is not None and not self._append_change(change):
                return
        self._save_snapshot()

    def _append_change(self, change: MoveStepped | MoveEnded) -> bool:
        match self._log.append(change, f"driver {self._node}"):
            case Success(_):
                logger.info("move changed", extra={"change": repr(change)})
                return True
            case Failure(StaleDriver()):
                self._release_lease()
            case Failure(error):
                logger.debug(
                    "failed to append change of move", extra={"reason": str(error)}
                )
        return False

    def _save_snapshot(self) -> None:
        version = self._replica.version
        if version - self._snapshot_version < SNAPSHOT_EVERY_ENTRIES:
            return
        if isinstance(self._log.save_snapshot(), Success):
            self._snapshot_version = version
