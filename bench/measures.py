"""Benchmarks of the required figures and of the cost of calls and control traffic."""

from __future__ import annotations

import statistics
import time

import eventlet
import psutil
import urllib3

from bench.background_load import BackgroundLoad
from bench.local_cluster import LocalCluster, Vm

POLL_S = 0.02
CHANGES = 10
CHANGE_TIMEOUT_S = 20.0
CALLS_PER_S_PER_NODE = 70.0
LATENCY_SECONDS = 10.0
CONTROL_SECONDS = 10.0
MOVE_WITHIN_MS = 24_000
MOVE_RATE = 150.0
SEQUENTIAL_CALLS = 600
DATA_CENTRE_RATE = 150.0


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which the given share of the values lies."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index]


def cpu_seconds(processes: list[psutil.Process]) -> float:
    """Returns the total CPU time of the processes."""
    times = [process.cpu_times() for process in processes]
    return sum(t.user + t.system for t in times)


def measure_convergence(cluster: LocalCluster) -> dict:
    """Measures the time until each node routes by a change."""
    times_s: list[float] = []
    for number in range(CHANGES):
        started = time.monotonic()
        version = cluster.apply_profile("v1", 60_000 + number)
        pool = eventlet.GreenPool()
        waits = pool.imap(
            lambda vm: _wait_for_version(cluster, vm, version), cluster.vms
        )
        times_s += [reached - started for reached in waits]
    return {
        "changes": CHANGES,
        "nodes": len(cluster.vms),
        "p50_ms": percentile(times_s, 0.5) * 1000,
        "p99_ms": percentile(times_s, 0.99) * 1000,
        "max_ms": max(times_s) * 1000,
    }


def _wait_for_version(cluster: LocalCluster, vm: Vm, version: int) -> float:
    until = time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < until:
        if cluster.dump(vm)["routing_version"] >= version:
            return time.monotonic()
        eventlet.sleep(POLL_S)
    raise RuntimeError(f"{vm.name} did not reach version {version}")


def measure_control(cluster: LocalCluster, changes_per_s: float = 0.25) -> dict:
    """Measures the control plane at the target rate of changes, without calls."""
    processes = cluster.processes()
    bytes_before = _control_bytes(cluster)
    calls_before = cluster.store_calls()
    cpu_before = cpu_seconds(processes)
    started = time.monotonic()
    number = 0
    while time.monotonic() - started < CONTROL_SECONDS:
        cluster.apply_profile("v1", 70_000 + number)
        number += 1
        time.sleep(1 / changes_per_s)
    seconds = time.monotonic() - started
    cpu_after = cpu_seconds(processes)
    sent = [
        after - before for before, after in zip(bytes_before, _control_bytes(cluster))
    ]
    calls = cluster.store_calls()
    memory = [process.memory_info().rss / 1e6 for process in processes]
    return {
        "changes_per_s": number / seconds,
        "bytes_per_node_s": statistics.mean(sent) / seconds,
        "bytes_per_node_s_max": max(sent) / seconds,
        "cpu_percent_per_node": 100 * (cpu_after - cpu_before) / seconds / len(sent),
        "memory_mb_mean": statistics.mean(memory),
        "memory_mb_max": max(memory),
        "store_calls_per_s": {
            kind: (calls[kind] - calls_before.get(kind, 0)) / seconds
            for kind in sorted(calls)
        },
    }


def _control_bytes(cluster: LocalCluster) -> list[int]:
    return [cluster.dump(vm)["control_bytes_sent"] for vm in cluster.vms]


def measure_latency(
    cluster: LocalCluster, rate_per_node: float = CALLS_PER_S_PER_NODE
) -> dict:
    """Compares calls through two nodes with concurrent direct calls."""
    nodes = [vm for vm in cluster.vms if vm.service]
    rate = rate_per_node * len(nodes)
    processes = cluster.processes(nodes)
    cpu_before = cpu_seconds(processes)
    through = BackgroundLoad(cluster, rate, LATENCY_SECONDS)
    direct = BackgroundLoad(cluster, rate / 10, LATENCY_SECONDS, direct=True)
    result = through.result()
    cpu = cpu_seconds(processes) - cpu_before
    baseline = direct.result()
    return {
        "rate_per_node": rate_per_node,
        "calls": result.calls,
        "outcomes": dict(result.outcomes),
        "wrong": result.wrong_count,
        "direct_p50_ms": baseline.percentile_ms(50),
        "direct_p99_ms": baseline.percentile_ms(99),
        "through_p50_ms": result.percentile_ms(50),
        "through_p99_ms": result.percentile_ms(99),
        "added_p50_ms": result.percentile_ms(50) - baseline.percentile_ms(50),
        "added_p99_ms": result.percentile_ms(99) - baseline.percentile_ms(99),
        "cpu_ms_per_call": 1000 * cpu / max(1, result.calls),
    }


