"""Submission and cancellation of jobs."""

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
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.verdict import Failure


NO_RACK_RETRY_MS = 1_000
QUEUE_FULL_RETRY_MS = 30_000


class JobService:
    """Assigns new jobs to racks, and refuses jobs that can never run."""

    def __init__(
        self,
        journal: Journal,
        instance_cache: InstanceCache,
        scheduler: Scheduler,
    ) -> None:
        self._journal = journal
        self._instance_cache = instance_cache
        self._scheduler = scheduler
        self._cached_shapes_by_unit: dict[str, tuple[WorkerShape, ...]] = {}
        self._cached_generation = -1

    def submit(self, job: JobSpec, timeout_ms: int) -> Result[None, Failure]:
        """Append a job to the log.

        Submitting the same job again succeeds without effect.
        """
        known_outcome = self._outcome_of_known(job)
        if known_outcome is not None:
            return known_outcome
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
        return self._outcome_of_known(job) or Err(
            not_run(FailureCode.CONFLICT, reason)
        )

    def cancel(self, job_id: str, timeout_ms: int) -> Result[None, Failure]:
        """Append the cancellation of a job to the log.

        Cancelling a job again succeeds without effect.
        """
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
        """Return the rack with the fewest open tasks that can run a job."""
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
                    "no rack with workers is owned by an instance",
                    NO_RACK_RETRY_MS,
                )
            )
        task = _task_request(job, versioned.entry)
        reason = ""
        for unit in sorted(load_by_unit, key=load_by_unit.__getitem__):
            reason = self._scheduler.infeasibility_reason(
                task, shapes_by_unit[unit]
            )
            if not reason:
                limit = versioned.entry.limits.queued
                return self._check_queue_limit(job, unit, limit)
        return Err(not_run(FailureCode.IMPOSSIBLE, reason))

    def _check_queue_limit(
        self, job: JobSpec, unit: str, limit: int
    ) -> Result[str, Failure]:
        """Return the rack, or refuse if the entry has too many open tasks.

        :param limit: highest number of open tasks of the catalogue entry.
        """
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

    def _outcome_of_known(self, job: JobSpec) -> Result[None, Failure] | None:
        """Return the outcome for a job whose id is in the log, or None."""
        with self._journal.locked_state() as state:
            known_job = state.jobs_by_id.get(job.job_id)
        if known_job is None:
            return None
        if known_job.spec == job:
            return Ok(None)
        return Err(
            not_run(
                FailureCode.DUPLICATE,
                f"a different job with the id {job.job_id} exists",
            )
        )

    def _is_cancelled(self, job_id: str) -> bool:
        with self._journal.locked_state() as state:
            job = state.jobs_by_id.get(job_id)
            return job is not None and job.cancelled

    def _shapes_by_unit(self) -> dict[str, tuple[WorkerShape, ...]]:
        """Return the workers of each rack.

        They are cached until the instance list changes.
        """
        generation = self._instance_cache.generation
        if self._cached_generation == generation:
            return self._cached_shapes_by_unit
        found: dict[str, list[WorkerShape]] = {}
        for worker in self._instance_cache.of_role(InstanceRole.WORKER):
            shape = WorkerShape(
                worker.instance_id, worker.unit, worker.zone, worker.capacity
            )
            found.setdefault(worker.unit, []).append(shape)
        self._cached_shapes_by_unit = {
            unit: tuple(items) for unit, items in found.items()
        }
        self._cached_generation = generation
        return self._cached_shapes_by_unit

    def _load_by_unit(
        self, shapes_by_unit: dict[str, tuple[WorkerShape, ...]]
    ) -> dict[str, tuple[int, str]]:
        """Return the sort key of each owned rack.

        :return: number of unfinished tasks, then the name of the rack.
        """
        with self._journal.locked_state() as state:
            load_by_unit = {
                claim.unit: state.open_tasks_by_unit.get(claim.unit, 0)
                for claim in state.claims_by_unit.values()
                if claim.incarnation and claim.unit in shapes_by_unit
            }
        return {unit: (load, unit) for unit, load in load_by_unit.items()}


def _task_request(job: JobSpec, entry: CatalogueEntry) -> TaskRequest:
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
