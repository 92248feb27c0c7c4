"""Search for a worker by estimated size, skipping searches sure to fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.placement import PlacementNeed
from magnoliapitch.decision.starvation import ClassStartTimes
from magnoliapitch.resource import UNLIMITED
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.allocations import Allocations
    from magnoliapitch.decision.decision_round import DecisionRound
    from magnoliapitch.decision.estimate import Estimates
    from magnoliapitch.decision.queue import TaskGroup
    from magnoliapitch.decision.worker_state import WorkerState


NEAR_DEADLINE_MS = 30_000
MAX_FREED_WORKERS = 24
FREE_CAPACITY = "free capacity"
# Work that may be delayed, and evicted to make room for other work.
BULK_CLASSES = (WorkClass.GANG, WorkClass.BATCH)


class WorkerFinder:
    """Searches workers for groups of tasks, by estimated sizes.

    :ivar class_start_times: when each class last started a task.
    """

    def __init__(self, allocations: Allocations, estimates: Estimates) -> None:
        self.class_start_times = ClassStartTimes()
        self._allocations = allocations
        self._estimates = estimates

    def refresh_estimates(self, group: TaskGroup) -> None:
        """Update size and run time of a group if the estimates changed."""
        task = group.template
        estimate = self._estimates.for_entry(task.entry)
        version = estimate.version + self._allocations.workers.version
        if group.version == version:
            return
        group.version = version
        group.run_ms = estimate.run_ms(task.run_ms)
        size = estimate.size(task.resources)
        limit = self._allocations.workers.limit(_is_bulk(group))
        cpu_millis = max(1, min(size.cpu_millis, limit.cpu_millis))
        memory_mb = min(
            max(size.memory_mb, group.min_memory_mb), limit.memory_mb
        )
        group.size = Resources(
            cpu_millis, max(1, memory_mb), size.accelerators
        )

    def find_worker(
        self, decision_round: DecisionRound, group: TaskGroup
    ) -> WorkerState | None:
        """Return the best worker for a task of a group, or ``None``.

        If there is none, the group records why and in which pass.
        """
        task = group.template
        is_service = task.work_class is WorkClass.SERVICE
        need = PlacementNeed(
            group.size,
            decision_round.now_ms + group.run_ms,
            _is_bulk(group),
            group,
            task.unit,
            self._may_use_protected(decision_round, group),
            self._allocations.task_count_by_unit(task.job_id)
            if is_service
            else None,
        )
        freed_only = (
            group.no_worker_pass == decision_round.pass_number
            and decision_round.max_freed_capacity is not UNLIMITED
        )
        if decision_round.is_known_to_fail(need, freed_only=freed_only):
            group.wait_reason = FREE_CAPACITY
            return None
        worker = self._search(decision_round, need, freed_only=freed_only)
        if worker is None:
            group.wait_reason = FREE_CAPACITY
            if not group.is_gang:
                group.no_worker_pass = decision_round.pass_number
            decision_round.record_failed_search(need, freed_only=freed_only)
        return worker

    def is_near_deadline(
        self, decision_round: DecisionRound, group: TaskGroup
    ) -> bool:
        """Return whether the latest start for its deadline is near."""
        if not group.template.deadline_ms or group.is_late:
            return False
        return (
            group.latest_start_ms() - decision_round.now_ms < NEAR_DEADLINE_MS
        )

    def is_near_starvation(
        self, decision_round: DecisionRound, group: TaskGroup
    ) -> bool:
        """Return whether the work class of a group is close to starvation."""
        return self.class_start_times.is_near_starvation(
            group, decision_round.now_ms
        )

    def _may_use_protected(
        self, decision_round: DecisionRound, group: TaskGroup
    ) -> bool:
        """Return whether a group may use what is protected from bulk work."""
        return not _is_bulk(group) or self.is_near_starvation(
            decision_round, group
        )

    def _search(
        self,
        decision_round: DecisionRound,
        need: PlacementNeed,
        *,
        freed_only: bool,
    ) -> WorkerState | None:
        table = self._allocations.workers
        if freed_only:
            freed = self._allocations.freed_workers_by_id.values()
            return table.best_of(freed, need, decision_round.now_ms)
        if not table.may_fit(need.size):
            return None
        return table.search(need, decision_round.now_ms)


def _is_bulk(group: TaskGroup) -> bool:
    return group.template.work_class in BULK_CLASSES
