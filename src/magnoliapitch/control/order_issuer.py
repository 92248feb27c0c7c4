"""OrderIssuer to workers to start and stop runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.event import log_event
from magnoliapitch.verdict import FailureCode
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.planner.plan import PlannedStop
    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.worker import WorkerInfo


STOP_RETRY_DELAY_MS = 600
# A worker that refused a start gets nothing for this long.
REFUSED_START_BACKOFF_MS = 1_500


class OrderIssuer:
    """Sends orders under one epoch.

    :ivar listed_by_id: the platform's newest list of workers.
    """

    def __init__(
        self,
        epoch: int,
        state: SchedulerState,
        planner: Planner,
        effects: Effects,
        metrics: Metrics,
    ) -> None:
        self.listed_by_id: Mapping[str, WorkerInfo] = {}
        self._epoch = epoch
        self._state = state
        self._planner = planner
        self._effects = effects
        self._metrics = metrics

    def start(
        self, planned: PlannedStart, deadline_ms: int | None, now_ms: int
    ) -> None:
        """Order a run that is stored.

        It is taken back if it may not be ordered any more: a slow store
        may have outlasted the lease, or the permit.
        """
        run = self._state.run(planned.task, planned.run, planned.worker_id)
        if run is None:
            return
        job = run.task.step.job
        info = self.listed_by_id.get(planned.worker_id)
        if (
            job.outcome is not JobOutcome.OPEN
            or info is None
            or info.is_draining
            or deadline_ms is None
            or _is_expired(planned, run, now_ms)
        ):
            self._state.lose_run(run)
            return
        order = StartOrder(
            planned.task,
            planned.run,
            job.spec.payload,
            self._epoch,
            deadline_ms,
            run.task.checkpoint,
            planned.ticket,
        )
        self._effects.start(info, planned, order)

    def stop(self, stop: PlannedStop, now_ms: int) -> None:
        """Order a stop, again if an earlier one was not answered."""
        run = self._state.run(stop.task, stop.run, stop.worker_id)
        info = self.listed_by_id.get(stop.worker_id)
        if run is None or info is None or run.stopped_ms is not None:
            return
        sent_ms = run.stop_sent_ms
        if sent_ms is not None and now_ms - sent_ms < STOP_RETRY_DELAY_MS:
            return
        run.stop_sent_ms = now_ms
        log_event(
            "stop-ordered",
            job=stop.task.job_id,
            step=stop.task.step,
            task=stop.task.position,
            run=stop.run,
            worker=stop.worker_id,
            reason=stop.reason,
        )
        self._effects.order_stop(
            info, StopOrder(stop.task, stop.run, self._epoch)
        )

    def undo_refused_start(
        self,
        run: TrackedRun,
        planned: PlannedStart,
        failure: Failure,
        now_ms: int,
    ) -> None:
        """Take a start back that a worker has surely not carried out."""
        step = run.task.step
        self._state.lose_run(run)
        if failure.code is FailureCode.TICKET:
            step.tickets_by_worker.pop(planned.worker_id, None)
        elif failure.code is not FailureCode.STALE:
            until_ms = now_ms + REFUSED_START_BACKOFF_MS
            self._planner.worker_backoff.avoid(planned.worker_id, until_ms)

    def record_failed_start(
        self, planned: PlannedStart, failure: Failure
    ) -> None:
        """Log and count an order to start that failed."""
        self._metrics.count("starts_failed", failure.code.value)
        log_event(
            "start-failed",
            job=planned.task.job_id,
            step=planned.task.step,
            task=planned.task.position,
            run=planned.run,
            worker=planned.worker_id,
            verdict=failure.verdict,
            code=failure.code,
            reason=failure.detail,
        )


def _is_expired(planned: PlannedStart, run: TrackedRun, now_ms: int) -> bool:
    if not planned.ticket:
        return False
    permit = run.task.step.tickets_by_worker.get(planned.worker_id)
    return permit is None or permit[1] < now_ms
