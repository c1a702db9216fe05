"""What operators have ordered: the configuration, moves and evacuations."""

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

    The revision tells one order from another; heard_ms is on the local clock.
    """

    service: str
    to_version: str
    duration_ms: float
    revision: int
    heard_ms: float


class Orders:
    """The newest orders that this process knows; a catalog never goes back."""

    def __init__(self) -> None:
        """Starts without any."""
        self.catalog: Catalog | None = None
        self.move_by_service: dict[str, MoveOrder] = {}
        self.evacuated: set[str] = set()
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each change."""
        self._listeners.append(listener)

    def put_catalog(self, catalog: Catalog) -> None:
        """Puts a configuration in force unless a later one is."""
        current = self.catalog
        if current is not None and catalog.version <= current.version:
            if catalog.version < current.version:
                logger.warning(
                    "older configuration ignored",
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
        """Takes an order to move a service."""
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
        """Takes an order back."""
        if self.move_by_service.pop(service, None) is not None:
            logger.info("move taken back", extra={"service": service})
            self._notify()

    def set_evacuated(self, data_centre: str, out: bool) -> None:
        """Takes a data centre out of service or back."""
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
