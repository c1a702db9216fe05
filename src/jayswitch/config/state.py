"""The configuration state that results from applying a prefix of the log."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from jayswitch.config.generated import (
    DataCentreSet,
    DriverTaken,
    MoveAborted,
    MoveEnded,
    MoveStepped,
    ProfileDeleted,
    ProfileSet,
    ServiceDeleted,
    ServiceSet,
)
from jayswitch.models import Model
from jayswitch.profiles.generated import Profile, Target

FULL_PERCENT = 100

AnyChange: TypeAlias = (
    DataCentreSet
    | DriverTaken
    | MoveAborted
    | MoveEnded
    | MoveStepped
    | ProfileDeleted
    | ProfileSet
    | ServiceDeleted
    | ServiceSet
)


class Entry(Model):
    """A change with its index in the log.

    The change id is unique, so that a writer can recognise its own entry.
    """

    index: int
    change_id: str
    author: str
    at_ms: int
    change: AnyChange


class HistoryItem(Model):
    """A past change of a profile, with its author and time."""

    version: int
    author: str
    at_ms: int
    summary: str


class ProfileState(Model):
    """A profile and the configuration version that last changed it."""

    profile: Profile
    version: int
    history: list[HistoryItem] = msgspec.field(default_factory=list)


class ServiceState(Model):
    """A declared service and the profile it uses; an empty profile means none."""

    service: str
    profile: str


class DataCentreState(Model):
    """Whether a data centre is out of service."""

    data_centre: str
    out: bool
    version: int


class Move(Model):
    """A gradual change of a service from one version to another in one profile.

    Times are wall-clock milliseconds from the clocks of the entries' writers.
    """

    id: str
    profile: str
    service: str
    from_version: str
    to_version: str
    started_ms: int
    deadline_ms: int
    trial_percent: int
    percent: int = 0
    stepped_ms: int = 0
    ended_ms: int = 0
    done: bool = False
    reason: str = ""

    @property
    def active(self) -> bool:
        """Returns whether the move has not ended."""
        return self.ended_ms == 0


class ConfigState(Model):
    """The whole configuration as of one log index.

    A state is immutable once it has been installed; the next version is a new object.
    """

    version: int = 0
    profiles_by_name: dict[str, ProfileState] = msgspec.field(default_factory=dict)
    services_by_name: dict[str, ServiceState] = msgspec.field(default_factory=dict)
    data_centres_by_name: dict[str, DataCentreState] = msgspec.field(
        default_factory=dict
    )
    moves_by_id: dict[str, Move] = msgspec.field(default_factory=dict)
    driver_epoch: int = 0
    driver_node: str = ""

    def copy_for_version(self, version: int) -> ConfigState:
        """Returns a copy with a later version, whose collections may be modified."""
        return ConfigState(
            version=version,
            profiles_by_name=dict(self.profiles_by_name),
            services_by_name=dict(self.services_by_name),
            data_centres_by_name=dict(self.data_centres_by_name),
            moves_by_id=dict(self.moves_by_id),
            driver_epoch=self.driver_epoch,
            driver_node=self.driver_node,
        )

    def is_out_of_service(self, data_centre: str) -> bool:
        """Returns whether operators have taken the data centre out of service."""
        state = self.data_centres_by_name.get(data_centre)
        return state is not None and state.out

    def profile_of(self, service: str) -> Profile | None:
        """Returns the profile that a service uses, if any."""
        service_state = self.services_by_name.get(service)
        if service_state is None:
            return None
        state = self.profiles_by_name.get(service_state.profile)
        return state.profile if state is not None else None

    def active_move(self, profile: str, service: str) -> Move | None:
        """Returns the active move of a service in a profile, if any."""
        for move in self.moves_by_id.values():
            if move.active and (move.profile, move.service) == (profile, service):
                return move
        return None

    def active_moves(self) -> list[Move]:
        """Returns the active moves, sorted by id."""
        moves = [move for move in self.moves_by_id.values() if move.active]
        return sorted(moves, key=lambda move: move.id)


def target_of(profile: Profile, service: str) -> Target | None:
    """Returns the profile's target for a service."""
    for target in profile.targets:
        if target.service == service:
            return target
    return None
