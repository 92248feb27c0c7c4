"""Table of the stored jobs that have not been deleted."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import PROGRESS_PREFIX
from magnoliapitch.ledger.records import decode_job
from magnoliapitch.ledger.records import decode_progress
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


class StoredJob(NamedTuple):
    """The stored records of a job.

    :param spec: None while only a cancellation or progress has been read.
    :param progress: None until the leader has stored the first progress.
    """

    spec: JobSpec | None = None
    is_cancelled: bool = False
    progress: JobProgress | None = None

    @property
    def outcome(self) -> JobOutcome:
        """Return how the job has ended, or ``OPEN`` if it has not.

        A stored final outcome takes precedence over a cancellation.
        """
        if self.progress and self.progress.outcome is not JobOutcome.OPEN:
            return self.progress.outcome
        return JobOutcome.CANCELLED if self.is_cancelled else JobOutcome.OPEN

    @property
    def has_final_progress(self) -> bool:
        """Return whether the stored progress says how the job has ended."""
        return (
            self.progress is not None
            and self.progress.outcome is not JobOutcome.OPEN
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
                self._replace_job(job_id, job._replace(progress=None))

    def apply(
        self, values_by_key: Mapping[str, bytes], keys: Iterable[str]
    ) -> set[str]:
        """Apply changed records and return the ids of the jobs concerned.

        Records that cannot be read are logged and skipped.

        :param values_by_key: newest value of each key that has one.
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
            self._replace_job(job_id, job._replace(progress=progress))
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
