from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.desk import JobDesk
from magnoliapitch.ledger.desk import JobState
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.records import encode_progress
from magnoliapitch.ledger.replica import Replica
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import TaskProgress


if TYPE_CHECKING:
    from magnoliapitch.ledger.stream import KeyedRecord


JOB = JobSpec("0a", "q", "text", (StepSpec(2),))
TIMEOUT_MS = 1_000


class Store:
    """Takes appends, and shows them at a refresh."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.stored: dict[str, bytes] = {}
        self.failure: Failure | None = None

    def append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> Result[None, Failure]:
        del timeout_ms
        self.stored[record.key] = record.value
        return Ok(None)

    def refresh(self) -> Result[None, Failure]:
        if self.failure:
            return Err(self.failure)
        self.replica.apply(self.stored, set(self.stored))
        return Ok(None)

    def desk(self) -> JobDesk:
        return JobDesk(self.replica, self, self.refresh)  # type: ignore[arg-type]


def progress(outcome: JobOutcome) -> bytes:
    task = TaskProgress(runs=1)
    return encode_progress(
        JobProgress(
            "0a", outcome, {TaskKey("0a", 0, 0, 0): task}, has_begun=True
        )
    )


def test_a_job_is_known_everywhere_after_a_refresh() -> None:
    store = Store()
    desk = store.desk()
    assert desk.submit(JOB, TIMEOUT_MS).is_ok()
    assert desk.state("0a", TIMEOUT_MS).unwrap() is JobState.PENDING
    store.stored["p.0a"] = progress(JobOutcome.OPEN)
    store.refresh()
    assert desk.state("0a", TIMEOUT_MS).unwrap() is JobState.RUNNING
    store.stored["p.0a"] = progress(JobOutcome.COMPLETED)
    store.refresh()
    assert desk.state("0a", TIMEOUT_MS).unwrap() is JobState.COMPLETED


def test_a_job_submitted_again_is_stored_once() -> None:
    store = Store()
    desk = store.desk()
    desk.submit(JOB, TIMEOUT_MS)
    store.refresh()
    store.stored.clear()
    assert desk.submit(JOB, TIMEOUT_MS).is_ok()
    assert not store.stored


def test_an_unknown_job_is_gone_only_if_the_streams_were_read() -> None:
    store = Store()
    desk = store.desk()
    assert desk.state("0b", TIMEOUT_MS).unwrap() is None
    store.failure = not_run(FailureCode.UNAVAILABLE, "away")
    failure = desk.state("0b", TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms
    assert desk.cancel("0b", TIMEOUT_MS).is_err()


def test_a_cancelled_job_is_shown_as_cancelled() -> None:
    store = Store()
    desk = store.desk()
    desk.submit(JOB, TIMEOUT_MS)
    assert desk.cancel("0a", TIMEOUT_MS).unwrap() is True
    store.refresh()
    assert desk.state("0a", TIMEOUT_MS).unwrap() is JobState.CANCELLED
    assert store.replica.pending("q") == 0


def test_a_completed_job_stays_completed_after_a_cancellation() -> None:
    store = Store()
    store.stored = {
        "j.0a": encode_job(JOB),
        "p.0a": progress(JobOutcome.COMPLETED),
        "c.0a": b"1",
    }
    store.refresh()
    state = store.desk().state("0a", TIMEOUT_MS).unwrap()
    assert state is JobState.COMPLETED


def test_pending_counts_jobs_without_a_started_task() -> None:
    store = Store()
    store.stored = {
        "j.0a": encode_job(JOB),
        "j.0b": encode_job(JOB._replace(job_id="0b")),
        "p.0a": progress(JobOutcome.OPEN),
    }
    store.refresh()
    assert store.replica.pending("q") == 1


def test_an_unreadable_record_changes_nothing_else() -> None:
    store = Store()
    store.stored = {"j.0b": b"\xff", "j.0a": encode_job(JOB), "x": b"1"}
    store.refresh()
    assert store.replica.get("0a") is not None
    assert store.replica.get("0b") is None


def test_a_job_that_was_only_ordered_counts_as_pending() -> None:
    store = Store()
    ordered = JobProgress(
        "0a", JobOutcome.OPEN, {TaskKey("0a", 0, 0, 0): TaskProgress(runs=1)}
    )
    store.stored = {"j.0a": encode_job(JOB), "p.0a": encode_progress(ordered)}
    store.refresh()
    assert store.replica.pending("q") == 1
    assert store.desk().state("0a", TIMEOUT_MS).unwrap() is JobState.PENDING
