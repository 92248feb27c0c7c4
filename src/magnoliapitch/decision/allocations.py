"""Resources allocated to running tasks, by worker, owner and entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import Placement
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.decision.placement import WorkerTable
from magnoliapitch.decision.quota_usage import QuotaUsage
from magnoliapitch.decision.worker_state import RunningTask
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import UNLIMITED
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.worker_state import WorkerState


class Allocations:
    """Resources allocated to running tasks.

    :param headroom: share of all CPU that bulk work leaves free.
    :ivar free: capacity of all workers that is neither reserved nor withheld.
    :ivar freed_count: counter that grows whenever capacity becomes free.
    :ivar freed_workers_by_id: workers on which capacity became free since
        the policy last cleared this.
    :ivar borrowed: number of running tasks that exceed the quota of their
        entry, using idle quota of others.
    """

    def __init__(self, headroom: float) -> None:
        self.workers = WorkerTable(headroom)
        self.quota_usage = QuotaUsage()
        self.running_by_id: dict[str, RunningTask] = {}
        self.free = NO_RESOURCES
        self.freed_count = 0
        self.borrowed = 0
        self.freed_workers_by_id: dict[str, WorkerState] = {}
        self._task_counts_by_job: dict[str, dict[str, int]] = {}
        self._adopted_by_worker: dict[str, list[RunningTask]] = {}

    def add_worker(self, shape: WorkerShape) -> WorkerState:
        """Add a worker, or update its capacity and keep its tasks."""
        previous = self.workers.remove(shape.worker_id)
        if previous is not None:
            self.free = self.free.minus(previous.free)
        worker = self.workers.add(shape)
        if previous is not None:
            worker.withheld = previous.withheld
            worker.allocate(previous.withheld)
            for task in previous.tasks_by_id.values():
                self._attach(task, worker)
        for task in self._adopted_by_worker.pop(shape.worker_id, ()):
            if self.running_by_id.get(task.request.attempt_id) is task:
                self._attach(task, worker)
        self.workers.allocate(worker, NO_RESOURCES)
        self.free = self.free.plus(worker.free)
        self.mark_freed(worker)
        return worker

    def remove_worker(self, worker_id: str) -> list[RunningTask]:
        """Remove a worker and its tasks; return these tasks."""
        worker = self.workers.remove(worker_id)
        if worker is None:
            return []
        self.free = self.free.minus(worker.free)
        self.freed_workers_by_id.pop(worker_id, None)
        lost = list(worker.tasks_by_id.values())
        for task in lost:
            del self.running_by_id[task.request.attempt_id]
            self.borrowed -= task.borrowed
            self._remove_usage(task)
        return lost

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Set the capacity of a worker that must not be used."""
        worker = self.workers.by_id.get(worker_id)
        if worker is None or withheld == worker.withheld:
            return
        self._allocate(worker, withheld.minus(worker.withheld))
        worker.withheld = withheld
        self.mark_freed(worker)

    def start(
        self,
        request: TaskRequest,
        worker: WorkerState,
        reserved: Resources,
        run_window_ms: tuple[int, int],
    ) -> Placement:
        """Allocate resources to a task that starts now.

        :param reserved: resources to reserve on the worker.
        :param run_window_ms: start and expected end of the task.
        """
        task = RunningTask(request, worker, reserved, *run_window_ms)
        if not self.quota_usage.is_within_quota(request.entry, reserved):
            task.borrowed = True
            self.borrowed += 1
        self.running_by_id[request.attempt_id] = task
        worker.tasks_by_id[request.attempt_id] = task
        self._allocate(worker, reserved)
        self._add_usage(task)
        if worker.earmarked != NO_RESOURCES:
            left = worker.earmarked.minus(reserved)
            worker.earmarked = Resources(*(max(0, part) for part in left))
        return Placement(request.attempt_id, worker.shape.worker_id, reserved)

    def adopt(
        self, request: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Add a task that is already running.

        If its worker is unknown, the task is attached once that is added.
        """
        worker = self.workers.by_id.get(worker_id)
        run_window_ms = (
            request.submitted_ms,
            request.submitted_ms + request.run_ms,
        )
        if worker is not None:
            self.start(request, worker, reserved, run_window_ms)
            return
        placeholder = WorkerTable(0).add(_placeholder_shape(worker_id))
        task = RunningTask(request, placeholder, reserved, *run_window_ms)
        self.running_by_id[request.attempt_id] = task
        self._add_usage(task)
        adopted = self._adopted_by_worker.setdefault(worker_id, [])
        adopted.append(task)

    def end(self, attempt_id: str) -> RunningTask | None:
        """Release the resources of a task; return it, ``None`` if unknown."""
        task = self.running_by_id.pop(attempt_id, None)
        if task is None:
            return None
        self.borrowed -= task.borrowed
        self._remove_usage(task)
        worker = task.worker
        if worker.tasks_by_id.pop(attempt_id, None) is None:
            return task
        self._allocate(worker, NO_RESOURCES.minus(task.reserved))
        self.mark_freed(worker)
        return task

    def resize(self, task: RunningTask, reserved: Resources) -> None:
        """Change the resources that are reserved for a running task."""
        worker = task.worker
        if task.request.attempt_id not in worker.tasks_by_id:
            return
        self._remove_usage(task)
        self._allocate(worker, reserved.minus(task.reserved))
        task.reserved = reserved
        self._add_usage(task)
        self.mark_freed(worker)

    def mark_freed(self, worker: WorkerState) -> None:
        """Record that capacity of a worker became free."""
        self.freed_count += 1
        self.freed_workers_by_id[worker.shape.worker_id] = worker

    def max_freed_bulk_capacity(self, limit: int) -> Resources:
        """Return the most that bulk work may use on any freed worker.

        The maximum is taken for each resource on its own.

        :param limit: if more workers than this were freed, the result is
            ``UNLIMITED``.
        """
        if len(self.freed_workers_by_id) > limit:
            return UNLIMITED
        workers = self.freed_workers_by_id.values()
        return Resources(
            max((item.free_bulk_cpu_millis() for item in workers), default=0),
            max((item.free_memory_mb for item in workers), default=0),
            max((item.free_accelerators for item in workers), default=0),
        )

    def earmark(
        self, worker: WorkerState, amount: Resources, until_ms: int
    ) -> None:
        """Set capacity aside that is being taken back from bulk work.

        :param until_ms: when bulk work may use it again.
        """
        worker.earmarked = worker.earmarked.plus(amount)
        worker.earmarked_until_ms = until_ms

    def task_count_by_unit(self, job_id: str) -> dict[str, int]:
        """Return the number of running tasks of a service job by rack."""
        return self._task_counts_by_job.get(job_id, {})

    def _attach(self, task: RunningTask, worker: WorkerState) -> None:
        task.worker = worker
        worker.tasks_by_id[task.request.attempt_id] = task
        worker.allocate(task.reserved)
        if task.request.work_class is WorkClass.URGENT:
            worker.urgent_cpu_millis += task.reserved.cpu_millis

    def _allocate(self, worker: WorkerState, taken: Resources) -> None:
        self.workers.allocate(worker, taken)
        self.free = self.free.minus(taken)

    def _add_usage(self, task: RunningTask) -> None:
        request = task.request
        self.quota_usage.allocate(request.entry, request.owner, task.reserved)
        if request.work_class is WorkClass.URGENT:
            task.worker.urgent_cpu_millis += task.reserved.cpu_millis
        if request.work_class is WorkClass.SERVICE:
            unit = task.worker.shape.unit
            counts = self._task_counts_by_job.setdefault(request.job_id, {})
            counts[unit] = counts.get(unit, 0) + 1

    def _remove_usage(self, task: RunningTask) -> None:
        request = task.request
        self.quota_usage.release(request.entry, request.owner, task.reserved)
        if request.work_class is WorkClass.URGENT:
            task.worker.urgent_cpu_millis -= task.reserved.cpu_millis
        if request.work_class is WorkClass.SERVICE:
            unit = task.worker.shape.unit
            counts = self._task_counts_by_job[request.job_id]
            counts[unit] -= 1
            if not any(counts.values()):
                del self._task_counts_by_job[request.job_id]


def _placeholder_shape(worker_id: str) -> WorkerShape:
    return WorkerShape(worker_id, "", "", NO_RESOURCES)
