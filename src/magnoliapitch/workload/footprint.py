"""Memory that a job takes of the leader until it has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.workload.job_limits import MAX_OPEN_TASKS_OF_RECURRING_JOB


if TYPE_CHECKING:
    from magnoliapitch.workload.job import JobSpec


JOB_BYTES = 2_000
# As it was submitted, encoded and decoded.
SPECIFIED_STEP_BYTES = 500
# In each open occurrence.
STEP_BYTES = 1_700
TASK_BYTES = 400
FINISHED_TASK_BYTES = 24


def footprint_bytes(job: JobSpec) -> int:
    """Return how much memory a job takes of the leader at most, in bytes.

    Of a recurring job a part of the occurrences is open at a time.
    """
    task_count = max(1, sum(step.task_count for step in job.steps))
    open_occurrences = min(
        job.occurrences, max(1, MAX_OPEN_TASKS_OF_RECURRING_JOB // task_count)
    )
    if not job.run_count:
        open_occurrences = 1
    finished_tasks = (job.occurrences - open_occurrences) * task_count
    occurrence_bytes = len(job.steps) * STEP_BYTES + task_count * TASK_BYTES
    return (
        JOB_BYTES
        + 2 * len(job.payload)
        + len(job.steps) * SPECIFIED_STEP_BYTES
        + open_occurrences * occurrence_bytes
        + finished_tasks * FINISHED_TASK_BYTES
    )


__all__ = ["footprint_bytes"]
