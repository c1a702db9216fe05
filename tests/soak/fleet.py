"""Processes of the soak: real proxies, and store and upstreams in this process."""

from __future__ import annotations

import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import eventlet
import yaml

from jayswitch.clock import Clock
from jayswitch.http.server import HttpServer
from tests.harness.loopback import CONFIG
from tests.harness.platform_store import PlatformStoreApplication
from tests.soak.relay import FaultRelay
from tests.soak.upstream import SERVICE, SoakUpstream

GRACE_S = 6
READY_TIMEOUT_S = 20.0
UPSTREAM_PORT, CALLERS_PORT, PROXIES_PORT = 18080, 18100, 18101
READY_PORT, CONTROL_PORT, METRICS_PORT, STORE_PORT = 18102, 18103, 18104, 18105
DATA_CENTRES = ("bunbury", "busselton", "harvey")


# Subnets 127.100.0.0/16 to 127.199.0.0/16, so that soaks can run side by side.
FIRST_SUBNET, SUBNETS, LOCK_PORT = 100, 100, 18099


_subnet_locks: list[socket.socket] = []


def reserve_subnet() -> tuple[int, socket.socket]:
    """Returns a subnet that no other soak uses while the socket exists.

    Listening sockets of eventlet may share a port, so they would not notice. They stay
    open until this process ends, so the subnet is not free before.
    """
    first = random.randrange(SUBNETS)
    for offset in range(SUBNETS):
        subnet = FIRST_SUBNET + (first + offset) % SUBNETS
        lock = socket.socket()
        try:
            lock.bind((f"127.{subnet}.0.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return subnet, lock
    raise RuntimeError("every subnet is in use; end other soaks first")


class SoakVm:
    """One VM: its proxy process, its upstream and its relay to the store."""

    def __init__(self, name: str, ip: str, store: tuple[str, int], logs: Path) -> None:
        """Prepares the settings; start() starts the process."""
        self.name = name
        self.ip = ip
        self.store_relay = FaultRelay((ip, STORE_PORT), store)
        self.upstream = SoakUpstream(name, (ip, UPSTREAM_PORT), f"{ip}:{CONTROL_PORT}")
        self.process: subprocess.Popen[bytes] | None = None
        self._log_path = logs / f"{name}.log"
        self._settings_path = logs / f"{name}.yaml"

    @property
    def callers_address(self) -> str:
        """Returns the address for callers on this VM."""
        return f"{self.ip}:{CALLERS_PORT}"

    def start(self, data_centre: str, first_start: bool) -> None:
        """Starts the proxy."""
        settings = {
            "vm": self.name,
            "data_centre": data_centre,
            "region": "swwa",
            "service": SERVICE,
            "upstream_address": f"{self.ip}:{UPSTREAM_PORT}",
            "callers_address": self.callers_address,
            "proxies_address": f"{self.ip}:{PROXIES_PORT}",
            "readiness_address": f"{self.ip}:{READY_PORT}",
            "heartbeats_address": f"{self.ip}:{CONTROL_PORT}",
            "metrics_port": METRICS_PORT,
            "link_mbit_per_s": 100.0,
            "store_address": self.store_relay.address,
            "heartbeat_ms": 400,
            "retry_ratio": 0.2,
            "retry_slack": 60,
            "retry_window_s": 10,
            "drain_ms": 2000,
            "grace_s": GRACE_S,
            "exposure_share": 0.1,
            "exposure_slack": 50,
            "config_apply_ms": 2000,
            "first_start": first_start,
        }
        self._settings_path.write_text(yaml.safe_dump(settings))
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "jayswitch.console.proxy_daemon",
                    str(self._settings_path),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the proxy if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait_for_exit(self, timeout_s: float) -> bool:
        """Waits for the exit of the proxy; returns False on timeout."""
        with eventlet.Timeout(timeout_s, False):
            while self.process is not None and self.process.poll() is None:
                eventlet.sleep(0.02)
            return True
        return False

    def kill(self) -> None:
        """Kills the proxy and waits for its exit."""
        self.signal(signal.SIGKILL)
        self.wait_for_exit(5.0)


class SoakFleet:
    """All VMs and the store of one soak."""

    def __init__(self, size: int, logs: Path) -> None:
        """Starts the fleet in a subnet of its own."""
        subnet, lock = reserve_subnet()
        _subnet_locks.append(lock)
        self.store = PlatformStoreApplication(Clock())
        self.store.put("op/config", CONFIG)
        server = HttpServer(f"127.{subnet}.0.1", STORE_PORT, self.store)
        server.start()
        store_address = (f"127.{subnet}.0.1", STORE_PORT)
        self.vms = [
            SoakVm(f"vm-{number}", f"127.{subnet}.1.{number}", store_address, logs)
            for number in range(1, size + 1)
        ]
        for number in range(size):
            self.start_vm(number, first_start=True)

    def start_vm(self, number: int, first_start: bool = False) -> None:
        """Starts the proxy of a VM."""
        self.vms[number].start(DATA_CENTRES[number % len(DATA_CENTRES)], first_start)

    def stop(self) -> None:
        """Kills all proxies."""
        for vm in self.vms:
            vm.kill()
            vm.upstream.ends_reports = True
