"""One version of the operators' configuration, as used for routing."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from jayswitch.catalog.exceptions import CatalogInvalid


class RouteKind(Enum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self is not RouteKind.NON_IDEMPOTENT


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests; weights are relative."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route for the requests to one host under one path prefix.

    The timeout limits a request, and the objective is its target latency. A lower
    rank means a higher priority.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    destinations: tuple[WeightedService, ...]
    timeout_ms: float
    objective_ms: float
    rank: int
    max_attempts: int

    def choose_service(self, rng: random.Random) -> str:
        """Returns the service of a destination chosen at random by weight."""
        if len(self.destinations) == 1:
            return self.destinations[0].service
        weights = [destination.weight for destination in self.destinations]
        return rng.choices(self.destinations, weights)[0].service


class Service(msgspec.Struct, frozen=True):
    """A service and the load limits of its upstreams.

    cold_calls_per_s limits the calls to an upstream that reports that it is cold.
    max_connections and warm_up_ms are decoded but not enforced.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up_ms: float
    cold_calls_per_s: float


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests, and time-outs of their connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


def _check_routes(routes: list[Route], services: set[str]) -> None:
    seen = set()
    for route in routes:
        if not route.host or route.timeout_ms <= 0:
            raise CatalogInvalid(
                f"route {route.name} needs a host and a timeout above 0"
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            raise CatalogInvalid(
                f"prefix {route.prefix!r} must start and end with a slash"
            )
        if (route.host, route.prefix) in seen:
            raise CatalogInvalid(f"duplicate route for {route.host}{route.prefix}")
        seen.add((route.host, route.prefix))
        for destination in route.destinations:
            if destination.service not in services:
                raise CatalogInvalid(
                    f"route {route.name} refers to undeclared service "
                    f"{destination.service!r}"
                )


class Catalog:
    """An immutable configuration with its routes indexed by host."""

    __slots__ = ("_routes_by_host", "limits", "service_by_name", "version")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        limits: CallerLimits,
    ) -> None:
        """Initializes the catalog; later versions have higher numbers.

        Raises CatalogInvalid if a route is invalid or a duplicate, or names an
        undeclared service.
        """
        _check_routes(routes, {service.name for service in services})
        self.version = version
        self.limits = limits
        self.service_by_name = {service.name: service for service in services}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def route_for(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix that matches the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def routes(self) -> list[Route]:
        """All routes."""
        return [route for routes in self._routes_by_host.values() for route in routes]
