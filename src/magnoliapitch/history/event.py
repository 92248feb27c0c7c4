"""What is observed from outside while a deployment runs.

Times are milliseconds of one clock, that of the observer.
"""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.resource import Resources


class LeaseStarted(NamedTuple):
    """A worker started a task."""

    at_ms: int
    worker_id: str
    lease_id: str
    resources: Resources


class LeaseEnded(NamedTuple):
    """A worker's task ended, for whatever reason."""

    at_ms: int
    worker_id: str
    lease_id: str


class WorkerSized(NamedTuple):
    """A worker has this capacity from now on."""

    at_ms: int
    worker_id: str
    capacity: Resources


class JobAccepted(NamedTuple):
    """A caller was told that a job is accepted."""

    at_ms: int
    job_id: str
    tasks: int


class JobCancelled(NamedTuple):
    """The log recorded that a caller cancelled a job."""

    at_ms: int
    job_id: str


class TaskFinished(NamedTuple):
    """The log recorded that a task finished."""

    at_ms: int
    job_id: str
    task: int


class OffsetApplied(NamedTuple):
    """An instance was seen at a log offset, with these versions in force.

    :param versions: versions of the catalogue by name.
    """

    at_ms: int
    instance_id: str
    offset: int
    versions: tuple[tuple[str, int], ...] = ()


Event = (
    LeaseStarted
    | LeaseEnded
    | WorkerSized
    | JobAccepted
    | JobCancelled
    | TaskFinished
    | OffsetApplied
)


class Violation(NamedTuple):
    """A promise that a history breaks.

    :param promise: name of the checker.
    """

    promise: str
    at_ms: int
    detail: str
