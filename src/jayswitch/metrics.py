"""Prometheus metrics, collected from a node's counters on each scrape."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

if TYPE_CHECKING:
    from collections import Counter

    from jayswitch.node.node import Node


class NodeCollector:
    """Prometheus collector for one node."""

    def __init__(self, node: Node) -> None:
        """Takes the node whose counters are exported."""
        self._node = node

    def collect(self) -> Iterable[Metric]:
        """Yields all metrics with their current values."""
        parts = self._node.parts
        yield counter_family(
            "jayswitch_router", "Calls and outcomes.", parts.router.counts
        )
        yield counter_family(
            "jayswitch_gate", "Decisions of the gate.", parts.gate.counts
        )
        yield counter_family("jayswitch_tree", "Distribution tree.", parts.tree.counts)
        yield from self._gauges()
        sent = CounterMetricFamily(
            "jayswitch_control_bytes_sent", "Control bytes sent to other nodes."
        )
        sent.add_metric([], parts.control.bytes_sent)
        yield sent

    def _gauges(self) -> Iterable[Metric]:
        parts = self._node.parts
        value_by_name = {
            "config_version": parts.replica.version,
            "routing_version": parts.router.table.config.version,
            "config_rejected": int(parts.replica.rejection is not None),
            "gate_limit": parts.gate.limiter.limit,
            "gate_in_flight": parts.gate.admission.in_flight,
            "gate_waiting": parts.gate.admission.waiting,
            "gate_cold_starts": parts.gate.limiter.cold_starts,
            "requests_in_flight": self._node.requests_in_flight,
            "is_relay": int(parts.tree.is_relay),
            "is_driver": int(parts.driver.is_driving),
            "tree_hops": parts.tree.hops,
            "tree_links": len(parts.tree.links_by_peer),
            "records": len(parts.table),
        }
        for name, value in value_by_name.items():
            yield GaugeMetricFamily(
                f"jayswitch_{name}", name.replace("_", " "), value=value
            )


def counter_family(name: str, text: str, counts: Counter[str]) -> Metric:
    """Returns the counts as one counter metric with a kind label."""
    family = CounterMetricFamily(name, text, labels=["kind"])
    for kind, count in sorted(counts.items()):
        family.add_metric([kind], count)
    return family
