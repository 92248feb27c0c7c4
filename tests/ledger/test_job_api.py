from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.access import Caller
from magnoliapitch.clock import ManualClock
from magnoliapitch.ledger.job_api import MAX_STATE_AGE_MS
from magnoliapitch.ledger.job_api import JobApi
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import decode_job
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import PublishedJob
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.unpublished_jobs import UnpublishedJobs
from magnoliapitch.metric import Metrics
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import QueueSnapshot
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import queue
from tests.ledger.memory_streams import MemoryStreams


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.ledger.stream import NewestPage
    from magnoliapitch.ledger.stream import StreamSlice


JOB = JobSpec("0a", "q", "text", (StepSpec(2),))
QUEUE = queue("q")
TIMEOUT_MS = 1_000
NORTH = Caller("north", is_restricted=True)
SOUTH = Caller("south", is_restricted=True)
KEYLESS = Caller("", is_restricted=True)


class FakeStore:
    """Stores jobs; a refresh reads the states in ``published``.

    :ivar stored: value of each record that was appended.
    """

    def __init__(self) -> None:
        self.states = StateTable()
        self.stored: dict[str, bytes] = {}
        self.published: dict[str, PublishedJob] = {}
        self.failure: Failure | None = None
        self.refreshed_ages_ms: list[int] = []
        self.streams = RecordingStreams()
        self.clock = ManualClock(1_000)

    def append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> Result[None, Failure]:
        del timeout_ms
        self.stored[record.key] = record.value
        self.streams.append(JOB_STREAM, [record])
        return Ok(None)

    def refresh(self, max_age_ms: int = 0) -> Result[None, Failure]:
        self.refreshed_ages_ms.append(max_age_ms)
        if self.failure:
            return Err(self.failure)
        for job_id, job in self.published.items():
            self.states.put(job_id, job)
        return Ok(None)

    def job_api(self) -> JobApi:
        """Return the interface of a new instance at this store."""
        unpublished_jobs = UnpublishedJobs(
            self.streams, self.states, self.clock
        )
        return JobApi(
            self.states,
            self,  # type: ignore[arg-type]
            self.refresh,
            unpublished_jobs,
            Metrics(),
        )


class RecordingStreams(MemoryStreams):
    """Records from which offset each stream was read.

    :ivar read_offsets: offset of each read, -1 for a read of all keys.
    :ivar after_read: called after each read.
    """

    def __init__(self) -> None:
        super().__init__()
        self.read_offsets: list[int] = []
        self.after_read: Callable[[], object] = lambda: None

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        timeout_ms: int = 1_000,
    ) -> Result[StreamSlice, Failure]:
        self.read_offsets.append(from_offset)
        content = super().read(stream, from_offset, wait_ms, timeout_ms)
        self.after_read()
        return content

    def newest(
        self, stream: str, after_key: str = "", timeout_ms: int = 1_000
    ) -> Result[NewestPage, Failure]:
        self.read_offsets.append(-1)
        return super().newest(stream, after_key, timeout_ms)


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


def test_the_end_of_a_job_is_seen_when_its_state_is_requested() -> None:
    store = FakeStore()
    store.published["0a"] = published_job(JobState.RUNNING)
    store.refresh()
    store.published["0a"] = published_job(JobState.COMPLETED)
    job_api = store.job_api()
    assert job_api.state("0a", TIMEOUT_MS).unwrap() is JobState.COMPLETED
    assert store.refreshed_ages_ms[-1] == MAX_STATE_AGE_MS
    count = len(store.refreshed_ages_ms)
    assert job_api.state("0a", TIMEOUT_MS).unwrap() is JobState.COMPLETED
    assert len(store.refreshed_ages_ms) == count


def test_the_last_known_state_is_returned_during_a_store_outage() -> None:
    store = FakeStore()
    store.published["0a"] = published_job(JobState.RUNNING)
    store.refresh()
    store.failure = not_run(FailureCode.UNAVAILABLE, "the store is down")
    assert store.job_api().state("0a", TIMEOUT_MS).unwrap() is JobState.RUNNING


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


