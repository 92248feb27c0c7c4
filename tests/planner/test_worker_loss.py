from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.planner.scheduler_state import SchedulerState
from magnoliapitch.planner.worker_loss import HARMLESS_AFTER_MS
from magnoliapitch.planner.worker_loss import count_crash
from magnoliapitch.planner.worker_loss import count_loss
from magnoliapitch.planner.worker_loss import suspect_runs
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun


SIZE = Resources(1_000, 1_000)
KEY = TaskKey("job", 0, 0, 0)
BESIDE = TaskKey("beside", 0, 0, 0)


def make_state() -> SchedulerState:
    state = SchedulerState()
    for job_id in ("job", "beside"):
        spec = JobSpec(job_id, "q", "text", (StepSpec(1, SIZE),))
        state.add_job(spec, queue("q"), 0)
    return state


def start(
    state: SchedulerState,
    key: TaskKey = KEY,
    *,
    is_sent: bool = True,
    is_confirmed: bool = True,
) -> TrackedRun:
    task = state.task(key)
    assert task is not None
    state.update_worker(workers(1)[0])
    run = state.add_ordered_run(key, task.runs + 1, "w000", 0)
    run.order_sent_ms = 0 if is_sent else None
    if is_confirmed:
        state.confirm_run(run, 0)
    return run


def lose(
    state: SchedulerState, *, has_crashed: bool = True, now_ms: int = 10
) -> None:
    lost = suspect_runs(state.workers_by_id["w000"], now_ms)
    state.remove_worker("w000")
    if has_crashed:
        count_crash(state, lost)
    else:
        count_loss(state, lost)


def outcome(state: SchedulerState) -> JobOutcome:
    return state.jobs_by_id["job"].outcome


def losses(state: SchedulerState, key: TaskKey = KEY) -> int:
    task = state.task(key)
    assert task is not None
    return task.lost_worker_count


def test_a_task_that_was_alone_is_given_up_after_three_crashes() -> None:
    state = make_state()
    for _ in range(2):
        start(state)
        lose(state)
    assert outcome(state) is JobOutcome.OPEN
    assert KEY in state.suspects_by_key
    start(state)
    lose(state)
    assert outcome(state) is JobOutcome.FAILED


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_a_task_that_was_not_surely_alone_is_given_up_after_four(
    is_confirmed: bool,
) -> None:
    state = make_state()
    for _ in range(3):
        start(state, is_confirmed=is_confirmed)
        if is_confirmed:
            start(state, BESIDE)
        lose(state)
    assert outcome(state) is JobOutcome.OPEN
    start(state, is_confirmed=is_confirmed)
    if is_confirmed:
        start(state, BESIDE)
    lose(state)
    assert outcome(state) is JobOutcome.FAILED


# Incident LOST: a task was given up after three workers of which one had begun
# it, since orders that were not answered counted as much as runs.
@pytest.mark.parametrize("unproven_count", [1, 2])
def test_crashes_under_orders_that_were_not_answered_do_not_suffice(
    unproven_count: int,
) -> None:
    state = make_state()
    for number in range(3):
        start(state, is_confirmed=number >= unproven_count)
        lose(state)
    assert outcome(state) is JobOutcome.OPEN
    assert KEY in state.suspects_by_key


def test_workers_that_may_only_be_cut_off_give_no_task_up() -> None:
    state = make_state()
    for _ in range(8):
        start(state)
        lose(state, has_crashed=False)
    assert outcome(state) is JobOutcome.OPEN
    assert KEY in state.suspects_by_key


def test_a_run_that_was_not_ordered_is_not_counted() -> None:
    state = make_state()
    start(state, is_sent=False, is_confirmed=False)
    lose(state)
    assert losses(state) == 0


def test_a_run_that_was_active_for_long_is_not_counted() -> None:
    state = make_state()
    start(state)
    lose(state, now_ms=HARMLESS_AFTER_MS)
    assert losses(state) == 0


def test_a_worker_that_was_leaving_is_not_counted() -> None:
    state = make_state()
    start(state)
    state.update_worker(workers(1)[0]._replace(is_draining=True))
    lose(state)
    assert losses(state) == 0


def test_counts_are_stored_and_restored() -> None:
    state = make_state()
    for has_crashed in (True, False):
        start(state)
        lose(state, has_crashed=has_crashed)
    progress = state.progress("job")
    restored = SchedulerState()
    spec = state.jobs_by_id["job"].spec
    restored.add_job(spec, queue("q"), 0, progress)
    task = restored.task(KEY)
    assert task is not None
    counts = (task.worker_crashes, task.proven_crashes, task.worker_losses)
    assert counts == (1, 1, 1)
    assert KEY in restored.suspects_by_key
