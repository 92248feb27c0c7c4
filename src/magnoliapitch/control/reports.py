"""Compares what a worker lists with what the state believes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.event import log_event
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import StopOrder


if TYPE_CHECKING:
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.workload.run import EndedRun
    from magnoliapitch.workload.run import WorkerReport


# An unexpected run is stopped again after this time.
UNEXPECTED_RUN_STOP_RETRY_MS = 1_000


class ReportOutcome(NamedTuple):
    """What follows from a report.

    :param last_end: highest end that has been taken over.
    :param unexpected: runs to stop; the token is to be filled in.
    """

    last_end: int
    unexpected: tuple[StopOrder, ...]


class ReportApplier:
    """Takes reports of workers over into a state."""

    def __init__(self, state: SchedulerState, planner: Planner, metrics: Metrics) -> None:
        self._state = state
        self._planner = planner
        self._metrics = metrics
        self._last_end_by_worker: dict[str, int] = {}
        self._stopped_ms_by_order: dict[tuple[str, StopOrder], int] = {}

    def forget(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        self._last_end_by_worker.pop(worker_id, None)

    def read(
        self,
        worker_id: str,
        report: WorkerReport,
        sent_ms: int,
        received_ms: int,
    ) -> ReportOutcome:
        """Take over one report.

        :param sent_ms: when the call was sent; what was ordered later may
            be missing.
        """
        last_end = self._last_end_by_worker.get(worker_id, 0)
        for end in report.ended:
            if end.sequence > last_end:
                self._take_end(worker_id, end, received_ms)
                last_end = end.sequence
        self._last_end_by_worker[worker_id] = last_end
        unexpected: list[StopOrder] = []
        listed: set[int] = set()
        for running in report.running:
            run = self._state.run(running.task, running.run, worker_id)
            if run is None:
                unexpected.append(StopOrder(running.task, running.run, 0))
                continue
            listed.add(id(run))
            self._state.record_running(run, running, received_ms)
        self._remove_absent(worker_id, listed, sent_ms)
        return ReportOutcome(last_end, self._due(worker_id, unexpected, received_ms))

    def _take_end(self, worker_id: str, end: EndedRun, now_ms: int) -> None:
        run = self._state.run(end.task, end.run, worker_id)
        if run is not None and end.kind is EndKind.DONE:
            self._log_avoided(self._planner.record_done(run, now_ms))
        if run is not None and end.kind is EndKind.FAILED:
            self._planner.record_failed(run)
        is_news = self._state.record_end(worker_id, end, now_ms)
        self._metrics.count("runs_ended", end.kind.value)
        if end.kind is EndKind.DONE and is_news:
            self._log_done(end)
            return
        log_event(
            "run-ended",
            job=end.task.job_id,
            step=end.task.step,
            task=end.task.position,
            run=end.run,
            worker=worker_id,
            kind=end.kind,
            is_news=is_news,
        )

    def _log_avoided(self, pause_ms_by_worker: dict[str, int]) -> None:
        for worker_id, pause_ms in pause_ms_by_worker.items():
            log_event("worker-avoided", worker=worker_id, pause_ms=pause_ms)

    def _log_done(self, end: EndedRun) -> None:
        """Log the end of a whole step instead of each task's."""
        step = self._state.step(end.task.step_key)
        if step is not None and step.is_done:
            log_event(
                "step-done",
                job=end.task.job_id,
                step=end.task.step,
                tasks=step.spec.task_count,
                outcome=step.job.outcome,
            )

    def _remove_absent(
        self, worker_id: str, listed: set[int], sent_ms: int
    ) -> None:
        """Remove runs that the worker would list if they were going on."""
        for run in list(self._state.worker(worker_id).runs):
            if id(run) not in listed and _is_surely_absent(run, sent_ms):
                log_event(
                    "run-absent",
                    job=run.task.key.job_id,
                    step=run.task.key.step,
                    task=run.task.key.position,
                    run=run.run,
                    worker=worker_id,
                )
                self._state.lose_run(run)

    def _due(
        self, worker_id: str, orders: list[StopOrder], now_ms: int
    ) -> tuple[StopOrder, ...]:
        due: list[StopOrder] = []
        for order in orders:
            key = (worker_id, order)
            stopped_ms = self._stopped_ms_by_order.get(key)
            if (
                stopped_ms is None
                or now_ms - stopped_ms >= UNEXPECTED_RUN_STOP_RETRY_MS
            ):
                self._stopped_ms_by_order[key] = now_ms
                due.append(order)
        return tuple(due)


def _is_surely_absent(run: TrackedRun, sent_ms: int) -> bool:
    if run.is_restored:
        # The call carried a higher token than any order to start it.
        return True
    if run.stopped_ms is not None:
        return sent_ms >= run.stopped_ms
    return run.confirmed_ms is not None and sent_ms > run.confirmed_ms
