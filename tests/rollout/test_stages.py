"""Tests of the steps of a move over its duration."""

from __future__ import annotations

from jayswitch.rollout.stages import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    MoveView,
    Step,
    next_step,
)

DURATION_MS = 12_000.0
STEP_MS = 250.0


def _simulate_move(good_per_s: float, upstreams: int = 3) -> list[tuple[float, Step]]:
    """Returns the steps, with their times, of a move with a rate of good answers."""
    step = Step(RUNNING, 0.0)
    steps: list[tuple[float, Step]] = []
    stage_ms = 0.0
    elapsed_ms = 0.0
    while elapsed_ms <= DURATION_MS + 1000 and step.state == RUNNING:
        view = MoveView(
            share=step.share,
            elapsed_ms=elapsed_ms,
            stage_ms=stage_ms,
            duration_ms=DURATION_MS,
            good_answers=int(good_per_s * elapsed_ms / 1000),
            upstreams=upstreams,
        )
        due = next_step(view)
        if due != step:
            steps.append((elapsed_ms, due))
            step, stage_ms = due, 0.0
        elapsed_ms += STEP_MS
        stage_ms += STEP_MS
    return steps


class TestSteps:
    """A good version completes in time; one without good answers is rolled back."""

    def test_good_version_is_completed_before_its_deadline(self) -> None:
        steps = _simulate_move(good_per_s=5)
        at_ms, last = steps[-1]
        assert last.state == COMPLETED
        assert at_ms < DURATION_MS
        shares = [step.share for _, step in steps]
        assert shares == sorted(shares)

    def test_old_upstreams_are_idle_before_the_move_completes(self) -> None:
        steps = _simulate_move(good_per_s=5)
        at_ms_by_step = {(step.state, step.share): at for at, step in steps}
        full = at_ms_by_step[(RUNNING, 1.0)]
        assert at_ms_by_step[(COMPLETED, 1.0)] - full >= 2000

    def test_version_without_good_answers_is_rolled_back(self) -> None:
        steps = _simulate_move(good_per_s=0)
        assert steps[-1][1].state == ROLLED_BACK
        assert max(step.share for _, step in steps) <= 0.05

    def test_move_without_upstreams_is_rolled_back(self) -> None:
        steps = _simulate_move(good_per_s=5, upstreams=0)
        assert [step for _, step in steps] == [Step(ROLLED_BACK, 0.0)]
