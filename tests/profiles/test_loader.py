"""Tests of profiles in YAML."""

from __future__ import annotations

import pytest

from jayswitch.profiles.loader import load_profile

GOOD = """
name: everyday
routes:
  - {name: herd, prefix: /herd, service: herdview}
targets:
  - {service: herdview, version: v1}
"""


class TestLoadProfile:
    """A profile is checked whole before it goes anywhere."""

    def test_defaults(self) -> None:
        profile = load_profile(GOOD).unwrap()
        assert profile.routes[0].timeout_ms == 2000
        assert profile.targets[0].trial_percent == 5

    @pytest.mark.parametrize(
        ("text", "part"),
        [
            (GOOD.replace("prefix: /herd", "prefix: herd"), "prefix"),
            (
                GOOD.replace("service: herdview, version", "service: x, version"),
                "no target",
            ),
            (GOOD + "  - {service: herdview, version: v2}", "appears twice"),
            (GOOD.replace("{name: herd,", "{name: herd, retries: 3,"), "retries"),
            (GOOD.replace("version: v1", "version: 1"), "version"),
            ("- a", "Expected `object`"),
            ("a: [", "not YAML"),
        ],
    )
    def test_faults(self, text: str, part: str) -> None:
        assert part in str(load_profile(text).failure())
