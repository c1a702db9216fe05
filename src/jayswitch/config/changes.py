"""Validates configuration changes and applies them atomically."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from jayswitch.config.exceptions import (
    InvalidChange,
    MoveNotActive,
    NoSuchObject,
    StaleDriver,
    VersionConflict,
)
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
from jayswitch.config.state import (
    FULL_PERCENT,
    ConfigState,
    DataCentreState,
    Entry,
    HistoryItem,
    Move,
    ProfileState,
    ServiceState,
    target_of,
)
from jayswitch.exceptions import JayswitchError
from jayswitch.profiles.generated import Profile, Target
from jayswitch.profiles.loader import check_profile

if TYPE_CHECKING:
    from jayswitch.config.state import AnyChange

ANY_VERSION = -1
MAX_HISTORY_ITEMS = 20
MAX_ENDED_MOVES = 64
REASON_ABORTED = "taken back by an operator"
REASON_REPLACED = "replaced by a later change of the profile"

CheckResult = Result[None, JayswitchError]
OK: CheckResult = Success(None)


def apply_entry(
    state: ConfigState, entry: Entry
) -> Result[ConfigState, JayswitchError]:
    """Returns the state after the entry, or why the entry cannot be applied."""
    if entry.index != state.version + 1:
        return Failure(
            InvalidChange(
                f"entry {entry.index} does not follow version {state.version}",
                "fetch the missing entries first",
            )
        )
    checked = check_change(entry.change, state)
    if not is_successful(checked):
        return Failure(checked.failure())
    next_state = state.copy_for_version(entry.index)
    apply_change(entry.change, next_state, entry)
    return Success(next_state)


@singledispatch
def check_change(change: AnyChange, state: ConfigState) -> CheckResult:
    """Returns a failure if the change is not valid for the state."""
    raise NotImplementedError(type(change).__name__)


@singledispatch
def apply_change(change: AnyChange, state: ConfigState, entry: Entry) -> None:
    """Applies a validated change to a copied state, in place."""
    raise NotImplementedError(type(change).__name__)


@check_change.register
def _(change: ProfileSet, state: ConfigState) -> CheckResult:
    name = change.profile.name
    checked = check_profile(change.profile)
    if not is_successful(checked):
        return Failure(checked.failure())
    current = state.profiles_by_name.get(name)
    found = current.version if current is not None else 0
    if change.expected_version not in (ANY_VERSION, found):
        return Failure(VersionConflict("profile", name, change.expected_version, found))
    for target in change.profile.targets:
        if target.service not in state.services_by_name:
            return Failure(
                InvalidChange(
                    f"profile {name!r} depends on service {target.service!r},"
                    " which is not declared",
                    f"declare it with 'jayswitchctl services set {target.service}'",
                )
            )
    return OK


@apply_change.register
def _(change: ProfileSet, state: ConfigState, entry: Entry) -> None:
    profile = change.profile
    previous = state.profiles_by_name.get(profile.name)
    summary = ", ".join(
        f"{target.service}={target.version}" for target in profile.targets
    )
    if previous is not None:
        _start_moves(previous.profile, profile, state, entry)
    _store_profile(profile, state, entry, summary)
    _trim_ended_moves(state)


@check_change.register
def _(change: ProfileDeleted, state: ConfigState) -> CheckResult:
    current = state.profiles_by_name.get(change.name)
    if current is None:
        return Failure(NoSuchObject("profile", change.name))
    if change.expected_version not in (ANY_VERSION, current.version):
        return Failure(
            VersionConflict(
                "profile", change.name, change.expected_version, current.version
            )
        )
    for service in state.services_by_name.values():
        if service.profile == change.name:
            return Failure(
                InvalidChange(
                    f"service {service.service!r} uses profile {change.name!r}",
                    f"select another with 'jayswitchctl services set {service.service}"
                    " --profile NAME' first",
                )
            )
    return OK


@apply_change.register
def _(change: ProfileDeleted, state: ConfigState, entry: Entry) -> None:
    del state.profiles_by_name[change.name]
    for move in state.active_moves():
        if move.profile == change.name:
            _end_move(move, state, entry.at_ms, False, REASON_REPLACED)


@check_change.register
def _(change: ServiceSet, state: ConfigState) -> CheckResult:
    if not change.service:
        return Failure(
            InvalidChange("the service has no name", "give the service a name")
        )
    if change.profile and change.profile not in state.profiles_by_name:
        return Failure(NoSuchObject("profile", change.profile))
    return OK


@apply_change.register
def _(change: ServiceSet, state: ConfigState, entry: Entry) -> None:
    state.services_by_name[change.service] = ServiceState(
        service=change.service, profile=change.profile
    )


@check_change.register
def _(change: ServiceDeleted, state: ConfigState) -> CheckResult:
    if change.service not in state.services_by_name:
        return Failure(NoSuchObject("service", change.service))
    for profile in state.profiles_by_name.values():
        if target_of(profile.profile, change.service) is not None:
            name = profile.profile.name
            return Failure(
                InvalidChange(
                    f"profile {name!r} depends on service {change.service!r}",
                    f"remove the target from profile {name!r} first",
                )
            )
    return OK


@apply_change.register
def _(change: ServiceDeleted, state: ConfigState, entry: Entry) -> None:
    del state.services_by_name[change.service]


@check_change.register
def _(change: DataCentreSet, state: ConfigState) -> CheckResult:
    current = state.data_centres_by_name.get(change.data_centre)
    found = current.version if current is not None else 0
    if not change.data_centre:
        return Failure(
            InvalidChange("the data centre has no name", "give the data centre's name")
        )
    if change.expected_version not in (ANY_VERSION, found):
        return Failure(
            VersionConflict(
                "data centre", change.data_centre, change.expected_version, found
            )
        )
    return OK


@apply_change.register
def _(change: DataCentreSet, state: ConfigState, entry: Entry) -> None:
    state.data_centres_by_name[change.data_centre] = DataCentreState(
        data_centre=change.data_centre, out=change.out, version=entry.index
    )


@check_change.register
def _(change: DriverTaken, state: ConfigState) -> CheckResult:
    if change.epoch != state.driver_epoch + 1:
        return Failure(StaleDriver(change.epoch, state.driver_epoch))
    return OK


@apply_change.register
def _(change: DriverTaken, state: ConfigState, entry: Entry) -> None:
    state.driver_epoch = change.epoch
    state.driver_node = change.node


@check_change.register
def _(change: MoveStepped, state: ConfigState) -> CheckResult:
    checked = _check_driver(change.move, change.epoch, state)
    if not is_successful(checked):
        return checked
    move = state.moves_by_id[change.move]
    if not move.percent <= change.percent <= FULL_PERCENT:
        return Failure(
            InvalidChange(
                f"move {move.id!r} cannot step from {move.percent}% to"
                f" {change.percent}%",
                "a share only grows; end the move to roll the version back",
            )
        )
    if change.at_ms > move.deadline_ms:
        return Failure(
            InvalidChange(
                f"the deadline of move {move.id!r} has passed",
                "end the move instead of stepping it",
            )
        )
    return OK


@apply_change.register
def _(change: MoveStepped, state: ConfigState, entry: Entry) -> None:
    move = state.moves_by_id[change.move]
    state.moves_by_id[move.id] = msgspec.structs.replace(
        move, percent=change.percent, stepped_ms=change.at_ms
    )


@check_change.register
def _(change: MoveEnded, state: ConfigState) -> CheckResult:
    checked = _check_driver(change.move, change.epoch, state)
    if not is_successful(checked):
        return checked
    move = state.moves_by_id[change.move]
    if change.done and change.at_ms > move.deadline_ms:
        return Failure(
            InvalidChange(
                f"move {move.id!r} cannot be completed after its deadline",
                "roll the version back and start a new move",
            )
        )
    return OK


@apply_change.register
def _(change: MoveEnded, state: ConfigState, entry: Entry) -> None:
    move = state.moves_by_id[change.move]
    _end_move(move, state, change.at_ms, change.done, change.reason)
    if not change.done:
        _restore_version(move, state, entry)
    _trim_ended_moves(state)


@check_change.register
def _(change: MoveAborted, state: ConfigState) -> CheckResult:
    return _check_active(change.move, state)


@apply_change.register
def _(change: MoveAborted, state: ConfigState, entry: Entry) -> None:
    move = state.moves_by_id[change.move]
    _end_move(move, state, change.at_ms, False, REASON_ABORTED)
    _restore_version(move, state, entry)
    _trim_ended_moves(state)


def _check_active(move_id: str, state: ConfigState) -> CheckResult:
    move = state.moves_by_id.get(move_id)
    if move is None or not move.active:
        return Failure(MoveNotActive(move_id))
    return OK


def _check_driver(move_id: str, epoch: int, state: ConfigState) -> CheckResult:
    if epoch != state.driver_epoch:
        return Failure(StaleDriver(epoch, state.driver_epoch))
    return _check_active(move_id, state)


def _start_moves(
    previous: Profile, profile: Profile, state: ConfigState, entry: Entry
) -> None:
    for before in previous.targets:
        target = target_of(profile, before.service)
        if target is None or target.version != before.version:
            _replace_move(before, target, profile.name, state, entry)


def _replace_move(
    before: Target,
    target: Target | None,
    profile: str,
    state: ConfigState,
    entry: Entry,
) -> None:
    initial_version = before.version
    current = state.active_move(profile, before.service)
    if current is not None:
        initial_version = current.from_version
        _end_move(current, state, entry.at_ms, False, REASON_REPLACED)
    if target is None or target.version == initial_version:
        return
    move_id = f"{profile}.{before.service}.{entry.index}"
    state.moves_by_id[move_id] = Move(
        id=move_id,
        profile=profile,
        service=before.service,
        from_version=initial_version,
        to_version=target.version,
        started_ms=entry.at_ms,
        deadline_ms=entry.at_ms + target.move_within_ms,
        trial_percent=target.trial_percent,
        stepped_ms=entry.at_ms,
    )


def _end_move(
    move: Move, state: ConfigState, at_ms: int, done: bool, reason: str
) -> None:
    state.moves_by_id[move.id] = msgspec.structs.replace(
        move,
        ended_ms=max(at_ms, 1),
        done=done,
        reason=reason,
        percent=FULL_PERCENT if done else 0,
    )


def _restore_version(move: Move, state: ConfigState, entry: Entry) -> None:
    current = state.profiles_by_name.get(move.profile)
    if current is None:
        return
    targets = [
        (
            msgspec.structs.replace(target, version=move.from_version)
            if target.service == move.service
            else target
        )
        for target in current.profile.targets
    ]
    profile = msgspec.structs.replace(current.profile, targets=targets)
    summary = f"{move.service} back to {move.from_version}"
    _store_profile(profile, state, entry, summary)


def _store_profile(
    profile: Profile, state: ConfigState, entry: Entry, summary: str
) -> None:
    previous = state.profiles_by_name.get(profile.name)
    item = HistoryItem(
        version=entry.index, author=entry.author, at_ms=entry.at_ms, summary=summary
    )
    history = [] if previous is None else previous.history
    state.profiles_by_name[profile.name] = ProfileState(
        profile=profile,
        version=entry.index,
        history=[*history, item][-MAX_HISTORY_ITEMS:],
    )


def _trim_ended_moves(state: ConfigState) -> None:
    ended = [move for move in state.moves_by_id.values() if not move.active]
    ended.sort(key=lambda move: (move.ended_ms, move.id))
    for move in ended[:-MAX_ENDED_MOVES]:
        del state.moves_by_id[move.id]
