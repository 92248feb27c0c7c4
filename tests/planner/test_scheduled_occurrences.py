"""Recurring jobs, of which few occurrences are due at a time."""

from __future__ import annotations

import tracemalloc

from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.restore import progress_of
from magnoliapitch.planner.scheduled_occurrences import MAX_DUE_STEPS_PER_CALL
from magnoliapitch.planner.scheduled_occurrences import POSTPONED_INTERVAL_MS
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.job_limits import MAX_OPEN_TASKS_OF_RECURRING_JOB
from magnoliapitch.workload.progress import TASKS_PER_PROGRESS_RECORD
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import TaskProgress
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from tests.call_counter import CallCounter


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


def finish(state: SchedulerState, occurrence: int) -> None:
    """Run the tasks of an occurrence of one step to their end."""
    step = state.jobs_by_id["a"].steps[occurrence][0]
    for task in step.tasks:
        state.add_ordered_run(task.key, 1, "w", 0)
        end = EndedRun(1, task.key, 1, EndKind.DONE, "")
        state.record_end("w", end, 0)


def one_step(run_count: int = RUN_COUNT) -> JobSpec:
    return recurring()._replace(steps=(StepSpec(10),), run_count=run_count)


# Those of a job that ran each second were all kept until its end.
def test_of_an_occurrence_that_has_ended_only_the_progress_is_kept() -> None:
    state = SchedulerState()
    job = state.add_job(one_step(), QUEUE, 0)
    for number in range(60):
        state.open_due_steps(number, START_MS + number * INTERVAL_MS)
        finish(state, number)
    assert len(job.all_steps()) <= 1
    progress = state.progress("a")
    assert len(progress.tasks_by_key) == 600
    parts = [progress_of(job, part) for part in range(job.part_count)]
    assert sum(len(part.tasks_by_key) for part in parts) == 600
    assert len(parts[0].tasks_by_key) == TASKS_PER_PROGRESS_RECORD
    successor = SchedulerState()
    restored = successor.add_job(one_step(), QUEUE, 0, progress)
    assert successor.progress("a") == progress
    assert not restored.all_steps()
    # The new leader stores them as its own release does.
    assert restored.changed_parts == {0, 1}
    successor.open_due_steps(0, START_MS + 60 * INTERVAL_MS)
    assert waiting(successor) == first_steps(range(60, 61))


def test_an_end_is_not_news_to_an_occurrence_that_has_ended() -> None:
    state = SchedulerState()
    state.add_job(one_step(), QUEUE, 0)
    for number in range(2):
        state.open_due_steps(number, START_MS + number * INTERVAL_MS)
        finish(state, number)
    progress = state.progress("a")
    key = TaskKey("a", 0, 0, 3)
    failed = EndedRun(2, key, 1, EndKind.FAILED, "")
    assert not state.record_end("w", failed, 0)
    assert state.progress("a") == progress
    task = state.task(key)
    assert task is not None
    assert task.is_done
    assert not task.is_waiting


def test_a_job_whose_occurrences_were_put_away_completes() -> None:
    state = SchedulerState()
    job = state.add_job(one_step(3), QUEUE, 0)
    for number in range(3):
        assert job.outcome is JobOutcome.OPEN
        state.open_due_steps(number, START_MS + number * INTERVAL_MS)
        finish(state, number)
    assert job.outcome is JobOutcome.COMPLETED


# Workers that run nothing for hours let each minute add to the leader's
# memory.
def test_occurrences_that_do_not_end_are_limited_in_number() -> None:
    state = SchedulerState()
    job = state.add_job(one_step(), QUEUE, 0)
    end_ms = START_MS + RUN_COUNT * INTERVAL_MS
    state.open_due_steps(0, end_ms)
    assert len(state.waiting_steps) == MAX_OPEN_TASKS_OF_RECURRING_JOB // 10
    finish(state, 4)
    state.open_due_steps(1, end_ms + POSTPONED_INTERVAL_MS)
    assert len(state.waiting_steps) == MAX_OPEN_TASKS_OF_RECURRING_JOB // 10
    assert StepKey("a", 100, 0) in state.waiting_steps
    for number in range(RUN_COUNT):
        if StepKey("a", number, 0) not in state.waiting_steps:
            end_ms += POSTPONED_INTERVAL_MS
            state.open_due_steps(2, end_ms)
        if number != 4:
            finish(state, number)
    assert job.outcome is JobOutcome.COMPLETED


def test_an_occurrence_of_many_tasks_is_not_limited() -> None:
    state = SchedulerState()
    wide = one_step(3)._replace(
        steps=(StepSpec(MAX_OPEN_TASKS_OF_RECURRING_JOB + 1),)
    )
    state.add_job(wide, QUEUE, 0)
    state.open_due_steps(0, START_MS + 3 * INTERVAL_MS)
    assert waiting(state) == first_steps(range(1))


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


