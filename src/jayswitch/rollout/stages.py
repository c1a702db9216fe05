"""Schedule of the stages in which a service's traffic moves to another version.

Proxies use it; the moves of nodes are scheduled in driver.py.
"""

from __future__ import annotations

import msgspec

RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"


class Stage(msgspec.Struct, frozen=True):
    """A share of the requests, and the fraction of the move from which it may begin.

    from_part is a fraction of the move's duration.
    """

    share: float
    from_part: float


# A bad version may receive at most a tenth of all requests of the move. The first
# stage stays at half of that, because most faults show there. The later stages are
# short, because there the version receives enough requests to be judged at once.
STAGES = (
    Stage(0.05, 0.0),
    Stage(0.3, 0.4),
    Stage(0.6, 0.52),
    Stage(1.0, 0.62),
)
# Fraction of the move's duration before which it is not completed.
MIN_COMPLETE_PART = 0.74
# Requests already sent to upstreams of the old version end within this time.
MIN_LAST_STAGE_MS = 2000.0
MIN_STAGE_MS = 900.0
# Good answers required before the share grows past the first stage.
MIN_GOOD_ANSWERS = 12


class MoveView(msgspec.Struct, frozen=True):
    """The inputs for the decision on a move's next step.

    elapsed_ms counts from the order, stage_ms from the last step. good_answers and
    upstreams are those of the new version in the whole fleet.
    """

    share: float
    elapsed_ms: float
    stage_ms: float
    duration_ms: float
    good_answers: int
    upstreams: int


class Step(msgspec.Struct, frozen=True):
    """The state and the share that a move should have."""

    state: str
    share: float


def next_step(view: MoveView) -> Step:
    """Returns the step that is due, or the current state and share if none is."""
    elapsed_part = view.elapsed_ms / view.duration_ms
    current = Step(RUNNING, view.share)
    if view.share >= 1.0 and view.upstreams:
        can_complete = (
            elapsed_part >= MIN_COMPLETE_PART and view.stage_ms >= MIN_LAST_STAGE_MS
        )
        return Step(COMPLETED, 1.0) if can_complete else current
    if elapsed_part >= 1.0:
        return Step(ROLLED_BACK, 0.0)
    if not view.upstreams:
        return current
    if view.share > 0 and view.stage_ms < MIN_STAGE_MS:
        return current
    if view.share > 0 and view.good_answers < MIN_GOOD_ANSWERS:
        return current
    upcoming = [stage for stage in STAGES if stage.share > view.share]
    if elapsed_part < upcoming[0].from_part:
        return current
    return Step(RUNNING, upcoming[0].share)
