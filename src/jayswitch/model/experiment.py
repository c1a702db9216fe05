"""Simulates a scenario in virtual time and records the outcome of each request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import eventlet

from jayswitch.clock import MS_PER_S, VirtualClock
from jayswitch.model.fleet import SimulatedFleet
from jayswitch.model.upstream import STATUS_SERVER_ERROR
from jayswitch.proxy.outcome import Answered, NotRun

if TYPE_CHECKING:
    from jayswitch.model.fleet import SimulatedVm
    from jayswitch.model.generated import RequestKind, Scenario
    from jayswitch.proxy.headers import HeaderNames

IN_TIME = "in time"
LATE = "late"
REFUSED = "refused"
FAILED = "failed"
OUTCOMES = (IN_TIME, LATE, REFUSED, FAILED)


class Sample:
    """Outcome and latency of one finished request."""

    __slots__ = ("arrived_ms", "elapsed_ms", "kind", "outcome")

    def __init__(
        self, kind: str, arrived_ms: float, elapsed_ms: float, outcome: str
    ) -> None:
        """Takes the name of the request kind and one of OUTCOMES."""
        self.kind = kind
        self.arrived_ms = arrived_ms
        self.elapsed_ms = elapsed_ms
        self.outcome = outcome


class Experiment:
    """Simulation of one scenario with one seed.

    The event loop must run in virtual time.
    """

    def __init__(self, scenario: Scenario, names: HeaderNames, seed: int) -> None:
        """Builds the fleet; simulate() generates the requests."""
        self.scenario = scenario
        self.samples: list[Sample] = []
        self._clock = VirtualClock()
        self._random = random.Random(seed)
        self.fleet = SimulatedFleet(scenario, names, self._clock, self._random)
        self.start_ms = self._clock.now_ms()

    def simulate(self) -> None:
        """Generates requests at random intervals and waits until all have finished."""
        arriving = [kind for kind in self.scenario.kinds if kind.per_s > 0]
        tasks = [eventlet.spawn(self._generate_arrivals, kind) for kind in arriving]
        for task in tasks:
            task.wait()
        longest_ms = max((kind.deadline_ms for kind in arriving), default=0.0)
        self._clock.sleep_ms(longest_ms + MS_PER_S)

    def outcome_share(self, kind: str, outcome: str) -> float:
        """Returns the share of an outcome in a kind's requests; 0 without requests."""
        of_kind = [sample for sample in self.samples if sample.kind == kind]
        matching = sum(sample.outcome == outcome for sample in of_kind)
        return matching / len(of_kind) if of_kind else 0.0

    def _generate_arrivals(self, kind: RequestKind) -> None:
        vms = list(self.fleet.vm_by_name.values())
        until_ms = self.start_ms + self.scenario.duration_s * MS_PER_S
        while True:
            self._clock.sleep_ms(self._random.expovariate(kind.per_s) * MS_PER_S)
            if self._clock.now_ms() >= until_ms:
                return
            eventlet.spawn_n(self._request, self._random.choice(vms), kind)

    def _request(self, vm: SimulatedVm, kind: RequestKind) -> None:
        arrived_ms = self._clock.now_ms()
        outcome = self.fleet.request(vm, kind, kind.deadline_ms)
        elapsed_ms = self._clock.now_ms() - arrived_ms
        if isinstance(outcome, NotRun):
            name = REFUSED
        elif not isinstance(outcome, Answered):
            name = FAILED
        elif outcome.status >= STATUS_SERVER_ERROR:
            name = FAILED
        else:
            name = IN_TIME if elapsed_ms <= kind.objective_ms else LATE
        since_ms = arrived_ms - self.start_ms
        self.samples.append(Sample(kind.name, since_ms, elapsed_ms, name))
