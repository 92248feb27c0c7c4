"""What callers ask for: submission, state, cancellation, counts."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import CANCELLED
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.state_table import FINAL_STATES
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import ShownJob
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.ledger.submitter import Submitter
    from magnoliapitch.metric import Metrics
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec


# Time that is kept for the answer to reach the caller.
ANSWER_RESERVE_MS = 150
RETRY_AFTER_MS = 1_000
# The leader tells of a job shortly after it was stored.
NEWS_PAUSES_MS = (150, 300)
TAKEN_MAX_JOBS = 20_000


class JobDesk:
    """Answers callers from the states and stores what they ask for.

    :param refresh: reads the states to their end now; a failure means
        that a job may be stored of which the leader has not told.
    :param wait: waits for some milliseconds.
    """

    def __init__(
        self,
        states: StateTable,
        submitter: Submitter,
        refresh: Callable[[], Result[None, Failure]],
        wait: Callable[[int], None],
        metrics: Metrics,
    ) -> None:
        self._states = states
        self._submitter = submitter
        self._refresh = refresh
        self._wait = wait
        self._metrics = metrics
        self._taken_by_id: OrderedDict[str, str] = OrderedDict()
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
        if self._known(job.job_id) is not None:
            return Ok(None)
        record = KeyedRecord(JOB_PREFIX + job.job_id, encode_job(job))
        with self._metrics.timing("submit"):
            outcome = self._append(record, timeout_ms)
        self._count("submit", outcome)
        if not isinstance(outcome, Err):
            self._note_taken(job)
        _log_answer("submit", job.job_id, outcome, job.queue)
        return outcome

    def cancel(self, job_id: str, timeout_ms: int) -> Result[bool, Failure]:
        """Cancel a job; return False if there is none."""
        found = self._find(job_id)
        if isinstance(found, Err):
            return found
        job = found.ok_value
        if job is None:
            return Ok(False)
        if job.state in FINAL_STATES:
            return Ok(True)
        record = KeyedRecord(CANCEL_PREFIX + job_id, CANCELLED)
        outcome = self._append(record, timeout_ms)
        self._count("cancel", outcome)
        _log_answer("cancel", job_id, outcome, job.queue)
        return outcome.map(lambda _: True)

    def state(
        self, job_id: str, timeout_ms: int
    ) -> Result[JobState | None, Failure]:
        """Return a job's state, or None if there is no such job."""
        del timeout_ms
        found = self._find(job_id)
        if isinstance(found, Err):
            return found
        job = found.ok_value
        return Ok(None if job is None else job.state)

    def pending(self, queue: Queue) -> int:
        """Return the number of jobs without a started task."""
        return self._states.pending(queue.name)

    def _count(self, call: str, outcome: Result[None, Failure]) -> None:
        label = "stored"
        if isinstance(outcome, Err):
            label = outcome.err_value.verdict.value
        self._metrics.count(f"calls_{call}", label)

    def _append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> Result[None, Failure]:
        wait_ms = max(1, timeout_ms - ANSWER_RESERVE_MS)
        return self._submitter.append(record, wait_ms)

    def _known(self, job_id: str) -> ShownJob | None:
        job = self._states.get(job_id)
        if job is None and job_id in self._taken_by_id:
            return ShownJob(JobState.PENDING, self._taken_by_id[job_id])
        return job

    def _note_taken(self, job: JobSpec) -> None:
        self._taken_by_id[job.job_id] = job.queue
        while len(self._taken_by_id) > TAKEN_MAX_JOBS:
            self._taken_by_id.popitem(last=False)

    def _find(self, job_id: str) -> Result[ShownJob | None, Failure]:
        """Find a job, giving the leader time to tell of a new one."""
        for pause_ms in (0, *NEWS_PAUSES_MS):
            job = self._known(job_id)
            if job is not None:
                return Ok(job)
            if pause_ms:
                self._wait(pause_ms)
            refreshed = self._refresh()
            if isinstance(refreshed, Err):
                reason = refreshed.err_value.detail
                detail = f"the job may be stored: {reason}"
                return Err(
                    not_run(FailureCode.UNAVAILABLE, detail, RETRY_AFTER_MS)
                )
        return Ok(self._known(job_id))


def _log_answer(
    call: str, job_id: str, outcome: Result[None, Failure], queue: str
) -> None:
    failure = outcome.err_value if isinstance(outcome, Err) else None
    log_event(
        "call-answered",
        call=call,
        job=job_id,
        queue=queue,
        outcome=failure.verdict if failure else "stored",
        reason=failure.detail if failure else "",
    )
