"""What the controller is told."""

from __future__ import annotations

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
    """The platform's list of workers was read."""

    info_by_id: Mapping[str, WorkerInfo]


class JobsChanged(NamedTuple):
    """Jobs were submitted or cancelled."""

    job_ids: frozenset[str]


class ConfigurationChanged(NamedTuple):
    """A newer configuration is in force."""


class WorkerReported(NamedTuple):
    """A worker's lease was renewed, or not.

    :param sent_ms: when the call was sent, by our clock.
    :param received_ms: when it was answered, by our clock.
    """

    worker_id: str
    outcome: Result[WorkerReport, Failure]
    sent_ms: int
    received_ms: int


class StartAnswered(NamedTuple):
    """An order to start was answered, or not."""

    start: PlannedStart
    outcome: Result[int, Failure]
    sent_ms: int
    received_ms: int


class StopAnswered(NamedTuple):
    """An order to stop was answered, or not."""

    task: TaskKey
    run: int
    worker_id: str
    outcome: Result[int, Failure]
    received_ms: int


class Committed(NamedTuple):
    """Progress was stored, or the leadership is lost.

    :param sent_ms: when the call that succeeded was sent.
    """

    outcome: Result[int, Failure]
    sent_ms: int


class PermitsAnswered(NamedTuple):
    """The advisor answered, or not."""

    request: PlannedPermitRequest
    outcome: Result[tuple[Permit, ...], Failure]
    sent_ms: int


Event = (
    WorkersListed
    | JobsChanged
    | ConfigurationChanged
    | WorkerReported
    | StartAnswered
    | StopAnswered
    | Committed
    | PermitsAnswered
)
