"""Tests of changes: what may follow what, and moves from start to end."""

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
    """Returns a profile with one route."""
    return Profile(
        name="everyday",
        routes=[Route(name="read", prefix="/herd", service=service)],
        targets=[Target(service=service, version=version, move_within_ms=60_000)],
    )


class Steps:
    """Applies changes one after the other."""

    def __init__(self) -> None:
        """Starts with a service and a profile at v1."""
        self.state = ConfigState()
        self.do(ServiceSet(service="herdview"))
        self.do(ProfileSet(profile=profile("v1")))
        self.do(ServiceSet(service="herdview", profile="everyday"))
        self.do(DriverTaken(node="n", epoch=1))

    def do(self, change: object, at_ms: int = 1000) -> ConfigState:
        """Applies a change or raises its error."""
        entry = Entry(
            index=self.state.version + 1,
            change_id=str(self.state.version),
            author="operator",
            at_ms=at_ms,
            change=change,
        )
        before = msgspec.json.encode(self.state)
        result = apply_entry(self.state, entry)
        assert msgspec.json.encode(self.state) == before, "a state was changed in place"
        if isinstance(result, Failure):
            raise result.failure()
        self.state = result.unwrap()
        return self.state

    def start_move(self) -> str:
        """Moves to v2; returns the move's id."""
        self.do(ProfileSet(profile=profile("v2")))
        return self.state.active_moves()[0].id


class TestReferences:
    """No route points at what the configuration lacks."""

    def test_profile_needs_its_services_first(self) -> None:
        with pytest.raises(JayswitchError, match="services set robotdesk"):
            Steps().do(ProfileSet(profile=profile("v1", "robotdesk")))

    def test_service_in_use_stays(self) -> None:
        with pytest.raises(JayswitchError, match="remove the target"):
            Steps().do(ServiceDeleted(service="herdview"))

    def test_picked_profile_stays(self) -> None:
        with pytest.raises(JayswitchError, match="pick another"):
            Steps().do(ProfileDeleted(name="everyday"))

    def test_version_seen_must_be_the_present_one(self) -> None:
        change = ProfileSet(profile=profile("v2"), expected_version=1)
        with pytest.raises(JayswitchError, match="another operator changed it first"):
            Steps().do(change)


class TestMoves:
    """A version takes over step by step, or is taken back by a later entry."""

    def test_new_version_starts_a_move_at_no_share(self) -> None:
        steps = Steps()
        steps.start_move()
        move = steps.state.active_moves()[0]
        assert (move.from_version, move.to_version, move.percent) == ("v1", "v2", 0)
        assert move.deadline_ms == 61_000

    def test_reversal_is_a_new_version_that_names_the_old_one(self) -> None:
        steps = Steps()
        move = steps.start_move()
        version = steps.state.version
        steps.do(MoveEnded(move=move, epoch=1, done=False, reason="bad", at_ms=2000))
        state = steps.state.profiles_by_name["everyday"]
        assert steps.state.version == version + 1
        assert state.profile.targets[0].version == "v1"
        assert state.version == steps.state.version

    def test_replaced_driver_may_not_act(self) -> None:
        steps = Steps()
        move = steps.start_move()
        steps.do(DriverTaken(node="other", epoch=2))
        with pytest.raises(JayswitchError, match="epoch 1 has been replaced by 2"):
            steps.do(MoveStepped(move=move, epoch=1, percent=5, at_ms=2000))

    def test_share_only_grows(self) -> None:
        steps = Steps()
        move = steps.start_move()
        steps.do(MoveStepped(move=move, epoch=1, percent=25, at_ms=2000))
        with pytest.raises(JayswitchError, match="a share only grows"):
            steps.do(MoveStepped(move=move, epoch=1, percent=5, at_ms=3000))

    def test_nothing_is_done_after_the_deadline(self) -> None:
        steps = Steps()
        move = steps.start_move()
        ended = MoveEnded(move=move, epoch=1, done=True, reason="", at_ms=61_001)
        with pytest.raises(JayswitchError, match="after its deadline"):
            steps.do(ended)

    def test_a_third_version_moves_from_the_proved_one(self) -> None:
        steps = Steps()
        first = steps.start_move()
        steps.do(ProfileSet(profile=profile("v3")))
        assert not steps.state.moves_by_id[first].active
        move = steps.state.active_moves()[0]
        assert (move.from_version, move.to_version) == ("v1", "v3")

    def test_going_back_by_hand_ends_the_move(self) -> None:
        steps = Steps()
        steps.start_move()
        steps.do(ProfileSet(profile=profile("v1")))
        assert steps.state.active_moves() == []
