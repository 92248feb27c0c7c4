"""Workers that are kept free of other jobs for tasks that may crash them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.planner.candidates import free_task_count
from magnoliapitch.planner.candidates import idle_task_count
from magnoliapitch.planner.tracked_task import MIN_SUSPECT_LOSSES
from magnoliapitch.planner.worker_loss import is_harmless


if TYPE_CHECKING:
    from magnoliapitch.planner.candidates import Candidate
    from magnoliapitch.planner.candidates import CandidateWorkers
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.planner.tracked_task import TrackedTask
    from magnoliapitch.workload.job import StepKey


# Share of the workers that other jobs may be kept off, while a suspect runs
# there or while other runs end.
MAX_KEPT_SHARE = 0.125
# Workers may not become free for long, so that a task is then placed beside
# other jobs. A job may stand still for 3 s, with a call for advice after it.
MAX_WAIT_MS = 1_500
# A service is down while it waits.
MAX_SERVICE_WAIT_MS = 1_000


class WorkerIsolation:
    """Places tasks that were lost with several workers apart from other jobs.

    If such a task ends another worker, nobody else is harmed, and it is
    certain which job did it. Tasks of one job share workers, so that a gang
    needs few of them.

    Where many tasks are suspects, most are innocent. Those that were lost
    with the most workers are then kept apart, and the others run beside
    other jobs, so that these still have room.
    """

    def __init__(self) -> None:
        # The two below have at most ``_max_count`` workers together.
        self._max_count = 0
        self._running_ids: set[str] = set()
        self._job_by_worker: dict[str, TrackedJob] = {}
        self._waiting_since_ms_by_job: dict[str, int] = {}
        self._waiting_steps: set[StepKey] = set()
        self._held_by_step: dict[StepKey, set[TrackedTask]] = {}

    @property
    def kept_count(self) -> int:
        """Return the number of workers that some jobs are kept off."""
        return len(self._running_ids | self._job_by_worker.keys())

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
        worker_count = len(workers.candidates_by_id)
        self._max_count = max(1, int(worker_count * MAX_KEPT_SHARE))
        running: list[TrackedRun] = []
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
            running += task.active_runs
        self._reserve_running(workers, running, now_ms)
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
        self._limit_kept()
        for worker_id, job in self._job_by_worker.items():
            workers.candidates_by_id[worker_id].reserved_for = job
        self._waiting_since_ms_by_job = {
            job_id: self._waiting_since_ms_by_job.get(job_id, now_ms)
            for job_id in waiting_by_id
        }

        for step, count in silent.items():
            self._keep_ahead(step, workers, count)

    def _reserve_running(
        self,
        workers: CandidateWorkers,
        running: list[TrackedRun],
        now_ms: int,
    ) -> None:
        """Keep other jobs off the workers of suspects, the worst ones first.

        :param running: the active runs of suspects.
        """
        self._running_ids = set()
        ranked = sorted(
            (_isolation_rank(run, candidate), number)
            for number, run in enumerate(running)
            if (candidate := workers.candidates_by_id.get(run.worker_id))
            and not is_harmless(run, now_ms)
        )
        for _, number in ranked:
            if len(self._running_ids) >= self._max_count:
                return
            run = running[number]
            candidate = workers.candidates_by_id[run.worker_id]
            if candidate.reserved_for is None:
                candidate.reserved_for = run.task.step.job
                self._running_ids.add(run.worker_id)

    def _limit_kept(self) -> None:
        """Give back workers that are kept free beyond those allowed."""
        kept = [
            (worker_id, job)
            for worker_id, job in self._job_by_worker.items()
            if worker_id not in self._running_ids
        ]
        max_count = self._max_count - len(self._running_ids)
        self._job_by_worker = dict(kept[:max_count])

    def _keep_ahead(
        self, step: TrackedStep, workers: CandidateWorkers, count: int
    ) -> None:
        """Keep workers free for tasks that still wait for leases to end.

        :param count: number of these tasks.
        """
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
                self._keep([candidate], job)
                count -= idle_task_count(candidate, step)
        if count > 0:
            self._keep_more(step, rest, count)

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
        now_ms: int,
    ) -> list[Candidate]:
        """Return the workers on which a step may be placed now.

        :param candidates: workers that may run the step.
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
        self._keep(free, job)
        if count <= 0:
            return free
        kept_count = self._keep_more(step, candidates, count)
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
            self._keep([candidate], step.job)
            count -= idle_task_count(candidate, step)
        return sum(job is step.job for job in self._job_by_worker.values())

    def _keep(self, candidates: list[Candidate], job: TrackedJob) -> None:
        max_count = self._max_count - len(self._running_ids)
        for candidate in candidates:
            worker_id = candidate.worker.worker_id
            if worker_id in self._running_ids:
                continue
            if len(self._job_by_worker) >= max_count:
                return
            self._job_by_worker[worker_id] = job
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


def _isolation_rank(
    run: TrackedRun, candidate: Candidate
) -> tuple[int, bool, int, str]:
    """Return a sort key that puts the runs to be kept apart first.

    Among those that were lost with equally many workers, the ones that run
    apart already come first, and of these the newest: the longer a run is
    active, the less probably it ends its worker.
    """
    is_apart = candidate.worker.runs_only(run.task.step.job)
    return (
        -run.task.lost_worker_count,
        not is_apart,
        -run.ordered_ms,
        run.worker_id,
    )


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
