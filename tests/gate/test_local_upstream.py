"""Tests of heartbeat handling, including late and repeated heartbeats."""

from __future__ import annotations

import msgspec

from jayswitch.clock import VirtualClock
from jayswitch.fleet.records import Upstream, UpstreamState
from jayswitch.gate.local_upstream import Heartbeat, HeartbeatResult, LocalUpstream

HEARTBEAT_MS = 1000.0


def _upstream(sequence: int = 1, **changes: object) -> Upstream:
    upstream = Upstream("i-1", 1000, "herdview", "v1", 6, UpstreamState.READY, sequence)
    return msgspec.structs.replace(upstream, **changes)


def _local(clock: VirtualClock, cold: list[float] | None = None) -> LocalUpstream:
    noted: list[float] = [] if cold is None else cold
    return LocalUpstream("herdview", HEARTBEAT_MS, clock, noted.append)


class TestHeartbeats:
    """The newest incarnation is current, and one that leaves cannot return."""

    def test_first_heartbeat_makes_the_upstream_usable(self) -> None:
        cold: list[float] = []
        local = _local(VirtualClock(), cold)
        assert local.usable is None
        result = local.handle_heartbeat(Heartbeat(_upstream(), 1500))
        assert result is HeartbeatResult.CHANGED
        assert local.usable is not None
        assert cold == [1500]

    def test_leaving_is_not_undone_by_a_late_heartbeat(self) -> None:
        local = _local(VirtualClock())
        local.handle_heartbeat(Heartbeat(_upstream(5, state=UpstreamState.LEAVING), 0))
        assert (
            local.handle_heartbeat(Heartbeat(_upstream(4), 0)) is HeartbeatResult.STALE
        )
        local.handle_heartbeat(Heartbeat(_upstream(6), 0))
        assert local.usable is None

    def test_earlier_incarnation_changes_nothing(self) -> None:
        local = _local(VirtualClock())
        local.handle_heartbeat(Heartbeat(_upstream(1, id="i-2", started_ms=2000), 0))
        late = _upstream(90, state=UpstreamState.LEAVING)
        assert local.handle_heartbeat(Heartbeat(late, 0)) is HeartbeatResult.STALE
        assert local.usable is not None and local.usable.id == "i-2"

    def test_same_id_with_a_later_start_is_new(self) -> None:
        local = _local(VirtualClock())
        local.handle_heartbeat(Heartbeat(_upstream(50, state=UpstreamState.LEAVING), 0))
        result = local.handle_heartbeat(Heartbeat(_upstream(1, started_ms=2000), 3000))
        assert result is HeartbeatResult.CHANGED
        assert local.usable is not None

    def test_other_service_is_foreign(self) -> None:
        local = _local(VirtualClock())
        result = local.handle_heartbeat(Heartbeat(_upstream(service="robotdesk"), 0))
        assert result is HeartbeatResult.FOREIGN
        assert local.usable is None

    def test_silent_upstream_gets_no_new_calls(self) -> None:
        clock = VirtualClock()
        local = _local(clock)
        local.handle_heartbeat(Heartbeat(_upstream(), 0))
        clock.sleep_ms(10 * HEARTBEAT_MS)
        assert local.usable is None

    def test_deregistered_upstream_gets_no_new_calls(self) -> None:
        local = _local(VirtualClock())
        local.handle_heartbeat(Heartbeat(_upstream(), 0))
        assert local.deregister("i-1")
        assert local.usable is None
        assert not local.deregister("i-9")

    def test_restored_leaving_state_is_not_undone_by_a_heartbeat(self) -> None:
        local = _local(VirtualClock())
        local.restore(_upstream(7, state=UpstreamState.LEAVING))
        local.handle_heartbeat(Heartbeat(_upstream(8), 0))
        assert local.usable is None

    def test_first_heartbeat_after_a_restart_is_a_change(self) -> None:
        local = _local(VirtualClock())
        local.restore(_upstream(7))
        assert local.usable is None
        assert (
            local.handle_heartbeat(Heartbeat(_upstream(8), 0))
            is HeartbeatResult.CHANGED
        )
        assert local.usable is not None
