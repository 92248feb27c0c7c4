"""Orders to workers to start and stop runs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.log_fields import run_fields
from magnoliapitch.control.source_ages import Source
from magnoliapitch.event import log_event
from magnoliapitch.planner.quota import exceeds_quota
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.verdict import FailureCode
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.control.effects import Effects
    from magnoliapitch.control.events import StartAnswered
    from magnoliapitch.control.source_ages import SourceAges
    from magnoliapitch.control.worker_tokens import WorkerTokens
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.planner.plan import PlannedStop
    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.job import StepKey
    from magnoliapitch.workload.worker import WorkerInfo


# An unanswered stop order is sent again after this time.
STOP_RETRY_DELAY_MS = 600
# A start order that is answered later is logged.
SLOW_ORDER_MS = 1_000
# A worker that refused a start gets no new runs for this long.
REFUSED_START_BACKOFF_MS = 1_500
# Refusals that do not tell against the worker.
_BLAMELESS_CODES = (FailureCode.STALE, FailureCode.EXPIRED)


class OrderIssuer:
    """Issues start and stop orders under one epoch of leadership.

    :param tokens: fencing tokens of the orders.
    :param info_by_worker_id: the platform's newest list of workers, which
        the caller keeps up to date.
    :param source_ages: ages of that list and of the jobs.
    """

    def __init__(
        self,
        tokens: WorkerTokens,
        state: SchedulerState,
        planner: Planner,
        info_by_worker_id: Mapping[str, WorkerInfo],
        source_ages: SourceAges,
        effects: Effects,
        metrics: Metrics,
    ) -> None:
        self._info_by_worker_id = info_by_worker_id
        self._source_ages = source_ages
        self._tokens = tokens
        self._state = state
        self._planner = planner
        self._effects = effects
        self._metrics = metrics

    def record_planned(
        self, starts: tuple[PlannedStart, ...], now_ms: int
    ) -> None:
        """Add planned runs to the state and log them, step by step."""
        worker_ids_by_step: dict[StepKey, list[str]] = {}
        for planned in starts:
            self._state.add_ordered_run(
                planned.task, planned.run, planned.worker_id, now_ms
            )
            if planned.is_copy:
                run = run_fields(planned.task, planned.run, planned.worker_id)
                log_event("copy-starting", **run)
                continue
            worker_ids_by_step.setdefault(planned.task.step_key, []).append(
                planned.worker_id
            )
        for key, worker_ids in worker_ids_by_step.items():
            step = self._state.step(key)
            ready_ms = (step.ready_ms if step else None) or now_ms
            queue = step.job.queue.name if step else ""
            count = len(worker_ids)
            self._metrics.count("starts_planned", queue, count)
            self._metrics.observe("step_waited", now_ms - ready_ms, queue)
            log_event(
                "step-starting",
                job=key.job_id,
                step=key.step,
                tasks=count,
                waiting=step.waiting_count if step else 0,
                ready_age_ms=now_ms - ready_ms,
                list_age_ms=self._list_age_ms(now_ms),
                placements=self._describe_placements(worker_ids),
            )

    def _list_age_ms(self, now_ms: int) -> int | None:
        return self._source_ages.age_ms(Source.WORKERS, now_ms)

    def _describe_placements(self, worker_ids: list[str]) -> str:
        """Return each worker with its new tasks and the CPU left, as text."""
        return ",".join(
            f"{worker_id}:{count}:"
            f"{self._state.get_or_add_worker(worker_id).free.cpu_millis}"
            for worker_id, count in Counter(worker_ids).items()
        )

    def start(
        self, planned: PlannedStart, deadline_ms: int | None, now_ms: int
    ) -> None:
        """Order the start of a run whose record is stored.

        The run is removed instead if it may not be started any more. For
        example, the ticket may have expired or the worker or the quota may
        have shrunk during a slow commit, or no lease may be granted any more.

        :param deadline_ms: until when the run may begin, on the worker's
            clock; None if it may not.
        """
        run = self._state.run(planned.task, planned.run, planned.worker_id)
        if run is None:
            return
        job = run.task.step.job
        info = self._info_by_worker_id.get(planned.worker_id)
        if (
            job.outcome is not JobOutcome.OPEN
            or run.is_stopping
            or not run.task.has_attempts_left
            or info is None
            or info.is_draining
            or not self._has_room(planned.worker_id)
            or deadline_ms is None
            or exceeds_quota(self._state, run)
            or _is_ticket_expired(planned, run, now_ms)
        ):
            self._state.lose_run(run)
            return
        order = StartOrder(
            planned.task,
            planned.run,
            job.spec.payload,
            self._tokens.token(planned.worker_id),
            deadline_ms,
            run.task.checkpoint,
            planned.ticket,
        )
        run.order_sent_ms = now_ms
        list_age_ms = self._list_age_ms(now_ms)
        if list_age_ms is not None:
            self._metrics.observe("worker_list_age", list_age_ms)
        self._effects.start(info, planned, order)

    def _has_room(self, worker_id: str) -> bool:
        """Return whether the runs that are planned for a worker fit it.

        Its capacity may have shrunk since they were planned.
        """
        worker = self._state.workers_by_id.get(worker_id)
        return worker is None or (
            not worker.unknown_run_count and NO_RESOURCES.fits(worker.free)
        )

    def stop(self, stop: PlannedStop, now_ms: int) -> None:
        """Order the stop of a run, again if an earlier order is unanswered."""
        run = self._state.run(stop.task, stop.run, stop.worker_id)
        info = self._info_by_worker_id.get(stop.worker_id)
        if run is None or info is None or run.stopped_ms is not None:
            return
        sent_ms = run.stop_sent_ms
        if sent_ms is not None and now_ms - sent_ms < STOP_RETRY_DELAY_MS:
            return
        run.stop_sent_ms = now_ms
        log_event(
            "stop-ordered",
            **run_fields(stop.task, stop.run, stop.worker_id),
            reason=stop.reason,
        )
        self._effects.order_stop(
            info,
            StopOrder(stop.task, stop.run, self._tokens.token(stop.worker_id)),
        )

    def stop_unknown(
        self, worker_id: str, order: StopOrder, job_state: str | None
    ) -> None:
        """Order the stop of a run that only the worker knows.

        :param job_state: published state of the run's job, for the log.
        """
        task = self._state.task(order.task)
        worker = self._state.get_or_add_worker(worker_id)
        log_event(
            "run-unknown",
            **run_fields(order.task, order.run, worker_id),
            job_state=job_state,
            last_run=task.runs if task else None,
            free_cpu_millis=worker.free.cpu_millis,
        )
        info = self._info_by_worker_id.get(worker_id)
        if info is not None:
            token = self._tokens.token(worker_id)
            self._effects.order_stop(info, order._replace(token=token))

    def undo_refused_start(
        self,
        run: TrackedRun,
        planned: PlannedStart,
        failure: Failure,
        now_ms: int,
    ) -> None:
        """Undo a start that a worker has certainly not carried out.

        A ticket that was refused is dropped. Other refusals, except of a
        stale run or a late order, keep the worker from new runs for a while.
        """
        step = run.task.step
        self._state.lose_run(run)
        if failure.code is FailureCode.TICKET:
            step.tickets_by_worker.pop(planned.worker_id, None)
        elif failure.code not in _BLAMELESS_CODES:
            until_ms = now_ms + REFUSED_START_BACKOFF_MS
            self._planner.worker_backoff.avoid(planned.worker_id, until_ms)

    def record_start_answer(
        self, event: StartAnswered, run: TrackedRun | None
    ) -> None:
        """Log and count a start order that failed or took long.

        :param run: the ordered run, or None if it is not tracked any more.
        """
        planned = event.planned
        ordered_ms = run.order_sent_ms if run is not None else None
        age_ms = None if ordered_ms is None else event.received_ms - ordered_ms
        if isinstance(event.outcome, Err):
            failure = event.outcome.err_value
            self._metrics.count("starts_failed", failure.code.value)
            log_event(
                "start-failed",
                **run_fields(planned.task, planned.run, planned.worker_id),
                verdict=failure.verdict,
                code=failure.code,
                reason=failure.detail,
                order_age_ms=age_ms,
            )
        elif age_ms is not None and age_ms >= SLOW_ORDER_MS:
            log_event(
                "start-delayed",
                **run_fields(planned.task, planned.run, planned.worker_id),
                order_age_ms=age_ms,
            )


def _is_ticket_expired(
    planned: PlannedStart, run: TrackedRun, now_ms: int
) -> bool:
    if not planned.ticket:
        return False
    ticket = run.task.step.tickets_by_worker.get(planned.worker_id)
    return ticket is None or ticket[1] < now_ms
