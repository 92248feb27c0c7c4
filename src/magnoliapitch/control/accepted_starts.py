"""Start orders that workers have accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.order_sender import is_first_attempt


if TYPE_CHECKING:
    from magnoliapitch.control.events import StartAnswered
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun


def record_accepted(
    state: SchedulerState,
    run: TrackedRun,
    event: StartAnswered,
    worker_clock_ms: int,
) -> None:
    """Record that a worker has accepted a start order.

    Its clock tells the start of the run only if it answered the first
    attempt, since a repeated order is accepted after the run has started.
    """
    run.is_order_settled = is_first_attempt(event)
    if run.is_order_settled:
        run.start_clock_ms = worker_clock_ms
    if run.confirmed_ms is None:
        state.confirm_run(run, event.received_ms)


__all__ = ["record_accepted"]
