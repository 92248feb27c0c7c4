"""Encoding of step and task keys as the platform's names."""

from __future__ import annotations

from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import TaskKey


def encode_task(task: TaskKey) -> str:
    """Return the name of a task: ``JOB_ID.OCCURRENCE.STEP.POSITION``."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.position}"


def encode_step(step: StepKey) -> str:
    """Return the name of a step: ``JOB_ID.OCCURRENCE.STEP``."""
    return f"{step.job_id}.{step.occurrence}.{step.step}"


def decode_task(name: str) -> TaskKey:
    """Decode the name of a task.

    :raises ValueError: if it has not four parts or a number is malformed.
    """
    job_id, occurrence, step, position = name.split(".")
    return TaskKey(job_id, int(occurrence), int(step), int(position))
