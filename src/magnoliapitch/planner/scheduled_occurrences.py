"""Occurrences of recurring jobs that are not due yet."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_job import TrackedJob


class _Scheduled(NamedTuple):
    """The next occurrence of a job that is to become due.

    :param due_ms: wall-clock time, ms since 1970.
    """

    due_ms: int
    job_id: str
    occurrence: int


class ScheduledOccurrences:
    """The next occurrence of each open recurring job.

    The occurrences of a job become due one after the other, so that one entry
    for each job is enough, however many follow.
    """

    def __init__(self) -> None:
        self._job_by_id: dict[str, TrackedJob] = {}
        self._next_by_id: dict[str, _Scheduled] = {}
        # Has entries of jobs that were removed, too.
        self._heap: list[_Scheduled] = []

    def add(self, job: TrackedJob) -> None:
        """Let a recurring job's occurrences become due, from the first on."""
        self._job_by_id[job.spec.job_id] = job
        self._schedule(job, 0)

    def remove(self, job: TrackedJob) -> None:
        """Let no more occurrences of a job become due."""
        self._job_by_id.pop(job.spec.job_id, None)
        self._next_by_id.pop(job.spec.job_id, None)

    def is_awaited(self, step: TrackedStep) -> bool:
        """Return whether a step's occurrence has yet to become due."""
        following = self._next_by_id.get(step.key.job_id)
        return (
            following is not None
            and following.occurrence <= step.key.occurrence
        )

    def take_due(self, wall_ms: int) -> Iterator[tuple[TrackedJob, int]]:
        """Return the occurrences that have become due, each only once.

        :param wall_ms: wall-clock time, ms since 1970.
        """
        while self._heap and self._heap[0].due_ms <= wall_ms:
            entry = heapq.heappop(self._heap)
            if self._next_by_id.get(entry.job_id) != entry:
                continue
            job = self._job_by_id[entry.job_id]
            self._schedule(job, entry.occurrence + 1)
            yield job, entry.occurrence

    def _schedule(self, job: TrackedJob, occurrence: int) -> None:
        if occurrence >= job.spec.occurrences:
            self.remove(job)
            return
        entry = _Scheduled(
            job.spec.due_ms(occurrence), job.spec.job_id, occurrence
        )
        self._next_by_id[job.spec.job_id] = entry
        heapq.heappush(self._heap, entry)


__all__ = ["ScheduledOccurrences"]
