"""Tests that the simulation is deterministic and respects the limits of the gates."""

from __future__ import annotations

from pathlib import Path

from jayswitch.model.experiment import FAILED, IN_TIME, OUTCOMES, REFUSED, Experiment
from jayswitch.model.generated import RequestKind, Scenario, UpstreamGroup
from jayswitch.model.report import kinds_table, plot_outcomes, upstreams_table
from jayswitch.platform.headers import platform_headers

COLD_CALLS_PER_S = 10.0


def _scenario(per_s: float, cold_s: float = 0.0) -> Scenario:
    group = UpstreamGroup(
        service="a",
        data_centre="x",
        count=2,
        slots=4,
        cold_s=cold_s,
        cold_calls_per_s=COLD_CALLS_PER_S,
    )
    kind = RequestKind(
        name="read",
        service="a",
        per_s=per_s,
        work_ms=50,
        objective_ms=300,
        deadline_ms=1000,
    )
    return Scenario(duration_s=5, groups=[group], kinds=[kind])


def _simulate(scenario: Scenario, seed: int = 1) -> Experiment:
    experiment = Experiment(scenario, platform_headers(), seed)
    experiment.simulate()
    return experiment


class TestExperiment:
    """Outcomes and tables of simulated scenarios."""

    def test_same_seed_gives_the_same_samples(self) -> None:
        one, two = _simulate(_scenario(60), 7), _simulate(_scenario(60), 7)
        assert kinds_table(one) == kinds_table(two)
        assert upstreams_table(one) == upstreams_table(two)
        assert kinds_table(one) != kinds_table(_simulate(_scenario(60), 8))

    def test_every_request_has_one_outcome(self) -> None:
        experiment = _simulate(_scenario(400))
        shares = [experiment.outcome_share("read", outcome) for outcome in OUTCOMES]
        assert abs(sum(shares) - 1) < 1e-9
        runs = sum(vm.upstream.runs for vm in experiment.fleet.vm_by_name.values())
        served = len(experiment.samples) * (1 - shares[OUTCOMES.index(REFUSED)])
        assert runs >= round(served)

    def test_light_load_is_served_in_time(self) -> None:
        assert _simulate(_scenario(20)).outcome_share("read", IN_TIME) == 1.0

    def test_overload_is_refused_not_failed(self) -> None:
        experiment = _simulate(_scenario(400))
        assert experiment.outcome_share("read", REFUSED) > 0.3
        assert experiment.outcome_share("read", FAILED) < 0.02

    def test_cold_upstreams_get_at_most_their_cold_rate(self) -> None:
        scenario = _scenario(200, cold_s=60.0)
        experiment = _simulate(scenario)
        for vm in experiment.fleet.vm_by_name.values():
            assert vm.upstream.runs <= COLD_CALLS_PER_S * (scenario.duration_s + 2)

    def test_plot_is_written(self, tmp_path: Path) -> None:
        path = tmp_path / "outcomes.png"
        plot_outcomes(_simulate(_scenario(20)), str(path))
        assert path.read_bytes().startswith(b"\x89PNG")
