"""How long an upstream takes, as its gate has measured it."""

from __future__ import annotations

# Assumed until the first answer: a tenth of a second, as in both deployments.
INITIAL_SERVICE_MS = 100.0
# Weight of one answer in the moving averages, which span about ten of them.
SMOOTHING_FACTOR = 0.1


class ServiceTimes:
    """Moving averages over all requests and over those of each route."""

    __slots__ = ("_by_route", "overall_ms")

    def __init__(self) -> None:
        """Starts without answers."""
        self.overall_ms = INITIAL_SERVICE_MS
        self._by_route: dict[str, float] = {}

    def for_route(self, route: str) -> float:
        """Returns a route's average; the overall one while it has no answer."""
        return self._by_route.get(route, self.overall_ms)

    def record(self, route: str, latency_ms: float) -> None:
        """Takes the time that one request took."""
        known_ms = self.for_route(route)
        self._by_route[route] = known_ms + (latency_ms - known_ms) * SMOOTHING_FACTOR
        self.overall_ms += (latency_ms - self.overall_ms) * SMOOTHING_FACTOR
