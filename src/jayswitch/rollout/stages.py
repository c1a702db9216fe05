"""When a move of a service to another version takes its next step."""

from __future__ import annotations

import msgspec

RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"


class Stage(msgspec.Struct, frozen=True):
    """A share of the requests and the part of the time from which it may begin."""

    share: float
    from_part: float


# A bad version may get a tenth of the requests of the whole time: the first stage
# stays at half of that while most kinds of badness show, and the later ones are
# short, because there the version gets enough requests to be judged at once.
STAGES = (
    Stage(0.05, 0.0),
    Stage(0.3, 0.4),
    Stage(0.6, 0.52),
    Stage(1.0, 0.62),
)
COMPLETE_FROM_PART = 0.74
# Requests that were sent to the old version's upstreams have ended by then.
LAST_STAGE_MS = 2000.0
SHORTEST_STAGE_MS = 900.0
# Good answers that have to be seen before the share grows past the first stage.
PROOF_ANSWERS = 12


class MoveView(msgspec.Struct, frozen=True):
    """What is known of a move when its next step is decided.

    elapsed_ms counts from the order, stage_ms from the last step.
    """

    share: float
    elapsed_ms: float
    stage_ms: float
    duration_ms: float
    good_answers: int
    upstreams: int


class Step(msgspec.Struct, frozen=True):
    """The state and share that a move should have."""

    state: str
    share: float


def next_step(view: MoveView) -> Step:
    """Returns the step that is due; the present state and share if none is."""
    part = view.elapsed_ms / view.duration_ms
    present = Step(RUNNING, view.share)
    if view.share >= 1.0 and view.upstreams:
        late = part >= COMPLETE_FROM_PART and view.stage_ms >= LAST_STAGE_MS
        return Step(COMPLETED, 1.0) if late else present
    if part >= 1.0:
        return Step(ROLLED_BACK, 0.0)
    if not view.upstreams:
        return present
    if view.share > 0 and view.stage_ms < SHORTEST_STAGE_MS:
        return present
    if view.share > 0 and view.good_answers < PROOF_ANSWERS:
        return present
    upcoming = [stage for stage in STAGES if stage.share > view.share]
    if part < upcoming[0].from_part:
        return present
    return Step(RUNNING, upcoming[0].share)
