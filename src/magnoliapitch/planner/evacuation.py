"""Stops runs on workers that are about to leave while there is time for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import Candidate
from magnoliapitch.planner.candidates import is_eligible


if TYPE_CHECKING:
    from magnoliapitch.planner.duration import DurationEstimator
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker
    from magnoliapitch.workload.worker import WorkerInfo


EVACUATED = "evacuated"
# A stop with its order and its report.
STOP_ALLOWANCE_MS = 1_000
# The list of workers is late, and a stop order may have to be repeated.
STOP_LEAD_MS = STOP_ALLOWANCE_MS + 1_000
# Runs that save nothing are stopped only if fewer than this share of them
# would end by the time plus a margin.
ENDS_IN_TIME_SHARE = 0.05
UNSAVED_MARGIN_MS = 2_000


class Evacuation:
    """Marks runs on draining workers for stopping.

    Work that saves its progress goes on until the time that is left is
    needed for the stop, since the worker takes nothing else. A worker that
    was draining before this instance led may leave at any time: its entry in
    the list does not tell its age.
    """

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations
        self._info_by_worker: dict[str, WorkerInfo] = {}
        self._leaves_ms_by_worker: dict[str, int | None] = {}

    def mark(self, state: SchedulerState, now_ms: int) -> None:
        """Mark the runs that would not end before their worker leaves."""
        for worker_id in self._info_by_worker.keys() - state.workers_by_id:
            del self._info_by_worker[worker_id]
            self._leaves_ms_by_worker.pop(worker_id, None)
        for worker in state.workers_by_id.values():
            info = worker.info
            if info is None:
                continue
            if info is not self._info_by_worker.get(worker.worker_id):
                self._record(info, now_ms)
            if info.is_draining and worker.runs:
                self._evacuate(state, worker, now_ms)

    def _record(self, info: WorkerInfo, now_ms: int) -> None:
        """Record an entry of the list, and when its worker may leave.

        Another entry never makes that time later.
        """
        worker_id = info.worker_id
        known = self._info_by_worker.get(worker_id)
        self._info_by_worker[worker_id] = info
        if not info.is_draining:
            self._leaves_ms_by_worker.pop(worker_id, None)
            return
        leaves_ms: int | None = None
        if known is not None:
            leaves_ms = now_ms + info.drain_remaining_ms
            if known.is_draining:
                former_ms = self._leaves_ms_by_worker.get(worker_id)
                leaves_ms = (
                    None if former_ms is None else min(former_ms, leaves_ms)
                )
        self._leaves_ms_by_worker[worker_id] = leaves_ms

    def _evacuate(
        self, state: SchedulerState, worker: TrackedWorker, now_ms: int
    ) -> None:
        leaves_ms = self._leaves_ms_by_worker.get(worker.worker_id)
        for run in list(worker.runs):
            step = run.task.step
            if (
                run.is_stopping
                or run.started_ms is None
                or step.spec.is_long_running
            ):
                continue
            if step.spec.saves_progress:
                if self._is_due(run, leaves_ms, now_ms):
                    _mark(state, run)
            elif (
                leaves_ms is not None
                and not step.spec.is_gang
                and self._is_lost(run, leaves_ms)
                and _fits_elsewhere(state, step)
            ):
                _mark(state, run)

    def _is_due(
        self, run: TrackedRun, leaves_ms: int | None, now_ms: int
    ) -> bool:
        """Return whether a run that saves its progress is stopped now."""
        if leaves_ms is None:
            return True
        if now_ms < leaves_ms - STOP_LEAD_MS:
            return False
        return now_ms + self._durations.remaining_ms(run, now_ms) > leaves_ms

    def _is_lost(self, run: TrackedRun, leaves_ms: int) -> bool:
        """Return whether a run certainly does not end in time."""
        if run.is_restored or run.started_ms is None:
            return False
        shortest_ms = self._durations.late_quantile_ms(
            run.task.step, run.worker_id, ENDS_IN_TIME_SHARE
        )
        return run.started_ms + shortest_ms > leaves_ms + UNSAVED_MARGIN_MS


def evacuate_services(state: SchedulerState, worker_id: str) -> None:
    """Mark the runs of services on a worker that leaves for stopping.

    Their tasks start again elsewhere. They would otherwise be down from when
    the worker leaves until its lease has certainly expired.
    """
    for run in state.get_or_add_worker(worker_id).runs:
        if run.task.step.spec.is_long_running:
            state.mark_for_stop(run)


def _mark(state: SchedulerState, run: TrackedRun) -> None:
    step = run.task.step
    if step.spec.is_gang:
        state.stop_step(step, EVACUATED)
    else:
        state.mark_for_stop(run, EVACUATED)


def _fits_elsewhere(state: SchedulerState, step: TrackedStep) -> bool:
    return any(
        worker.takes_new_runs
        and worker.info is not None
        and is_eligible(Candidate(worker, worker.info), step)
        and step.reservation.fits(worker.free)
        for worker in state.workers_by_id.values()
    )
