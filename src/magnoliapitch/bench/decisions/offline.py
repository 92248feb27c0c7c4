"""Reference schedules made with knowledge of the whole trace.

They use the actual sizes and run times, place nothing on a worker that will
fail or be lost before the task ends, and let the members of a gang start at
different times. These rules are more lenient than those for any policy.
"""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import NamedTuple

import numpy as np

from magnoliapitch.bench.decisions.trace import TracedJob
from magnoliapitch.bench.decisions.trace import TracedTask
from magnoliapitch.catalogue.entry import WorkClass


if TYPE_CHECKING:
    from collections.abc import Callable

    from numpy.typing import NDArray

    from magnoliapitch.bench.decisions.trace import Trace


SCHEDULING_STEP_MS = 1_000


class OfflineBound(NamedTuple):
    """Results of schedules that know the whole trace in advance.

    Work is processor time; its unit is one thousandth of a core for one
    millisecond. Bulk work is that of batch and gang jobs.

    :param packed_bulk_millicore_ms: bulk work within the peak interval when
        the largest tasks are placed first.
    :param volume_bulk_millicore_ms: the smaller of the processor time that
        the other classes leave to bulk work within the peak interval, and
        the bulk work that arrives before its end.
    :param feasible_job_ids: jobs whose deadline is met when the tasks are
        placed by deadline.
    """

    packed_bulk_millicore_ms: float
    volume_bulk_millicore_ms: float
    feasible_job_ids: frozenset[str]


class _PackableTask(NamedTuple):
    job: TracedJob
    task: TracedTask
    priority: tuple[float, ...]


class _ScheduledTask(NamedTuple):
    item: _PackableTask
    from_ms: int
    until_ms: int


def offline_bound(trace: Trace) -> OfflineBound:
    """Return the reference values of a trace."""
    schedule = _pack(trace, _largest_first)
    begin_ms, end_ms = trace.peak_interval_ms()
    work_by_class = dict.fromkeys(WorkClass, 0.0)
    for scheduled in schedule:
        overlap_ms = min(scheduled.until_ms, end_ms) - max(
            scheduled.from_ms, begin_ms
        )
        work = max(0, overlap_ms) * scheduled.item.task.actual_usage.cpu_millis
        work_by_class[scheduled.item.job.entry.work_class] += work
    bulk_work = work_by_class[WorkClass.BATCH] + work_by_class[WorkClass.GANG]
    other_work = (
        work_by_class[WorkClass.URGENT] + work_by_class[WorkClass.SERVICE]
    )
    peak_capacity = trace.deployment.capacity.cpu_millis * (end_ms - begin_ms)
    arrived_bulk_work = sum(
        task.actual_usage.cpu_millis * task.run_ms
        for job in trace.runnable_jobs()
        if job.is_bulk and job.arrives_ms < end_ms
        for task in job.tasks
    )
    return OfflineBound(
        bulk_work,
        min(peak_capacity - other_work, arrived_bulk_work),
        _feasible_job_ids(trace),
    )


def _feasible_job_ids(trace: Trace) -> frozenset[str]:
    ended_ms_by_job: dict[str, int] = {}
    tasks_by_job: dict[str, int] = {}
    for scheduled in _pack(trace, _earliest_deadline):
        job = scheduled.item.job
        ended_ms = max(ended_ms_by_job.get(job.job_id, 0), scheduled.until_ms)
        ended_ms_by_job[job.job_id] = ended_ms
        tasks_by_job[job.job_id] = tasks_by_job.get(job.job_id, 0) + 1
    return frozenset(
        job.job_id
        for job in trace.jobs
        if job.deadline_ms
        and tasks_by_job.get(job.job_id) == len(job.tasks)
        and ended_ms_by_job[job.job_id] <= job.deadline_ms
    )


def _largest_first(job: TracedJob, task: TracedTask) -> tuple[float, ...]:
    class_rank = 1.0 if job.is_bulk else 0.0
    return class_rank, -task.actual_usage.cpu_millis, -task.run_ms


def _earliest_deadline(job: TracedJob, task: TracedTask) -> tuple[float, ...]:
    if not job.is_bulk:
        return 0.0, float(job.arrives_ms)
    if not job.deadline_ms:
        return 2.0, float(job.arrives_ms)
    return 1.0, float(job.deadline_ms - task.run_ms)


def _packable_tasks(
    trace: Trace,
    priority_of: Callable[[TracedJob, TracedTask], tuple[float, ...]],
) -> list[_PackableTask]:
    cancelled_job_ids = {item.job_id for item in trace.cancellations}
    items = [
        _PackableTask(job, task, priority_of(job, task))
        for job in trace.runnable_jobs()
        if job.job_id not in cancelled_job_ids
        for task in job.tasks
    ]
    items.sort(key=lambda item: item.priority)
    return items


