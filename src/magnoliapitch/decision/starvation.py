"""Limits on how long a work class may wait without any start."""

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
NEAR_STARVATION_DIVISOR = 3


class ClassStartTimes:
    """Times at which a task of each work class last started."""

    def __init__(self) -> None:
        self._started_ms_by_class: dict[WorkClass, int] = {}

    def record_start(self, work_class: WorkClass, now_ms: int) -> None:
        """Record that a task of a class started."""
        self._started_ms_by_class[work_class] = now_ms

    def is_near_starvation(self, group: TaskGroup, now_ms: int) -> bool:
        """Return whether the work class of a group is close to starvation.

        This is so once a third of the limit for the class has passed both
        since the job of the group was submitted and since a task of the
        class last started.
        """
        work_class = group.template.work_class
        started_ms = self._started_ms_by_class.get(work_class, 0)
        waited_ms = now_ms - max(group.first_submitted_ms, started_ms)
        bound_ms = STARVATION_BOUND_MS_BY_CLASS[work_class]
        return waited_ms * NEAR_STARVATION_DIVISOR >= bound_ms
