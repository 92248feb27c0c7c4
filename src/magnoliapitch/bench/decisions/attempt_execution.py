"""Carries out the scheduler's decisions on simulated workers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from magnoliapitch.bench.decisions.decision_rounds import DecisionRounds
from magnoliapitch.bench.decisions.simulated_worker import AttemptSpec
from magnoliapitch.bench.decisions.simulated_worker import PredictedEnd
from magnoliapitch.bench.decisions.simulated_worker import RunningAttempt
from magnoliapitch.bench.decisions.simulated_worker import SimulatedWorker
from magnoliapitch.decision.interface import Eviction
from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.job.spec import TaskOutcome


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.bench.decisions.replay_context import ReplayContext
    from magnoliapitch.bench.decisions.replayed_job import ReplayedTask
    from magnoliapitch.decision.interface import Decision
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.interface import WorkerShape


USAGE_REPORT_INTERVAL_MS = 15_000
STOP_DELAY_MS = 100
CHECKPOINT_DELAY_MS = 1_000
CHECKPOINT_COST_MS = 2_000
FAILURE_DELAY_MS = 1_000


class AttemptExecution:
    """Attempts of the replayed tasks, from their submission to their end.

    It reports ends and resource usage to the scheduler.

    :param handle_end: called with each task whose attempt has ended, after
        the scheduler was told.
    """

    def __init__(
        self,
        context: ReplayContext,
        handle_end: Callable[[ReplayedTask, TaskOutcome], None],
    ) -> None:
        self._trace = context.trace
        self._scheduler = context.scheduler
        self._recorder = context.recorder
        self._audit = context.audit
        self._timeline = context.timeline
        self._cpu_meter = context.cpu_meter
        self._handle_end = handle_end
        self._rounds = DecisionRounds(context, self._carry_out)
        self._workers_by_id: dict[str, SimulatedWorker] = {}
        self._tasks_by_attempt_id: dict[str, ReplayedTask] = {}

    def add_worker(self, shape: WorkerShape) -> None:
        """Add a worker without attempts."""
        worker = SimulatedWorker(shape, self._trace.peak_interval_ms())
        self._workers_by_id[shape.worker_id] = worker
        self._audit.add_worker(shape)
        with self._cpu_meter:
            self._scheduler.add_worker(shape)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker; its attempts are lost."""
        worker = self._workers_by_id.pop(worker_id)
        self._audit.remove_worker(worker_id)
        with self._cpu_meter:
            self._scheduler.remove_worker(worker_id)
        lost = dict(worker.attempts_by_id)
        worker.attempts_by_id.clear()
        for attempt_id, attempt in lost.items():
            self._recorder.lost_millicore_ms += attempt.delivered_millicore_ms
            task = self._tasks_by_attempt_id[attempt_id]
            self._record_attempt_end(task, TaskOutcome.LOST)

    def submit(self, tasks: list[ReplayedTask]) -> None:
        """Submit the next attempts of tasks to the scheduler."""
        for task in tasks:
            self._tasks_by_attempt_id[task.attempt_id] = task
        with self._cpu_meter:
            self._scheduler.submit(
                tuple(task.request(self._timeline.now_ms) for task in tasks)
            )
        self._rounds.schedule()

    def cancel(self, job_id: str) -> None:
        """Cancel the tasks of a job; stop those that run after a delay."""
        with self._cpu_meter:
            running_attempt_ids = self._scheduler.cancel(job_id)
        for attempt_id in running_attempt_ids:
            self.stop(self._tasks_by_attempt_id[attempt_id])
        self._rounds.schedule()

    def schedule_round(self) -> None:
        """Ask the scheduler for decisions in the next round."""
        self._rounds.schedule()

    def stop(self, task: ReplayedTask) -> None:
        """Stop the current attempt of a task after a delay."""
        self._end_later(STOP_DELAY_MS, task, TaskOutcome.CANCELLED)

    def record_sample(self) -> None:
        """Record the processors that are reserved and used now."""
        workers = self._workers_by_id.values()
        self._recorder.record_sample(
            self._timeline.now_ms,
            self._audit.total_reserved(),
            sum(worker.used_cpu_millis() for worker in workers),
            sum(worker.shape.capacity.cpu_millis for worker in workers),
        )

    def record_running_work(self) -> None:
        """Record the work of the attempts that still run at the end."""
        for worker in self._workers_by_id.values():
            for attempt_id in list(worker.attempts_by_id):
                attempt = worker.attempts_by_id[attempt_id]
                worker.end(attempt_id, self._timeline.now_ms)
                task = self._tasks_by_attempt_id[attempt_id]
                self._recorder.record_useful_work(
                    task, attempt.peak_delivered_millicore_ms
                )

    def _carry_out(self, decision: Decision) -> None:
        self._audit.check_decision(
            tuple(
                (self._tasks_by_attempt_id[item.attempt_id].request(0), item)
                for item in decision.placements
            )
        )
        for placement in decision.placements:
            self._start_attempt(placement)
        for eviction in decision.evictions:
            self._evict(eviction)

    def _start_attempt(self, placement: Placement) -> None:
        task = self._tasks_by_attempt_id[placement.attempt_id]
        task.worker_id = placement.worker_id
        self._recorder.record_start(task, self._timeline.now_ms)
        worker = self._workers_by_id[placement.worker_id]
        spec = AttemptSpec(
            placement.attempt_id,
            task.traced_job.tasks[task.number].actual_usage,
            task.remaining_ms,
            placement.reserved,
        )
        self._schedule_ends(worker, worker.start(spec, self._timeline.now_ms))
        if self._will_fail(task):
            self._end_later(FAILURE_DELAY_MS, task, TaskOutcome.FAILED)
        victim_id = worker.memory_overrun_victim()
        if victim_id:
            self._recorder.memory_overruns += 1
            victim = self._tasks_by_attempt_id[victim_id]
            self._end_later(STOP_DELAY_MS, victim, TaskOutcome.FAILED)
        self._timeline.schedule_after(
            self._trace.report_lag_ms,
            partial(self._report_usage, task, placement.attempt_id),
        )

    def _will_fail(self, task: ReplayedTask) -> bool:
        if task.traced_job.always_fails:
            return True
        return (
            task.worker_id in self._trace.failing_worker_ids
            and self._timeline.now_ms >= self._trace.failing_from_ms
        )

    def _end_later(
        self, delay_ms: int, task: ReplayedTask, outcome: TaskOutcome
    ) -> None:
        action = partial(self._end_attempt, task, task.attempt_id, outcome)
        self._timeline.schedule_after(delay_ms, action)

    def _schedule_ends(
        self, worker: SimulatedWorker, ends: list[PredictedEnd]
    ) -> None:
        for end in ends:
            action = partial(self._finish_if_current, worker, end)
            self._timeline.schedule_at(end.at_ms, action)

    def _finish_if_current(
        self, worker: SimulatedWorker, end: PredictedEnd
    ) -> None:
        attempt = worker.attempts_by_id.get(end.attempt_id)
        if attempt is None or attempt.generation != end.generation:
            return
        task = self._tasks_by_attempt_id[end.attempt_id]
        self._end_attempt(task, end.attempt_id, TaskOutcome.FINISHED)

    def _end_attempt(
        self, task: ReplayedTask, attempt_id: str, outcome: TaskOutcome
    ) -> None:
        attempt = self._remove_attempt(task, attempt_id)
        if attempt is None:
            return
        if outcome is TaskOutcome.FINISHED:
            self._recorder.record_useful_work(
                task, attempt.peak_delivered_millicore_ms
            )
        elif outcome is not TaskOutcome.LOST:
            self._recorder.lost_millicore_ms += attempt.delivered_millicore_ms
        self._record_attempt_end(task, outcome)

    def _record_attempt_end(
        self, task: ReplayedTask, outcome: TaskOutcome
    ) -> None:
        self._audit.release(task.attempt_id)
        with self._cpu_meter:
            self._scheduler.record_task_end(
                task.attempt_id, outcome, self._timeline.now_ms
            )
        del self._tasks_by_attempt_id[task.attempt_id]
        task.worker_id = ""
        self._rounds.schedule()
        self._handle_end(task, outcome)

    def _evict(self, eviction: Eviction) -> None:
        task = self._tasks_by_attempt_id[eviction.attempt_id]
        self._recorder.record_eviction(str(eviction.action))
        if eviction.action is EvictionAction.THROTTLE:
            action = partial(self._throttle, eviction)
            self._timeline.schedule_after(STOP_DELAY_MS, action)
        elif eviction.action is EvictionAction.CHECKPOINT:
            action = partial(self._checkpoint, task, eviction.attempt_id)
            self._timeline.schedule_after(CHECKPOINT_DELAY_MS, action)
        else:
            self.stop(task)

    def _throttle(self, eviction: Eviction) -> None:
        worker = self._workers_by_id.get(eviction.worker_id)
        if worker is None:
            return
        attempt = worker.attempts_by_id.get(eviction.attempt_id)
        if attempt is None:
            return
        ends = worker.throttle(
            eviction.attempt_id, eviction.cpu_millis, self._timeline.now_ms
        )
        self._schedule_ends(worker, ends)
        reserved = attempt.reserved._replace(cpu_millis=eviction.cpu_millis)
        attempt.reserved = reserved
        self._audit.resize(eviction.attempt_id, reserved)
        with self._cpu_meter:
            self._scheduler.record_resize(eviction.attempt_id, reserved)
        self._rounds.schedule()

    def _remove_attempt(
        self, task: ReplayedTask, attempt_id: str
    ) -> RunningAttempt | None:
        """Remove an attempt from its worker; return it if it still ran."""
        worker = self._workers_by_id.get(task.worker_id)
        if task.attempt_id != attempt_id or worker is None:
            return None
        attempt = worker.attempts_by_id.get(attempt_id)
        if attempt is not None:
            self._schedule_ends(
                worker, worker.end(attempt_id, self._timeline.now_ms)
            )
        return attempt

    def _checkpoint(self, task: ReplayedTask, attempt_id: str) -> None:
        attempt = self._remove_attempt(task, attempt_id)
        if attempt is None:
            return
        self._recorder.record_useful_work(
            task, attempt.peak_delivered_millicore_ms
        )
        task.remaining_ms = max(1.0, attempt.remaining_ms) + CHECKPOINT_COST_MS
        self._record_attempt_end(task, TaskOutcome.LOST)

    def _report_usage(self, task: ReplayedTask, attempt_id: str) -> None:
        worker = self._workers_by_id.get(task.worker_id)
        if task.attempt_id != attempt_id or worker is None:
            return
        attempt = worker.attempts_by_id.get(attempt_id)
        if attempt is None:
            return
        with self._cpu_meter:
            self._scheduler.report_usage(
                attempt_id, attempt.current_usage(), self._timeline.now_ms
            )
        self._timeline.schedule_after(
            USAGE_REPORT_INTERVAL_MS,
            partial(self._report_usage, task, attempt_id),
        )
