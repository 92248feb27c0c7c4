"""What a call to the advisor takes, and which workers it asks about."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import free_task_count


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.tracked import TrackedStep


# A ticket must still be valid when the start order reaches the worker.
TICKET_MIN_REMAINING_MS = 400
# The advisor accepts no more workers in one call.
MAX_WORKERS_PER_CALL = 100
# Longer calls are long calls, for which not every channel may be used.
MAX_SHORT_CALL_MS = 40.0
# A large part of a call's duration does not depend on the number of workers,
# so calls about fewer of them save little.
MIN_WORKERS_PER_CALL = 30
# Share of the workers in a call that the advisor is expected to permit.
EXPECTED_PERMITTED_SHARE = 0.35
# Free capacity that the permitted workers should have together, as a multiple
# of what the waiting tasks of the step need.
CAPACITY_MARGIN_RATIO = 1.5


def enough_candidates(
    step: TrackedStep, candidates: Iterable[Candidate], task_count: int
) -> list[Candidate]:
    """Return enough workers for tasks to fit on those permitted of them."""
    needed_count = (
        CAPACITY_MARGIN_RATIO * task_count / EXPECTED_PERMITTED_SHARE
    )
    selected: list[Candidate] = []
    fitting_count = 0
    for candidate in candidates:
        if len(selected) >= MAX_WORKERS_PER_CALL:
            break
        if (
            fitting_count >= needed_count
            and len(selected) >= MIN_WORKERS_PER_CALL
        ):
            break
        selected.append(candidate)
        fitting_count += free_task_count(candidate, step)
    return selected


def is_long_call(call_ms: float) -> bool:
    """Return whether a call of an expected duration is a long one."""
    return call_ms > MAX_SHORT_CALL_MS


def max_short_call_workers(step: TrackedStep) -> int:
    """Return about how many workers a call may be without being a long one."""
    permit_timing = step.job.queue.permit_timing
    if permit_timing is None:
        return MAX_WORKERS_PER_CALL
    spare_ms = MAX_SHORT_CALL_MS - permit_timing.decision_ms
    if not permit_timing.per_worker_ms:
        return MAX_WORKERS_PER_CALL if spare_ms >= 0 else 0
    count = int(spare_ms // permit_timing.per_worker_ms)
    return max(0, min(MAX_WORKERS_PER_CALL, count))


def expected_call_ms(step: TrackedStep, worker_count: int) -> float:
    """Return how long a call about some workers probably takes."""
    permit_timing = step.job.queue.permit_timing
    if permit_timing is None:
        return 0.0
    return (
        permit_timing.decision_ms + permit_timing.per_worker_ms * worker_count
    )
