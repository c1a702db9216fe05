"""Decodes the store keys that the platform's operator writes; encodes statuses."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from jayswitch.catalog.exceptions import CatalogInvalid
from jayswitch.catalog.model import (
    CallerLimits,
    Catalog,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from jayswitch.catalog.orders import MoveOrder
from jayswitch.clock import MS_PER_S
from jayswitch.store.documents import InvalidDocument, decode_document

if TYPE_CHECKING:
    from jayswitch.catalog.orders import Orders
    from jayswitch.clock import Clock
    from jayswitch.store.interface import WatchEvent

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATE_PREFIX = "op/evacuate/"
STATUS_PREFIX = "status/rollout/"

# Downloads have large responses; they may be retried like safe requests.
ROUTE_KIND_BY_NAME = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "download": RouteKind.DOWNLOAD,
}
DEFAULT_PRIORITY = 9

logger = logging.getLogger(__name__)


class WeightedServiceBody(msgspec.Struct):
    """One destination of a weighted route; it names a service, not a cluster of VMs."""

    service: str
    weight: float


class RouteBody(msgspec.Struct):
    """A route; slo_ms is the latency objective, and priority 0 the highest priority."""

    host: str
    prefix: str
    kind: str
    timeout_ms: float
    name: str = ""
    slo_ms: float = 0.0
    priority: int = DEFAULT_PRIORITY
    max_attempts: int = 1
    service: str = ""
    weighted_clusters: list[WeightedServiceBody] = []


class ServiceBody(msgspec.Struct):
    """A service; warmup_per_s limits the request rate of a cold upstream."""

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 1.0


class LimitsBody(msgspec.Struct):
    """Limits on callers' requests, and time-outs of their connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class ConfigBody(msgspec.Struct):
    """A complete configuration; the version is "r" followed by a number."""

    version: str
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


class RolloutBody(msgspec.Struct):
    """An order to move a service to another version within duration_s."""

    service: str
    to_version: str
    duration_s: float


class StatusBody(msgspec.Struct):
    """Status of a rollout: running, completed or rolled_back."""

    state: str
    to_version: str


class OperatorKeyHandler:
    """Applies changes of keys below the operator's prefix to the current orders."""

    def __init__(self, orders: Orders, clock: Clock) -> None:
        """Takes the orders to update."""
        self._orders = orders
        self._clock = clock

    def apply(self, event: WatchEvent) -> None:
        """Applies one change; an invalid value is logged and ignored."""
        key = event.key
        try:
            if key == CONFIG_KEY:
                self._apply_config(event)
            elif key.startswith(ROLLOUT_PREFIX):
                self._apply_rollout(key.removeprefix(ROLLOUT_PREFIX), event)
            elif key.startswith(EVACUATE_PREFIX):
                data_centre = key.removeprefix(EVACUATE_PREFIX)
                self._orders.set_evacuated(data_centre, event.value is not None)
        except (InvalidDocument, CatalogInvalid, ValueError, KeyError) as error:
            logger.warning(
                "operator's key unreadable",
                extra={"key": key, "revision": event.revision, "reason": str(error)},
            )

    def _apply_config(self, event: WatchEvent) -> None:
        if event.value is None:
            logger.warning(
                "configuration key deleted; keeping the current configuration"
            )
            return
        started_ms = self._clock.now_ms()
        body = decode_document(event.value, ConfigBody)
        catalog = decode_catalog(body)
        logger.info(
            "configuration decoded",
            extra={
                "version": catalog.version,
                "revision": event.revision,
                "bytes": len(event.value),
                "elapsed_ms": round(self._clock.now_ms() - started_ms),
            },
        )
        self._orders.put_catalog(catalog)

    def _apply_rollout(self, service: str, event: WatchEvent) -> None:
        if event.value is None:
            self._orders.remove_move(service)
            return
        body = decode_document(event.value, RolloutBody)
        order = MoveOrder(
            service,
            body.to_version,
            body.duration_s * MS_PER_S,
            event.revision,
            self._clock.now_ms(),
        )
        self._orders.put_move(order)


def decode_catalog(body: ConfigBody) -> Catalog:
    """Converts the configuration to a catalog.

    Raises KeyError, ValueError or CatalogInvalid if it is invalid.
    """
    services = [
        Service(
            service.name,
            service.health_path,
            service.max_connections,
            service.warmup_s * MS_PER_S,
            service.warmup_per_s,
        )
        for service in body.services
    ]
    limits = CallerLimits(
        body.limits.max_header_bytes,
        body.limits.max_body_bytes,
        body.limits.header_timeout_ms,
        body.limits.idle_timeout_ms,
    )
    routes = [_decode_route(route) for route in body.routes]
    return Catalog(int(body.version.removeprefix("r")), routes, services, limits)


def _decode_route(body: RouteBody) -> Route:
    destinations = tuple(
        WeightedService(cluster.service, cluster.weight)
        for cluster in body.weighted_clusters
        if cluster.weight > 0
    )
    return Route(
        name=body.name,
        host=body.host.lower(),
        prefix=body.prefix,
        kind=ROUTE_KIND_BY_NAME[body.kind],
        destinations=destinations or (WeightedService(body.service, 1.0),),
        timeout_ms=body.timeout_ms,
        objective_ms=body.slo_ms or body.timeout_ms,
        rank=body.priority,
        max_attempts=max(1, body.max_attempts),
    )


def encode_status(service: str, state: str, to_version: str) -> tuple[str, bytes]:
    """Returns the store key and value that report a move's state to the operator."""
    return STATUS_PREFIX + service, msgspec.json.encode(StatusBody(state, to_version))
