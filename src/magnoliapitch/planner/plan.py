"""What the planner wants to be done."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import TaskKey


class PlannedStart(NamedTuple):
    """A run that is to be ordered.

    :param run: number of the run.
    :param ticket: the advisor's permission, or empty.
    """

    task: TaskKey
    run: int
    worker_id: str
    ticket: str = ""


class PlannedStop(NamedTuple):
    """A run that is to be stopped.

    :param reason: why, for the log.
    """

    task: TaskKey
    run: int
    worker_id: str
    reason: str


class PlannedAsk(NamedTuple):
    """Workers that the advisor is to be asked about.

    :param cost_ms: expected duration of the call.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    priority: int
    cost_ms: float


class Plan(NamedTuple):
    """Actions of one round of decisions."""

    starts: tuple[PlannedStart, ...] = ()
    stops: tuple[PlannedStop, ...] = ()
    asks: tuple[PlannedAsk, ...] = ()
