"""Actions that the planner decides on in one round."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import TaskKey


class PlannedStart(NamedTuple):
    """A run that a worker is to be ordered to start.

    :param run: number of the run.
    :param ticket: ticket of the advisor's permit; empty if the queue needs
        none.
    :param is_copy: whether another run of the task goes on meanwhile.
    """

    task: TaskKey
    run: int
    worker_id: str
    ticket: str = ""
    is_copy: bool = False


class PlannedStop(NamedTuple):
    """A run that a worker is to be ordered to stop.

    :param reason: reason that the log gives.
    """

    task: TaskKey
    run: int
    worker_id: str
    reason: str


class PlannedPermitRequest(NamedTuple):
    """A call to the advisor for permits to run a step on some workers.

    :param priority: priority of the step's queue.
    :param expected_call_ms: expected duration of the call.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    priority: int
    expected_call_ms: float


class Plan(NamedTuple):
    """Actions of one planning round.

    :param unexamined_steps: number of waiting steps that the round did not
        come to.
    """

    starts: tuple[PlannedStart, ...] = ()
    stops: tuple[PlannedStop, ...] = ()
    permit_requests: tuple[PlannedPermitRequest, ...] = ()
    unexamined_steps: int = 0
