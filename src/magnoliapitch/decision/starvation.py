"""Bounds on how long a class may wait while nothing of it starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass


if TYPE_CHECKING:
    from magnoliapitch.decision.queue import TaskGroup


STARVATION_BOUND_MS_BY_CLASS = {
    WorkClass.URGENT: 10_000,
    WorkClass.SERVICE: 60_000,
    WorkClass.GANG: 900_000,
    WorkClass.BATCH: 900_000,
}
OVERDUE_DIVISOR = 3


class ClassProgress:
    """When each class last started a task."""

    def __init__(self) -> None:
        self._started_ms_by_class: dict[WorkClass, int] = {}

    def started(self, work_class: WorkClass, now_ms: int) -> None:
        """Note a start."""
        self._started_ms_by_class[work_class] = now_ms

    def is_overdue(self, group: TaskGroup, now_ms: int) -> bool:
        """Return whether a group's class is about to starve.

        It is when a third of the bound has passed since the group came
        and since the class last started a task.
        """
        work_class = group.sample.work_class
        started_ms = self._started_ms_by_class.get(work_class, 0)
        waited_ms = now_ms - max(group.first_ms, started_ms)
        bound_ms = STARVATION_BOUND_MS_BY_CLASS[work_class]
        return waited_ms * OVERDUE_DIVISOR >= bound_ms
