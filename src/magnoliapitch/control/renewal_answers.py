"""What the leader makes of the answers to lease renewals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.control.end_acknowledger import EndAcknowledger
    from magnoliapitch.control.events import WorkerReported
    from magnoliapitch.control.order_answers import OrderAnswers
    from magnoliapitch.control.order_issuer import OrderIssuer
    from magnoliapitch.control.progress_batcher import ProgressBatcher
    from magnoliapitch.control.reachability import WorkerReachability
    from magnoliapitch.control.reports import ReportApplier
    from magnoliapitch.control.worker_roster import WorkerRoster
    from magnoliapitch.planner.scheduler_state import SchedulerState


class RenewalAnswers:
    """Applies the reports that workers answer renewals with, and failures.

    :param is_all_stored: returns whether no change waits to be stored, or was
        not stored.
    """

    def __init__(
        self,
        state: SchedulerState,
        roster: WorkerRoster,
        reachability: WorkerReachability,
        report_applier: ReportApplier,
        order_answers: OrderAnswers,
        order_issuer: OrderIssuer,
        end_acknowledger: EndAcknowledger,
        progress_batcher: ProgressBatcher,
        is_all_stored: Callable[[], bool],
    ) -> None:
        self._state = state
        self._roster = roster
        self._reachability = reachability
        self._report_applier = report_applier
        self._order_answers = order_answers
        self._order_issuer = order_issuer
        self._end_acknowledger = end_acknowledger
        self._progress_batcher = progress_batcher
        self._is_all_stored = is_all_stored

    def handle(self, event: WorkerReported) -> None:
        """Apply a worker's report of active and ended runs, or a failure."""
        worker_id = event.worker_id
        if worker_id not in self._state.workers_by_id:
            # It was removed while the renewal was under way.
            return
        if isinstance(event.outcome, Err):
            if not self._order_answers.handle_final_failure(
                worker_id, event.outcome.err_value, event.received_ms
            ):
                self._roster.record_unanswered_renewal(
                    worker_id, event.received_ms
                )
            return
        report = event.outcome.ok_value
        self._roster.record_report(worker_id, report)
        self._reachability.record_answer(
            worker_id, report.clock_ms, event.sent_ms, event.received_ms
        )
        applied = self._report_applier.apply(
            worker_id, report, event.sent_ms, event.received_ms
        )
        for order in applied.stop_orders:
            job_state = self._progress_batcher.published_state(
                order.task.job_id
            )
            self._order_issuer.stop_unknown(worker_id, order, job_state)
        if self._is_all_stored():
            self._end_acknowledger.acknowledge(
                worker_id, applied.last_end_sequence
            )


__all__ = ["RenewalAnswers"]
