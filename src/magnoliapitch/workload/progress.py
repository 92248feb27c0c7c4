"""How far a job is, as it is stored and shared."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.workload.job import TaskKey


class JobOutcome(StrEnum):
    """Final state of a job; ``OPEN`` until there is one."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Placement(NamedTuple):
    """A run that has been ordered and whose end is not known.

    :param worker_id: where it was ordered.
    """

    run: int
    worker_id: str


class TaskProgress(NamedTuple):
    """How far a task is.

    :param runs: highest run number ordered so far.
    :param failures: runs that ended ``failed``.
    :param checkpoint: newest saved progress, or empty.
    :param placements: runs that may be going on.
    """

    runs: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    placements: tuple[Placement, ...] = ()


class JobProgress(NamedTuple):
    """How far a job is.

    :param tasks_by_key: tasks that have been ordered at least once; the
        others are untouched.
    :param has_begun: a worker has surely begun one of the tasks.
    """

    job_id: str
    outcome: JobOutcome
    tasks_by_key: Mapping[TaskKey, TaskProgress]
    has_begun: bool = False
