"""Progress of a job as it is stored, and restoring a job from it."""

from __future__ import annotations

from bisect import bisect_right
from itertools import islice
from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.planner.step_dependencies import StepDependencies
from magnoliapitch.planner.tracked_task import MAX_KEPT_FAILED_RUNS
from magnoliapitch.workload.progress import TASKS_PER_PROGRESS_RECORD
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.planner.tracked_task import TrackedTask
    from magnoliapitch.workload.job import TaskKey
    from magnoliapitch.workload.progress import TaskProgress


def progress_of(job: TrackedJob, part: int | None = None) -> JobProgress:
    """Return the progress of a job in the form that is stored.

    :param part: number of the record whose tasks are wanted; None for all.
    """
    return JobProgress(
        job.spec.job_id,
        job.outcome,
        dict(_task_rows(job, part)),
        job.has_begun,
    )


def _task_rows(
    job: TrackedJob, part: int | None
) -> Iterator[tuple[TaskKey, TaskProgress]]:
    """Return the tasks of a record that were ever started."""
    begin, end = 0, job.steps.task_count
    if part is not None:
        begin = part * TASKS_PER_PROGRESS_RECORD
        end = min(end, begin + TASKS_PER_PROGRESS_RECORD)
    yield from job.steps.finished_rows(begin, end)
    steps = list(job.steps.made_steps_between(begin, end))
    index = bisect_right(steps, begin, key=lambda step: step.first_number)
    for step in islice(steps, max(0, index - 1), None):
        if step.first_number >= end:
            return
        first = max(0, begin - step.first_number)
        for task in step.made_tasks[first : end - step.first_number]:
            if task.runs:
                yield task.key, task.progress()


def restore_progress(
    state: SchedulerState,
    job: TrackedJob,
    progress: JobProgress,
    now_ms: int,
) -> None:
    """Set a new job's tasks and runs from its stored progress.

    Which runs are to be stopped is not stored but follows from the progress:
    those of an ended job, those of tasks that are done, those that a later
    run of the same task has followed, and those of a gang that has lost a
    member.
    """
    job.outcome = progress.outcome
    job.has_begun = progress.has_begun
    job.steps.put_away_stored(progress.tasks_by_key)
    for key, task_progress in progress.tasks_by_key.items():
        if job.steps.is_put_away(key.occurrence):
            continue
        task = state.task(key)
        if task is None:
            # Two submissions with one id: the other one had more tasks.
            log_event("record-unreadable", key=job.spec.job_id, reason=key)
            continue
        _restore_task(state, task, task_progress, now_ms)
    for step in job.all_steps():
        if not step.made_tasks:
            continue
        _finish_gang(state, step)
        step.unfinished_count = sum(not task.is_done for task in step.tasks)
        step.waiting_count = len(step.startable_tasks())
        _stop_incomplete_gang(state, step)
    job.dependencies = StepDependencies(job.steps)


def _restore_task(
    state: SchedulerState,
    task: TrackedTask,
    progress: TaskProgress,
    now_ms: int,
) -> None:
    # A former release stored the progress of all tasks in one record.
    task.note_change()
    task.restore(progress._replace(failed_runs=_failed_runs(progress)))
    if task.is_suspect:
        state.add_suspect(task)
    is_over = task.is_done or task.step.job.outcome is not JobOutcome.OPEN
    for placement in progress.placements:
        run = state.add_run(task, placement.run, placement.worker_id, now_ms)
        run.is_restored = True
        run.has_ended_with_worker = placement.has_ended_with_worker
        if is_over:
            state.mark_for_stop(run)
    if not task.step.spec.may_have_copies:
        _stop_superseded_runs(state, task)


def _failed_runs(progress: TaskProgress) -> tuple[int, ...]:
    """Return the numbers of the newest runs whose failure is counted.

    A former release stored only how many there were: each run that had ended
    may be one of them.
    """
    if progress.failed_runs or not progress.failures:
        return progress.failed_runs
    active = {placement.run for placement in progress.placements}
    ended = [
        number
        for number in range(1, progress.runs + 1)
        if number not in active
    ]
    return tuple(ended[-MAX_KEPT_FAILED_RUNS:])


def _stop_superseded_runs(state: SchedulerState, task: TrackedTask) -> None:
    """Mark all but the newest restored run of a task for stopping.

    The former leader had found an older run that it had taken as ended.
    """
    newest = max((run.number for run in task.active_runs), default=0)
    for run in task.active_runs:
        if run.number < newest:
            state.mark_for_stop(run)


def _finish_gang(state: SchedulerState, step: TrackedStep) -> None:
    """Take a gang as done if one member is, since it ends as a whole.

    Members in another record of the progress may not have been stored.
    """
    if step.spec.is_gang and any(task.is_done for task in step.tasks):
        for task in step.tasks:
            if not task.is_done:
                task.finish()
                for run in task.active_runs:
                    state.mark_for_stop(run)


def _stop_incomplete_gang(state: SchedulerState, step: TrackedStep) -> None:
    """Mark the restored members of a gang that has lost one for stopping.

    They would wait for the lost one, and the gang starts again only once
    none of them is active.
    """
    is_incomplete = 0 < step.waiting_count < step.spec.task_count
    if step.spec.is_gang and is_incomplete:
        state.stop_step(step)
