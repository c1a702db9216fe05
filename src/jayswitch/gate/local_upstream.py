"""State of the upstream on this VM, as reported by its heartbeats."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jayswitch.fleet.records import Upstream, UpstreamState

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# An upstream that has missed this many heartbeats gets no new calls.
MISSED_HEARTBEATS = 4

logger = logging.getLogger(__name__)


class Heartbeat(msgspec.Struct, frozen=True):
    """Heartbeat of an upstream; cold_left_ms is 0 once the upstream is warm."""

    upstream: Upstream
    cold_left_ms: float


class HeartbeatResult(Enum):
    """Result of processing a heartbeat.

    STALE heartbeats are late, repeated or of an old incarnation; FOREIGN ones are of
    another service.
    """

    CHANGED = "changed"
    KNOWN = "known"
    STALE = "stale"
    FOREIGN = "foreign"


class LocalUpstream:
    """Tracks the incarnations of an upstream; one that leaves cannot return."""

    def __init__(
        self,
        service: str,
        heartbeat_ms: float,
        clock: Clock,
        on_cold: Callable[[float], None],
    ) -> None:
        """Takes this VM's service and a callback for the remaining cold time in ms."""
        self.current: Upstream | None = None
        self._service = service
        self._heartbeat_timeout_ms = MISSED_HEARTBEATS * heartbeat_ms
        self._clock = clock
        self._on_cold = on_cold
        self._last_heartbeat_ms = float("-inf")

    def restore(self, upstream: Upstream) -> None:
        """Restores the last state that an earlier process stored.

        The state only guards against stale heartbeats: the upstream becomes usable
        with its next heartbeat or once it has been confirmed.
        """
        if self.current is None:
            self.current = upstream

    def confirm(self) -> None:
        """Marks the restored upstream as confirmed by its health check."""
        if self._last_heartbeat_ms == float("-inf"):
            self._last_heartbeat_ms = self._clock.now_ms()

    @property
    def usable(self) -> Upstream | None:
        """Returns the upstream if it accepts new calls."""
        current = self.current
        if current is None or current.state is not UpstreamState.READY:
            return None
        if self._clock.now_ms() - self._last_heartbeat_ms > self._heartbeat_timeout_ms:
            return None
        return current

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResult:
        """Processes a heartbeat; ignores late ones and those of old incarnations."""
        reported = heartbeat.upstream
        current = self.current
        if reported.service != self._service:
            return HeartbeatResult.FOREIGN
        if current is not None and current.same_incarnation(reported):
            return self._handle_same_incarnation(current, heartbeat)
        if current is not None and reported.started_ms < current.started_ms:
            return HeartbeatResult.STALE
        self.current = reported
        self._record_heartbeat(heartbeat)
        logger.info(
            "upstream started",
            extra={
                "upstream": reported.id,
                "version": reported.version,
                "state": reported.state.value,
                "started_ms": reported.started_ms,
                "cold_left_ms": heartbeat.cold_left_ms,
            },
        )
        return HeartbeatResult.CHANGED

    def announce_departure(self) -> bool:
        """Marks the current upstream as leaving; returns whether that is news."""
        current = self.current
        if current is None or current.state is not UpstreamState.READY:
            return False
        self.current = msgspec.structs.replace(current, state=UpstreamState.LEAVING)
        logger.info(
            "upstream leaves as its response announces",
            extra={"upstream": current.id, "started_ms": current.started_ms},
        )
        return True

    def deregister(self, upstream_id: str) -> bool:
        """Marks an upstream as gone; returns whether it is the current one."""
        current = self.current
        if current is None or current.id != upstream_id:
            return False
        if current.state is not UpstreamState.GONE:
            self.current = msgspec.structs.replace(current, state=UpstreamState.GONE)
            logger.info("upstream deregistered", extra={"upstream": upstream_id})
        return True

    def _handle_same_incarnation(
        self, current: Upstream, heartbeat: Heartbeat
    ) -> HeartbeatResult:
        reported = heartbeat.upstream
        if reported.sequence <= current.sequence:
            # A stale heartbeat is acknowledged like any other, so one that is sent
            # again gets the same reply as the first one.
            return HeartbeatResult.STALE
        first = self._last_heartbeat_ms == float("-inf")
        self._record_heartbeat(heartbeat)
        left = current.state is not UpstreamState.READY
        state = current.state if left else reported.state
        self.current = msgspec.structs.replace(reported, state=state)
        same = state is current.state and reported.version == current.version
        if same and not first:
            return HeartbeatResult.KNOWN
        logger.info(
            "upstream changed", extra={"upstream": reported.id, "state": state.value}
        )
        return HeartbeatResult.CHANGED

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._last_heartbeat_ms = self._clock.now_ms()
        self._on_cold(heartbeat.cold_left_ms)
