"""Workers that are lost: what becomes of their runs, and who is to blame."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.job_closing import JobClosing
from magnoliapitch.planner.tracked_task import TrackedTask


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked_worker import TrackedWorker


# Crashes after which a task is given up if each of the workers had certainly
# begun a run of it and it was alone on the last one.
MIN_CRASHES_TO_GIVE_UP = 3
# Otherwise, so many workers must have been lost: a task that ends them before
# they answer has certainly begun nowhere, and must not be started more often.
LOSSES_TO_GIVE_UP = 4
# A run that was active for this long did not end its worker.
HARMLESS_AFTER_MS = 60_000


class LostRun(NamedTuple):
    """A run that may have caused the loss of its worker.

    :param number: number of the run among the runs of its task.
    :param has_begun: whether the worker had certainly begun the run.
    :param is_alone: whether it had, and had no run of another job.
    """

    task: TrackedTask
    number: int
    has_begun: bool
    is_alone: bool

    @property
    def gives_up(self) -> bool:
        """Return whether the task is not to be started any more."""
        task = self.task
        if task.worker_crashes < MIN_CRASHES_TO_GIVE_UP:
            return False
        if self.is_alone and task.proven_crashes >= MIN_CRASHES_TO_GIVE_UP:
            return True
        return task.lost_worker_count >= LOSSES_TO_GIVE_UP


def suspect_runs(worker: TrackedWorker, now_ms: int) -> list[LostRun]:
    """Return the runs that may have caused the loss of a worker.

    The one that did cannot be told from those beside it. A worker that was
    about to leave was not lost to any.
    """
    if worker.is_leaving:
        return []
    return [
        LostRun(
            run.task,
            run.number,
            run.confirmed_ms is not None,
            run.confirmed_ms is not None
            and worker.runs_only(run.task.step.job),
        )
        for run in worker.runs
        if run.may_have_been_ordered
        and not run.has_ended_with_worker
        and not is_harmless(run, now_ms)
    ]


def count_crash(state: SchedulerState, lost: Iterable[LostRun]) -> None:
    """Count a worker that has certainly ended; give up tasks to blame."""
    for run in lost:
        run.task.worker_crashes += 1
        run.task.proven_crashes += run.has_begun
        _note_count(state, run.task)
    for run in lost:
        if run.gives_up:
            state.close_job(
                run.task.step.job,
                JobClosing.workers_crashed(run.task, is_alone=run.is_alone),
            )


def count_loss(state: SchedulerState, lost: Iterable[LostRun]) -> None:
    """Count a worker that is lost but may only have been cut off.

    No task causes that, so it places the tasks apart but gives none up.
    """
    for run in lost:
        run.task.worker_losses += 1
        _note_count(state, run.task)


def withdraw_loss(state: SchedulerState, lost: Iterable[LostRun]) -> None:
    """Undo ``count_loss``, since the worker was only cut off, or has ended."""
    for run in lost:
        run.task.worker_losses = max(0, run.task.worker_losses - 1)
        _note_count(state, run.task)


def move_runs(state: SchedulerState, former_id: str, worker_id: str) -> None:
    """Move the runs of a worker that has restarted to the next incarnation.

    They have ended, but an order that is still under way could begin one of
    them there. Such a run counts as active until a report of the worker tells
    whether it is. The members of a gang
    cannot work on without those that have ended.

    :param former_id: id of the incarnation that has ended.
    :param worker_id: id of the next one.
    """
    former = state.workers_by_id.pop(former_id)
    worker = state.get_or_add_worker(worker_id)
    for run in list(former.runs):
        former.remove(run)
        run.move_to(worker)
        if not run.may_have_been_ordered:
            state.lose_run(run)
        elif run.task.step.spec.is_gang:
            state.stop_step(run.task.step)


def note_silence(worker: TrackedWorker, since_ms: int) -> None:
    """Record since when the runs that are lost with a worker are down.

    :param since_ms: when the worker answered last.
    """
    for run in worker.runs:
        run.task.down_since_ms = since_ms


def hold_suspects(
    lost: Iterable[LostRun], until_ms: int, lost_ms: int = 0
) -> None:
    """Start no suspect among the tasks before a time.

    Otherwise it could end another worker before the last one is counted.

    :param lost_ms: for how long the worker has been silent; long-running
        tasks, which have been down since, are held for as much less.
    """
    for run in lost:
        task = run.task
        passed_ms = lost_ms if task.step.spec.is_long_running else 0
        task.hold_until_ms = until_ms - passed_ms if task.is_suspect else 0


def is_harmless(run: TrackedRun, now_ms: int) -> bool:
    """Return whether a run was active for too long to end its worker."""
    return (
        run.started_ms is not None
        and now_ms - run.started_ms >= HARMLESS_AFTER_MS
    )


def _note_count(state: SchedulerState, task: TrackedTask) -> None:
    """Store the counts of a task, and place it apart if it is suspect."""
    job_id = task.key.job_id
    task.note_change()
    if job_id in state.jobs_by_id:
        state.unsaved_job_ids.add(job_id)
        if task.is_suspect:
            state.add_suspect(task)
