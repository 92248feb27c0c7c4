"""Limits on what one submitted job may hold."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.workload.job import JobSpec


# The leader keeps a state for each task of every occurrence.
MAX_TASKS_PER_JOB = 20_000
# Larger numbers are not exact in JSON.
MAX_NUMBER = 1 << 53


def check_job_size(job: JobSpec) -> None:
    """Check that a job cannot exhaust the leader.

    :raises ValueError: if it has too many tasks or too large a number.
    """
    largest = max(_numbers(job), key=abs)
    if abs(largest) > MAX_NUMBER:
        raise ValueError(
            f"the job has the number {largest:.3e}; at most {MAX_NUMBER} is "
            "allowed"
        )
    task_count = job.occurrences * sum(step.task_count for step in job.steps)
    if task_count > MAX_TASKS_PER_JOB:
        raise ValueError(
            f"the job has {task_count} tasks in all occurrences; at most "
            f"{MAX_TASKS_PER_JOB} are allowed"
        )


def _numbers(values: Iterable[Any]) -> Iterable[int]:
    for value in values:
        if isinstance(value, int):
            yield value
        elif isinstance(value, tuple):
            yield from _numbers(value)
