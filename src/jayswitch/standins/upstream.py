"""Stand-in for an upstream, with cold start, load shedding and fault injection."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from jayswitch.http.headers import REQUEST_ID_HEADER, SHED_HEADER, SHED_NOT_RUN
from jayswitch.http.status_lines import status_line

if TYPE_CHECKING:
    from jayswitch.clock import Clock

REQUEST_ID_VARIABLE = "HTTP_" + REQUEST_ID_HEADER.upper().replace("-", "_")
TIMEOUT_VARIABLE = "HTTP_X_REQUEST_TIMEOUT_MS"
BODY_CHUNK = b"." * 65_536
COLD_SLOTS_SHARE = 0.2
COLD_SLOWDOWN = 3.0
OVERLOAD_FAILURE_MS = 2000.0
CANCEL_POLL_MS = 10.0


class UpstreamBehaviour(msgspec.Struct, kw_only=True):
    """Behaviour of the stand-in; may be changed while it runs.

    Fractions lie between 0 and 1. The capacity of an upstream is a fifth of its
    slots when cold and increases to all slots during warm-up. Above its capacity it
    becomes overloaded and returns errors for a time. The warm-up starts when the
    upstream starts or its warm-up is reset.
    """

    slots: int = 20
    connections: int = 120
    latency_ms: float = 1.0
    body_bytes: int = 200
    warm_up_ms: float = 0.0
    error_fraction: float = 0.0
    error_route: str = ""
    error_above_in_flight: int = 0
    cut_fraction: float = 0.0
    hang_fraction: float = 0.0
    lying_health: bool = False
    health_lag_ms: float = 0.0


class StandInUpstream:
    """WSGI application that counts executions by request id."""

    def __init__(
        self, name: str, version: str, behaviour: UpstreamBehaviour, clock: Clock
    ) -> None:
        """Starts cold if the behaviour sets a warm-up time."""
        self.behaviour = behaviour
        self.runs_by_id: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.in_flight = 0
        self.highest_in_flight = 0
        self._name = name
        self._version = version
        self._clock = clock
        self._random = random.Random(f"{name}-{version}")
        self._started_ms = clock.now_ms()
        self._overloaded_until_ms = float("-inf")
        self._cancelled: set[str] = set()

    def reset_warm_up(self) -> None:
        """Makes the upstream cold again, without announcing it."""
        self._started_ms = self._clock.now_ms()

    @property
    def is_cold(self) -> bool:
        """Returns whether the upstream is still warming up."""
        return self._clock.now_ms() - self._started_ms < self.behaviour.warm_up_ms

    def capacity(self) -> int:
        """Returns the number of requests that can currently run concurrently."""
        slots = self.behaviour.slots
        if not self.is_cold:
            return slots
        warmed_ms = self._clock.now_ms() - self._started_ms
        warm_fraction = warmed_ms / self.behaviour.warm_up_ms
        share = COLD_SLOTS_SHARE + (1 - COLD_SLOTS_SHARE) * warm_fraction
        return max(1, int(slots * share))

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "DELETE" and path.startswith("/requests/"):
            self._cancelled.add(path.rpartition("/")[2])
            self.counts["cancelled"] += 1
            start_response("200 OK", [])
            return [b""]
        if path == "/health":
            start_response("200 OK", [])
            return [b"ok" if self._reports_healthy() else b"no"]
        environ["wsgi.input"].read()
        return self._serve(environ, path, start_response)

    def _serve(
        self, environ: dict[str, Any], path: str, start_response: Callable
    ) -> Iterable[bytes]:
        request_id = environ.get(REQUEST_ID_VARIABLE, "")
        if self._sheds():
            self.counts["shed"] += 1
            start_response(status_line(503), [(SHED_HEADER, SHED_NOT_RUN)])
            return [b"shed"]
        self.runs_by_id[request_id] += 1
        self.counts["runs"] += 1
        self.in_flight += 1
        self.highest_in_flight = max(self.highest_in_flight, self.in_flight)
        if self.in_flight > self.capacity():
            self.counts["overloads"] += 1
            self._overloaded_until_ms = self._clock.now_ms() + OVERLOAD_FAILURE_MS
        try:
            self._simulate_work(environ, path)
            status = self._choose_status(path)
        finally:
            self.in_flight -= 1
        return self._respond(status, request_id, start_response)

    def _sheds(self) -> bool:
        return not self.is_cold and self.in_flight >= self.behaviour.slots

    def _reports_healthy(self) -> bool:
        """Returns the reported health, which may lag behind the state or ignore it."""
        at_ms = self._clock.now_ms() - self.behaviour.health_lag_ms
        reported_cold = 0 <= at_ms - self._started_ms < self.behaviour.warm_up_ms
        return self.behaviour.lying_health or not reported_cold

    def _simulate_work(self, environ: dict[str, Any], path: str) -> None:
        """Sleeps for the latency; returns early on cancellation or at the deadline."""
        latency_ms = self.behaviour.latency_ms
        if self.is_cold:
            latency_ms *= COLD_SLOWDOWN
        if self._random.random() < self.behaviour.hang_fraction:
            latency_ms = float(environ.get(TIMEOUT_VARIABLE, "1000")) * 2
            self._clock.sleep_ms(latency_ms)
            return
        deadline_ms = float(environ.get(TIMEOUT_VARIABLE, "inf"))
        if latency_ms > deadline_ms:
            self.counts["past_deadline"] += 1
        remaining_ms = min(latency_ms, deadline_ms)
        request_id = environ.get(REQUEST_ID_VARIABLE, "")
        while remaining_ms > 0:
            if request_id in self._cancelled:
                self._cancelled.discard(request_id)
                self.counts["stopped_early"] += 1
                return
            self._clock.sleep_ms(min(remaining_ms, CANCEL_POLL_MS))
            remaining_ms -= CANCEL_POLL_MS

    def _choose_status(self, path: str) -> int:
        if self._clock.now_ms() < self._overloaded_until_ms:
            return 500
        behaviour = self.behaviour
        route_matches = path.startswith(behaviour.error_route)
        above_in_flight = self.in_flight > behaviour.error_above_in_flight
        failed = self._random.random() < behaviour.error_fraction
        return 500 if route_matches and above_in_flight and failed else 200

    def _respond(
        self, status: int, request_id: str, start_response: Callable
    ) -> Iterable[bytes]:
        self.counts[f"status_{status}"] += 1
        size = self.behaviour.body_bytes
        head = f"{self._name} {self._version} {request_id}\n".encode()
        size = max(size, len(head))
        headers = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(size)),
            ("X-Version", self._version),
        ]
        start_response(status_line(status), headers)
        if self._random.random() < self.behaviour.cut_fraction:
            return self._truncated_body(head)
        return self._body(head, size)

    def _body(self, head: bytes, size: int) -> Iterator[bytes]:
        remaining = size - len(head)
        if remaining <= len(BODY_CHUNK):
            yield head + BODY_CHUNK[:remaining]
            return
        yield head
        while remaining > 0:
            chunk = BODY_CHUNK[: min(remaining, len(BODY_CHUNK))]
            remaining -= len(chunk)
            yield chunk

    def _truncated_body(self, head: bytes) -> Iterator[bytes]:
        self.counts["cut"] += 1
        yield head
        raise ConnectionAbortedError("response truncated by fault injection")
