"""Log fields that several events share."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict


if TYPE_CHECKING:
    from magnoliapitch.workload.job import TaskKey


class RunFields(TypedDict):
    """Fields that identify a run."""

    job: str
    step: int
    task: int
    run: int
    worker: str


def run_fields(task: TaskKey, number: int, worker_id: str) -> RunFields:
    """Return the fields that identify a run.

    :param number: number of the run.
    """
    return {
        "job": task.job_id,
        "step": task.step,
        "task": task.position,
        "run": number,
        "worker": worker_id,
    }
