"""In-memory state that the leader schedules from."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from magnoliapitch.planner.job_closing import JobClosing
from magnoliapitch.planner.restart_pause import RestartPauses
from magnoliapitch.planner.restore import progress_of
from magnoliapitch.planner.restore import restore_progress
from magnoliapitch.planner.scheduled_occurrences import ScheduledOccurrences
from magnoliapitch.planner.tracked import TrackedRun
from magnoliapitch.planner.tracked import TrackedStep
from magnoliapitch.planner.tracked_job import TrackedJob
from magnoliapitch.planner.tracked_worker import TrackedWorker
from magnoliapitch.planner.waiting_steps import WaitingSteps
from magnoliapitch.planner.workspace_usage import WorkspaceUsage
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.run import EndKind


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.planner.tracked_task import TrackedTask
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.configuration import Workspace
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepKey
    from magnoliapitch.workload.job import TaskKey
    from magnoliapitch.workload.progress import JobProgress
    from magnoliapitch.workload.run import ActiveRun
    from magnoliapitch.workload.run import EndedRun
    from magnoliapitch.workload.run import Permit
    from magnoliapitch.workload.worker import WorkerInfo


class SchedulerState:
    """Known jobs, runs and workers, updated from reports and decisions.

    It reads no clock; every time is passed in by the caller.

    :ivar unsaved_job_ids: ids of jobs whose progress is not stored yet.
    :ivar open_bytes: memory that the known jobs take at most.
    :ivar suspects_by_key: tasks that were lost with several workers.
    :ivar runs_to_stop: runs that must be stopped, by ``id()`` of the run.
    :ivar workspaces_by_name: workspaces of the newest configuration.
    :ivar workspace_usage: usage of all runs that may be active.
    """

    def __init__(self) -> None:
        self.jobs_by_id: dict[str, TrackedJob] = {}
        self.workers_by_id: dict[str, TrackedWorker] = {}
        self.unsaved_job_ids: set[str] = set()
        self.open_bytes = 0
        self._waiting = WaitingSteps()
        self._scheduled = ScheduledOccurrences()
        self._restart_pauses = RestartPauses()
        self.suspects_by_key: dict[TaskKey, TrackedTask] = {}
        self.runs_to_stop: dict[int, TrackedRun] = {}
        self.workspaces_by_name: Mapping[str, Workspace] = MappingProxyType({})
        self.workspace_usage = WorkspaceUsage()

    def add_job(
        self,
        spec: JobSpec,
        queue: Queue,
        now_ms: int,
        progress: JobProgress | None = None,
    ) -> TrackedJob:
        """Add a job and restore its stored progress, if there is any."""
        job = TrackedJob(spec, queue, now_ms)
        former = self.jobs_by_id.get(spec.job_id)
        if former is not None:
            self.open_bytes -= former.footprint_bytes
            for step in former.all_steps():
                self._waiting.discard(step)
        self.jobs_by_id[spec.job_id] = job
        self.open_bytes += job.footprint_bytes
        if progress is not None:
            restore_progress(self, job, progress, now_ms)
        self._update_outcome(job)
        if job.outcome is JobOutcome.OPEN:
            if spec.run_count:
                self._scheduled.add(job)
            else:
                self._open_steps(job.dependencies.released_steps(0), now_ms)
        return job

    def open_due_steps(self, now_ms: int, wall_ms: int) -> None:
        """Let due occurrences start, and tasks whose pause is over.

        :param wall_ms: wall-clock time, ms since 1970.
        """
        self._open_steps(self._scheduled.take_due(wall_ms), now_ms)
        for task in self._restart_pauses.take_due(now_ms):
            if task.is_waiting:
                self._adjust_waiting_count(task.step, 1)

    @property
    def waiting_steps(self) -> Mapping[StepKey, TrackedStep]:
        """Return the steps that may start now, as far as rounds consider them.

        They have startable tasks. Others may wait behind them.
        """
        return self._waiting.considered

    @property
    def steps_behind(self) -> int:
        """Return how many steps may start that the next round leaves out."""
        return self._waiting.behind_count

    def all_waiting_steps(self) -> Iterable[TrackedStep]:
        """Return all steps that may start, the considered ones first."""
        return self._waiting

    def exchange_waiting_steps(
        self, ranked_steps: list[TrackedStep], now_ms: int
    ) -> None:
        """Let the next round consider steps that the one before left out.

        :param ranked_steps: the steps of the round before, the worst last.
        """
        self._waiting.exchange(ranked_steps, now_ms)

    def has_due_steps(self, wall_ms: int) -> bool:
        """Return whether occurrences are due that are not open yet.

        :param wall_ms: wall-clock time, ms since 1970.
        """
        return self._scheduled.has_due(wall_ms)

    def cancel_job(self, job_id: str) -> None:
        """Cancel an open job and mark its runs for stopping."""
        job = self.jobs_by_id.get(job_id)
        if job is not None:
            self.close_job(job, JobClosing.cancelled())

    def close_job(self, job: TrackedJob, closing: JobClosing) -> None:
        """Close an open job; unless it is done, mark its runs for stopping."""
        if job.outcome is not JobOutcome.OPEN:
            return
        job.outcome = closing.outcome
        closing.log(job)
        self.unsaved_job_ids.add(job.spec.job_id)
        self._scheduled.remove(job)
        for step in job.all_steps():
            self._waiting.discard(step)
            if closing.outcome is not JobOutcome.COMPLETED:
                self.stop_step(step)

    def remove_job(self, job_id: str) -> None:
        """Remove a job that has ended and has no active runs."""
        job = self.jobs_by_id.pop(job_id, None)
        if job is not None:
            self.open_bytes -= job.footprint_bytes
        self.unsaved_job_ids.discard(job_id)

    def get_or_add_worker(self, worker_id: str) -> TrackedWorker:
        """Return a worker, adding it if it is not known yet."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            worker = self.workers_by_id[worker_id] = TrackedWorker(worker_id)
        return worker

    def update_worker(self, info: WorkerInfo) -> TrackedWorker:
        """Add or update a worker from the platform's list."""
        worker = self.get_or_add_worker(info.worker_id)
        worker.update(info)
        return worker

    def add_suspect(self, task: TrackedTask) -> None:
        """Place a task apart from other jobs from now on."""
        self.suspects_by_key[task.key] = task

    def forget_ended_suspects(self) -> None:
        """Drop suspects that are done or whose job has ended."""
        for key, task in list(self.suspects_by_key.items()):
            if task.is_done or task.step.job.outcome is not JobOutcome.OPEN:
                del self.suspects_by_key[key]

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker with its runs, none of which is active any more."""
        self.lose_runs(worker_id)
        self.workers_by_id.pop(worker_id, None)

    def lose_runs(self, worker_id: str) -> int:
        """Remove every run of a worker; return the number of runs lost."""
        worker = self.workers_by_id.get(worker_id)
        runs = list(worker.runs) if worker else []
        for run in runs:
            self.lose_run(run)
        return len(runs)

    def lose_run(self, run: TrackedRun) -> None:
        """Remove a run that is not active although no end was reported.

        The other members of its gang are marked for stopping, since they
        would wait for this one forever.
        """
        if run not in run.task.active_runs:
            return
        self.remove_run(run)
        step = run.task.step
        if step.spec.is_gang and not step.is_done:
            self.stop_step(step)
        if run.task.has_failed:
            self._update_outcome(step.job, run.task)

    def task(self, key: TaskKey) -> TrackedTask | None:
        """Return a task, or None if its job is not known."""
        job = self.jobs_by_id.get(key.job_id)
        try:
            if job is None or min(key[1:]) < 0:
                return None
            return job.steps[key.occurrence][key.step].tasks[key.position]
        except IndexError:
            return None

    def step(self, key: StepKey) -> TrackedStep | None:
        """Return a step, or None if its job is not known."""
        job = self.jobs_by_id.get(key.job_id)
        return None if job is None else job.steps[key.occurrence][key.step]

    def run(
        self, key: TaskKey, number: int, worker_id: str
    ) -> TrackedRun | None:
        """Return a run that may be active, or None."""
        task = self.task(key)
        for run in task.active_runs if task else ():
            if run.number == number and run.worker_id == worker_id:
                return run
        return None

    def add_ordered_run(
        self, key: TaskKey, number: int, worker_id: str, now_ms: int
    ) -> TrackedRun:
        """Add a run that the worker will be ordered to start.

        :raises KeyError: if the task is not known.
        """
        task = self.task(key)
        if task is None:
            raise KeyError(key)
        task.runs = max(task.runs, number)
        self.unsaved_job_ids.add(key.job_id)
        return self._add_run_of_waiting_task(task, number, worker_id, now_ms)

    def stop_unexpected_run(
        self, key: TaskKey, number: int, worker_id: str, now_ms: int
    ) -> TrackedRun | None:
        """Add a run that was taken as ended, to be stopped.

        Until it has ended, its task is not started and its capacity is used.

        :return: the run, or None if its task is not known.
        """
        task = self.task(key)
        if task is None or number > task.runs:
            return None
        run = self._add_run_of_waiting_task(task, number, worker_id, now_ms)
        self.mark_for_stop(run)
        return run

    def mark_for_stop(self, run: TrackedRun, reason: str = "") -> None:
        """Mark a run that must be stopped, for the reason in the log."""
        run.mark_for_stop(reason)
        self.runs_to_stop[id(run)] = run

    def withdraw_stop(self, run: TrackedRun) -> None:
        """Let a run go on that was marked but not ordered to stop."""
        run.is_stopping = False
        self.runs_to_stop.pop(id(run), None)

    def stop_step(self, step: TrackedStep, reason: str = "") -> None:
        """Mark all active runs of a step for stopping."""
        for run in step.all_active_runs():
            self.mark_for_stop(run, reason)

    def add_run(
        self, task: TrackedTask, number: int, worker_id: str, now_ms: int
    ) -> TrackedRun:
        """Add a run that may be active, and reserve its capacity."""
        run = TrackedRun(task, number, worker_id, now_ms)
        task.add(run)
        self.get_or_add_worker(worker_id).add(run)
        self.workspace_usage.add(run)
        return run

    def _add_run_of_waiting_task(
        self, task: TrackedTask, number: int, worker_id: str, now_ms: int
    ) -> TrackedRun:
        """Add a run of a task that may be waiting, which it then is not."""
        if task.is_waiting:
            self._adjust_waiting_count(task.step, -1)
        return self.add_run(task, number, worker_id, now_ms)

    def confirm_run(self, run: TrackedRun, now_ms: int) -> None:
        """Record that the worker has certainly begun a run."""
        run.confirmed_ms = now_ms
        if run.started_ms is None:
            run.started_ms = now_ms
        job = run.task.step.job
        if not job.has_begun:
            job.has_begun = True
            self.unsaved_job_ids.add(job.spec.job_id)

    def record_running(
        self, run: TrackedRun, reported: ActiveRun, now_ms: int
    ) -> None:
        """Update a run from its entry in a worker's report."""
        if run.started_ms is None:
            run.resumed_percent = reported.percent
        self.confirm_run(run, now_ms)
        run.percent = reported.percent
        run.set_ended_with_worker(False)
        task = run.task
        if reported.checkpoint and reported.checkpoint != task.checkpoint:
            self._save_checkpoint(task, reported.checkpoint)

    def record_end(self, worker_id: str, end: EndedRun, now_ms: int) -> bool:
        """Record an end, also of a run given up; return if it is news."""
        task = self.task(end.task)
        if task is None:
            return False
        run = self.run(end.task, end.run, worker_id)
        if end.checkpoint and not task.is_done:
            self._save_checkpoint(task, end.checkpoint)
        if task.step.is_completed_by(end.kind):
            self._record_done(task, end.run, now_ms)
        elif end.kind is EndKind.FAILED and task.may_count_failure(end.run):
            task.record_failure(end.run)
            self.unsaved_job_ids.add(end.task.job_id)
        elif run is None:
            return False
        elif task.step.spec.is_long_running:
            self._restart_pauses.record_end(run, end.kind, now_ms)
        if run is not None:
            self.remove_run(run)
        self._update_outcome(task.step.job, task)
        return True

    def remove_run(self, run: TrackedRun) -> None:
        """Remove a run that is certainly not active."""
        task = run.task
        task.remove(run)
        self.get_or_add_worker(run.worker_id).remove(run)
        self.workspace_usage.remove(run)
        self.runs_to_stop.pop(id(run), None)
        self.unsaved_job_ids.add(task.key.job_id)
        if task.is_waiting:
            self._adjust_waiting_count(task.step, 1)
        if task.step.is_done:
            task.step.job.steps.note_possible_end(task.key.occurrence)

    def record_permits(
        self,
        key: StepKey,
        asked_worker_ids: Iterable[str],
        permits: Iterable[Permit],
        valid_until_ms: int,
    ) -> None:
        """Record the permits that the advisor gave for a step.

        :param asked_worker_ids: workers that the call asked about.
        :param valid_until_ms: when the tickets of the permits expire.
        """
        step = self.step(key)
        if step is not None:
            step.record_permits(asked_worker_ids, permits, valid_until_ms)

    def progress(self, job_id: str) -> JobProgress:
        """Return the progress of a job in the form that is stored."""
        return progress_of(self.jobs_by_id[job_id])

    def _save_checkpoint(self, task: TrackedTask, checkpoint: str) -> None:
        tasks = task.step.tasks if task.step.spec.is_gang else [task]
        for member in tasks:
            member.save_checkpoint(checkpoint)
        self.unsaved_job_ids.add(task.key.job_id)

    def _record_done(
        self, task: TrackedTask, number: int, now_ms: int
    ) -> None:
        """Record that a run is done, and mark its repetitions for stopping.

        A gang ends as a whole, so one done member means all are done.

        :param number: number of the run.
        """
        step, was_done = task.step, task.step.is_done
        is_end_of_gang = step.spec.is_gang and not was_done
        for member in step.tasks if is_end_of_gang else [task]:
            if not member.is_done:
                if member.is_waiting:
                    self._adjust_waiting_count(step, -1)
                member.finish()
                step.unfinished_count -= 1
                self.unsaved_job_ids.add(task.key.job_id)
            for run in member.active_runs:
                if run.number != number:
                    self.mark_for_stop(run)
        if step.is_done and not was_done:
            released = step.job.dependencies.record_done(step)
            is_open = step.job.outcome is JobOutcome.OPEN
            # The others start with their occurrence, which a former leader
            # with another clock has taken for due.
            if is_open and not self._scheduled.is_awaited(step):
                self._open_steps(released, now_ms)

    def _update_outcome(
        self, job: TrackedJob, failed_task: TrackedTask | None = None
    ) -> None:
        """Close an open job if its steps have all ended or one has failed.

        :param failed_task: task that may have used up its attempts.
        """
        if job.outcome is not JobOutcome.OPEN:
            return
        if job.has_failed(failed_task):
            self.close_job(job, JobClosing.attempts_used(job))
        elif not job.dependencies.unfinished_count:
            self.close_job(job, JobClosing.completed())

    def _open_steps(self, steps: Iterable[TrackedStep], now_ms: int) -> None:
        """Let steps start whose dependencies are done."""
        for step in steps:
            step.ready_ms = now_ms
            if step.waiting_count:
                self._waiting.add(step)

    def _adjust_waiting_count(self, step: TrackedStep, change: int) -> None:
        step.waiting_count += change
        if not step.waiting_count:
            self._waiting.discard(step)
        elif step.ready_ms is not None and step.job.outcome is JobOutcome.OPEN:
            self._waiting.add(step)