def test_unknown_job_is_missing_only_after_the_stored_jobs_were_read() -> None:
    store = FakeStore()
    assert store.job_api().state("0b", TIMEOUT_MS).unwrap() is None
    assert store.streams.read_offsets == [-1]


def test_accepted_job_is_known_elsewhere_without_a_leader() -> None:
    store = FakeStore()
    assert store.job_api().submit(JOB, TIMEOUT_MS).is_ok()
    other = store.job_api()
    assert other.state("0a", TIMEOUT_MS).unwrap() is JobState.PENDING
    assert other.pending(QUEUE) == 1
    assert other.cancel("0a", TIMEOUT_MS).unwrap() is True
    assert "c.0a" in store.stored


def test_only_jobs_that_the_leader_has_not_published_are_read() -> None:
    store = FakeStore()
    for name in ("00", "01", "02"):
        store.job_api().submit(JOB._replace(job_id=name), TIMEOUT_MS)
    store.states.leader = LeaderRecord(1, "leader", job_offset=2)
    assert store.job_api().state("02", TIMEOUT_MS).unwrap() is JobState.PENDING
    assert store.streams.read_offsets == [2]


def test_a_job_that_ends_between_two_reads_is_known() -> None:
    """The leader deletes its submission after it has published its end."""
    store = FakeStore()
    store.job_api().submit(JOB, TIMEOUT_MS)
    store.streams.append(JOB_STREAM, [KeyedRecord("j.0a", b"")])
    store.states.leader = LeaderRecord(1, "leader", job_offset=0)
    store.streams.after_read = lambda: store.published.update(
        {"0a": published_job(JobState.COMPLETED)}
    )
    assert (
        store.job_api().state("0a", TIMEOUT_MS).unwrap() is JobState.COMPLETED
    )


def test_pending_jobs_are_counted_once_when_the_leader_publishes() -> None:
    store = FakeStore()
    job_api = store.job_api()
    for name in ("00", "01"):
        job_api.submit(JOB._replace(job_id=name), TIMEOUT_MS)
    assert job_api.pending(QUEUE) == 2
    store.published["00"] = published_job(JobState.PENDING)
    store.published["01"] = published_job(JobState.RUNNING)
    store.refresh()
    assert job_api.pending(QUEUE) == 1
    store.states.leader = LeaderRecord(1, "leader", job_offset=2)
    store.clock.advance(5_000)
    assert job_api.pending(QUEUE) == 1


def test_a_job_whose_state_was_removed_is_missing_again() -> None:
    """States of ended jobs are kept for a limited time."""
    store = FakeStore()
    store.job_api().submit(JOB, TIMEOUT_MS)
    other = store.job_api()
    assert other.state("0a", TIMEOUT_MS).unwrap() is JobState.PENDING
    store.states.leader = LeaderRecord(1, "leader", job_offset=1)
    assert other.state("0a", TIMEOUT_MS).unwrap() is None
    store.clock.advance(5_000)
    assert other.pending(QUEUE) == 0


def test_pending_jobs_are_read_at_most_once_a_second() -> None:
    store = FakeStore()
    job_api = store.job_api()
    for _ in range(10):
        job_api.pending(QUEUE)
        store.clock.advance(99)
    assert len(store.streams.read_offsets) == 1


def test_pending_jobs_are_counted_during_a_store_outage() -> None:
    store = FakeStore()
    store.states.put("0b", published_job(JobState.PENDING))
    store.streams.outage = not_run(FailureCode.UNAVAILABLE, "down")
    assert store.job_api().pending(QUEUE) == 1


