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


class Store:
    """Takes appends; the leader tells of them at a refresh."""

    def __init__(self) -> None:
        self.states = StateTable()
        self.stored: dict[str, bytes] = {}
        self.told: dict[str, PublishedJob] = {}
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
        for job_id, job in self.told.items():
            self.states.put(job_id, job)
        return Ok(None)

    def wait(self, duration_ms: int) -> None:
        self.waited_ms += duration_ms

    def desk(self) -> JobApi:
        return JobApi(self.states, self, self.refresh, self.wait, Metrics())  # type: ignore[arg-type]


def shown(state: JobState) -> PublishedJob:
    return PublishedJob(state, "q")


def test_a_job_is_known_at_once_where_it_was_taken() -> None:
    desk = Store().desk()
    assert desk.submit(JOB, TIMEOUT_MS).is_ok()
    assert desk.state("0a", TIMEOUT_MS).unwrap() is JobState.PENDING


def test_a_job_is_known_elsewhere_once_the_leader_has_told() -> None:
    store = Store()
    store.told["0a"] = shown(JobState.RUNNING)
    assert store.desk().state("0a", TIMEOUT_MS).unwrap() is JobState.RUNNING
    store.told["0a"] = shown(JobState.COMPLETED)
    store.refresh()
    assert store.desk().state("0a", TIMEOUT_MS).unwrap() is JobState.COMPLETED


def test_a_job_submitted_again_is_stored_once() -> None:
    store = Store()
    desk = store.desk()
    desk.submit(JOB, TIMEOUT_MS)
    store.stored.clear()
    assert desk.submit(JOB, TIMEOUT_MS).is_ok()
    store.told["0b"] = shown(JobState.COMPLETED)
    store.refresh()
    again = JOB._replace(job_id="0b")
    assert store.desk().submit(again, TIMEOUT_MS).is_ok()
    assert not store.stored


def test_an_unknown_job_is_gone_only_after_the_leader_had_time() -> None:
    store = Store()
    assert store.desk().state("0b", TIMEOUT_MS).unwrap() is None
    assert store.waited_ms > 0


def test_an_unknown_job_is_not_called_gone_without_the_store() -> None:
    store = Store()
    store.failure = not_run(FailureCode.UNAVAILABLE, "away")
    failure = store.desk().state("0b", TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms
    assert store.desk().cancel("0b", TIMEOUT_MS).is_err()


def test_a_cancellation_is_stored_unless_the_job_has_ended() -> None:
    store = Store()
    store.told = {
        "0a": shown(JobState.RUNNING),
        "0b": shown(JobState.COMPLETED),
    }
    desk = store.desk()
    assert desk.cancel("0a", TIMEOUT_MS).unwrap() is True
    assert desk.cancel("0b", TIMEOUT_MS).unwrap() is True
    assert desk.cancel("0c", TIMEOUT_MS).unwrap() is False
    assert list(store.stored) == ["c.0a"]


def test_pending_counts_jobs_that_have_not_begun() -> None:
    states = StateTable()
    for name in ("0a", "0b", "0c"):
        states.put(name, shown(JobState.PENDING))
    states.put("0a", shown(JobState.RUNNING))
    states.put("0b", None)
    assert states.pending("q") == 1


def test_every_state_is_read_as_it_was_written() -> None:
    for state in JobState:
        assert PublishedJob.decode(shown(state).encode()) == shown(state)


def test_an_unreadable_record_changes_nothing_else() -> None:
    states = StateTable()
    values = {"s.0a": b"\xff", "s.0b": b"?q", "s.0c": b"pq", "x": b"1"}
    states.apply(values, list(values))
    assert states.get("0a") is None
    assert states.get("0b") is None
    assert states.get("0c") == shown(JobState.PENDING)
