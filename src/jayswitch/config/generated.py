"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated, Any, TypeAlias

from msgspec import Meta

from jayswitch.models import Change
from jayswitch.profiles.generated import Profile

Changes: TypeAlias = Annotated[
    Any,
    Meta(
        description="Changes recorded in the entries of the configuration log.",
        title="Changes",
    ),
]


class ProfileSet(Change, kw_only=True):
    """
    Creates or replaces a profile.
    """

    profile: Annotated[Profile, Meta(description="The whole profile.")]
    expected_version: Annotated[
        int,
        Meta(
            description="Expected current version of the profile; 0 if it must not exist, -1 to skip the check."
        ),
    ] = -1


class ProfileDeleted(Change, kw_only=True):
    """
    Deletes a profile that no service uses.
    """

    name: str
    expected_version: int = -1


class ServiceSet(Change, kw_only=True):
    """
    Declares a service and the profile it uses.
    """

    service: str
    profile: str = ""


class ServiceDeleted(Change, kw_only=True):
    """
    Deletes a service that is not a target of any profile.
    """

    service: str


class DataCentreSet(Change, kw_only=True):
    """
    Puts a data centre in or out of service.
    """

    data_centre: str
    out: bool
    expected_version: int = -1


class DriverTaken(Change, kw_only=True):
    """
    Makes a node the driver of moves; changes by earlier drivers are rejected.
    """

    node: str
    epoch: int


class MoveStepped(Change, kw_only=True):
    """
    Sets the share of calls that a move sends to the new version.
    """

    move: str
    epoch: int
    percent: int
    at_ms: int


class MoveEnded(Change, kw_only=True):
    """
    Completes a move or rolls it back.
    """

    move: str
    epoch: int
    done: bool
    reason: str
    at_ms: int


class MoveAborted(Change, kw_only=True):
    """
    Rolls a move back at the request of an operator.
    """

    move: str
    at_ms: int
