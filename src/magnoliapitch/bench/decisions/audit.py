"""Checks of scheduling decisions, independent of the scheduler's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.bench.decisions.exceptions import InvalidDecisionError
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.interface import TaskRequest
    from magnoliapitch.decision.interface import WorkerShape


class DecisionAudit:
    """Tracks reservations and rejects decisions that violate an invariant.

    The invariants: the reservations on a worker stay within its capacity,
    no attempt is placed twice, and the tasks of a gang are placed together.

    :ivar decisions: number of checked decisions.
    """

    def __init__(self) -> None:
        self.decisions = 0
        self._capacity_by_worker: dict[str, Resources] = {}
        self._reserved_by_worker: dict[str, Resources] = {}
        self._placements_by_attempt: dict[str, Placement] = {}
        self._placed_attempts: set[str] = set()

    def add_worker(self, worker: WorkerShape) -> None:
        """Add a worker without reservations."""
        self._capacity_by_worker[worker.worker_id] = worker.capacity
        self._reserved_by_worker[worker.worker_id] = NO_RESOURCES

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker and the reservations on it."""
        del self._capacity_by_worker[worker_id]
        for placement in list(self._placements_by_attempt.values()):
            if placement.worker_id == worker_id:
                self.release(placement.attempt_id)
        del self._reserved_by_worker[worker_id]

    def check_decision(
        self, placed: tuple[tuple[TaskRequest, Placement], ...]
    ) -> None:
        """Check the placements of one decision and reserve their resources.

        :raises InvalidDecisionError: if a worker's reservations would exceed
            its capacity, a worker is unknown, an attempt is placed twice, or
            only some tasks of a gang are placed.
        """
        self.decisions += 1
        placed_count_by_gang: dict[str, int] = {}
        for task, placement in placed:
            self._check_placement(placement)
            if task.gang_size > 1:
                placed_count = placed_count_by_gang.get(task.job_id, 0)
                placed_count_by_gang[task.job_id] = placed_count + 1
        for task, _ in placed:
            placed_count = placed_count_by_gang.get(
                task.job_id, task.gang_size
            )
            if placed_count != task.gang_size:
                raise InvalidDecisionError(
                    f"gang job {task.job_id} was placed with {placed_count} "
                    f"of its {task.gang_size} tasks"
                )

    def resize(self, attempt_id: str, reserved: Resources) -> None:
        """Replace the reservation of a running attempt.

        :raises InvalidDecisionError: if the worker's reservations would
            exceed its capacity.
        """
        placement = self._placements_by_attempt.get(attempt_id)
        if placement is None:
            return
        self.release(attempt_id)
        self._reserve(placement._replace(reserved=reserved))

    def release(self, attempt_id: str) -> None:
        """Remove the reservation of an ended attempt."""
        placement = self._placements_by_attempt.pop(attempt_id, None)
        if placement is None:
            return
        reserved = self._reserved_by_worker[placement.worker_id]
        remaining = reserved.minus(placement.reserved)
        self._reserved_by_worker[placement.worker_id] = remaining

    def total_reserved(self) -> Resources:
        """Return the sum of all reservations on all workers."""
        total = NO_RESOURCES
        for reserved in self._reserved_by_worker.values():
            total = total.plus(reserved)
        return total

    def _check_placement(self, placement: Placement) -> None:
        if placement.attempt_id in self._placed_attempts:
            raise InvalidDecisionError(
                f"attempt {placement.attempt_id} was placed twice"
            )
        if placement.worker_id not in self._capacity_by_worker:
            raise InvalidDecisionError(
                f"attempt {placement.attempt_id} was placed on worker "
                f"{placement.worker_id}, which does not exist"
            )
        self._placed_attempts.add(placement.attempt_id)
        self._reserve(placement)

    def _reserve(self, placement: Placement) -> None:
        worker_id = placement.worker_id
        capacity = self._capacity_by_worker[worker_id]
        earlier_reserved = self._reserved_by_worker[worker_id]
        reserved = earlier_reserved.plus(placement.reserved)
        if not reserved.fits(capacity):
            raise InvalidDecisionError(
                f"attempt {placement.attempt_id} raises the reservations on "
                f"worker {worker_id} to {reserved}, more than its capacity of "
                f"{capacity}"
            )
        self._placements_by_attempt[placement.attempt_id] = placement
        self._reserved_by_worker[worker_id] = reserved
