"""The jobs, runs and workers that one instance decides on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.tracked import JobEntry
from magnoliapitch.planner.tracked import RunEntry
from magnoliapitch.planner.tracked import StepEntry
from magnoliapitch.planner.tracked import TaskEntry
from magnoliapitch.planner.tracked import WorkerEntry
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import Placement
from magnoliapitch.workload.progress import TaskProgress
from magnoliapitch.workload.run import EndKind


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepKey
    from magnoliapitch.workload.job import TaskKey
    from magnoliapitch.workload.run import EndedRun
    from magnoliapitch.workload.run import Permit
    from magnoliapitch.workload.run import RunningTask
    from magnoliapitch.workload.worker import WorkerInfo


class Book:
    """Truth about tasks, as far as it is known; has no clock of its own.

    :ivar dirty: ids of jobs whose progress is not stored yet.
    :ivar waiting_steps: steps whose turn has come, with waiting tasks.
    :ivar timed_steps: steps that only wait for their time.
    :ivar runs_to_stop: runs that must end, by identity.
    """

    def __init__(self) -> None:
        self.jobs_by_id: dict[str, JobEntry] = {}
        self.workers_by_id: dict[str, WorkerEntry] = {}
        self.dirty: set[str] = set()
        self.waiting_steps: dict[StepKey, StepEntry] = {}
        self.timed_steps: dict[StepKey, StepEntry] = {}
        self.runs_to_stop: dict[int, RunEntry] = {}

    def add_job(
        self,
        spec: JobSpec,
        queue: Queue,
        now_ms: int,
        progress: JobProgress | None = None,
    ) -> JobEntry:
        """Add a job with its stored progress."""
        job = JobEntry(spec, queue, now_ms)
        self.jobs_by_id[spec.job_id] = job
        if progress is not None:
            job.outcome = progress.outcome
            job.has_begun = progress.has_begun
            for key, state in progress.tasks_by_key.items():
                self._restore(job, key, state, now_ms)
        for step in job.all_steps():
            _count(step)
        self._settle(job)
        if job.outcome is JobOutcome.OPEN:
            self._open_steps(job, now_ms)
        return job

    def release_due(self, now_ms: int, wall_ms: int) -> None:
        """Let the steps wait for room whose time has come."""
        for key, step in list(self.timed_steps.items()):
            if wall_ms >= step.job.spec.due_ms(key.occurrence):
                del self.timed_steps[key]
                self._open_step(step, now_ms)

    def cancel_job(self, job_id: str) -> None:
        """Note that a job is cancelled; its runs are to be stopped."""
        job = self.jobs_by_id.get(job_id)
        if job is not None and job.outcome is JobOutcome.OPEN:
            self._close(job, JobOutcome.CANCELLED)

    def drop_job(self, job_id: str) -> None:
        """Forget a job that has ended and has no runs."""
        self.jobs_by_id.pop(job_id, None)
        self.dirty.discard(job_id)

    def worker(self, worker_id: str) -> WorkerEntry:
        """Return a worker, new if it was not known."""
        entry = self.workers_by_id.get(worker_id)
        if entry is None:
            entry = self.workers_by_id[worker_id] = WorkerEntry(worker_id)
        return entry

    def put_worker(self, info: WorkerInfo) -> WorkerEntry:
        """Take over what the platform lists of a worker."""
        entry = self.worker(info.worker_id)
        entry.update(info)
        return entry

    def drop_worker(self, worker_id: str) -> None:
        """Forget a worker whose life is surely over; its runs are lost."""
        self.lose_runs(worker_id)
        self.workers_by_id.pop(worker_id, None)

    def lose_runs(self, worker_id: str) -> int:
        """Note that nothing runs on a worker; return how much was lost."""
        worker = self.workers_by_id.get(worker_id)
        runs = list(worker.runs) if worker else []
        for run in runs:
            self.lose_run(run)
        return len(runs)

    def lose_run(self, run: RunEntry) -> None:
        """Note that a run is not going on though no end was listed.

        The other members of its gang would wait for it in vain.
        """
        if run not in run.task.live:
            return
        self.remove_run(run)
        step = run.task.step
        if step.spec.is_gang and not step.is_done:
            for member in step.live_runs():
                self.stop_later(member)

    def task(self, key: TaskKey) -> TaskEntry | None:
        """Return a task, or None if its job is not known."""
        job = self.jobs_by_id.get(key.job_id)
        try:
            if job is None or min(key[1:]) < 0:
                return None
            return job.steps[key.occurrence][key.step].tasks[key.position]
        except IndexError:
            return None

    def step(self, key: StepKey) -> StepEntry | None:
        """Return a step, or None if its job is not known."""
        job = self.jobs_by_id.get(key.job_id)
        return None if job is None else job.steps[key.occurrence][key.step]

    def run(
        self, key: TaskKey, number: int, worker_id: str
    ) -> RunEntry | None:
        """Return a run that may be going on."""
        task = self.task(key)
        for run in task.live if task else ():
            if run.run == number and run.worker_id == worker_id:
                return run
        return None

    def order_run(
        self, key: TaskKey, number: int, worker_id: str, now_ms: int
    ) -> RunEntry:
        """Note a run that is going to be ordered."""
        task = self.task(key)
        if task is None:
            raise KeyError(key)
        task.runs = max(task.runs, number)
        self.dirty.add(key.job_id)
        if not task.live and not task.is_done:
            self._change_waiting(task.step, -1)
        return self._add_run(task, number, worker_id, now_ms)

    def stop_later(self, run: RunEntry) -> None:
        """Mark a run that must end."""
        run.is_stopping = True
        self.runs_to_stop[id(run)] = run

    def confirm_run(self, run: RunEntry, now_ms: int) -> None:
        """Note that the worker has surely begun a run."""
        run.confirmed_ms = now_ms
        if run.started_ms is None:
            run.started_ms = now_ms
        job = run.task.step.job
        if not job.has_begun:
            job.has_begun = True
            self.dirty.add(job.spec.job_id)

    def note_running(
        self, run: RunEntry, report: RunningTask, now_ms: int
    ) -> None:
        """Take over what a worker lists of a run."""
        if run.started_ms is None:
            run.resumed_percent = report.percent
        self.confirm_run(run, now_ms)
        if report.percent != run.percent:
            run.percent = report.percent
            run.percent_ms = now_ms
        run.load = report.load
        task = run.task
        if report.checkpoint and report.checkpoint != task.checkpoint:
            self._save_checkpoint(task, report.checkpoint)

    def note_end(self, worker_id: str, end: EndedRun, now_ms: int) -> bool:
        """Take over the end of a run; return whether it was news."""
        task = self.task(end.task)
        if task is None:
            return False
        run = self.run(end.task, end.run, worker_id)
        if end.checkpoint and not task.is_done:
            self._save_checkpoint(task, end.checkpoint)
        if end.kind is EndKind.DONE:
            self._note_done(task, run, now_ms)
        elif run is None:
            return False
        elif end.kind is EndKind.FAILED:
            self._note_failed(task, end.run)
        if run is not None:
            self.remove_run(run)
        self._settle(task.step.job)
        return True

    def remove_run(self, run: RunEntry) -> None:
        """Note that a run is surely not going on."""
        task = run.task
        task.live.remove(run)
        self.worker(run.worker_id).remove(run)
        self.runs_to_stop.pop(id(run), None)
        self.dirty.add(task.key.job_id)
        if not task.live and not task.is_done:
            self._change_waiting(task.step, 1)

    def note_permits(
        self,
        key: StepKey,
        asked: Iterable[str],
        permits: Iterable[Permit],
        valid_until_ms: int,
    ) -> None:
        """Take over an answer of the advisor."""
        step = self.step(key)
        if step is None:
            return
        step.asking = frozenset()
        step.asked.update(asked)
        for permit in permits:
            step.good.add(permit.worker_id)
            step.tickets_by_worker[permit.worker_id] = (
                permit.ticket,
                valid_until_ms,
            )

    def progress(self, job_id: str) -> JobProgress:
        """Return what is to be stored of a job."""
        job = self.jobs_by_id[job_id]
        return JobProgress(
            job_id,
            job.outcome,
            {
                task.key: TaskProgress(
                    task.runs,
                    task.failures,
                    task.is_done,
                    task.checkpoint,
                    tuple(
                        Placement(run.run, run.worker_id) for run in task.live
                    ),
                )
                for step in job.all_steps()
                for task in step.tasks
                if task.runs
            },
            job.has_begun,
        )

    def _restore(
        self, job: JobEntry, key: TaskKey, state: TaskProgress, now_ms: int
    ) -> None:
        task = job.steps[key.occurrence][key.step].tasks[key.position]
        task.runs = state.runs
        task.failures = state.failures
        task.is_done = state.is_done
        task.checkpoint = state.checkpoint
        for placement in state.placements:
            run = self._add_run(
                task, placement.run, placement.worker_id, now_ms
            )
            run.is_restored = True

    def _add_run(
        self, task: TaskEntry, number: int, worker_id: str, now_ms: int
    ) -> RunEntry:
        run = RunEntry(task, number, worker_id, now_ms)
        task.live.append(run)
        self.worker(worker_id).add(run)
        return run

    def _save_checkpoint(self, task: TaskEntry, checkpoint: str) -> None:
        tasks = task.step.tasks if task.step.spec.is_gang else [task]
        for member in tasks:
            member.checkpoint = checkpoint
        self.dirty.add(task.key.job_id)

    def _note_done(
        self, task: TaskEntry, run: RunEntry | None, now_ms: int
    ) -> None:
        # One such end stands for all members of a gang.
        is_gang = task.step.spec.is_gang
        for member in task.step.tasks if is_gang else [task]:
            if not member.is_done:
                member.is_done = True
                task.step.undone -= 1
                if not member.live:
                    self._change_waiting(task.step, -1)
                self.dirty.add(task.key.job_id)
        if not is_gang:
            for other in task.live:
                if other is not run:
                    self.stop_later(other)
        if task.step.is_done and task.step.job.outcome is JobOutcome.OPEN:
            self._open_steps(task.step.job, now_ms)

    def _note_failed(self, task: TaskEntry, run: int) -> None:
        # Members of a gang that fail in the same run are one failure.
        if task.step.spec.is_gang and run in task.step.failed_runs:
            return
        task.step.failed_runs.add(run)
        task.failures += 1
        self.dirty.add(task.key.job_id)

    def _settle(self, job: JobEntry) -> None:
        """Derive the job's final state from its tasks."""
        if job.outcome is not JobOutcome.OPEN:
            return
        if any(_has_failed(step) for step in job.all_steps()):
            self._close(job, JobOutcome.FAILED)
        elif all(step.is_done for step in job.all_steps()):
            self._close(job, JobOutcome.COMPLETED)

    def _close(self, job: JobEntry, outcome: JobOutcome) -> None:
        job.outcome = outcome
        self.dirty.add(job.spec.job_id)
        for step in job.all_steps():
            self.waiting_steps.pop(step.key, None)
            self.timed_steps.pop(step.key, None)
            if outcome is not JobOutcome.COMPLETED:
                for run in step.live_runs():
                    self.stop_later(run)

    def _open_steps(self, job: JobEntry, now_ms: int) -> None:
        """Find the steps whose dependencies are done."""
        for steps in job.steps:
            for step in steps:
                if step.is_done or step.ready_ms is not None:
                    continue
                if step.key in self.timed_steps:
                    continue
                if all(
                    steps[number].is_done for number in step.spec.depends_on
                ):
                    if job.spec.run_count:
                        self.timed_steps[step.key] = step
                    else:
                        self._open_step(step, now_ms)

    def _open_step(self, step: StepEntry, now_ms: int) -> None:
        step.ready_ms = now_ms
        if step.waiting:
            self.waiting_steps[step.key] = step

    def _change_waiting(self, step: StepEntry, change: int) -> None:
        step.waiting += change
        if not step.waiting:
            self.waiting_steps.pop(step.key, None)
        elif step.ready_ms is not None and step.job.outcome is JobOutcome.OPEN:
            self.waiting_steps[step.key] = step


def _count(step: StepEntry) -> None:
    step.undone = sum(not task.is_done for task in step.tasks)
    step.waiting = len(step.waiting_tasks())


def _has_failed(step: StepEntry) -> bool:
    if step.spec.is_long_running or step.is_done:
        return False
    attempts = step.job.queue.attempts
    if step.spec.is_gang:
        return sum(task.failures for task in step.tasks) >= attempts
    return any(
        task.failures >= attempts and not task.is_done for task in step.tasks
    )
