"""What callers ask for: submission, state, cancellation, counts."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import CANCELLED
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.ledger.replica import Replica
    from magnoliapitch.ledger.replica import StoredJob
    from magnoliapitch.ledger.submitter import Submitter
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec


# Time that is kept for the answer to reach the caller.
ANSWER_RESERVE_MS = 150
RETRY_AFTER_MS = 1_000


class JobState(StrEnum):
    """State of a job as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


_STATE_BY_OUTCOME = {
    JobOutcome.COMPLETED: JobState.COMPLETED,
    JobOutcome.FAILED: JobState.FAILED,
    JobOutcome.CANCELLED: JobState.CANCELLED,
}


class JobDesk:
    """Answers callers from the replica and stores what they ask for.

    :param refresh: reads the streams to their end now; a failure means
        that the replica may lack records.
    """

    def __init__(
        self,
        replica: Replica,
        submitter: Submitter,
        refresh: Callable[[], Result[None, Failure]],
    ) -> None:
        self._replica = replica
        self._submitter = submitter
        self._refresh = refresh
        self._configuration: Configuration | None = None
        self._is_closing = False

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self._configuration = configuration

    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._configuration

    def close(self) -> None:
        """End connections after their next answer."""
        self._is_closing = True

    def is_closing(self) -> bool:
        """Return whether connections end after their next answer."""
        return self._is_closing

    def submit(self, job: JobSpec, timeout_ms: int) -> Result[None, Failure]:
        """Store a job; one that is stored already is accepted again."""
        if self._replica.get(job.job_id) is not None:
            return Ok(None)
        record = KeyedRecord(JOB_PREFIX + job.job_id, encode_job(job))
        outcome = self._append(record, timeout_ms)
        _log_answer("job-submitted", job.job_id, outcome, job.queue)
        return outcome

    def cancel(self, job_id: str, timeout_ms: int) -> Result[bool, Failure]:
        """Cancel a job; return False if there is none."""
        found = self._find(job_id)
        if isinstance(found, Err):
            return found
        job = found.ok_value
        if job is None:
            return Ok(False)
        if job.outcome is not JobOutcome.OPEN:
            return Ok(True)
        record = KeyedRecord(CANCEL_PREFIX + job_id, CANCELLED)
        outcome = self._append(record, timeout_ms)
        queue = job.spec.queue if job.spec else ""
        _log_answer("job-cancelled", job_id, outcome, queue)
        return outcome.map(lambda _: True)

    def state(
        self, job_id: str, timeout_ms: int
    ) -> Result[JobState | None, Failure]:
        """Return a job's state, or None if there is no such job."""
        del timeout_ms
        found = self._find(job_id)
        if isinstance(found, Err):
            return found
        return Ok(_state_of(found.ok_value))

    def pending(self, queue: Queue) -> int:
        """Return the number of jobs without a started task."""
        return self._replica.pending(queue.name)

    def _append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> Result[None, Failure]:
        wait_ms = max(1, timeout_ms - ANSWER_RESERVE_MS)
        return self._submitter.append(record, wait_ms)

    def _find(self, job_id: str) -> Result[StoredJob | None, Failure]:
        job = self._replica.get(job_id)
        if job is not None:
            return Ok(job)
        refreshed = self._refresh()
        if isinstance(refreshed, Err):
            detail = f"the job may be stored: {refreshed.err_value.detail}"
            return Err(
                not_run(FailureCode.UNAVAILABLE, detail, RETRY_AFTER_MS)
            )
        return Ok(self._replica.get(job_id))


def _state_of(job: StoredJob | None) -> JobState | None:
    if job is None:
        return None
    if job.outcome is not JobOutcome.OPEN:
        return _STATE_BY_OUTCOME[job.outcome]
    has_begun = job.progress is not None and job.progress.has_begun
    return JobState.RUNNING if has_begun else JobState.PENDING


def _log_answer(
    event: str, job_id: str, outcome: Result[None, Failure], queue: str
) -> None:
    if isinstance(outcome, Err):
        failure = outcome.err_value
        log_event(
            event,
            job=job_id,
            queue=queue,
            outcome=failure.verdict,
            reason=failure.detail,
        )
    else:
        log_event(event, job=job_id, queue=queue, outcome="stored")
