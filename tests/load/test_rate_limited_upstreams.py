"""Load pattern: upstreams in need announce the rate that they take from the fleet.

Their concurrency stays below their slots, so that nothing else holds the rate: it
follows from the senders, each of which sees only a part of it.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from jayswitch.clock import MS_PER_S
from jayswitch.model.experiment import IN_TIME, Experiment
from jayswitch.model.loader import load_scenario
from jayswitch.model.upstream import SimulatedUpstream
from jayswitch.platform.headers import platform_headers
from jayswitch.virtual_hub import use_virtual_time

PATH = Path(__file__).parent.parent / "fixtures" / "rate_limited_upstreams.yaml"
SEEDS = range(1, 5)
LIMITED_FROM_MS, LIMITED_UNTIL_MS = 4 * MS_PER_S, 20 * MS_PER_S
# The first response that announces the limit may take this long.
NOTICE_MS = 700.0
WINDOW_MS = 4 * MS_PER_S
# Requests beyond the limit that an upstream tolerates in a window.
WINDOW_SLACK = 5


def _simulate(seed: int) -> Experiment:
    use_virtual_time()
    scenario = load_scenario(str(PATH)).unwrap()
    experiment = Experiment(scenario, platform_headers(), seed)
    experiment.simulate()
    return experiment


def _most_in_window(upstream: SimulatedUpstream, start_ms: float) -> int:
    """Returns the most arrivals in a window while the upstream is limited."""
    arrivals = [
        at_ms - start_ms
        for at_ms in upstream.arrivals_ms
        if LIMITED_FROM_MS + NOTICE_MS <= at_ms - start_ms < LIMITED_UNTIL_MS
    ]
    return max(
        sum(begin <= at_ms < begin + WINDOW_MS for at_ms in arrivals)
        for begin in arrivals
    )


class TestRateLimitedUpstreams:
    """The fleet stays within announced limits, and callers are served elsewhere."""

    # Guards against announced rate limits that are passed on to callers but not obeyed.
    @pytest.mark.parametrize("seed", SEEDS)
    def test_fleet_stays_within_an_announced_rate_limit(self, seed: int) -> None:
        experiment = _simulate(seed)
        for vm in experiment.fleet.vm_by_name.values():
            limit_per_s = vm.upstream.group.rate_limit_per_s
            if limit_per_s < 0:
                continue
            most = _most_in_window(vm.upstream, experiment.start_ms)
            assert most <= limit_per_s * WINDOW_MS / MS_PER_S + WINDOW_SLACK

    @pytest.mark.parametrize("seed", SEEDS)
    def test_callers_are_served_by_upstreams_with_room(self, seed: int) -> None:
        experiment = _simulate(seed)
        in_time = sum(sample.outcome == IN_TIME for sample in experiment.samples)
        assert in_time >= 0.97 * len(experiment.samples)

    def test_upstream_takes_its_usual_load_again_after_the_limit(self) -> None:
        experiment = _simulate(SEEDS[0])
        for vm in experiment.fleet.vm_by_name.values():
            after_ms = experiment.start_ms + LIMITED_UNTIL_MS + MS_PER_S
            arrivals = [at for at in vm.upstream.arrivals_ms if at >= after_ms]
            assert len(arrivals) / 3 >= 0.5 * 105 / 12
