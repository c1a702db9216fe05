"""The two reference deployments that the embedded mode and the benchmarks model."""

from __future__ import annotations

import msgspec


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service, the number of its upstreams, and the capacity of each.

    read_prefix belongs to a read-only route, write_prefix to a route that writes.
    """

    name: str
    upstreams: int
    slots: int
    connections: int
    read_prefix: str
    write_prefix: str


class Deployment(msgspec.Struct, frozen=True):
    """The data centres of one region and the services that run in them."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    services: tuple[ServiceSpec, ...]

    def data_centre_of(self, number: int) -> str:
        """Returns the data centre of the upstream with a number, round-robin."""
        return self.data_centres[number % len(self.data_centres)]

    def profile(self, name: str, version: str, move_within_ms: int) -> dict:
        """Returns a profile with a read and a write route for each service."""
        routes: list[dict[str, str | int]] = []
        for service in self.services:
            routes.append(
                {
                    "name": f"{service.name}-read",
                    "prefix": service.read_prefix,
                    "service": service.name,
                    "priority": "high",
                }
            )
            routes.append(
                {
                    "name": f"{service.name}-write",
                    "prefix": service.write_prefix,
                    "service": service.name,
                    "timeout_ms": 3000,
                }
            )
        targets = [
            {
                "service": service.name,
                "version": version if index == 0 else "v1",
                "move_within_ms": move_within_ms,
            }
            for index, service in enumerate(self.services)
        ]
        return {"name": name, "routes": routes, "targets": targets}


PADDOCKLINE = Deployment(
    name="paddockline",
    region="swwa",
    data_centres=("bunbury", "busselton", "harvey"),
    services=(
        ServiceSpec("herdview", 8, 20, 120, "/herd", "/treatments"),
        ServiceSpec("robotdesk", 3, 20, 120, "/identity", "/alarms"),
    ),
)
GCTIA = Deployment(
    name="gctia",
    region="gulf-south",
    data_centres=("baton-rouge", "lake-charles", "corpus-christi"),
    services=(
        ServiceSpec("tank-ledger", 7, 6, 110, "/levels", "/transfers"),
        ServiceSpec("ticket-records", 3, 6, 110, "/archives", "/tickets"),
    ),
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (PADDOCKLINE, GCTIA)}
