"""Measured durations of runs, by the clocks of the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.duration.step_work import StepWork


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedRun


class FinishedTask(NamedTuple):
    """A finished task whose duration was measured.

    :param declared_ms: declared estimate; 0 if there is none.
    :param share: share of the task in its step.
    :param step_work: finished tasks of the same step before.
    :param worker_ids: the workers of the run, several for a gang.
    :param is_last: whether it is the last task of its step.
    :param tells_speed: whether the duration tells the speed of the worker.
    """

    queue: str
    declared_ms: float
    share: float
    step_work: StepWork
    worker_ids: tuple[str, ...]
    duration_ms: float
    tells_speed: bool
    is_last: bool = False


def finished_task(run: TrackedRun) -> FinishedTask | None:
    """Return the measurement of a run that was done.

    Runs that resumed, that a former leader ordered, or whose start order was
    repeated do not count, since it is not known when their work began. A gang
    counts once: it has worked since its last member started.
    """
    step = run.task.step
    duration_ms = _duration_ms(run)
    if (
        duration_ms is None
        or duration_ms <= 0
        or run.is_resumed
        or run.is_restored
        or run.is_stopping
        or not run.is_order_settled
        or step.spec.is_long_running
    ):
        return None
    members = [run]
    if step.spec.is_gang:
        if run.task.is_done:
            return None
        members = step.all_active_runs()
    return FinishedTask(
        step.job.queue.name,
        float(step.spec.estimate_ms),
        1.0 if step.spec.is_gang else 1.0 / step.spec.task_count,
        step.finished_work,
        tuple(member.worker_id for member in members),
        duration_ms - _wait_for_members_ms(run, members),
        not step.spec.is_gang and not _may_be_slowed(run),
        step.unfinished_count <= 1,
    )


def _duration_ms(run: TrackedRun) -> int | None:
    if run.start_clock_ms is None or run.end_clock_ms is None:
        return None
    return run.end_clock_ms - run.start_clock_ms


def _wait_for_members_ms(run: TrackedRun, members: list[TrackedRun]) -> int:
    own_ms = run.started_ms or 0
    return max((member.started_ms or 0) for member in members) - own_ms


def _may_be_slowed(run: TrackedRun) -> bool:
    """Return whether the place of a run may have slowed it down."""
    spec = run.task.step.spec
    is_away = bool(spec.data_rack) and run.worker_rack != spec.data_rack
    return spec.same_rack or is_away


__all__ = ["FinishedTask", "finished_task"]
