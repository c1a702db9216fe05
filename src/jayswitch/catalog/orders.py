"""Operator orders: configuration, traffic moves and evacuations."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from jayswitch.catalog.model import Catalog

logger = logging.getLogger(__name__)


class MoveOrder(msgspec.Struct, frozen=True):
    """An order to move a service's traffic to upstreams of another version.

    The revision identifies the order; heard_ms is its time of arrival on the local
    clock. The move is rolled back unless all traffic has moved within duration_ms.
    """

    service: str
    to_version: str
    duration_ms: float
    revision: int
    heard_ms: float


class Orders:
    """The latest orders known to this process; the catalog version never decreases."""

    def __init__(self) -> None:
        """Initializes the orders without any."""
        self.catalog: Catalog | None = None
        self.move_by_service: dict[str, MoveOrder] = {}
        self.evacuated: set[str] = set()
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each change."""
        self._listeners.append(listener)

    def put_catalog(self, catalog: Catalog) -> None:
        """Activates a configuration if it is newer than the current one."""
        current = self.catalog
        if current is not None and catalog.version <= current.version:
            if catalog.version < current.version:
                logger.warning(
                    "ignoring outdated configuration",
                    extra={"offered": catalog.version, "in_force": current.version},
                )
            return
        self.catalog = catalog
        logger.info(
            "configuration in force",
            extra={"version": catalog.version, "routes": len(catalog.routes)},
        )
        self._notify()

    def put_move(self, order: MoveOrder) -> None:
        """Records an order to move a service."""
        self.move_by_service[order.service] = order
        logger.info(
            "move ordered",
            extra={
                "service": order.service,
                "to_version": order.to_version,
                "duration_ms": order.duration_ms,
                "order": order.revision,
            },
        )
        self._notify()

    def remove_move(self, service: str) -> None:
        """Removes the move order of a service."""
        if self.move_by_service.pop(service, None) is not None:
            logger.info("move order withdrawn", extra={"service": service})
            self._notify()

    def set_evacuated(self, data_centre: str, out: bool) -> None:
        """Takes a data centre out of service or puts it back in service."""
        if out == (data_centre in self.evacuated):
            return
        if out:
            self.evacuated.add(data_centre)
        else:
            self.evacuated.discard(data_centre)
        logger.info(
            "data centre out of service" if out else "data centre back in service",
            extra={"data_centre": data_centre},
        )
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