# A former release stored tasks of services as done when they ended.
def test_a_service_that_was_stored_as_done_is_started_again() -> None:
    state = SchedulerState()
    service = StepSpec(1, is_long_running=True)
    spec = recurring()._replace(steps=(service,))
    done = {TaskKey("a", 0, 0, 0): TaskProgress(1, is_done=True)}
    progress = JobProgress("a", JobOutcome.OPEN, done)
    state.add_job(spec, QUEUE, 0, progress)
    state.open_due_steps(1, START_MS)
    assert waiting(state) == first_steps(range(1))


def many_overdue(state: SchedulerState, job_count: int) -> int:
    """Add jobs all of whose occurrences are overdue; return the time."""
    spec = one_step()._replace(steps=(StepSpec(1),), interval_ms=100)
    for number in range(job_count):
        state.add_job(spec._replace(job_id=f"j{number}"), QUEUE, 0)
    return START_MS + RUN_COUNT * 100


# Twelve recurring jobs with 1,000 overdue occurrences each: the first round
# of each leader took seconds, and others claimed meanwhile, without end.
def test_no_round_takes_long_however_many_occurrences_are_overdue() -> None:
    state = SchedulerState()
    now_ms = many_overdue(state, 50)
    round_count = 0
    while state.has_due_steps(now_ms):
        with CallCounter() as calls:
            state.open_due_steps(round_count, now_ms)
        assert calls.duration_ms < LEADER_TIMEOUT_MS / 4
        round_count += 1
    open_count = len(state.waiting_steps) + state.steps_behind
    assert open_count == 50 * MAX_OPEN_TASKS_OF_RECURRING_JOB
    assert round_count <= 4 * open_count / MAX_DUE_STEPS_PER_CALL


# Each occurrence that became due paid for all that were open.
def test_an_occurrence_costs_the_same_however_many_are_open() -> None:
    state = SchedulerState()
    now_ms = many_overdue(state, 1)
    counts: list[int] = []
    for number in range(900):
        with CallCounter() as calls:
            state.open_due_steps(number, START_MS + number * 100)
        counts.append(calls.count)
    assert now_ms > START_MS + 900 * 100
    assert max(counts[800:]) <= 2 * max(counts[:100])


def test_what_was_due_first_is_opened_first() -> None:
    state = SchedulerState()
    now_ms = many_overdue(state, 4)
    late = recurring("late", now_ms - 1)
    state.add_job(late, QUEUE, 0)
    state.open_due_steps(0, now_ms)
    assert StepKey("late", 0, 0) not in state.waiting_steps
    counts = [
        sum(key.job_id == f"j{number}" for key in state.waiting_steps)
        for number in range(4)
    ]
    assert max(counts) - min(counts) <= 1
    while state.has_due_steps(now_ms):
        state.open_due_steps(0, now_ms)
    assert StepKey("late", 0, 0) in {
        *state.waiting_steps,
        *(step.key for step in state.jobs_by_id["late"].all_steps()),
    }


def test_an_occurrence_with_an_active_run_is_kept_until_it_has_ended() -> None:
    state = SchedulerState()
    job = state.add_job(one_step(), QUEUE, 0)
    state.open_due_steps(0, START_MS)
    task = job.steps[0][0].tasks[3]
    for worker_id in ("x", "y"):
        number = 1 + (worker_id == "y")
        state.add_ordered_run(task.key, number, worker_id, 0)
    for other in job.steps[0][0].tasks:
        if other is not task:
            state.add_ordered_run(other.key, 1, "w", 0)
            end = EndedRun(1, other.key, 1, EndKind.DONE, "")
            state.record_end("w", end, 0)
    state.record_end("x", EndedRun(1, task.key, 1, EndKind.DONE, ""), 0)
    state.open_due_steps(1, START_MS + INTERVAL_MS)
    assert job.steps.is_made(0)
    state.record_end("y", EndedRun(1, task.key, 2, EndKind.STOPPED, ""), 0)
    state.open_due_steps(2, START_MS + 2 * INTERVAL_MS)
    assert job.steps.is_put_away(0)


# A new leader took the occurrences that had ended one after the other.
def test_a_new_leader_passes_over_occurrences_that_have_ended() -> None:
    done = {
        TaskKey("a", number, 0, 0): TaskProgress(1, is_done=True)
        for number in range(RUN_COUNT - 1)
    }
    progress = JobProgress("a", JobOutcome.OPEN, done)
    spec = one_step()._replace(steps=(StepSpec(1),))
    state = SchedulerState()
    state.add_job(spec, QUEUE, 0, progress)
    with CallCounter() as calls:
        state.open_due_steps(0, START_MS + RUN_COUNT * INTERVAL_MS)
    assert waiting(state) == first_steps(range(RUN_COUNT - 1, RUN_COUNT))
    assert calls.count < RUN_COUNT
