"""Location of the settings file in the platform's environment."""

from __future__ import annotations

import os

# Environment variable with the path of the settings file, which the platform renders
# from the template deploy/settings.yaml.
SETTINGS_VARIABLE = "JAYSWITCH_SETTINGS"


def settings_path() -> str:
    """Returns the path of the settings file, or an empty string if it is not set."""
    return os.environ.get(SETTINGS_VARIABLE, "")