class _Packer:
    """Simulates list scheduling with the actual sizes and run times.

    At each step it visits the workers, that with the least free processors
    first, and starts on each the waiting tasks of the best priority that fit.

    :param items: tasks in the order of their priority, the best first.
    :ivar scheduled_tasks: the schedule so far.
    """

    def __init__(self, trace: Trace, items: list[_PackableTask]) -> None:
        self.scheduled_tasks: list[_ScheduledTask] = []
        self._trace = trace
        self._packable_tasks = items
        self._cpu_millis = np.array(
            [item.task.actual_usage.cpu_millis for item in items]
        )
        self._memory_mb = np.array(
            [item.task.actual_usage.memory_mb for item in items]
        )
        self._run_ms = np.array([item.task.run_ms for item in items])
        self._is_waiting = np.zeros(len(items), dtype=bool)
        self._unstarted_count = len(items)
        workers = trace.deployment.workers
        self._free_cpu_millis = [item.capacity.cpu_millis for item in workers]
        self._free_memory_mb = [item.capacity.memory_mb for item in workers]
        self._pending_ends: list[tuple[int, int, int]] = []

    def pack(self) -> list[_ScheduledTask]:
        """Run the simulation and return the schedule.

        The simulation stops at a horizon even if tasks have not started.
        """
        arrivals = sorted(
            (item.job.arrives_ms, index)
            for index, item in enumerate(self._packable_tasks)
        )
        next_arrival = 0
        now_ms = 0
        while self._unstarted_count and now_ms < self._trace.horizon_ms:
            while (
                next_arrival < len(arrivals)
                and arrivals[next_arrival][0] <= now_ms
            ):
                self._is_waiting[arrivals[next_arrival][1]] = True
                next_arrival += 1
            while self._pending_ends and self._pending_ends[0][0] <= now_ms:
                _, worker, index = heapq.heappop(self._pending_ends)
                self._release(worker, index)
            self._start_fitting_tasks(now_ms)
            now_ms += SCHEDULING_STEP_MS
        return self.scheduled_tasks

    def _release(self, worker: int, index: int) -> None:
        self._free_cpu_millis[worker] += int(self._cpu_millis[index])
        self._free_memory_mb[worker] += int(self._memory_mb[index])

    def _start_fitting_tasks(self, now_ms: int) -> None:
        fullest_first = sorted(
            range(len(self._free_cpu_millis)),
            key=self._free_cpu_millis.__getitem__,
        )
        for worker in fullest_first:
            until_ms = self._available_until(worker, now_ms)
            while until_ms > now_ms:
                index = self._first_fitting(worker, until_ms - now_ms)
                if index < 0:
                    break
                self._start(index, worker, now_ms)

    def _first_fitting(self, worker: int, within_ms: int) -> int:
        fits: NDArray[np.bool_] = (
            self._is_waiting
            & (self._cpu_millis <= self._free_cpu_millis[worker])
            & (self._memory_mb <= self._free_memory_mb[worker])
            & (self._run_ms <= within_ms)
        )
        index = int(fits.argmax()) if len(fits) else 0
        return index if len(fits) and fits[index] else -1

    def _start(self, index: int, worker: int, now_ms: int) -> None:
        self._is_waiting[index] = False
        self._unstarted_count -= 1
        self._free_cpu_millis[worker] -= int(self._cpu_millis[index])
        self._free_memory_mb[worker] -= int(self._memory_mb[index])
        until_ms = now_ms + int(self._run_ms[index])
        heapq.heappush(self._pending_ends, (until_ms, worker, index))
        self.scheduled_tasks.append(
            _ScheduledTask(self._packable_tasks[index], now_ms, until_ms)
        )

    def _available_until(self, worker: int, now_ms: int) -> int:
        """Return when the worker next begins to fail or is lost.

        The worker is unusable if that time is past.
        """
        trace = self._trace
        worker_id = trace.deployment.workers[worker].worker_id
        if worker_id in trace.failing_worker_ids:
            return trace.failing_from_ms
        for outage in trace.outages:
            if worker_id in outage.worker_ids and now_ms < outage.until_ms:
                return outage.from_ms
        return 1 << 62


def _pack(
    trace: Trace,
    priority_of: Callable[[TracedJob, TracedTask], tuple[float, ...]],
) -> list[_ScheduledTask]:
    return _Packer(trace, _packable_tasks(trace, priority_of)).pack()
