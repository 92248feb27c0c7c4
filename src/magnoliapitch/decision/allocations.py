"""Reservations of running tasks, on workers, owners and entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.quota_usage import Accounts
from magnoliapitch.decision.worker_state import RunningTask
from magnoliapitch.decision.interface import Placement
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.decision.placement import WorkerTable
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import UNLIMITED
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.worker_state import WorkerState
    from magnoliapitch.decision.interface import TaskRequest


class Books:
    """What is reserved, and for whom.

    :ivar freed: increases whenever capacity becomes free.
    :ivar changed_by_id: workers on which capacity became free since this
        was last cleared.
    :ivar borrowed: running tasks beyond the quota of their entries.
    """

    def __init__(self, headroom: float) -> None:
        self.table = WorkerTable(headroom)
        self.accounts = Accounts()
        self.running_by_id: dict[str, RunningTask] = {}
        self.free = NO_RESOURCES
        self.freed = 0
        self.borrowed = 0
        self.changed_by_id: dict[str, WorkerState] = {}
        self._spread_by_job: dict[str, dict[str, int]] = {}
        self._adopted_by_worker: dict[str, list[RunningTask]] = {}

    def add_worker(self, shape: WorkerShape) -> WorkerState:
        """Add a worker, or replace its capacity."""
        known = self.table.remove(shape.worker_id)
        if known is not None:
            self.free = self.free.minus(known.free)
        worker = self.table.add(shape)
        if known is not None:
            worker.withheld = known.withheld
            worker.take(known.withheld)
            for task in known.tasks_by_id.values():
                self._move(task, worker)
        for task in self._adopted_by_worker.pop(shape.worker_id, ()):
            if self.running_by_id.get(task.request.task_id) is task:
                self._move(task, worker)
        self.table.take(worker, NO_RESOURCES)
        self.free = self.free.plus(worker.free)
        self.mark_freed(worker)
        return worker

    def remove_worker(self, worker_id: str) -> list[RunningTask]:
        """Forget a worker; return the tasks that it held."""
        worker = self.table.remove(worker_id)
        if worker is None:
            return []
        self.free = self.free.minus(worker.free)
        self.changed_by_id.pop(worker_id, None)
        lost = list(worker.tasks_by_id.values())
        for task in lost:
            del self.running_by_id[task.request.task_id]
            self.borrowed -= task.borrowed
            self._uncount(task)
        return lost

    def set_withheld(self, worker_id: str, withheld: Resources) -> None:
        """Withhold capacity of a worker."""
        worker = self.table.workers_by_id.get(worker_id)
        if worker is None or withheld == worker.withheld:
            return
        self._change(worker, withheld.minus(worker.withheld))
        worker.withheld = withheld
        self.mark_freed(worker)

    def start(
        self,
        request: TaskRequest,
        worker: WorkerState,
        reserved: Resources,
        span_ms: tuple[int, int],
    ) -> Placement:
        """Reserve for a task.

        :param span_ms: start and expected end.
        """
        task = RunningTask(request, worker, reserved, *span_ms)
        if not self.accounts.is_within_quota(request.entry, reserved):
            task.borrowed = True
            self.borrowed += 1
        self.running_by_id[request.task_id] = task
        worker.tasks_by_id[request.task_id] = task
        self._change(worker, reserved)
        self._count(task)
        if worker.kept != NO_RESOURCES:
            left = worker.kept.minus(reserved)
            worker.kept = Resources(*(max(0, part) for part in left))
        return Placement(request.task_id, worker.shape.worker_id, reserved)

    def adopt(
        self, request: TaskRequest, worker_id: str, reserved: Resources
    ) -> None:
        """Count a task that already runs, perhaps on an unknown worker."""
        worker = self.table.workers_by_id.get(worker_id)
        span_ms = (request.submitted_ms, request.submitted_ms + request.run_ms)
        if worker is not None:
            self.start(request, worker, reserved, span_ms)
            return
        absent = WorkerTable(0).add(_absent(worker_id))
        task = RunningTask(request, absent, reserved, *span_ms)
        self.running_by_id[request.task_id] = task
        self._count(task)
        waiting = self._adopted_by_worker.setdefault(worker_id, [])
        waiting.append(task)

    def end(self, task_id: str) -> RunningTask | None:
        """Free the reservation of a task."""
        task = self.running_by_id.pop(task_id, None)
        if task is None:
            return None
        self.borrowed -= task.borrowed
        self._uncount(task)
        worker = task.worker
        if worker.tasks_by_id.pop(task_id, None) is None:
            return task
        self._change(worker, NO_RESOURCES.minus(task.reserved))
        self.mark_freed(worker)
        return task

    def resize(self, task: RunningTask, reserved: Resources) -> None:
        """Change the reservation of a running task."""
        worker = task.worker
        if task.request.task_id not in worker.tasks_by_id:
            return
        self._uncount(task)
        self._change(worker, reserved.minus(task.reserved))
        task.reserved = reserved
        self._count(task)
        self.mark_freed(worker)

    def mark_freed(self, worker: WorkerState) -> None:
        """Note that capacity of a worker became free."""
        self.freed += 1
        self.changed_by_id[worker.shape.worker_id] = worker

    def changed_room(self, limit: int) -> Resources:
        """Return the most that bulk work may use on a changed worker.

        :param limit: number of workers above which there is no bound.
        """
        if len(self.changed_by_id) > limit:
            return UNLIMITED
        workers = self.changed_by_id.values()
        return Resources(
            max((item.bulk_cpu() for item in workers), default=0),
            max((item.free_memory for item in workers), default=0),
            max((item.free_accelerators for item in workers), default=0),
        )

    def keep(
        self, worker: WorkerState, amount: Resources, until_ms: int
    ) -> None:
        """Keep capacity that is being taken back from bulk work."""
        worker.kept = worker.kept.plus(amount)
        worker.kept_until_ms = until_ms

    def spread(self, job_id: str) -> dict[str, int]:
        """Return the number of running tasks of a job in each rack."""
        return self._spread_by_job.get(job_id, {})

    def _move(self, task: RunningTask, worker: WorkerState) -> None:
        task.worker = worker
        worker.tasks_by_id[task.request.task_id] = task
        worker.take(task.reserved)
        if task.request.work_class is WorkClass.URGENT:
            worker.urgent_cpu += task.reserved.cpu_millis

    def _change(self, worker: WorkerState, taken: Resources) -> None:
        self.table.take(worker, taken)
        self.free = self.free.minus(taken)

    def _count(self, task: RunningTask) -> None:
        request = task.request
        self.accounts.take(request.entry, request.owner, task.reserved)
        if request.work_class is WorkClass.URGENT:
            task.worker.urgent_cpu += task.reserved.cpu_millis
        if request.work_class is WorkClass.SERVICE:
            unit = task.worker.shape.unit
            racks = self._spread_by_job.setdefault(request.job_id, {})
            racks[unit] = racks.get(unit, 0) + 1

    def _uncount(self, task: RunningTask) -> None:
        request = task.request
        self.accounts.give(request.entry, request.owner, task.reserved)
        if request.work_class is WorkClass.URGENT:
            task.worker.urgent_cpu -= task.reserved.cpu_millis
        if request.work_class is WorkClass.SERVICE:
            unit = task.worker.shape.unit
            racks = self._spread_by_job[request.job_id]
            racks[unit] -= 1
            if not any(racks.values()):
                del self._spread_by_job[request.job_id]


def _absent(worker_id: str) -> WorkerShape:
    return WorkerShape(worker_id, "", "", NO_RESOURCES)
