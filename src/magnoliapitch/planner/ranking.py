"""Ranking of waiting steps: which step is placed first."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from magnoliapitch.planner.duration import DurationEstimator
    from magnoliapitch.planner.tracked import TrackedStep


# A job that completes later than this multiple of its objective is of no
# value to its caller.
MAX_USEFUL_COMPLETION_RATIO = 3.0
# Expected durations change slowly, so ranks need not be computed each round.
RANK_REFRESH_INTERVAL_MS = 1_000
# Lateness of a step whose job can be of no use to its caller any more.
USELESS = 2


class Rank(NamedTuple):
    """Sort key of a step; the lowest rank is placed first.

    :param is_planned: False for a long-running step of which a task has
        lost its run; True for every other step.
    :param priority: the queue's priority; 0 for all that are not planned.
    :param lateness: 0 while the job can complete within its objective, 1
        while a late completion still has some value, 2 after that.
    :param latest_start_ms: latest start of the step that still meets the
        objective; once that is missed, the latest start for a completion
        that still has some value; since when a task that has lost its run
        has been without one.
    """

    is_planned: bool
    priority: int
    lateness: int
    latest_start_ms: float


def is_down(step: TrackedStep) -> bool:
    """Return whether a long-running step has lost a run and waits."""
    return step.spec.is_long_running and step.has_interrupted_task()


def is_urgent(step: TrackedStep) -> bool:
    """Return whether a long-running step is down, not by its own fault.

    One whose runs end early again and again would use up what all share.
    """
    return step.spec.is_long_running and any(
        task.runs and not task.failures for task in step.startable_tasks()
    )


def rank_of(
    step: TrackedStep, duration_estimator: DurationEstimator, now_ms: int
) -> Rank:
    """Return the rank of a step.

    A service whose task has ended is down for its users until the task runs
    again, so it ranks before all work that has not begun, and before those
    that went down later. A service that starts late still has its full value,
    so its lateness is always 0.

    The objective, the latest start and the rank are kept on the step; they
    are computed again after ``RANK_REFRESH_INTERVAL_MS``, the rank also when
    its lateness changes.
    """
    if step.rank is not None and now_ms <= step.rank_until_ms:
        return step.rank
    if (
        step.latest_start_ms is None
        or now_ms >= step.rank_computed_ms + RANK_REFRESH_INTERVAL_MS
    ):
        _compute_latest_start(step, duration_estimator, now_ms)
    if is_down(step):
        return Rank(False, 0, 0, step.down_since_ms())
    latest_start_ms = step.latest_start_ms or 0.0
    if step.spec.is_long_running:
        return Rank(True, step.job.queue.priority, 0, latest_start_ms)
    step.rank = _rank_by_lateness(step, latest_start_ms, now_ms)
    step.rank_until_ms = step.rank_computed_ms + RANK_REFRESH_INTERVAL_MS - 1
    if step.rank.lateness < USELESS:
        last_ms = step.rank.latest_start_ms
        step.rank_until_ms = min(step.rank_until_ms, int(last_ms))
    return step.rank


def _compute_latest_start(
    step: TrackedStep, duration_estimator: DurationEstimator, now_ms: int
) -> None:
    job = step.job
    step.rank_computed_ms = now_ms
    step.objective_ms = (
        job.queue.target_ms
        + job.queue.stretch * job.paths.longest_ms(duration_estimator, now_ms)
    )
    step.latest_end_ms = (
        job.known_ms
        + step.objective_ms
        - job.paths.dependent_path_ms(step, duration_estimator, now_ms)
    )
    step.latest_start_ms = step.latest_end_ms - (
        duration_estimator.probable_ms(step, step.latest_end_ms - now_ms)
    )


def _rank_by_lateness(
    step: TrackedStep, latest_start_ms: float, now_ms: int
) -> Rank:
    priority = step.job.queue.priority
    if now_ms <= latest_start_ms:
        return Rank(True, priority, 0, latest_start_ms)
    latest_useful_start_ms = (
        latest_start_ms + (MAX_USEFUL_COMPLETION_RATIO - 1) * step.objective_ms
    )
    lateness = 1 if now_ms <= latest_useful_start_ms else USELESS
    return Rank(True, priority, lateness, latest_useful_start_ms)
