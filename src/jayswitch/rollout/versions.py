"""Which versions of a service receive requests, and the choice for one request."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from jayswitch.fleet.records import BASELINE_PREFIX, MOVE_PREFIX, Baseline, Move
from jayswitch.rollout.stages import RUNNING
from jayswitch.store.documents import InvalidDocument, decode_document

if TYPE_CHECKING:
    from jayswitch.membership.member import Member
    from jayswitch.store.interface import WatchEvent

logger = logging.getLogger(__name__)


class VersionRules:
    """The proved version of each service and the running moves."""

    def __init__(self, rng: random.Random) -> None:
        """Starts without records.

        Until a proved version is known, that of the earliest upstream counts as
        proved.
        """
        self.move_by_service: dict[str, Move] = {}
        self.move_revision_by_service: dict[str, int] = {}
        self.proved_version_by_service: dict[str, str] = {}
        self.baseline_revision_by_service: dict[str, int] = {}
        self._withdrawals: set[tuple[str, str, int]] = set()
        self._random = rng

    def apply(self, event: WatchEvent) -> None:
        """Applies a change of a move or of a proved version."""
        try:
            if event.key.startswith(MOVE_PREFIX):
                self._apply_move(event.key.removeprefix(MOVE_PREFIX), event)
            elif event.key.startswith(BASELINE_PREFIX):
                self._apply_baseline(event.key.removeprefix(BASELINE_PREFIX), event)
        except InvalidDocument as error:
            logger.warning(
                "cannot decode shared record",
                extra={"key": event.key, "reason": str(error)},
            )

    def withdraw(self, service: str, version: str) -> bool:
        """Stops routing a move's share to a version on this proxy.

        Returns False if no running move leads to the version, or if it has already
        been withdrawn.
        """
        move = self.move_by_service.get(service)
        if move is None or move.to_version != version or move.state != RUNNING:
            return False
        withdrawal = (service, version, move.order)
        if withdrawal in self._withdrawals:
            return False
        self._withdrawals.add(withdrawal)
        logger.warning(
            "version withdrawn here", extra={"service": service, "version": version}
        )
        return True

    def proved_version(self, service: str, members: list[Member]) -> str:
        """Returns the version that receives the requests a move does not take."""
        stored_version = self.proved_version_by_service.get(service)
        if stored_version is not None or not members:
            return stored_version or ""
        return min(members, key=lambda member: member.since_ms).version

    def may_receive_requests(
        self, service: str, version: str, members: list[Member]
    ) -> bool:
        """Returns whether upstreams of a version may receive any requests."""
        if version == (self.proved_version(service, members) or version):
            return True
        move = self._running_move(service)
        return move is not None and move.to_version == version and move.share > 0

    def is_on_trial(self, service: str, version: str) -> bool:
        """Returns whether a version's responses have to be evaluated."""
        move = self._running_move(service)
        return move is not None and move.to_version == version

    def choose_members(self, service: str, members: list[Member]) -> list[Member]:
        """Draws a version for one request at random; returns its upstreams."""
        move = self._running_move(service)
        if move is not None and self._random.random() < move.share:
            chosen = [m for m in members if m.version == move.to_version]
            if chosen:
                return chosen
        return self.members_of_proved_version(service, members)

    def members_of_proved_version(
        self, service: str, members: list[Member]
    ) -> list[Member]:
        """Returns the upstreams of the proved version."""
        proved_version = self.proved_version(service, members)
        return [member for member in members if member.version == proved_version]

    def _running_move(self, service: str) -> Move | None:
        move = self.move_by_service.get(service)
        if move is None or move.state != RUNNING:
            return None
        if (service, move.to_version, move.order) in self._withdrawals:
            return None
        return move

    def _apply_move(self, service: str, event: WatchEvent) -> None:
        if event.value is None:
            self.move_by_service.pop(service, None)
            self.move_revision_by_service.pop(service, None)
            return
        move = decode_document(event.value, Move)
        self.move_by_service[service] = move
        self.move_revision_by_service[service] = event.revision
        logger.info(
            "move changed",
            extra={
                "service": service,
                "to_version": move.to_version,
                "state": move.state,
                "share": move.share,
                "revision": event.revision,
            },
        )

    def _apply_baseline(self, service: str, event: WatchEvent) -> None:
        if event.value is None:
            return
        baseline = decode_document(event.value, Baseline)
        self.proved_version_by_service[service] = baseline.version
        self.baseline_revision_by_service[service] = event.revision
        logger.info(
            "proved version",
            extra={
                "service": service,
                "version": baseline.version,
                "revision": event.revision,
            },
        )
