"""Load pattern: an upstream resets every request, and its health check succeeds.

It fails faster than other upstreams respond, so it looks idle and attracts more load
than they do. Unsafe requests that it breaks off cannot be sent elsewhere.
"""

from __future__ import annotations

from collections import Counter

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.fleet.records import Upstream, UpstreamState
from jayswitch.gate.circuit_breaker import MAX_TRIAL_INTERVAL_MS, OPEN_AFTER_FAILURES
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.local_upstream import Heartbeat, LocalUpstream
from jayswitch.gate.upstream_gate import UpstreamGate
from jayswitch.platform.headers import platform_headers
from jayswitch.proxy.exceptions import ExchangeFailed
from jayswitch.proxy.outcome import Answered, ForwardedRequest, NotRun, OutcomeUnknown
from tests.load.test_slow_readers import DownloadExchange

REQUESTS_PER_S = 30.0
FAULT_MS = 7000.0
SERVICE_MS = 50.0


class ResettingUpstream:
    """Resets requests during a fault; its health check succeeds all the time."""

    def __init__(self, clock: VirtualClock) -> None:
        """Starts with the fault."""
        self.faulty = True
        self.loses_every = 1
        self.received = Counter[str]()
        self._clock = clock

    def send(self, address: str, method: str, target: str, headers, body) -> object:
        """Responds to a request or raises as after a reset."""
        if target == "/health":
            return DownloadExchange("", b"", 0)
        self.received[method] += 1
        total = sum(self.received.values())
        if self.faulty and total % self.loses_every == 0:
            raise ExchangeFailed(address, "the peer reset it")
        self._clock.sleep_ms(SERVICE_MS)
        return DownloadExchange(dict(headers)["Request-Id"], b"ok", 2)

    def forget(self, address: str) -> None:
        """Does nothing."""


class FaultyService:
    """One gate in front of the upstream, and a steady load of both kinds."""

    def __init__(self) -> None:
        """Starts the gate."""
        self.clock = clock = VirtualClock()
        local = LocalUpstream("herdview", 1e9, clock, lambda ms: None)
        upstream = Upstream("i-1", 1, "herdview", "v1", 6, UpstreamState.READY)
        local.handle_heartbeat(Heartbeat(upstream, 0.0))
        self.upstream = ResettingUpstream(clock)
        self.gate = UpstreamGate(
            "a:1",
            local,
            ColdRateLimiter(clock),
            self.upstream,  # type: ignore[arg-type]
            platform_headers(),
            clock,
        )
        self.gate.resize()
        self.outcomes: list[object] = []

    def send(self, number: int) -> None:
        """Runs one request; every second one must not be repeated."""
        repeatable = number % 2 == 0
        method = "GET" if repeatable else "POST"
        headers = [("Request-Id", str(number))]
        request = ForwardedRequest(str(number), method, "/x", headers, b"", None)
        now_ms = self.clock.now_ms()
        request.service, request.rank, request.repeatable = "herdview", 1, repeatable
        request.objective_ms, request.deadline_ms = now_ms + 1000, now_ms + 3000
        outcome = self.gate.run(request)
        if isinstance(outcome, Answered):
            outcome.close()
        self.outcomes.append(outcome)

    def run(self, duration_ms: float) -> list[object]:
        """Sends requests at a constant rate; returns the outcomes of this time."""
        first = len(self.outcomes)
        end_ms = self.clock.now_ms() + duration_ms
        number = 0
        while self.clock.now_ms() < end_ms:
            number += 1
            eventlet.spawn(self.send, number)
            self.clock.sleep_ms(1000.0 / REQUESTS_PER_S)
        self.clock.sleep_ms(500)
        return self.outcomes[first:]


class TestFastFailingUpstream:
    """Few requests are lost at an upstream that breaks off every response."""

    def test_most_requests_are_refused_so_that_they_can_go_elsewhere(self) -> None:
        service = FaultyService()
        outcomes = service.run(FAULT_MS)
        lost = [o for o in outcomes if isinstance(o, OutcomeUnknown)]
        trials = 2 + FAULT_MS / MAX_TRIAL_INTERVAL_MS
        assert len(lost) <= OPEN_AFTER_FAILURES + trials
        assert service.upstream.received["POST"] <= OPEN_AFTER_FAILURES

    def test_requests_are_served_soon_after_the_fault(self) -> None:
        service = FaultyService()
        service.run(FAULT_MS)
        service.upstream.faulty = False
        service.run(2 * MAX_TRIAL_INTERVAL_MS)
        outcomes = service.run(1000)
        assert all(isinstance(outcome, Answered) for outcome in outcomes)

    def test_refusals_tell_when_to_return(self) -> None:
        service = FaultyService()
        outcomes = service.run(2000)
        refused = [o for o in outcomes if isinstance(o, NotRun)]
        assert refused and all(o.retry_after_ms > 0 for o in refused)

    def test_upstream_that_loses_every_third_response_stays_in_use(self) -> None:
        service = FaultyService()
        service.upstream.loses_every = 3
        outcomes = service.run(FAULT_MS)
        answered = sum(isinstance(outcome, Answered) for outcome in outcomes)
        assert answered >= 0.6 * len(outcomes)
