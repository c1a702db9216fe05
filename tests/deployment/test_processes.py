"""Tests of a real deployment: separate daemons, store and upstreams."""

from __future__ import annotations

import http.client
import json
import os
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from bench.local_cluster import ADMIN_TOKEN, PROFILE, LocalCluster, Vm
from jayswitch.embedded.deployments import Deployment, ServiceSpec

SMALL_DEPLOYMENT = Deployment(
    name="small",
    region="swwa",
    data_centres=("bunbury", "busselton", "harvey"),
    services=(ServiceSpec("herdview", 3, 20, 120, "/herd", "/treatments"),),
)
LARGE_BYTES = 3_000_000


@pytest.fixture(scope="module")
def cluster(virtual_time: None) -> Iterator[LocalCluster]:
    """Returns a running deployment; every daemon must stop cleanly."""
    started = LocalCluster(SMALL_DEPLOYMENT)
    try:
        started.start()
        yield started
    finally:
        unclean = started.stop()
    assert unclean == 0


def run_jayswitchctl(
    cluster: LocalCluster, *arguments: str
) -> subprocess.CompletedProcess:
    """Runs jayswitchctl against the first node."""
    command = [sys.executable, "-m", "jayswitch.console.application"]
    flags = [f"--node={cluster.vms[0].admin_url}"]
    environment = {**os.environ, "JAYSWITCH_TOKEN": ADMIN_TOKEN}
    return subprocess.run(
        [*command, *flags, *arguments],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
    )


def set_upstream_behaviour(cluster: LocalCluster, **behaviour: object) -> None:
    """Sets the behaviour of every running upstream."""
    for vm in cluster.vms:
        if vm.upstream is not None and vm.upstream.poll() is None:
            cluster.control_upstream(vm, "behaviour", json.dumps(behaviour).encode())


class TestCalls:
    """Calls through two nodes over real sockets."""

    def test_call_reaches_an_upstream_behind_another_node(
        self, cluster: LocalCluster
    ) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=20)
        seen = set()
        for number in range(20):
            response = pool.request("GET", f"{cluster.vms[0].caller_url}/herd/{number}")
            assert response.status == 200
            request_id = response.headers["X-Request-Id"]
            assert request_id.encode() in response.data
            seen.add(response.headers["X-Jayswitch-Upstream"])
        cluster.call_admin_api("POST", "data-centres/bunbury/out")
        cluster.wait_for(lambda: cluster.is_converged(), "the change")
        response = pool.request("GET", f"{cluster.vms[0].caller_url}/herd/1")
        assert response.headers["X-Jayswitch-Upstream"] in ("vm-1", "vm-2")
        cluster.call_admin_api("POST", "data-centres/bunbury/in")
        cluster.wait_for(lambda: cluster.is_converged(), "the change")

    def test_large_answer_is_complete(self, cluster: LocalCluster) -> None:
        set_upstream_behaviour(cluster, body_bytes=LARGE_BYTES)
        pool = urllib3.PoolManager(retries=False, timeout=20)
        for vm in cluster.vms[:3]:
            response = pool.request("GET", f"{vm.caller_url}/herd/season")
            assert len(response.data) == LARGE_BYTES
        set_upstream_behaviour(cluster)

    @pytest.mark.parametrize("size", [1000, LARGE_BYTES])
    def test_truncated_answer_is_a_failure(
        self, cluster: LocalCluster, size: int
    ) -> None:
        set_upstream_behaviour(cluster, body_bytes=size, cut_fraction=1.0)
        connection = http.client.HTTPConnection(cluster.vms[0].ip, 7100, timeout=20)
        connection.request("POST", "/treatments/1")
        with pytest.raises((http.client.IncompleteRead, AssertionError)):
            response = connection.getresponse()
            body = response.read()
            assert response.status == 200 and len(body) == size
        set_upstream_behaviour(cluster)

    def test_unknown_path_and_bad_headers_are_refused(
        self, cluster: LocalCluster
    ) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=20)
        address = cluster.vms[0].caller_url
        response = pool.request("GET", f"{address}/nothing")
        assert response.status == 404
        assert response.headers["X-Jayswitch-Outcome"] == "not-run"
        headers = {"X-Request-Timeout-Ms": "soon"}
        response = pool.request("GET", f"{address}/herd/1", headers=headers)
        assert response.status == 400
        body = b"x" * 2_000_000
        response = pool.request("POST", f"{address}/treatments/1", body=body)
        assert response.status == 413
        assert json.loads(response.data)["remedy"]


