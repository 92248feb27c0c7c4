"""What is stored of the jobs that are not over."""

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
    """What is stored of a job.

    :param spec: None while only a cancellation or progress is known.
    :param progress: None before the first task was ordered.
    """

    spec: JobSpec | None = None
    is_cancelled: bool = False
    progress: JobProgress | None = None

    @property
    def outcome(self) -> JobOutcome:
        """Return the final state, or ``OPEN``."""
        if self.progress and self.progress.outcome is not JobOutcome.OPEN:
            return self.progress.outcome
        return JobOutcome.CANCELLED if self.is_cancelled else JobOutcome.OPEN


NO_JOB = StoredJob()


class Replica:
    """The jobs as far as the streams were read; safe to share.

    Only the instance that leads keeps one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._jobs_by_id: dict[str, StoredJob] = {}

    def get(self, job_id: str) -> StoredJob | None:
        """Return a job that was submitted, or None."""
        job = self._jobs_by_id.get(job_id)
        return job if job is not None and job.spec is not None else None

    def jobs(self) -> list[StoredJob]:
        """Return every job that was submitted and is not forgotten."""
        with self._lock:
            jobs = list(self._jobs_by_id.values())
        return [job for job in jobs if job.spec is not None]

    def apply(
        self, values_by_key: Mapping[str, bytes], keys: Iterable[str]
    ) -> set[str]:
        """Take over changed keys and return the ids of changed jobs."""
        changed: set[str] = set()
        for key in keys:
            try:
                job_id = self._apply_one(key, values_by_key.get(key))
            except ValueError as error:
                log_event("record-unreadable", key=key, reason=str(error))
                continue
            if job_id:
                changed.add(job_id)
        return changed

    def _apply_one(self, key: str, value: bytes | None) -> str:
        prefix, job_id = key[:2], key[2:]
        job = self._jobs_by_id.get(job_id, NO_JOB)
        if prefix == JOB_PREFIX:
            spec = None if value is None else decode_job(value)
            self._put(job_id, job._replace(spec=spec))
        elif prefix == CANCEL_PREFIX:
            self._put(job_id, job._replace(is_cancelled=value is not None))
        elif prefix == PROGRESS_PREFIX:
            progress = None if not value else decode_progress(job_id, value)
            self._put(job_id, job._replace(progress=progress))
        else:
            log_event("record-unreadable", key=key, reason="unknown prefix")
            return ""
        return job_id

    def _put(self, job_id: str, job: StoredJob) -> None:
        with self._lock:
            if job == NO_JOB:
                self._jobs_by_id.pop(job_id, None)
            else:
                self._jobs_by_id[job_id] = job
