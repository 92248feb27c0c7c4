"""Progress of jobs and tasks, as it is stored."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.workload.job import TaskKey


# The progress of more tasks is stored in several records, each of which is to
# stay below the store's limit.
TASKS_PER_PROGRESS_RECORD = 500
# Longer checkpoints are not kept.
MAX_CHECKPOINT_BYTES = 128


class JobOutcome(StrEnum):
    """Final state of a job; ``OPEN`` while it has not ended."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Placement(NamedTuple):
    """A run that was ordered and whose end is not known.

    :param run: number of the run.
    :param worker_id: worker that was ordered to start it, or that it was
        moved to.
    :param has_ended_with_worker: whether it has ended with the worker's
        former incarnation, so that only a late order could begin it again.
    """

    run: int
    worker_id: str
    has_ended_with_worker: bool = False


class TaskProgress(NamedTuple):
    """Progress of a task.

    :param runs: highest run number ordered so far; 0 before the first.
    :param failures: number of runs that ended as ``failed``; of a
        long-running step, of those in a row that ended early.
    :param checkpoint: newest saved checkpoint; empty if there is none.
    :param placements: runs that may still be active.
    :param worker_crashes: number of workers that certainly ended while a run
        of the task may have been active there.
    :param worker_losses: number of workers that were lost likewise, but may
        only have been cut off.
    :param failed_runs: numbers of the newest ones among ``failures``; of a
        former release's progress they are not known.
    :param proven_crashes: number of ``worker_crashes`` that had certainly
        begun the run.
    """

    runs: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    placements: tuple[Placement, ...] = ()
    worker_crashes: int = 0
    worker_losses: int = 0
    failed_runs: tuple[int, ...] = ()
    proven_crashes: int = 0


class JobProgress(NamedTuple):
    """Progress of a job.

    :param tasks_by_key: tasks with at least one ordered run; the others have
        no progress yet.
    :param has_begun: whether a worker has certainly begun one of the tasks.
    """

    job_id: str
    outcome: JobOutcome
    tasks_by_key: Mapping[TaskKey, TaskProgress]
    has_begun: bool = False
