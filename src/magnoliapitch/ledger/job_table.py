"""Table of the stored jobs that have not been deleted."""

from __future__ import annotations

import threading

from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import PROGRESS_PREFIX
from magnoliapitch.ledger.records import decode_job
from magnoliapitch.ledger.records import decode_progress
from magnoliapitch.ledger.records import split_progress_key
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress


if TYPE_CHECKING:
    from collections.abc import Iterable


NO_PROGRESS: Mapping[int, JobProgress] = MappingProxyType({})


class StoredJob(NamedTuple):
    """The stored records of a job.

    :param spec: None while only a cancellation or progress has been read.
    :param first_progress: first record of the progress, with the outcome;
        None until the leader has stored it.
    :param later_progress: further records of the progress, by number.
    """

    spec: JobSpec | None = None
    is_cancelled: bool = False
    first_progress: JobProgress | None = None
    later_progress: Mapping[int, JobProgress] = NO_PROGRESS

    @property
    def progress(self) -> JobProgress | None:
        """Return the progress; None until the leader has stored the first.

        A former release stored all tasks in the first record, so that the
        others are newer.
        """
        if not self.later_progress:
            return self.first_progress
        first = self.first_progress
        if first is None:
            # The first record is stored last.
            any_part = next(iter(self.later_progress.values()))
            first = JobProgress(any_part.job_id, JobOutcome.OPEN, {})
        tasks_by_key = dict(first.tasks_by_key)
        for part in self.later_progress.values():
            tasks_by_key.update(part.tasks_by_key)
        return first._replace(tasks_by_key=tasks_by_key)

    @property
    def outcome(self) -> JobOutcome:
        """Return how the job has ended, or ``OPEN`` if it has not.

        A stored final outcome takes precedence over a cancellation.
        """
        first = self.first_progress
        if first and first.outcome is not JobOutcome.OPEN:
            return first.outcome
        return JobOutcome.CANCELLED if self.is_cancelled else JobOutcome.OPEN

    @property
    def has_final_progress(self) -> bool:
        """Return whether the stored progress says how the job has ended."""
        return (
            self.first_progress is not None
            and self.first_progress.outcome is not JobOutcome.OPEN
        )


EMPTY_JOB = StoredJob()


class JobTable:
    """Jobs and their progress, as far as the streams were read; thread-safe.

    Only the leader has one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._jobs_by_id: dict[str, StoredJob] = {}

    def get(self, job_id: str) -> StoredJob | None:
        """Return a job, or None if no submission of it is stored."""
        job = self._jobs_by_id.get(job_id)
        return job if job is not None and job.spec is not None else None

    def jobs(self) -> list[StoredJob]:
        """Return every job whose submission is stored."""
        with self._lock:
            jobs = list(self._jobs_by_id.values())
        return [job for job in jobs if job.spec is not None]

    def forget_progress(self, job_ids: Iterable[str]) -> None:
        """Drop the progress of jobs that are being deleted.

        It was read when the leadership began and would otherwise restore
        runs that have ended.
        """
        for job_id in job_ids:
            job = self._jobs_by_id.get(job_id)
            if job is not None:
                job = job._replace(
                    first_progress=None, later_progress=NO_PROGRESS
                )
                self._replace_job(job_id, job)

    def apply(
        self, values_by_key: Mapping[str, bytes | None], keys: Iterable[str]
    ) -> set[str]:
        """Apply changed records and return the ids of the jobs concerned.

        Records that cannot be read are logged and skipped.

        :param values_by_key: newest value of each key; a deleted one has None
            or is missing.
        :param keys: keys that have changed.
        """
        changed_job_ids: set[str] = set()
        for key in keys:
            try:
                job_id = self._apply_record(key, values_by_key.get(key))
            except ValueError as error:
                log_event("record-unreadable", key=key, reason=str(error))
                continue
            if job_id:
                changed_job_ids.add(job_id)
        return changed_job_ids

    def _apply_record(self, key: str, value: bytes | None) -> str:
        prefix, job_id = key[:2], key[2:]
        part = 0
        if prefix == PROGRESS_PREFIX:
            job_id, part = split_progress_key(key)
        job = self._jobs_by_id.get(job_id, EMPTY_JOB)
        if prefix == JOB_PREFIX:
            spec = None if value is None else decode_job(value)
            self._replace_job(job_id, job._replace(spec=spec))
        elif prefix == CANCEL_PREFIX:
            self._replace_job(
                job_id, job._replace(is_cancelled=value is not None)
            )
        elif prefix == PROGRESS_PREFIX:
            progress = None if not value else decode_progress(job_id, value)
            self._replace_job(job_id, _with_progress(job, part, progress))
        else:
            log_event("record-unreadable", key=key, reason="unknown prefix")
            return ""
        return job_id

    def _replace_job(self, job_id: str, job: StoredJob) -> None:
        with self._lock:
            if job == EMPTY_JOB:
                self._jobs_by_id.pop(job_id, None)
            else:
                self._jobs_by_id[job_id] = job


def _with_progress(
    job: StoredJob, part: int, progress: JobProgress | None
) -> StoredJob:
    if not part:
        return job._replace(first_progress=progress)
    later_progress = dict(job.later_progress)
    later_progress.pop(part, None)
    if progress is not None:
        later_progress[part] = progress
    return job._replace(later_progress=later_progress)
