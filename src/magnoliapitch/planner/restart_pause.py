"""Pauses before the tasks of long-running steps start again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.workload.run import EndKind


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked_task import TrackedTask
    from magnoliapitch.workload.job import TaskKey


# A run that has lasted this long ends a series of early ends.
EARLY_END_MS = 5_000
# A single early end is no series: its task starts again at once.
MIN_EARLY_ENDS = 2
FIRST_PAUSE_MS = 250
# A task that is down for more than 6 s counts as lost for its users.
MAX_PAUSE_MS = 2_000
# Ends that a task itself may cause again and again.
_OWN_ENDS = (EndKind.DONE, EndKind.FAILED)


class RestartPauses:
    """Tasks that end early again and again and start again only later.

    The number of early ends is stored with the progress of the job, but a
    pause is not: a new leader starts the tasks at once, and goes on with the
    series if they end early again.
    """

    def __init__(self) -> None:
        self._tasks_by_key: dict[TaskKey, TrackedTask] = {}

    def record_end(self, run: TrackedRun, kind: EndKind, now_ms: int) -> None:
        """Record the end of a run of a long-running step.

        The members of a gang have one series of early ends, in which a run
        counts once, however many of them report its end.
        """
        if kind not in _OWN_ENDS or run.is_stopping:
            return
        task, step = run.task, run.task.step
        members = step.tasks if step.spec.is_gang else [task]
        if now_ms - _began_ms(run) >= EARLY_END_MS:
            for member in members:
                member.reset_failures()
            return
        if not task.record_failure(run.number):
            return
        pause_ms = restart_pause_ms(task.used_attempts)
        if pause_ms:
            task.paused_until_ms = now_ms + pause_ms
            self._tasks_by_key[task.key] = task

    def take_due(self, now_ms: int) -> list[TrackedTask]:
        """End the pauses that are over; return their tasks."""
        due = [
            task
            for task in self._tasks_by_key.values()
            if now_ms >= task.paused_until_ms
        ]
        for task in due:
            task.paused_until_ms = 0
            del self._tasks_by_key[task.key]
        return due


def restart_pause_ms(early_ends: int) -> int:
    """Return the pause after a number of early ends in a row, in ms."""
    if early_ends < MIN_EARLY_ENDS:
        return 0
    doublings = min(early_ends - MIN_EARLY_ENDS, 8)
    return min(FIRST_PAUSE_MS << doublings, MAX_PAUSE_MS)


def _began_ms(run: TrackedRun) -> int:
    return run.ordered_ms if run.started_ms is None else run.started_ms


__all__ = ["MAX_PAUSE_MS", "RestartPauses", "restart_pause_ms"]
