"""What a newer configuration changes in the scheduler's state."""

from __future__ import annotations

import sys

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.event import log_event
from magnoliapitch.planner.job_closing import JobClosing
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.configuration import Queue


class _Change(NamedTuple):
    """Attempts of a queue that differ from those in force for a job.

    :param former: attempts in force for the job before.
    :param configured: attempts in the newer configuration.
    :param attempts: attempts in force for the job from now on.
    """

    queue: str
    former: int
    configured: int
    attempts: int


def apply_configuration(
    state: SchedulerState, configuration: Configuration | None
) -> None:
    """Replace the queues of the jobs and the workspaces.

    Jobs whose queue is not defined any more keep it. Each keeps at least the
    attempts that it was accepted with; those that have failed by the attempts
    in force for them are closed. Usage is summed afresh, since the runs of a
    queue may have another priority now.

    :param configuration: None if none was read yet, which changes nothing.
    """
    if configuration is None:
        return
    changes: Counter[_Change] = Counter()
    for job in state.jobs_by_id.values():
        queue = configuration.queues_by_name.get(job.spec.queue)
        if queue is not None:
            change = _replace_queue(job, queue)
            changes[change] += job.outcome is JobOutcome.OPEN
            _close_if_failed(state, job, change, configuration.version)
        for step in job.all_steps():
            step.start_limit = sys.maxsize
            step.is_held = False
            step.is_beyond_share = False
    _log_changes(changes, configuration.version)
    state.workspaces_by_name = configuration.workspaces_by_name
    state.workspace_usage.recount(
        run for worker in state.workers_by_id.values() for run in worker.runs
    )


def _replace_queue(job: TrackedJob, queue: Queue) -> _Change:
    former = job.queue.attempts
    job.queue = queue.for_job(job.spec.accepting_queue)
    return _Change(queue.name, former, queue.attempts, job.queue.attempts)


def _close_if_failed(
    state: SchedulerState, job: TrackedJob, change: _Change, version: int
) -> None:
    if change.attempts != change.former and job.has_failed_step():
        state.close_job(
            job, JobClosing.attempts_lowered(job, change.former, version)
        )


def _log_changes(changes: Counter[_Change], version: int) -> None:
    """Log the attempts that have changed.

    :param changes: number of open jobs by change.
    """
    for change, open_jobs in changes.items():
        if open_jobs and change.configured != change.former:
            log_event(
                "attempts-changed",
                queue=change.queue,
                former_attempts=change.former,
                configured_attempts=change.configured,
                attempts=change.attempts,
                open_jobs=open_jobs,
                version=version,
            )
