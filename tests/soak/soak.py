"""Runs soaks from the command line: python -m tests.soak.soak --seeds=1-50."""

from __future__ import annotations

import argparse
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import eventlet

from jayswitch.clock import MS_PER_S
from tests.soak.callers import DEADLINE_MS, Callers
from tests.soak.fleet import GRACE_S, SoakFleet, SoakVm
from tests.soak.oracle import Disruption, Oracle

START_S = 4.0
RECOVERY_S = 8.0
CHECKED_S = 3.0
CALLERS_PER_VM = 4


class Soak:
    """One soak: faults that a seed draws, in series and overlapping."""

    def __init__(self, seed: int, size: int, fault_s: float, logs: Path) -> None:
        """Starts the fleet and its callers."""
        self._random = random.Random(seed)
        # Every other seed has planned stops only, in which nothing may be cut.
        self.only_planned = seed % 2 == 0
        self._fault_s = fault_s
        self._disruptions: list[Disruption] = []
        self._busy: set[str] = set()
        self._fleet = SoakFleet(size, logs)
        self.counts: dict[str, int] = {}
        eventlet.sleep(START_S)
        self._callers = [
            Callers(vm.name, vm.callers_address, CALLERS_PER_VM, self._random)
            for vm in self._fleet.vms
        ]

    def run(self) -> list[str]:
        """Returns the broken promises."""
        try:
            eventlet.sleep(1.0)
            self._inject_faults()
            self._heal()
            eventlet.sleep(RECOVERY_S)
            checked_from_s = time.monotonic()
            eventlet.sleep(CHECKED_S)
            for callers in self._callers:
                callers.stopped = True
            eventlet.sleep(2 * DEADLINE_MS / MS_PER_S + 0.5)
            return self._oracle().check(checked_from_s, self.only_planned)
        finally:
            self._fleet.stop()

    @property
    def requests(self) -> int:
        """Returns the number of requests sent."""
        return sum(len(callers.outcomes) for callers in self._callers)

    def _oracle(self) -> Oracle:
        upstreams = [vm.upstream for vm in self._fleet.vms]
        return Oracle(
            [arrival for upstream in upstreams for arrival in upstream.arrivals],
            [outcome for callers in self._callers for outcome in callers.outcomes],
            [limit for upstream in upstreams for limit in upstream.limits],
            self._disruptions,
        )

    def _inject_faults(self) -> None:
        planned = [self._stop_and_restart, self._limit, self._leave]
        unplanned = [
            self._kill_and_restart,
            self._pause,
            self._lose_store,
            self._silence_store,
            self._reset_store,
            self._crash_upstream,
            self._store_down,
        ]
        kinds = planned if self.only_planned else planned + unplanned
        until_s = time.monotonic() + self._fault_s
        tasks = []
        while time.monotonic() < until_s:
            fault = self._random.choice(kinds)
            vm = self._random.choice(self._fleet.vms)
            tasks.append(eventlet.spawn(self._run_fault, fault, vm))
            eventlet.sleep(self._random.uniform(0.2, 1.5))
        for task in tasks:
            task.wait()

    def _run_fault(self, fault: Callable[[SoakVm], None], vm: SoakVm) -> None:
        """Runs a fault unless one of its kind still lasts on the VM."""
        name = fault.__name__.strip("_")
        process_faults = ("stop_and_restart", "kill_and_restart", "pause")
        kind = "process" if name in process_faults else name
        if f"{vm.name} {kind}" in self._busy:
            return
        self._busy.add(f"{vm.name} {kind}")
        self.counts[name] = self.counts.get(name, 0) + 1
        try:
            fault(vm)
        finally:
            self._busy.discard(f"{vm.name} {kind}")

    def _disrupt(self, vm: SoakVm, planned: bool) -> Disruption:
        disruption = Disruption(vm.name, time.monotonic(), float("inf"), planned)
        self._disruptions.append(disruption)
        return disruption

    # Planned work

    def _stop_and_restart(self, vm: SoakVm) -> None:
        disruption = self._disrupt(vm, planned=True)
        vm.signal(signal.SIGTERM)
        if not vm.wait_for_exit(GRACE_S):
            vm.kill()
        self._restart(vm, disruption)

    def _limit(self, vm: SoakVm) -> None:
        vm.upstream.announce_limit(round(self._random.uniform(0.5, 30.0), 1))
        eventlet.sleep(self._random.uniform(2.0, 8.0))
        vm.upstream.announce_limit(None)

    def _leave(self, vm: SoakVm) -> None:
        """The upstream leaves; its heartbeats may say so too late."""
        upstream = vm.upstream
        if upstream.is_down or upstream.leaving:
            return
        leaving_id = upstream.id
        upstream.leaving = True
        upstream.reports_departure = self._random.random() < 0.5
        eventlet.sleep(self._random.uniform(3.0, 5.0))
        if upstream.id == leaving_id:
            upstream.start()

    # Unplanned faults

    def _kill_and_restart(self, vm: SoakVm) -> None:
        disruption = self._disrupt(vm, planned=False)
        vm.kill()
        eventlet.sleep(self._random.uniform(0.1, 1.0))
        self._restart(vm, disruption)

    def _pause(self, vm: SoakVm) -> None:
        disruption = self._disrupt(vm, planned=False)
        vm.signal(signal.SIGSTOP)
        eventlet.sleep(self._random.uniform(0.2, 3.0))
        vm.signal(signal.SIGCONT)
        disruption.until_s = time.monotonic()

    def _lose_store(self, vm: SoakVm) -> None:
        vm.store_relay.refuses = True
        vm.store_relay.reset_connections()
        eventlet.sleep(self._random.uniform(0.5, 5.0))
        vm.store_relay.heal()

    def _silence_store(self, vm: SoakVm) -> None:
        vm.store_relay.silent_to = {self._random.choice(("client", "server"))}
        eventlet.sleep(self._random.uniform(0.5, 5.0))
        vm.store_relay.heal()

    def _reset_store(self, vm: SoakVm) -> None:
        vm.store_relay.delay_s = self._random.uniform(0.0, 0.5)
        vm.store_relay.reset_connections()
        eventlet.sleep(self._random.uniform(0.5, 3.0))
        vm.store_relay.heal()

    def _store_down(self, vm: SoakVm) -> None:
        self._fleet.store.forced_status = self._random.choice((503, 429))
        eventlet.sleep(self._random.uniform(0.5, 4.0))
        self._fleet.store.forced_status = 0

    def _crash_upstream(self, vm: SoakVm) -> None:
        if vm.upstream.is_down:
            return
        vm.upstream.crash()
        eventlet.sleep(self._random.uniform(0.3, 2.0))
        vm.upstream.start()

    def _restart(self, vm: SoakVm, disruption: Disruption) -> None:
        self._fleet.start_vm(self._fleet.vms.index(vm))
        # The rules excuse a VM for a while after its process has started again.
        eventlet.sleep(1.0)
        disruption.until_s = time.monotonic()

    def _heal(self) -> None:
        for vm in self._fleet.vms:
            vm.store_relay.heal()
            vm.upstream.announce_limit(None)
        self._fleet.store.forced_status = 0


def run_seed(seed: int, size: int, fault_s: float, logs: Path | None = None) -> int:
    """Runs one seed, prints a line and the broken promises; returns their number."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs / str(seed) if logs else Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, size, fault_s, folder)
        violations = soak.run()
    faults = ", ".join(f"{name} {count}" for name, count in sorted(soak.counts.items()))
    print(
        f"seed {seed}: {soak.requests} requests; {faults}; "
        f"{len(violations)} broken promises",
        flush=True,
    )
    for violation in violations[:10]:
        print(f"  {violation}", flush=True)
    return len(violations)


def main() -> int:
    """Runs the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-2", help="first and last seed")
    parser.add_argument("--size", type=int, default=6, help="number of VMs")
    parser.add_argument("--fault-s", type=float, default=15.0, help="time of faults")
    parser.add_argument("--logs", type=Path, help="folder that keeps logs by seed")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    broken = sum(
        run_seed(seed, arguments.size, arguments.fault_s, arguments.logs) > 0
        for seed in range(int(first), int(last or first) + 1)
    )
    print(f"{broken} seeds with broken promises")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
