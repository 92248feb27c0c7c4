"""Records of jobs, progress and leadership, as bytes."""

from __future__ import annotations

from typing import NamedTuple

from pydantic import TypeAdapter

from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import TaskProgress


JOB_STREAM = "jobs"
STATE_STREAM = "states"
PROGRESS_STREAM = "runs"

JOB_PREFIX = "j."
CANCEL_PREFIX = "c."
PROGRESS_PREFIX = "p."
STATE_PREFIX = "s."
LEADER_KEY = "leader"
CANCELLED = b"1"


class LeaderRecord(NamedTuple):
    """The newest claim of leadership.

    :param epoch: fencing token; later claims have higher ones.
    :param instance_id: who claimed.
    :param has_resigned: the leader stops; anybody may claim at once.
    """

    epoch: int
    instance_id: str
    has_resigned: bool = False


class _Row(NamedTuple):
    occurrence: int
    step: int
    position: int
    state: TaskProgress


class _ProgressRecord(NamedTuple):
    outcome: JobOutcome
    has_begun: bool
    rows: tuple[_Row, ...]


_JOB: TypeAdapter[JobSpec] = TypeAdapter(JobSpec)
_LEADER: TypeAdapter[LeaderRecord] = TypeAdapter(LeaderRecord)
_PROGRESS: TypeAdapter[_ProgressRecord] = TypeAdapter(_ProgressRecord)


def encode_job(job: JobSpec) -> bytes:
    """Return a job as bytes."""
    return _JOB.dump_json(job)


def decode_job(value: bytes) -> JobSpec:
    """Parse a job.

    :raises ValueError: if it cannot be read.
    """
    return _JOB.validate_json(value)


def encode_leader(record: LeaderRecord) -> bytes:
    """Return a claim as bytes."""
    return _LEADER.dump_json(record)


def decode_leader(value: bytes) -> LeaderRecord:
    """Parse a claim.

    :raises ValueError: if it cannot be read.
    """
    return _LEADER.validate_json(value)


def encode_progress(progress: JobProgress) -> bytes:
    """Return a job's progress as bytes."""
    rows = tuple(
        _Row(task.occurrence, task.step, task.position, state)
        for task, state in progress.tasks_by_key.items()
    )
    return _PROGRESS.dump_json(
        _ProgressRecord(progress.outcome, progress.has_begun, rows)
    )


def decode_progress(job_id: str, value: bytes) -> JobProgress:
    """Parse a job's progress.

    :raises ValueError: if it cannot be read.
    """
    record = _PROGRESS.validate_json(value)
    return JobProgress(
        job_id,
        record.outcome,
        {TaskKey(job_id, *row[:3]): row.state for row in record.rows},
        record.has_begun,
    )
