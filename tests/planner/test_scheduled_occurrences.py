"""Recurring jobs, of which few occurrences are due at a time."""

from __future__ import annotations

import tracemalloc

from magnoliapitch.planner import SchedulerState
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import TaskProgress


QUEUE = Queue("q", "h", "/", "app")
START_MS = 1_000_000
INTERVAL_MS = 60_000
RUN_COUNT = 2_000
# A daemon has 256 MB for 140 teams with some hundred recurring jobs each.
MAX_JOB_BYTES = 5_000


def recurring(job_id: str = "a", start_ms: int = START_MS) -> JobSpec:
    steps = (StepSpec(10), StepSpec(1, depends_on=(0,)))
    return JobSpec(job_id, "q", "", steps, RUN_COUNT, start_ms, INTERVAL_MS)


def waiting(state: SchedulerState) -> set[StepKey]:
    return set(state.waiting_steps)


def first_steps(occurrences: range, job_id: str = "a") -> set[StepKey]:
    return {StepKey(job_id, number, 0) for number in occurrences}


# The leader kept every task of all occurrences: some tens of such jobs, first
# due in an hour, took more time than a claim lasts and all of its memory.
def test_occurrences_that_are_not_due_use_no_memory() -> None:
    state = SchedulerState()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(100):
        state.add_job(recurring(f"j{number}"), QUEUE, 0)
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    assert used_bytes < 100 * MAX_JOB_BYTES
    state.open_due_steps(0, START_MS - 1)
    assert not state.waiting_steps


def test_each_occurrence_starts_when_it_is_due() -> None:
    state = SchedulerState()
    state.add_job(recurring(), QUEUE, 0)
    state.open_due_steps(0, START_MS - 1)
    assert waiting(state) == set()
    state.open_due_steps(1, START_MS)
    assert waiting(state) == first_steps(range(1))
    state.open_due_steps(2, START_MS + INTERVAL_MS - 1)
    assert waiting(state) == first_steps(range(1))
    # A leader that begins late finds several due.
    state.open_due_steps(3, START_MS + 3 * INTERVAL_MS)
    assert waiting(state) == first_steps(range(4))


def test_all_occurrences_of_a_job_without_an_interval_are_due_at_once() -> (
    None
):
    state = SchedulerState()
    spec = recurring()._replace(run_count=20, interval_ms=0)
    state.add_job(spec, QUEUE, 0)
    state.open_due_steps(1, START_MS)
    assert waiting(state) == first_steps(range(20))


def test_no_occurrence_of_a_cancelled_job_becomes_due() -> None:
    state = SchedulerState()
    state.add_job(recurring(), QUEUE, 0)
    state.open_due_steps(1, START_MS)
    state.cancel_job("a")
    state.remove_job("a")
    later_ms = START_MS + 2 * INTERVAL_MS
    state.add_job(recurring(start_ms=later_ms), QUEUE, 0)
    state.open_due_steps(2, later_ms - 1)
    assert waiting(state) == set()
    state.open_due_steps(3, later_ms)
    assert waiting(state) == first_steps(range(1))


def test_the_progress_of_a_later_occurrence_is_restored() -> None:
    """A former leader's clock may have been ahead of this one's."""
    state = SchedulerState()
    done = {
        TaskKey("a", 3, 0, position): TaskProgress(1, is_done=True)
        for position in range(10)
    }
    progress = JobProgress("a", JobOutcome.OPEN, done)
    state.add_job(recurring(), QUEUE, 0, progress)
    assert state.progress("a") == progress
    state.open_due_steps(1, START_MS + 2 * INTERVAL_MS)
    assert waiting(state) == first_steps(range(3))
    state.open_due_steps(2, START_MS + 3 * INTERVAL_MS)
    assert waiting(state) == first_steps(range(3)) | {StepKey("a", 3, 1)}


def test_a_recurring_job_is_done_with_its_last_occurrence() -> None:
    state = SchedulerState()
    spec = recurring()._replace(run_count=2, steps=(StepSpec(1),))
    done = {TaskKey("a", 0, 0, 0): TaskProgress(1, is_done=True)}
    first = JobProgress("a", JobOutcome.OPEN, done)
    assert state.add_job(spec, QUEUE, 0, first).outcome is JobOutcome.OPEN
    done[TaskKey("a", 1, 0, 0)] = TaskProgress(1, is_done=True)
    state = SchedulerState()
    state.add_job(spec, QUEUE, 0, JobProgress("a", JobOutcome.OPEN, done))
    assert state.jobs_by_id["a"].outcome is JobOutcome.COMPLETED
