"""Tests of decoding the store keys that the operator writes."""

from __future__ import annotations

import msgspec

from jayswitch.catalog.model import RouteKind
from jayswitch.catalog.orders import Orders
from jayswitch.clock import VirtualClock
from jayswitch.platform.operator import OperatorKeyHandler, encode_status
from jayswitch.store.interface import WatchEvent

CONFIG = {
    "version": "r7",
    "routes": [
        {
            "name": "a",
            "host": "Herd.example",
            "prefix": "/a/",
            "kind": "unsafe",
            "timeout_ms": 1500,
            "slo_ms": 600,
            "priority": 1,
            "service": "herdview",
            "max_attempts": 2,
        },
        {
            "name": "b",
            "host": "herd.example",
            "prefix": "/a/b/",
            "kind": "download",
            "timeout_ms": 1200,
            "weighted_clusters": [
                {"service": "herdview", "weight": 90},
                {"service": "robotdesk", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "herdview", "warmup_s": 3.0, "warmup_per_s": 8.5},
        {"name": "robotdesk"},
    ],
    "limits": {"max_header_bytes": 4096},
}


def _event(key: str, document: object, revision: int = 5) -> WatchEvent:
    value = document if isinstance(document, bytes) else msgspec.json.encode(document)
    return WatchEvent(key, value, revision)


class DecodedOrders:
    """Orders and the handler that updates them."""

    def __init__(self) -> None:
        """Starts without orders."""
        self.orders = Orders()
        self.handler = OperatorKeyHandler(self.orders, VirtualClock())


class TestConfiguration:
    """A valid configuration is activated; an invalid one changes nothing."""

    def test_config_fields_are_translated(self) -> None:
        decoded = DecodedOrders()
        decoded.handler.apply(_event("op/config", CONFIG))
        catalog = decoded.orders.catalog
        assert catalog is not None and catalog.version == 7
        route = catalog.route_for("herd.example", "/a/1")
        assert route is not None
        assert route.kind is RouteKind.NON_IDEMPOTENT and not route.kind.repeatable
        assert (route.objective_ms, route.rank, route.max_attempts) == (600, 1, 2)
        assert catalog.limits.header_bytes == 4096
        assert catalog.service_by_name["herdview"].warm_up_ms == 3000

    def test_longest_prefix_of_the_host_wins(self) -> None:
        decoded = DecodedOrders()
        decoded.handler.apply(_event("op/config", CONFIG))
        catalog = decoded.orders.catalog
        assert catalog is not None
        found = catalog.route_for("herd.example", "/a/b/1")
        assert found is not None and found.name == "b"
        assert catalog.route_for("other.example", "/a/1") is None
        assert catalog.route_for("herd.example", "/a") is None

    def test_versions_compare_as_numbers_and_never_decrease(self) -> None:
        decoded = DecodedOrders()
        for version in ("r9", "r10", "r2"):
            decoded.handler.apply(_event("op/config", {**CONFIG, "version": version}))
        catalog = decoded.orders.catalog
        assert catalog is not None and catalog.version == 10

    def test_invalid_config_changes_nothing(self) -> None:
        decoded = DecodedOrders()
        decoded.handler.apply(_event("op/config", CONFIG))
        route = CONFIG["routes"][0]  # type: ignore[index]
        for broken in (
            b"{",
            b"\xff\xfe",
            {**CONFIG, "version": "eight"},
            {**CONFIG, "version": "r8", "routes": [{**route, "kind": "odd"}]},
            {**CONFIG, "version": "r8", "routes": [{**route, "timeout_ms": "1"}]},
            {**CONFIG, "version": "r8", "routes": [{**route, "service": "other"}]},
            {**CONFIG, "version": "r8", "routes": [{**route, "prefix": "a"}]},
            {**CONFIG, "version": "r8", "routes": [{**route, "host": ""}]},
            {**CONFIG, "version": "r8", "routes": [{**route, "timeout_ms": 0}]},
            {**CONFIG, "version": "r8", "routes": [route, route]},
            msgspec.json.encode({**CONFIG, "version": "r8"})[:-40],
        ):
            decoded.handler.apply(_event("op/config", broken))
        decoded.handler.apply(WatchEvent("op/config", None, 9))
        catalog = decoded.orders.catalog
        assert catalog is not None and catalog.version == 7


class TestOrders:
    """Moves and evacuations follow the creation and deletion of their keys."""

    def test_move_has_the_revision_of_its_key(self) -> None:
        decoded = DecodedOrders()
        body = {"service": "herdview", "to_version": "v2", "duration_s": 12}
        decoded.handler.apply(_event("op/rollout/herdview", body, 31))
        order = decoded.orders.move_by_service["herdview"]
        assert (order.to_version, order.duration_ms) == ("v2", 12_000)
        assert order.revision == 31
        decoded.handler.apply(WatchEvent("op/rollout/herdview", None, 40))
        assert decoded.orders.move_by_service == {}

    def test_evacuation_lasts_until_its_key_is_removed(self) -> None:
        decoded = DecodedOrders()
        decoded.handler.apply(_event("op/evacuate/bunbury", {}))
        assert decoded.orders.evacuated == {"bunbury"}
        decoded.handler.apply(WatchEvent("op/evacuate/bunbury", None, 6))
        assert decoded.orders.evacuated == set()

    def test_status_is_encoded_for_the_operator(self) -> None:
        key, value = encode_status("herdview", "running", "v2")
        assert key == "status/rollout/herdview"
        assert msgspec.json.decode(value) == {"state": "running", "to_version": "v2"}
