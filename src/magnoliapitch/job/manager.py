"""Runs the jobs that are assigned to the owned racks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Result

from magnoliapitch.decision.interface import Placement
from magnoliapitch.decision.interface import Scheduler
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.job.spec import AttemptName
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.job.spec import lease_id_of
from magnoliapitch.job.spec import parse_lease_id
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.platform.instance import InstanceInfo
from magnoliapitch.platform.instance import InstanceRole
from magnoliapitch.worker.lease import LeaseGrant
from magnoliapitch.worker.lease import LeaseState
from magnoliapitch.worker.lease import LeaseView
from magnoliapitch.worker.lease import WorkerView


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.ownership.claimer import Claimer
    from magnoliapitch.platform.fleet import Fleet
    from magnoliapitch.verdict import Failure
    from magnoliapitch.worker.pool import WorkerPool


LEASE_TTL_MS = 15_000
STEP_INTERVAL_MS = 50


class _Attempt(NamedTuple):
    name: AttemptName
    worker_id: str
    task: TaskRequest


class JobManager:
    """Drives tasks from submission to their recorded end."""

    def __init__(
        self,
        journal: Journal,
        fleet: Fleet,
        claimer: Claimer,
        workers: WorkerPool,
        scheduler: Scheduler,
        clock: Clock,
    ) -> None:
        self._journal = journal
        self._fleet = fleet
        self._claimer = claimer
        self._workers = workers
        self._scheduler = scheduler
        self._clock = clock
        self._views_by_worker: dict[str, WorkerView] = {}
        self._attempts_by_lease: dict[str, _Attempt] = {}
        self._tasks_by_lease: dict[str, TaskRequest] = {}

    def step(self) -> int:
        """Observe workers, queue new tasks and start what fits.

        :return: milliseconds until the next step.
        """
        workers = self._owned_workers()
        for worker in workers:
            self._observe(worker)
        self._queue_new_tasks()
        decision = self._scheduler.decide(self._clock.now_ms())
        self._start(decision.placements)
        return STEP_INTERVAL_MS

    def dump(self) -> dict[str, object]:
        """Return the manager's part of the state dump."""
        return {
            "workers": sorted(self._views_by_worker),
            "running": sorted(self._attempts_by_lease),
            "queued": self._scheduler.queued(),
            "free": self._scheduler.free()._asdict(),
        }

    def _owned_workers(self) -> tuple[InstanceInfo, ...]:
        owned = self._claimer.owned()
        return tuple(
            worker
            for worker in self._fleet.of_role(InstanceRole.WORKER)
            if worker.unit in owned
        )

    def _observe(self, worker: InstanceInfo) -> None:
        running = tuple(
            lease_id
            for lease_id, attempt in self._attempts_by_lease.items()
            if attempt.worker_id == worker.instance_id
        )
        known = self._views_by_worker.get(worker.instance_id)
        outcome: Result[WorkerView, Failure]
        if known is None or not running:
            outcome = self._workers.view(worker)
        else:
            expires_at_ms = known.now_ms + LEASE_TTL_MS
            outcome = self._workers.renew(worker, running, expires_at_ms)
        if isinstance(outcome, Err):
            return
        if known is None:
            self._scheduler.add_worker(
                WorkerShape(
                    worker.instance_id,
                    worker.unit,
                    worker.zone,
                    worker.capacity,
                )
            )
        self._views_by_worker[worker.instance_id] = outcome.ok_value
        for lease in outcome.ok_value.leases:
            self._observe_lease(worker, lease)

    def _observe_lease(self, worker: InstanceInfo, lease: LeaseView) -> None:
        attempt = self._attempts_by_lease.get(lease.lease_id)
        if attempt is None or lease.state is LeaseState.RUNNING:
            return
        finished = lease.state is LeaseState.FINISHED
        outcome = TaskOutcome.FINISHED if finished else TaskOutcome.FAILED
        del self._attempts_by_lease[lease.lease_id]
        self._scheduler.ended(lease.lease_id, outcome, self._clock.now_ms())
        self._workers.stop(worker, (lease.lease_id,))
        name = attempt.name
        self._journal.enqueue(
            TaskEnd(name.job_id, name.task, name.attempt, outcome)
        )

    def _queue_new_tasks(self) -> None:
        owned = self._claimer.owned()
        with self._journal.reading() as state:
            tasks = tuple(
                task
                for job in state.jobs_by_id.values()
                if job.unit in owned and not job.is_done
                for task in self._tasks_of(state, job)
            )
        for task in tasks:
            self._tasks_by_lease[task.task_id] = task
        self._scheduler.submit(tasks)

    def _tasks_of(
        self, state: ClusterState, job: JobRecord
    ) -> list[TaskRequest]:
        versioned = state.catalogue_by_name.get(job.spec.entry)
        if versioned is None:
            return []
        tasks = []
        for number in range(job.spec.tasks):
            if job.ended_by_task.get(number) is TaskOutcome.FINISHED:
                continue
            attempt = job.attempts_by_task.get(number, 0)
            name = AttemptName(job.spec.job_id, number, attempt)
            lease_id = lease_id_of(name)
            if lease_id in self._tasks_by_lease:
                continue
            tasks.append(
                TaskRequest(
                    lease_id,
                    job.spec.job_id,
                    job.spec.entry,
                    versioned.entry.owner,
                    versioned.entry.work_class,
                    job.spec.resources,
                    job.spec.run_ms,
                    self._clock.now_ms(),
                )
            )
        return tasks

    def _start(self, placements: tuple[Placement, ...]) -> None:
        for placement in placements:
            worker = self._fleet.get(placement.worker_id)
            view = self._views_by_worker.get(placement.worker_id)
            name = parse_lease_id(placement.task_id)
            if worker is None or view is None or name is None:
                continue
            task = self._tasks_by_lease[placement.task_id]
            claim = self._claimer.owned().get(worker.unit)
            if claim is None:
                continue
            grant = LeaseGrant(
                placement.task_id,
                claim.epoch,
                view.now_ms + LEASE_TTL_MS,
                resources=placement.reserved,
                entry=task.entry,
                payload=self._payload(name.job_id),
            )
            self._attempts_by_lease[placement.task_id] = _Attempt(
                name, worker.instance_id, task
            )
            self._workers.start(worker, (grant,))

    def _payload(self, job_id: str) -> str:
        with self._journal.reading() as state:
            return state.jobs_by_id[job_id].spec.payload
