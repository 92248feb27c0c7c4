"""Records of the progress of jobs, each within the store's limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import encode_progress
from magnoliapitch.ledger.records import progress_key
from magnoliapitch.ledger.records import split_progress_key
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.planner.job_closing import JobClosing
from magnoliapitch.planner.restore import progress_of


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked_job import TrackedJob


def take_changed_records(job: TrackedJob) -> list[KeyedRecord]:
    """Return the records of a job's progress to store now.

    The first one, which has the outcome, is always among them, and last.
    """
    later_parts = sorted(job.changed_parts - {0})
    job.changed_parts.clear()
    return [
        KeyedRecord(
            progress_key(job.spec.job_id, part),
            encode_progress(progress_of(job, part)),
        )
        for part in (*later_parts, 0)
    ]


def deletion_records(job: TrackedJob) -> list[KeyedRecord]:
    """Return records that delete a job's progress, the first one last."""
    return [
        KeyedRecord(progress_key(job.spec.job_id, part), b"")
        for part in reversed(range(job.part_count))
    ]


def fail_refused_jobs(state: SchedulerState, keys: Iterable[str]) -> None:
    """Fail the jobs whose progress the store has refused.

    None of their starts that waited for it is ordered. The progress of a
    failed job is smaller, since it has no checkpoints.

    :param keys: keys of the refused records.
    """
    key_by_job = {split_progress_key(key)[0]: key for key in keys}
    for job_id, key in sorted(key_by_job.items()):
        job = state.jobs_by_id.get(job_id)
        if job is not None:
            log_event("progress-refused", job=job_id, state=job.outcome)
            state.close_job(job, JobClosing.record_refused(key))


__all__ = ["deletion_records", "fail_refused_jobs", "take_changed_records"]
