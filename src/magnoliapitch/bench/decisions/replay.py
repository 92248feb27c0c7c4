"""Replays a trace against one scheduling policy in simulated time."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from magnoliapitch.bench.decisions.attempt_execution import AttemptExecution
from magnoliapitch.bench.decisions.audit import DecisionAudit
from magnoliapitch.bench.decisions.decision_rounds import DECISION_INTERVAL_MS
from magnoliapitch.bench.decisions.recorder import CpuMeter
from magnoliapitch.bench.decisions.recorder import Recorder
from magnoliapitch.bench.decisions.replay_context import ReplayContext
from magnoliapitch.bench.decisions.replayed_job import ReplayedJob
from magnoliapitch.bench.decisions.timeline import Timeline
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.job.spec import TaskOutcome


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.replayed_job import ReplayedTask
    from magnoliapitch.bench.decisions.trace import Outage
    from magnoliapitch.bench.decisions.trace import Trace
    from magnoliapitch.bench.decisions.trace import TracedJob
    from magnoliapitch.decision.interface import Scheduler


MAX_TASK_FAILURES = 8
SAMPLE_COUNT = 240


class Replay:
    """One replay of a trace, in the role of the job manager.

    It submits the jobs of the trace to the scheduler, cancels them and
    retries their tasks; ``AttemptExecution`` carries out the scheduler's
    decisions.

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
        self._execution = AttemptExecution(
            ReplayContext(
                trace,
                scheduler,
                self.recorder,
                self.audit,
                self.timeline,
                self._cpu_meter,
            ),
            self._handle_attempt_end,
        )
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
        self._execution.record_running_work()

    @property
    def now_ms(self) -> int:
        """Simulated time."""
        return self.timeline.now_ms

    def _set_up_trace(self) -> None:
        trace = self.trace
        self._scheduler.set_catalogue(trace.catalogue())
        for worker in trace.deployment.workers:
            self._execution.add_worker(worker)
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
        self._execution.submit(replayed_job.tasks)

    def _handle_attempt_end(
        self, task: ReplayedTask, outcome: TaskOutcome
    ) -> None:
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
            self._execution.submit([ended_task])
            return
        if any(task.worker_id for task in job.tasks):
            self._stop_gang(job)
            return
        for task in job.tasks:
            task.attempt_number += 1
            task.finished_ms = -1
        job.unfinished_tasks = len(job.tasks)
        self._execution.submit(job.tasks)

    def _stop_gang(self, job: ReplayedJob) -> None:
        for task in job.tasks:
            if task.worker_id:
                self._execution.stop(task)

    def _cancel(self, job_id: str) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is not None and not job.is_abandoned and job.unfinished_tasks:
            self._abandon(job)

    def _abandon(self, job: ReplayedJob) -> None:
        job.is_abandoned = True
        if _is_awaited(job.traced_job):
            self._unfinished_jobs -= 1
        self._execution.cancel(job.traced_job.job_id)
        for task in job.tasks:
            if task.started_ms < 0:
                self.recorder.record_cancellation(task, self.now_ms)

    def _begin_outage(self, outage: Outage) -> None:
        for worker_id in outage.worker_ids:
            self._execution.remove_worker(worker_id)

    def _end_outage(self, outage: Outage) -> None:
        for shape in self.trace.deployment.workers:
            if shape.worker_id in outage.worker_ids:
                self._execution.add_worker(shape)
        self._execution.schedule_round()

    def _record_sample(self, interval_ms: int) -> None:
        self._execution.record_sample()
        self.timeline.schedule_after(
            interval_ms, partial(self._record_sample, interval_ms)
        )


def _is_awaited(job: TracedJob) -> bool:
    """Return whether the replay runs until this job has ended."""
    return job.entry.work_class is not WorkClass.SERVICE
