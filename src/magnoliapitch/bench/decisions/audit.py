"""Checks every decision of a policy, apart from its own books."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.bench.decisions.exceptions import BrokenPolicyError
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.interface import WorkerShape


class DecisionAudit:
    """Counts reservations and refuses what breaks a promise.

    :ivar decisions: number of checked decisions.
    """

    def __init__(self) -> None:
        self.decisions = 0
        self._capacity_by_worker: dict[str, Resources] = {}
        self._reserved_by_worker: dict[str, Resources] = {}
        self._placements_by_task: dict[str, Placement] = {}
        self._placed_tasks: set[str] = set()

    def add_worker(self, worker: WorkerShape) -> None:
        """Count a worker's capacity."""
        self._capacity_by_worker[worker.worker_id] = worker.capacity
        self._reserved_by_worker[worker.worker_id] = NO_RESOURCES

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker and what was reserved there."""
        del self._capacity_by_worker[worker_id]
        for placement in list(self._placements_by_task.values()):
            if placement.worker_id == worker_id:
                self.release(placement.task_id)
        del self._reserved_by_worker[worker_id]

    def place(self, placed: tuple[tuple[TaskRequest, Placement], ...]) -> None:
        """Check one decision.

        :raises BrokenPolicyError: if a worker would hold more than its
            capacity, a task is placed twice, or a gang is placed in part.
        """
        self.decisions += 1
        members_by_gang: dict[str, int] = {}
        for task, placement in placed:
            self._place_one(placement)
            if task.gang_size > 1:
                members = members_by_gang.get(task.job_id, 0)
                members_by_gang[task.job_id] = members + 1
        for task, _ in placed:
            members = members_by_gang.get(task.job_id, task.gang_size)
            if members != task.gang_size:
                raise BrokenPolicyError(
                    f"gang {task.job_id} started with {members} "
                    f"of {task.gang_size} tasks"
                )

    def resize(self, task_id: str, reserved: Resources) -> None:
        """Count a confirmed new bound of a running task."""
        placement = self._placements_by_task.get(task_id)
        if placement is None:
            return
        self.release(task_id)
        self._reserve(placement._replace(reserved=reserved))

    def release(self, task_id: str) -> None:
        """Free what an ended task held."""
        placement = self._placements_by_task.pop(task_id, None)
        if placement is None:
            return
        reserved = self._reserved_by_worker[placement.worker_id]
        left = reserved.minus(placement.reserved)
        self._reserved_by_worker[placement.worker_id] = left

    def reserved(self) -> Resources:
        """Return the sum of all reservations."""
        total = NO_RESOURCES
        for reserved in self._reserved_by_worker.values():
            total = total.plus(reserved)
        return total

    def _place_one(self, placement: Placement) -> None:
        if placement.task_id in self._placed_tasks:
            raise BrokenPolicyError(f"{placement.task_id} was placed twice")
        if placement.worker_id not in self._capacity_by_worker:
            raise BrokenPolicyError(f"no worker {placement.worker_id}")
        self._placed_tasks.add(placement.task_id)
        self._reserve(placement)

    def _reserve(self, placement: Placement) -> None:
        worker_id = placement.worker_id
        capacity = self._capacity_by_worker[worker_id]
        held = self._reserved_by_worker[worker_id]
        reserved = held.plus(placement.reserved)
        if not reserved.fits(capacity):
            raise BrokenPolicyError(
                f"{placement.task_id} makes {worker_id} hold {reserved} "
                f"of {capacity}"
            )
        self._placements_by_task[placement.task_id] = placement
        self._reserved_by_worker[worker_id] = reserved
