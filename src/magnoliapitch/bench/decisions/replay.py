"""Replays a trace against one scheduling policy in simulated time."""

from __future__ import annotations

import time

from functools import partial
from typing import TYPE_CHECKING

from magnoliapitch.bench.decisions.audit import DecisionAudit
from magnoliapitch.bench.decisions.recorder import CpuMeter
from magnoliapitch.bench.decisions.recorder import Recorder
from magnoliapitch.bench.decisions.replayed_job import ReplayedJob
from magnoliapitch.bench.decisions.replayed_job import ReplayedTask
from magnoliapitch.bench.decisions.simulated_worker import AttemptSpec
from magnoliapitch.bench.decisions.simulated_worker import PredictedEnd
from magnoliapitch.bench.decisions.simulated_worker import RunningAttempt
from magnoliapitch.bench.decisions.simulated_worker import SimulatedWorker
from magnoliapitch.bench.decisions.timeline import Timeline
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import Eviction
from magnoliapitch.decision.interface import EvictionAction
from magnoliapitch.job.spec import TaskOutcome


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.trace import Outage
    from magnoliapitch.bench.decisions.trace import Trace
    from magnoliapitch.bench.decisions.trace import TracedJob
    from magnoliapitch.decision.interface import Placement
    from magnoliapitch.decision.interface import Scheduler
    from magnoliapitch.decision.interface import WorkerShape


DECISION_INTERVAL_MS = 50
QUEUED_RETRY_INTERVAL_MS = 500
USAGE_REPORT_INTERVAL_MS = 15_000
STOP_DELAY_MS = 100
CHECKPOINT_DELAY_MS = 1_000
CHECKPOINT_COST_MS = 2_000
FAILURE_DELAY_MS = 1_000
MAX_TASK_FAILURES = 8
SAMPLE_COUNT = 240
MAX_DECISIONS_PER_ROUND = 10_000


