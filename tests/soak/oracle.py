"""Checks what callers and upstreams saw against the promises of the platform."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.callers import Outcome
    from tests.soak.upstream import Arrival, Limit

DRAIN_S = 2.0
CONTACT_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A request that began this long after the first announcement may still have been sent
# by a proxy that did not know of it.
NOTICE_S = 0.5
MIN_SERVED_AFTER_FAULTS = 0.9
STATUS_UNAVAILABLE = 503


class Disruption:
    """A time in which a VM's process was killed, paused or restarted."""

    __slots__ = ("from_s", "planned", "until_s", "vm")

    def __init__(self, vm: str, from_s: float, until_s: float, planned: bool) -> None:
        """Takes the times; planned is set for a stop by SIGTERM."""
        self.vm = vm
        self.from_s = from_s
        self.until_s = until_s
        self.planned = planned


class Oracle:
    """Collects the broken promises of one soak."""

    def __init__(
        self,
        arrivals: list[Arrival],
        outcomes: list[Outcome],
        limits: list[Limit],
        disruptions: list[Disruption],
    ) -> None:
        """Takes everything that was recorded."""
        self.violations: list[str] = []
        self._arrivals = sorted(arrivals, key=lambda arrival: arrival.at_s)
        self._outcomes = outcomes
        self._limits = limits
        self._disruptions = disruptions
        self._outcome_by_id = {outcome.request_id: outcome for outcome in outcomes}

    def check(self, faults_ended_s: float, only_planned: bool) -> list[str]:
        """Returns the broken promises, one line each."""
        self._check_runs()
        self._check_bodies()
        self._check_limits()
        self._check_departures()
        self._check_service_after(faults_ended_s)
        if only_planned:
            self._check_planned_stops()
        return self.violations

    def _check_runs(self) -> None:
        runs = Counter(a.request_id for a in self._arrivals if a.ran and a.unsafe)
        for request_id, count in runs.items():
            if count > 1:
                self.violations.append(f"TWICE: {request_id} ran {count} times")
            outcome = self._outcome_by_id.get(request_id)
            if outcome is not None and outcome.status == STATUS_UNAVAILABLE:
                self.violations.append(f"REFUSED: {request_id} got 503 and ran")

    def _check_bodies(self) -> None:
        for outcome in self._outcomes:
            if outcome.status != 200 or not outcome.is_whole:
                continue
            assert outcome.answer is not None
            if outcome.answer.body != f"body of {outcome.request_id}".encode():
                self.violations.append(f"MIXED: {outcome.request_id}")

    def _check_limits(self) -> None:
        for limit in self._limits:
            times = [
                arrival.at_s
                for arrival in self._arrivals
                if arrival.incarnation == limit.incarnation
                and limit.from_s + NOTICE_S <= arrival.at_s <= limit.until_s
            ]
            allowed = LIMIT_FACTOR * limit.per_s * WINDOW_S + LIMIT_SLACK
            most = max(
                (
                    bisect_left(times, begin + WINDOW_S) - index
                    for index, begin in enumerate(times)
                ),
                default=0,
            )
            if most > allowed:
                self.violations.append(
                    f"LIMIT: {limit.incarnation} named {limit.per_s:.1f} a second and "
                    f"got {most} in {WINDOW_S:.0f} s, allowed {allowed:.0f}"
                )

    def _check_departures(self) -> None:
        passed_on_s: dict[tuple[str, str], float] = {}
        for outcome in self._outcomes:
            incarnation = outcome.announces_departure_of()
            if incarnation:
                key = (outcome.vm, incarnation)
                earliest = passed_on_s.get(key, float("inf"))
                passed_on_s[key] = min(earliest, outcome.ended_s)
        for arrival in self._arrivals:
            since_s = passed_on_s.get((arrival.origin_vm, arrival.incarnation))
            outcome = self._outcome_by_id.get(arrival.request_id)
            if since_s is None or outcome is None:
                continue
            is_late = outcome.sent_s > since_s + DRAIN_S
            if is_late and not self._disrupted(
                arrival.origin_vm, since_s, arrival.at_s
            ):
                self.violations.append(
                    f"DRAIN: {arrival.request_id} reached {arrival.incarnation} "
                    f"{outcome.sent_s - since_s:.1f} s after its announcement"
                )

    def _check_service_after(self, faults_ended_s: float) -> None:
        late = [o for o in self._outcomes if o.sent_s >= faults_ended_s]
        served = sum(outcome.status == 200 for outcome in late)
        if not late or served < MIN_SERVED_AFTER_FAULTS * len(late):
            self.violations.append(
                f"RECOVER: {served} of {len(late)} requests served after the faults"
            )

    def _check_planned_stops(self) -> None:
        """Without unplanned faults, every request that was run gets its answer."""
        ran = {arrival.request_id for arrival in self._arrivals if arrival.ran}
        for outcome in self._outcomes:
            if outcome.is_cut and outcome.request_id in ran:
                self.violations.append(f"LOST: {outcome.request_id} was cut")
            elif outcome.status == 0 and not outcome.is_cut:
                self.violations.append(f"LATE: {outcome.request_id} got no answer")

    def _disrupted(self, vm: str, from_s: float, until_s: float) -> bool:
        return any(
            d.vm == vm and d.from_s <= until_s and d.until_s >= from_s
            for d in self._disruptions
        )
