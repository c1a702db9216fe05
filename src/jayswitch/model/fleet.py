"""Simulated VMs: real gates, balancers and attempt runners without a network."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import eventlet
import msgspec

from jayswitch.catalog.model import Route, RouteKind, Service, WeightedService
from jayswitch.clock import MS_PER_S
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import (
    NODE_PREFIX,
    NodeRecord,
    Upstream,
    UpstreamState,
)
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.local_upstream import Heartbeat, LocalUpstream
from jayswitch.gate.upstream_gate import UpstreamGate
from jayswitch.model.upstream import STATUS_SERVER_ERROR, NestedCall, SimulatedUpstream
from jayswitch.proxy.attempts import AttemptRunner, RetryBudgetSettings
from jayswitch.proxy.outcome import Answered, ForwardedRequest, OutcomeUnknown
from jayswitch.routing.balancer import Balancer
from jayswitch.store.interface import WatchEvent

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.model.generated import RequestKind, Scenario, UpstreamGroup
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import AttemptOutcome

REGION = "model"
VERSION = "v1"
BUDGET_WINDOW_S = 10.0
# Simulated upstreams send only one heartbeat, which must not expire.
HEARTBEAT_MS = 1e9


class SimulatedVm:
    """An upstream, its gate and the attempt runner for callers on the same VM."""

    __slots__ = ("data_centre", "gate", "name", "runner", "upstream")

    def __init__(
        self,
        name: str,
        data_centre: str,
        gate: UpstreamGate,
        upstream: SimulatedUpstream,
    ) -> None:
        """Leaves the attempt runner unset: it needs the complete fleet."""
        self.name = name
        self.data_centre = data_centre
        self.gate = gate
        self.upstream = upstream
        self.runner: AttemptRunner


class SimulatedHopClient:
    """Sends requests to the gates of other VMs, delayed by the network latency."""

    def __init__(self, fleet: SimulatedFleet, origin: SimulatedVm) -> None:
        """Takes the VM that sends the requests."""
        self._fleet = fleet
        self._origin = origin

    def send(
        self, address: str, request: ForwardedRequest, wait_ms: float
    ) -> AttemptOutcome:
        """Runs a request on the VM whose name is the address."""
        destination = self._fleet.vm_by_name[address]
        one_way_latency_ms = self._fleet.one_way_latency_ms(self._origin, destination)
        timeout = eventlet.Timeout(max(1.0, wait_ms) / MS_PER_S)
        try:
            self._fleet.clock.sleep_ms(one_way_latency_ms)
            outcome = destination.gate.run(request)
            self._fleet.clock.sleep_ms(one_way_latency_ms)
            return outcome
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            return OutcomeUnknown("no answer came in time", timed_out=True)
        finally:
            timeout.cancel()


class SimulatedFleet:
    """All VMs of a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        names: HeaderNames,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Builds the VMs, which share one complete directory."""
        self.clock = clock
        self.vm_by_name: dict[str, SimulatedVm] = {}
        self._scenario = scenario
        self._names = names
        self._random = rng
        self._kind_by_name = {kind.name: kind for kind in scenario.kinds}
        self._route_by_kind = {kind.name: _make_route(kind) for kind in scenario.kinds}
        self._request_count = 0
        self._directory = Directory()
        for group in scenario.groups:
            for _ in range(group.count):
                self._add_vm(group)
        for vm in self.vm_by_name.values():
            vm.runner = self._make_attempt_runner(vm)
            vm.upstream.call = self._nested_call_from(vm)

    def one_way_latency_ms(
        self, origin: SimulatedVm, destination: SimulatedVm
    ) -> float:
        """Returns the network latency from one VM to another."""
        if origin.data_centre == destination.data_centre:
            return 0.0
        return self._scenario.between_data_centres_ms

    def request(
        self, vm: SimulatedVm, kind: RequestKind, remaining_ms: float
    ) -> AttemptOutcome:
        """Runs a request from a caller on the VM and returns its outcome."""
        self._request_count += 1
        now_ms = self.clock.now_ms()
        request_id = str(self._request_count)
        headers = [(self._names.request_id, request_id)]
        request = ForwardedRequest(
            request_id, "GET", f"/{kind.name}", headers, b"", None
        )
        request.deadline_ms = now_ms + remaining_ms
        request.objective_ms = now_ms + kind.objective_ms
        request.repeatable = kind.repeatable
        request.rank = kind.rank
        request.origin_vm = vm.name
        outcome = vm.runner.run(request, self._route_by_kind[kind.name])
        if isinstance(outcome, Answered):
            for _ in outcome.body:
                continue
            outcome.close()
        return outcome

    def _add_vm(self, group: UpstreamGroup) -> None:
        name = f"{group.service}-{len(self.vm_by_name) + 1}"
        clock = self.clock
        rate = ColdRateLimiter(clock)
        local = LocalUpstream(group.service, HEARTBEAT_MS, clock, rate.set_cold)
        simulated_upstream = SimulatedUpstream(
            group, self._kind_by_name, self._names, clock, self._random
        )
        gate = UpstreamGate(
            name,
            local,
            rate,
            simulated_upstream,  # type: ignore[arg-type]
            self._names,
            clock,
        )
        upstream = Upstream(
            name, 0, group.service, VERSION, group.slots, UpstreamState.READY
        )
        cold_ms = group.cold_s * MS_PER_S
        local.handle_heartbeat(Heartbeat(upstream, cold_ms))
        gate.set_service(
            Service(group.service, "/health", 0, cold_ms, group.cold_calls_per_s)
        )
        gate.resize()
        self.vm_by_name[name] = SimulatedVm(
            name, group.data_centre, gate, simulated_upstream
        )
        record = NodeRecord(name, group.data_centre, REGION, name, 0, upstream)
        value = msgspec.json.encode(record)
        self._directory.apply(WatchEvent(NODE_PREFIX + name, value, 1))

    def _make_attempt_runner(self, vm: SimulatedVm) -> AttemptRunner:
        scenario, clock = self._scenario, self.clock
        budget_settings = RetryBudgetSettings(
            scenario.retry_ratio, scenario.retry_slack, BUDGET_WINDOW_S
        )
        return AttemptRunner(
            vm.name,
            vm.gate,
            SimulatedHopClient(self, vm),  # type: ignore[arg-type]
            self._directory,
            Balancer(vm.data_centre, REGION, clock, self._random, vm.name),
            budget_settings,
            clock,
            self._random,
        )

    def _nested_call_from(self, vm: SimulatedVm) -> NestedCall:
        def call(kind: RequestKind, remaining_ms: float) -> bool:
            outcome = self.request(vm, kind, remaining_ms)
            if not isinstance(outcome, Answered):
                return False
            return outcome.status < STATUS_SERVER_ERROR

        return call


def _make_route(kind: RequestKind) -> Route:
    return Route(
        name=kind.name,
        host="model",
        prefix=f"/{kind.name}",
        kind=RouteKind.IDEMPOTENT if kind.repeatable else RouteKind.NON_IDEMPOTENT,
        destinations=(WeightedService(kind.service, 1.0),),
        timeout_ms=kind.deadline_ms,
        objective_ms=kind.objective_ms,
        rank=kind.rank,
        max_attempts=kind.max_attempts,
    )
