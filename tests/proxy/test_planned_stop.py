"""Tests of which requests a stopping proxy takes, in virtual time.

Guards against requests that come late in the grace period, are passed on and then cut
by the exit of the process: their callers cannot tell whether they have run.
"""

from __future__ import annotations

from types import SimpleNamespace

import eventlet
import pytest

from jayswitch.clock import MS_PER_S, VirtualClock
from jayswitch.proxy.planned_stop import PlannedStop

# Callers may be cut only if they sent their request up to this long after the signal,
# and their upstream still works on it at the end.
LAST_UNBOUNDED_REQUEST_MS = 3000.0


class StoppingProcess:
    """The parts of a proxy that a planned stop uses; callers never stop coming."""

    def __init__(self, grace_s: float) -> None:
        """Starts the stop."""
        self.clock = VirtualClock()
        self.started_ms = self.clock.now_ms()
        self.settings = SimpleNamespace(grace_s=grace_s, data_centre="bunbury")
        self.in_flight = 1
        self.draining = False
        self.has_upstream = True
        self.inbound = SimpleNamespace(latest_deadline_ms=float("inf"), refusing=False)
        self.outbound = SimpleNamespace(
            latest_deadline_ms=float("inf"),
            refusing=False,
            last_request_ms=self.clock.now_ms() + 3600 * MS_PER_S,
        )
        self.publisher = SimpleNamespace(
            publish=lambda: None, revoke_lease=lambda: None
        )
        self.directory = SimpleNamespace(
            at_least_half_accept_callers=lambda data_centre: True
        )
        self.local_upstream = SimpleNamespace(current=object())
        self.exit_ms = float("inf")
        eventlet.spawn(self._run)

    def _run(self) -> None:
        PlannedStop(self).run()  # type: ignore[arg-type]
        self.exit_ms = self.clock.now_ms()

    def stop_accepting(self) -> None:
        """Does nothing, as there are no servers."""

    def log_store_calls(self) -> None:
        """Does nothing, as there is no store."""

    def takes(self, timeout_ms: float) -> bool:
        """Returns whether a request with a timeout would be taken at this moment."""
        latest_ms = min(
            self.inbound.latest_deadline_ms, self.outbound.latest_deadline_ms
        )
        in_time = self.clock.now_ms() + timeout_ms <= latest_ms
        return in_time and not self.outbound.refusing and not self.inbound.refusing


class TestLateRequests:
    """A request that comes late is taken only if its time ends before the process."""

    @pytest.mark.parametrize("grace_s", [6.0, 10.0, 30.0])
    @pytest.mark.parametrize("timeout_ms", [500.0, 2000.0, 8000.0, 12_000.0])
    def test_late_request_is_never_cut_by_the_exit(
        self, grace_s: float, timeout_ms: float
    ) -> None:
        process = StoppingProcess(grace_s)
        process.clock.sleep_ms(LAST_UNBOUNDED_REQUEST_MS)
        latest_end_ms = 0.0
        while process.exit_ms == float("inf"):
            if process.takes(timeout_ms):
                latest_end_ms = process.clock.now_ms() + timeout_ms
            process.clock.sleep_ms(50)
        assert latest_end_ms <= process.exit_ms
        assert process.exit_ms - process.started_ms < grace_s * MS_PER_S

    def test_requests_that_cannot_know_of_the_stop_are_taken(self) -> None:
        process = StoppingProcess(6.0)
        process.clock.sleep_ms(2200)
        assert process.takes(12_000.0)

    def test_short_requests_are_taken_in_the_second_half(self) -> None:
        process = StoppingProcess(10.0)
        process.clock.sleep_ms(7000)
        assert process.takes(2000.0)
