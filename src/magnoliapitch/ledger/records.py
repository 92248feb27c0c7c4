"""Stream names, keys and encoding of the stored records."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING
from typing import NamedTuple

from pydantic import TypeAdapter

from magnoliapitch.ledger.elapsed_clock import ClockStamp
from magnoliapitch.ledger.elapsed_clock import LeaseEnd
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.job_check import check_job
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import TaskProgress


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.workload.configuration import QueueSnapshot


JOB_STREAM = "jobs"
STATE_STREAM = "states"
PROGRESS_STREAM = "runs"

JOB_PREFIX = "j."
CANCEL_PREFIX = "c."
PROGRESS_PREFIX = "p."
STATE_PREFIX = "s."
LEASE_PREFIX = "l."
OLD_RUNS_PREFIX = "o."
LEADER_KEY = "leader"
CLOCK_KEY = "clock"
LEASE_BASIS_KEY = "lease-basis"
SPEEDS_KEY = "speeds"
LOAD_KEY = "load"
CANCELLED = b"1"
# A leader raises the token of a worker that restarts, up to the last of these.
TOKENS_PER_EPOCH = 1 << 10

MAX_SHARED_QUEUES = 1_024


class LeaderRecord(NamedTuple):
    """A claim of leadership.

    :param epoch: lowest of the ``TOKENS_PER_EPOCH`` fencing tokens of the
        claim; all those of a later claim are higher.
    :param instance_id: instance that claimed.
    :param has_resigned: whether the leader has stopped leading, so that other
        instances may claim at once.
    :param job_offset: the states of all jobs before this offset of the job
        stream are published; -1 if that is not known.
    :param address: ``IP:PORT`` at which other instances call it.
    :param open_bytes: memory that the leader keeps for the open jobs, in
        bytes.
    """

    epoch: int
    instance_id: str
    has_resigned: bool = False
    job_offset: int = -1
    address: str = ""
    open_bytes: int = 0


class OldRun(NamedTuple):
    """A run that has been active for so long that it ends no worker.

    :param number: number of the run among the runs of its task.
    """

    task: TaskKey
    number: int


class _TaskRow(NamedTuple):
    occurrence: int
    step: int
    position: int
    state: TaskProgress


class _ProgressRecord(NamedTuple):
    outcome: JobOutcome
    has_begun: bool
    rows: tuple[_TaskRow, ...]


_JOB_ADAPTER: TypeAdapter[JobSpec] = TypeAdapter(JobSpec)
_LEADER_ADAPTER: TypeAdapter[LeaderRecord] = TypeAdapter(LeaderRecord)
_CLOCK_ADAPTER: TypeAdapter[ClockStamp] = TypeAdapter(ClockStamp)
_LEASE_END_ADAPTER: TypeAdapter[LeaseEnd] = TypeAdapter(LeaseEnd)
_OLD_RUNS_ADAPTER: TypeAdapter[tuple[OldRun, ...]] = TypeAdapter(
    tuple[OldRun, ...]
)
_PROGRESS_ADAPTER: TypeAdapter[_ProgressRecord] = TypeAdapter(_ProgressRecord)


def encode_job(job: JobSpec) -> bytes:
    """Encode a submitted job as JSON.

    Without the queue, and then without a workspace, the record ends as in
    releases that have none.
    """
    value = _JOB_ADAPTER.dump_json(job)
    if job.accepting_queue is not None:
        return value
    value = value.removesuffix(b",null]") + b"]"
    return value if job.workspace else value.removesuffix(b',""]') + b"]"


def decode_job(value: bytes) -> JobSpec:
    """Decode a submitted job.

    :raises ValueError: if the value is not a valid job.
    """
    job = check_job(_JOB_ADAPTER.validate_json(value))
    if job.accepting_queue is None:
        return job
    return job._replace(accepting_queue=_shared(job.accepting_queue))


@lru_cache(maxsize=MAX_SHARED_QUEUES)
def _shared(queue: QueueSnapshot) -> QueueSnapshot:
    """Return one object for all equal ones, of which each job has one."""
    return queue


def encode_leader(record: LeaderRecord) -> bytes:
    """Encode a claim of leadership as JSON."""
    return _LEADER_ADAPTER.dump_json(record)


def decode_leader(value: bytes) -> LeaderRecord:
    """Decode a claim of leadership.

    :raises ValueError: if the value is not a valid claim.
    """
    return _LEADER_ADAPTER.validate_json(value)


def encode_clock(stamp: ClockStamp) -> bytes:
    """Encode a reading of the shared clock as JSON."""
    return _CLOCK_ADAPTER.dump_json(stamp)


def decode_clock(value: bytes) -> ClockStamp:
    """Decode a reading of the shared clock.

    :raises ValueError: if the value is not a valid reading.
    """
    return _CLOCK_ADAPTER.validate_json(value)


def encode_lease_end(end: LeaseEnd) -> bytes:
    """Encode the end of a worker's leases as JSON."""
    return _LEASE_END_ADAPTER.dump_json(end)


def decode_lease_end(value: bytes) -> LeaseEnd:
    """Decode the end of a worker's leases.

    :raises ValueError: if the value is not a valid end.
    """
    return _LEASE_END_ADAPTER.validate_json(value)


def encode_old_runs(runs: Iterable[OldRun]) -> bytes:
    """Encode the runs of a worker that were active for long as JSON."""
    return _OLD_RUNS_ADAPTER.dump_json(tuple(sorted(runs)))


def decode_old_runs(value: bytes) -> frozenset[OldRun]:
    """Decode the runs of a worker that were active for long.

    :raises ValueError: if the value is not a valid list of runs.
    """
    return frozenset(_OLD_RUNS_ADAPTER.validate_json(value))


def progress_key(job_id: str, part: int) -> str:
    """Return the key of a record of a job's progress.

    :param part: number of the record; that of the first is left out.
    """
    return PROGRESS_PREFIX + job_id + (f".{part}" if part else "")


def split_progress_key(key: str) -> tuple[str, int]:
    """Return the id of a job and the number of a record of its progress.

    :raises ValueError: if the key has no such form.
    """
    job_id, _, part = key.removeprefix(PROGRESS_PREFIX).partition(".")
    return job_id, int(part or 0)


def encode_progress(progress: JobProgress) -> bytes:
    """Encode a job's progress as JSON, without the job's id."""
    rows = tuple(
        _TaskRow(task.occurrence, task.step, task.position, state)
        for task, state in progress.tasks_by_key.items()
    )
    return _PROGRESS_ADAPTER.dump_json(
        _ProgressRecord(progress.outcome, progress.has_begun, rows)
    )


def decode_progress(job_id: str, value: bytes) -> JobProgress:
    """Decode a job's progress.

    :param job_id: id from the record's key.
    :raises ValueError: if the value is not valid progress.
    """
    record = _PROGRESS_ADAPTER.validate_json(value)
    return JobProgress(
        job_id,
        record.outcome,
        {TaskKey(job_id, *row[:3]): row.state for row in record.rows},
        record.has_begun,
    )
