"""Tests of the stand-in upstream's behaviour that the scenarios depend on."""

from __future__ import annotations

import io
from typing import Any

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.standins.upstream import StandInUpstream, UpstreamBehaviour


class TestStandInUpstream:
    """Cancellation, deadlines and delayed health reports."""

    def make(self, **behaviour: object) -> StandInUpstream:
        """Returns a stand-in that uses a virtual clock."""
        clock = VirtualClock()
        return StandInUpstream("u", "v1", UpstreamBehaviour(**behaviour), clock)

    def send(
        self, upstream: StandInUpstream, method: str, path: str, timeout: str = "9999"
    ) -> bytes:
        """Sends a request with the id "r" and returns the response body."""
        environ: dict[str, Any] = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_X_REQUEST_ID": "r",
            "HTTP_X_REQUEST_TIMEOUT_MS": timeout,
            "wsgi.input": io.BytesIO(),
        }
        return b"".join(upstream(environ, lambda status, headers: None))

    def test_cancelled_request_stops_early(self) -> None:
        upstream = self.make(latency_ms=1000.0)
        clock = VirtualClock()
        task = eventlet.spawn(self.send, upstream, "POST", "/treatments")
        clock.sleep_ms(50)
        self.send(upstream, "DELETE", "/requests/r")
        task.wait()
        assert clock.now_ms() < 100
        assert upstream.counts["stopped_early"] == 1

    def test_request_ends_at_its_deadline(self) -> None:
        upstream = self.make(latency_ms=1000.0)
        self.send(upstream, "GET", "/herd", timeout="200")
        assert round(VirtualClock().now_ms()) == 200
        assert upstream.counts["past_deadline"] == 1

    def test_reported_health_lags(self) -> None:
        upstream = self.make(warm_up_ms=1000.0, health_lag_ms=500.0)
        clock = VirtualClock()
        assert self.send(upstream, "GET", "/health") == b"ok"
        clock.sleep_ms(1200)
        assert self.send(upstream, "GET", "/health") == b"no"
        clock.sleep_ms(400)
        assert self.send(upstream, "GET", "/health") == b"ok"
