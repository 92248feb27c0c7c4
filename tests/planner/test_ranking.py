from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.duration import MovingAverage
from magnoliapitch.planner.ranking import RANK_REFRESH_INTERVAL_MS
from magnoliapitch.planner.ranking import rank_of
from magnoliapitch.workload.job import StepSpec
from tests.planner.test_planner import SIZE
from tests.planner.test_planner import STEP
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedStep


def make_step() -> TrackedStep:
    state = make_state()
    add_job(state, StepSpec(2, SIZE, estimate_ms=400))
    step = state.step(STEP)
    assert step is not None
    return step


# The ranks of a long backlog were computed anew in every round.
def test_a_rank_is_kept_until_its_lateness_changes() -> None:
    step, durations = make_step(), MovingAverage()
    first = rank_of(step, durations, 0)
    assert first.lateness == 0
    last_ms = int(first.latest_start_ms)
    assert last_ms < RANK_REFRESH_INTERVAL_MS
    assert rank_of(step, durations, last_ms) is first
    late = rank_of(step, durations, last_ms + 1)
    assert late.lateness == 1
    assert rank_of(step, durations, last_ms + 2) is late


def test_a_rank_follows_what_is_learned_after_a_while() -> None:
    step, durations = make_step(), MovingAverage()
    first = rank_of(step, durations, 0)
    kept_ms = int(first.latest_start_ms) + 1
    late = rank_of(step, durations, kept_ms)
    later = rank_of(step, durations, RANK_REFRESH_INTERVAL_MS)
    assert later is not late
    assert step.rank_computed_ms == RANK_REFRESH_INTERVAL_MS


def test_a_job_that_is_useless_by_now_ranks_last() -> None:
    step, durations = make_step(), MovingAverage()
    late = rank_of(step, durations, 901)
    last_ms = int(late.latest_start_ms)
    assert rank_of(step, durations, last_ms).lateness == 1
    assert rank_of(step, durations, last_ms + 1).lateness == 2
