"""Tests for loading scenarios."""

from __future__ import annotations

from pathlib import Path

import pytest
from returns.result import Failure, Success

from jayswitch.model.loader import load_scenario

GROUPS = "groups: [{service: a, data_centre: x, count: 1, slots: 2}]\n"
KIND = "work_ms: 10, objective_ms: 50, deadline_ms: 90"


class TestLoadScenario:
    """Invalid scenarios are rejected with the reason before a simulation starts."""

    def test_omitted_fields_get_their_defaults(self) -> None:
        path = Path(__file__).parent.parent / "fixtures" / "one_upstream_left.yaml"
        match load_scenario(str(path)):
            case Success(scenario):
                assert scenario.kinds[0].calls == "strap-table"
                assert scenario.retry_ratio == 0.2
            case Failure(error):
                pytest.fail(str(error))

    @pytest.mark.parametrize(
        ("kinds", "fault"),
        [
            (f"{{name: k, service: b, {KIND}}}", "no group runs service b"),
            (f"{{name: k, service: a, calls: z, {KIND}}}", "unknown kind z"),
            (f"{{name: k, service: a, calls_share: 0.5, {KIND}}}", "without calls"),
            (f"{{name: k, service: a, colour: red, {KIND}}}", "colour"),
            (
                f"{{name: k, service: a, {KIND}}}, {{name: k, service: a, {KIND}}}",
                "same name",
            ),
        ],
    )
    def test_fault_is_named(self, tmp_path: Path, kinds: str, fault: str) -> None:
        path = tmp_path / "scenario.yaml"
        path.write_text(f"duration_s: 1\n{GROUPS}kinds: [{kinds}]\n")
        match load_scenario(str(path)):
            case Failure(error):
                assert fault in str(error)
            case Success(_):
                pytest.fail("the invalid scenario was accepted")
