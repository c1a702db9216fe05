"""Tests of the validation of changes and of the life cycle of moves."""

from __future__ import annotations

import msgspec
import pytest
from returns.result import Failure

from jayswitch.config.changes import apply_entry
from jayswitch.config.generated import (
    DriverTaken,
    MoveEnded,
    MoveStepped,
    ProfileDeleted,
    ProfileSet,
    ServiceDeleted,
    ServiceSet,
)
from jayswitch.config.state import ConfigState, Entry
from jayswitch.exceptions import JayswitchError
from jayswitch.profiles.generated import Profile, Route, Target


def profile(version: str, service: str = "herdview") -> Profile:
    """Returns a profile with one route and one target."""
    return Profile(
        name="everyday",
        routes=[Route(name="read", prefix="/herd", service=service)],
        targets=[Target(service=service, version=version, move_within_ms=60_000)],
    )


class ChangeSequence:
    """Applies changes in sequence to a state."""

    def __init__(self) -> None:
        """Declares a service that uses a profile with target version v1."""
        self.state = ConfigState()
        self.apply(ServiceSet(service="herdview"))
        self.apply(ProfileSet(profile=profile("v1")))
        self.apply(ServiceSet(service="herdview", profile="everyday"))
        self.apply(DriverTaken(node="n", epoch=1))

    def apply(self, change: object, at_ms: int = 1000) -> ConfigState:
        """Applies a change or raises its validation error."""
        entry = Entry(
            index=self.state.version + 1,
            change_id=str(self.state.version),
            author="operator",
            at_ms=at_ms,
            change=change,
        )
        before = msgspec.json.encode(self.state)
        result = apply_entry(self.state, entry)
        assert msgspec.json.encode(self.state) == before, "state was modified in place"
        if isinstance(result, Failure):
            raise result.failure()
        self.state = result.unwrap()
        return self.state

    def start_move(self) -> str:
        """Starts a move to v2; returns its id."""
        self.apply(ProfileSet(profile=profile("v2")))
        return self.state.active_moves()[0].id


class TestReferences:
    """Changes must not leave references to undeclared or deleted objects."""

    def test_profile_requires_declared_services(self) -> None:
        with pytest.raises(JayswitchError, match="services set robotdesk"):
            ChangeSequence().apply(ProfileSet(profile=profile("v1", "robotdesk")))

    def test_service_in_use_is_not_deleted(self) -> None:
        with pytest.raises(JayswitchError, match="remove the target"):
            ChangeSequence().apply(ServiceDeleted(service="herdview"))

    def test_profile_in_use_is_not_deleted(self) -> None:
        with pytest.raises(JayswitchError, match="select another"):
            ChangeSequence().apply(ProfileDeleted(name="everyday"))

    def test_expected_version_must_match(self) -> None:
        change = ProfileSet(profile=profile("v2"), expected_version=1)
        with pytest.raises(JayswitchError, match="another operator changed it first"):
            ChangeSequence().apply(change)


class TestMoves:
    """A move shifts calls to a new version in steps, or is rolled back by an entry."""

    def test_new_version_starts_a_move_at_zero_percent(self) -> None:
        sequence = ChangeSequence()
        sequence.start_move()
        move = sequence.state.active_moves()[0]
        assert (move.from_version, move.to_version, move.percent) == ("v1", "v2", 0)
        assert move.deadline_ms == 61_000

    def test_rollback_creates_a_profile_version_with_the_old_target(self) -> None:
        sequence = ChangeSequence()
        move = sequence.start_move()
        version = sequence.state.version
        sequence.apply(
            MoveEnded(move=move, epoch=1, done=False, reason="bad", at_ms=2000)
        )
        state = sequence.state.profiles_by_name["everyday"]
        assert sequence.state.version == version + 1
        assert state.profile.targets[0].version == "v1"
        assert state.version == sequence.state.version

    def test_replaced_driver_is_rejected(self) -> None:
        sequence = ChangeSequence()
        move = sequence.start_move()
        sequence.apply(DriverTaken(node="other", epoch=2))
        with pytest.raises(JayswitchError, match="epoch 1 has been replaced by 2"):
            sequence.apply(MoveStepped(move=move, epoch=1, percent=5, at_ms=2000))

    def test_share_cannot_shrink(self) -> None:
        sequence = ChangeSequence()
        move = sequence.start_move()
        sequence.apply(MoveStepped(move=move, epoch=1, percent=25, at_ms=2000))
        with pytest.raises(JayswitchError, match="a share only grows"):
            sequence.apply(MoveStepped(move=move, epoch=1, percent=5, at_ms=3000))

    def test_move_is_not_completed_after_its_deadline(self) -> None:
        sequence = ChangeSequence()
        move = sequence.start_move()
        ended = MoveEnded(move=move, epoch=1, done=True, reason="", at_ms=61_001)
        with pytest.raises(JayswitchError, match="after its deadline"):
            sequence.apply(ended)

    def test_third_version_moves_from_the_last_completed_one(self) -> None:
        sequence = ChangeSequence()
        first = sequence.start_move()
        sequence.apply(ProfileSet(profile=profile("v3")))
        assert not sequence.state.moves_by_id[first].active
        move = sequence.state.active_moves()[0]
        assert (move.from_version, move.to_version) == ("v1", "v3")

    def test_manual_return_to_the_old_version_ends_the_move(self) -> None:
        sequence = ChangeSequence()
        sequence.start_move()
        sequence.apply(ProfileSet(profile=profile("v1")))
        assert sequence.state.active_moves() == []
