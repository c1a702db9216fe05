"""Runs a deployment as local processes, each VM on its own loopback address."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil
import urllib3
import yaml

from jayswitch.embedded.deployments import Deployment, ServiceSpec

ADMIN_TOKEN = "bench-operator"
UPSTREAM_TOKEN = "bench-upstream"
STORE_IP = "127.30.255.1"
STORE_PORT = 7000
UPSTREAM_PORT = 8080
PLAIN_PROXY_PORT = 8090
CALLER_PORT = 7100
ADMIN_PORT = 7101
PROFILE = "everyday"
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
# Hops that a node without a parent reports: MAX_HOPS in membership/tree.py.
DETACHED_HOPS = 16


class Vm:
    """A VM with a daemon and, if it runs a service, an upstream."""

    def __init__(self, name: str, ip: str, data_centre: str) -> None:
        """Creates a VM without processes; LocalCluster starts and assigns them."""
        self.name = name
        self.ip = ip
        self.data_centre = data_centre
        self.service = ""
        self.version = ""
        self.daemon: subprocess.Popen | None = None
        self.upstream: subprocess.Popen | None = None

    @property
    def caller_url(self) -> str:
        """Returns the URL at which callers send requests."""
        return f"http://{self.ip}:{CALLER_PORT}"

    @property
    def admin_url(self) -> str:
        """Returns the URL of the administration API."""
        return f"http://{self.ip}:{ADMIN_PORT}"

    @property
    def upstream_url(self) -> str:
        """Returns the URL of the upstream, which bypasses the daemon."""
        return f"http://{self.ip}:{UPSTREAM_PORT}"


class LocalCluster:
    """The processes of one deployment; stop() ends all of them."""

    def __init__(self, deployment: Deployment) -> None:
        """Takes the deployment; start() starts its processes."""
        self.deployment = deployment
        self.vms: list[Vm] = []
        self._folder = Path(tempfile.mkdtemp(prefix="jayswitch-bench-"))
        self._store: subprocess.Popen | None = None
        self._plain_proxy: subprocess.Popen | None = None
        self._http = urllib3.PoolManager(maxsize=4, retries=False)

    def start(self, extra_nodes: int = 0) -> None:
        """Starts and configures all processes and waits for convergence."""
        self.start_store()
        for service in self.deployment.services:
            for _ in range(service.upstreams):
                self.add_upstream(service, "v1")
        for _ in range(extra_nodes):
            self.add_node()
        self.wait_for(lambda: self._is_attached(self.vms[0]), "the first node")
        self.configure()
        self.wait_for(self.is_converged, "every node")

    def start_store(self) -> None:
        """Starts the stand-in for the platform's key-value store."""
        self._store = self._spawn(
            "store",
            "jayswitch.standins.main",
            ["store", f"--ip={STORE_IP}", f"--port={STORE_PORT}"],
        )

    def add_node(self) -> Vm:
        """Starts a daemon without an upstream."""
        number = len(self.vms)
        ip = f"127.30.{number // 250}.{number % 250 + 1}"
        vm = Vm(f"vm-{number}", ip, self.deployment.data_centre_of(number))
        settings = {
            "vm": vm.name,
            "data_centre": vm.data_centre,
            "region": self.deployment.region,
            "bind_ip": ip,
            "store": f"http://{STORE_IP}:{STORE_PORT}",
            "admin_token": ADMIN_TOKEN,
            "upstream_token": UPSTREAM_TOKEN,
            "warm_up_ms": 2000,
            "log_level": "warning",
        }
        path = self._folder / f"{vm.name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        vm.daemon = self._spawn(
            vm.name, "jayswitch.console.daemon", [f"--settings={path}"]
        )
        self.vms.append(vm)
        return vm

    def add_upstream(
        self, service: ServiceSpec, version: str, **behaviour: object
    ) -> Vm:
        """Starts a daemon and an upstream on the same VM."""
        vm = self.add_node()
        vm.service, vm.version = service.name, version
        values = {
            "slots": service.slots,
            "connections": service.connections,
            "latency_ms": 1.0,
            **behaviour,
        }
        vm.upstream = self._spawn(
            f"{vm.name}-upstream",
            "jayswitch.standins.main",
            [
                "upstream",
                f"--ip={vm.ip}",
                f"--port={UPSTREAM_PORT}",
                f"--name={vm.name}",
                f"--service={service.name}",
                f"--version={version}",
                f"--admin_address={vm.admin_url}",
                f"--upstream_token={UPSTREAM_TOKEN}",
                f"--behaviour={json.dumps(values)}",
            ],
        )
        return vm

    def start_plain_proxy(self, vm: Vm) -> str:
        """Starts the plain proxy for a VM's upstream and returns its URL."""
        arguments = [vm.ip, str(PLAIN_PROXY_PORT), vm.upstream_url]
        self._plain_proxy = self._spawn("proxy", "bench.plain_proxy", arguments)
        return f"http://{vm.ip}:{PLAIN_PROXY_PORT}"

    def configure(self) -> None:
        """Declares the services, applies the profile and assigns it to them."""
        for service in self.deployment.services:
            self.call_admin_api("PUT", f"services/{service.name}")
        self.apply_profile("v1", 60_000)
        for service in self.deployment.services:
            self.call_admin_api("PUT", f"services/{service.name}", PROFILE.encode())

    def apply_profile(self, version: str, move_within_ms: int) -> int:
        """Applies the profile for a version of the first service.

        Returns the resulting configuration version.
        """
        document = self.deployment.profile(PROFILE, version, move_within_ms)
        body = json.dumps(document).encode()
        return self.call_admin_api("PUT", f"profiles/{PROFILE}", body)["version"]

    def call_admin_api(
        self, method: str, path: str, body: bytes = b"", vm: Vm | None = None
    ) -> object:
        """Calls a node's administration API; raises if the status is not 200."""
        address = (vm or self.vms[0]).admin_url
        response = self._http.request(
            method,
            f"{address}/v1/{path}",
            body=body or None,
            headers={"Authorization": f"Bearer {ADMIN_TOKEN}"},
            timeout=10.0,
            retries=False,
        )
        answer = json.loads(response.data)
        if response.status != 200:
            raise RuntimeError(f"{method} {path}: {answer}")
        return answer

    def dump(self, vm: Vm) -> dict:
        """Returns the state that a node dumps."""
        return self.call_admin_api("GET", "dump", vm=vm)  # type: ignore[return-value]

    def control_upstream(self, vm: Vm, action: str, body: bytes = b"") -> dict:
        """Calls an action of the control API of a stand-in upstream."""
        response = self._http.request(
            "POST",
            f"{vm.upstream_url}/standin/{action}",
            body=body or None,
            timeout=5.0,
        )
        return json.loads(response.data)

    def store_calls(self) -> dict[str, int]:
        """Returns the store's call counts by kind."""
        url = f"http://{STORE_IP}:{STORE_PORT}/calls"
        return json.loads(self._http.request("GET", url, timeout=5.0).data)

    def is_converged(self) -> bool:
        """Returns whether all nodes use the newest version and know the upstreams."""
        newest = self.dump(self.vms[0])["config_version"]
        up = {vm.name for vm in self.vms if vm.upstream is not None}
        for vm in self.vms:
            dump = self.dump(vm)
            if dump["routing_version"] != newest:
                return False
            known = {m["node"] for m in dump["upstreams"] if m["state"] == "up"}
            if vm.service and not up <= known:
                return False
        return True

    def wait_for(self, condition: object, what: str) -> None:
        """Waits until a condition holds; raises after READY_TIMEOUT_S."""
        until = time.monotonic() + READY_TIMEOUT_S
        last = "no error"
        while time.monotonic() < until:
            try:
                if condition():  # type: ignore[operator]
                    return
            except (urllib3.exceptions.HTTPError, OSError, RuntimeError) as error:
                last = repr(error)
            time.sleep(0.2)
        raise RuntimeError(f"{what} was not ready in {READY_TIMEOUT_S:.0f} s: {last}")

    def processes(self, vms: list[Vm] | None = None) -> list[psutil.Process]:
        """Returns the daemon processes of the given VMs, or of all."""
        chosen = self.vms if vms is None else vms
        return [psutil.Process(vm.daemon.pid) for vm in chosen if vm.daemon]

    def stop(self) -> int:
        """Stops all processes; returns how many daemons exited with an error."""
        started = [vm.daemon for vm in self.vms if vm.daemon]
        for process in started:
            process.terminate()
        codes = [self._wait(process) for process in started]
        others = [vm.upstream for vm in self.vms if vm.upstream]
        others += [p for p in (self._store, self._plain_proxy) if p is not None]
        for process in others:
            process.terminate()
        for process in others:
            self._wait(process)
        return sum(1 for code in codes if code != 0)

    def _spawn(self, name: str, module: str, arguments: list[str]) -> subprocess.Popen:
        log = open(self._folder / f"{name}.log", "wb")
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
        )

    def _wait(self, process: subprocess.Popen) -> int:
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def _is_attached(self, vm: Vm) -> bool:
        return self.dump(vm)["hops"] < DETACHED_HOPS
