"""Finds workers for groups of tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.starvation import ClassProgress
from magnoliapitch.decision.placement import Need
from magnoliapitch.resource import UNLIMITED
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from magnoliapitch.decision.allocations import Books
    from magnoliapitch.decision.worker_state import WorkerState
    from magnoliapitch.decision.estimate import Estimates
    from magnoliapitch.decision.queue import TaskGroup
    from magnoliapitch.decision.decision_round import Round


PRESSING_MS = 30_000
MAX_CHANGED = 24
FREE_CAPACITY = "free capacity"
BULK_CLASSES = (WorkClass.GANG, WorkClass.BATCH)


class WorkerFinder:
    """Finds workers, by learned sizes.

    :ivar progress: when each class last started a task.
    """

    def __init__(self, books: Books, estimates: Estimates) -> None:
        self.progress = ClassProgress()
        self._books = books
        self._estimates = estimates

    def refresh(self, group: TaskGroup) -> None:
        """Apply what was learned since the group was last looked at."""
        task = group.sample
        estimate = self._estimates.of(task.entry)
        version = estimate.version + self._books.table.version
        if group.version == version:
            return
        group.version = version
        group.run_ms = estimate.run_ms(task.run_ms)
        size = estimate.size(task.resources)
        limit = self._books.table.limit(_is_bulk(group))
        cpu_millis = max(1, min(size.cpu_millis, limit.cpu_millis))
        memory_mb = min(max(size.memory_mb, group.floor_mb), limit.memory_mb)
        group.size = Resources(
            cpu_millis, max(1, memory_mb), size.accelerators
        )

    def find(self, turn: Round, group: TaskGroup) -> WorkerState | None:
        """Return the best worker for a task of a group, or none."""
        task = group.sample
        is_service = task.work_class is WorkClass.SERVICE
        need = Need(
            group.size,
            turn.now_ms + group.run_ms,
            _is_bulk(group),
            group,
            task.unit,
            self._is_first(turn, group),
            self._books.spread(task.job_id) if is_service else None,
        )
        on_changed = (
            group.missed_pass == turn.number and turn.room is not UNLIMITED
        )
        if turn.is_blocked(need, on_changed=on_changed):
            group.reason = FREE_CAPACITY
            return None
        worker = self._search(turn, need, on_changed=on_changed)
        if worker is None:
            group.reason = FREE_CAPACITY
            if not group.is_gang:
                group.missed_pass = turn.number
            turn.block(need, on_changed=on_changed)
        return worker

    def is_pressing(self, turn: Round, group: TaskGroup) -> bool:
        """Return whether a group must start now to meet its deadline."""
        if not group.sample.deadline_ms or group.is_late:
            return False
        return group.latest_start_ms() - turn.now_ms < PRESSING_MS

    def is_overdue(self, turn: Round, group: TaskGroup) -> bool:
        """Return whether the class of a group is about to starve."""
        return self.progress.is_overdue(group, turn.now_ms)

    def _is_first(self, turn: Round, group: TaskGroup) -> bool:
        """Return whether a group may use what is kept from bulk work."""
        return not _is_bulk(group) or self.is_overdue(turn, group)

    def _search(
        self, turn: Round, need: Need, *, on_changed: bool
    ) -> WorkerState | None:
        table = self._books.table
        if on_changed:
            changed = self._books.changed_by_id.values()
            return table.best_of(changed, need, turn.now_ms)
        if not table.may_fit(need.size):
            return None
        return table.search(need, turn.now_ms)


def _is_bulk(group: TaskGroup) -> bool:
    return group.sample.work_class in BULK_CLASSES
