"""Runs load generators in separate processes and merges their results."""

from __future__ import annotations

import base64
import json
import subprocess
import sys
from collections import Counter

from hdrh.histogram import HdrHistogram

from bench.load import HIGHEST_US, LOWEST_US, SIGNIFICANT_DIGITS
from bench.local_cluster import LocalCluster

LOAD_PROCESSES = 2
US_PER_MS = 1000.0


class LoadResult:
    """Merged counts and latencies of several load generators."""

    def __init__(self, reports: list[dict]) -> None:
        """Takes the reports that the processes printed."""
        self.calls = sum(report["calls"] for report in reports)
        self.outcomes: Counter[str] = Counter()
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.wrong: list[str] = []
        self.wrong_count = 0
        self.answered_s: list[float] = []
        self.failed_s: list[float] = []
        self.version_s: list[tuple[float, str]] = []
        for report in reports:
            self.outcomes.update(report["outcomes"])
            self.histogram.decode_and_add(base64.b64decode(report["histogram"]))
            self.wrong += report["wrong"]
            self.wrong_count += report["wrong_count"]
            self.answered_s += report["answered_s"]
            self.failed_s += report["failed_s"]
            self.version_s += [(at, version) for at, version in report["version_s"]]
        self.answered_s.sort()
        self.version_s.sort()

    def percentile_ms(self, percentile: float) -> float:
        """Returns a latency percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / US_PER_MS

    def success_share(self) -> float:
        """Returns the share of calls answered with status 200."""
        return len(self.answered_s) / max(1, self.calls)

    def longest_gap_s(self) -> float:
        """Returns the longest interval between successful answers."""
        pairs = zip(self.answered_s, self.answered_s[1:])
        return max((after - before for before, after in pairs), default=0.0)


class BackgroundLoad:
    """Load generators that run in the background of a measurement."""

    def __init__(
        self,
        cluster: LocalCluster,
        rate: float,
        seconds: float,
        direct: bool = False,
        write_share: float = 0.2,
    ) -> None:
        """Starts the processes; direct load bypasses the nodes."""
        services = cluster.deployment.services
        chosen = services[:1] if direct else services
        paths = [(service.read_prefix, service.write_prefix) for service in chosen]
        vms = [vm for vm in cluster.vms if vm.service and vm.version == "v1"]
        if direct:
            vms = [vm for vm in vms if vm.service == chosen[0].name]
        addresses = [vm.upstream_url if direct else vm.caller_url for vm in vms]
        self._processes = [
            self._spawn(
                {
                    "addresses": addresses,
                    "paths": paths,
                    "rate": rate / LOAD_PROCESSES,
                    "seconds": seconds,
                    "write_share": write_share,
                    "seed": number,
                }
            )
            for number in range(LOAD_PROCESSES)
        ]

    def result(self) -> LoadResult:
        """Waits for the processes to finish and merges their reports."""
        outputs = [process.communicate()[0] for process in self._processes]
        return LoadResult([json.loads(output) for output in outputs])

    def _spawn(self, plan: dict) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", "bench.load", json.dumps(plan)],
            stdout=subprocess.PIPE,
        )
