"""Tells why a job waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import Explanation


if TYPE_CHECKING:
    from magnoliapitch.decision.queue import JobState
    from magnoliapitch.decision.queue import TaskGroup
    from magnoliapitch.decision.queue import TaskQueue


MAX_EXAMINED = 2_000
RATE_WINDOW_MS = 60_000


class StartRate:
    """Rate of starts, averaged over about a minute."""

    def __init__(self) -> None:
        self._per_ms = 0.0
        self._updated_ms = 0

    def add(self, starts: int, now_ms: int) -> None:
        """Count starts."""
        self._decay(now_ms)
        self._per_ms += starts / RATE_WINDOW_MS

    def wait_ms(self, tasks: int, now_ms: int) -> int:
        """Return the expected wait behind some tasks, -1 if unknown."""
        self._decay(now_ms)
        if self._per_ms <= 0:
            return -1
        return int(tasks / self._per_ms)

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            self._per_ms *= max(0.0, 1 - elapsed_ms / RATE_WINDOW_MS)
            self._updated_ms = now_ms


def explain_wait(
    queue: TaskQueue, job: JobState, rate: StartRate, now_ms: int
) -> Explanation:
    """Return the binding limit, the place and the expected wait."""
    group = min(job.groups, key=lambda item: item.not_before_ms)
    delay_ms = group.not_before_ms - now_ms
    if delay_ms > 0:
        limit = f"retry after failure in {delay_ms} ms: {group.reason}"
        return Explanation(job.job_id, limit.rstrip(": "), 0, delay_ms)
    ahead = _ahead(queue, group)
    limit = group.reason or "its turn"
    estimate_ms = rate.wait_ms(ahead + 1, now_ms)
    return Explanation(job.job_id, limit, ahead, estimate_ms)


def _ahead(queue: TaskQueue, group: TaskGroup) -> int:
    """Return about how many tasks start before a group.

    Of long lanes only the part near the top is counted.
    """
    work_class = group.sample.work_class
    first = queue.oldest_by_class[WorkClass.URGENT]
    if work_class is WorkClass.URGENT:
        return _older(first.head(MAX_EXAMINED), group)
    urgent = queue.waiting_by_class[WorkClass.URGENT]
    services = queue.oldest_by_class[WorkClass.SERVICE].head(MAX_EXAMINED)
    if work_class is WorkClass.SERVICE:
        return urgent + _older(services, group)
    own = queue.queues_by_owner[group.sample.owner]
    before = sum(
        len(item.tasks_by_id)
        for item in own.groups(MAX_EXAMINED)
        if item.key < group.key
    )
    return urgent + queue.waiting_by_class[WorkClass.SERVICE] + before


def _older(groups: list[TaskGroup], group: TaskGroup) -> int:
    return sum(
        len(item.tasks_by_id)
        for item in groups
        if item.first_ms < group.first_ms
    )
