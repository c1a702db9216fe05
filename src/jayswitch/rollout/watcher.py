"""Compares the versions of running moves by call outcomes and marks bad versions."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from jayswitch.membership.member import KIND_MARK, KIND_OUTCOMES
from jayswitch.models import Model
from jayswitch.rollout.outcomes import (
    KeyedOutcomes,
    OutcomeKey,
    RouteOutcomes,
    decode_outcomes,
)
from jayswitch.rollout.version_comparison import MoveComparison

if TYPE_CHECKING:
    from collections.abc import Callable

    from jayswitch.config.state import ConfigState, Move
    from jayswitch.membership.records import RecordTable
    from jayswitch.rollout.outcomes import OutcomeCounter

LOCAL = "local"
# Delays of the new version's counts, in intervals between two reviews.
LOCAL_DELAY_INTERVALS = 3
LOCAL_BAD_SCORE = 10.0
REPORTED_DELAY_INTERVALS = 5

logger = logging.getLogger(__name__)


class BadVersionMark(Model):
    """The finding that a move's new version is bad; a mark is never removed."""

    move: str
    node: str
    evidence: str


def mark_key(move_id: str) -> str:
    """Returns the key of a move's mark."""
    return f"{KIND_MARK}/{move_id}"


class OutcomeDeltas:
    """Converts the cumulative counts of many observers into counts per interval."""

    def __init__(self) -> None:
        """Starts without base counts.

        The first counts of an observer may include calls of an earlier move, so they
        serve only as the base for later counts.
        """
        self._base_by_key_by_observer: dict[str, dict[OutcomeKey, RouteOutcomes]] = {}

    def update(self, observer: str, rows: list[KeyedOutcomes]) -> list[KeyedOutcomes]:
        """Returns the increase of an observer's counts since its last update."""
        base_by_key = self._base_by_key_by_observer.get(observer)
        self._base_by_key_by_observer[observer] = {
            row.key: row.outcomes.copy() for row in rows
        }
        if base_by_key is None:
            return []
        zero = RouteOutcomes()
        return [
            KeyedOutcomes(
                key=row.key,
                outcomes=row.outcomes.since(base_by_key.get(row.key, zero)),
            )
            for row in rows
        ]

    def retain_only(self, observers: set[str]) -> None:
        """Removes the base counts of all other observers."""
        for observer in set(self._base_by_key_by_observer) - observers:
            del self._base_by_key_by_observer[observer]


class MoveWatcher:
    """Compares the versions of each move twice: by own calls and by gate reports.

    Many nodes compare their own calls, each with few samples, so the local
    comparison requires a higher score. The two sets of counts are never added,
    because each call is counted by both its entry node and its gate.
    """

    def __init__(
        self, node: str, table: RecordTable, own_outcomes: OutcomeCounter
    ) -> None:
        """Takes the record table and the outcomes of calls that entered here."""
        self.reported_comparison_by_move: dict[str, MoveComparison] = {}
        self._local_comparison_by_move: dict[str, MoveComparison] = {}
        self._node = node
        self._table = table
        self._own_outcomes = own_outcomes
        self._local_deltas = OutcomeDeltas()
        self._reported_deltas = OutcomeDeltas()

    def is_marked_bad(self, move_id: str) -> bool:
        """Returns whether any node has marked the move's new version as bad."""
        return self._table.get(mark_key(move_id)) is not None

    def mark(self, move_id: str) -> BadVersionMark | None:
        """Returns the mark of a move's new version, or None."""
        record = self._table.get(mark_key(move_id))
        if record is None:
            return None
        return msgspec.msgpack.decode(record.payload, type=BadVersionMark)

    def review(self, config: ConfigState, has_all_reports: bool) -> None:
        """Evaluates the outcomes since the last review and marks bad versions.

        Gate reports are evaluated only on a node that receives all of them;
        elsewhere those of one version may be missing.
        """
        moves = config.active_moves()
        own_rows = [
            KeyedOutcomes(key=key, outcomes=outcomes)
            for key, outcomes in self._own_outcomes.by_key.items()
        ]
        self._compare_versions(
            moves,
            {LOCAL: own_rows},
            self._local_deltas,
            self._local_comparison_by_move,
            lambda: MoveComparison(LOCAL_DELAY_INTERVALS, LOCAL_BAD_SCORE),
        )
        if moves and has_all_reports:
            self._compare_versions(
                moves,
                self._reported_rows(),
                self._reported_deltas,
                self.reported_comparison_by_move,
                lambda: MoveComparison(REPORTED_DELAY_INTERVALS),
            )
        self._forget_ended(moves)

    def _reported_rows(self) -> dict[str, list[KeyedOutcomes]]:
        return {
            f"{record.origin}/{record.incarnation}": decode_outcomes(record.payload)
            for record in self._table.by_kind(KIND_OUTCOMES)
        }

    def _compare_versions(
        self,
        moves: list[Move],
        rows_by_observer: dict[str, list[KeyedOutcomes]],
        deltas: OutcomeDeltas,
        comparison_by_move: dict[str, MoveComparison],
        make_comparison: Callable[[], MoveComparison],
    ) -> None:
        by_key: dict[OutcomeKey, RouteOutcomes] = {}
        for observer, rows in rows_by_observer.items():
            for row in deltas.update(observer, rows):
                by_key.setdefault(row.key, RouteOutcomes()).add(row.outcomes)
        deltas.retain_only(set(rows_by_observer))
        for move in moves:
            comparison = comparison_by_move.get(move.id)
            if comparison is None:
                # Outcomes from before the move started must not count towards it.
                comparison_by_move[move.id] = make_comparison()
                continue
            comparison.set_percent(move.percent)
            self._observe_move(move, comparison, by_key)
            regression = comparison.regression()
            if regression and not self.is_marked_bad(move.id):
                self._mark_bad(move, regression)

    def _observe_move(
        self,
        move: Move,
        comparison: MoveComparison,
        by_key: dict[OutcomeKey, RouteOutcomes],
    ) -> None:
        routes = {
            key.route
            for key in by_key
            if key.profile == move.profile and key.service == move.service
        }
        all_old, all_new = RouteOutcomes(), RouteOutcomes()
        for route in sorted(routes):
            old_key = OutcomeKey(move.profile, move.service, move.from_version, route)
            new_key = OutcomeKey(move.profile, move.service, move.to_version, route)
            old = by_key.get(old_key, RouteOutcomes())
            new = by_key.get(new_key, RouteOutcomes())
            comparison.observe(route, old, new)
            all_old.add(old)
            all_new.add(new)
        comparison.observe_overall(all_old, all_new)

    def _mark_bad(self, move: Move, regression: str) -> None:
        evidence = f"{move.service} {move.to_version}: {regression}"
        mark = BadVersionMark(move=move.id, node=self._node, evidence=evidence)
        logger.warning("version marked bad", extra={"evidence": evidence})
        payload = msgspec.msgpack.encode(mark)
        self._table.publish(mark_key(move.id), KIND_MARK, payload, move.service)

    def _forget_ended(self, moves: list[Move]) -> None:
        active = {move.id for move in moves}
        for comparisons in (
            self._local_comparison_by_move,
            self.reported_comparison_by_move,
        ):
            for move_id in set(comparisons) - active:
                del comparisons[move_id]
