"""What the leader makes of the answers to its orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.accepted_starts import record_accepted
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.control.events import StartAnswered
    from magnoliapitch.control.events import StopAnswered
    from magnoliapitch.control.order_issuer import OrderIssuer
    from magnoliapitch.control.reachability import WorkerReachability
    from magnoliapitch.control.start_summary import StartSummary
    from magnoliapitch.control.worker_roster import WorkerRoster
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.verdict import Failure


class OrderAnswers:
    """Applies answers to orders, and failures that tell of the worker.

    :param stop_leading: ends the leadership, with a reason for the log.
    """

    def __init__(
        self,
        state: SchedulerState,
        roster: WorkerRoster,
        reachability: WorkerReachability,
        order_issuer: OrderIssuer,
        start_summary: StartSummary,
        stop_leading: Callable[[str], None],
    ) -> None:
        self._state = state
        self._roster = roster
        self._reachability = reachability
        self._order_issuer = order_issuer
        self._start_summary = start_summary
        self._stop_leading = stop_leading

    def handle_start(self, event: StartAnswered) -> None:
        """Apply the answer to a start order, or its failure."""
        planned = event.planned
        run = self._state.run(planned.task, planned.run, planned.worker_id)
        self._order_issuer.record_start_answer(event, run)
        self._start_summary.record_answer(event, run)
        if not isinstance(event.outcome, Err):
            if run is not None:
                record_accepted(
                    self._state, run, event, event.outcome.ok_value
                )
            return
        failure = event.outcome.err_value
        if run is not None and failure.verdict is Verdict.NOT_RUN:
            # The worker did not begin the run, so it cannot end with it.
            run.order_sent_ms = None
        if self.handle_final_failure(
            planned.worker_id, failure, event.received_ms
        ):
            return
        if run is None or run.confirmed_ms is not None:
            return
        if failure.code in (FailureCode.UNAVAILABLE, FailureCode.TIMEOUT):
            self._reachability.record_unanswered_order(
                planned.worker_id, event.received_ms
            )
        if failure.verdict is Verdict.NOT_RUN:
            self._order_issuer.undo_refused_start(
                run, planned, failure, event.received_ms
            )
        else:
            self._state.mark_for_stop(run)

    def handle_stop(self, event: StopAnswered) -> None:
        """Apply the answer to a stop order, or its failure."""
        run = self._state.run(event.task, event.run, event.worker_id)
        if not isinstance(event.outcome, Err):
            if run is not None:
                run.stopped_ms = event.received_ms
            return
        failure = event.outcome.err_value
        if (
            not self.handle_final_failure(
                event.worker_id, failure, event.received_ms
            )
            and failure.code is not FailureCode.OVERLOADED
        ):
            self._reachability.record_unanswered_order(
                event.worker_id, event.received_ms
            )

    def handle_final_failure(
        self, worker_id: str, failure: Failure, now_ms: int
    ) -> bool:
        """Handle a failure that ends the leadership or removes the worker.

        The token of a worker that has restarted was raised by this leader.

        :return: whether the failure was of that kind.
        """
        if failure.code is FailureCode.RESTARTED:
            self._roster.record_restart(worker_id)
            return False
        is_current = self._roster.is_current(worker_id)
        if failure.code is FailureCode.FENCED and is_current:
            self._stop_leading("a worker has seen a higher fencing token")
        elif failure.code is FailureCode.REPLACED:
            self._roster.remove(
                worker_id, "replaced", now_ms, has_crashed=True
            )
        else:
            return False
        return True


__all__ = ["OrderAnswers"]
