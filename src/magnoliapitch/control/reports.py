"""Application of workers' reports to the scheduler's state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.control.end_clocks import EndClocks
from magnoliapitch.control.log_fields import run_fields
from magnoliapitch.control.speed_report import SpeedReport
from magnoliapitch.event import log_event
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import StopOrder


if TYPE_CHECKING:
    from magnoliapitch.control.end_acknowledger import EndAcknowledger
    from magnoliapitch.control.end_clocks import EndClock
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.workload.run import EndedRun
    from magnoliapitch.workload.run import WorkerReport


# A run that is unknown but still reported is ordered to stop again after this
# time.
UNEXPECTED_RUN_STOP_RETRY_MS = 1_000


class ReportOutcome(NamedTuple):
    """Outcome of applying a report.

    :param last_end_sequence: sequence number of the last ended run that was
        applied.
    :param stop_orders: stop orders for reported runs that are not known; the
        caller sets the token.
    """

    last_end_sequence: int
    stop_orders: tuple[StopOrder, ...]


class ReportApplier:
    """Applies workers' reports to the scheduler's state.

    :ivar last_end_sequence_by_worker: sequence number of the last ended run
        that was applied, by worker id.
    """

    def __init__(
        self,
        state: SchedulerState,
        planner: Planner,
        end_acknowledger: EndAcknowledger,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._planner = planner
        self._end_acknowledger = end_acknowledger
        self._metrics = metrics
        self.last_end_sequence_by_worker: dict[str, int] = {}
        self._end_clocks = EndClocks()
        self._speed_report = SpeedReport(planner.learned_durations, metrics)
        self._workers_with_ends: set[str] = set()
        self._stopped_ms_by_worker: dict[str, dict[StopOrder, int]] = {}

    def forget(self, worker_id: str) -> None:
        """Drop the data of a worker that is gone."""
        self.last_end_sequence_by_worker.pop(worker_id, None)
        self._stopped_ms_by_worker.pop(worker_id, None)
        self._end_clocks.forget(worker_id)
        self._end_acknowledger.forget(worker_id)

    def take_end_sequences(self) -> dict[str, int]:
        """Return what to acknowledge once the state is stored.

        :return: sequence number of the last applied end, by the id of each
            worker that has reported ended runs since the last call.
        """
        worker_ids, self._workers_with_ends = self._workers_with_ends, set()
        return {
            worker_id: self.last_end_sequence_by_worker[worker_id]
            for worker_id in worker_ids
            if worker_id in self.last_end_sequence_by_worker
        }

    def apply(
        self,
        worker_id: str,
        report: WorkerReport,
        sent_ms: int,
        received_ms: int,
    ) -> ReportOutcome:
        """Apply one report.

        :param sent_ms: when the renewal was sent; runs that were ordered
            later may be missing from the report.
        """
        last_end_sequence = self.last_end_sequence_by_worker.get(worker_id, 0)
        end_clock = self._end_clocks.record(
            worker_id, report.clock_ms, sent_ms, received_ms
        )
        if report.ended:
            self._workers_with_ends.add(worker_id)
        for end in report.ended:
            if end.sequence > last_end_sequence:
                self._apply_end(worker_id, end, received_ms, end_clock)
                last_end_sequence = end.sequence
            else:
                self._log_ignored_end(worker_id, end, last_end_sequence)
        self.last_end_sequence_by_worker[worker_id] = last_end_sequence
        unexpected: list[StopOrder] = []
        reported_run_identities: set[int] = set()
        for running in report.running:
            run = self._state.run(running.task, running.run, worker_id)
            if run is None:
                run = self._state.stop_unexpected_run(
                    running.task, running.run, worker_id, received_ms
                )
            if run is None:
                unexpected.append(StopOrder(running.task, running.run, 0))
                continue
            reported_run_identities.add(id(run))
            self._state.record_running(run, running, received_ms)
        worker = self._state.get_or_add_worker(worker_id)
        worker.unknown_run_count = len(unexpected)
        if report.has_all_ends:
            self._remove_absent_runs(
                worker_id, reported_run_identities, sent_ms
            )
        else:
            log_event(
                "ends-partly-listed",
                worker=worker_id,
                ends=len(report.ended),
                last_end_sequence=last_end_sequence,
            )
        self._speed_report.record(received_ms)
        return ReportOutcome(
            last_end_sequence,
            self._due_stops(worker_id, unexpected, received_ms),
        )

    def _apply_end(
        self,
        worker_id: str,
        end: EndedRun,
        now_ms: int,
        end_clock: EndClock | None,
    ) -> None:
        run = self._state.run(end.task, end.run, worker_id)
        task = self._state.task(end.task)
        completes = task is not None and task.step.is_completed_by(end.kind)
        if run is not None and completes:
            if end_clock is not None:
                run.end_clock_ms = end_clock.ms_if_exact(run.start_clock_ms)
            self._log_avoided_workers(self._planner.record_done(run, now_ms))
        if run is not None and end.kind is EndKind.FAILED:
            self._planner.record_failed(run)
        is_news = self._state.record_end(worker_id, end, now_ms)
        self._end_acknowledger.note(worker_id, end)
        self._metrics.count("runs_ended", end.kind.value)
        if completes and is_news:
            self._log_step_done(end)
            return
        log_event(
            "run-ended",
            **run_fields(end.task, end.run, worker_id),
            kind=end.kind,
            is_news=is_news,
            is_tracked=run is not None,
            sequence=end.sequence,
            failures=None if task is None else task.used_attempts,
            attempts=None if task is None else task.step.job.queue.attempts,
        )

    def _log_ignored_end(
        self, worker_id: str, end: EndedRun, last_end_sequence: int
    ) -> None:
        """Log an end that is taken for a repeat while its run is active."""
        if self._state.run(end.task, end.run, worker_id) is not None:
            log_event(
                "end-ignored",
                **run_fields(end.task, end.run, worker_id),
                kind=end.kind,
                sequence=end.sequence,
                last_end_sequence=last_end_sequence,
            )

    def _log_avoided_workers(self, pause_ms_by_worker: dict[str, int]) -> None:
        for worker_id, pause_ms in pause_ms_by_worker.items():
            log_event("worker-avoided", worker=worker_id, pause_ms=pause_ms)

    def _log_step_done(self, end: EndedRun) -> None:
        """Log the end of a step once, instead of the end of each task."""
        step = self._state.step(end.task.step_key)
        if step is not None and step.is_done:
            log_event(
                "step-done",
                job=end.task.job_id,
                step=end.task.step,
                tasks=step.spec.task_count,
                outcome=step.job.outcome,
            )

    def _remove_absent_runs(
        self, worker_id: str, reported_run_identities: set[int], sent_ms: int
    ) -> None:
        """Remove runs that the worker would report if they were active.

        It must have listed all its ends, since a run may be among the others.
        """
        for run in list(self._state.get_or_add_worker(worker_id).runs):
            if id(run) in reported_run_identities:
                continue
            if _is_certainly_absent(run, sent_ms):
                log_event(
                    "run-absent",
                    **run_fields(run.task.key, run.number, worker_id),
                )
                self._state.lose_run(run)

    def _due_stops(
        self, worker_id: str, orders: list[StopOrder], now_ms: int
    ) -> tuple[StopOrder, ...]:
        """Return the orders that were not sent lately.

        Only orders for runs that the worker still reports are remembered.
        """
        sent_ms_by_order = self._stopped_ms_by_worker.pop(worker_id, {})
        due = tuple(
            order
            for order in orders
            if order not in sent_ms_by_order
            or now_ms - sent_ms_by_order[order] >= UNEXPECTED_RUN_STOP_RETRY_MS
        )
        if orders:
            remembered = {
                order: sent_ms_by_order.get(order, now_ms) for order in orders
            }
            remembered.update(dict.fromkeys(due, now_ms))
            self._stopped_ms_by_worker[worker_id] = remembered
        return due


def _is_certainly_absent(run: TrackedRun, sent_ms: int) -> bool:
    if run.is_restored or run.has_ended_with_worker:
        # The renewal carried a higher fencing token than any order to start
        # the run, so the worker will not start it any more.
        return True
    if run.stopped_ms is not None:
        return sent_ms > run.stopped_ms
    return run.confirmed_ms is not None and sent_ms > run.confirmed_ms
