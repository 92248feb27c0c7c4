"""Which tasks are to blame when workers end again and again."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.tracked import TrackedTask


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedWorker


# Lost workers after which a task that was alone on the last one is given up.
LOSSES_TO_GIVE_UP_IF_ALONE = 3
# The same if it was never certainly alone there.
LOSSES_TO_GIVE_UP = 4
# So many of them must have ended for certain. Others may only have been cut
# off, which no task causes.
MIN_CRASHES_TO_GIVE_UP = 2
# A run that was active for this long did not end its worker.
HARMLESS_AFTER_MS = 60_000


class LostRun(NamedTuple):
    """A run that ended with its worker.

    :param is_alone: whether the worker had certainly begun the run and had no
        run of another job.
    :param gives_up: whether the task is not to be started any more.
    """

    task: TrackedTask
    is_alone: bool
    gives_up: bool


def count_lost_worker(
    worker: TrackedWorker, now_ms: int, *, has_crashed: bool
) -> list[LostRun]:
    """Count a lost worker for every task that may have been active on it.

    The task that caused the end cannot be told from those beside it, so all
    of them count it. A worker that was about to leave counts for none.

    :param has_crashed: whether the worker has certainly ended; otherwise it
        may only have been cut off.
    :return: the runs for whose tasks it was counted.
    """
    if worker.info is not None and worker.info.is_draining:
        return []
    return [
        _count(run, worker, has_crashed=has_crashed)
        for run in worker.runs
        if run.may_have_been_ordered and not _is_harmless(run, now_ms)
    ]


def _is_harmless(run: TrackedRun, now_ms: int) -> bool:
    return (
        run.started_ms is not None
        and now_ms - run.started_ms >= HARMLESS_AFTER_MS
    )


def _count(
    run: TrackedRun, worker: TrackedWorker, *, has_crashed: bool
) -> LostRun:
    task = run.task
    if has_crashed:
        task.worker_crashes += 1
    else:
        task.worker_losses += 1
    is_alone = run.confirmed_ms is not None and worker.runs_only(task.step.job)
    limit = (
        LOSSES_TO_GIVE_UP_IF_ALONE
        if is_alone and has_crashed
        else LOSSES_TO_GIVE_UP
    )
    gives_up = (
        task.worker_crashes >= MIN_CRASHES_TO_GIVE_UP
        and task.lost_worker_count >= limit
    )
    return LostRun(task, is_alone, gives_up)
