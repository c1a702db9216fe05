"""Tests of loading settings files."""

from __future__ import annotations

from pathlib import Path

import pytest

from jayswitch.settings.loader import load_settings

VALID_SETTINGS = """
vm: vm-1
data_centre: bunbury
bind_ip: 127.0.0.1
store: http://127.0.0.1:7000
admin_token: operators
upstream_token: upstreams
"""


class TestLoadSettings:
    """Errors state the key, the reason and the remedy."""

    def load(self, tmp_path: Path, text: str) -> object:
        """Loads a settings file with the given text."""
        path = tmp_path / "node.yaml"
        path.write_text(text)
        return load_settings(str(path))

    def test_defaults_are_filled_in(self, tmp_path: Path) -> None:
        settings = self.load(tmp_path, VALID_SETTINGS).unwrap()
        assert settings.caller_port == 7100
        assert settings.fan_out == 8

    @pytest.mark.parametrize(
        ("text", "part"),
        [
            (VALID_SETTINGS + "colour: red", "colour"),
            (VALID_SETTINGS.replace("vm: vm-1", "vm: 7"), "vm"),
            (VALID_SETTINGS + "caller_port: 99999", "caller_port"),
            (VALID_SETTINGS + "caller_port: 7101", "both 7101"),
            (VALID_SETTINGS.replace("store: http://", "store: ftp://"), "store"),
            (VALID_SETTINGS.replace("bind_ip: 127.0.0.1\n", ""), "bind_ip"),
            ("{", "not YAML"),
            ("", "Expected `object`"),
        ],
    )
    def test_invalid_settings_are_refused(
        self, tmp_path: Path, text: str, part: str
    ) -> None:
        error = self.load(tmp_path, text).failure()
        assert part in str(error)
        assert "docs/OPERATIONS.md" in str(error)

    def test_missing_file(self) -> None:
        assert "cannot be read" in str(load_settings("/nonexistent").failure())
