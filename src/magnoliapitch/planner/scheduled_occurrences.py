"""Occurrences of recurring jobs that are not due yet."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.event import log_event
from magnoliapitch.workload.job_limits import MAX_OPEN_TASKS_OF_RECURRING_JOB


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_job import TrackedJob


POSTPONED_INTERVAL_MS = 500
# Bounds the duration of a round; the rest is due in the next ones.
MAX_DUE_STEPS_PER_CALL = 1_000


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
        # Those that are due, but whose job has too many open tasks.
        self._postponed: list[_Scheduled] = []
        self._examined_ms = 0
        self._logged_by_id: dict[str, _Scheduled] = {}

    def add(self, job: TrackedJob) -> None:
        """Let a recurring job's occurrences become due, from the first on."""
        self._job_by_id[job.spec.job_id] = job
        self._schedule(job, 0)

    def remove(self, job: TrackedJob) -> None:
        """Let no more occurrences of a job become due."""
        self._job_by_id.pop(job.spec.job_id, None)
        self._next_by_id.pop(job.spec.job_id, None)
        self._logged_by_id.pop(job.spec.job_id, None)

    def is_awaited(self, step: TrackedStep) -> bool:
        """Return whether a step's occurrence has yet to become due."""
        following = self._next_by_id.get(step.key.job_id)
        return (
            following is not None
            and following.occurrence <= step.key.occurrence
        )

    def take_due(self, wall_ms: int) -> list[TrackedStep]:
        """Return the steps that may start since their occurrence is due.

        Occurrences that come faster than they end would use any amount of
        memory, so that a job has a limited number of tasks open at a time. A
        call takes a limited number of steps, those that were due first; see
        :meth:`has_due`.

        :param wall_ms: wall-clock time, ms since 1970.
        """
        self._examine_postponed(wall_ms)
        due: list[TrackedStep] = []
        cost = 0
        while cost < MAX_DUE_STEPS_PER_CALL and self.has_due(wall_ms):
            entry = heapq.heappop(self._heap)
            cost += 1
            if self._next_by_id.get(entry.job_id) != entry:
                continue
            job = self._job_by_id[entry.job_id]
            _put_away_finished(job)
            if not _has_room(job, entry.occurrence):
                self._postpone(entry, job)
                continue
            self._schedule(job, entry.occurrence + 1)
            if not job.steps.is_put_away(entry.occurrence):
                cost += len(job.steps.step_specs)
                due += job.dependencies.released_steps(entry.occurrence)
        return due

    def has_due(self, wall_ms: int) -> bool:
        """Return whether the next call has to take occurrences at a time.

        :param wall_ms: wall-clock time, ms since 1970.
        """
        return bool(self._heap) and self._heap[0].due_ms <= wall_ms

    def _examine_postponed(self, wall_ms: int) -> None:
        """Take postponed occurrences for due again, if that is due."""
        if abs(wall_ms - self._examined_ms) < POSTPONED_INTERVAL_MS:
            return
        self._examined_ms = wall_ms
        postponed, self._postponed = self._postponed, []
        for entry in postponed:
            heapq.heappush(self._heap, entry)

    def _postpone(self, entry: _Scheduled, job: TrackedJob) -> None:
        self._postponed.append(entry)
        if self._logged_by_id.get(entry.job_id) != entry:
            self._logged_by_id[entry.job_id] = entry
            log_event(
                "occurrence-postponed",
                job=entry.job_id,
                occurrence=entry.occurrence,
                open_tasks=job.steps.made_task_count,
                limit=MAX_OPEN_TASKS_OF_RECURRING_JOB,
            )

    def _schedule(self, job: TrackedJob, occurrence: int) -> None:
        """Schedule the first occurrence from a number on that may be open."""
        while job.steps.is_put_away(occurrence):
            occurrence += 1
        if occurrence >= job.spec.occurrences:
            self.remove(job)
            return
        entry = _Scheduled(
            job.spec.due_ms(occurrence), job.spec.job_id, occurrence
        )
        self._next_by_id[job.spec.job_id] = entry
        heapq.heappush(self._heap, entry)


def _put_away_finished(job: TrackedJob) -> None:
    for occurrence in job.steps.put_away_finished():
        job.dependencies.forget(occurrence)


def _has_room(job: TrackedJob, occurrence: int) -> bool:
    """Return whether a job may have an occurrence open."""
    steps = job.steps
    if steps.is_made(occurrence) or steps.is_put_away(occurrence):
        return True
    open_count = steps.made_task_count
    added_count = steps.task_count // len(steps)
    return (
        not open_count
        or open_count + added_count <= MAX_OPEN_TASKS_OF_RECURRING_JOB
    )


__all__ = ["POSTPONED_INTERVAL_MS", "ScheduledOccurrences"]
