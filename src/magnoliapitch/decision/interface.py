"""Interface between the job manager and a scheduling policy.

All times are milliseconds of the local clock, all durations milliseconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.job.spec import TaskOutcome


class TaskRequest(NamedTuple):
    """One attempt of a task, to be placed on a worker.

    :param attempt_id: lease id of the attempt, ``JOB/TASK/ATTEMPT``.
    :param entry: name of the catalogue entry that the job belongs to.
    :param owner: owner of that entry.
    :param resources: declared size.
    :param run_ms: declared run time.
    :param submitted_ms: when the job was accepted.
    :param deadline_ms: when the task should be complete; 0 for no deadline.
    :param gang_size: number of tasks of the job that must start together;
        1 if the task is not part of a gang.
    :param unit: the only rack that the task may run in; empty for any.
    """

    attempt_id: str
    job_id: str
    entry: str
    owner: str
    work_class: WorkClass
    resources: Resources
    run_ms: int
    submitted_ms: int
    deadline_ms: int = 0
    gang_size: int = 1
    unit: str = ""


class WorkerShape(NamedTuple):
    """A worker and its total capacity.

    :param unit: rack of the worker, which is its failure domain.
    :param zone: availability zone of the worker.
    """

    worker_id: str
    unit: str
    zone: str
    capacity: Resources


class Placement(NamedTuple):
    """Decision to start a task on a worker.

    :param reserved: resources to reserve for the task on that worker; may
        differ from the declared size.
    """

    attempt_id: str
    worker_id: str
    reserved: Resources


class EvictionAction(StrEnum):
    """How capacity is taken back from a task, least disruptive first."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class Eviction(NamedTuple):
    """Decision to take capacity back from a running task.

    :param cpu_millis: new CPU limit in thousandths of a core, for a
        throttle only. It may be higher than before, to lift a throttle.
    """

    attempt_id: str
    worker_id: str
    action: EvictionAction
    cpu_millis: int = 0


class Decision(NamedTuple):
    """Outcome of one call of :meth:`Scheduler.decide`.

    The scheduler has already counted the placements as running.

    :param has_more: whether the call stopped at its limit on work, so that
        the caller should call again at once.
    """

    placements: tuple[Placement, ...] = ()
    evictions: tuple[Eviction, ...] = ()
    has_more: bool = False


class Explanation(NamedTuple):
    """Why a job waits.

    :param limit: text that names what the job waits for. Clients may match
        these texts, so they do not change.
    :param position: number of tasks that start before it.
    :param estimate_ms: expected wait, -1 if unknown.
    """

    job_id: str
    limit: str
    position: int
    estimate_ms: int


class Scheduler(Protocol):
    """A scheduling policy for the workers that one entry instance manages.

    Policies need not be thread-safe: the caller makes all calls from one
    thread or uses a ``SynchronizedScheduler``.
    """

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Replace the catalogue.

        :param by_name: catalogue entries by name.
        """

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker, or update its capacity if it is known."""

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker and the reservations of its tasks."""

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Set the capacity of a worker that must not be used.

        A previous manager of the worker may have granted it to tasks that
        this scheduler does not know.
        """

    def adopt(
        self, task: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Add a task that is already running.

        :param worker_id: its worker, which may not have been added yet.
        :param reserved: resources that are reserved for it there.
        """

    def submit(self, tasks: tuple[TaskRequest, ...]) -> None:
        """Add tasks to the queue; ignore those whose id is known."""

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Remove the queued tasks of a job; return its running attempt ids."""

    def record_task_end(
        self, attempt_id: str, outcome: TaskOutcome, now_ms: int
    ) -> None:
        """Release the resources of a task that is certain to have ended."""

    def report_usage(
        self, attempt_id: str, usage: Resources, now_ms: int
    ) -> None:
        """Record the resource usage that a running task reported."""

    def record_resize(self, attempt_id: str, reserved: Resources) -> None:
        """Record that a worker confirmed the new size of a running task."""

    def decide(self, now_ms: int) -> Decision:
        """Return what to start and evict now; each call does bounded work."""

    def explain(self, job_id: str, now_ms: int) -> Explanation | None:
        """Return why a job waits, or ``None`` if none of its tasks do."""

    def infeasibility_reason(
        self, task: TaskRequest, workers: tuple[WorkerShape, ...]
    ) -> str:
        """Return why a task can never run on these workers, or ''."""

    def free_capacity(self) -> Resources:
        """Return the capacity that is neither reserved nor withheld."""

    def queued_count(self) -> int:
        """Return the number of queued tasks."""
