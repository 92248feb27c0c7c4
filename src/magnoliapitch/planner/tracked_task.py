"""Tasks as the scheduler tracks them."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep


# A task that was lost with this many workers is placed apart from other jobs.
MIN_SUSPECT_LOSSES = 2


class TrackedTask:
    """A task and its runs.

    :ivar runs: highest run number ordered so far; 0 before the first.
    :ivar failures: number of failed runs; a failed run of a gang counts for
        only one of its tasks. Of a long-running step, number of runs in a row
        that ended early.
    :ivar active_runs: runs that were ordered and may still be active.
    :ivar paused_until_ms: until when the task is not started again; 0 if it
        does not pause.
    :ivar preemptions: number of runs that were stopped for more urgent work
        under this leader.
    :ivar worker_crashes: workers that ended while a run was active there.
    :ivar worker_losses: workers that were lost so, but may only have been
        cut off.
    """

    __slots__ = (
        "active_runs",
        "checkpoint",
        "failures",
        "is_done",
        "key",
        "paused_until_ms",
        "preemptions",
        "runs",
        "step",
        "worker_crashes",
        "worker_losses",
    )

    def __init__(self, step: TrackedStep, position: int) -> None:
        self.step = step
        self.key = step.key.task(position)
        self.runs = 0
        self.failures = 0
        self.is_done = False
        self.checkpoint: str = ""
        self.active_runs: list[TrackedRun] = []
        self.paused_until_ms = 0
        self.preemptions = 0
        self.worker_crashes = 0
        self.worker_losses = 0

    @property
    def is_waiting(self) -> bool:
        """Return whether the task may be started now."""
        return not (self.is_done or self.active_runs or self.paused_until_ms)

    @property
    def has_attempts_left(self) -> bool:
        """Return whether the task may be started after its failed runs."""
        if self.step.spec.is_long_running:
            return True
        return self.failures < self.step.job.queue.attempts

    @property
    def has_failed(self) -> bool:
        """Return whether the task cannot be done any more.

        A run that goes on after the last attempt has failed may still be
        done.
        """
        if self.is_done or self.has_attempts_left:
            return False
        return all(run.is_stopping for run in self.active_runs)

    @property
    def lost_worker_count(self) -> int:
        """Return with how many workers a run of the task was lost."""
        return self.worker_crashes + self.worker_losses

    @property
    def is_suspect(self) -> bool:
        """Return whether the task may be what ends its workers."""
        return self.lost_worker_count >= MIN_SUSPECT_LOSSES

    def record_failure(self, run: TrackedRun) -> None:
        """Count a failed run as an attempt, whether it is a copy or not.

        Failures of several gang members in one run count once.
        """
        step = self.step
        if step.spec.is_gang:
            if run.number in step.failed_run_numbers:
                return
            step.failed_run_numbers.add(run.number)
        self.failures += 1
