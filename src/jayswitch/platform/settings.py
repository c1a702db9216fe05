"""Where the platform puts a process's settings."""

from __future__ import annotations

import os

# The file holds what deploy/settings.yaml makes of the platform's fields.
SETTINGS_VARIABLE = "JAYSWITCH_SETTINGS"


def settings_path() -> str:
    """Returns the path of the settings file; empty where none is given."""
    return os.environ.get(SETTINGS_VARIABLE, "")
