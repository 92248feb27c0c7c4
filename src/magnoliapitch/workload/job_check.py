"""Checks that a job can be planned, whoever has sent or stored it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepSpec


# The leader keeps every task of a job in memory.
MAX_TASKS_PER_JOB = 20_000
# Larger numbers are not exact in JSON.
MAX_NUMBER = 1 << 53


def check_job(job: JobSpec) -> JobSpec:
    """Return the job if the leader can plan it.

    One job that it cannot plan would otherwise end the leader's rounds, and
    those of every leader after it.

    :raises ValueError: if a number is out of range, a step depends on one
        that is not earlier, or there are too many tasks.
    """
    largest = max(_numbers(job), key=abs)
    if abs(largest) > MAX_NUMBER:
        raise ValueError(
            f"the job has the number {largest:.3e}; at most {MAX_NUMBER} is "
            "allowed"
        )
    if not job.steps:
        raise ValueError("the job has no steps")
    if job.run_count < 0 or job.interval_ms < 0:
        raise ValueError(
            f"run count {job.run_count} and interval {job.interval_ms} ms "
            "must not be negative"
        )
    for number, step in enumerate(job.steps):
        _check_step(number, step)
    task_count = job.occurrences * sum(step.task_count for step in job.steps)
    if task_count > MAX_TASKS_PER_JOB:
        raise ValueError(
            f"the job has {task_count} tasks over all its occurrences; at "
            f"most {MAX_TASKS_PER_JOB} are allowed"
        )
    return job


def _check_step(number: int, step: StepSpec) -> None:
    if step.task_count < 1:
        raise ValueError(
            f"a step has {step.task_count} tasks; at least 1 is required"
        )
    if any(not 0 <= earlier < number for earlier in step.depends_on):
        raise ValueError(
            f"step {number} depends on steps {step.depends_on}; only "
            "earlier steps are allowed"
        )
    if min(step.estimate_ms, step.max_per_worker, *step.resources) < 0:
        raise ValueError(
            f"step {number} has a negative estimate, amount of resources or "
            "number of tasks for each worker"
        )


def _numbers(values: Iterable[Any]) -> Iterable[int]:
    for value in values:
        if isinstance(value, int):
            yield value
        elif isinstance(value, tuple):
            yield from _numbers(value)


__all__ = ["MAX_TASKS_PER_JOB", "check_job"]
