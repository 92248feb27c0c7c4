"""Batches of the records that a leader stores: progress and job states."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.progress_records import deletion_records
from magnoliapitch.control.progress_records import take_changed_records
from magnoliapitch.control.speed_record import SpeedRecord
from magnoliapitch.ledger.leader_appender import Batch
from magnoliapitch.ledger.records import CLOCK_KEY
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import LEASE_BASIS_KEY
from magnoliapitch.ledger.records import STATE_PREFIX
from magnoliapitch.ledger.records import encode_clock
from magnoliapitch.ledger.records import encode_leader
from magnoliapitch.ledger.state_table import FINAL_STATES
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import PublishedJob
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.control.load_publisher import LoadPublisher
    from magnoliapitch.control.stored_leases import StoredLeases
    from magnoliapitch.control.stored_old_runs import StoredOldRuns
    from magnoliapitch.control.timing import ControlTiming
    from magnoliapitch.ledger.elapsed_clock import LeaderClock
    from magnoliapitch.ledger.records import LeaderRecord
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.planner.duration import LearnedDurations
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked_job import TrackedJob


# Interval of the records that show the other instances that the leader is
# alive, and how far it has read the submitted jobs.
HEARTBEAT_INTERVAL_MS = 300
# Bounds the duration of a round; a new leader may find many jobs without one.
MAX_STATES_PER_BATCH = 5_000

_STATE_BY_OUTCOME = {
    JobOutcome.COMPLETED: JobState.COMPLETED,
    JobOutcome.FAILED: JobState.FAILED,
    JobOutcome.CANCELLED: JobState.CANCELLED,
}


class ProgressBatcher:
    """Collects changed progress and job states into one batch at a time.

    :param clock: the shared clock as the leader continues it.
    :param stored_leases: ends of leases that are stored with the states.
    :param old_runs: runs active for long that are stored with the states.
    :param delete_jobs: deletes stored jobs that have ended.
    :param learned_durations: what is learned of durations and speeds; None if
        it is not kept.
    :param load_publisher: adds the load figures; None to publish none.
    :ivar stamped_ms: when the newest reading of the shared clock that leases
        may rest on was taken, by this instance's clock; None before one of
        this leader is certainly stored.
    """

    def __init__(
        self,
        state: SchedulerState,
        state_table: StateTable,
        leader: LeaderRecord,
        timing: ControlTiming,
        clock: LeaderClock,
        stored_leases: StoredLeases,
        old_runs: StoredOldRuns,
        delete_jobs: Callable[[Sequence[str]], None],
        learned_durations: LearnedDurations | None = None,
        load_publisher: LoadPublisher | None = None,
    ) -> None:
        self._state = state
        self._state_table = state_table
        self._leader = leader
        self._timing = timing
        self._clock = clock
        self._stored_leases = stored_leases
        self._old_runs = old_runs
        self._delete_jobs = delete_jobs
        self._speed_record = SpeedRecord(learned_durations, state_table)
        self._load_publisher = load_publisher
        self._read_end = leader.job_offset
        self._heartbeat_ms: int | None = None
        self.stamped_ms: int | None = None
        self._stamp_in_commit_ms: int | None = None
        self._outcome_in_commit_by_id: dict[str, JobOutcome] = {}
        self._states_in_commit_by_id: dict[str, PublishedJob] = {}
        self._leader_in_commit: LeaderRecord | None = None
        # Jobs whose current state may differ from the published one.
        self._unpublished_job_ids: set[str] = set()
        # Jobs whose final progress is stored and that can be removed.
        self._finished_job_ids: set[str] = set()
        self._ended_ms_by_job: dict[str, int] = {}

    def load(self, now_ms: int) -> None:
        """Start from the job states that former leaders published."""
        self._speed_record.load(now_ms)
        for job_id in self._state_table.ended_job_ids():
            self._ended_ms_by_job[job_id] = now_ms

    def record_read(self, job_end: int) -> None:
        """Record that all jobs before an offset were added.

        The offset is published once all their states are.
        """
        self._read_end = job_end

    def has_ended(self, job_id: str) -> bool:
        """Return whether a final state of a job is published."""
        return self.published_state(job_id) in FINAL_STATES

    def published_state(self, job_id: str) -> JobState | None:
        """Return the published state of a job, or None if there is none."""
        published = self._state_table.get(job_id)
        return None if published is None else published.state

    def record_added(self, job_id: str) -> None:
        """Record a job that was added to the scheduler's state."""
        if self.has_ended(job_id):
            # A former leader stored and published how it has ended.
            self._finished_job_ids.add(job_id)
            return
        self._unpublished_job_ids.add(job_id)
        if self._state.jobs_by_id[job_id].outcome is not JobOutcome.OPEN:
            # A former leader stored the final progress but did not publish
            # the final state.
            self._state.unsaved_job_ids.add(job_id)

    def next_batch(self, now_ms: int, has_starts: bool) -> Batch | None:
        """Return the batch to store now, or None if there is nothing to store.

        :param has_starts: whether start orders wait for the batch.
        """
        has_changes = (
            has_starts
            or self._state.unsaved_job_ids
            or self._unpublished_job_ids
            or self._stored_leases.has_changes
            or self._old_runs.has_changes
        )
        if self._load_publisher and self._load_publisher.prepare(now_ms):
            has_changes = True
        if not has_changes and not self._is_heartbeat_due(now_ms):
            return None
        return Batch(self._progress_records(), self._state_records(now_ms))

    def record_stored(self, now_ms: int) -> None:
        """Record that the last batch was stored."""
        stored, self._outcome_in_commit_by_id = (
            self._outcome_in_commit_by_id,
            {},
        )
        for job_id, outcome in stored.items():
            if outcome is not JobOutcome.OPEN:
                self._finished_job_ids.add(job_id)
                self._ended_ms_by_job[job_id] = now_ms
        for job_id, published in self._states_in_commit_by_id.items():
            self._state_table.put(job_id, published)
        self._states_in_commit_by_id = {}
        self._speed_record.record_stored()
        self._stored_leases.record_stored()
        if self._stamp_in_commit_ms is not None:
            self.stamped_ms = self._stamp_in_commit_ms
            self._stamp_in_commit_ms = None
        if self._leader_in_commit is not None:
            self._state_table.leader = self._leader_in_commit
            self._leader_in_commit = None
        if self._load_publisher:
            self._load_publisher.record_stored()

    def _progress_records(self) -> tuple[KeyedRecord, ...]:
        records = self._remove_finished_jobs()
        self._unpublished_job_ids |= self._state.unsaved_job_ids
        self._outcome_in_commit_by_id = {}
        for job_id in sorted(self._state.unsaved_job_ids):
            job = self._state.jobs_by_id.get(job_id)
            if job is not None:
                self._outcome_in_commit_by_id[job_id] = job.outcome
                records += take_changed_records(job)
        self._state.unsaved_job_ids.clear()
        return tuple(records)

    def _remove_finished_jobs(self) -> list[KeyedRecord]:
        """Remove jobs whose final progress is stored and without active runs.

        :return: records that delete their progress.
        """
        removed_job_ids = [
            job_id
            for job_id in self._finished_job_ids
            if job_id not in self._state.unsaved_job_ids
            and not self._has_active_runs(job_id)
        ]
        records: list[KeyedRecord] = []
        for job_id in removed_job_ids:
            self._finished_job_ids.discard(job_id)
            job = self._state.jobs_by_id.get(job_id)
            if job is not None:
                records += deletion_records(job)
            self._state.remove_job(job_id)
        if removed_job_ids:
            self._delete_jobs(removed_job_ids)
        return records

    def _has_active_runs(self, job_id: str) -> bool:
        job = self._state.jobs_by_id.get(job_id)
        return job is not None and any(
            step.all_active_runs() for step in job.all_steps()
        )

    def _state_records(self, now_ms: int) -> tuple[KeyedRecord, ...]:
        self._take_unpublished_states()
        records = [
            KeyedRecord(STATE_PREFIX + job_id, current.encode())
            for job_id, current in self._states_in_commit_by_id.items()
        ]
        if self._is_heartbeat_due(now_ms):
            self._heartbeat_ms = now_ms
            self._leader = self._leader._replace(
                job_offset=self._published_end(),
                open_bytes=self._state.open_bytes,
            )
            self._leader_in_commit = self._leader
            leader = encode_leader(self._leader)
            records.append(KeyedRecord(LEADER_KEY, leader))
            clock = encode_clock(self._clock.stamp(now_ms))
            records.append(KeyedRecord(CLOCK_KEY, clock))
            records.append(KeyedRecord(LEASE_BASIS_KEY, clock))
            self._stamp_in_commit_ms = now_ms
        if self._load_publisher:
            records += self._load_publisher.take_records(now_ms)
        return (
            *records,
            *self._stored_leases.take_records(),
            *self._old_runs.take_records(),
            *self._speed_record.due_records(now_ms),
            *self._expired_states(now_ms),
        )

    def _take_unpublished_states(self) -> None:
        """Add the states that are not published yet to the batch.

        If there are many, the rest is for the next batches.
        """
        job_ids = sorted(self._unpublished_job_ids)[:MAX_STATES_PER_BATCH]
        self._unpublished_job_ids.difference_update(job_ids)
        for job_id in job_ids:
            job = self._state.jobs_by_id.get(job_id)
            if job is None:
                continue
            current = PublishedJob(
                _job_state(job), job.spec.queue, job.spec.workspace
            )
            if self._state_table.get(job_id) != current:
                self._states_in_commit_by_id[job_id] = current

    def _published_end(self) -> int:
        """Return before which offset all jobs are published with the batch."""
        if self._unpublished_job_ids:
            return self._leader.job_offset
        return self._read_end

    def _is_heartbeat_due(self, now_ms: int) -> bool:
        return (
            self._heartbeat_ms is None
            or now_ms - self._heartbeat_ms >= HEARTBEAT_INTERVAL_MS
        )

    def _expired_states(self, now_ms: int) -> list[KeyedRecord]:
        """Remove old states of ended jobs; return records that delete them."""
        expired: list[KeyedRecord] = []
        for job_id, ended_ms in list(self._ended_ms_by_job.items()):
            if now_ms - ended_ms < self._timing.keep_states_ms:
                break
            del self._ended_ms_by_job[job_id]
            self._state_table.put(job_id, None)
            expired.append(KeyedRecord(STATE_PREFIX + job_id, b""))
        return expired


def _job_state(job: TrackedJob) -> JobState:
    if job.outcome is not JobOutcome.OPEN:
        return _STATE_BY_OUTCOME[job.outcome]
    return JobState.RUNNING if job.has_begun else JobState.PENDING
