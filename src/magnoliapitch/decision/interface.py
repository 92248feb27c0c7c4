"""Interface between the job manager and a scheduling policy."""

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
    """A task that waits for a worker.

    :param task_id: lease id of its next attempt, ``JOB/TASK/ATTEMPT``.
    :param gang_size: tasks of the job that must start together, else 1.
    :param unit: rack whose workers alone may run it, or empty for any.
    :param run_ms: declared run time.
    :param submitted_ms: when the job was accepted, local clock.
    :param deadline_ms: wanted completion, local clock; 0 for none.
    """

    task_id: str
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
    """A worker that tasks may be placed on.

    :param unit: rack, the failure domain.
    """

    worker_id: str
    unit: str
    zone: str
    capacity: Resources


class Placement(NamedTuple):
    """Start of a task on a worker.

    :param reserved: amount to reserve there for the task.
    """

    task_id: str
    worker_id: str
    reserved: Resources


class EvictionAction(StrEnum):
    """How capacity is taken back, least damage first."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class Eviction(NamedTuple):
    """Taking back capacity from a running task.

    :param cpu_millis: bound to throttle to.
    """

    task_id: str
    worker_id: str
    action: EvictionAction
    cpu_millis: int = 0


class Decision(NamedTuple):
    """What to do now; placements already count as reserved.

    :param has_more: the bound on work was reached; decide again at once.
    """

    placements: tuple[Placement, ...] = ()
    evictions: tuple[Eviction, ...] = ()
    has_more: bool = False


class Explanation(NamedTuple):
    """Why a job waits.

    :param limit: the binding limit in words.
    :param position: tasks ahead of it.
    :param estimate_ms: expected wait, -1 if unknown.
    """

    job_id: str
    limit: str
    position: int
    estimate_ms: int


class Scheduler(Protocol):
    """A scheduling policy over the capacity of one entry.

    All calls come from one thread; ``now_ms`` is the local clock.
    """

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Use these catalogue entries from now on."""

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker, or replace its capacity."""

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker; its reservations are dropped."""

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Withhold capacity that an earlier owner may have granted."""

    def adopt(
        self, task: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Count a task that already runs on a worker."""

    def submit(self, tasks: tuple[TaskRequest, ...]) -> None:
        """Queue tasks; a known task id is ignored."""

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Drop a job's queued tasks; return its running task ids."""

    def ended(self, task_id: str, outcome: TaskOutcome, now_ms: int) -> None:
        """Free the reservation of a task that surely runs no more."""

    def report_usage(
        self, task_id: str, usage: Resources, now_ms: int
    ) -> None:
        """Note a usage report of a running task."""

    def resized(self, task_id: str, reserved: Resources) -> None:
        """Note that a worker confirmed a new bound on a running task."""

    def decide(self, now_ms: int) -> Decision:
        """Return the next decision, bounded in work."""

    def explain(self, job_id: str, now_ms: int) -> Explanation | None:
        """Tell why a queued job waits."""

    def refusal(
        self, task: TaskRequest, fleet: tuple[WorkerShape, ...]
    ) -> str:
        """Tell why a task can never run on the fleet, or return ''."""

    def free(self) -> Resources:
        """Return the unreserved capacity."""

    def queued(self) -> int:
        """Return the number of waiting tasks."""
