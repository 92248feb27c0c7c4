"""Explanation of why a job waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import Explanation


if TYPE_CHECKING:
    from magnoliapitch.decision.queue import QueuedJob
    from magnoliapitch.decision.queue import TaskGroup
    from magnoliapitch.decision.queue import TaskQueue


MAX_COUNTED_GROUPS = 2_000
RATE_WINDOW_MS = 60_000


class StartRate:
    """Rate of task starts, averaged over about a minute."""

    def __init__(self) -> None:
        self._starts_per_ms = 0.0
        self._updated_ms = 0

    def record_starts(self, starts: int, now_ms: int) -> None:
        """Record a number of starts."""
        self._decay(now_ms)
        self._starts_per_ms += starts / RATE_WINDOW_MS

    def wait_ms(self, tasks: int, now_ms: int) -> int:
        """Return the expected time until a number of starts, -1 if unknown."""
        self._decay(now_ms)
        if self._starts_per_ms <= 0:
            return -1
        return int(tasks / self._starts_per_ms)

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            self._starts_per_ms *= max(0.0, 1 - elapsed_ms / RATE_WINDOW_MS)
            self._updated_ms = now_ms


def explain_wait(
    queue: TaskQueue, job: QueuedJob, rate: StartRate, now_ms: int
) -> Explanation:
    """Return what a job waits for, its position and the expected wait.

    :param job: a job with at least one waiting group.
    """
    group = min(job.groups, key=lambda item: item.not_before_ms)
    delay_ms = group.not_before_ms - now_ms
    if delay_ms > 0:
        limit = f"retry after failure in {delay_ms} ms: {group.wait_reason}"
        return Explanation(job.job_id, limit.rstrip(": "), 0, delay_ms)
    ahead = _count_tasks_ahead(queue, group)
    limit = group.wait_reason or "its turn"
    estimate_ms = rate.wait_ms(ahead + 1, now_ms)
    return Explanation(job.job_id, limit, ahead, estimate_ms)


def _count_tasks_ahead(queue: TaskQueue, group: TaskGroup) -> int:
    """Return about how many tasks start before a group.

    Of each heap only a limited number of groups at the top is counted.
    """
    work_class = group.template.work_class
    urgent_heap = queue.heap_by_class[WorkClass.URGENT]
    if work_class is WorkClass.URGENT:
        return _count_older_tasks(
            urgent_heap.groups_near_top(MAX_COUNTED_GROUPS), group
        )
    urgent = queue.waiting_by_class[WorkClass.URGENT]
    services = queue.heap_by_class[WorkClass.SERVICE].groups_near_top(
        MAX_COUNTED_GROUPS
    )
    if work_class is WorkClass.SERVICE:
        return urgent + _count_older_tasks(services, group)
    owner_queue = queue.queues_by_owner[group.template.owner]
    owner_ahead = sum(
        len(item.tasks_by_id)
        for item in owner_queue.groups(MAX_COUNTED_GROUPS)
        if item.order_key < group.order_key
    )
    return urgent + queue.waiting_by_class[WorkClass.SERVICE] + owner_ahead


def _count_older_tasks(groups: list[TaskGroup], group: TaskGroup) -> int:
    return sum(
        len(item.tasks_by_id)
        for item in groups
        if item.first_submitted_ms < group.first_submitted_ms
    )