class TestCommandLine:
    """The command-line tool against real nodes."""

    def test_apply_and_history(self, cluster: LocalCluster, tmp_path: Path) -> None:
        text = run_jayswitchctl(cluster, "profiles", "get", PROFILE).stdout
        path = tmp_path / "everyday.yaml"
        path.write_text(text.replace("timeout_ms: 2000", "timeout_ms: 2500"))
        assert run_jayswitchctl(cluster, "profiles", "diff", str(path)).returncode == 1
        applied = run_jayswitchctl(cluster, "profiles", "apply", str(path))
        assert applied.returncode == 0, applied.stderr
        assert "accepted as version" in applied.stdout
        assert (
            "herdview=v1"
            in run_jayswitchctl(cluster, "profiles", "history", PROFILE).stdout
        )
        cluster.wait_for(cluster.is_converged, "the change")

    def test_second_apply_with_the_same_expected_version_is_rejected(
        self, cluster: LocalCluster, tmp_path: Path
    ) -> None:
        path = tmp_path / "everyday.yaml"
        path.write_text(run_jayswitchctl(cluster, "profiles", "get", PROFILE).stdout)
        seen = json.loads(
            run_jayswitchctl(cluster, "profiles", "list", "--json").stdout
        )[0]["version"]
        flag = f"--expected_version={seen}"
        assert (
            run_jayswitchctl(cluster, "profiles", "apply", str(path), flag).returncode
            == 0
        )
        second = run_jayswitchctl(cluster, "profiles", "apply", str(path), flag)
        assert second.returncode == 1
        assert "another operator changed it first" in second.stderr
        assert "apply it once more" in second.stderr

    def test_wrong_token_and_unreachable_node(self, cluster: LocalCluster) -> None:
        refused = run_jayswitchctl(cluster, "services", "list", "--token=wrong")
        assert refused.returncode == 1 and "admin_token" in refused.stderr
        unreachable = run_jayswitchctl(
            cluster, "services", "list", "--node=http://127.30.254.254:1"
        )
        assert unreachable.returncode == 4

    def test_list_commands(self, cluster: LocalCluster) -> None:
        for arguments in (
            ["services", "list"],
            ["data-centres", "list"],
            ["moves", "list"],
            ["nodes", "list"],
            ["upstreams", "list"],
            ["node", "dump"],
        ):
            listed = run_jayswitchctl(cluster, *arguments)
            assert listed.returncode == 0, listed.stderr
            assert listed.stdout.strip()


class TestPlannedStop:
    """SIGTERM interrupts no request."""

    def test_calls_go_on_while_a_daemon_stops(self, cluster: LocalCluster) -> None:
        set_upstream_behaviour(cluster, latency_ms=50.0)
        stopping_vm = cluster.add_upstream(
            SMALL_DEPLOYMENT.services[0], "v1", latency_ms=50.0
        )
        cluster.wait_for(cluster.is_converged, "the new node")
        failures: list[str] = []
        stop_calls = threading.Event()
        callers = [
            threading.Thread(
                target=self.call_until_stopped,
                args=(vm, stopping_vm, stop_calls, failures),
            )
            for vm in [*cluster.vms[:3], stopping_vm]
            for _ in range(3)
        ]
        for caller in callers:
            caller.start()
        stop_calls.wait(1.0)
        stopping_vm.daemon.terminate()
        code = stopping_vm.daemon.wait(60)
        stop_calls.set()
        for caller in callers:
            caller.join()
        cluster.vms.remove(stopping_vm)
        stopping_vm.upstream.terminate()
        stopping_vm.upstream.wait(10)
        assert code == 0
        assert not failures

    def call_until_stopped(
        self, vm: Vm, stopping_vm: Vm, stop_calls: threading.Event, failures: list[str]
    ) -> None:
        """Calls a node until stop_calls is set or the node no longer listens."""
        while not stop_calls.is_set():
            connection = http.client.HTTPConnection(vm.ip, 7100, timeout=30)
            try:
                connection.connect()
            except ConnectionRefusedError:
                if vm is not stopping_vm:
                    failures.append(f"{vm.name} refused a connection")
                return
            try:
                connection.request("POST", "/treatments/1", b"x")
                response = connection.getresponse()
                response.read()
                if response.status != 200:
                    failures.append(f"{vm.name}: status {response.status}")
            except (OSError, http.client.HTTPException) as error:
                failures.append(f"{vm.name}: {error!r}")
            finally:
                connection.close()


class TestStartUp:
    """A daemon that cannot start reports the reason."""

    def run(self, path: Path) -> subprocess.CompletedProcess:
        """Runs jayswitchd with a settings file."""
        return subprocess.run(
            [sys.executable, "-m", "jayswitch.console.daemon", f"--settings={path}"],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_unknown_key(self, tmp_path: Path) -> None:
        path = tmp_path / "node.yaml"
        path.write_text("vm: a\ncolour: red\n")
        finished = self.run(path)
        assert finished.returncode == 2
        assert "node.yaml" in finished.stderr

    def test_port_in_use(self, cluster: LocalCluster) -> None:
        finished = self.run(cluster._folder / "vm-0.yaml")
        assert finished.returncode == 3
        assert "cannot listen on 127.30.0.1" in finished.stderr
