"""Tasks as the scheduler tracks them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.workload.progress import MAX_CHECKPOINT_BYTES
from magnoliapitch.workload.progress import TASKS_PER_PROGRESS_RECORD
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import Placement
from magnoliapitch.workload.progress import TaskProgress


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep


# Bounds the size of the stored progress.
MAX_KEPT_FAILED_RUNS = 16
# A task that was lost with this many workers is placed apart from other jobs.
MIN_SUSPECT_LOSSES = 2


class TrackedTask:
    """A task and its runs.

    :ivar runs: highest run number ordered so far; 0 before the first.
    :ivar failures: number of failed runs; a failed run of a gang counts for
        only one of its tasks. Of a long-running step, number of runs in a row
        that ended early.
    :ivar failed_runs: numbers of the newest runs among these.
    :ivar active_runs: runs that were ordered and may still be active.
    :ivar paused_until_ms: until when the task is not started again; 0 if it
        does not pause.
    :ivar down_since_ms: when the silent worker that the newest run was lost
        with answered last; None if the run was not lost so.
    :ivar hold_until_ms: until when the task, a suspect, waits for word of a
        worker that it was lost with; 0 if it does not.
    :ivar preemptions: number of runs that were stopped for more urgent work
        under this leader.
    :ivar last_active_ms: when the last of its ended runs was last known to be
        active; 0 if this leader knows of none.
    :ivar worker_crashes: workers that ended while a run was active there.
    :ivar proven_crashes: those of them that had certainly begun the run.
    :ivar worker_losses: workers that were lost so, but may only have been
        cut off.
    """

    __slots__ = (
        "active_runs",
        "checkpoint",
        "down_since_ms",
        "failed_runs",
        "failures",
        "hold_until_ms",
        "is_done",
        "key",
        "last_active_ms",
        "paused_until_ms",
        "preemptions",
        "proven_crashes",
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
        self.failed_runs: tuple[int, ...] = ()
        self.is_done = False
        self.checkpoint: str = ""
        self.active_runs: list[TrackedRun] = []
        self.paused_until_ms = 0
        self.hold_until_ms = 0
        self.down_since_ms: int | None = None
        self.preemptions = 0
        self.last_active_ms = 0
        self.worker_crashes = 0
        self.proven_crashes = 0
        self.worker_losses = 0

    @property
    def is_waiting(self) -> bool:
        """Return whether the task may be started now."""
        return not (self.is_done or self.active_runs or self.paused_until_ms)

    def is_held(self, now_ms: int) -> bool:
        """Return whether the task waits for word of a worker."""
        return now_ms < self.hold_until_ms

    @property
    def has_attempts_left(self) -> bool:
        """Return whether the task may be started after its failed runs."""
        if self.step.spec.is_long_running:
            return True
        return self.used_attempts < self.step.job.queue.attempts

    @property
    def used_attempts(self) -> int:
        """Return the number of failed runs of the task, or of its gang."""
        step = self.step
        return step.failures if step.spec.is_gang else self.failures

    @property
    def has_failed(self) -> bool:
        """Return whether the task, or its gang, cannot be done any more.

        A run that goes on after the last attempt has failed may still be
        done.
        """
        if self.step.spec.is_gang:
            return self.step.has_failed
        if self.is_done or self.has_attempts_left:
            return False
        return all(run.is_stopping for run in self.active_runs)

    @property
    def progress_part(self) -> int:
        """Return the number of the record that has the task's progress."""
        number = self.step.first_number + self.key.position
        return number // TASKS_PER_PROGRESS_RECORD

    def progress(self) -> TaskProgress:
        """Return the progress of the task in the form that is stored."""
        is_open = self.step.job.outcome is JobOutcome.OPEN
        return TaskProgress(
            self.runs,
            self.failures,
            self.is_done,
            # The tasks of a job that has ended are not started again.
            self.checkpoint if is_open else "",
            tuple(
                Placement(run.number, run.worker_id, run.has_ended_with_worker)
                for run in self.active_runs
            ),
            self.worker_crashes,
            self.worker_losses,
            self.failed_runs,
            self.proven_crashes,
        )

    def restore(self, progress: TaskProgress) -> None:
        """Set all but the runs from progress of the task."""
        self.runs = progress.runs
        self.set_failures(progress.failures, progress.failed_runs)
        is_long_running = self.step.spec.is_long_running
        self.is_done = progress.is_done and not is_long_running
        self.checkpoint = progress.checkpoint
        self.worker_crashes = progress.worker_crashes
        self.worker_losses = progress.worker_losses
        self.proven_crashes = progress.proven_crashes

    def note_change(self) -> None:
        """Have the task's progress stored with that of its job."""
        self.step.job.changed_parts.add(self.progress_part)

    def add(self, run: TrackedRun) -> None:
        """Add a run that may be active."""
        self.active_runs.append(run)
        self.down_since_ms = None
        self.note_change()

    def remove(self, run: TrackedRun) -> None:
        """Remove a run that is certainly not active."""
        self.active_runs.remove(run)
        self.last_active_ms = max(self.last_active_ms, run.last_active_ms)
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

    def may_count_failure(self, number: int) -> bool:
        """Return whether a failed run uses up an attempt.

        Whether the run is still taken as active makes no difference.

        :param number: number of the run.
        """
        step = self.step
        is_open = step.job.outcome is JobOutcome.OPEN and not self.is_done
        was_ordered = number <= self.runs
        return (
            is_open
            and was_ordered
            and not step.spec.is_long_running
            and not self._has_counted_failure(number)
        )

    def record_failure(self, number: int) -> bool:
        """Count a failed run, whether it is a copy or not, but only once.

        Failures of several gang members in one run count once.

        :param number: number of the run.
        :return: whether it counts.
        """
        if self._has_counted_failure(number):
            return False
        kept = sorted((*self.failed_runs, number))[-MAX_KEPT_FAILED_RUNS:]
        self.set_failures(self.failures + 1, tuple(kept))
        self.note_change()
        return True

    def reset_failures(self) -> None:
        """Begin to count failures anew."""
        if self.failures:
            self.set_failures(0, ())
            self.note_change()

    def set_failures(self, count: int, failed_runs: tuple[int, ...]) -> None:
        """Set the number of failed runs, and the newest ones among them."""
        step = self.step
        step.failures += count - self.failures
        if step.spec.is_gang:
            step.failed_runs.difference_update(self.failed_runs)
            step.failed_runs.update(failed_runs)
        self.failures = count
        self.failed_runs = failed_runs

    def _has_counted_failure(self, number: int) -> bool:
        step = self.step
        if not step.spec.is_gang:
            return number in self.failed_runs or self._is_older(number)
        return number in step.failed_runs or any(
            member._is_older(number) for member in step.tasks
        )

    def _is_older(self, number: int) -> bool:
        """Return whether a run is older than the failed ones that are kept."""
        is_full = len(self.failed_runs) == MAX_KEPT_FAILED_RUNS
        return is_full and number < self.failed_runs[0]
