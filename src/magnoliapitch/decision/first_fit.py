"""Baseline policies: strict queue order and first-fit placement."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import PRIORITY_BY_CLASS
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
    from magnoliapitch.catalogue.entry import WorkClass
    from magnoliapitch.job.spec import TaskOutcome
    from magnoliapitch.policy.options import PolicyOptions


class FirstFitScheduler:
    """Scheduler that places the head of the queue on the first fitting worker.

    While the head does not fit, nothing behind it starts. All tasks of a
    gang start in the same decision.

    :param priority_by_class: rank of each work class, lowest first; tasks
        of equal rank start in order of arrival.
    """

    def __init__(self, priority_by_class: Mapping[WorkClass, int]) -> None:
        self._priority_by_class = priority_by_class
        self._workers_by_id: dict[str, WorkerShape] = {}
        self._free_by_worker: dict[str, Resources] = {}
        self._withheld_by_worker: dict[str, Resources] = {}
        self._placements_by_attempt: dict[str, Placement] = {}
        self._jobs_by_attempt: dict[str, str] = {}
        self._running_by_job: dict[str, set[str]] = {}
        self._waiting_by_job: dict[str, dict[str, TaskRequest]] = {}
        self._queue: list[tuple[int, int, TaskRequest]] = []
        self._arrival_count = 0
        self._queued_count = 0

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Do nothing: the order does not depend on the catalogue."""

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker, or update its capacity if it is known."""
        used = NO_RESOURCES
        for placement in self._placements_by_attempt.values():
            if placement.worker_id == worker.worker_id:
                used = used.plus(placement.reserved)
        self._workers_by_id[worker.worker_id] = worker
        self._free_by_worker[worker.worker_id] = worker.capacity.minus(used)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker and the reservations of its tasks."""
        self._workers_by_id.pop(worker_id, None)
        self._free_by_worker.pop(worker_id, None)
        self._withheld_by_worker.pop(worker_id, None)
        lost = [
            attempt_id
            for attempt_id, placement in self._placements_by_attempt.items()
            if placement.worker_id == worker_id
        ]
        for attempt_id in lost:
            self._forget(attempt_id)

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Set the capacity of a worker that must not be used."""
        self._withheld_by_worker[worker_id] = withheld

    def adopt(
        self, task: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Add a task that is already running."""
        if task.attempt_id in self._placements_by_attempt:
            return
        self._jobs_by_attempt[task.attempt_id] = task.job_id
        self._reserve(task, Placement(task.attempt_id, worker_id, reserved))

    def submit(self, tasks: tuple[TaskRequest, ...]) -> None:
        """Add tasks to the queue; ignore those whose id is known."""
        for task in tasks:
            if task.attempt_id in self._jobs_by_attempt:
                continue
            self._jobs_by_attempt[task.attempt_id] = task.job_id
            waiting = self._waiting_by_job.setdefault(task.job_id, {})
            waiting[task.attempt_id] = task
            rank = self._priority_by_class.get(task.work_class, 0)
            heapq.heappush(self._queue, (rank, self._arrival_count, task))
            self._arrival_count += 1
            self._queued_count += 1

    def cancel(self, job_id: str) -> tuple[str, ...]:
        """Remove the queued tasks of a job; return its running attempt ids."""
        waiting = self._waiting_by_job.pop(job_id, {})
        self._queued_count -= len(waiting)
        for attempt_id in waiting:
            self._jobs_by_attempt.pop(attempt_id, None)
        return tuple(sorted(self._running_by_job.get(job_id, ())))

    def record_task_end(
        self,
        attempt_id: str,
        outcome: TaskOutcome,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> None:
        """Release the resources of a task that is certain to have ended."""
        placement = self._forget(attempt_id)
        if placement is None:
            return
        free = self._free_by_worker.get(placement.worker_id)
        if free is not None:
            freed = free.plus(placement.reserved)
            self._free_by_worker[placement.worker_id] = freed

    def report_usage(
        self, attempt_id: str, usage: Resources, now_ms: int
    ) -> None:
        """Do nothing: the baseline reserves the declared sizes."""

    def record_resize(self, attempt_id: str, reserved: Resources) -> None:
        """Do nothing: the baseline never throttles a task."""

    def decide(self, now_ms: int) -> Decision:  # noqa: ARG002
        """Place tasks in queue order until one does not fit."""
        placements: list[Placement] = []
        while self._queue:
            head = self._queue[0][2]
            if not self._is_waiting(head):
                heapq.heappop(self._queue)
                continue
            placed = self._place(self._tasks_started_with(head))
            if not placed:
                break
            placements.extend(placed)
        return Decision(tuple(placements))

    def explain(self, job_id: str, now_ms: int) -> Explanation | None:  # noqa: ARG002
        """Return why a job waits, or ``None`` if none of its tasks do."""
        if job_id not in self._waiting_by_job:
            return None
        ahead = sum(
            self._is_waiting(task) and task.job_id != job_id
            for _, _, task in self._queue
        )
        return Explanation(job_id, "arrival order", ahead, -1)

    def infeasibility_reason(
        self, task: TaskRequest, workers: tuple[WorkerShape, ...]
    ) -> str:
        """Return why a task can never run on these workers, or ''."""
        if any(task.resources.fits(worker.capacity) for worker in workers):
            return ""
        return f"no worker has capacity for {task.resources}"

    def free_capacity(self) -> Resources:
        """Return the capacity that is neither reserved nor withheld."""
        total = NO_RESOURCES
        for worker_id in self._workers_by_id:
            total = total.plus(self._available(worker_id))
        return total

    def queued_count(self) -> int:
        """Return the number of queued tasks."""
        return self._queued_count

    def _is_waiting(self, task: TaskRequest) -> bool:
        return task.attempt_id in self._waiting_by_job.get(task.job_id, ())

    def _tasks_started_with(
        self, head: TaskRequest
    ) -> tuple[TaskRequest, ...]:
        if head.gang_size <= 1:
            return (head,)
        return tuple(self._waiting_by_job[head.job_id].values())

    def _place(self, tasks: tuple[TaskRequest, ...]) -> list[Placement]:
        placements: list[Placement] = []
        for task in tasks:
            worker_id = self._first_fit(task)
            if worker_id is None:
                for placement in placements:
                    self._undo_reservation(placement)
                return []
            placement = Placement(task.attempt_id, worker_id, task.resources)
            self._reserve(task, placement)
            placements.append(placement)
        for task in tasks:
            self._dequeue(task)
        return placements

    def _dequeue(self, task: TaskRequest) -> None:
        waiting = self._waiting_by_job[task.job_id]
        del waiting[task.attempt_id]
        self._queued_count -= 1
        if not waiting:
            del self._waiting_by_job[task.job_id]

    def _available(self, worker_id: str) -> Resources:
        withheld = self._withheld_by_worker.get(worker_id, NO_RESOURCES)
        return self._free_by_worker[worker_id].minus(withheld)

    def _first_fit(self, task: TaskRequest) -> str | None:
        for worker_id, worker in self._workers_by_id.items():
            if task.unit and task.unit != worker.unit:
                continue
            if task.resources.fits(self._available(worker_id)):
                return worker_id
        return None

    def _reserve(self, task: TaskRequest, placement: Placement) -> None:
        self._placements_by_attempt[placement.attempt_id] = placement
        running = self._running_by_job.setdefault(task.job_id, set())
        running.add(task.attempt_id)
        free = self._free_by_worker.get(placement.worker_id)
        if free is not None:
            left = free.minus(placement.reserved)
            self._free_by_worker[placement.worker_id] = left

    def _undo_reservation(self, placement: Placement) -> None:
        del self._placements_by_attempt[placement.attempt_id]
        job_id = self._jobs_by_attempt[placement.attempt_id]
        self._running_by_job[job_id].discard(placement.attempt_id)
        free = self._free_by_worker[placement.worker_id]
        freed = free.plus(placement.reserved)
        self._free_by_worker[placement.worker_id] = freed

    def _forget(self, attempt_id: str) -> Placement | None:
        placement = self._placements_by_attempt.pop(attempt_id, None)
        job_id = self._jobs_by_attempt.pop(attempt_id, "")
        waiting = self._waiting_by_job.get(job_id, {})
        if waiting.pop(attempt_id, None) is not None:
            self._queued_count -= 1
        running = self._running_by_job.get(job_id)
        if running is not None:
            running.discard(attempt_id)
            if not running:
                del self._running_by_job[job_id]
        return placement


@scheduling_policy("fifo")
def make_fifo(options: PolicyOptions) -> FirstFitScheduler:  # noqa: ARG001
    """Create the policy that starts tasks in order of arrival."""
    return FirstFitScheduler({})


@scheduling_policy("strict-priority")
def make_strict_priority(options: PolicyOptions) -> FirstFitScheduler:  # noqa: ARG001
    """Create the policy that orders by work class, then by arrival."""
    return FirstFitScheduler(PRIORITY_BY_CLASS)
