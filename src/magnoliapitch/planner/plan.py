"""Actions that the planner decides on in one round."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
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


class IdleCalls(NamedTuple):
    """Calls to the advisor that can be started now.

    :param total: number of calls.
    :param long: how many of them may be long ones.
    """

    total: int
    long: int


class WorkspaceWaits(NamedTuple):
    """Steps that a round left out or placed last, by workspace.

    :param held_steps: steps none of whose tasks passes the quota.
    :param held_tasks: their waiting tasks.
    :param steps_beyond_share: steps that would bring the workspace above its
        fair share.
    :param newly_held: steps that are left out for the first time since their
        last start.
    """

    held_steps: Mapping[str, int] = MappingProxyType({})
    held_tasks: Mapping[str, int] = MappingProxyType({})
    steps_beyond_share: Mapping[str, int] = MappingProxyType({})
    newly_held: tuple[StepKey, ...] = ()


class Plan(NamedTuple):
    """Actions of one planning round.

    :param unexamined_steps: number of waiting steps that the round did not
        come to.
    :param workspace_waits: what waits because of quotas and shares.
    :param workers_kept_apart: number of workers that other jobs are kept off
        for tasks that may end their workers.
    """

    starts: tuple[PlannedStart, ...] = ()
    stops: tuple[PlannedStop, ...] = ()
    permit_requests: tuple[PlannedPermitRequest, ...] = ()
    unexamined_steps: int = 0
    workspace_waits: WorkspaceWaits = WorkspaceWaits()
    workers_kept_apart: int = 0