def measure_sequential(cluster: LocalCluster) -> dict:
    """Measures sequential calls through nodes, through the plain proxy and direct.

    The plain proxy consists of eventlet's WSGI server and urllib3 only, so that it
    shows what these libraries cost for a single hop.
    """
    vm = cluster.vms[0]
    path = f"{cluster.deployment.services[0].read_prefix}/1"
    proxy = cluster.start_plain_proxy(vm)
    cluster.wait_for(lambda: time_calls(proxy, path, 1), "the plain proxy")
    direct = time_calls(vm.upstream_url, path, SEQUENTIAL_CALLS)
    plain = time_calls(proxy, path, SEQUENTIAL_CALLS)
    through = time_calls(vm.caller_url, path, SEQUENTIAL_CALLS)
    figures: dict = {}
    for name, times in (("plain_proxy", plain), ("through", through)):
        for share in (0.5, 0.99):
            added = percentile(times, share) - percentile(direct, share)
            figures[f"{name}_added_p{share * 100:.0f}_ms"] = added
    figures["direct_p50_ms"] = percentile(direct, 0.5)
    return figures


def time_calls(address: str, path: str, count: int) -> list[float]:
    """Returns the latencies in ms of sequential calls over one connection."""
    pool = urllib3.connectionpool.connection_from_url(address, retries=False)
    times_ms = []
    for _ in range(count):
        started = time.perf_counter()
        response = pool.request("GET", path, timeout=5.0)
        times_ms.append((time.perf_counter() - started) * 1000)
        if response.status != 200:
            raise RuntimeError(f"{address}{path}: status {response.status}")
    return times_ms


def measure_data_centre(cluster: LocalCluster) -> dict:
    """Takes a data centre out of service and back under load."""
    data_centre = cluster.deployment.data_centres[0]
    vms_inside = [
        vm for vm in cluster.vms if vm.data_centre == data_centre and vm.service
    ]
    background_load = BackgroundLoad(cluster, DATA_CENTRE_RATE, 16.0)
    time.sleep(4)
    cluster.call_admin_api("POST", f"data-centres/{data_centre}/out")
    removed_at = time.monotonic()
    time.sleep(2)
    runs_before = _count_runs(cluster, vms_inside)
    time.sleep(3)
    runs_after_removal = _count_runs(cluster, vms_inside) - runs_before
    cluster.call_admin_api("POST", f"data-centres/{data_centre}/in")
    result = background_load.result()
    return {
        "calls": result.calls,
        "outcomes": dict(result.outcomes),
        "success_share": result.success_share(),
        "p99_ms": result.percentile_ms(99),
        "longest_gap_ms": result.longest_gap_s() * 1000,
        "runs_inside_2_to_5_s_after": runs_after_removal,
        "seconds_out": time.monotonic() - removed_at,
        "wrong": result.wrong_count,
    }


def _count_runs(cluster: LocalCluster, vms: list[Vm]) -> int:
    reports = [cluster.control_upstream(vm, "report") for vm in vms]
    return sum(report["counts"].get("runs", 0) for report in reports)


def measure_moves(cluster: LocalCluster) -> dict:
    """Moves the first service to a faulty version, then to a working one."""
    service = cluster.deployment.services[0]
    bad = [cluster.add_upstream(service, "v2", error_fraction=0.5) for _ in range(2)]
    good = [cluster.add_upstream(service, "v3") for _ in range(4)]
    cluster.wait_for(lambda: _are_known(cluster, bad + good), "the new versions")
    return {
        "bad": _measure_faulty_version(cluster),
        "good": _measure_working_version(cluster),
    }


def _are_known(cluster: LocalCluster, vms: list[Vm]) -> bool:
    names = {vm.name for vm in vms}
    known = {
        m["node"]
        for m in cluster.dump(cluster.vms[0])["upstreams"]
        if m["state"] == "up"
    }
    return names <= known


def _measure_faulty_version(cluster: LocalCluster) -> dict:
    background_load = BackgroundLoad(cluster, MOVE_RATE, 14.0, write_share=0.5)
    time.sleep(2)
    cluster.apply_profile("v2", MOVE_WITHIN_MS)
    result = background_load.result()
    move = _wait_for_move_end(cluster)
    failed = [at for at in result.failed_s]
    first = min(failed, default=0.0)
    last = max(failed, default=0.0)
    return {
        "reversed": not move["done"],
        "reason": move["reason"],
        "share_of_calls": len(failed) * 2 / result.calls,
        "errors_seen": len(failed),
        "seconds_from_first_to_last_error": last - first,
        "outcomes": dict(result.outcomes),
    }


def _measure_working_version(cluster: LocalCluster) -> dict:
    background_load = BackgroundLoad(
        cluster, MOVE_RATE, MOVE_WITHIN_MS / 1000 + 4, write_share=0.5
    )
    time.sleep(2)
    cluster.apply_profile("v3", MOVE_WITHIN_MS)
    result = background_load.result()
    move = _wait_for_move_end(cluster)
    last = [version for _, version in result.version_s[-50:]]
    return {
        "done": move["done"],
        "reason": move["reason"],
        "share_of_window": (move["ended_ms"] - move["started_ms"]) / MOVE_WITHIN_MS,
        "success_share": result.success_share(),
        "new_version_among_last_50": last.count("v3"),
        "outcomes": dict(result.outcomes),
    }


def _wait_for_move_end(cluster: LocalCluster) -> dict:
    until = time.monotonic() + MOVE_WITHIN_MS / 1000 + 10
    while time.monotonic() < until:
        moves = cluster.call_admin_api("GET", "moves")
        newest = max(moves, key=lambda move: move["started_ms"])  # type: ignore
        if newest["ended_ms"]:
            return newest
        time.sleep(0.2)
    raise RuntimeError("the move did not end")
