"""Loads profiles from YAML and checks their consistency."""

from __future__ import annotations

import msgspec
import yaml
from returns.result import Failure, Result, Success

from jayswitch.exceptions import JayswitchError
from jayswitch.profiles.exceptions import InvalidProfile
from jayswitch.profiles.generated import Profile

SCHEMA_REMEDY = "correct the key named here; docs/PROFILES.md lists every key"


def load_profile(text: str | bytes) -> Result[Profile, JayswitchError]:
    """Parses a profile in YAML or JSON; returns it or the first error."""
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Failure(InvalidProfile(f"not YAML: {error}", SCHEMA_REMEDY))
    try:
        profile = msgspec.convert(document, Profile)
    except msgspec.ValidationError as error:
        return Failure(InvalidProfile(str(error), SCHEMA_REMEDY))
    return check_profile(profile)


def check_profile(profile: Profile) -> Result[Profile, JayswitchError]:
    """Returns the profile if names are unique and every route has a target."""
    for kind, names in (
        ("route", [route.name for route in profile.routes]),
        ("prefix", [route.prefix for route in profile.routes]),
        ("target", [target.service for target in profile.targets]),
    ):
        duplicate = _first_duplicate(names)
        if duplicate:
            return Failure(
                InvalidProfile(
                    f"{kind} {duplicate!r} appears twice in profile {profile.name!r}",
                    f"remove one of the two {kind} entries",
                )
            )
    services = {target.service for target in profile.targets}
    for route in profile.routes:
        if route.service not in services:
            return Failure(
                InvalidProfile(
                    f"route {route.name!r} refers to service {route.service!r},"
                    " which has no target in the profile",
                    f"add a target with a version for {route.service!r}",
                )
            )
    return Success(profile)


def _first_duplicate(names: list[str]) -> str:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            return name
        seen.add(name)
    return ""
