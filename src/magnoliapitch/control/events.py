"""Events that the controller handles."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from result import Result

from magnoliapitch.planner.plan import PlannedPermitRequest
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.verdict import Failure
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.run import WorkerReport
from magnoliapitch.workload.worker import WorkerInfo


class WorkersListed(NamedTuple):
    """The platform's list of workers was read.

    :param read_ms: when the call that read it was sent, by this instance's
        clock.
    """

    info_by_id: Mapping[str, WorkerInfo]
    read_ms: int


# Bounds the time of one event, also if its jobs are the largest allowed.
MAX_JOBS_PER_EVENT = 5


class JobsRead(NamedTuple):
    """The job stream was read.

    :param job_ids: jobs that were submitted or cancelled.
    :param end: offset up to which the job stream was read; None if another
        event has more of what was read.
    :param read_ms: when the call that read it was sent, by this instance's
        clock.
    """

    job_ids: frozenset[str]
    end: int | None
    read_ms: int

    def parts(self) -> Iterator[JobsRead]:
        """Return events with a limited number of these jobs each."""
        job_ids = sorted(self.job_ids)
        while len(job_ids) > MAX_JOBS_PER_EVENT:
            part = frozenset(job_ids[:MAX_JOBS_PER_EVENT])
            yield JobsRead(part, None, self.read_ms)
            del job_ids[:MAX_JOBS_PER_EVENT]
        yield self._replace(job_ids=frozenset(job_ids))


class ConfigurationChanged(NamedTuple):
    """A newer version of the configuration was read."""


class WorkerReported(NamedTuple):
    """A lease renewal was answered or has failed.

    :param sent_ms: when the call was sent, by this instance's clock.
    :param received_ms: when it was answered or had failed, by this
        instance's clock.
    """

    worker_id: str
    outcome: Result[WorkerReport, Failure]
    sent_ms: int
    received_ms: int


class StartAnswered(NamedTuple):
    """A start order was answered or has failed.

    :param outcome: the worker's clock in ms, or the failure.
    """

    planned: PlannedStart
    outcome: Result[int, Failure]
    sent_ms: int
    received_ms: int


class StopAnswered(NamedTuple):
    """A stop order was answered or has failed.

    :param outcome: the worker's clock in ms, or the failure.
    """

    task: TaskKey
    run: int
    worker_id: str
    outcome: Result[int, Failure]
    received_ms: int


class ProgressStored(NamedTuple):
    """The progress of the batch that is being stored is stored.

    Its states, and with them the batch, may not be stored yet.

    :param refused_keys: keys of the records that the store has refused, and
        that are not stored.
    """

    refused_keys: tuple[str, ...] = ()


class Committed(NamedTuple):
    """A batch was stored, or failed for good, which ends the leadership.

    :param sent_ms: when the last attempt was sent.
    """

    outcome: Result[int, Failure]
    sent_ms: int


class PermitsAnswered(NamedTuple):
    """An advisor call was answered or has failed.

    :param issued_ms: earliest time at which the advisor can have issued the
        tickets, by this instance's clock.
    """

    request: PlannedPermitRequest
    outcome: Result[tuple[Permit, ...], Failure]
    issued_ms: int


Event = (
    WorkersListed
    | JobsRead
    | ConfigurationChanged
    | WorkerReported
    | StartAnswered
    | StopAnswered
    | ProgressStored
    | Committed
    | PermitsAnswered
)
