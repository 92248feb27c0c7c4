"""The order in which ready steps get room."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from magnoliapitch.planner.duration import Durations
    from magnoliapitch.planner.tracked import JobEntry
    from magnoliapitch.planner.tracked import StepEntry


# A job that completes later than this multiple of its objective is
# worth nothing to its caller.
LATE_MULTIPLE = 3.0
# What is expected of durations changes slowly.
REFRESH_MS = 1_000


class Rank(NamedTuple):
    """Lower ranks get room first.

    :param priority: the queue's priority.
    :param lateness: 0 while the objective can be kept, 1 while a late
        completion is of some use, 2 after that.
    :param latest_start_ms: when the rest of the job must begin.
    """

    priority: int
    lateness: int
    latest_start_ms: float


def rank_of(step: StepEntry, durations: Durations, now_ms: int) -> Rank:
    """Return the rank of a step."""
    job = step.job
    if step.latest_ms is None or now_ms >= step.ranked_ms + REFRESH_MS:
        step.ranked_ms = now_ms
        step.objective_ms = _objective_ms(job, durations)
        step.latest_ms = (
            job.known_ms + step.objective_ms - _rest_ms(step, durations)
        )
    latest_ms, objective_ms = step.latest_ms, step.objective_ms
    lateness = 0
    if now_ms > latest_ms:
        late_ms = latest_ms + (LATE_MULTIPLE - 1) * objective_ms
        lateness = 1 if now_ms <= late_ms else 2
        latest_ms = late_ms
    return Rank(job.queue.priority, lateness, latest_ms)


def _objective_ms(job: JobEntry, durations: Durations) -> float:
    chain_ms = max(
        (_chain_ms(job, number, durations) for number in _numbers(job)),
        default=0.0,
    )
    return job.queue.target_ms + job.queue.stretch * chain_ms


def _rest_ms(step: StepEntry, durations: Durations) -> float:
    """Return the longest chain from a step to the end of its job."""
    job = step.job
    rest_ms = durations.expected_ms(step)
    after_ms = [
        _rest_ms(later, durations)
        for later in job.steps[step.key.occurrence]
        if step.key.step in later.spec.depends_on
    ]
    return rest_ms + max(after_ms, default=0.0)


def _chain_ms(job: JobEntry, number: int, durations: Durations) -> float:
    step = job.steps[0][number]
    before_ms = [
        _chain_ms(job, earlier, durations) for earlier in step.spec.depends_on
    ]
    return durations.expected_ms(step) + max(before_ms, default=0.0)


def _numbers(job: JobEntry) -> range:
    return range(len(job.spec.steps))
