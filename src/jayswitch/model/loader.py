"""Loads scenarios from YAML files."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from jayswitch.model.generated import Scenario
from jayswitch.settings.exceptions import InvalidSettings
from jayswitch.settings.loader import read_settings


def load_scenario(path: str) -> Result[Scenario, InvalidSettings]:
    """Returns the validated scenario, or the first error found in the file."""
    return read_settings(path, Scenario).bind(
        lambda decoded: _check_kinds(path, decoded)
    )


def _check_kinds(path: str, scenario: Scenario) -> Result[Scenario, InvalidSettings]:
    services = {group.service for group in scenario.groups}
    kinds = {kind.name for kind in scenario.kinds}
    if len(kinds) < len(scenario.kinds):
        return Failure(InvalidSettings(path, "two kinds have the same name"))
    for kind in scenario.kinds:
        if kind.service not in services:
            reason = f"kind {kind.name}: no group runs service {kind.service}"
            return Failure(InvalidSettings(path, reason))
        if kind.calls and kind.calls not in kinds:
            reason = f"kind {kind.name}: calls unknown kind {kind.calls}"
            return Failure(InvalidSettings(path, reason))
        if kind.calls_share > 0 and not kind.calls:
            reason = f"kind {kind.name}: calls_share without calls"
            return Failure(InvalidSettings(path, reason))
    return Success(scenario)
