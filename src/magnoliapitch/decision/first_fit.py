"""Baseline policy: arrival order, first worker that fits."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from magnoliapitch.decision.interface import Decision
from magnoliapitch.decision.interface import Explanation
from magnoliapitch.decision.interface import Placement
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.decision.registry import scheduling_policy
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.job.spec import TaskOutcome


@scheduling_policy("fifo")
class FirstFitScheduler:
    """Places tasks in arrival order on the first worker that fits."""

    def __init__(self) -> None:
        self._workers_by_id: dict[str, WorkerShape] = {}
        self._free_by_worker: dict[str, Resources] = {}
        self._withheld_by_worker: dict[str, Resources] = {}
        self._placements_by_task: dict[str, Placement] = {}
        self._jobs_by_task: dict[str, str] = {}
        self._queue: deque[TaskRequest] = deque()
        self._queued_ids: set[str] = set()

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Ignore the catalogue; arrival order needs none."""

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker, or replace its capacity."""
        used = NO_RESOURCES
        for placement in self._placements_by_task.values():
            if placement.worker_id == worker.worker_id:
                used = used.plus(placement.reserved)
        self._workers_by_id[worker.worker_id] = worker
        self._free_by_worker[worker.worker_id] = worker.capacity.minus(used)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker; its reservations are dropped."""
        self._workers_by_id.pop(worker_id, None)
        self._free_by_worker.pop(worker_id, None)
        self._withheld_by_worker.pop(worker_id, None)
        self._placements_by_task = {
            task_id: placement
            for task_id, placement in self._placements_by_task.items()
            if placement.worker_id != worker_id
        }

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Withhold capacity that an earlier owner may have granted."""
        self._withheld_by_worker[worker_id] = withheld

    def adopt(
        self, task: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Count a task that already runs on a worker."""
        if task.task_id in self._placements_by_task:
            return
        self._jobs_by_task[task.task_id] = task.job_id
        self._reserve(Placement(task.task_id, worker_id, reserved))

    def submit(self, tasks: tuple[TaskRequest, ...]) -> None:
        """Queue tasks; a known task id is ignored."""
        for task in tasks:
            known = task.task_id in self._jobs_by_task
            if known:
                continue
            self._jobs_by_task[task.task_id] = task.job_id
            self._queued_ids.add(task.task_id)
            self._queue.append(task)

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Drop a job's queued tasks; return its running task ids."""
        self._queued_ids = {
            task_id
            for task_id in self._queued_ids
            if self._jobs_by_task[task_id] != job_id
        }
        return tuple(
            task_id
            for task_id in self._placements_by_task
            if self._jobs_by_task[task_id] == job_id
        )

    def ended(
        self,
        task_id: str,
        outcome: TaskOutcome,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> None:
        """Free the reservation of a task that surely runs no more."""
        placement = self._placements_by_task.pop(task_id, None)
        self._jobs_by_task.pop(task_id, None)
        if (
            placement is None
            or placement.worker_id not in self._free_by_worker
        ):
            return
        free = self._free_by_worker[placement.worker_id]
        self._free_by_worker[placement.worker_id] = free.plus(
            placement.reserved
        )

    def report_usage(
        self, task_id: str, usage: Resources, now_ms: int
    ) -> None:
        """Ignore usage; the baseline trusts declared sizes."""

    def decide(self, now_ms: int) -> Decision:  # noqa: ARG002
        """Place from the head of the queue until one does not fit."""
        placements: list[Placement] = []
        while self._queue:
            head = self._queue[0]
            if head.task_id not in self._queued_ids:
                self._queue.popleft()
                self._jobs_by_task.pop(head.task_id, None)
                continue
            worker_id = self._first_fit(head.resources)
            if worker_id is None:
                break
            self._queue.popleft()
            self._queued_ids.discard(head.task_id)
            placement = Placement(head.task_id, worker_id, head.resources)
            self._reserve(placement)
            placements.append(placement)
        return Decision(tuple(placements))

    def explain(self, job_id: str, now_ms: int) -> Explanation | None:  # noqa: ARG002
        """Tell why a queued job waits."""
        for position, task in enumerate(self._queue):
            if task.job_id == job_id and task.task_id in self._queued_ids:
                return Explanation(job_id, "arrival order", position, -1)
        return None

    def refusal(
        self, task: TaskRequest, fleet: tuple[WorkerShape, ...]
    ) -> str:
        """Tell why a task can never run on the fleet, or return ''."""
        if any(task.resources.fits(worker.capacity) for worker in fleet):
            return ""
        return f"no worker can hold {task.resources}"

    def free(self) -> Resources:
        """Return the unreserved capacity."""
        total = NO_RESOURCES
        for worker_id in self._workers_by_id:
            total = total.plus(self._available(worker_id))
        return total

    def queued(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._queued_ids)

    def _available(self, worker_id: str) -> Resources:
        withheld = self._withheld_by_worker.get(worker_id, NO_RESOURCES)
        return self._free_by_worker[worker_id].minus(withheld)

    def _first_fit(self, resources: Resources) -> str | None:
        for worker_id in self._workers_by_id:
            if resources.fits(self._available(worker_id)):
                return worker_id
        return None

    def _reserve(self, placement: Placement) -> None:
        self._placements_by_task[placement.task_id] = placement
        free = self._free_by_worker.get(placement.worker_id)
        if free is not None:
            self._free_by_worker[placement.worker_id] = free.minus(
                placement.reserved
            )
