"""Load pattern: some upstreams of a large fleet turn slow for some seconds.

Each sender reaches one of many upstreams only every few seconds, so each has to find
out for itself, with requests that are then late, and nested calls that time out.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from jayswitch.clock import MS_PER_S, VirtualClock
from jayswitch.gate.slowness import SLOW_RATIO, SlownessDetector
from jayswitch.model.experiment import (
    FAILED,
    IN_TIME,
    LATE,
    REFUSED,
    Experiment,
    Sample,
)
from jayswitch.model.loader import load_scenario
from jayswitch.platform.headers import platform_headers
from jayswitch.virtual_hub import use_virtual_time

FIXTURES = Path(__file__).parent.parent / "fixtures"
PATH = FIXTURES / "slow_upstreams.yaml"
SMALL_SERVICE_PATH = FIXTURES / "small_service_slow.yaml"
SEEDS = range(1, 13)
# The fault as in the scenario, without the time until the first requests are overdue.
NOTICED_S, FAULT_END_S = 8, 14
# One in a hundred of the requests is a trial at a slow upstream at most; as many take
# longer than the objective by themselves.
MIN_SHARE_IN_TIME = 0.97
USUAL_MS = 100.0
# At this factor every request takes longer than its deadline.
HOPELESS_SLOWNESS = 40.0
# A refusal needs no more than the latency objective, during which a request may wait.
REFUSAL_LIMIT_MS = 800.0


@pytest.fixture(scope="module")
def samples_during_fault() -> list[Sample]:
    """Returns the samples of several simulations once the fault can be noticed."""
    samples: list[Sample] = []
    for seed in SEEDS:
        use_virtual_time()
        scenario = load_scenario(str(PATH)).unwrap()
        experiment = Experiment(scenario, platform_headers(), seed)
        experiment.simulate()
        samples += [
            sample
            for sample in experiment.samples
            if NOTICED_S <= sample.arrived_ms / MS_PER_S < FAULT_END_S
        ]
    return samples


class TestSlowUpstreams:
    """Requests go to other upstreams while some are slow."""

    @pytest.mark.parametrize("kind", ["yield-read", "treat-log", "alarm-ack"])
    def test_requests_are_served_in_time_elsewhere(
        self, samples_during_fault: list[Sample], kind: str
    ) -> None:
        of_kind = [s for s in samples_during_fault if s.kind == kind]
        in_time = sum(sample.outcome == IN_TIME for sample in of_kind)
        assert in_time >= MIN_SHARE_IN_TIME * len(of_kind)

    def test_nested_calls_do_not_fail(self, samples_during_fault: list[Sample]) -> None:
        failed = sum(sample.outcome == FAILED for sample in samples_during_fault)
        assert failed <= 0.002 * len(samples_during_fault)


class TestSmallService:
    """Slow upstreams serve what no other one takes."""

    def test_requests_are_served_late_rather_than_refused(self) -> None:
        samples: list[Sample] = []
        for seed in SEEDS:
            use_virtual_time()
            scenario = load_scenario(str(SMALL_SERVICE_PATH)).unwrap()
            experiment = Experiment(scenario, platform_headers(), seed)
            experiment.simulate()
            samples += experiment.samples
        served = sum(sample.outcome in (IN_TIME, LATE) for sample in samples)
        assert served >= 0.99 * len(samples)

    def test_requests_that_cannot_be_served_in_time_are_refused_at_once(self) -> None:
        samples: list[Sample] = []
        for seed in SEEDS:
            use_virtual_time()
            scenario = load_scenario(str(SMALL_SERVICE_PATH)).unwrap()
            for group in scenario.groups:
                group.slowness = HOPELESS_SLOWNESS
            experiment = Experiment(scenario, platform_headers(), seed)
            experiment.simulate()
            samples += experiment.samples
        refused = [sample for sample in samples if sample.outcome == REFUSED]
        failed = [sample for sample in samples if sample.outcome == FAILED]
        assert len(refused) > len(failed)
        assert max(sample.elapsed_ms for sample in refused) <= REFUSAL_LIMIT_MS


class TestSlownessDetector:
    """Slowness is noticed before the slow requests end, and so is recovery."""

    def test_two_overdue_requests_suffice(self) -> None:
        clock = VirtualClock()
        detector = SlownessDetector(clock)
        for _ in range(2):
            detector.start(USUAL_MS)
        clock.sleep_ms(SLOW_RATIO * USUAL_MS - 1)
        assert not detector.is_slow
        clock.sleep_ms(1)
        assert detector.is_slow

    def test_single_slow_response_is_tolerated(self) -> None:
        clock = VirtualClock()
        detector = SlownessDetector(clock)
        request = detector.start(USUAL_MS)
        clock.sleep_ms(100 * USUAL_MS)
        detector.finish(request, True)
        assert not detector.is_slow

    def test_slow_upstream_gets_rare_trials_that_may_be_repeated(self) -> None:
        clock = VirtualClock()
        detector = SlownessDetector(clock)
        trials = 0
        for _ in range(1000):
            if not detector.rejects(repeatable=True):
                detector.start(USUAL_MS)
                trials += detector.is_slow
            clock.sleep_ms(10)
        assert 3 <= trials <= 10
        assert detector.rejects(repeatable=False)

    def test_fast_trial_ends_the_slowness(self) -> None:
        clock = VirtualClock()
        detector = SlownessDetector(clock)
        slow = [detector.start(USUAL_MS) for _ in range(4)]
        clock.sleep_ms(10 * USUAL_MS)
        for request in slow:
            detector.finish(request, True)
        assert detector.is_slow
        clock.sleep_ms(1000)
        trial = detector.start(USUAL_MS)
        clock.sleep_ms(USUAL_MS)
        detector.finish(trial, True)
        assert not detector.is_slow

    def test_cancelled_request_says_nothing(self) -> None:
        clock = VirtualClock()
        detector = SlownessDetector(clock)
        for _ in range(10):
            request = detector.start(USUAL_MS)
            clock.sleep_ms(20 * USUAL_MS)
            detector.finish(request, False)
        assert not detector.is_slow
