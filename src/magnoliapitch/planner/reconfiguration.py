"""What a newer configuration changes in the scheduler's state."""

from __future__ import annotations

import sys

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.planner.job_closing import JobClosing
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.workload.configuration import Configuration


def apply_configuration(
    state: SchedulerState, configuration: Configuration | None
) -> None:
    """Replace the queues of the jobs and the workspaces.

    Jobs whose queue is not defined any more keep it. Those that have failed
    by the attempts of their queue are closed. Usage is summed afresh, since
    the runs of a queue may have another priority now.

    :param configuration: None if none was read yet, which changes nothing.
    """
    if configuration is None:
        return
    changes: Counter[tuple[str, int, int]] = Counter()
    for job in state.jobs_by_id.values():
        queue = configuration.queues_by_name.get(job.spec.queue)
        attempts = job.queue.attempts
        job.queue = queue or job.queue
        if job.queue.attempts != attempts:
            change = (job.spec.queue, attempts, job.queue.attempts)
            changes[change] += job.outcome is JobOutcome.OPEN
            if job.has_failed_step():
                state.close_job(
                    job,
                    JobClosing.attempts_lowered(
                        job, attempts, configuration.version
                    ),
                )
        for step in job.all_steps():
            step.start_limit = sys.maxsize
            step.is_held = False
            step.is_beyond_share = False
    _log_changes(changes, configuration.version)
    state.workspaces_by_name = configuration.workspaces_by_name
    state.workspace_usage.recount(
        run for worker in state.workers_by_id.values() for run in worker.runs
    )


def _log_changes(changes: Counter[tuple[str, int, int]], version: int) -> None:
    """Log the attempts that have changed.

    :param changes: number of open jobs by queue, former and new attempts.
    """
    for (queue, former, attempts), open_jobs in changes.items():
        if open_jobs:
            log_event(
                "attempts-changed",
                queue=queue,
                former_attempts=former,
                attempts=attempts,
                open_jobs=open_jobs,
                version=version,
            )