class Replay:
    """One replay of a trace, in the role of the job manager.

    It submits the jobs of the trace to the scheduler, carries out the
    scheduler's placements and evictions on simulated workers, and reports
    ends and resource usage back.

    :ivar recorder: figures of the replay.
    :ivar audit: checks of the scheduler's decisions.
    :ivar jobs_by_id: progress of every accepted job.
    :ivar refused: reason of each refusal, by job id; the scheduler refuses
        jobs that no worker can ever run.
    :ivar timeline: simulated time and the actions that are due.
    """

    def __init__(self, trace: Trace, scheduler: Scheduler) -> None:
        self.trace = trace
        self.recorder = Recorder()
        self.audit = DecisionAudit()
        self.jobs_by_id: dict[str, ReplayedJob] = {}
        self.refused: dict[str, str] = {}
        self.timeline = Timeline()
        self._scheduler = scheduler
        self._cpu_meter = CpuMeter(self.recorder)
        self._workers_by_id: dict[str, SimulatedWorker] = {}
        self._tasks_by_attempt_id: dict[str, ReplayedTask] = {}
        self._next_round_ms = -1
        self._unfinished_jobs = 0
        self._jobs_to_arrive = len(trace.jobs)

    def run(self, horizon_ms: int) -> None:
        """Run until all jobs but services have ended.

        :param horizon_ms: simulated time at which the replay stops even if
            jobs are unfinished.
        """
        self._set_up_trace()
        while self.timeline.run_next(horizon_ms):
            if self._jobs_to_arrive == 0 and self._unfinished_jobs == 0:
                break
        self._record_running_work()

    @property
    def now_ms(self) -> int:
        """Simulated time."""
        return self.timeline.now_ms

    def _set_up_trace(self) -> None:
        trace = self.trace
        self._scheduler.set_catalogue(trace.catalogue())
        for worker in trace.deployment.workers:
            self._add_worker(worker)
        for job in trace.jobs:
            self.timeline.schedule_at(
                job.arrives_ms, partial(self._handle_arrival, job)
            )
        for item in trace.cancellations:
            self.timeline.schedule_at(
                item.at_ms, partial(self._cancel, item.job_id)
            )
        for outage in trace.outages:
            self.timeline.schedule_at(
                outage.from_ms, partial(self._begin_outage, outage)
            )
            self.timeline.schedule_at(
                outage.until_ms, partial(self._end_outage, outage)
            )
        interval_ms = max(
            DECISION_INTERVAL_MS, trace.arrival_window_ms // SAMPLE_COUNT
        )
        self.timeline.schedule_at(0, partial(self._record_sample, interval_ms))

    def _add_worker(self, shape: WorkerShape) -> None:
        worker = SimulatedWorker(shape, self.trace.peak_interval_ms())
        self._workers_by_id[shape.worker_id] = worker
        self.audit.add_worker(shape)
        with self._cpu_meter:
            self._scheduler.add_worker(shape)

    def _handle_arrival(self, job: TracedJob) -> None:
        self._jobs_to_arrive -= 1
        replayed_job = ReplayedJob(job)
        request = replayed_job.tasks[0].request(self.now_ms)
        with self._cpu_meter:
            reason = self._scheduler.infeasibility_reason(
                request, self.trace.deployment.workers
            )
        if reason:
            self.refused[job.job_id] = reason
            return
        self.jobs_by_id[job.job_id] = replayed_job
        if _is_awaited(job):
            self._unfinished_jobs += 1
        for task in replayed_job.tasks:
            self.recorder.record_arrival(task, self.now_ms)
        self._submit_tasks(replayed_job.tasks)

    def _submit_tasks(self, tasks: list[ReplayedTask]) -> None:
        for task in tasks:
            self._tasks_by_attempt_id[task.attempt_id] = task
        with self._cpu_meter:
            self._scheduler.submit(
                tuple(task.request(self.now_ms) for task in tasks)
            )
        self._schedule_decision_round(DECISION_INTERVAL_MS)

    def _schedule_decision_round(self, within_ms: int) -> None:
        """Schedule a decision round unless an earlier one is scheduled.

        Rounds lie on multiples of ``DECISION_INTERVAL_MS``.

        :param within_ms: longest wanted delay; less than one interval means
            the next multiple.
        """
        at_ms = (
            self.now_ms // DECISION_INTERVAL_MS + 1
        ) * DECISION_INTERVAL_MS
        at_ms = max(
            at_ms,
            (self.now_ms + within_ms)
            // DECISION_INTERVAL_MS
            * DECISION_INTERVAL_MS,
        )
        if self.now_ms < self._next_round_ms <= at_ms:
            return
        self._next_round_ms = at_ms
        self.timeline.schedule_at(
            at_ms, partial(self._run_decision_round, at_ms)
        )

    def _run_decision_round(self, at_ms: int) -> None:
        if at_ms != self._next_round_ms:
            return
        self._next_round_ms = -1
        for _ in range(MAX_DECISIONS_PER_ROUND):
            if not self._decide():
                break
        if self._scheduler.queued_count():
            self._schedule_decision_round(QUEUED_RETRY_INTERVAL_MS)

    def _decide(self) -> bool:
        started_ns = time.perf_counter_ns()
        with self._cpu_meter:
            decision = self._scheduler.decide(self.now_ms)
        self.recorder.record_decision(time.perf_counter_ns() - started_ns)
        self.audit.check_decision(
            tuple(
                (self._tasks_by_attempt_id[item.attempt_id].request(0), item)
                for item in decision.placements
            )
        )
        for placement in decision.placements:
            self._start_attempt(placement)
        for eviction in decision.evictions:
            self._evict(eviction)
        return decision.has_more

    def _start_attempt(self, placement: Placement) -> None:
        task = self._tasks_by_attempt_id[placement.attempt_id]
        task.worker_id = placement.worker_id
        self.recorder.record_start(task, self.now_ms)
        worker = self._workers_by_id[placement.worker_id]
        spec = AttemptSpec(
            placement.attempt_id,
            task.traced_job.tasks[task.number].actual_usage,
            task.remaining_ms,
            placement.reserved,
        )
        self._schedule_ends(worker, worker.start(spec, self.now_ms))
        if self._will_fail(task):
            self._end_later(FAILURE_DELAY_MS, task, TaskOutcome.FAILED)
        victim_id = worker.memory_overrun_victim()
        if victim_id:
            self.recorder.memory_overruns += 1
            victim = self._tasks_by_attempt_id[victim_id]
            self._end_later(STOP_DELAY_MS, victim, TaskOutcome.FAILED)
        self.timeline.schedule_after(
            self.trace.report_lag_ms,
            partial(self._report_usage, task, placement.attempt_id),
        )

    def _will_fail(self, task: ReplayedTask) -> bool:
        if task.traced_job.always_fails:
            return True
        return (
            task.worker_id in self.trace.failing_worker_ids
            and self.now_ms >= self.trace.failing_from_ms
        )

    def _end_later(
        self, delay_ms: int, task: ReplayedTask, outcome: TaskOutcome
    ) -> None:
        action = partial(self._end_attempt, task, task.attempt_id, outcome)
        self.timeline.schedule_after(delay_ms, action)

    def _schedule_ends(
        self, worker: SimulatedWorker, ends: list[PredictedEnd]
    ) -> None:
        for end in ends:
            action = partial(self._finish_if_current, worker, end)
            self.timeline.schedule_at(end.at_ms, action)

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
            self.recorder.record_useful_work(
                task, attempt.peak_delivered_millicore_ms
            )
        elif outcome is not TaskOutcome.LOST:
            self.recorder.lost_millicore_ms += attempt.delivered_millicore_ms
        self._record_attempt_end(task, outcome)

    def _record_attempt_end(
        self, task: ReplayedTask, outcome: TaskOutcome
    ) -> None:
        self.audit.release(task.attempt_id)
        with self._cpu_meter:
            self._scheduler.record_task_end(
                task.attempt_id, outcome, self.now_ms
            )
        del self._tasks_by_attempt_id[task.attempt_id]
        task.worker_id = ""
        self._schedule_decision_round(DECISION_INTERVAL_MS)
        job = self.jobs_by_id[task.traced_job.job_id]
        if job.is_abandoned:
            return
        if outcome is TaskOutcome.FINISHED:
            self._finish_task(job, task)
            return
        if outcome is TaskOutcome.FAILED:
            self.recorder.failures += 1
            task.failures += 1
            if task.failures >= MAX_TASK_FAILURES:
                self._abandon(job)
                return
        self._retry(job, task)

    def _finish_task(self, job: ReplayedJob, task: ReplayedTask) -> None:
        task.finished_ms = self.now_ms
        job.unfinished_tasks -= 1
        if job.unfinished_tasks == 0 and _is_awaited(job.traced_job):
            self._unfinished_jobs -= 1

    def _retry(self, job: ReplayedJob, ended_task: ReplayedTask) -> None:
        if not job.traced_job.is_gang:
            ended_task.attempt_number += 1
            self._submit_tasks([ended_task])
            return
        if any(task.worker_id for task in job.tasks):
            self._stop_gang(job)
            return
        for task in job.tasks:
            task.attempt_number += 1
            task.finished_ms = -1
        job.unfinished_tasks = len(job.tasks)
        self._submit_tasks(job.tasks)

    def _stop_gang(self, job: ReplayedJob) -> None:
        for task in job.tasks:
            if task.worker_id:
                self._end_later(STOP_DELAY_MS, task, TaskOutcome.CANCELLED)

    def _cancel(self, job_id: str) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is not None and not job.is_abandoned and job.unfinished_tasks:
            self._abandon(job)

    def _abandon(self, job: ReplayedJob) -> None:
        job.is_abandoned = True
        if _is_awaited(job.traced_job):
            self._unfinished_jobs -= 1
        with self._cpu_meter:
            running_attempt_ids = self._scheduler.cancel(job.traced_job.job_id)
        for task in job.tasks:
            if task.started_ms < 0:
                self.recorder.record_cancellation(task, self.now_ms)
        for attempt_id in running_attempt_ids:
            running_task = self._tasks_by_attempt_id[attempt_id]
            self._end_later(STOP_DELAY_MS, running_task, TaskOutcome.CANCELLED)
        self._schedule_decision_round(DECISION_INTERVAL_MS)

    def _evict(self, eviction: Eviction) -> None:
        task = self._tasks_by_attempt_id[eviction.attempt_id]
        self.recorder.record_eviction(str(eviction.action))
        if eviction.action is EvictionAction.THROTTLE:
            action = partial(self._throttle, eviction)
            self.timeline.schedule_after(STOP_DELAY_MS, action)
        elif eviction.action is EvictionAction.CHECKPOINT:
            action = partial(self._checkpoint, task, eviction.attempt_id)
            self.timeline.schedule_after(CHECKPOINT_DELAY_MS, action)
        else:
            self._end_later(STOP_DELAY_MS, task, TaskOutcome.CANCELLED)

    def _throttle(self, eviction: Eviction) -> None:
        worker = self._workers_by_id.get(eviction.worker_id)
        if worker is None:
            return
        attempt = worker.attempts_by_id.get(eviction.attempt_id)
        if attempt is None:
            return
        ends = worker.throttle(
            eviction.attempt_id, eviction.cpu_millis, self.now_ms
        )
        self._schedule_ends(worker, ends)
        reserved = attempt.reserved._replace(cpu_millis=eviction.cpu_millis)
        attempt.reserved = reserved
        self.audit.resize(eviction.attempt_id, reserved)
        with self._cpu_meter:
            self._scheduler.record_resize(eviction.attempt_id, reserved)
        self._schedule_decision_round(DECISION_INTERVAL_MS)

    def _remove_attempt(
        self, task: ReplayedTask, attempt_id: str
    ) -> RunningAttempt | None:
        """Remove an attempt from its worker; return it if it still ran."""
        worker = self._workers_by_id.get(task.worker_id)
        if task.attempt_id != attempt_id or worker is None:
            return None
        attempt = worker.attempts_by_id.get(attempt_id)
        if attempt is not None:
            self._schedule_ends(worker, worker.end(attempt_id, self.now_ms))
        return attempt

    def _checkpoint(self, task: ReplayedTask, attempt_id: str) -> None:
        attempt = self._remove_attempt(task, attempt_id)
        if attempt is None:
            return
        self.recorder.record_useful_work(
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
                attempt_id, attempt.current_usage(), self.now_ms
            )
        self.timeline.schedule_after(
            USAGE_REPORT_INTERVAL_MS,
            partial(self._report_usage, task, attempt_id),
        )

    def _begin_outage(self, outage: Outage) -> None:
        for worker_id in outage.worker_ids:
            worker = self._workers_by_id.pop(worker_id)
            self.audit.remove_worker(worker_id)
            with self._cpu_meter:
                self._scheduler.remove_worker(worker_id)
            lost = dict(worker.attempts_by_id)
            worker.attempts_by_id.clear()
            for attempt_id, attempt in lost.items():
                self.recorder.lost_millicore_ms += (
                    attempt.delivered_millicore_ms
                )
                task = self._tasks_by_attempt_id[attempt_id]
                self._record_attempt_end(task, TaskOutcome.LOST)

    def _end_outage(self, outage: Outage) -> None:
        for shape in self.trace.deployment.workers:
            if shape.worker_id in outage.worker_ids:
                self._add_worker(shape)
        self._schedule_decision_round(DECISION_INTERVAL_MS)

    def _record_sample(self, interval_ms: int) -> None:
        workers = self._workers_by_id.values()
        self.recorder.record_sample(
            self.now_ms,
            self.audit.total_reserved(),
            sum(worker.used_cpu_millis() for worker in workers),
            sum(worker.shape.capacity.cpu_millis for worker in workers),
        )
        self.timeline.schedule_after(
            interval_ms, partial(self._record_sample, interval_ms)
        )

    def _record_running_work(self) -> None:
        """Record the work of the attempts that still run at the end."""
        for worker in self._workers_by_id.values():
            for attempt_id in list(worker.attempts_by_id):
                attempt = worker.attempts_by_id[attempt_id]
                worker.end(attempt_id, self.now_ms)
                task = self._tasks_by_attempt_id[attempt_id]
                self.recorder.record_useful_work(
                    task, attempt.peak_delivered_millicore_ms
                )


def _is_awaited(job: TracedJob) -> bool:
    """Return whether the replay runs until this job has ended."""
    return job.entry.work_class is not WorkClass.SERVICE
