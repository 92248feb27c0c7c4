"""Memory that a job takes of the leader until it has ended."""

from __future__ import annotations

import json
import sys

from typing import TYPE_CHECKING

from magnoliapitch.workload.job_limits import MAX_OPEN_TASKS_OF_RECURRING_JOB


if TYPE_CHECKING:
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepSpec


JOB_BYTES = 2_000
# As it was submitted, encoded and decoded, without its texts.
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
        + _text_bytes(job.payload)
        + sum(map(_step_text_bytes, job.steps))
        + len(job.steps) * SPECIFIED_STEP_BYTES
        + open_occurrences * occurrence_bytes
        + finished_tasks * FINISHED_TASK_BYTES
    )


def _step_text_bytes(step: StepSpec) -> int:
    return sum(
        _text_bytes(text)
        for text in (step.label, step.data_rack, step.image)
        if text
    )


def _text_bytes(text: str) -> int:
    """Return the bytes of a text, in its stored record and decoded.

    The leader keeps both. A character may take six bytes in the record, and
    one beyond the basic plane makes all others of the text take four.
    """
    return len(json.dumps(text)) + sys.getsizeof(text)


__all__ = ["footprint_bytes"]
