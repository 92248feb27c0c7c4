"""Names of steps and tasks as the platform writes them."""

from __future__ import annotations

from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import TaskKey


def encode_task(task: TaskKey) -> str:
    """Return ``ID.OCCURRENCE.STEP.POSITION``."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.position}"


def encode_step(step: StepKey) -> str:
    """Return ``ID.OCCURRENCE.STEP``."""
    return f"{step.job_id}.{step.occurrence}.{step.step}"


def decode_task(name: str) -> TaskKey:
    """Parse the name of a task.

    :raises ValueError: if it is none.
    """
    job_id, occurrence, step, position = name.split(".")
    return TaskKey(job_id, int(occurrence), int(step), int(position))
