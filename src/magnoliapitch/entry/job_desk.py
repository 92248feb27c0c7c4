"""Accepts jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.catalogue.entry import CatalogueEntry
    from magnoliapitch.decision.interface import Scheduler
    from magnoliapitch.job.spec import JobSpec
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.verdict import Failure


NO_RACK_RETRY_MS = 1_000
QUEUE_FULL_RETRY_MS = 30_000


class JobDesk:
    """Chooses the rack of a new job, or refuses what can never run."""

    def __init__(
        self,
        journal: Journal,
        fleet: Fleet,
        scheduler: Scheduler,
    ) -> None:
        self._journal = journal
        self._fleet = fleet
        self._scheduler = scheduler
        self._shapes: dict[str, tuple[WorkerShape, ...]] = {}
        self._shapes_generation = -1

    def submit(self, job: JobSpec, timeout_ms: int) -> Result[None, Failure]:
        """Accept a job through the log; the same job again is accepted."""
        known = self._known(job)
        if known is not None:
            return known
        unit = self.choose_unit(job)
        if isinstance(unit, Err):
            return unit
        outcome = self._journal.commit(
            JobSubmit(job, unit.ok_value), timeout_ms
        )
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.applied:
            return Ok(None)
        reason = outcome.ok_value.reason
        return self._known(job) or Err(not_run(FailureCode.CONFLICT, reason))

    def cancel(self, job_id: str, timeout_ms: int) -> Result[None, Failure]:
        """Cancel a job through the log; cancelling again is accepted."""
        if self._is_cancelled(job_id):
            return Ok(None)
        outcome = self._journal.commit(JobCancel(job_id), timeout_ms)
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.applied or self._is_cancelled(job_id):
            return Ok(None)
        reason = outcome.ok_value.reason
        return Err(not_run(FailureCode.CONFLICT, reason))

    def choose_unit(self, job: JobSpec) -> Result[str, Failure]:
        """Return the least loaded rack that can hold a job."""
        with self._journal.locked_state() as state:
            versioned = state.catalogue_by_name.get(job.entry)
        if versioned is None:
            return Err(
                not_run(
                    FailureCode.NOT_FOUND, f"no catalogue entry {job.entry!r}"
                )
            )
        shapes_by_unit = self._shapes_by_unit()
        load_by_unit = self._load_by_unit(shapes_by_unit)
        if not load_by_unit:
            return Err(
                not_run(
                    FailureCode.UNAVAILABLE,
                    "no rack is owned",
                    NO_RACK_RETRY_MS,
                )
            )
        task = _request(job, versioned.entry)
        reason = ""
        for unit in sorted(load_by_unit, key=load_by_unit.__getitem__):
            reason = self._scheduler.infeasibility_reason(
                task, shapes_by_unit[unit]
            )
            if not reason:
                limit = versioned.entry.limits.queued
                return self._bounded(job, unit, limit)
        return Err(not_run(FailureCode.IMPOSSIBLE, reason))

    def _bounded(
        self, job: JobSpec, unit: str, limit: int
    ) -> Result[str, Failure]:
        """Refuse a job whose entry has too many tasks waiting."""
        with self._journal.locked_state() as state:
            waiting = state.open_tasks_by_entry.get(job.entry, 0)
        if waiting + job.tasks <= limit:
            return Ok(unit)
        return Err(
            not_run(
                FailureCode.OVERLOADED,
                f"entry {job.entry} has {waiting} of {limit} tasks waiting; "
                "raise limits.queued or submit later",
                QUEUE_FULL_RETRY_MS,
            )
        )

    def _known(self, job: JobSpec) -> Result[None, Failure] | None:
        """Return the answer to a job whose id the log knows."""
        with self._journal.locked_state() as state:
            known = state.jobs_by_id.get(job.job_id)
        if known is None:
            return None
        if known.spec == job:
            return Ok(None)
        return Err(
            not_run(
                FailureCode.DUPLICATE,
                f"another job has the id {job.job_id}",
            )
        )

    def _is_cancelled(self, job_id: str) -> bool:
        with self._journal.locked_state() as state:
            job = state.jobs_by_id.get(job_id)
            return job is not None and job.cancelled

    def _shapes_by_unit(self) -> dict[str, tuple[WorkerShape, ...]]:
        """Return the workers of each rack, made anew for a new list."""
        generation = self._fleet.generation
        if self._shapes_generation == generation:
            return self._shapes
        found: dict[str, list[WorkerShape]] = {}
        for worker in self._fleet.of_role(InstanceRole.WORKER):
            shape = WorkerShape(
                worker.instance_id, worker.unit, worker.zone, worker.capacity
            )
            found.setdefault(worker.unit, []).append(shape)
        self._shapes = {unit: tuple(items) for unit, items in found.items()}
        self._shapes_generation = generation
        return self._shapes

    def _load_by_unit(
        self, shapes_by_unit: dict[str, tuple[WorkerShape, ...]]
    ) -> dict[str, tuple[int, str]]:
        """Return the unfinished tasks of each owned rack, and its name."""
        with self._journal.locked_state() as state:
            load_by_unit = {
                claim.unit: state.open_tasks_by_unit.get(claim.unit, 0)
                for claim in state.claims_by_unit.values()
                if claim.incarnation and claim.unit in shapes_by_unit
            }
        return {unit: (load, unit) for unit, load in load_by_unit.items()}


def _request(job: JobSpec, entry: CatalogueEntry) -> TaskRequest:
    is_gang = entry.work_class is WorkClass.GANG
    return TaskRequest(
        f"{job.job_id}/0/0",
        job.job_id,
        job.entry,
        entry.owner,
        entry.work_class,
        job.resources,
        job.run_ms,
        0,
        job.deadline_ms,
        job.tasks if is_gang else 1,
    )
