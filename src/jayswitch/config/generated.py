"""Generated from schema.json by tools/generate.py; do not edit."""

from typing import Annotated, Any, TypeAlias

from msgspec import Meta

from jayswitch.models import Change
from jayswitch.profiles.generated import Profile

Changes: TypeAlias = Annotated[
    Any,
    Meta(
        description="Changes that the entries of the configuration log carry.",
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
            description="Version of the profile the author saw; 0 for none, -1 to skip the check."
        ),
    ] = -1


class ProfileDeleted(Change, kw_only=True):
    """
    Deletes a profile that no service picks.
    """

    name: str
    expected_version: int = -1


class ServiceSet(Change, kw_only=True):
    """
    Declares a service and the profile it picks.
    """

    service: str
    profile: str = ""


class ServiceDeleted(Change, kw_only=True):
    """
    Removes a service that no route names.
    """

    service: str


class DataCentreSet(Change, kw_only=True):
    """
    Marks a data centre in or out of service.
    """

    data_centre: str
    out: bool
    expected_version: int = -1


class DriverTaken(Change, kw_only=True):
    """
    A node takes over driving the moves; earlier drivers may no longer act.
    """

    node: str
    epoch: int


class MoveStepped(Change, kw_only=True):
    """
    The driver changes a move's share.
    """

    move: str
    epoch: int
    percent: int
    at_ms: int


class MoveEnded(Change, kw_only=True):
    """
    A move is done or reversed.
    """

    move: str
    epoch: int
    done: bool
    reason: str
    at_ms: int


class MoveAborted(Change, kw_only=True):
    """
    An operator takes a move back.
    """

    move: str
    at_ms: int
