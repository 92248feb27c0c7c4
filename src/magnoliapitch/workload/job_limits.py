"""Limits of the size of a job, which bound what one job costs a leader."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.workload.job import JobSpec


# Every start order carries the payload.
MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS_PER_JOB = 5_000
MAX_DEPENDENCIES_PER_JOB = 20_000
# What happens to one member concerns all others, so that the cost of a gang
# is quadratic.
MAX_TASKS_PER_GANG = 500
# In occurrences that are due and have not ended; a single one may have more.
MAX_OPEN_TASKS_OF_RECURRING_JOB = 1_000


class _Size(NamedTuple):
    name: str
    value: int
    limit: int


def find_limit_failure(job: JobSpec) -> Failure | None:
    """Return why a job is refused because of its size.

    Only new jobs are refused. Leaders also plan larger ones, which an older
    release has stored.
    """
    for size in _sizes(job):
        if size.value > size.limit:
            return too_large(size.value, size.name, size.limit)
    return None


def too_large(value: int, name: str, limit: int) -> Failure:
    """Return the failure of a job that exceeds a limit.

    :param name: what is limited, in the plural.
    """
    return not_run(
        FailureCode.INVALID,
        f"the job has {value} {name}; at most {limit} are allowed; the job "
        "was not stored",
    )


def _sizes(job: JobSpec) -> Iterator[_Size]:
    count = job.occurrences
    dependencies = sum(len(step.depends_on) for step in job.steps)
    gang_tasks = max(
        (step.task_count for step in job.steps if step.is_gang), default=0
    )
    payload = job.payload.encode("utf-8", "surrogatepass")
    yield _Size("bytes of `spec`", len(payload), MAX_PAYLOAD_BYTES)
    yield _Size(
        "steps over all its occurrences",
        count * len(job.steps),
        MAX_STEPS_PER_JOB,
    )
    yield _Size(
        "dependencies between steps over all its occurrences",
        count * dependencies,
        MAX_DEPENDENCIES_PER_JOB,
    )
    yield _Size("tasks in a gang", gang_tasks, MAX_TASKS_PER_GANG)


__all__ = [
    "MAX_DEPENDENCIES_PER_JOB",
    "MAX_OPEN_TASKS_OF_RECURRING_JOB",
    "MAX_PAYLOAD_BYTES",
    "MAX_STEPS_PER_JOB",
    "MAX_TASKS_PER_GANG",
    "find_limit_failure",
    "too_large",
]
