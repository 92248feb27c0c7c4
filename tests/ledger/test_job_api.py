from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.job_api import JobApi
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import PublishedJob
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.metric import Metrics
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec


if TYPE_CHECKING:
    from magnoliapitch.ledger.stream import KeyedRecord


JOB = JobSpec("0a", "q", "text", (StepSpec(2),))
TIMEOUT_MS = 1_000


class FakeStore:
    """Takes appends; a refresh reads the states in ``published``."""

    def __init__(self) -> None:
        self.states = StateTable()
        self.stored: dict[str, bytes] = {}
        self.published: dict[str, PublishedJob] = {}
        self.failure: Failure | None = None
        self.waited_ms = 0

    def append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> Result[None, Failure]:
        del timeout_ms
        self.stored[record.key] = record.value
        return Ok(None)

    def refresh(self) -> Result[None, Failure]:
        if self.failure:
            return Err(self.failure)
        for job_id, job in self.published.items():
            self.states.put(job_id, job)
        return Ok(None)

    def wait(self, duration_ms: int) -> None:
        self.waited_ms += duration_ms

    def job_api(self) -> JobApi:
        return JobApi(self.states, self, self.refresh, self.wait, Metrics())  # type: ignore[arg-type]


def published_job(state: JobState) -> PublishedJob:
    return PublishedJob(state, "q")


def test_job_is_known_at_once_on_the_accepting_instance() -> None:
    job_api = FakeStore().job_api()
    assert job_api.submit(JOB, TIMEOUT_MS).is_ok()
    assert job_api.state("0a", TIMEOUT_MS).unwrap() is JobState.PENDING


def test_job_is_known_elsewhere_once_its_state_is_published() -> None:
    store = FakeStore()
    store.published["0a"] = published_job(JobState.RUNNING)
    assert store.job_api().state("0a", TIMEOUT_MS).unwrap() is JobState.RUNNING
    store.published["0a"] = published_job(JobState.COMPLETED)
    store.refresh()
    assert (
        store.job_api().state("0a", TIMEOUT_MS).unwrap() is JobState.COMPLETED
    )


def test_a_job_submitted_again_is_stored_once() -> None:
    store = FakeStore()
    job_api = store.job_api()
    job_api.submit(JOB, TIMEOUT_MS)
    store.stored.clear()
    assert job_api.submit(JOB, TIMEOUT_MS).is_ok()
    store.published["0b"] = published_job(JobState.COMPLETED)
    store.refresh()
    again = JOB._replace(job_id="0b")
    assert store.job_api().submit(again, TIMEOUT_MS).is_ok()
    assert not store.stored


def test_unknown_job_is_reported_missing_only_after_a_wait() -> None:
    store = FakeStore()
    assert store.job_api().state("0b", TIMEOUT_MS).unwrap() is None
    assert store.waited_ms > 0


def test_unknown_job_is_not_reported_missing_during_a_store_outage() -> None:
    store = FakeStore()
    store.failure = not_run(FailureCode.UNAVAILABLE, "the store is down")
    failure = store.job_api().state("0b", TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms
    assert store.job_api().cancel("0b", TIMEOUT_MS).is_err()


def test_a_cancellation_is_stored_unless_the_job_has_ended() -> None:
    store = FakeStore()
    store.published = {
        "0a": published_job(JobState.RUNNING),
        "0b": published_job(JobState.COMPLETED),
    }
    job_api = store.job_api()
    assert job_api.cancel("0a", TIMEOUT_MS).unwrap() is True
    assert job_api.cancel("0b", TIMEOUT_MS).unwrap() is True
    assert job_api.cancel("0c", TIMEOUT_MS).unwrap() is False
    assert list(store.stored) == ["c.0a"]


def test_pending_counts_jobs_that_have_not_begun() -> None:
    states = StateTable()
    for name in ("0a", "0b", "0c"):
        states.put(name, published_job(JobState.PENDING))
    states.put("0a", published_job(JobState.RUNNING))
    states.put("0b", None)
    assert states.pending("q") == 1


def test_every_state_is_read_as_it_was_written() -> None:
    for state in JobState:
        assert PublishedJob.decode(
            published_job(state).encode()
        ) == published_job(state)


def test_an_unreadable_record_changes_nothing_else() -> None:
    states = StateTable()
    values = {"s.0a": b"\xff", "s.0b": b"?q", "s.0c": b"pq", "x": b"1"}
    states.apply(values, list(values))
    assert states.get("0a") is None
    assert states.get("0b") is None
    assert states.get("0c") == published_job(JobState.PENDING)
