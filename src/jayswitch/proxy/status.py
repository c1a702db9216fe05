"""Serves the metrics of a proxy and a dump of its state."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import msgspec
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric

from jayswitch.clock import MS_PER_S
from jayswitch.http.status_lines import status_line
from jayswitch.metrics import counter_family

if TYPE_CHECKING:
    from jayswitch.logs import BoundedLogHandler
    from jayswitch.proxy.process import ProxyProcess
    from jayswitch.proxy.wsgi_request import StartResponse

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# From a cached read to the longest deadline of either reference deployment, in seconds.
LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0,
)  # fmt: skip


class LatencyMetrics:
    """Latency histograms of requests and upstream responses."""

    def __init__(self) -> None:
        """Creates a separate registry, so that tests can create several instances."""
        self.registry = CollectorRegistry()
        self._requests = Histogram(
            "jayswitch_request_seconds",
            "Time from a caller's request to its answer.",
            ["status"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._upstream = Histogram(
            "jayswitch_upstream_seconds",
            "Time from sending a request to the upstream to the head of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def observe_request(self, status: int, elapsed_ms: float) -> None:
        """Records the duration of one request."""
        self._requests.labels(str(status)).observe(elapsed_ms / MS_PER_S)

    def observe_upstream(self, latency_ms: float) -> None:
        """Records the latency of one upstream response."""
        self._upstream.observe(latency_ms / MS_PER_S)


class ProxyCollector:
    """Collects the counters and gauges of a proxy on each scrape."""

    def __init__(self, process: ProxyProcess, logs: BoundedLogHandler | None) -> None:
        """Takes the proxy and the handler that counts log lines."""
        self._process = process
        self._logs = logs

    def collect(self) -> Iterable[Metric]:
        """Returns all metrics with their current values."""
        process = self._process
        counts_by_name = {
            "jayswitch_outbound": ("Answers to callers.", process.outbound.counts),
            "jayswitch_attempts": ("Decisions on attempts.", process.runner.counts),
            "jayswitch_gate": ("Decisions of the gate.", process.gate.counts),
            "jayswitch_store_calls": ("Calls to the store.", process.store_calls),
        }
        if self._logs is not None:
            counts_by_name["jayswitch_log"] = ("Log lines.", self._logs.counts)
        for name, (text, counts) in counts_by_name.items():
            yield counter_family(name, text, counts)
        yield from self._gauges()

    def _gauges(self) -> Iterable[Metric]:
        process = self._process
        load = process.gate.load
        catalog = process.orders.catalog
        value_by_name = {
            "ready": int(process.ready),
            "draining": int(process.draining),
            "config_version": catalog.version if catalog else 0,
            "proxies_known": process.directory.size,
            "requests_in_flight": process.in_flight,
            "gate_running": load.running,
            "gate_waiting": load.waiting,
            "gate_limit": load.limit,
            "gate_service_ms": load.service_ms,
            "gate_cold": int(process.cold_limiter.is_cold),
            "gate_rate_limit_per_s": process.gate.rate_limiter.per_s,
            "orders_connected": int(process.followers.orders.connected),
            "orders_feeds": len(process.followers.orders_feed.relay_by_feed),
            "fleet_connected": int(process.followers.fleet.connected),
            "fleet_feeds": len(process.followers.fleet_feed.relay_by_feed),
            "connections_opened": process.upstream_client.connections_opened,
        }
        for name, value in value_by_name.items():
            text = name.replace("_", " ")
            yield GaugeMetricFamily(f"jayswitch_{name}", text, value=value)


class StatusApplication:
    """WSGI application for /metrics and /dump."""

    def __init__(self, process: ProxyProcess, logs: BoundedLogHandler | None) -> None:
        """Takes the proxy to report on and the handler that counts log lines."""
        self._process = process
        self._registry = process.latency.registry
        self._registry.register(ProxyCollector(process, logs))

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path == "/metrics":
            body, content_type = generate_latest(self._registry), CONTENT_TYPE
        elif path == "/dump":
            body, content_type = dump_state(self._process), "application/json"
        else:
            body, content_type = b"", "text/plain"
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status_line(200 if body else 404), headers)
        return [body]


def dump_state(process: ProxyProcess) -> bytes:
    """Returns the state of a proxy as JSON."""
    catalog = process.orders.catalog
    return msgspec.json.encode(
        {
            "vm": process.settings.vm,
            "ready": process.ready,
            "draining": process.draining,
            "config": catalog.version if catalog else 0,
            "upstream": process.local_upstream.current,
            "load": process.gate.load,
            "evacuated": sorted(process.orders.evacuated),
            "fleet": list(process.directory.record_by_vm.values()),
            "counts": {
                "outbound": process.outbound.counts,
                "attempts": process.runner.counts,
                "gate": process.gate.counts,
            },
        }
    )
