"""Service times of an upstream, as measured by its gate."""

from __future__ import annotations

# Assumed until the first response; the service time in both reference deployments is
# 100 ms.
INITIAL_SERVICE_MS = 100.0
# Weight of one response in the moving averages, which span about ten responses.
SMOOTHING_FACTOR = 0.1


class ServiceTimes:
    """Moving averages of the service time, overall and by route."""

    __slots__ = ("_by_route", "overall_ms")

    def __init__(self) -> None:
        """Starts with the assumed service time."""
        self.overall_ms = INITIAL_SERVICE_MS
        self._by_route: dict[str, float] = {}

    def for_route(self, route: str) -> float:
        """Returns the average of a route, or the overall one if it has no samples."""
        return self._by_route.get(route, self.overall_ms)

    def record(self, route: str, latency_ms: float) -> None:
        """Adds the latency of one request to the averages."""
        known_ms = self.for_route(route)
        self._by_route[route] = known_ms + (latency_ms - known_ms) * SMOOTHING_FACTOR
        self.overall_ms += (latency_ms - self.overall_ms) * SMOOTHING_FACTOR
