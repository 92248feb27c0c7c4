"""The platform's names of steps, tasks and incarnations of workers."""

from __future__ import annotations

from typing import Any

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


def decode_start(body: Any) -> int | None:
    """Return when the worker was started that speaks, ms since 1970.

    :param body: entry in the list of workers, or answer to a renewal.
    :return: the time, or None if the worker does not tell.
    :raises TypeError: if it is not a whole number.
    """
    started_ms = body.get("born")
    if started_ms is None:
        return None
    if not isinstance(started_ms, int) or isinstance(started_ms, bool):
        raise TypeError(
            f"expected a whole number as start time, found {started_ms!r}"
        )
    return started_ms
