"""Workers that are kept free of other jobs for tasks that may crash them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import free_task_count
from magnoliapitch.planner.candidates import idle_task_count
from magnoliapitch.planner.tracked_task import MIN_SUSPECT_LOSSES


if TYPE_CHECKING:
    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.candidates import CandidateWorkers
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.planner.tracked_task import TrackedTask
    from magnoliapitch.workload.job import StepKey


# Share of the workers that may be kept free while their other runs end.
MAX_KEPT_SHARE = 0.125
# Services may never free a worker, so that a task is then placed beside them.
MAX_WAIT_MS = 10_000
# A service is down while it waits.
MAX_SERVICE_WAIT_MS = 1_000


class WorkerIsolation:
    """Places tasks that were lost with several workers apart from other jobs.

    If such a task ends another worker, nobody else is harmed, and it is
    certain which job did it. Tasks of one job share workers, so that a gang
    needs few of them.
    """

    def __init__(self) -> None:
        self._job_by_worker: dict[str, TrackedJob] = {}
        self._waiting_since_ms_by_job: dict[str, int] = {}
        self._waiting_steps: set[StepKey] = set()
        self._held_by_step: dict[StepKey, set[TrackedTask]] = {}

    def begin_round(
        self,
        state: SchedulerState,
        workers: CandidateWorkers,
        now_ms: int,
    ) -> None:
        """Keep other jobs off the workers that are kept free or in use."""
        state.forget_ended_suspects()
        self._waiting_steps = set()
        self._held_by_step = {}
        waiting_by_id: dict[str, TrackedJob] = {}
        for task in state.suspects_by_key.values():
            job = task.step.job
            if not task.active_runs and task.step.start_limit:
                waiting_by_id[job.spec.job_id] = job
                if task.is_held(now_ms):
                    held = self._held_by_step.setdefault(task.step.key, set())
                    held.add(task)
                else:
                    self._waiting_steps.add(task.step.key)
            for run in task.active_runs:
                _reserve(workers, run.worker_id, job)
        silent = _services_on_silent_workers(state)
        kept_ids = waiting_by_id.keys() | {
            step.job.spec.job_id for step in silent
        }
        self._job_by_worker = {
            worker_id: job
            for worker_id, job in self._job_by_worker.items()
            if job.spec.job_id in kept_ids
            and worker_id in workers.candidates_by_id
        }
        for worker_id, job in self._job_by_worker.items():
            _reserve(workers, worker_id, job)
        self._waiting_since_ms_by_job = {
            job_id: self._waiting_since_ms_by_job.get(job_id, now_ms)
            for job_id in waiting_by_id
        }

        for step, count in silent.items():
            self._keep_ahead(step, workers, count)

    def _keep_ahead(
        self, step: TrackedStep, workers: CandidateWorkers, count: int
    ) -> None:
        """Keep workers free for tasks that still wait for leases to end.

        :param count: number of these tasks.
        """
        worker_count = len(workers.candidates_by_id)
        job = step.job
        rest: list[Candidate] = []
        candidates = (
            workers.permitted(step)
            if step.asked_worker_ids
            else workers.eligible(step)
        )
        for candidate in sorted(candidates, key=_worker_id):
            if candidate.reserved_for is job:
                count -= idle_task_count(candidate, step)
            else:
                rest.append(candidate)
        for candidate in rest:
            if count > 0 and _is_free(candidate, job):
                self._keep([candidate], worker_count, job)
                count -= idle_task_count(candidate, step)
        if count > 0:
            self._keep_more(step, rest, count, worker_count)

    def startable_count(self, step: TrackedStep) -> int:
        """Return how many tasks of a step may start in this round."""
        held = self._held_by_step.get(step.key)
        if held is None:
            return step.startable_count
        return min(len(self.startable_tasks(step)), step.start_limit)

    def startable_tasks(self, step: TrackedStep) -> list[TrackedTask]:
        """Return the waiting tasks of a step that are not held."""
        held = self._held_by_step.get(step.key, ())
        return [task for task in step.startable_tasks() if task not in held]

    def select(
        self,
        step: TrackedStep,
        candidates: list[Candidate],
        worker_count: int,
        now_ms: int,
    ) -> list[Candidate]:
        """Return the workers on which a step may be placed now.

        :param candidates: workers that may run the step.
        :param worker_count: number of workers that take new runs.
        """
        if step.spec.is_gang and step.key in self._held_by_step:
            return []
        if step.key not in self._waiting_steps:
            return candidates
        job = step.job
        free = [
            candidate for candidate in candidates if _is_free(candidate, job)
        ]
        count = self.startable_count(step) - sum(
            free_task_count(candidate, step) for candidate in free
        )
        self._keep(free, worker_count, job)
        if count <= 0:
            return free
        kept_count = self._keep_more(step, candidates, count, worker_count)
        if kept_count and not self._is_overdue(step, now_ms):
            return free
        return candidates

    def _is_overdue(self, step: TrackedStep, now_ms: int) -> bool:
        """Return whether a step has waited for workers long enough.

        Services wait since their runs were lost, not since that was certain.
        """
        job_id = step.job.spec.job_id
        since_ms = self._waiting_since_ms_by_job.get(job_id, now_ms)
        if not step.spec.is_long_running:
            return now_ms - since_ms > MAX_WAIT_MS
        down_since_ms = (
            task.down_since_ms
            for task in self.startable_tasks(step)
            if task.is_suspect and task.down_since_ms is not None
        )
        since_ms = min(down_since_ms, default=since_ms)
        return now_ms - since_ms > MAX_SERVICE_WAIT_MS

    def _keep_more(
        self,
        step: TrackedStep,
        candidates: list[Candidate],
        count: int,
        worker_count: int,
    ) -> int:
        """Keep busy workers free until their runs have ended.

        :param count: number of tasks that these workers are for.
        :return: number of workers that are kept free for the job, with those
            that were kept before.
        """
        by_free_cpu = sorted(
            (
                candidate
                for candidate in candidates
                if not _is_free(candidate, step.job)
                and not _has_service(candidate)
            ),
            key=lambda candidate: -candidate.free.cpu_millis,
        )
        for candidate in by_free_cpu:
            if count <= 0:
                break
            self._keep([candidate], worker_count, step.job)
            count -= idle_task_count(candidate, step)
        return sum(job is step.job for job in self._job_by_worker.values())

    def _keep(
        self, candidates: list[Candidate], worker_count: int, job: TrackedJob
    ) -> None:
        max_count = max(1, int(worker_count * MAX_KEPT_SHARE))
        for candidate in candidates:
            if len(self._job_by_worker) >= max_count:
                return
            self._job_by_worker[candidate.worker.worker_id] = job
            candidate.reserved_for = job


def _services_on_silent_workers(state: SchedulerState) -> Counter[TrackedStep]:
    """Return the steps of services that are suspects once leases have ended.

    :return: number of such tasks by step.
    """
    return Counter(
        run.task.step
        for worker in state.workers_by_id.values()
        if worker.silent_since_ms is not None
        for run in worker.runs
        if run.task.step.spec.is_long_running
        and not run.is_stopping
        and run.task.lost_worker_count >= MIN_SUSPECT_LOSSES - 1
    )


def _reserve(
    workers: CandidateWorkers, worker_id: str, job: TrackedJob
) -> None:
    candidate = workers.candidates_by_id.get(worker_id)
    if candidate is not None:
        candidate.reserved_for = job


def _is_free(candidate: Candidate, job: TrackedJob) -> bool:
    """Return whether no other job has a run on a worker, old or new."""
    return candidate.worker.runs_only(job) and (
        candidate.reserved_for is job
        or candidate.free == candidate.worker.free
    )


def _worker_id(candidate: Candidate) -> str:
    return candidate.worker.worker_id


def _has_service(candidate: Candidate) -> bool:
    return any(
        run.task.step.spec.is_long_running for run in candidate.worker.runs
    )