def test_unknown_job_is_not_reported_missing_during_a_store_outage() -> None:
    store = FakeStore()
    store.failure = not_run(FailureCode.UNAVAILABLE, "the store is down")
    failure = store.job_api().state("0b", TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms
    assert store.job_api().cancel("0b", TIMEOUT_MS).is_err()


def test_unknown_job_is_not_missing_while_stored_jobs_are_unreadable() -> None:
    store = FakeStore()
    store.streams.outage = not_run(FailureCode.UNAVAILABLE, "down")
    failure = store.job_api().state("0b", TIMEOUT_MS).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms


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


def test_a_published_workspace_is_read_as_it_was_written() -> None:
    for state in JobState:
        for queue_name in ("q", '"', "q\x00\n,ü"):
            job = PublishedJob(state, queue_name, "north")
            assert PublishedJob.decode(job.encode()) == job


def test_records_without_a_workspace_are_the_same_bytes_as_before() -> None:
    assert published_job(JobState.RUNNING).encode() == b"rq"
    assert PublishedJob.decode(b"rq") == published_job(JobState.RUNNING)
    step = b'[1,[0,0,0],0,[],false,false,false,"","",0,false,false,"",0,'
    before = b'["0a","q","text",[' + step + b"false,null]],0,0,0,0]"
    job = JobSpec("0a", "q", "text", (StepSpec(1),))
    assert encode_job(job) == before
    assert decode_job(before) == job
    of_workspace = job._replace(workspace="north")
    assert decode_job(encode_job(of_workspace)) == of_workspace


# A leader that did not know the queue of a stored job any more lost the job.
def test_a_stored_job_has_what_its_queue_was_when_it_accepted_it() -> None:
    for permit_timing in (None, PermitTiming(20.0, 1.5, 2_000)):
        accepting = queue("q", 2, permit_timing)
        snapshot = QueueSnapshot.from_queue(accepting)
        job = JobSpec("0a", "q", "", (StepSpec(1),), accepting_queue=snapshot)
        stored = [decode_job(encode_job(job)) for _ in range(2)]
        assert stored == [job, job]
        assert stored[0].accepting_queue is stored[1].accepting_queue
        restored = snapshot.to_queue("q")._replace(
            host=accepting.host, path_prefix=accepting.path_prefix
        )
        assert restored == accepting


def test_an_unreadable_workspace_leaves_only_its_job_out() -> None:
    states = StateTable()
    values = {
        f"s.0{number}": value
        for number, value in enumerate(
            (b"P", b"Pq", b"P[]", b'P["q"]', b'P["q",7]', b"P{}", b"P\xff")
        )
    }
    values["s.0c"] = b'P["q","north"]'
    states.apply(values, list(values))
    assert states.pending("q") == 1
    assert states.get("0c") == PublishedJob(JobState.PENDING, "q", "north")


def test_a_job_of_another_workspace_is_forbidden_wherever_it_is_known() -> (
    None
):
    """Known by its acceptance, by the stored jobs, by its published state."""
    store = FakeStore()
    accepting = store.job_api()
    job = JOB._replace(workspace="north")
    assert accepting.submit(job, TIMEOUT_MS, NORTH).is_ok()
    reading = store.job_api()
    for job_api in (accepting, reading):
        for caller in (SOUTH, KEYLESS):
            found = job_api.state("0a", TIMEOUT_MS, caller).unwrap_err()
            assert found.code is FailureCode.FORBIDDEN
            found = job_api.cancel("0a", TIMEOUT_MS, caller).unwrap_err()
            assert found.code is FailureCode.FORBIDDEN
        assert job_api.state("0a", TIMEOUT_MS, NORTH).is_ok()
    store.states.put("0a", PublishedJob(JobState.COMPLETED, "q", "north"))
    other_job = job._replace(workspace="south")
    for job_api in (accepting, store.job_api()):
        failure = job_api.submit(other_job, TIMEOUT_MS, SOUTH).unwrap_err()
        assert failure.code is FailureCode.FORBIDDEN
        assert failure.verdict is Verdict.NOT_RUN
    assert list(store.stored) == ["j.0a"]


def test_an_unreadable_record_changes_nothing_else() -> None:
    states = StateTable()
    values = {"s.0a": b"\xff", "s.0b": b"?q", "s.0c": b"pq", "x": b"1"}
    states.apply(values, list(values))
    assert states.get("0a") is None
    assert states.get("0b") is None
    assert states.get("0c") == published_job(JobState.PENDING)
