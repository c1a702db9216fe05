"""Tests of loading profiles from YAML."""

from __future__ import annotations

import pytest

from jayswitch.profiles.loader import load_profile

VALID_PROFILE = """
name: everyday
routes:
  - {name: herd, prefix: /herd, service: herdview}
targets:
  - {service: herdview, version: v1}
"""


class TestLoadProfile:
    """A profile is fully validated before it is used."""

    def test_defaults(self) -> None:
        profile = load_profile(VALID_PROFILE).unwrap()
        assert profile.routes[0].timeout_ms == 2000
        assert profile.targets[0].trial_percent == 5

    @pytest.mark.parametrize(
        ("text", "part"),
        [
            (VALID_PROFILE.replace("prefix: /herd", "prefix: herd"), "prefix"),
            (
                VALID_PROFILE.replace(
                    "service: herdview, version", "service: x, version"
                ),
                "no target",
            ),
            (VALID_PROFILE + "  - {service: herdview, version: v2}", "appears twice"),
            (
                VALID_PROFILE.replace("{name: herd,", "{name: herd, retries: 3,"),
                "retries",
            ),
            (VALID_PROFILE.replace("version: v1", "version: 1"), "version"),
            ("- a", "Expected `object`"),
            ("a: [", "not YAML"),
        ],
    )
    def test_invalid_profiles_are_refused(self, text: str, part: str) -> None:
        assert part in str(load_profile(text).failure())
