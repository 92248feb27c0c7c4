"""Tasks as the scheduler tracks them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.workload.progress import MAX_CHECKPOINT_BYTES
from magnoliapitch.workload.progress import TASKS_PER_PROGRESS_RECORD


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep


# A task that was lost with this many workers is placed apart from other jobs.
MIN_SUSPECT_LOSSES = 2


class TrackedTask:
    """A task and its runs.

    :ivar runs: highest run number ordered so far; 0 before the first.
    :ivar failures: number of failed runs; a failed run of a gang counts for
        only one of its tasks.
    :ivar active_runs: runs that were ordered and may still be active.
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
        self.preemptions = 0
        self.worker_crashes = 0
        self.worker_losses = 0

    @property
    def progress_part(self) -> int:
        """Return the number of the record that has the task's progress."""
        number = self.step.first_number + self.key.position
        return number // TASKS_PER_PROGRESS_RECORD

    def note_change(self) -> None:
        """Have the task's progress stored with that of its job."""
        self.step.job.changed_parts.add(self.progress_part)

    def add(self, run: TrackedRun) -> None:
        """Add a run that may be active."""
        self.active_runs.append(run)
        self.note_change()

    def remove(self, run: TrackedRun) -> None:
        """Remove a run that is certainly not active."""
        self.active_runs.remove(run)
        self.note_change()

    def finish(self) -> None:
        """Record that the task is done."""
        self.is_done = True
        self.note_change()

    def save_checkpoint(self, checkpoint: str) -> None:
        """Keep the newest checkpoint, unless it is too long to be stored."""
        if len(checkpoint.encode()) > MAX_CHECKPOINT_BYTES:
            log_event(
                "checkpoint-too-long",
                job=self.key.job_id,
                step=self.key.step,
                task=self.key.position,
                bytes=len(checkpoint.encode()),
                limit=MAX_CHECKPOINT_BYTES,
            )
            return
        self.checkpoint = checkpoint
        self.note_change()

    @property
    def lost_worker_count(self) -> int:
        """Return with how many workers a run of the task was lost."""
        return self.worker_crashes + self.worker_losses

    @property
    def is_suspect(self) -> bool:
        """Return whether the task may be what ends its workers."""
        return self.lost_worker_count >= MIN_SUSPECT_LOSSES

    @property
    def has_failed(self) -> bool:
        """Return whether the task, or its gang, has used up its attempts."""
        spec = self.step.spec
        if spec.is_gang or spec.is_long_running:
            return self.step.has_failed
        return not self.is_done and (
            self.failures >= self.step.job.queue.attempts
        )

    def record_failure(self, run: TrackedRun) -> bool:
        """Count a failed run as an attempt.

        Failures of several gang members in one run count once. The failure
        of one copy does not count while another goes on.

        :return: whether it counts.
        """
        step = self.step
        if step.spec.is_gang and run.number in step.failed_run_numbers:
            return False
        if step.spec.is_speculative and not run.is_stopping:
            others = [other for other in self.active_runs if other is not run]
            if any(not other.is_stopping for other in others):
                return False
        step.failed_run_numbers.add(run.number)
        self.failures += 1
        self.note_change()
        return True
