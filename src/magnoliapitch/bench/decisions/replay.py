"""Replays a trace against one policy in injected time."""

from __future__ import annotations

import time

from functools import partial
from typing import TYPE_CHECKING

from magnoliapitch.bench.decisions.audit import DecisionAudit
from magnoliapitch.bench.decisions.recorder import CpuMeter
from magnoliapitch.bench.decisions.recorder import Recorder
from magnoliapitch.bench.decisions.replayed_job import JobRun
from magnoliapitch.bench.decisions.replayed_job import TaskRun
from magnoliapitch.bench.decisions.simulated_worker import FakeTask
from magnoliapitch.bench.decisions.simulated_worker import FakeWorker
from magnoliapitch.bench.decisions.simulated_worker import PlannedEnd
from magnoliapitch.bench.decisions.simulated_worker import RunSpec
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


STEP_MS = 50
IDLE_STEP_MS = 500
REPORT_INTERVAL_MS = 15_000
STOP_DELAY_MS = 100
CHECKPOINT_DELAY_MS = 1_000
CHECKPOINT_COST_MS = 2_000
FAILURE_DELAY_MS = 1_000
MAX_FAILURES = 8
SAMPLES = 240
MAX_DECISIONS_PER_STEP = 10_000


class Replay:
    """One run of a trace; plays the job manager's part.

    :ivar recorder: the measures.
    :ivar jobs_by_id: progress of every accepted job.
    :ivar refused: jobs that the policy refused, with the reason.
    """

    def __init__(self, trace: Trace, scheduler: Scheduler) -> None:
        self.trace = trace
        self.recorder = Recorder()
        self.audit = DecisionAudit()
        self.jobs_by_id: dict[str, JobRun] = {}
        self.refused: dict[str, str] = {}
        self.timeline = Timeline()
        self._scheduler = scheduler
        self._meter = CpuMeter(self.recorder)
        self._workers_by_id: dict[str, FakeWorker] = {}
        self._runs_by_task: dict[str, TaskRun] = {}
        self._next_step_ms = -1
        self._unfinished = 0
        self._to_come = len(trace.jobs)

    def run(self, horizon_ms: int) -> None:
        """Run until all bulk and urgent work has ended, or the horizon."""
        self._prepare()
        while self.timeline.advance(horizon_ms):
            if self._to_come == 0 and self._unfinished == 0:
                break
        self._close()

    @property
    def now_ms(self) -> int:
        """Injected time."""
        return self.timeline.now_ms

    def _prepare(self) -> None:
        trace = self.trace
        self._scheduler.set_catalogue(trace.catalogue())
        for worker in trace.fleet.workers:
            self._add_worker(worker)
        for job in trace.jobs:
            self.timeline.at(job.arrives_ms, partial(self._arrive, job))
        for item in trace.cancellations:
            self.timeline.at(item.at_ms, partial(self._cancel, item.job_id))
        for outage in trace.outages:
            self.timeline.at(outage.from_ms, partial(self._lose, outage))
            self.timeline.at(outage.until_ms, partial(self._restore, outage))
        interval_ms = max(STEP_MS, trace.arrivals_ms // SAMPLES)
        self.timeline.at(0, partial(self._sample, interval_ms))

    def _add_worker(self, shape: WorkerShape) -> None:
        worker = FakeWorker(shape, self.trace.peak_ms())
        self._workers_by_id[shape.worker_id] = worker
        self.audit.add_worker(shape)
        with self._meter:
            self._scheduler.add_worker(shape)

    def _arrive(self, job: TracedJob) -> None:
        self._to_come -= 1
        run = JobRun(job)
        request = run.tasks[0].request(self.now_ms)
        with self._meter:
            reason = self._scheduler.infeasibility_reason(
                request, self.trace.fleet.workers
            )
        if reason:
            self.refused[job.job_id] = reason
            return
        self.jobs_by_id[job.job_id] = run
        if _counts(job):
            self._unfinished += 1
        for task in run.tasks:
            self.recorder.arrive(task, self.now_ms)
        self._submit(run.tasks)

    def _submit(self, tasks: list[TaskRun]) -> None:
        for task in tasks:
            self._runs_by_task[task.task_id] = task
        with self._meter:
            self._scheduler.submit(
                tuple(task.request(self.now_ms) for task in tasks)
            )
        self._want_step(STEP_MS)

    def _want_step(self, within_ms: int) -> None:
        at_ms = (self.now_ms // STEP_MS + 1) * STEP_MS
        at_ms = max(at_ms, (self.now_ms + within_ms) // STEP_MS * STEP_MS)
        if self.now_ms < self._next_step_ms <= at_ms:
            return
        self._next_step_ms = at_ms
        self.timeline.at(at_ms, partial(self._step, at_ms))

    def _step(self, at_ms: int) -> None:
        if at_ms != self._next_step_ms:
            return
        self._next_step_ms = -1
        for _ in range(MAX_DECISIONS_PER_STEP):
            if not self._decide():
                break
        if self._scheduler.queued_count():
            self._want_step(IDLE_STEP_MS)

    def _decide(self) -> bool:
        began_ns = time.perf_counter_ns()
        with self._meter:
            decision = self._scheduler.decide(self.now_ms)
        self.recorder.decide(time.perf_counter_ns() - began_ns)
        self.audit.place(
            tuple(
                (self._runs_by_task[item.task_id].request(0), item)
                for item in decision.placements
            )
        )
        for placement in decision.placements:
            self._start(placement)
        for eviction in decision.evictions:
            self._evict(eviction)
        return decision.has_more

    def _start(self, placement: Placement) -> None:
        run = self._runs_by_task[placement.task_id]
        run.worker_id = placement.worker_id
        self.recorder.start(run, self.now_ms)
        worker = self._workers_by_id[placement.worker_id]
        spec = RunSpec(
            placement.task_id,
            run.job.tasks[run.number].usage,
            run.left_ms,
            placement.reserved,
        )
        self._plan(worker, worker.start(spec, self.now_ms))
        if self._is_broken(run):
            self._later(FAILURE_DELAY_MS, run, TaskOutcome.FAILED)
        overrun = worker.overrun()
        if overrun:
            self.recorder.overruns += 1
            victim = self._runs_by_task[overrun]
            self._later(STOP_DELAY_MS, victim, TaskOutcome.FAILED)
        self.timeline.after(
            self.trace.report_lag_ms,
            partial(self._report, run, placement.task_id),
        )

    def _is_broken(self, run: TaskRun) -> bool:
        if run.job.always_fails:
            return True
        return (
            run.worker_id in self.trace.failing
            and self.now_ms >= self.trace.failing_from_ms
        )

    def _later(
        self, delay_ms: int, run: TaskRun, outcome: TaskOutcome
    ) -> None:
        action = partial(self._end, run, run.task_id, outcome)
        self.timeline.after(delay_ms, action)

    def _plan(self, worker: FakeWorker, ends: list[PlannedEnd]) -> None:
        for end in ends:
            action = partial(self._planned_end, worker, end)
            self.timeline.at(end.at_ms, action)

    def _planned_end(self, worker: FakeWorker, end: PlannedEnd) -> None:
        task = worker.tasks_by_id.get(end.task_id)
        if task is None or task.generation != end.generation:
            return
        run = self._runs_by_task[end.task_id]
        self._end(run, end.task_id, TaskOutcome.FINISHED)

    def _end(self, run: TaskRun, task_id: str, outcome: TaskOutcome) -> None:
        task = self._take_off(run, task_id)
        if task is None:
            return
        if outcome is TaskOutcome.FINISHED:
            self.recorder.work(run, task.peak_delivered)
        elif outcome is not TaskOutcome.LOST:
            self.recorder.lost_work += task.delivered
        self._finish_attempt(run, outcome)

    def _finish_attempt(self, run: TaskRun, outcome: TaskOutcome) -> None:
        self.audit.release(run.task_id)
        with self._meter:
            self._scheduler.record_task_end(run.task_id, outcome, self.now_ms)
        del self._runs_by_task[run.task_id]
        run.worker_id = ""
        self._want_step(STEP_MS)
        job = self.jobs_by_id[run.job.job_id]
        if job.given_up:
            return
        if outcome is TaskOutcome.FINISHED:
            self._finish_task(job, run)
            return
        if outcome is TaskOutcome.FAILED:
            self.recorder.failures += 1
            run.failures += 1
            if run.failures >= MAX_FAILURES:
                self._give_up(job)
                return
        self._retry(job, run)

    def _finish_task(self, job: JobRun, run: TaskRun) -> None:
        run.finished_ms = self.now_ms
        job.left -= 1
        if job.left == 0 and _counts(job.job):
            self._unfinished -= 1

    def _retry(self, job: JobRun, run: TaskRun) -> None:
        if not job.job.is_gang:
            run.attempt += 1
            self._submit([run])
            return
        if any(task.worker_id for task in job.tasks):
            self._stop_gang(job)
            return
        for task in job.tasks:
            task.attempt += 1
            task.finished_ms = -1
        job.left = len(job.tasks)
        self._submit(job.tasks)

    def _stop_gang(self, job: JobRun) -> None:
        for task in job.tasks:
            if task.worker_id:
                self._later(STOP_DELAY_MS, task, TaskOutcome.CANCELLED)

    def _cancel(self, job_id: str) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is not None and not job.given_up and job.left:
            self._give_up(job)

    def _give_up(self, job: JobRun) -> None:
        job.given_up = True
        if _counts(job.job):
            self._unfinished -= 1
        with self._meter:
            running = self._scheduler.cancel(job.job.job_id)
        for task in job.tasks:
            if task.started_ms < 0:
                self.recorder.leave(task, self.now_ms)
        for task_id in running:
            run = self._runs_by_task[task_id]
            self._later(STOP_DELAY_MS, run, TaskOutcome.CANCELLED)
        self._want_step(STEP_MS)

    def _evict(self, eviction: Eviction) -> None:
        run = self._runs_by_task[eviction.task_id]
        self.recorder.evict(str(eviction.action))
        if eviction.action is EvictionAction.THROTTLE:
            action = partial(self._throttle, eviction)
            self.timeline.after(STOP_DELAY_MS, action)
        elif eviction.action is EvictionAction.CHECKPOINT:
            action = partial(self._checkpoint, run, eviction.task_id)
            self.timeline.after(CHECKPOINT_DELAY_MS, action)
        else:
            self._later(STOP_DELAY_MS, run, TaskOutcome.CANCELLED)

    def _throttle(self, eviction: Eviction) -> None:
        worker = self._workers_by_id.get(eviction.worker_id)
        if worker is None:
            return
        task = worker.tasks_by_id.get(eviction.task_id)
        if task is None:
            return
        ends = worker.throttle(
            eviction.task_id, eviction.cpu_millis, self.now_ms
        )
        self._plan(worker, ends)
        reserved = task.reserved._replace(cpu_millis=eviction.cpu_millis)
        task.reserved = reserved
        self.audit.resize(eviction.task_id, reserved)
        with self._meter:
            self._scheduler.record_resize(eviction.task_id, reserved)
        self._want_step(STEP_MS)

    def _take_off(self, run: TaskRun, task_id: str) -> FakeTask | None:
        """End a task on its worker; return it if it still ran there."""
        worker = self._workers_by_id.get(run.worker_id)
        if run.task_id != task_id or worker is None:
            return None
        task = worker.tasks_by_id.get(task_id)
        if task is not None:
            self._plan(worker, worker.end(task_id, self.now_ms))
        return task

    def _checkpoint(self, run: TaskRun, task_id: str) -> None:
        task = self._take_off(run, task_id)
        if task is None:
            return
        self.recorder.work(run, task.peak_delivered)
        run.left_ms = max(1.0, task.left_ms) + CHECKPOINT_COST_MS
        self._finish_attempt(run, TaskOutcome.LOST)

    def _report(self, run: TaskRun, task_id: str) -> None:
        worker = self._workers_by_id.get(run.worker_id)
        if run.task_id != task_id or worker is None:
            return
        task = worker.tasks_by_id.get(task_id)
        if task is None:
            return
        with self._meter:
            self._scheduler.report_usage(task_id, task.usage(), self.now_ms)
        self.timeline.after(
            REPORT_INTERVAL_MS, partial(self._report, run, task_id)
        )

    def _lose(self, outage: Outage) -> None:
        for worker_id in outage.worker_ids:
            worker = self._workers_by_id.pop(worker_id)
            self.audit.remove_worker(worker_id)
            with self._meter:
                self._scheduler.remove_worker(worker_id)
            lost = dict(worker.tasks_by_id)
            worker.tasks_by_id.clear()
            for task_id, task in lost.items():
                self.recorder.lost_work += task.delivered
                run = self._runs_by_task[task_id]
                self._finish_attempt(run, TaskOutcome.LOST)

    def _restore(self, outage: Outage) -> None:
        for shape in self.trace.fleet.workers:
            if shape.worker_id in outage.worker_ids:
                self._add_worker(shape)
        self._want_step(STEP_MS)

    def _sample(self, interval_ms: int) -> None:
        workers = self._workers_by_id.values()
        self.recorder.sample(
            self.now_ms,
            self.audit.reserved(),
            sum(worker.used_cpu_millis() for worker in workers),
            sum(worker.shape.capacity.cpu_millis for worker in workers),
        )
        self.timeline.after(interval_ms, partial(self._sample, interval_ms))

    def _close(self) -> None:
        """Count the work of what still runs."""
        for worker in self._workers_by_id.values():
            for task_id in list(worker.tasks_by_id):
                task = worker.tasks_by_id[task_id]
                worker.end(task_id, self.now_ms)
                run = self._runs_by_task[task_id]
                self.recorder.work(run, task.peak_delivered)


def _counts(job: TracedJob) -> bool:
    """Return whether a run lasts until this job has ended."""
    return job.entry.work_class is not WorkClass.SERVICE
