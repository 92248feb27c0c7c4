"""Operations on jobs that callers can request from any instance."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from magnoliapitch.access import UNRESTRICTED
from magnoliapitch.access import Caller
from magnoliapitch.access import forbidden_failure
from magnoliapitch.event import log_event
from magnoliapitch.ledger.doubtful_submissions import DoubtfulSubmissions
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import CANCELLED
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.state_table import FINAL_STATES
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import PublishedJob
from magnoliapitch.ledger.stream import MAX_RECORD_BYTES
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job_limits import find_limit_failure
from magnoliapitch.workload.job_limits import too_large
from magnoliapitch.workload.quota import find_quota_failure


if TYPE_CHECKING:
    from magnoliapitch.ledger.admission_gate import AdmissionGate
    from magnoliapitch.ledger.open_work import OpenWork
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.ledger.submitter import Submitter
    from magnoliapitch.ledger.unpublished_jobs import UnpublishedJobs
    from magnoliapitch.metric import Metrics
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec


# Part of the caller's timeout that is reserved for sending the answer.
ANSWER_RESERVE_MS = 150
STORE_RETRY_AFTER_MS = 1_000
# A caller that asks for a state waits for the end of the job, so that it is
# to see the end soon.
MAX_STATE_AGE_MS = 50
# Callers accept a count of pending jobs that is up to 2 s old.
MAX_PENDING_AGE_MS = 1_000
# Jobs accepted by this instance that it remembers, the latest ones. They are
# known here before the leader publishes their states.
MAX_REMEMBERED_JOBS = 20_000


# Reads a source up to its end; looks a job up in it.
_Source = tuple[
    Callable[[int], Result[None, Failure]],
    Callable[[str], PublishedJob | None],
]


class JobApi:
    """Submits and cancels jobs and returns their state.

    States come from the table of published states. Submissions and
    cancellations are stored; the leader acts on them later.

    :param refresh: reads the published states up to the newest one, unless
        the last read is younger than a time in milliseconds; after a failure,
        a job that is missing in the table may still be stored.
    :param unpublished_jobs: jobs that are stored although the leader has not
        published their states.
    :param admission_gate: rejects submissions; None to reject none.
    :param open_work: limits the memory that all open jobs take; None to
        limit it not.
    """

    def __init__(
        self,
        state_table: StateTable,
        submitter: Submitter,
        refresh: Callable[[int], Result[None, Failure]],
        unpublished_jobs: UnpublishedJobs,
        metrics: Metrics,
        admission_gate: AdmissionGate | None = None,
        open_work: OpenWork | None = None,
    ) -> None:
        self._open_work = open_work
        self._admission_gate = admission_gate
        self._doubtful = DoubtfulSubmissions()
        self._state_table = state_table
        self._submitter = submitter
        self._refresh = refresh
        self._unpublished_jobs = unpublished_jobs
        self._metrics = metrics
        self._accepted_by_id: OrderedDict[str, PublishedJob] = OrderedDict()
        self._configuration: Configuration | None = None
        self._is_closing = False

    def configure(self, configuration: Configuration) -> None:
        """Replace the configuration in use."""
        self._configuration = configuration

    def configuration(self) -> Configuration | None:
        """Return the configuration in use, or None before the first one."""
        return self._configuration

    def close(self) -> None:
        """Have connections closed after their next answer."""
        self._is_closing = True

    def is_closing(self) -> bool:
        """Return whether connections are closed after their next answer."""
        return self._is_closing

    def submit(
        self, job: JobSpec, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[None, Failure]:
        """Store a job; accept a known job again without storing it twice.

        :param timeout_ms: time until the caller needs the answer.
        :param caller: who must be allowed to use a known job.
        """
        known = self._lookup(job.job_id)
        if known is not None:
            allowed = self._check_access("submit", job.job_id, known, caller)
            return allowed.map(lambda _: None)
        # A rejection says that the job is not stored, so it must be certain.
        if not self._doubtful.is_doubtful(job.job_id):
            answer = self._rejection(job, caller)
            if answer is not None:
                return answer
        outcome = self._store(job, timeout_ms)
        _log_call("submit", job.job_id, outcome, job.queue, job.workspace)
        return outcome

    def _rejection(
        self, job: JobSpec, caller: Caller
    ) -> Result[None, Failure] | None:
        """Return the answer to a submission that must not be stored."""
        failure = (
            find_limit_failure(job)
            or _find_record_failure(job)
            or find_quota_failure(job, self._configuration)
        )
        if failure is not None:
            return self._reject(job, failure, caller)
        answer = self._answer_unless_admitted(job, caller)
        if answer is not None:
            self._count("submit", answer)
            return answer
        failure = self._open_work.admit(job) if self._open_work else None
        return None if failure is None else self._reject(job, failure, caller)

    def _answer_unless_admitted(
        self, job: JobSpec, caller: Caller
    ) -> Result[None, Failure] | None:
        """Return the answer to a submission that is not to be stored.

        A job that is stored already is accepted if the caller may use it.

        :return: None if the job is to be stored.
        """
        if self._admission_gate is None:
            return None
        answer = self._admission_gate.check(
            job, self._configuration, self._find
        )
        if isinstance(answer, Ok):
            found = self._find_for("submit", job.job_id, caller)
            return found.map(lambda _: None)
        return answer

    def _store(self, job: JobSpec, timeout_ms: int) -> Result[None, Failure]:
        self._doubtful.begin(job.job_id)
        record = _job_record(job)
        with self._metrics.timing("submit"):
            appended = self._append(record, timeout_ms)
        outcome = self._doubtful.settle(job.job_id, appended)
        if self._open_work is not None:
            self._open_work.settle(job.job_id, outcome)
        self._count("submit", outcome)
        if not isinstance(outcome, Err):
            self.record_accepted(job)
        return outcome

    def _reject(
        self, job: JobSpec, failure: Failure, caller: Caller
    ) -> Result[None, Failure]:
        """Reject a job, unless it turns out to be stored already."""
        found = self._find_for("submit", job.job_id, caller)
        outcome: Result[None, Failure] = Err(failure)
        if isinstance(found, Err):
            outcome = found
        elif found.ok_value is not None:
            outcome = Ok(None)
        else:
            self._metrics.count("submissions_rejected", failure.code.value)
        self._count("submit", outcome)
        _log_call("submit", job.job_id, outcome, job.queue, job.workspace)
        return outcome

    def cancel(
        self, job_id: str, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[bool, Failure]:
        """Store the cancellation of a job, unless the job has ended.

        :param timeout_ms: time until the caller needs the answer.
        :param caller: who must be allowed to use the job.
        :return: False if there is no such job.
        """
        found = self._find_for("cancel", job_id, caller)
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
        _log_call("cancel", job_id, outcome, job.queue, job.workspace)
        return outcome.map(lambda _: True)

    def state(
        self, job_id: str, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[JobState | None, Failure]:
        """Return a job's state, or None if there is no such job.

        :param timeout_ms: not used.
        :param caller: who must be allowed to use the job.
        """
        del timeout_ms
        found = self._find_for("state", job_id, caller)
        if isinstance(found, Err):
            return found
        job = found.ok_value
        if job is not None and job.state not in FINAL_STATES:
            job = self._newest(job_id, job)
        return Ok(None if job is None else job.state)

    def _newest(self, job_id: str, job: PublishedJob) -> PublishedJob:
        """Return a job as it is published now, or as far as it is known."""
        refreshed = self._refresh(MAX_STATE_AGE_MS)
        if isinstance(refreshed, Err):
            return job
        return self._lookup(job_id) or job

    def pending(self, queue: Queue) -> int:
        """Return the number of a queue's jobs without a started task."""
        refreshed = self._unpublished_jobs.refresh(MAX_PENDING_AGE_MS)
        if isinstance(refreshed, Err):
            log_event(
                "pending-count-stale",
                queue=queue.name,
                reason=refreshed.err_value.detail,
            )
        return self._state_table.pending(
            queue.name
        ) + self._unpublished_jobs.count(queue.name)

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

    def _lookup(self, job_id: str) -> PublishedJob | None:
        job = self._state_table.get(job_id)
        return self._accepted_by_id.get(job_id) if job is None else job

    def record_accepted(self, job: JobSpec) -> None:
        """Remember a job that is stored, until its state is published."""
        self._accepted_by_id[job.job_id] = PublishedJob(
            JobState.PENDING, job.queue, job.workspace
        )
        while len(self._accepted_by_id) > MAX_REMEMBERED_JOBS:
            self._accepted_by_id.popitem(last=False)

    def _find_for(
        self, call: str, job_id: str, caller: Caller
    ) -> Result[PublishedJob | None, Failure]:
        """Look a job up that a caller asks for."""
        found = self._find(job_id)
        if isinstance(found, Err) or found.ok_value is None:
            return found
        job = found.ok_value
        return self._check_access(call, job_id, job, caller).map(lambda _: job)

    def _check_access(
        self, call: str, job_id: str, job: PublishedJob, caller: Caller
    ) -> Result[bool, Failure]:
        if caller.may_use(job.workspace):
            return Ok(True)
        return Err(
            forbidden_failure(
                call, job_id, caller, job.workspace, self._metrics
            )
        )

    def _find(self, job_id: str) -> Result[PublishedJob | None, Failure]:
        """Look a job up in the published states, then in the stored jobs.

        The states are read again at last, since a job that is deleted from
        the stored jobs meanwhile has a published state.

        :return: None if there is no such job; a failure if the store cannot
            be read, since the job may then be stored.
        """
        sources: tuple[_Source, ...] = (
            (self._refresh, self._lookup),
            (self._unpublished_jobs.refresh, self._unpublished_jobs.get),
            (self._refresh, self._lookup),
        )
        job = self._lookup(job_id)
        for read, look_up in sources:
            if job is not None:
                break
            outcome = read(0)
            if isinstance(outcome, Err):
                return Err(_not_readable(outcome.err_value))
            job = look_up(job_id)
        return Ok(job)


def _not_readable(failure: Failure) -> Failure:
    detail = (
        "the job is not known here but may be stored; the store cannot be "
        f"read: {failure.detail}"
    )
    return not_run(FailureCode.UNAVAILABLE, detail, STORE_RETRY_AFTER_MS)


def _job_record(job: JobSpec) -> KeyedRecord:
    return KeyedRecord(JOB_PREFIX + job.job_id, encode_job(job))


def _find_record_failure(job: JobSpec) -> Failure | None:
    """Return why a job is refused because of the size of its record."""
    size_bytes = _job_record(job).size_bytes
    if size_bytes <= MAX_RECORD_BYTES:
        return None
    return too_large(size_bytes, "bytes as it is stored", MAX_RECORD_BYTES)


def _log_call(
    call: str,
    job_id: str,
    outcome: Result[None, Failure],
    queue: str,
    workspace: str,
) -> None:
    failure = outcome.err_value if isinstance(outcome, Err) else None
    workspace_field: dict[str, Any] = (
        {"workspace": workspace} if workspace else {}
    )
    log_event(
        "call-answered",
        call=call,
        job=job_id,
        queue=queue,
        outcome=failure.verdict if failure else "stored",
        reason=failure.detail if failure else "",
        **workspace_field,
    )
