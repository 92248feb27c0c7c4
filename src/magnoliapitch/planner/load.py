"""Load figures, computed from the scheduler's state."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from magnoliapitch.admission import LoadFigures
from magnoliapitch.admission import QueueLoad
from magnoliapitch.admission import ServiceCapacity
from magnoliapitch.planner.capacity_memory import CapacityMemory
from magnoliapitch.planner.capacity_memory import maximal
from magnoliapitch.planner.gap_size import GapSizes
from magnoliapitch.planner.queue_bounds import CERTAIN_DURATION_SHARE
from magnoliapitch.planner.queue_bounds import QueueBounds
from magnoliapitch.planner.queue_bounds import WaitingStep
from magnoliapitch.planner.ranking import rank_of
from magnoliapitch.planner.wait_bound import Work
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker
    from magnoliapitch.workload.configuration import Queue


# A new leader has no learned durations and not all reports yet.
WARM_UP_MS = 3_000
# More free capacities are replaced by one that covers them all.
MAX_FREE_CAPACITIES = 8
# Bounds the duration of a round; without the others, bounds are lower.
MAX_EXAMINED_STEPS = 2_000


class LoadEstimator:
    """Computes lower bounds of the waits of new jobs.

    :param standby_services: returns services whose workers may be moved to
        any other one.
    """

    def __init__(
        self,
        state: SchedulerState,
        planner: Planner,
        standby_services: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._state = state
        self._planner = planner
        self._standby_services = standby_services
        self._memory = CapacityMemory()
        self._first_ms: int | None = None

    def figures(self, epoch: int, sequence: int, now_ms: int) -> LoadFigures:
        """Return the load figures of this moment."""
        if self._first_ms is None:
            self._first_ms = now_ms
        workers = self._state.workers_by_id.values()
        self._memory.update(workers, now_ms)
        queues: dict[str, QueueLoad] = {}
        services: dict[str, ServiceCapacity] = {}
        for service in self._memory.services():
            services[service] = self._capacity_of(service)
            if now_ms - self._first_ms >= WARM_UP_MS:
                queues.update(self._queue_loads(service, now_ms))
        return LoadFigures(epoch, sequence, queues, services)

    def _capacities(self, service: str) -> list[Resources]:
        services = self._standby_services() | {service}
        return self._memory.capacities(services)

    def _capacity_of(self, service: str) -> ServiceCapacity:
        free_amounts = [
            _without_deficit(worker.free)
            for worker in self._usable_workers(service)
        ]
        total = NO_RESOURCES
        for amount in free_amounts:
            total = total.plus(amount)
        free = maximal(free_amounts)
        if len(free) > MAX_FREE_CAPACITIES:
            free = (_covering(free),)
        return ServiceCapacity(maximal(self._capacities(service)), free, total)

    def _queue_loads(self, service: str, now_ms: int) -> dict[str, QueueLoad]:
        cpu_millis = sum(
            capacity.cpu_millis for capacity in self._capacities(service)
        )
        waiting = self._waiting_steps(service, now_ms)
        if not waiting or not cpu_millis:
            return {}
        runs = self._active_runs(service)
        queue_bounds = QueueBounds(
            waiting,
            runs,
            frozenset(
                worker.worker_id for worker in self._usable_workers(service)
            ),
            cpu_millis,
            self._planner,
            now_ms,
        )
        return queue_bounds.loads_by_name(self._queues(service))

    def _queues(self, service: str) -> dict[str, Queue]:
        """Return the queues of a service that have open jobs."""
        return {
            job.queue.name: job.queue
            for job in self._state.jobs_by_id.values()
            if job.queue.service == service and job.outcome is JobOutcome.OPEN
        }

    def _usable_workers(self, service: str) -> list[TrackedWorker]:
        return [
            worker
            for worker in self._state.workers_by_id.values()
            if worker.takes_new_runs
            and worker.info is not None
            and worker.info.service == service
        ]

    def _active_runs(self, service: str) -> list[TrackedRun]:
        return [
            run
            for worker in self._state.workers_by_id.values()
            for run in worker.runs
            if run.task.step.job.queue.service == service
            and run.started_ms is not None
            and not run.is_stopping
            and not run.task.step.spec.is_long_running
            and run.resources.cpu_millis
        ]

    def _waiting_steps(self, service: str, now_ms: int) -> list[WaitingStep]:
        """Return the steps that wait for capacity only.

        They must be able to take every worker; otherwise others pass them on
        workers that they cannot use.
        """
        usable = self._usable_workers(service)
        smallest = _smallest_capacity(usable)
        gap_sizes = GapSizes(usable)
        suspect_steps = {key.step_key for key in self._state.suspects_by_key}
        found: list[WaitingStep] = []
        all_steps = self._state.all_waiting_steps()
        for step in islice(all_steps, MAX_EXAMINED_STEPS):
            if step.job.queue.service != service or step.key in suspect_steps:
                continue
            if not _waits_for_capacity_only(step, smallest):
                continue
            size = gap_sizes.size_of(step.reservation)
            found.append(self._waiting(step, size, now_ms))
        return found

    def _waiting(
        self, step: TrackedStep, size: Resources, now_ms: int
    ) -> WaitingStep:
        estimator = self._planner.duration_estimator
        rank = rank_of(step, estimator, now_ms)
        slack_ms = None if rank.lateness else rank.latest_start_ms - now_ms
        duration_ms = CERTAIN_DURATION_SHARE * estimator.expected_ms(step)
        cpu_millis = step.startable_count * step.reservation.cpu_millis
        return WaitingStep(
            step,
            size,
            Work(duration_ms, cpu_millis),
            slack_ms,
            step.is_beyond_share,
        )


def _waits_for_capacity_only(step: TrackedStep, smallest: Resources) -> bool:
    spec = step.spec
    has_permits = (
        step.job.queue.permit_timing is None or step.permitted_worker_ids
    )
    is_confined = spec.label or spec.max_per_worker or spec.is_gang
    return bool(
        has_permits
        and not is_confined
        and not spec.is_long_running
        # None may start while the quota of the workspace is used up.
        and step.startable_count
        and step.reservation.cpu_millis
        and step.reservation.fits(smallest)
    )


def _smallest_capacity(workers: Iterable[TrackedWorker]) -> Resources:
    capacities = [
        worker.info.capacity for worker in workers if worker.info is not None
    ]
    if not capacities:
        return NO_RESOURCES
    return Resources(
        cpu_millis=min(amount.cpu_millis for amount in capacities),
        memory_mb=min(amount.memory_mb for amount in capacities),
        accelerators=min(amount.accelerators for amount in capacities),
    )


def _without_deficit(amount: Resources) -> Resources:
    return Resources(*(max(0, value) for value in amount))


def _covering(amounts: Iterable[Resources]) -> Resources:
    return Resources(*(max(values) for values in zip(*amounts, strict=True)))


__all__ = ["LoadEstimator"]
