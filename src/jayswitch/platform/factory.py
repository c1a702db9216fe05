"""Builds a proxy that uses the platform's protocols."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jayswitch.catalog.orders import Orders
from jayswitch.platform.headers import platform_headers
from jayswitch.platform.heartbeats import HeartbeatApplication
from jayswitch.platform.operator import (
    OPERATOR_PREFIX,
    OperatorKeyHandler,
    encode_status,
)
from jayswitch.platform.store import PlatformStore
from jayswitch.proxy.process import ProxyProcess

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.logs import BoundedLogHandler
    from jayswitch.proxy.generated import ProxySettings


def start_proxy(
    settings: ProxySettings, clock: Clock, logs: BoundedLogHandler | None = None
) -> ProxyProcess:
    """Builds a proxy, starts its servers and tasks, and returns it."""
    orders = Orders()
    process = ProxyProcess(
        settings,
        PlatformStore(settings.store_address, clock),
        orders,
        OPERATOR_PREFIX,
        OperatorKeyHandler(orders, clock).apply,
        encode_status,
        platform_headers(),
        clock,
    )
    process.start(
        HeartbeatApplication(process.handle_heartbeat, process.handle_deregistration),
        logs,
    )
    return process
